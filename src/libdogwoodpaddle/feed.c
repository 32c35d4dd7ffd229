#include "private/feed.h"

#include <string.h>

#include "protected/error.h"

/* GIO's default of 10 delays peers that connect in a burst. */
#define BACKLOG 128
/* Maximum bytes of names and values in one message. A single larger value, or records of
 * one position that exceed the limit together, are still sent in one message. */
#define BATCH_BYTES (32 * 1024)
/* Minimum time between two log lines on peers with another message version, which
 * connect again every few seconds. */
#define REFUSAL_LOG_INTERVAL_US (10 * G_USEC_PER_SEC)

struct _DpFeed
{
  DpFeedOptions options;
  DpFeedListener listener;
  gpointer user_data;
  GSocketService *socket_service;
  DpAddress address;
  GPtrArray *subscribers; /* Subscriber */
  guint replica_listener;
  guint flush;              /* source id */
  gint64 refusal_logged_at; /* us, of a peer with another message version; 0: never */
};

typedef struct
{
  DpFeed *feed;
  DpChannel *channel;
  char *name;                  /* NULL until HELLO */
  char *service;               /* NULL until SUBSCRIBE */
  DpPosition cursor;           /* all records up to this position have been sent */
  DpPosition complete_through; /* as last sent since SUBSCRIBE; 0: not yet */
  gboolean synced;             /* all records have been sent once since it subscribed */
} Subscriber;

static gboolean listen_ (DpFeed *feed, GError **error);
static gboolean incoming_ (GSocketService *service,
                           GSocketConnection *connection,
                           GObject *source,
                           gpointer user_data);
static gboolean is_trusted_ (DpFeed *feed, GSocketConnection *connection);
static void subscriber_free_ (gpointer data);
static void replica_changed_ (const DpRecord *record, gpointer user_data);
static gboolean flush_now_ (gpointer user_data);
static void send_batch_ (Subscriber *subscriber);
static guint fill_batch_ (GPtrArray *records, GPtrArray *batch);
static void received_ (DpChannel *channel, const DpMessage *message, gpointer user_data);
static gboolean answer_hello_ (Subscriber *subscriber, const DpHello *hello);
static void log_refusal_ (Subscriber *subscriber, const DpHello *hello);
static void drained_ (DpChannel *channel, gpointer user_data);
static void closed_ (DpChannel *channel, const GError *error, gpointer user_data);

/* Creates a feed and listens on the address; DP_ERROR_UNAVAILABLE if that fails. All that
 * the options point to has to outlive the feed. */
DpFeed *
dp_feed_new (const DpFeedOptions *options,
             const DpFeedListener *listener,
             gpointer user_data,
             GError **error)
{
  DpFeed *feed = g_new0 (DpFeed, 1);

  feed->options = *options;
  feed->listener = *listener;
  feed->user_data = user_data;
  feed->subscribers = g_ptr_array_new_with_free_func (subscriber_free_);
  feed->socket_service = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (feed->socket_service), BACKLOG);
  if (!listen_ (feed, error))
    {
      dp_feed_free (feed);
      return NULL;
    }
  feed->replica_listener = dp_replica_add_listener (options->replica, replica_changed_,
                                                    feed);
  g_signal_connect (feed->socket_service, "incoming", G_CALLBACK (incoming_), feed);
  return feed;
}

/* Closes all connections and frees the feed. */
void
dp_feed_free (DpFeed *feed)
{
  if (feed == NULL)
    return;
  if (feed->replica_listener != 0)
    dp_replica_remove_listener (feed->options.replica, feed->replica_listener);
  g_signal_handlers_disconnect_by_data (feed->socket_service, feed);
  g_socket_service_stop (feed->socket_service);
  g_socket_listener_close (G_SOCKET_LISTENER (feed->socket_service));
  g_object_unref (feed->socket_service);
  g_clear_handle_id (&feed->flush, g_source_remove);
  g_ptr_array_unref (feed->subscribers);
  g_free (feed);
}

/* Returns the address that the feed listens on, with the port that was chosen for port
 * 0. */
DpAddress
dp_feed_address (const DpFeed *feed)
{
  return feed->address;
}

/* Returns the number of connections that have subscribed. */
guint
dp_feed_subscribers (const DpFeed *feed)
{
  guint n = 0;

  for (guint i = 0; i < feed->subscribers->len; i++)
    n += ((const Subscriber *) g_ptr_array_index (feed->subscribers, i))->service != NULL;
  return n;
}

/* Sends new records and the replica's position at the main loop's next iteration, so that
 * several changes share a message. */
void
dp_feed_flush (DpFeed *feed)
{
  if (feed->flush == 0)
    feed->flush = g_idle_add_full (G_PRIORITY_DEFAULT, flush_now_, feed, NULL);
}

/* Sends a message without records to each subscriber that has all records; it contains
 * age_ms, the time since the platform was known to have nothing newer. */
void
dp_feed_send_freshness (DpFeed *feed, guint32 age_ms)
{
  const DpPosition position = dp_replica_position (feed->options.replica);
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  const DpMessage message = {
    .type = DP_MESSAGE_RECORDS,
    .records = { .complete_through = position,
                 .items = none,
                 .has_age = TRUE,
                 .age_ms = age_ms },
  };

  for (guint i = 0; i < feed->subscribers->len; i++)
    {
      Subscriber *subscriber = g_ptr_array_index (feed->subscribers, i);

      if (dp_channel_queued (subscriber->channel) > 0)
        continue; /* earlier messages are still being written */
      send_batch_ (subscriber);
      if (subscriber->synced
          && dp_position_compare (subscriber->complete_through, position) >= 0)
        dp_channel_send (subscriber->channel, &message);
    }
}

static gboolean
listen_ (DpFeed *feed, GError **error)
{
  const DpAddress *wanted = feed->options.address;
  g_autofree char *host = g_strdup_printf ("%u.%u.%u.%u", wanted->ip >> 24,
                                           (wanted->ip >> 16) & 0xff,
                                           (wanted->ip >> 8) & 0xff, wanted->ip & 0xff);
  g_autoptr (GSocketAddress)
      address = g_inet_socket_address_new_from_string (host, wanted->port);
  g_autoptr (GSocketAddress) effective = NULL;
  g_autoptr (GError) cause = NULL;

  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (feed->socket_service), address,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
                                      &effective, &cause))
    {
      dp_error_set (error, DP_ERROR_UNAVAILABLE, "control listener", host, "%s",
                    cause->message);
      return FALSE;
    }
  feed->address.ip = wanted->ip;
  feed->address.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (effective));
  return TRUE;
}

static gboolean
incoming_ (GSocketService *service,
           GSocketConnection *connection,
           GObject *source,
           gpointer user_data)
{
  static const DpChannelListener listener = {
    .received = received_,
    .drained = drained_,
    .closed = closed_,
  };
  DpFeed *feed = user_data;
  Subscriber *subscriber;

  if (feed->subscribers->len >= DP_FEED_MAX_CONNECTIONS
      || !is_trusted_ (feed, connection))
    {
      dp_metric_increment (feed->options.metrics->refused);
      g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
      return TRUE;
    }
  subscriber = g_new0 (Subscriber, 1);
  subscriber->feed = feed;
  subscriber->channel = dp_channel_new (connection, feed->options.metrics, &listener,
                                        subscriber);
  g_ptr_array_add (feed->subscribers, subscriber);
  return TRUE;
}

static gboolean
is_trusted_ (DpFeed *feed, GSocketConnection *connection)
{
  g_autoptr (GSocketAddress)
      address = g_socket_connection_get_remote_address (connection, NULL);
  g_autofree char *host = NULL;
  guint32 ip;

  if (feed->options.n_trusted == 0)
    return TRUE;
  if (address == NULL || !G_IS_INET_SOCKET_ADDRESS (address))
    return FALSE;
  host = g_inet_address_to_string (
      g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (address)));
  if (!dp_ip_parse (host, &ip, NULL))
    return FALSE;
  for (guint i = 0; i < feed->options.n_trusted; i++)
    {
      if (dp_network_contains (&feed->options.trusted[i], ip))
        return TRUE;
    }
  return FALSE;
}

static void
subscriber_free_ (gpointer data)
{
  Subscriber *subscriber = data;

  dp_channel_free (subscriber->channel);
  g_free (subscriber->name);
  g_free (subscriber->service);
  g_free (subscriber);
}

/* Makes sure that the record will be sent, even if its position is lower than that of
 * records sent before. */
static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpFeed *feed = user_data;

  for (guint i = 0; i < feed->subscribers->len; i++)
    {
      Subscriber *subscriber = g_ptr_array_index (feed->subscribers, i);

      if (record->position > 0
          && dp_position_compare (subscriber->cursor, record->position) >= 0)
        subscriber->cursor = record->position - 1;
    }
  dp_feed_flush (feed);
}

static gboolean
flush_now_ (gpointer user_data)
{
  DpFeed *feed = user_data;

  feed->flush = 0;
  for (guint i = 0; i < feed->subscribers->len; i++)
    send_batch_ (g_ptr_array_index (feed->subscribers, i));
  return G_SOURCE_REMOVE;
}

/* Sends one batch. The next one follows when this one has been written, so that a slow
 * subscriber takes at most the memory of one batch. */
static void
send_batch_ (Subscriber *subscriber)
{
  DpReplica *replica = subscriber->feed->options.replica;
  DpPosition position = dp_replica_position (replica);
  g_autoptr (GPtrArray) records = NULL;
  g_autoptr (GPtrArray) batch = g_ptr_array_new ();
  DpMessage message = { .type = DP_MESSAGE_RECORDS };
  guint left;

  if (subscriber->service == NULL || dp_channel_queued (subscriber->channel) > 0)
    return;
  records = dp_replica_since (replica, subscriber->cursor, subscriber->service);
  if (records->len == 0 && subscriber->synced
      && dp_position_compare (subscriber->complete_through, position) >= 0)
    return;
  left = fill_batch_ (records, batch);
  if (batch->len > 0)
    subscriber->cursor =
        ((const DpRecord *) g_ptr_array_index (batch, batch->len - 1))->position;
  message.records.items = batch;
  if (left == 0)
    {
      message.records.complete_through = position;
      subscriber->complete_through = position;
      subscriber->cursor = dp_position_max (subscriber->cursor, position);
      subscriber->synced = TRUE;
    }
  dp_channel_send (subscriber->channel, &message);
}

/* Fills the batch with the first records and returns the number of those left. Records of
 * one position go into the same batch, up to DP_MESSAGE_RECORDS_MAX. */
static guint
fill_batch_ (GPtrArray *records, GPtrArray *batch)
{
  gsize bytes = 0;
  DpPosition last = 0;

  for (guint i = 0; i < records->len; i++)
    {
      DpRecord *record = g_ptr_array_index (records, i);

      bytes += strlen (record->json) + strlen (record->name);
      if (i > 0 && record->position != last
          && (bytes > BATCH_BYTES || batch->len >= DP_MESSAGE_RECORDS_MAX / 2))
        return records->len - i;
      if (batch->len == DP_MESSAGE_RECORDS_MAX)
        return records->len - i;
      last = record->position;
      g_ptr_array_add (batch, record);
    }
  return 0;
}

static void
received_ (DpChannel *channel, const DpMessage *message, gpointer user_data)
{
  Subscriber *subscriber = user_data;
  DpFeed *feed = subscriber->feed;

  if (message->type == DP_MESSAGE_HELLO)
    {
      if (!answer_hello_ (subscriber, &message->hello))
        g_ptr_array_remove (feed->subscribers, subscriber);
      return;
    }
  if (subscriber->name == NULL)
    {
      dp_metric_increment (feed->options.metrics->malformed);
      return;
    }
  switch (message->type)
    {
    case DP_MESSAGE_SUBSCRIBE:
      g_free (subscriber->service);
      subscriber->service = g_strdup (message->subscribe.service);
      subscriber->cursor = message->subscribe.since;
      subscriber->complete_through = 0;
      subscriber->synced = FALSE;
      dp_feed_flush (feed);
      break;
    case DP_MESSAGE_HEARTBEAT:
      if (g_str_equal (message->heartbeat.member, subscriber->name))
        feed->listener.heartbeat (&message->heartbeat, feed->user_data);
      else
        dp_metric_increment (feed->options.metrics->malformed);
      break;
    case DP_MESSAGE_SUSPECT:
      if (g_str_equal (message->suspicion.watcher, subscriber->name))
        feed->listener.suspicion (&message->suspicion, feed->user_data);
      else
        dp_metric_increment (feed->options.metrics->malformed);
      break;
    case DP_MESSAGE_HELLO:
    case DP_MESSAGE_RECORDS:
    case DP_MESSAGE_PING:
    case DP_MESSAGE_NONE:
    case DP_N_MESSAGES:
    default:
      dp_metric_increment (feed->options.metrics->malformed);
      break;
    }
}

/* Answers the peer's greeting. Returns FALSE if the peer is to be refused, because its
 * positions may mean something else than those of this build. */
static gboolean
answer_hello_ (Subscriber *subscriber, const DpHello *hello)
{
  DpFeed *feed = subscriber->feed;
  const DpFeedOptions *options = &subscriber->feed->options;
  const DpMessage answer = {
    .type = DP_MESSAGE_HELLO,
    .hello = { DP_MESSAGE_VERSION, DP_ROLE_BALANCER, options->name, options->zone,
               dp_replica_position (options->replica) },
  };

  if (hello->version != DP_MESSAGE_VERSION)
    {
      log_refusal_ (subscriber, hello);
      return FALSE;
    }
  g_free (subscriber->name);
  subscriber->name = g_strdup (hello->name);
  dp_channel_send (subscriber->channel, &answer);
  if (feed->listener.newer_peer != NULL
      && dp_position_compare (hello->position, dp_replica_position (options->replica))
             > 0)
    feed->listener.newer_peer (hello->name, feed->user_data);
  return TRUE;
}

static void
log_refusal_ (Subscriber *subscriber, const DpHello *hello)
{
  DpFeed *feed = subscriber->feed;
  const gint64 now = g_get_monotonic_time ();

  dp_metric_increment (feed->options.metrics->refused);
  if (feed->refusal_logged_at != 0
      && now - feed->refusal_logged_at < REFUSAL_LOG_INTERVAL_US)
    return;
  feed->refusal_logged_at = now;
  g_critical ("control channel: %s (%s): refused, its message version is %u and that of "
              "this process is %d; both have to run the same build",
              dp_channel_peer (subscriber->channel), hello->name, hello->version,
              DP_MESSAGE_VERSION);
}

static void
drained_ (DpChannel *channel, gpointer user_data)
{
  send_batch_ (user_data);
}

static void
closed_ (DpChannel *channel, const GError *error, gpointer user_data)
{
  Subscriber *subscriber = user_data;

  g_debug ("%s", error->message);
  g_ptr_array_remove (subscriber->feed->subscribers, subscriber);
}
