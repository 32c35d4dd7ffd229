#include "stackfixture.h"

#include <CUnit/CUnit.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADVANCE_STEP (10 * DP_US_PER_MS)
#define IDLE_ROUNDS 3 /* iterations without work after which the fixture is idle */

typedef struct
{
  gint64 due; /* us */
  gsize length;
  guint8 data[DP_PACKET_MAX];
} Packet;

static void on_output_ (const guint8 *packet,
                        gsize length,
                        const DpSegment *segment,
                        gpointer user_data);
static void on_accepted_ (DpConn *conn, gpointer user_data);
static gboolean on_request_ (DpSplice *splice, gsize bytes, gpointer user_data);
static void
on_response_ (DpSplice *splice, gsize bytes, gsize unacknowledged, gpointer user_data);
static void
on_progress_ (DpSplice *splice, gsize bytes, gsize unacknowledged, gpointer user_data);
static void on_client_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
static void on_server_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
static gboolean deliver_packets_ (DpStackFixture *fixture);

static const DpAddress service_ = { .ip = 0x0a4d0001, .port = 80 };
static const DpAddress client_ = { .ip = 0x0a000009, .port = 40000 };

static const DpStackListener stack_listener_ = {
  .output = on_output_,
  .accepted = on_accepted_,
};
static const DpSpliceListener client_listener_ = { .ended = on_client_ended_ };
static const DpSpliceListener server_listener_ = {
  .request = on_request_,
  .response = on_response_,
  .progress = on_progress_,
  .ended = on_server_ended_,
};

void
dp_stack_fixture_init (DpStackFixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  dp_test_clock_init (&fixture->clock, g_get_monotonic_time ());
  fixture->stack = dp_stack_new (&fixture->clock.base, &stack_listener_, fixture);
  fixture->splices = dp_splice_set_new ();
  g_queue_init (&fixture->in_flight);
  fixture->client_fd = -1;
  fixture->server_fd = -1;
  CU_ASSERT_TRUE_FATAL (dp_stack_listen (fixture->stack, &service_, NULL));
}

void
dp_stack_fixture_finish (DpStackFixture *fixture)
{
  if (fixture->client != NULL && !fixture->client_ended)
    dp_splice_discard (fixture->client);
  if (fixture->server != NULL && !fixture->server_ended)
    dp_splice_discard (fixture->server);
  if (fixture->client_fd >= 0)
    close (fixture->client_fd);
  if (fixture->server_fd >= 0)
    close (fixture->server_fd);
  dp_stack_free (fixture->stack);
  dp_splice_set_free (fixture->splices);
  g_queue_clear_full (&fixture->in_flight, g_free);
}

void
dp_stack_fixture_run_until_idle (DpStackFixture *fixture)
{
  for (guint idle = 0; idle < IDLE_ROUNDS;)
    {
      gboolean worked = deliver_packets_ (fixture);

      while (g_main_context_iteration (NULL, FALSE))
        worked = TRUE;
      idle = worked ? 0 : idle + 1;
    }
}

void
dp_stack_fixture_advance (DpStackFixture *fixture, gint64 us)
{
  for (gint64 done = 0; done < us; done += ADVANCE_STEP)
    {
      dp_test_clock_advance (&fixture->clock, ADVANCE_STEP);
      dp_stack_run_timers (fixture->stack);
      dp_stack_fixture_run_until_idle (fixture);
    }
}

void
dp_stack_fixture_connect (DpStackFixture *fixture)
{
  int client[2];
  int server[2];
  DpConn *conn;

  dp_stack_fixture_socket_pair (client);
  dp_stack_fixture_socket_pair (server);
  conn = dp_stack_connect (fixture->stack, &client_, &service_, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (conn);
  fixture->client_fd = client[0];
  fixture->client = dp_splice_new (fixture->splices, conn, client[1], 0,
                                   &client_listener_, fixture);
  dp_splice_set_client_socket (fixture->client);
  dp_stack_fixture_run_until_idle (fixture);
  if (fixture->delay > 0)
    dp_stack_fixture_advance (fixture, 4 * fixture->delay);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->accepted);
  fixture->server_fd = server[0];
  fixture->server = dp_splice_new (fixture->splices, fixture->accepted, server[1], 0,
                                   &server_listener_, fixture);
  dp_stack_fixture_run_until_idle (fixture);
}

void
dp_stack_fixture_socket_pair (int fds[2])
{
  struct sockaddr_in name = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };
  socklen_t length = sizeof name;
  int listening = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_EQUAL_FATAL (bind (listening, (struct sockaddr *) &name, sizeof name), 0);
  CU_ASSERT_EQUAL_FATAL (listen (listening, 1), 0);
  getsockname (listening, (struct sockaddr *) &name, &length);
  fds[0] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fds[0], (struct sockaddr *) &name, length), 0);
  fds[1] = accept4 (listening, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  CU_ASSERT_TRUE_FATAL (fds[1] >= 0);
  close (listening);
}

static void
on_output_ (const guint8 *data,
            gsize length,
            const DpSegment *segment,
            gpointer user_data)
{
  DpStackFixture *fixture = user_data;
  Packet *packet;

  fixture->n_packets++;
  if ((segment->flags & DP_TCP_RST) != 0)
    fixture->n_resets++;
  if ((segment->flags & (DP_TCP_SYN | DP_TCP_ACK)) == (DP_TCP_SYN | DP_TCP_ACK))
    fixture->syn_ack_seq = segment->seq;
  if (fixture->loss_interval != 0 && fixture->n_packets % fixture->loss_interval == 0)
    return;
  packet = g_new (Packet, 1);
  packet->due = dp_clock_now (&fixture->clock.base) + fixture->delay;
  packet->length = length;
  memcpy (packet->data, data, length);
  g_queue_push_tail (&fixture->in_flight, packet);
}

static void
on_accepted_ (DpConn *conn, gpointer user_data)
{
  ((DpStackFixture *) user_data)->accepted = conn;
}

static gboolean
on_request_ (DpSplice *splice, gsize bytes, gpointer user_data)
{
  return !((DpStackFixture *) user_data)->hold_requests;
}

static void
on_response_ (DpSplice *splice, gsize bytes, gsize unacknowledged, gpointer user_data)
{
  ((DpStackFixture *) user_data)->responses += bytes;
}

static void
on_progress_ (DpSplice *splice, gsize bytes, gsize unacknowledged, gpointer user_data)
{
  ((DpStackFixture *) user_data)->progress += bytes;
}

static void
on_client_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data)
{
  DpStackFixture *fixture = user_data;

  fixture->client_ended = TRUE;
  fixture->client_end = end;
}

static void
on_server_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data)
{
  DpStackFixture *fixture = user_data;

  fixture->server_ended = TRUE;
  fixture->server_end = end;
}

/* Passes packets that are due to the stack. Returns whether there were any. */
static gboolean
deliver_packets_ (DpStackFixture *fixture)
{
  gboolean any = FALSE;
  Packet *packet;

  while ((packet = g_queue_peek_head (&fixture->in_flight)) != NULL
         && packet->due <= dp_clock_now (&fixture->clock.base))
    {
      DpSegment segment;

      g_queue_pop_head (&fixture->in_flight);
      CU_ASSERT_TRUE (dp_segment_parse (packet->data, packet->length, &segment, NULL));
      dp_stack_input (fixture->stack, packet->data, packet->length, &segment);
      g_free (packet);
      any = TRUE;
    }
  return any;
}
