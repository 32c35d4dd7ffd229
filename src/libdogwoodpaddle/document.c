#include "protected/document.h"

#include <string.h>

/* The deepest valid file has 5 levels. json-glib parses recursively, so deep nesting
 * would overflow the stack. */
#define MAX_DEPTH 32
/* Many times the size of a fleet file with 3,100 services of about 300 bytes each, the
 * size planned for later. */
#define MAX_FILE_BYTES (16 * 1024 * 1024)
/* The same limit applies to names in member lists. */
#define MAX_NAME_LENGTH 63

typedef struct
{
  gboolean in_string;
  gboolean escaped;
  gboolean root_ended;
  guint depth;
} Scanner;

typedef struct
{
  JsonObject *object;
  char *key;
} DuplicateKey;

typedef struct
{
  GHashTable *seen_keys; /* "POINTER KEY", with the pointer to the JsonObject */
  GPtrArray *duplicates; /* DuplicateKey */
} KeyTracker;

static const char *scan_ (const char *text, gsize length);
static const char *scan_byte_ (Scanner *scanner, char byte, char next);
static void
on_member_ (JsonParser *parser, JsonObject *object, char *key, KeyTracker *tracker);
static void report_duplicates_ (JsonNode *root, KeyTracker *tracker, GPtrArray *faults);
static char *find_path_ (JsonNode *node, const JsonObject *object, const char *path);
static char *
find_in_array_ (JsonArray *array, const JsonObject *object, const char *path);
static void duplicate_key_free_ (gpointer data);
static gboolean is_plain_key_ (const char *key);

void
dp_fault_free (DpFault *fault)
{
  if (fault == NULL)
    return;
  g_free (fault->path);
  g_free (fault->message);
  g_free (fault);
}

/* Returns a new empty list of DpFault, which frees its elements. */
GPtrArray *
dp_faults_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify) dp_fault_free);
}

/* Appends a fault with a JSON path and a formatted text. */
void
dp_faults_add (GPtrArray *faults, const char *path, const char *format, ...)
{
  DpFault *fault = g_new0 (DpFault, 1);
  va_list args;

  va_start (args, format);
  fault->message = g_strdup_vprintf (format, args);
  va_end (args);
  fault->path = g_strdup (path);
  g_ptr_array_add (faults, fault);
}

/* Returns all faults in one line as "PATH: TEXT; PATH: TEXT". Free with g_free (). */
char *
dp_faults_join (const GPtrArray *faults)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < faults->len; i++)
    {
      const DpFault *fault = g_ptr_array_index (faults, i);

      g_string_append_printf (text, "%s%s: %s", i == 0 ? "" : "; ", fault->path,
                              fault->message);
    }
  return g_string_free (text, FALSE);
}

/* Returns the JSON path of a member of the object at path. Free with g_free (). */
char *
dp_document_member_path (const char *path, const char *key)
{
  g_autofree char *escaped = NULL;

  if (is_plain_key_ (key))
    return g_strconcat (path, ".", key, NULL);
  escaped = g_strescape (key, NULL);
  return g_strconcat (path, "[\"", escaped, "\"]", NULL);
}

/* Parses a complete JSON text. Returns NULL and adds at least one fault if it is not
 * valid JSON. Adds a fault for each repetition of a key in an object. Unref the result
 * with json_node_unref (). */
JsonNode *
dp_document_parse (const char *text, gsize length, GPtrArray *faults)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  g_autoptr (GHashTable) seen_keys = NULL;
  g_autoptr (GPtrArray) duplicates = g_ptr_array_new_with_free_func (duplicate_key_free_);
  g_autoptr (GError) error = NULL;
  const char *reason = scan_ (text, length);
  JsonNode *root;
  KeyTracker tracker;

  if (reason != NULL)
    {
      dp_faults_add (faults, "$", "%s", reason);
      return NULL;
    }
  seen_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  tracker = (KeyTracker){ .seen_keys = seen_keys, .duplicates = duplicates };
  g_signal_connect (parser, "object-member", G_CALLBACK (on_member_), &tracker);
  if (!json_parser_load_from_data (parser, text, (gssize) length, &error))
    {
      dp_faults_add (faults, "$", "%s", error->message);
      return NULL;
    }
  root = json_parser_steal_root (parser);
  if (root == NULL)
    {
      dp_faults_add (faults, "$", "the file is empty");
      return NULL;
    }
  report_duplicates_ (root, &tracker, faults);
  return root;
}

/* Parses a JSON file. Faults are those of dp_document_parse (), or one if the file can't
 * be read. */
JsonNode *
dp_document_load (const char *file, GPtrArray *faults)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  gsize length;

  if (!g_file_get_contents (file, &text, &length, &error))
    {
      dp_faults_add (faults, "$", "%s", error->message);
      return NULL;
    }
  return dp_document_parse (text, length, faults);
}

/* Returns the node's object. Adds a fault and returns NULL if it is something else. */
JsonObject *
dp_document_object (JsonNode *node, const char *path, GPtrArray *faults)
{
  if (JSON_NODE_HOLDS_OBJECT (node))
    return json_node_get_object (node);
  dp_faults_add (faults, path, "must be an object");
  return NULL;
}

/* Returns the node's array. Adds a fault and returns NULL if it is something else. */
JsonArray *
dp_document_array (JsonNode *node, const char *path, GPtrArray *faults)
{
  if (JSON_NODE_HOLDS_ARRAY (node))
    return json_node_get_array (node);
  dp_faults_add (faults, path, "must be an array");
  return NULL;
}

/* Returns the node's string. Adds a fault and returns NULL if it is something else. */
const char *
dp_document_string (JsonNode *node, const char *path, GPtrArray *faults)
{
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_STRING)
    return json_node_get_string (node);
  dp_faults_add (faults, path, "must be a string");
  return NULL;
}

/* Reads an integer from min to max. Adds a fault and returns FALSE if the node is not
 * one. Fractions and exponents are rejected even if their value is an integer. */
gboolean
dp_document_integer (JsonNode *node,
                     const char *path,
                     gint64 min,
                     gint64 max,
                     gint64 *value,
                     GPtrArray *faults)
{
  gint64 number;

  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_INT64)
    {
      dp_faults_add (faults, path,
                     "must be a whole number from %" G_GINT64_FORMAT
                     " to %" G_GINT64_FORMAT,
                     min, max);
      return FALSE;
    }
  number = json_node_get_int (node);
  if (number < min || number > max)
    {
      dp_faults_add (faults, path,
                     "is out of range: must be from %" G_GINT64_FORMAT
                     " to %" G_GINT64_FORMAT,
                     min, max);
      return FALSE;
    }
  *value = number;
  return TRUE;
}

/* Returns whether the text is a valid name, and adds a fault if it isn't. */
gboolean
dp_document_check_name (const char *name, const char *path, GPtrArray *faults)
{
  gsize length = strlen (name);
  gboolean valid = length > 0 && length <= MAX_NAME_LENGTH && name[0] != '.';

  for (gsize i = 0; valid && i < length; i++)
    valid = g_ascii_isalnum (name[i]) || strchr ("._-", name[i]) != NULL;
  if (!valid)
    dp_faults_add (faults, path,
                   "\"%s\" is not a name: 1 to %d letters, digits, \".\", \"_\" and "
                   "\"-\", not starting with \".\"",
                   name, MAX_NAME_LENGTH);
  return valid;
}

/* Adds a fault for each key of the object that is not among keys. */
void
dp_document_check_keys (JsonObject *object,
                        const char *const *keys,
                        const char *path,
                        GPtrArray *faults)
{
  g_autoptr (GList) members = json_object_get_members (object);

  for (GList *i = members; i != NULL; i = i->next)
    if (!g_strv_contains (keys, i->data))
      {
        g_autofree char *child_path = dp_document_member_path (path, i->data);

        dp_faults_add (faults, child_path, "unknown key");
      }
}

/* Rejects what json-glib would accept or could not parse safely: comments, a second
 * value, deep nesting, invalid UTF-8. Returns the reason or NULL. */
static const char *
scan_ (const char *text, gsize length)
{
  Scanner scanner = { 0 };

  if (length > MAX_FILE_BYTES)
    return "the file is larger than 16 MiB";
  if (!g_utf8_validate (text, (gssize) length, NULL))
    return "the file is not valid UTF-8";
  for (gsize i = 0; i < length; i++)
    {
      const char *reason = scan_byte_ (&scanner, text[i],
                                       i + 1 < length ? text[i + 1] : 0);

      if (reason != NULL)
        return reason;
    }
  return NULL;
}

static const char *
scan_byte_ (Scanner *scanner, char byte, char next)
{
  if (scanner->in_string)
    {
      if (scanner->escaped)
        scanner->escaped = FALSE;
      else if (byte == '\\')
        scanner->escaped = TRUE;
      else if (byte == '"')
        scanner->in_string = FALSE;
      return NULL;
    }
  if (strchr (" \t\r\n", byte) != NULL)
    return NULL;
  if (scanner->root_ended)
    return "there is text after the end of the JSON value";
  if (byte == '/' && (next == '/' || next == '*'))
    return "comments are not allowed in JSON";
  if (byte == '\'')
    return "strings must be in double quotes";
  if (byte == '"')
    scanner->in_string = TRUE;
  if ((byte == '{' || byte == '[') && ++scanner->depth > MAX_DEPTH)
    return "values are nested too deeply";
  if ((byte == '}' || byte == ']') && scanner->depth > 0)
    scanner->root_ended = --scanner->depth == 0;
  return NULL;
}

static void
on_member_ (JsonParser *parser, JsonObject *object, char *key, KeyTracker *tracker)
{
  char *entry = g_strdup_printf ("%p %s", (void *) object, key);
  DuplicateKey *duplicate;

  if (g_hash_table_add (tracker->seen_keys, entry))
    return;
  duplicate = g_new0 (DuplicateKey, 1);
  duplicate->object = object;
  duplicate->key = g_strdup (key);
  g_ptr_array_add (tracker->duplicates, duplicate);
}

static void
report_duplicates_ (JsonNode *root, KeyTracker *tracker, GPtrArray *faults)
{
  for (guint i = 0; i < tracker->duplicates->len; i++)
    {
      const DuplicateKey *duplicate = g_ptr_array_index (tracker->duplicates, i);
      g_autofree char *parent = find_path_ (root, duplicate->object, "$");
      g_autofree char *path = dp_document_member_path (parent == NULL ? "$" : parent,
                                                       duplicate->key);

      dp_faults_add (faults, path, "the key is given more than once");
    }
}

/* Returns the path of the object below node, or NULL if a later duplicate of a key has
 * replaced the object. */
static char *
find_path_ (JsonNode *node, const JsonObject *object, const char *path)
{
  JsonObjectIter iter;
  const char *key;
  JsonNode *child;

  if (JSON_NODE_HOLDS_ARRAY (node))
    return find_in_array_ (json_node_get_array (node), object, path);
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  if (json_node_get_object (node) == object)
    return g_strdup (path);
  json_object_iter_init (&iter, json_node_get_object (node));
  while (json_object_iter_next (&iter, &key, &child))
    {
      g_autofree char *child_path = dp_document_member_path (path, key);
      char *found = find_path_ (child, object, child_path);

      if (found != NULL)
        return found;
    }
  return NULL;
}

static char *
find_in_array_ (JsonArray *array, const JsonObject *object, const char *path)
{
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      g_autofree char *child_path = g_strdup_printf ("%s[%u]", path, i);
      char *found = find_path_ (json_array_get_element (array, i), object, child_path);

      if (found != NULL)
        return found;
    }
  return NULL;
}

static void
duplicate_key_free_ (gpointer data)
{
  DuplicateKey *duplicate = data;

  g_free (duplicate->key);
  g_free (duplicate);
}

static gboolean
is_plain_key_ (const char *key)
{
  for (const char *c = key; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && *c != '_' && *c != '-')
      return FALSE;
  return key[0] != '\0';
}
