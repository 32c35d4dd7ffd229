#include "protected/flowengine.h"

#include "private/admission.h"
#include "private/expiry.h"
#include "protected/clock.h"

/* More than the highest connection limit that settings allow. */
#define FLOWS_MAX (1u << 17)
/* A gap in the view updates that is at least this long counts as a pause. Must be shorter
 * than the time after which a silent member's watchers remove it. */
#define VIEW_GAP_MAX (2 * DP_US_PER_S)

static int compare_addresses_ (gconstpointer a, gconstpointer b);
static const DpServiceAddress *find_address_ (const DpFlowEngine *engine,
                                              const DpAddress *address);
static void update_capacity_ (DpFlowEngine *engine);
static gboolean same_members_ (const DpMemberView *a, const DpMemberView *b);
static gboolean same_incarnation_ (const DpFlowEngine *engine,
                                   const DpMemberView *a,
                                   const DpMemberView *b);
static gboolean is_active_ (const DpFlowEngine *engine, const DpMemberView *view);
static gboolean handle_known_flow_ (DpFlowEngine *engine,
                                    DpHandle handle,
                                    const DpSegment *segment,
                                    gint64 now,
                                    DpActions *actions);

/* Creates the flow engine of one member of a service. It accepts flows once it has
 * addresses, its server is up, and views have listed the member for settle_time. */
DpFlowEngine *
dp_flow_engine_new (const char *service, guint32 member_id)
{
  DpFlowEngine *engine = g_new0 (DpFlowEngine, 1);

  engine->service_id = dp_service_id (service);
  engine->member_id = member_id;
  engine->limits = (DpFlowEngineLimits){ .slots = 4,
                                         .connections = 2000,
                                         .visits = 4,
                                         .idle_timeout = 7200 * DP_US_PER_S,
                                         .progress_timeout = 60 * DP_US_PER_S,
                                         .slow_start = 10 * DP_US_PER_S,
                                         .settle_time = 5 * DP_US_PER_S };
  engine->addresses = g_array_new (FALSE, FALSE, sizeof (DpServiceAddress));
  engine->flows = dp_flows_new (FLOWS_MAX);
  engine->slots = dp_slots_new (FLOWS_MAX);
  engine->decisions = dp_syn_decisions_new ();
  engine->listed_since = -1;
  update_capacity_ (engine);
  return engine;
}

/* Frees the flow engine with all its flows; the caller gets no actions for them. */
void
dp_flow_engine_free (DpFlowEngine *engine)
{
  if (engine == NULL)
    return;
  g_array_unref (engine->addresses);
  dp_candidates_free (engine->candidates);
  dp_flows_free (engine->flows);
  dp_slots_free (engine->slots);
  dp_syn_decisions_free (engine->decisions);
  g_free (engine);
}

/* Sets the limits. Flows in excess of a lowered limit are kept. */
void
dp_flow_engine_set_limits (DpFlowEngine *engine, const DpFlowEngineLimits *limits)
{
  engine->limits = *limits;
  update_capacity_ (engine);
}

/* Replaces the service's addresses. Flows of a withdrawn address continue. */
void
dp_flow_engine_set_addresses (DpFlowEngine *engine,
                              const DpServiceAddress *addresses,
                              guint n_addresses)
{
  g_array_set_size (engine->addresses, 0);
  g_array_append_vals (engine->addresses, addresses, n_addresses);
  g_array_sort (engine->addresses, compare_addresses_);
  engine->has_non_bulk = FALSE;
  for (guint i = 0; i < n_addresses; i++)
    engine->has_non_bulk = engine->has_non_bulk || addresses[i].class != DP_TRAFFIC_BULK;
  update_capacity_ (engine);
}

/* Sets the view of the service. A view older than the present one is ignored. */
void
dp_flow_engine_set_view (DpFlowEngine *engine, DpMemberView *view, gint64 now)
{
  const DpMemberView *old = NULL;

  g_assert (view->service_id == engine->service_id);
  if (engine->candidates != NULL)
    old = dp_candidates_view (engine->candidates);
  if (old != NULL && old->revision > view->revision)
    return;
  if (old == NULL || !same_members_ (old, view))
    engine->members_changed_at = now;
  if (dp_member_view_find (view, engine->member_id) == NULL)
    engine->listed_since = -1;
  else if (old == NULL || !same_incarnation_ (engine, old, view))
    engine->listed_since = now;
  if (is_active_ (engine, view) && (old == NULL || !is_active_ (engine, old)))
    engine->slow_start_at = now;
  engine->dispatch_due = TRUE;
  dp_candidates_free (engine->candidates);
  engine->candidates = dp_candidates_new (view);
}

/* Sets whether view updates are arriving. A gap of VIEW_GAP_MAX or more counts as a
 * pause, as other members may have removed this one without its knowledge. */
void
dp_flow_engine_set_receiving_views (DpFlowEngine *engine, gboolean receiving, gint64 now)
{
  if (!receiving && engine->receiving_views)
    engine->views_stopped_at = now;
  if (receiving && !engine->receiving_views)
    {
      engine->views_resumed_at = now;
      if (now - engine->views_stopped_at >= VIEW_GAP_MAX)
        dp_flow_engine_resumed (engine, now);
    }
  engine->receiving_views = receiving;
}

/* Reports that the process was paused or got no view updates for a while. Its view may be
 * older than settle_time, and other members may have removed it, so settle_time starts
 * anew. */
void
dp_flow_engine_resumed (DpFlowEngine *engine, gint64 now)
{
  engine->members_changed_at = now;
  engine->dispatch_due = TRUE;
  if (engine->listed_since >= 0)
    engine->listed_since = now;
}

/* Returns whether this member has got no view updates for so long that its watchers may
 * be about to remove it. */
gboolean
dp_admission_isolated (const DpFlowEngine *engine, gint64 now)
{
  return !engine->receiving_views && now - engine->views_stopped_at >= VIEW_GAP_MAX;
}

/* Sets whether the backend server accepts connections. */
void
dp_flow_engine_set_server_up (DpFlowEngine *engine, gboolean up, gint64 now)
{
  if (up && !engine->server_up)
    engine->slow_start_at = now;
  engine->server_up = up;
  engine->dispatch_due = TRUE;
}

/* Sets whether this member is leaving. If so, new flows are forwarded to other members
 * from now on, and SYNs that wait for a slot at the next dp_flow_engine_tick (). */
void
dp_flow_engine_set_leaving (DpFlowEngine *engine, gboolean leaving, gint64 now)
{
  engine->leaving = leaving;
  engine->dispatch_due = TRUE;
}

/* For tests only: makes the flow engine misbehave in one way. */
void
dp_flow_engine_set_mutant (DpFlowEngine *engine, DpMutant mutant)
{
  engine->mutant = mutant;
}

/* Handles a packet from a balancer or another companion. Adds exactly one action for the
 * packet, and possibly actions for flows. */
void
dp_flow_engine_packet (DpFlowEngine *engine,
                       const DpHeader *header,
                       const DpSegment *segment,
                       gint64 now,
                       DpActions *actions)
{
  static const DpServiceAddress any_address = { .class = DP_TRAFFIC_INTERACTIVE };
  gboolean accept_any_service = engine->mutant == DP_MUTANT_FOREIGN_SERVICE;
  DpHandle handle = dp_flows_find (engine->flows, &segment->key, segment->hash);
  const DpServiceAddress *address;

  if (header->service_id != engine->service_id && !accept_any_service)
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_WRONG_SERVICE);
      return;
    }
  if (handle != DP_HANDLE_NONE
      && handle_known_flow_ (engine, handle, segment, now, actions))
    return;
  address = find_address_ (engine, &segment->key.service);
  if (address == NULL && accept_any_service)
    address = &any_address;
  if (address == NULL)
    dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_WRONG_SERVICE);
  else if (dp_segment_opens_flow (segment))
    dp_admission_syn (engine, address, header, segment, now, actions);
  else
    dp_admission_unknown_flow (engine, header, segment, now, actions);
}

/* Reports that the connection to the server that DP_ACTION_CONNECT asked for is open. If
 * this member has joined again meanwhile and is not known everywhere yet, the SYN is
 * forwarded to another member. */
void
dp_flow_engine_server_connected (DpFlowEngine *engine,
                                 DpHandle handle,
                                 gint64 now,
                                 DpActions *actions)
{
  DpFlow *flow = dp_flows_get (engine->flows, handle);

  if (flow == NULL || flow->state != DP_FLOW_CONNECTING)
    return;
  if (!dp_admission_known_everywhere (engine, now))
    {
      dp_admission_forward_held (engine, handle, DP_REASON_UNSETTLED, now, actions);
      dp_expiry_dispatch (engine, now, actions);
      return;
    }
  g_clear_pointer (&flow->held_header, g_free);
  dp_admission_set_state (engine, flow, DP_FLOW_HALF_OPEN);
  dp_flows_start_timer (engine->flows, handle, DP_TIMER_HALF_OPEN, now);
  if (flow->slot_state == DP_SLOT_RESERVED)
    dp_flows_start_timer (engine->flows, handle, DP_TIMER_HANDSHAKE, now);
  dp_actions_add (actions, DP_ACTION_DELIVER_HELD, DP_REASON_NONE)->flow = handle;
  dp_expiry_limit_half_open (engine, now, actions);
}

/* Reports that the server can't be reached or that the connection to it failed. A SYN
 * that is still held is forwarded to the next candidate, as the server has received no
 * byte of the flow; otherwise the flow ends. */
void
dp_flow_engine_server_failed (DpFlowEngine *engine,
                              DpHandle handle,
                              gint64 now,
                              DpActions *actions)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);

  if (flow == NULL)
    return;
  if (flow->held_header != NULL)
    dp_admission_forward_held (engine, handle, DP_REASON_NO_SERVER, now, actions);
  else
    dp_expiry_end (engine, handle, DP_REASON_NO_SERVER, now, actions);
  dp_expiry_dispatch (engine, now, actions);
}

/* Reports that the TCP stack answered the SYN, with this initial sequence number. */
void
dp_flow_engine_syn_answered (DpFlowEngine *engine,
                             DpHandle handle,
                             guint32 initial_seq,
                             gint64 now)
{
  DpFlow *flow = dp_flows_get (engine->flows, handle);

  if (flow == NULL)
    return;
  flow->initial_seq = initial_seq;
  flow->syn_answered = TRUE;
}

/* Reports that the client completed the handshake. */
void
dp_flow_engine_established (DpFlowEngine *engine, DpHandle handle, gint64 now)
{
  DpFlow *flow = dp_flows_get (engine->flows, handle);

  if (flow == NULL || flow->state != DP_FLOW_HALF_OPEN)
    return;
  dp_admission_set_state (engine, flow, DP_FLOW_ESTABLISHED);
  dp_flows_start_timer (engine->flows, handle, DP_TIMER_IDLE, now);
  if (flow->slot_state == DP_SLOT_RESERVED)
    dp_flows_start_timer (engine->flows, handle, DP_TIMER_RESERVATION, now);
}

/* Reports that the client sent request bytes. Returns whether they may be sent to the
 * server at once; otherwise they must wait for DP_ACTION_GRANT. A flow that begins its
 * next request while others wait for a slot queues behind them. */
gboolean
dp_flow_engine_request (DpFlowEngine *engine, DpHandle handle, gsize bytes, gint64 now)
{
  DpFlow *flow = dp_flows_get (engine->flows, handle);
  DpTrafficClass class;

  if (flow == NULL || flow->state != DP_FLOW_ESTABLISHED)
    return FALSE;
  class = (DpTrafficClass) flow->class;
  dp_flows_start_timer (engine->flows, handle, DP_TIMER_IDLE, now);
  if (flow->slot_state == DP_SLOT_ANSWERING
      && dp_slots_has_waiting (engine->slots, class))
    dp_admission_release_slot (engine, handle, now);
  if (flow->slot_state == DP_SLOT_WAITING)
    return FALSE;
  if (flow->slot_state == DP_SLOT_NONE && !dp_slots_acquire (engine->slots, class))
    {
      flow->slot_state = DP_SLOT_WAITING;
      flow->ticket = dp_slots_enqueue (engine->slots, handle, class);
      return FALSE;
    }
  if (flow->slot_state == DP_SLOT_NONE || flow->slot_state == DP_SLOT_RESERVED)
    {
      flow->busy_since = now;
      dp_slots_request_started (engine->slots, class, now);
    }
  flow->slot_state = DP_SLOT_BUSY;
  flow->request_sent = TRUE;
  dp_flows_start_timer (engine->flows, handle, DP_TIMER_NO_ANSWER, now);
  return TRUE;
}

/* Reports that the server sent this many more bytes of its answer (0: none), and how many
 * of the bytes sent so far the client has not acknowledged yet (unsent). */
void
dp_flow_engine_response (DpFlowEngine *engine,
                         DpHandle handle,
                         gsize bytes,
                         gsize unsent,
                         gint64 now)
{
  DpFlow *flow = dp_flows_get (engine->flows, handle);
  gint64 since;

  if (flow == NULL || flow->state != DP_FLOW_ESTABLISHED)
    return;
  dp_flows_start_timer (engine->flows, handle, DP_TIMER_IDLE, now);
  if (bytes > 0
      && (flow->slot_state == DP_SLOT_BUSY || flow->slot_state == DP_SLOT_ANSWERING))
    {
      flow->slot_state = DP_SLOT_ANSWERING;
      dp_flows_start_timer (engine->flows, handle, DP_TIMER_RESPONSE, now);
    }
  if (unsent == 0)
    dp_flows_stop_timer (engine->flows, handle, DP_TIMER_GROUP_PROGRESS);
  else if (!dp_flows_timer_running (engine->flows, handle, DP_TIMER_PROGRESS, &since))
    dp_flows_start_timer (engine->flows, handle, DP_TIMER_PROGRESS, now);
}

/* Reports that the client acknowledged part of the answer. */
void
dp_flow_engine_progress (DpFlowEngine *engine, DpHandle handle, gint64 now)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);
  gint64 since;

  if (flow == NULL || flow->state != DP_FLOW_ESTABLISHED)
    return;
  dp_flows_start_timer (engine->flows, handle, DP_TIMER_IDLE, now);
  if (dp_flows_timer_running (engine->flows, handle, DP_TIMER_PROGRESS, &since))
    dp_flows_start_timer (engine->flows, handle, DP_TIMER_PROGRESS, now);
}

/* Reports that both sides of the flow are closed. */
void
dp_flow_engine_closed (DpFlowEngine *engine,
                       DpHandle handle,
                       gint64 now,
                       DpActions *actions)
{
  dp_admission_remove (engine, handle, now);
  dp_expiry_dispatch (engine, now, actions);
}

/* Ends all flows: refuses held SYNs, silently removes half-open flows and resets the
 * others. */
void
dp_flow_engine_abort_all (DpFlowEngine *engine, DpReason reason, DpActions *actions)
{
  DpHandle handle = DP_HANDLE_NONE;

  while ((handle = dp_flows_next (engine->flows, handle)) != DP_HANDLE_NONE)
    dp_expiry_end (engine, handle, reason, 0, actions);
}

/* Returns the flow with the key, or DP_HANDLE_NONE. */
DpHandle
dp_flow_engine_find (DpFlowEngine *engine, const DpFlowKey *key)
{
  return dp_flows_find (engine->flows, key, dp_flow_key_hash (key));
}

/* Writes the flow's key to key. Returns FALSE if the handle is stale. */
gboolean
dp_flow_engine_flow_key (DpFlowEngine *engine, DpHandle handle, DpFlowKey *key)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);

  if (flow == NULL)
    return FALSE;
  *key = flow->key;
  return TRUE;
}

/* Returns the flow's class, or the lowest class if the handle is stale. */
DpTrafficClass
dp_flow_engine_flow_class (DpFlowEngine *engine, DpHandle handle)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);

  return flow == NULL ? DP_TRAFFIC_BULK : (DpTrafficClass) flow->class;
}

/* Returns the present load of this member. */
DpFlowEngineLoad
dp_flow_engine_load (DpFlowEngine *engine)
{
  DpFlowEngineLoad load = { .flows = dp_flows_count (engine->flows),
                            .half_open = engine->n_in_state[DP_FLOW_HALF_OPEN],
                            .slots_busy = dp_slots_busy (engine->slots) };

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    load.waiting[i] = dp_slots_waiting (engine->slots, (DpTrafficClass) i);
  return load;
}

static int
compare_addresses_ (gconstpointer a, gconstpointer b)
{
  const DpAddress *x = &((const DpServiceAddress *) a)->address;
  const DpAddress *y = &((const DpServiceAddress *) b)->address;
  guint64 x_key = (guint64) x->ip << 16 | x->port;
  guint64 y_key = (guint64) y->ip << 16 | y->port;

  return (x_key > y_key) - (x_key < y_key);
}

static const DpServiceAddress *
find_address_ (const DpFlowEngine *engine, const DpAddress *address)
{
  const DpServiceAddress key = { .address = *address };

  if (engine->addresses->len == 0)
    return NULL;
  return bsearch (&key, engine->addresses->data, engine->addresses->len,
                  sizeof (DpServiceAddress), compare_addresses_);
}

static void
update_capacity_ (DpFlowEngine *engine)
{
  dp_slots_set_capacity (engine->slots, engine->limits.slots, engine->has_non_bulk);
  engine->dispatch_due = TRUE;
}

/* Returns whether the views agree in everything that decisions about flows depend on. */
static gboolean
same_members_ (const DpMemberView *a, const DpMemberView *b)
{
  if (a->n_members != b->n_members)
    return FALSE;
  for (guint i = 0; i < a->n_members; i++)
    {
      const DpMember *x = &a->members[i];
      const DpMember *y = &b->members[i];

      if (x->id != y->id || x->incarnation != y->incarnation || x->slots != y->slots
          || x->state != y->state || !dp_address_equal (&x->address, &y->address))
        return FALSE;
    }
  return TRUE;
}

/* Returns whether both views list this member and it did not join again in between. */
static gboolean
same_incarnation_ (const DpFlowEngine *engine,
                   const DpMemberView *a,
                   const DpMemberView *b)
{
  const DpMember *x = dp_member_view_find (a, engine->member_id);
  const DpMember *y = dp_member_view_find (b, engine->member_id);

  return x != NULL && y != NULL && x->incarnation == y->incarnation;
}

static gboolean
is_active_ (const DpFlowEngine *engine, const DpMemberView *view)
{
  const DpMember *member = dp_member_view_find (view, engine->member_id);

  return member != NULL && member->state == DP_MEMBER_ACTIVE;
}

/* Handles a packet whose key matches a flow of this member. Returns FALSE if it belongs
 * to the same client's flow at another companion: copies of a SYN can reach two
 * companions, and the client acknowledges the SYN-ACK of only one. */
static gboolean
handle_known_flow_ (DpFlowEngine *engine,
                    DpHandle handle,
                    const DpSegment *segment,
                    gint64 now,
                    DpActions *actions)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);
  gboolean syn = dp_segment_opens_flow (segment);
  gboolean acks_syn_ack = flow->syn_answered && (segment->flags & DP_TCP_ACK) != 0
                          && segment->ack == flow->initial_seq + 1;

  if (flow->state == DP_FLOW_ESTABLISHED)
    {
      /* An answer to a keepalive probe has no payload and doesn't count as activity. */
      if (segment->payload_length > 0)
        dp_flows_start_timer (engine->flows, handle, DP_TIMER_IDLE, now);
    }
  else if (syn && flow->held_header != NULL)
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_ALREADY_HELD)->flow = handle;
      return TRUE;
    }
  else if (!syn && !acks_syn_ack
           && (engine->mutant != DP_MUTANT_ANY_ACK || flow->held_header != NULL))
    {
      /* The client's reset ends this flow and is then forwarded, as another companion may
       * have a flow for the same SYN. */
      if ((segment->flags & DP_TCP_RST) != 0 && segment->seq == flow->client_seq + 1)
        {
          dp_actions_add (actions, DP_ACTION_FORGET, DP_REASON_HALF_OPEN)->flow = handle;
          dp_admission_remove (engine, handle, now);
        }
      return FALSE;
    }
  dp_actions_add (actions, DP_ACTION_DELIVER, DP_REASON_NONE)->flow = handle;
  return TRUE;
}
