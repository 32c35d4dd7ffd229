/* One TCP connection that carries control messages in frames. */
#pragma once

#include <gio/gio.h>

#include "protected/clock.h"
#include "protected/message.h"
#include "protected/metrics.h"

#define DP_FRAME_MAX (64 * 1024)               /* bytes, without the length field */
#define DP_CHANNEL_QUEUE_MAX (2 * 1024 * 1024) /* unsent bytes */
/* If two successive parents in the relay tree hang, the connections to both time out
 * within 12 s, so that a change still takes effect everywhere within 19 s. */
#define DP_CHANNEL_PING_INTERVAL_S 2
#define DP_CHANNEL_SILENCE_TIMEOUT_S 6

typedef struct _DpChannel DpChannel;

typedef struct
{
  void (*received) (DpChannel *channel, const DpMessage *message, gpointer user_data);
  /* All queued messages have been written to the connection. */
  void (*drained) (DpChannel *channel, gpointer user_data);
  /* The connection has ended. The channel no longer sends or receives, and its owner has
   * to free it. */
  void (*closed) (DpChannel *channel, const GError *error, gpointer user_data);
} DpChannelListener;

/* Counters shared by all channels of a process. */
typedef struct
{
  DpMetric *sent_bytes;
  DpMetric *received_bytes;
  DpMetric *malformed;
  DpMetric *refused; /* connections from untrusted sources, or too many */
} DpChannelMetrics;

void dp_channel_metrics_init (DpChannelMetrics *metrics, DpMetrics *all);
DpChannel *dp_channel_new (GSocketConnection *connection,
                           const DpChannelMetrics *metrics,
                           const DpChannelListener *listener,
                           gpointer user_data);
void dp_channel_free (DpChannel *channel);
void dp_channel_send (DpChannel *channel, const DpMessage *message);
gsize dp_channel_queued (const DpChannel *channel);
const char *dp_channel_peer (const DpChannel *channel);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpChannel, dp_channel_free)
