/* Admission of new flows at a companion in passthrough mode: decides whether a flow is
 * offered to the server, waits for a slot, is forwarded to another member, or is
 * rejected. */
#pragma once

#include "private/passthroughflows.h"
#include "protected/flowdirectory.h"

typedef struct _DpPassthroughAdmission DpPassthroughAdmission;

/* flows and directory are not owned and have to outlive the admission. member: name of
 * this companion's member. now: in us, as everywhere below. */
DpPassthroughAdmission *dp_passthrough_admission_new (DpPassthroughFlows *flows,
                                                      DpFlowDirectory *directory,
                                                      const char *member,
                                                      gint64 now);
void dp_passthrough_admission_free (DpPassthroughAdmission *admission);
void dp_passthrough_admission_set_address (DpPassthroughAdmission *admission,
                                           const DpAddress *address);
void dp_passthrough_admission_set_view (DpPassthroughAdmission *admission,
                                        DpMemberView *view);
void dp_passthrough_admission_set_serving (DpPassthroughAdmission *admission,
                                           gboolean serving);
void dp_passthrough_admission_note_server_packet (DpPassthroughAdmission *admission);
DpCandidates *dp_passthrough_admission_candidates (DpPassthroughAdmission *admission);
gboolean
dp_passthrough_admission_server_is_silent (const DpPassthroughAdmission *admission,
                                           gint64 now);

/* Returns the number of SYNs that found a slot but were held back by the limit of a cold
 * server. */
guint64 dp_passthrough_admission_n_held_back (const DpPassthroughAdmission *admission);

/* Decides about the SYN of a new flow. came_back: this member has forwarded the SYN
 * before, and the SYN has come back. */
DpPassthroughDecision dp_passthrough_admission_decide (DpPassthroughAdmission *admission,
                                                       const DpSegment *segment,
                                                       const DpHop *hop,
                                                       gboolean came_back,
                                                       gint64 now);
/* Returns what would be decided about the first SYN of a new flow. Changes nothing that a
 * later decision depends on. */
DpPassthroughPreview
dp_passthrough_admission_preview (const DpPassthroughAdmission *admission,
                                  const DpSegment *segment,
                                  const DpHop *hop,
                                  gint64 now);
/* Decides about a SYN that the server can't take: forwards it with forward_reason, or
 * rejects it with reject_reason. */
DpPassthroughDecision
dp_passthrough_admission_forward_or_reject (DpPassthroughAdmission *admission,
                                            const DpSegment *segment,
                                            const DpHop *hop,
                                            DpPassthroughReason forward_reason,
                                            DpPassthroughReason reject_reason,
                                            gint64 now);
/* Decides about a SYN that another member has rejected and whose flow is not here. */
DpPassthroughDecision
dp_passthrough_admission_confirm_rejection (const DpPassthroughAdmission *admission,
                                            const DpSegment *segment,
                                            const DpHop *hop,
                                            gint64 now);
void dp_passthrough_admission_hold_packet (DpPassthroughAdmission *admission,
                                           const DpSegment *segment,
                                           GBytes *packet);
void dp_passthrough_admission_note_retransmission (DpPassthroughAdmission *admission,
                                                   DpPassthroughFlow *flow,
                                                   const DpSegment *retransmission,
                                                   gint64 now);
gboolean dp_passthrough_admission_next_released (DpPassthroughAdmission *admission,
                                                 DpReleasedSyn *released,
                                                 gint64 now);
