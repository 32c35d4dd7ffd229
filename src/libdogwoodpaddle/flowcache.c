#include "protected/flowcache.h"

#include "protected/clock.h"

#define ROWS_PER_SET 4 /* rows of a set, any of which can hold the flow */

struct _DpFlowCache
{
  guint n_sets; /* a power of two */
  DpCachedFlow *rows;
};

static DpCachedFlow *find_set_ (DpFlowCache *cache, guint64 hash);

/* Creates a cache with room for at least n_flows. */
DpFlowCache *
dp_flow_cache_new (guint n_flows)
{
  DpFlowCache *cache = g_new0 (DpFlowCache, 1);

  cache->n_sets = 1;
  while (cache->n_sets * ROWS_PER_SET < n_flows)
    cache->n_sets *= 2;
  cache->rows = g_new0 (DpCachedFlow, cache->n_sets * ROWS_PER_SET);
  return cache;
}

void
dp_flow_cache_free (DpFlowCache *cache)
{
  if (cache == NULL)
    return;
  g_free (cache->rows);
  g_free (cache);
}

/* Returns the flow's row, NULL if the flow is not in the cache. */
DpCachedFlow *
dp_flow_cache_find (DpFlowCache *cache, const DpFlowKey *key, guint64 hash)
{
  DpCachedFlow *row = find_set_ (cache, hash);

  for (guint i = 0; i < ROWS_PER_SET; i++)
    if (row[i].member != DP_HANDLE_NONE && dp_flow_key_equal (&row[i].key, key))
      return &row[i];
  return NULL;
}

/* Takes a free row of the flow's set, or replaces the least recently used one. */
DpCachedFlow *
dp_flow_cache_add (DpFlowCache *cache,
                   const DpFlowKey *key,
                   guint64 hash,
                   gint64 now,
                   DpCachedFlow *replaced)
{
  guint32 now_ms = (guint32) (now / DP_US_PER_MS);
  DpCachedFlow *row = find_set_ (cache, hash);
  DpCachedFlow *oldest = row;

  for (guint i = 0; i < ROWS_PER_SET && oldest->member != DP_HANDLE_NONE; i++)
    if (row[i].member == DP_HANDLE_NONE
        || now_ms - row[i].last_used_ms > now_ms - oldest->last_used_ms)
      oldest = &row[i];
  *replaced = *oldest;
  *oldest = (DpCachedFlow){ .key = *key, .last_used_ms = now_ms };
  return oldest;
}

/* Returns the cache's memory use in bytes. */
gsize
dp_flow_cache_bytes (const DpFlowCache *cache)
{
  return sizeof *cache + (gsize) cache->n_sets * ROWS_PER_SET * sizeof (DpCachedFlow);
}

static DpCachedFlow *
find_set_ (DpFlowCache *cache, guint64 hash)
{
  return &cache->rows[(hash & (cache->n_sets - 1)) * ROWS_PER_SET];
}
