/* Keeps a replica up to date from peers and the platform, and feeds subscribers. */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/clock.h"
#include "protected/message.h"
#include "protected/metrics.h"
#include "protected/platform.h"
#include "protected/replica.h"

typedef struct _DpRelay DpRelay;

typedef struct
{
  DpRole role;
  const char *name;
  const char *zone;
  const char *service;      /* companion: its service; balancer: "" */
  const DpAddress *control; /* balancer: where to listen; companion: NULL */
  const DpNetwork *trusted; /* from which subscribers are accepted; none: any */
  guint n_trusted;
  const DpAddress *peers; /* from the settings */
  guint n_peers;
} DpRelayOptions;

typedef struct
{
  void (*connected) (gboolean connected, gpointer user_data); /* to any upstream */
  void (*heartbeat) (const DpHeartbeat *heartbeat, gpointer user_data);
  void (*suspicion) (const DpSuspicion *suspicion, gpointer user_data);
  void (*platform_reachable) (gboolean reachable,
                              gpointer user_data); /* of a balancer's watch */
} DpRelayListener;

DpRelay *dp_relay_new (const DpRelayOptions *options,
                       DpReplica *replica,
                       DpPlatform *platform,
                       DpClock *clock,
                       DpMetrics *metrics);
void dp_relay_set_listener (DpRelay *relay,
                            const DpRelayListener *listener,
                            gpointer user_data);
gboolean dp_relay_start (DpRelay *relay, GError **error);
void dp_relay_free (DpRelay *relay);
gboolean dp_relay_connected (const DpRelay *relay);
/* Whether the balancer holds a watch on the platform that works. */
gboolean dp_relay_watches_platform (const DpRelay *relay);
/* Whether the platform has answered with a lower revision than the replica's. */
gboolean dp_relay_platform_is_behind (const DpRelay *relay);
guint dp_relay_subscribers (const DpRelay *relay);
/* Where a balancer listens, with the port that was chosen for port 0. */
DpAddress dp_relay_address (const DpRelay *relay);
/* To all watchers: DP_TOPOLOGY_WATCHERS balancers. */
void dp_relay_send_heartbeat (DpRelay *relay, const DpHeartbeat *heartbeat);
/* Lost while the other balancer is not connected: to be repeated while it holds. */
void dp_relay_send_suspicion (DpRelay *relay,
                              const char *balancer,
                              const DpSuspicion *suspicion);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpRelay, dp_relay_free)
