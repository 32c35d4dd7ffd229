/* Internal state of DpFlowEngine, and its handling of packets that belong to none of this
 * member's flows. */
#pragma once

#include "private/flows.h"
#include "private/syndecisions.h"
#include "protected/flowengine.h"
#include "protected/mutant.h"

struct _DpFlowEngine
{
  guint64 service_id;
  guint32 member_id;
  DpFlowEngineLimits limits;
  GArray *addresses;        /* DpServiceAddress, sorted by address */
  gboolean has_non_bulk;    /* some address has a class other than bulk */
  DpCandidates *candidates; /* made from the newest view; NULL before the first view */
  DpFlows *flows;
  DpSlots *slots;
  DpSynDecisions *decisions;
  DpMutant mutant;
  guint n_in_state[DP_N_FLOW_STATES];     /* flows in each state */
  guint n_in_class[DP_N_TRAFFIC_CLASSES]; /* flows of each class */
  gboolean receiving_views;               /* view updates are arriving */
  gboolean server_up;
  gboolean leaving;
  gboolean dispatch_due;   /* a slot may be free for a waiting flow */
  gint64 views_resumed_at; /* us, when view updates last began to arrive */
  gint64 views_stopped_at; /* us, when view updates last stopped arriving */
  gint64 listed_since;     /* us, when the view began to list this member; -1: unlisted */
  gint64 members_changed_at; /* us, last change of the members */
  gint64 slow_start_at;      /* us, start of the slow start */
};

void dp_admission_syn (DpFlowEngine *engine,
                       const DpServiceAddress *address,
                       const DpHeader *header,
                       const DpSegment *segment,
                       gint64 now,
                       DpActions *actions);
void dp_admission_unknown_flow (DpFlowEngine *engine,
                                const DpHeader *header,
                                const DpSegment *segment,
                                gint64 now,
                                DpActions *actions);
void dp_admission_forward_held (DpFlowEngine *engine,
                                DpHandle handle,
                                DpReason reason,
                                gint64 now,
                                DpActions *actions);
void dp_admission_set_state (DpFlowEngine *engine, DpFlow *flow, DpFlowState state);
void dp_admission_remove (DpFlowEngine *engine, DpHandle handle, gint64 now);
void dp_admission_release_slot (DpFlowEngine *engine, DpHandle handle, gint64 now);
gboolean dp_admission_accepts_flows (const DpFlowEngine *engine, gint64 now);
gboolean dp_admission_known_everywhere (const DpFlowEngine *engine, gint64 now);
gboolean dp_admission_isolated (const DpFlowEngine *engine, gint64 now);
DpAction *dp_actions_add (DpActions *actions, DpActionType type, DpReason reason);
