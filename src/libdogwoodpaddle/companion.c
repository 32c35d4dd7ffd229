#include "dogwoodpaddle/companion.h"

#include "private/effectiveconfig.h"
#include "protected/datapath.h"
#include "protected/error.h"
#include "protected/httpd.h"
#include "protected/registration.h"
#include "protected/relay.h"
#include "protected/server.h"
#include "protected/settings_fields.h"

#define SHUTDOWN_POLL_MS 50
#define SLOW_START (10 * DP_US_PER_S)
#define PAUSE_CHECK_MS 250
/* us; a check that is late by more than this means that the process was paused. */
#define PAUSE_MIN (1 * DP_US_PER_S)

typedef enum
{
  STATE_RUNNING,
  STATE_DRAINING, /* accepts no new flows and waits for its flows to end */
  STATE_REMOVING, /* has no flows left and removes its registration */
  STATE_REMOVED,  /* still passes packets on for a short time before it ends */
  STATE_ENDED,
  N_STATES
} State;

struct _DpCompanion
{
  DpSettings *settings;
  DpClock *clock;
  DpMetrics *metrics;
  GMainLoop *loop;
  DpMember self;
  DpReplica *replica;
  DpEffectiveConfig *effective_config;
  DpPlatform *platform;
  DpRelay *relay;
  DpRegistration *registration;
  DpFlowEngine *engine;
  DpDataPath *data_path;
  DpHttpd *httpd;
  DpServer *server;
  guint heartbeat_timer;
  guint heartbeat_ms;
  guint stop_timer;
  guint pause_check_timer;
  gint64 pause_checked_at; /* us; time of the last check */
  State state;
  gint64 state_since; /* us */
  gboolean flows_aborted;
};

static gboolean start_http_ (DpCompanion *companion, GError **error);
static gboolean start_data_path_ (DpCompanion *companion, GError **error);
static gboolean start_control_ (DpCompanion *companion, GError **error);
static void apply_settings_ (DpCompanion *companion);
static void on_config_changed_ (DpEffectiveConfigChange change, gpointer user_data);
static void apply_view_ (DpCompanion *companion);
static void on_server_changed_ (const DpServerState *state, gpointer user_data);
static void on_connection_changed_ (gboolean connected, gpointer user_data);
static void on_registration_written_ (DpRegistration *registration, gpointer user_data);
static void update_registration_ (DpCompanion *companion);
static DpRegistrationState wanted_registration_ (const DpCompanion *companion);
static gboolean is_leaving_ (const DpCompanion *companion);
static gboolean send_heartbeat_ (gpointer user_data);
static gboolean check_pause_ (gpointer user_data);
static void set_state_ (DpCompanion *companion, State state);
static gboolean advance_shutdown_ (gpointer user_data);
static gboolean drain_expired_ (const DpCompanion *companion, gint64 waited);
static void check_drain_ (DpCompanion *companion, gint64 waited);
static void abort_flows_ (DpCompanion *companion);
static JsonNode *make_status_ (gpointer user_data);
static gboolean is_ready_ (gpointer user_data);

static const char *const state_strings_[] = {
  "running", "draining", "removing", "removed", "ended",
};

G_STATIC_ASSERT (G_N_ELEMENTS (state_strings_) == N_STATES);

static const DpRelayListener relay_listener_ = { .connected = on_connection_changed_ };

/* Creates a companion, which takes ownership of settings. Opens no sockets yet. */
DpCompanion *
dp_companion_new (DpSettings *settings)
{
  DpCompanion *companion = g_new0 (DpCompanion, 1);

  g_assert (settings->kind == DP_SETTINGS_COMPANION);
  companion->settings = settings;
  companion->clock = dp_clock_system ();
  companion->metrics = dp_metrics_new ();
  companion->loop = g_main_loop_new (NULL, FALSE);
  companion->replica = dp_replica_new ();
  companion->engine = dp_flow_engine_new (settings->service,
                                          dp_member_id (settings->name));
  companion->self.id = dp_member_id (settings->name);
  companion->self.name = settings->name;
  companion->self.zone = settings->zone;
  companion->self.address = settings->data;
  /* Higher than the incarnation of an earlier process with the same name unless the
   * host's clock was set back. In that case the member's registration raises it above the
   * stored one. */
  companion->self.incarnation = (guint64) g_get_real_time ();
  return companion;
}

/* Opens the packet port and the HTTP server and connects to a balancer. On failure the
 * error names the address that can't be used, and the companion can only be freed. */
gboolean
dp_companion_start (DpCompanion *companion, GError **error)
{
  if (!start_data_path_ (companion, error) || !start_http_ (companion, error)
      || !start_control_ (companion, error))
    return FALSE;
  apply_settings_ (companion);
  companion->pause_checked_at = dp_clock_now (companion->clock);
  /* High priority, so that a pause is detected before packets that arrived during it are
   * processed. */
  companion->pause_check_timer = g_timeout_add_full (G_PRIORITY_HIGH, PAUSE_CHECK_MS,
                                                     check_pause_, companion, NULL);
  g_message ("companion %s of service %s started", companion->settings->name,
             companion->settings->service);
  return TRUE;
}

/* Starts a graceful shutdown: new flows are passed on to other members from now on, and
 * the companion stops once its last flow has ended and its registration is removed. A
 * second call resets the remaining flows; a third one doesn't wait for the removal of the
 * registration either. */
void
dp_companion_stop (DpCompanion *companion)
{
  if (companion->state == STATE_RUNNING)
    {
      g_message ("shutting down with %u flows left",
                 dp_data_path_n_flows (companion->data_path));
      set_state_ (companion, STATE_DRAINING);
      companion->stop_timer = g_timeout_add (SHUTDOWN_POLL_MS, advance_shutdown_,
                                             companion);
      update_registration_ (companion);
    }
  else if (!companion->flows_aborted)
    abort_flows_ (companion);
  else
    set_state_ (companion, STATE_ENDED);
}

/* Runs the main loop until the shutdown is complete. */
void
dp_companion_run (DpCompanion *companion)
{
  if (companion->state != STATE_ENDED)
    g_main_loop_run (companion->loop);
}

/* Frees the companion and its settings. */
void
dp_companion_free (DpCompanion *companion)
{
  if (companion == NULL)
    return;
  g_clear_handle_id (&companion->heartbeat_timer, g_source_remove);
  g_clear_handle_id (&companion->pause_check_timer, g_source_remove);
  g_clear_handle_id (&companion->stop_timer, g_source_remove);
  dp_server_free (companion->server);
  dp_httpd_free (companion->httpd);
  dp_registration_free (companion->registration);
  dp_relay_free (companion->relay);
  dp_platform_free (companion->platform);
  dp_effective_config_free (companion->effective_config);
  dp_data_path_free (companion->data_path);
  dp_flow_engine_free (companion->engine);
  dp_replica_free (companion->replica);
  dp_metrics_free (companion->metrics);
  g_main_loop_unref (companion->loop);
  dp_settings_free (companion->settings);
  g_free (companion);
}

static gboolean
start_data_path_ (DpCompanion *companion, GError **error)
{
  const DpSettings *settings = companion->settings;
  DpDataPathOptions options = {
    .process = settings->name,
    .engine = companion->engine,
    .trusted_networks = settings->trusted_networks,
    .clock = companion->clock,
    .metrics = companion->metrics,
  };
  DpPacketPort *port;

  companion->data_path = dp_data_path_new (&options);
  port = dp_udp_port_new (&settings->data, dp_data_path_datagram, companion->data_path,
                          error);
  if (port == NULL)
    return FALSE;
  dp_data_path_set_port (companion->data_path, port);
  return TRUE;
}

static gboolean
start_http_ (DpCompanion *companion, GError **error)
{
  const DpSettings *settings = companion->settings;

  companion->httpd = dp_httpd_new (&settings->http, companion->metrics, error);
  if (companion->httpd == NULL)
    return FALSE;
  dp_httpd_set_trusted (companion->httpd, settings->trusted_networks);
  dp_httpd_set_status (companion->httpd, make_status_, companion);
  dp_httpd_set_ready (companion->httpd, is_ready_, companion);
  companion->server = dp_server_new (dp_httpd_server (companion->httpd),
                                     settings->server_ip, on_server_changed_, companion);
  return TRUE;
}

static gboolean
start_control_ (DpCompanion *companion, GError **error)
{
  const DpSettings *settings = companion->settings;
  DpRelayOptions options = {
    .role = DP_ROLE_COMPANION,
    .name = settings->name,
    .zone = settings->zone,
    .service = settings->service,
    .peers = (const DpAddress *) (void *) settings->peers->data,
    .n_peers = settings->peers->len,
  };

  companion->effective_config = dp_effective_config_new (
      companion->replica, settings->service, settings->name, on_config_changed_,
      companion);
  companion->platform = dp_platform_new (settings->platform_url);
  companion->registration = dp_registration_new (settings->service, &companion->self,
                                                 companion->replica, companion->platform,
                                                 companion->clock);
  dp_registration_set_listener (companion->registration, on_registration_written_,
                                companion);
  companion->relay = dp_relay_new (&options, companion->replica, companion->platform,
                                   companion->clock, companion->metrics);
  dp_relay_set_listener (companion->relay, &relay_listener_, companion);
  return dp_relay_start (companion->relay, error);
}

/* Applies the current settings. The limits that the server registered cap its slots and
 * connections. */
static void
apply_settings_ (DpCompanion *companion)
{
  const DpFleetSettings *settings = dp_effective_config_settings (
      companion->effective_config);
  const GArray *addresses = dp_effective_config_addresses (companion->effective_config);
  const DpServerState *server = dp_server_state (companion->server);
  DpFlowEngineLimits limits = {
    .slots = settings->slots,
    .connections = settings->connections,
    .visits = settings->visits,
    .idle_timeout = settings->idle_timeout_s * DP_US_PER_S,
    .progress_timeout = settings->progress_timeout_s * DP_US_PER_S,
    .slow_start = SLOW_START,
    .settle_time = settings->settle_ms * DP_US_PER_MS,
  };

  if (server->registered)
    {
      limits.slots = MIN (limits.slots, server->slots);
      limits.connections = MIN (limits.connections, server->connections);
    }
  dp_flow_engine_set_limits (companion->engine, &limits);
  dp_flow_engine_set_addresses (companion->engine,
                                (const DpServiceAddress *) (void *) addresses->data,
                                addresses->len);
  dp_data_path_set_addresses (companion->data_path,
                              (const DpServiceAddress *) (void *) addresses->data,
                              addresses->len);
  dp_registration_set_capacity (companion->registration, limits.slots,
                                limits.connections);
  if (settings->heartbeat_ms != companion->heartbeat_ms)
    {
      g_clear_handle_id (&companion->heartbeat_timer, g_source_remove);
      companion->heartbeat_ms = settings->heartbeat_ms;
      companion->heartbeat_timer = g_timeout_add (companion->heartbeat_ms,
                                                  send_heartbeat_, companion);
    }
  dp_data_path_update (companion->data_path);
}

static void
on_config_changed_ (DpEffectiveConfigChange change, gpointer user_data)
{
  DpCompanion *companion = user_data;

  if (change == DP_EFFECTIVE_CONFIG_MEMBERS)
    apply_view_ (companion);
  else
    apply_settings_ (companion);
}

static void
apply_view_ (DpCompanion *companion)
{
  dp_flow_engine_set_view (companion->engine,
                           dp_effective_config_view (companion->effective_config),
                           dp_clock_now (companion->clock));
  dp_data_path_update (companion->data_path);
}

static void
on_server_changed_ (const DpServerState *state, gpointer user_data)
{
  DpCompanion *companion = user_data;
  DpAddress address = {
    .ip = companion->settings->server_ip,
    .port = (guint16) state->port,
  };

  dp_data_path_set_server (companion->data_path, &address);
  dp_flow_engine_set_server_up (companion->engine, state->up,
                                dp_clock_now (companion->clock));
  apply_settings_ (companion);
  update_registration_ (companion);
}

static void
on_connection_changed_ (gboolean connected, gpointer user_data)
{
  DpCompanion *companion = user_data;

  dp_flow_engine_set_receiving_views (companion->engine, connected,
                                      dp_clock_now (companion->clock));
  g_message ("%s a balancer", connected ? "connected to" : "disconnected from");
}

static void
on_registration_written_ (DpRegistration *registration, gpointer user_data)
{
  update_registration_ (user_data);
}

/* Lets the engine pass new flows on if this member is leaving, and requests the matching
 * registration state. The registration may be written much later, since the platform may
 * be down. */
static void
update_registration_ (DpCompanion *companion)
{
  DpRegistrationState wanted = wanted_registration_ (companion);

  dp_flow_engine_set_leaving (companion->engine, is_leaving_ (companion),
                              dp_clock_now (companion->clock));
  if (wanted != dp_registration_wanted (companion->registration))
    dp_registration_set_wanted (companion->registration, wanted);
  dp_data_path_update (companion->data_path);
}

static DpRegistrationState
wanted_registration_ (const DpCompanion *companion)
{
  const DpServerState *server = dp_server_state (companion->server);
  gboolean flows = dp_data_path_n_flows (companion->data_path) > 0;

  if (!server->registered || companion->state >= STATE_REMOVING)
    return DP_REGISTRATION_ABSENT;
  if (companion->state == STATE_DRAINING)
    return DP_REGISTRATION_LEAVING;
  if (server->leaving)
    return flows ? DP_REGISTRATION_LEAVING : DP_REGISTRATION_ABSENT;
  /* A drain by an operator stays in the registration until the operator undoes it. */
  if (dp_registration_held (companion->registration))
    return DP_REGISTRATION_LEAVING;
  return server->up ? DP_REGISTRATION_ACTIVE : DP_REGISTRATION_JOINING;
}

static gboolean
is_leaving_ (const DpCompanion *companion)
{
  return companion->state != STATE_RUNNING || dp_server_state (companion->server)->leaving
         || dp_registration_held (companion->registration);
}

static gboolean
send_heartbeat_ (gpointer user_data)
{
  DpCompanion *companion = user_data;
  DpFlowEngineLoad load = dp_flow_engine_load (companion->engine);
  DpHeartbeat heartbeat = {
    .service = companion->settings->service,
    .member = companion->settings->name,
    .incarnation = dp_registration_incarnation (companion->registration),
    .position = dp_replica_position (companion->replica),
    .busy_slots = load.slots_busy,
    .connections = load.flows,
  };

  dp_relay_send_heartbeat (companion->relay, &heartbeat);
  update_registration_ (companion);
  return G_SOURCE_CONTINUE;
}

/* Detects that the process was paused and informs the flow engine, whose view of the
 * service's members may be outdated by then. */
static gboolean
check_pause_ (gpointer user_data)
{
  DpCompanion *companion = user_data;
  gint64 now = dp_clock_now (companion->clock);
  gint64 delay_us = now - companion->pause_checked_at - PAUSE_CHECK_MS * DP_US_PER_MS;

  companion->pause_checked_at = now;
  if (delay_us > PAUSE_MIN)
    {
      g_warning ("the process was paused for %" G_GINT64_FORMAT " ms",
                 delay_us / DP_US_PER_MS);
      dp_flow_engine_resumed (companion->engine, now);
    }
  return G_SOURCE_CONTINUE;
}

static void
set_state_ (DpCompanion *companion, State state)
{
  if (state == companion->state)
    return;
  companion->state = state;
  companion->state_since = dp_clock_now (companion->clock);
  g_message ("shutdown: %s", state_strings_[state]);
  if (state == STATE_ENDED)
    g_main_loop_quit (companion->loop);
}

/* Advances the shutdown to its next state if the current one is finished. */
static gboolean
advance_shutdown_ (gpointer user_data)
{
  DpCompanion *companion = user_data;
  gint64 waited = dp_clock_now (companion->clock) - companion->state_since;
  gboolean absent = dp_registration_written (companion->registration)
                    == DP_REGISTRATION_ABSENT;
  guint32 settle_ms =
      dp_effective_config_settings (companion->effective_config)->settle_ms;
  gboolean expired = drain_expired_ (companion, waited);

  switch (companion->state)
    {
    case STATE_DRAINING:
      check_drain_ (companion, waited);
      break;
    case STATE_REMOVING:
      /* Until the registration is removed, balancers send new flows here. The companion
       * passes them on to other members. */
      if (!absent && expired)
        g_warning ("the platform did not confirm the removal of members/%s: %s",
                   companion->settings->service, companion->settings->name);
      if (absent || expired)
        set_state_ (companion, STATE_REMOVED);
      break;
    case STATE_REMOVED:
      /* Balancers send new flows here until they have learned of the removal. */
      if (waited >= settle_ms * DP_US_PER_MS)
        set_state_ (companion, STATE_ENDED);
      break;
    case STATE_RUNNING:
    case STATE_ENDED:
    case N_STATES:
      break;
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
drain_expired_ (const DpCompanion *companion, gint64 waited)
{
  guint deadline_s =
      dp_effective_config_settings (companion->effective_config)->drain_deadline_s;

  return deadline_s > 0 && waited >= deadline_s * DP_US_PER_S;
}

static void
check_drain_ (DpCompanion *companion, gint64 waited)
{
  if (drain_expired_ (companion, waited) && !companion->flows_aborted)
    abort_flows_ (companion);
  if (dp_data_path_n_flows (companion->data_path) > 0)
    return;
  set_state_ (companion, STATE_REMOVING);
  update_registration_ (companion);
}

static void
abort_flows_ (DpCompanion *companion)
{
  companion->flows_aborted = TRUE;
  dp_data_path_abort_all (companion->data_path, DP_REASON_DRAIN_DEADLINE);
}

static JsonNode *
make_status_ (gpointer user_data)
{
  DpCompanion *companion = user_data;
  const DpServerState *server = dp_server_state (companion->server);
  DpFlowEngineLoad load = dp_flow_engine_load (companion->engine);
  DpRegistrationState state = dp_registration_written (companion->registration);
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();
  JsonObject *waiting = json_object_new ();

  json_node_take_object (node, object);
  json_object_set_string_member (object, "name", companion->settings->name);
  json_object_set_string_member (object, "service", companion->settings->service);
  json_object_set_string_member (object, "zone", companion->settings->zone);
  json_object_set_string_member (object, "state", dp_registration_state_string (state));
  json_object_set_boolean_member (object, "leaving", is_leaving_ (companion));
  json_object_set_boolean_member (object, "server_up", server->up);
  json_object_set_int_member (object, "flows", load.flows);
  json_object_set_int_member (object, "half_open", load.half_open);
  json_object_set_int_member (object, "slots_busy", load.slots_busy);
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    json_object_set_int_member (waiting, dp_traffic_class_string (i), load.waiting[i]);
  json_object_set_object_member (object, "waiting", waiting);
  dp_position_add_to_json (object, dp_replica_position (companion->replica));
  json_object_set_boolean_member (object, "connected",
                                  dp_relay_connected (companion->relay));
  return node;
}

/* Ready means that the companion accepts new flows. */
static gboolean
is_ready_ (gpointer user_data)
{
  DpCompanion *companion = user_data;

  return !is_leaving_ (companion) && dp_server_state (companion->server)->up
         && dp_registration_written (companion->registration) == DP_REGISTRATION_ACTIVE;
}
