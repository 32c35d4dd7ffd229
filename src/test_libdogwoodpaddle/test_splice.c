/* Guards against lost, duplicated or reordered bytes, unbounded buffers, and closes or
 * resets that don't reach the other side. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "runner.h"
#include "stackfixture.h"

#define TRANSFER_BYTES (1024 * 1024) /* bytes; many times the receive window */
#define BUFFERED_BYTES_MAX                                                               \
  (12 * 1024 * 1024) /* bytes; more than the buffers of both socket pairs hold */

/* Returns byte i of a transfer. The period doesn't divide the length of a segment or of a
 * read, so that misplaced data is detected. */
static guint8
pattern (gsize i)
{
  return (guint8) (i % 251);
}

/* Sends bytes [from, until) as far as the socket accepts them. Returns their number. */
static gsize
send_bytes (int fd, gsize from, gsize until)
{
  guint8 data[4096];
  gsize sent = 0;

  while (from + sent < until)
    {
      gsize length = MIN (sizeof data, until - from - sent);
      ssize_t n;

      for (gsize i = 0; i < length; i++)
        data[i] = pattern (from + sent + i);
      n = send (fd, data, length, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n <= 0)
        break;
      sent += (gsize) n;
    }
  return sent;
}

/* Reads and verifies all available bytes. Returns how many it read, and in last, if that
 * is not NULL, the last result of recv (). */
static gsize
receive_bytes (int fd, gsize from, ssize_t *last)
{
  guint8 data[4096];
  gsize received = 0;
  ssize_t n;

  while ((n = recv (fd, data, sizeof data, MSG_DONTWAIT)) > 0)
    {
      gsize wrong = 0;

      for (gsize i = 0; i < (gsize) n; i++)
        wrong += data[i] != pattern (from + received + i);
      CU_ASSERT_EQUAL (wrong, 0);
      received += (gsize) n;
    }
  if (last != NULL)
    *last = n;
  return received;
}

/* Transfers TRANSFER_BYTES bytes in both directions at the same time. */
static void
transfer_both_ways (DpStackFixture *fixture)
{
  gsize up[2] = { 0 };   /* bytes sent by the client and received by the server */
  gsize down[2] = { 0 }; /* bytes sent by the server and received by the client */

  for (guint i = 0; i < 100000 && (up[1] < TRANSFER_BYTES || down[1] < TRANSFER_BYTES);
       i++)
    {
      gsize before = up[0] + up[1] + down[0] + down[1];

      up[0] += send_bytes (fixture->client_fd, up[0], TRANSFER_BYTES);
      down[0] += send_bytes (fixture->server_fd, down[0], TRANSFER_BYTES);
      dp_stack_fixture_run_until_idle (fixture);
      up[1] += receive_bytes (fixture->server_fd, up[1], NULL);
      down[1] += receive_bytes (fixture->client_fd, down[1], NULL);
      if (up[0] + up[1] + down[0] + down[1] == before)
        dp_stack_fixture_advance (fixture, 50 * DP_US_PER_MS);
    }
  CU_ASSERT_EQUAL (up[1], TRANSFER_BYTES);
  CU_ASSERT_EQUAL (down[1], TRANSFER_BYTES);
}

static void
test_exchange (void)
{
  DpStackFixture fixture;

  dp_stack_fixture_init (&fixture);
  dp_stack_fixture_connect (&fixture);
  transfer_both_ways (&fixture);
  CU_ASSERT_EQUAL (fixture.responses, TRANSFER_BYTES);
  dp_stack_fixture_advance (&fixture, DP_US_PER_S);
  CU_ASSERT_EQUAL (fixture.progress, TRANSFER_BYTES);
  dp_stack_fixture_finish (&fixture);
}

static void
test_loss (void)
{
  static const guint rates[] = { 5, 17, 101 };

  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      DpStackFixture fixture;

      dp_stack_fixture_init (&fixture);
      dp_stack_fixture_connect (&fixture);
      fixture.loss_interval = rates[i];
      fixture.delay = DP_US_PER_MS;
      transfer_both_ways (&fixture);
      dp_stack_fixture_finish (&fixture);
    }
}

static void
test_half_close (void)
{
  DpStackFixture fixture;
  ssize_t last;

  dp_stack_fixture_init (&fixture);
  dp_stack_fixture_connect (&fixture);
  CU_ASSERT_EQUAL (send_bytes (fixture.client_fd, 0, 1000), 1000);
  shutdown (fixture.client_fd, SHUT_WR);
  dp_stack_fixture_run_until_idle (&fixture);
  CU_ASSERT_EQUAL (receive_bytes (fixture.server_fd, 0, &last), 1000);
  CU_ASSERT_EQUAL (last, 0);
  CU_ASSERT_FALSE (fixture.server_ended);

  CU_ASSERT_EQUAL (send_bytes (fixture.server_fd, 0, 5000), 5000);
  dp_stack_fixture_run_until_idle (&fixture);
  CU_ASSERT_EQUAL (receive_bytes (fixture.client_fd, 0, &last), 5000);
  CU_ASSERT_TRUE (last < 0 && errno == EAGAIN);
  shutdown (fixture.server_fd, SHUT_WR);
  dp_stack_fixture_advance (&fixture, DP_US_PER_S);
  receive_bytes (fixture.client_fd, 0, &last);
  CU_ASSERT_EQUAL (last, 0);
  CU_ASSERT_TRUE (fixture.server_ended && fixture.server_end == DP_SPLICE_CLOSED);
  CU_ASSERT_TRUE (fixture.client_ended && fixture.client_end == DP_SPLICE_CLOSED);
  CU_ASSERT_EQUAL (fixture.n_resets, 0);
  dp_stack_fixture_finish (&fixture);
}

static void
reset_socket (int *fd)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (*fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (*fd);
  *fd = -1;
}

static void
test_client_reset (void)
{
  DpStackFixture fixture;
  ssize_t last;

  dp_stack_fixture_init (&fixture);
  dp_stack_fixture_connect (&fixture);
  send_bytes (fixture.client_fd, 0, 100);
  dp_stack_fixture_run_until_idle (&fixture);
  reset_socket (&fixture.client_fd);
  dp_stack_fixture_run_until_idle (&fixture);
  CU_ASSERT_TRUE (fixture.server_ended && fixture.server_end == DP_SPLICE_CONN_RESET);
  receive_bytes (fixture.server_fd, 0, &last);
  CU_ASSERT_TRUE (last < 0 && errno == ECONNRESET);
  dp_stack_fixture_finish (&fixture);
}

/* The server resets while most of its bytes have not reached the distant client yet. */
static void
test_server_reset (void)
{
  DpStackFixture fixture;
  ssize_t last;

  dp_stack_fixture_init (&fixture);
  fixture.delay = 40 * DP_US_PER_MS;
  dp_stack_fixture_connect (&fixture);
  send_bytes (fixture.server_fd, 0, 30000);
  dp_stack_fixture_run_until_idle (&fixture);
  reset_socket (&fixture.server_fd);
  dp_stack_fixture_advance (&fixture, 2 * DP_US_PER_S);
  CU_ASSERT_TRUE (fixture.server_ended && fixture.server_end == DP_SPLICE_SOCKET_RESET);
  CU_ASSERT_TRUE (fixture.client_ended && fixture.client_end == DP_SPLICE_CONN_RESET);
  CU_ASSERT_EQUAL (receive_bytes (fixture.client_fd, 0, &last), 30000);
  CU_ASSERT_TRUE (last < 0 && errno == ECONNRESET);
  dp_stack_fixture_finish (&fixture);
}

/* The server closes while its response of length bytes is still in flight to a distant
 * client. Until the client sees the end of the response, it also sends client_bytes bytes
 * every 50 ms, which nobody reads.
 */
static void
close_early (gsize length, gsize client_bytes)
{
  DpStackFixture fixture;
  gsize sent;
  gsize received = 0;
  ssize_t last = -1;

  dp_stack_fixture_init (&fixture);
  fixture.delay = 40 * DP_US_PER_MS;
  dp_stack_fixture_connect (&fixture);
  sent = send_bytes (fixture.server_fd, 0, length);
  close (fixture.server_fd);
  fixture.server_fd = -1;
  for (guint i = 0; i < 1000 && last != 0; i++)
    {
      dp_stack_fixture_advance (&fixture, 50 * DP_US_PER_MS);
      send_bytes (fixture.client_fd, 0, client_bytes);
      received += receive_bytes (fixture.client_fd, received, &last);
    }
  CU_ASSERT_EQUAL (last, 0);
  CU_ASSERT_EQUAL (received, sent);
  dp_stack_fixture_finish (&fixture);
}

static void
test_early_close (void)
{
  close_early (TRANSFER_BYTES, 0);
  close_early (60000, 10);
}

static void
test_flow_control (void)
{
  DpStackFixture fixture;
  gsize sent = 0;
  gsize received = 0;

  dp_stack_fixture_init (&fixture);
  dp_stack_fixture_connect (&fixture);
  for (guint i = 0; i < 2000; i++)
    {
      gsize n = send_bytes (fixture.client_fd, sent, BUFFERED_BYTES_MAX);

      sent += n;
      dp_stack_fixture_run_until_idle (&fixture);
      if (n == 0)
        dp_stack_fixture_advance (&fixture, 300 * DP_US_PER_MS);
      if (n == 0 && i > 100)
        break;
    }
  CU_ASSERT_TRUE (sent < BUFFERED_BYTES_MAX);
  for (guint i = 0; i < 20000 && received < sent; i++)
    {
      gsize n = receive_bytes (fixture.server_fd, received, NULL);

      received += n;
      dp_stack_fixture_run_until_idle (&fixture);
      if (n == 0)
        dp_stack_fixture_advance (&fixture, 500 * DP_US_PER_MS);
    }
  CU_ASSERT_EQUAL (received, sent);
  dp_stack_fixture_finish (&fixture);
}

static void
test_held_requests (void)
{
  DpStackFixture fixture;
  ssize_t last;

  dp_stack_fixture_init (&fixture);
  fixture.hold_requests = TRUE;
  dp_stack_fixture_connect (&fixture);
  send_bytes (fixture.client_fd, 0, 200000);
  shutdown (fixture.client_fd, SHUT_WR);
  dp_stack_fixture_advance (&fixture, 2 * DP_US_PER_S);
  CU_ASSERT_EQUAL (receive_bytes (fixture.server_fd, 0, &last), 0);
  CU_ASSERT_TRUE (last < 0 && errno == EAGAIN);
  /* Responses still pass while a request is held back. */
  send_bytes (fixture.server_fd, 0, 500);
  dp_stack_fixture_run_until_idle (&fixture);
  CU_ASSERT_EQUAL (receive_bytes (fixture.client_fd, 0, NULL), 500);

  fixture.hold_requests = FALSE;
  dp_splice_grant (fixture.server);
  dp_stack_fixture_advance (&fixture, 2 * DP_US_PER_S);
  CU_ASSERT_EQUAL (receive_bytes (fixture.server_fd, 0, &last), 200000);
  CU_ASSERT_EQUAL (last, 0);
  dp_stack_fixture_finish (&fixture);
}

/* A connection without readable bytes has no buffer. Under the sanitizers, this test
 * fails if dp_conn_readable () adds an offset to the NULL buffer. */
static void
test_nothing_readable (void)
{
  DpStackFixture fixture;
  const guint8 *data = (const guint8 *) "";

  dp_stack_fixture_init (&fixture);
  dp_stack_fixture_connect (&fixture);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.accepted);
  CU_ASSERT_EQUAL (dp_conn_readable (fixture.accepted, &data), 0);
  CU_ASSERT_PTR_NULL (data);
  dp_stack_fixture_finish (&fixture);
}

static const DpTestCase cases_[] = {
  { "a connection without readable bytes has no buffer", test_nothing_readable },
  { "bytes pass both ways unchanged", test_exchange },
  { "bytes survive packet loss", test_loss },
  { "each direction is closed independently", test_half_close },
  { "a client's reset reaches the server", test_client_reset },
  { "a server's reset reaches the client after its bytes", test_server_reset },
  { "a response is complete even if the server closes early", test_early_close },
  { "a receiver that doesn't read stops the sender", test_flow_control },
  { "requests stay in the receive buffer until they are granted", test_held_requests },
};

DP_TEST_MAIN ("splice", cases_)
