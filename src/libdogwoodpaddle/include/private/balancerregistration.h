/* Keeps a balancer's own registration balancer/NAME in the platform. */
#pragma once

#include "protected/platform.h"
#include "protected/topology.h"

typedef struct _DpBalancerRegistration DpBalancerRegistration;

/* Whose registration an entry is that stands under the name already. */
typedef enum
{
  DP_BALANCER_REGISTRATION_OF_PROCESS, /* of the process that wrote it; the next one
                                          writes it anew */
  DP_BALANCER_REGISTRATION_OF_HOST     /* of whoever runs there: kept if all but the
                                          incarnation fits */
} DpBalancerRegistrationOwner;

/* Called when the registration was written or removed as wanted. */
typedef void (*DpBalancerRegistrationFunc) (gpointer user_data);

DpBalancerRegistration *dp_balancer_registration_new (const DpTopologyBalancer *self,
                                                      DpBalancerRegistrationOwner owner,
                                                      DpReplica *replica,
                                                      DpPlatform *platform,
                                                      DpBalancerRegistrationFunc settled,
                                                      gpointer user_data);
void dp_balancer_registration_free (DpBalancerRegistration *entry);
void dp_balancer_registration_set_wanted (DpBalancerRegistration *entry,
                                          gboolean present);
gboolean dp_balancer_registration_present (const DpBalancerRegistration *entry);
gboolean dp_balancer_registration_reused (const DpBalancerRegistration *entry);
guint64 dp_balancer_registration_incarnation (const DpBalancerRegistration *entry);
