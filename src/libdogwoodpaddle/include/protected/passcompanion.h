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

typedef struct _DpPassCompanion DpPassCompanion;

/* Everything is copied or has to outlive the companion. */
typedef struct
{
  const char *service;
  const char *name;
  const char *zone;
  DpAddress data;      /* packets of balancers and other members arrive here */
  DpAddress server;    /* the server takes packets here */
  DpAddress outbound;  /* the server's packets arrive here */
  DpAddress report;    /* reports leave from here */
  guint16 client_port; /* UDP port of all clients */
  const DpAddress *first_balancers; /* report ports, of the settings */
  guint n_first_balancers;
  guint heartbeat_ms; /* of the server */
  gint64 flow_ttl;    /* us */
  const DpPacketFormat *format;
  DpPlatform *platform;
  guint balancers; /* the platform's collection with the balancers */
  DpClock *clock;
  DpMetrics *metrics;
} DpPassCompanionOptions;

/* Called when a stop has ended: nothing more is in flight, or the time is over. */
typedef void (*DpPassCompanionFunc) (gpointer user_data);

DpPassCompanion *dp_pass_companion_new (const DpPassCompanionOptions *options);
void dp_pass_companion_free (DpPassCompanion *companion);
gboolean dp_pass_companion_start (DpPassCompanion *companion, GError **error);
void dp_pass_companion_stop (DpPassCompanion *companion,
                             DpPassCompanionFunc done,
                             gpointer user_data);
/* The server's heartbeat; TRUE if it counted. */
gboolean dp_pass_companion_announced (DpPassCompanion *companion,
                                      const DpAnnouncement *announcement);
/* The server has ended. */
void dp_pass_companion_signed_off (DpPassCompanion *companion, const char *id);
