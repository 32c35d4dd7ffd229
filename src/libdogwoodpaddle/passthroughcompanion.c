#include "protected/passthroughcompanion.h"

#include <string.h>

#include "dogwoodpaddle/logging.h"
#include "private/passthroughreporter.h"
#include "private/policyschedule.h"
#include "protected/evacuations.h"
#include "protected/flowexplanation.h"
#include "protected/flowlog.h"
#include "protected/packetport.h"
#include "protected/passthroughmembers.h"
#include "protected/passthrough.h"
#include "protected/report.h"

#define TICK_MS 1000
/* A server that misses more consecutive heartbeats than this gets no new flows. */
#define HEARTBEATS_MISSED_MAX 3
/* Minimum time of a stop, so that every balancer learns that this member is leaving. */
#define STOP_MIN_MS 500
/* Maximum time of a stop. Platforms kill a process some seconds after they ask it to
 * stop; the shortest time is 6 s. */
#define STOP_MAX_MS 4500
#define STOP_CHECK_INTERVAL_MS 50
/* Reports are sent every 100 ms. A process that has done nothing for this time was paused
 * or kept from running. */
#define PAUSE_MIN_US (300 * DP_US_PER_MS)
#define LIMIT_LOG_INTERVAL_US DP_US_PER_S /* at most one line about the limit in it */

/* A pause of this share of the bound for evacuations leaves time to hear of one that came
 * meanwhile, since a balancer answers the first report; after a longer one, the process
 * takes no new flows until it has heard from a balancer. */
#define PAUSE_SHARE 0.5
/* Balancers send warm-up rates in these parts of a request per second. */
#define WARMUP_RATE_UNITS 1000.0

struct _DpPassthroughCompanion
{
  DpPassthroughCompanionOptions options;
  char *service;
  char *name;
  char *zone;
  DpPassthroughMembers *members;
  GHashTable
      *asked_members; /* ids of the members asked for entries of the flow directory */
  DpPassthroughReporter *reporter;
  DpPassthrough *passthrough;
  DpFlowLog *log;
  DpPacketPort *data;
  DpPacketPort *outbound;
  DpPacketPort *report;
  DpAnnouncementTracker announcements;
  DpAnnouncement announcement; /* last announcement that was accepted; id is not set */
  DpBreakerState breaker;
  DpEvacuations *evacuations; /* NULL: the deployment has none */
  DpEvacuationTrust trust;
  DpPolicySchedule *policy_schedule;
  guint64 config_version; /* that the warm-up rate comes from, 0: none is known */
  guint64 warmup_rate;    /* thousandths of a request per second while the server is cold,
                             0: no limit */
  gboolean serving;       /* new flows are offered to the server */
  gint64 heartbeat_at;    /* us, last heartbeat that was accepted, or creation */
  gint64 warmup_ends_at;  /* us, when the server's warm-up ends */
  gint64 active_at;       /* us, last time at which this process did anything */
  gint64 left_out_logged_at; /* us, last log lines about members left out, 0: none */
  guint report_source;       /* source id */
  guint tick_source;         /* source id */
  guint retry_source;        /* source id; 0 while no packet is kept */
  gboolean stopping;
  guint release_source;     /* source id; 0 while no SYN waits for a cold server */
  gboolean warmup_limited;  /* a limit of a cold server was in force at the last look */
  guint64 held_back_before; /* SYNs held back before it began */
  gint64 stop_began_at;     /* us, when the stop began */
  guint stop_source;        /* source id */
  DpPassthroughStoppedFunc stopped_func;
  gpointer stopped_data;
  DpMetric *decisions[DP_N_PASSTHROUGH_REASONS];
  DpMetric *in_flight;
  DpMetric *failing;
  DpMetric *lost_lines;
  DpMetric *left_out;
  DpMetric *warmup_limit;
  DpMetric *held_back;
  DpMetric *malformed;
  DpMetric *registrations;
  DpMetric *unanswered;
  DpMetric *owner_queries;
  DpMetric *packet_copies;
  DpMetric *searches_refused;
  DpMetric *zones_evacuated;
  DpMetric *own_zone_evacuated;
  DpMetric *evacuated_flows;
  /* With a learnt limit; else NULL. */
  DpMetric *limit;
  DpMetric *limit_changes;
  DpMetric *service_times[DP_N_TRAFFIC_CLASSES];
  guint logged_limit;
  gint64 limit_logged_at; /* us */
};

static gint64 note_activity_ (DpPassthroughCompanion *companion);
static void add_metrics_ (DpPassthroughCompanion *companion);
static void create_components_ (DpPassthroughCompanion *companion);
static void received_packet_ (const DpAddress *source,
                              guint8 *data,
                              gsize length,
                              gpointer user_data);
static void received_server_packet_ (const DpAddress *source,
                                     guint8 *data,
                                     gsize length,
                                     gpointer user_data);
static void execute_ (DpPassthroughCompanion *companion,
                      const DpPassthroughDecision *decision,
                      const DpSegment *segment,
                      guint8 *data,
                      gsize length);
static void hold_syn_ (DpPassthroughCompanion *companion,
                       const DpSegment *segment,
                       const guint8 *data,
                       gsize length);
static void ask_members_ (DpPassthroughCompanion *companion,
                          const DpPassthroughDecision *decision,
                          const DpSegment *segment,
                          const guint8 *data,
                          gsize length);
static void schedule_retry_ (DpPassthroughCompanion *companion);
static void keep_packet_ (DpPassthroughCompanion *companion,
                          const DpPassthroughDecision *decision,
                          const DpSegment *segment,
                          const DpHop *hop,
                          const guint8 *data,
                          gsize length,
                          gint64 now);
static gboolean retry_timeout_ (gpointer user_data);
static void execute_redecided_ (DpPassthroughCompanion *companion,
                                DpRedecidedPacket *redecided);
static void
release_found_ (DpPassthroughCompanion *companion, const DpFlowKey *key, gint64 now);
static void search_servers_ (DpPassthroughCompanion *companion, gint64 now);
static void release_held_syns_ (DpPassthroughCompanion *companion, gint64 now);
static void schedule_release_ (DpPassthroughCompanion *companion, gint64 now);
static gboolean release_timeout_ (gpointer user_data);
static DpFlowLogKind log_kind_ (const DpPassthroughDecision *decision,
                                const DpSegment *segment);
static void log_decision_ (DpPassthroughCompanion *companion,
                           const DpPassthroughDecision *decision,
                           const DpSegment *segment);
static void received_message_ (const DpAddress *source,
                               guint8 *data,
                               gsize length,
                               gpointer user_data);
static void handle_peer_message_ (DpPassthroughCompanion *companion,
                                  const DpAddress *source,
                                  const DpReportMessage *message);
static void register_owner_ (DpPassthroughCompanion *companion,
                             const DpAddress *source,
                             const DpFlowOwner *owner,
                             gint64 now);
static void answer_query_ (DpPassthroughCompanion *companion,
                           const DpAddress *source,
                           const DpOwnerQuery *query,
                           gint64 now);
static void answer_copy_ (DpPassthroughCompanion *companion,
                          const DpAddress *sender,
                          const DpPassthroughDecision *decision,
                          const DpSegment *segment,
                          gint64 now);
static void answer_returned_copy_ (DpPassthroughCompanion *companion,
                                   const DpSegment *segment);
static void send_not_here_ (DpPassthroughCompanion *companion,
                            const DpSegment *segment,
                            const DpAddress *receiver);
static void note_owner_answer_ (DpPassthroughCompanion *companion,
                                const DpAddress *source,
                                const DpOwnerAnswer *answer,
                                gint64 now);
static void
apply_list_ (DpPassthroughCompanion *companion, const DpMemberList *list, gint64 now);
static void ask_new_members_ (DpPassthroughCompanion *companion,
                              const DpMemberView *view);
static void send_pending_messages_ (DpPassthroughCompanion *companion);
static void send_to_member_ (DpPassthroughCompanion *companion,
                             const DpAddress *member,
                             const guint8 *data,
                             gsize length);
static gboolean hears_server_ (const DpPassthroughCompanion *companion, gint64 now);
static gboolean is_serving_ (const DpPassthroughCompanion *companion, gint64 now);
static DpMemberState member_state_ (const DpPassthroughCompanion *companion, gint64 now);
static gboolean takes_flows_in_zone_ (const DpPassthroughCompanion *companion,
                                      gint64 now);
static void update_serving_ (DpPassthroughCompanion *companion);
static void sync_serving_ (DpPassthroughCompanion *companion, gint64 now);
static void note_evacuated_flow_ (DpPassthroughCompanion *companion,
                                  const DpPassthroughDecision *decision,
                                  const DpSegment *segment);
static void apply_policy_ (DpPassthroughCompanion *companion,
                           const DpAddress *source,
                           const DpPolicy *policy,
                           gint64 now);
static guint64 policy_digest_ (const DpPassthroughCompanion *companion, gint64 now);
static void evacuations_changed_ (gpointer user_data);
static gboolean report_timeout_ (gpointer user_data);
static void log_breaker_change_ (DpPassthroughCompanion *companion);
static void add_concurrency_metrics_ (DpPassthroughCompanion *companion);
static void log_limit_change_ (DpPassthroughCompanion *companion, gint64 now);
static void update_warmup_ (DpPassthroughCompanion *companion, gint64 now);
static void send_report_ (DpPassthroughCompanion *companion, gint64 now);
static gboolean tick_timeout_ (gpointer user_data);
static gboolean stop_timeout_ (gpointer user_data);

/* Creates a companion that doesn't use the network yet. */
DpPassthroughCompanion *
dp_passthrough_companion_new (const DpPassthroughCompanionOptions *options)
{
  DpPassthroughCompanion *companion = g_new0 (DpPassthroughCompanion, 1);

  companion->options = *options;
  companion->service = g_strdup (options->service);
  companion->name = g_strdup (options->name);
  companion->zone = g_strdup (options->zone);
  companion->members = dp_passthrough_members_new (companion->service);
  companion->asked_members = g_hash_table_new (NULL, NULL);
  companion->announcements.since = options->started_at;
  companion->heartbeat_at = dp_clock_now (options->clock);
  add_metrics_ (companion);
  if (options->learned_concurrency)
    add_concurrency_metrics_ (companion);
  create_components_ (companion);
  return companion;
}

/* Opens the ports and begins to handle packets. Returns FALSE and sets error, which names
 * the address, if a port can't be opened. */
gboolean
dp_passthrough_companion_start (DpPassthroughCompanion *companion, GError **error)
{
  const DpPassthroughCompanionOptions *options = &companion->options;

  companion->outbound = dp_udp_port_new (&options->outbound_address,
                                         received_server_packet_, companion, error);
  if (companion->outbound == NULL)
    return FALSE;
  companion->data = dp_udp_port_new (&options->data_address, received_packet_, companion,
                                     error);
  if (companion->data == NULL)
    return FALSE;
  companion->report = dp_udp_port_new (&options->report_address, received_message_,
                                       companion, error);
  if (companion->report == NULL)
    return FALSE;
  /* A registration that has come is read before the packets that it decides about. */
  dp_udp_port_set_priority (companion->report, G_PRIORITY_HIGH);
  dp_passthrough_reporter_start (companion->reporter, companion->report);
  companion->report_source = g_timeout_add (DP_REPORT_SAME_ZONE_INTERVAL_MS,
                                            report_timeout_, companion);
  companion->tick_source = g_timeout_add (TICK_MS, tick_timeout_, companion);
  g_message ("companion %s of service %s started", companion->name, companion->service);
  return TRUE;
}

/* Takes no new flows from now on, and calls done once no flow is in flight, but not
 * before STOP_MIN_MS and at the latest after STOP_MAX_MS. */
void
dp_passthrough_companion_stop (DpPassthroughCompanion *companion,
                               DpPassthroughStoppedFunc done,
                               gpointer user_data)
{
  if (companion->stopping)
    return;
  companion->stopping = TRUE;
  companion->stopped_func = done;
  companion->stopped_data = user_data;
  companion->stop_began_at = dp_clock_now (companion->options.clock);
  companion->stop_source = g_timeout_add (STOP_CHECK_INTERVAL_MS, stop_timeout_,
                                          companion);
  g_message ("companion %s is stopping, %u flows in flight", companion->name,
             dp_passthrough_in_flight (companion->passthrough));
  update_serving_ (companion);
  send_report_ (companion, companion->stop_began_at);
}

/* Closes the ports and frees the companion. */
void
dp_passthrough_companion_free (DpPassthroughCompanion *companion)
{
  if (companion == NULL)
    return;
  g_clear_handle_id (&companion->report_source, g_source_remove);
  g_clear_handle_id (&companion->tick_source, g_source_remove);
  g_clear_handle_id (&companion->retry_source, g_source_remove);
  g_clear_handle_id (&companion->release_source, g_source_remove);
  g_clear_handle_id (&companion->stop_source, g_source_remove);
  dp_passthrough_reporter_free (companion->reporter);
  dp_packet_port_free (companion->data);
  dp_packet_port_free (companion->outbound);
  dp_packet_port_free (companion->report);
  dp_passthrough_free (companion->passthrough);
  dp_flow_log_free (companion->log);
  dp_policy_schedule_free (companion->policy_schedule);
  dp_evacuations_free (companion->evacuations);
  dp_announcement_tracker_clear (&companion->announcements);
  dp_passthrough_members_free (companion->members);
  g_hash_table_unref (companion->asked_members);
  g_free (companion->service);
  g_free (companion->name);
  g_free (companion->zone);
  g_free (companion);
}

/* Applies a heartbeat of the server. Returns FALSE if it is stale. */
gboolean
dp_passthrough_companion_handle_heartbeat (DpPassthroughCompanion *companion,
                                           const DpAnnouncement *announcement)
{
  gint64 now = dp_clock_now (companion->options.clock);
  const DpPassthroughLimits limits = {
    .slots = announcement->slots,
    .flow_ttl = companion->options.flow_ttl,
    .warmup_overrun = companion->options.warmup_overrun,
    .warmup_slack = companion->options.warmup_slack,
  };
  const gboolean first = !companion->announcements.known;
  gboolean changed;
  gboolean was_leaving = companion->announcement.leaving;
  DpAnnouncementResult result = dp_announcement_tracker_update (&companion->announcements,
                                                                announcement);

  if (result == DP_ANNOUNCEMENT_STALE)
    return FALSE;
  changed = first || result != DP_ANNOUNCEMENT_ACCEPTED
            || was_leaving != announcement->leaving;
  if (result != DP_ANNOUNCEMENT_ACCEPTED)
    dp_passthrough_server_replaced (companion->passthrough,
                                    result == DP_ANNOUNCEMENT_STARTED);
  if (changed)
    g_message ("server %s: incarnation %" G_GUINT64_FORMAT
               ", heartbeat %" G_GUINT64_FORMAT ", %s, %u slots, warm-up ends in %u ms%s",
               announcement->id, announcement->incarnation, announcement->sequence,
               announcement->leaving ? "leaving" : "ready", announcement->slots,
               announcement->warmup_remaining_ms,
               result == DP_ANNOUNCEMENT_STARTED    ? ", just started"
               : result == DP_ANNOUNCEMENT_REPLACED ? ", another incarnation"
                                                    : "");
  companion->announcement = *announcement;
  companion->announcement.id = NULL;
  companion->heartbeat_at = now;
  companion->warmup_ends_at = now + announcement->warmup_remaining_ms * DP_US_PER_MS;
  dp_passthrough_set_limits (companion->passthrough, &limits);
  /* Heartbeats of a warm server must not discard the requests in work. */
  if (companion->options.learned_concurrency && announcement->warmup_remaining_ms > 0)
    dp_concurrency_limit_set_warm_at (dp_passthrough_concurrency (companion->passthrough),
                                      companion->warmup_ends_at);
  dp_passthrough_set_warmup_end (companion->passthrough, companion->warmup_ends_at);
  update_warmup_ (companion, now);
  update_serving_ (companion);
  if (changed)
    send_report_ (companion, now);
  return TRUE;
}

JsonObject *
dp_passthrough_companion_explain (const DpPassthroughCompanion *companion,
                                  const DpFlowKey *key,
                                  const DpHop *hop)
{
  const gint64 now = dp_clock_now (companion->options.clock);
  const DpSegment syn = {
    .key = *key,
    .hash = dp_flow_key_hash (key),
    .flags = DP_TCP_SYN,
  };
  const DpPassthroughPreview preview = dp_passthrough_preview (companion->passthrough,
                                                               &syn, hop, now);
  const DpPassthroughWarmup warmup = dp_passthrough_warmup (companion->passthrough, now);
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "role", "companion");
  json_object_set_string_member (object, "name", companion->name);
  json_object_set_string_member (object, "zone", companion->zone);
  json_object_set_string_member (object, "service", companion->service);
  dp_explanation_add_flow (object, key);
  dp_explanation_add_preview (object, &preview);
  json_object_set_boolean_member (object, "failing",
                                  companion->breaker == DP_BREAKER_OPEN);
  json_object_set_boolean_member (
      object, "evacuated",
      companion->evacuations != NULL
          && dp_evacuations_contains (companion->evacuations, companion->zone));
  json_object_set_int_member (object, "declared_slots", companion->announcement.slots);
  if (warmup.active)
    {
      json_object_set_int_member (object, "warmup_limit", warmup.max);
      json_object_set_int_member (object, "warmup_requests", warmup.n_recent);
    }
  return object;
}

/* Records that the server has ended, unless another one has announced itself since. */
void
dp_passthrough_companion_handle_deregistration (DpPassthroughCompanion *companion,
                                                const char *id)
{
  if (!dp_announcement_tracker_deregister (&companion->announcements, id))
    return;
  g_message ("server %s has signed off", id);
  update_serving_ (companion);
  send_report_ (companion, dp_clock_now (companion->options.clock));
}

/* Returns the current time; to be called at the begin of each callback. Detects a pause
 * of the process before anything that came meanwhile is decided. */
static gint64
note_activity_ (DpPassthroughCompanion *companion)
{
  const gint64 now = dp_clock_now (companion->options.clock);
  const gint64 long_pause = (gint64) (companion->options.evacuate_ms * PAUSE_SHARE
                                      * DP_US_PER_MS);

  if (companion->active_at != 0 && now - companion->active_at > PAUSE_MIN_US)
    {
      g_message ("companion %s did not run for %" G_GINT64_FORMAT " ms", companion->name,
                 (now - companion->active_at) / DP_US_PER_MS);
      dp_passthrough_note_pause (companion->passthrough, now);
      if (companion->evacuations != NULL && now - companion->active_at > long_pause)
        {
          dp_evacuation_trust_init (&companion->trust, companion->trust.bound);
          update_serving_ (companion);
        }
    }
  companion->active_at = now;
  return now;
}

static void
add_metrics_ (DpPassthroughCompanion *companion)
{
  DpMetrics *metrics = companion->options.metrics;

  for (guint i = 0; i < DP_N_PASSTHROUGH_REASONS; i++)
    {
      g_autofree char *labels = g_strdup_printf (
          "reason=\"%s\"", dp_passthrough_reason_string ((DpPassthroughReason) i));

      companion->decisions[i] = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                                "dogwoodpaddle_packets_total", labels,
                                                "Packets by the reason of the decision");
    }
  companion->lost_lines = dp_metrics_add (metrics, DP_METRIC_GAUGE,
                                          "dogwoodpaddle_log_lines_lost", "",
                                          "Log lines that the log's reader did not take");
  companion->in_flight = dp_metrics_add (metrics, DP_METRIC_GAUGE,
                                         "dogwoodpaddle_flows_in_flight", "",
                                         "Flows that the server works on");
  companion->failing = dp_metrics_add (metrics, DP_METRIC_GAUGE,
                                       "dogwoodpaddle_server_failing", "",
                                       "Whether the server fails too many requests");
  companion->warmup_limit = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_warmup_limit", "",
      "Requests that a cold server gets in a second at most, 0: no limit is in force");
  companion->held_back = dp_metrics_add (
      metrics, DP_METRIC_COUNTER, "dogwoodpaddle_syns_held_back_total", "",
      "New flows that found a slot but were held back as the server is cold");
  companion->left_out = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_members_left_out", "",
      "Members that get no flows, as another one has the same id");
  companion->registrations = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                             "dogwoodpaddle_flow_registrations_total", "",
                                             "Owners of flows sent to other members");
  companion->unanswered = dp_metrics_add (
      metrics, DP_METRIC_COUNTER, "dogwoodpaddle_searches_unanswered_total", "",
      "Packets that were forwarded again, as a member has not answered");
  companion->owner_queries = dp_metrics_add (
      metrics, DP_METRIC_COUNTER, "dogwoodpaddle_owner_queries_total", "",
      "Flows whose owner all members were asked for");
  companion->packet_copies = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                             "dogwoodpaddle_packet_copies_total", "",
                                             "Copies of packets sent to members that may "
                                             "have the flow, as none named its owner");
  companion->searches_refused = dp_metrics_add (
      metrics, DP_METRIC_COUNTER, "dogwoodpaddle_searches_refused_total", "",
      "Packets dropped as the owners of too many flows were being searched");
  companion->zones_evacuated = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_zones_evacuated", "",
      "Availability zones whose evacuation is in force in this process");
  companion->own_zone_evacuated = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_own_zone_evacuated_ms", "",
      "Time since the evacuation of this availability zone became known, 0: it is not "
      "evacuated");
  companion->evacuated_flows = dp_metrics_add (
      metrics, DP_METRIC_COUNTER, "dogwoodpaddle_evacuated_flows_total", "",
      "New flows that came to this member of an evacuated availability zone");
  companion->malformed = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                         "dogwoodpaddle_datagrams_malformed_total", "",
                                         "Datagrams that could not be read");
}

static void
create_components_ (DpPassthroughCompanion *companion)
{
  const DpPassthroughCompanionOptions *options = &companion->options;
  const DpPassthroughReporterOptions reporter = {
    .zone = companion->zone,
    .seed_balancers = options->seed_balancers,
    .n_seed_balancers = options->n_seed_balancers,
    .platform = options->platform,
    .balancers_collection = options->balancers_collection,
  };
  const DpPassthroughHistograms times = {
    .wait = dp_metrics_add_histogram (options->metrics, "dogwoodpaddle_wait_seconds",
                                      "Waits of new flows for a slot"),
    .accept = dp_metrics_add_histogram (options->metrics, "dogwoodpaddle_accept_seconds",
                                        "From a SYN to the server's answer"),
    .work = dp_metrics_add_histogram (options->metrics, "dogwoodpaddle_work_seconds",
                                      "From a SYN to the end of the server's work"),
  };

  companion->passthrough = dp_passthrough_new (companion->service, companion->name,
                                               dp_clock_now (options->clock));
  dp_passthrough_set_histograms (companion->passthrough, &times);
  if (options->learned_concurrency)
    dp_passthrough_learn_limit (companion->passthrough, dp_clock_now (options->clock));
  dp_passthrough_set_address (companion->passthrough, &options->data_address);
  companion->log = dp_flow_log_new (options->clock, options->metrics);
  if (options->evacuate_ms > 0)
    {
      companion->evacuations = dp_evacuations_new ();
      companion->policy_schedule = dp_policy_schedule_new ();
      dp_evacuation_trust_init (&companion->trust, options->evacuate_ms * DP_US_PER_MS);
      dp_evacuations_set_listener (companion->evacuations, evacuations_changed_,
                                   companion);
    }
  companion->reporter = dp_passthrough_reporter_new (&reporter, options->metrics);
}

static void
received_packet_ (const DpAddress *source, guint8 *data, gsize length, gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  const DpPacketFormat *format = companion->options.format;
  const gint64 now = note_activity_ (companion);
  DpPassthroughDecision decision;
  DpSegment segment;
  gboolean returned;
  DpHop hop;

  if (!format->parse (data, length, &segment, &returned) || returned)
    {
      dp_metric_increment (companion->malformed);
      return;
    }
  format->read_hop (data, &hop);
  decision = dp_passthrough_from_peer (companion->passthrough, &segment, &hop, now);
  note_evacuated_flow_ (companion, &decision, &segment);
  execute_ (companion, &decision, &segment, data, length);
  if (hop.n_visited == DP_VISITS_ENDED)
    answer_copy_ (companion, source, &decision, &segment, now);
  keep_packet_ (companion, &decision, &segment, &hop, data, length, now);
  schedule_release_ (companion, now);
  send_pending_messages_ (companion);
}

/* Handles a packet of the server itself, or a client's packet that the server returned.
 */
static void
received_server_packet_ (const DpAddress *source,
                         guint8 *data,
                         gsize length,
                         gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  const DpPacketFormat *format = companion->options.format;
  const gint64 now = note_activity_ (companion);
  DpPassthroughDecision decision;
  DpSegment segment;
  gboolean returned;
  DpFlowKey key;
  DpHop hop = { 0 };

  if (!format->parse (data, length, &segment, &returned))
    {
      dp_metric_increment (companion->malformed);
      return;
    }
  if (returned)
    {
      format->read_hop (data, &hop);
      decision = dp_passthrough_returned (companion->passthrough, &segment, &hop, now);
      if (hop.n_visited == DP_VISITS_ENDED)
        answer_returned_copy_ (companion, &segment);
    }
  else
    {
      key = (DpFlowKey){ .client = segment.key.service, .service = segment.key.client };
      segment.key = key;
      segment.hash = dp_flow_key_hash (&key);
      decision = dp_passthrough_from_server (companion->passthrough, &segment, now);
    }
  execute_ (companion, &decision, &segment, data, length);
  keep_packet_ (companion, &decision, &segment, &hop, data, length, now);
  release_held_syns_ (companion, now);
  send_pending_messages_ (companion);
}

static void
execute_ (DpPassthroughCompanion *companion,
          const DpPassthroughDecision *decision,
          const DpSegment *segment,
          guint8 *data,
          gsize length)
{
  const DpPassthroughCompanionOptions *options = &companion->options;
  const DpAddress client = { segment->key.client.ip, options->client_port };
  guint8 reset[DP_PACKET_MAX];

  dp_metric_increment (companion->decisions[decision->reason]);
  log_decision_ (companion, decision, segment);
  switch (decision->action)
    {
    case DP_PASSTHROUGH_TO_SERVER:
      options->format->write_hop (data, &decision->hop);
      dp_packet_port_send (companion->outbound, &options->server_address, data, length);
      break;
    case DP_PASSTHROUGH_TO_CLIENT:
      dp_packet_port_send (companion->data, &client, data, length);
      break;
    case DP_PASSTHROUGH_TO_MEMBER:
      options->format->write_hop (data, &decision->hop);
      dp_packet_port_send (companion->data, &decision->member, data, length);
      break;
    case DP_PASSTHROUGH_RESET:
      length = options->format->make_reset (segment, reset);
      dp_packet_port_send (companion->data, &client, reset, length);
      break;
    case DP_PASSTHROUGH_HOLD:
      hold_syn_ (companion, segment, data, length);
      break;
    case DP_PASSTHROUGH_ASK_MEMBERS:
      ask_members_ (companion, decision, segment, data, length);
      break;
    case DP_PASSTHROUGH_DROP:
    case DP_N_PASSTHROUGH_ACTIONS:
    default:
      break;
    }
}

static void
hold_syn_ (DpPassthroughCompanion *companion,
           const DpSegment *segment,
           const guint8 *data,
           gsize length)
{
  g_autoptr (GBytes) packet = g_bytes_new (data, length);

  dp_passthrough_hold_packet (companion->passthrough, segment, packet);
}

static void
ask_members_ (DpPassthroughCompanion *companion,
              const DpPassthroughDecision *decision,
              const DpSegment *segment,
              const guint8 *data,
              gsize length)
{
  g_autoptr (GBytes) packet = g_bytes_new (data, length);

  if (!dp_passthrough_ask_members (companion->passthrough, segment, &decision->hop,
                                   packet, dp_clock_now (companion->options.clock)))
    dp_metric_increment (companion->searches_refused);
  schedule_retry_ (companion);
}

/* Keeps a packet that was sent to a member that may be down. */
static void
keep_packet_ (DpPassthroughCompanion *companion,
              const DpPassthroughDecision *decision,
              const DpSegment *segment,
              const DpHop *hop,
              const guint8 *data,
              gsize length,
              gint64 now)
{
  g_autoptr (GBytes) packet = NULL;

  if (!decision->unconfirmed)
    return;
  packet = g_bytes_new (data, length);
  dp_passthrough_keep_packet (companion->passthrough, segment, hop, decision, packet,
                              now);
  schedule_retry_ (companion);
}

/* Looks at the kept packets from now on. */
static void
schedule_retry_ (DpPassthroughCompanion *companion)
{
  if (companion->retry_source == 0)
    companion->retry_source = g_timeout_add (DP_PASSTHROUGH_RETRY_INTERVAL_MS,
                                             retry_timeout_, companion);
}

/* Carries out the decisions about kept packets whose member, or all members that could
 * name the owner, have not answered. */
static gboolean
retry_timeout_ (gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  const gint64 now = note_activity_ (companion);
  DpRedecidedPacket unanswered;

  while (dp_passthrough_next_unanswered (companion->passthrough, &unanswered, now))
    {
      execute_redecided_ (companion, &unanswered);
      dp_metric_increment (companion->unanswered);
    }
  search_servers_ (companion, now);
  send_pending_messages_ (companion);
  if (dp_passthrough_n_kept (companion->passthrough) > 0)
    return G_SOURCE_CONTINUE;
  companion->retry_source = 0;
  return G_SOURCE_REMOVE;
}

/* Carries out a decision about a packet that was kept, and drops the packet. */
static void
execute_redecided_ (DpPassthroughCompanion *companion, DpRedecidedPacket *redecided)
{
  g_autoptr (GBytes) kept = g_steal_pointer (&redecided->packet);
  guint8 packet[DP_PACKET_MAX];
  const gsize length = g_bytes_get_size (kept);

  memcpy (packet, g_bytes_get_data (kept, NULL), length);
  execute_ (companion, &redecided->decision, &redecided->segment, packet, length);
}

/* Forwards the kept packets of a flow to the owner that was registered. */
static void
release_found_ (DpPassthroughCompanion *companion, const DpFlowKey *key, gint64 now)
{
  DpRedecidedPacket found;

  while (dp_passthrough_next_found (companion->passthrough, key, &found, now))
    execute_redecided_ (companion, &found);
}

/* Handles the packets of flows whose owner no member has named: copies of them go to the
 * members whose servers may have the flow. */
static void
search_servers_ (DpPassthroughCompanion *companion, gint64 now)
{
  DpRedecidedPacket unfound;

  while (dp_passthrough_next_unfound (companion->passthrough, &unfound, now))
    {
      if (unfound.decision.action == DP_PASSTHROUGH_TO_MEMBER)
        dp_metric_increment (companion->packet_copies);
      execute_redecided_ (companion, &unfound);
    }
}

/* Carries out the decisions about held SYNs that no longer wait. */
static void
release_held_syns_ (DpPassthroughCompanion *companion, gint64 now)
{
  DpReleasedSyn released;

  while (dp_passthrough_next_released (companion->passthrough, &released, now))
    {
      g_autoptr (GBytes) held = released.packet;
      guint8 packet[DP_PACKET_MAX];
      DpSegment segment;
      gboolean returned;
      gsize length;

      g_assert (held != NULL);
      length = g_bytes_get_size (held);
      memcpy (packet, g_bytes_get_data (held, NULL), length);
      if (companion->options.format->parse (packet, length, &segment, &returned))
        execute_ (companion, &released.decision, &segment, packet, length);
    }
  schedule_release_ (companion, now);
}

/* Looks at the waiting SYNs again as soon as the limit of a cold server lets one through.
 */
static void
schedule_release_ (DpPassthroughCompanion *companion, gint64 now)
{
  const gint64 wait = dp_passthrough_release_wait (companion->passthrough, now);

  if (wait > 0 && companion->release_source == 0)
    companion->release_source = g_timeout_add ((guint) (wait / DP_US_PER_MS + 1),
                                               release_timeout_, companion);
}

static gboolean
release_timeout_ (gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  const gint64 now = note_activity_ (companion);

  companion->release_source = 0;
  release_held_syns_ (companion, now);
  send_pending_messages_ (companion);
  return G_SOURCE_REMOVE;
}

/* Returns the kind of log line about the decision; DP_N_FLOW_LOG_KINDS if it gets none.
 * Logged are each packet that is answered with a reset, dropped, late or repeated by the
 * server, but not the retransmissions of a held SYN; packets whose owner is searched; and
 * the SYNs of the sampled flows. */
static DpFlowLogKind
log_kind_ (const DpPassthroughDecision *decision, const DpSegment *segment)
{
  if (decision->action == DP_PASSTHROUGH_RESET
      || (decision->action == DP_PASSTHROUGH_DROP
          && decision->reason != DP_PASSTHROUGH_WAITING
          && decision->reason != DP_PASSTHROUGH_SEARCHING)
      || decision->reason == DP_PASSTHROUGH_LATE
      || decision->reason == DP_PASSTHROUGH_REPEATED)
    return DP_FLOW_LOG_FAILURE;
  if (decision->reason == DP_PASSTHROUGH_ASKED
      || decision->reason == DP_PASSTHROUGH_SEARCHING
      || decision->reason == DP_PASSTHROUGH_RETURNED
      || decision->reason == DP_PASSTHROUGH_PASSED_BEFORE
      || decision->reason == DP_PASSTHROUGH_REGISTERED || decision->hop.reject_reason != 0
      || (dp_segment_opens_flow (segment) && segment->syn_age_ms > 0))
    return DP_FLOW_LOG_SEARCH;
  return (segment->flags & DP_TCP_SYN) != 0 ? DP_FLOW_LOG_NORMAL : DP_N_FLOW_LOG_KINDS;
}

/* Logs the decision with what it was based on, so that the logs of all processes tell
 * which way a packet took and why. */
static void
log_decision_ (DpPassthroughCompanion *companion,
               const DpPassthroughDecision *decision,
               const DpSegment *segment)
{
  const DpFlowLogKind kind = log_kind_ (decision, segment);
  const DpPassthroughBasis *basis = &decision->basis;
  DpPassthroughWarmup warmup;
  char member[DP_ADDRESS_STRLEN];

  if (kind == DP_N_FLOW_LOG_KINDS || !dp_flow_log_admits (companion->log, kind, segment))
    return;
  warmup = dp_passthrough_warmup (companion->passthrough,
                                  dp_clock_now (companion->options.clock));
  dp_flow_log_write (
      segment, dp_passthrough_action_string (decision->action),
      dp_passthrough_reason_string (decision->reason),
      "member=%s visited=%u steps=%u owners_tried=%u members=%u in_flight=%u slots=%u "
      "warmup=%u/%u flags=%u syn_age_ms=%u "
      "state=%s state_ms=%" G_GINT64_FORMAT " view_ms=%" G_GINT64_FORMAT
      " all_flows_known=%d",
      decision->action == DP_PASSTHROUGH_TO_MEMBER
          ? dp_address_format (&decision->member, member)
          : companion->name,
      decision->hop.n_visited, decision->hop.search_steps, decision->hop.n_owners_tried,
      dp_passthrough_n_members (companion->passthrough),
      dp_passthrough_in_flight (companion->passthrough), companion->announcement.slots,
      warmup.n_recent, warmup.max, segment->flags, segment->syn_age_ms,
      basis->flow_state == NULL ? "released" : basis->flow_state,
      basis->flow_age / DP_US_PER_MS,
      basis->view_age < 0 ? -1 : basis->view_age / DP_US_PER_MS, basis->all_flows_known);
}

/* Handles a member list of a balancer, or a message of another member about the flow
 * directory. */
static void
received_message_ (const DpAddress *source,
                   guint8 *data,
                   gsize length,
                   gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  const gint64 now = note_activity_ (companion);
  const char *service = NULL;
  DpReportMessage message;

  if (dp_report_decode (&message, data, length))
    service = message.type == DP_REPORT_MEMBERS ? message.list.service : message.service;
  if (g_strcmp0 (service, companion->service) != 0)
    dp_metric_increment (companion->malformed);
  else if (message.type == DP_REPORT_MEMBERS)
    apply_list_ (companion, &message.list, now);
  else if (message.type == DP_REPORT_POLICY)
    apply_policy_ (companion, source, &message.policy, now);
  else if (message.type == DP_REPORT_OWNER)
    register_owner_ (companion, source, &message.owner, now);
  else if (message.type == DP_REPORT_OWNER_QUERY)
    answer_query_ (companion, source, &message.query, now);
  else if (message.type == DP_REPORT_OWNER_ANSWER)
    note_owner_answer_ (companion, source, &message.answer, now);
  else
    handle_peer_message_ (companion, source, &message);
  dp_report_message_clear (&message);
  send_pending_messages_ (companion);
}

/* Handles a message that says nothing but who sends it, if it comes from there. */
static void
handle_peer_message_ (DpPassthroughCompanion *companion,
                      const DpAddress *source,
                      const DpReportMessage *message)
{
  guint8 buffer[DP_REPORT_MAX];
  gsize length;

  if (source->ip != message->sender.ip)
    dp_metric_increment (companion->malformed);
  else if (message->type == DP_REPORT_OWNERS_WANTED)
    dp_passthrough_repeat_registrations (companion->passthrough, &message->sender);
  else if (message->type == DP_REPORT_PROBE_ANSWER)
    dp_passthrough_note_probe_answer (companion->passthrough, &message->sender);
  else if (message->type == DP_REPORT_PROBE)
    {
      length = dp_peer_message_encode (DP_REPORT_PROBE_ANSWER,
                                       &companion->options.data_address,
                                       companion->service, buffer);
      send_to_member_ (companion, &message->sender, buffer, length);
    }
}

/* A member other than the owner may name one that has changed since. */
static void
register_owner_ (DpPassthroughCompanion *companion,
                 const DpAddress *source,
                 const DpFlowOwner *owner,
                 gint64 now)
{
  if (source->ip == owner->member.ip)
    dp_passthrough_register_owner (companion->passthrough, owner, now);
  else
    dp_passthrough_register_copy (companion->passthrough, owner, now);
  release_found_ (companion, &owner->key, now);
}

/* Names the owner of a flow to the member that asks for it, if it is known here. */
static void
answer_query_ (DpPassthroughCompanion *companion,
               const DpAddress *source,
               const DpOwnerQuery *query,
               gint64 now)
{
  guint8 buffer[DP_REPORT_MAX];
  DpOwnerAnswer answer;
  DpFlowOwner owner;
  gsize length;

  if (source->ip != query->sender.ip)
    {
      dp_metric_increment (companion->malformed);
      return;
    }
  if (dp_passthrough_answer_query (companion->passthrough, query, &owner, &answer, now))
    length = dp_flow_owner_encode (&owner, companion->service, buffer);
  else
    {
      answer.server_silent = answer.may_have_flow && !hears_server_ (companion, now);
      length = dp_owner_answer_encode (&answer, companion->service, buffer);
    }
  send_to_member_ (companion, &query->sender, buffer, length);
}

/* Tells the sender of a copy whether the flow is here, unless only the server knows. */
static void
answer_copy_ (DpPassthroughCompanion *companion,
              const DpAddress *sender,
              const DpPassthroughDecision *decision,
              const DpSegment *segment,
              gint64 now)
{
  const DpOwnerQuery query = { segment->key, segment->ack, *sender };

  if (decision->reason == DP_PASSTHROUGH_ASKED)
    dp_passthrough_note_copy (companion->passthrough, segment, sender, now);
  else if (decision->action == DP_PASSTHROUGH_TO_SERVER)
    answer_query_ (companion, sender, &query, now);
  else
    send_not_here_ (companion, segment, sender);
}

/* Tells the sender of a copy that the server has returned it. */
static void
answer_returned_copy_ (DpPassthroughCompanion *companion, const DpSegment *segment)
{
  DpAddress sender;

  if (dp_passthrough_copy_sender (companion->passthrough, segment, &sender))
    send_not_here_ (companion, segment, &sender);
}

static void
send_not_here_ (DpPassthroughCompanion *companion,
                const DpSegment *segment,
                const DpAddress *receiver)
{
  const DpOwnerAnswer answer = { segment->key, FALSE, FALSE,
                                 companion->options.data_address };
  guint8 buffer[DP_REPORT_MAX];

  send_to_member_ (companion, receiver, buffer,
                   dp_owner_answer_encode (&answer, companion->service, buffer));
}

static void
note_owner_answer_ (DpPassthroughCompanion *companion,
                    const DpAddress *source,
                    const DpOwnerAnswer *answer,
                    gint64 now)
{
  if (source->ip != answer->sender.ip)
    {
      dp_metric_increment (companion->malformed);
      return;
    }
  if (dp_passthrough_note_owner_answer (companion->passthrough, answer))
    search_servers_ (companion, now);
}

/* Applies what a balancer knows of evacuations and of the warm-up rate, and answers with
 * what this companion knows if that is something else. */
static void
apply_policy_ (DpPassthroughCompanion *companion,
               const DpAddress *source,
               const DpPolicy *policy,
               gint64 now)
{
  g_autoptr (GArray) entries = NULL;
  DpPolicy answer = {
    .service = companion->service,
    .config_version = companion->config_version,
    .warmup_rate = companion->warmup_rate,
  };
  guint8 buffer[DP_REPORT_MAX];

  if (companion->evacuations == NULL)
    return;
  for (guint i = 0; i < policy->entries->len; i++)
    dp_evacuations_apply (companion->evacuations,
                          &g_array_index (policy->entries, DpEvacuationEntry, i),
                          DP_EVACUATION_FROM_PEER, now);
  dp_evacuation_trust_note (&companion->trust, policy->knowledge, now);
  if (policy->config_version > companion->config_version)
    {
      companion->config_version = policy->config_version;
      companion->warmup_rate = policy->warmup_rate;
      dp_passthrough_set_warmup_limit (
          companion->passthrough, (double) companion->warmup_rate / WARMUP_RATE_UNITS);
      update_warmup_ (companion, now);
    }
  sync_serving_ (companion, now);
  answer.digest = dp_evacuations_digest (companion->evacuations);
  if (answer.digest == policy->digest
      || !dp_policy_schedule_admits (companion->policy_schedule, source, answer.digest,
                                     policy->digest, now))
    return;
  answer.knowledge = dp_evacuation_trust_suffices (&companion->trust, now)
                         ? DP_KNOWLEDGE_OLD
                         : DP_KNOWLEDGE_NONE;
  entries = dp_evacuations_entries (companion->evacuations, now);
  answer.entries = entries;
  dp_packet_port_send (companion->report, source, buffer,
                       dp_policy_encode (&answer, buffer));
}

/* Returns the digest for reports; 0 makes any balancer answer. */
static guint64
policy_digest_ (const DpPassthroughCompanion *companion, gint64 now)
{
  if (companion->evacuations == NULL
      || !dp_evacuation_trust_suffices (&companion->trust, now))
    return 0;
  return dp_policy_digest (dp_evacuations_digest (companion->evacuations),
                           companion->warmup_rate);
}

static void
evacuations_changed_ (gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;

  companion->zones_evacuated->value = dp_evacuations_n_evacuated (companion->evacuations);
}

/* Counts a new flow that came although the zone is evacuated. */
static void
note_evacuated_flow_ (DpPassthroughCompanion *companion,
                      const DpPassthroughDecision *decision,
                      const DpSegment *segment)
{
  if (companion->evacuations != NULL && dp_segment_opens_flow (segment)
      && decision->reason == DP_PASSTHROUGH_NOT_SERVING
      && dp_evacuations_contains (companion->evacuations, companion->zone))
    dp_metric_increment (companion->evacuated_flows);
}

static void
apply_list_ (DpPassthroughCompanion *companion, const DpMemberList *list, gint64 now)
{
  g_autoptr (DpMemberView)
      view = dp_passthrough_members_update (companion->members, list, now);

  /* A balancer of an earlier version answers with a list only. */
  if (companion->evacuations != NULL)
    dp_evacuation_trust_note (&companion->trust, DP_KNOWLEDGE_NONE, now);
  if (view == NULL)
    return;
  companion->left_out->value = view->n_left_out;
  dp_member_view_log_left_out (view, &companion->left_out_logged_at, now);
  dp_passthrough_set_view (companion->passthrough, view, now);
  ask_new_members_ (companion, view);
}

/* Asks each member that this process has not known before for the flows whose directory
 * entries are to be kept here: a predecessor of this process may have had them. */
static void
ask_new_members_ (DpPassthroughCompanion *companion, const DpMemberView *view)
{
  guint8 buffer[DP_REPORT_MAX];
  const gsize length = dp_peer_message_encode (DP_REPORT_OWNERS_WANTED,
                                               &companion->options.data_address,
                                               companion->service, buffer);

  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];

      if (g_hash_table_add (companion->asked_members, GUINT_TO_POINTER (m->id)))
        send_to_member_ (companion, &m->address, buffer, length);
    }
}

/* Sends other members what is to be entered in their part of the flow directory, queries
 * for owners, and probes. */
static void
send_pending_messages_ (DpPassthroughCompanion *companion)
{
  DpOwnerRegistration registration;
  const DpMemberView *view;
  guint8 buffer[DP_REPORT_MAX];
  DpOwnerQuery query;
  DpAddress probed;

  while (dp_passthrough_next_registration (companion->passthrough, &registration))
    {
      gsize length = dp_flow_owner_encode (&registration.owner, companion->service,
                                           buffer);

      send_to_member_ (companion, &registration.member, buffer, length);
      dp_metric_increment (companion->registrations);
    }
  while (dp_passthrough_next_query (companion->passthrough, &query, &view))
    {
      gsize length = dp_owner_query_encode (&query, companion->service, buffer);

      for (guint i = 0; i < view->n_members; i++)
        send_to_member_ (companion, &view->members[i].address, buffer, length);
      dp_metric_increment (companion->owner_queries);
    }
  while (dp_passthrough_next_probe (companion->passthrough, &probed))
    {
      gsize length = dp_peer_message_encode (
          DP_REPORT_PROBE, &companion->options.data_address, companion->service, buffer);

      send_to_member_ (companion, &probed, buffer, length);
    }
}

/* Sends a datagram to the report port of the member at this packet port. The ports are
 * the same on all hosts. */
static void
send_to_member_ (DpPassthroughCompanion *companion,
                 const DpAddress *member,
                 const guint8 *data,
                 gsize length)
{
  const DpAddress address = { member->ip, companion->options.report_address.port };

  if (!dp_address_equal (member, &companion->options.data_address))
    dp_packet_port_send (companion->report, &address, data, length);
}

/* Returns whether the server sends its heartbeats; also if it has had no time to do so
 * since this process started. */
static gboolean
hears_server_ (const DpPassthroughCompanion *companion, gint64 now)
{
  gint64 bound = companion->options.heartbeat_ms * HEARTBEATS_MISSED_MAX * DP_US_PER_MS;

  return !companion->announcements.deregistered && now - companion->heartbeat_at <= bound;
}

/* Returns whether the server is known, takes new flows and sends its heartbeats. */
static gboolean
is_serving_ (const DpPassthroughCompanion *companion, gint64 now)
{
  return companion->announcements.known && !companion->announcement.leaving
         && !companion->stopping && hears_server_ (companion, now)
         && takes_flows_in_zone_ (companion, now);
}

/* Returns whether no evacuation keeps new flows off, and this process has heard enough to
 * know that. */
static gboolean
takes_flows_in_zone_ (const DpPassthroughCompanion *companion, gint64 now)
{
  return companion->evacuations == NULL
         || (dp_evacuation_trust_suffices (&companion->trust, now)
             && !dp_evacuations_contains (companion->evacuations, companion->zone));
}

static DpMemberState
member_state_ (const DpPassthroughCompanion *companion, gint64 now)
{
  if (!is_serving_ (companion, now)
      || dp_passthrough_server_is_silent (companion->passthrough, now))
    return DP_MEMBER_LEAVING;
  return DP_MEMBER_ACTIVE;
}

static void
update_serving_ (DpPassthroughCompanion *companion)
{
  companion->serving = is_serving_ (companion, dp_clock_now (companion->options.clock));
  dp_passthrough_set_serving (companion->passthrough, companion->serving);
}

/* Applies a change of the evacuations or of what is known of them. The SYNs that wait go
 * on to other members, and the balancers are told at once. */
static void
sync_serving_ (DpPassthroughCompanion *companion, gint64 now)
{
  const gboolean was_serving = companion->serving;

  update_serving_ (companion);
  companion->own_zone_evacuated->value =
      (guint64) (dp_evacuations_age (companion->evacuations, companion->zone, now)
                 / DP_US_PER_MS);
  if (companion->serving == was_serving)
    return;
  release_held_syns_ (companion, now);
  send_report_ (companion, now);
}

/* Ends flows and waits that have timed out, and sends a report. */
static gboolean
report_timeout_ (gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  const gint64 now = note_activity_ (companion);

  dp_passthrough_tick (companion->passthrough, now);
  if (companion->evacuations != NULL)
    sync_serving_ (companion, now);
  /* Releases the SYNs that wait for a server that has become silent. */
  release_held_syns_ (companion, now);
  send_pending_messages_ (companion);
  companion->in_flight->value = dp_passthrough_in_flight (companion->passthrough);
  log_breaker_change_ (companion);
  log_limit_change_ (companion, now);
  update_warmup_ (companion, now);
  send_report_ (companion, now);
  return G_SOURCE_CONTINUE;
}

/* Logs each change of the server's breaker. */
static void
log_breaker_change_ (DpPassthroughCompanion *companion)
{
  const DpBreakerState health = dp_passthrough_server_health (companion->passthrough);

  if (health == companion->breaker)
    return;
  companion->breaker = health;
  companion->failing->value = health == DP_BREAKER_CLOSED ? 0 : 1;
  g_message ("server of companion %s: breaker %s, %u flows in flight", companion->name,
             dp_breaker_state_string (health),
             dp_passthrough_in_flight (companion->passthrough));
}

static void
add_concurrency_metrics_ (DpPassthroughCompanion *companion)
{
  DpMetrics *metrics = companion->options.metrics;

  companion->limit = dp_metrics_add (metrics, DP_METRIC_GAUGE,
                                     "dogwoodpaddle_concurrency_limit", "",
                                     "Requests that the server handles well at once");
  companion->limit_changes = dp_metrics_add (
      metrics, DP_METRIC_COUNTER, "dogwoodpaddle_concurrency_limit_changes_total", "",
      "Changes of the concurrency limit");
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      g_autofree char *labels = g_strdup_printf (
          "class=\"%s\"", dp_traffic_class_string ((DpTrafficClass) i));

      companion->service_times[i] = dp_metrics_add (
          metrics, DP_METRIC_GAUGE, "dogwoodpaddle_service_time_us", labels,
          "Server's usual time for a request, 0 while not known");
    }
}

/* Counts each change of the learnt limit, and logs the changes of at least a second in
 * one line. */
static void
log_limit_change_ (DpPassthroughCompanion *companion, gint64 now)
{
  const DpConcurrencyLimit *limit = dp_passthrough_concurrency (companion->passthrough);
  guint slots;

  if (limit == NULL || !companion->announcements.known)
    return;
  slots = dp_concurrency_limit_slots (limit);
  if (companion->limit->value != 0 && companion->limit->value != slots)
    dp_metric_increment (companion->limit_changes);
  companion->limit->value = slots;
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    companion->service_times[i]->value = dp_concurrency_limit_service_time (
        limit, (DpTrafficClass) i);
  if (slots == companion->logged_limit
      || now - companion->limit_logged_at < LIMIT_LOG_INTERVAL_US)
    return;
  if (companion->logged_limit != 0)
    g_message ("server of companion %s: concurrency limit %u, was %u, %u of %u declared "
               "slots in work, service time %.2f of that at lower numbers of requests",
               companion->name, slots, companion->logged_limit,
               dp_concurrency_limit_in_work (limit), companion->announcement.slots,
               dp_concurrency_limit_slowdown (limit));
  companion->logged_limit = slots;
  companion->limit_logged_at = now;
}

/* Updates the metrics of the limit of a cold server, and logs when it starts and ends. */
static void
update_warmup_ (DpPassthroughCompanion *companion, gint64 now)
{
  const DpPassthroughWarmup warmup = dp_passthrough_warmup (companion->passthrough, now);

  companion->warmup_limit->value = warmup.max;
  companion->held_back->value = warmup.n_held_back;
  if (warmup.active == companion->warmup_limited)
    return;
  companion->warmup_limited = warmup.active;
  if (warmup.active)
    {
      companion->held_back_before = warmup.n_held_back;
      g_message ("server of companion %s is cold: it gets at most %u requests a second, "
                 "%u in the last one; its warm-up ends in %" G_GINT64_FORMAT " ms",
                 companion->name, warmup.max, warmup.n_recent,
                 (companion->warmup_ends_at - now) / DP_US_PER_MS);
    }
  else
    g_message ("server of companion %s has no limit for cold servers any more: %s, "
               "%" G_GUINT64_FORMAT " new flows were held back",
               companion->name,
               now >= companion->warmup_ends_at ? "it is warm" : "no rate is declared",
               warmup.n_held_back - companion->held_back_before);
}

/* Reports the server's state and load to the balancers. Nothing is reported before the
 * server's first heartbeat, as its number of slots is not known. */
static void
send_report_ (DpPassthroughCompanion *companion, gint64 now)
{
  gint64 warm_left = MAX (companion->warmup_ends_at - now, 0);
  const DpConcurrencyLimit *limit = dp_passthrough_concurrency (companion->passthrough);
  DpReport report = {
    .service = companion->service,
    .name = companion->name,
    .zone = companion->zone,
    .address = companion->options.data_address,
    .slots = companion->announcement.slots,
    .state = member_state_ (companion, now),
    .in_flight = dp_passthrough_load (companion->passthrough),
    .warmup_remaining_ms = (guint32) (warm_left / DP_US_PER_MS),
    .list_hash = dp_passthrough_members_hash (companion->members),
    .failing = companion->breaker == DP_BREAKER_OPEN,
    .deregistered = companion->announcements.deregistered,
    .has_policy_digest = companion->evacuations != NULL,
    .policy_digest = policy_digest_ (companion, now),
  };

  if (limit != NULL)
    {
      report.limit = dp_concurrency_limit_slots (limit);
      for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
        report.service_times[i] = dp_concurrency_limit_service_time (limit,
                                                                     (DpTrafficClass) i);
    }
  if (companion->announcements.known)
    dp_passthrough_reporter_send (companion->reporter, &report);
}

static gboolean
tick_timeout_ (gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  const gint64 now = dp_clock_now (companion->options.clock);

  update_serving_ (companion);
  if (companion->evacuations != NULL)
    dp_policy_schedule_expire (companion->policy_schedule, now);
  companion->lost_lines->value = dp_logging_lost_lines ();
  return G_SOURCE_CONTINUE;
}

static gboolean
stop_timeout_ (gpointer user_data)
{
  DpPassthroughCompanion *companion = user_data;
  gint64 age = dp_clock_now (companion->options.clock) - companion->stop_began_at;
  guint in_flight = dp_passthrough_in_flight (companion->passthrough);

  if (age < STOP_MIN_MS * DP_US_PER_MS
      || (in_flight > 0 && age < STOP_MAX_MS * DP_US_PER_MS))
    return G_SOURCE_CONTINUE;
  dp_passthrough_hand_over (companion->passthrough);
  send_pending_messages_ (companion);
  g_message ("companion %s stopped, %u flows in flight", companion->name, in_flight);
  companion->stop_source = 0;
  companion->stopped_func (companion->stopped_data);
  return G_SOURCE_REMOVE;
}
