/* Guards against two companions that choose the same initial sequence numbers, against
 * resets or crashes caused by stray packets, and against late packets of a closed
 * connection that are not answered. */
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
} PacketFixture;

static const DpAddress service_ = { .ip = 0x0a4d0001, .port = 80 };
static const DpAddress client_ = { .ip = 0x0a000009, .port = 40000 };

static void
output (const guint8 *packet, gsize length, const DpSegment *segment, gpointer user_data)
{
  PacketFixture *fixture = user_data;

  fixture->n_packets++;
  fixture->last = *segment;
}

static void
accepted (DpConn *conn, gpointer user_data)
{
  ((PacketFixture *) user_data)->accepted = conn;
}

static const DpStackListener listener_ = { .output = output, .accepted = accepted };

static void
packet_fixture_init (PacketFixture *fixture)
{
  static const DpAddress any = { .ip = 0, .port = 80 };

  memset (fixture, 0, sizeof *fixture);
  dp_test_clock_init (&fixture->clock, g_get_monotonic_time ());
  fixture->stack = dp_stack_new (&fixture->clock.base, &listener_, fixture);
  CU_ASSERT_TRUE_FATAL (dp_stack_listen (fixture->stack, &any, NULL));
}

/* Passes a segment without payload to the stack. */
static void
inject (PacketFixture *fixture, guint32 source, guint8 flags, guint32 seq, guint32 ack)
{
  DpFlowKey key = { .client = client_, .service = service_ };
  guint8 packet[DP_PACKET_MAX];
  DpSegment segment;
  gsize length;

  key.client.ip = source;
  length = dp_test_packet (packet, &key, flags, seq, ack, NULL, 0);
  CU_ASSERT_TRUE_FATAL (dp_segment_parse (packet, length, &segment, NULL));
  dp_stack_input (fixture->stack, packet, length, &segment);
}

/* Completes a handshake; returns the stack's initial sequence number. */
static guint32
open_conn (PacketFixture *fixture)
{
  guint32 initial;

  inject (fixture, client_.ip, DP_TCP_SYN, 1000, 0);
  CU_ASSERT_EQUAL (fixture->last.flags, DP_TCP_SYN | DP_TCP_ACK);
  CU_ASSERT_EQUAL (fixture->last.ack, 1001);
  initial = fixture->last.seq;
  inject (fixture, client_.ip, DP_TCP_ACK, 1001, initial + 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->accepted);
  return initial;
}

static void
test_initial_sequence_numbers (void)
{
  guint32 numbers[8];

  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      PacketFixture fixture;
      DpAddress address;

      packet_fixture_init (&fixture);
      numbers[i] = open_conn (&fixture);
      address = dp_conn_local (fixture.accepted);
      CU_ASSERT_TRUE (dp_address_equal (&address, &service_));
      address = dp_conn_remote (fixture.accepted);
      CU_ASSERT_TRUE (dp_address_equal (&address, &client_));
      CU_ASSERT_EQUAL (dp_conn_state (fixture.accepted), DP_CONN_OPEN);
      dp_conn_abort (fixture.accepted);
      CU_ASSERT_EQUAL (fixture.last.flags & DP_TCP_RST, DP_TCP_RST);
      CU_ASSERT_EQUAL (fixture.last.seq, numbers[i] + 1);
      dp_stack_free (fixture.stack);
    }
  /* Without the offset, lwIP counts up from the same number in each process. */
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      for (guint j = i + 1; j < G_N_ELEMENTS (numbers); j++)
        CU_ASSERT_TRUE (MIN (numbers[i] - numbers[j], numbers[j] - numbers[i]) > 1000);
    }
}

static void
test_unroutable_sources (void)
{
  static const guint32 sources[] = { 0x0a4d0001, 0x7f000001, 0xf0000001, 0 };
  PacketFixture fixture;

  packet_fixture_init (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (sources); i++)
    inject (&fixture, sources[i], DP_TCP_SYN, 1000, 0);
  CU_ASSERT_EQUAL (fixture.n_packets, 0);
  open_conn (&fixture);
  dp_conn_abort (fixture.accepted);
  dp_stack_free (fixture.stack);
}

static void
test_discard (void)
{
  PacketFixture fixture;

  packet_fixture_init (&fixture);
  inject (&fixture, client_.ip, DP_TCP_SYN, 1000, 0);
  CU_ASSERT_EQUAL (fixture.n_packets, 1);
  CU_ASSERT_TRUE (dp_stack_discard (fixture.stack, &service_, &client_));
  CU_ASSERT_FALSE (dp_stack_discard (fixture.stack, &service_, &client_));
  for (guint i = 0; i < 100; i++)
    {
      dp_test_clock_advance (&fixture.clock, DP_US_PER_S);
      dp_stack_run_timers (fixture.stack);
    }
  CU_ASSERT_EQUAL (fixture.n_packets, 1);
  dp_stack_free (fixture.stack);
}

static void
test_late_packet (void)
{
  PacketFixture fixture;
  guint32 initial;
  guint before;

  packet_fixture_init (&fixture);
  initial = open_conn (&fixture);
  dp_conn_shutdown (fixture.accepted);
  CU_ASSERT_EQUAL (fixture.last.flags & DP_TCP_FIN, DP_TCP_FIN);
  inject (&fixture, client_.ip, DP_TCP_FIN | DP_TCP_ACK, 1001, initial + 1);
  CU_ASSERT_EQUAL (dp_conn_state (fixture.accepted), DP_CONN_OPEN);
  inject (&fixture, client_.ip, DP_TCP_ACK, 1002, initial + 2);
  CU_ASSERT_EQUAL (dp_conn_state (fixture.accepted), DP_CONN_CLOSED);
  dp_conn_free (fixture.accepted);

  before = fixture.n_packets;
  inject (&fixture, client_.ip, DP_TCP_FIN | DP_TCP_ACK, 1001, initial + 2);
  CU_ASSERT_EQUAL (fixture.n_packets, before + 1);
  CU_ASSERT_EQUAL (fixture.last.flags, DP_TCP_ACK);
  CU_ASSERT_EQUAL (fixture.last.seq, initial + 2);
  CU_ASSERT_EQUAL (fixture.last.ack, 1002);
  dp_stack_free (fixture.stack);
}

/* A client that stops answering, for example behind a firewall that has dropped its state
 * of the connection, is detected even if no data is in flight. A client
 * that answers keeps its connection. */
static void
test_keepalive (void)
{
  for (guint answers = 0; answers < 2; answers++)
    {
      PacketFixture fixture;
      guint32 initial;

      packet_fixture_init (&fixture);
      initial = open_conn (&fixture);
      /* lwIP runs its TCP timer only once per check, so the clock advances in small
       * steps. */
      for (guint i = 0; i < 4 * 240; i++)
        {
          guint before = fixture.n_packets;

          dp_test_clock_advance (&fixture.clock, DP_US_PER_S / 4);
          dp_stack_run_timers (fixture.stack);
          if (answers && fixture.n_packets > before)
            inject (&fixture, client_.ip, DP_TCP_ACK, 1001, initial + 1);
        }
      CU_ASSERT_EQUAL (dp_conn_state (fixture.accepted),
                       answers ? DP_CONN_OPEN : DP_CONN_TIMED_OUT);
      if (answers)
        dp_conn_abort (fixture.accepted);
      else
        dp_conn_free (fixture.accepted);
      dp_stack_free (fixture.stack);
    }
}

static void
test_connect (void)
{
  static const DpAddress loopback = { .ip = 0x7f000001, .port = 80 };
  DpStackFixture fixture;
  DpConn *conn;
  DpAddress local;
  g_autoptr (GError) error = NULL;

  dp_stack_fixture_init (&fixture);
  conn = dp_stack_connect (fixture.stack, &client_, &service_, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (conn);
  local = dp_conn_local (conn);
  CU_ASSERT_TRUE (dp_address_equal (&local, &client_));
  CU_ASSERT_PTR_NULL (dp_stack_connect (fixture.stack, &client_, &service_, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  CU_ASSERT_PTR_NULL (dp_stack_connect (fixture.stack, &client_, &loopback, NULL));
  CU_ASSERT_PTR_NULL (dp_stack_connect (fixture.stack, &loopback, &service_, NULL));
  dp_stack_fixture_run_until_idle (&fixture);
  CU_ASSERT_EQUAL (dp_conn_state (conn), DP_CONN_OPEN);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.accepted);
  dp_conn_abort (conn);
  dp_stack_fixture_run_until_idle (&fixture);
  CU_ASSERT_EQUAL (dp_conn_state (fixture.accepted), DP_CONN_RESET);
  dp_conn_free (fixture.accepted);

  /* The stack answers a SYN to an address that it no longer listens on with a reset. */
  dp_stack_unlisten (fixture.stack, &service_);
  conn = dp_stack_connect (fixture.stack, &client_, &service_, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (conn);
  dp_stack_fixture_run_until_idle (&fixture);
  CU_ASSERT_EQUAL (dp_conn_state (conn), DP_CONN_RESET);
  dp_conn_free (conn);
  dp_stack_fixture_finish (&fixture);
}

static const DpTestCase cases_[] = {
  { "a client that stops answering is detected", test_keepalive },
  { "each stack has its own initial sequence numbers", test_initial_sequence_numbers },
  { "packets that lwIP would loop back are dropped", test_unroutable_sources },
  { "a half-open connection is discarded without a packet", test_discard },
  { "a late packet of a closed connection is answered", test_late_packet },
  { "connections are opened from a chosen address", test_connect },
};

DP_TEST_MAIN ("stack", cases_)
