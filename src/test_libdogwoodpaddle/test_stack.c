/* Guards against two companions that use the same sequence numbers, against resets or
 * crashes caused by stray packets, and against late packets of a closed connection that
 * are not answered. */
#include <string.h>
#include <unistd.h>

#include "packets.h"
#include "runner.h"
#include "stackfixture.h"

typedef struct
{
  DpTestClock clock;
  DpStack *stack;
  guint n_packets;
  DpSegment last;
  DpConn *accepted;
} Bench;

static const DpAddress service_ = { .ip = 0x0a4d0001, .port = 80 };
static const DpAddress client_ = { .ip = 0x0a000009, .port = 40000 };

static void
output (const guint8 *packet, gsize length, const DpSegment *segment, gpointer user_data)
{
  Bench *bench = user_data;

  bench->n_packets++;
  bench->last = *segment;
}

static void
accepted (DpConn *conn, gpointer user_data)
{
  ((Bench *) user_data)->accepted = conn;
}

static const DpStackListener listener_ = { .output = output, .accepted = accepted };

static void
bench_init (Bench *bench)
{
  static const DpAddress any = { .ip = 0, .port = 80 };

  memset (bench, 0, sizeof *bench);
  dp_test_clock_init (&bench->clock, g_get_monotonic_time ());
  bench->stack = dp_stack_new (&bench->clock.base, &listener_, bench);
  CU_ASSERT_TRUE_FATAL (dp_stack_listen (bench->stack, &any, NULL));
}

/* Passes a segment without payload to the stack. */
static void
inject (Bench *bench, guint32 source, guint8 flags, guint32 seq, guint32 ack)
{
  DpFlowKey key = { .client = client_, .service = service_ };
  guint8 packet[DP_PACKET_MAX];
  DpSegment segment;
  gsize length;

  key.client.ip = source;
  length = dp_test_packet (packet, &key, flags, seq, ack, NULL, 0);
  CU_ASSERT_TRUE_FATAL (dp_segment_parse (packet, length, &segment, NULL));
  dp_stack_input (bench->stack, packet, length, &segment);
}

/* Completes a handshake; returns the stack's initial sequence number. */
static guint32
open_conn (Bench *bench)
{
  guint32 initial;

  inject (bench, client_.ip, DP_TCP_SYN, 1000, 0);
  CU_ASSERT_EQUAL (bench->last.flags, DP_TCP_SYN | DP_TCP_ACK);
  CU_ASSERT_EQUAL (bench->last.ack, 1001);
  initial = bench->last.seq;
  inject (bench, client_.ip, DP_TCP_ACK, 1001, initial + 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bench->accepted);
  return initial;
}

static void
test_sequence (void)
{
  guint32 numbers[8];

  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      Bench bench;
      DpAddress address;

      bench_init (&bench);
      numbers[i] = open_conn (&bench);
      address = dp_conn_local (bench.accepted);
      CU_ASSERT_TRUE (dp_address_equal (&address, &service_));
      address = dp_conn_remote (bench.accepted);
      CU_ASSERT_TRUE (dp_address_equal (&address, &client_));
      CU_ASSERT_EQUAL (dp_conn_state (bench.accepted), DP_CONN_OPEN);
      dp_conn_abort (bench.accepted);
      CU_ASSERT_EQUAL (bench.last.flags & DP_TCP_RST, DP_TCP_RST);
      CU_ASSERT_EQUAL (bench.last.seq, numbers[i] + 1);
      dp_stack_free (bench.stack);
    }
  /* Without the offset, lwIP counts up from the same number in each process. */
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      for (guint j = i + 1; j < G_N_ELEMENTS (numbers); j++)
        CU_ASSERT_TRUE (MIN (numbers[i] - numbers[j], numbers[j] - numbers[i]) > 1000);
    }
}

static void
test_stray (void)
{
  static const guint32 sources[] = { 0x0a4d0001, 0x7f000001, 0xf0000001, 0 };
  Bench bench;

  bench_init (&bench);
  for (guint i = 0; i < G_N_ELEMENTS (sources); i++)
    inject (&bench, sources[i], DP_TCP_SYN, 1000, 0);
  CU_ASSERT_EQUAL (bench.n_packets, 0);
  open_conn (&bench);
  dp_conn_abort (bench.accepted);
  dp_stack_free (bench.stack);
}

static void
test_forget (void)
{
  Bench bench;

  bench_init (&bench);
  inject (&bench, client_.ip, DP_TCP_SYN, 1000, 0);
  CU_ASSERT_EQUAL (bench.n_packets, 1);
  CU_ASSERT_TRUE (dp_stack_discard (bench.stack, &service_, &client_));
  CU_ASSERT_FALSE (dp_stack_discard (bench.stack, &service_, &client_));
  for (guint i = 0; i < 100; i++)
    {
      dp_test_clock_advance (&bench.clock, DP_US_PER_S);
      dp_stack_run_timers (bench.stack);
    }
  CU_ASSERT_EQUAL (bench.n_packets, 1);
  dp_stack_free (bench.stack);
}

static void
test_late_packet (void)
{
  Bench bench;
  guint32 initial;
  guint before;

  bench_init (&bench);
  initial = open_conn (&bench);
  dp_conn_shutdown (bench.accepted);
  CU_ASSERT_EQUAL (bench.last.flags & DP_TCP_FIN, DP_TCP_FIN);
  inject (&bench, client_.ip, DP_TCP_FIN | DP_TCP_ACK, 1001, initial + 1);
  CU_ASSERT_EQUAL (dp_conn_state (bench.accepted), DP_CONN_OPEN);
  inject (&bench, client_.ip, DP_TCP_ACK, 1002, initial + 2);
  CU_ASSERT_EQUAL (dp_conn_state (bench.accepted), DP_CONN_CLOSED);
  dp_conn_free (bench.accepted);

  before = bench.n_packets;
  inject (&bench, client_.ip, DP_TCP_FIN | DP_TCP_ACK, 1001, initial + 2);
  CU_ASSERT_EQUAL (bench.n_packets, before + 1);
  CU_ASSERT_EQUAL (bench.last.flags, DP_TCP_ACK);
  CU_ASSERT_EQUAL (bench.last.seq, initial + 2);
  CU_ASSERT_EQUAL (bench.last.ack, 1002);
  dp_stack_free (bench.stack);
}

/* A client that stops answering, for example behind a firewall that has dropped its state
 * of the connection, is detected even if no data is in flight. Others are kept. */
static void
test_keepalive (void)
{
  for (guint answers = 0; answers < 2; answers++)
    {
      Bench bench;
      guint32 initial;

      bench_init (&bench);
      initial = open_conn (&bench);
      /* lwIP runs its TCP timer only once per check, so the clock advances in small
       * steps. */
      for (guint i = 0; i < 4 * 240; i++)
        {
          guint before = bench.n_packets;

          dp_test_clock_advance (&bench.clock, DP_US_PER_S / 4);
          dp_stack_run_timers (bench.stack);
          if (answers && bench.n_packets > before)
            inject (&bench, client_.ip, DP_TCP_ACK, 1001, initial + 1);
        }
      CU_ASSERT_EQUAL (dp_conn_state (bench.accepted),
                       answers ? DP_CONN_OPEN : DP_CONN_TIMED_OUT);
      if (answers)
        dp_conn_abort (bench.accepted);
      else
        dp_conn_free (bench.accepted);
      dp_stack_free (bench.stack);
    }
}

static void
test_connect (void)
{
  static const DpAddress loopback = { .ip = 0x7f000001, .port = 80 };
  DpStackFixture wire;
  DpConn *conn;
  DpAddress local;
  g_autoptr (GError) error = NULL;

  dp_stack_fixture_init (&wire);
  conn = dp_stack_connect (wire.stack, &client_, &service_, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (conn);
  local = dp_conn_local (conn);
  CU_ASSERT_TRUE (dp_address_equal (&local, &client_));
  CU_ASSERT_PTR_NULL (dp_stack_connect (wire.stack, &client_, &service_, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  CU_ASSERT_PTR_NULL (dp_stack_connect (wire.stack, &client_, &loopback, NULL));
  CU_ASSERT_PTR_NULL (dp_stack_connect (wire.stack, &loopback, &service_, NULL));
  dp_stack_fixture_run_until_idle (&wire);
  CU_ASSERT_EQUAL (dp_conn_state (conn), DP_CONN_OPEN);
  CU_ASSERT_PTR_NOT_NULL_FATAL (wire.accepted);
  dp_conn_abort (conn);
  dp_stack_fixture_run_until_idle (&wire);
  CU_ASSERT_EQUAL (dp_conn_state (wire.accepted), DP_CONN_RESET);
  dp_conn_free (wire.accepted);

  /* The stack answers a SYN to an address that it no longer listens on with a reset. */
  dp_stack_unlisten (wire.stack, &service_);
  conn = dp_stack_connect (wire.stack, &client_, &service_, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (conn);
  dp_stack_fixture_run_until_idle (&wire);
  CU_ASSERT_EQUAL (dp_conn_state (conn), DP_CONN_RESET);
  dp_conn_free (conn);
  dp_stack_fixture_finish (&wire);
}

static const DpTestCase cases_[] = {
  { "a silent client is noticed", test_keepalive },
  { "each stack has its own sequence numbers", test_sequence },
  { "packets that lwIP would loop back are dropped", test_stray },
  { "a half-open connection is forgotten silently", test_forget },
  { "a late packet of a closed connection is answered", test_late_packet },
  { "connections are opened from a chosen address", test_connect },
};

DP_TEST_MAIN ("stack", cases_)
