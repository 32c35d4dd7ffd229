/* A balancer as watcher of members and of other balancers: hears heartbeats, exchanges
 * suspicions and removes what two availability zones agree on. */
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
  GHashTable *views; /* service to DpMemberView, of the forwarder */
  DpClock *clock;
  DpMetrics *metrics;
} DpWatcherOptions;

DpWatcher *dp_watcher_new (const DpWatcherOptions *options);
void dp_watcher_free (DpWatcher *watcher);
/* The relay sends the suspicions; it has to outlive the watcher. */
void dp_watcher_start (DpWatcher *watcher, DpRelay *relay);
void dp_watcher_handle_heartbeat (DpWatcher *watcher, const DpHeartbeat *heartbeat);
void dp_watcher_handle_suspicion (DpWatcher *watcher, const DpSuspicion *suspicion);
/* The platform's watch works again or failed. */
void dp_watcher_set_platform_reachable (DpWatcher *watcher, gboolean reachable);
/* Whether the platform answered the last call, as far as calls were made here. */
gboolean dp_watcher_platform_answers (const DpWatcher *watcher);
/* Adds the members "watched", "watched_balancers" and
 * "alone" to the status object. */
void dp_watcher_add_status (DpWatcher *watcher, JsonObject *status);
