/* Keeps a replica up to date from peers and the platform, and feeds subscribers. */
#pragma once

#include <glib.h>

#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/platform.h"
#include "protected/replica.h"

typedef struct _DpRelay DpRelay;

typedef enum
{
  DP_ROLE_BALANCER,
  DP_ROLE_COMPANION,
  DP_N_ROLES
} DpRole;

typedef struct
{
  DpRole role;
  const char *name;
  const char *zone;
  const char *service;      /* companion: its service; balancer: "" */
  const DpAddress *control; /* balancer: where to listen; companion: NULL */
  const DpAddress *peers;   /* from the settings */
  guint n_peers;
} DpRelayOptions;

/* One heartbeat as sent by a companion or heard by a balancer. */
typedef struct
{
  const char *service;
  const char *member;
  guint64 incarnation;
  guint64 revision; /* in force */
  guint32 busy;     /* slots */
  guint32 connections;
} DpHeartbeat;

typedef struct
{
  const char *service;
  const char *member;
  guint64 incarnation;
  const char *watcher;
  const char *zone; /* of the watcher */
} DpSuspicion;

typedef struct
{
  void (*connected) (gboolean connected, gpointer user_data); /* to any upstream */
  void (*heartbeat) (const DpHeartbeat *heartbeat, gpointer user_data);
  void (*suspicion) (const DpSuspicion *suspicion, gpointer user_data);
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
void dp_relay_send_heartbeat (DpRelay *relay, const DpHeartbeat *heartbeat);
void dp_relay_send_suspicion (DpRelay *relay,
                              const char *balancer,
                              const DpSuspicion *suspicion);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpRelay, dp_relay_free)
