/* Simulates the load patterns of the sites that use the balancer. The requests
 * are routed by the code of passthrough mode (placement, passthrough) under a simulated
 * clock and, for comparison, by simpler policies. Prints one JSON line for each pattern
 * and policy: the shares of requests served in time by class, of rejected ones, and of
 * those that crossed availability zones.
 *
 * usage: model_passthrough [SEED] */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "protected/clock.h"
#include "protected/passthrough.h"
#include "protected/placement.h"

#define SERVICE "dispatch"
#define N_ZONES 3
#define N_SERVERS 7
#define SLOTS 2
#define SERVER_QUEUE 8 /* requests that a server accepts beyond its slots */
#define SECONDS 40
#define MAX_TRIES 3
#define CLIENT_DELAY DP_US_PER_MS     /* one way */
#define ZONE_DELAY (DP_US_PER_MS / 2) /* one way */
/* Report intervals to balancers of the same and of other availability zones, as the
 * companions have them. */
#define SAME_ZONE_REPORT_INTERVAL (100 * DP_US_PER_MS)
#define OTHER_ZONE_REPORT_INTERVAL (400 * DP_US_PER_MS)
/* Time from a crash until the member lists of the companions show it: the time until the
 * member counts as silent, the balancer's tick, a report and the member list. */
#define LISTED_DELAY (1900 * DP_US_PER_MS)
/* The wait limit is the objective divided by this, as in platform/store.c. */
#define WAIT_LIMIT_DIVISOR 3
#define RETRY_DELAY DP_US_PER_MS /* of a client after a reset */
#define LATE_CREDIT 0.3
#define DISTURBED_AT (15 * DP_US_PER_S)
#define OUTAGE DP_US_PER_S /* length; ends at DISTURBED_AT, if servers return cold */

typedef enum
{
  POLICY_HASH,        /* the flow's first candidate, served by order of arrival */
  POLICY_FIXED_LIMIT, /* least reported load; rejects beyond a fixed number in flight */
  POLICY_NO_CLASSES,  /* as POLICY_IMPLEMENTED, with all flows in one class */
  POLICY_IMPLEMENTED, /* DpPlacement and DpPassthrough, as the processes use them */
  N_POLICIES
} Policy;

static const char *const policy_strings_[] = { "hash alone", "fixed number in flight",
                                               "arrival order", "present" };

/* A disturbance in addition to the periodic wave of demand. */
typedef struct
{
  const char *name;
  double rate;     /* mean flows per second */
  double burst;    /* factor of the rate from second 15 to 19 */
  guint n_crashed; /* servers that crash at second 15 */
  gboolean cold;   /* an outage ends at second 15: clients return, all servers are cold */
  double shift;    /* share of the demand that comes from the first zone */
} Pattern;

static const Pattern patterns_[] = {
  { "wave", 430, 1.0, 0, FALSE, 0.34 },
  { "burst", 430, 2.2, 0, FALSE, 0.34 },
  { "shift", 430, 1.0, 0, FALSE, 0.75 },
  { "crash of two servers", 430, 1.0, 2, FALSE, 0.34 },
  { "all come back to cold servers", 430, 1.0, 0, TRUE, 0.34 },
};

static const double class_share_[DP_N_TRAFFIC_CLASSES] = { 0.22, 0.78, 0.0 };
static const double work_ms_[DP_N_TRAFFIC_CLASSES] = { 17.0, 13.0, 4.2 };
static const gint64 objective_[DP_N_TRAFFIC_CLASSES] = { 120000, 100000, 500000 };
static const gint64 deadline_[DP_N_TRAFFIC_CLASSES] = { 1200000, 1000000, 5000000 };

typedef enum
{
  EVENT_SYN,     /* a SYN reaches a member */
  EVENT_REQUEST, /* a request reaches its server after the handshake */
  EVENT_DONE,    /* a server has finished a request */
  EVENT_TRY,     /* a client sends a SYN */
  EVENT_REPORT,  /* a companion reports to the balancers */
  EVENT_LISTED   /* the companions get the list that shows which members have crashed */
} EventType;

typedef struct
{
  gint64 at;
  EventType type;
  guint flow;
  guint server;
  DpHop hop;
} Event;

typedef struct
{
  DpSegment segment;
  DpTrafficClass class;
  guint zone;
  guint tries;
  gint64 first_try_at; /* us */
  guint16 syn_age_ms;  /* of the next SYN, since the start of its attempt */
  gint64 service_time; /* us */
  DpHandle member;
  gboolean finished;
} Flow;

typedef struct
{
  guint zone;
  gboolean alive;
  gint64 cold_until;
  guint busy;
  GQueue queue; /* flow numbers */
  DpPassthrough *passthrough;
  guint in_flight; /* flows, for the policies without companions */
  guint n_reports;
} Server;

typedef struct
{
  const Pattern *pattern;
  Policy policy;
  GRand *random;
  GArray *events; /* Event, a binary heap ordered by the field at */
  GArray *flows;  /* Flow */
  Server servers[N_SERVERS];
  DpPlacement *placements[N_ZONES]; /* one balancer per zone */
  gint64 now;
  guint64 requested[DP_N_TRAFFIC_CLASSES];
  guint64 in_time[DP_N_TRAFFIC_CLASSES];
  guint64 late[DP_N_TRAFFIC_CLASSES];
  guint64 rejects;
  guint64 crossed_zones;
} Model;

static void
push_event (Model *model, const Event *event)
{
  GArray *heap = model->events;
  guint i = heap->len;

  g_array_append_val (heap, *event);
  while (i > 0)
    {
      Event *child = &g_array_index (heap, Event, i);
      Event *parent = &g_array_index (heap, Event, (i - 1) / 2);
      Event swap = *parent;

      if (parent->at <= child->at)
        break;
      *parent = *child;
      *child = swap;
      i = (i - 1) / 2;
    }
}

static Event
pop_event (Model *model)
{
  GArray *heap = model->events;
  Event first = g_array_index (heap, Event, 0);
  guint i = 0;

  g_array_index (heap, Event, 0) = g_array_index (heap, Event, heap->len - 1);
  g_array_set_size (heap, heap->len - 1);
  while (2 * i + 1 < heap->len)
    {
      guint child = 2 * i + 1;
      Event *parent = &g_array_index (heap, Event, i);
      Event swap = *parent;

      if (child + 1 < heap->len
          && g_array_index (heap, Event, child + 1).at
                 < g_array_index (heap, Event, child).at)
        child++;
      if (parent->at <= g_array_index (heap, Event, child).at)
        break;
      *parent = g_array_index (heap, Event, child);
      g_array_index (heap, Event, child) = swap;
      i = child;
    }
  return first;
}

static void
schedule (Model *model,
          gint64 delay,
          EventType type,
          guint flow,
          guint server,
          const DpHop *hop)
{
  const Event event = { model->now + delay, type, flow, server,
                        hop == NULL ? (DpHop){ 0 } : *hop };

  push_event (model, &event);
}

/* Draws a service time in us, log-normal with a tail: 3% of the requests take seven times
 * as long. At most ten times the mean. */
static gint64
draw_service_time (Model *model, DpTrafficClass class)
{
  double u = g_rand_double_range (model->random, 1e-9, 1.0);
  double v = g_rand_double (model->random);
  double normal = sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * v);
  double ms = work_ms_[class] * exp (0.5 * normal - 0.125) / 1.18;

  if (g_rand_double (model->random) < 0.03)
    ms *= 7.0;
  return (gint64) (MIN (ms, work_ms_[class] * 10) * DP_US_PER_MS);
}

static double
rate_at (const Pattern *pattern, double s)
{
  double rate = pattern->rate * (1.0 + 0.55 * sin (2.0 * G_PI * s / 13.0));

  if (s >= 15 && s < 19)
    rate *= pattern->burst;
  return rate;
}

static gint64 first_syn_time (Flow *flow, const Pattern *pattern);

static void
add_flow (Model *model, double s)
{
  Flow flow = { 0 };
  double zone = g_rand_double (model->random);
  double class = g_rand_double (model->random);

  flow.class = class < class_share_[DP_TRAFFIC_URGENT] ? DP_TRAFFIC_URGENT
                                                       : DP_TRAFFIC_INTERACTIVE;
  flow.zone = zone < model->pattern->shift             ? 0
              : zone < (1 + model->pattern->shift) / 2 ? 1
                                                       : 2;
  flow.first_try_at = (gint64) (s * DP_US_PER_S);
  flow.service_time = draw_service_time (model, flow.class);
  model->requested[flow.class]++;
  model->now = first_syn_time (&flow, model->pattern);
  g_array_append_val (model->flows, flow);
  schedule (model, 0, EVENT_TRY, model->flows->len - 1, 0, NULL);
}

/* Returns when the flow's first SYN after the outage is sent, in us: a retransmission of
 * the lost one, or the SYN of the next attempt. Without an outage, the time of its first
 * try. */
static gint64
first_syn_time (Flow *flow, const Pattern *pattern)
{
  static const guint16 retransmissions_ms[] = { 200, 600 };
  const gint64 end = DISTURBED_AT;

  if (!pattern->cold || flow->first_try_at >= end || flow->first_try_at < end - OUTAGE)
    return flow->first_try_at;
  for (guint i = 0; i < G_N_ELEMENTS (retransmissions_ms); i++)
    {
      flow->syn_age_ms = retransmissions_ms[i];
      if (flow->first_try_at + retransmissions_ms[i] * DP_US_PER_MS >= end)
        return flow->first_try_at + retransmissions_ms[i] * DP_US_PER_MS;
    }
  flow->syn_age_ms = 0;
  flow->tries = 1;
  return flow->first_try_at + 1400 * DP_US_PER_MS;
}

static gint64
delay_between (const Model *model, guint zone_a, guint zone_b)
{
  return zone_a == zone_b ? DP_US_PER_MS / 5 : ZONE_DELAY;
}

static guint
server_of (const Model *model, const DpAddress *address)
{
  return address->ip - 1;
}

static void
try_flow (Model *model, guint number)
{
  Flow *flow = &g_array_index (model->flows, Flow, number);
  DpPlacement *placement = model->placements[flow->zone];
  DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                .class = (guint8) flow->class,
                .wait_limit_ms = (guint16) (objective_[flow->class] / WAIT_LIMIT_DIVISOR
                                            / 1000),
                .deadline_ms = (guint16) (deadline_[flow->class] / 1000) };
  DpAddress address;

  if (flow->finished || flow->tries >= MAX_TRIES
      || model->now - flow->first_try_at > deadline_[flow->class])
    return;
  flow->tries++;
  flow->segment = (DpSegment){ .key = { { number + 1, (guint16) (1000 + flow->tries) },
                                        { 0xc6120001, 443 } },
                               .seq = 1,
                               .syn_age_ms = flow->syn_age_ms,
                               .flags = DP_TCP_SYN };
  flow->syn_age_ms = 0;
  flow->segment.hash = dp_flow_key_hash (&flow->segment.key);
  if (model->policy == POLICY_HASH)
    flow->member = dp_placement_first_candidate (placement, dp_service_id (SERVICE),
                                                 flow->segment.hash, model->now);
  else
    flow->member = dp_placement_choose (placement, dp_service_id (SERVICE), flow->class,
                                        flow->segment.hash, model->now);
  if (!dp_placement_address (placement, flow->member, &address))
    return;
  dp_placement_flow_opened (placement, flow->member);
  if (model->policy == POLICY_NO_CLASSES)
    hop.class = DP_TRAFFIC_INTERACTIVE;
  schedule (model,
            CLIENT_DELAY
                + delay_between (model, flow->zone,
                                 model->servers[server_of (model, &address)].zone),
            EVENT_SYN, number, server_of (model, &address), &hop);
}

static void
reject (Model *model, guint number)
{
  Flow *flow = &g_array_index (model->flows, Flow, number);

  model->rejects++;
  dp_placement_flow_closed (model->placements[flow->zone], flow->member);
  schedule (model, CLIENT_DELAY + RETRY_DELAY, EVENT_TRY, number, 0, NULL);
}

/* The server answers the SYN, and the request follows one round trip later. */
static void
accept_flow (Model *model, guint number, guint server)
{
  Flow *flow = &g_array_index (model->flows, Flow, number);
  DpSegment answer = flow->segment;

  answer.flags = DP_TCP_SYN | DP_TCP_ACK;
  if (model->policy >= POLICY_NO_CLASSES)
    dp_passthrough_from_server (model->servers[server].passthrough, &answer, model->now);
  schedule (
      model,
      2 * (CLIENT_DELAY + delay_between (model, flow->zone, model->servers[server].zone)),
      EVENT_REQUEST, number, server, NULL);
}

static void
handle_released_syns (Model *model, guint index)
{
  Server *server = &model->servers[index];
  DpReleasedSyn released;

  while (model->policy >= POLICY_NO_CLASSES && server->alive
         && dp_passthrough_next_released (server->passthrough, &released, model->now))
    {
      if (released.decision.action == DP_PASSTHROUGH_TO_SERVER)
        accept_flow (model, released.key.client.ip - 1, index);
      else
        reject (model, released.key.client.ip - 1);
    }
}

static void
handle_syn (Model *model, const Event *event)
{
  Server *server = &model->servers[event->server];
  Flow *flow = &g_array_index (model->flows, Flow, event->flow);
  DpPassthroughDecision decision;

  if (!server->alive)
    {
      schedule (model, 1400 * DP_US_PER_MS, EVENT_TRY, event->flow, 0, NULL);
      return;
    }
  if (model->policy < POLICY_NO_CLASSES)
    {
      guint limit = model->policy == POLICY_HASH ? SLOTS + SERVER_QUEUE : 4 * SLOTS;

      if (server->in_flight >= limit)
        reject (model, event->flow);
      else
        {
          server->in_flight++;
          accept_flow (model, event->flow, event->server);
        }
      return;
    }
  decision = dp_passthrough_from_peer (server->passthrough, &flow->segment, &event->hop,
                                       model->now);
  switch (decision.action)
    {
    case DP_PASSTHROUGH_TO_SERVER:
      accept_flow (model, event->flow, event->server);
      break;
    case DP_PASSTHROUGH_TO_MEMBER:
      schedule (model,
                delay_between (model, server->zone,
                               model->servers[server_of (model, &decision.member)].zone),
                EVENT_SYN, event->flow, server_of (model, &decision.member),
                &decision.hop);
      break;
    case DP_PASSTHROUGH_RESET:
      reject (model, event->flow);
      break;
    case DP_PASSTHROUGH_TO_CLIENT:
    case DP_PASSTHROUGH_HOLD:
    case DP_PASSTHROUGH_DROP:
    case DP_N_PASSTHROUGH_ACTIONS:
    default:
      break;
    }
}

static void
start_queued_requests (Model *model, guint index)
{
  Server *server = &model->servers[index];

  while (server->busy < SLOTS && !g_queue_is_empty (&server->queue))
    {
      guint number = GPOINTER_TO_UINT (g_queue_pop_head (&server->queue));
      gint64 time = g_array_index (model->flows, Flow, number).service_time;

      if (model->now < server->cold_until)
        time = time * 8 / 5;
      server->busy++;
      schedule (model, time, EVENT_DONE, number, index, NULL);
    }
}

static void
handle_done (Model *model, const Event *event)
{
  Server *server = &model->servers[event->server];
  Flow *flow = &g_array_index (model->flows, Flow, event->flow);
  gint64 time = model->now + CLIENT_DELAY - flow->first_try_at;
  DpSegment end = flow->segment;

  server->busy--;
  if (!server->alive)
    return;
  end.flags = DP_TCP_ACK | DP_TCP_FIN;
  end.payload_length = 1200;
  if (model->policy >= POLICY_NO_CLASSES)
    dp_passthrough_from_server (server->passthrough, &end, model->now);
  else
    server->in_flight--;
  dp_placement_flow_closed (model->placements[flow->zone], flow->member);
  if (!flow->finished && time <= objective_[flow->class])
    model->in_time[flow->class]++;
  else if (!flow->finished && time <= deadline_[flow->class])
    model->late[flow->class]++;
  if (flow->zone != server->zone)
    model->crossed_zones++;
  flow->finished = TRUE;
  start_queued_requests (model, event->server);
  handle_released_syns (model, event->server);
}

static void
send_report (Model *model, guint index)
{
  Server *server = &model->servers[index];
  char name[16];
  char zone[16];
  DpReport message = { .service = SERVICE,
                       .name = name,
                       .zone = zone,
                       .address = { index + 1, 7000 },
                       .slots = SLOTS,
                       .state = DP_MEMBER_ACTIVE };

  if (!server->alive)
    return;
  g_snprintf (name, sizeof name, "s-%u", index);
  g_snprintf (zone, sizeof zone, "z-%u", server->zone);
  message.in_flight = model->policy < POLICY_NO_CLASSES
                          ? server->in_flight
                          : dp_passthrough_load (server->passthrough);
  message.warmup_remaining_ms = (guint32) (MAX (server->cold_until - model->now, 0)
                                           / DP_US_PER_MS);
  for (guint z = 0; z < N_ZONES; z++)
    if (z == server->zone
        || server->n_reports % (OTHER_ZONE_REPORT_INTERVAL / SAME_ZONE_REPORT_INTERVAL)
               == 0)
      {
        message.interval_ms = (guint32) ((z == server->zone ? SAME_ZONE_REPORT_INTERVAL
                                                            : OTHER_ZONE_REPORT_INTERVAL)
                                         / DP_US_PER_MS);
        dp_placement_apply_report (model->placements[z], &message, model->now);
      }
  server->n_reports++;
  if (model->policy >= POLICY_NO_CLASSES)
    dp_passthrough_tick (server->passthrough, model->now);
  handle_released_syns (model, index);
  schedule (model, SAME_ZONE_REPORT_INTERVAL, EVENT_REPORT, 0, index, NULL);
}

/* Makes the balancers' member list, in which crashed members are leaving. */
static DpMemberView *
make_view (const Model *model)
{
  DpMember members[N_SERVERS] = { 0 };
  char names[N_SERVERS][16];
  char zones[N_SERVERS][16];

  for (guint i = 0; i < N_SERVERS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "s-%u", i);
      g_snprintf (zones[i], sizeof zones[i], "z-%u", i % N_ZONES);
      members[i] = (DpMember){ .id = dp_member_id (names[i]),
                               .name = names[i],
                               .zone = zones[i],
                               .address = { i + 1, 7000 },
                               .slots = SLOTS,
                               .state = model->servers[i].alive ? DP_MEMBER_ACTIVE
                                                                : DP_MEMBER_LEAVING };
    }
  return dp_member_view_new (SERVICE, 1, members, N_SERVERS);
}

static void
publish_view (Model *model)
{
  g_autoptr (DpMemberView) view = make_view (model);

  for (guint i = 0; i < N_SERVERS; i++)
    dp_passthrough_set_view (model->servers[i].passthrough, view, 0);
}

static void
start (Model *model)
{
  const DpPassthroughLimits limits = { SLOTS, 60 * DP_US_PER_S };

  for (guint z = 0; z < N_ZONES; z++)
    {
      char zone[16];

      g_snprintf (zone, sizeof zone, "z-%u", z);
      model->placements[z] = dp_placement_new (zone);
    }
  for (guint i = 0; i < N_SERVERS; i++)
    {
      Server *server = &model->servers[i];
      char name[16];

      g_snprintf (name, sizeof name, "s-%u", i);
      server->zone = i % N_ZONES;
      server->alive = TRUE;
      g_queue_init (&server->queue);
      server->passthrough = dp_passthrough_new (SERVICE, name, -10 * DP_US_PER_S);
      dp_passthrough_set_limits (server->passthrough, &limits);
      dp_passthrough_set_serving (server->passthrough, TRUE);
      dp_passthrough_server_replaced (server->passthrough, TRUE);
      model->now = i * SAME_ZONE_REPORT_INTERVAL / N_SERVERS;
      schedule (model, 0, EVENT_REPORT, 0, i, NULL);
    }
  publish_view (model);
}

static void
apply_disturbance (Model *model)
{
  for (guint i = 0; i < model->pattern->n_crashed; i++)
    model->servers[i].alive = FALSE;
  if (model->pattern->n_crashed > 0)
    schedule (model, LISTED_DELAY, EVENT_LISTED, 0, 0, NULL);
  for (guint i = 0; model->pattern->cold && i < N_SERVERS; i++)
    model->servers[i].cold_until = model->now + 2 * DP_US_PER_S;
}

static void
print_row (const Model *model, guint64 seed)
{
  double credit = 0;
  double max_credit = 0;
  guint64 n = 0;
  guint64 served = 0;

  for (guint c = 0; c < DP_N_TRAFFIC_CLASSES; c++)
    {
      double weight = c == DP_TRAFFIC_URGENT ? 2.0 : 1.0;

      credit += weight
                * ((double) model->in_time[c] + LATE_CREDIT * (double) model->late[c]);
      max_credit += weight * (double) model->requested[c];
      n += model->requested[c];
      served += model->in_time[c] + model->late[c];
    }
  printf ("{\"pattern\":\"%s\",\"policy\":\"%s\",\"seed\":%" G_GUINT64_FORMAT
          ",\"worth\":%.3f,\"urgent_in_time\":%.3f,\"interactive_in_time\":%.3f,"
          "\"unserved\":%.3f,\"rejects\":%.3f,\"crossed_zones\":%.3f}\n",
          model->pattern->name, policy_strings_[model->policy], seed, credit / max_credit,
          (double) model->in_time[DP_TRAFFIC_URGENT]
              / (double) model->requested[DP_TRAFFIC_URGENT],
          (double) model->in_time[DP_TRAFFIC_INTERACTIVE]
              / (double) model->requested[DP_TRAFFIC_INTERACTIVE],
          (double) (n - served) / (double) n, (double) model->rejects / (double) n,
          (double) model->crossed_zones / (double) n);
}

static void
run (const Pattern *pattern, Policy policy, guint32 seed)
{
  Model model = { .pattern = pattern, .policy = policy };
  gint64 disturbed_at = DISTURBED_AT;

  model.random = g_rand_new_with_seed (seed);
  model.events = g_array_new (FALSE, FALSE, sizeof (Event));
  model.flows = g_array_new (FALSE, FALSE, sizeof (Flow));
  start (&model);
  for (double s = 0.5; s < SECONDS;)
    {
      add_flow (&model, s);
      s -= log (g_rand_double_range (model.random, 1e-9, 1.0)) / rate_at (pattern, s);
    }
  while (model.events->len > 0)
    {
      Event event = pop_event (&model);

      model.now = event.at;
      if (model.now > (SECONDS + 5) * DP_US_PER_S)
        break;
      if (disturbed_at != 0 && model.now >= disturbed_at)
        {
          disturbed_at = 0;
          apply_disturbance (&model);
        }
      switch (event.type)
        {
        case EVENT_TRY:
          try_flow (&model, event.flow);
          break;
        case EVENT_SYN:
          handle_syn (&model, &event);
          break;
        case EVENT_REQUEST:
          if (model.servers[event.server].alive)
            {
              DpSegment data = g_array_index (model.flows, Flow, event.flow).segment;
              DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)) };

              data.flags = DP_TCP_ACK;
              data.ack = data.seq + 1;
              data.payload_length = 200;
              if (policy >= POLICY_NO_CLASSES)
                dp_passthrough_from_peer (model.servers[event.server].passthrough, &data,
                                          &hop, model.now);
              g_queue_push_tail (&model.servers[event.server].queue,
                                 GUINT_TO_POINTER (event.flow));
              start_queued_requests (&model, event.server);
            }
          break;
        case EVENT_DONE:
          handle_done (&model, &event);
          break;
        case EVENT_LISTED:
          publish_view (&model);
          break;
        case EVENT_REPORT:
        default:
          send_report (&model, event.server);
          break;
        }
    }
  print_row (&model, seed);
  for (guint i = 0; i < N_SERVERS; i++)
    {
      dp_passthrough_free (model.servers[i].passthrough);
      g_queue_clear (&model.servers[i].queue);
    }
  for (guint z = 0; z < N_ZONES; z++)
    dp_placement_free (model.placements[z]);
  g_array_unref (model.events);
  g_array_unref (model.flows);
  g_rand_free (model.random);
}

int
main (int argc, char **argv)
{
  guint32 seed = argc > 1 ? (guint32) g_ascii_strtoull (argv[1], NULL, 10) : 1;

  for (guint p = 0; p < G_N_ELEMENTS (patterns_); p++)
    for (guint policy = 0; policy < N_POLICIES; policy++)
      run (&patterns_[p], (Policy) policy, seed);
  return EXIT_SUCCESS;
}
