/* A position in the history of the platform's store: the era, which increases each time
 * that the store is restored from a backup, and the revision within the era. A store that
 * is restored assigns revisions a second time, so a revision alone defines no order. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

/* The era is in the upper 64 bits and the revision in the lower ones, so that positions
 * compare like integers. 0 is before all others. Aligned like its halves, which saves
 * structures the padding. */
__extension__ typedef unsigned __int128 DpPosition __attribute__ ((aligned (8)));

/* Era and revision are integers of JSON, which have 63 bits; an era is far smaller. */
#define DP_ERA_MAX G_GUINT64_CONSTANT (0x7fff)
#define DP_REVISION_MAX ((guint64) G_MAXINT64)

#define DP_POSITION_MAX (~(DpPosition) 0)

/* Doubles hold all integers up to here. */
#define DP_POSITION_JSON_INT_MAX (G_GUINT64_CONSTANT (1) << 53)

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

/* The packed form, an integer of 63 bits: the era in bits 48 to 62, the revision below.
 * Processes exchange it, and it orders like the positions. dp_position_pack () returns
 * FALSE if the revision is larger than that. */
gboolean dp_position_pack (DpPosition position, guint64 *packed);
DpPosition dp_position_unpack (guint64 packed);

/* The version of a configuration, which orders records in place of a position. It has no
 * era; all bits of the packed form are the version's. */
DpPosition dp_position_from_version (guint64 version);
guint64 dp_position_to_version (DpPosition position);

/* "REVISION" in era 0, which is that of a store without eras, and "ERA/REVISION"
 * otherwise. */
char *dp_position_to_string (DpPosition position);
gboolean dp_position_parse (const char *text, DpPosition *position);
/* An integer, which is the packed form, if other programs read it exactly, that is up to
 * DP_POSITION_JSON_INT_MAX; the text of dp_position_to_string () otherwise. */
JsonNode *dp_position_to_json (DpPosition position);
gboolean dp_position_from_json (JsonNode *node, DpPosition *position);
/* Members "revision" and, unless it is 0, "era". */
void dp_position_add_to_json (JsonObject *object, DpPosition position);
gboolean dp_position_get_from_json (JsonObject *object, DpPosition *position);
