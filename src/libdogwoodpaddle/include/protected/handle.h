/* Tables whose rows are addressed by 32-bit handles. The handle of a freed row becomes
 * stale, so it never gives access to a later row with the same index. */
#pragma once

#include <glib.h>

/* Row index in the low 20 bits, generation of the row in the high 12 bits. 0 is never
 * valid. */
typedef guint32 DpHandle;

#define DP_HANDLE_NONE 0u
#define DP_HANDLE_MAX_ROWS (1u << 20)

typedef struct _DpHandleTable DpHandleTable;

DpHandleTable *dp_handle_table_new (gsize row_size, guint max_rows);
void dp_handle_table_free (DpHandleTable *table);
DpHandle dp_handle_table_add (DpHandleTable *table);
gpointer dp_handle_table_get (DpHandleTable *table, DpHandle handle);
void dp_handle_table_remove (DpHandleTable *table, DpHandle handle);
guint dp_handle_table_count (const DpHandleTable *table);
DpHandle dp_handle_table_next (DpHandleTable *table, DpHandle after);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpHandleTable, dp_handle_table_free)
