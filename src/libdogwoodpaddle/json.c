#include "protected/json.h"

#include <string.h>

#include "protected/error.h"

static gboolean depth_is_bounded_ (const char *text, gsize length);
static JsonNode *member_ (JsonObject *object, const char *key);

/* Parses one JSON value. DP_ERROR_INVALID if the text is malformed or nests deeper than
 * DP_JSON_DEPTH_MAX: the library's parser recurses once per level. */
JsonNode *
dp_json_parse (const char *text, gsize length, GError **error)
{
  g_autoptr (JsonParser) parser = NULL;
  g_autoptr (GError) cause = NULL;
  JsonNode *root;

  if (!g_utf8_validate_len (text, length, NULL))
    {
      dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "the text is not UTF-8");
      return NULL;
    }
  if (!depth_is_bounded_ (text, length))
    {
      dp_error_set (error, DP_ERROR_INVALID, "json", NULL,
                    "the text nests deeper than %d levels", DP_JSON_DEPTH_MAX);
      return NULL;
    }
  parser = json_parser_new_immutable ();
  if (!json_parser_load_from_data (parser, text, (gssize) length, &cause))
    {
      dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "%s", cause->message);
      return NULL;
    }
  root = json_parser_steal_root (parser);
  if (root == NULL)
    dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "the text is empty");
  return root;
}

/* Returns the value as text without white space. */
char *
dp_json_format (JsonNode *node)
{
  return json_to_string (node, FALSE);
}

/* Returns the string member of that name, or NULL. */
const char *
dp_json_get_string (JsonObject *object, const char *key)
{
  JsonNode *node = member_ (object, key);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

/* Stores the member of that name if it is an integer that is not negative. */
gboolean
dp_json_get_uint (JsonObject *object, const char *key, guint64 *value)
{
  JsonNode *node = member_ (object, key);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_INT64 || json_node_get_int (node) < 0)
    return FALSE;
  *value = (guint64) json_node_get_int (node);
  return TRUE;
}

/* Returns the boolean member of that name, or fallback. */
gboolean
dp_json_get_boolean (JsonObject *object, const char *key, gboolean fallback)
{
  JsonNode *node = member_ (object, key);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return fallback;
  return json_node_get_boolean (node);
}

/* Returns the array member of that name, or NULL. */
JsonArray *
dp_json_get_array (JsonObject *object, const char *key)
{
  JsonNode *node = member_ (object, key);

  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

/* Returns the node's object, or NULL if it is of another type. */
JsonObject *
dp_json_get_object (JsonNode *node)
{
  return node != NULL && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node)
                                                       : NULL;
}

static gboolean
depth_is_bounded_ (const char *text, gsize length)
{
  gboolean in_string = FALSE;
  guint depth = 0;

  for (gsize i = 0; i < length; i++)
    {
      char c = text[i];

      if (in_string)
        {
          if (c == '\\')
            i++;
          else if (c == '"')
            in_string = FALSE;
        }
      else if (c == '"')
        in_string = TRUE;
      else if (c == '{' || c == '[')
        depth++;
      else if ((c == '}' || c == ']') && depth > 0)
        depth--;
      if (depth > DP_JSON_DEPTH_MAX)
        return FALSE;
    }
  return TRUE;
}

static JsonNode *
member_ (JsonObject *object, const char *key)
{
  return object == NULL ? NULL : json_object_get_member (object, key);
}
