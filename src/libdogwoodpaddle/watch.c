#include "private/watch.h"

#include "protected/backoff.h"
#include "protected/error.h"

#define SPACING_MS 100 /* between two calls; limits their rate during many writes */
/* Wait of a watch that follows a failure: it is to show soon whether the platform answers
 * again. */
#define PROBE_WAIT_MS 10
#define RETRY_MAX_MS 5000

struct _DpWatch
{
  DpPlatform *platform;
  guint collection;
  guint wait_ms;
  guint answer_ms; /* time for the answer besides the wait */
  guint spacing_ms;
  DpReplica *replica;
  DpWatchListener listener;
  gpointer user_data;
  gboolean active;
  gboolean reachable; /* the last call was answered */
  guint n_failures;   /* calls without an answer since the last one with an answer */
  gboolean listing;   /* the call in progress lists all objects */
  gboolean listed;    /* the next call may be a watch that continues from since */
  gboolean behind;    /* the platform is at a lower revision than the replica */
  guint64 since;      /* the platform's revision in its last response */
  DpBackoff backoff;
  guint timer; /* source id */
  DpMetric *failures;
  DpMetric *behind_gauge;
};

static gboolean call_now_ (gpointer user_data);
static void call_done_ (GPtrArray *records,
                        guint64 revision,
                        const GError *error,
                        gpointer user_data);
static void handle_failure_ (DpWatch *watch, const GError *error);
static void handle_response_ (DpWatch *watch, GPtrArray *records, guint64 revision);
static void check_revision_ (DpWatch *watch, guint64 revision);

/* Creates a watch that is not active. The platform holds a call open for at most wait_ms.
 * A platform that has lost the history since the watched revision may report that only
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
  watch->replica = replica;
  watch->listener = *listener;
  watch->user_data = user_data;
  dp_backoff_init (&watch->backoff, DP_WATCH_RETRY_FIRST_MS, RETRY_MAX_MS);
  watch->failures = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                    "dogwoodpaddle_platform_failures_total", "",
                                    "Watches of the platform that failed");
  watch->behind_gauge = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_platform_behind", "",
      "1 while the platform is at a lower revision than this process");
  return watch;
}

/* Stops the watch and frees it. */
void
dp_watch_free (DpWatch *watch)
{
  if (watch == NULL)
    return;
  dp_watch_set_active (watch, FALSE);
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

/* Makes the next call list all objects instead of watching for changes. */
void
dp_watch_relist (DpWatch *watch)
{
  watch->listed = FALSE;
}

/* Starts or stops the watch. It starts by listing all objects, unless it was active
 * before and can continue from its last revision. */
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
  watch->reachable = FALSE;
  watch->n_failures = 0;
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

/* Returns whether the platform is at a lower revision than the replica, as after a
 * restore from an older state. */
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
  watch->listing = !watch->listed;
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
call_done_ (GPtrArray *records, guint64 revision, const GError *error, gpointer user_data)
{
  DpWatch *watch = user_data;
  const gboolean snapshot =
      dp_platform_collection (watch->platform, watch->collection)->snapshot;
  guint delay = watch->spacing_ms;

  if (error != NULL && g_error_matches (error, DP_ERROR, DP_ERROR_LIMIT))
    {
      g_message ("%s", error->message);
      watch->listed = FALSE;
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
      handle_response_ (watch, records, revision);
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
handle_response_ (DpWatch *watch, GPtrArray *records, guint64 revision)
{
  const DpPlatformCollection *collection = dp_platform_collection (watch->platform,
                                                                   watch->collection);

  check_revision_ (watch, revision);
  /* A platform whose revision went back has to be listed again: a watch from its present
   * revision does not report the changes made up to that revision. */
  if (!watch->listing && revision < watch->since)
    watch->listed = FALSE;
  else
    watch->listed = TRUE;
  watch->since = revision;
  /* A snapshot has a record at least, so an answer without any has none. */
  if (collection->snapshot ? records->len > 0 : watch->listing)
    dp_replica_apply_list (watch->replica, collection->kinds, records, revision);
  else if (!collection->snapshot || dp_replica_revision (watch->replica) > 0)
    {
      for (guint i = 0; i < records->len; i++)
        dp_replica_apply (watch->replica, g_ptr_array_index (records, i));
      dp_replica_set_revision (watch->replica, revision);
    }
  watch->n_failures = 0;
  if (!watch->reachable)
    {
      watch->reachable = TRUE;
      watch->listener.reachable (TRUE, watch->user_data);
    }
  watch->listener.progressed (watch->user_data);
}

/* Logs when the platform's revision becomes lower than the replica's, and when it no
 * longer is; sets the metric. */
static void
check_revision_ (DpWatch *watch, guint64 revision)
{
  guint64 own_revision = dp_replica_revision (watch->replica);
  gboolean behind = revision < own_revision;

  if (behind && !watch->behind)
    g_critical ("platform: revision %" G_GUINT64_FORMAT
                " is lower than this process's revision %" G_GUINT64_FORMAT
                "; the records of this process stay in force",
                revision, own_revision);
  else if (!behind && watch->behind)
    g_message ("platform: revision %" G_GUINT64_FORMAT
               " is no longer lower than this process's revision",
               revision);
  watch->behind = behind;
  watch->behind_gauge->value = behind ? 1 : 0;
}
