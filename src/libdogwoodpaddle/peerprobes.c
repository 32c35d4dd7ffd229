#include "private/peerprobes.h"

/* Minimum intervals between two probes of a member that has not answered: while an answer
 * may still come, and once the member counts as unresponsive. */
#define REPEAT_INTERVAL_US (50 * DP_US_PER_MS)
#define UNRESPONSIVE_REPEAT_INTERVAL_US (500 * DP_US_PER_MS)
/* A member that was not probed for this time may be back, and counts as responsive. */
#define UNRESPONSIVE_MEMORY_US (2 * DP_US_PER_S)

typedef struct
{
  DpAddress member;
  gint64 unanswered_since; /* us, first probe since the last answer */
  gint64 sent_at;          /* us, last probe */
} Peer;

struct _DpPeerProbes
{
  GHashTable *unanswered; /* set of Peer, compared by member */
  GArray *pending;        /* DpAddress, to be probed */
};

static guint hash_ (gconstpointer peer);
static gboolean equal_ (gconstpointer a, gconstpointer b);
static Peer *find_ (const DpPeerProbes *probes, const DpAddress *member);
static gboolean is_listed_ (const DpMemberView *view, const DpAddress *member);
static gboolean is_unresponsive_ (const Peer *peer, gint64 now);
static gint64 repeat_interval_ (const Peer *peer, gint64 now);

/* Creates a table in which every member counts as responsive. */
DpPeerProbes *
dp_peer_probes_new (void)
{
  DpPeerProbes *probes = g_new0 (DpPeerProbes, 1);

  probes->unanswered = g_hash_table_new_full (hash_, equal_, NULL, g_free);
  probes->pending = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  return probes;
}

void
dp_peer_probes_free (DpPeerProbes *probes)
{
  if (probes == NULL)
    return;
  g_hash_table_unref (probes->unanswered);
  g_array_unref (probes->pending);
  g_free (probes);
}

void
dp_peer_probes_set_view (DpPeerProbes *probes, const DpMemberView *view)
{
  GHashTableIter iter;
  gpointer peer;

  g_hash_table_iter_init (&iter, probes->unanswered);
  while (g_hash_table_iter_next (&iter, &peer, NULL))
    if (!is_listed_ (view, &((const Peer *) peer)->member))
      g_hash_table_iter_remove (&iter);
}

void
dp_peer_probes_request (DpPeerProbes *probes, const DpAddress *member, gint64 now)
{
  Peer *peer = find_ (probes, member);

  if (peer != NULL && now - peer->sent_at < repeat_interval_ (peer, now))
    return;
  if (peer == NULL)
    {
      peer = g_new (Peer, 1);
      *peer = (Peer){ .member = *member, .unanswered_since = now };
      g_hash_table_add (probes->unanswered, peer);
    }
  else if (now - peer->sent_at >= UNRESPONSIVE_MEMORY_US)
    peer->unanswered_since = now;
  peer->sent_at = now;
  g_array_append_val (probes->pending, *member);
}

void
dp_peer_probes_request_unresponsive (DpPeerProbes *probes, gint64 now)
{
  GHashTableIter iter;
  gpointer peer;

  g_hash_table_iter_init (&iter, probes->unanswered);
  while (g_hash_table_iter_next (&iter, &peer, NULL))
    if (is_unresponsive_ (peer, now))
      dp_peer_probes_request (probes, &((const Peer *) peer)->member, now);
}

gboolean
dp_peer_probes_next (DpPeerProbes *probes, DpAddress *member)
{
  if (probes->pending->len == 0)
    return FALSE;
  *member = g_array_index (probes->pending, DpAddress, probes->pending->len - 1);
  g_array_set_size (probes->pending, probes->pending->len - 1);
  return TRUE;
}

/* Records that the member runs. */
void
dp_peer_probes_note_answer (DpPeerProbes *probes, const DpAddress *member)
{
  const Peer wanted = { .member = *member };

  g_hash_table_remove (probes->unanswered, &wanted);
}

void
dp_peer_probes_reset (DpPeerProbes *probes)
{
  g_hash_table_remove_all (probes->unanswered);
}

gboolean
dp_peer_probes_is_responsive (const DpPeerProbes *probes,
                              const DpAddress *member,
                              gint64 now)
{
  const Peer *peer = find_ (probes, member);

  return peer == NULL || !is_unresponsive_ (peer, now);
}

static guint
hash_ (gconstpointer peer)
{
  const DpAddress *member = &((const Peer *) peer)->member;

  return member->ip * 31 + member->port;
}

static gboolean
equal_ (gconstpointer a, gconstpointer b)
{
  return dp_address_equal (&((const Peer *) a)->member, &((const Peer *) b)->member);
}

static Peer *
find_ (const DpPeerProbes *probes, const DpAddress *member)
{
  const Peer wanted = { .member = *member };

  return g_hash_table_lookup (probes->unanswered, &wanted);
}

static gboolean
is_listed_ (const DpMemberView *view, const DpAddress *member)
{
  for (guint i = 0; i < view->n_members; i++)
    if (dp_address_equal (&view->members[i].address, member))
      return TRUE;
  return FALSE;
}

static gboolean
is_unresponsive_ (const Peer *peer, gint64 now)
{
  return now - peer->unanswered_since >= DP_PEER_ANSWER_TIMEOUT_US
         && now - peer->sent_at < UNRESPONSIVE_MEMORY_US;
}

static gint64
repeat_interval_ (const Peer *peer, gint64 now)
{
  return is_unresponsive_ (peer, now) ? UNRESPONSIVE_REPEAT_INTERVAL_US
                                      : REPEAT_INTERVAL_US;
}
