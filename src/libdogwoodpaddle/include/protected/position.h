/* A position in the history of the platform's store: the era, which increases each time
 * that the store is restored from a backup, and the revision within the era. A store that
 * is restored assigns revisions a second time, so a revision alone defines no order. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

/* The era is in bits 48 to 62 and the revision in bits 0 to 47. Positions compare like
 * integers and fit into the signed 64-bit integers of JSON. 0 is before all others. */
typedef guint64 DpPosition;

#define DP_ERA_MAX G_GUINT64_CONSTANT (0x7fff)
#define DP_REVISION_MAX G_GUINT64_CONSTANT (0xffffffffffff)

/* Prints ERA/REVISION. */
#define DP_POSITION_FORMAT "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT
#define DP_POSITION_ARGS(position)                                                       \
  dp_position_era (position), dp_position_revision (position)

/* Returns FALSE if the era or the revision is too large. */
gboolean dp_position_make (guint64 era, guint64 revision, DpPosition *position);
guint64 dp_position_era (DpPosition position);
guint64 dp_position_revision (DpPosition position);
/* Returns a negative number, 0 or a positive number. */
gint dp_position_compare (DpPosition a, DpPosition b);
DpPosition dp_position_max (DpPosition a, DpPosition b);

/* "REVISION" in era 0, which is that of a store without eras, and "ERA/REVISION"
 * otherwise. */
char *dp_position_to_string (DpPosition position);
gboolean dp_position_parse (const char *text, DpPosition *position);
/* Members "revision" and, unless it is 0, "era". */
void dp_position_add_to_json (JsonObject *object, DpPosition position);
gboolean dp_position_get_from_json (JsonObject *object, DpPosition *position);
