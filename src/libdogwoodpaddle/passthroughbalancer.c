#include "protected/passthroughbalancer.h"

#include "private/listschedule.h"
#include "private/passthroughservices.h"
#include "private/policyschedule.h"
#include "protected/evacuations.h"
#include "protected/flowcache.h"
#include "protected/flowexplanation.h"
#include "protected/flowlog.h"
#include "protected/packetport.h"
#include "protected/placement.h"
#include "protected/router.h"

/* Flows in the cache, of 32 bytes each: ten times as many as the largest balancer in use
 * gets in ten seconds. */
#define CACHED_FLOWS 16384
/* A member that has not reported for this time is probably down or cut off. */
#define REPORT_SILENCE_US (1500 * DP_US_PER_MS)
/* Time after a SYN in which another one of the flow is taken for its retransmission.
 * Clients retransmit a SYN after 200 and 600 ms and give up after 1.4 s. */
#define SYN_RETRANSMISSIONS_MS 1500
/* Time after a start in which no flow is rejected for lack of a member: reports come
 * every 100 to 400 ms, and clients retransmit their SYN after 200 and 600 ms. */
#define MEMBER_DISCOVERY_US (1500 * DP_US_PER_MS)
/* The same while all members known are in evacuated zones: members of other zones report
 * within 400 ms. After that, a flow is better rejected at once than left without an
 * answer. */
#define EVACUATED_DISCOVERY_US (500 * DP_US_PER_MS)
/* Time after its start in which a balancer that has not heard of evacuations doesn't say
 * so to members that have not either: its list of them comes within milliseconds, and a
 * member that has got an answer gets no further one for 250 ms. */
#define KNOWLEDGE_DELAY_US DP_US_PER_S
/* Time after its start from which on a balancer is ready even if it knows no member of
 * some service. */
#define READY_TIMEOUT_US (3 * DP_US_PER_S)
/* Reason of a flow that is sent to a member, in logs and explanations. */
#define REASON_PLACED "placed"

typedef enum
{
  DROP_MALFORMED,
  DROP_NOT_A_CLIENT, /* a packet that only a server sends */
  DROP_NO_ROUTE,
  DROP_NO_MEMBER,
  DROP_EVACUATED, /* all members are in evacuated zones */
  DROP_UNSENT,
  N_DROP_REASONS
} DropReason;

struct _DpPassthroughBalancer
{
  DpPassthroughBalancerOptions options;
  char *name;
  char *zone;
  DpPassthroughServices *services;
  DpRouter *router;
  DpPlacement *placement;
  DpFlowCache *cache;
  DpFlowLog *log;
  DpPacketPort *data;
  DpPacketPort *report;
  GHashTable *list_schedules; /* member name to DpListSchedule */
  DpEvacuations *evacuations; /* NULL: the deployment has none */
  DpPolicySchedule *policy_schedule;
  DpKnowledge heard; /* what other processes knew of evacuations, at most */
  guint tick_source; /* source id */
  gint64 started_at; /* us */
  gboolean stopping;
  DpMetric *forwarded;
  DpMetric *placed;
  DpMetric *searched;
  DpMetric *rejected;
  DpMetric *drops[N_DROP_REASONS];
  DpMetric *members;
  DpMetric *zones_evacuated;
  DpMetric *speed_min;
  DpMetric *speed_max;
  DpMetric *left_out;
};

static const char *const drop_reason_strings_[] = { "malformed", "not_a_client",
                                                    "no_route",  "no_member",
                                                    "evacuated", "unsent" };

G_STATIC_ASSERT (G_N_ELEMENTS (drop_reason_strings_) == N_DROP_REASONS);

/* Where a new flow goes. */
typedef struct
{
  const DpServiceAddress *address; /* NULL: no service has the flow's address */
  guint64 service_id;
  DpHandle member;   /* DP_HANDLE_NONE: the flow is not placed */
  DropReason reason; /* of a flow that is not placed */
  gboolean rejected; /* answered with a reset; FALSE: the SYN is dropped */
} Placing;

static gboolean has_active_member_ (guint64 service_id, gpointer user_data);
static gboolean
is_evacuated_ (const DpPassthroughBalancer *balancer, guint64 service_id, gint64 now);
static void add_metrics_ (DpPassthroughBalancer *balancer);
static void create_components_ (DpPassthroughBalancer *balancer);
static void received_packet_ (const DpAddress *source,
                              guint8 *data,
                              gsize length,
                              gpointer user_data);
static gboolean is_routed_to_ (DpPassthroughBalancer *balancer,
                               const DpSegment *segment,
                               guint32 service_tag);
static void
set_times_ (DpPassthroughBalancer *balancer, const DpSegment *segment, DpHop *hop);
static DpCachedFlow *place_flow_ (DpPassthroughBalancer *balancer,
                                  const DpSegment *segment,
                                  DpHop *hop,
                                  gint64 now);
static Placing decide_placing_ (const DpPassthroughBalancer *balancer,
                                const DpFlowKey *key,
                                guint64 hash,
                                guint syn_age_ms,
                                gint64 now);
static DpCachedFlow *start_search_ (DpPassthroughBalancer *balancer,
                                    const DpSegment *segment,
                                    DpHop *hop,
                                    gint64 now);
static DpCachedFlow *add_to_cache_ (DpPassthroughBalancer *balancer,
                                    const DpSegment *segment,
                                    const DpHop *hop,
                                    DpHandle member,
                                    gint64 now);
static void end_flow_ (DpPassthroughBalancer *balancer, DpCachedFlow *flow);
static void log_choice_ (DpPassthroughBalancer *balancer,
                         const DpSegment *segment,
                         DpHandle member,
                         const char *reason,
                         DpTrafficClass class,
                         gint64 now);
static void log_silent_member_ (DpPassthroughBalancer *balancer,
                                const DpSegment *segment,
                                DpHandle handle,
                                const DpAddress *member,
                                gint64 now);
static void log_failure_ (DpPassthroughBalancer *balancer,
                          const DpSegment *segment,
                          gboolean rejected,
                          DropReason reason);
static void reject_ (DpPassthroughBalancer *balancer, const DpSegment *segment);
static void received_report_ (const DpAddress *source,
                              guint8 *data,
                              gsize length,
                              gpointer user_data);
static void send_list_ (DpPassthroughBalancer *balancer,
                        const DpAddress *destination,
                        const DpReport *report,
                        gint64 now);
static void
apply_policy_ (DpPassthroughBalancer *balancer, const DpPolicy *policy, gint64 now);
static void send_policy_ (DpPassthroughBalancer *balancer,
                          const DpAddress *destination,
                          const DpReport *report,
                          gint64 now);
static DpKnowledge knowledge_ (const DpPassthroughBalancer *balancer);
static void evacuations_changed_ (gpointer user_data);
static gboolean tick_ (gpointer user_data);

/* Creates a balancer that doesn't use the network yet. */
DpPassthroughBalancer *
dp_passthrough_balancer_new (const DpPassthroughBalancerOptions *options)
{
  DpPassthroughBalancer *balancer = g_new0 (DpPassthroughBalancer, 1);

  balancer->options = *options;
  balancer->name = g_strdup (options->name);
  balancer->zone = g_strdup (options->zone);
  balancer->started_at = dp_clock_now (options->clock);
  add_metrics_ (balancer);
  create_components_ (balancer);
  return balancer;
}

/* Opens the ports and begins to read the services and to register. Returns FALSE and sets
 * error, which names the address, if a port can't be opened. */
gboolean
dp_passthrough_balancer_start (DpPassthroughBalancer *balancer, GError **error)
{
  balancer->report = dp_udp_port_new (&balancer->options.report_address, received_report_,
                                      balancer, error);
  if (balancer->report == NULL)
    return FALSE;
  balancer->data = dp_udp_port_new (&balancer->options.data_address, received_packet_,
                                    balancer, error);
  if (balancer->data == NULL
      || !dp_passthrough_services_start (balancer->services, error))
    return FALSE;
  balancer->tick_source = g_timeout_add (DP_CONFIG_TICK_MS, tick_, balancer);
  g_message ("balancer %s of availability zone %s started", balancer->name,
             balancer->zone);
  return TRUE;
}

void
dp_passthrough_balancer_stop (DpPassthroughBalancer *balancer)
{
  balancer->stopping = TRUE;
  g_message ("balancer %s is stopping", balancer->name);
}

/* Closes the ports and frees the balancer. */
void
dp_passthrough_balancer_free (DpPassthroughBalancer *balancer)
{
  if (balancer == NULL)
    return;
  g_clear_handle_id (&balancer->tick_source, g_source_remove);
  dp_passthrough_services_free (balancer->services);
  dp_packet_port_free (balancer->data);
  dp_packet_port_free (balancer->report);
  dp_flow_cache_free (balancer->cache);
  dp_flow_log_free (balancer->log);
  dp_placement_free (balancer->placement);
  dp_policy_schedule_free (balancer->policy_schedule);
  dp_evacuations_free (balancer->evacuations);
  dp_router_free (balancer->router);
  g_hash_table_unref (balancer->list_schedules);
  g_free (balancer->name);
  g_free (balancer->zone);
  g_free (balancer);
}

/* Returns whether the network may send packets here. This requires that the services and
 * at least one member are known. In addition, until READY_TIMEOUT_US after the start, the
 * members must have had time to learn of this balancer, unless it could not register
 * within MEMBER_DISCOVERY_US, and an active member must be known of each service, unless
 * all of its members are in evacuated zones. With no member all flows would be rejected,
 * and a few members would be overloaded, while other balancers can serve the flows
 * better. */
gboolean
dp_passthrough_balancer_is_ready (const DpPassthroughBalancer *balancer)
{
  gint64 age = dp_clock_now (balancer->options.clock) - balancer->started_at;
  gboolean announced =
      dp_passthrough_services_balancer_is_announced (balancer->services)
      || (age > MEMBER_DISCOVERY_US
          && !dp_passthrough_services_balancer_is_registered (balancer->services));

  if (!dp_passthrough_services_are_known (balancer->services) || balancer->stopping
      || dp_placement_n_members (balancer->placement) == 0)
    return FALSE;
  return age > READY_TIMEOUT_US
         || (announced
             && dp_passthrough_services_all (balancer->services, has_active_member_,
                                             (gpointer) balancer));
}

/* Explains the first SYN of a flow that comes now. The flow cache is not consulted: it
 * keeps only copies of a SYN at the member of the first one. */
JsonObject *
dp_passthrough_balancer_explain (const DpPassthroughBalancer *balancer,
                                 const DpFlowKey *key)
{
  const gint64 now = dp_clock_now (balancer->options.clock);
  const guint64 hash = dp_flow_key_hash (key);
  const Placing placing = decide_placing_ (balancer, key, hash, 0, now);
  const gboolean placed = placing.member != DP_HANDLE_NONE;
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "role", "balancer");
  json_object_set_string_member (object, "name", balancer->name);
  json_object_set_string_member (object, "zone", balancer->zone);
  dp_explanation_add_flow (object, key);
  json_object_set_int_member (
      object, "configuration_version",
      (gint64) dp_passthrough_services_version (balancer->services));
  json_object_set_string_member (object, "action",
                                 placed             ? "to_member"
                                 : placing.rejected ? "reset"
                                                    : "drop");
  json_object_set_string_member (
      object, "reason", placed ? REASON_PLACED : drop_reason_strings_[placing.reason]);
  if (placing.address != NULL)
    {
      dp_explanation_add_route (object, balancer->placement, placing.service_id,
                                placing.address);
      dp_explanation_add_members (object, balancer->placement, placing.service_id,
                                  placing.address->class, hash, placing.member, now);
    }
  return object;
}

static gboolean
has_active_member_ (guint64 service_id, gpointer user_data)
{
  const DpPassthroughBalancer *balancer = user_data;

  return dp_placement_has_active (balancer->placement, service_id)
         || is_evacuated_ (balancer, service_id, dp_clock_now (balancer->options.clock));
}

/* Returns whether all members of the service are in evacuated zones and members of other
 * zones have had time to report since this balancer's start. */
static gboolean
is_evacuated_ (const DpPassthroughBalancer *balancer, guint64 service_id, gint64 now)
{
  return now - balancer->started_at > EVACUATED_DISCOVERY_US
         && dp_placement_is_evacuated (balancer->placement, service_id);
}

static void
add_metrics_ (DpPassthroughBalancer *balancer)
{
  DpMetrics *metrics = balancer->options.metrics;

  balancer->forwarded = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                        "dogwoodpaddle_packets_forwarded_total", "",
                                        "Packets sent to a member");
  balancer->placed = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                     "dogwoodpaddle_flows_placed_total", "",
                                     "New flows for which a member was chosen");
  balancer->searched = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                       "dogwoodpaddle_flows_searched_total", "",
                                       "Flows of unknown owner");
  balancer->rejected = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                       "dogwoodpaddle_flows_rejected_total", "",
                                       "New flows answered with a reset");
  balancer->members = dp_metrics_add (metrics, DP_METRIC_GAUGE, "dogwoodpaddle_members",
                                      "", "Members that have reported");
  balancer->zones_evacuated = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_zones_evacuated", "",
      "Availability zones whose evacuation is in force in this process");
  balancer->speed_min = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_member_speed_percent", "bound=\"min\"",
      "Members' speeds relative to the median");
  balancer->speed_max = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_member_speed_percent", "bound=\"max\"",
      "Members' speeds relative to the median");
  balancer->left_out = dp_metrics_add (
      metrics, DP_METRIC_GAUGE, "dogwoodpaddle_members_left_out", "",
      "Members that get no flows, as another one has the same id");
  for (guint i = 0; i < N_DROP_REASONS; i++)
    {
      g_autofree char *labels = g_strdup_printf ("reason=\"%s\"",
                                                 drop_reason_strings_[i]);

      balancer->drops[i] = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                           "dogwoodpaddle_packets_dropped_total", labels,
                                           "Packets dropped");
    }
}

static void
create_components_ (DpPassthroughBalancer *balancer)
{
  const DpPassthroughBalancerOptions *options = &balancer->options;

  balancer->router = dp_router_new ();
  balancer->placement = dp_placement_new (balancer->zone);
  if (options->evacuate_ms > 0)
    {
      balancer->evacuations = dp_evacuations_new ();
      balancer->policy_schedule = dp_policy_schedule_new ();
      dp_evacuations_set_listener (balancer->evacuations, evacuations_changed_, balancer);
    }
  balancer->services = dp_passthrough_services_new (options, balancer->router,
                                                    balancer->evacuations);
  dp_placement_set_learned (balancer->placement, options->learned_concurrency);
  balancer->cache = dp_flow_cache_new (CACHED_FLOWS);
  balancer->log = dp_flow_log_new (options->clock, options->metrics);
  balancer->list_schedules = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                    g_free);
}

static void
received_packet_ (const DpAddress *source, guint8 *data, gsize length, gpointer user_data)
{
  DpPassthroughBalancer *balancer = user_data;
  const DpPacketFormat *format = balancer->options.format;
  gint64 now = dp_clock_now (balancer->options.clock);
  DpSegment segment;
  DpCachedFlow *flow;
  DpAddress member;
  DpHop hop = { 0 };
  gboolean returned;
  gboolean opens_flow;

  if (!format->parse (data, length, &segment, &returned))
    {
      dp_metric_increment (balancer->drops[DROP_MALFORMED]);
      return;
    }
  opens_flow = dp_segment_opens_flow (&segment);
  if (returned || ((segment.flags & DP_TCP_SYN) != 0 && !opens_flow))
    {
      dp_metric_increment (balancer->drops[DROP_NOT_A_CLIENT]);
      return;
    }
  flow = dp_flow_cache_find (balancer->cache, &segment.key, segment.hash);
  /* A retransmitted SYN goes to the member of the first one, unless that member has
   * stopped reporting or the route has changed since. */
  if (flow != NULL && opens_flow
      && ((guint32) (now / DP_US_PER_MS) - flow->last_used_ms > SYN_RETRANSMISSIONS_MS
          || !dp_placement_is_live (balancer->placement, flow->member, now)
          || !is_routed_to_ (balancer, &segment, flow->service_tag)))
    {
      end_flow_ (balancer, flow);
      flow->member = DP_HANDLE_NONE;
      flow = NULL;
    }
  if (flow != NULL && !dp_placement_address (balancer->placement, flow->member, &member))
    {
      flow->member = DP_HANDLE_NONE;
      flow = NULL;
    }
  /* The member is probably down. If it has only passed the SYN on, another member has the
   * flow. */
  if (flow != NULL && !opens_flow
      && !dp_placement_is_reporting (balancer->placement, flow->member, now))
    {
      end_flow_ (balancer, flow);
      flow->member = DP_HANDLE_NONE;
      flow = NULL;
    }
  if (flow == NULL)
    flow = opens_flow ? place_flow_ (balancer, &segment, &hop, now)
                      : start_search_ (balancer, &segment, &hop, now);
  if (flow == NULL || !dp_placement_address (balancer->placement, flow->member, &member))
    return;
  flow->last_used_ms = (guint32) (now / DP_US_PER_MS);
  if (!opens_flow)
    log_silent_member_ (balancer, &segment, flow->member, &member, now);
  hop.service_tag = flow->service_tag;
  hop.class = flow->class;
  hop.search_steps = flow->searched && !opens_flow ? 1 : 0;
  if (opens_flow)
    set_times_ (balancer, &segment, &hop);
  format->write_hop (data, &hop);
  if (dp_packet_port_send (balancer->data, &member, data, length))
    dp_metric_increment (balancer->forwarded);
  else
    dp_metric_increment (balancer->drops[DROP_UNSENT]);
  if ((segment.flags & (DP_TCP_FIN | DP_TCP_RST)) != 0)
    end_flow_ (balancer, flow);
}

/* Returns whether the packet's address belongs to the service with the tag. */
static gboolean
is_routed_to_ (DpPassthroughBalancer *balancer,
               const DpSegment *segment,
               guint32 service_tag)
{
  guint64 service_id;

  return dp_router_find (balancer->router, &segment->key.service, &service_id) != NULL
         && dp_service_tag (service_id) == service_tag;
}

/* Sets the longest wait and the client's deadline in the hop metadata of a SYN. */
static void
set_times_ (DpPassthroughBalancer *balancer, const DpSegment *segment, DpHop *hop)
{
  const DpServiceAddress *address;
  guint64 service_id;

  address = dp_router_find (balancer->router, &segment->key.service, &service_id);
  if (address == NULL)
    return;
  hop->wait_limit_ms = (guint16) MIN (address->wait_limit / DP_US_PER_MS, G_MAXUINT16);
  hop->deadline_ms = (guint16) MIN (address->deadline / DP_US_PER_MS, G_MAXUINT16);
}

/* Chooses a member for a new flow and returns its row in the cache. Returns NULL if the
 * flow is rejected or the packet dropped. A copy of a SYN is dropped in place of a reset,
 * since the first one may have opened the flow through another balancer. */
static DpCachedFlow *
place_flow_ (DpPassthroughBalancer *balancer,
             const DpSegment *segment,
             DpHop *hop,
             gint64 now)
{
  const Placing placing = decide_placing_ (balancer, &segment->key, segment->hash,
                                           segment->syn_age_ms, now);
  DpCachedFlow *flow;

  if (placing.member == DP_HANDLE_NONE)
    {
      dp_metric_increment (balancer->drops[placing.reason]);
      log_failure_ (balancer, segment, placing.rejected, placing.reason);
      if (placing.rejected)
        reject_ (balancer, segment);
      return NULL;
    }
  hop->service_tag = dp_service_tag (placing.service_id);
  hop->class = (guint8) placing.address->class;
  flow = add_to_cache_ (balancer, segment, hop, placing.member, now);
  flow->in_flight = TRUE;
  log_choice_ (balancer, segment, placing.member, REASON_PLACED, placing.address->class,
               now);
  dp_placement_flow_opened (balancer->placement, placing.member);
  dp_metric_increment (balancer->placed);
  return flow;
}

/* Decides where the SYN of a new flow goes. Changes nothing. */
static Placing
decide_placing_ (const DpPassthroughBalancer *balancer,
                 const DpFlowKey *key,
                 guint64 hash,
                 guint syn_age_ms,
                 gint64 now)
{
  Placing placing = { .member = DP_HANDLE_NONE, .reason = DROP_NO_ROUTE };
  gboolean evacuated;

  placing.address = dp_router_find (balancer->router, &key->service, &placing.service_id);
  if (placing.address == NULL)
    {
      placing.rejected = dp_passthrough_services_are_current (balancer->services)
                         && syn_age_ms == 0;
      return placing;
    }
  placing.member = dp_placement_choose (balancer->placement, placing.service_id,
                                        placing.address->class, hash, now);
  if (placing.member != DP_HANDLE_NONE)
    return placing;
  evacuated = is_evacuated_ (balancer, placing.service_id, now);
  /* A member rejects the copy of a SYN once it knows that no other has taken the flow. */
  if (evacuated && syn_age_ms > 0)
    placing.member = dp_placement_first_candidate (balancer->placement,
                                                   placing.service_id, hash, now);
  placing.reason = evacuated ? DROP_EVACUATED : DROP_NO_MEMBER;
  placing.rejected = (evacuated || now - balancer->started_at > MEMBER_DISCOVERY_US)
                     && syn_age_ms == 0;
  return placing;
}

/* Starts the search for the owner of an unknown flow at a member that keeps the flow's
 * directory entry. Returns NULL if the packet is dropped. */
static DpCachedFlow *
start_search_ (DpPassthroughBalancer *balancer,
               const DpSegment *segment,
               DpHop *hop,
               gint64 now)
{
  const DpServiceAddress *address;
  guint64 service_id;
  DpCachedFlow *flow;
  DpHandle member;

  address = dp_router_find (balancer->router, &segment->key.service, &service_id);
  if (address == NULL)
    {
      dp_metric_increment (balancer->drops[DROP_NO_ROUTE]);
      return NULL;
    }
  member = dp_placement_first_candidate (balancer->placement, service_id, segment->hash,
                                         now);
  if (member == DP_HANDLE_NONE)
    {
      dp_metric_increment (balancer->drops[DROP_NO_MEMBER]);
      return NULL;
    }
  hop->service_tag = dp_service_tag (service_id);
  hop->class = (guint8) address->class;
  dp_metric_increment (balancer->searched);
  log_choice_ (balancer, segment, member, "searched", address->class, now);
  flow = add_to_cache_ (balancer, segment, hop, member, now);
  flow->searched = TRUE;
  return flow;
}

static DpCachedFlow *
add_to_cache_ (DpPassthroughBalancer *balancer,
               const DpSegment *segment,
               const DpHop *hop,
               DpHandle member,
               gint64 now)
{
  DpCachedFlow replaced;
  DpCachedFlow *flow = dp_flow_cache_add (balancer->cache, &segment->key, segment->hash,
                                          now, &replaced);

  if (replaced.member != DP_HANDLE_NONE)
    end_flow_ (balancer, &replaced);
  flow->member = member;
  flow->service_tag = hop->service_tag;
  flow->class = hop->class;
  return flow;
}

/* Stops counting the flow as in flight at its member. The row stays in the cache for the
 * flow's last packets. */
static void
end_flow_ (DpPassthroughBalancer *balancer, DpCachedFlow *flow)
{
  if (flow->in_flight)
    dp_placement_flow_closed (balancer->placement, flow->member);
  flow->in_flight = FALSE;
}

/* Logs the member that was chosen for a flow without a row in the cache: of the sampled
 * flows, and of all flows whose SYN may have gone to another member before. */
static void
log_choice_ (DpPassthroughBalancer *balancer,
             const DpSegment *segment,
             DpHandle member,
             const char *reason,
             DpTrafficClass class,
             gint64 now)
{
  const gboolean new_flow = dp_segment_opens_flow (segment) && segment->syn_age_ms == 0;
  const DpFlowLogKind kind = new_flow ? DP_FLOW_LOG_NORMAL : DP_FLOW_LOG_SEARCH;
  char text[DP_ADDRESS_STRLEN];
  DpAddress address = { 0 };

  if (!dp_flow_log_admits (balancer->log, kind, segment))
    return;
  dp_placement_address (balancer->placement, member, &address);
  dp_flow_log_write (
      segment, "to_member", reason,
      "member=%s class=%s services_version=%" G_GUINT64_FORMAT
      " syn_age_ms=%u report_ms=%" G_GINT64_FORMAT " up_ms=%" G_GINT64_FORMAT,
      dp_address_format (&address, text), dp_traffic_class_string (class),
      dp_passthrough_services_version (balancer->services), segment->syn_age_ms,
      dp_placement_report_age (balancer->placement, member, now) / DP_US_PER_MS,
      (now - balancer->started_at) / DP_US_PER_MS);
}

/* Logs a packet of a flow whose member has not reported for a while. The flow stalls if
 * the member is down or cut off. */
static void
log_silent_member_ (DpPassthroughBalancer *balancer,
                    const DpSegment *segment,
                    DpHandle handle,
                    const DpAddress *member,
                    gint64 now)
{
  gint64 report_age = dp_placement_report_age (balancer->placement, handle, now);
  char address[DP_ADDRESS_STRLEN];

  if (report_age < REPORT_SILENCE_US
      || !dp_flow_log_admits (balancer->log, DP_FLOW_LOG_FAILURE, segment))
    return;
  dp_flow_log_write (segment, "to_member", "member_silent",
                     "member=%s silent_ms=%" G_GINT64_FORMAT,
                     dp_address_format (member, address), report_age / DP_US_PER_MS);
}

static void
log_failure_ (DpPassthroughBalancer *balancer,
              const DpSegment *segment,
              gboolean rejected,
              DropReason reason)
{
  if (dp_flow_log_admits (balancer->log, DP_FLOW_LOG_FAILURE, segment))
    dp_flow_log_write (segment, rejected ? "reset" : "drop", drop_reason_strings_[reason],
                       "services_version=%" G_GUINT64_FORMAT
                       " members=%u platform_reachable=%d syn_age_ms=%u",
                       dp_passthrough_services_version (balancer->services),
                       dp_placement_n_members (balancer->placement),
                       dp_passthrough_services_are_current (balancer->services),
                       segment->syn_age_ms);
}

/* Answers a SYN with a reset. The server has not seen the flow. */
static void
reject_ (DpPassthroughBalancer *balancer, const DpSegment *segment)
{
  const DpAddress client = { segment->key.client.ip, balancer->options.client_port };
  guint8 packet[DP_PACKET_MAX];
  gsize length = balancer->options.format->make_reset (segment, packet);

  dp_metric_increment (balancer->rejected);
  dp_packet_port_send (balancer->data, &client, packet, length);
}

static void
received_report_ (const DpAddress *source, guint8 *data, gsize length, gpointer user_data)
{
  DpPassthroughBalancer *balancer = user_data;
  gint64 now = dp_clock_now (balancer->options.clock);
  DpReportMessage message;

  dp_report_decode (&message, data, length);
  if (message.type == DP_REPORT_POLICY)
    apply_policy_ (balancer, &message.policy, now);
  else if (message.type == DP_REPORT_LOAD)
    {
      const DpReport *report = &message.report;
      guint64 service_id = dp_service_id (report->service);

      dp_placement_apply_report (balancer->placement, report, now);
      balancer->members->value = dp_placement_n_members (balancer->placement);
      /* The policy goes first: a companion that has members takes new flows. */
      if (balancer->evacuations != NULL && report->has_policy_digest)
        send_policy_ (balancer, source, report, now);
      if (dp_placement_list_hash (balancer->placement, service_id) != report->list_hash)
        send_list_ (balancer, source, report, now);
    }
  else
    dp_metric_increment (balancer->drops[DROP_MALFORMED]);
  dp_report_message_clear (&message);
}

/* Sends a member the next part of the list of its service's members, if it is due. */
static void
send_list_ (DpPassthroughBalancer *balancer,
            const DpAddress *destination,
            const DpReport *report,
            gint64 now)
{
  const gboolean other_zone = !g_str_equal (report->zone, balancer->zone);
  const guint64 service_id = dp_service_id (report->service);
  DpMemberView *view = dp_placement_view (balancer->placement, service_id);
  DpListSchedule *schedule = g_hash_table_lookup (balancer->list_schedules, report->name);
  g_autoptr (GPtrArray) datagrams = NULL;
  g_autoptr (GArray) gone = NULL;
  const guint8 *data;
  gsize length;
  guint part;

  if (view == NULL || (schedule != NULL && now < schedule->next_at))
    return;
  if (schedule == NULL)
    {
      schedule = g_new0 (DpListSchedule, 1);
      dp_list_schedule_init (schedule, g_str_hash (balancer->name));
      g_hash_table_insert (balancer->list_schedules, g_strdup (report->name), schedule);
    }
  gone = dp_placement_gone_ids (balancer->placement, service_id, now);
  datagrams = dp_member_list_encode_parts (view, gone);
  if (datagrams->len == 0)
    g_warning ("the list of %u members of service %s has too many parts", view->n_members,
               report->service);
  if (!dp_list_schedule_next (schedule, datagrams->len, other_zone, now, &part))
    return;
  data = g_bytes_get_data (g_ptr_array_index (datagrams, part), &length);
  if (!dp_packet_port_send (balancer->report, destination, data, length))
    dp_metric_increment (balancer->drops[DROP_UNSENT]);
}

/* Applies what a companion knows of evacuations. */
static void
apply_policy_ (DpPassthroughBalancer *balancer, const DpPolicy *policy, gint64 now)
{
  if (balancer->evacuations == NULL)
    return;
  for (guint i = 0; i < policy->entries->len; i++)
    dp_evacuations_apply (balancer->evacuations,
                          &g_array_index (policy->entries, DpEvacuationEntry, i),
                          DP_EVACUATION_FROM_PEER, now);
  /* Whether this balancer is in touch with the platform shows here only. */
  balancer->heard = MAX (balancer->heard, MIN (policy->knowledge, DP_KNOWLEDGE_OLD));
}

/* Sends a member what this balancer knows of evacuations and of the warm-up rate, if the
 * member knows something else and a datagram is due. */
static void
send_policy_ (DpPassthroughBalancer *balancer,
              const DpAddress *destination,
              const DpReport *report,
              gint64 now)
{
  const guint64 evacuations_digest = dp_evacuations_digest (balancer->evacuations);
  DpPolicy policy = {
    .service = report->service,
    .knowledge = knowledge_ (balancer),
    .digest = evacuations_digest,
  };
  g_autoptr (GArray) entries = NULL;
  guint8 buffer[DP_REPORT_MAX];
  guint64 own_digest;

  policy.warmup_rate = dp_passthrough_services_warmup_rate (
      balancer->services, dp_service_id (report->service), &policy.config_version);
  own_digest = dp_policy_digest (evacuations_digest, policy.warmup_rate);
  if (report->policy_digest == own_digest
      || (report->policy_digest == 0 && policy.knowledge == DP_KNOWLEDGE_NONE
          && now - balancer->started_at < KNOWLEDGE_DELAY_US)
      || !dp_policy_schedule_admits (balancer->policy_schedule, destination,
                                     own_digest + policy.knowledge, report->policy_digest,
                                     now))
    return;
  entries = dp_evacuations_entries (balancer->evacuations, now);
  policy.entries = entries;
  if (!dp_packet_port_send (balancer->report, destination, buffer,
                            dp_policy_encode (&policy, buffer)))
    dp_metric_increment (balancer->drops[DROP_UNSENT]);
}

static DpKnowledge
knowledge_ (const DpPassthroughBalancer *balancer)
{
  if (!dp_evacuations_is_complete (balancer->evacuations)
      && balancer->heard == DP_KNOWLEDGE_NONE)
    return DP_KNOWLEDGE_NONE;
  return dp_passthrough_services_evacuations_are_current (balancer->services)
             ? DP_KNOWLEDGE_CURRENT
             : DP_KNOWLEDGE_OLD;
}

static void
evacuations_changed_ (gpointer user_data)
{
  DpPassthroughBalancer *balancer = user_data;

  balancer->zones_evacuated->value = dp_evacuations_n_evacuated (balancer->evacuations);
  dp_placement_set_evacuations (balancer->placement, balancer->evacuations,
                                dp_clock_now (balancer->options.clock));
}

static gboolean
tick_ (gpointer user_data)
{
  DpPassthroughBalancer *balancer = user_data;

  gint64 now = dp_clock_now (balancer->options.clock);
  double min;
  double max;

  dp_passthrough_services_tick (balancer->services);
  if (balancer->evacuations != NULL)
    {
      dp_evacuations_tick (balancer->evacuations, now);
      dp_policy_schedule_expire (balancer->policy_schedule, now);
    }
  if (dp_placement_expire (balancer->placement, now))
    g_hash_table_remove_all (balancer->list_schedules);
  balancer->members->value = dp_placement_n_members (balancer->placement);
  dp_placement_speed_range (balancer->placement, &min, &max);
  balancer->speed_min->value = (guint64) (min * 100.0);
  balancer->speed_max->value = (guint64) (max * 100.0);
  balancer->left_out->value = dp_placement_n_left_out (balancer->placement);
  return G_SOURCE_CONTINUE;
}
