#include "protected/flowengine.h"

#include "private/admission.h"
#include "private/expiry.h"
#include "protected/clock.h"

/* More than the highest connection limit that settings allow. */
#define FLOWS_MAX (1u << 17)
/* Must be shorter than the time after which its watchers remove a silent member. */
#define DISCONNECTED_MAX (2 * DP_US_PER_S)

static int compare_addresses_ (gconstpointer a, gconstpointer b);
static const DpServiceAddress *find_address_ (const DpFlowEngine *acceptance,
                                              const DpAddress *address);
static void update_capacity_ (DpFlowEngine *acceptance);
static gboolean same_members_ (const DpMemberView *a, const DpMemberView *b);
static gboolean same_incarnation_ (const DpFlowEngine *acceptance,
                                   const DpMemberView *a,
                                   const DpMemberView *b);
static gboolean is_active_ (const DpFlowEngine *acceptance, const DpMemberView *view);
static gboolean deliver_ (DpFlowEngine *acceptance,
                          DpHandle handle,
                          const DpSegment *segment,
                          gint64 now,
                          DpActions *actions);

/* Creates the flow engine of one member of a service. It accepts flows once it has
 * addresses, its server is up, and views have listed the member for settle_time. */
DpFlowEngine *
dp_flow_engine_new (const char *service, guint32 member_id)
{
  DpFlowEngine *acceptance = g_new0 (DpFlowEngine, 1);

  acceptance->service_id = dp_service_id (service);
  acceptance->member_id = member_id;
  acceptance->limits = (DpFlowEngineLimits){ .slots = 4,
                                             .connections = 2000,
                                             .visits = 4,
                                             .idle_timeout = 7200 * DP_US_PER_S,
                                             .progress_timeout = 60 * DP_US_PER_S,
                                             .slow_start = 10 * DP_US_PER_S,
                                             .settle_time = 5 * DP_US_PER_S };
  acceptance->addresses = g_array_new (FALSE, FALSE, sizeof (DpServiceAddress));
  acceptance->flows = dp_flows_new (FLOWS_MAX);
  acceptance->slots = dp_slots_new (FLOWS_MAX);
  acceptance->decisions = dp_syn_decisions_new ();
  acceptance->present_since = -1;
  update_capacity_ (acceptance);
  return acceptance;
}

/* Frees the flow engine with all its flows; the caller gets no actions for them. */
void
dp_flow_engine_free (DpFlowEngine *acceptance)
{
  if (acceptance == NULL)
    return;
  g_array_unref (acceptance->addresses);
  dp_candidates_free (acceptance->candidates);
  dp_flows_free (acceptance->flows);
  dp_slots_free (acceptance->slots);
  dp_syn_decisions_free (acceptance->decisions);
  g_free (acceptance);
}

/* Sets the limits. Flows in excess of a lowered limit are kept. */
void
dp_flow_engine_set_limits (DpFlowEngine *acceptance, const DpFlowEngineLimits *limits)
{
  acceptance->limits = *limits;
  update_capacity_ (acceptance);
}

/* Replaces the service's addresses. Flows of a withdrawn address continue. */
void
dp_flow_engine_set_addresses (DpFlowEngine *acceptance,
                              const DpServiceAddress *addresses,
                              guint n_addresses)
{
  g_array_set_size (acceptance->addresses, 0);
  g_array_append_vals (acceptance->addresses, addresses, n_addresses);
  g_array_sort (acceptance->addresses, compare_addresses_);
  acceptance->mixed = FALSE;
  for (guint i = 0; i < n_addresses; i++)
    acceptance->mixed = acceptance->mixed || addresses[i].class != DP_TRAFFIC_BULK;
  update_capacity_ (acceptance);
}

/* Sets the view of the service. A view older than the present one is ignored. */
void
dp_flow_engine_set_view (DpFlowEngine *acceptance, DpMemberView *view, gint64 now)
{
  const DpMemberView *old = NULL;

  g_assert (view->service_id == acceptance->service_id);
  if (acceptance->candidates != NULL)
    old = dp_candidates_view (acceptance->candidates);
  if (old != NULL && old->revision > view->revision)
    return;
  if (old == NULL || !same_members_ (old, view))
    acceptance->changed_at = now;
  if (dp_member_view_find (view, acceptance->member_id) == NULL)
    acceptance->present_since = -1;
  else if (old == NULL || !same_incarnation_ (acceptance, old, view))
    acceptance->present_since = now;
  if (is_active_ (acceptance, view) && (old == NULL || !is_active_ (acceptance, old)))
    acceptance->active_since = now;
  acceptance->dispatch_due = TRUE;
  dp_candidates_free (acceptance->candidates);
  acceptance->candidates = dp_candidates_new (view);
}

/* Sets whether view updates are arriving. A gap of DISCONNECTED_MAX or more counts as a
 * pause, as the others may have removed this member without its knowledge. */
void
dp_flow_engine_set_receiving_views (DpFlowEngine *acceptance,
                                    gboolean connected,
                                    gint64 now)
{
  if (!connected && acceptance->connected)
    acceptance->disconnected_at = now;
  if (connected && !acceptance->connected)
    {
      acceptance->connected_at = now;
      if (now - acceptance->disconnected_at >= DISCONNECTED_MAX)
        dp_flow_engine_resumed (acceptance, now);
    }
  acceptance->connected = connected;
}

/* Reports that the process was paused or got no view updates for a while. Its view may be
 * older than settle_time, and other members may have removed it, so settle_time starts
 * anew. */
void
dp_flow_engine_resumed (DpFlowEngine *acceptance, gint64 now)
{
  acceptance->changed_at = now;
  acceptance->dispatch_due = TRUE;
  if (acceptance->present_since >= 0)
    acceptance->present_since = now;
}

/* Returns whether this member has got no view updates for so long that its watchers may
 * be about to remove it. */
gboolean
dp_admission_isolated (const DpFlowEngine *acceptance, gint64 now)
{
  return !acceptance->connected && now - acceptance->disconnected_at >= DISCONNECTED_MAX;
}

/* Sets whether the backend server accepts connections. */
void
dp_flow_engine_set_server_up (DpFlowEngine *acceptance, gboolean up, gint64 now)
{
  if (up && !acceptance->server_up)
    acceptance->active_since = now;
  acceptance->server_up = up;
  acceptance->dispatch_due = TRUE;
}

/* Sets whether this member is leaving. If so, new flows are forwarded to other members
 * from now on, and SYNs that wait for a slot at the next dp_flow_engine_tick (). */
void
dp_flow_engine_set_leaving (DpFlowEngine *acceptance, gboolean leaving, gint64 now)
{
  acceptance->leaving = leaving;
  acceptance->dispatch_due = TRUE;
}

/* For tests only: makes the flow engine misbehave in one way. */
void
dp_flow_engine_set_mutant (DpFlowEngine *acceptance, DpMutant variant)
{
  acceptance->variant = variant;
}

/* Handles a packet from a balancer or another companion. Adds exactly one action for the
 * packet, and possibly actions for flows. */
void
dp_flow_engine_packet (DpFlowEngine *acceptance,
                       const DpHeader *header,
                       const DpSegment *segment,
                       gint64 now,
                       DpActions *actions)
{
  static const DpServiceAddress foreign = { .class = DP_TRAFFIC_INTERACTIVE };
  gboolean any_service = acceptance->variant == DP_MUTANT_FOREIGN_SERVICE;
  DpHandle handle = dp_flows_find (acceptance->flows, &segment->key, segment->hash);
  const DpServiceAddress *address;

  if (header->service_id != acceptance->service_id && !any_service)
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_WRONG_SERVICE);
      return;
    }
  if (handle != DP_HANDLE_NONE && deliver_ (acceptance, handle, segment, now, actions))
    return;
  address = find_address_ (acceptance, &segment->key.service);
  if (address == NULL && any_service)
    address = &foreign;
  if (address == NULL)
    dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_WRONG_SERVICE);
  else if (dp_segment_opens_flow (segment))
    dp_admission_syn (acceptance, address, header, segment, now, actions);
  else
    dp_admission_walk (acceptance, header, segment, now, actions);
}

/* Reports that the connection to the server that DP_ACTION_CONNECT asked for is open. If
 * this member has joined again meanwhile and is not known everywhere yet, the SYN is
 * forwarded to another member. */
void
dp_flow_engine_server_connected (DpFlowEngine *acceptance,
                                 DpHandle handle,
                                 gint64 now,
                                 DpActions *actions)
{
  DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  if (flow == NULL || flow->state != DP_FLOW_CONNECTING)
    return;
  if (!dp_admission_known_everywhere (acceptance, now))
    {
      dp_admission_pass_held (acceptance, handle, DP_REASON_UNSETTLED, now, actions);
      dp_expiry_dispatch (acceptance, now, actions);
      return;
    }
  g_clear_pointer (&flow->held, g_free);
  dp_admission_set_state (acceptance, flow, DP_FLOW_HALF_OPEN);
  dp_flows_start (acceptance->flows, handle, DP_TIMER_HALF_OPEN, now);
  if (flow->slot == DP_SLOT_RESERVED)
    dp_flows_start (acceptance->flows, handle, DP_TIMER_HANDSHAKE, now);
  dp_actions_add (actions, DP_ACTION_DELIVER_HELD, DP_REASON_NONE)->flow = handle;
  dp_expiry_bound_half_open (acceptance, now, actions);
}

/* Reports that the server can't be reached or that the connection to it failed. A SYN
 * that is still held is forwarded to the next candidate, as the server has received no
 * byte of the flow; otherwise the flow ends. */
void
dp_flow_engine_server_failed (DpFlowEngine *acceptance,
                              DpHandle handle,
                              gint64 now,
                              DpActions *actions)
{
  const DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  if (flow == NULL)
    return;
  if (flow->held != NULL)
    dp_admission_pass_held (acceptance, handle, DP_REASON_NO_SERVER, now, actions);
  else
    dp_expiry_end (acceptance, handle, DP_REASON_NO_SERVER, now, actions);
  dp_expiry_dispatch (acceptance, now, actions);
}

/* Reports that the TCP stack answered the SYN, with this initial sequence number. */
void
dp_flow_engine_syn_answered (DpFlowEngine *acceptance,
                             DpHandle handle,
                             guint32 initial_seq,
                             gint64 now)
{
  DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  if (flow == NULL)
    return;
  flow->initial_seq = initial_seq;
  flow->answered = TRUE;
}

/* Reports that the client completed the handshake. */
void
dp_flow_engine_established (DpFlowEngine *acceptance, DpHandle handle, gint64 now)
{
  DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  if (flow == NULL || flow->state != DP_FLOW_HALF_OPEN)
    return;
  dp_admission_set_state (acceptance, flow, DP_FLOW_ESTABLISHED);
  dp_flows_start (acceptance->flows, handle, DP_TIMER_IDLE, now);
  if (flow->slot == DP_SLOT_RESERVED)
    dp_flows_start (acceptance->flows, handle, DP_TIMER_RESERVATION, now);
}

/* Reports that the client sent request bytes. Returns whether they may be sent to the
 * server at once; otherwise they must wait for DP_ACTION_GRANT. A flow that begins its
 * next request while others wait for a slot queues behind them. */
gboolean
dp_flow_engine_request (DpFlowEngine *acceptance,
                        DpHandle handle,
                        gsize bytes,
                        gint64 now)
{
  DpFlow *flow = dp_flows_get (acceptance->flows, handle);
  DpTrafficClass class;

  if (flow == NULL || flow->state != DP_FLOW_ESTABLISHED)
    return FALSE;
  class = (DpTrafficClass) flow->class;
  dp_flows_start (acceptance->flows, handle, DP_TIMER_IDLE, now);
  if (flow->slot == DP_SLOT_ANSWERING && dp_slots_has_waiting (acceptance->slots, class))
    dp_admission_release_slot (acceptance, handle, now);
  if (flow->slot == DP_SLOT_WAITING)
    return FALSE;
  if (flow->slot == DP_SLOT_NONE && !dp_slots_acquire (acceptance->slots, class))
    {
      flow->slot = DP_SLOT_WAITING;
      flow->ticket = dp_slots_enqueue (acceptance->slots, handle, class);
      return FALSE;
    }
  if (flow->slot == DP_SLOT_NONE || flow->slot == DP_SLOT_RESERVED)
    {
      flow->busy_since = now;
      dp_slots_request_started (acceptance->slots, class, now);
    }
  flow->slot = DP_SLOT_BUSY;
  flow->handed = TRUE;
  dp_flows_start (acceptance->flows, handle, DP_TIMER_SILENT, now);
  return TRUE;
}

/* Reports that the server sent bytes of its answer (0: none) and that the client has not
 * acknowledged unsent bytes of it yet. */
void
dp_flow_engine_response (DpFlowEngine *acceptance,
                         DpHandle handle,
                         gsize bytes,
                         gsize unsent,
                         gint64 now)
{
  DpFlow *flow = dp_flows_get (acceptance->flows, handle);
  gint64 since;

  if (flow == NULL || flow->state != DP_FLOW_ESTABLISHED)
    return;
  dp_flows_start (acceptance->flows, handle, DP_TIMER_IDLE, now);
  if (bytes > 0 && (flow->slot == DP_SLOT_BUSY || flow->slot == DP_SLOT_ANSWERING))
    {
      flow->slot = DP_SLOT_ANSWERING;
      dp_flows_start (acceptance->flows, handle, DP_TIMER_RESPONSE, now);
    }
  if (unsent == 0)
    dp_flows_stop (acceptance->flows, handle, DP_TIMER_GROUP_PROGRESS);
  else if (!dp_flows_running (acceptance->flows, handle, DP_TIMER_PROGRESS, &since))
    dp_flows_start (acceptance->flows, handle, DP_TIMER_PROGRESS, now);
}

/* Reports that the client acknowledged part of the answer. */
void
dp_flow_engine_progress (DpFlowEngine *acceptance, DpHandle handle, gint64 now)
{
  const DpFlow *flow = dp_flows_get (acceptance->flows, handle);
  gint64 since;

  if (flow == NULL || flow->state != DP_FLOW_ESTABLISHED)
    return;
  dp_flows_start (acceptance->flows, handle, DP_TIMER_IDLE, now);
  if (dp_flows_running (acceptance->flows, handle, DP_TIMER_PROGRESS, &since))
    dp_flows_start (acceptance->flows, handle, DP_TIMER_PROGRESS, now);
}

/* Reports that both sides of the flow are closed. */
void
dp_flow_engine_closed (DpFlowEngine *acceptance,
                       DpHandle handle,
                       gint64 now,
                       DpActions *actions)
{
  dp_admission_remove (acceptance, handle, now);
  dp_expiry_dispatch (acceptance, now, actions);
}

/* Ends all flows: refuses held SYNs, silently removes half-open flows and resets the
 * others. */
void
dp_flow_engine_abort_all (DpFlowEngine *acceptance, DpReason reason, DpActions *actions)
{
  DpHandle handle = DP_HANDLE_NONE;

  while ((handle = dp_flows_next (acceptance->flows, handle)) != DP_HANDLE_NONE)
    dp_expiry_end (acceptance, handle, reason, 0, actions);
}

/* Returns the flow with the key, or DP_HANDLE_NONE. */
DpHandle
dp_flow_engine_find (DpFlowEngine *acceptance, const DpFlowKey *key)
{
  return dp_flows_find (acceptance->flows, key, dp_flow_key_hash (key));
}

/* Writes the flow's key to key. Returns FALSE if the handle is stale. */
gboolean
dp_flow_engine_flow_key (DpFlowEngine *acceptance, DpHandle handle, DpFlowKey *key)
{
  const DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  if (flow == NULL)
    return FALSE;
  *key = flow->key;
  return TRUE;
}

/* Returns the flow's class, or the lowest class if the handle is stale. */
DpTrafficClass
dp_flow_engine_flow_class (DpFlowEngine *acceptance, DpHandle handle)
{
  const DpFlow *flow = dp_flows_get (acceptance->flows, handle);

  return flow == NULL ? DP_TRAFFIC_BULK : (DpTrafficClass) flow->class;
}

/* Returns the present load of this member. */
DpFlowEngineLoad
dp_flow_engine_load (DpFlowEngine *acceptance)
{
  DpFlowEngineLoad load = { .flows = dp_flows_count (acceptance->flows),
                            .half_open = acceptance->n_state[DP_FLOW_HALF_OPEN],
                            .slots_busy = dp_slots_busy (acceptance->slots) };

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    load.waiting[i] = dp_slots_waiting (acceptance->slots, (DpTrafficClass) i);
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
find_address_ (const DpFlowEngine *acceptance, const DpAddress *address)
{
  const DpServiceAddress key = { .address = *address };

  if (acceptance->addresses->len == 0)
    return NULL;
  return bsearch (&key, acceptance->addresses->data, acceptance->addresses->len,
                  sizeof (DpServiceAddress), compare_addresses_);
}

static void
update_capacity_ (DpFlowEngine *acceptance)
{
  dp_slots_set_capacity (acceptance->slots, acceptance->limits.slots, acceptance->mixed);
  acceptance->dispatch_due = TRUE;
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
same_incarnation_ (const DpFlowEngine *acceptance,
                   const DpMemberView *a,
                   const DpMemberView *b)
{
  const DpMember *x = dp_member_view_find (a, acceptance->member_id);
  const DpMember *y = dp_member_view_find (b, acceptance->member_id);

  return x != NULL && y != NULL && x->incarnation == y->incarnation;
}

static gboolean
is_active_ (const DpFlowEngine *acceptance, const DpMemberView *view)
{
  const DpMember *member = dp_member_view_find (view, acceptance->member_id);

  return member != NULL && member->state == DP_MEMBER_ACTIVE;
}

/* Handles a packet whose key matches a flow of this member. Returns FALSE if it belongs
 * to the same client's flow at another companion: copies of a SYN can reach two
 * companions, and the client acknowledges the SYN-ACK of only one. */
static gboolean
deliver_ (DpFlowEngine *acceptance,
          DpHandle handle,
          const DpSegment *segment,
          gint64 now,
          DpActions *actions)
{
  const DpFlow *flow = dp_flows_get (acceptance->flows, handle);
  gboolean syn = dp_segment_opens_flow (segment);
  gboolean fits = flow->answered && (segment->flags & DP_TCP_ACK) != 0
                  && segment->ack == flow->initial_seq + 1;

  if (flow->state == DP_FLOW_ESTABLISHED)
    {
      /* An answer to a keepalive probe has no payload and doesn't count as activity. */
      if (segment->payload_length > 0)
        dp_flows_start (acceptance->flows, handle, DP_TIMER_IDLE, now);
    }
  else if (syn && flow->held != NULL)
    {
      dp_actions_add (actions, DP_ACTION_DROP, DP_REASON_ALREADY_HELD)->flow = handle;
      return TRUE;
    }
  else if (!syn && !fits
           && (acceptance->variant != DP_MUTANT_ANY_ACK || flow->held != NULL))
    {
      /* A client that aborts ends the flow here and the one at another companion. */
      if ((segment->flags & DP_TCP_RST) != 0 && segment->seq == flow->client_seq + 1)
        {
          dp_actions_add (actions, DP_ACTION_FORGET, DP_REASON_HALF_OPEN)->flow = handle;
          dp_admission_remove (acceptance, handle, now);
        }
      return FALSE;
    }
  dp_actions_add (actions, DP_ACTION_DELIVER, DP_REASON_NONE)->flow = handle;
  return TRUE;
}
