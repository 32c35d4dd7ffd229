/* A balancer in passthrough mode: sends clients' packets unchanged to the companions of
 * the service, chooses the member for new flows and tells members of each other. The
 * services come from the platform, or while it is not reachable from another balancer. */
#pragma once

#include <glib.h>

#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/packetformat.h"
#include "protected/platform.h"

typedef struct _DpPassBalancer DpPassBalancer;

/* Everything is copied or has to outlive the balancer. */
typedef struct
{
  const char *name;
  const char *zone;
  const char *region;
  DpAddress data;   /* clients' packets arrive here */
  DpAddress report; /* members' reports (UDP) and other balancers (TCP) arrive here */
  const DpAddress *peers; /* report addresses of other balancers, may be out of date */
  guint n_peers;
  guint16 client_port; /* UDP port of all clients */
  const DpPacketFormat *format;
  DpPlatform *platform;
  guint services;       /* the platform's collection with the services */
  guint balancers;      /* the one with the balancers */
  guint watch_ms;       /* longest wait of a watch of the services */
  guint relay_watch_ms; /* the same while other balancers rely on this one */
  guint relay_bound_ms; /* oldest confirmation of another balancer to rely on */
  DpClock *clock;
  DpMetrics *metrics;
} DpPassBalancerOptions;

DpPassBalancer *dp_pass_balancer_new (const DpPassBalancerOptions *options);
void dp_pass_balancer_free (DpPassBalancer *balancer);
gboolean dp_pass_balancer_start (DpPassBalancer *balancer, GError **error);
/* Not ready from now on; packets are still forwarded until the process ends. */
void dp_pass_balancer_stop (DpPassBalancer *balancer);
gboolean dp_pass_balancer_is_ready (const DpPassBalancer *balancer);
