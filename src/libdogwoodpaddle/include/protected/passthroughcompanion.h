/* A companion in passthrough mode: hands clients' packets to the backend server beside
 * it, or on to the member that has their flow, and sends the server's packets to the
 * clients. */
#pragma once

#include <glib.h>

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
  DpAddress data_address;     /* packets of balancers and other members arrive here */
  DpAddress server_address;   /* the server takes packets here */
  DpAddress outbound_address; /* the server's packets arrive here */
  DpAddress report_address;   /* reports leave from here */
  guint16 client_port;        /* UDP port of all clients */
  const DpAddress *seed_balancers; /* report ports, of the settings */
  guint n_seed_balancers;
  guint heartbeat_ms; /* of the server */
  gint64 flow_ttl;    /* us */
  const DpPacketFormat *format;
  DpPlatform *platform;
  guint balancers_collection; /* the platform's collection with the balancers */
  DpClock *clock;
  DpMetrics *metrics;
} DpPassthroughCompanionOptions;

/* Called when a stop has ended: nothing more is in flight, or the time is over. */
typedef void (*DpPassthroughCompanionFunc) (gpointer user_data);

DpPassthroughCompanion *
dp_passthrough_companion_new (const DpPassthroughCompanionOptions *options);
void dp_passthrough_companion_free (DpPassthroughCompanion *companion);
gboolean dp_passthrough_companion_start (DpPassthroughCompanion *companion,
                                         GError **error);
void dp_passthrough_companion_stop (DpPassthroughCompanion *companion,
                                    DpPassthroughCompanionFunc done,
                                    gpointer user_data);
/* The server's heartbeat; TRUE if it counted. */
gboolean dp_passthrough_companion_handle_heartbeat (DpPassthroughCompanion *companion,
                                                    const DpAnnouncement *announcement);
/* The server has ended. */
void dp_passthrough_companion_handle_deregistration (DpPassthroughCompanion *companion,
                                                     const char *id);
