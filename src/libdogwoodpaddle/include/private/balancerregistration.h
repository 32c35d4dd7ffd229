/* Maintains a balancer's own registration, the object balancer/NAME, on the platform. */
#pragma once

#include "protected/platform.h"
#include "protected/topology.h"

typedef struct _DpBalancerRegistration DpBalancerRegistration;

/* The owner of a registration that already exists under the balancer's name. */
typedef enum
{
  /* The process that wrote the registration; a new process writes its own. */
  DP_BALANCER_REGISTRATION_OF_PROCESS,
  /* The host; a new process reuses the registration if all fields but the incarnation
   * match. */
  DP_BALANCER_REGISTRATION_OF_HOST
} DpBalancerRegistrationOwner;

/* Called when the registration is present or absent as wanted, and when another process
 * has registered the balancer's name. */
typedef void (*DpBalancerRegistrationFunc) (gpointer user_data);

DpBalancerRegistration *dp_balancer_registration_new (const DpTopologyBalancer *self,
                                                      DpBalancerRegistrationOwner owner,
                                                      DpReplica *replica,
                                                      DpPlatform *platform,
                                                      DpBalancerRegistrationFunc settled,
                                                      gpointer user_data);
void dp_balancer_registration_free (DpBalancerRegistration *registration);
void dp_balancer_registration_set_wanted (DpBalancerRegistration *registration,
                                          gboolean present);
gboolean dp_balancer_registration_present (const DpBalancerRegistration *registration);
gboolean dp_balancer_registration_reused (const DpBalancerRegistration *registration);
guint64 dp_balancer_registration_incarnation (const DpBalancerRegistration *registration);
