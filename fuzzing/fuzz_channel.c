/* Fuzzes a control connection: frames arrive split, joined, oversized or interleaved. The
 * first byte of the input sets the size of the pieces in which the rest is written. */
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
  guint messages_until_reply; /* number of messages to receive until one is sent back; 0:
                                 none is sent */
} Peer;

static void
received (DpChannel *channel, const DpMessage *message, gpointer user_data)
{
  Peer *peer = user_data;

  if (peer->closed)
    g_error ("a message was received after the channel had closed");
  if (peer->messages_until_reply > 0 && --peer->messages_until_reply == 0)
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
    g_error ("the channel closed twice or without an error");
  peer->closed = TRUE;
}

static void
run_pending_events (void)
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
      run_pending_events ();
      data += length;
      size -= length;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const DpChannelListener listener = { received, drained, closed };
  static DpChannelMetrics channel_metrics;
  static DpMetrics *metrics;
  g_autoptr (GSocket) socket = NULL;
  g_autoptr (GSocketConnection) connection = NULL;
  Peer peer = { .messages_until_reply = 2 };
  DpChannel *channel;
  int fds[2];

  if (size == 0)
    return 0;
  if (metrics == NULL)
    {
      metrics = dp_metrics_new ();
      dp_channel_metrics_init (&channel_metrics, metrics);
    }
  if (socketpair (AF_UNIX, SOCK_STREAM, 0, fds) != 0)
    g_error ("socketpair failed");
  socket = g_socket_new_from_fd (fds[0], NULL);
  connection = g_socket_connection_factory_create_connection (socket);
  channel = dp_channel_new (connection, &channel_metrics, &listener, &peer);
  /* Limits the input to 8 pieces and a remainder, for speed. */
  write_pieces (fds[1], data + 1, size - 1, MAX (1 + data[0], size / 8));
  close (fds[1]);
  run_pending_events ();
  if (!peer.closed)
    g_error ("the channel did not notice that the peer closed the connection");
  dp_channel_free (channel);
  run_pending_events ();
  return 0;
}
