/* A balancer's services in passthrough mode: from the platform, or from another balancer
 * while the platform does not answer; kept in force in the router. Registers the
 * balancer, too. */
#pragma once

#include "protected/passbalancer.h"
#include "protected/router.h"

typedef struct _DpPassServices DpPassServices;

/* The router has to outlive it. */
DpPassServices *dp_pass_services_new (const DpPassBalancerOptions *options,
                                      DpRouter *router);
void dp_pass_services_free (DpPassServices *services);
/* Error: the report address can't be used for TCP. */
gboolean dp_pass_services_start (DpPassServices *services, GError **error);
/* To be called every few hundred milliseconds. */
void dp_pass_services_tick (DpPassServices *services);
/* Whether the services are known, from wherever. */
gboolean dp_pass_services_known (const DpPassServices *services);
/* Whether they are known and the platform answers: an address that is missing has no
 * service. */
gboolean dp_pass_services_are_current (const DpPassServices *services);
/* Calls func with each service's id until it returns FALSE; returns whether it never
 * did. */
typedef gboolean (*DpPassServiceFunc) (guint64 service_id, gpointer user_data);
gboolean dp_pass_services_all (const DpPassServices *services,
                               DpPassServiceFunc func,
                               gpointer user_data);
/* Whether the members know of this balancer by now. */
gboolean dp_pass_services_announced (const DpPassServices *services);
gboolean dp_pass_services_registered (const DpPassServices *services);
guint64 dp_pass_services_revision (const DpPassServices *services);
