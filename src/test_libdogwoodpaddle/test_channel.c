/* Guards against a silent or slow peer that occupies a connection or memory for ever, and
 * against messages that are split or joined wrongly. */
#include "protected/channel.h"

#include <gio/gunixconnection.h>
#include <string.h>
#include <sys/socket.h>

#include "protected/error.h"
#include "runner.h"

typedef struct
{
  DpMetrics *metrics;
  DpChannelMetrics counters;
  DpChannel *channel; /* under test */
  GSocket *peer;      /* plain socket at the other end */
  guint n_received;
  gsize last_length; /* of the last record's value */
  gboolean closed;
  gint code; /* of the error when it was closed */
} Fixture;

static void
received (DpChannel *channel, const DpMessage *message, gpointer user_data)
{
  Fixture *f = user_data;

  f->n_received++;
  if (message->type == DP_MESSAGE_RECORDS && message->records.items->len > 0)
    f->last_length = strlen (
        ((DpRecord *) g_ptr_array_index (message->records.items, 0))->json);
}

static void
drained (DpChannel *channel, gpointer user_data)
{
}

static void
closed (DpChannel *channel, const GError *error, gpointer user_data)
{
  Fixture *f = user_data;

  f->closed = TRUE;
  f->code = error->domain == DP_ERROR ? error->code : -1;
}

static DpChannel *
wrap (Fixture *f, int fd)
{
  static const DpChannelListener listener = { received, drained, closed };
  g_autoptr (GSocket) socket = g_socket_new_from_fd (fd, NULL);
  g_autoptr (GSocketConnection)
      connection = g_socket_connection_factory_create_connection (socket);

  return dp_channel_new (connection, &f->counters, &listener, f);
}

static void
set_up (Fixture *f)
{
  int fds[2];

  memset (f, 0, sizeof *f);
  f->metrics = dp_metrics_new ();
  dp_channel_metrics_init (&f->counters, f->metrics);
  CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, fds), 0);
  f->channel = wrap (f, fds[0]);
  f->peer = g_socket_new_from_fd (fds[1], NULL);
}

static void
tear_down (Fixture *f)
{
  dp_channel_free (f->channel);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_object_unref (f->peer);
  dp_metrics_free (f->metrics);
}

static gboolean
wake (gpointer user_data)
{
  return G_SOURCE_CONTINUE;
}

static void
wait_closed (Fixture *f, guint seconds)
{
  gint64 end = g_get_monotonic_time () + seconds * DP_US_PER_S;
  guint timer = g_timeout_add (20, wake, NULL);

  while (!f->closed && g_get_monotonic_time () < end)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (timer);
}

static void
run_for (guint ms)
{
  gint64 end = g_get_monotonic_time () + ms * DP_US_PER_MS;
  guint timer = g_timeout_add (5, wake, NULL);

  while (g_get_monotonic_time () < end)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (timer);
}

static DpMessage
make_records (gsize length, GPtrArray *items)
{
  const DpMessage message = { .type = DP_MESSAGE_RECORDS, .records = { 1, items } };
  g_autofree char *json = g_strnfill (length, 'x');

  json[0] = '"';
  json[length - 1] = '"';
  g_ptr_array_add (items, dp_record_new (DP_KIND_FLEET, "a", 1, FALSE, json, NULL));
  return message;
}

/* Messages of all sizes arrive whole, in whatever pieces the connection delivers them. */
static void
test_sizes (void)
{
  static const gsize lengths[] = {
    2, 1000, 65500, 65536, 131072, 500000, DP_RECORD_VALUE_MAX
  };
  Fixture f;
  Fixture g = { 0 };
  int fds[2];

  set_up (&f);
  CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, fds), 0);
  dp_channel_free (f.channel);
  f.channel = wrap (&f, fds[0]);
  g.counters = f.counters;
  g.channel = wrap (&g, fds[1]);
  for (guint i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      g_autoptr (GPtrArray)
          items = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
      const DpMessage message = make_records (lengths[i], items);

      dp_channel_send (f.channel, &message);
      while (g.n_received <= i && !g.closed)
        g_main_context_iteration (NULL, TRUE);
      CU_ASSERT_EQUAL (g.last_length, lengths[i]);
    }
  CU_ASSERT_EQUAL (f.counters.sent_bytes->value, f.counters.received_bytes->value);
  dp_channel_free (g.channel);
  tear_down (&f);
}

static void
test_bytewise (void)
{
  static const guint8 bytes[] = { 0, 0, 0, 2, 0x91, 0x06, /* PING */
                                  0, 0, 0, 4, 0x93, 0x02, 0, 0xa0 };
  Fixture f;

  set_up (&f);
  for (guint i = 0; i < sizeof bytes; i++)
    {
      g_socket_send (f.peer, (const char *) &bytes[i], 1, NULL, NULL);
      run_for (10);
    }
  CU_ASSERT_EQUAL (f.n_received, 1);
  CU_ASSERT_FALSE (f.closed);
  tear_down (&f);
}

typedef struct
{
  const char *description;
  guint8 bytes[8];
} BadFrame;

static void
test_bad_frames (void)
{
  static const BadFrame cases[] = {
    { "a frame over 64 KiB", { 0, 1, 0, 1, 0x91, 6, 0, 0 } },
    { "an empty frame", { 0, 0, 0, 0, 0, 0, 0, 0 } },
    { "no message", { 0, 0, 0, 4, 0xc1, 0xc1, 0xc1, 0xc1 } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture f;

      set_up (&f);
      g_socket_send (f.peer, (const char *) cases[i].bytes, sizeof cases[i].bytes, NULL,
                     NULL);
      wait_closed (&f, 5);
      if (!f.closed)
        g_printerr ("%s\n", cases[i].description);
      CU_ASSERT_TRUE (f.closed);
      CU_ASSERT_EQUAL (f.code, DP_ERROR_INVALID);
      CU_ASSERT_EQUAL (f.counters.malformed->value, 1);
      tear_down (&f);
    }
}

/* A message that is continued in frame after frame and never ends takes a bounded amount
 * of memory. */
static void
test_endless_message (void)
{
  static char frame[4 + 65536];
  Fixture f;

  set_up (&f);
  frame[0] = (char) 0x80;
  frame[1] = 1;
  g_socket_set_blocking (f.peer, FALSE);
  for (guint i = 0; i < 100000 && !f.closed; i++)
    {
      g_socket_send (f.peer, frame, sizeof frame, NULL, NULL);
      g_main_context_iteration (NULL, FALSE);
    }
  CU_ASSERT_TRUE (f.closed);
  CU_ASSERT_TRUE (f.counters.received_bytes->value < 2 * (guint64) DP_MESSAGE_MAX);
  tear_down (&f);
}

static void
test_slow_peer (void)
{
  g_autoptr (GPtrArray)
      items = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  const DpMessage message = make_records (60000, items);
  Fixture f;

  set_up (&f);
  for (guint i = 0; i < 100; i++)
    {
      dp_channel_send (f.channel, &message);
      CU_ASSERT_TRUE (dp_channel_queued (f.channel) <= DP_CHANNEL_QUEUE_MAX + 64);
    }
  wait_closed (&f, 5);
  CU_ASSERT_TRUE (f.closed);
  CU_ASSERT_EQUAL (f.code, DP_ERROR_LIMIT);
  tear_down (&f);
}

/* A peer that sends nothing on an open connection is disconnected after the time limit;
 * one that sends only pings is not. */
static void
test_silence (void)
{
  static const guint8 ping[] = { 0, 0, 0, 2, 0x91, 0x06 };
  gint64 start = g_get_monotonic_time ();
  Fixture silent;
  Fixture pinging;

  set_up (&silent);
  set_up (&pinging);
  while (!silent.closed && g_get_monotonic_time () - start < 20 * DP_US_PER_S)
    {
      g_socket_send (pinging.peer, (const char *) ping, sizeof ping, NULL, NULL);
      run_for (500);
    }
  CU_ASSERT_TRUE (silent.closed);
  CU_ASSERT_EQUAL (silent.code, DP_ERROR_UNAVAILABLE);
  CU_ASSERT_FALSE (pinging.closed);
  CU_ASSERT_TRUE (silent.counters.sent_bytes->value >= 2 * sizeof ping);
  tear_down (&silent);
  tear_down (&pinging);
}

static const DpTestCase cases_[] = {
  { "messages of all sizes arrive", test_sizes },
  { "a message in single bytes", test_bytewise },
  { "bad frames end the connection", test_bad_frames },
  { "an endless message closes the connection", test_endless_message },
  { "the queue of unsent bytes to a slow peer is limited", test_slow_peer },
  { "a silent peer is disconnected", test_silence },
};

DP_TEST_MAIN ("channel", cases_)
