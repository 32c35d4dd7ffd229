/* Keys of flows that have ended here first, while their clients may still send. */
#pragma once

#include <glib.h>

#include "protected/segment.h"

typedef struct _DpLinger DpLinger;

DpLinger *dp_linger_new (guint max, gint64 duration);
void dp_linger_free (DpLinger *linger);
gboolean
dp_linger_add (DpLinger *linger, const DpFlowKey *key, gint64 now, DpFlowKey *evicted);
gboolean dp_linger_has (const DpLinger *linger, const DpFlowKey *key, gint64 now);
gboolean dp_linger_remove (DpLinger *linger, const DpFlowKey *key);
guint dp_flow_key_table_hash (gconstpointer key);
gboolean dp_flow_key_table_equal (gconstpointer a, gconstpointer b);
