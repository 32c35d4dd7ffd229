/* Guards against cold servers that get more requests in a second than they can handle:
 * with free slots but a cold cache, they would make every request late. The replays bring
 * all servers of a service back cold at once, with the clients' retries piled up. */
#include <math.h>

#include "protected/clock.h"
#include "protected/passthrough.h"
#include "protected/warmuplimit.h"
#include "runner.h"

#define SERVICE "darbnica"
#define MS DP_US_PER_MS
#define S DP_US_PER_S
#define RATE 20.0
#define OVERRUN 1.5
#define SLACK 5.0
#define MAX_IN_A_SECOND 35 /* floor (RATE x OVERRUN + SLACK) */
#define WARMUP_S 6

/* Returns the highest number of times within a sliding second. times: ascending, us. */
static guint
most_in_a_second (const GArray *times)
{
  guint most = 0;
  guint first = 0;

  for (guint i = 0; i < times->len; i++)
    {
      while (g_array_index (times, gint64, i) - g_array_index (times, gint64, first) >= S)
        first++;
      most = MAX (most, i - first + 1);
    }
  return most;
}

static DpWarmupLimit *
make_limit (double rate)
{
  DpWarmupLimit *limit = dp_warmup_limit_new (0);

  dp_warmup_limit_set_rate (limit, rate);
  dp_warmup_limit_set_bounds (limit, OVERRUN, SLACK);
  dp_warmup_limit_set_end (limit, WARMUP_S * S);
  dp_warmup_limit_note_server_replaced (limit, TRUE);
  return limit;
}

/* Shows the limit flows without further requests until now, so that none are expected. */
static void
show_idle_flows (DpWarmupLimit *limit, gint64 now)
{
  for (gint64 at = now - 4 * S; at < now; at += S)
    {
      dp_warmup_limit_note_open_flows (limit, 10000, at);
      dp_warmup_limit_note_open_flows (limit, 0, at + S);
    }
}

/* Bursts, pauses and a steady stream of random arrivals: those that the limit lets
 * through keep the bound. */
static void
test_random_arrivals (void)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      const double rate = g_rand_double_range (rand, 0.5, 60);
      const guint max = (guint) floor (rate * OVERRUN + SLACK);
      g_autoptr (DpWarmupLimit) limit = make_limit (rate);
      g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (gint64));
      gint64 counted_at = 0;
      gint64 now = 0;

      while (now < WARMUP_S * S)
        {
          if (dp_warmup_limit_admits (limit, now))
            {
              dp_warmup_limit_note_syn (limit, now);
              g_array_append_val (sent, now);
            }
          now += g_rand_int_range (rand, 0, 200) == 0
                     ? g_rand_int_range (rand, 0, S)
                     : g_rand_int_range (rand, 0, 5 * MS);
          if (now - counted_at < S)
            continue;
          dp_warmup_limit_note_open_flows (limit, 0, now);
          counted_at = now;
        }
      CU_ASSERT_TRUE (most_in_a_second (sent) <= max);
    }
}

/* With lasting demand, a server gets at least its declared rate from the first second on,
 * although it is not known then that its flows make no further requests. */
static void
test_limit_is_used (void)
{
  g_autoptr (DpWarmupLimit) limit = make_limit (RATE);
  guint n = 0;

  for (gint64 now = 0; now < WARMUP_S * S; now += MS)
    {
      if (dp_warmup_limit_admits (limit, now))
        {
          dp_warmup_limit_note_syn (limit, now);
          n++;
        }
      if (now % S == S - MS)
        {
          dp_warmup_limit_note_open_flows (limit, 0, now);
          CU_ASSERT_TRUE (n >= (guint) RATE * (guint) (now / S + 1));
        }
    }
}

/* The expected wait decides whether a SYN waits or is rejected: it has to be about the
 * time after which the SYN is released. */
static void
test_expected_wait (void)
{
  for (guint n_before = 0; n_before <= MAX_IN_A_SECOND; n_before += 7)
    {
      g_autoptr (DpWarmupLimit) limit = make_limit (RATE);
      gint64 waits[MAX_IN_A_SECOND + 2];
      gint64 start = 300 * MS;
      guint n = 0;

      /* Many flows without further requests, so that none are expected. */
      for (guint i = 0; i < 20; i++)
        dp_warmup_limit_note_open_flows (limit, i % 2 == 0 ? 1000 : 0,
                                         -10 * S + i * S / 2);
      for (guint i = 0; i < n_before; i++)
        dp_warmup_limit_note_syn (limit, i * start / n_before);
      for (guint i = 0; i < G_N_ELEMENTS (waits); i++)
        waits[i] = dp_warmup_limit_wait (limit, i, start);
      CU_ASSERT_EQUAL (waits[0] == 0, dp_warmup_limit_admits (limit, start));
      for (gint64 now = start; n < MAX_IN_A_SECOND && now < WARMUP_S * S; now += MS)
        while (n < MAX_IN_A_SECOND && dp_warmup_limit_admits (limit, now))
          {
            dp_warmup_limit_note_syn (limit, now);
            /* The room is smaller by up to two as more flows are open. */
            CU_ASSERT_TRUE (now - start >= waits[n] - MS);
            CU_ASSERT_TRUE (now - start <= waits[n + 2] + MS);
            n++;
          }
      CU_ASSERT_EQUAL (n, MAX_IN_A_SECOND);
      /* The limit ends with the warm-up. */
      CU_ASSERT_EQUAL (dp_warmup_limit_wait (limit, 100000, 5 * S), WARMUP_S * S - 5 * S);
    }
}

/* A process that has started beside a cold server doesn't know how much its predecessor
 * has sent; one that saw the server start knows that nothing was. */
static void
test_unknown_past (void)
{
  g_autoptr (DpWarmupLimit) limit = dp_warmup_limit_new (10 * S);
  guint n = 0;

  dp_warmup_limit_set_rate (limit, RATE);
  dp_warmup_limit_set_bounds (limit, OVERRUN, SLACK);
  dp_warmup_limit_set_end (limit, 20 * S);
  show_idle_flows (limit, 10 * S);
  CU_ASSERT_FALSE (dp_warmup_limit_admits (limit, 10 * S));
  for (gint64 now = 10 * S; now < 11 * S; now += MS)
    {
      while (dp_warmup_limit_admits (limit, now))
        {
          dp_warmup_limit_note_syn (limit, now);
          n++;
        }
      CU_ASSERT_TRUE (n <= (guint) (MAX_IN_A_SECOND * (now - 10 * S) / S));
    }
  CU_ASSERT_TRUE (n >= MAX_IN_A_SECOND - 2);
  {
    g_autoptr (DpWarmupLimit) seen = dp_warmup_limit_new (10 * S);

    dp_warmup_limit_set_rate (seen, RATE);
    dp_warmup_limit_set_bounds (seen, OVERRUN, SLACK);
    dp_warmup_limit_set_end (seen, 20 * S);
    dp_warmup_limit_note_server_replaced (seen, FALSE);
    CU_ASSERT_FALSE (dp_warmup_limit_admits (seen, 10 * S));
    dp_warmup_limit_note_server_replaced (seen, TRUE);
    CU_ASSERT_TRUE (dp_warmup_limit_admits (seen, 10 * S));
  }
}

/* A rate of 0, an unknown one, one from a faulty writer, and settings without the bounds
 * change nothing. */
static void
test_no_limit (void)
{
  static const double rates[] = { 0, -5, NAN, INFINITY, -INFINITY, 1e300, 50000 };

  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      g_autoptr (DpWarmupLimit) limit = make_limit (rates[i]);

      for (guint j = 0; j < 40000; j++)
        dp_warmup_limit_note_syn (limit, j);
      CU_ASSERT_FALSE (dp_warmup_limit_is_active (limit, 40000));
      CU_ASSERT_TRUE (dp_warmup_limit_admits (limit, 40000));
      CU_ASSERT_EQUAL (dp_warmup_limit_wait (limit, 9, 40000), 0);
    }
  {
    g_autoptr (DpWarmupLimit) limit = make_limit (RATE);

    CU_ASSERT_TRUE (dp_warmup_limit_is_active (limit, S));
    CU_ASSERT_FALSE (dp_warmup_limit_is_active (limit, WARMUP_S * S));
    dp_warmup_limit_set_bounds (limit, 0, SLACK);
    CU_ASSERT_FALSE (dp_warmup_limit_is_active (limit, S));
  }
}

static DpSegment
make_segment (guint flow, guint8 flags, guint32 seq, guint32 ack, guint length)
{
  DpSegment segment = { .key = { { 0x64400000 + flow, 40000 }, { 0xc6120001, 443 } },
                        .flags = flags,
                        .seq = seq,
                        .ack = ack,
                        .payload_length = (guint16) length };

  segment.hash = dp_flow_key_hash (&segment.key);
  return segment;
}

static const DpHop hop_ = { .class = DP_TRAFFIC_INTERACTIVE,
                            .wait_limit_ms = 100,
                            .deadline_ms = 3000 };

static DpHop
make_hop (guint n_visited)
{
  DpHop hop = hop_;

  hop.service_tag = dp_service_tag (dp_service_id (SERVICE));
  hop.n_visited = (guint8) n_visited;
  return hop;
}

static DpPassthrough *
make_passthrough (guint slots, double rate)
{
  DpPassthrough *passthrough = dp_passthrough_new (SERVICE, "m0", 0);
  const DpPassthroughLimits limits = { slots, 60 * S, OVERRUN, SLACK };

  dp_passthrough_set_limits (passthrough, &limits);
  dp_passthrough_set_serving (passthrough, TRUE);
  dp_passthrough_server_replaced (passthrough, TRUE);
  dp_passthrough_set_warmup_limit (passthrough, rate);
  dp_passthrough_set_warmup_end (passthrough, WARMUP_S * S);
  return passthrough;
}

static DpPassthroughDecision
send_syn (DpPassthrough *passthrough, guint flow, gint64 now)
{
  const DpSegment syn = make_segment (flow, DP_TCP_SYN, 100, 0, 0);
  const DpHop hop = make_hop (DP_PASSTHROUGH_VISITS_MAX - 1);
  const DpPassthroughDecision decision = dp_passthrough_from_peer (passthrough, &syn,
                                                                   &hop, now);

  if (decision.action == DP_PASSTHROUGH_HOLD)
    {
      g_autoptr (GBytes) packet = g_bytes_new ("", 1);

      dp_passthrough_hold_packet (passthrough, &syn, packet);
    }
  return decision;
}

/* Opens the flow and sends a request, which the server answers. */
static void
play_request (DpPassthrough *passthrough, guint flow, guint number, gint64 now)
{
  const DpHop hop = make_hop (0);
  const DpSegment syn_ack = make_segment (flow, DP_TCP_SYN | DP_TCP_ACK, 500, 101, 0);
  const guint32 at = 501 + 1000 * number;
  const DpSegment request = make_segment (flow, DP_TCP_ACK, 101 + 50 * number, at, 50);
  const DpSegment answer = make_segment (flow, DP_TCP_ACK, at, 151 + 50 * number, 1000);

  if (number == 0)
    dp_passthrough_from_server (passthrough, &syn_ack, now);
  for (guint i = 0; i < 2; i++) /* the client retransmits it once */
    CU_ASSERT_EQUAL (dp_passthrough_from_peer (passthrough, &request, &hop, now).action,
                     DP_PASSTHROUGH_TO_SERVER);
  dp_passthrough_from_server (passthrough, &answer, now + 10 * MS);
  CU_ASSERT_EQUAL (
      dp_passthrough_from_peer (passthrough, &request, &hop, now + 11 * MS).action,
      DP_PASSTHROUGH_TO_SERVER);
}

/* A request counts once: not with each retransmission of its SYN or of its data. Further
 * requests on an open flow count, also those that follow an answer at once, and so does
 * a SYN that the server returns. */
static void
test_counted_requests (void)
{
  g_autoptr (DpPassthrough) passthrough = make_passthrough (4, RATE);
  const DpSegment returned = make_segment (2, DP_TCP_SYN, 100, 0, 0);
  const DpHop hop = make_hop (DP_PASSTHROUGH_VISITS_MAX - 1);

  CU_ASSERT_EQUAL (send_syn (passthrough, 1, 0).action, DP_PASSTHROUGH_TO_SERVER);
  CU_ASSERT_EQUAL (send_syn (passthrough, 1, 0).action, DP_PASSTHROUGH_TO_SERVER);
  CU_ASSERT_EQUAL (dp_passthrough_warmup (passthrough, 0).n_recent, 1);
  play_request (passthrough, 1, 0, MS);
  CU_ASSERT_EQUAL (dp_passthrough_warmup (passthrough, 20 * MS).n_recent, 1);
  play_request (passthrough, 1, 1, 30 * MS);
  CU_ASSERT_EQUAL (dp_passthrough_warmup (passthrough, 50 * MS).n_recent, 2);
  dp_passthrough_tick (passthrough, 300 * MS);
  play_request (passthrough, 1, 2, 400 * MS);
  CU_ASSERT_EQUAL (dp_passthrough_warmup (passthrough, 450 * MS).n_recent, 3);
  CU_ASSERT_EQUAL (send_syn (passthrough, 2, 500 * MS).action, DP_PASSTHROUGH_TO_SERVER);
  dp_passthrough_returned (passthrough, &returned, &hop, 501 * MS);
  CU_ASSERT_EQUAL (dp_passthrough_warmup (passthrough, 510 * MS).n_recent, 4);
}

/* A SYN over the limit waits although a slot is free, and is released by the clock alone.
 * The limit ends by the clock when no heartbeat comes. */
static void
test_held_back (void)
{
  g_autoptr (DpPassthrough) passthrough = make_passthrough (100, RATE);
  DpReleasedSyn released;
  guint n_sent = 0;
  gint64 now = 0;
  gint64 due;

  for (; send_syn (passthrough, n_sent, now).action == DP_PASSTHROUGH_TO_SERVER; n_sent++)
    {
      play_request (passthrough, n_sent, 0, now);
      now += 10 * MS;
    }
  CU_ASSERT_TRUE (n_sent > 0 && n_sent <= MAX_IN_A_SECOND);
  CU_ASSERT_EQUAL (dp_passthrough_n_waiting (passthrough), 1);
  CU_ASSERT_EQUAL (dp_passthrough_warmup (passthrough, now).n_held_back, 1);
  CU_ASSERT_EQUAL (dp_passthrough_warmup (passthrough, now).max, MAX_IN_A_SECOND);
  due = now + dp_passthrough_release_wait (passthrough, now);
  CU_ASSERT_TRUE (due > now);
  CU_ASSERT_FALSE (dp_passthrough_next_released (passthrough, &released, due - MS));
  CU_ASSERT_TRUE_FATAL (dp_passthrough_next_released (passthrough, &released, due));
  CU_ASSERT_EQUAL (released.decision.action, DP_PASSTHROUGH_TO_SERVER);
  g_bytes_unref (released.packet);
  CU_ASSERT_EQUAL (dp_passthrough_release_wait (passthrough, due), 0);
  CU_ASSERT_TRUE (dp_passthrough_warmup (passthrough, WARMUP_S * S - 1).active);
  CU_ASSERT_FALSE (dp_passthrough_warmup (passthrough, WARMUP_S * S).active);
}

/* Guards against a cold server that gets no flow since room is kept for further requests
 * on the flows that it had before a crash. */
static void
test_flows_before_a_crash (void)
{
  g_autoptr (DpPassthrough) passthrough = make_passthrough (100, 0);
  gint64 now = 0;

  for (guint i = 0; i < 300; i++, now += 30 * MS)
    {
      CU_ASSERT_EQUAL (send_syn (passthrough, i, now).action, DP_PASSTHROUGH_TO_SERVER);
      play_request (passthrough, i, 0, now);
      if (i % 4 == 0)
        dp_passthrough_tick (passthrough, now);
      if (i >= 10)
        play_request (passthrough, i - 10, 1, now);
    }
  dp_passthrough_set_warmup_limit (passthrough, RATE);
  dp_passthrough_set_warmup_end (passthrough, now + WARMUP_S * S);
  dp_passthrough_server_replaced (passthrough, TRUE);
  now += 1100 * MS;
  dp_passthrough_tick (passthrough, now);
  for (guint i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (send_syn (passthrough, 1000 + i, now).action,
                     DP_PASSTHROUGH_TO_SERVER);
}

#define N_SERVERS 6
#define SLOTS 12
#define PILED_UP 600 /* clients that retry when the servers come back */
#define ARRIVALS_PER_S 150
#define N_CLIENTS (PILED_UP + ARRIVALS_PER_S * WARMUP_S)
#define ATTEMPTS_MAX 3
#define ROUND_TRIP_MS 6
#define WORK_MS 30
#define PAUSE_MS 400
#define BACK_AT (100 * S)

typedef enum
{
  EVENT_ATTEMPT,
  EVENT_RETRANSMISSION, /* number: age of the SYN in ms */
  EVENT_REQUEST,        /* number: of the request on the flow */
  EVENT_ANSWER,
} EventType;

typedef struct
{
  EventType type;
  guint client;
  guint attempt;
  guint number;
} Event;

typedef struct
{
  guint n_attempts;
  guint n_requests; /* that it makes on its flow */
  guint first;      /* server that its balancer chooses */
  int server;       /* that has accepted its flow, -1: none */
  gboolean open;
  gboolean reset;
} Client;

/* All servers of the service, their companions and the clients. */
typedef struct
{
  DpPassthrough *companions[N_SERVERS];
  GArray *seen[N_SERVERS]; /* gint64, when the server got a request */
  Client clients[N_CLIENTS];
  GArray *events[(WARMUP_S + 3) * 1000]; /* Event, by ms */
  gint64 now;
  guint n_answered; /* clients whose first request was answered */
} Replay;

static void
add_event (Replay *replay, guint delay_ms, EventType type, guint client, guint number)
{
  const guint at = (guint) ((replay->now - BACK_AT) / MS) + delay_ms;
  const Event event = { type, client, replay->clients[client].n_attempts, number };

  if (at >= G_N_ELEMENTS (replay->events))
    return;
  if (replay->events[at] == NULL)
    replay->events[at] = g_array_new (FALSE, FALSE, sizeof (Event));
  g_array_append_val (replay->events[at], event);
}

static guint
flow_of (const Replay *replay, guint client)
{
  return client * (ATTEMPTS_MAX + 1) + replay->clients[client].n_attempts;
}

/* Carries out a decision about the SYN of the client's present attempt. */
static void
carry_out (Replay *replay,
           guint server,
           guint number,
           const DpSegment *syn,
           DpPassthroughDecision decision)
{
  Client *client = &replay->clients[number];
  const DpSegment syn_ack = make_segment (flow_of (replay, number),
                                          DP_TCP_SYN | DP_TCP_ACK, 500, 101, 0);

  while (decision.action == DP_PASSTHROUGH_TO_MEMBER)
    {
      server = decision.member.ip - 1;
      decision = dp_passthrough_from_peer (replay->companions[server], syn, &decision.hop,
                                           replay->now);
    }
  if (decision.action == DP_PASSTHROUGH_HOLD)
    {
      g_autoptr (GBytes) packet = g_bytes_new ("", 1);

      dp_passthrough_hold_packet (replay->companions[server], syn, packet);
    }
  if (decision.action == DP_PASSTHROUGH_RESET && !client->open)
    {
      client->reset = TRUE;
      if (client->n_attempts < ATTEMPTS_MAX)
        add_event (replay, ROUND_TRIP_MS + 3, EVENT_ATTEMPT, number, 0);
    }
  if (decision.action != DP_PASSTHROUGH_TO_SERVER)
    return;
  if (client->server != (int) server)
    g_array_append_val (replay->seen[server], replay->now);
  client->server = (int) server;
  dp_passthrough_from_server (replay->companions[server], &syn_ack, replay->now);
  if (!client->open)
    add_event (replay, ROUND_TRIP_MS, EVENT_REQUEST, number, 0);
  client->open = TRUE;
}

static void
play_syn (Replay *replay, guint number, guint age_ms)
{
  Client *client = &replay->clients[number];
  DpSegment syn = make_segment (flow_of (replay, number), DP_TCP_SYN, 100, 0, 0);
  const DpHop hop = make_hop (0);

  syn.syn_age_ms = (guint16) age_ms;
  carry_out (replay, client->first, number, &syn,
             dp_passthrough_from_peer (replay->companions[client->first], &syn, &hop,
                                       replay->now));
}

static void
play_event (Replay *replay, const Event *event, GRand *rand)
{
  Client *client = &replay->clients[event->client];
  DpPassthrough *companion = client->server < 0 ? NULL
                                                : replay->companions[client->server];
  const guint flow = flow_of (replay, event->client);
  const gboolean last = event->number + 1 >= client->n_requests;
  const guint32 ack = 501 + 1000 * event->number;
  const guint32 seq = 101 + 50 * event->number;
  const DpSegment request = make_segment (flow, DP_TCP_ACK, seq, ack, 50);
  const DpSegment answer = make_segment (
      flow, (guint8) (DP_TCP_ACK | (last ? DP_TCP_FIN : 0)), ack, seq + 50, 1000);
  const DpSegment fin = make_segment (flow, DP_TCP_ACK | DP_TCP_FIN, seq + 50, ack + 1000,
                                      0);
  const DpHop hop = make_hop (0);

  switch (event->type)
    {
    case EVENT_ATTEMPT:
      client->n_attempts++;
      client->reset = client->open = FALSE;
      client->server = -1;
      client->first = (guint) g_rand_int_range (rand, 0, N_SERVERS);
      add_event (replay, 200, EVENT_RETRANSMISSION, event->client, 200);
      add_event (replay, 600, EVENT_RETRANSMISSION, event->client, 600);
      play_syn (replay, event->client, 0);
      break;
    case EVENT_RETRANSMISSION:
      if (event->attempt == client->n_attempts && !client->open && !client->reset)
        play_syn (replay, event->client, event->number);
      break;
    case EVENT_REQUEST:
      CU_ASSERT_PTR_NOT_NULL_FATAL (companion);
      if (event->number > 0)
        g_array_append_val (replay->seen[client->server], replay->now);
      dp_passthrough_from_peer (companion, &request, &hop, replay->now);
      add_event (replay, WORK_MS, EVENT_ANSWER, event->client, event->number);
      break;
    case EVENT_ANSWER:
      replay->n_answered += event->number == 0 ? 1 : 0;
      dp_passthrough_from_server (companion, &answer, replay->now);
      if (last)
        dp_passthrough_from_peer (companion, &fin, &hop, replay->now);
      else
        add_event (replay, PAUSE_MS, EVENT_REQUEST, event->client, event->number + 1);
      break;
    }
}

/* What the companions do by themselves. */
static void
play_companions (Replay *replay)
{
  for (guint i = 0; i < N_SERVERS; i++)
    {
      DpOwnerRegistration registration;
      DpReleasedSyn released;

      if ((replay->now / MS) % 100 == i)
        dp_passthrough_tick (replay->companions[i], replay->now);
      while (dp_passthrough_next_released (replay->companions[i], &released, replay->now))
        {
          const guint flow = released.key.client.ip - 0x64400000;
          const guint number = flow / (ATTEMPTS_MAX + 1);
          DpSegment syn = make_segment (flow, DP_TCP_SYN, 100, 0, 0);

          g_bytes_unref (released.packet);
          if (flow == flow_of (replay, number))
            carry_out (replay, i, number, &syn, released.decision);
        }
      while (dp_passthrough_next_registration (replay->companions[i], &registration))
        dp_passthrough_register_owner (replay->companions[registration.member.ip - 1],
                                       &registration.owner, replay->now);
    }
}

static void
set_up_companions (Replay *replay)
{
  DpMember members[N_SERVERS] = { 0 };
  g_autoptr (DpMemberView) view = NULL;
  static char names[N_SERVERS][4];

  for (guint i = 0; i < N_SERVERS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "m%u", i);
      members[i] = (DpMember){ .name = names[i],
                               .zone = (char *) "riga-a",
                               .address = { i + 1, 7000 },
                               .slots = SLOTS,
                               .state = DP_MEMBER_ACTIVE };
    }
  view = dp_member_view_new (SERVICE, 1, members, N_SERVERS);
  for (guint i = 0; i < N_SERVERS; i++)
    {
      const DpPassthroughLimits limits = { SLOTS, 60 * S, OVERRUN, SLACK };
      DpPassthrough *companion = dp_passthrough_new (SERVICE, names[i], 0);

      dp_passthrough_set_address (companion, &members[i].address);
      dp_passthrough_set_limits (companion, &limits);
      dp_passthrough_set_view (companion, view, 0);
      dp_passthrough_set_serving (companion, TRUE);
      dp_passthrough_server_replaced (companion, TRUE);
      dp_passthrough_set_warmup_limit (companion, RATE);
      dp_passthrough_set_warmup_end (companion, BACK_AT + WARMUP_S * S);
      replay->companions[i] = companion;
      replay->seen[i] = g_array_new (FALSE, FALSE, sizeof (gint64));
    }
}

/* Returns the clients whose first request was answered while the servers were cold.
 * most: set to the highest number of requests that a server has got in a second. */
static guint
replay_cold_service (guint32 seed, guint n_requests, guint *most)
{
  g_autofree Replay *replay = g_new0 (Replay, 1);
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);

  set_up_companions (replay);
  replay->now = BACK_AT;
  for (guint i = 0; i < N_CLIENTS; i++)
    {
      const guint at = i < PILED_UP ? (guint) g_rand_int_range (rand, 0, 50)
                                    : (guint) g_rand_int_range (rand, 0, WARMUP_S * 1000);

      replay->clients[i].server = -1;
      replay->clients[i].n_requests = n_requests;
      add_event (replay, at, EVENT_ATTEMPT, i, 0);
    }
  for (guint ms = 0; ms < WARMUP_S * 1000; ms++)
    {
      replay->now = BACK_AT + ms * MS;
      for (guint i = 0; replay->events[ms] != NULL && i < replay->events[ms]->len; i++)
        {
          const Event event = g_array_index (replay->events[ms], Event, i);

          play_event (replay, &event, rand);
        }
      play_companions (replay);
    }
  *most = 0;
  for (guint i = 0; i < N_SERVERS; i++)
    {
      *most = MAX (*most, most_in_a_second (replay->seen[i]));
      g_array_unref (replay->seen[i]);
      dp_passthrough_free (replay->companions[i]);
    }
  for (guint ms = 0; ms < G_N_ELEMENTS (replay->events); ms++)
    if (replay->events[ms] != NULL)
      g_array_unref (replay->events[ms]);
  return replay->n_answered;
}

/* No server gets more than its bound in any second, and the servers are not left idle:
 * together they answer as many requests as their declared rates add up to. */
static void
test_all_cold (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      guint most;
      const guint n = replay_cold_service (seed, 1, &most);

      CU_ASSERT_TRUE (most <= MAX_IN_A_SECOND);
      CU_ASSERT_TRUE (n >= (guint) (N_SERVERS * RATE * WARMUP_S));
    }
}

/* The same with four requests on each flow, 0.4 s apart: the further ones can't be held
 * back, so that room has to be kept for them. */
static void
test_all_cold_long_flows (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    {
      guint most;
      const guint n = replay_cold_service (seed, 4, &most);

      CU_ASSERT_TRUE (most <= MAX_IN_A_SECOND);
      CU_ASSERT_TRUE (n * 4 >= (guint) (N_SERVERS * RATE * WARMUP_S));
    }
}

static const DpTestCase cases_[] = {
  { "random arrivals keep the limit", test_random_arrivals },
  { "the limit is used", test_limit_is_used },
  { "the expected wait", test_expected_wait },
  { "the allowance grows after a restart of the companion", test_unknown_past },
  { "no limit is declared", test_no_limit },
  { "what counts as a request", test_counted_requests },
  { "a SYN over the limit waits", test_held_back },
  { "flows before a crash take no room", test_flows_before_a_crash },
  { "all servers come back cold", test_all_cold },
  { "all servers come back cold, flows with further requests", test_all_cold_long_flows },
};

DP_TEST_MAIN ("warmuplimit", cases_)
