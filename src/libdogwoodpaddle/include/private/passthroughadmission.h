/* Admission of new flows at a companion in passthrough mode: decides whether a flow is
 * offered to the server, waits for a slot, is forwarded to another member, or is
 * rejected. */
#pragma once

#include "private/passthroughflows.h"

typedef struct _DpPassthroughAdmission DpPassthroughAdmission;

/* flows is not owned and has to outlive the admission. member: name of this companion's
 * member. now: in us, as everywhere below. */
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

/* Decides about the SYN of a new flow. around: this member has forwarded the SYN before,
 * and it came back. */
DpPassthroughDecision dp_passthrough_admission_decide (DpPassthroughAdmission *new_flows,
                                                       const DpSegment *segment,
                                                       const DpHop *hop,
                                                       gboolean around,
                                                       gint64 now);
/* Decides about a SYN that the server can't take. passed, rejected: the reason to give if
 * the SYN is forwarded, and if it is rejected. */
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
