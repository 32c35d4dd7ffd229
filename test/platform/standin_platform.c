#include "standin_platform.h"

#include <libsoup/soup.h>
#include <string.h>

#include "protected/error.h"
#include "protected/json.h"

#define VALUE_MAX (1024 * 1024) /* bytes */
#define DEFAULT_HISTORY 1000    /* tombstones */
#define WATCH_MAX_MS 60000
#define STATUS_PRECONDITION_REQUIRED 428 /* RFC 6585 */
#define STATUS_TOO_MANY_REQUESTS 429
#define JSON_TYPE "application/json"
#define OBJECTS_PATH "/v1/objects"

typedef struct
{
  char *kind;
  char *name;
  guint64 version;
  gboolean deleted;
  char *json;
} Object;

typedef struct
{
  StandinPlatform *standin; /* NULL once the connection has ended */
  SoupServerMessage *message;
  guint64 since;
  guint timer;
} Waiter; /* a held watch or a delayed call */

struct _StandinPlatform
{
  SoupServer *server;
  char *url;
  GHashTable *objects; /* "KIND/NAME" to Object */
  GQueue tombstones;   /* keys, oldest first */
  guint64 revision;
  guint64 forgotten; /* version of the newest dropped tombstone */
  guint max_tombstones;
  GPtrArray *watches; /* Waiter */
  GPtrArray *delayed; /* Waiter */
  StandinFaults faults;
  StandinCalls calls;
  GRand *random;
};

static void object_free_ (gpointer data);
static void handle_ (SoupServer *server,
                     SoupServerMessage *message,
                     const char *path,
                     GHashTable *query,
                     gpointer user_data);
static void
handle_control_ (StandinPlatform *standin, SoupServerMessage *message, const char *path);
static gboolean handle_delayed_ (gpointer user_data);
static void carry_out_ (StandinPlatform *standin, SoupServerMessage *message);
static void
read_object_ (StandinPlatform *standin, SoupServerMessage *message, const char *key);
static void list_ (StandinPlatform *standin, SoupServerMessage *message);
static void
write_object_ (StandinPlatform *standin, SoupServerMessage *message, const char *key);
static char *store_ (StandinPlatform *standin, const char *key, char *json);
static void watch_ (StandinPlatform *standin, SoupServerMessage *message);
static void
answer_watch_ (StandinPlatform *standin, SoupServerMessage *message, guint64 since);
static gboolean watch_timed_out_ (gpointer user_data);
static void wake_watches_ (StandinPlatform *standin);
static void cut_watches_ (StandinPlatform *standin);
static Waiter *hold_ (StandinPlatform *standin,
                      GPtrArray *waiters,
                      SoupServerMessage *message,
                      guint delay_ms,
                      GSourceFunc timeout);
static void release_ (GPtrArray *waiters, Waiter *waiter);
static void answer_ (SoupServerMessage *message, guint status, char *body);
static void close_connection_ (SoupServerMessage *message);
static void append_object_ (JsonBuilder *builder, const Object *object);
static char *build_ (JsonBuilder *builder);
static char *object_text_ (const Object *object, const char *key);
static char *items_text_ (StandinPlatform *standin,
                          guint64 since,
                          gboolean tombstones,
                          const char *kind);
static gint compare_versions_ (gconstpointer a, gconstpointer b);

/* Starts serving on the address; the default main context has to run. */
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
  standin->max_tombstones = DEFAULT_HISTORY;
  standin->watches = g_ptr_array_new ();
  standin->delayed = g_ptr_array_new ();
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

/* Closes all connections and forgets all objects. */
void
standin_platform_free (StandinPlatform *standin)
{
  if (standin == NULL)
    return;
  cut_watches_ (standin);
  while (standin->delayed->len > 0)
    release_ (standin->delayed, g_ptr_array_index (standin->delayed, 0));
  soup_server_disconnect (standin->server);
  g_object_unref (standin->server);
  g_ptr_array_unref (standin->watches);
  g_ptr_array_unref (standin->delayed);
  g_queue_clear_full (&standin->tombstones, g_free);
  g_hash_table_unref (standin->objects);
  g_rand_free (standin->random);
  g_free (standin->url);
  g_free (standin);
}

/* Returns the URL below which the API is served. */
const char *
standin_platform_url (const StandinPlatform *standin)
{
  return standin->url;
}

/* Replaces all faults. */
void
standin_platform_set_faults (StandinPlatform *standin, const StandinFaults *faults)
{
  standin->faults = *faults;
  if (faults->down || faults->cut_watches)
    cut_watches_ (standin);
}

/* Returns the number of calls so far, those with a fault included. */
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

/* Bounds the tombstones that are kept from now on. */
void
standin_platform_set_history (StandinPlatform *standin, guint max_tombstones)
{
  standin->max_tombstones = max_tombstones;
}

/* Loses all objects and sets the revision, which may be lower than the present one. */
void
standin_platform_restore (StandinPlatform *standin, guint64 revision)
{
  g_hash_table_remove_all (standin->objects);
  g_queue_clear_full (&standin->tombstones, g_free);
  standin->revision = revision;
  standin->forgotten = 0;
  cut_watches_ (standin);
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
      handle_control_ (standin, message, path);
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
    answer_ (message, STATUS_TOO_MANY_REQUESTS, g_strdup ("{\"error\":\"rate limit\"}"));
  else if (faults->delay_ms > 0)
    hold_ (standin, standin->delayed, message, faults->delay_ms, handle_delayed_);
  else
    carry_out_ (standin, message);
}

static void
handle_control_ (StandinPlatform *standin, SoupServerMessage *message, const char *path)
{
  if (g_str_equal (path, "/v1/calls"))
    {
      answer_ (message, SOUP_STATUS_OK,
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
          answer_ (message, SOUP_STATUS_BAD_REQUEST, g_strdup ("{}"));
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
      answer_ (message, SOUP_STATUS_OK, g_strdup ("{}"));
    }
}

static gboolean
handle_delayed_ (gpointer user_data)
{
  Waiter *waiter = user_data;
  StandinPlatform *standin = waiter->standin;
  g_autoptr (SoupServerMessage) message = g_object_ref (waiter->message);

  waiter->timer = 0;
  release_ (standin->delayed, waiter);
  if (standin->faults.down)
    close_connection_ (message);
  else
    carry_out_ (standin, message);
  return G_SOURCE_REMOVE;
}

static void
carry_out_ (StandinPlatform *standin, SoupServerMessage *message)
{
  const char *path = g_uri_get_path (soup_server_message_get_uri (message));
  const char *method = soup_server_message_get_method (message);
  gboolean reads = g_str_equal (method, SOUP_METHOD_GET);
  g_autofree char *key = NULL;

  if (g_str_has_prefix (path, OBJECTS_PATH "/"))
    key = g_uri_unescape_string (path + strlen (OBJECTS_PATH "/"), NULL);
  if (g_str_equal (path, "/v1/watch") && reads)
    watch_ (standin, message);
  else if (g_str_equal (path, OBJECTS_PATH) && reads)
    list_ (standin, message);
  else if (key == NULL || strchr (key, '/') == NULL)
    answer_ (message, SOUP_STATUS_NOT_FOUND, g_strdup ("{\"error\":\"no such path\"}"));
  else if (reads)
    read_object_ (standin, message, key);
  else if (g_str_equal (method, SOUP_METHOD_PUT)
           || g_str_equal (method, SOUP_METHOD_DELETE))
    write_object_ (standin, message, key);
  else
    answer_ (message, SOUP_STATUS_METHOD_NOT_ALLOWED, g_strdup ("{}"));
}

static void
read_object_ (StandinPlatform *standin, SoupServerMessage *message, const char *key)
{
  const Object *object = g_hash_table_lookup (standin->objects, key);

  if (object == NULL || object->deleted)
    answer_ (message, SOUP_STATUS_NOT_FOUND, g_strdup ("{\"error\":\"no such object\"}"));
  else
    answer_ (message, SOUP_STATUS_OK, object_text_ (object, key));
}

static void
list_ (StandinPlatform *standin, SoupServerMessage *message)
{
  const char *query = g_uri_get_query (soup_server_message_get_uri (message));
  g_autoptr (GHashTable) parameters = soup_form_decode (query == NULL ? "" : query);

  answer_ (message, SOUP_STATUS_OK,
           items_text_ (standin, 0, FALSE, g_hash_table_lookup (parameters, "kind")));
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
  guint64 present = object == NULL || object->deleted ? 0 : object->version;
  g_autofree char *wanted = g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"", present);
  g_autoptr (JsonNode) value = NULL;
  char *text;

  if (condition == NULL)
    {
      answer_ (message, STATUS_PRECONDITION_REQUIRED,
               g_strdup ("{\"error\":\"If-Match is missing\"}"));
      return;
    }
  if (body->length > VALUE_MAX)
    {
      answer_ (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
               g_strdup ("{\"error\":\"the value is over 1 MB\"}"));
      return;
    }
  if (!deletes)
    value = dp_json_parse (body->data == NULL ? "" : body->data, (gsize) body->length,
                           NULL);
  if (!deletes && value == NULL)
    {
      answer_ (message, SOUP_STATUS_BAD_REQUEST, g_strdup ("{\"error\":\"not JSON\"}"));
      return;
    }
  if (!g_str_equal (condition, wanted) || (deletes && present == 0))
    {
      answer_ (message, SOUP_STATUS_PRECONDITION_FAILED, object_text_ (object, key));
      return;
    }
  text = store_ (standin, key, deletes ? NULL : dp_json_format (value));
  if (standin->faults.lose_answers > 0)
    {
      standin->faults.lose_answers--;
      g_free (text);
      close_connection_ (message);
    }
  else
    answer_ (message, SOUP_STATUS_OK, text);
  wake_watches_ (standin);
}

/* Gives the object a new version and value (NULL: deleted); returns the answer's text. */
static char *
store_ (StandinPlatform *standin, const char *key, char *json)
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
        continue; /* created again since */
      standin->forgotten = MAX (standin->forgotten, dropped->version);
      g_hash_table_remove (standin->objects, oldest);
    }
  return g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", standin->revision);
}

static void
watch_ (StandinPlatform *standin, SoupServerMessage *message)
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
    answer_ (message, SOUP_STATUS_BAD_REQUEST,
             g_strdup ("{\"error\":\"since or timeout_ms\"}"));
  else if (standin->faults.cut_watches)
    close_connection_ (message);
  else if (since < standin->forgotten)
    answer_ (message, SOUP_STATUS_GONE, g_strdup ("{\"error\":\"history is gone\"}"));
  else if (since != standin->revision || timeout_ms == 0)
    answer_watch_ (standin, message, since);
  else
    {
      Waiter *waiter = hold_ (standin, standin->watches, message, (guint) timeout_ms,
                              watch_timed_out_);

      waiter->since = since;
    }
}

static void
answer_watch_ (StandinPlatform *standin, SoupServerMessage *message, guint64 since)
{
  answer_ (message, SOUP_STATUS_OK, items_text_ (standin, since, TRUE, NULL));
}

static gboolean
watch_timed_out_ (gpointer user_data)
{
  Waiter *waiter = user_data;

  waiter->timer = 0;
  answer_watch_ (waiter->standin, waiter->message, waiter->since);
  release_ (waiter->standin->watches, waiter);
  return G_SOURCE_REMOVE;
}

static void
wake_watches_ (StandinPlatform *standin)
{
  while (standin->watches->len > 0)
    {
      Waiter *waiter = g_ptr_array_index (standin->watches, 0);

      answer_watch_ (standin, waiter->message, waiter->since);
      release_ (standin->watches, waiter);
    }
}

static void
cut_watches_ (StandinPlatform *standin)
{
  while (standin->watches->len > 0)
    {
      Waiter *waiter = g_ptr_array_index (standin->watches, 0);

      close_connection_ (waiter->message);
      release_ (standin->watches, waiter);
    }
}

static Waiter *
hold_ (StandinPlatform *standin,
       GPtrArray *waiters,
       SoupServerMessage *message,
       guint delay_ms,
       GSourceFunc timeout)
{
  Waiter *waiter = g_new0 (Waiter, 1);

  waiter->standin = standin;
  waiter->message = g_object_ref (message);
  waiter->timer = g_timeout_add (delay_ms, timeout, waiter);
  g_ptr_array_add (waiters, waiter);
  soup_server_message_pause (message);
  return waiter;
}

/* Lets the message go on with the answer that was set. */
static void
release_ (GPtrArray *waiters, Waiter *waiter)
{
  g_ptr_array_remove_fast (waiters, waiter);
  g_clear_handle_id (&waiter->timer, g_source_remove);
  soup_server_message_unpause (waiter->message);
  g_object_unref (waiter->message);
  g_free (waiter);
}

static void
answer_ (SoupServerMessage *message, guint status, char *body)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, JSON_TYPE, SOUP_MEMORY_TAKE, body,
                                    strlen (body));
}

/* Ends the connection without an answer, as a crash of the platform would. */
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
build_ (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);

  return dp_json_format (root);
}

/* The object, or version 0 and no value for one that does not exist. */
static char *
object_text_ (const Object *object, const char *key)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  const char *slash = strchr (key, '/');
  g_autofree char *kind = g_strndup (key, (gsize) (slash - key));
  Object absent = { kind, (char *) slash + 1, 0, TRUE, NULL };

  append_object_ (builder, object == NULL || object->deleted ? &absent : object);
  return build_ (builder);
}

static char *
items_text_ (StandinPlatform *standin,
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
  return build_ (builder);
}

static gint
compare_versions_ (gconstpointer a, gconstpointer b)
{
  const Object *x = *(const Object *const *) a;
  const Object *y = *(const Object *const *) b;

  return (x->version > y->version) - (x->version < y->version);
}
