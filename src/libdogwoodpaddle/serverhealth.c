#include "protected/serverhealth.h"

#include <math.h>

#include "protected/chart.h"
#include "protected/clock.h"

/* Failing servers are detected by a cumulative sum (CUSUM) of log-likelihood ratios,
 * which compares a server that fails this share of its requests with one that fails the
 * usual share. The sum counts requests rather than time, because a server that hangs
 * fails only as many requests as it has slots. */
#define FAILING_SERVER_SHARE 0.4
/* The breaker opens when the sum exceeds this value: after three failures in a row if
 * usually 1 request in 100 fails, after five if 5 in 100 do, and never if 40 in 100 do.
 */
#define CUSUM_MAX 8.0
/* The usual share of failures is a moving mean over USUAL_SHARE_REQUESTS requests. It
 * starts at USUAL_SHARE_MIN with the weight of USUAL_SHARE_INITIAL_REQUESTS requests, and
 * doesn't fall below that share: a server that has never failed is not expected to be
 * perfect. */
#define USUAL_SHARE_REQUESTS 512
#define USUAL_SHARE_MIN 0.01
#define USUAL_SHARE_INITIAL_REQUESTS 64
/* Time from opening the breaker to the next probe of the server. With one request in each
 * probe, a server that would normally get ten requests a second or more gets less than a
 * tenth of them. */
#define PROBE_DELAY_US (3 * DP_US_PER_S)
/* Good requests in a row after which the breaker closes again. A server that fails 45% of
 * its requests passes this in 9 of 100 attempts. */
#define GOOD_PROBES_MIN 4
/* An answer is suspicious if its length is less than 1 / SHORT_LENGTH_DIVISOR of the
 * usual length and its time less than 1 / SHORT_TIME_DIVISOR of the usual time. Both vary
 * by a factor of 2 to 3 among good answers; fewer than 1 in 100 of them are below both
 * limits. */
#define SHORT_LENGTH_DIVISOR 4
#define SHORT_TIME_DIVISOR 2
/* Answers of an address that are needed before others are compared with them. */
#define BASELINE_ANSWERS_MIN 16
/* After the first BASELINE_WINDOW answers, each further one counts for 1 /
 * BASELINE_WINDOW in the moving mean, and a suspicious one for 1 /
 * BASELINE_WINDOW_SUSPICIOUS. A service whose answers really have become short no longer
 * counts as failing after some hundred requests. */
#define BASELINE_WINDOW 16
#define BASELINE_WINDOW_SUSPICIOUS 64

/* A request has failed if its answer does not begin within this many times the usual
 * time. Outliers among good answers take ten times the usual time. The minimum and the
 * maximum are for usual times that are not known yet, and for servers that have become
 * slow. */
#define ANSWER_TIMEOUT_FACTOR 20
#define ANSWER_TIMEOUT_MIN_US (500 * DP_US_PER_MS)
#define ANSWER_TIMEOUT_MAX_US (2 * DP_US_PER_S)

/* Maximum number of addresses whose usual answers are learned, at 48 bytes each. Requests
 * to one address are all of one kind. For further addresses, only resets and missing
 * answers count as failures. */
#define ADDRESSES_MAX 256

/* Usual time and length of the answers of one address. */
typedef struct
{
  double time;     /* us, moving mean */
  double bytes;    /* moving mean */
  guint n_answers; /* answers seen, up to BASELINE_WINDOW */
} Baseline;

struct _DpServerHealth
{
  DpChart *chart;
  DpChartInstance breaker;
  GHashTable *baselines;      /* gint64 key made from the address, to Baseline */
  double usual_failure_share; /* usual share of failed requests */
  guint n_requests;           /* requests in the share, up to USUAL_SHARE_REQUESTS */
  double cusum;
  gint64 opened_at; /* us */
  guint n_good_probes;
};

static const char *const state_strings_[] = { "closed", "open", "half_open" };

G_STATIC_ASSERT (G_N_ELEMENTS (state_strings_) == DP_N_BREAKER_STATES);

static gboolean is_suspicious_ (const Baseline *baseline, gint64 time, guint32 bytes);
static Baseline *
find_baseline_ (const DpServerHealth *health, const DpAddress *address, gboolean add);
static void
update_baseline_ (Baseline *baseline, gint64 time, guint32 bytes, guint weight);
static void record_outcome_ (DpServerHealth *health, gboolean good, gint64 now);
static void handle_event_ (DpServerHealth *health, DpBreakerEvent event, gint64 now);

/* Creates the health of a server about which nothing is known yet. The breaker is closed.
 */
DpServerHealth *
dp_server_health_new (void)
{
  DpServerHealth *health = g_new0 (DpServerHealth, 1);
  g_autoptr (GError) error = NULL;

  health->chart = dp_chart_load ("breaker", &error);
  /* The chart is compiled in; test_chart checks it. */
  if (health->chart == NULL)
    g_error ("%s", error->message);
  dp_chart_start (&health->breaker, health->chart);
  health->baselines = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  health->usual_failure_share = USUAL_SHARE_MIN;
  health->n_requests = USUAL_SHARE_INITIAL_REQUESTS;
  return health;
}

void
dp_server_health_free (DpServerHealth *health)
{
  if (health == NULL)
    return;
  dp_chart_free (health->chart);
  g_hash_table_unref (health->baselines);
  g_free (health);
}

/* Records an answer, which counts as a failure if its time and length are suspicious. */
void
dp_server_health_record_answer (DpServerHealth *health,
                                const DpAddress *address,
                                gint64 time,
                                guint32 bytes,
                                gint64 now)
{
  Baseline *baseline = find_baseline_ (health, address, TRUE);
  const gboolean suspicious = baseline != NULL && is_suspicious_ (baseline, time, bytes);

  if (baseline != NULL)
    update_baseline_ (baseline, time, bytes,
                      suspicious ? BASELINE_WINDOW_SUSPICIOUS : BASELINE_WINDOW);
  record_outcome_ (health, !suspicious, now);
}

/* Records a request that got a reset or no answer. */
void
dp_server_health_record_failure (DpServerHealth *health, gint64 now)
{
  record_outcome_ (health, FALSE, now);
}

/* Returns the time in us after which a request to the address without an answer counts as
 * failed. */
gint64
dp_server_health_answer_timeout (const DpServerHealth *health, const DpAddress *address)
{
  const Baseline *baseline = find_baseline_ (health, address, FALSE);

  if (baseline == NULL || baseline->n_answers < BASELINE_ANSWERS_MIN)
    return ANSWER_TIMEOUT_MAX_US;
  return CLAMP ((gint64) (baseline->time * ANSWER_TIMEOUT_FACTOR), ANSWER_TIMEOUT_MIN_US,
                ANSWER_TIMEOUT_MAX_US);
}

/* Lets the server get a flow as a probe, PROBE_DELAY_US after the breaker has opened. */
void
dp_server_health_tick (DpServerHealth *health, gint64 now)
{
  if (health->breaker.state == DP_BREAKER_OPEN
      && now - health->opened_at >= PROBE_DELAY_US)
    handle_event_ (health, DP_BREAKER_EVENT_RETRY, now);
}

/* Forgets the failures of the server before a restart, but not the usual failures and
 * answers of its service. */
void
dp_server_health_reset (DpServerHealth *health)
{
  dp_chart_start (&health->breaker, health->chart);
  health->cusum = 0;
  health->n_good_probes = 0;
}

/* Returns whether the breaker lets the server have a new flow in addition to those in
 * flight. */
gboolean
dp_server_health_admits (const DpServerHealth *health, guint in_flight)
{
  switch (dp_server_health_state (health))
    {
    case DP_BREAKER_OPEN:
      return FALSE;
    case DP_BREAKER_HALF_OPEN:
      return in_flight == 0;
    case DP_BREAKER_CLOSED:
    case DP_N_BREAKER_STATES:
    default:
      return TRUE;
    }
}

/* Returns the breaker's state. */
DpBreakerState
dp_server_health_state (const DpServerHealth *health)
{
  return (DpBreakerState) health->breaker.state;
}

/* Returns the state's name as it appears in logs. */
const char *
dp_breaker_state_string (DpBreakerState state)
{
  g_assert (state < DP_N_BREAKER_STATES);
  return state_strings_[state];
}

static gboolean
is_suspicious_ (const Baseline *baseline, gint64 time, guint32 bytes)
{
  return baseline->n_answers >= BASELINE_ANSWERS_MIN
         && (double) bytes * SHORT_LENGTH_DIVISOR < baseline->bytes
         && (double) time * SHORT_TIME_DIVISOR < baseline->time;
}

/* Returns NULL if the address is not known and is not added. */
static Baseline *
find_baseline_ (const DpServerHealth *health, const DpAddress *address, gboolean add)
{
  const gint64 key = (gint64) address->ip << 16 | address->port;
  Baseline *baseline = g_hash_table_lookup (health->baselines, &key);

  if (baseline != NULL || !add || g_hash_table_size (health->baselines) >= ADDRESSES_MAX)
    return baseline;
  baseline = g_new0 (Baseline, 1);
  g_hash_table_insert (health->baselines, g_memdup2 (&key, sizeof key), baseline);
  return baseline;
}

/* Adds an answer to the moving means. The first BASELINE_WINDOW answers weigh the same.
 */
static void
update_baseline_ (Baseline *baseline, gint64 time, guint32 bytes, guint weight)
{
  baseline->n_answers = MIN (baseline->n_answers + 1, BASELINE_WINDOW);
  weight = baseline->n_answers < BASELINE_WINDOW ? baseline->n_answers : weight;
  baseline->time += ((double) time - baseline->time) / weight;
  baseline->bytes += ((double) bytes - baseline->bytes) / weight;
}

static void
record_outcome_ (DpServerHealth *health, gboolean good, gint64 now)
{
  const double usual_share = MIN (health->usual_failure_share, FAILING_SERVER_SHARE);
  const double ratio = good ? (1.0 - FAILING_SERVER_SHARE) / (1.0 - usual_share)
                            : FAILING_SERVER_SHARE / usual_share;

  health->cusum = MAX (health->cusum + log (ratio), 0.0);
  health->n_requests = MIN (health->n_requests + 1, USUAL_SHARE_REQUESTS);
  health->usual_failure_share += ((good ? 0.0 : 1.0) - health->usual_failure_share)
                                 / health->n_requests;
  health->usual_failure_share = MAX (health->usual_failure_share, USUAL_SHARE_MIN);
  if (!good)
    handle_event_ (health, DP_BREAKER_EVENT_FAILED, now);
  else if (health->breaker.state == DP_BREAKER_HALF_OPEN
           && ++health->n_good_probes >= GOOD_PROBES_MIN)
    handle_event_ (health, DP_BREAKER_EVENT_PROVEN, now);
  if (health->cusum > CUSUM_MAX)
    handle_event_ (health, DP_BREAKER_EVENT_FAILING, now);
}

static void
handle_event_ (DpServerHealth *health, DpBreakerEvent event, gint64 now)
{
  switch ((DpBreakerAction) dp_chart_step (&health->breaker, event))
    {
    case DP_BREAKER_ACTION_TRIP:
      health->opened_at = now;
      break;
    case DP_BREAKER_ACTION_PROBE:
      health->n_good_probes = 0;
      break;
    case DP_BREAKER_ACTION_RESET:
      health->cusum = 0;
      break;
    case DP_BREAKER_ACTION_NONE:
    case DP_N_BREAKER_ACTIONS:
    default:
      break;
    }
}
