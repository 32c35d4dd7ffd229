/* The state of DpAcceptance and its decisions for packets that belong to no flow here. */
#pragma once

#include "private/decisions.h"
#include "private/flows.h"
#include "protected/acceptance.h"
#include "protected/variant.h"

struct _DpAcceptance
{
  guint64 service_id;
  guint32 member_id;
  DpAcceptanceLimits limits;
  GArray *addresses;        /* DpServiceAddress, ascending by address */
  gboolean mixed;           /* an address has another class than bulk */
  DpCandidates *candidates; /* of the newest view, NULL: none yet */
  DpFlows *flows;
  DpSlots *slots;
  DpDecisions *decisions;
  DpVariant variant;
  guint n_state[DP_N_FLOW_STATES];
  guint n_class[DP_N_CLASSES];
  gboolean connected;
  gboolean server_up;
  gboolean leaving;
  gboolean dispatch_due;  /* a slot may be free for a waiting flow */
  gint64 connected_at;    /* us */
  gint64 disconnected_at; /* us */
  gint64 present_since;   /* us, since when the view has this member; -1: it doesn't */
  gint64 changed_at;      /* us, last change of the members */
  gint64 active_since;    /* us, start of the slow start */
};

void dp_admission_syn (DpAcceptance *acceptance,
                       const DpServiceAddress *address,
                       const DpHeader *header,
                       const DpSegment *segment,
                       gint64 now,
                       DpActions *actions);
void dp_admission_walk (DpAcceptance *acceptance,
                        const DpHeader *header,
                        const DpSegment *segment,
                        gint64 now,
                        DpActions *actions);
void dp_admission_pass_held (DpAcceptance *acceptance,
                             DpHandle handle,
                             DpReason reason,
                             gint64 now,
                             DpActions *actions);
void dp_admission_set_state (DpAcceptance *acceptance, DpFlow *flow, DpFlowState state);
void dp_admission_remove (DpAcceptance *acceptance, DpHandle handle, gint64 now);
void dp_admission_release_slot (DpAcceptance *acceptance, DpHandle handle, gint64 now);
gboolean dp_admission_takes_flows (const DpAcceptance *acceptance, gint64 now);
gboolean dp_admission_known_everywhere (const DpAcceptance *acceptance, gint64 now);
gboolean dp_admission_isolated (const DpAcceptance *acceptance, gint64 now);
DpAction *dp_actions_add (DpActions *actions, DpActionType type, DpReason reason);
