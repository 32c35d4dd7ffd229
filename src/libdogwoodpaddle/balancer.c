#include "dogwoodpaddle/balancer.h"

#include "private/balancerregistration.h"
#include "private/forwarder.h"
#include "private/watcher.h"
#include "protected/fleet.h"
#include "protected/httpd.h"
#include "protected/relay.h"
#include "protected/settings_fields.h"

#define DEREGISTER_TIMEOUT_MS 3000 /* limit for removing the registration at shutdown */

struct _DpBalancer
{
  DpSettings *settings;
  DpClock *clock;
  GMainLoop *loop;
  DpMetrics *metrics;
  DpReplica *replica;
  DpPlatform *platform;
  DpRelay *relay;
  DpForwarder *forwarder;
  DpWatcher *watcher;
  DpBalancerRegistration *registration;
  DpHttpd *httpd;
  guint replica_listener;
  guint heartbeat_ms;
  guint heartbeat_timer; /* source id */
  gboolean stopping;
  guint stop_timer;              /* source id */
  DpPosition heartbeat_position; /* of the last heartbeat */
  DpMetric *revision_metric;
  DpMetric *era_metric;
};

static void create_components_ (DpBalancer *balancer);
static gboolean start_httpd_ (DpBalancer *balancer, GError **error);
static void on_replica_changed_ (const DpRecord *record, gpointer user_data);
static void update_heartbeat_timer_ (DpBalancer *balancer);
static gboolean send_heartbeat_ (gpointer user_data);
static DpPosition applied_position_ (const DpBalancer *balancer);
static void on_heartbeat_ (const DpHeartbeat *heartbeat, gpointer user_data);
static void on_suspicion_ (const DpSuspicion *suspicion, gpointer user_data);
static void on_platform_changed_ (gboolean reachable, gpointer user_data);
static void on_registration_written_ (gpointer user_data);
static gboolean on_stop_timeout_ (gpointer user_data);
static gboolean is_ready_ (gpointer user_data);
static JsonNode *make_status_ (gpointer user_data);
static JsonObject *platform_status_ (DpBalancer *balancer);

/* Creates a balancer, which takes ownership of settings. */
DpBalancer *
dp_balancer_new (DpSettings *settings)
{
  DpBalancer *balancer = g_new0 (DpBalancer, 1);

  balancer->settings = settings;
  balancer->clock = dp_clock_system ();
  balancer->loop = g_main_loop_new (NULL, FALSE);
  balancer->metrics = dp_metrics_new ();
  balancer->replica = dp_replica_new ();
  balancer->platform = dp_platform_new (settings->platform_url);
  balancer->revision_metric = dp_metrics_add (balancer->metrics, DP_METRIC_GAUGE,
                                              "dogwoodpaddle_revision", "",
                                              "Revision of the records in force");
  balancer->era_metric = dp_metrics_add (
      balancer->metrics, DP_METRIC_GAUGE, "dogwoodpaddle_revision_era", "",
      "Era of the store in which dogwoodpaddle_revision was assigned");
  create_components_ (balancer);
  return balancer;
}

/* Opens all sockets and starts forwarding. On failure the error names the address that
 * can't be used. */
gboolean
dp_balancer_start (DpBalancer *balancer, GError **error)
{
  if (!dp_forwarder_open (balancer->forwarder, &balancer->settings->data, error)
      || !start_httpd_ (balancer, error) || !dp_relay_start (balancer->relay, error))
    return FALSE;
  dp_watcher_start (balancer->watcher, balancer->relay);
  update_heartbeat_timer_ (balancer);
  dp_balancer_registration_set_wanted (balancer->registration, TRUE);
  g_message ("balancer %s of availability zone %s started", balancer->settings->name,
             balancer->settings->zone);
  return TRUE;
}

/* Removes the registration and then stops; packets are forwarded until then. A second
 * call stops without waiting for the removal. */
void
dp_balancer_stop (DpBalancer *balancer)
{
  if (balancer->stopping)
    {
      g_main_loop_quit (balancer->loop);
      return;
    }
  balancer->stopping = TRUE;
  balancer->stop_timer = g_timeout_add (DEREGISTER_TIMEOUT_MS, on_stop_timeout_,
                                        balancer);
  dp_balancer_registration_set_wanted (balancer->registration, FALSE);
}

/* Runs the default main context until the shutdown is complete. */
void
dp_balancer_run (DpBalancer *balancer)
{
  g_main_loop_run (balancer->loop);
}

/* Closes all sockets and frees the balancer and its settings. */
void
dp_balancer_free (DpBalancer *balancer)
{
  if (balancer == NULL)
    return;
  g_clear_handle_id (&balancer->heartbeat_timer, g_source_remove);
  g_clear_handle_id (&balancer->stop_timer, g_source_remove);
  dp_replica_remove_listener (balancer->replica, balancer->replica_listener);
  dp_httpd_free (balancer->httpd);
  dp_balancer_registration_free (balancer->registration);
  dp_watcher_free (balancer->watcher);
  dp_relay_free (balancer->relay);
  dp_forwarder_free (balancer->forwarder);
  dp_platform_free (balancer->platform);
  dp_replica_free (balancer->replica);
  dp_metrics_free (balancer->metrics);
  g_main_loop_unref (balancer->loop);
  dp_settings_free (balancer->settings);
  g_free (balancer);
}

static void
create_components_ (DpBalancer *balancer)
{
  static const DpRelayListener listener = {
    .heartbeat = on_heartbeat_,
    .suspicion = on_suspicion_,
    .platform_reachable = on_platform_changed_,
  };
  DpSettings *settings = balancer->settings;
  const DpRelayOptions relay = {
    .role = DP_ROLE_BALANCER,
    .name = settings->name,
    .zone = settings->zone,
    .service = "",
    .control = &settings->control,
    .trusted = (const DpNetwork *) (void *) settings->trusted_networks->data,
    .n_trusted = settings->trusted_networks->len,
    .peers = (const DpAddress *) (void *) settings->peers->data,
    .n_peers = settings->peers->len,
  };
  const DpTopologyBalancer self = {
    .name = settings->name,
    .zone = settings->zone,
    .region = settings->region,
    .data_address = settings->data,
    .control_address = settings->control,
    .http_address = settings->http,
    /* Higher than the incarnation of an earlier process unless the host's clock was set
     * back. In that case the balancer's registration raises it above the stored one. */
    .incarnation = (guint64) g_get_real_time (),
  };
  DpWatcherOptions watcher = {
    .name = settings->name,
    .zone = settings->zone,
    .replica = balancer->replica,
    .platform = balancer->platform,
    .clock = balancer->clock,
    .metrics = balancer->metrics,
  };

  balancer->replica_listener = dp_replica_add_listener (balancer->replica,
                                                        on_replica_changed_, balancer);
  balancer->forwarder = dp_forwarder_new (settings->name, balancer->replica,
                                          settings->trusted_networks, balancer->clock,
                                          balancer->metrics);
  watcher.views = dp_forwarder_views (balancer->forwarder);
  balancer->watcher = dp_watcher_new (&watcher);
  balancer->relay = dp_relay_new (&relay, balancer->replica, balancer->platform,
                                  balancer->clock, balancer->metrics);
  dp_relay_set_listener (balancer->relay, &listener, balancer);
  balancer->registration = dp_balancer_registration_new (
      &self, DP_BALANCER_REGISTRATION_OF_PROCESS, balancer->replica, balancer->platform,
      on_registration_written_, balancer);
}

static gboolean
start_httpd_ (DpBalancer *balancer, GError **error)
{
  balancer->httpd = dp_httpd_new (&balancer->settings->http, balancer->metrics, error);
  if (balancer->httpd == NULL)
    return FALSE;
  dp_httpd_set_trusted (balancer->httpd, balancer->settings->trusted_networks);
  dp_httpd_set_ready (balancer->httpd, is_ready_, balancer);
  dp_httpd_set_status (balancer->httpd, make_status_, balancer);
  return TRUE;
}

static void
on_replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpBalancer *balancer = user_data;

  if (balancer->heartbeat_timer != 0
      && (record->kind == DP_KIND_FLEET || record->kind == DP_KIND_EXCEPTION))
    update_heartbeat_timer_ (balancer);
}

/* Applies the heartbeat interval of the fleet settings. */
static void
update_heartbeat_timer_ (DpBalancer *balancer)
{
  DpFleetSettings settings;

  dp_fleet_effective_settings (balancer->replica, NULL, balancer->settings->name,
                               &settings);
  if (balancer->heartbeat_timer != 0 && balancer->heartbeat_ms == settings.heartbeat_ms)
    return;
  g_clear_handle_id (&balancer->heartbeat_timer, g_source_remove);
  balancer->heartbeat_ms = settings.heartbeat_ms;
  balancer->heartbeat_timer = g_timeout_add (settings.heartbeat_ms, send_heartbeat_,
                                             balancer);
}

/* Sends a heartbeat with the current position to the balancers that monitor this one. */
static gboolean
send_heartbeat_ (gpointer user_data)
{
  DpBalancer *balancer = user_data;
  const DpHeartbeat heartbeat = {
    .service = "",
    .member = balancer->settings->name,
    .incarnation = dp_balancer_registration_incarnation (balancer->registration),
    .position = applied_position_ (balancer),
  };

  balancer->heartbeat_position = heartbeat.position;
  balancer->revision_metric->value = dp_position_revision (heartbeat.position);
  balancer->era_metric->value = dp_position_era (heartbeat.position);
  dp_relay_send_heartbeat (balancer->relay, &heartbeat);
  return G_SOURCE_CONTINUE;
}

/* Returns the position up to which the forwarder has applied all records. */
static DpPosition
applied_position_ (const DpBalancer *balancer)
{
  return dp_forwarder_is_current (balancer->forwarder)
             ? dp_replica_position (balancer->replica)
             : balancer->heartbeat_position;
}

static void
on_heartbeat_ (const DpHeartbeat *heartbeat, gpointer user_data)
{
  dp_watcher_handle_heartbeat (((DpBalancer *) user_data)->watcher, heartbeat);
}

static void
on_suspicion_ (const DpSuspicion *suspicion, gpointer user_data)
{
  dp_watcher_handle_suspicion (((DpBalancer *) user_data)->watcher, suspicion);
}

static void
on_platform_changed_ (gboolean reachable, gpointer user_data)
{
  DpBalancer *balancer = user_data;

  g_message ("the platform is %s", reachable ? "reachable" : "unreachable");
  dp_watcher_set_platform_reachable (balancer->watcher, reachable);
}

static void
on_registration_written_ (gpointer user_data)
{
  DpBalancer *balancer = user_data;

  if (balancer->stopping && !dp_balancer_registration_present (balancer->registration))
    g_main_loop_quit (balancer->loop);
}

static gboolean
on_stop_timeout_ (gpointer user_data)
{
  DpBalancer *balancer = user_data;

  balancer->stop_timer = 0;
  g_warning ("stopping without removing the registration: the platform did not respond");
  g_main_loop_quit (balancer->loop);
  return G_SOURCE_REMOVE;
}

/* Ready to receive packets once the forwarder has applied the first records. */
static gboolean
is_ready_ (gpointer user_data)
{
  DpBalancer *balancer = user_data;

  return applied_position_ (balancer) > 0 && !balancer->stopping;
}

static JsonNode *
make_status_ (gpointer user_data)
{
  DpBalancer *balancer = user_data;
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);

  json_object_set_string_member (object, "role", "balancer");
  json_object_set_string_member (object, "name", balancer->settings->name);
  json_object_set_string_member (object, "zone", balancer->settings->zone);
  json_object_set_string_member (object, "region", balancer->settings->region);
  json_object_set_int_member (
      object, "incarnation",
      (gint64) dp_balancer_registration_incarnation (balancer->registration));
  json_object_set_boolean_member (
      object, "registered", dp_balancer_registration_present (balancer->registration));
  dp_position_add_to_json (object, applied_position_ (balancer));
  json_object_set_boolean_member (object, "connected",
                                  dp_relay_connected (balancer->relay));
  json_object_set_int_member (object, "subscribers",
                              dp_relay_subscribers (balancer->relay));
  json_object_set_object_member (object, "platform", platform_status_ (balancer));
  dp_watcher_add_status (balancer->watcher, object);
  json_node_take_object (node, object);
  return node;
}

/* The platform is reported as reachable if this balancer watches it, as the roots of the
 * relay tree do, or if the last call to it succeeded. */
static JsonObject *
platform_status_ (DpBalancer *balancer)
{
  JsonObject *object = json_object_new ();
  gboolean watches = dp_relay_watches_platform (balancer->relay);

  json_object_set_boolean_member (object, "watched", watches);
  json_object_set_boolean_member (
      object, "reachable", watches || dp_watcher_platform_answers (balancer->watcher));
  json_object_set_boolean_member (object, "behind",
                                  dp_relay_platform_is_behind (balancer->relay));
  json_object_set_int_member (object, "calls",
                              (gint64) dp_platform_calls (balancer->platform));
  return object;
}
