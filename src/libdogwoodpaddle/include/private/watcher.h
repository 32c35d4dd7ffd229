/* Failure detection by a balancer, as a watcher of members and of other balancers: it
 * receives heartbeats, exchanges suspicions with other watchers, and removes a process
 * from the platform once watchers of two availability zones suspect it. */
#pragma once

#include <json-glib/json-glib.h>

#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/platform.h"
#include "protected/relay.h"
#include "protected/replica.h"

typedef struct _DpWatcher DpWatcher;

typedef struct
{
  const char *name;
  const char *zone;
  DpReplica *replica;
  DpPlatform *platform;
  GHashTable *views; /* service to DpMemberView, owned by the forwarder */
  DpClock *clock;
  DpMetrics *metrics;
} DpWatcherOptions;

DpWatcher *dp_watcher_new (const DpWatcherOptions *options);
void dp_watcher_free (DpWatcher *watcher);
/* The relay sends the suspicions and has to outlive the watcher. */
void dp_watcher_start (DpWatcher *watcher, DpRelay *relay);
void dp_watcher_handle_heartbeat (DpWatcher *watcher, const DpHeartbeat *heartbeat);
void dp_watcher_handle_suspicion (DpWatcher *watcher, const DpSuspicion *suspicion);
/* To be called when the relay's watch on the platform works again or has failed. */
void dp_watcher_set_platform_reachable (DpWatcher *watcher, gboolean reachable);
/* Returns FALSE if the relay's watch on the platform or the watcher's last call to it has
 * failed. */
gboolean dp_watcher_platform_answers (const DpWatcher *watcher);
/* Adds "watched", "watched_balancers" and "alone" to the status object. */
void dp_watcher_add_status (DpWatcher *watcher, JsonObject *status);
