/* New flows at a companion in passthrough mode: whether the server takes one, another
 * member is asked, it waits for a slot, or it is rejected. */
#pragma once

#include "private/passthroughflows.h"

typedef struct _DpPassthroughAdmission DpPassthroughAdmission;

/* The flows are not owned and have to outlive it. */
DpPassthroughAdmission *
dp_passthrough_admission_new (DpPassthroughFlows *flows, const char *member, gint64 now);
void dp_passthrough_admission_free (DpPassthroughAdmission *new_flows);
void dp_passthrough_admission_set_slots (DpPassthroughAdmission *new_flows, guint slots);
void dp_passthrough_admission_set_view (DpPassthroughAdmission *new_flows,
                                        DpMemberView *view);
void dp_passthrough_admission_set_serving (DpPassthroughAdmission *new_flows,
                                           gboolean serving);
void dp_passthrough_admission_note_server_packet (DpPassthroughAdmission *new_flows);
DpCandidates *dp_passthrough_admission_candidates (DpPassthroughAdmission *new_flows);
gboolean
dp_passthrough_admission_server_is_silent (const DpPassthroughAdmission *new_flows,
                                           gint64 now);

/* around: the SYN was passed on from here before and has come back. */
DpPassthroughDecision dp_passthrough_admission_decide (DpPassthroughAdmission *new_flows,
                                                       const DpSegment *segment,
                                                       const DpHop *hop,
                                                       gboolean around,
                                                       gint64 now);
/* For a SYN that the server can't take. passed, rejected: reasons of the decision. */
DpPassthroughDecision
dp_passthrough_admission_forward_or_reject (DpPassthroughAdmission *new_flows,
                                            const DpSegment *segment,
                                            const DpHop *hop,
                                            DpPassthroughReason passed,
                                            DpPassthroughReason rejected,
                                            gint64 now);
void dp_passthrough_admission_hold_packet (DpPassthroughAdmission *new_flows,
                                           const DpSegment *segment,
                                           GBytes *packet);
void dp_passthrough_admission_note_retransmission (DpPassthroughAdmission *new_flows,
                                                   DpPassthroughFlow *flow,
                                                   const DpSegment *copy,
                                                   gint64 now);
gboolean dp_passthrough_admission_next_released (DpPassthroughAdmission *new_flows,
                                                 DpReleasedSyn *released,
                                                 gint64 now);
