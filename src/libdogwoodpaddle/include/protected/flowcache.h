/* Set-associative cache of the members to which a balancer has sent recent flows. If a
 * row is lost, the flow's packets go to a member that keeps the flow's directory entry.
 */
#pragma once

#include <glib.h>

#include "protected/handle.h"
#include "protected/segment.h"

typedef struct
{
  DpFlowKey key;
  DpHandle member;      /* DP_HANDLE_NONE: the row is free */
  guint32 last_used_ms; /* time of the last use on the caller's clock, low 32 bits */
  guint32 service_tag : 24;
  guint32 class : 6;     /* DpTrafficClass */
  guint32 searched : 1;  /* the member is the first one of a search, not the owner */
  guint32 in_flight : 1; /* counted as a flow in flight at the member */
} DpCachedFlow;

typedef struct _DpFlowCache DpFlowCache;

DpFlowCache *dp_flow_cache_new (guint n_flows);
void dp_flow_cache_free (DpFlowCache *cache);
DpCachedFlow *dp_flow_cache_find (DpFlowCache *cache, const DpFlowKey *key, guint64 hash);
/* Returns a row for a flow that is not in the cache, with the key and the time set and
 * the rest zero. replaced: set to the row's former content, whose member is
 * DP_HANDLE_NONE if the row was free. */
DpCachedFlow *dp_flow_cache_add (DpFlowCache *cache,
                                 const DpFlowKey *key,
                                 guint64 hash,
                                 gint64 now,
                                 DpCachedFlow *replaced);
gsize dp_flow_cache_bytes (const DpFlowCache *cache);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpFlowCache, dp_flow_cache_free)
