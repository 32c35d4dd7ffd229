#include "private/platformresponse.h"

#include <string.h>

#include "protected/error.h"
#include "protected/json.h"

#define READ_STEP "platform read"

static JsonNode *parse_list_ (GBytes *body, GPtrArray *items, GError **error);
static DpRecord *parse_record_ (const char *text, GError **error);
static char *keep_readable_members_ (const char *value);
static char *body_to_string_ (GBytes *body);

/* Parses the response body as JSON; DP_ERROR_INVALID if it is empty. */
JsonNode *
dp_platform_response_parse (GBytes *body, GError **error)
{
  gsize length;
  const char *text = g_bytes_get_data (body, &length);

  if (text == NULL)
    {
      dp_error_set (error, DP_ERROR_INVALID, READ_STEP, NULL, "the response is empty");
      return NULL;
    }
  return dp_json_parse (text, length, error);
}

/* Returns the object in the response; NULL without an error if it does not exist. */
DpRecord *
dp_platform_response_object (GBytes *body, GError **error)
{
  g_autofree char *text = body_to_string_ (body);
  DpRecord *record = parse_record_ (text, error);

  if (record != NULL && record->deleted)
    g_clear_pointer (&record, dp_record_unref);
  return record;
}

/* Parses {"revision","items"}. Items that can't be read, of an unknown kind, or without a
 * valid name, a version or a value, are skipped with a warning, so that one bad object
 * does not keep the others from being distributed. Items are parsed one by one: the
 * parsed form of a whole list would take more than ten times the memory that a balancer
 * needs for it. */
gboolean
dp_platform_response_items (GBytes *body,
                            GPtrArray *records,
                            guint64 *revision,
                            GError **error)
{
  g_autoptr (GPtrArray) items = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray)
      parsed = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  g_autoptr (JsonNode) node = parse_list_ (body, items, error);
  JsonObject *object = dp_json_get_object (node);

  if (node == NULL)
    return FALSE;
  if (dp_json_get_array (object, "items") == NULL
      || !dp_json_get_uint (object, "revision", revision))
    {
      dp_error_set (error, DP_ERROR_INVALID, READ_STEP, NULL,
                    "the response lacks revision or items");
      return FALSE;
    }
  for (guint i = 0; i < items->len; i++)
    {
      g_autoptr (GError) cause = NULL;
      DpRecord *record = parse_record_ (g_ptr_array_index (items, i), &cause);

      if (record != NULL)
        g_ptr_array_add (parsed, record);
      else
        g_warning ("object skipped: %s", cause->message);
    }
  g_ptr_array_extend_and_steal (records, g_steal_pointer (&parsed));
  return TRUE;
}

/* Parses the response except for the elements of "items", and appends the JSON text of
 * each of these to items. */
static JsonNode *
parse_list_ (GBytes *body, GPtrArray *items, GError **error)
{
  g_autofree char *text = NULL;
  g_autofree char *rest = NULL;
  gsize length;
  const char *data = g_bytes_get_data (body, &length);

  /* The JSON parser rejects text with a NUL byte; g_strndup () would truncate it. */
  if (data == NULL || memchr (data, '\0', length) != NULL)
    return dp_platform_response_parse (body, error);
  text = g_strndup (data, length);
  rest = dp_json_extract_elements (text, "items", items);
  return dp_json_parse (rest, strlen (rest), error);
}

/* Parses {"kind","name","version","value"} or a tombstone; DP_ERROR_INVALID otherwise.
 * The value is parsed by itself, as anybody may have written it. */
static DpRecord *
parse_record_ (const char *item, GError **error)
{
  g_autofree char *text = NULL;
  g_autofree char *rest = dp_json_extract_member (item, "value", &text);
  g_autoptr (JsonNode) node = dp_json_parse_element (rest, error);
  JsonObject *object = dp_json_get_object (node);
  const char *name = dp_json_get_string (object, "name");
  gboolean deleted = dp_json_get_boolean (object, "deleted", FALSE);
  g_autofree char *readable = NULL;
  g_autoptr (GError) cause = NULL;
  DpRecord *record;
  guint64 version;
  DpKind kind;

  if (node == NULL)
    return NULL;
  if (name == NULL || !dp_kind_parse (dp_json_get_string (object, "kind"), &kind)
      || !dp_json_get_uint (object, "version", &version))
    {
      dp_error_set (error, DP_ERROR_INVALID, READ_STEP, NULL,
                    "an object lacks a known kind, a name or a version");
      return NULL;
    }
  if (text == NULL && !deleted)
    {
      dp_error_set (error, DP_ERROR_INVALID, READ_STEP, name, "the object has no value");
      return NULL;
    }
  record = dp_record_new (kind, name, version, deleted, deleted ? "" : text, &cause);
  if (record != NULL)
    return record;
  if (kind == DP_KIND_MEMBERS)
    {
      readable = keep_readable_members_ (text);
      record = dp_record_new (kind, name, version, FALSE, readable, NULL);
    }
  if (record != NULL)
    {
      g_warning ("members of service %s left out that can't be read: %s", name,
                 cause->message);
      return record;
    }
  /* The object exists. If it were left out of a list, the replica would delete it. */
  g_warning ("value of %s/%s replaced by null: %s", dp_kind_string (kind), name,
             cause->message);
  return dp_record_new (kind, name, version, FALSE, "null", error);
}

/* Returns the value of members/SERVICE without the members that can't be parsed. */
static char *
keep_readable_members_ (const char *value)
{
  g_autoptr (GPtrArray) elements = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *rest = dp_json_extract_elements (value, "members", elements);
  g_autoptr (GString) members = g_string_new ("\"members\":[");
  const gsize empty_length = members->len;
  g_autoptr (GString) text = g_string_new (rest);

  for (guint i = 0; i < elements->len; i++)
    {
      const char *element = g_ptr_array_index (elements, i);
      g_autoptr (JsonNode) node = dp_json_parse_element (element, NULL);

      if (node != NULL)
        g_string_append_printf (members, "%s%s", members->len > empty_length ? "," : "",
                                element);
    }
  if (elements->len > 0)
    g_string_replace (text, "\"members\":[", members->str, 1);
  return g_string_free (g_steal_pointer (&text), FALSE);
}

/* Returns a copy of the body as a string. A body that contains a NUL ends there, and the
 * parser rejects it. */
static char *
body_to_string_ (GBytes *body)
{
  gsize length;
  const char *data = g_bytes_get_data (body, &length);

  return g_strndup (data == NULL ? "" : data, length);
}
