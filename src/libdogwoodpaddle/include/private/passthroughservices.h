/* Service configuration of a balancer in passthrough mode: reads the services from the
 * platform or from another balancer, which is the parent in the relay tree, or any other
 * while the platform does not answer; applies them to the router. Also registers the
 * balancer with the platform. */
#pragma once

#include "protected/evacuations.h"
#include "protected/passthroughbalancer.h"
#include "protected/router.h"

typedef struct _DpPassthroughServices DpPassthroughServices;

/* The router and the evacuations have to outlive the services. evacuations: NULL if the
 * deployment has none. */
DpPassthroughServices *
dp_passthrough_services_new (const DpPassthroughBalancerOptions *options,
                             DpRouter *router,
                             DpEvacuations *evacuations);
void dp_passthrough_services_free (DpPassthroughServices *services);
/* Returns FALSE and sets error if the report address can't be used for TCP. */
gboolean dp_passthrough_services_start (DpPassthroughServices *services, GError **error);
/* To be called every few hundred milliseconds. */
void dp_passthrough_services_tick (DpPassthroughServices *services);
/* Returns whether the services have been read, from the platform or from another
 * balancer. */
gboolean dp_passthrough_services_are_known (const DpPassthroughServices *services);
/* Returns whether the services are known and up to date, so that an address which none of
 * them has certainly belongs to no service. */
gboolean dp_passthrough_services_are_current (const DpPassthroughServices *services);
/* Returns whether this balancer hears of changes of the evacuations at once: it watches
 * them itself, or its parent in the relay tree is in touch with the platform. */
gboolean
dp_passthrough_services_evacuations_are_current (const DpPassthroughServices *services);
/* Returns the thousandths of a request per second that each server of the service can
 * handle while it is cold, 0 if there is no limit; sets version to that of the
 * configuration which says so, 0 if the service is not known. */
guint64 dp_passthrough_services_warmup_rate (const DpPassthroughServices *services,
                                             guint64 service_id,
                                             guint64 *version);
/* Calls func with the id of each service until func returns FALSE. Returns TRUE if func
 * returned TRUE for all services. */
typedef gboolean (*DpPassthroughServiceFunc) (guint64 service_id, gpointer user_data);
gboolean dp_passthrough_services_all (const DpPassthroughServices *services,
                                      DpPassthroughServiceFunc func,
                                      gpointer user_data);
/* Returns whether the members have had time to learn of this balancer's registration. */
gboolean
dp_passthrough_services_balancer_is_announced (const DpPassthroughServices *services);
gboolean
dp_passthrough_services_balancer_is_registered (const DpPassthroughServices *services);
guint64 dp_passthrough_services_version (const DpPassthroughServices *services);
