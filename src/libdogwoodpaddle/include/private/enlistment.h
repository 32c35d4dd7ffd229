/* Keeps a balancer's own registration balancer/NAME in the platform. */
#pragma once

#include "protected/platform.h"
#include "protected/topology.h"

typedef struct _DpEnlistment DpEnlistment;

/* Called when the registration was written or removed as wanted. */
typedef void (*DpEnlistmentFunc) (gpointer user_data);

DpEnlistment *dp_enlistment_new (const DpTopologyBalancer *self,
                                 DpReplica *replica,
                                 DpPlatform *platform,
                                 DpEnlistmentFunc settled,
                                 gpointer user_data);
void dp_enlistment_free (DpEnlistment *enlistment);
void dp_enlistment_want (DpEnlistment *enlistment, gboolean present);
gboolean dp_enlistment_present (const DpEnlistment *enlistment);
guint64 dp_enlistment_incarnation (const DpEnlistment *enlistment);
