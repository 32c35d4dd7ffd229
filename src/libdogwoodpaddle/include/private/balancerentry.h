/* Keeps a balancer's own registration balancer/NAME in the platform. */
#pragma once

#include "protected/platform.h"
#include "protected/topology.h"

typedef struct _DpBalancerEntry DpBalancerEntry;

/* Whose registration an entry is that stands under the name already. */
typedef enum
{
  DP_ENTRY_OF_A_PROCESS, /* of the process that wrote it; the next one writes it anew */
  DP_ENTRY_OF_A_HOST     /* of whoever runs there: kept if all but the incarnation fits */
} DpBalancerEntryOwner;

/* Called when the registration was written or removed as wanted. */
typedef void (*DpBalancerEntryFunc) (gpointer user_data);

DpBalancerEntry *dp_balancer_entry_new (const DpTopologyBalancer *self,
                                        DpBalancerEntryOwner owner,
                                        DpReplica *replica,
                                        DpPlatform *platform,
                                        DpBalancerEntryFunc settled,
                                        gpointer user_data);
void dp_balancer_entry_free (DpBalancerEntry *entry);
void dp_balancer_entry_want (DpBalancerEntry *entry, gboolean present);
gboolean dp_balancer_entry_present (const DpBalancerEntry *entry);
gboolean dp_balancer_entry_kept (const DpBalancerEntry *entry);
guint64 dp_balancer_entry_incarnation (const DpBalancerEntry *entry);
