/* Keeps a replica up to date from peers and the platform, and serves its records to
 * subscribers. */
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
  const DpNetwork *trusted; /* networks of the subscribers to accept; none: all */
  guint n_trusted;
  const DpAddress *peers; /* from the settings */
  guint n_peers;
} DpRelayOptions;

typedef struct
{
  /* The replica has got a source of records, or has lost the last one. */
  void (*connected) (gboolean connected, gpointer user_data);
  void (*heartbeat) (const DpHeartbeat *heartbeat, gpointer user_data);
  void (*suspicion) (const DpSuspicion *suspicion, gpointer user_data);
  /* A balancer's watch on the platform works again, or has failed. */
  void (*platform_reachable) (gboolean reachable, gpointer user_data);
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
/* Returns whether the balancer has a working watch on the platform. */
gboolean dp_relay_watches_platform (const DpRelay *relay);
/* Returns whether the platform has answered with a lower position than the replica's. */
gboolean dp_relay_platform_is_behind (const DpRelay *relay);
guint dp_relay_subscribers (const DpRelay *relay);
/* Returns the address that a balancer listens on, with the port that was chosen for port
 * 0. */
DpAddress dp_relay_address (const DpRelay *relay);
/* Sends to all watchers, which are DP_TOPOLOGY_WATCHERS balancers. */
void dp_relay_send_heartbeat (DpRelay *relay, const DpHeartbeat *heartbeat);
/* The message is lost while there is no connection to the balancer, so the caller has to
 * repeat the message for as long as the suspicion holds. */
void dp_relay_send_suspicion (DpRelay *relay,
                              const char *balancer,
                              const DpSuspicion *suspicion);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpRelay, dp_relay_free)
