#include "protected/warmuplimit.h"

#include <math.h>

#include "protected/clock.h"

/* The limit holds for any second at the server. Packets take a millisecond or two longer
 * or shorter to get there, and a request follows its SYN after a handshake of 2 to 6 ms.
 */
#define WINDOW_US (DP_US_PER_S + 20 * DP_US_PER_MS)
/* A larger limit is none: no server in use handles a tenth of it. */
#define MAX_REQUESTS 16384
#define INITIAL_ROWS 64
/* New flows are spread over the second in this many parts: the server handles its
 * declared rate, not a burst, and their further requests are seen before the next ones
 * are let through. */
#define PARTS 4
/* Further requests of an open flow in a second that are assumed until the flows have
 * shown how many they make, with the weight of some seconds of a flow: the flows of
 * services in use make none, or one in 0.2 to 2 s. */
#define PRIOR_FLOW_RATE 2.0
#define PRIOR_FLOW_S 1.0
/* Room is kept for this many standard deviations more than expected, as of independent
 * requests. */
#define DEVIATIONS 2.0
/* Each second the weight of what was seen before is halved. */
#define DECAY 0.5

/* Times of the last requests, oldest first. */
typedef struct
{
  gint64 *times; /* us */
  guint n_rows;
  guint first;
  guint n;
} Ring;

struct _DpWarmupLimit
{
  Ring syns;
  Ring further;
  double rate;
  double overrun;
  double slack;
  guint max;             /* requests in a second */
  gint64 ends_at;        /* us, end of the warm-up */
  gint64 known_since;    /* us, earlier requests are not known */
  guint n_open;          /* open flows when they were last counted */
  guint n_opened;        /* since then */
  gint64 observed_until; /* us, end of flow_s */
  double flow_s;         /* seconds of open flows that were observed */
  double n_further;      /* further requests on them */
};

static gint64 wait_behind_ (DpWarmupLimit *limit, guint n_ahead, gint64 now);
static void update_max_ (DpWarmupLimit *limit);
static void observe_flows_ (DpWarmupLimit *limit, gint64 now);
static guint expected_further_ (const DpWarmupLimit *limit);
static double flow_rate_ (const DpWarmupLimit *limit);
static guint part_ (const DpWarmupLimit *limit);
static guint room_ (DpWarmupLimit *limit, gint64 now);
static void push_ (Ring *ring, gint64 now);
static void drop_old_ (Ring *ring, gint64 now);
static gint64 time_at_ (const Ring *ring, guint i);

/* Creates a limit that is not in force. */
DpWarmupLimit *
dp_warmup_limit_new (gint64 now)
{
  DpWarmupLimit *limit = g_new0 (DpWarmupLimit, 1);

  limit->known_since = now;
  return limit;
}

void
dp_warmup_limit_free (DpWarmupLimit *limit)
{
  if (limit == NULL)
    return;
  g_free (limit->syns.times);
  g_free (limit->further.times);
  g_free (limit);
}

/* Sets the declared rate. A rate that is no positive number counts as none. */
void
dp_warmup_limit_set_rate (DpWarmupLimit *limit, double per_second)
{
  limit->rate = isfinite (per_second) && per_second > 0 ? per_second : 0;
  update_max_ (limit);
}

/* Sets the bounds from the settings. */
void
dp_warmup_limit_set_bounds (DpWarmupLimit *limit, double overrun, double slack)
{
  limit->overrun = overrun;
  limit->slack = slack;
  update_max_ (limit);
}

/* Sets the end of the warm-up. It passes by the clock, whether or not further heartbeats
 * come. */
void
dp_warmup_limit_set_end (DpWarmupLimit *limit, gint64 ends_at)
{
  limit->ends_at = ends_at;
}

/* Forgets the flows of the server before: how many further requests flows make is not
 * known from the time in which it was down. */
void
dp_warmup_limit_note_server_replaced (DpWarmupLimit *limit, gboolean just_started)
{
  limit->n_open = 0;
  limit->n_opened = 0;
  limit->flow_s = 0;
  limit->n_further = 0;
  if (just_started)
    limit->known_since = G_MININT64 / 2;
}

void
dp_warmup_limit_note_syn (DpWarmupLimit *limit, gint64 now)
{
  observe_flows_ (limit, now);
  push_ (&limit->syns, now);
  limit->n_opened++;
}

void
dp_warmup_limit_note_further (DpWarmupLimit *limit, gint64 now)
{
  observe_flows_ (limit, now);
  push_ (&limit->further, now);
  limit->n_further++;
}

/* Corrects the number of open flows by those that have ended. */
void
dp_warmup_limit_note_open_flows (DpWarmupLimit *limit, guint n_open, gint64 now)
{
  observe_flows_ (limit, now);
  limit->n_open = n_open;
  limit->n_opened = 0;
  limit->flow_s *= DECAY;
  limit->n_further *= DECAY;
}

/* Returns whether the server is cold and a rate is declared. */
gboolean
dp_warmup_limit_is_active (const DpWarmupLimit *limit, gint64 now)
{
  return limit->rate > 0 && limit->overrun > 0 && limit->max < MAX_REQUESTS
         && now < limit->ends_at;
}

/* Returns the requests that a cold server gets in a second at most. */
guint
dp_warmup_limit_max (const DpWarmupLimit *limit)
{
  return limit->max;
}

/* Returns the requests of the last second. */
guint
dp_warmup_limit_recent (DpWarmupLimit *limit, gint64 now)
{
  drop_old_ (&limit->syns, now);
  drop_old_ (&limit->further, now);
  return limit->syns.n + limit->further.n;
}

/* Returns whether one more new flow keeps the limit. */
gboolean
dp_warmup_limit_admits (DpWarmupLimit *limit, gint64 now)
{
  guint room;
  guint part;

  if (!dp_warmup_limit_is_active (limit, now))
    return TRUE;
  room = room_ (limit, now);
  part = part_ (limit);
  return limit->syns.n < room
         && (limit->syns.n < part
             || now - time_at_ (&limit->syns, limit->syns.n - part) >= WINDOW_US / PARTS);
}

/* Returns when the limit lets a SYN through. */
gint64
dp_warmup_limit_wait (DpWarmupLimit *limit, guint n_ahead, gint64 now)
{
  if (!dp_warmup_limit_is_active (limit, now)
      || (n_ahead == 0 && dp_warmup_limit_admits (limit, now)))
    return 0;
  return wait_behind_ (limit, n_ahead, now);
}

/* Plays the release of the SYNs in front, as the room and its share for a part of the
 * second are now. */
static gint64
wait_behind_ (DpWarmupLimit *limit, guint n_ahead, gint64 now)
{
  const gint64 left = limit->ends_at - now;
  g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (gint64));
  gint64 *times;
  gint64 growing_since; /* us; the room grows from then on */
  guint n;
  guint room;
  guint part;

  dp_warmup_limit_recent (limit, now);
  n = limit->syns.n;
  room = limit->max - MIN (expected_further_ (limit), limit->max);
  part = part_ (limit);
  if (room == 0 || n_ahead >= MAX_REQUESTS)
    return left;
  growing_since = limit->known_since + WINDOW_US > now ? limit->known_since
                                                       : now - WINDOW_US;
  g_array_set_size (sent, n + n_ahead + 1);
  times = (gint64 *) (void *) sent->data;
  for (guint i = 0; i <= n + n_ahead; i++)
    {
      if (i < n)
        {
          times[i] = time_at_ (&limit->syns, i);
          continue;
        }
      times[i] = MAX (now, growing_since
                               + (gint64) MIN (i + 1 + limit->max - room, limit->max)
                                     * WINDOW_US / limit->max);
      if (i >= room)
        times[i] = MAX (times[i], times[i - room] + WINDOW_US);
      if (i >= part)
        times[i] = MAX (times[i], times[i - part] + WINDOW_US / PARTS);
      if (times[i] >= limit->ends_at)
        return left;
    }
  return times[n + n_ahead] - now;
}

static void
update_max_ (DpWarmupLimit *limit)
{
  const double max = floor (limit->rate * limit->overrun + limit->slack);

  limit->max = limit->rate > 0 && limit->overrun > 0
                   ? (guint) CLAMP (max, 0, (double) MAX_REQUESTS)
                   : 0;
}

/* Adds up the seconds of open flows until now. Flows that have ended since the last count
 * are among them, here as in expected_further_ (). */
static void
observe_flows_ (DpWarmupLimit *limit, gint64 now)
{
  const double elapsed = (double) (now - limit->observed_until) / (double) DP_US_PER_S;

  if (limit->observed_until != 0 && elapsed > 0)
    limit->flow_s += elapsed * ((double) limit->n_open + limit->n_opened);
  limit->observed_until = now;
}

/* Returns the further requests of an open flow in a second. */
static double
flow_rate_ (const DpWarmupLimit *limit)
{
  return (limit->n_further + PRIOR_FLOW_RATE * PRIOR_FLOW_S)
         / (limit->flow_s + PRIOR_FLOW_S);
}

/* Returns the further requests that are expected within the next second. */
static guint
expected_further_ (const DpWarmupLimit *limit)
{
  const double expected = flow_rate_ (limit) * ((double) limit->n_open + limit->n_opened);
  const double most = ceil (expected + DEVIATIONS * sqrt (expected));

  return MAX (limit->further.n, (guint) MIN (most, (double) MAX_REQUESTS));
}

/* Returns the number of SYNs that may be sent in one part of the window. */
static guint
part_ (const DpWarmupLimit *limit)
{
  return (guint) ceil (limit->max / (1 + flow_rate_ (limit)) / PARTS);
}

/* Returns how many SYNs may have been sent in the last second. As long as earlier
 * requests are not known, the allowance grows from 0 in proportion to the time that is
 * known: an earlier process may have used it up just before it ended. */
static guint
room_ (DpWarmupLimit *limit, gint64 now)
{
  const gint64 known = MAX (now - limit->known_since, 0);
  guint max = limit->max;
  guint reserved;

  dp_warmup_limit_recent (limit, now);
  reserved = expected_further_ (limit);
  if (known < WINDOW_US)
    max = (guint) (max * known / WINDOW_US);
  return max - MIN (reserved, max);
}

/* Appends a time. A full ring grows up to MAX_REQUESTS, and then loses the oldest. */
static void
push_ (Ring *ring, gint64 now)
{
  drop_old_ (ring, now);
  if (ring->n == ring->n_rows && ring->n < MAX_REQUESTS)
    {
      const guint n_rows = MAX (INITIAL_ROWS, 2 * ring->n_rows);
      gint64 *times = g_new (gint64, n_rows);

      for (guint i = 0; i < ring->n; i++)
        times[i] = time_at_ (ring, i);
      g_free (ring->times);
      *ring = (Ring){ times, n_rows, 0, ring->n };
    }
  if (ring->n == ring->n_rows)
    {
      ring->first = (ring->first + 1) % ring->n_rows;
      ring->n--;
    }
  ring->times[(ring->first + ring->n) % ring->n_rows] = now;
  ring->n++;
}

static void
drop_old_ (Ring *ring, gint64 now)
{
  while (ring->n > 0 && now - ring->times[ring->first] >= WINDOW_US)
    {
      ring->first = (ring->first + 1) % ring->n_rows;
      ring->n--;
    }
}

static gint64
time_at_ (const Ring *ring, guint i)
{
  return ring->times[(ring->first + i) % ring->n_rows];
}
