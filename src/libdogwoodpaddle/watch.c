#include "private/watch.h"

#include "protected/backoff.h"
#include "protected/error.h"

#define SPACING_MS 100 /* between two calls; limits their rate during many writes */
/* Wait of a watch that follows a failure: it is to show soon whether the platform answers
 * again. */
#define PROBE_WAIT_MS 10
#define RETRY_MAX_MS 5000
/* Maximum delay before a collection that all processes watch is listed after the store
 * was restored. It is random, as all learn of the restore at about the same time. */
#define RELIST_MS 1000

struct _DpWatch
{
  DpPlatform *platform;
  guint collection;
  guint wait_ms;
  guint answer_ms; /* time for the answer besides the wait */
  guint spacing_ms;
  guint relist_ms; /* maximum delay before a list after the store was restored */
  DpReplica *replica;
  DpWatchListener listener;
  gpointer user_data;
  gboolean active;
  gboolean reachable; /* the last call was answered */
  guint n_failures;   /* calls without an answer since the last one with an answer */
  gboolean listing;   /* the call in progress lists all objects */
  gboolean listed;    /* the next call may be a watch that continues from since */
  gboolean behind;    /* the platform offers an older state than the replica has */
  DpPosition since;   /* the platform's position in its last response */
  DpBackoff backoff;
  DpBackoff gone_backoff; /* of watches that can't continue, without one that could */
  guint timer;            /* source id */
  DpMetric *failures;
  DpMetric *behind_gauge;
  DpMetric *era_gauge;
  DpMetric *restores;
};

static gboolean call_now_ (gpointer user_data);
static void call_done_ (GPtrArray *records,
                        DpPosition position,
                        const GError *error,
                        gpointer user_data);
static void handle_failure_ (DpWatch *watch, const GError *error);
static void handle_response_ (DpWatch *watch, GPtrArray *records, DpPosition position);
static void apply_ (DpWatch *watch, GPtrArray *records, DpPosition position);
static void apply_snapshot_ (DpWatch *watch, GPtrArray *records);
static void check_position_ (DpWatch *watch, DpPosition position);
static char *position_to_string_ (const DpWatch *watch, DpPosition position);
static gboolean continues_ (const DpWatch *watch);
static void era_changed_ (gpointer user_data);

/* Creates a watch that is not active. The platform holds a call open for at most wait_ms.
 * A platform that has lost the history since the watched position may report that only
 * when the call ends, so wait_ms bounds how long a change may go unnoticed. */
DpWatch *
dp_watch_new (DpPlatform *platform,
              guint collection,
              guint wait_ms,
              DpReplica *replica,
              DpMetrics *metrics,
              const DpWatchListener *listener,
              gpointer user_data)
{
  DpWatch *watch = g_new0 (DpWatch, 1);

  watch->platform = platform;
  watch->collection = collection;
  watch->wait_ms = wait_ms;
  watch->answer_ms = G_MAXUINT;
  watch->spacing_ms = SPACING_MS;
  watch->relist_ms = dp_platform_collection (platform, collection)->snapshot
                         ? DP_WATCH_RELIST_FEW_MS
                         : RELIST_MS;
  watch->replica = replica;
  watch->listener = *listener;
  watch->user_data = user_data;
  dp_backoff_init (&watch->backoff, DP_WATCH_RETRY_FIRST_MS, RETRY_MAX_MS);
  dp_backoff_init (&watch->gone_backoff, DP_WATCH_RETRY_FIRST_MS, RETRY_MAX_MS);
  watch->failures = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                    "dogwoodpaddle_platform_failures_total", "",
                                    "Watches of the platform that failed");
  watch->behind_gauge = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_platform_behind", "",
      "Watched collections of which the platform offers an older state than this process "
      "has");
  watch->era_gauge = dp_metrics_add (metrics, DP_METRIC_GAUGE, "dogwoodpaddle_store_era",
                                     "",
                                     "Era of the store as its last response shows it");
  watch->restores = dp_metrics_add (
      metrics, DP_METRIC_COUNTER, "dogwoodpaddle_store_restores_total", "",
      "Times that a collection was listed again because the store was restored");
  dp_platform_add_era_listener (platform, era_changed_, watch);
  return watch;
}

/* Stops the watch and frees it. */
void
dp_watch_free (DpWatch *watch)
{
  if (watch == NULL)
    return;
  dp_watch_set_active (watch, FALSE);
  dp_platform_remove_era_listener (watch->platform, watch);
  g_free (watch);
}

/* Sets how long, in ms, a call may stay unanswered besides its wait, and the maximum
 * delay between two failed calls. */
void
dp_watch_set_limits (DpWatch *watch, guint answer_ms, guint retry_max_ms)
{
  watch->answer_ms = answer_ms;
  dp_backoff_init (&watch->backoff, DP_WATCH_RETRY_FIRST_MS,
                   MAX (retry_max_ms, DP_WATCH_RETRY_FIRST_MS));
  dp_backoff_init (&watch->gone_backoff, DP_WATCH_RETRY_FIRST_MS,
                   MAX (retry_max_ms, DP_WATCH_RETRY_FIRST_MS));
}

/* Sets how long, in ms, the platform may hold later calls open. */
void
dp_watch_set_wait (DpWatch *watch, guint wait_ms)
{
  watch->wait_ms = wait_ms;
}

/* Sets the time, in ms, between the end of a call and the next one, so that changes in a
 * burst share a response. */
void
dp_watch_set_spacing (DpWatch *watch, guint spacing_ms)
{
  watch->spacing_ms = spacing_ms;
}

/* Sets the maximum delay, in ms, before everything is listed after the store was
 * restored. */
void
dp_watch_set_relist_delay (DpWatch *watch, guint relist_ms)
{
  watch->relist_ms = relist_ms;
}

/* Makes the next call list all objects instead of watching for changes. */
void
dp_watch_relist (DpWatch *watch)
{
  watch->listed = FALSE;
}

/* Starts or stops the watch. It starts by listing all objects, unless it was active
 * before and can continue from its last position. */
void
dp_watch_set_active (DpWatch *watch, gboolean active)
{
  if (watch->active == active)
    return;
  watch->active = active;
  if (active)
    {
      watch->timer = g_timeout_add (0, call_now_, watch);
      return;
    }
  dp_platform_cancel (watch->platform, watch);
  g_clear_handle_id (&watch->timer, g_source_remove);
  dp_backoff_reset (&watch->backoff);
  dp_backoff_reset (&watch->gone_backoff);
  watch->reachable = FALSE;
  watch->n_failures = 0;
  if (watch->behind)
    watch->behind_gauge->value--;
  watch->behind = FALSE;
}

/* Returns whether the watch has been started. */
gboolean
dp_watch_active (const DpWatch *watch)
{
  return watch->active;
}

/* Returns whether the platform answered the last call. */
gboolean
dp_watch_reachable (const DpWatch *watch)
{
  return watch->reachable;
}

/* Returns whether the last call failed. */
gboolean
dp_watch_failed (const DpWatch *watch)
{
  return watch->n_failures > 0;
}

/* Returns whether the last call listed all objects. */
gboolean
dp_watch_answered_by_list (const DpWatch *watch)
{
  return watch->listing;
}

/* Returns whether the platform offers an older state than the replica has, as after a
 * restore from a backup. */
gboolean
dp_watch_platform_is_behind (const DpWatch *watch)
{
  return watch->behind;
}

static gboolean
call_now_ (gpointer user_data)
{
  DpWatch *watch = user_data;

  watch->timer = 0;
  watch->listing = !continues_ (watch);
  if (watch->listing)
    dp_platform_list (watch->platform, watch->collection, call_done_, watch);
  else
    {
      const gboolean probe = watch->n_failures > 0;

      dp_platform_watch (
          watch->platform, watch->collection, watch->since,
          probe ? PROBE_WAIT_MS : watch->wait_ms,
          probe ? dp_platform_read_timeout (watch->platform, watch->n_failures)
                : watch->answer_ms,
          call_done_, watch);
    }
  return G_SOURCE_REMOVE;
}

static void
call_done_ (GPtrArray *records,
            DpPosition position,
            const GError *error,
            gpointer user_data)
{
  DpWatch *watch = user_data;
  const gboolean snapshot =
      dp_platform_collection (watch->platform, watch->collection)->snapshot;
  guint delay = watch->spacing_ms;
  gboolean again;
  guint pause;

  if (error != NULL && g_error_matches (error, DP_ERROR, DP_ERROR_LIMIT))
    {
      g_message ("%s", error->message);
      watch->listed = FALSE;
      /* The first list follows at once, so that nothing is missed for long. A store that
       * answers each watch like this must not be listed ten times a second. */
      again = watch->gone_backoff.attempts > 0;
      pause = dp_backoff_next (&watch->gone_backoff);
      if (again)
        delay = MAX (delay, pause);
    }
  else if (error != NULL)
    {
      /* A list shows whether an object that could not be read still is as it was. A
       * snapshot is short, and its list doesn't depend on the history, which may have
       * been lost while no call was answered. */
      if (snapshot || g_error_matches (error, DP_ERROR, DP_ERROR_INVALID))
        watch->listed = FALSE;
      delay = dp_backoff_next (&watch->backoff);
      handle_failure_ (watch, error);
    }
  else
    {
      dp_backoff_reset (&watch->backoff);
      if (!watch->listing)
        dp_backoff_reset (&watch->gone_backoff);
      handle_response_ (watch, records, position);
    }
  if (watch->active)
    watch->timer = g_timeout_add (delay, call_now_, watch);
}

/* Logs failures 1, 2, 4, 8 and so on in a row. */
static void
handle_failure_ (DpWatch *watch, const GError *error)
{
  dp_metric_increment (watch->failures);
  watch->n_failures++;
  watch->reachable = FALSE;
  if ((watch->n_failures & (watch->n_failures - 1)) == 0)
    g_warning ("%s; %u failed in a row", error->message, watch->n_failures);
  if (watch->n_failures == 1)
    watch->listener.reachable (FALSE, watch->user_data);
}

static void
handle_response_ (DpWatch *watch, GPtrArray *records, DpPosition position)
{
  watch->era_gauge->value = dp_position_era (position);
  /* A platform whose position went back has to be listed again: a watch from its present
   * position does not report the changes made up to that position. */
  watch->listed = watch->listing || dp_position_compare (position, watch->since) >= 0;
  watch->since = position;
  if (dp_platform_collection (watch->platform, watch->collection)->snapshot)
    apply_snapshot_ (watch, records);
  else
    apply_ (watch, records, position);
  watch->n_failures = 0;
  if (!watch->reachable)
    {
      watch->reachable = TRUE;
      watch->listener.reachable (TRUE, watch->user_data);
    }
  watch->listener.progressed (watch->user_data);
}

static void
apply_ (DpWatch *watch, GPtrArray *records, DpPosition position)
{
  check_position_ (watch, position);
  if (watch->listing)
    {
      dp_replica_apply_list (
          watch->replica,
          dp_platform_collection (watch->platform, watch->collection)->kinds, records,
          position);
      return;
    }
  for (guint i = 0; i < records->len; i++)
    dp_replica_apply (watch->replica, g_ptr_array_index (records, i));
  dp_replica_set_position (watch->replica, position);
}

/* Applies a snapshot, whose records all have its version as their position. An older one
 * is ignored as a whole, as its objects may include some that a newer one has removed. A
 * snapshot has a record at least: a list without any shows that the platform has none. */
static void
apply_snapshot_ (DpWatch *watch, GPtrArray *records)
{
  const DpPosition version =
      records->len == 0 ? 0
                        : ((const DpRecord *) g_ptr_array_index (records, 0))->position;

  if (records->len == 0 && !watch->listing)
    return;
  check_position_ (watch, version);
  if (records->len > 0 && !watch->behind)
    dp_replica_apply_list (
        watch->replica,
        dp_platform_collection (watch->platform, watch->collection)->kinds, records,
        version);
}

/* Logs when the platform's state becomes older than the replica's, and when it no longer
 * is; sets the metric. */
static void
check_position_ (DpWatch *watch, DpPosition position)
{
  const DpPosition own = dp_replica_position (watch->replica);
  const gboolean behind = dp_position_compare (position, own) < 0;
  g_autofree char *offered = position_to_string_ (watch, position);
  g_autofree char *held = position_to_string_ (watch, own);

  if (behind && !watch->behind)
    g_critical ("platform: %s is lower than this process's %s; the records of this "
                "process stay in force",
                offered, held);
  else if (!behind && watch->behind)
    g_message ("platform: %s is no longer lower than this process's %s", offered, held);
  if (behind && !watch->behind)
    watch->behind_gauge->value++;
  else if (!behind && watch->behind)
    watch->behind_gauge->value--;
  watch->behind = behind;
}

static char *
position_to_string_ (const DpWatch *watch, DpPosition position)
{
  if (dp_platform_collection (watch->platform, watch->collection)->snapshot)
    return g_strdup_printf ("version=%" G_GUINT64_FORMAT,
                            dp_position_to_version (position));
  return g_strdup_printf ("position=" DP_POSITION_FORMAT, DP_POSITION_ARGS (position));
}

/* Returns whether the next call may be a watch that continues from since. */
static gboolean
continues_ (const DpWatch *watch)
{
  return watch->listed
         && dp_position_era (watch->since) == dp_platform_era (watch->platform);
}

/* Lists everything again after the store was restored. A call in progress is abandoned,
 * since the store may hold it open until a position of the era that has ended. */
static void
era_changed_ (gpointer user_data)
{
  DpWatch *watch = user_data;

  if (!watch->active || continues_ (watch))
    return;
  dp_metric_increment (watch->restores);
  watch->listed = FALSE;
  dp_platform_cancel (watch->platform, watch);
  g_clear_handle_id (&watch->timer, g_source_remove);
  watch->timer = g_timeout_add (
      (guint) g_random_int_range (0, (gint32) watch->relist_ms + 1), call_now_, watch);
}
