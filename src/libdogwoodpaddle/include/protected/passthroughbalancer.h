/* A balancer in passthrough mode: forwards clients' packets unchanged to the companions
 * of the service, chooses the member for each new flow, and sends the members of a
 * service the list of all its members. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/clock.h"
#include "protected/configtiming.h"
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
  DpAddress data_address;   /* receives clients' packets */
  DpAddress report_address; /* receives members' reports (UDP) and connections of other
                               balancers (TCP) */
  const DpAddress *peers;   /* report addresses of other balancers, may be out of date */
  guint n_peers;
  guint16 client_port; /* UDP port of all clients */
  const DpPacketFormat *format;
  DpPlatform *platform;
  guint services_collection;    /* the platform's collection of services */
  guint balancers_collection;   /* the platform's collection of balancers */
  guint evacuations_collection; /* the platform's collection of evacuations */
  /* Time in which an evacuation of an availability zone has to be in force; 0: the
   * deployment has no evacuations. */
  guint evacuate_ms;
  DpConfigTiming timing;
  gboolean learned_concurrency; /* compare members by learnt limits and speeds */
  DpClock *clock;
  DpMetrics *metrics;
} DpPassthroughBalancerOptions;

DpPassthroughBalancer *
dp_passthrough_balancer_new (const DpPassthroughBalancerOptions *options);
void dp_passthrough_balancer_free (DpPassthroughBalancer *balancer);
gboolean dp_passthrough_balancer_start (DpPassthroughBalancer *balancer, GError **error);
/* Makes the balancer report that it isn't ready. It goes on forwarding packets until the
 * process ends. */
void dp_passthrough_balancer_stop (DpPassthroughBalancer *balancer);
gboolean dp_passthrough_balancer_is_ready (const DpPassthroughBalancer *balancer);
/* Explains where a new flow would go now, and why. Changes nothing. The caller owns the
 * object. */
JsonObject *dp_passthrough_balancer_explain (const DpPassthroughBalancer *balancer,
                                             const DpFlowKey *key);
