/* A balancer's services in passthrough mode: from the platform, or from another balancer
 * while the platform does not answer; kept in force in the router. Registers the
 * balancer, too. */
#pragma once

#include "protected/passthroughbalancer.h"
#include "protected/router.h"

typedef struct _DpPassthroughServices DpPassthroughServices;

/* The router has to outlive it. */
DpPassthroughServices *
dp_passthrough_services_new (const DpPassthroughBalancerOptions *options,
                             DpRouter *router);
void dp_passthrough_services_free (DpPassthroughServices *services);
/* Error: the report address can't be used for TCP. */
gboolean dp_passthrough_services_start (DpPassthroughServices *services, GError **error);
/* To be called every few hundred milliseconds. */
void dp_passthrough_services_tick (DpPassthroughServices *services);
/* Whether the services are known, from wherever. */
gboolean dp_passthrough_services_known (const DpPassthroughServices *services);
/* Whether they are known and the platform answers: an address that is missing has no
 * service. */
gboolean dp_passthrough_services_are_current (const DpPassthroughServices *services);
/* Calls func with each service's id until it returns FALSE; returns whether it never
 * did. */
typedef gboolean (*DpPassthroughServiceFunc) (guint64 service_id, gpointer user_data);
gboolean dp_passthrough_services_all (const DpPassthroughServices *services,
                                      DpPassthroughServiceFunc func,
                                      gpointer user_data);
/* Whether the members know of this balancer by now. */
gboolean dp_passthrough_services_announced (const DpPassthroughServices *services);
gboolean dp_passthrough_services_registered (const DpPassthroughServices *services);
guint64 dp_passthrough_services_revision (const DpPassthroughServices *services);
