/* Watches the platform's collection of evacuations and applies its changes. Active
 * exactly while this balancer watches the configuration: otherwise it relies on its
 * parent in the relay tree for that, and hears of evacuations from companions. */
#pragma once

#include "protected/configtiming.h"
#include "protected/evacuations.h"
#include "protected/passthroughbalancer.h"

typedef struct _DpEvacuationWatch DpEvacuationWatch;

/* The evacuations have to outlive the watch. */
DpEvacuationWatch *dp_evacuation_watch_new (const DpPassthroughBalancerOptions *options,
                                            DpEvacuations *evacuations);
void dp_evacuation_watch_free (DpEvacuationWatch *watch);
void dp_evacuation_watch_set_active (DpEvacuationWatch *watch, gboolean active);
gboolean dp_evacuation_watch_reachable (const DpEvacuationWatch *watch);
