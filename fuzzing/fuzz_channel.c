/* A control connection: frames that arrive split, joined, oversized or interleaved. The
 * first byte chooses the size of the pieces in which the rest is written. */
#include <gio/gio.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protected/channel.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

typedef struct
{
  gboolean closed;
  guint left; /* messages until the listener sends an answer */
} Peer;

static void
received (DpChannel *channel, const DpMessage *message, gpointer user_data)
{
  Peer *peer = user_data;

  if (peer->closed)
    g_error ("a message after the end");
  if (peer->left > 0 && --peer->left == 0)
    dp_channel_send (channel, message);
}

static void
drained (DpChannel *channel, gpointer user_data)
{
}

static void
closed (DpChannel *channel, const GError *error, gpointer user_data)
{
  Peer *peer = user_data;

  if (peer->closed || error == NULL)
    g_error ("closed twice or without a reason");
  peer->closed = TRUE;
}

static void
settle (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

static void
write_pieces (int fd, const uint8_t *data, size_t size, size_t piece)
{
  while (size > 0)
    {
      size_t length = MIN (size, piece);

      if (send (fd, data, length, MSG_NOSIGNAL) != (ssize_t) length)
        return;
      settle ();
      data += length;
      size -= length;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const DpChannelListener listener = { received, drained, closed };
  static DpChannelMetrics counters;
  static DpMetrics *metrics;
  g_autoptr (GSocket) socket = NULL;
  g_autoptr (GSocketConnection) connection = NULL;
  Peer peer = { .left = 2 };
  DpChannel *channel;
  int fds[2];

  if (size == 0)
    return 0;
  if (metrics == NULL)
    {
      metrics = dp_metrics_new ();
      dp_channel_metrics_init (&counters, metrics);
    }
  if (socketpair (AF_UNIX, SOCK_STREAM, 0, fds) != 0)
    g_error ("no socket pair");
  socket = g_socket_new_from_fd (fds[0], NULL);
  connection = g_socket_connection_factory_create_connection (socket);
  channel = dp_channel_new (connection, &counters, &listener, &peer);
  /* At most 8 pieces and the rest, for speed. */
  write_pieces (fds[1], data + 1, size - 1, MAX (1 + data[0], size / 8));
  close (fds[1]);
  settle ();
  if (!peer.closed)
    g_error ("the end was not noticed");
  dp_channel_free (channel);
  settle ();
  return 0;
}
