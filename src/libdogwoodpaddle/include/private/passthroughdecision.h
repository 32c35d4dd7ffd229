/* Builds the decisions of passthrough mode. */
#pragma once

#include "protected/passthrough.h"

DpPassthroughDecision dp_passthrough_decide (DpPassthroughAction action,
                                             DpPassthroughReason reason,
                                             const DpHop *hop);
/* The member is the next one that the packet visits. */
DpPassthroughDecision dp_passthrough_to_member (const DpAddress *member,
                                                DpPassthroughReason reason,
                                                const DpHop *hop);
