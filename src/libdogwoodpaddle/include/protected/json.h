/* Parsing of untrusted JSON with bounded nesting, and compact printing. */
#pragma once

#include <json-glib/json-glib.h>

#define DP_JSON_DEPTH_MAX 32

/* An integer beyond 64 bits with a sign, and a number beyond a double, are read as the
 * finite double next to them, so that they spoil no other value of the text, and are no
 * integers to the functions below. A whole number is an integer however it is written, as
 * 54.0 and 5.4e1. An escape that names no character, or
 * the character 0, is read as U+FFFD. */
JsonNode *dp_json_parse (const char *text, gsize length, GError **error);
char *dp_json_format (JsonNode *node);
/* Moves the text of each element of an array member to elements, so that the elements can
 * be parsed one at a time. */
char *dp_json_extract_elements (const char *text, const char *key, GPtrArray *elements);
JsonNode *dp_json_parse_element (const char *text, GError **error);
/* Moves the text of a member's value out of an object's text. */
char *dp_json_extract_member (const char *text, const char *key, char **value);
/* Read a member of an object's text without parsing the whole text. They return NULL or
 * FALSE if the member is missing, has another type or is malformed. */
char *dp_json_scan_string (const char *text, const char *key);
gboolean dp_json_scan_uint (const char *text, const char *key, guint64 *value);
gboolean dp_json_scan_double (const char *text, const char *key, double *value);

/* Read a member of an object. If it is missing or has another type, they return NULL,
 * FALSE or the fallback. */
const char *dp_json_get_string (JsonObject *object, const char *key);
gboolean dp_json_get_uint (JsonObject *object, const char *key, guint64 *value);
gboolean dp_json_get_uint_element (JsonArray *array, guint index, guint64 *value);
gboolean dp_json_get_boolean (JsonObject *object, const char *key, gboolean fallback);
JsonArray *dp_json_get_array (JsonObject *object, const char *key);
JsonObject *dp_json_get_object (JsonNode *node);
