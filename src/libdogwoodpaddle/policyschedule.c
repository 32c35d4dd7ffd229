#include "private/policyschedule.h"

#include "protected/clock.h"

/* Minimum time between two datagrams to one peer. */
#define INTERVAL_MIN_US (250 * DP_US_PER_MS)
/* The interval doubles up to this while neither side changes: a peer of another
 * configuration, or one whose datagrams are lost, must not cost much for long. */
#define INTERVAL_MAX_US (4 * DP_US_PER_S)
/* Datagrams to all peers together. At 1,300 balancers and 7,100 companions a change
 * reaches every process in three rounds of reports with bursts of this size. */
#define BURST_MAX 64.0
#define PER_SECOND 200.0
/* A peer that has got nothing for this time is forgotten. */
#define FORGET_US (10 * DP_US_PER_S)

typedef struct
{
  guint64 own_digest;
  guint64 peer_digest;
  gint64 interval; /* us */
  gint64 next_at;  /* us */
} Peer;

struct _DpPolicySchedule
{
  GHashTable *peers; /* address as a number to Peer */
  double tokens;
  gint64 filled_at; /* us */
};

static gboolean take_token_ (DpPolicySchedule *schedule, gint64 now);

/* Creates a schedule without peers. */
DpPolicySchedule *
dp_policy_schedule_new (void)
{
  DpPolicySchedule *schedule = g_new0 (DpPolicySchedule, 1);

  schedule->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  schedule->tokens = BURST_MAX;
  return schedule;
}

/* Frees the schedule. */
void
dp_policy_schedule_free (DpPolicySchedule *schedule)
{
  if (schedule == NULL)
    return;
  g_hash_table_unref (schedule->peers);
  g_free (schedule);
}

/* Admits a datagram at once if either side has changed since the last one, at most one in
 * INTERVAL_MIN_US, and more rarely after each one that changed nothing. */
gboolean
dp_policy_schedule_admits (DpPolicySchedule *schedule,
                           const DpAddress *address,
                           guint64 own_digest,
                           guint64 peer_digest,
                           gint64 now)
{
  const gint64 key = (gint64) ((guint64) address->ip << 16 | address->port);
  Peer *peer = g_hash_table_lookup (schedule->peers, &key);
  gboolean changed;

  if (peer == NULL)
    {
      peer = g_new0 (Peer, 1);
      peer->next_at = now;
      g_hash_table_insert (schedule->peers, g_memdup2 (&key, sizeof key), peer);
    }
  changed = peer->own_digest != own_digest || peer->peer_digest != peer_digest;
  if (changed && peer->interval > INTERVAL_MIN_US)
    {
      peer->next_at -= peer->interval - INTERVAL_MIN_US;
      peer->interval = INTERVAL_MIN_US;
    }
  if (now < peer->next_at || !take_token_ (schedule, now))
    return FALSE;
  peer->interval = changed ? INTERVAL_MIN_US
                           : CLAMP (2 * peer->interval, INTERVAL_MIN_US, INTERVAL_MAX_US);
  peer->next_at = now + peer->interval;
  peer->own_digest = own_digest;
  peer->peer_digest = peer_digest;
  return TRUE;
}

/* Removes peers that have got nothing for FORGET_US. */
void
dp_policy_schedule_expire (DpPolicySchedule *schedule, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, schedule->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((const Peer *) value)->next_at > FORGET_US)
      g_hash_table_iter_remove (&iter);
}

static gboolean
take_token_ (DpPolicySchedule *schedule, gint64 now)
{
  const double passed = (double) MAX (now - schedule->filled_at, 0) / DP_US_PER_S;

  schedule->tokens = MIN (BURST_MAX, schedule->tokens + passed * PER_SECOND);
  schedule->filled_at = now;
  if (schedule->tokens < 1.0)
    return FALSE;
  schedule->tokens -= 1.0;
  return TRUE;
}
