/* A companion in passthrough mode: delivers clients' packets to its backend server, or
 * forwards them to the member that has their flow, and sends the server's packets to the
 * clients. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/announcement.h"
#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/packetformat.h"
#include "protected/platform.h"

typedef struct _DpPassthroughCompanion DpPassthroughCompanion;

/* Everything is copied or has to outlive the companion. */
typedef struct
{
  const char *service;
  const char *name;
  const char *zone;
  DpAddress data_address;          /* receives packets from balancers and other members */
  DpAddress server_address;        /* where the server receives packets */
  DpAddress outbound_address;      /* receives the server's packets */
  DpAddress report_address;        /* sends reports, and receives member lists */
  guint16 client_port;             /* UDP port of all clients */
  const DpAddress *seed_balancers; /* report ports of the balancers in the settings */
  guint n_seed_balancers;
  guint64 started_at;           /* Unix ms, when the process started */
  guint heartbeat_ms;           /* interval of the server's heartbeats */
  gint64 flow_ttl;              /* us, after which an unused flow is forgotten */
  gboolean learned_concurrency; /* learn the server's limit instead of using the slots */
  /* Bounds of a cold server's requests, as in DpPassthroughLimits. */
  double warmup_overrun;
  double warmup_slack;
  const DpPacketFormat *format;
  DpPlatform *platform;
  guint balancers_collection; /* the platform's collection of balancers */
  /* Time in which an evacuation of an availability zone has to be in force; 0: the
   * deployment has no evacuations. */
  guint evacuate_ms;
  DpClock *clock;
  DpMetrics *metrics;
} DpPassthroughCompanionOptions;

/* Called when a stop has completed: no flow is in flight any more, or the time limit has
 * passed. */
typedef void (*DpPassthroughStoppedFunc) (gpointer user_data);

DpPassthroughCompanion *
dp_passthrough_companion_new (const DpPassthroughCompanionOptions *options);
void dp_passthrough_companion_free (DpPassthroughCompanion *companion);
gboolean dp_passthrough_companion_start (DpPassthroughCompanion *companion,
                                         GError **error);
void dp_passthrough_companion_stop (DpPassthroughCompanion *companion,
                                    DpPassthroughStoppedFunc done,
                                    gpointer user_data);
/* Handles a heartbeat of the server. Returns whether it was accepted. */
gboolean dp_passthrough_companion_handle_heartbeat (DpPassthroughCompanion *companion,
                                                    const DpAnnouncement *announcement);
/* Handles the deregistration of the server with this id, which has ended. */
void dp_passthrough_companion_handle_deregistration (DpPassthroughCompanion *companion,
                                                     const char *id);
/* Explains what would be decided now about the first SYN of a new flow that a balancer
 * sends here with the class and the times in hop, and why. Changes nothing that a later
 * decision depends on. The caller owns the object. */
JsonObject *dp_passthrough_companion_explain (const DpPassthroughCompanion *companion,
                                              const DpFlowKey *key,
                                              const DpHop *hop);
