/* Keeps a replica up to date with one of the platform's collections: lists its objects,
 * then watches for changes. */
#pragma once

#include "protected/metrics.h"
#include "protected/platform.h"
#include "protected/replica.h"

/* Longest time for which the platform may hold a watch call open. */
#define DP_WATCH_MAX_WAIT_MS 30000

/* Maximum delay before the first call after a failure; it doubles with each further
 * one. */
#define DP_WATCH_RETRY_FIRST_MS 100

/* Maximum delay before a short collection that only a few processes watch is listed after
 * the store was restored. The bounds for its changes leave no time for a longer one. */
#define DP_WATCH_RELIST_FEW_MS 250

typedef struct _DpWatch DpWatch;

typedef struct
{
  void (*reachable) (gboolean reachable, gpointer user_data);
  void (*progressed) (gpointer user_data);
} DpWatchListener;

DpWatch *dp_watch_new (DpPlatform *platform,
                       guint collection,
                       guint wait_ms,
                       DpReplica *replica,
                       DpMetrics *metrics,
                       const DpWatchListener *listener,
                       gpointer user_data);
void dp_watch_free (DpWatch *watch);
void dp_watch_set_limits (DpWatch *watch, guint answer_ms, guint retry_max_ms);
void dp_watch_set_wait (DpWatch *watch, guint wait_ms);
void dp_watch_set_spacing (DpWatch *watch, guint spacing_ms);
void dp_watch_set_relist_delay (DpWatch *watch, guint relist_ms);
void dp_watch_relist (DpWatch *watch);
void dp_watch_set_active (DpWatch *watch, gboolean active);
gboolean dp_watch_active (const DpWatch *watch);
gboolean dp_watch_reachable (const DpWatch *watch);
gboolean dp_watch_failed (const DpWatch *watch);
gboolean dp_watch_answered_by_list (const DpWatch *watch);
/* Returns whether the platform offers an older state than the replica has. */
gboolean dp_watch_platform_is_behind (const DpWatch *watch);
