#include "private/watcher.h"

#include "protected/fleet.h"
#include "protected/json.h"
#include "protected/liveness.h"
#include "protected/membership.h"
#include "protected/memberview.h"
#include "protected/topology.h"

#define BALANCERS_SERVICE "" /* in place of a service's name, for watched balancers */

/* What a watched process last reported in its heartbeat. */
typedef struct
{
  char *service;
  char *member;
  char *zone;
  guint64 incarnation;
  DpPosition position;
  guint32 busy_slots;
  guint32 connections;
  gint64 heard_at; /* us, -1: never */
} WatchedProcess;

/* A removal in progress. */
typedef struct
{
  DpWatcher *watcher;
  char *key;
  char *service;
  char *member;
  guint64 incarnation;
} Removal;

struct _DpWatcher
{
  char *name;
  char *zone;
  DpReplica *replica;
  guint replica_listener;
  DpPlatform *platform;
  GHashTable *views;
  DpClock *clock;
  DpRelay *relay;
  DpTopology *topology;
  DpLiveness *liveness;
  GHashTable *processes;    /* "SERVICE/MEMBER" to WatchedProcess */
  GHashTable *watches;      /* "SERVICE/MEMBER" to Watch; emptied on a topology change */
  GHashTable *removals;     /* "SERVICE/MEMBER" to Removal */
  gboolean platform_failed; /* the watch on the platform or the last call to it failed */
  gboolean topology_is_stale;
  gboolean members_are_stale;
  GArray *actions; /* DpLivenessAction */
  guint tick;      /* source id */
  DpMetric *removed;
  DpMetric *suspected;
  DpMetric *mass_losses;
  DpMetric *pauses;
};

typedef enum
{
  WATCH_NONE,
  WATCH_ONE_ZONE,      /* watched here, but by no balancer of another zone */
  WATCH_SEVERAL_ZONES, /* watched here and in another zone */
  N_WATCHES
} Watch;

static void process_free_ (gpointer data);
static void removal_free_ (gpointer data);
static char *make_key_ (const char *service, const char *member);
static void replica_changed_ (const DpRecord *record, gpointer user_data);
static gboolean tick_ (gpointer user_data);
static void update_members_ (DpWatcher *watcher, gint64 now);
static void update_balancers_ (DpWatcher *watcher, gint64 now, GHashTable *watched_keys);
static void watch_process_ (DpWatcher *watcher,
                            const char *service,
                            const char *member,
                            const char *zone,
                            guint64 incarnation,
                            gint64 now,
                            GHashTable *watched_keys);
static Watch determine_watch_ (DpWatcher *watcher,
                               const char *service,
                               const char *member,
                               const char *zone,
                               const char *key);
static guint watchers_of_ (DpWatcher *watcher,
                           const char *service,
                           const char *member,
                           const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS]);
static void ensure_process_ (DpWatcher *watcher,
                             const char *key,
                             const char *service,
                             const char *member,
                             const char *zone);
static gboolean is_not_watched_ (gpointer key, gpointer value, gpointer watched_keys);
static void perform_action_ (DpWatcher *watcher, const DpLivenessAction *action);
static void send_suspicion_ (DpWatcher *watcher, const DpLivenessAction *action);
static void start_removal_ (DpWatcher *watcher, const DpLivenessAction *action);
static void on_object_read_ (GPtrArray *records,
                             DpPosition version,
                             const GError *error,
                             gpointer user_data);
static gboolean suspicion_holds_ (gpointer user_data);
static gboolean note_platform_result_ (DpWatcher *watcher, const GError *error);
static void write_removal_ (Removal *removal, const DpRecord *record, DpPosition version);
static gboolean may_delete_balancer_ (const Removal *removal, const DpRecord *record);
static void on_removal_written_ (DpWriteResult result,
                                 DpRecord *record,
                                 const GError *error,
                                 gpointer user_data);
static void
add_process_status_ (DpWatcher *watcher, const WatchedProcess *process, JsonArray *list);

/* Creates a watcher that watches no process yet. */
DpWatcher *
dp_watcher_new (const DpWatcherOptions *options)
{
  DpWatcher *watcher = g_new0 (DpWatcher, 1);

  watcher->name = g_strdup (options->name);
  watcher->zone = g_strdup (options->zone);
  watcher->replica = options->replica;
  watcher->platform = options->platform;
  watcher->views = options->views;
  watcher->clock = options->clock;
  watcher->topology = dp_topology_new (options->replica);
  watcher->liveness = dp_liveness_new (options->zone, dp_clock_now (options->clock));
  watcher->processes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              process_free_);
  watcher->watches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  watcher->removals = g_hash_table_new (g_str_hash, g_str_equal);
  watcher->actions = g_array_new (FALSE, FALSE, sizeof (DpLivenessAction));
  watcher->members_are_stale = TRUE;
  watcher->topology_is_stale = TRUE;
  watcher->replica_listener = dp_replica_add_listener (options->replica, replica_changed_,
                                                       watcher);
  watcher->removed = dp_metrics_add (options->metrics, DP_METRIC_COUNTER,
                                     "dogwoodpaddle_removals_total", "",
                                     "Processes removed as dead");
  watcher->suspected = dp_metrics_add (options->metrics, DP_METRIC_COUNTER,
                                       "dogwoodpaddle_suspicions_total", "",
                                       "Suspicions, repeated ones included");
  watcher->mass_losses = dp_metrics_add (
      options->metrics, DP_METRIC_COUNTER, "dogwoodpaddle_mass_losses_total", "",
      "Times that more than half of a service was suspected");
  watcher->pauses = dp_metrics_add (options->metrics, DP_METRIC_COUNTER,
                                    "dogwoodpaddle_watcher_pauses_total", "",
                                    "Times that this watcher was paused");
  return watcher;
}

/* Frees the watcher and cancels its removals in progress. Has to be called before the
 * platform client and the replica are freed. */
void
dp_watcher_free (DpWatcher *watcher)
{
  GHashTableIter iter;
  gpointer removal;

  if (watcher == NULL)
    return;
  g_clear_handle_id (&watcher->tick, g_source_remove);
  dp_replica_remove_listener (watcher->replica, watcher->replica_listener);
  g_hash_table_iter_init (&iter, watcher->removals);
  while (g_hash_table_iter_next (&iter, NULL, &removal))
    {
      dp_platform_cancel (watcher->platform, removal);
      g_hash_table_iter_remove (&iter);
      removal_free_ (removal);
    }
  g_hash_table_unref (watcher->removals);
  g_hash_table_unref (watcher->watches);
  g_hash_table_unref (watcher->processes);
  g_array_unref (watcher->actions);
  dp_liveness_free (watcher->liveness);
  dp_topology_free (watcher->topology);
  g_free (watcher->name);
  g_free (watcher->zone);
  g_free (watcher);
}

/* Starts the watcher's periodic checks. */
void
dp_watcher_start (DpWatcher *watcher, DpRelay *relay)
{
  watcher->relay = relay;
  watcher->tick = g_timeout_add (DP_LIVENESS_TICK_INTERVAL_US / DP_US_PER_MS, tick_,
                                 watcher);
}

/* Handles a heartbeat. It is ignored if the process is not watched here. */
void
dp_watcher_handle_heartbeat (DpWatcher *watcher, const DpHeartbeat *heartbeat)
{
  g_autofree char *key = make_key_ (heartbeat->service, heartbeat->member);
  WatchedProcess *process = g_hash_table_lookup (watcher->processes, key);
  gint64 now = dp_clock_now (watcher->clock);

  dp_liveness_handle_heartbeat (watcher->liveness, heartbeat->service, heartbeat->member,
                                heartbeat->incarnation, now);
  if (process == NULL || heartbeat->incarnation < process->incarnation)
    return;
  process->incarnation = heartbeat->incarnation;
  process->position = heartbeat->position;
  process->busy_slots = heartbeat->busy_slots;
  process->connections = heartbeat->connections;
  process->heard_at = now;
}

/* Handles another balancer's suspicion. It is ignored unless that balancer is one of the
 * member's watchers. The balancer's zone is taken from its registration. */
void
dp_watcher_handle_suspicion (DpWatcher *watcher, const DpSuspicion *suspicion)
{
  const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS];
  guint n = watchers_of_ (watcher, suspicion->service, suspicion->member, watchers);

  for (guint i = 0; i < n; i++)
    {
      if (g_str_equal (watchers[i]->name, suspicion->watcher))
        dp_liveness_handle_suspicion (watcher->liveness, suspicion->service,
                                      suspicion->member, suspicion->incarnation,
                                      watchers[i]->zone, dp_clock_now (watcher->clock));
    }
}

/* Restarts all observations when the platform is reachable again. */
void
dp_watcher_set_platform_reachable (DpWatcher *watcher, gboolean reachable)
{
  if (reachable)
    dp_liveness_restart (watcher->liveness, dp_clock_now (watcher->clock));
  watcher->platform_failed = !reachable;
}

/* Returns FALSE if the relay's watch on the platform or this watcher's last call to it
 * has failed. */
gboolean
dp_watcher_platform_answers (const DpWatcher *watcher)
{
  return !watcher->platform_failed;
}

/* Adds to the status what the watched processes last reported, their liveness, and as
 * "alone" whether all registered balancers are in this watcher's availability zone. */
void
dp_watcher_add_status (DpWatcher *watcher, JsonObject *status)
{
  JsonArray *members = json_array_new ();
  JsonArray *balancers = json_array_new ();
  GHashTableIter iter;
  gpointer value;
  gboolean alone = TRUE;

  g_hash_table_iter_init (&iter, watcher->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_process_status_ (watcher, value,
                         ((const WatchedProcess *) value)->service[0] == '\0' ? balancers
                                                                              : members);
  for (guint i = 0; i < dp_topology_size (watcher->topology); i++)
    alone = alone
            && g_str_equal (dp_topology_at (watcher->topology, i)->zone, watcher->zone);
  json_object_set_array_member (status, "watched", members);
  json_object_set_array_member (status, "watched_balancers", balancers);
  json_object_set_boolean_member (status, "alone", alone);
}

static void
process_free_ (gpointer data)
{
  WatchedProcess *process = data;

  g_free (process->service);
  g_free (process->member);
  g_free (process->zone);
  g_free (process);
}

static void
removal_free_ (gpointer data)
{
  Removal *removal = data;

  g_free (removal->key);
  g_free (removal->service);
  g_free (removal->member);
  g_free (removal);
}

static char *
make_key_ (const char *service, const char *member)
{
  return g_strdup_printf ("%s/%s", service, member);
}

static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpWatcher *watcher = user_data;

  if (record->kind == DP_KIND_BALANCER)
    watcher->topology_is_stale = TRUE;
  watcher->members_are_stale = TRUE;
}

static gboolean
tick_ (gpointer user_data)
{
  DpWatcher *watcher = user_data;
  gint64 now = dp_clock_now (watcher->clock);

  if (watcher->members_are_stale)
    update_members_ (watcher, now);
  g_array_set_size (watcher->actions, 0);
  dp_liveness_tick (watcher->liveness, now, watcher->actions);
  for (guint i = 0; i < watcher->actions->len; i++)
    perform_action_ (watcher, &g_array_index (watcher->actions, DpLivenessAction, i));
  return G_SOURCE_CONTINUE;
}

/* Updates the set of processes that this balancer watches. Which balancers watch a member
 * depends on the topology only. The choice is computed again only when the topology
 * changes, since that takes a noticeable time for thousands of members and balancers. */
static void
update_members_ (DpWatcher *watcher, gint64 now)
{
  g_autoptr (GHashTable)
      watched_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer value;

  if (watcher->topology_is_stale)
    {
      dp_topology_free (watcher->topology);
      watcher->topology = dp_topology_new (watcher->replica);
      g_hash_table_remove_all (watcher->watches);
    }
  watcher->topology_is_stale = FALSE;
  watcher->members_are_stale = FALSE;
  dp_liveness_begin_members (watcher->liveness);
  g_hash_table_iter_init (&iter, watcher->views);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpMemberView *view = value;

      for (guint i = 0; i < view->n_members; i++)
        {
          const DpMember *member = &view->members[i];

          watch_process_ (watcher, view->service, member->name, member->zone,
                          member->incarnation, now, watched_keys);
        }
      dp_liveness_set_service_size (watcher->liveness, view->service, view->n_members);
    }
  update_balancers_ (watcher, now, watched_keys);
  dp_liveness_end_members (watcher->liveness);
  g_hash_table_foreach_remove (watcher->processes, is_not_watched_, watched_keys);
}

static void
update_balancers_ (DpWatcher *watcher, gint64 now, GHashTable *watched_keys)
{
  guint n = dp_topology_size (watcher->topology);

  for (guint i = 0; i < n; i++)
    {
      const DpTopologyBalancer *balancer = dp_topology_at (watcher->topology, i);

      watch_process_ (watcher, BALANCERS_SERVICE, balancer->name, balancer->zone,
                      balancer->incarnation, now, watched_keys);
    }
  dp_liveness_set_service_size (watcher->liveness, BALANCERS_SERVICE, n);
}

static void
watch_process_ (DpWatcher *watcher,
                const char *service,
                const char *member,
                const char *zone,
                guint64 incarnation,
                gint64 now,
                GHashTable *watched_keys)
{
  g_autofree char *key = make_key_ (service, member);
  Watch watch = determine_watch_ (watcher, service, member, zone, key);
  DpFleetSettings settings;
  DpLivenessMember entry = { service, member, incarnation, 0,
                             watch == WATCH_SEVERAL_ZONES };

  if (watch == WATCH_NONE)
    return;
  dp_fleet_effective_settings (watcher->replica, service[0] == '\0' ? NULL : service,
                               member, &settings);
  entry.suspect_after = settings.suspect_ms * DP_US_PER_MS;
  dp_liveness_set_member (watcher->liveness, &entry, now);
  ensure_process_ (watcher, key, service, member, zone);
  g_hash_table_add (watched_keys, g_steal_pointer (&key));
}

static Watch
determine_watch_ (DpWatcher *watcher,
                  const char *service,
                  const char *member,
                  const char *zone,
                  const char *key)
{
  const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS];
  gpointer known;
  gboolean here = FALSE;
  gboolean elsewhere = FALSE;
  Watch watch;
  guint n;

  if (g_hash_table_lookup_extended (watcher->watches, key, NULL, &known))
    return (Watch) GPOINTER_TO_INT (known);
  n = dp_topology_watchers (watcher->topology, service, member, zone, watchers);
  for (guint i = 0; i < n; i++)
    {
      here = here || g_str_equal (watchers[i]->name, watcher->name);
      elsewhere = elsewhere || !g_str_equal (watchers[i]->zone, watcher->zone);
    }
  watch = !here ? WATCH_NONE : elsewhere ? WATCH_SEVERAL_ZONES : WATCH_ONE_ZONE;
  g_hash_table_insert (watcher->watches, g_strdup (key), GINT_TO_POINTER (watch));
  return watch;
}

/* Returns the number of watchers of a member; 0 if this process does not watch it. */
static guint
watchers_of_ (DpWatcher *watcher,
              const char *service,
              const char *member,
              const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS])
{
  g_autofree char *key = make_key_ (service, member);
  const WatchedProcess *process = g_hash_table_lookup (watcher->processes, key);

  if (process == NULL)
    return 0;
  return dp_topology_watchers (watcher->topology, service, member, process->zone,
                               watchers);
}

static void
ensure_process_ (DpWatcher *watcher,
                 const char *key,
                 const char *service,
                 const char *member,
                 const char *zone)
{
  WatchedProcess *process = g_hash_table_lookup (watcher->processes, key);

  if (process != NULL)
    return;
  process = g_new0 (WatchedProcess, 1);
  process->service = g_strdup (service);
  process->member = g_strdup (member);
  process->zone = g_strdup (zone);
  process->heard_at = -1;
  g_hash_table_insert (watcher->processes, g_strdup (key), process);
}

static gboolean
is_not_watched_ (gpointer key, gpointer value, gpointer watched_keys)
{
  return !g_hash_table_contains (watched_keys, key);
}

static void
perform_action_ (DpWatcher *watcher, const DpLivenessAction *action)
{
  const char *service = action->service[0] == '\0' ? "balancers" : action->service;

  switch (action->type)
    {
    case DP_LIVENESS_SUSPECT:
      dp_metric_increment (watcher->suspected);
      send_suspicion_ (watcher, action);
      break;
    case DP_LIVENESS_REMOVE:
      start_removal_ (watcher, action);
      break;
    case DP_LIVENESS_CLEAR:
      g_message ("liveness: %s of %s is alive again", action->member, service);
      break;
    case DP_LIVENESS_MASS_LOSS:
      dp_metric_increment (watcher->mass_losses);
      g_critical ("liveness: more than half of %s are suspected, none is removed",
                  service);
      break;
    case DP_LIVENESS_UNCONFIRMABLE:
      g_warning (
          "liveness: %s of %s is suspected but not removed, since no balancer of another "
          "availability zone watches it",
          action->member, service);
      break;
    case DP_LIVENESS_WAS_PAUSED:
      dp_metric_increment (watcher->pauses);
      g_warning ("liveness: this process was paused; restarting all observations");
      break;
    case DP_N_LIVENESS_ACTIONS:
    default:
      break;
    }
}

/* Sends the suspicion to the member's other watchers. */
static void
send_suspicion_ (DpWatcher *watcher, const DpLivenessAction *action)
{
  const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS];
  guint n = watchers_of_ (watcher, action->service, action->member, watchers);
  const DpSuspicion suspicion = { action->service, action->member, action->incarnation,
                                  watcher->name, watcher->zone };

  g_debug ("liveness: %s of \"%s\" is suspected", action->member, action->service);
  for (guint i = 0; i < n; i++)
    dp_relay_send_suspicion (watcher->relay, watchers[i]->name, &suspicion);
}

/* Starts a removal by reading the newest content of the object from the platform. */
static void
start_removal_ (DpWatcher *watcher, const DpLivenessAction *action)
{
  g_autofree char *key = make_key_ (action->service, action->member);
  gboolean is_balancer = action->service[0] == '\0';
  Removal *removal;

  if (g_hash_table_contains (watcher->removals, key))
    return;
  removal = g_new0 (Removal, 1);
  removal->watcher = watcher;
  removal->key = g_steal_pointer (&key);
  removal->service = g_strdup (action->service);
  removal->member = g_strdup (action->member);
  removal->incarnation = action->incarnation;
  g_hash_table_insert (watcher->removals, removal->key, removal);
  dp_platform_get (watcher->platform, is_balancer ? DP_KIND_BALANCER : DP_KIND_MEMBERS,
                   is_balancer ? removal->member : removal->service, on_object_read_,
                   removal);
}

static void
on_object_read_ (GPtrArray *records,
                 DpPosition version,
                 const GError *error,
                 gpointer user_data)
{
  Removal *removal = user_data;
  DpWatcher *watcher = removal->watcher;

  if (note_platform_result_ (watcher, error) && records->len > 0
      && suspicion_holds_ (removal))
    {
      write_removal_ (removal, g_ptr_array_index (records, 0), version);
      return;
    }
  g_hash_table_remove (watcher->removals, removal->key);
  removal_free_ (removal);
}

/* Returns whether the suspicion still holds after the read, during which this process may
 * have been paused. */
static gboolean
suspicion_holds_ (gpointer user_data)
{
  const Removal *removal = user_data;
  DpWatcher *watcher = removal->watcher;

  return dp_liveness_may_remove (watcher->liveness, removal->service, removal->member,
                                 removal->incarnation, dp_clock_now (watcher->clock));
}

/* Returns whether the platform answered this call and was reachable before it, too. After
 * an outage of the platform all observations restart, as heartbeats may have been lost
 * for the same reason. */
static gboolean
note_platform_result_ (DpWatcher *watcher, const GError *error)
{
  gboolean failed_before = watcher->platform_failed;

  watcher->platform_failed = error != NULL;
  if (error != NULL)
    {
      if (!failed_before)
        g_warning ("removal: a call to the platform failed: %s", error->message);
      return FALSE;
    }
  if (failed_before)
    dp_liveness_restart (watcher->liveness, dp_clock_now (watcher->clock));
  return !failed_before;
}

/* Writes the member list without the member, or deletes the balancer's object, unless the
 * newest content has a later incarnation of the process or no entry for it. */
static void
write_removal_ (Removal *removal, const DpRecord *record, DpPosition version)
{
  DpWatcher *watcher = removal->watcher;
  gboolean is_balancer = removal->service[0] == '\0';
  g_autoptr (JsonNode) current = NULL;
  g_autoptr (JsonNode) value = NULL;

  current = dp_record_value (record);
  if (!is_balancer)
    value = dp_membership_remove (current, removal->member, removal->incarnation);
  if (is_balancer ? may_delete_balancer_ (removal, record) : value != NULL)
    {
      dp_platform_write (watcher->platform,
                         is_balancer ? DP_KIND_BALANCER : DP_KIND_MEMBERS,
                         is_balancer ? removal->member : removal->service, version, value,
                         on_removal_written_, removal);
      return;
    }
  g_hash_table_remove (watcher->removals, removal->key);
  removal_free_ (removal);
}

static gboolean
may_delete_balancer_ (const Removal *removal, const DpRecord *record)
{
  g_autoptr (JsonNode) value = dp_record_value (record);
  guint64 incarnation;

  return dp_json_get_uint (dp_json_get_object (value), "incarnation", &incarnation)
         && incarnation <= removal->incarnation;
}

static void
on_removal_written_ (DpWriteResult result,
                     DpRecord *record,
                     const GError *error,
                     gpointer user_data)
{
  Removal *removal = user_data;
  DpWatcher *watcher = removal->watcher;

  if (result == DP_WRITE_DONE)
    {
      dp_metric_increment (watcher->removed);
      g_message ("removal: %s of %s was removed: no heartbeat, confirmed by another "
                 "availability zone",
                 removal->member,
                 removal->service[0] == '\0' ? "balancers" : removal->service);
      if (record != NULL)
        dp_replica_apply (watcher->replica, record);
    }
  else if (result != DP_WRITE_CONFLICT)
    g_warning ("removal: the write was not confirmed: %s", error->message);
  if (result == DP_WRITE_UNKNOWN)
    watcher->platform_failed = TRUE;
  g_hash_table_remove (watcher->removals, removal->key);
  removal_free_ (removal);
}

static void
add_process_status_ (DpWatcher *watcher, const WatchedProcess *process, JsonArray *list)
{
  JsonObject *object = json_object_new ();
  DpWatchedState state = DP_WATCHED_OBSERVING;
  const DpMemberView *view = g_hash_table_lookup (watcher->views, process->service);
  const DpMember *member =
      view == NULL ? NULL : dp_member_view_find (view, dp_member_id (process->member));

  dp_liveness_state (watcher->liveness, process->service, process->member, &state);
  json_object_set_string_member (object, "service", process->service);
  json_object_set_string_member (object, "member", process->member);
  json_object_set_string_member (object, "zone", process->zone);
  if (member != NULL)
    json_object_set_string_member (object, "state",
                                   dp_member_state_string (member->state));
  json_object_set_string_member (object, "liveness",
                                 dp_liveness_state_string (watcher->liveness, state));
  json_object_set_boolean_member (
      object, "suspected", state == DP_WATCHED_SUSPECTED || state == DP_WATCHED_REMOVING);
  json_object_set_boolean_member (object, "heard", process->heard_at >= 0);
  json_object_set_int_member (object, "incarnation", (gint64) process->incarnation);
  dp_position_add_to_json (object, process->position);
  json_object_set_int_member (object, "busy", process->busy_slots);
  json_object_set_int_member (object, "connections", process->connections);
  if (process->heard_at >= 0)
    json_object_set_int_member (object, "silent_ms",
                                (dp_clock_now (watcher->clock) - process->heard_at)
                                    / DP_US_PER_MS);
  json_array_add_object_element (list, object);
}
