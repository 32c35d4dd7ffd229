/* Builds the decisions of passthrough mode. */
#pragma once

#include "protected/passthrough.h"

DpPassDecision
dp_pass_decide (DpPassAction action, DpPassReason reason, const DpHop *hop);
/* The member is the next one that the packet visits. */
DpPassDecision
dp_pass_to_member (const DpAddress *member, DpPassReason reason, const DpHop *hop);
