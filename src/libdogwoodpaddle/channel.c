#include "protected/channel.h"

#include <string.h>

#include "protected/address.h"
#include "protected/error.h"

#define LENGTH_SIZE 4
/* Flag in the length field: the message continues in the next frame. */
#define CONTINUED_FLAG 0x80000000u
#define READ_SIZE (16 * 1024)
#define STEP "control channel"

struct _DpChannel
{
  GSocketConnection *connection;
  DpChannelMetrics metrics;
  DpChannelListener listener;
  gpointer user_data;
  char peer[DP_ADDRESS_STRLEN];
  GCancellable *cancellable;
  guint n_pending_calls; /* asynchronous calls in progress */
  gboolean closed; /* the listener's closed was called, or the owner freed the channel */
  gboolean freed;  /* by the owner; memory is released once no call is pending */
  GError *pending_error; /* to be reported from the idle source */
  guint error_idle;      /* source id */
  guint timer;           /* source id */
  guint silent_s;        /* since bytes were last received */
  guint unsent_s;        /* since bytes were last sent */
  /* Sending. */
  GQueue queue; /* GBytes, frames with their length */
  gsize queued; /* bytes */
  gboolean writing;
  /* Receiving. */
  guint8 buffer[READ_SIZE];
  GByteArray *input;   /* bytes of incomplete frames */
  GByteArray *message; /* frames of an incomplete message */
};

static void read_more_ (DpChannel *channel);
static void read_ready_ (GObject *source, GAsyncResult *result, gpointer user_data);
static gboolean handle_frames_ (DpChannel *channel, GError **error);
static gboolean
handle_message_ (DpChannel *channel, const guint8 *data, gsize length, GError **error);
static void write_more_ (DpChannel *channel);
static void write_ready_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void
enqueue_ (DpChannel *channel, const guint8 *data, gsize length, gboolean continued);
static gboolean tick_ (gpointer user_data);
static void fail_ (DpChannel *channel, GError *error);
static gboolean report_error_ (gpointer user_data);
static void release_ (DpChannel *channel);

/* Adds the counters of control channels to the metrics of the process. */
void
dp_channel_metrics_init (DpChannelMetrics *metrics, DpMetrics *all)
{
  metrics->sent_bytes = dp_metrics_add (all, DP_METRIC_COUNTER,
                                        "dogwoodpaddle_control_sent_bytes_total", "",
                                        "Bytes of control messages sent");
  metrics->received_bytes = dp_metrics_add (all, DP_METRIC_COUNTER,
                                            "dogwoodpaddle_control_received_bytes_total",
                                            "", "Bytes of control messages received");
  metrics->malformed = dp_metrics_add (all, DP_METRIC_COUNTER,
                                       "dogwoodpaddle_control_malformed_total", "",
                                       "Malformed control messages");
  metrics->refused = dp_metrics_add (all, DP_METRIC_COUNTER,
                                     "dogwoodpaddle_control_refused_total", "",
                                     "Control connections refused");
}

/* Creates a channel on an open connection and starts to receive. Sends a ping when
 * nothing else was sent for DP_CHANNEL_PING_INTERVAL_S, and closes when nothing was
 * received for DP_CHANNEL_SILENCE_TIMEOUT_S. */
DpChannel *
dp_channel_new (GSocketConnection *connection,
                const DpChannelMetrics *metrics,
                const DpChannelListener *listener,
                gpointer user_data)
{
  DpChannel *channel = g_new0 (DpChannel, 1);
  g_autoptr (GSocketAddress)
      address = g_socket_connection_get_remote_address (connection, NULL);
  g_autofree char *peer = address == NULL ? g_strdup ("?")
                                          : g_socket_connectable_to_string (
                                              G_SOCKET_CONNECTABLE (address));

  g_strlcpy (channel->peer, peer, sizeof channel->peer);
  channel->connection = g_object_ref (connection);
  channel->metrics = *metrics;
  channel->listener = *listener;
  channel->user_data = user_data;
  channel->cancellable = g_cancellable_new ();
  channel->input = g_byte_array_new ();
  channel->message = g_byte_array_new ();
  g_queue_init (&channel->queue);
  channel->timer = g_timeout_add_seconds (1, tick_, channel);
  read_more_ (channel);
  return channel;
}

/* Closes the connection; unsent messages are lost. */
void
dp_channel_free (DpChannel *channel)
{
  if (channel == NULL)
    return;
  g_assert (!channel->freed);
  channel->freed = TRUE;
  channel->closed = TRUE;
  g_clear_handle_id (&channel->timer, g_source_remove);
  g_clear_handle_id (&channel->error_idle, g_source_remove);
  g_cancellable_cancel (channel->cancellable);
  release_ (channel);
}

/* Queues a message, in several frames if it is larger than one. If more than
 * DP_CHANNEL_QUEUE_MAX bytes would be unsent, the channel is closed with DP_ERROR_LIMIT:
 * the peer is too slow and has to connect and subscribe again. */
void
dp_channel_send (DpChannel *channel, const DpMessage *message)
{
  g_autoptr (GBytes) bytes = NULL;
  const guint8 *data;
  gsize left;

  if (channel->closed || channel->pending_error != NULL)
    return;
  bytes = dp_message_encode (message);
  data = g_bytes_get_data (bytes, &left);
  if (channel->queued + left > DP_CHANNEL_QUEUE_MAX)
    {
      GError *error = NULL;

      dp_error_set (&error, DP_ERROR_LIMIT, STEP, channel->peer,
                    "%" G_GSIZE_FORMAT " bytes are unsent", channel->queued);
      fail_ (channel, error);
      return;
    }
  while (left > DP_FRAME_MAX)
    {
      enqueue_ (channel, data, DP_FRAME_MAX, TRUE);
      data += DP_FRAME_MAX;
      left -= DP_FRAME_MAX;
    }
  enqueue_ (channel, data, left, FALSE);
  write_more_ (channel);
}

/* Returns the number of unsent bytes. */
gsize
dp_channel_queued (const DpChannel *channel)
{
  return channel->queued;
}

/* Returns the peer's IP:PORT, "?" if it is unknown. */
const char *
dp_channel_peer (const DpChannel *channel)
{
  return channel->peer;
}

static void
read_more_ (DpChannel *channel)
{
  GInputStream *input = g_io_stream_get_input_stream (G_IO_STREAM (channel->connection));

  channel->n_pending_calls++;
  g_input_stream_read_async (input, channel->buffer, READ_SIZE, G_PRIORITY_DEFAULT,
                             channel->cancellable, read_ready_, channel);
}

static void
read_ready_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  DpChannel *channel = user_data;
  GError *error = NULL;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, &error);

  channel->n_pending_calls--;
  if (channel->closed)
    {
      g_clear_error (&error);
      release_ (channel);
      return;
    }
  if (n == 0)
    dp_error_set (&error, DP_ERROR_CLOSED, STEP, channel->peer, "the peer closed");
  if (n <= 0)
    {
      fail_ (channel, error);
      return;
    }
  channel->silent_s = 0;
  channel->metrics.received_bytes->value += (guint64) n;
  g_byte_array_append (channel->input, channel->buffer, (guint) n);
  channel->n_pending_calls++; /* keeps the memory if the listener frees the channel */
  if (!handle_frames_ (channel, &error))
    {
      dp_metric_increment (channel->metrics.malformed);
      fail_ (channel, error);
    }
  channel->n_pending_calls--;
  if (channel->freed)
    release_ (channel);
  else if (!channel->closed && channel->pending_error == NULL)
    read_more_ (channel);
}

/* Handles all complete frames in the input buffer and removes them from it. */
static gboolean
handle_frames_ (DpChannel *channel, GError **error)
{
  gsize offset = 0;
  gboolean ok = TRUE;

  while (ok && !channel->closed && channel->input->len - offset >= LENGTH_SIZE)
    {
      const guint8 *frame = channel->input->data + offset;
      guint32 field = (guint32) frame[0] << 24 | (guint32) frame[1] << 16
                      | (guint32) frame[2] << 8 | frame[3];
      guint32 length = field & ~CONTINUED_FLAG;

      if (length > DP_FRAME_MAX || channel->message->len + length > DP_MESSAGE_MAX)
        {
          dp_error_set (error, DP_ERROR_INVALID, STEP, channel->peer,
                        "a frame or message is too long");
          return FALSE;
        }
      if (channel->input->len - offset < LENGTH_SIZE + length)
        break;
      offset += LENGTH_SIZE + length;
      if ((field & CONTINUED_FLAG) == 0 && channel->message->len == 0)
        ok = handle_message_ (channel, frame + LENGTH_SIZE, length, error);
      else
        {
          g_byte_array_append (channel->message, frame + LENGTH_SIZE, length);
          if ((field & CONTINUED_FLAG) != 0)
            continue;
          ok = handle_message_ (channel, channel->message->data, channel->message->len,
                                error);
          g_byte_array_set_size (channel->message, 0);
        }
    }
  if (offset > 0)
    g_byte_array_remove_range (channel->input, 0, (guint) offset);
  return ok;
}

static gboolean
handle_message_ (DpChannel *channel, const guint8 *data, gsize length, GError **error)
{
  g_autoptr (GError) cause = NULL;
  DpMessage message;

  if (!dp_message_decode (&message, data, length, &cause))
    {
      dp_error_set (error, DP_ERROR_INVALID, STEP, channel->peer, "%s", cause->message);
      return FALSE;
    }
  if (message.type != DP_MESSAGE_PING)
    channel->listener.received (channel, &message, channel->user_data);
  dp_message_clear (&message);
  return TRUE;
}

static void
write_more_ (DpChannel *channel)
{
  GOutputStream *output = g_io_stream_get_output_stream (
      G_IO_STREAM (channel->connection));
  GBytes *frame = g_queue_peek_head (&channel->queue);
  gsize length;
  gconstpointer data;

  if (channel->writing || frame == NULL)
    return;
  data = g_bytes_get_data (frame, &length);
  channel->writing = TRUE;
  channel->n_pending_calls++;
  g_output_stream_write_all_async (output, data, length, G_PRIORITY_DEFAULT,
                                   channel->cancellable, write_ready_, channel);
}

static void
write_ready_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  DpChannel *channel = user_data;
  GError *error = NULL;
  gsize n;
  gboolean ok = g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, &n,
                                                  &error);

  channel->n_pending_calls--;
  channel->writing = FALSE;
  if (channel->closed)
    {
      g_clear_error (&error);
      release_ (channel);
      return;
    }
  if (!ok)
    {
      fail_ (channel, error);
      return;
    }
  channel->unsent_s = 0;
  channel->metrics.sent_bytes->value += n;
  channel->queued -= n;
  g_bytes_unref (g_queue_pop_head (&channel->queue));
  if (g_queue_is_empty (&channel->queue))
    channel->listener.drained (channel, channel->user_data);
  else
    write_more_ (channel);
}

static void
enqueue_ (DpChannel *channel, const guint8 *data, gsize length, gboolean continued)
{
  guint32 field = (guint32) length | (continued ? CONTINUED_FLAG : 0);
  guint8 *frame = g_malloc (LENGTH_SIZE + length);

  frame[0] = (guint8) (field >> 24);
  frame[1] = (guint8) (field >> 16);
  frame[2] = (guint8) (field >> 8);
  frame[3] = (guint8) field;
  memcpy (frame + LENGTH_SIZE, data, length);
  g_queue_push_tail (&channel->queue, g_bytes_new_take (frame, LENGTH_SIZE + length));
  channel->queued += LENGTH_SIZE + length;
}

static gboolean
tick_ (gpointer user_data)
{
  static const DpMessage ping = { .type = DP_MESSAGE_PING };
  DpChannel *channel = user_data;

  channel->silent_s++;
  channel->unsent_s++;
  if (channel->silent_s >= DP_CHANNEL_SILENCE_TIMEOUT_S)
    {
      GError *error = NULL;

      dp_error_set (&error, DP_ERROR_UNAVAILABLE, STEP, channel->peer, "silent for %d s",
                    DP_CHANNEL_SILENCE_TIMEOUT_S);
      channel->timer = 0;
      fail_ (channel, error);
      return G_SOURCE_REMOVE;
    }
  if (channel->unsent_s >= DP_CHANNEL_PING_INTERVAL_S
      && g_queue_is_empty (&channel->queue))
    dp_channel_send (channel, &ping);
  return G_SOURCE_CONTINUE;
}

/* Schedules the call of the listener's closed function. The call is made from the main
 * loop, so that the channel is not freed while a caller is in dp_channel_send (). Takes
 * ownership of the error. */
static void
fail_ (DpChannel *channel, GError *error)
{
  if (channel->closed || channel->pending_error != NULL)
    {
      g_error_free (error);
      return;
    }
  channel->pending_error = error;
  channel->error_idle = g_idle_add_full (G_PRIORITY_DEFAULT, report_error_, channel,
                                         NULL);
}

static gboolean
report_error_ (gpointer user_data)
{
  DpChannel *channel = user_data;
  g_autoptr (GError) error = g_steal_pointer (&channel->pending_error);

  channel->error_idle = 0;
  channel->closed = TRUE;
  g_clear_handle_id (&channel->timer, g_source_remove);
  g_cancellable_cancel (channel->cancellable);
  channel->listener.closed (channel, error, channel->user_data);
  return G_SOURCE_REMOVE;
}

static void
release_ (DpChannel *channel)
{
  if (!channel->freed || channel->n_pending_calls > 0)
    return;
  g_io_stream_close (G_IO_STREAM (channel->connection), NULL, NULL);
  g_object_unref (channel->connection);
  g_object_unref (channel->cancellable);
  g_clear_error (&channel->pending_error);
  g_queue_clear_full (&channel->queue, (GDestroyNotify) g_bytes_unref);
  g_byte_array_unref (channel->input);
  g_byte_array_unref (channel->message);
  g_free (channel);
}
