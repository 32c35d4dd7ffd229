/* The effective configuration of a companion: the newest valid record of each object in
 * its replica. An invalid record is logged, and the last valid one stays in effect. */
#pragma once

#include <glib.h>

#include "protected/fleet.h"
#include "protected/memberview.h"
#include "protected/replica.h"

typedef struct _DpEffectiveConfig DpEffectiveConfig;

typedef enum
{
  DP_EFFECTIVE_CONFIG_MEMBERS,  /* the service's member view */
  DP_EFFECTIVE_CONFIG_SETTINGS, /* the settings and the service's addresses */
  DP_N_EFFECTIVE_CONFIG_CHANGES
} DpEffectiveConfigChange;

typedef void (*DpEffectiveConfigFunc) (DpEffectiveConfigChange change,
                                       gpointer user_data);

/* The replica must outlive the configuration. Records that are in the replica already are
 * applied without a call of changed. */
DpEffectiveConfig *dp_effective_config_new (DpReplica *replica,
                                            const char *service,
                                            const char *host,
                                            DpEffectiveConfigFunc changed,
                                            gpointer user_data);
void dp_effective_config_free (DpEffectiveConfig *config);
/* NULL until there is a valid list of members. */
DpMemberView *dp_effective_config_view (const DpEffectiveConfig *config);
const DpFleetSettings *dp_effective_config_settings (const DpEffectiveConfig *config);
/* Array of DpServiceAddress, with the wait limit of this host. */
const GArray *dp_effective_config_addresses (const DpEffectiveConfig *config);
