/* A backend server: job sheets, reports and manuals over HTTP/1.1. */
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
/* Without connections before the server ends; the companion's health check opens one
 * every second. */
#define STOP_QUIET_MS 500
#define STOP_LINGER_MS                                                                   \
  10000 /* that idle connections get to be closed by their clients                       \
         */

typedef struct
{
  /* Options. */
  char *listen;
  char *companion;
  char *service_name;
  char *name;
  int slots;
  int connections;
  int service_ms;
  int start_delay_ms;

  GMainLoop *loop;
  Service *service;
  SoupServer *server;
  GSocketService *sockets;
  SoupSession *session;
  DpAddress address;
  gboolean leaving;
  guint register_timer;
  gint64 stop_began; /* us */
  gint64 busy_at;    /* us, when a connection was last open while stopping */
} Backend;

static gboolean parse_options_ (Backend *backend, int argc, char **argv);
static gboolean start_listening_ (gpointer user_data);
static gboolean incoming_ (GSocketService *sockets,
                           GSocketConnection *connection,
                           GObject *source,
                           gpointer user_data);
static gboolean register_ (gpointer user_data);
static void registered_ (GObject *source, GAsyncResult *result, gpointer user_data);
static gboolean stop_ (gpointer user_data);
static gboolean poll_stop_ (gpointer user_data);
static void send_ (Backend *backend, const char *method, GAsyncReadyCallback done);

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
  g_clear_object (&backend.sockets);
  g_clear_object (&backend.server);
  g_clear_object (&backend.session);
  g_main_loop_unref (backend.loop);
  return 0;
}

static gboolean
parse_options_ (Backend *backend, int argc, char **argv)
{
  GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &backend->listen, "IP:PORT", NULL },
    { "companion", 0, 0, G_OPTION_ARG_STRING, &backend->companion,
      "IP:PORT of the companion's HTTP endpoint", NULL },
    { "service", 0, 0, G_OPTION_ARG_STRING, &backend->service_name, "NAME", NULL },
    { "name", 0, 0, G_OPTION_ARG_STRING, &backend->name, "NAME", NULL },
    { "slots", 0, 0, G_OPTION_ARG_INT, &backend->slots, "N", NULL },
    { "connections", 0, 0, G_OPTION_ARG_INT, &backend->connections, "N", NULL },
    { "service-ms", 0, 0, G_OPTION_ARG_INT, &backend->service_ms,
      "time that one piece of work takes", NULL },
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
  backend->sockets = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (backend->sockets), 1024);
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (backend->sockets), address,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL,
                                      NULL, &error))
    {
      g_printerr ("standin-backend: listen on %s: %s\n", backend->listen, error->message);
      exit (1);
    }
  g_signal_connect (backend->sockets, "incoming", G_CALLBACK (incoming_), backend);
  if (backend->start_delay_ms > 0)
    register_ (backend);
  return G_SOURCE_REMOVE;
}

static gboolean
incoming_ (GSocketService *sockets,
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

  /* A health check may have closed the connection already. */
  if (local == NULL || remote == NULL)
    return TRUE;
  service_count_connection (backend->service, G_OBJECT (connection));
  if (!soup_server_accept_iostream (backend->server, G_IO_STREAM (connection), local,
                                    remote, &error))
    g_printerr ("standin-backend: accept: %s\n", error->message);
  return TRUE;
}

/* Tells the companion about this server; repeated, so that a restarted companion learns
 * of it. */
static gboolean
register_ (gpointer user_data)
{
  Backend *backend = user_data;

  g_clear_handle_id (&backend->register_timer, g_source_remove);
  if (backend->companion != NULL && !backend->leaving)
    send_ (backend, "PUT", registered_);
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

/* Leaves: announces it, then ends once nothing is in progress. */
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
    send_ (backend, "DELETE", NULL);
  backend->stop_began = g_get_monotonic_time ();
  backend->busy_at = backend->stop_began;
  g_timeout_add (STOP_POLL_MS, poll_stop_, backend);
  return G_SOURCE_CONTINUE;
}

static gboolean
poll_stop_ (gpointer user_data)
{
  Backend *backend = user_data;
  gint64 now = g_get_monotonic_time ();

  if (service_connections (backend->service) > 0)
    backend->busy_at = now;
  if (service_idle (backend->service)
      && (now - backend->busy_at >= STOP_QUIET_MS * G_GINT64_CONSTANT (1000)
          || now - backend->stop_began >= STOP_LINGER_MS * G_GINT64_CONSTANT (1000)))
    {
      g_main_loop_quit (backend->loop);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

static void
send_ (Backend *backend, const char *method, GAsyncReadyCallback done)
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
