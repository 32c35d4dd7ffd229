/* Keys of flows that this side closed first: the TCP stack keeps them in TIME_WAIT, and
 * their clients may still send packets. */
#pragma once

#include <glib.h>

#include "protected/segment.h"

typedef struct _DpTimeWait DpTimeWait;

DpTimeWait *dp_time_wait_new (guint max, gint64 duration);
void dp_time_wait_free (DpTimeWait *time_wait);
gboolean dp_time_wait_add (DpTimeWait *time_wait,
                           const DpFlowKey *key,
                           gint64 now,
                           DpFlowKey *evicted);
gboolean dp_time_wait_has (const DpTimeWait *time_wait, const DpFlowKey *key, gint64 now);
gboolean dp_time_wait_remove (DpTimeWait *time_wait, const DpFlowKey *key);
guint dp_flow_key_table_hash (gconstpointer key);
gboolean dp_flow_key_table_equal (gconstpointer a, gconstpointer b);
