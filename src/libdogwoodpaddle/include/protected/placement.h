/* Chooses the member for a new flow in passthrough mode, from the state and load that the
 * members report and from the flows that this balancer has placed itself. No I/O.
 *
 * Designed for demand that changes by half within seconds on servers with a few slots
 * each. Hashing alone would leave one server with a queue while others are idle. */
#pragma once

#include <glib.h>

#include "protected/candidates.h"
#include "protected/evacuations.h"
#include "protected/handle.h"
#include "protected/report.h"
#include "protected/slots.h"

typedef struct _DpPlacement DpPlacement;

/* A member as dp_placement_choose () weighs it. The strings are owned by the placement
 * and valid until its next change. */
typedef struct
{
  DpHandle member;
  const char *name;
  const char *zone;
  DpAddress address;
  DpMemberState state;
  gboolean eligible;  /* takes new flows */
  gboolean silent;    /* has not reported recently; chosen only if no other is left */
  gboolean failing;   /* its server fails too many requests */
  gboolean evacuated; /* its zone is; not chosen */
  gboolean left_out;  /* has the id of another member; not chosen */
  guint32 slots;
  guint own_flows;   /* flows in flight that this balancer placed */
  guint other_flows; /* flows in flight that other balancers placed */
  gint64 report_age; /* us, since its last report */
  guint32 limit;     /* learnt limit; 0: not learnt */
  double speed;      /* relative to the median of the service; 0: not compared */
  double cost;       /* the lowest one is chosen */
} DpWeighedMember;

DpPlacement *dp_placement_new (const char *zone);
void dp_placement_free (DpPlacement *placement);
/* Sets whether members are compared by their learnt limits and their speeds instead of
 * their declared slots. FALSE at first. */
void dp_placement_set_learned (DpPlacement *placement, gboolean learned);

/* Applies a member's report. Returns whether the member list of a service changed. */
gboolean
dp_placement_apply_report (DpPlacement *placement, const DpReport *report, gint64 now);
/* Removes members that have not reported for long; returns whether there were any. */
gboolean dp_placement_expire (DpPlacement *placement, gint64 now);

/* Returns the member for a new flow, or DP_HANDLE_NONE if the service has none. */
DpHandle dp_placement_choose (DpPlacement *placement,
                              guint64 service_id,
                              DpTrafficClass class,
                              guint64 flow_hash,
                              gint64 now);
/* Returns the service's members (DpWeighedMember) as dp_placement_choose () weighs them
 * for such a flow, the best first. Changes nothing. The caller frees the array. */
GArray *dp_placement_weigh (DpPlacement *placement,
                            guint64 service_id,
                            DpTrafficClass class,
                            guint64 flow_hash,
                            gint64 now);
/* Returns the name of a service that has members, else NULL. */
const char *dp_placement_service_name (DpPlacement *placement, guint64 service_id);
/* Returns the member at which the search for the owner of an unknown flow starts. */
DpHandle dp_placement_first_candidate (DpPlacement *placement,
                                       guint64 service_id,
                                       guint64 flow_hash,
                                       gint64 now);
/* Returns whether the member takes new flows and has reported recently. */
gboolean dp_placement_is_live (DpPlacement *placement, DpHandle member, gint64 now);
/* Returns whether the member has reported recently, whatever its state. */
gboolean dp_placement_is_reporting (DpPlacement *placement, DpHandle member, gint64 now);
/* Returns the time since the member's last report, in us. */
gint64 dp_placement_report_age (DpPlacement *placement, DpHandle member, gint64 now);
/* Returns FALSE if the member is gone. */
gboolean
dp_placement_address (DpPlacement *placement, DpHandle member, DpAddress *address);
/* Counts a flow that was placed on the member and has begun or ended. */
void dp_placement_flow_opened (DpPlacement *placement, DpHandle member);
void dp_placement_flow_closed (DpPlacement *placement, DpHandle member);

/* Sets the evacuated zones, whose members get no new flows; NULL: none. The evacuations
 * have to outlive the placement. To be called after each change of them. */
void dp_placement_set_evacuations (DpPlacement *placement,
                                   const DpEvacuations *evacuations,
                                   gint64 now);
/* Returns whether the service has members, all of them in evacuated zones. */
gboolean dp_placement_is_evacuated (DpPlacement *placement, guint64 service_id);
gboolean dp_placement_has_active (DpPlacement *placement, guint64 service_id);
/* Returns the current members of a service; NULL if there are none. */
DpMemberView *dp_placement_view (DpPlacement *placement, guint64 service_id);
/* Returns the ids, guint32, of the members that are listed as gone. */
GArray *dp_placement_gone_ids (DpPlacement *placement, guint64 service_id, gint64 now);
guint64 dp_placement_list_hash (DpPlacement *placement, guint64 service_id);
/* Returns the number of members that get no flows, as another one has the same id. */
guint dp_placement_n_left_out (const DpPlacement *placement);
guint dp_placement_n_members (const DpPlacement *placement);
/* Returns the speed of the member relative to the median of its service; 1 if the speed
 * is not known. */
double dp_placement_speed (DpPlacement *placement, DpHandle member);
/* Gives the lowest and the highest speed of all members. */
void dp_placement_speed_range (DpPlacement *placement, double *min, double *max);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPlacement, dp_placement_free)
