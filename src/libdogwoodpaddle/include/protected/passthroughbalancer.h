/* A balancer in passthrough mode: sends clients' packets unchanged to the companions of
 * the service, chooses the member for new flows and tells members of each other. The
 * services come from the platform, or while it is not reachable from another balancer. */
#pragma once

#include <glib.h>

#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/packetformat.h"
#include "protected/platform.h"

typedef struct _DpPassthroughBalancer DpPassthroughBalancer;

/* Everything is copied or has to outlive the balancer. */
typedef struct
{
  const char *name;
  const char *zone;
  const char *region;
  DpAddress data_address; /* clients' packets arrive here */
  DpAddress
      report_address; /* members' reports (UDP) and other balancers (TCP) arrive here */
  const DpAddress *peers; /* report addresses of other balancers, may be out of date */
  guint n_peers;
  guint16 client_port; /* UDP port of all clients */
  const DpPacketFormat *format;
  DpPlatform *platform;
  guint services_collection;  /* the platform's collection with the services */
  guint balancers_collection; /* the one with the balancers */
  guint watch_wait_ms;        /* longest wait of a watch of the services */
  guint relay_watch_wait_ms;  /* the same while other balancers rely on this one */
  guint relay_max_age_ms;     /* oldest confirmation of another balancer to rely on */
  DpClock *clock;
  DpMetrics *metrics;
} DpPassthroughBalancerOptions;

DpPassthroughBalancer *
dp_passthrough_balancer_new (const DpPassthroughBalancerOptions *options);
void dp_passthrough_balancer_free (DpPassthroughBalancer *balancer);
gboolean dp_passthrough_balancer_start (DpPassthroughBalancer *balancer, GError **error);
/* Not ready from now on; packets are still forwarded until the process ends. */
void dp_passthrough_balancer_stop (DpPassthroughBalancer *balancer);
gboolean dp_passthrough_balancer_is_ready (const DpPassthroughBalancer *balancer);
