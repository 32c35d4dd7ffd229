#include "private/admission.h"

#include "protected/clock.h"

/* The SYN being decided on, as passed between the steps of dp_admission_syn (). */
typedef struct
{
  DpFlowEngine *engine;
  const DpServiceAddress *address;
  const DpSegment *segment;
  DpHeader header; /* with this member among the visited ones */
  gint64 now;
  DpActions *actions;
} Syn;

static gboolean has_visited_ (const DpHeader *header, guint32 member);
static gboolean add_self_ (const DpFlowEngine *engine, DpHeader *header);
static gboolean was_returned_ (const DpFlowEngine *engine, const DpHeader *header);
static const DpMember *find_member_ (const DpFlowEngine *engine, guint32 id);
static const DpMember *next_member_ (const DpFlowEngine *engine,
                                     const DpHeader *header,
                                     guint64 hash,
                                     DpCandidateSet set);
static void set_target_ (const DpFlowEngine *engine,
                         DpAction *action,
                         const DpHeader *header,
                         const DpMember *member);
static gboolean
view_is_settled_ (const DpFlowEngine *engine, DpPosition revision, gint64 now);
static DpReason rejection_reason_ (const DpFlowEngine *engine,
                                   const DpServiceAddress *address,
                                   gint64 now);
static guint max_visits_ (const DpFlowEngine *engine, DpTrafficClass class);
static gboolean in_slow_start_ (const DpFlowEngine *engine, guint64 hash, gint64 now);
static gboolean repeat_decision_ (Syn *syn);
static void store_decision_ (DpFlowEngine *engine,
                             const DpSegment *segment,
                             const DpSynDecision *decision,
                             gint64 now);
static void accept_ (Syn *syn);
static void forward_ (Syn *syn, const DpMember *member);
static void refuse_ (Syn *syn, DpReason reason);
static void offer_to_accept_ (Syn *syn);

/* Accepts, forwards or refuses a SYN of a flow that this companion doesn't have. A SYN
 * that finds no free slot on its way is returned to the visited member with the shortest
 * expected wait. A retransmitted SYN gets the same decision as before. */
void
dp_admission_syn (DpFlowEngine *engine,
                  const DpServiceAddress *address,
                  const DpHeader *header,
                  const DpSegment *segment,
                  gint64 now,
                  DpActions *actions)
{
  Syn syn = { engine, address, segment, *header, now, actions };
  DpReason reason = rejection_reason_ (engine, address, now);
  const DpMember *next = NULL;
  const DpMember *best;

  if (was_returned_ (engine, header))
    {
      if (reason == DP_REASON_NONE)
        accept_ (&syn);
      else
        refuse_ (&syn, reason);
      return;
    }
  if (!add_self_ (engine, &syn.header))
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
      return;
    }
  if (repeat_decision_ (&syn))
    return;
  /* The limit of visits doesn't apply at a member that accepts no new flows. */
  if (syn.header.n_visited < max_visits_ (engine, address->class)
      || !dp_admission_accepts_flows (engine, now))
    next = next_member_ (engine, &syn.header, segment->hash, DP_CANDIDATES_ACTIVE);
  if (reason == DP_REASON_NONE && dp_slots_can_acquire (engine->slots, address->class)
      && (next == NULL
          || (!in_slow_start_ (engine, segment->hash, now)
              && !dp_admission_isolated (engine, now))))
    {
      accept_ (&syn);
      return;
    }
  if (reason == DP_REASON_NONE)
    offer_to_accept_ (&syn);
  if (next != NULL)
    {
      forward_ (&syn, next);
      return;
    }
  best = find_member_ (engine, syn.header.best_member);
  if (best != NULL && best->id != engine->member_id)
    forward_ (&syn, best);
  else if (reason == DP_REASON_NONE)
    accept_ (&syn);
  else
    refuse_ (&syn, reason);
}

/* Handles a packet, other than the first SYN, of a flow that this companion doesn't have.
 * Forwards it to the next candidate. When all have been visited and this member's view
 * lists every member that may have the flow, the packet is answered with a reset, unless
 * it is one itself; otherwise it is dropped. */
void
dp_admission_unknown_flow (DpFlowEngine *engine,
                           const DpHeader *header,
                           const DpSegment *segment,
                           gint64 now,
                           DpActions *actions)
{
  DpHeader visited = *header;
  const DpMember *next;
  DpAction *action;

  if (!add_self_ (engine, &visited))
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
      return;
    }
  next = next_member_ (engine, &visited, segment->hash, DP_CANDIDATES_ALL);
  if (next != NULL && visited.n_visited == DP_VISITED_MAX)
    dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
  else if (next != NULL)
    {
      action = dp_actions_add (actions, DP_ACTION_FORWARD, DP_REASON_NONE);
      set_target_ (engine, action, &visited, next);
    }
  else if (!view_is_settled_ (engine, header->revision, now))
    dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_UNSETTLED);
  else if ((segment->flags & DP_TCP_RST) != 0)
    dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_UNKNOWN_FLOW);
  else
    dp_actions_add (actions, DP_ACTION_RESET, DP_REASON_UNKNOWN_FLOW);
}

/* Removes a flow whose SYN is still held, so that its server has received nothing. The
 * SYN is forwarded to another member, or refused with the reason if none is left or
 * another member has returned it to this one. */
void
dp_admission_forward_held (DpFlowEngine *engine,
                           DpHandle handle,
                           DpReason reason,
                           gint64 now,
                           DpActions *actions)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);
  DpSegment syn = { .key = flow->key, .seq = flow->client_seq, .flags = DP_TCP_SYN };
  DpHeader header = *flow->held_header;
  const DpMember *next = NULL;
  DpAction *action;

  syn.hash = dp_flow_key_hash (&syn.key);
  if (!was_returned_ (engine, &header) && add_self_ (engine, &header))
    {
      if (header.n_visited < DP_VISITED_MAX)
        next = next_member_ (engine, &header, syn.hash, DP_CANDIDATES_ACTIVE);
      /* This member's own offer to accept the SYN no longer holds. */
      if (header.best_member == engine->member_id)
        header.best_member = 0;
      if (next == NULL)
        next = find_member_ (engine, header.best_member);
      /* A header can name a best member that was not visited; a full list has no room
       * for it. */
      if (next != NULL && header.n_visited == DP_VISITED_MAX
          && !has_visited_ (&header, next->id))
        next = NULL;
    }
  if (next != NULL)
    {
      action = dp_actions_add (actions, DP_ACTION_FORWARD_HELD, reason);
      set_target_ (engine, action, &header, next);
      store_decision_ (
          engine, &syn,
          &(DpSynDecision){ .type = DP_SYN_DECISION_FORWARD, .member = next->id }, now);
    }
  else
    {
      action = dp_actions_add (actions, DP_ACTION_REFUSE, reason);
      store_decision_ (
          engine, &syn,
          &(DpSynDecision){ .type = DP_SYN_DECISION_REFUSE, .reason = reason }, now);
    }
  action->flow = handle;
  dp_admission_remove (engine, handle, now);
}

/* Changes the flow's state and the numbers of flows in each state. */
void
dp_admission_set_state (DpFlowEngine *engine, DpFlow *flow, DpFlowState state)
{
  engine->n_in_state[flow->state]--;
  flow->state = (guint8) state;
  engine->n_in_state[state]++;
}

/* Removes a flow and releases its slot. */
void
dp_admission_remove (DpFlowEngine *engine, DpHandle handle, gint64 now)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);

  if (flow == NULL)
    return;
  dp_admission_release_slot (engine, handle, now);
  engine->n_in_state[flow->state]--;
  engine->n_in_class[flow->class]--;
  dp_flows_remove (engine->flows, handle);
}

/* Releases the flow's slot, or removes the flow from the queue for one. */
void
dp_admission_release_slot (DpFlowEngine *engine, DpHandle handle, gint64 now)
{
  DpFlow *flow = dp_flows_get (engine->flows, handle);
  DpTrafficClass class = (DpTrafficClass) flow->class;
  gint64 end = now;

  if (flow->slot_state == DP_SLOT_WAITING)
    dp_slots_cancel (engine->slots, flow->ticket);
  else if (flow->slot_state != DP_SLOT_NONE)
    {
      dp_slots_release (engine->slots, class);
      engine->dispatch_due = TRUE;
    }
  if (flow->slot_state == DP_SLOT_ANSWERING)
    dp_flows_timer_running (engine->flows, handle, DP_TIMER_RESPONSE, &end);
  if (flow->slot_state == DP_SLOT_ANSWERING || flow->slot_state == DP_SLOT_BUSY)
    dp_slots_request_ended (engine->slots, class, flow->busy_since,
                            MAX (end, flow->busy_since));
  dp_flows_stop_timer (engine->flows, handle, DP_TIMER_GROUP_SLOT);
  flow->slot_state = DP_SLOT_NONE;
}

/* Returns whether this member accepts new flows at present. */
gboolean
dp_admission_accepts_flows (const DpFlowEngine *engine, gint64 now)
{
  gboolean leaving = engine->leaving;

  if (engine->mutant == DP_MUTANT_ACCEPT_LEAVING)
    leaving = FALSE;
  return !leaving && engine->server_up && dp_admission_known_everywhere (engine, now);
}

/* Returns whether this member has been listed for settle_time, so that every process
 * knows it. If this member accepted a flow before that, a packet of the flow could reach
 * members whose views lack this member but count as settled, and they would reset the
 * flow. */
gboolean
dp_admission_known_everywhere (const DpFlowEngine *engine, gint64 now)
{
  if (engine->mutant == DP_MUTANT_ACCEPT_UNKNOWN)
    return TRUE;
  return engine->listed_since >= 0
         && now - engine->listed_since >= engine->limits.settle_time;
}

static gboolean
has_visited_ (const DpHeader *header, guint32 member)
{
  for (guint i = 0; i < header->n_visited; i++)
    {
      if (header->visited[i] == member)
        return TRUE;
    }
  return FALSE;
}

/* Adds this member to the visited ones unless it is listed already. The sender has listed
 * it, unless the sender's view still has this member's address under the name of a former
 * member. Returns FALSE if the list is full. */
static gboolean
add_self_ (const DpFlowEngine *engine, DpHeader *header)
{
  if (has_visited_ (header, engine->member_id))
    return TRUE;
  if (header->n_visited == DP_VISITED_MAX)
    return FALSE;
  header->visited[header->n_visited++] = engine->member_id;
  return TRUE;
}

/* Returns whether another member returned the SYN to this one, which had forwarded it
 * before. Returning a SYN adds no member to the visited ones, so the last of these is not
 * this member. */
static gboolean
was_returned_ (const DpFlowEngine *engine, const DpHeader *header)
{
  return header->n_visited > 0 && header->best_member == engine->member_id
         && header->visited[header->n_visited - 1] != engine->member_id
         && has_visited_ (header, engine->member_id);
}

static const DpMember *
find_member_ (const DpFlowEngine *engine, guint32 id)
{
  if (id == 0 || engine->candidates == NULL)
    return NULL;
  return dp_member_view_find (dp_candidates_view (engine->candidates), id);
}

static const DpMember *
next_member_ (const DpFlowEngine *engine,
              const DpHeader *header,
              guint64 hash,
              DpCandidateSet set)
{
  if (engine->candidates == NULL || engine->mutant == DP_MUTANT_NO_WALK)
    return NULL;
  return dp_candidates_next (engine->candidates, hash, set, header->visited,
                             header->n_visited);
}

/* Sets the action's address and header for sending to a member. The member is added to
 * the visited ones unless it is listed already. */
static void
set_target_ (const DpFlowEngine *engine,
             DpAction *action,
             const DpHeader *header,
             const DpMember *member)
{
  DpPosition revision = dp_candidates_view (engine->candidates)->revision;

  action->address = member->address;
  action->header = *header;
  action->header.revision = MAX (header->revision, revision);
  if (!has_visited_ (header, member->id))
    {
      g_assert (header->n_visited < DP_VISITED_MAX);
      action->header.visited[action->header.n_visited++] = member->id;
    }
}

/* Returns whether this companion's view lists every member that may have a flow. That
 * holds if no sender of the packet had a newer view (revision), and if for settle_time
 * updates have been arriving and the members have not changed. */
static gboolean
view_is_settled_ (const DpFlowEngine *engine, DpPosition revision, gint64 now)
{
  gint64 since = MAX (engine->members_changed_at, engine->views_resumed_at);

  if (engine->mutant == DP_MUTANT_RESET_UNSETTLED)
    return TRUE;
  return engine->receiving_views && engine->candidates != NULL
         && revision <= dp_candidates_view (engine->candidates)->revision
         && now - since >= engine->limits.settle_time;
}

/* Returns why a new flow of the address can't be accepted even to wait for a slot, or
 * DP_REASON_NONE if it can. */
static DpReason
rejection_reason_ (const DpFlowEngine *engine,
                   const DpServiceAddress *address,
                   gint64 now)
{
  guint limit = engine->limits.connections;

  if (!engine->server_up)
    return DP_REASON_NO_SERVER;
  if (engine->leaving && engine->mutant != DP_MUTANT_ACCEPT_LEAVING)
    return DP_REASON_LEAVING;
  if (!dp_admission_known_everywhere (engine, now))
    return DP_REASON_UNSETTLED;
  if (dp_flows_count (engine->flows) >= limit)
    return DP_REASON_CONNECTIONS;
  if (address->class == DP_TRAFFIC_BULK && engine->has_non_bulk
      && engine->n_in_class[DP_TRAFFIC_BULK] >= limit / 2)
    return DP_REASON_CONNECTIONS;
  if (dp_slots_expected_wait (engine->slots, address->class, now) > address->wait_limit)
    return DP_REASON_WAIT_LIMIT;
  return DP_REASON_NONE;
}

/* Returns how many members a SYN visits in search of a free slot. Urgent SYNs visit twice
 * as many: at a busy member they would wait for requests that are already running, and
 * these are not interrupted. */
static guint
max_visits_ (const DpFlowEngine *engine, DpTrafficClass class)
{
  return class == DP_TRAFFIC_URGENT ? 2 * engine->limits.visits : engine->limits.visits;
}

/* Returns whether a flow is among those that this member forwards during its slow start.
 * Their share falls linearly from all flows to none. Each member selects different
 * flows. */
static gboolean
in_slow_start_ (const DpFlowEngine *engine, guint64 hash, gint64 now)
{
  gint64 left = engine->limits.slow_start - (now - engine->slow_start_at);
  guint64 mixed = (hash ^ engine->member_id) * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);

  if (left <= 0)
    return FALSE;
  return (gint64) (mixed >> 32) * engine->limits.slow_start
         < left * ((gint64) G_MAXUINT32 + 1);
}

/* Repeats the decision for an earlier copy of the SYN. Returns FALSE if there is none, or
 * if it was to forward the SYN to a member that has left the view, or that this copy has
 * visited and that is not the copy's best member. */
static gboolean
repeat_decision_ (Syn *syn)
{
  DpFlowEngine *engine = syn->engine;
  DpSynDecision decision = dp_syn_decisions_get (engine->decisions, syn->segment,
                                                 syn->now);
  const DpMember *member;
  DpAction *action;

  if (decision.type == DP_SYN_DECISION_NONE
      || engine->mutant == DP_MUTANT_FORGET_DECISIONS)
    return FALSE;
  if (decision.type == DP_SYN_DECISION_REFUSE)
    {
      dp_actions_add (syn->actions, DP_ACTION_RESET, (DpReason) decision.reason);
      return TRUE;
    }
  member = find_member_ (engine, decision.member);
  if (member == NULL
      || (has_visited_ (&syn->header, member->id)
          && syn->header.best_member != member->id))
    return FALSE;
  if (!has_visited_ (&syn->header, member->id) && syn->header.n_visited == DP_VISITED_MAX)
    {
      dp_actions_add (syn->actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
      return TRUE;
    }
  action = dp_actions_add (syn->actions, DP_ACTION_FORWARD, DP_REASON_NONE);
  set_target_ (engine, action, &syn->header, member);
  return TRUE;
}

static void
store_decision_ (DpFlowEngine *engine,
                 const DpSegment *segment,
                 const DpSynDecision *decision,
                 gint64 now)
{
  dp_syn_decisions_set (engine->decisions, segment, decision, now);
}

/* Accepts the SYN as a new flow, which connects to the server if a slot is free and
 * otherwise waits for one. */
static void
accept_ (Syn *syn)
{
  DpFlowEngine *engine = syn->engine;
  DpTrafficClass class = syn->address->class;
  DpHandle handle = dp_flows_add (engine->flows, &syn->segment->key, syn->segment->hash);
  DpFlow *flow = dp_flows_get (engine->flows, handle);

  if (flow == NULL)
    {
      refuse_ (syn, DP_REASON_TABLE_FULL);
      return;
    }
  flow->client_seq = syn->segment->seq;
  flow->class = (guint8) class;
  flow->held_header = g_memdup2 (&syn->header, sizeof syn->header);
  engine->n_in_class[class]++;
  engine->n_in_state[flow->state]++;
  store_decision_ (engine, syn->segment, &(DpSynDecision){ .type = DP_SYN_DECISION_NONE },
                   syn->now);
  dp_actions_add (syn->actions, DP_ACTION_HOLD, DP_REASON_NONE)->flow = handle;
  if (dp_slots_acquire (engine->slots, class))
    {
      flow->slot_state = DP_SLOT_RESERVED;
      dp_admission_set_state (engine, flow, DP_FLOW_CONNECTING);
      dp_flows_start_timer (engine->flows, handle, DP_TIMER_CONNECT, syn->now);
      dp_flows_start_timer (engine->flows, handle, DP_TIMER_RESERVATION, syn->now);
      dp_actions_add (syn->actions, DP_ACTION_CONNECT, DP_REASON_NONE)->flow = handle;
      return;
    }
  flow->slot_state = DP_SLOT_WAITING;
  flow->ticket = dp_slots_enqueue (engine->slots, handle, class);
  g_assert (flow->ticket != DP_HANDLE_NONE);
  dp_flows_start_timer (engine->flows, handle, DP_TIMER_WAITING, syn->now);
}

static void
forward_ (Syn *syn, const DpMember *member)
{
  DpSynDecision decision = { .type = DP_SYN_DECISION_FORWARD, .member = member->id };
  DpAction *action;

  if (!has_visited_ (&syn->header, member->id) && syn->header.n_visited == DP_VISITED_MAX)
    {
      dp_actions_add (syn->actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
      return;
    }
  store_decision_ (syn->engine, syn->segment, &decision, syn->now);
  action = dp_actions_add (syn->actions, DP_ACTION_FORWARD, DP_REASON_NONE);
  set_target_ (syn->engine, action, &syn->header, member);
}

/* Refuses the SYN with a reset. With DP_REASON_UNSETTLED the SYN is dropped instead, as
 * the reason will soon no longer hold and the client sends the SYN again. */
static void
refuse_ (Syn *syn, DpReason reason)
{
  DpSynDecision decision = { .type = DP_SYN_DECISION_REFUSE, .reason = reason };

  if (reason == DP_REASON_UNSETTLED)
    {
      dp_actions_add (syn->actions, DP_ACTION_DROP, reason);
      return;
    }
  store_decision_ (syn->engine, syn->segment, &decision, syn->now);
  dp_actions_add (syn->actions, DP_ACTION_RESET, reason);
}

/* Offers to accept the SYN: names this member in the header as the best one to return it
 * to, unless a member with the same or a shorter expected wait was visited before. */
static void
offer_to_accept_ (Syn *syn)
{
  gint64 wait = dp_slots_expected_wait (syn->engine->slots, syn->address->class, syn->now)
                / DP_US_PER_MS;
  guint32 wait_ms = (guint32) MIN (wait, G_MAXUINT32);

  if (syn->header.best_member != 0 && syn->header.best_wait_ms <= wait_ms)
    return;
  syn->header.best_member = syn->engine->member_id;
  syn->header.best_wait_ms = wait_ms;
}
