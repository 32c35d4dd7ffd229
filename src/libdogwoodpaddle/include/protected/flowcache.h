/* A balancer's memory of where it sent the flows of late. A cache: an entry that is lost
 * makes the flow's packets search for their owner again. */
#pragma once

#include <glib.h>

#include "protected/handle.h"
#include "protected/segment.h"

typedef struct
{
  DpFlowKey key;
  DpHandle member; /* DP_HANDLE_NONE: the row is free */
  guint32 used_ms; /* on the caller's clock, low 32 bits */
  guint32 service_tag : 24;
  guint32 class : 7;  /* DpTrafficClass */
  guint32 placed : 1; /* counts as a flow in flight of the member */
} DpCachedFlow;

typedef struct _DpFlowCache DpFlowCache;

DpFlowCache *dp_flow_cache_new (guint n_flows);
void dp_flow_cache_free (DpFlowCache *cache);
DpCachedFlow *dp_flow_cache_find (DpFlowCache *cache, const DpFlowKey *key, guint64 hash);
/* Gives the row for a flow that is not in the cache; replaced: what it held, with member
 * DP_HANDLE_NONE if it was free. */
DpCachedFlow *dp_flow_cache_add (DpFlowCache *cache,
                                 const DpFlowKey *key,
                                 guint64 hash,
                                 gint64 now,
                                 DpCachedFlow *replaced);
gsize dp_flow_cache_bytes (const DpFlowCache *cache);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpFlowCache, dp_flow_cache_free)
