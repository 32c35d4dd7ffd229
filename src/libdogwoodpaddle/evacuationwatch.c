#include "private/evacuationwatch.h"

#include "private/watch.h"

/* Of the time in which an evacuation has to be in force, for its way from the balancers
 * that watch the platform to all companions: reports every 100 ms, one datagram in
 * 250 ms, and one more of each in case one is lost. */
#define SPREAD_MS 1000

struct _DpEvacuationWatch
{
  DpEvacuations *evacuations; /* not owned */
  DpClock *clock;
  DpReplica *replica;
  DpWatch *watch;
  DpConfigTiming timing;
  guint listener;
};

static void record_changed_ (const DpRecord *record, gpointer user_data);
static void platform_reachable_ (gboolean reachable, gpointer user_data);
static void progressed_ (gpointer user_data);
static DpEvacuationSource source_ (const DpEvacuationWatch *watch);

/* Creates a watch that is not active. */
DpEvacuationWatch *
dp_evacuation_watch_new (const DpPassthroughBalancerOptions *options,
                         DpEvacuations *evacuations)
{
  static const DpWatchListener listener = { platform_reachable_, progressed_ };
  DpEvacuationWatch *watch = g_new0 (DpEvacuationWatch, 1);
  const guint bound_ms = options->evacuate_ms > SPREAD_MS
                             ? options->evacuate_ms - SPREAD_MS
                             : 0;

  watch->evacuations = evacuations;
  watch->clock = options->clock;
  watch->replica = dp_replica_new ();
  watch->listener = dp_replica_add_listener (watch->replica, record_changed_, watch);
  dp_config_timing_init (&watch->timing, MIN (options->timing.settle_ms, bound_ms),
                         MIN (options->timing.apply_ms, bound_ms));
  if (!dp_config_timing_fits (&watch->timing))
    g_warning (
        "a bound of %u ms for evacuations leaves too little time to read them again "
        "after a failure",
        options->evacuate_ms);
  watch->watch = dp_watch_new (options->platform, options->evacuations_collection,
                               watch->timing.watch_wait_ms, watch->replica,
                               options->metrics, &listener, watch);
  dp_watch_set_limits (watch->watch, watch->timing.answer_ms, watch->timing.retry_max_ms);
  dp_watch_set_relist_delay (watch->watch, DP_WATCH_RELIST_FEW_MS);
  return watch;
}

/* Abandons a call in progress and frees the watch. */
void
dp_evacuation_watch_free (DpEvacuationWatch *watch)
{
  if (watch == NULL)
    return;
  dp_watch_free (watch->watch);
  dp_replica_remove_listener (watch->replica, watch->listener);
  dp_replica_free (watch->replica);
  g_free (watch);
}

/* Starts or stops the watch. It starts with a list, since the platform may no longer have
 * the changes since the last call. */
void
dp_evacuation_watch_set_active (DpEvacuationWatch *watch, gboolean active)
{
  if (active && !dp_watch_active (watch->watch))
    dp_watch_relist (watch->watch);
  dp_watch_set_active (watch->watch, active);
}

/* Returns whether the watch is active and the platform answered its last call. */
gboolean
dp_evacuation_watch_reachable (const DpEvacuationWatch *watch)
{
  return dp_watch_reachable (watch->watch);
}

/* The evacuation is the object's presence; its contents say nothing. */
static void
record_changed_ (const DpRecord *record, gpointer user_data)
{
  DpEvacuationWatch *watch = user_data;
  const DpEvacuationEntry change = {
    .zone = record->name,
    .position = record->position,
    .evacuated = !record->deleted,
  };

  dp_evacuations_apply (watch->evacuations, &change, source_ (watch),
                        dp_clock_now (watch->clock));
}

static void
platform_reachable_ (gboolean reachable, gpointer user_data)
{
  g_message ("evacuations: platform %s", reachable ? "reachable" : "not reachable");
}

static void
progressed_ (gpointer user_data)
{
  DpEvacuationWatch *watch = user_data;

  dp_evacuations_set_complete (watch->evacuations, dp_replica_position (watch->replica),
                               source_ (watch), dp_clock_now (watch->clock));
}

static DpEvacuationSource
source_ (const DpEvacuationWatch *watch)
{
  return dp_watch_answered_by_list (watch->watch) ? DP_EVACUATION_FROM_LIST
                                                  : DP_EVACUATION_FROM_WATCH;
}
