/* Guards against counts of a companion's flow table that drift from its flows: slots that
 * stay busy, requests without a slot that keep new flows out of an idle server, and
 * requests in work that no flow has. */
#include "private/passthroughflows.h"
#include "protected/clock.h"
#include "runner.h"

#define SERVICE "darbnica"
#define MS DP_US_PER_MS
#define S DP_US_PER_S
#define N_CLIENTS 10
#define N_SEEDS 60
#define N_STEPS 2000
/* Longer than any time for which a flow is remembered. */
#define FLOW_TTL_US (60 * S)

/* A connection as its two ends see it. */
typedef struct
{
  guint32 syn_seq;
  guint32 client_seq;  /* of the client's next data */
  guint32 server_seq;  /* of the server's next data */
  guint16 client_last; /* bytes of the client's last data */
  guint16 server_last; /* bytes of the server's last data */
  guint8 class;
} Client;

typedef struct
{
  DpPassthrough *passthrough;
  GRand *random;
  Client clients[N_CLIENTS];
  gint64 now;
  gboolean learned;
} Model;

static void
check_counts (DpPassthrough *passthrough)
{
  DpPassthroughFlows *flows = dp_passthrough_flows (passthrough);
  guint n_in_flight = 0;
  guint n_unscheduled = 0;
  guint n_slots = 0;
  guint n_works = 0;
  guint n_waiting = 0;
  DpPassthroughFlow *flow;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, flows->by_key);
  while ((flow = dp_passthrough_flows_next (&iter)) != NULL)
    {
      n_in_flight += flow->in_flight ? 1 : 0;
      n_unscheduled += flow->unscheduled ? 1 : 0;
      n_slots += flow->has_slot ? 1 : 0;
      n_works += flow->work != DP_HANDLE_NONE ? 1 : 0;
      n_waiting += flow->waiting_row != DP_HANDLE_NONE ? 1 : 0;
      CU_ASSERT_TRUE (!flow->has_slot || flow->in_flight);
      CU_ASSERT_TRUE (!flow->unscheduled || (flow->in_flight && !flow->has_slot));
      CU_ASSERT_TRUE (!flow->answer_ended || !flow->in_flight);
      CU_ASSERT_TRUE (flow->work == DP_HANDLE_NONE || flow->in_flight);
      CU_ASSERT_EQUAL (flow->waiting_row != DP_HANDLE_NONE,
                       flow->state == DP_PASSTHROUGH_FLOW_WAITING);
    }
  CU_ASSERT_EQUAL (flows->n_in_flight, n_in_flight);
  CU_ASSERT_EQUAL (dp_handle_table_count (flows->in_flight_flows), n_in_flight);
  CU_ASSERT_EQUAL (flows->n_unscheduled, n_unscheduled);
  CU_ASSERT_EQUAL (dp_slots_busy (flows->slots), n_slots);
  CU_ASSERT_EQUAL (dp_passthrough_flows_n_waiting (flows), n_waiting);
  if (flows->concurrency == NULL)
    return;
  CU_ASSERT_EQUAL (dp_handle_table_count (flows->works), n_works);
  CU_ASSERT_EQUAL (dp_concurrency_limit_in_work (flows->concurrency), n_works);
}

static DpPassthrough *
make_passthrough (gboolean learned, gint64 now)
{
  DpPassthrough *p = dp_passthrough_new (SERVICE, "a-1", now);
  const DpPassthroughLimits limits = { 2, FLOW_TTL_US, 1.5, 5 };

  dp_passthrough_set_limits (p, &limits);
  if (learned)
    dp_passthrough_learn_limit (p, now);
  dp_passthrough_set_serving (p, TRUE);
  return p;
}

static DpHop
make_hop (guint8 class)
{
  return (DpHop){ .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                  .class = class,
                  .wait_limit_ms = 75,
                  .deadline_ms = 2500 };
}

static DpSegment
make_segment (guint client, guint8 flags, guint32 seq, guint32 ack, guint16 payload)
{
  DpSegment segment = { .key = { { 0x64400000 + client, 40001 }, { 0xc6120001, 443 } },
                        .flags = flags,
                        .seq = seq,
                        .ack = ack,
                        .payload_length = payload };

  segment.hash = dp_flow_key_hash (&segment.key);
  return segment;
}

static DpPassthroughDecision
send_client (DpPassthrough *p, const DpSegment *segment, guint8 class, gint64 now)
{
  const DpHop hop = make_hop (class);

  return dp_passthrough_from_peer (p, segment, &hop, now);
}

/* Sends a packet of a random client. */
static void
step_client (Model *model)
{
  const guint i = (guint) g_rand_int_range (model->random, 0, N_CLIENTS);
  Client *c = &model->clients[i];
  DpSegment segment = make_segment (i, DP_TCP_ACK, c->client_seq, c->server_seq, 0);
  const DpHop hop = make_hop (c->class);

  switch (g_rand_int_range (model->random, 0, 12))
    {
    case 0: /* a new flow from the same port */
      c->syn_seq = g_rand_int (model->random);
      c->client_seq = c->syn_seq + 1;
      c->server_seq = g_rand_int (model->random);
      c->class = (guint8) g_rand_int_range (model->random, 0, DP_N_TRAFFIC_CLASSES);
      segment = make_segment (i, DP_TCP_SYN, c->syn_seq, 0, 0);
      break;
    case 1: /* a retransmission of the SYN */
      segment = make_segment (i, DP_TCP_SYN, c->syn_seq, 0, 0);
      segment.syn_age_ms = g_rand_boolean (model->random) ? 200 : 600;
      break;
    case 2:
      segment.flags |= g_rand_boolean (model->random) ? DP_TCP_FIN : DP_TCP_RST;
      break;
    case 3: /* the acknowledgement of the SYN-ACK, or of data */
      break;
    case 4: /* a retransmission */
      segment.seq -= c->client_last;
      segment.payload_length = c->client_last;
      break;
    case 5: /* the server returns a packet that it has no flow for */
      segment.payload_length = 100;
      if (g_rand_boolean (model->random))
        segment = make_segment (i, DP_TCP_SYN, c->syn_seq, 0, 0);
      dp_passthrough_returned (model->passthrough, &segment, &hop, model->now);
      return;
    default: /* a request, or more of it */
      c->client_last = (guint16) g_rand_int_range (model->random, 1, 1200);
      segment.payload_length = c->client_last;
      c->client_seq += c->client_last;
    }
  dp_passthrough_from_peer (model->passthrough, &segment, &hop, model->now);
}

/* Sends a packet of the server on a random flow. */
static void
step_server (Model *model)
{
  const guint i = (guint) g_rand_int_range (model->random, 0, N_CLIENTS);
  Client *c = &model->clients[i];
  DpSegment segment = make_segment (i, DP_TCP_ACK, c->server_seq, c->client_seq, 0);

  switch (g_rand_int_range (model->random, 0, 10))
    {
    case 0:
    case 1:
    case 2:
      segment.flags |= DP_TCP_SYN;
      segment.seq--;
      segment.ack = c->syn_seq + 1;
      break;
    case 3:
      segment.flags |= g_rand_boolean (model->random) ? DP_TCP_FIN : DP_TCP_RST;
      break;
    case 4: /* an acknowledgement only */
      break;
    case 5: /* a retransmission */
      segment.seq -= c->server_last;
      segment.payload_length = c->server_last;
      break;
    default:
      segment.partial = g_rand_boolean (model->random);
      c->server_last = segment.partial ? 300 : 1200;
      segment.payload_length = c->server_last;
      c->server_seq += c->server_last;
    }
  dp_passthrough_from_server (model->passthrough, &segment, model->now);
}

static void
step_settings (Model *model)
{
  const DpPassthroughLimits limits = { (guint) g_rand_int_range (model->random, 1, 6),
                                       FLOW_TTL_US, 1.5, 5 };

  switch (g_rand_int_range (model->random, 0, 5))
    {
    case 0:
      dp_passthrough_server_replaced (model->passthrough, g_rand_boolean (model->random));
      break;
    case 1: /* the companion restarts beside its server */
      dp_passthrough_free (model->passthrough);
      model->passthrough = make_passthrough (model->learned, model->now);
      break;
    case 2:
      dp_passthrough_set_limits (model->passthrough, &limits);
      break;
    case 3:
      dp_passthrough_set_warmup_limit (model->passthrough, 10);
      dp_passthrough_set_warmup_end (model->passthrough, model->now + S);
      break;
    default:
      dp_passthrough_set_serving (model->passthrough,
                                  g_rand_int_range (model->random, 0, 4) > 0);
    }
}

static void
release (Model *model)
{
  DpReleasedSyn released;

  while (dp_passthrough_next_released (model->passthrough, &released, model->now))
    g_clear_pointer (&released.packet, g_bytes_unref);
}

static void
play (guint32 seed, gboolean learned)
{
  Model model = { .random = g_rand_new_with_seed (seed), .now = S, .learned = learned };
  DpPassthroughFlows *flows;

  model.passthrough = make_passthrough (learned, model.now);
  for (guint i = 0; i < N_STEPS; i++)
    {
      const gint32 kind = g_rand_int_range (model.random, 0, 100);

      model.now += g_rand_int_range (model.random, 0, 20 * MS);
      if (kind < 45)
        step_client (&model);
      else if (kind < 85)
        step_server (&model);
      else if (kind < 97)
        dp_passthrough_tick (model.passthrough, model.now);
      else if (kind < 98)
        model.now += g_rand_int_range (model.random, 0, 3 * S);
      else
        step_settings (&model);
      release (&model);
      check_counts (model.passthrough);
    }
  /* Without packets, all flows end. */
  dp_passthrough_set_serving (model.passthrough, FALSE);
  for (guint i = 0; i < 10; i++)
    {
      model.now += FLOW_TTL_US / 2;
      dp_passthrough_tick (model.passthrough, model.now);
      release (&model);
    }
  check_counts (model.passthrough);
  flows = dp_passthrough_flows (model.passthrough);
  CU_ASSERT_EQUAL (dp_passthrough_flows_count (flows), 0);
  CU_ASSERT_EQUAL (flows->n_in_flight, 0);
  CU_ASSERT_EQUAL (flows->n_unscheduled, 0);
  CU_ASSERT_EQUAL (dp_slots_busy (flows->slots), 0);
  dp_passthrough_free (model.passthrough);
  g_rand_free (model.random);
}

static void
test_random (void)
{
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    play (seed, seed % 2 == 0);
}

/* Opens a flow whose client has sent 200 bytes of a request. */
static void
open_flow (DpPassthrough *p, guint client, gint64 now)
{
  const DpSegment syn = make_segment (client, DP_TCP_SYN, 100, 0, 0);
  const DpSegment syn_ack = make_segment (client, DP_TCP_SYN | DP_TCP_ACK, 500, 101, 0);
  const DpSegment request = make_segment (client, DP_TCP_ACK, 101, 501, 200);

  send_client (p, &syn, DP_TRAFFIC_INTERACTIVE, now);
  dp_passthrough_from_server (p, &syn_ack, now);
  send_client (p, &request, DP_TRAFFIC_INTERACTIVE, now);
}

/* A client whose answer is lost retransmits its request. The server has answered it, and
 * sends no more than it has: the flow must not take a slot for a request that doesn't
 * exist, nor must the server fail it. */
static void
test_retransmission_after_the_answer (void)
{
  g_autoptr (DpPassthrough) p = make_passthrough (FALSE, 0);
  gint64 now = S;

  for (guint i = 0; i < 40; i++, now += 2500 * MS)
    {
      DpSegment answer = make_segment (i, DP_TCP_ACK, 501, 301, 800);
      const DpSegment again = make_segment (i, DP_TCP_ACK, 101, 501, 200);

      open_flow (p, i, now);
      answer.partial = TRUE;
      dp_passthrough_from_server (p, &answer, now + 10 * MS);
      CU_ASSERT_EQUAL (dp_passthrough_in_flight (p), 0);
      send_client (p, &again, DP_TRAFFIC_INTERACTIVE, now + 200 * MS);
      CU_ASSERT_EQUAL (dp_passthrough_in_flight (p), 0);
      dp_passthrough_from_server (p, &answer, now + 210 * MS);
      for (guint j = 3; j < 25; j++)
        dp_passthrough_tick (p, now + j * 100 * MS);
      CU_ASSERT_EQUAL (dp_passthrough_in_flight (p), 0);
      CU_ASSERT_EQUAL (dp_passthrough_server_health (p), DP_BREAKER_CLOSED);
    }
}

/* On a flow that was open before a restart and whose client sent before the server did,
 * every request after the first has to count as work. For half of the sequence numbers
 * none did, so that a learnt limit had no samples from the flow. */
static void
test_work_on_flows_that_were_open_before_a_restart (void)
{
  static const guint32 seqs[] = { 501, 0x70000001, 0x80000001, 0xf0000001 };

  for (guint i = 0; i < G_N_ELEMENTS (seqs); i++)
    {
      g_autoptr (DpPassthrough) p = make_passthrough (TRUE, 0);
      const DpSegment ack = make_segment (1, DP_TCP_ACK, seqs[i], 301, 0);

      /* The server acknowledges a request that came before the restart. */
      dp_passthrough_from_server (p, &ack, 0);
      for (guint j = 0; j < 4; j++)
        {
          const DpSegment request = make_segment (1, DP_TCP_ACK, 301 + 200 * j,
                                                  seqs[i] + 800 * j, 200);
          DpSegment answer = make_segment (1, DP_TCP_ACK, seqs[i] + 800 * j,
                                           501 + 200 * j, 800);

          answer.partial = TRUE;
          send_client (p, &request, DP_TRAFFIC_INTERACTIVE, (10 + 50 * j) * MS);
          CU_ASSERT_EQUAL (dp_concurrency_limit_in_work (dp_passthrough_concurrency (p)),
                           1);
          dp_passthrough_from_server (p, &answer, (30 + 50 * j) * MS);
          CU_ASSERT_EQUAL (dp_concurrency_limit_in_work (dp_passthrough_concurrency (p)),
                           0);
        }
    }
}

/* A flow without a slot stays in flight for 100 ms after an answer that ends with a full
 * packet. A further request meanwhile takes room from new flows like the one before. */
static void
test_further_request_without_a_slot (void)
{
  g_autoptr (DpPassthrough) p = make_passthrough (FALSE, 0);
  const DpPassthroughFlows *flows = dp_passthrough_flows (p);
  const DpSegment ack = make_segment (9, DP_TCP_ACK, 501, 101, 0);
  const DpSegment answer = make_segment (9, DP_TCP_ACK, 501, 301, 1200);

  dp_passthrough_from_server (p, &ack, 0);
  for (guint i = 0; i < 4; i++)
    open_flow (p, i, MS);
  CU_ASSERT_EQUAL (dp_slots_busy (flows->slots), 4);
  for (guint j = 0; j < 2; j++)
    {
      const DpSegment request = make_segment (9, DP_TCP_ACK, 101 + 200 * j,
                                              501 + 1200 * j, 200);

      send_client (p, &request, DP_TRAFFIC_INTERACTIVE, (10 + 40 * j) * MS);
      CU_ASSERT_EQUAL (flows->n_unscheduled, 1);
      if (j > 0)
        break;
      dp_passthrough_from_server (p, &answer, 30 * MS);
      CU_ASSERT_EQUAL (flows->n_unscheduled, 0);
      /* The client's retransmission is no further request. */
      send_client (p, &request, DP_TRAFFIC_INTERACTIVE, 35 * MS);
      CU_ASSERT_EQUAL (flows->n_unscheduled, 0);
    }
  dp_passthrough_tick (p, 3 * S);
  CU_ASSERT_EQUAL (flows->n_unscheduled, 0);
  check_counts (p);
}

/* The class of a flow whose SYN came before a restart is known from its client's packets
 * only. Service times of bulk requests must not appear as those of urgent ones, which
 * would make the server look slow beside others. */
static void
test_class_of_flows_that_were_open_before_a_restart (void)
{
  g_autoptr (DpPassthrough) p = make_passthrough (TRUE, 0);
  const DpConcurrencyLimit *limit = dp_passthrough_concurrency (p);
  const DpSegment ack = make_segment (1, DP_TCP_ACK, 501, 101, 0);

  dp_passthrough_from_server (p, &ack, 0);
  for (guint j = 0; j < 20; j++)
    {
      const DpSegment request = make_segment (1, DP_TCP_ACK, 101 + 200 * j, 501 + 800 * j,
                                              200);
      DpSegment answer = make_segment (1, DP_TCP_ACK, 501 + 800 * j, 301 + 200 * j, 800);

      answer.partial = TRUE;
      send_client (p, &request, DP_TRAFFIC_BULK, (10 + 50 * j) * MS);
      dp_passthrough_from_server (p, &answer, (30 + 50 * j) * MS);
    }
  CU_ASSERT_EQUAL (dp_concurrency_limit_service_time (limit, DP_TRAFFIC_URGENT), 0);
  CU_ASSERT_NOT_EQUAL (dp_concurrency_limit_service_time (limit, DP_TRAFFIC_BULK), 0);
}

/* A flow that loses its slot during a slow handshake has been admitted. Its first request
 * must not keep new flows out, or decisions about flows of one request each change. */
static void
test_first_request_after_a_slow_handshake (void)
{
  g_autoptr (DpPassthrough) p = make_passthrough (FALSE, 0);
  const DpPassthroughFlows *flows = dp_passthrough_flows (p);
  const DpSegment syn = make_segment (9, DP_TCP_SYN, 100, 0, 0);
  const DpSegment syn_ack = make_segment (9, DP_TCP_SYN | DP_TCP_ACK, 500, 101, 0);
  const DpSegment request = make_segment (9, DP_TCP_ACK, 101, 501, 200);

  send_client (p, &syn, DP_TRAFFIC_INTERACTIVE, 0);
  dp_passthrough_from_server (p, &syn_ack, MS);
  dp_passthrough_tick (p, 400 * MS);
  CU_ASSERT_EQUAL (dp_passthrough_in_flight (p), 0);
  for (guint i = 0; i < 4; i++)
    open_flow (p, i, 410 * MS);
  CU_ASSERT_EQUAL (dp_slots_busy (flows->slots), 4);
  send_client (p, &request, DP_TRAFFIC_INTERACTIVE, 420 * MS);
  CU_ASSERT_EQUAL (dp_passthrough_in_flight (p), 5);
  CU_ASSERT_EQUAL (flows->n_unscheduled, 0);
}

/* Requests that follow each other within 100 ms keep their flow in flight. Every 2 s, one
 * of them was taken for one that had timed out while the server worked on it. */
static void
test_requests_in_close_succession (void)
{
  g_autoptr (DpPassthrough) p = make_passthrough (TRUE, 0);
  const DpConcurrencyLimit *limit = dp_passthrough_concurrency (p);

  open_flow (p, 1, S);
  for (guint j = 0; j < 40; j++)
    {
      const gint64 now = S + (10 + 100 * j) * MS;
      const DpSegment answer = make_segment (1, DP_TCP_ACK, 501 + 1200 * j, 301 + 200 * j,
                                             1200);
      const DpSegment request = make_segment (1, DP_TCP_ACK, 301 + 200 * j,
                                              1701 + 1200 * j, 200);

      dp_passthrough_from_server (p, &answer, now);
      send_client (p, &request, DP_TRAFFIC_INTERACTIVE, now + 50 * MS);
      dp_passthrough_tick (p, now + 60 * MS);
      CU_ASSERT_EQUAL (dp_passthrough_in_flight (p), 1);
      CU_ASSERT_EQUAL (dp_concurrency_limit_in_work (limit), 1);
    }
  check_counts (p);
}

static const DpTestCase cases_[] = {
  { "the counts agree with the flows in random sequences", test_random },
  { "a retransmission after the answer is no request",
    test_retransmission_after_the_answer },
  { "requests count as work on flows that were open before a restart",
    test_work_on_flows_that_were_open_before_a_restart },
  { "a further request without a slot takes room again",
    test_further_request_without_a_slot },
  { "requests have their class on flows that were open before a restart",
    test_class_of_flows_that_were_open_before_a_restart },
  { "a first request after a slow handshake takes no room",
    test_first_request_after_a_slow_handshake },
  { "requests in close succession don't time out as one",
    test_requests_in_close_succession },
};

DP_TEST_MAIN ("passthroughflows", cases_)
