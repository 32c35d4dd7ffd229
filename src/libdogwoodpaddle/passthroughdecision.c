#include "private/passthroughdecision.h"

static const char *const action_strings_[] = { "to_server", "to_client", "to_member",
                                               "reset",     "hold",      "ask_members",
                                               "drop" };

static const char *const reason_strings_[] = {
  "owned",   "asked",     "searching",     "busy",          "not_serving",
  "failing", "returned",  "passed_before", "registered",    "waiting",
  "late",    "expired",   "gathering",     "overloaded",    "repeated",
  "lost",    "not_found", "stale",         "wrong_service", "unexpected"
};

G_STATIC_ASSERT (G_N_ELEMENTS (action_strings_) == DP_N_PASSTHROUGH_ACTIONS);
G_STATIC_ASSERT (G_N_ELEMENTS (reason_strings_) == DP_N_PASSTHROUGH_REASONS);

/* Returns the action's name as it appears in logs. */
const char *
dp_passthrough_action_string (DpPassthroughAction action)
{
  g_assert (action < DP_N_PASSTHROUGH_ACTIONS);
  return action_strings_[action];
}

/* Returns the reason's name as it appears in logs and metrics. */
const char *
dp_passthrough_reason_string (DpPassthroughReason reason)
{
  g_assert (reason < DP_N_PASSTHROUGH_REASONS);
  return reason_strings_[reason];
}

/* Returns a decision that names no member. */
DpPassthroughDecision
dp_passthrough_decision_make (DpPassthroughAction action,
                              DpPassthroughReason reason,
                              const DpHop *hop)
{
  return (DpPassthroughDecision){ .action = action, .reason = reason, .hop = *hop };
}

/* Returns the decision to send the packet to a member, or to drop it if its count of
 * visited members would overflow. */
DpPassthroughDecision
dp_passthrough_decision_forward (const DpAddress *member,
                                 DpPassthroughReason reason,
                                 const DpHop *hop)
{
  DpPassthroughDecision decision = dp_passthrough_decision_make (DP_PASSTHROUGH_TO_MEMBER,
                                                                 reason, hop);

  decision.member = *member;
  if (decision.hop.n_visited == DP_VISITS_ENDED)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_NOT_FOUND,
                                         hop);
  decision.hop.n_visited++;
  return decision;
}

DpPassthroughDecision
dp_passthrough_decision_forward_to_owner (const DpAddress *owner, const DpHop *hop)
{
  DpHop next = *hop;

  next.n_owners_tried = MIN (next.n_owners_tried + 1, DP_OWNERS_TRIED_MAX);
  return dp_passthrough_decision_forward (owner, DP_PASSTHROUGH_REGISTERED, &next);
}
