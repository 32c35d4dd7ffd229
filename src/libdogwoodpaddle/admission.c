#include "private/admission.h"

#include "protected/clock.h"

/* The SYN being decided on, as passed between the steps of dp_admission_syn (). */
typedef struct
{
  DpFlowEngine *acceptance;
  const DpServiceAddress *address;
  const DpSegment *segment;
  DpHeader header; /* this member has been added to the visited ones */
  gint64 now;
  DpActions *actions;
} Syn;

static gboolean has_visited_ (const DpHeader *header, guint32 member);
static gboolean add_self_ (const DpFlowEngine *acceptance, DpHeader *header);
static gboolean was_returned_ (const DpFlowEngine *acceptance, const DpHeader *header);
static const DpMember *find_member_ (const DpFlowEngine *acceptance, guint32 id);
static const DpMember *next_member_ (const DpFlowEngine *acceptance,
                                     const DpHeader *header,
                                     guint64 hash,
                                     DpCandidateSet kind);
static void set_target_ (const DpFlowEngine *acceptance,
                         DpAction *action,
                         const DpHeader *header,
                         const DpMember *member);
static gboolean settled_ (const DpFlowEngine *acceptance, guint64 revision, gint64 now);
static DpReason
hard_limit_ (const DpFlowEngine *acceptance, const DpServiceAddress *address, gint64 now);
static guint visits_ (const DpFlowEngine *acceptance, DpTrafficClass class);
static gboolean in_slow_start_ (const DpFlowEngine *acceptance, guint64 hash, gint64 now);
static gboolean repeat_ (Syn *syn);
static void remember_ (DpFlowEngine *acceptance,
                       const DpSegment *segment,
                       const DpSynDecision *decision,
                       gint64 now);
static void accept_ (Syn *syn);
static void forward_ (Syn *syn, const DpMember *member);
static void refuse_ (Syn *syn, DpReason reason);
static void offer_ (Syn *syn);

/* Accepts, forwards or refuses a SYN of a flow that this companion doesn't have. A SYN
 * that finds no free slot on its way is returned to the visited member with the shortest
 * expected wait. */
void
dp_admission_syn (DpFlowEngine *acceptance,
                  const DpServiceAddress *address,
                  const DpHeader *header,
                  const DpSegment *segment,
                  gint64 now,
                  DpActions *actions)
{
  Syn syn = { acceptance, address, segment, *header, now, actions };
  DpReason reason = hard_limit_ (acceptance, address, now);
  const DpMember *next = NULL;
  const DpMember *best;

  if (was_returned_ (acceptance, header))
    {
      if (reason == DP_REASON_NONE)
        accept_ (&syn);
      else
        refuse_ (&syn, reason);
      return;
    }
  if (!add_self_ (acceptance, &syn.header))
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
      return;
    }
  if (repeat_ (&syn))
    return;
  /* The limit of visits doesn't apply at a member that accepts no new flows. */
  if (syn.header.n_visited < visits_ (acceptance, address->class)
      || !dp_admission_takes_flows (acceptance, now))
    next = next_member_ (acceptance, &syn.header, segment->hash, DP_CANDIDATES_ACTIVE);
  if (reason == DP_REASON_NONE && dp_slots_can_acquire (acceptance->slots, address->class)
      && (next == NULL
          || (!in_slow_start_ (acceptance, segment->hash, now)
              && !dp_admission_isolated (acceptance, now))))
    {
      accept_ (&syn);
      return;
    }
  if (reason == DP_REASON_NONE)
    offer_ (&syn);
  if (next != NULL)
    {
      forward_ (&syn, next);
      return;
    }
  best = find_member_ (acceptance, syn.header.best_member);
  if (best != NULL && best->id != acceptance->member_id)
    forward_ (&syn, best);
  else if (reason == DP_REASON_NONE)
    accept_ (&syn);
  else
    refuse_ (&syn, reason);
}

/* Handles a packet, other than the first SYN, of a flow that this companion doesn't have.
 * Forwards it to the next candidate. When all have been visited, the flow is reset if
 * this member's view is settled; otherwise the packet is dropped. */
void
dp_admission_walk (DpFlowEngine *acceptance,
                   const DpHeader *header,
                   const DpSegment *segment,
                   gint64 now,
                   DpActions *actions)
{
  DpHeader visited = *header;
  const DpMember *next;
  DpAction *action;

  if (!add_self_ (acceptance, &visited))
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
      return;
    }
  next = next_member_ (acceptance, &visited, segment->hash, DP_CANDIDATES_ALL);
  if (next != NULL && visited.n_visited == DP_VISITED_MAX)
    dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_HOP_LIMIT);
  else if (next != NULL)
    {
      action = dp_actions_add (actions, DP_ACTION_FORWARD, DP_REASON_NONE);
      set_target_ (acceptance, action, &visited, next);
    }
  else if (!settled_ (acceptance, header->revision, now))
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
dp_admission_pass_held (DpFlowEngine *acceptance,
                        DpHandle handle,
                        DpReason reason,
                        gint64 now,
                        DpActions *actions)
{
  const DpFlow *flow = dp_flows_get (acceptance->flows, handle);
  DpSegment syn = { .key = flow->key, .seq = flow->client_seq, .flags = DP_TCP_SYN };
  DpHeader header = *flow->held;
  const DpMember *next = NULL;
  DpAction *action;

  syn.hash = dp_flow_key_hash (&syn.key);
  if (!was_returned_ (acceptance, &header) && add_self_ (acceptance, &header))
    {
      if (header.n_visited < DP_VISITED_MAX)
        next = next_member_ (acceptance, &header, syn.hash, DP_CANDIDATES_ACTIVE);
      /* This member's own offer to accept the SYN no longer holds. */
      if (header.best_member == acceptance->member_id)
        header.best_member = 0;
      if (next == NULL)
        next = find_member_ (acceptance, header.best_member);
      /* A header can name a best member that was not visited; a full list has no room
       * for it. */
      if (next != NULL && header.n_visited == DP_VISITED_MAX
          && !has_visited_ (&header, next->id))
        next = NULL;
    }
  if (next != NULL)
    {
      action = dp_actions_add (actions, DP_ACTION_FORWARD_HELD, reason);
      set_target_ (acceptance, action, &header, next);
      remember_ (acceptance, &syn,
                 &(DpSynDecision){ .type = DP_SYN_DECISION_FORWARD, .member = next->id },
                 now);
    }
  else
    {
      action = dp_actions_add (actions, DP_ACTION_REFUSE, reason);
      remember_ (acceptance, &syn,
                 &(DpSynDecision){ .type = DP_SYN_DECISION_REFUSE, .reason = reason },
                 now);
    }
  action->flow = handle;
  dp_admission_remove (acceptance, handle, now);
}

/* Changes the flow's state and the numbers of flows in each state. */
void
dp_admission_set_state (DpFlowEngine *acceptance, DpFlow *flow, DpFlowState state)
{
  acceptance->n_state[flow->state]--;
  flow->state = (guint8) state;
  acceptance->n_state[state]++;
}

/* Removes a flow and releases its slot. */
void
dp_admission_remove (DpFlowEngine *acceptance, DpHandle handle, gint64 now)
{
  const DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  if (flow == NULL)
    return;
  dp_admission_release_slot (acceptance, handle, now);
  acceptance->n_state[flow->state]--;
  acceptance->n_class[flow->class]--;
  dp_flows_remove (acceptance->flows, handle);
}

/* Releases the flow's slot, or removes the flow from the queue for one. */
void
dp_admission_release_slot (DpFlowEngine *acceptance, DpHandle handle, gint64 now)
{
  DpFlow *flow = dp_flows_get (acceptance->flows, handle);
  DpTrafficClass class = (DpTrafficClass) flow->class;
  gint64 end = now;

  if (flow->slot == DP_SLOT_WAITING)
    dp_slots_cancel (acceptance->slots, flow->ticket);
  else if (flow->slot != DP_SLOT_NONE)
    {
      dp_slots_release (acceptance->slots, class);
      acceptance->dispatch_due = TRUE;
    }
  if (flow->slot == DP_SLOT_ANSWERING)
    dp_flows_running (acceptance->flows, handle, DP_TIMER_RESPONSE, &end);
  if (flow->slot == DP_SLOT_ANSWERING || flow->slot == DP_SLOT_BUSY)
    dp_slots_request_ended (acceptance->slots, class, flow->busy_since,
                            MAX (end, flow->busy_since));
  dp_flows_stop (acceptance->flows, handle, DP_TIMER_GROUP_SLOT);
  flow->slot = DP_SLOT_NONE;
}

/* Returns whether this member accepts new flows at present. */
gboolean
dp_admission_takes_flows (const DpFlowEngine *acceptance, gint64 now)
{
  gboolean leaving = acceptance->leaving;

  if (acceptance->variant == DP_MUTANT_ACCEPT_LEAVING)
    leaving = FALSE;
  return !leaving && acceptance->server_up
         && dp_admission_known_everywhere (acceptance, now);
}

/* Returns whether this member has been listed for settle_time, so that every process
 * knows it. If it accepted a flow earlier, a packet of the flow could reach members whose
 * view lacks this one and still counts as settled, and they would reset the flow. */
gboolean
dp_admission_known_everywhere (const DpFlowEngine *acceptance, gint64 now)
{
  if (acceptance->variant == DP_MUTANT_ACCEPT_UNKNOWN)
    return TRUE;
  return acceptance->present_since >= 0
         && now - acceptance->present_since >= acceptance->limits.settle_time;
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
 * it, unless it knew the address as that of a former member with another name. Returns
 * FALSE if the list is full. */
static gboolean
add_self_ (const DpFlowEngine *acceptance, DpHeader *header)
{
  if (has_visited_ (header, acceptance->member_id))
    return TRUE;
  if (header->n_visited == DP_VISITED_MAX)
    return FALSE;
  header->visited[header->n_visited++] = acceptance->member_id;
  return TRUE;
}

/* Returns whether another member returned the SYN to this one, which had forwarded it
 * before. Returning adds no member to the visited ones, so another one is still the
 * last. */
static gboolean
was_returned_ (const DpFlowEngine *acceptance, const DpHeader *header)
{
  return header->n_visited > 0 && header->best_member == acceptance->member_id
         && header->visited[header->n_visited - 1] != acceptance->member_id
         && has_visited_ (header, acceptance->member_id);
}

static const DpMember *
find_member_ (const DpFlowEngine *acceptance, guint32 id)
{
  if (id == 0 || acceptance->candidates == NULL)
    return NULL;
  return dp_member_view_find (dp_candidates_view (acceptance->candidates), id);
}

static const DpMember *
next_member_ (const DpFlowEngine *acceptance,
              const DpHeader *header,
              guint64 hash,
              DpCandidateSet kind)
{
  if (acceptance->candidates == NULL || acceptance->variant == DP_MUTANT_NO_WALK)
    return NULL;
  return dp_candidates_next (acceptance->candidates, hash, kind, header->visited,
                             header->n_visited);
}

/* Sets the action's address and header for sending to a member. The member is added to
 * the visited ones unless it is listed already. */
static void
set_target_ (const DpFlowEngine *acceptance,
             DpAction *action,
             const DpHeader *header,
             const DpMember *member)
{
  guint64 revision = dp_candidates_view (acceptance->candidates)->revision;

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
settled_ (const DpFlowEngine *acceptance, guint64 revision, gint64 now)
{
  gint64 since = MAX (acceptance->changed_at, acceptance->connected_at);

  if (acceptance->variant == DP_MUTANT_RESET_UNSETTLED)
    return TRUE;
  return acceptance->connected && acceptance->candidates != NULL
         && revision <= dp_candidates_view (acceptance->candidates)->revision
         && now - since >= acceptance->limits.settle_time;
}

/* Returns why a new flow of the address can't be accepted even to wait for a slot, or
 * DP_REASON_NONE if it can. */
static DpReason
hard_limit_ (const DpFlowEngine *acceptance, const DpServiceAddress *address, gint64 now)
{
  guint limit = acceptance->limits.connections;

  if (!acceptance->server_up)
    return DP_REASON_NO_SERVER;
  if (acceptance->leaving && acceptance->variant != DP_MUTANT_ACCEPT_LEAVING)
    return DP_REASON_LEAVING;
  if (!dp_admission_known_everywhere (acceptance, now))
    return DP_REASON_UNSETTLED;
  if (dp_flows_count (acceptance->flows) >= limit)
    return DP_REASON_CONNECTIONS;
  if (address->class == DP_TRAFFIC_BULK && acceptance->mixed
      && acceptance->n_class[DP_TRAFFIC_BULK] >= limit / 2)
    return DP_REASON_CONNECTIONS;
  if (dp_slots_expected_wait (acceptance->slots, address->class, now)
      > address->wait_limit)
    return DP_REASON_WAIT_LIMIT;
  return DP_REASON_NONE;
}

/* Returns how many members a SYN visits in search of a free slot. Urgent SYNs visit twice
 * as many: at a busy member they would wait for requests that are already running, and
 * these are not interrupted. */
static guint
visits_ (const DpFlowEngine *acceptance, DpTrafficClass class)
{
  return class == DP_TRAFFIC_URGENT ? 2 * acceptance->limits.visits
                                    : acceptance->limits.visits;
}

/* Returns whether a flow is among those that this member forwards during its slow start.
 * Their share falls linearly from all flows to none. Each member selects different
 * flows. */
static gboolean
in_slow_start_ (const DpFlowEngine *acceptance, guint64 hash, gint64 now)
{
  gint64 left = acceptance->limits.slow_start - (now - acceptance->active_since);
  guint64 mixed = (hash ^ acceptance->member_id)
                  * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);

  if (left <= 0)
    return FALSE;
  return (gint64) (mixed >> 32) * acceptance->limits.slow_start
         < left * ((gint64) G_MAXUINT32 + 1);
}

/* Repeats the decision for an earlier copy of the SYN. Returns FALSE if there is none, or
 * if its target has left the view or was visited by this copy without being its best
 * member. */
static gboolean
repeat_ (Syn *syn)
{
  DpFlowEngine *acceptance = syn->acceptance;
  DpSynDecision decision = dp_syn_decisions_get (acceptance->decisions, syn->segment,
                                                 syn->now);
  const DpMember *member;
  DpAction *action;

  if (decision.type == DP_SYN_DECISION_NONE
      || acceptance->variant == DP_MUTANT_FORGET_DECISIONS)
    return FALSE;
  if (decision.type == DP_SYN_DECISION_REFUSE)
    {
      dp_actions_add (syn->actions, DP_ACTION_RESET, (DpReason) decision.reason);
      return TRUE;
    }
  member = find_member_ (acceptance, decision.member);
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
  set_target_ (acceptance, action, &syn->header, member);
  return TRUE;
}

static void
remember_ (DpFlowEngine *acceptance,
           const DpSegment *segment,
           const DpSynDecision *decision,
           gint64 now)
{
  dp_syn_decisions_set (acceptance->decisions, segment, decision, now);
}

/* Accepts the SYN as a new flow, which connects to the server if a slot is free and
 * otherwise waits for one. */
static void
accept_ (Syn *syn)
{
  DpFlowEngine *acceptance = syn->acceptance;
  DpTrafficClass class = syn->address->class;
  DpHandle handle = dp_flows_add (acceptance->flows, &syn->segment->key,
                                  syn->segment->hash);
  DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  if (flow == NULL)
    {
      refuse_ (syn, DP_REASON_TABLE_FULL);
      return;
    }
  flow->client_seq = syn->segment->seq;
  flow->class = (guint8) class;
  flow->held = g_memdup2 (&syn->header, sizeof syn->header);
  acceptance->n_class[class]++;
  acceptance->n_state[flow->state]++;
  remember_ (acceptance, syn->segment, &(DpSynDecision){ .type = DP_SYN_DECISION_NONE },
             syn->now);
  dp_actions_add (syn->actions, DP_ACTION_HOLD, DP_REASON_NONE)->flow = handle;
  if (dp_slots_acquire (acceptance->slots, class))
    {
      flow->slot = DP_SLOT_RESERVED;
      dp_admission_set_state (acceptance, flow, DP_FLOW_CONNECTING);
      dp_flows_start (acceptance->flows, handle, DP_TIMER_CONNECT, syn->now);
      dp_flows_start (acceptance->flows, handle, DP_TIMER_RESERVATION, syn->now);
      dp_actions_add (syn->actions, DP_ACTION_CONNECT, DP_REASON_NONE)->flow = handle;
      return;
    }
  flow->slot = DP_SLOT_WAITING;
  flow->ticket = dp_slots_enqueue (acceptance->slots, handle, class);
  g_assert (flow->ticket != DP_HANDLE_NONE);
  dp_flows_start (acceptance->flows, handle, DP_TIMER_WAITING, syn->now);
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
  remember_ (syn->acceptance, syn->segment, &decision, syn->now);
  action = dp_actions_add (syn->actions, DP_ACTION_FORWARD, DP_REASON_NONE);
  set_target_ (syn->acceptance, action, &syn->header, member);
}

/* Refuses the SYN with a reset. DP_REASON_UNSETTLED will soon no longer hold, so the SYN
 * is then dropped and the client sends it again. */
static void
refuse_ (Syn *syn, DpReason reason)
{
  DpSynDecision decision = { .type = DP_SYN_DECISION_REFUSE, .reason = reason };

  if (reason == DP_REASON_UNSETTLED)
    {
      dp_actions_add (syn->actions, DP_ACTION_DROP, reason);
      return;
    }
  remember_ (syn->acceptance, syn->segment, &decision, syn->now);
  dp_actions_add (syn->actions, DP_ACTION_RESET, reason);
}

/* Offers to accept the SYN: makes this member its best one, to which it may be returned,
 * unless a member with the same or a shorter expected wait was visited before. */
static void
offer_ (Syn *syn)
{
  gint64 wait = dp_slots_expected_wait (syn->acceptance->slots, syn->address->class,
                                        syn->now)
                / DP_US_PER_MS;
  guint32 wait_ms = (guint32) MIN (wait, G_MAXUINT32);

  if (syn->header.best_member != 0 && syn->header.best_wait_ms <= wait_ms)
    return;
  syn->header.best_member = syn->acceptance->member_id;
  syn->header.best_wait_ms = wait_ms;
}
