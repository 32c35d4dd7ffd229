/* JSON text from outside: parsed with a bound on its nesting, printed compactly. */
#pragma once

#include <json-glib/json-glib.h>

#define DP_JSON_DEPTH_MAX 32

JsonNode *dp_json_parse (const char *text, gsize length, GError **error);
char *dp_json_format (JsonNode *node);
/* Appends the text of each element of an array, for elements to be parsed one by one. */
char *dp_json_extract_elements (const char *text, const char *key, GPtrArray *elements);
JsonNode *dp_json_parse_element (const char *text, GError **error);
/* Takes the value of a member out of an object's text in the same way. */
char *dp_json_extract_member (const char *text, const char *key, char **value);
/* Members of an object's text, found without parsing the whole; NULL or FALSE if the
 * member is missing, of another type or has an escape. */
char *dp_json_scan_string (const char *text, const char *key);
gboolean dp_json_scan_uint (const char *text, const char *key, guint64 *value);

/* Members of an object; FALSE or NULL if the member is missing or of another type. */
const char *dp_json_get_string (JsonObject *object, const char *key);
gboolean dp_json_get_uint (JsonObject *object, const char *key, guint64 *value);
gboolean dp_json_get_boolean (JsonObject *object, const char *key, gboolean fallback);
JsonArray *dp_json_get_array (JsonObject *object, const char *key);
JsonObject *dp_json_get_object (JsonNode *node);
