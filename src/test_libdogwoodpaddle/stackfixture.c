#include "stackfixture.h"

#include <CUnit/CUnit.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP (10 * DP_US_PER_MS)
#define QUIET_ROUNDS 3 /* iterations without work after which the fixture is idle */

typedef struct
{
  gint64 due; /* us */
  gsize length;
  guint8 data[DP_PACKET_MAX];
} Packet;

static void output_ (const guint8 *packet,
                     gsize length,
                     const DpSegment *segment,
                     gpointer user_data);
static void accepted_ (DpConn *conn, gpointer user_data);
static gboolean request_ (DpSplice *splice, gsize bytes, gpointer user_data);
static void response_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data);
static void progress_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data);
static void near_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
static void far_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
static gboolean carry_ (DpStackFixture *wire);

static const DpAddress service_ = { .ip = 0x0a4d0001, .port = 80 };
static const DpAddress client_ = { .ip = 0x0a000009, .port = 40000 };

static const DpStackListener stack_listener_ = {
  .output = output_,
  .accepted = accepted_,
};
static const DpSpliceListener near_listener_ = { .ended = near_ended_ };
static const DpSpliceListener far_listener_ = {
  .request = request_,
  .response = response_,
  .progress = progress_,
  .ended = far_ended_,
};

void
dp_stack_fixture_init (DpStackFixture *wire)
{
  memset (wire, 0, sizeof *wire);
  dp_test_clock_init (&wire->clock, g_get_monotonic_time ());
  wire->stack = dp_stack_new (&wire->clock.base, &stack_listener_, wire);
  wire->splices = dp_splice_set_new ();
  g_queue_init (&wire->wire);
  wire->near_fd = -1;
  wire->far_fd = -1;
  CU_ASSERT_TRUE_FATAL (dp_stack_listen (wire->stack, &service_, NULL));
}

void
dp_stack_fixture_finish (DpStackFixture *wire)
{
  if (wire->near != NULL && !wire->near_ended)
    dp_splice_discard (wire->near);
  if (wire->far != NULL && !wire->far_ended)
    dp_splice_discard (wire->far);
  if (wire->near_fd >= 0)
    close (wire->near_fd);
  if (wire->far_fd >= 0)
    close (wire->far_fd);
  dp_stack_free (wire->stack);
  dp_splice_set_free (wire->splices);
  g_queue_clear_full (&wire->wire, g_free);
}

void
dp_stack_fixture_run_until_idle (DpStackFixture *wire)
{
  for (guint quiet = 0; quiet < QUIET_ROUNDS;)
    {
      gboolean worked = carry_ (wire);

      while (g_main_context_iteration (NULL, FALSE))
        worked = TRUE;
      quiet = worked ? 0 : quiet + 1;
    }
}

void
dp_stack_fixture_advance (DpStackFixture *wire, gint64 us)
{
  for (gint64 done = 0; done < us; done += STEP)
    {
      dp_test_clock_advance (&wire->clock, STEP);
      dp_stack_run_timers (wire->stack);
      dp_stack_fixture_run_until_idle (wire);
    }
}

void
dp_stack_fixture_connect (DpStackFixture *wire)
{
  int near[2];
  int far[2];
  DpConn *conn;

  dp_stack_fixture_socket_pair (near);
  dp_stack_fixture_socket_pair (far);
  conn = dp_stack_connect (wire->stack, &client_, &service_, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (conn);
  wire->near_fd = near[0];
  wire->near = dp_splice_new (wire->splices, conn, near[1], 0, &near_listener_, wire);
  dp_splice_set_client_socket (wire->near);
  dp_stack_fixture_run_until_idle (wire);
  if (wire->delay > 0)
    dp_stack_fixture_advance (wire, 4 * wire->delay);
  CU_ASSERT_PTR_NOT_NULL_FATAL (wire->accepted);
  wire->far_fd = far[0];
  wire->far = dp_splice_new (wire->splices, wire->accepted, far[1], 0, &far_listener_,
                             wire);
  dp_stack_fixture_run_until_idle (wire);
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
output_ (const guint8 *data, gsize length, const DpSegment *segment, gpointer user_data)
{
  DpStackFixture *wire = user_data;
  Packet *packet;

  wire->n_packets++;
  if ((segment->flags & DP_TCP_RST) != 0)
    wire->n_resets++;
  if ((segment->flags & (DP_TCP_SYN | DP_TCP_ACK)) == (DP_TCP_SYN | DP_TCP_ACK))
    wire->syn_answer = segment->seq;
  if (wire->lose_each != 0 && wire->n_packets % wire->lose_each == 0)
    return;
  packet = g_new (Packet, 1);
  packet->due = dp_clock_now (&wire->clock.base) + wire->delay;
  packet->length = length;
  memcpy (packet->data, data, length);
  g_queue_push_tail (&wire->wire, packet);
}

static void
accepted_ (DpConn *conn, gpointer user_data)
{
  ((DpStackFixture *) user_data)->accepted = conn;
}

static gboolean
request_ (DpSplice *splice, gsize bytes, gpointer user_data)
{
  return !((DpStackFixture *) user_data)->refuse_requests;
}

static void
response_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data)
{
  ((DpStackFixture *) user_data)->responses += bytes;
}

static void
progress_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data)
{
  ((DpStackFixture *) user_data)->progress += bytes;
}

static void
near_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data)
{
  DpStackFixture *wire = user_data;

  wire->near_ended = TRUE;
  wire->near_end = end;
}

static void
far_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data)
{
  DpStackFixture *wire = user_data;

  wire->far_ended = TRUE;
  wire->far_end = end;
}

/* Passes packets that are due to the stack. Returns whether there were any. */
static gboolean
carry_ (DpStackFixture *wire)
{
  gboolean any = FALSE;
  Packet *packet;

  while ((packet = g_queue_peek_head (&wire->wire)) != NULL
         && packet->due <= dp_clock_now (&wire->clock.base))
    {
      DpSegment segment;

      g_queue_pop_head (&wire->wire);
      CU_ASSERT_TRUE (dp_segment_parse (packet->data, packet->length, &segment, NULL));
      dp_stack_input (wire->stack, packet->data, packet->length, &segment);
      g_free (packet);
      any = TRUE;
    }
  return any;
}
