#include "private/upstream.h"

#include <string.h>

#include "protected/backoff.h"
#include "protected/error.h"

#define CONNECT_TIMEOUT_S 3
#define RETRY_FIRST_MS 200
#define RETRY_MAX_MS 5000
/* Time for the peer's greeting. A peer with another message version sends none. */
#define HELLO_TIMEOUT_MS 3000

struct _DpUpstream
{
  DpUpstreamOptions options;
  DpUpstreamListener listener;
  gpointer user_data;
  GArray *peers; /* DpAddress */
  guint index;   /* of the current peer */
  DpBackoff backoff;
  guint retry; /* source id */
  GSocketClient *client;
  GCancellable *connecting; /* of the attempt in progress, or NULL */
  DpChannel *channel;
  gboolean greeted;    /* the peer has sent its HELLO */
  guint hello_timeout; /* source id */
  gboolean synced;
};

/* A connection attempt. It may outlive its upstream until the asynchronous call
 * returns. */
typedef struct
{
  DpUpstream *upstream;
  GCancellable *cancellable;
} Attempt;

static void connect_ (DpUpstream *upstream);
static void connected_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void send_hello_ (DpUpstream *upstream);
static gboolean hello_timed_out_ (gpointer user_data);
static void leave_peer_ (DpUpstream *upstream);
static void disconnect_ (DpUpstream *upstream);
static void try_next_ (DpUpstream *upstream);
static gboolean retry_now_ (gpointer user_data);
static void received_ (DpChannel *channel, const DpMessage *message, gpointer user_data);
static void drained_ (DpChannel *channel, gpointer user_data);
static void closed_ (DpChannel *channel, const GError *error, gpointer user_data);

/* Creates an upstream without peers. All that the options point to has to outlive the
 * upstream. */
DpUpstream *
dp_upstream_new (const DpUpstreamOptions *options,
                 const DpUpstreamListener *listener,
                 gpointer user_data)
{
  DpUpstream *upstream = g_new0 (DpUpstream, 1);

  upstream->options = *options;
  upstream->listener = *listener;
  upstream->user_data = user_data;
  upstream->peers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  dp_backoff_init (&upstream->backoff, RETRY_FIRST_MS, RETRY_MAX_MS);
  upstream->client = g_socket_client_new ();
  g_socket_client_set_timeout (upstream->client, CONNECT_TIMEOUT_S);
  g_socket_client_set_enable_proxy (upstream->client, FALSE);
  return upstream;
}

/* Closes the connection and frees the upstream. */
void
dp_upstream_free (DpUpstream *upstream)
{
  if (upstream == NULL)
    return;
  disconnect_ (upstream);
  g_object_unref (upstream->client);
  g_array_unref (upstream->peers);
  g_free (upstream);
}

/* Replaces the peers. Connects to the new first one, unless it is the current peer. */
void
dp_upstream_set_peers (DpUpstream *upstream, const DpAddress *peers, guint n_peers)
{
  gboolean active = upstream->index < upstream->peers->len
                    && (upstream->channel != NULL || upstream->connecting != NULL);
  gboolean keep = active && n_peers > 0
                  && dp_address_equal (
                      &g_array_index (upstream->peers, DpAddress, upstream->index),
                      &peers[0]);

  if (n_peers == upstream->peers->len
      && (n_peers == 0
          || memcmp (upstream->peers->data, peers, n_peers * sizeof *peers) == 0))
    return;
  g_array_set_size (upstream->peers, 0);
  g_array_append_vals (upstream->peers, peers, n_peers);
  upstream->index = 0;
  if (keep)
    return;
  disconnect_ (upstream);
  dp_backoff_reset (&upstream->backoff);
  connect_ (upstream);
}

/* Disconnects from the current peer and connects to the next one. */
void
dp_upstream_skip (DpUpstream *upstream)
{
  disconnect_ (upstream);
  try_next_ (upstream);
}

/* Returns whether a connection is open. */
gboolean
dp_upstream_connected (const DpUpstream *upstream)
{
  return upstream->channel != NULL;
}

/* Returns whether a connection is open over which the peer has sent all its records. */
gboolean
dp_upstream_synced (const DpUpstream *upstream)
{
  return upstream->synced;
}

/* Sends a message; it is lost while no connection is open. */
void
dp_upstream_send (DpUpstream *upstream, const DpMessage *message)
{
  if (upstream->channel != NULL)
    dp_channel_send (upstream->channel, message);
}

static void
connect_ (DpUpstream *upstream)
{
  const DpAddress *peer;
  g_autoptr (GSocketAddress) address = NULL;
  g_autofree char *host = NULL;
  Attempt *attempt;

  if (upstream->peers->len == 0)
    return;
  peer = &g_array_index (upstream->peers, DpAddress, upstream->index);
  host = g_strdup_printf ("%u.%u.%u.%u", peer->ip >> 24, (peer->ip >> 16) & 0xff,
                          (peer->ip >> 8) & 0xff, peer->ip & 0xff);
  address = g_inet_socket_address_new_from_string (host, peer->port);
  attempt = g_new0 (Attempt, 1);
  attempt->upstream = upstream;
  attempt->cancellable = g_cancellable_new ();
  upstream->connecting = attempt->cancellable;
  g_socket_client_connect_async (upstream->client, G_SOCKET_CONNECTABLE (address),
                                 attempt->cancellable, connected_, attempt);
}

static void
connected_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  static const DpChannelListener listener = {
    .received = received_,
    .drained = drained_,
    .closed = closed_,
  };
  Attempt *attempt = user_data;
  DpUpstream *upstream = attempt->upstream;
  gboolean cancelled = g_cancellable_is_cancelled (attempt->cancellable);
  g_autoptr (GSocketConnection) connection = g_socket_client_connect_finish (
      G_SOCKET_CLIENT (source), result, NULL);

  g_object_unref (attempt->cancellable);
  g_free (attempt);
  if (cancelled)
    return;
  upstream->connecting = NULL;
  if (connection == NULL)
    {
      try_next_ (upstream);
      return;
    }
  g_socket_set_timeout (g_socket_connection_get_socket (connection), 0);
  upstream->channel = dp_channel_new (connection, upstream->options.metrics, &listener,
                                      upstream);
  send_hello_ (upstream);
  upstream->hello_timeout = g_timeout_add (HELLO_TIMEOUT_MS, hello_timed_out_, upstream);
  if (!upstream->options.subscribe)
    dp_backoff_reset (&upstream->backoff);
}

static void
send_hello_ (DpUpstream *upstream)
{
  const DpUpstreamOptions *options = &upstream->options;
  DpPosition position = dp_replica_position (options->replica);
  const DpMessage hello = {
    .type = DP_MESSAGE_HELLO,
    .hello = { DP_MESSAGE_VERSION, options->role, options->name, options->zone,
               position },
  };
  const DpMessage subscribe = {
    .type = DP_MESSAGE_SUBSCRIBE,
    .subscribe = { position, options->service },
  };

  dp_channel_send (upstream->channel, &hello);
  if (options->subscribe)
    dp_channel_send (upstream->channel, &subscribe);
}

static gboolean
hello_timed_out_ (gpointer user_data)
{
  DpUpstream *upstream = user_data;

  upstream->hello_timeout = 0;
  g_warning ("control channel: %s: no greeting within %d ms; it hangs or is of a build "
             "with another message version than %d",
             dp_channel_peer (upstream->channel), HELLO_TIMEOUT_MS, DP_MESSAGE_VERSION);
  leave_peer_ (upstream);
  return G_SOURCE_REMOVE;
}

/* Disconnects from a peer that can't be used and tries the next one. */
static void
leave_peer_ (DpUpstream *upstream)
{
  const gboolean was_synced = upstream->synced;

  disconnect_ (upstream);
  try_next_ (upstream);
  if (was_synced)
    upstream->listener.sync_changed (upstream, upstream->user_data);
}

static void
disconnect_ (DpUpstream *upstream)
{
  if (upstream->connecting != NULL)
    g_cancellable_cancel (upstream->connecting);
  upstream->connecting = NULL;
  g_clear_pointer (&upstream->channel, dp_channel_free);
  g_clear_handle_id (&upstream->retry, g_source_remove);
  g_clear_handle_id (&upstream->hello_timeout, g_source_remove);
  upstream->greeted = FALSE;
  upstream->synced = FALSE;
}

/* Connects to the next peer or, after the last one, to the first one after a delay. */
static void
try_next_ (DpUpstream *upstream)
{
  upstream->index++;
  if (upstream->index < upstream->peers->len)
    {
      connect_ (upstream);
      return;
    }
  upstream->index = 0;
  upstream->retry = g_timeout_add (dp_backoff_next (&upstream->backoff), retry_now_,
                                   upstream);
}

static gboolean
retry_now_ (gpointer user_data)
{
  DpUpstream *upstream = user_data;

  upstream->retry = 0;
  connect_ (upstream);
  return G_SOURCE_REMOVE;
}

static void
received_ (DpChannel *channel, const DpMessage *message, gpointer user_data)
{
  DpUpstream *upstream = user_data;
  gboolean newly_synced = FALSE;

  if (message->type == DP_MESSAGE_HELLO)
    {
      g_clear_handle_id (&upstream->hello_timeout, g_source_remove);
      upstream->greeted = message->hello.version == DP_MESSAGE_VERSION;
      if (!upstream->greeted)
        {
          g_critical ("control channel: %s (%s): not used, its message version is %u and "
                      "that of this process is %d; both have to run the same build",
                      dp_channel_peer (channel), message->hello.name,
                      message->hello.version, DP_MESSAGE_VERSION);
          leave_peer_ (upstream);
        }
      return;
    }
  if (message->type != DP_MESSAGE_RECORDS || !upstream->greeted
      || !upstream->options.subscribe)
    return;
  for (guint i = 0; i < message->records.items->len; i++)
    dp_replica_apply (upstream->options.replica,
                      g_ptr_array_index (message->records.items, i));
  if (message->records.complete_through > 0)
    {
      dp_replica_set_position (upstream->options.replica,
                               message->records.complete_through);
      newly_synced = !upstream->synced;
      upstream->synced = TRUE;
      dp_backoff_reset (&upstream->backoff);
    }
  upstream->listener.progressed (upstream, upstream->user_data);
  /* A peer that is behind can't know that there is nothing newer. */
  if (message->records.has_age && message->records.complete_through > 0
      && dp_position_compare (message->records.complete_through,
                              dp_replica_position (upstream->options.replica))
             >= 0
      && upstream->listener.freshness != NULL)
    upstream->listener.freshness (upstream, message->records.age_ms, upstream->user_data);
  if (newly_synced)
    upstream->listener.sync_changed (upstream, upstream->user_data);
}

static void
drained_ (DpChannel *channel, gpointer user_data)
{
}

static void
closed_ (DpChannel *channel, const GError *error, gpointer user_data)
{
  g_debug ("%s", error->message);
  leave_peer_ (user_data);
}
