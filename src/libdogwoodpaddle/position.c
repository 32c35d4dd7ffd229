#include "protected/position.h"

#include <string.h>

#include "protected/json.h"

#define REVISION_BITS 48
#define ERA_KEY "era"
#define REVISION_KEY "revision"

static gboolean parse_number_ (const char *text, guint64 max, guint64 *value);

/* Combines an era and a revision. Returns FALSE if one of them is too large. */
gboolean
dp_position_make (guint64 era, guint64 revision, DpPosition *position)
{
  if (era > DP_ERA_MAX || revision > DP_REVISION_MAX)
    return FALSE;
  *position = era << REVISION_BITS | revision;
  return TRUE;
}

/* Returns the position's era. */
guint64
dp_position_era (DpPosition position)
{
  return position >> REVISION_BITS;
}

/* Returns the position's revision within its era. */
guint64
dp_position_revision (DpPosition position)
{
  return position & DP_REVISION_MAX;
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

static gboolean
parse_number_ (const char *text, guint64 max, guint64 *value)
{
  return g_ascii_string_to_unsigned (text, 10, 0, max, value, NULL);
}
