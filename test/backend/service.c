#include "service.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "../share/manual.h"

#define MANUAL_MAX (G_GUINT64_CONSTANT (1) << 30) /* bytes */
#define MANUAL_CHUNK (64 * 1024)                  /* bytes in memory per download */
#define SLOW_MAX_MS 600000
#define DEFAULT_SEED 1

/* Deliberate faults, to show that the load generator finds them. */
typedef enum
{
  FAULT_NONE,
  FAULT_DOUBLE,  /* acts on each report twice */
  FAULT_FORGET,  /* answers reports without acting on them */
  FAULT_CORRUPT, /* changes a byte of each manual */
  N_FAULTS
} Fault;

struct _Service
{
  char *service;
  char *server;
  guint slots;
  guint service_ms;
  GHashTable *reports; /* id -> number of times that it was acted on */
  GQueue waiting;      /* Job */
  guint busy;          /* slots */
  guint open_jobs;     /* running, waiting or held silently */
  guint connections;
  guint64 answered;
  guint64 shed;
  gboolean leaving;
  /* Set by /admin/behaviour. */
  guint delay_ms;
  guint shed_percent;
  gboolean silent;
  gboolean ignore_health;
  Fault fault;
};

typedef struct
{
  Service *service;
  SoupServerMessage *message;
  guint work_ms;
  char *report_id; /* NULL: not a report */
  char *body;      /* JSON answer of other work than reports and manuals */
  gboolean manual;
  guint64 size; /* bytes of the manual */
  guint64 offset;
  guint64 seed;
  guint timer;
  gboolean running; /* holds a slot */
} Job;

static void
handle_admin_ (Service *service, SoupServerMessage *message, const char *path);
static void set_behaviour_ (Service *service, SoupServerMessage *message);
static char *format_reports_ (Service *service);
static Job *parse_ (Service *service,
                    SoupServerMessage *message,
                    const char *path,
                    GHashTable *query);
static char *parse_report_ (SoupServerMessage *message);
static void act_ (Service *service, Job *job);
static void start_next_ (Service *service);
static gboolean work_done_ (gpointer user_data);
static void write_chunk_ (SoupServerMessage *message, gpointer user_data);
static void job_finished_ (SoupServerMessage *message, gpointer user_data);
static void answer_ (SoupServerMessage *message, guint status, const char *json);
static void connection_closed_ (gpointer user_data, GObject *connection);

static const char *const fault_strings_[] = { "none", "double", "forget", "corrupt" };

G_STATIC_ASSERT (G_N_ELEMENTS (fault_strings_) == N_FAULTS);

/* Makes the work of the server named server of the service; each piece of work takes
 * service_ms and one of the slots. */
Service *
service_new (const char *service, const char *server, guint slots, guint service_ms)
{
  Service *s = g_new0 (Service, 1);

  s->service = g_strdup (service);
  s->server = g_strdup (server);
  s->slots = slots;
  s->service_ms = service_ms;
  s->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&s->waiting);
  return s;
}

/* To be called once the SoupServer is gone. */
void
service_free (Service *service)
{
  g_queue_clear (&service->waiting);
  g_hash_table_unref (service->reports);
  g_free (service->service);
  g_free (service->server);
  g_free (service);
}

/* Answers one request, at once or after waiting for a slot. */
void
service_handle (SoupServer *server,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                gpointer user_data)
{
  Service *service = user_data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  Job *job;

  soup_message_headers_replace (headers, "X-Server", service->server);
  soup_message_headers_replace (headers, "X-Service", service->service);
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
      answer_ (message, SOUP_STATUS_SERVICE_UNAVAILABLE, "{\"error\":\"shed\"}");
      return;
    }
  job = parse_ (service, message, path, query);
  if (job == NULL)
    {
      answer_ (message, SOUP_STATUS_NOT_FOUND, "{\"error\":\"no such path\"}");
      return;
    }
  service->open_jobs++;
  g_signal_connect (message, "finished", G_CALLBACK (job_finished_), job);
  soup_server_message_pause (message);
  if (service->silent)
    return;
  g_queue_push_tail (&service->waiting, job);
  start_next_ (service);
}

/* From now on every answer asks the client to close its connection. */
void
service_set_leaving (Service *service)
{
  service->leaving = TRUE;
}

/* Counts the connection until it is closed. */
void
service_count_connection (Service *service, GObject *connection)
{
  service->connections++;
  g_object_weak_ref (connection, connection_closed_, service);
}

/* Returns whether no request is in progress. */
gboolean
service_idle (const Service *service)
{
  return service->open_jobs == 0;
}

/* Returns the number of open connections. */
guint
service_connections (const Service *service)
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

      answer_ (message, SOUP_STATUS_OK, json);
    }
  else if (strcmp (path, "/admin/stats") == 0)
    {
      g_autofree char *json = g_strdup_printf (
          "{\"busy\":%u,\"queue\":%u,\"connections\":%u,\"answered\":%" G_GUINT64_FORMAT
          ",\"shed\":%" G_GUINT64_FORMAT "}",
          service->busy, service->waiting.length, service->connections, service->answered,
          service->shed);

      answer_ (message, SOUP_STATUS_OK, json);
    }
  else if (strcmp (path, "/health") == 0)
    {
      gboolean healthy = service->ignore_health
                         || (!service->silent && service->shed_percent < 100);

      answer_ (message, healthy ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, "{}");
    }
  else
    answer_ (message, SOUP_STATUS_NOT_FOUND, "{\"error\":\"no such path\"}");
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
      answer_ (message, SOUP_STATUS_BAD_REQUEST, "{\"error\":\"not a JSON object\"}");
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
  answer_ (message, SOUP_STATUS_OK, "{}");
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

/* Returns the work that the request asks for, NULL if there is none at the path. */
static Job *
parse_ (Service *service, SoupServerMessage *message, const char *path, GHashTable *query)
{
  gboolean get = strcmp (soup_server_message_get_method (message), "GET") == 0;
  const char *seed = query != NULL ? g_hash_table_lookup (query, "seed") : NULL;
  Job job = { service, message, service->service_ms + service->delay_ms };

  if (get && g_str_has_prefix (path, "/jobs/"))
    job.body = g_strdup_printf ("{\"server\":\"%s\",\"state\":\"open\"}",
                                service->server);
  else if (get && g_str_has_prefix (path, "/slow/"))
    {
      guint64 ms = g_ascii_strtoull (path + strlen ("/slow/"), NULL, 10);

      job.work_ms += (guint) MIN (ms, SLOW_MAX_MS);
      job.body = g_strdup ("{}");
    }
  else if (get && g_str_has_prefix (path, "/manuals/"))
    {
      job.manual = TRUE;
      job.size = g_ascii_strtoull (path + strlen ("/manuals/"), NULL, 10);
      job.seed = seed != NULL ? g_ascii_strtoull (seed, NULL, 10) : DEFAULT_SEED;
      if (job.size > MANUAL_MAX)
        return NULL;
    }
  else if (!get && strcmp (path, "/reports") == 0)
    {
      job.report_id = parse_report_ (message);
      if (job.report_id == NULL)
        return NULL;
    }
  else
    return NULL;
  return g_memdup2 (&job, sizeof job);
}

/* Returns the id of the report in the request's body, NULL if it has none. */
static char *
parse_report_ (SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (JsonNode) node = json_from_string (body->data, NULL);

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  return g_strdup (json_object_get_string_member_with_default (
      json_node_get_object (node), "id", NULL));
}

static void
act_ (Service *service, Job *job)
{
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (service->reports, job->report_id));

  n += service->fault == FAULT_DOUBLE ? 2 : 1;
  if (service->fault != FAULT_FORGET)
    g_hash_table_replace (service->reports, g_strdup (job->report_id),
                          GUINT_TO_POINTER (n));
  job->body = g_strdup_printf ("{\"count\":%u}", n);
}

static void
start_next_ (Service *service)
{
  while (service->busy < service->slots && !g_queue_is_empty (&service->waiting))
    {
      Job *job = g_queue_pop_head (&service->waiting);

      service->busy++;
      job->running = TRUE;
      if (job->report_id != NULL)
        act_ (service, job);
      job->timer = g_timeout_add (job->work_ms, work_done_, job);
    }
}

static gboolean
work_done_ (gpointer user_data)
{
  Job *job = user_data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (job->message);

  job->timer = 0;
  job->service->answered++;
  if (!job->manual)
    answer_ (job->message, SOUP_STATUS_OK, job->body);
  else
    {
      soup_server_message_set_status (job->message, SOUP_STATUS_OK, NULL);
      soup_message_headers_set_content_length (headers, (goffset) job->size);
      soup_message_body_set_accumulate (
          soup_server_message_get_response_body (job->message), FALSE);
      g_signal_connect (job->message, "wrote-headers", G_CALLBACK (write_chunk_), job);
      g_signal_connect (job->message, "wrote-chunk", G_CALLBACK (write_chunk_), job);
    }
  soup_server_message_unpause (job->message);
  return G_SOURCE_REMOVE;
}

/* Appends the manual's next chunk once the one before is written, so that memory stays
 * bounded by one chunk. */
static void
write_chunk_ (SoupServerMessage *message, gpointer user_data)
{
  Job *job = user_data;
  SoupMessageBody *body = soup_server_message_get_response_body (message);
  gsize length = (gsize) MIN (job->size - job->offset, MANUAL_CHUNK);

  if (length > 0)
    {
      guint8 chunk[MANUAL_CHUNK];

      manual_fill (job->seed, job->offset, chunk, length);
      if (job->service->fault == FAULT_CORRUPT)
        chunk[length / 2] ^= 1;
      soup_message_body_append (body, SOUP_MEMORY_COPY, chunk, length);
      job->offset += length;
    }
  else
    soup_message_body_complete (body);
  soup_server_message_unpause (message);
}

/* The answer is written or the client is gone. */
static void
job_finished_ (SoupServerMessage *message, gpointer user_data)
{
  Job *job = user_data;
  Service *service = job->service;

  g_clear_handle_id (&job->timer, g_source_remove);
  g_signal_handlers_disconnect_by_data (message, job);
  service->open_jobs--;
  if (job->running)
    service->busy--;
  else
    g_queue_remove (&service->waiting, job);
  g_free (job->report_id);
  g_free (job->body);
  g_free (job);
  start_next_ (service);
}

static void
answer_ (SoupServerMessage *message, guint status, const char *json)
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
