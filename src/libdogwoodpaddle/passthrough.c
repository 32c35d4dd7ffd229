#include "protected/passthrough.h"

#include "private/passflows.h"
#include "protected/clock.h"

/* A client gives up an unanswered SYN after 1.4 s, or at its deadline. The rest is for
 * the packets on their way. */
#define SYN_LIFE_US (1350 * DP_US_PER_MS)
/* Part of a client's deadline that is left to the server's work when a SYN has waited as
 * long as it may: 125 ms of the shortest deadline of today, 1 s, several times the mean
 * service time of any class. */
#define WORK_SHARE 8
/* A late flow waits only if its turn is expected in this part of the time that it has,
 * since newcomers that can be served in time go first. */
#define LATE_SHARE 2
/* Between two searches for flows that wait in vain. */
#define REVIEW_US (100 * DP_US_PER_MS)
/* Members report every 100 to 400 ms, and lists are sent at most every 250 ms. */
#define GATHER_US (1500 * DP_US_PER_MS)
/* A server answers a SYN within a millisecond unless it is frozen or gone. */
#define SILENT_US (150 * DP_US_PER_MS)
/* SYNs without an answer until the server counts as silent; one may be lost. */
#define SILENT_SYNS 2
/* Clients send copies of a SYN after 200 and 600 ms. */
#define LAST_COPY_MS 600
/* Data that the server sends again comes 200 ms after the first time; packets that merely
 * overtook each other are closer. */
#define REPEATED_US (150 * DP_US_PER_MS)

struct _DpPassthrough
{
  guint32 service_tag;
  guint32 member_id;
  DpPassLimits limits;
  DpCandidates *candidates; /* NULL: no view yet */
  DpPassFlows *flows;
  gboolean serving;
  gboolean relocating; /* late flows may go to members that were not known before */
  gint64 reviewed_at;  /* us, last search for flows that wait in vain */
  gboolean complete;   /* every flow of the server is known */
  gint64 started_at;   /* us, since when flows have been seen */
  gint64 created_at;   /* us */
  guint unanswered;    /* SYNs since the server's last packet */
  gint64 silent_from;  /* us of the first of them */
};

static const char *const action_strings_[] = { "to_server", "to_client", "to_member",
                                               "reset",     "hold",      "drop" };

static const char *const reason_strings_[] = {
  "owned",      "asked",         "searching", "busy",      "not_serving",   "failing",
  "returned",   "passed_before", "waiting",   "late",      "expired",       "gathering",
  "overloaded", "repeated",      "lost",      "not_found", "wrong_service", "unexpected"
};

G_STATIC_ASSERT (G_N_ELEMENTS (action_strings_) == DP_N_PASS_ACTIONS);
G_STATIC_ASSERT (G_N_ELEMENTS (reason_strings_) == DP_N_PASS_REASONS);

static DpPassFlow *
add_ (DpPassthrough *passthrough, const DpSegment *segment, gint64 now);
static DpPassDecision
decide_ (DpPassAction action, DpPassReason reason, const DpHop *hop);
static DpPassDecision take_syn_ (DpPassthrough *passthrough,
                                 const DpSegment *segment,
                                 const DpHop *hop,
                                 gint64 now);
static DpPassDecision place_ (DpPassthrough *passthrough,
                              const DpSegment *segment,
                              const DpHop *hop,
                              gboolean around,
                              gint64 now);
static DpPassDecision offer_or_wait_ (DpPassthrough *passthrough,
                                      const DpSegment *segment,
                                      const DpHop *hop,
                                      gint64 now);
static DpPassDecision wait_ (DpPassthrough *passthrough,
                             const DpSegment *segment,
                             const DpHop *hop,
                             gboolean late,
                             gint64 now);
static gint64 useful_wait_ (const DpSegment *segment, const DpHop *hop);
static DpHop hop_after_wait_ (const DpPassFlow *flow, gint64 now);
static DpPassFlow *
next_in_vain_ (DpPassthrough *passthrough, gboolean serving, gint64 now);
static DpPassDecision
end_wait_ (DpPassthrough *passthrough, DpPassFlow *flow, gboolean serving, gint64 now);
static DpPassDecision
reject_ (const DpPassthrough *passthrough, const DpHop *hop, gint64 now);
static void offer_ (DpPassthrough *passthrough, DpPassFlow *flow, gint64 now);
static DpPassFlow *add_new_flow_ (DpPassthrough *passthrough,
                                  const DpSegment *segment,
                                  const DpHop *hop,
                                  DpPassFlowState state,
                                  gint64 now);
static gboolean is_serving_ (const DpPassthrough *passthrough, gint64 now);
static DpPassDecision pass_new_flow_ (DpPassthrough *passthrough,
                                      const DpSegment *segment,
                                      const DpHop *hop,
                                      const DpMember *next,
                                      DpPassReason reason,
                                      gint64 now);
static DpPassDecision pass_or_reject_ (DpPassthrough *passthrough,
                                       const DpSegment *segment,
                                       const DpHop *hop,
                                       DpPassReason passed,
                                       DpPassReason rejected,
                                       gint64 now);
static const DpMember *next_for_new_flow_ (DpPassthrough *passthrough,
                                           guint64 hash,
                                           guint visited,
                                           gboolean *near);
static DpPassDecision search_ (DpPassthrough *passthrough,
                               const DpSegment *segment,
                               const DpHop *hop,
                               DpPassReason reason);
static DpPassDecision
to_member_ (const DpAddress *member, DpPassReason reason, const DpHop *hop);
static DpPassDecision take_client_packet_ (DpPassthrough *passthrough,
                                           DpPassFlow *flow,
                                           const DpSegment *segment,
                                           const DpHop *hop,
                                           gint64 now);
static void note_client_packet_ (DpPassthrough *passthrough,
                                 DpPassFlow *flow,
                                 const DpSegment *segment,
                                 gint64 now);
static gboolean note_answer_ (DpPassFlow *flow, const DpSegment *segment, gint64 now);
static gboolean knows_all_ (const DpPassthrough *passthrough, gint64 now);

/* Creates the decisions of a member that serves nothing yet. */
DpPassthrough *
dp_passthrough_new (const char *service, const char *member, gint64 now)
{
  DpPassthrough *passthrough = g_new0 (DpPassthrough, 1);

  passthrough->service_tag = dp_service_tag (dp_service_id (service));
  passthrough->member_id = dp_member_id (member);
  passthrough->limits = (DpPassLimits){ 1, 60 * DP_US_PER_S };
  passthrough->flows = dp_pass_flows_new (passthrough->limits.flow_ttl);
  passthrough->started_at = now;
  passthrough->created_at = now;
  return passthrough;
}

/* Frees it. */
void
dp_passthrough_free (DpPassthrough *passthrough)
{
  if (passthrough == NULL)
    return;
  dp_candidates_free (passthrough->candidates);
  dp_pass_flows_free (passthrough->flows);
  g_free (passthrough);
}

/* Sets the limits of this companion's server. */
void
dp_passthrough_set_limits (DpPassthrough *passthrough, const DpPassLimits *limits)
{
  passthrough->limits = *limits;
  dp_pass_flows_set_limits (passthrough->flows, limits->slots, limits->flow_ttl);
}

/* Sets where times are counted. */
void
dp_passthrough_set_times (DpPassthrough *passthrough, const DpPassTimes *times)
{
  passthrough->flows->times = *times;
}

/* Sets the members among which flows are passed on. */
void
dp_passthrough_set_view (DpPassthrough *passthrough, DpView *view)
{
  dp_candidates_free (passthrough->candidates);
  passthrough->candidates = dp_candidates_new (view);
  passthrough->relocating = TRUE;
}

/* Sets whether new flows are offered to the server. */
void
dp_passthrough_set_serving (DpPassthrough *passthrough, gboolean serving)
{
  passthrough->serving = serving;
}

/* Notes that the server holds no flow but those that will be seen from now on. */
void
dp_passthrough_server_started (DpPassthrough *passthrough)
{
  passthrough->complete = TRUE;
  passthrough->unanswered = 0;
  dp_pass_flows_abandon_all (passthrough->flows);
  dp_server_health_restarted (passthrough->flows->health);
}

/* Decides about a client's packet from a balancer or another member. */
DpPassDecision
dp_passthrough_from_peer (DpPassthrough *passthrough,
                          const DpSegment *segment,
                          const DpHop *hop,
                          gint64 now)
{
  DpPassFlow *flow;

  if (hop->service_tag != passthrough->service_tag || hop->class >= DP_N_CLASSES)
    return decide_ (DP_PASS_DROP, DP_PASS_WRONG_SERVICE, hop);
  if ((segment->flags & (DP_TCP_SYN | DP_TCP_ACK)) == (DP_TCP_SYN | DP_TCP_ACK))
    return decide_ (DP_PASS_DROP, DP_PASS_UNEXPECTED, hop);
  if (dp_segment_opens_flow (segment))
    return take_syn_ (passthrough, segment, hop, now);
  flow = dp_pass_flows_find (passthrough->flows, segment);
  if (flow != NULL)
    return take_client_packet_ (passthrough, flow, segment, hop, now);
  if (knows_all_ (passthrough, now))
    return search_ (passthrough, segment, hop, DP_PASS_SEARCHING);
  return decide_ (DP_PASS_TO_SERVER, DP_PASS_ASKED, hop);
}

/* Decides about a client's packet that the server gave back. */
DpPassDecision
dp_passthrough_returned (DpPassthrough *passthrough,
                         const DpSegment *segment,
                         const DpHop *returned,
                         gint64 now)
{
  DpPassFlow *flow = dp_pass_flows_find (passthrough->flows, segment);
  DpHop hop = *returned;

  hop.service_tag = passthrough->service_tag;
  passthrough->unanswered = 0;
  if (hop.class >= DP_N_CLASSES)
    return decide_ (DP_PASS_DROP, DP_PASS_UNEXPECTED, &hop);
  if (dp_segment_opens_flow (segment))
    {
      if (flow != NULL && flow->state == DP_PASS_FLOW_OFFERED)
        dp_pass_flows_remove (passthrough->flows, flow);
      else if (flow != NULL && flow->state == DP_PASS_FLOW_WAITING)
        return decide_ (DP_PASS_DROP, DP_PASS_WAITING, &hop); /* an older copy */
      else if (flow != NULL)
        return decide_ (DP_PASS_DROP, DP_PASS_RETURNED, &hop);
      return pass_or_reject_ (passthrough, segment, &hop, DP_PASS_RETURNED,
                              DP_PASS_OVERLOADED, now);
    }
  if (flow != NULL && flow->state == DP_PASS_FLOW_OPEN)
    {
      /* The server held this flow and no longer does: it has crashed since. */
      dp_pass_flows_remove (passthrough->flows, flow);
      if ((segment->flags & DP_TCP_RST) != 0)
        return decide_ (DP_PASS_DROP, DP_PASS_LOST, &hop);
      return decide_ (DP_PASS_RESET, DP_PASS_LOST, &hop);
    }
  if (flow == NULL)
    {
      flow = add_ (passthrough, segment, now);
      if (flow != NULL)
        flow->state = DP_PASS_FLOW_FOREIGN;
    }
  return search_ (passthrough, segment, &hop, DP_PASS_RETURNED);
}

/* Learns from a packet of the server who owns its flow. */
DpPassDecision
dp_passthrough_from_server (DpPassthrough *passthrough,
                            const DpSegment *segment,
                            gint64 now)
{
  const guint8 handshake = DP_TCP_SYN | DP_TCP_ACK;
  const DpHop hop = { passthrough->service_tag, 0, 0 };
  DpPassFlow *flow = dp_pass_flows_find (passthrough->flows, segment);
  gboolean repeated = FALSE;

  passthrough->unanswered = 0;
  if (flow == NULL)
    flow = add_ (passthrough, segment, now);
  if (flow == NULL)
    return decide_ (DP_PASS_TO_CLIENT, DP_PASS_OWNED, &hop);
  flow->used_at = now;
  /* A server that was frozen answers a copy of the SYN that waits. */
  dp_pass_flows_release (passthrough->flows, flow);
  if ((segment->flags & handshake) == handshake)
    {
      if (flow->state == DP_PASS_FLOW_OFFERED)
        dp_pass_flows_observe (passthrough->flows->times.accept, now - flow->offered_at);
      if (flow->state != DP_PASS_FLOW_OPEN)
        flow->state = DP_PASS_FLOW_ANSWERED;
      flow->server_seq = segment->seq;
      flow->handshaken = TRUE;
    }
  else if (flow->state != DP_PASS_FLOW_CLOSED)
    flow->state = DP_PASS_FLOW_OPEN;
  if (segment->payload_length > 0 || (segment->flags & DP_TCP_FIN) != 0)
    repeated = note_answer_ (flow, segment, now);
  if ((segment->flags & (DP_TCP_FIN | DP_TCP_RST)) != 0)
    flow->server_finished = TRUE;
  if (flow->server_finished)
    dp_pass_flows_end_work (passthrough->flows, flow, now);
  if ((segment->flags & DP_TCP_RST) != 0)
    flow->client_finished = TRUE;
  if (flow->server_finished && flow->client_finished)
    flow->state = DP_PASS_FLOW_CLOSED;
  return decide_ (DP_PASS_TO_CLIENT, repeated ? DP_PASS_REPEATED : DP_PASS_OWNED, &hop);
}

/* Keeps the packet of a flow whose SYN is to be held. */
void
dp_passthrough_keep (DpPassthrough *passthrough, const DpSegment *segment, GBytes *packet)
{
  DpPassFlow *flow = dp_pass_flows_find (passthrough->flows, segment);

  g_return_if_fail (flow != NULL && flow->state == DP_PASS_FLOW_WAITING);
  g_clear_pointer (&flow->packet, g_bytes_unref);
  flow->packet = g_bytes_ref (packet);
}

/* Releases the flow whose turn it is, or one that waits in vain. When the server takes no
 * new flows, all of them go to other members. */
gboolean
dp_passthrough_next (DpPassthrough *passthrough, DpReleasedSyn *released, gint64 now)
{
  const gboolean serving = is_serving_ (passthrough, now);
  DpPassFlow *flow = NULL;
  DpHop hop;

  if (serving)
    flow = dp_pass_flows_next_waiting (passthrough->flows);
  if (flow == NULL)
    flow = next_in_vain_ (passthrough, serving, now);
  if (flow == NULL)
    return FALSE;
  released->key = flow->key;
  released->packet = g_steal_pointer (&flow->packet);
  if (!flow->has_slot || now >= flow->give_up_at)
    {
      released->decision = end_wait_ (passthrough, flow, serving, now);
      return TRUE;
    }
  hop = hop_after_wait_ (flow, now);
  dp_pass_flows_observe (passthrough->flows->times.wait, now - flow->waits_from);
  dp_pass_flows_release (passthrough->flows, flow);
  offer_ (passthrough, flow, now);
  released->decision = decide_ (DP_PASS_TO_SERVER, DP_PASS_OWNED, &hop);
  return TRUE;
}

/* Forgets flows that have ended, and ends the work of flows that were answered. */
void
dp_passthrough_tick (DpPassthrough *passthrough, gint64 now)
{
  dp_pass_flows_tick (passthrough->flows, now);
}

/* Returns whether the server has not answered several SYNs for SILENT_US. */
gboolean
dp_passthrough_server_is_silent (const DpPassthrough *passthrough, gint64 now)
{
  return passthrough->unanswered >= SILENT_SYNS
         && now - passthrough->silent_from > SILENT_US;
}

/* Returns the number of flows that a newcomer finds before it: those in flight and those
 * that wait, but for the late ones, which let it go first. */
guint
dp_passthrough_load (const DpPassthrough *passthrough)
{
  return passthrough->flows->in_flight + dp_slots_in_time (passthrough->flows->slots);
}

/* Returns the number of flows whose server works on a request or is about to. */
guint
dp_passthrough_in_flight (const DpPassthrough *passthrough)
{
  return passthrough->flows->in_flight;
}

/* Returns the number of flows that wait for a slot. */
guint
dp_passthrough_waiting (const DpPassthrough *passthrough)
{
  return dp_pass_flows_n_waiting (passthrough->flows);
}

/* Returns the number of flows that are remembered. */
guint
dp_passthrough_n_flows (const DpPassthrough *passthrough)
{
  return dp_pass_flows_count (passthrough->flows);
}

/* Returns whether the server gets new flows, by how it has done its work. */
DpBreakerState
dp_passthrough_server_health (const DpPassthrough *passthrough)
{
  return dp_server_health_state (passthrough->flows->health);
}

/* Returns the action's name. */
const char *
dp_pass_action_string (DpPassAction action)
{
  g_assert (action < DP_N_PASS_ACTIONS);
  return action_strings_[action];
}

/* Returns the reason's name. */
const char *
dp_pass_reason_string (DpPassReason reason)
{
  g_assert (reason < DP_N_PASS_REASONS);
  return reason_strings_[reason];
}

/* NULL if too many flows are remembered: the server is asked for further ones. */
static DpPassFlow *
add_ (DpPassthrough *passthrough, const DpSegment *segment, gint64 now)
{
  DpPassFlow *flow = dp_pass_flows_add (passthrough->flows, segment, now);

  if (flow == NULL)
    {
      passthrough->complete = FALSE;
      passthrough->started_at = now;
    }
  return flow;
}

static DpPassDecision
decide_ (DpPassAction action, DpPassReason reason, const DpHop *hop)
{
  return (DpPassDecision){ .action = action, .reason = reason, .hop = *hop };
}

/* A copy of a SYN goes where the first one went, so that only one server answers. */
static DpPassDecision
take_syn_ (DpPassthrough *passthrough,
           const DpSegment *segment,
           const DpHop *hop,
           gint64 now)
{
  DpPassFlow *flow = dp_pass_flows_find (passthrough->flows, segment);
  const gboolean copy = flow != NULL && flow->client_seq == segment->seq;
  gboolean around;

  if (copy && flow->state != DP_PASS_FLOW_WAITING)
    flow->used_at = now;
  /* A SYN that has come around after it was passed on is not a copy. The client's last
   * copy is decided here: nobody has answered the others. */
  if (copy && flow->state == DP_PASS_FLOW_PASSED && hop->visited <= flow->hop.visited
      && segment->syn_age_ms < LAST_COPY_MS)
    return to_member_ (&flow->passed_to, DP_PASS_PASSED_BEFORE, hop);
  if (copy && flow->state == DP_PASS_FLOW_WAITING)
    return decide_ (DP_PASS_DROP, DP_PASS_WAITING, hop);
  if (copy && flow->state != DP_PASS_FLOW_FOREIGN && flow->state != DP_PASS_FLOW_PASSED
      && !(flow->state == DP_PASS_FLOW_OFFERED
           && dp_passthrough_server_is_silent (passthrough, now)))
    return decide_ (DP_PASS_TO_SERVER, DP_PASS_OWNED, hop);
  around = copy && flow->state == DP_PASS_FLOW_PASSED;
  if (flow != NULL)
    dp_pass_flows_remove (passthrough->flows, flow);
  return place_ (passthrough, segment, hop, around, now);
}

/* Takes a new flow, passes it on or rejects it. A free slot is looked for in the own
 * availability zone first; then a short wait behind a slot here is preferred to one
 * elsewhere, since bytes between availability zones are dear. A server that fails its
 * requests takes the flow only if no other member does. around: the SYN was passed on
 * from here before, and no member that it visited since took it. */
static DpPassDecision
place_ (DpPassthrough *passthrough,
        const DpSegment *segment,
        const DpHop *hop,
        gboolean around,
        gint64 now)
{
  const gboolean serving = is_serving_ (passthrough, now);
  const gboolean wanted = serving
                          && dp_server_health_admits (passthrough->flows->health,
                                                      passthrough->flows->in_flight);
  const DpPassReason reason = !serving  ? DP_PASS_NOT_SERVING
                              : !wanted ? DP_PASS_FAILING
                                        : DP_PASS_BUSY;
  const DpMember *next = NULL;
  gboolean near = FALSE;

  if (wanted && passthrough->flows->in_flight < passthrough->limits.slots
      && !dp_slots_contended (passthrough->flows->slots, (DpClass) hop->class))
    return offer_or_wait_ (passthrough, segment, hop, now);
  if (!around)
    next = next_for_new_flow_ (passthrough, segment->hash, hop->visited, &near);
  if (next != NULL && near)
    return pass_new_flow_ (passthrough, segment, hop, next, reason, now);
  if (wanted && dp_slots_can_take (passthrough->flows->slots, (DpClass) hop->class))
    return offer_or_wait_ (passthrough, segment, hop, now);
  if (next != NULL)
    return pass_new_flow_ (passthrough, segment, hop, next, reason, now);
  if (serving)
    return offer_or_wait_ (passthrough, segment, hop, now);
  return decide_ (DP_PASS_RESET, DP_PASS_NOT_SERVING, hop);
}

/* Offers a new flow to the server, or lets it wait if its turn is expected in time. */
static DpPassDecision
offer_or_wait_ (DpPassthrough *passthrough,
                const DpSegment *segment,
                const DpHop *hop,
                gint64 now)
{
  const DpClass class = (DpClass) hop->class;
  const gint64 wait = dp_slots_expected_wait (passthrough->flows->slots, class, now);
  const gint64 age = segment->syn_age_ms * DP_US_PER_MS;
  gint64 late_wait;
  DpPassFlow *flow;

  if (dp_slots_can_take (passthrough->flows->slots, class))
    {
      flow = add_new_flow_ (passthrough, segment, hop, DP_PASS_FLOW_OFFERED, now);
      if (flow == NULL)
        return decide_ (DP_PASS_RESET, DP_PASS_OVERLOADED, hop);
      flow->has_slot = dp_slots_take (passthrough->flows->slots, class);
      offer_ (passthrough, flow, now);
      return decide_ (DP_PASS_TO_SERVER, DP_PASS_OWNED, hop);
    }
  if (wait + age <= hop->wait_limit_ms * DP_US_PER_MS)
    return wait_ (passthrough, segment, hop, FALSE, now);
  /* A client that is rejected tries again within milliseconds and has soon used up its
   * attempts. A late answer serves it better than none. */
  late_wait = dp_slots_expected_late_wait (passthrough->flows->slots, class, now);
  if (late_wait * LATE_SHARE <= useful_wait_ (segment, hop))
    return wait_ (passthrough, segment, hop, TRUE, now);
  return reject_ (passthrough, hop, now);
}

/* Lets a new flow wait for its turn. */
static DpPassDecision
wait_ (DpPassthrough *passthrough,
       const DpSegment *segment,
       const DpHop *hop,
       gboolean late,
       gint64 now)
{
  DpPassFlow *flow = add_new_flow_ (passthrough, segment, hop, DP_PASS_FLOW_WAITING, now);

  if (flow == NULL)
    return decide_ (DP_PASS_RESET, DP_PASS_OVERLOADED, hop);
  flow->give_up_at = now + useful_wait_ (segment, hop);
  if (dp_pass_flows_wait (passthrough->flows, flow, late, now))
    return decide_ (DP_PASS_HOLD, late ? DP_PASS_LATE : DP_PASS_WAITING, hop);
  dp_pass_flows_remove (passthrough->flows, flow);
  return decide_ (DP_PASS_RESET, DP_PASS_OVERLOADED, hop);
}

/* Returns for how many us from now on a SYN may wait and still be of use. */
static gint64
useful_wait_ (const DpSegment *segment, const DpHop *hop)
{
  const gint64 deadline = hop->deadline_ms * DP_US_PER_MS;
  gint64 wait = SYN_LIFE_US;

  if (deadline > 0)
    wait = MIN (wait, deadline - deadline / WORK_SHARE);
  return wait - segment->syn_age_ms * DP_US_PER_MS;
}

/* Returns the hop of a SYN that has waited, with the time that is left to it. */
static DpHop
hop_after_wait_ (const DpPassFlow *flow, gint64 now)
{
  const gint64 waited_ms = (now - flow->waits_from) / DP_US_PER_MS;
  const gint64 left_ms = (flow->give_up_at - now) / DP_US_PER_MS;
  DpHop hop = flow->hop;

  hop.wait_limit_ms = (guint16) MAX (hop.wait_limit_ms - waited_ms, 0);
  if (hop.deadline_ms > 0)
    hop.deadline_ms = (guint16) MAX (hop.deadline_ms - waited_ms, 1);
  else
    hop.deadline_ms = (guint16) CLAMP (left_ms, 1, G_MAXUINT16);
  return hop;
}

/* Returns a flow that waits in vain: its client has given up by now, the server takes no
 * new flows, or a member that was not known before may have a free slot for a late one.
 */
static DpPassFlow *
next_in_vain_ (DpPassthrough *passthrough, gboolean serving, gint64 now)
{
  DpHandle cursor = DP_HANDLE_NONE;
  DpPassFlow *flow;
  gboolean near;

  if (serving && !passthrough->relocating && now - passthrough->reviewed_at < REVIEW_US)
    return NULL;
  while ((flow = dp_pass_flows_each_waiting (passthrough->flows, &cursor)) != NULL)
    {
      if (!serving || now >= flow->give_up_at
          || (passthrough->relocating && flow->late
              && next_for_new_flow_ (passthrough, flow->hash, flow->hop.visited, &near)
                     != NULL))
        return flow;
    }
  passthrough->relocating = FALSE;
  passthrough->reviewed_at = now;
  return NULL;
}

/* Passes a flow that waits in vain on, or gives it up. */
static DpPassDecision
end_wait_ (DpPassthrough *passthrough, DpPassFlow *flow, gboolean serving, gint64 now)
{
  const DpPassReason reason = serving ? DP_PASS_BUSY : DP_PASS_NOT_SERVING;
  const DpHop hop = hop_after_wait_ (flow, now);
  const gboolean expired = now >= flow->give_up_at;
  const DpSegment segment = {
    .key = flow->key, .hash = flow->hash, .seq = flow->client_seq, .flags = DP_TCP_SYN
  };

  dp_pass_flows_remove (passthrough->flows, flow);
  if (expired)
    return decide_ (DP_PASS_DROP, DP_PASS_EXPIRED, &hop);
  return pass_or_reject_ (passthrough, &segment, &hop, reason, reason, now);
}

/* Rejects a new flow that is not expected to be served here in time. Just after a start
 * other members may be free without being known yet: the client's next copy of the SYN,
 * 200 ms later, will tell. */
static DpPassDecision
reject_ (const DpPassthrough *passthrough, const DpHop *hop, gint64 now)
{
  const gboolean alone = passthrough->candidates == NULL
                         || dp_candidates_view (passthrough->candidates)->n_members < 2;

  if (alone && now - passthrough->created_at < GATHER_US)
    return decide_ (DP_PASS_DROP, DP_PASS_GATHERING, hop);
  return decide_ (DP_PASS_RESET, DP_PASS_OVERLOADED, hop);
}

/* The SYN goes to the server; the flow has its slot. */
static void
offer_ (DpPassthrough *passthrough, DpPassFlow *flow, gint64 now)
{
  flow->state = DP_PASS_FLOW_OFFERED;
  flow->used_at = now;
  dp_pass_flows_begin_work (passthrough->flows, flow, flow->has_slot, now);
  if (passthrough->unanswered++ == 0)
    passthrough->silent_from = now;
}

static DpPassFlow *
add_new_flow_ (DpPassthrough *passthrough,
               const DpSegment *segment,
               const DpHop *hop,
               DpPassFlowState state,
               gint64 now)
{
  DpPassFlow *flow = add_ (passthrough, segment, now);

  if (flow == NULL)
    return NULL;
  flow->state = state;
  flow->client_seq = segment->seq;
  flow->class = (DpClass) hop->class;
  flow->hop = *hop;
  return flow;
}

static gboolean
is_serving_ (const DpPassthrough *passthrough, gint64 now)
{
  return passthrough->serving && !dp_passthrough_server_is_silent (passthrough, now);
}

/* Passes a SYN on to the member and remembers that. */
static DpPassDecision
pass_new_flow_ (DpPassthrough *passthrough,
                const DpSegment *segment,
                const DpHop *hop,
                const DpMember *next,
                DpPassReason reason,
                gint64 now)
{
  DpPassFlow *flow = add_new_flow_ (passthrough, segment, hop, DP_PASS_FLOW_PASSED, now);

  if (flow != NULL)
    flow->passed_to = next->address;
  return to_member_ (&next->address, reason, hop);
}

/* Passes a SYN that this member can't take on, or rejects it if it has visited enough. */
static DpPassDecision
pass_or_reject_ (DpPassthrough *passthrough,
                 const DpSegment *segment,
                 const DpHop *hop,
                 DpPassReason passed,
                 DpPassReason rejected,
                 gint64 now)
{
  gboolean near;
  const DpMember *next = next_for_new_flow_ (passthrough, segment->hash, hop->visited,
                                             &near);

  if (next == NULL)
    return decide_ (DP_PASS_RESET, rejected, hop);
  return pass_new_flow_ (passthrough, segment, hop, next, passed, now);
}

/* Returns the active member to visit next, after visited ones before this member: the
 * following one in the flow's order within the own availability zone until all of them
 * were visited, then any. NULL if the flow has visited enough. */
static const DpMember *
next_for_new_flow_ (DpPassthrough *passthrough,
                    guint64 hash,
                    guint visited,
                    gboolean *near)
{
  const guint n_visited = visited + 1;
  DpCandidates *candidates = passthrough->candidates;
  const DpMember *self;
  const DpMember *member;
  const DpMember *other = NULL;
  DpView *view;
  guint n_near = 0;
  guint n_active = 0;

  *near = FALSE;
  if (candidates == NULL || n_visited >= DP_PASS_VISITS_MAX)
    return NULL;
  view = dp_candidates_view (candidates);
  self = dp_view_find (view, passthrough->member_id);
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];

      if (m->state != DP_MEMBER_ACTIVE)
        continue;
      n_active++;
      n_near += self != NULL && g_str_equal (m->zone, self->zone) ? 1 : 0;
    }
  if (n_visited > n_active)
    return NULL;
  *near = n_visited < n_near;
  member = dp_candidates_after (candidates, hash, DP_CANDIDATES_NEW_FLOW,
                                passthrough->member_id);
  for (guint i = 0;
       member != NULL && member->id != passthrough->member_id && i < n_active; i++)
    {
      gboolean in_zone = self != NULL && g_str_equal (member->zone, self->zone);

      if (in_zone == *near)
        return member;
      if (other == NULL)
        other = member;
      member = dp_candidates_after (candidates, hash, DP_CANDIDATES_NEW_FLOW, member->id);
    }
  *near = FALSE;
  return other;
}

/* Sends a packet whose flow is not here to the next member, or ends the search. Nobody
 * answers with a reset: a member that is cut off may still have the flow. */
static DpPassDecision
search_ (DpPassthrough *passthrough,
         const DpSegment *segment,
         const DpHop *hop,
         DpPassReason reason)
{
  const DpMember *next = NULL;

  if (passthrough->candidates != NULL
      && hop->visited + 1u < dp_candidates_view (passthrough->candidates)->n_members)
    next = dp_candidates_after (passthrough->candidates, segment->hash,
                                DP_CANDIDATES_ANY_FLOW, passthrough->member_id);
  if (next == NULL)
    return decide_ (DP_PASS_DROP, DP_PASS_NOT_FOUND, hop);
  return to_member_ (&next->address, reason, hop);
}

static DpPassDecision
to_member_ (const DpAddress *member, DpPassReason reason, const DpHop *hop)
{
  DpPassDecision decision = decide_ (DP_PASS_TO_MEMBER, reason, hop);

  decision.member = *member;
  if (decision.hop.visited == G_MAXUINT8)
    return decide_ (DP_PASS_DROP, DP_PASS_NOT_FOUND, hop);
  decision.hop.visited++;
  return decision;
}

/* A client's packet after its SYN, of a flow that is remembered. */
static DpPassDecision
take_client_packet_ (DpPassthrough *passthrough,
                     DpPassFlow *flow,
                     const DpSegment *segment,
                     const DpHop *hop,
                     gint64 now)
{
  switch (flow->state)
    {
    case DP_PASS_FLOW_PASSED:
      flow->used_at = now;
      return to_member_ (&flow->passed_to, DP_PASS_PASSED_BEFORE, hop);
    case DP_PASS_FLOW_ANSWERED:
      /* Two servers may have answered copies of the SYN; the client acknowledges one. */
      if (segment->ack != flow->server_seq + 1)
        return search_ (passthrough, segment, hop, DP_PASS_SEARCHING);
      break;
    case DP_PASS_FLOW_WAITING:
    case DP_PASS_FLOW_OFFERED:
    case DP_PASS_FLOW_FOREIGN:
      return search_ (passthrough, segment, hop, DP_PASS_SEARCHING);
    case DP_PASS_FLOW_OPEN:
    case DP_PASS_FLOW_CLOSED:
    default:
      break;
    }
  note_client_packet_ (passthrough, flow, segment, now);
  return decide_ (DP_PASS_TO_SERVER, DP_PASS_OWNED, hop);
}

static void
note_client_packet_ (DpPassthrough *passthrough,
                     DpPassFlow *flow,
                     const DpSegment *segment,
                     gint64 now)
{
  flow->used_at = now;
  if (flow->state == DP_PASS_FLOW_ANSWERED)
    flow->state = DP_PASS_FLOW_OPEN;
  if (segment->payload_length > 0 && !flow->requested)
    dp_pass_flows_begin_request (flow, flow->server_seq + 1, now);
  else if (segment->payload_length > 0 && !flow->working && flow->first_byte_at != 0)
    dp_pass_flows_begin_request (flow, flow->server_end, now);
  if (segment->payload_length > 0 && !flow->server_finished && flow->working)
    flow->answered_at = 0;
  else if (segment->payload_length > 0 && !flow->server_finished)
    {
      flow->answered_at = 0;
      dp_pass_flows_begin_work (passthrough->flows, flow,
                                dp_slots_take (passthrough->flows->slots, flow->class),
                                now);
    }
  if ((segment->flags & DP_TCP_FIN) != 0)
    flow->client_finished = TRUE;
  if ((segment->flags & DP_TCP_RST) != 0)
    {
      flow->client_finished = flow->server_finished = TRUE;
      dp_pass_flows_abandon_work (passthrough->flows, flow);
    }
  if (flow->client_finished && flow->server_finished)
    flow->state = DP_PASS_FLOW_CLOSED;
}

/* Notes how far the server's answer has come. Its last packet, which often overtakes the
 * others of its burst, tells by its sequence number how long the answer is. Returns
 * whether the server has sent the data before. */
static gboolean
note_answer_ (DpPassFlow *flow, const DpSegment *segment, gint64 now)
{
  const guint32 end = segment->seq + segment->payload_length;
  const gboolean newer = flow->progress_at == 0 || (gint32) (end - flow->server_end) > 0;
  const gboolean repeated = segment->payload_length > 0 && !newer
                            && now - flow->progress_at > REPEATED_US;

  if (newer)
    {
      flow->server_end = end;
      flow->progress_at = now;
    }
  if (flow->first_byte_at == 0 && (gint32) (end - flow->answer_from) > 0)
    flow->first_byte_at = now;
  if (segment->payload_length > 0)
    flow->answered_at = now;
  return repeated;
}

/* Flows from before the companion's start have expired after their time to live. */
static gboolean
knows_all_ (const DpPassthrough *passthrough, gint64 now)
{
  return passthrough->complete
         || now - passthrough->started_at > passthrough->limits.flow_ttl;
}
