#include "service.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "../share/manual.h"

#define MANUAL_MAX (G_GUINT64_CONSTANT (1) << 30) /* bytes */
#define MANUAL_CHUNK (64 * 1024)                  /* bytes in memory per response */
#define SLOW_MAX_MS 600000
#define DEFAULT_SEED 1

/* Faults that tests inject to check that the load generator detects them. */
typedef enum
{
  FAULT_NONE,
  FAULT_DOUBLE,  /* counts each report twice */
  FAULT_FORGET,  /* answers 200 to reports without counting them */
  FAULT_CORRUPT, /* flips a bit in each chunk of a manual */
  N_FAULTS
} Fault;

struct _Service
{
  char *service_name;
  char *server_name;
  guint slots;
  guint service_ms;
  GHashTable *reports; /* id of a report -> number of times that it was processed */
  GQueue queue;        /* PendingRequest without a slot, oldest first */
  guint busy_slots;
  guint n_pending; /* running, queued, or never answered because of silent */
  guint connections;
  guint64 answered;
  guint64 shed; /* requests rejected because of shed_percent */
  gboolean leaving;
  /* Set by /admin/behaviour. */
  guint delay_ms;         /* added to service_ms */
  guint shed_percent;     /* percent of the requests that get 503 */
  gboolean silent;        /* new requests are never answered */
  gboolean ignore_health; /* the health check always succeeds */
  Fault fault;
};

/* A request in progress. */
typedef struct
{
  Service *service;
  SoupServerMessage *message;
  guint duration_ms;
  char *report_id; /* NULL: not a report */
  char *body;      /* JSON of the response; unused for a manual */
  gboolean is_manual;
  guint64 size;   /* bytes of the manual */
  guint64 offset; /* of the next chunk */
  guint64 seed;
  guint timer;
  gboolean running; /* holds a slot */
} PendingRequest;

static void
handle_admin_ (Service *service, SoupServerMessage *message, const char *path);
static void set_behaviour_ (Service *service, SoupServerMessage *message);
static char *format_reports_ (Service *service);
static PendingRequest *parse_request_ (Service *service,
                                       SoupServerMessage *message,
                                       const char *path,
                                       GHashTable *query);
static char *parse_report_id_ (SoupServerMessage *message);
static void process_report_ (Service *service, PendingRequest *pending);
static void start_queued_ (Service *service);
static gboolean send_response_ (gpointer user_data);
static void write_chunk_ (SoupServerMessage *message, gpointer user_data);
static void request_finished_ (SoupServerMessage *message, gpointer user_data);
static void respond_ (SoupServerMessage *message, guint status, const char *json);
static void connection_closed_ (gpointer user_data, GObject *connection);

static const char *const fault_strings_[] = { "none", "double", "forget", "corrupt" };

G_STATIC_ASSERT (G_N_ELEMENTS (fault_strings_) == N_FAULTS);

/* Creates the request handling of a server. Responses carry the two names in X-Service
 * and X-Server. Each request holds one of the slots for service_ms. */
Service *
service_new (const char *service_name,
             const char *server_name,
             guint slots,
             guint service_ms)
{
  Service *s = g_new0 (Service, 1);

  s->service_name = g_strdup (service_name);
  s->server_name = g_strdup (server_name);
  s->slots = slots;
  s->service_ms = service_ms;
  s->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&s->queue);
  return s;
}

/* Must be called after the SoupServer is freed. */
void
service_free (Service *service)
{
  g_queue_clear (&service->queue);
  g_hash_table_unref (service->reports);
  g_free (service->service_name);
  g_free (service->server_name);
  g_free (service);
}

/* Answers administrative requests, health checks and rejected requests at once, others
 * after they have got a slot and spent their time in it. */
void
service_handle (SoupServer *server,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                gpointer user_data)
{
  Service *service = user_data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  PendingRequest *pending;

  soup_message_headers_replace (headers, "X-Server", service->server_name);
  soup_message_headers_replace (headers, "X-Service", service->service_name);
  if (service->leaving)
    soup_message_headers_replace (headers, "Connection", "close");
  if (g_str_has_prefix (path, "/admin/") || strcmp (path, "/health") == 0)
    {
      handle_admin_ (service, message, path);
      return;
    }
  if (service->shed_percent > 0
      && (guint) g_random_int_range (0, 100) < service->shed_percent)
    {
      service->shed++;
      respond_ (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "{\"error\":\"shed\"}");
      return;
    }
  pending = parse_request_ (service, message, path, query);
  if (pending == NULL)
    {
      respond_ (message, SOUP_STATUS_NOT_FOUND, "{\"error\":\"no such path\"}");
      return;
    }
  service->n_pending++;
  g_signal_connect (message, "finished", G_CALLBACK (request_finished_), pending);
  soup_server_message_pause (message);
  if (service->silent)
    return;
  g_queue_push_tail (&service->queue, pending);
  start_queued_ (service);
}

/* Adds "Connection: close" to all responses from now on. */
void
service_set_leaving (Service *service)
{
  service->leaving = TRUE;
}

/* Counts the connection as open until the SoupServer releases it. */
void
service_track_connection (Service *service, GObject *connection)
{
  service->connections++;
  g_object_weak_ref (connection, connection_closed_, service);
}

/* Returns whether no request is in progress. */
gboolean
service_is_idle (const Service *service)
{
  return service->n_pending == 0;
}

/* Returns the number of open connections. */
guint
service_n_connections (const Service *service)
{
  return service->connections;
}

static void
handle_admin_ (Service *service, SoupServerMessage *message, const char *path)
{
  if (strcmp (path, "/admin/behaviour") == 0)
    set_behaviour_ (service, message);
  else if (strcmp (path, "/admin/reports") == 0)
    {
      g_autofree char *json = format_reports_ (service);

      respond_ (message, SOUP_STATUS_OK, json);
    }
  else if (strcmp (path, "/admin/stats") == 0)
    {
      g_autofree char *json = g_strdup_printf (
          "{\"busy\":%u,\"queue\":%u,\"connections\":%u,\"answered\":%" G_GUINT64_FORMAT
          ",\"shed\":%" G_GUINT64_FORMAT "}",
          service->busy_slots, service->queue.length, service->connections,
          service->answered, service->shed);

      respond_ (message, SOUP_STATUS_OK, json);
    }
  else if (strcmp (path, "/health") == 0)
    {
      gboolean healthy = service->ignore_health
                         || (!service->silent && service->shed_percent < 100);

      respond_ (message, healthy ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
                "{}");
    }
  else
    respond_ (message, SOUP_STATUS_NOT_FOUND, "{\"error\":\"no such path\"}");
}

static void
set_behaviour_ (Service *service, SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (JsonNode) node = json_from_string (body->data, NULL);
  JsonObject *object;
  const char *fault;

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    {
      respond_ (message, SOUP_STATUS_BAD_REQUEST, "{\"error\":\"not a JSON object\"}");
      return;
    }
  object = json_node_get_object (node);
  service->delay_ms = (guint) json_object_get_int_member_with_default (object, "delay_ms",
                                                                       0);
  service->shed_percent = (guint) json_object_get_int_member_with_default (
      object, "shed_percent", 0);
  service->silent = json_object_get_boolean_member_with_default (object, "silent", FALSE);
  service->ignore_health = json_object_get_boolean_member_with_default (
      object, "ignore_health", FALSE);
  fault = json_object_get_string_member_with_default (object, "fault", "none");
  for (guint i = 0; i < N_FAULTS; i++)
    if (strcmp (fault, fault_strings_[i]) == 0)
      service->fault = i;
  respond_ (message, SOUP_STATUS_OK, "{}");
}

static char *
format_reports_ (Service *service)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, service->reports);
  while (g_hash_table_iter_next (&iter, &id, &count))
    json_object_set_int_member (object, id, GPOINTER_TO_UINT (count));
  json_node_take_object (node, object);
  return json_to_string (node, FALSE);
}

/* Returns the request as a PendingRequest, NULL if there is nothing at the path. */
static PendingRequest *
parse_request_ (Service *service,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query)
{
  gboolean get = strcmp (soup_server_message_get_method (message), "GET") == 0;
  const char *seed = query != NULL ? g_hash_table_lookup (query, "seed") : NULL;
  PendingRequest pending = { service, message, service->service_ms + service->delay_ms };

  if (get && g_str_has_prefix (path, "/jobs/"))
    pending.body = g_strdup_printf ("{\"server\":\"%s\",\"state\":\"open\"}",
                                    service->server_name);
  else if (get && g_str_has_prefix (path, "/slow/"))
    {
      guint64 ms = g_ascii_strtoull (path + strlen ("/slow/"), NULL, 10);

      pending.duration_ms += (guint) MIN (ms, SLOW_MAX_MS);
      pending.body = g_strdup ("{}");
    }
  else if (get && g_str_has_prefix (path, "/manuals/"))
    {
      pending.is_manual = TRUE;
      pending.size = g_ascii_strtoull (path + strlen ("/manuals/"), NULL, 10);
      pending.seed = seed != NULL ? g_ascii_strtoull (seed, NULL, 10) : DEFAULT_SEED;
      if (pending.size > MANUAL_MAX)
        return NULL;
    }
  else if (!get && strcmp (path, "/reports") == 0)
    {
      pending.report_id = parse_report_id_ (message);
      if (pending.report_id == NULL)
        return NULL;
    }
  else
    return NULL;
  return g_memdup2 (&pending, sizeof pending);
}

/* Returns the id of the report in the request's body, NULL if it has none. */
static char *
parse_report_id_ (SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (JsonNode) node = json_from_string (body->data, NULL);

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  return g_strdup (json_object_get_string_member_with_default (
      json_node_get_object (node), "id", NULL));
}

static void
process_report_ (Service *service, PendingRequest *pending)
{
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (service->reports, pending->report_id));

  n += service->fault == FAULT_DOUBLE ? 2 : 1;
  if (service->fault != FAULT_FORGET)
    g_hash_table_replace (service->reports, g_strdup (pending->report_id),
                          GUINT_TO_POINTER (n));
  pending->body = g_strdup_printf ("{\"count\":%u}", n);
}

static void
start_queued_ (Service *service)
{
  while (service->busy_slots < service->slots && !g_queue_is_empty (&service->queue))
    {
      PendingRequest *pending = g_queue_pop_head (&service->queue);

      service->busy_slots++;
      pending->running = TRUE;
      if (pending->report_id != NULL)
        process_report_ (service, pending);
      pending->timer = g_timeout_add (pending->duration_ms, send_response_, pending);
    }
}

static gboolean
send_response_ (gpointer user_data)
{
  PendingRequest *pending = user_data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (
      pending->message);

  pending->timer = 0;
  pending->service->answered++;
  if (!pending->is_manual)
    respond_ (pending->message, SOUP_STATUS_OK, pending->body);
  else
    {
      soup_server_message_set_status (pending->message, SOUP_STATUS_OK, NULL);
      soup_message_headers_set_content_length (headers, (goffset) pending->size);
      soup_message_body_set_accumulate (
          soup_server_message_get_response_body (pending->message), FALSE);
      g_signal_connect (pending->message, "wrote-headers", G_CALLBACK (write_chunk_),
                        pending);
      g_signal_connect (pending->message, "wrote-chunk", G_CALLBACK (write_chunk_),
                        pending);
    }
  soup_server_message_unpause (pending->message);
  return G_SOURCE_REMOVE;
}

/* Appends the manual's next chunk after the previous one was written, so that only one
 * chunk is in memory. */
static void
write_chunk_ (SoupServerMessage *message, gpointer user_data)
{
  PendingRequest *pending = user_data;
  SoupMessageBody *body = soup_server_message_get_response_body (message);
  gsize length = (gsize) MIN (pending->size - pending->offset, MANUAL_CHUNK);

  if (length > 0)
    {
      guint8 chunk[MANUAL_CHUNK];

      manual_fill (pending->seed, pending->offset, chunk, length);
      if (pending->service->fault == FAULT_CORRUPT)
        chunk[length / 2] ^= 1;
      soup_message_body_append (body, SOUP_MEMORY_COPY, chunk, length);
      pending->offset += length;
    }
  else
    soup_message_body_complete (body);
  soup_server_message_unpause (message);
}

/* Frees the PendingRequest after the response was written or the client has closed the
 * connection. */
static void
request_finished_ (SoupServerMessage *message, gpointer user_data)
{
  PendingRequest *pending = user_data;
  Service *service = pending->service;

  g_clear_handle_id (&pending->timer, g_source_remove);
  g_signal_handlers_disconnect_by_data (message, pending);
  service->n_pending--;
  if (pending->running)
    service->busy_slots--;
  else
    g_queue_remove (&service->queue, pending);
  g_free (pending->report_id);
  g_free (pending->body);
  g_free (pending);
  start_queued_ (service);
}

static void
respond_ (SoupServerMessage *message, guint status, const char *json)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, json,
                                    strlen (json));
}

static void
connection_closed_ (gpointer user_data, GObject *connection)
{
  Service *service = user_data;

  service->connections--;
}
