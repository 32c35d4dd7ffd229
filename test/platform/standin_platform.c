#include "standin_platform.h"

#include <libsoup/soup.h>
#include <string.h>

#include "protected/error.h"
#include "protected/json.h"

#define VALUE_MAX (1024 * 1024) /* bytes */
#define DEFAULT_TOMBSTONES_MAX 1000
#define WATCH_MAX_MS 60000
#define STATUS_PRECONDITION_REQUIRED 428 /* RFC 6585 */
#define STATUS_TOO_MANY_REQUESTS 429
#define JSON_TYPE "application/json"
#define OBJECTS_PATH "/v1/objects"

typedef struct
{
  char *kind;
  char *name;
  guint64 version;  /* revision of the last write */
  gboolean deleted; /* the object is a tombstone */
  char *json;       /* value; NULL if deleted */
} Object;

/* A watch that waits for a change, or a delayed call. */
typedef struct
{
  StandinPlatform *standin;
  SoupServerMessage *message;
  guint64 since; /* revision that the watcher has */
  guint timer;
} PendingCall;

/* A copy of the store's state. */
typedef struct
{
  GHashTable *objects;
  GQueue tombstones;
  guint64 revision;
  guint64 dropped_version;
} Backup;

struct _StandinPlatform
{
  SoupServer *server;
  char *url;
  GHashTable *objects;     /* "KIND/NAME" to Object */
  GQueue tombstones;       /* keys, oldest first */
  guint64 revision;        /* number of the last write */
  guint64 dropped_version; /* version of the newest dropped tombstone */
  guint max_tombstones;
  guint64 era;              /* 0: no header */
  char *era_header;         /* sent instead of the era; NULL: the era */
  Backup *backup;           /* the last one, NULL: none */
  GPtrArray *watches;       /* PendingCall */
  GPtrArray *delayed_calls; /* PendingCall */
  StandinFaults faults;
  StandinCalls calls;
  GRand *random;
};

static void object_free_ (gpointer data);
static GHashTable *copy_objects_ (GHashTable *objects);
static void backup_free_ (Backup *backup);
static void handle_ (SoupServer *server,
                     SoupServerMessage *message,
                     const char *path,
                     GHashTable *query,
                     gpointer user_data);
static void handle_test_control_ (StandinPlatform *standin,
                                  SoupServerMessage *message,
                                  const char *path);
static gboolean handle_delayed_ (gpointer user_data);
static void process_call_ (StandinPlatform *standin, SoupServerMessage *message);
static void
read_object_ (StandinPlatform *standin, SoupServerMessage *message, const char *key);
static void list_objects_ (StandinPlatform *standin, SoupServerMessage *message);
static void
write_object_ (StandinPlatform *standin, SoupServerMessage *message, const char *key);
static char *store_object_ (StandinPlatform *standin, const char *key, char *json);
static void handle_watch_ (StandinPlatform *standin, SoupServerMessage *message);
static void
respond_watch_ (StandinPlatform *standin, SoupServerMessage *message, guint64 since);
static gboolean watch_timed_out_ (gpointer user_data);
static void complete_watches_ (StandinPlatform *standin);
static void close_watches_ (StandinPlatform *standin);
static PendingCall *suspend_call_ (StandinPlatform *standin,
                                   GPtrArray *pending_calls,
                                   SoupServerMessage *message,
                                   guint delay_ms,
                                   GSourceFunc timeout);
static void resume_call_ (GPtrArray *pending_calls, PendingCall *call);
static void
respond_ (StandinPlatform *standin, SoupServerMessage *message, guint status, char *body);
static void close_connection_ (SoupServerMessage *message);
static void append_object_ (JsonBuilder *builder, const Object *object);
static char *builder_to_text_ (JsonBuilder *builder);
static char *format_object_ (const Object *object, const char *key);
static char *format_items_ (StandinPlatform *standin,
                            guint64 since,
                            gboolean tombstones,
                            const char *kind);
static gint compare_versions_ (gconstpointer a, gconstpointer b);

/* Starts to serve on the address. The caller must iterate the default main context. seed
 * is that of the random rejections (StandinFaults.reject_rate). */
StandinPlatform *
standin_platform_new (const DpAddress *address, guint32 seed, GError **error)
{
  g_autoptr (StandinPlatform) standin = g_new0 (StandinPlatform, 1);
  g_autoptr (GSocketAddress) inet = NULL;
  g_autofree char *host = g_strdup_printf ("%u.%u.%u.%u", address->ip >> 24,
                                           (address->ip >> 16) & 0xff,
                                           (address->ip >> 8) & 0xff, address->ip & 0xff);
  GSList *uris;

  standin->server = soup_server_new ("raw-paths", TRUE, NULL);
  standin->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            object_free_);
  g_queue_init (&standin->tombstones);
  standin->max_tombstones = DEFAULT_TOMBSTONES_MAX;
  standin->watches = g_ptr_array_new ();
  standin->delayed_calls = g_ptr_array_new ();
  standin->random = g_rand_new_with_seed (seed);
  inet = g_inet_socket_address_new_from_string (host, address->port);
  if (!soup_server_listen (standin->server, inet, 0, error))
    return NULL;
  uris = soup_server_get_uris (standin->server);
  standin->url = g_strdup_printf ("http://%s:%d", host, g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify) g_uri_unref);
  soup_server_add_handler (standin->server, NULL, handle_, standin, NULL);
  return g_steal_pointer (&standin);
}

/* Closes all connections and frees all objects. NULL is allowed. */
void
standin_platform_free (StandinPlatform *standin)
{
  if (standin == NULL)
    return;
  close_watches_ (standin);
  while (standin->delayed_calls->len > 0)
    resume_call_ (standin->delayed_calls, g_ptr_array_index (standin->delayed_calls, 0));
  soup_server_disconnect (standin->server);
  g_object_unref (standin->server);
  g_ptr_array_unref (standin->watches);
  g_ptr_array_unref (standin->delayed_calls);
  g_queue_clear_full (&standin->tombstones, g_free);
  g_hash_table_unref (standin->objects);
  g_rand_free (standin->random);
  backup_free_ (standin->backup);
  g_free (standin->era_header);
  g_free (standin->url);
  g_free (standin);
}

/* Returns the base URL of the API, owned by the stand-in. */
const char *
standin_platform_url (const StandinPlatform *standin)
{
  return standin->url;
}

/* Replaces all faults. Open watches end if down or cut_watches is set. */
void
standin_platform_set_faults (StandinPlatform *standin, const StandinFaults *faults)
{
  standin->faults = *faults;
  if (faults->down || faults->cut_watches)
    close_watches_ (standin);
}

/* Returns the number of calls so far, including those that a fault hit. */
StandinCalls
standin_platform_calls (const StandinPlatform *standin)
{
  return standin->calls;
}

/* Returns the revision of the last write. */
guint64
standin_platform_revision (const StandinPlatform *standin)
{
  return standin->revision;
}

/* Sets the limit that applies from the next write on. */
void
standin_platform_set_max_tombstones (StandinPlatform *standin, guint max_tombstones)
{
  standin->max_tombstones = max_tombstones;
}

/* revision may be lower than the current one. Closes all watches. */
void
standin_platform_restore (StandinPlatform *standin, guint64 revision)
{
  g_hash_table_remove_all (standin->objects);
  g_queue_clear_full (&standin->tombstones, g_free);
  standin->revision = revision;
  standin->dropped_version = 0;
  close_watches_ (standin);
}

/* Sets the store's era; from 1 on, all responses have the header Store-Era. */
void
standin_platform_set_era (StandinPlatform *standin, guint64 era)
{
  standin->era = era;
}

/* Sets the header's text regardless of the era; NULL ends that. */
void
standin_platform_set_era_header (StandinPlatform *standin, const char *text)
{
  g_free (standin->era_header);
  standin->era_header = g_strdup (text);
}

/* Keeps a copy of the present state, in place of an earlier one. */
void
standin_platform_back_up (StandinPlatform *standin)
{
  backup_free_ (standin->backup);
  standin->backup = g_new0 (Backup, 1);
  standin->backup->objects = copy_objects_ (standin->objects);
  g_queue_init (&standin->backup->tombstones);
  for (const GList *link = standin->tombstones.head; link != NULL; link = link->next)
    g_queue_push_tail (&standin->backup->tombstones, g_strdup (link->data));
  standin->backup->revision = standin->revision;
  standin->backup->dropped_version = standin->dropped_version;
}

/* Goes back to the last backup, which is used up, and starts the next era. Closes all
 * watches. */
void
standin_platform_restore_backup (StandinPlatform *standin)
{
  Backup *backup = g_steal_pointer (&standin->backup);

  g_assert (backup != NULL);
  g_hash_table_unref (standin->objects);
  standin->objects = g_steal_pointer (&backup->objects);
  g_queue_clear_full (&standin->tombstones, g_free);
  standin->tombstones = backup->tombstones;
  standin->revision = backup->revision;
  standin->dropped_version = backup->dropped_version;
  standin->era++;
  g_free (backup);
  close_watches_ (standin);
}

static GHashTable *
copy_objects_ (GHashTable *objects)
{
  GHashTable *copy = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            object_free_);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Object *object = g_memdup2 (value, sizeof (Object));

      object->kind = g_strdup (object->kind);
      object->name = g_strdup (object->name);
      object->json = g_strdup (object->json);
      g_hash_table_insert (copy, g_strdup (key), object);
    }
  return copy;
}

static void
backup_free_ (Backup *backup)
{
  if (backup == NULL)
    return;
  g_hash_table_unref (backup->objects);
  g_queue_clear_full (&backup->tombstones, g_free);
  g_free (backup);
}

static void
object_free_ (gpointer data)
{
  Object *object = data;

  g_free (object->kind);
  g_free (object->name);
  g_free (object->json);
  g_free (object);
}

static void
handle_ (SoupServer *server,
         SoupServerMessage *message,
         const char *path,
         GHashTable *query,
         gpointer user_data)
{
  StandinPlatform *standin = user_data;
  const char *method = soup_server_message_get_method (message);
  const StandinFaults *faults = &standin->faults;

  if (g_str_equal (path, "/v1/faults") || g_str_equal (path, "/v1/calls"))
    {
      handle_test_control_ (standin, message, path);
      return;
    }
  if (g_str_equal (path, "/v1/watch"))
    standin->calls.watches++;
  else if (g_str_equal (method, SOUP_METHOD_GET))
    standin->calls.reads++;
  else
    standin->calls.writes++;
  if (faults->down)
    close_connection_ (message);
  else if (faults->reject_rate > 0
           && (guint) g_rand_int_range (standin->random, 0, 100) < faults->reject_rate)
    respond_ (standin, message, STATUS_TOO_MANY_REQUESTS,
              g_strdup ("{\"error\":\"rate limit\"}"));
  else if (faults->delay_ms > 0)
    suspend_call_ (standin, standin->delayed_calls, message, faults->delay_ms,
                   handle_delayed_);
  else
    process_call_ (standin, message);
}

static void
handle_test_control_ (StandinPlatform *standin,
                      SoupServerMessage *message,
                      const char *path)
{
  if (g_str_equal (path, "/v1/calls"))
    {
      respond_ (standin, message, SOUP_STATUS_OK,
                g_strdup_printf (
                    "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
                    ",\"watches\":%" G_GUINT64_FORMAT "}",
                    standin->calls.reads, standin->calls.writes, standin->calls.watches));
    }
  else
    {
      SoupMessageBody *body = soup_server_message_get_request_body (message);
      g_autoptr (JsonNode) node = dp_json_parse (body->data == NULL ? "" : body->data,
                                                 (gsize) body->length, NULL);
      JsonObject *object = dp_json_get_object (node);
      StandinFaults faults = standin->faults;
      guint64 number;

      if (object == NULL)
        {
          respond_ (standin, message, SOUP_STATUS_BAD_REQUEST, g_strdup ("{}"));
          return;
        }
      faults.down = dp_json_get_boolean (object, "down", faults.down);
      faults.cut_watches = dp_json_get_boolean (object, "cut_watches",
                                                faults.cut_watches);
      if (dp_json_get_uint (object, "delay_ms", &number))
        faults.delay_ms = (guint) MIN (number, WATCH_MAX_MS);
      if (dp_json_get_uint (object, "lose_answers", &number))
        faults.lose_answers = (guint) MIN (number, G_MAXUINT);
      if (dp_json_get_uint (object, "reject_rate", &number))
        faults.reject_rate = (guint) MIN (number, 100);
      standin_platform_set_faults (standin, &faults);
      respond_ (standin, message, SOUP_STATUS_OK, g_strdup ("{}"));
    }
}

static gboolean
handle_delayed_ (gpointer user_data)
{
  PendingCall *call = user_data;
  StandinPlatform *standin = call->standin;
  g_autoptr (SoupServerMessage) message = g_object_ref (call->message);

  call->timer = 0;
  resume_call_ (standin->delayed_calls, call);
  if (standin->faults.down)
    close_connection_ (message);
  else
    process_call_ (standin, message);
  return G_SOURCE_REMOVE;
}

static void
process_call_ (StandinPlatform *standin, SoupServerMessage *message)
{
  const char *path = g_uri_get_path (soup_server_message_get_uri (message));
  const char *method = soup_server_message_get_method (message);
  gboolean reads = g_str_equal (method, SOUP_METHOD_GET);
  g_autofree char *key = NULL;

  if (g_str_has_prefix (path, OBJECTS_PATH "/"))
    key = g_uri_unescape_string (path + strlen (OBJECTS_PATH "/"), NULL);
  if (g_str_equal (path, "/v1/watch") && reads)
    handle_watch_ (standin, message);
  else if (g_str_equal (path, OBJECTS_PATH) && reads)
    list_objects_ (standin, message);
  else if (key == NULL || strchr (key, '/') == NULL)
    respond_ (standin, message, SOUP_STATUS_NOT_FOUND,
              g_strdup ("{\"error\":\"no such path\"}"));
  else if (reads)
    read_object_ (standin, message, key);
  else if (g_str_equal (method, SOUP_METHOD_PUT)
           || g_str_equal (method, SOUP_METHOD_DELETE))
    write_object_ (standin, message, key);
  else
    respond_ (standin, message, SOUP_STATUS_METHOD_NOT_ALLOWED, g_strdup ("{}"));
}

static void
read_object_ (StandinPlatform *standin, SoupServerMessage *message, const char *key)
{
  const Object *object = g_hash_table_lookup (standin->objects, key);

  if (object == NULL || object->deleted)
    respond_ (standin, message, SOUP_STATUS_NOT_FOUND,
              g_strdup ("{\"error\":\"no such object\"}"));
  else
    respond_ (standin, message, SOUP_STATUS_OK, format_object_ (object, key));
}

static void
list_objects_ (StandinPlatform *standin, SoupServerMessage *message)
{
  const char *query = g_uri_get_query (soup_server_message_get_uri (message));
  g_autoptr (GHashTable) parameters = soup_form_decode (query == NULL ? "" : query);

  respond_ (standin, message, SOUP_STATUS_OK,
            format_items_ (standin, 0, FALSE, g_hash_table_lookup (parameters, "kind")));
}

static void
write_object_ (StandinPlatform *standin, SoupServerMessage *message, const char *key)
{
  gboolean deletes = g_str_equal (soup_server_message_get_method (message),
                                  SOUP_METHOD_DELETE);
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  const char *condition = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), "If-Match");
  const Object *object = g_hash_table_lookup (standin->objects, key);
  guint64 current_version = object == NULL || object->deleted ? 0 : object->version;
  g_autofree char *expected_condition = g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"",
                                                         current_version);
  g_autoptr (JsonNode) value = NULL;
  char *text;

  if (condition == NULL)
    {
      respond_ (standin, message, STATUS_PRECONDITION_REQUIRED,
                g_strdup ("{\"error\":\"If-Match is missing\"}"));
      return;
    }
  if (body->length > VALUE_MAX)
    {
      respond_ (standin, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                g_strdup ("{\"error\":\"the value is over 1 MB\"}"));
      return;
    }
  if (!deletes)
    value = dp_json_parse (body->data == NULL ? "" : body->data, (gsize) body->length,
                           NULL);
  if (!deletes && value == NULL)
    {
      respond_ (standin, message, SOUP_STATUS_BAD_REQUEST,
                g_strdup ("{\"error\":\"not JSON\"}"));
      return;
    }
  if (!g_str_equal (condition, expected_condition) || (deletes && current_version == 0))
    {
      respond_ (standin, message, SOUP_STATUS_PRECONDITION_FAILED,
                format_object_ (object, key));
      return;
    }
  text = store_object_ (standin, key, deletes ? NULL : dp_json_format (value));
  if (standin->faults.lose_answers > 0)
    {
      standin->faults.lose_answers--;
      g_free (text);
      close_connection_ (message);
    }
  else
    respond_ (standin, message, SOUP_STATUS_OK, text);
  complete_watches_ (standin);
}

/* Stores a new version of the object and takes ownership of its value json; NULL deletes
 * the object. Drops tombstones over the limit. Returns the body of the response. */
static char *
store_object_ (StandinPlatform *standin, const char *key, char *json)
{
  const char *slash = strchr (key, '/');
  Object *object = g_new0 (Object, 1);

  object->kind = g_strndup (key, (gsize) (slash - key));
  object->name = g_strdup (slash + 1);
  object->version = ++standin->revision;
  object->deleted = json == NULL;
  object->json = json;
  g_hash_table_replace (standin->objects, g_strdup (key), object);
  if (object->deleted)
    g_queue_push_tail (&standin->tombstones, g_strdup (key));
  while (standin->tombstones.length > standin->max_tombstones)
    {
      g_autofree char *oldest = g_queue_pop_head (&standin->tombstones);
      const Object *dropped = g_hash_table_lookup (standin->objects, oldest);

      if (dropped == NULL || !dropped->deleted)
        continue; /* the object was created again */
      standin->dropped_version = MAX (standin->dropped_version, dropped->version);
      g_hash_table_remove (standin->objects, oldest);
    }
  return g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", standin->revision);
}

static void
handle_watch_ (StandinPlatform *standin, SoupServerMessage *message)
{
  const char *query = g_uri_get_query (soup_server_message_get_uri (message));
  g_autoptr (GHashTable) parameters = soup_form_decode (query == NULL ? "" : query);
  const char *since_text = g_hash_table_lookup (parameters, "since");
  const char *timeout_text = g_hash_table_lookup (parameters, "timeout_ms");
  guint64 since = 0;
  guint64 timeout_ms = 0;

  if (since_text == NULL
      || !g_ascii_string_to_unsigned (since_text, 10, 0, G_MAXINT64, &since, NULL)
      || (timeout_text != NULL
          && !g_ascii_string_to_unsigned (timeout_text, 10, 0, WATCH_MAX_MS, &timeout_ms,
                                          NULL)))
    respond_ (standin, message, SOUP_STATUS_BAD_REQUEST,
              g_strdup ("{\"error\":\"since or timeout_ms\"}"));
  else if (standin->faults.cut_watches)
    close_connection_ (message);
  else if (since < standin->dropped_version
           || (since > standin->revision && standin->era > 0))
    respond_ (standin, message, SOUP_STATUS_GONE,
              g_strdup ("{\"error\":\"history is gone\"}"));
  else if (since != standin->revision || timeout_ms == 0)
    respond_watch_ (standin, message, since);
  else
    {
      PendingCall *call = suspend_call_ (standin, standin->watches, message,
                                         (guint) timeout_ms, watch_timed_out_);

      call->since = since;
    }
}

static void
respond_watch_ (StandinPlatform *standin, SoupServerMessage *message, guint64 since)
{
  if (since < standin->dropped_version)
    respond_ (standin, message, SOUP_STATUS_GONE,
              g_strdup ("{\"error\":\"history is gone\"}"));
  else
    respond_ (standin, message, SOUP_STATUS_OK,
              format_items_ (standin, since, TRUE, NULL));
}

static gboolean
watch_timed_out_ (gpointer user_data)
{
  PendingCall *call = user_data;

  call->timer = 0;
  respond_watch_ (call->standin, call->message, call->since);
  resume_call_ (call->standin->watches, call);
  return G_SOURCE_REMOVE;
}

static void
complete_watches_ (StandinPlatform *standin)
{
  while (standin->watches->len > 0)
    {
      PendingCall *call = g_ptr_array_index (standin->watches, 0);

      respond_watch_ (standin, call->message, call->since);
      resume_call_ (standin->watches, call);
    }
}

static void
close_watches_ (StandinPlatform *standin)
{
  while (standin->watches->len > 0)
    {
      PendingCall *call = g_ptr_array_index (standin->watches, 0);

      close_connection_ (call->message);
      resume_call_ (standin->watches, call);
    }
}

static PendingCall *
suspend_call_ (StandinPlatform *standin,
               GPtrArray *pending_calls,
               SoupServerMessage *message,
               guint delay_ms,
               GSourceFunc timeout)
{
  PendingCall *call = g_new0 (PendingCall, 1);

  call->standin = standin;
  call->message = g_object_ref (message);
  call->timer = g_timeout_add (delay_ms, timeout, call);
  g_ptr_array_add (pending_calls, call);
  soup_server_message_pause (message);
  return call;
}

/* Sends the response that was set for the message, and frees the call. */
static void
resume_call_ (GPtrArray *pending_calls, PendingCall *call)
{
  g_ptr_array_remove_fast (pending_calls, call);
  g_clear_handle_id (&call->timer, g_source_remove);
  soup_server_message_unpause (call->message);
  g_object_unref (call->message);
  g_free (call);
}

static void
respond_ (StandinPlatform *standin, SoupServerMessage *message, guint status, char *body)
{
  g_autofree char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, standin->era);

  if (standin->era_header != NULL || standin->era > 0)
    soup_message_headers_replace (
        soup_server_message_get_response_headers (message), "Store-Era",
        standin->era_header == NULL ? era : standin->era_header);
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, JSON_TYPE, SOUP_MEMORY_TAKE, body,
                                    strlen (body));
}

/* Closes the connection without a response, as if the platform had crashed. */
static void
close_connection_ (SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);

  soup_server_message_set_status (message, SOUP_STATUS_INTERNAL_SERVER_ERROR, NULL);
  if (socket != NULL)
    g_socket_shutdown (socket, TRUE, TRUE, NULL);
}

static void
append_object_ (JsonBuilder *builder, const Object *object)
{
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "kind");
  json_builder_add_string_value (builder, object->kind);
  json_builder_set_member_name (builder, "name");
  json_builder_add_string_value (builder, object->name);
  json_builder_set_member_name (builder, "version");
  json_builder_add_int_value (builder, (gint64) object->version);
  if (object->deleted)
    {
      json_builder_set_member_name (builder, "deleted");
      json_builder_add_boolean_value (builder, TRUE);
    }
  else
    {
      json_builder_set_member_name (builder, "value");
      json_builder_add_value (builder,
                              dp_json_parse (object->json, strlen (object->json), NULL));
    }
  json_builder_end_object (builder);
}

static char *
builder_to_text_ (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);

  return dp_json_format (root);
}

/* Returns the object as JSON. One that does not exist has version 0 and "deleted". */
static char *
format_object_ (const Object *object, const char *key)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  const char *slash = strchr (key, '/');
  g_autofree char *kind = g_strndup (key, (gsize) (slash - key));
  Object absent = { kind, (char *) slash + 1, 0, TRUE, NULL };

  append_object_ (builder, object == NULL || object->deleted ? &absent : object);
  return builder_to_text_ (builder);
}

static char *
format_items_ (StandinPlatform *standin,
               guint64 since,
               gboolean tombstones,
               const char *kind)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (GPtrArray) objects = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, standin->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Object *object = value;

      if (object->version > since && (tombstones || !object->deleted)
          && (kind == NULL || g_str_equal (kind, object->kind)))
        g_ptr_array_add (objects, object);
    }
  g_ptr_array_sort (objects, compare_versions_);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "revision");
  json_builder_add_int_value (builder, (gint64) standin->revision);
  json_builder_set_member_name (builder, "items");
  json_builder_begin_array (builder);
  for (guint i = 0; i < objects->len; i++)
    append_object_ (builder, g_ptr_array_index (objects, i));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return builder_to_text_ (builder);
}

static gint
compare_versions_ (gconstpointer a, gconstpointer b)
{
  const Object *x = *(const Object *const *) a;
  const Object *y = *(const Object *const *) b;

  return (x->version > y->version) - (x->version < y->version);
}
