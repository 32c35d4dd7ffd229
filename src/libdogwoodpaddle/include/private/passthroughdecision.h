/* Constructs the decisions of passthrough mode. */
#pragma once

#include "protected/passthrough.h"

DpPassthroughDecision dp_passthrough_decision_make (DpPassthroughAction action,
                                                    DpPassthroughReason reason,
                                                    const DpHop *hop);
/* Forwards the packet to the owner of its flow as registered in the flow directory. */
DpPassthroughDecision dp_passthrough_decision_forward_to_owner (const DpAddress *owner,
                                                                const DpHop *hop);
/* Forwards the packet to the member and counts the visit in the hop. */
DpPassthroughDecision dp_passthrough_decision_forward (const DpAddress *member,
                                                       DpPassthroughReason reason,
                                                       const DpHop *hop);
