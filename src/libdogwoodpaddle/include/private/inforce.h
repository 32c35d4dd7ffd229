/* The configuration in force in a companion: the newest records of its replica that are
 * valid. A record that is not is logged and leaves the last valid one in force. */
#pragma once

#include <glib.h>

#include "protected/fleet.h"
#include "protected/replica.h"
#include "protected/view.h"

typedef struct _DpInForce DpInForce;

typedef enum
{
  DP_IN_FORCE_MEMBERS,  /* the view of the service */
  DP_IN_FORCE_SETTINGS, /* the settings and the service's addresses */
  DP_N_IN_FORCE_CHANGES
} DpInForceChange;

typedef void (*DpInForceFunc) (DpInForceChange change, gpointer user_data);

/* The replica must outlive it. Records that the replica holds already are taken over, but
 * changed is called for later ones only. */
DpInForce *dp_in_force_new (DpReplica *replica,
                            const char *service,
                            const char *host,
                            DpInForceFunc changed,
                            gpointer user_data);
void dp_in_force_free (DpInForce *in_force);
/* NULL until there is a valid list of members. */
DpView *dp_in_force_view (const DpInForce *in_force);
const DpFleetSettings *dp_in_force_settings (const DpInForce *in_force);
/* Of DpServiceAddress, with the wait limit of this host. */
const GArray *dp_in_force_addresses (const DpInForce *in_force);
