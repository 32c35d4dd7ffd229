#include "protected/configtiming.h"

#include "private/watch.h"
#include "protected/platform.h"

/* Until a platform that answers has answered after a failure: two attempts, as the first
 * one may meet a lost packet. */
#define READ_AGAIN_MS                                                                    \
  (DP_WATCH_RETRY_FIRST_MS + DP_PLATFORM_READ_TIMEOUT_MS + 2 * DP_WATCH_RETRY_FIRST_MS   \
   + DP_PLATFORM_READ_TIMEOUT_MS)
/* For the work itself, as a share of the bound. */
#define WORK_SHARE (1.0 / 16)
/* A slow platform answers within 240 ms; a shorter time would end its watches. */
#define ANSWER_MAX_MS 600
#define ANSWER_SHARE 0.15
#define RELAY_WATCH_WAIT_SHARE 0.25
#define RETRY_SHARE 0.25
/* A parent confirms at the end of each watch, at most 0.34 s later if the platform is
 * slow, so that the last confirmation of a working parent stays within this age. */
#define RELAY_MAX_AGE_SHARE 0.4
#define WAIT_MIN_MS 100

static guint limit_ (double wanted_ms, double bound_ms, guint used_ms);

/* Derives the waits from the bounds. */
void
dp_config_timing_init (DpConfigTiming *timing, guint settle_ms, guint apply_ms)
{
  const guint apply = MIN (apply_ms, settle_ms);
  const guint fixed_ms = READ_AGAIN_MS + DP_CONFIG_TICK_MS;
  const guint answer_ms = (guint) MIN (ANSWER_MAX_MS, apply * ANSWER_SHARE);

  *timing = (DpConfigTiming){
    .settle_ms = settle_ms,
    .apply_ms = apply,
    .answer_ms = answer_ms,
    .watch_wait_ms = limit_ (settle_ms, settle_ms, fixed_ms + answer_ms),
    .relay_watch_wait_ms = limit_ (apply * RELAY_WATCH_WAIT_SHARE, apply,
                                   fixed_ms + answer_ms),
    .retry_max_ms = limit_ (apply * RETRY_SHARE, settle_ms,
                            fixed_ms + DP_PLATFORM_LAST_READ_TIMEOUT_MS),
    .relay_max_age_ms = (guint) (apply * RELAY_MAX_AGE_SHARE),
  };
}

/* Adds up the waits of one way, until the platform has answered again and the balancer
 * has applied the answer. */
guint
dp_config_timing_sum (const DpConfigTiming *timing, DpConfigDelay delay)
{
  const guint work_ms = (guint) (dp_config_timing_bound (timing, delay) * WORK_SHARE);
  const guint last_ms = READ_AGAIN_MS + DP_CONFIG_TICK_MS + work_ms;

  switch (delay)
    {
    case DP_CONFIG_DELAY_SILENT_WATCH:
      return timing->watch_wait_ms + timing->answer_ms + last_ms;
    case DP_CONFIG_DELAY_SILENT_RELAY_WATCH:
      return timing->relay_watch_wait_ms + timing->answer_ms + last_ms;
    case DP_CONFIG_DELAY_OUTAGE:
      return DP_PLATFORM_LAST_READ_TIMEOUT_MS + timing->retry_max_ms + last_ms;
    case DP_CONFIG_DELAY_SILENT_PARENT:
      return timing->relay_max_age_ms + last_ms;
    case DP_N_CONFIG_DELAYS:
    default:
      g_assert_not_reached ();
    }
}

/* Returns the bound of one way: the settling time does not hold for a balancer that is
 * not disturbed itself. */
guint
dp_config_timing_bound (const DpConfigTiming *timing, DpConfigDelay delay)
{
  const gboolean others_disturbed = delay == DP_CONFIG_DELAY_SILENT_PARENT
                                    || delay == DP_CONFIG_DELAY_SILENT_RELAY_WATCH;

  return others_disturbed ? timing->apply_ms : timing->settle_ms;
}

/* Returns whether the waits of each way stay within its bound. */
gboolean
dp_config_timing_fits (const DpConfigTiming *timing)
{
  for (guint i = 0; i < DP_N_CONFIG_DELAYS; i++)
    if (dp_config_timing_sum (timing, (DpConfigDelay) i)
        > dp_config_timing_bound (timing, (DpConfigDelay) i))
      return FALSE;
  return TRUE;
}

/* Returns the wanted wait, or what the other waits and the work leave of the bound. */
static guint
limit_ (double wanted_ms, double bound_ms, guint used_ms)
{
  const double left_ms = bound_ms * (1 - WORK_SHARE) - used_ms;

  return (guint) MAX (WAIT_MIN_MS, MIN (wanted_ms, left_ms));
}
