#include "private/admission.h"

static const char *const action_strings_[] = {
  "deliver",      "forward",      "hold",   "drop",   "reset", "connect",
  "deliver_held", "forward_held", "refuse", "forget", "grant", "abort",
};

G_STATIC_ASSERT (G_N_ELEMENTS (action_strings_) == DP_N_ACTIONS);

static const char *const reason_strings_[] = {
  "none",         "wrong_service",    "hop_limit",      "unsettled",    "unknown_flow",
  "no_server",    "connections",      "wait_limit",     "table_full",   "half_open",
  "idle_timeout", "progress_timeout", "drain_deadline", "already_held", "leaving",
};

G_STATIC_ASSERT (G_N_ELEMENTS (reason_strings_) == DP_N_REASONS);

/* Initializes an empty list. */
void
dp_actions_init (DpActions *actions)
{
  actions->items = g_array_new (FALSE, TRUE, sizeof (DpAction));
}

/* Empties the list but keeps its memory for reuse. */
void
dp_actions_clear (DpActions *actions)
{
  g_array_set_size (actions->items, 0);
}

/* Frees the list's memory. */
void
dp_actions_finish (DpActions *actions)
{
  g_clear_pointer (&actions->items, g_array_unref);
}

/* Appends an action. The returned pointer is valid until the next action is added. */
DpAction *
dp_actions_add (DpActions *actions, DpActionType type, DpReason reason)
{
  guint n = actions->items->len;
  DpAction *action;

  g_array_set_size (actions->items, n + 1);
  action = &g_array_index (actions->items, DpAction, n);
  action->type = type;
  action->reason = reason;
  return action;
}

/* Returns the action's name. */
const char *
dp_action_type_string (DpActionType type)
{
  g_assert (type < DP_N_ACTIONS);
  return action_strings_[type];
}

/* Returns the reason's name. */
const char *
dp_reason_string (DpReason reason)
{
  g_assert (reason < DP_N_REASONS);
  return reason_strings_[reason];
}
