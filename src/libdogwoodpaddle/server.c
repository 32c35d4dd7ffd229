#include "protected/server.h"

#include <string.h>
#include <unistd.h>

#include "private/connectattempt.h"
#include "protected/document.h"

#define PATH "/v1/server"
#define CHECK_INTERVAL_MS 1000
#define CHECK_TIMEOUT_MS 900 /* so that a check ends before the next one starts */
/* A single check can also fail because the server's listen backlog is full. */
#define FAILED_CHECKS_UNTIL_DOWN 2
#define SLOTS_MAX 1024
#define CONNECTIONS_MAX 100000

struct _DpServer
{
  SoupServer *http;
  guint32 ip;
  DpServerFunc changed;
  gpointer user_data;
  DpServerState state;
  guint timer;
  DpConnectAttempt *check; /* in progress, or NULL */
  guint failures;          /* consecutive failed checks */
  gboolean reachable;      /* according to the health checks */
};

static void on_request_ (SoupServer *http,
                         SoupServerMessage *message,
                         const char *path,
                         GHashTable *query,
                         gpointer user_data);
static void handle_put_ (DpServer *server, SoupServerMessage *message);
static void handle_delete_ (DpServer *server, SoupServerMessage *message);
static gboolean
read_body_ (SoupMessageBody *body, DpServerState *state, GPtrArray *faults);
static gint64
read_number_ (JsonObject *object, const char *key, gint64 max, GPtrArray *faults);
static gboolean read_ready_ (JsonObject *object, GPtrArray *faults);
static void respond_ (SoupServerMessage *message, guint status, const char *text);
static gboolean start_check_ (gpointer user_data);
static void on_check_done_ (int fd, int error_number, gpointer user_data);
static void set_state_ (DpServer *server, const DpServerState *next);

static const char *const keys_[] = { "port", "slots", "connections", "state", NULL };

/* Adds the handler for /v1/server to http, which must outlive the returned object, and
 * starts the health checks. ip is the address of the backend server. */
DpServer *
dp_server_new (SoupServer *http, guint32 ip, DpServerFunc changed, gpointer user_data)
{
  DpServer *server = g_new0 (DpServer, 1);

  server->http = g_object_ref (http);
  server->ip = ip;
  server->changed = changed;
  server->user_data = user_data;
  soup_server_add_handler (http, PATH, on_request_, server, NULL);
  server->timer = g_timeout_add (CHECK_INTERVAL_MS, start_check_, server);
  return server;
}

/* Stops the health checks, removes the path and frees the object. */
void
dp_server_free (DpServer *server)
{
  if (server == NULL)
    return;
  soup_server_remove_handler (server->http, PATH);
  g_clear_handle_id (&server->timer, g_source_remove);
  g_clear_pointer (&server->check, dp_connect_attempt_cancel);
  g_object_unref (server->http);
  g_free (server);
}

/* Returns the current state, which is updated in place. Valid as long as server. */
const DpServerState *
dp_server_state (const DpServer *server)
{
  return &server->state;
}

/* Parses the body of a registration and sets port, slots, connections and ready of state.
 * If the body is invalid, it adds the reasons to faults and returns FALSE; state must not
 * be used then. */
gboolean
dp_server_parse_registration (const char *text,
                              gsize length,
                              DpServerState *state,
                              GPtrArray *faults)
{
  g_autoptr (JsonNode) node = dp_document_parse (text, length, faults);
  JsonObject *object = NULL;

  if (node != NULL)
    object = dp_document_object (node, "$", faults);
  if (object == NULL)
    return FALSE;
  dp_document_check_keys (object, keys_, "$", faults);
  state->port = (guint32) read_number_ (object, "port", G_MAXUINT16, faults);
  state->slots = (guint32) read_number_ (object, "slots", SLOTS_MAX, faults);
  state->connections = (guint32) read_number_ (object, "connections", CONNECTIONS_MAX,
                                               faults);
  state->ready = read_ready_ (object, faults);
  return faults->len == 0;
}

static void
on_request_ (SoupServer *http,
             SoupServerMessage *message,
             const char *path,
             GHashTable *query,
             gpointer user_data)
{
  DpServer *server = user_data;
  const char *method = soup_server_message_get_method (message);

  if (!g_str_equal (path, PATH))
    respond_ (message, SOUP_STATUS_NOT_FOUND, "no such path");
  else if (g_str_equal (method, "PUT"))
    handle_put_ (server, message);
  else if (g_str_equal (method, "DELETE"))
    handle_delete_ (server, message);
  else
    respond_ (message, SOUP_STATUS_METHOD_NOT_ALLOWED, "use PUT or DELETE");
}

static void
handle_put_ (DpServer *server, SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  DpServerState next = server->state;
  g_autoptr (GPtrArray) faults = dp_faults_new ();

  if (!read_body_ (body, &next, faults))
    {
      g_autofree char *text = dp_faults_join (faults);

      g_warning ("rejected the server's registration: %s", text);
      respond_ (message, SOUP_STATUS_BAD_REQUEST, text);
      return;
    }
  next.registered = TRUE;
  next.leaving = FALSE;
  if (next.port != server->state.port)
    {
      g_clear_pointer (&server->check, dp_connect_attempt_cancel);
      server->reachable = FALSE;
    }
  next.up = next.ready && server->reachable;
  respond_ (message, SOUP_STATUS_OK, "registered");
  set_state_ (server, &next);
  if (!server->reachable)
    start_check_ (server);
}

static void
handle_delete_ (DpServer *server, SoupServerMessage *message)
{
  DpServerState next = server->state;

  if (!next.registered)
    {
      respond_ (message, SOUP_STATUS_NOT_FOUND, "no server is registered");
      return;
    }
  next.leaving = TRUE;
  respond_ (message, SOUP_STATUS_OK, "leaving");
  set_state_ (server, &next);
}

static gboolean
read_body_ (SoupMessageBody *body, DpServerState *state, GPtrArray *faults)
{
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);

  return dp_server_parse_registration (text != NULL ? text : "", length, state, faults);
}

/* Reads a number from 1 to max. */
static gint64
read_number_ (JsonObject *object, const char *key, gint64 max, GPtrArray *faults)
{
  JsonNode *node = json_object_get_member (object, key);
  g_autofree char *path = dp_document_member_path ("$", key);
  gint64 value = 0;

  if (node == NULL)
    dp_faults_add (faults, path, "is missing");
  else
    dp_document_integer (node, path, 1, max, &value, faults);
  return value;
}

static gboolean
read_ready_ (JsonObject *object, GPtrArray *faults)
{
  JsonNode *node = json_object_get_member (object, "state");
  const char *text;

  if (node == NULL)
    {
      dp_faults_add (faults, "$.state", "is missing");
      return FALSE;
    }
  text = dp_document_string (node, "$.state", faults);
  if (text != NULL && !g_str_equal (text, "starting") && !g_str_equal (text, "ready"))
    dp_faults_add (faults, "$.state", "must be starting or ready, not \"%s\"", text);
  return g_strcmp0 (text, "ready") == 0;
}

/* Responds with {"message": text}. */
static void
respond_ (SoupServerMessage *message, guint status, const char *text)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();
  char *json;

  json_object_set_string_member (object, "message", text);
  json_node_take_object (node, object);
  json = json_to_string (node, FALSE);
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, json,
                                    strlen (json));
}

/* Opens a connection to the server and closes it again. */
static gboolean
start_check_ (gpointer user_data)
{
  DpServer *server = user_data;
  DpAddress address = { .ip = server->ip, .port = (guint16) server->state.port };

  if (server->state.registered && server->check == NULL)
    server->check = dp_connect_attempt_new (&address, CHECK_TIMEOUT_MS, on_check_done_,
                                            server);
  return G_SOURCE_CONTINUE;
}

static void
on_check_done_ (int fd, int error_number, gpointer user_data)
{
  DpServer *server = user_data;
  DpServerState next = server->state;

  server->check = NULL;
  if (fd >= 0)
    close (fd);
  server->failures = fd >= 0 ? 0 : server->failures + 1;
  if (fd >= 0)
    server->reachable = TRUE;
  else if (server->failures >= FAILED_CHECKS_UNTIL_DOWN && server->reachable)
    {
      server->reachable = FALSE;
      g_warning ("health check of the server on port %u failed: %s", next.port,
                 g_strerror (error_number));
    }
  next.up = next.ready && server->reachable;
  set_state_ (server, &next);
}

static void
set_state_ (DpServer *server, const DpServerState *next)
{
  if (memcmp (next, &server->state, sizeof *next) == 0)
    return;
  server->state = *next;
  g_message ("server on port %u: %s, %s, %u slots, %u connections", next->port,
             next->leaving ? "leaving"
             : next->ready ? "ready"
                           : "starting",
             next->up ? "up" : "down", next->slots, next->connections);
  server->changed (&server->state, server->user_data);
}
