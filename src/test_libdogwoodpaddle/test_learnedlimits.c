/* Replays loads on the servers of three zones with the decisions of the real modules, on
 * a paused clock. Guards against learnt limits and speeds that serve fewer requests in
 * time than a scheduler that knows the true ones, or than the declared slots with equal
 * servers. Prints the figures of each load. */
#include <math.h>
#include <stdio.h>

#include "protected/clock.h"
#include "protected/passthrough.h"
#include "protected/placement.h"
#include "runner.h"

#define SERVICE "darbnica"
#define MS DP_US_PER_MS
#define S DP_US_PER_S
#define N_ZONES 3
#define N_BALANCERS 6
#define N_SERVERS 24
#define JOBS_MAX 64
#define QUEUE_MAX 16 /* requests that a server queues beyond its slots */
#define CLIENT_DELAY (3 * MS)
#define ZONE_DELAY (3500)
#define RETRY_DELAY (3 * MS)
#define ATTEMPTS_MAX 3
#define OBJECTIVE_MS 300
#define DEADLINE_MS 3000
#define SECONDS 20
#define JUDGED_FROM_S 3
#define CHANGE_S 8
#define RECOVERY_S 14
#define LONG_FLOW_REQUESTS 8
#define LONG_FLOW_PAUSE (400 * MS)
#define ANSWER_BYTES 1200

typedef enum
{
  MODE_FIXED,
  MODE_LEARNED,
  MODE_KNOWN,   /* the same modules, which are told the true limits and speeds */
  MODE_CENTRAL, /* one queue, with the present state of all servers */
  N_MODES
} Mode;

typedef struct
{
  const char *name;
  double load; /* of the true capacity */
  guint slots;
  double slow[3];    /* factor of the service times of each third of the servers */
  double knee[3];    /* share of the slots from which on they slow down */
  double power;      /* of the service time beyond the knee */
  double slow_later; /* factor for every fifth server from CHANGE_S to RECOVERY_S */
  double heavy[2]; /* share of bulk with four times the work, before and after CHANGE_S */
  double long_flows; /* share of flows with LONG_FLOW_REQUESTS requests */
  double tail_share;
  double tail_factor;
  double knee_later; /* share of the slots, as slow_later; 0: no change */
} Load;

static const Load loads_[] = {
  { "equal", 0.85, 4, { 1, 1, 1 }, { 1, 1, 1 }, 1, 1, { 0, 0 }, 0, 0.03, 7 },
  { "equal, 2 slots", 0.8, 2, { 1, 1, 1 }, { 1, 1, 1 }, 1, 1, { 0, 0 }, 0, 0.03, 7 },
  { "long tail", 0.8, 4, { 1, 1, 1 }, { 1, 1, 1 }, 1, 1, { 0, 0 }, 0, 0.05, 10 },
  { "speeds 1, 2, 4", 0.85, 4, { 1, 2, 4 }, { 1, 1, 1 }, 1, 1, { 0, 0 }, 0, 0.03, 7 },
  { "knee at half", 0.85, 4, { 1, 1, 1 }, { 0.5, 1, 1 }, 2, 1, { 0, 0 }, 0, 0.03, 7 },
  { "knee at half, 8 slots, all",
    0.85,
    8,
    { 1, 1, 1 },
    { 0.5, 0.5, 0.5 },
    2,
    1,
    { 0, 0 },
    0,
    0.03,
    7 },
  { "slow and recovers", 0.85, 4, { 1, 1, 1 }, { 1, 1, 1 }, 1, 5, { 0, 0 }, 0, 0.03, 7 },
  { "knee and recovers, 8 slots",
    0.8,
    8,
    { 1, 1, 1 },
    { 1, 1, 1 },
    2,
    1,
    { 0, 0 },
    0,
    0.03,
    7,
    0.5 },
  { "two classes", 0.8, 4, { 1, 1, 1 }, { 1, 1, 1 }, 1, 1, { 0.1, 0.5 }, 0, 0.03, 7 },
  { "long-lived flows", 0.5, 4, { 1, 1, 2 }, { 1, 1, 1 }, 1, 1, { 0, 0 }, 0.3, 0.03, 7 },
};

static const char *const mode_strings_[] = { "fixed", "learned", "known", "central" };

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_TRY,
  EVENT_SYN,
  EVENT_REQUEST,
  EVENT_DONE,
  EVENT_REPORT
} EventType;

typedef struct
{
  gint64 at;
  guint64 order;
  EventType type;
  guint flow;
  guint server;
  guint generation;
  DpHop hop;
} Event;

typedef struct
{
  DpSegment segment;
  DpTrafficClass class;
  guint balancer;
  guint tries;
  guint requests_left;
  gint64 began_at; /* of the present request */
  DpHandle member;
  guint32 answered; /* bytes */
} Flow;

typedef struct
{
  guint flow;
  double left; /* us of work at the usual speed */
} Job;

typedef struct
{
  guint zone;
  double slow;
  double knee;
  Job jobs[JOBS_MAX];
  guint n_jobs;
  GQueue queue;
  gint64 advanced_at;
  guint generation;
  guint n_reports;
  DpHandle handle;
  guint assigned; /* flows, in MODE_CENTRAL */
  DpPassthrough *passthrough;
} Server;

typedef struct
{
  const Load *load;
  Mode mode;
  GRand *random;
  GArray *events; /* Event, a binary heap */
  GArray *flows;
  GQueue waiting; /* flows, in MODE_CENTRAL */
  Server servers[N_SERVERS];
  DpPlacement *placements[N_BALANCERS];
  gint64 now;
  guint64 n_events;
  guint n_limits; /* reports of a learnt limit */
  guint n_below;  /* of them, below the true one */
  guint n_above;
  guint n_dips; /* of them, while less than the limit was offered */
  guint requested[SECONDS + 5];
  guint in_time[SECONDS + 5];
} Replay;

static gboolean
is_before (const Event *a, const Event *b)
{
  return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static void
push (Replay *replay, gint64 delay, const Event *event)
{
  GArray *heap = replay->events;
  Event added = *event;
  guint i = heap->len;

  added.at = replay->now + delay;
  added.order = replay->n_events++;
  g_array_append_val (heap, added);
  while (i > 0 && is_before (&added, &g_array_index (heap, Event, (i - 1) / 2)))
    {
      g_array_index (heap, Event, i) = g_array_index (heap, Event, (i - 1) / 2);
      i = (i - 1) / 2;
    }
  g_array_index (heap, Event, i) = added;
}

static Event
pop (Replay *replay)
{
  GArray *heap = replay->events;
  const Event first = g_array_index (heap, Event, 0);
  const Event last = g_array_index (heap, Event, heap->len - 1);
  guint i = 0;

  g_array_set_size (heap, heap->len - 1);
  for (guint child = 1; child < heap->len; child = 2 * i + 1)
    {
      if (child + 1 < heap->len
          && is_before (&g_array_index (heap, Event, child + 1),
                        &g_array_index (heap, Event, child)))
        child++;
      if (!is_before (&g_array_index (heap, Event, child), &last))
        break;
      g_array_index (heap, Event, i) = g_array_index (heap, Event, child);
      i = child;
    }
  if (heap->len > 0)
    g_array_index (heap, Event, i) = last;
  return first;
}

static Flow *
flow_at (Replay *replay, guint number)
{
  return &g_array_index (replay->flows, Flow, number);
}

static double
base_work (DpTrafficClass class)
{
  return class == DP_TRAFFIC_BULK ? 104.0 * MS : 26.0 * MS;
}

static double
draw_work (Replay *replay, DpTrafficClass class)
{
  const Load *load = replay->load;
  const double u = g_rand_double_range (replay->random, 1e-9, 1.0);
  const double v = g_rand_double (replay->random);
  const double normal = sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * v);
  const gboolean tail = g_rand_double (replay->random) < load->tail_share;

  return base_work (class) * exp (0.5 * normal - 0.125) * (tail ? load->tail_factor : 1.0)
         / (1.0 + load->tail_share * (load->tail_factor - 1.0));
}

static double
heavy_share (const Replay *replay)
{
  return replay->load->heavy[replay->now >= CHANGE_S * S ? 1 : 0];
}

/* Flows per us for the load's share of the true capacity, at the present mix. */
static double
arrival_rate (const Replay *replay)
{
  const Load *load = replay->load;
  const double heavy = heavy_share (replay);
  const double work = heavy * base_work (DP_TRAFFIC_BULK)
                      + (1.0 - heavy) * base_work (DP_TRAFFIC_INTERACTIVE);
  const double requests = 1.0 + load->long_flows * (LONG_FLOW_REQUESTS - 1);
  double capacity = 0.0;

  for (guint i = 0; i < N_SERVERS; i++)
    capacity += replay->servers[i].knee / replay->servers[i].slow;
  return load->load * capacity / work / requests;
}

static void
apply_truth (Replay *replay)
{
  for (guint i = 0; i < N_SERVERS; i++)
    {
      Server *server = &replay->servers[i];
      const DpPassthroughLimits limits = { (guint) server->knee, 60 * S };

      if (replay->mode == MODE_KNOWN)
        dp_passthrough_set_limits (server->passthrough, &limits);
    }
}

static void
advance (Replay *replay, Server *server)
{
  const double rate = 1.0 / server->slow
                      * (server->n_jobs <= server->knee
                             ? 1.0
                             : pow (server->knee / server->n_jobs, replay->load->power));

  for (guint i = 0; i < server->n_jobs; i++)
    server->jobs[i].left -= rate * (double) (replay->now - server->advanced_at);
  server->advanced_at = replay->now;
}

/* Starts queued requests and schedules the next end of one. advance () goes before. */
static void
reschedule (Replay *replay, guint index)
{
  Server *server = &replay->servers[index];
  Event done = { .type = EVENT_DONE, .server = index };
  double left = G_MAXDOUBLE;
  double rate;

  while (server->n_jobs < replay->load->slots && !g_queue_is_empty (&server->queue))
    {
      const guint number = GPOINTER_TO_UINT (g_queue_pop_head (&server->queue));

      server->jobs[server->n_jobs++] =
          (Job){ number, draw_work (replay, flow_at (replay, number)->class) };
    }
  done.generation = ++server->generation;
  if (server->n_jobs == 0)
    return;
  for (guint i = 0; i < server->n_jobs; i++)
    left = MIN (left, server->jobs[i].left);
  rate = 1.0 / server->slow
         * (server->n_jobs <= server->knee
                ? 1.0
                : pow (server->knee / server->n_jobs, replay->load->power));
  push (replay, (gint64) ceil (MAX (left, 0.0) / rate), &done);
}

static guint
balancer_zone (guint balancer)
{
  return balancer % N_ZONES;
}

static gint64
delay_between (guint zone_a, guint zone_b)
{
  return zone_a == zone_b ? MS / 5 : ZONE_DELAY;
}

static void
accept_flow (Replay *replay, guint number, guint index)
{
  const Flow *flow = flow_at (replay, number);
  const Event request = { .type = EVENT_REQUEST, .flow = number, .server = index };
  DpSegment answer = flow->segment;

  answer.flags = DP_TCP_SYN | DP_TCP_ACK;
  answer.seq = 500;
  answer.ack = 2;
  if (replay->mode != MODE_CENTRAL)
    dp_passthrough_from_server (replay->servers[index].passthrough, &answer, replay->now);
  push (replay, 2 * CLIENT_DELAY, &request);
}

/* Gives the oldest waiting flow, if it can still be in time, to the server that has the
 * lowest load for its true limit and speed. */
static void
assign_waiting (Replay *replay)
{
  while (!g_queue_is_empty (&replay->waiting))
    {
      const guint number = GPOINTER_TO_UINT (g_queue_peek_head (&replay->waiting));
      Flow *flow = flow_at (replay, number);
      double best_cost = G_MAXDOUBLE;
      guint best = N_SERVERS;

      if (replay->now - flow->began_at > (OBJECTIVE_MS - 40) * MS)
        {
          g_queue_pop_head (&replay->waiting);
          continue;
        }
      for (guint i = 0; i < N_SERVERS; i++)
        {
          const Server *server = &replay->servers[i];
          const double cost = (server->assigned + 1) * server->slow / server->knee;

          if (server->assigned >= ceil (server->knee * 32.0 / 26.0) || cost >= best_cost)
            continue;
          best = i;
          best_cost = cost;
        }
      if (best == N_SERVERS)
        return;
      g_queue_pop_head (&replay->waiting);
      replay->servers[best].assigned++;
      accept_flow (replay, number, best);
    }
}

static void
try_flow (Replay *replay, guint number)
{
  Flow *flow = flow_at (replay, number);
  DpPlacement *placement = replay->placements[flow->balancer];
  Event syn = { .type = EVENT_SYN, .flow = number };
  DpAddress address;

  if (flow->tries++ >= ATTEMPTS_MAX)
    return;
  flow->segment = (DpSegment){ .key = { { number + 1, (guint16) (1000 + flow->tries) },
                                        { 0xc6120001, 443 } },
                               .seq = 1,
                               .flags = DP_TCP_SYN };
  flow->segment.hash = dp_flow_key_hash (&flow->segment.key);
  if (replay->mode == MODE_CENTRAL)
    {
      g_queue_push_tail (&replay->waiting, GUINT_TO_POINTER (number));
      assign_waiting (replay);
      return;
    }
  flow->member = dp_placement_choose (placement, dp_service_id (SERVICE), flow->class,
                                      flow->segment.hash, replay->now);
  g_assert (dp_placement_address (placement, flow->member, &address));
  dp_placement_flow_opened (placement, flow->member);
  syn.server = address.ip - 1;
  if (flow->balancer == 0)
    replay->servers[syn.server].handle = flow->member;
  syn.hop = (DpHop){ .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                     .class = (guint8) flow->class,
                     .wait_limit_ms = OBJECTIVE_MS / 3,
                     .deadline_ms = DEADLINE_MS };
  push (replay,
        CLIENT_DELAY
            + delay_between (balancer_zone (flow->balancer),
                             replay->servers[syn.server].zone),
        &syn);
}

static void
reject (Replay *replay, guint number)
{
  const Flow *flow = flow_at (replay, number);
  const Event retry = { .type = EVENT_TRY, .flow = number };

  dp_placement_flow_closed (replay->placements[flow->balancer], flow->member);
  push (replay, CLIENT_DELAY + RETRY_DELAY, &retry);
}

static void
release_syns (Replay *replay, guint index)
{
  Server *server = &replay->servers[index];
  DpReleasedSyn released;

  while (dp_passthrough_next_released (server->passthrough, &released, replay->now))
    {
      const guint number = released.key.client.ip - 1;
      Event syn = { .type = EVENT_SYN, .flow = number, .hop = released.decision.hop };

      if (released.decision.action == DP_PASSTHROUGH_TO_SERVER)
        accept_flow (replay, number, index);
      else if (released.decision.action == DP_PASSTHROUGH_TO_MEMBER)
        {
          syn.server = released.decision.member.ip - 1;
          push (replay, MS, &syn);
        }
      else
        reject (replay, number);
    }
}

static void
handle_syn (Replay *replay, const Event *event)
{
  Server *server = &replay->servers[event->server];
  const Flow *flow = flow_at (replay, event->flow);
  const DpPassthroughDecision decision = dp_passthrough_from_peer (
      server->passthrough, &flow->segment, &event->hop, replay->now);
  Event forwarded = { .type = EVENT_SYN, .flow = event->flow, .hop = decision.hop };

  if (decision.action == DP_PASSTHROUGH_TO_SERVER)
    accept_flow (replay, event->flow, event->server);
  else if (decision.action == DP_PASSTHROUGH_RESET)
    reject (replay, event->flow);
  else if (decision.action == DP_PASSTHROUGH_TO_MEMBER)
    {
      forwarded.server = decision.member.ip - 1;
      push (replay, delay_between (server->zone, replay->servers[forwarded.server].zone),
            &forwarded);
    }
}

static void
handle_request (Replay *replay, const Event *event)
{
  Server *server = &replay->servers[event->server];
  const Flow *flow = flow_at (replay, event->flow);
  const DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)) };
  DpSegment data = flow->segment;

  data.flags = DP_TCP_ACK;
  data.seq = 2;
  data.ack = 501 + flow->answered;
  data.payload_length = 200;
  if (replay->mode != MODE_CENTRAL)
    dp_passthrough_from_peer (server->passthrough, &data, &hop, replay->now);
  else if (flow->answered > 0)
    server->assigned++;
  advance (replay, server);
  g_queue_push_tail (&server->queue, GUINT_TO_POINTER (event->flow));
  reschedule (replay, event->server);
}

static void
count_request (Replay *replay, const Flow *flow)
{
  replay->requested[MIN (flow->began_at / S, SECONDS + 4)]++;
}

static void
finish_request (Replay *replay, guint index, guint number)
{
  Server *server = &replay->servers[index];
  Flow *flow = flow_at (replay, number);
  const Event request = { .type = EVENT_REQUEST, .flow = number, .server = index };
  DpSegment answer = flow->segment;

  answer.seq = 501 + flow->answered;
  answer.payload_length = ANSWER_BYTES;
  answer.flags = DP_TCP_ACK | (flow->requests_left == 1 ? DP_TCP_FIN : 0);
  flow->answered += ANSWER_BYTES;
  if (replay->mode != MODE_CENTRAL)
    dp_passthrough_from_server (server->passthrough, &answer, replay->now);
  if (replay->now + CLIENT_DELAY - flow->began_at <= OBJECTIVE_MS * MS)
    replay->in_time[MIN (flow->began_at / S, SECONDS + 4)]++;
  if (--flow->requests_left > 0)
    {
      const gint64 pause =
          (gint64) (-log (g_rand_double_range (replay->random, 1e-9, 1.0))
                    * LONG_FLOW_PAUSE);

      flow->began_at = replay->now + CLIENT_DELAY + pause;
      count_request (replay, flow);
      push (replay, 2 * CLIENT_DELAY + pause, &request);
      if (replay->mode != MODE_CENTRAL)
        return;
      /* The flow holds no place while it pauses. */
    }
  if (replay->mode == MODE_CENTRAL)
    {
      server->assigned -= server->assigned > 0 ? 1 : 0;
      assign_waiting (replay);
      return;
    }
  dp_placement_flow_closed (replay->placements[flow->balancer], flow->member);
}

static void
handle_done (Replay *replay, const Event *event)
{
  Server *server = &replay->servers[event->server];

  if (event->generation != server->generation)
    return;
  advance (replay, server);
  for (guint i = 0; i < server->n_jobs;)
    {
      const guint number = server->jobs[i].flow;

      if (server->jobs[i].left > 0.5)
        {
          i++;
          continue;
        }
      server->jobs[i] = server->jobs[--server->n_jobs];
      finish_request (replay, event->server, number);
    }
  reschedule (replay, event->server);
  if (replay->mode != MODE_CENTRAL)
    release_syns (replay, event->server);
}

static void
send_report (Replay *replay, guint index)
{
  Server *server = &replay->servers[index];
  const Event next = { .type = EVENT_REPORT, .server = index };
  const DpConcurrencyLimit *limit;
  char name[16];
  char zone[16];
  DpReport report = { .service = SERVICE,
                      .name = name,
                      .zone = zone,
                      .address = { index + 1, 7000 },
                      .slots = replay->load->slots,
                      .state = DP_MEMBER_ACTIVE };

  g_snprintf (name, sizeof name, "s-%u", index);
  g_snprintf (zone, sizeof zone, "z-%u", server->zone);
  dp_passthrough_tick (server->passthrough, replay->now);
  release_syns (replay, index);
  report.in_flight = dp_passthrough_load (server->passthrough);
  limit = dp_passthrough_concurrency (server->passthrough);
  if (replay->mode == MODE_KNOWN)
    {
      report.limit = (guint32) server->knee;
      report.service_times[DP_TRAFFIC_INTERACTIVE] = (guint32) (26 * MS * server->slow);
    }
  else if (limit != NULL)
    {
      const guint slots = dp_concurrency_limit_slots (limit);

      replay->n_limits++;
      replay->n_below += slots < (guint) server->knee;
      replay->n_above += slots > (guint) server->knee;
      replay->n_dips += dp_concurrency_limit_capacity (limit) < slots;
      report.limit = dp_concurrency_limit_slots (limit);
      for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
        report.service_times[i] = dp_concurrency_limit_service_time (limit,
                                                                     (DpTrafficClass) i);
    }
  for (guint b = 0; b < N_BALANCERS; b++)
    {
      const gboolean near = balancer_zone (b) == server->zone;

      report.interval_ms = near ? 100 : 400;
      if (near || server->n_reports % 4 == 0)
        dp_placement_apply_report (replay->placements[b], &report, replay->now);
    }
  server->n_reports++;
  push (replay, 100 * MS, &next);
}

static DpMemberView *
make_view (const Replay *replay)
{
  DpMember members[N_SERVERS] = { 0 };
  char names[N_SERVERS][16];
  char zones[N_SERVERS][16];

  for (guint i = 0; i < N_SERVERS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "s-%u", i);
      g_snprintf (zones[i], sizeof zones[i], "z-%u", replay->servers[i].zone);
      members[i] = (DpMember){ .id = dp_member_id (names[i]),
                               .name = names[i],
                               .zone = zones[i],
                               .address = { i + 1, 7000 },
                               .slots = replay->load->slots,
                               .state = DP_MEMBER_ACTIVE };
    }
  return dp_member_view_new (SERVICE, 1, members, N_SERVERS);
}

static void
start (Replay *replay)
{
  const Load *load = replay->load;
  const DpPassthroughLimits limits = { load->slots, 60 * S };
  const Event arrival = { .type = EVENT_ARRIVAL };
  g_autoptr (DpMemberView) view = NULL;

  for (guint b = 0; b < N_BALANCERS; b++)
    {
      char zone[16];

      g_snprintf (zone, sizeof zone, "z-%u", balancer_zone (b));
      replay->placements[b] = dp_placement_new (zone);
      dp_placement_set_learned (replay->placements[b], replay->mode != MODE_FIXED);
    }
  for (guint i = 0; i < N_SERVERS; i++)
    {
      Server *server = &replay->servers[i];
      const Event report = { .type = EVENT_REPORT, .server = i };
      char name[16];

      g_snprintf (name, sizeof name, "s-%u", i);
      server->zone = i % N_ZONES;
      server->slow = load->slow[i / N_ZONES % 3];
      server->knee = load->knee[i / N_ZONES % 3] * load->slots;
      server->passthrough = dp_passthrough_new (SERVICE, name, -10 * S);
      dp_passthrough_set_limits (server->passthrough, &limits);
      if (replay->mode == MODE_LEARNED)
        dp_passthrough_learn_limit (server->passthrough, 0);
      dp_passthrough_set_serving (server->passthrough, TRUE);
      dp_passthrough_server_replaced (server->passthrough, TRUE);
      push (replay, i * 100 * MS / N_SERVERS, &report);
    }
  view = make_view (replay);
  for (guint i = 0; i < N_SERVERS; i++)
    dp_passthrough_set_view (replay->servers[i].passthrough, view, 0);
  apply_truth (replay);
  push (replay, 500 * MS, &arrival);
}

static void
add_flow (Replay *replay)
{
  const Event next = { .type = EVENT_ARRIVAL };
  const double interval = -log (g_rand_double_range (replay->random, 1e-9, 1.0))
                          / arrival_rate (replay);
  Flow flow = { .began_at = replay->now };

  flow.class = g_rand_double (replay->random) < heavy_share (replay)
                   ? DP_TRAFFIC_BULK
                   : DP_TRAFFIC_INTERACTIVE;
  flow.balancer = (guint) g_rand_int_range (replay->random, 0, N_BALANCERS);
  flow.requests_left = g_rand_double (replay->random) < replay->load->long_flows
                           ? LONG_FLOW_REQUESTS
                           : 1;
  g_array_append_val (replay->flows, flow);
  count_request (replay, &flow);
  try_flow (replay, replay->flows->len - 1);
  if (replay->now < SECONDS * S)
    push (replay, (gint64) interval, &next);
}

static void
change_speeds (Replay *replay, double slow, double knee)
{
  for (guint i = 0; i < N_SERVERS; i += 5)
    {
      advance (replay, &replay->servers[i]);
      replay->servers[i].slow *= slow;
      replay->servers[i].knee *= knee;
      reschedule (replay, i);
    }
  apply_truth (replay);
}

static void
handle_event (Replay *replay, const Event *event)
{
  switch (event->type)
    {
    case EVENT_ARRIVAL:
      add_flow (replay);
      break;
    case EVENT_TRY:
      try_flow (replay, event->flow);
      break;
    case EVENT_SYN:
      handle_syn (replay, event);
      break;
    case EVENT_REQUEST:
      handle_request (replay, event);
      break;
    case EVENT_DONE:
      handle_done (replay, event);
      break;
    case EVENT_REPORT:
    default:
      send_report (replay, event->server);
      break;
    }
}

/* Replays the load and adds the requests of each second, and those in time. */
static void
run (const Load *load, Mode mode, guint32 seed, guint *requested, guint *in_time)
{
  Replay replay = { .load = load, .mode = mode };
  const double knee = load->knee_later > 0 ? load->knee_later : 1.0;
  guint n_changes = 0;

  replay.random = g_rand_new_with_seed (seed);
  replay.events = g_array_new (FALSE, FALSE, sizeof (Event));
  replay.flows = g_array_new (FALSE, FALSE, sizeof (Flow));
  g_queue_init (&replay.waiting);
  start (&replay);
  while (replay.now < (SECONDS + 1) * S)
    {
      const Event event = pop (&replay);

      replay.now = event.at;
      if (n_changes == 0 && replay.now >= CHANGE_S * S)
        {
          change_speeds (&replay, load->slow_later, knee);
          n_changes++;
        }
      if (n_changes == 1 && replay.now >= RECOVERY_S * S)
        {
          change_speeds (&replay, 1.0 / load->slow_later, 1.0 / knee);
          n_changes++;
        }
      handle_event (&replay, &event);
    }
  if (g_getenv ("DP_REPLAY_LIMITS") != NULL && mode == MODE_LEARNED)
    printf ("  limits below %.3f above %.3f dips %.3f\n",
            (double) replay.n_below / replay.n_limits,
            (double) replay.n_above / replay.n_limits,
            (double) replay.n_dips / replay.n_limits);
  for (guint s = 0; s < SECONDS; s++)
    {
      requested[s] += replay.requested[s];
      in_time[s] += replay.in_time[s];
    }
  if (g_getenv ("DP_REPLAY_LIMITS") != NULL && mode == MODE_LEARNED)
    for (guint i = 0; i < N_SERVERS; i++)
      {
        const DpConcurrencyLimit *limit = dp_passthrough_concurrency (
            replay.servers[i].passthrough);

        printf ("  server %u: limit %u, capacity %u, true %.0f, speed %.2f, time %u\n", i,
                dp_concurrency_limit_slots (limit), dp_concurrency_limit_capacity (limit),
                replay.servers[i].knee,
                dp_placement_speed (replay.placements[0], replay.servers[i].handle),
                dp_concurrency_limit_service_time (limit, DP_TRAFFIC_INTERACTIVE));
      }
  for (guint i = 0; i < N_SERVERS; i++)
    {
      dp_passthrough_free (replay.servers[i].passthrough);
      g_queue_clear (&replay.servers[i].queue);
    }
  for (guint b = 0; b < N_BALANCERS; b++)
    dp_placement_free (replay.placements[b]);
  g_queue_clear (&replay.waiting);
  g_array_unref (replay.events);
  g_array_unref (replay.flows);
  g_rand_free (replay.random);
}

/* Returns the share of the requests of these seconds that were served in time. */
static double
share (const guint *requested, const guint *in_time, guint from_s, guint to_s)
{
  guint n = 0;
  guint n_in_time = 0;

  for (guint s = from_s; s < to_s; s++)
    {
      n += requested[s];
      n_in_time += in_time[s];
    }
  return n == 0 ? 0.0 : (double) n_in_time / n;
}

static void
print_shares (Mode mode, const guint *requested, const guint *in_time)
{
  printf (
      "  %-8s %.4f, after the change %.4f, from 2 s on %.4f, after the recovery %.4f\n",
      mode_strings_[mode], share (requested, in_time, JUDGED_FROM_S, SECONDS),
      share (requested, in_time, CHANGE_S, CHANGE_S + 2),
      share (requested, in_time, CHANGE_S + 2, RECOVERY_S),
      share (requested, in_time, RECOVERY_S + 2, SECONDS));
}

/* The bounds are the targets of docs/design/requirements.md. DP_REPLAY_SEEDS sets the
 * replays of each load, DP_REPLAY_LOAD the begin of the loads' names. */
static void
test_loads (void)
{
  const char *seeds = g_getenv ("DP_REPLAY_SEEDS");
  const char *name = g_getenv ("DP_REPLAY_LOAD");
  const guint n_seeds = seeds == NULL ? 1 : (guint) g_ascii_strtoull (seeds, NULL, 10);

  printf ("\n");
  for (guint l = 0; l < G_N_ELEMENTS (loads_); l++)
    {
      guint requested[N_MODES][SECONDS] = { 0 };
      guint in_time[N_MODES][SECONDS] = { 0 };
      const guint from[] = { JUDGED_FROM_S, CHANGE_S + 2, RECOVERY_S + 2 };
      const guint to[] = { SECONDS, RECOVERY_S, SECONDS };
      const double bound[] = { 0.95, 0.9, 0.9 };

      if (name != NULL && !g_str_has_prefix (loads_[l].name, name))
        continue;
      printf ("%s\n", loads_[l].name);
      for (guint m = 0; m < N_MODES; m++)
        {
          if (m == MODE_KNOWN && seeds == NULL)
            continue;
          for (guint seed = 1; seed <= n_seeds; seed++)
            run (&loads_[l], (Mode) m, seed, requested[m], in_time[m]);
          print_shares ((Mode) m, requested[m], in_time[m]);
        }
      for (guint i = 0; i < G_N_ELEMENTS (bound); i++)
        CU_ASSERT_TRUE (
            share (requested[MODE_LEARNED], in_time[MODE_LEARNED], from[i], to[i])
            >= bound[i]
                   * share (requested[MODE_CENTRAL], in_time[MODE_CENTRAL], from[i],
                            to[i]));
      if (g_str_has_prefix (loads_[l].name, "equal"))
        CU_ASSERT_TRUE (
            share (requested[MODE_LEARNED], in_time[MODE_LEARNED], JUDGED_FROM_S, SECONDS)
            >= 0.99
                   * share (requested[MODE_FIXED], in_time[MODE_FIXED], JUDGED_FROM_S,
                            SECONDS));
    }
}

static GLogWriterOutput
ignore_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer user_data)
{
  return G_LOG_WRITER_HANDLED;
}

int
main (void)
{
  static const DpTestCase cases[] = { { "loads", test_loads } };

  g_log_set_writer_func (ignore_log, NULL, NULL);
  return dp_test_run ("learnedlimits", cases, G_N_ELEMENTS (cases));
}
