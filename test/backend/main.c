/* Stand-in backend server: serves jobs, reports and manuals over HTTP/1.1 and registers
 * at a companion. */
#include <gio/gio.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#include "protected/address.h"
#include "service.h"

#define REGISTER_RETRY_MS 200
#define REGISTER_REPEAT_MS 2000
#define STOP_POLL_MS 50
/* Time without an open connection after which a leaving server ends. It is shorter than
 * the second between two health checks of the companion, as each opens a connection. */
#define STOP_QUIET_MS 500
/* Time that clients get to close their idle connections before a leaving server ends. */
#define STOP_IDLE_MAX_MS 10000

typedef struct
{
  /* Options. */
  char *listen;
  char *companion;
  char *service_name;
  char *name;
  int slots;
  int connections;    /* limit that is registered at the companion */
  int service_ms;     /* time that one request takes in its slot */
  int start_delay_ms; /* time before the server listens */

  GMainLoop *loop;
  Service *service;
  SoupServer *server;
  GSocketService *listener;
  SoupSession *session;
  DpAddress address;
  gboolean leaving;
  guint register_timer;
  gint64 stopping_since;     /* us */
  gint64 last_connection_at; /* us, last time that a connection was open */
} Backend;

static gboolean parse_options_ (Backend *backend, int argc, char **argv);
static gboolean start_listening_ (gpointer user_data);
static gboolean connection_accepted_ (GSocketService *listener,
                                      GSocketConnection *connection,
                                      GObject *source,
                                      gpointer user_data);
static gboolean register_ (gpointer user_data);
static void registered_ (GObject *source, GAsyncResult *result, gpointer user_data);
static gboolean stop_ (gpointer user_data);
static gboolean poll_stop_ (gpointer user_data);
static void
send_registration_ (Backend *backend, const char *method, GAsyncReadyCallback done);

int
main (int argc, char **argv)
{
  Backend backend = { .listen = "127.0.0.1:8000",
                      .service_name = "service",
                      .name = "server",
                      .slots = 4,
                      .connections = 2000,
                      .service_ms = 2 };

  if (!parse_options_ (&backend, argc, argv))
    return 2;
  backend.loop = g_main_loop_new (NULL, FALSE);
  backend.service = service_new (backend.service_name, backend.name,
                                 (guint) backend.slots, (guint) backend.service_ms);
  backend.session = soup_session_new_with_options ("timeout", 2, NULL);
  g_unix_signal_add (SIGTERM, stop_, &backend);
  g_unix_signal_add (SIGINT, stop_, &backend);
  if (backend.start_delay_ms == 0)
    start_listening_ (&backend);
  else
    g_timeout_add ((guint) backend.start_delay_ms, start_listening_, &backend);
  register_ (&backend);
  g_main_loop_run (backend.loop);
  g_clear_object (&backend.listener);
  g_clear_object (&backend.server);
  g_clear_object (&backend.session);
  g_main_loop_unref (backend.loop);
  return 0;
}

static gboolean
parse_options_ (Backend *backend, int argc, char **argv)
{
  GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &backend->listen, "IP:PORT to listen on",
      NULL },
    { "companion", 0, 0, G_OPTION_ARG_STRING, &backend->companion,
      "IP:PORT of the companion's HTTP endpoint", NULL },
    { "service", 0, 0, G_OPTION_ARG_STRING, &backend->service_name, "NAME of the service",
      NULL },
    { "name", 0, 0, G_OPTION_ARG_STRING, &backend->name, "NAME of this server", NULL },
    { "slots", 0, 0, G_OPTION_ARG_INT, &backend->slots,
      "requests processed at the same time", NULL },
    { "connections", 0, 0, G_OPTION_ARG_INT, &backend->connections,
      "connection limit to register", NULL },
    { "service-ms", 0, 0, G_OPTION_ARG_INT, &backend->service_ms,
      "time that each request takes", NULL },
    { "start-delay-ms", 0, 0, G_OPTION_ARG_INT, &backend->start_delay_ms,
      "time before the server listens", NULL },
    { NULL }
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- a backend server");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error)
      && dp_address_parse (backend->listen, &backend->address, &error))
    return TRUE;
  g_printerr ("standin-backend: %s\n", error->message);
  return FALSE;
}

static gboolean
start_listening_ (gpointer user_data)
{
  Backend *backend = user_data;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) parts = g_strsplit (backend->listen, ":", 2);
  g_autoptr (GSocketAddress)
      address = g_inet_socket_address_new_from_string (parts[0], backend->address.port);

  backend->server = soup_server_new ("server-header", NULL, NULL);
  soup_server_add_handler (backend->server, NULL, service_handle, backend->service, NULL);
  backend->listener = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (backend->listener), 1024);
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (backend->listener), address,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
                                      NULL, &error))
    {
      g_printerr ("standin-backend: listen on %s: %s\n", backend->listen, error->message);
      exit (1);
    }
  g_signal_connect (backend->listener, "incoming", G_CALLBACK (connection_accepted_),
                    backend);
  if (backend->start_delay_ms > 0)
    register_ (backend);
  return G_SOURCE_REMOVE;
}

static gboolean
connection_accepted_ (GSocketService *listener,
                      GSocketConnection *connection,
                      GObject *source,
                      gpointer user_data)
{
  Backend *backend = user_data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress)
      local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress)
      remote = g_socket_connection_get_remote_address (connection, NULL);

  /* NULL if the client, such as a health check, has closed the connection already. */
  if (local == NULL || remote == NULL)
    return TRUE;
  service_track_connection (backend->service, G_OBJECT (connection));
  if (!soup_server_accept_iostream (backend->server, G_IO_STREAM (connection), local,
                                    remote, &error))
    g_printerr ("standin-backend: accept: %s\n", error->message);
  return TRUE;
}

/* Registers this server at the companion. The request is repeated every
 * REGISTER_REPEAT_MS, so that a restarted companion learns of the server, and after
 * REGISTER_RETRY_MS if it has failed. */
static gboolean
register_ (gpointer user_data)
{
  Backend *backend = user_data;

  g_clear_handle_id (&backend->register_timer, g_source_remove);
  if (backend->companion != NULL && !backend->leaving)
    send_registration_ (backend, "PUT", registered_);
  return G_SOURCE_REMOVE;
}

static void
registered_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Backend *backend = user_data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes)
      body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);

  if (error != NULL && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return;
  if (backend->register_timer == 0)
    backend->register_timer = g_timeout_add (
        error == NULL ? REGISTER_REPEAT_MS : REGISTER_RETRY_MS, register_, backend);
}

/* Deregisters from the companion and ends once no request is in progress; a second signal
 * ends the process at once. */
static gboolean
stop_ (gpointer user_data)
{
  Backend *backend = user_data;

  if (backend->leaving)
    {
      g_main_loop_quit (backend->loop);
      return G_SOURCE_CONTINUE;
    }
  backend->leaving = TRUE;
  service_set_leaving (backend->service);
  if (backend->companion != NULL)
    send_registration_ (backend, "DELETE", NULL);
  backend->stopping_since = g_get_monotonic_time ();
  backend->last_connection_at = backend->stopping_since;
  g_timeout_add (STOP_POLL_MS, poll_stop_, backend);
  return G_SOURCE_CONTINUE;
}

static gboolean
poll_stop_ (gpointer user_data)
{
  Backend *backend = user_data;
  gint64 now = g_get_monotonic_time ();

  if (service_n_connections (backend->service) > 0)
    backend->last_connection_at = now;
  if (service_is_idle (backend->service)
      && (now - backend->last_connection_at >= STOP_QUIET_MS * G_GINT64_CONSTANT (1000)
          || now - backend->stopping_since
                 >= STOP_IDLE_MAX_MS * G_GINT64_CONSTANT (1000)))
    {
      g_main_loop_quit (backend->loop);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

static void
send_registration_ (Backend *backend, const char *method, GAsyncReadyCallback done)
{
  g_autofree char *url = g_strdup_printf ("http://%s/v1/server", backend->companion);
  g_autofree char *json = g_strdup_printf (
      "{\"port\":%u,\"slots\":%d,\"connections\":%d,\"state\":\"%s\"}",
      backend->address.port, backend->slots, backend->connections,
      backend->server != NULL ? "ready" : "starting");
  g_autoptr (SoupMessage) message = soup_message_new (method, url);
  g_autoptr (GBytes) body = g_bytes_new (json, strlen (json));

  soup_message_set_request_body_from_bytes (message, "application/json", body);
  soup_session_send_and_read_async (backend->session, message, G_PRIORITY_DEFAULT, NULL,
                                    done, backend);
}
