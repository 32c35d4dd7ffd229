#include "protected/httpd.h"

#include <string.h>

#include "protected/error.h"

/* The longest valid request body is a server's registration, about 100 bytes. */
#define MAX_BODY_BYTES 65536
#define MAX_CONNECTIONS 128
#define IDLE_TIMEOUT_S 15  /* an idle connection is closed after this time */
#define LISTEN_BACKLOG 128 /* GIO's default of 10 delays clients that connect at once */

struct _DpHttpd
{
  SoupServer *server;
  GSocketService *service; /* accepts the connections of server */
  guint *n_connections;    /* reference-counted: connections may outlive httpd */
  DpMetric *refused;
  DpMetrics *metrics;
  DpHttpdStatusFunc status;
  gpointer status_data;
  DpHttpdReadyFunc ready;
  gpointer ready_data;
  GArray *trusted_networks; /* elements: DpNetwork; NULL allows all clients */
};

static gboolean listen_ (DpHttpd *httpd, const char *ip, guint16 port, GError **error);
static gboolean on_incoming_ (GSocketService *service,
                              GSocketConnection *connection,
                              GObject *source,
                              gpointer user_data);
static void on_connection_freed_ (gpointer user_data, GObject *connection);
static void
on_request_started_ (SoupServer *server, SoupServerMessage *message, DpHttpd *httpd);
static void on_headers_ (SoupServerMessage *message, DpHttpd *httpd);
static void on_metrics_ (SoupServer *server,
                         SoupServerMessage *message,
                         const char *path,
                         GHashTable *query,
                         gpointer user_data);
static void on_status_ (SoupServer *server,
                        SoupServerMessage *message,
                        const char *path,
                        GHashTable *query,
                        gpointer user_data);
static void on_ready_ (SoupServer *server,
                       SoupServerMessage *message,
                       const char *path,
                       GHashTable *query,
                       gpointer user_data);
static gboolean is_trusted_ (const DpHttpd *httpd, SoupServerMessage *message);
static gboolean is_too_large_ (SoupServerMessage *message);
static gboolean check_method_ (SoupServerMessage *message);
static void reject_ (SoupServerMessage *message, guint status);
static void
respond_ (SoupServerMessage *message, guint status, const char *type, char *text);

/* Creates a server that listens on address. metrics is borrowed and must outlive the
 * server. Fails with DP_ERROR_UNAVAILABLE if the address can't be used. */
DpHttpd *
dp_httpd_new (const DpAddress *address, DpMetrics *metrics, GError **error)
{
  char text[DP_ADDRESS_STRLEN];
  char ip[DP_ADDRESS_STRLEN];
  DpHttpd *httpd = g_new0 (DpHttpd, 1);
  g_autoptr (GError) cause = NULL;

  dp_address_format (address, text);
  g_strlcpy (ip, text, sizeof ip);
  *strchr (ip, ':') = '\0';
  httpd->metrics = metrics;
  httpd->server = soup_server_new ("server-header", "dogwoodpaddle", NULL);
  httpd->n_connections = g_rc_box_new0 (guint);
  httpd->service = g_socket_service_new ();
  httpd->refused = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                   "dogwoodpaddle_http_refused_total", "",
                                   "HTTP connections refused, since there are too many");
  if (!listen_ (httpd, ip, address->port, &cause))
    {
      dp_error_set (error, DP_ERROR_UNAVAILABLE, "listen for HTTP", text, "%s",
                    cause->message);
      dp_httpd_free (httpd);
      return NULL;
    }
  g_signal_connect (httpd->server, "request-started", G_CALLBACK (on_request_started_),
                    httpd);
  soup_server_add_handler (httpd->server, "/metrics", on_metrics_, httpd, NULL);
  soup_server_add_handler (httpd->server, "/status", on_status_, httpd, NULL);
  soup_server_add_handler (httpd->server, "/ready", on_ready_, httpd, NULL);
  return httpd;
}

/* Closes all connections and frees the server. */
void
dp_httpd_free (DpHttpd *httpd)
{
  if (httpd == NULL)
    return;
  if (httpd->service != NULL)
    {
      g_socket_service_stop (httpd->service);
      g_socket_listener_close (G_SOCKET_LISTENER (httpd->service));
      g_signal_handlers_disconnect_by_data (httpd->service, httpd);
    }
  g_clear_object (&httpd->service);
  if (httpd->server != NULL)
    soup_server_disconnect (httpd->server);
  g_clear_object (&httpd->server);
  g_clear_pointer (&httpd->trusted_networks, g_array_unref);
  g_clear_pointer (&httpd->n_connections, g_rc_box_release);
  g_free (httpd);
}

/* Sets the function that creates the document for /status. */
void
dp_httpd_set_status (DpHttpd *httpd, DpHttpdStatusFunc status, gpointer user_data)
{
  httpd->status = status;
  httpd->status_data = user_data;
}

/* Sets the function that decides whether /ready answers 200 or 503. */
void
dp_httpd_set_ready (DpHttpd *httpd, DpHttpdReadyFunc ready, gpointer user_data)
{
  httpd->ready = ready;
  httpd->ready_data = user_data;
}

/* Rejects requests from outside these networks (elements: DpNetwork) with 403. */
void
dp_httpd_set_trusted (DpHttpd *httpd, GArray *networks)
{
  g_clear_pointer (&httpd->trusted_networks, g_array_unref);
  httpd->trusted_networks = g_array_ref (networks);
}

/* Returns libsoup's server, owned by httpd. */
SoupServer *
dp_httpd_server (DpHttpd *httpd)
{
  return httpd->server;
}

static gboolean
listen_ (DpHttpd *httpd, const char *ip, guint16 port, GError **error)
{
  GSocketListener *listener = G_SOCKET_LISTENER (httpd->service);
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (ip, port);

  g_socket_listener_set_backlog (listener, LISTEN_BACKLOG);
  g_signal_connect (httpd->service, "incoming", G_CALLBACK (on_incoming_), httpd);
  return g_socket_listener_add_address (listener, address, G_SOCKET_TYPE_STREAM,
                                        G_SOCKET_PROTOCOL_TCP, NULL, NULL, error);
}

/* Limits the number and the idle time of connections. libsoup limits neither, so the
 * daemon could run out of file descriptors. */
static gboolean
on_incoming_ (GSocketService *service,
              GSocketConnection *connection,
              GObject *source,
              gpointer user_data)
{
  DpHttpd *httpd = user_data;
  g_autoptr (GSocketAddress)
      local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress)
      remote = g_socket_connection_get_remote_address (connection, NULL);
  g_autoptr (GError) error = NULL;

  if (*httpd->n_connections >= MAX_CONNECTIONS)
    {
      dp_metric_increment (httpd->refused);
      g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
      return TRUE;
    }
  (*httpd->n_connections)++;
  g_object_weak_ref (G_OBJECT (connection), on_connection_freed_,
                     g_rc_box_acquire (httpd->n_connections));
  g_socket_set_timeout (g_socket_connection_get_socket (connection), IDLE_TIMEOUT_S);
  if (!soup_server_accept_iostream (httpd->server, G_IO_STREAM (connection), local,
                                    remote, &error))
    g_debug ("HTTP connection not accepted: %s", error->message);
  return TRUE;
}

static void
on_connection_freed_ (gpointer user_data, GObject *connection)
{
  guint *n_connections = user_data;

  (*n_connections)--;
  g_rc_box_release (n_connections);
}

/* Checks each request when its headers have arrived. An early handler of libsoup can't do
 * this, since it isn't called for paths that have their own handler. */
static void
on_request_started_ (SoupServer *server, SoupServerMessage *message, DpHttpd *httpd)
{
  g_signal_connect (message, "got-headers", G_CALLBACK (on_headers_), httpd);
}

/* Runs before the body is read. Once a status is set, libsoup calls no handler. */
static void
on_headers_ (SoupServerMessage *message, DpHttpd *httpd)
{
  if (!is_trusted_ (httpd, message))
    reject_ (message, SOUP_STATUS_FORBIDDEN);
  else if (is_too_large_ (message))
    reject_ (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
}

static void
on_metrics_ (SoupServer *server,
             SoupServerMessage *message,
             const char *path,
             GHashTable *query,
             gpointer user_data)
{
  const DpHttpd *httpd = user_data;

  if (!check_method_ (message))
    return;
  respond_ (message, SOUP_STATUS_OK, "text/plain; version=0.0.4",
            dp_metrics_format (httpd->metrics));
}

static void
on_status_ (SoupServer *server,
            SoupServerMessage *message,
            const char *path,
            GHashTable *query,
            gpointer user_data)
{
  const DpHttpd *httpd = user_data;
  g_autoptr (JsonNode) document = NULL;

  if (!check_method_ (message))
    return;
  if (httpd->status == NULL)
    {
      reject_ (message, SOUP_STATUS_NOT_FOUND);
      return;
    }
  document = httpd->status (httpd->status_data);
  respond_ (message, SOUP_STATUS_OK, "application/json",
            json_to_string (document, FALSE));
}

static void
on_ready_ (SoupServer *server,
           SoupServerMessage *message,
           const char *path,
           GHashTable *query,
           gpointer user_data)
{
  const DpHttpd *httpd = user_data;
  gboolean ready = httpd->ready == NULL || httpd->ready (httpd->ready_data);

  if (!check_method_ (message))
    return;
  respond_ (message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
            "text/plain", g_strdup (ready ? "ready\n" : "not ready\n"));
}

static gboolean
is_trusted_ (const DpHttpd *httpd, SoupServerMessage *message)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (message);
  g_autofree char *text = NULL;
  guint32 ip;

  if (httpd->trusted_networks == NULL)
    return TRUE;
  if (!G_IS_INET_SOCKET_ADDRESS (remote))
    return FALSE;
  text = g_inet_address_to_string (
      g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (remote)));
  if (!dp_ip_parse (text, &ip, NULL))
    return FALSE;
  for (guint i = 0; i < httpd->trusted_networks->len; i++)
    if (dp_network_contains (&g_array_index (httpd->trusted_networks, DpNetwork, i), ip))
      return TRUE;
  return FALSE;
}

/* A body without a declared length counts as too large, since its size is unknown until
 * it has been read. */
static gboolean
is_too_large_ (SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  SoupEncoding encoding = soup_message_headers_get_encoding (headers);

  if (encoding == SOUP_ENCODING_NONE)
    return FALSE;
  if (encoding != SOUP_ENCODING_CONTENT_LENGTH)
    return TRUE;
  return soup_message_headers_get_content_length (headers) > MAX_BODY_BYTES;
}

/* Rejects methods other than GET and HEAD. Returns whether the method is allowed. */
static gboolean
check_method_ (SoupServerMessage *message)
{
  const char *method = soup_server_message_get_method (message);

  if (g_str_equal (method, "GET") || g_str_equal (method, "HEAD"))
    return TRUE;
  reject_ (message, SOUP_STATUS_METHOD_NOT_ALLOWED);
  return FALSE;
}

/* Responds without keeping the rest of the request body in memory. */
static void
reject_ (SoupServerMessage *message, guint status)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);

  soup_message_body_set_accumulate (body, FALSE);
  soup_server_message_set_status (message, status, NULL);
}

/* Takes ownership of text. */
static void
respond_ (SoupServerMessage *message, guint status, const char *type, char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, type, SOUP_MEMORY_TAKE, text, strlen (text));
}
