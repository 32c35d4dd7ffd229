/* Guards against datagrams that are lost between batches, truncated, or kept in the queue
 * while the main loop waits. */
#include <string.h>

#include "protected/packetport.h"
#include "runner.h"

#define DATAGRAMS 300 /* several batches; fits into a socket's default buffer */

typedef struct
{
  guint n;
  gboolean in_order;
  DpAddress source;
  gsize length;
} Received;

static const DpAddress any_port_ = { .ip = 0x7f000001, .port = 0 };

static void
on_received (const DpAddress *source, guint8 *data, gsize length, gpointer user_data)
{
  Received *result = user_data;
  guint32 number;

  memcpy (&number, data, sizeof number);
  result->in_order = result->in_order && number == result->n;
  result->n++;
  result->source = *source;
  result->length = length;
}

/* Runs the main loop until n datagrams have been received, for at most a second. */
static void
await (Received *result, guint n)
{
  gint64 end = g_get_monotonic_time () + G_USEC_PER_SEC;

  while (result->n < n && g_get_monotonic_time () < end)
    g_main_context_iteration (NULL, FALSE);
}

static void
test_batches (void)
{
  Received result = { .in_order = TRUE };
  g_autoptr (DpPacketPort) to = dp_udp_port_new (&any_port_, on_received, &result, NULL);
  g_autoptr (DpPacketPort)
      from = dp_udp_port_new (&any_port_, on_received, &result, NULL);
  DpAddress destination = dp_udp_port_address (to);
  DpAddress source = dp_udp_port_address (from);
  guint8 data[100] = { 0 };

  for (guint32 i = 0; i < DATAGRAMS; i++)
    {
      memcpy (data, &i, sizeof i);
      CU_ASSERT_TRUE (dp_packet_port_send (from, &destination, data, sizeof data));
    }
  /* The last batch is not full. The main loop sends it before it waits. */
  await (&result, DATAGRAMS);
  CU_ASSERT_EQUAL (result.n, DATAGRAMS);
  CU_ASSERT_TRUE (result.in_order);
  CU_ASSERT_EQUAL (result.length, sizeof data);
  CU_ASSERT_TRUE (dp_address_equal (&result.source, &source));
  CU_ASSERT_EQUAL (dp_udp_port_stats (from)->sent, DATAGRAMS);
  CU_ASSERT_EQUAL (dp_udp_port_stats (to)->received, DATAGRAMS);
}

static void
test_lengths (void)
{
  Received result = { .in_order = TRUE };
  g_autoptr (DpPacketPort) to = dp_udp_port_new (&any_port_, on_received, &result, NULL);
  DpAddress destination = dp_udp_port_address (to);
  guint8 data[DP_DATAGRAM_MAX + 1] = { 0 };

  CU_ASSERT_FALSE (dp_packet_port_send (to, &destination, data, DP_DATAGRAM_MAX + 1));
  CU_ASSERT_TRUE (dp_packet_port_send (to, &destination, data, DP_DATAGRAM_MAX));
  await (&result, 1);
  CU_ASSERT_EQUAL (result.length, DP_DATAGRAM_MAX);
}

/* The ICMP error after a datagram to a closed port must not drop other datagrams. */
static void
test_unreachable (void)
{
  Received result = { .in_order = TRUE };
  g_autoptr (DpPacketPort) to = dp_udp_port_new (&any_port_, on_received, &result, NULL);
  g_autoptr (DpPacketPort)
      from = dp_udp_port_new (&any_port_, on_received, &result, NULL);
  DpPacketPort *closed_port = dp_udp_port_new (&any_port_, on_received, &result, NULL);
  DpAddress closed_address = dp_udp_port_address (closed_port);
  DpAddress destination = dp_udp_port_address (to);
  guint8 data[100] = { 0 };

  dp_packet_port_free (closed_port);
  dp_packet_port_send (from, &closed_address, data, sizeof data);
  dp_packet_port_flush (from);
  for (guint32 i = 0; i < 10; i++)
    {
      memcpy (data, &i, sizeof i);
      dp_packet_port_send (from, &destination, data, sizeof data);
      dp_packet_port_send (from, &closed_address, data, sizeof data);
    }
  await (&result, 10);
  CU_ASSERT_EQUAL (result.n, 10);
}

static void
test_address_in_use (void)
{
  Received result = { 0 };
  g_autoptr (GError) error = NULL;
  g_autoptr (DpPacketPort)
      port = dp_udp_port_new (&any_port_, on_received, &result, NULL);
  DpAddress address = dp_udp_port_address (port);

  CU_ASSERT_PTR_NULL (dp_udp_port_new (&address, on_received, &result, &error));
  CU_ASSERT_TRUE (error != NULL && strstr (error->message, "127.0.0.1") != NULL);
}

static const DpTestCase cases_[] = {
  { "several batches arrive in order", test_batches },
  { "the longest datagram passes, a longer one is rejected", test_lengths },
  { "an unreachable peer causes no loss of other datagrams", test_unreachable },
  { "an address in use is reported", test_address_in_use },
};

DP_TEST_MAIN ("packetport", cases_)
