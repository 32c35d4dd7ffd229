/* A balancer's choice of the member for a new flow in passthrough mode, from what the
 * members report of themselves and the flows that this balancer has placed. No I/O.
 *
 * Load pattern answered: demand that changes by half within seconds, on servers of a few
 * slots. A hash alone leaves one server with a queue beside others that are idle. */
#pragma once

#include <glib.h>

#include "protected/candidates.h"
#include "protected/handle.h"
#include "protected/report.h"
#include "protected/slots.h"

typedef struct _DpPlacement DpPlacement;

DpPlacement *dp_placement_new (const char *zone);
void dp_placement_free (DpPlacement *placement);

/* Takes a report over. Returns whether the members of a service changed. */
gboolean
dp_placement_apply_report (DpPlacement *placement, const DpReport *report, gint64 now);
/* Forgets members that have been silent for long; returns whether there were any. */
gboolean dp_placement_expire (DpPlacement *placement, gint64 now);

/* The member for a new flow, DP_HANDLE_NONE if the service has none. */
DpHandle dp_placement_choose (DpPlacement *placement,
                              guint64 service_id,
                              DpTrafficClass class,
                              guint64 flow_hash,
                              gint64 now);
/* The member where the search for a flow of unknown owner begins. */
DpHandle dp_placement_first_candidate (DpPlacement *placement,
                                       guint64 service_id,
                                       guint64 flow_hash);
/* Whether the member is expected to take a packet: it has reported lately. */
gboolean dp_placement_is_live (DpPlacement *placement, DpHandle member, gint64 now);
/* How long the member has not reported, in us. */
gint64 dp_placement_report_age (DpPlacement *placement, DpHandle member, gint64 now);
/* FALSE if the member is gone. */
gboolean
dp_placement_address (DpPlacement *placement, DpHandle member, DpAddress *address);
/* A flow that was placed on the member has begun or ended. */
void dp_placement_flow_opened (DpPlacement *placement, DpHandle member);
void dp_placement_flow_closed (DpPlacement *placement, DpHandle member);

/* The members of a service as they stand; NULL if there are none. */
gboolean dp_placement_has_active (DpPlacement *placement, guint64 service_id);
DpMemberView *dp_placement_view (DpPlacement *placement, guint64 service_id);
/* Ids of members that are listed as gone, guint32. */
GArray *dp_placement_gone_ids (DpPlacement *placement, guint64 service_id, gint64 now);
guint64 dp_placement_list_hash (DpPlacement *placement, guint64 service_id);
guint dp_placement_n_members (const DpPlacement *placement);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPlacement, dp_placement_free)
