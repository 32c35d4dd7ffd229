#include "protected/position.h"

#include <string.h>

#include "protected/json.h"

#define REVISION_BITS 64
#define PACKED_REVISION_BITS 48
#define PACKED_REVISION_MAX ((G_GUINT64_CONSTANT (1) << PACKED_REVISION_BITS) - 1)
#define ERA_KEY "era"
#define REVISION_KEY "revision"

static gboolean is_json_int_ (DpPosition position, guint64 *packed);
static gboolean parse_number_ (const char *text, guint64 max, guint64 *value);

/* Combines an era and a revision. Returns FALSE if one of them is too large. */
gboolean
dp_position_make (guint64 era, guint64 revision, DpPosition *position)
{
  if (era > DP_ERA_MAX || revision > DP_REVISION_MAX)
    return FALSE;
  *position = (DpPosition) era << REVISION_BITS | revision;
  return TRUE;
}

/* Returns the position's era. */
guint64
dp_position_era (DpPosition position)
{
  return (guint64) (position >> REVISION_BITS);
}

/* Returns the position's revision within its era. */
guint64
dp_position_revision (DpPosition position)
{
  return (guint64) position;
}

/* Compares two positions by era, then by revision. */
gint
dp_position_compare (DpPosition a, DpPosition b)
{
  return (a > b) - (a < b);
}

/* Returns the later position. */
DpPosition
dp_position_max (DpPosition a, DpPosition b)
{
  return dp_position_compare (a, b) >= 0 ? a : b;
}

/* Sets packed to the packed form. Returns FALSE if the position has none. */
gboolean
dp_position_pack (DpPosition position, guint64 *packed)
{
  const guint64 era = dp_position_era (position);
  const guint64 revision = dp_position_revision (position);

  if (era > DP_ERA_MAX || revision > PACKED_REVISION_MAX)
    return FALSE;
  *packed = era << PACKED_REVISION_BITS | revision;
  return TRUE;
}

/* Returns the position of a packed form. */
DpPosition
dp_position_unpack (guint64 packed)
{
  return (DpPosition) (packed >> PACKED_REVISION_BITS) << REVISION_BITS
         | (packed & PACKED_REVISION_MAX);
}

/* Returns the position of the records of a configuration with the version, which is at
 * most DP_REVISION_MAX. */
DpPosition
dp_position_from_version (guint64 version)
{
  g_assert (version <= DP_REVISION_MAX);
  return dp_position_unpack (version);
}

/* Returns the version; the inverse of dp_position_from_version (). A position from a peer
 * that is no version counts as the largest one. */
guint64
dp_position_to_version (DpPosition position)
{
  guint64 version;

  return dp_position_pack (position, &version) ? version : DP_REVISION_MAX;
}

/* Returns the position as text for operators, newly allocated. */
char *
dp_position_to_string (DpPosition position)
{
  if (dp_position_era (position) == 0)
    return g_strdup_printf ("%" G_GUINT64_FORMAT, dp_position_revision (position));
  return g_strdup_printf (DP_POSITION_FORMAT, DP_POSITION_ARGS (position));
}

/* Parses the text of dp_position_to_string (). Returns FALSE if it is malformed or out of
 * range. */
gboolean
dp_position_parse (const char *text, DpPosition *position)
{
  const char *slash = strchr (text, '/');
  g_autofree char *era_text = slash == NULL ? g_strdup ("0")
                                            : g_strndup (text, (gsize) (slash - text));
  guint64 era;
  guint64 revision;

  return parse_number_ (era_text, DP_ERA_MAX, &era)
         && parse_number_ (slash == NULL ? text : slash + 1, DP_REVISION_MAX, &revision)
         && dp_position_make (era, revision, position);
}

/* Returns the position as a JSON value. */
JsonNode *
dp_position_to_json (DpPosition position)
{
  JsonNode *node = json_node_new (JSON_NODE_VALUE);
  g_autofree char *text = NULL;
  guint64 packed;

  if (is_json_int_ (position, &packed))
    {
      json_node_set_int (node, (gint64) packed);
      return node;
    }
  text = dp_position_to_string (position);
  json_node_set_string (node, text);
  return node;
}

/* Reads a value of dp_position_to_json (). Returns FALSE if that writes none like it. */
gboolean
dp_position_from_json (JsonNode *node, DpPosition *position)
{
  guint64 packed;
  gint64 number;

  if (!JSON_NODE_HOLDS_VALUE (node))
    return FALSE;
  if (json_node_get_value_type (node) == G_TYPE_STRING)
    return dp_position_parse (json_node_get_string (node), position)
           && !is_json_int_ (*position, &packed);
  number = json_node_get_int (node);
  if (json_node_get_value_type (node) != G_TYPE_INT64 || number < 0
      || number > (gint64) DP_POSITION_JSON_INT_MAX)
    return FALSE;
  *position = dp_position_unpack ((guint64) number);
  return TRUE;
}

/* Adds the position to a JSON object. */
void
dp_position_add_to_json (JsonObject *object, DpPosition position)
{
  json_object_set_int_member (object, REVISION_KEY,
                              (gint64) dp_position_revision (position));
  if (dp_position_era (position) != 0)
    json_object_set_int_member (object, ERA_KEY, (gint64) dp_position_era (position));
}

/* Reads the members that dp_position_add_to_json () adds. Returns FALSE if there is no
 * revision or a number is out of range. */
gboolean
dp_position_get_from_json (JsonObject *object, DpPosition *position)
{
  guint64 era = 0;
  guint64 revision;

  dp_json_get_uint (object, ERA_KEY, &era);
  return dp_json_get_uint (object, REVISION_KEY, &revision)
         && dp_position_make (era, revision, position);
}

/* Returns whether a JSON integer stands for the position, and sets packed to it. */
static gboolean
is_json_int_ (DpPosition position, guint64 *packed)
{
  return dp_position_pack (position, packed) && *packed <= DP_POSITION_JSON_INT_MAX;
}

static gboolean
parse_number_ (const char *text, guint64 max, guint64 *value)
{
  return g_ascii_string_to_unsigned (text, 10, 0, max, value, NULL);
}
