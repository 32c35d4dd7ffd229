#include "protected/document.h"

#include <string.h>

/* Nesting of the deepest valid file is 5; json-glib parses recursively, so that deep
 * nesting would use up the stack. */
#define MAX_DEPTH 32
/* 16 MiB holds the fleet file of the later size (3,100 services, about 300 bytes each)
 * many times over. */
#define MAX_FILE_BYTES (16 * 1024 * 1024)
/* As in a member list. */
#define MAX_NAME_LENGTH 63

typedef struct
{
  gboolean in_string;
  gboolean escaped;
  gboolean root_ended;
  guint depth;
} Scan;

typedef struct
{
  JsonObject *object;
  char *key;
} Duplicate;

typedef struct
{
  GHashTable *seen;      /* "OBJECT KEY" */
  GPtrArray *duplicates; /* Duplicate */
} Keys;

static const char *scan_ (const char *text, gsize length);
static const char *scan_byte_ (Scan *scan, char byte, char next);
static void on_member_ (JsonParser *parser, JsonObject *object, char *key, Keys *keys);
static void report_duplicates_ (JsonNode *root, Keys *keys, GPtrArray *faults);
static char *find_path_ (JsonNode *node, const JsonObject *object, const char *path);
static char *
find_in_array_ (JsonArray *array, const JsonObject *object, const char *path);
static void duplicate_free_ (gpointer data);
static gboolean is_plain_key_ (const char *key);

/* Frees a fault. */
void
dp_fault_free (DpFault *fault)
{
  if (fault == NULL)
    return;
  g_free (fault->path);
  g_free (fault->text);
  g_free (fault);
}

/* Creates an empty list of faults. */
GPtrArray *
dp_faults_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify) dp_fault_free);
}

/* Adds a fault at a JSON path. */
void
dp_faults_add (GPtrArray *faults, const char *path, const char *format, ...)
{
  DpFault *fault = g_new0 (DpFault, 1);
  va_list args;

  va_start (args, format);
  fault->text = g_strdup_vprintf (format, args);
  va_end (args);
  fault->path = g_strdup (path);
  g_ptr_array_add (faults, fault);
}

/* Returns all faults in one line, as "PATH: TEXT; PATH: TEXT". */
char *
dp_faults_join (const GPtrArray *faults)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < faults->len; i++)
    {
      const DpFault *fault = g_ptr_array_index (faults, i);

      g_string_append_printf (text, "%s%s: %s", i == 0 ? "" : "; ", fault->path,
                              fault->text);
    }
  return g_string_free (text, FALSE);
}

/* Returns the path of a member of the object at path. */
char *
dp_json_path (const char *path, const char *key)
{
  g_autofree char *escaped = NULL;

  if (is_plain_key_ (key))
    return g_strconcat (path, ".", key, NULL);
  escaped = g_strescape (key, NULL);
  return g_strconcat (path, "[\"", escaped, "\"]", NULL);
}

/* Parses a whole JSON text. NULL and at least one fault if it is not valid JSON; a fault
 * for each key that an object has twice. */
JsonNode *
dp_document_parse (const char *text, gsize length, GPtrArray *faults)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  g_autoptr (GHashTable) seen = NULL;
  g_autoptr (GPtrArray) duplicates = g_ptr_array_new_with_free_func (duplicate_free_);
  g_autoptr (GError) error = NULL;
  const char *reason = scan_ (text, length);
  JsonNode *root;
  Keys keys;

  if (reason != NULL)
    {
      dp_faults_add (faults, "$", "%s", reason);
      return NULL;
    }
  seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  keys = (Keys){ .seen = seen, .duplicates = duplicates };
  g_signal_connect (parser, "object-member", G_CALLBACK (on_member_), &keys);
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
  report_duplicates_ (root, &keys, faults);
  return root;
}

/* Parses a JSON file; faults as dp_document_parse (), and one if it can't be read. */
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

/* Returns the node's object; a fault and NULL if it is something else. */
JsonObject *
dp_document_object (JsonNode *node, const char *path, GPtrArray *faults)
{
  if (JSON_NODE_HOLDS_OBJECT (node))
    return json_node_get_object (node);
  dp_faults_add (faults, path, "must be an object");
  return NULL;
}

/* Returns the node's array; a fault and NULL if it is something else. */
JsonArray *
dp_document_array (JsonNode *node, const char *path, GPtrArray *faults)
{
  if (JSON_NODE_HOLDS_ARRAY (node))
    return json_node_get_array (node);
  dp_faults_add (faults, path, "must be an array");
  return NULL;
}

/* Returns the node's string; a fault and NULL if it is something else. */
const char *
dp_document_text (JsonNode *node, const char *path, GPtrArray *faults)
{
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_STRING)
    return json_node_get_string (node);
  dp_faults_add (faults, path, "must be a string");
  return NULL;
}

/* Reads a whole number from min to max; a fault and FALSE if the node is none. Fractions
 * and exponents are refused even if their value is whole. */
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

/* Returns whether the text is a valid name; a fault if it isn't. */
gboolean
dp_document_name (const char *name, const char *path, GPtrArray *faults)
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
dp_document_known_keys (JsonObject *object,
                        const char *const *keys,
                        const char *path,
                        GPtrArray *faults)
{
  g_autoptr (GList) members = json_object_get_members (object);

  for (GList *i = members; i != NULL; i = i->next)
    if (!g_strv_contains (keys, i->data))
      {
        g_autofree char *at = dp_json_path (path, i->data);

        dp_faults_add (faults, at, "unknown key");
      }
}

/* Refuses what json-glib would accept or could not parse safely: comments, a second
 * value, deep nesting, invalid UTF-8. Returns the reason, NULL if there is none. */
static const char *
scan_ (const char *text, gsize length)
{
  Scan scan = { 0 };

  if (length > MAX_FILE_BYTES)
    return "the file is larger than 16 MiB";
  if (!g_utf8_validate (text, (gssize) length, NULL))
    return "the file is not valid UTF-8";
  for (gsize i = 0; i < length; i++)
    {
      const char *reason = scan_byte_ (&scan, text[i], i + 1 < length ? text[i + 1] : 0);

      if (reason != NULL)
        return reason;
    }
  return NULL;
}

static const char *
scan_byte_ (Scan *scan, char byte, char next)
{
  if (scan->in_string)
    {
      if (scan->escaped)
        scan->escaped = FALSE;
      else if (byte == '\\')
        scan->escaped = TRUE;
      else if (byte == '"')
        scan->in_string = FALSE;
      return NULL;
    }
  if (strchr (" \t\r\n", byte) != NULL)
    return NULL;
  if (scan->root_ended)
    return "text follows the end of the JSON value";
  if (byte == '/' && (next == '/' || next == '*'))
    return "comments are not part of JSON";
  if (byte == '\'')
    return "strings are written in double quotes";
  if (byte == '"')
    scan->in_string = TRUE;
  if ((byte == '{' || byte == '[') && ++scan->depth > MAX_DEPTH)
    return "values are nested too deeply";
  if ((byte == '}' || byte == ']') && scan->depth > 0)
    scan->root_ended = --scan->depth == 0;
  return NULL;
}

static void
on_member_ (JsonParser *parser, JsonObject *object, char *key, Keys *keys)
{
  char *entry = g_strdup_printf ("%p %s", (void *) object, key);
  Duplicate *duplicate;

  if (g_hash_table_add (keys->seen, entry))
    return;
  duplicate = g_new0 (Duplicate, 1);
  duplicate->object = object;
  duplicate->key = g_strdup (key);
  g_ptr_array_add (keys->duplicates, duplicate);
}

static void
report_duplicates_ (JsonNode *root, Keys *keys, GPtrArray *faults)
{
  for (guint i = 0; i < keys->duplicates->len; i++)
    {
      const Duplicate *duplicate = g_ptr_array_index (keys->duplicates, i);
      g_autofree char *parent = find_path_ (root, duplicate->object, "$");
      g_autofree char *path = dp_json_path (parent == NULL ? "$" : parent,
                                            duplicate->key);

      dp_faults_add (faults, path, "the key is given more than once");
    }
}

/* Returns the path of the object below node; NULL if a later duplicate replaced it. */
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
      g_autofree char *at = dp_json_path (path, key);
      char *found = find_path_ (child, object, at);

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
      g_autofree char *at = g_strdup_printf ("%s[%u]", path, i);
      char *found = find_path_ (json_array_get_element (array, i), object, at);

      if (found != NULL)
        return found;
    }
  return NULL;
}

static void
duplicate_free_ (gpointer data)
{
  Duplicate *duplicate = data;

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
