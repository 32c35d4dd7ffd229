/* Replays demand near and above capacity in three availability zones on a simulated
 * clock: 42 servers of two slots, the real placement of the balancers and the real
 * decisions of the companions. Most requests come on flows that stay open, so that only
 * the first request of a flow passes the admission. Prints one JSON line for each load.
 *
 * Load pattern: demand that swings by 55% within 15 s and exceeds capacity for some
 * seconds, while rejected clients try again after 3 ms and give up after two more tries.
 *
 * usage: model_peak [--load NAME] [--seed N] [--seeds N] [--windows] */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protected/clock.h"
#include "protected/passthrough.h"
#include "protected/placement.h"
#include "protected/servicebound.h"

#define SERVICE "clinic"
#define MS DP_US_PER_MS
#define N_ZONES 3
#define N_SERVERS 42
#define BALANCERS_PER_ZONE 3
#define SLOTS 2
#define SERVER_QUEUE 8 /* requests that a server accepts beyond its slots */
#define SECONDS 48
#define JUDGED_FROM_S 4
#define WINDOW_S 2
#define N_WINDOWS ((SECONDS - JUDGED_FROM_S) / WINDOW_S)
#define CLIENT_DELAY (3 * MS)   /* one way, from a client to its availability zone */
#define ZONE_DELAY (7 * MS / 2) /* one way, between availability zones */
#define LOCAL_DELAY (MS / 5)    /* one way, within an availability zone */
#define RETRY_DELAY (3 * MS)    /* of a client after a reset */
#define TRIES_MAX 3
#define SYN_LIMIT (1400 * MS) /* after which a client gives up an unanswered SYN */
#define REPORT_INTERVAL (100 * MS)
#define OTHER_ZONE_REPORTS 4 /* one in this many reports goes to other zones */
#define USERS_PER_ZONE 1200
#define REQUESTS_PER_FLOW 5.0 /* mean, of the interactive class */
#define ANSWER_BYTES_MIN 200
#define ANSWER_BYTES_MAX 6000
#define PACKET_BYTES 1200 /* data of a full packet */
#define REFUSAL_BYTES 90
#define PERIOD_S 15.0
#define SWING 0.55
#define TAIL_SHARE 0.03
#define TAIL_FACTOR 7.0
#define NO_CONN G_MAXUINT

/* A load; the rates are means over a period, of all zones together. */
typedef struct
{
  const char *name;
  double per_s;
  double swing;
  guint objective_ms;
  guint deadline_ms;
  double work_ms[2]; /* without the tail */
  double urgent_share;
  double burst[2];    /* factor of the class's rate from second 20 to 26 */
  gboolean moves;     /* from second 20 on the clients of zone 0 are in zone 1 */
  double late_credit; /* of the credit of an answer in time */
} Load;

static const Load loads_[] = {
  { "peak", 1767, SWING, 300, 3000, { 26, 33 }, 0.223, { 1, 1 }, FALSE, 0.1 },
  { "low", 1000, SWING, 300, 3000, { 26, 33 }, 0.223, { 1, 1 }, FALSE, 0.1 },
  { "burst of the urgent class",
    1400,
    0.2,
    300,
    3000,
    { 26, 33 },
    0.223,
    { 1, 2.5 },
    FALSE,
    0.1 },
  { "burst of the interactive class",
    1400,
    0.2,
    300,
    3000,
    { 26, 33 },
    0.223,
    { 2.5, 1 },
    FALSE,
    0.1 },
  { "clients move", 1500, 0.3, 300, 3000, { 26, 33 }, 0.223, { 1, 1 }, TRUE, 0.1 },
  { "120 ms, 0.9", 3240, 0, 120, 1200, { 15, 19 }, 0.223, { 1, 1 }, FALSE, 0.3 },
  { "120 ms, 1.0", 3600, 0, 120, 1200, { 15, 19 }, 0.223, { 1, 1 }, FALSE, 0.3 },
  { "120 ms, 1.3", 4680, 0, 120, 1200, { 15, 19 }, 0.223, { 1, 1 }, FALSE, 0.3 },
  { "120 ms, 2", 7200, 0, 120, 1200, { 15, 19 }, 0.223, { 1, 1 }, FALSE, 0.3 },
  { "200 ms, 0.9", 2340, 0, 200, 2000, { 26, 33 }, 0.223, { 1, 1 }, FALSE, 0.2 },
  { "200 ms, 1.0", 2600, 0, 200, 2000, { 26, 33 }, 0.223, { 1, 1 }, FALSE, 0.2 },
  { "200 ms, 1.3", 3380, 0, 200, 2000, { 26, 33 }, 0.223, { 1, 1 }, FALSE, 0.2 },
  { "200 ms, 2", 5200, 0, 200, 2000, { 26, 33 }, 0.223, { 1, 1 }, FALSE, 0.2 },
  { "400 ms, peak", 1767, SWING, 400, 3000, { 26, 33 }, 0.223, { 1, 1 }, FALSE, 0.1 },
  { "120 ms, peak", 2460, SWING, 120, 1200, { 18, 22 }, 0.223, { 1, 1 }, FALSE, 0.1 },
  /* Each request on a flow of its own. */
  { "short flows", 1767, SWING, 300, 3000, { 26, 33 }, 1.0, { 1, 1 }, FALSE, 0.1 },
};

static const double zone_share_[N_ZONES] = { 600.0 / 1880, 660.0 / 1880, 620.0 / 1880 };
static const double zone_phase_[N_ZONES] = { 0.1, 0.18, 0.26 };

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_TRY,        /* a client sends the first SYN of an attempt */
  EVENT_COPY,       /* a client sends a copy of its SYN */
  EVENT_SYN,        /* a SYN reaches a member */
  EVENT_REQUEST,    /* a request reaches its server */
  EVENT_DONE,       /* a server has finished a request */
  EVENT_ANSWER,     /* an answer reaches the client */
  EVENT_CLOSED,     /* the client's FIN reaches the balancer */
  EVENT_FIN,        /* the client's FIN reaches the server */
  EVENT_REPORT,     /* a companion reports to the balancers */
  EVENT_REPORT_CAME /* a report reaches the balancers of a zone */
} EventType;

typedef struct
{
  gint64 at;
  EventType type;
  guint index;   /* of the connection, zone or server */
  guint attempt; /* of the connection */
  guint server;
  guint value;
  DpHop hop;
} Event;

typedef enum
{
  OUTCOME_IN_TIME,
  OUTCOME_LATE,
  OUTCOME_REJECTED,  /* all tries ended with a reset */
  OUTCOME_REFUSED,   /* answered with a 503 */
  OUTCOME_NO_ANSWER, /* no answer to the SYN, or none before the deadline */
  N_OUTCOMES
} Outcome;

static const char *const outcome_strings_[] = { "in_time", "late", "rejected", "refused",
                                                "no_answer" };

/* A client's connection, with the request that it carries at present. */
typedef struct
{
  DpTrafficClass class;
  guint zone;
  guint user; /* of the zone; not used by urgent requests */
  guint balancer;
  guint attempt;
  gboolean open;
  gboolean pending; /* a request has no outcome yet */
  gboolean opened_for_request;
  guint n_left; /* requests until the client closes the flow */
  guint server;
  gint64 path_delay; /* from the balancer to the owner */
  gint64 started_at; /* of the request */
  gint64 syn_at;     /* of the attempt */
  gint64 work;
  guint32 client_seq;
  guint32 server_seq;
  DpHandle member;
} Conn;

typedef struct
{
  guint zone;
  guint busy;
  GQueue queue;
  DpPassthrough *passthrough;
  guint n_reports;
} Server;

typedef struct
{
  guint n[DP_N_TRAFFIC_CLASSES][N_OUTCOMES];
} Window;

typedef struct
{
  const Load *load;
  GRand *random;
  GArray *events;
  GArray *conns;
  guint *users[N_ZONES]; /* connection of each user */
  Server servers[N_SERVERS];
  DpPlacement *placements[N_ZONES * BALANCERS_PER_ZONE];
  gint64 now;
  Window windows[N_WINDOWS];
  Window first;  /* outcomes of requests that needed a new flow */
  Window bursts; /* outcomes of requests that began from second 20 to 26 */
  guint64 n_rejects;
  guint64 n_held;
  guint64 crossed;
  double reject_ms; /* sum of the times until a request was rejected for good */
  guint64 n_answers;
  gint64 busy_time;
} Model;

static void try_again (Model *model, guint index);
static void release_held (Model *model, guint index);

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
schedule (Model *model, gint64 delay, EventType type, guint index, guint server)
{
  const Event event = {
    .at = model->now + delay, .type = type, .index = index, .server = server
  };

  push_event (model, &event);
}

static void
schedule_conn (Model *model, gint64 delay, EventType type, guint index, guint value)
{
  const Conn *conn = &g_array_index (model->conns, Conn, index);
  const Event event = { .at = model->now + delay,
                        .type = type,
                        .index = index,
                        .attempt = conn->attempt,
                        .server = conn->server,
                        .value = value };

  push_event (model, &event);
}

static Conn *
get_conn (Model *model, guint index)
{
  return &g_array_index (model->conns, Conn, index);
}

static gint64
delay_between (guint zone_a, guint zone_b)
{
  return zone_a == zone_b ? LOCAL_DELAY : ZONE_DELAY;
}

/* Returns the delay of the server's packets to the client. */
static gint64
delay_to_client (const Model *model, const Conn *conn)
{
  return CLIENT_DELAY + delay_between (model->servers[conn->server].zone, conn->zone);
}

static gint64
draw_work (Model *model, DpTrafficClass class)
{
  const double mean = model->load->work_ms[class == DP_TRAFFIC_URGENT];
  const double u = g_rand_double_range (model->random, 1e-9, 1.0);
  const double v = g_rand_double (model->random);
  const double normal = sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * v);
  double ms = mean * exp (0.4 * normal - 0.08);

  if (g_rand_double (model->random) < TAIL_SHARE)
    ms *= TAIL_FACTOR;
  return (gint64) (ms * MS);
}

/* Returns the arrivals per second in the zone. */
static double
rate_at (const Load *load, guint zone, double s, DpTrafficClass class)
{
  const double class_share = class == DP_TRAFFIC_URGENT ? load->urgent_share
                                                        : 1.0 - load->urgent_share;
  double rate = 0;

  for (guint z = 0; z < N_ZONES; z++)
    {
      const guint at_zone = load->moves && s >= 20 && z == 0 ? 1 : z;

      if (at_zone == zone)
        rate += load->per_s * class_share * zone_share_[z]
                * (1.0
                   + load->swing * sin (2.0 * G_PI * (s / PERIOD_S + zone_phase_[z])));
    }
  if (s >= 20 && s < 26)
    rate *= load->burst[class == DP_TRAFFIC_URGENT];
  return rate;
}

static void
record (Model *model, Conn *conn, Outcome outcome)
{
  const double s = (double) conn->started_at / DP_US_PER_S;
  const int window = (int) floor ((s - JUDGED_FROM_S) / WINDOW_S);

  if (!conn->pending)
    return;
  conn->pending = FALSE;
  if (window < 0 || window >= N_WINDOWS)
    return;
  model->windows[window].n[conn->class][outcome]++;
  if (conn->opened_for_request)
    model->first.n[conn->class][outcome]++;
  if (s >= 20 && s < 26)
    model->bursts.n[conn->class][outcome]++;
  if (outcome == OUTCOME_REJECTED)
    model->reject_ms += (double) (model->now - conn->started_at) / MS;
}

static DpSegment
make_segment (Model *model, guint index, guint8 flags)
{
  const Conn *conn = get_conn (model, index);
  DpSegment segment = { .key = { { index + 1, (guint16) (1000 + conn->attempt) },
                                 { 0xc6120001, 443 } },
                        .flags = flags,
                        .seq = conn->client_seq };

  segment.hash = dp_flow_key_hash (&segment.key);
  return segment;
}

static DpHop
make_hop (const Model *model, const Conn *conn)
{
  return (DpHop){ .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                  .class = (guint8) conn->class,
                  .wait_limit_ms = (guint16) (model->load->objective_ms / 3),
                  .deadline_ms = (guint16) model->load->deadline_ms };
}

static void
send_syn (Model *model, guint index, guint16 age_ms)
{
  Conn *conn = get_conn (model, index);
  DpPlacement *placement = model->placements[conn->balancer];
  const DpHop hop = make_hop (model, conn);
  Event event = { .type = EVENT_SYN,
                  .index = index,
                  .attempt = conn->attempt,
                  .value = age_ms,
                  .hop = hop };
  DpAddress address;

  if (age_ms == 0)
    {
      const DpSegment syn = make_segment (model, index, DP_TCP_SYN);

      conn->member = dp_placement_choose (placement, dp_service_id (SERVICE), conn->class,
                                          syn.hash, model->now);
      dp_placement_flow_opened (placement, conn->member);
    }
  if (!dp_placement_address (placement, conn->member, &address))
    return;
  event.server = address.ip - 1;
  event.at = model->now + CLIENT_DELAY
             + delay_between (conn->zone, model->servers[event.server].zone);
  push_event (model, &event);
}

static void
try_again (Model *model, guint index)
{
  Conn *conn = get_conn (model, index);

  conn->attempt++;
  conn->syn_at = model->now;
  conn->path_delay = 0;
  conn->client_seq = 1;
  send_syn (model, index, 0);
  schedule_conn (model, 200 * MS, EVENT_COPY, index, 200);
}

static void
send_copy (Model *model, const Event *event)
{
  Conn *conn = get_conn (model, event->index);

  if (conn->attempt != event->attempt || conn->open || !conn->pending)
    return;
  if (event->value == SYN_LIMIT / MS)
    {
      if (conn->attempt >= TRIES_MAX)
        record (model, conn, OUTCOME_NO_ANSWER);
      else
        try_again (model, event->index);
      return;
    }
  send_syn (model, event->index, (guint16) event->value);
  if (event->value == 200)
    schedule_conn (model, 400 * MS, EVENT_COPY, event->index, 600);
  else
    schedule_conn (model, 800 * MS, EVENT_COPY, event->index, SYN_LIMIT / MS);
}

static void
forget_user (Model *model, const Conn *conn)
{
  if (conn->class != DP_TRAFFIC_URGENT)
    model->users[conn->zone][conn->user] = NO_CONN;
}

static void
reset_conn (Model *model, guint index, gint64 delay)
{
  Conn *conn = get_conn (model, index);

  model->n_rejects++;
  if (conn->attempt >= TRIES_MAX)
    {
      record (model, conn, OUTCOME_REJECTED);
      forget_user (model, conn);
    }
  else
    schedule_conn (model, delay + RETRY_DELAY, EVENT_TRY, index, 0);
}

/* The server answers the SYN, and the request follows one round trip later. */
static void
open_conn (Model *model, guint index, guint server)
{
  Conn *conn = get_conn (model, index);
  DpSegment answer = make_segment (model, index, DP_TCP_SYN | DP_TCP_ACK);

  answer.seq = 1000;
  answer.ack = 2;
  dp_passthrough_from_server (model->servers[server].passthrough, &answer, model->now);
  if (conn->open)
    return;
  conn->server = server;
  conn->server_seq = 1001;
  conn->client_seq = 2;
  conn->open = TRUE;
  schedule_conn (model,
                 delay_to_client (model, conn) + CLIENT_DELAY + conn->path_delay
                     + (model->servers[server].zone == conn->zone ? LOCAL_DELAY : 0),
                 EVENT_REQUEST, index, 0);
}

static void
carry_out (Model *model,
           guint index,
           guint server,
           const DpSegment *segment,
           const DpPassthroughDecision *decision)
{
  static const guint8 byte = 0;
  Conn *conn = get_conn (model, index);
  g_autoptr (GBytes) packet = NULL;
  Event event = { .type = EVENT_SYN,
                  .index = index,
                  .attempt = conn->attempt,
                  .value = segment->syn_age_ms,
                  .hop = decision->hop };

  switch (decision->action)
    {
    case DP_PASSTHROUGH_TO_SERVER:
      open_conn (model, index, server);
      break;
    case DP_PASSTHROUGH_TO_MEMBER:
      event.server = decision->member.ip - 1;
      event.at = model->now
                 + delay_between (model->servers[server].zone,
                                  model->servers[event.server].zone);
      if (segment->syn_age_ms == 0 && decision->hop.reject_reason == 0)
        conn->path_delay += event.at - model->now;
      push_event (model, &event);
      break;
    case DP_PASSTHROUGH_HOLD:
      model->n_held++;
      packet = g_bytes_new_static (&byte, 1);
      dp_passthrough_hold_packet (model->servers[server].passthrough, segment, packet);
      break;
    case DP_PASSTHROUGH_RESET:
      reset_conn (model, index,
                  CLIENT_DELAY + delay_between (model->servers[server].zone, conn->zone));
      break;
    default:
      break;
    }
}

static void
handle_syn (Model *model, const Event *event)
{
  const Conn *conn = get_conn (model, event->index);
  Server *server = &model->servers[event->server];
  DpSegment syn;
  DpPassthroughDecision decision;

  if (conn->attempt != event->attempt || (conn->open && event->value == 0))
    return;
  syn = make_segment (model, event->index, DP_TCP_SYN);
  syn.seq = 1;
  syn.syn_age_ms = (guint16) event->value;
  decision = dp_passthrough_from_peer (server->passthrough, &syn, &event->hop,
                                       model->now);
  carry_out (model, event->index, event->server, &syn, &decision);
  release_held (model, event->server);
}

static void
release_held (Model *model, guint index)
{
  Server *server = &model->servers[index];
  DpReleasedSyn released;

  while (dp_passthrough_next_released (server->passthrough, &released, model->now))
    {
      const guint number = released.key.client.ip - 1;
      DpSegment syn = make_segment (model, number, DP_TCP_SYN);

      g_bytes_unref (released.packet);
      if (released.key.client.port == 1000 + get_conn (model, number)->attempt)
        carry_out (model, number, index, &syn, &released.decision);
    }
}

static void
start_requests (Model *model, guint index)
{
  Server *server = &model->servers[index];

  while (server->busy < SLOTS && !g_queue_is_empty (&server->queue))
    {
      const guint number = GPOINTER_TO_UINT (g_queue_pop_head (&server->queue));

      server->busy++;
      model->busy_time += get_conn (model, number)->work;
      schedule_conn (model, get_conn (model, number)->work, EVENT_DONE, number, 0);
    }
}

static void
send_answer (Model *model, guint index, gboolean refused)
{
  Conn *conn = get_conn (model, index);
  DpSegment answer = make_segment (model, index, DP_TCP_ACK);
  guint32 left = refused ? REFUSAL_BYTES
                         : (guint32) g_rand_int_range (model->random, ANSWER_BYTES_MIN,
                                                       ANSWER_BYTES_MAX);

  answer.ack = conn->client_seq;
  while (left > 0)
    {
      answer.seq = conn->server_seq;
      answer.payload_length = (guint16) MIN (left, PACKET_BYTES);
      answer.partial = answer.payload_length < PACKET_BYTES;
      left -= answer.payload_length;
      if (conn->class == DP_TRAFFIC_URGENT && left == 0)
        answer.flags |= DP_TCP_FIN;
      conn->server_seq += answer.payload_length;
      dp_passthrough_from_server (model->servers[conn->server].passthrough, &answer,
                                  model->now);
    }
  schedule_conn (model, delay_to_client (model, conn), EVENT_ANSWER, index, refused);
  release_held (model, conn->server);
}

static void
handle_request (Model *model, const Event *event)
{
  Conn *conn = get_conn (model, event->index);
  Server *server = &model->servers[conn->server];
  const DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                      .class = (guint8) conn->class };
  DpSegment data = make_segment (model, event->index, DP_TCP_ACK);
  DpPassthroughDecision decision;

  data.ack = conn->server_seq;
  data.payload_length = 200;
  conn->client_seq += data.payload_length;
  decision = dp_passthrough_from_peer (server->passthrough, &data, &hop, model->now);
  g_assert (decision.action == DP_PASSTHROUGH_TO_SERVER);
  if (server->busy >= SLOTS && g_queue_get_length (&server->queue) >= SERVER_QUEUE)
    {
      send_answer (model, event->index, TRUE);
      return;
    }
  g_queue_push_tail (&server->queue, GUINT_TO_POINTER (event->index));
  start_requests (model, conn->server);
}

static void
handle_done (Model *model, const Event *event)
{
  model->servers[event->server].busy--;
  send_answer (model, event->index, FALSE);
  start_requests (model, event->server);
}

static void
handle_answer (Model *model, const Event *event)
{
  Conn *conn = get_conn (model, event->index);
  const gint64 time = model->now - conn->started_at;
  const gint64 objective = model->load->objective_ms * MS;
  const gint64 deadline = model->load->deadline_ms * MS;

  record (model, conn,
          event->value != 0   ? OUTCOME_REFUSED
          : time <= objective ? OUTCOME_IN_TIME
          : time <= deadline  ? OUTCOME_LATE
                              : OUTCOME_NO_ANSWER);
  model->n_answers++;
  if (model->servers[conn->server].zone != conn->zone)
    model->crossed++;
  conn->n_left--;
  if (conn->n_left > 0)
    return;
  forget_user (model, conn);
  schedule_conn (model, CLIENT_DELAY, EVENT_CLOSED, event->index, 0);
  schedule_conn (model, CLIENT_DELAY + conn->path_delay, EVENT_FIN, event->index, 0);
}

static void
handle_fin (Model *model, const Event *event)
{
  const Conn *conn = get_conn (model, event->index);
  DpPassthrough *passthrough = model->servers[conn->server].passthrough;
  const DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                      .class = (guint8) conn->class };
  DpSegment fin = make_segment (model, event->index, DP_TCP_ACK | DP_TCP_FIN);

  fin.ack = conn->server_seq;
  dp_passthrough_from_peer (passthrough, &fin, &hop, model->now);
  fin.seq = conn->server_seq;
  fin.ack = conn->client_seq;
  if (conn->class != DP_TRAFFIC_URGENT)
    dp_passthrough_from_server (passthrough, &fin, model->now);
  release_held (model, conn->server);
}

static guint
add_conn (Model *model, DpTrafficClass class, guint zone, guint user)
{
  Conn conn = { .class = class, .zone = zone, .user = user, .n_left = 1 };

  conn.balancer = zone * BALANCERS_PER_ZONE
                  + (guint) g_rand_int_range (model->random, 0, BALANCERS_PER_ZONE);
  if (class != DP_TRAFFIC_URGENT)
    while (g_rand_double (model->random) > 1.0 / REQUESTS_PER_FLOW)
      conn.n_left++;
  g_array_append_val (model->conns, conn);
  return model->conns->len - 1;
}

static void
begin_request (Model *model, guint zone, DpTrafficClass class)
{
  guint index = NO_CONN;
  guint user = 0;
  Conn *conn;

  if (class != DP_TRAFFIC_URGENT)
    {
      do
        {
          user = (guint) g_rand_int_range (model->random, 0, USERS_PER_ZONE);
          index = model->users[zone][user];
        }
      while (index != NO_CONN && get_conn (model, index)->pending);
    }
  if (index == NO_CONN)
    index = add_conn (model, class, zone, user);
  if (class != DP_TRAFFIC_URGENT)
    model->users[zone][user] = index;
  conn = get_conn (model, index);
  conn->started_at = model->now;
  conn->pending = TRUE;
  conn->work = draw_work (model, class);
  conn->opened_for_request = !conn->open;
  if (conn->open)
    schedule_conn (model, CLIENT_DELAY + conn->path_delay + LOCAL_DELAY, EVENT_REQUEST,
                   index, 0);
  else
    try_again (model, index);
}

static void
handle_arrival (Model *model, const Event *event)
{
  const double s = (double) model->now / DP_US_PER_S;
  const double urgent = rate_at (model->load, event->index, s, DP_TRAFFIC_URGENT);
  const double rate = urgent
                      + rate_at (model->load, event->index, s, DP_TRAFFIC_INTERACTIVE);
  /* Thinning: arrivals are drawn at a rate above all that the load can have. */
  const double rate_max = model->load->per_s * 4.0;

  if (s >= SECONDS)
    return;
  if (g_rand_double (model->random) * rate_max < rate)
    begin_request (model, event->index,
                   g_rand_double (model->random) * rate < urgent
                       ? DP_TRAFFIC_URGENT
                       : DP_TRAFFIC_INTERACTIVE);
  schedule (model,
            (gint64) (-log (g_rand_double_range (model->random, 1e-9, 1.0)) / rate_max
                      * DP_US_PER_S),
            EVENT_ARRIVAL, event->index, 0);
}

static void
send_report (Model *model, guint index)
{
  Server *server = &model->servers[index];

  for (guint z = 0; z < N_ZONES; z++)
    if (z == server->zone || server->n_reports % OTHER_ZONE_REPORTS == 0)
      {
        Event event = { .at = model->now + delay_between (server->zone, z),
                        .type = EVENT_REPORT_CAME,
                        .index = z,
                        .server = index,
                        .value = dp_passthrough_load (server->passthrough) };

        push_event (model, &event);
      }
  server->n_reports++;
  dp_passthrough_tick (server->passthrough, model->now);
  release_held (model, index);
  schedule (model, REPORT_INTERVAL, EVENT_REPORT, index, 0);
}

static void
receive_report (Model *model, const Event *event)
{
  const Server *server = &model->servers[event->server];
  char name[16];
  char zone[16];
  const guint interval = (server->zone == event->index ? 1 : OTHER_ZONE_REPORTS)
                         * REPORT_INTERVAL / MS;
  const DpReport report = { .service = SERVICE,
                            .name = name,
                            .zone = zone,
                            .address = { event->server + 1, 7000 },
                            .slots = SLOTS,
                            .state = DP_MEMBER_ACTIVE,
                            .in_flight = event->value,
                            .interval_ms = interval };

  g_snprintf (name, sizeof name, "s-%u", event->server);
  g_snprintf (zone, sizeof zone, "z-%u", server->zone);
  for (guint b = 0; b < BALANCERS_PER_ZONE; b++)
    dp_placement_apply_report (model->placements[event->index * BALANCERS_PER_ZONE + b],
                               &report, model->now);
}

static DpMemberView *
make_view (void)
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
                               .state = DP_MEMBER_ACTIVE };
    }
  return dp_member_view_new (SERVICE, 1, members, N_SERVERS);
}

static void
start (Model *model)
{
  const DpPassthroughLimits limits = { SLOTS, 60 * DP_US_PER_S };
  g_autoptr (DpMemberView) view = make_view ();

  for (guint b = 0; b < N_ZONES * BALANCERS_PER_ZONE; b++)
    {
      char zone[16];

      g_snprintf (zone, sizeof zone, "z-%u", b / BALANCERS_PER_ZONE);
      model->placements[b] = dp_placement_new (zone);
    }
  for (guint i = 0; i < N_SERVERS; i++)
    {
      Server *server = &model->servers[i];
      const DpAddress address = { i + 1, 7000 };
      char name[16];

      g_snprintf (name, sizeof name, "s-%u", i);
      server->zone = i % N_ZONES;
      g_queue_init (&server->queue);
      server->passthrough = dp_passthrough_new (SERVICE, name, -10 * DP_US_PER_S);
      dp_passthrough_set_limits (server->passthrough, &limits);
      dp_passthrough_set_address (server->passthrough, &address);
      dp_passthrough_set_serving (server->passthrough, TRUE);
      dp_passthrough_server_replaced (server->passthrough, TRUE);
      dp_passthrough_set_view (server->passthrough, view, -10 * DP_US_PER_S);
      schedule (model, (gint64) i * REPORT_INTERVAL / N_SERVERS, EVENT_REPORT, i, 0);
    }
  for (guint z = 0; z < N_ZONES; z++)
    {
      model->users[z] = g_new (guint, USERS_PER_ZONE);
      for (guint i = 0; i < USERS_PER_ZONE; i++)
        model->users[z][i] = NO_CONN;
      schedule (model, DP_US_PER_S / 2, EVENT_ARRIVAL, z, 0);
    }
}

static void
handle_event (Model *model, const Event *event)
{
  switch (event->type)
    {
    case EVENT_ARRIVAL:
      handle_arrival (model, event);
      break;
    case EVENT_TRY:
      if (get_conn (model, event->index)->attempt == event->attempt
          && !get_conn (model, event->index)->open)
        try_again (model, event->index);
      break;
    case EVENT_COPY:
      send_copy (model, event);
      break;
    case EVENT_SYN:
      handle_syn (model, event);
      break;
    case EVENT_REQUEST:
      handle_request (model, event);
      break;
    case EVENT_DONE:
      handle_done (model, event);
      break;
    case EVENT_ANSWER:
      handle_answer (model, event);
      break;
    case EVENT_CLOSED:
      dp_placement_flow_closed (
          model->placements[get_conn (model, event->index)->balancer],
          get_conn (model, event->index)->member);
      break;
    case EVENT_FIN:
      handle_fin (model, event);
      break;
    case EVENT_REPORT:
      send_report (model, event->index);
      break;
    case EVENT_REPORT_CAME:
    default:
      receive_report (model, event);
      break;
    }
}

static double
sum_class (const Window *window, DpTrafficClass class)
{
  double n = 0;

  for (guint o = 0; o < N_OUTCOMES; o++)
    n += window->n[class][o];
  return n;
}

static double
in_time_share (const Window *window, DpTrafficClass class)
{
  const double n = sum_class (window, class);

  return n == 0 ? 1.0 : window->n[class][OUTCOME_IN_TIME] / n;
}

/* Urgent requests count twice. */
static double
credit_share (const Load *load, const Window *window)
{
  double credit = 0;
  double max = 0;

  for (guint c = 0; c < DP_N_TRAFFIC_CLASSES; c++)
    {
      const double weight = c == DP_TRAFFIC_URGENT ? 2.0 : 1.0;

      max += weight * sum_class (window, (DpTrafficClass) c);
      credit += weight
                * (window->n[c][OUTCOME_IN_TIME]
                   + load->late_credit * window->n[c][OUTCOME_LATE]);
    }
  return max == 0 ? 1.0 : credit / max;
}

static void
print_outcomes (const char *name, const Window *window)
{
  printf (",\"%s\":{", name);
  for (guint o = 0; o < N_OUTCOMES; o++)
    printf ("%s\"%s\":[%u,%u]", o == 0 ? "" : ",", outcome_strings_[o],
            window->n[DP_TRAFFIC_URGENT][o], window->n[DP_TRAFFIC_INTERACTIVE][o]);
  printf ("}");
}

static void
print_result (const Model *model, guint32 seed, gboolean windows)
{
  Window total = { 0 };
  double worst = 1.0;
  double worst_class = 1.0;

  for (guint w = 0; w < N_WINDOWS; w++)
    {
      const Window *window = &model->windows[w];

      for (guint c = 0; c < DP_N_TRAFFIC_CLASSES; c++)
        {
          for (guint o = 0; o < N_OUTCOMES; o++)
            total.n[c][o] += window->n[c][o];
          worst_class = MIN (worst_class, in_time_share (window, (DpTrafficClass) c));
        }
      worst = MIN (worst, credit_share (model->load, window));
      if (windows)
        printf ("{\"from_s\":%u,\"asked\":%.0f,\"urgent\":%.3f,\"interactive\":%.3f,"
                "\"credit\":%.3f}\n",
                JUDGED_FROM_S + w * WINDOW_S,
                sum_class (window, DP_TRAFFIC_URGENT)
                    + sum_class (window, DP_TRAFFIC_INTERACTIVE),
                in_time_share (window, DP_TRAFFIC_URGENT),
                in_time_share (window, DP_TRAFFIC_INTERACTIVE),
                credit_share (model->load, window));
    }
  printf ("{\"load\":\"%s\",\"seed\":%u,\"credit\":%.4f,\"worst_window\":%.3f,"
          "\"worst_class\":%.3f,\"urgent\":%.4f,\"interactive\":%.4f,\"crossed\":%.3f,"
          "\"busy\":%.3f",
          model->load->name, seed, credit_share (model->load, &total), worst, worst_class,
          in_time_share (&total, DP_TRAFFIC_URGENT),
          in_time_share (&total, DP_TRAFFIC_INTERACTIVE),
          (double) model->crossed / (double) MAX (model->n_answers, 1),
          (double) model->busy_time
              / ((double) N_SERVERS * SLOTS * SECONDS * DP_US_PER_S));
  printf (",\"rejects\":%" G_GUINT64_FORMAT ",\"held\":%" G_GUINT64_FORMAT
          ",\"ms_to_reject\":%.1f",
          model->n_rejects, model->n_held,
          model->reject_ms
              / MAX (total.n[DP_TRAFFIC_URGENT][OUTCOME_REJECTED]
                         + total.n[DP_TRAFFIC_INTERACTIVE][OUTCOME_REJECTED],
                     1));
  print_outcomes ("all", &total);
  print_outcomes ("new_flows", &model->first);
  print_outcomes ("burst", &model->bursts);
  printf ("}\n");
}

static void
run (const Load *load, guint32 seed, gboolean windows)
{
  Model model = { .load = load };

  model.random = g_rand_new_with_seed (seed);
  model.events = g_array_new (FALSE, FALSE, sizeof (Event));
  model.conns = g_array_new (FALSE, FALSE, sizeof (Conn));
  start (&model);
  while (model.events->len > 0)
    {
      const Event event = pop_event (&model);

      model.now = event.at;
      if (model.now > (SECONDS + 4) * DP_US_PER_S)
        break;
      handle_event (&model, &event);
    }
  for (guint i = 0; i < model.conns->len; i++)
    record (&model, get_conn (&model, i), OUTCOME_NO_ANSWER);
  print_result (&model, seed, windows);
  for (guint i = 0; i < N_SERVERS; i++)
    {
      dp_passthrough_free (model.servers[i].passthrough);
      g_queue_clear (&model.servers[i].queue);
    }
  for (guint b = 0; b < N_ZONES * BALANCERS_PER_ZONE; b++)
    dp_placement_free (model.placements[b]);
  for (guint z = 0; z < N_ZONES; z++)
    g_free (model.users[z]);
  g_array_unref (model.events);
  g_array_unref (model.conns);
  g_rand_free (model.random);
}

static GLogWriterOutput
discard_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer user_data)
{
  return level <= G_LOG_LEVEL_WARNING ? g_log_writer_default (level, fields, n, user_data)
                                      : G_LOG_WRITER_HANDLED;
}

int
main (int argc, char **argv)
{
  g_autofree char *name = NULL;
  gint seed = 1;
  gint seeds = 1;
  gboolean windows = FALSE;
  const GOptionEntry entries[] = {
    { "load", 0, 0, G_OPTION_ARG_STRING, &name, "only this load", "NAME" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
    { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "number of seeds", "N" },
    { "windows", 0, 0, G_OPTION_ARG_NONE, &windows, "print each window", NULL },
    { 0 },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      g_printerr ("%s\n", error->message);
      return 2;
    }
  g_log_set_writer_func (discard_log, NULL, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (loads_); i++)
    if (name == NULL || g_str_equal (name, loads_[i].name))
      for (gint s = seed; s < seed + seeds; s++)
        run (&loads_[i], (guint32) s, windows);
  return EXIT_SUCCESS;
}
