#include "private/passthroughadmission.h"

#include "private/passthroughdecision.h"
#include "protected/clock.h"

/* Maximum age of a SYN that is still answered. A client gives up an unanswered SYN after
 * 1.4 s, or at its deadline; the difference is for the packets' transit. */
#define SYN_LIFE_US (1350 * DP_US_PER_MS)
/* 1 / WORK_SHARE of a client's deadline is reserved for the server's work when a SYN
 * waits. Of the shortest deadline in use, 1 s, this is 125 ms, several times the mean
 * service time of any class. */
#define WORK_SHARE 8
/* A late flow waits only if its turn is expected within 1 / LATE_SHARE of the time that
 * it has, since new flows that can be served in time go first. */
#define LATE_SHARE 2
/* When clients retransmit a SYN, in ms after sending it first. */
static const guint32 copies_ms_[] = { 200, 600 };
/* Delay allowed for a retransmission, which passes through a balancer, which may have
 * just started, and other members. */
#define COPY_SLACK_US (100 * DP_US_PER_MS)
/* Interval between searches for flows that should no longer wait here. */
#define REVIEW_US (100 * DP_US_PER_MS)
/* Time after the start in which the other members may not be known yet. Members report
 * every 100 to 400 ms, and lists are sent at most every 250 ms. */
#define GATHER_US (1500 * DP_US_PER_MS)
/* A server answers a SYN within a millisecond unless it is frozen or gone. */
#define SILENT_US (150 * DP_US_PER_MS)
/* Unanswered SYNs after which the server counts as silent; a single one may be lost. */
#define SILENT_SYNS 2

struct _DpPassthroughAdmission
{
  guint32 member_id;
  guint slots;
  DpCandidates *candidates;  /* NULL: no view yet */
  DpPassthroughFlows *flows; /* not owned */
  gboolean serving;
  gboolean view_changed; /* the view has changed: late flows may go to new members */
  gint64
      waiting_checked_at;  /* us, last search for flows that should no longer wait here */
  gint64 created_at;       /* us */
  guint n_unanswered_syns; /* SYNs sent to the server since its last packet */
  gint64 first_unanswered_at; /* us, when the first of them was sent */
};

static DpPassthroughDecision offer_or_wait_ (DpPassthroughAdmission *new_flows,
                                             const DpSegment *segment,
                                             const DpHop *hop,
                                             gint64 now);
static DpPassthroughDecision wait_ (DpPassthroughAdmission *new_flows,
                                    const DpSegment *segment,
                                    const DpHop *hop,
                                    gboolean late,
                                    gint64 now);
static gint64 useful_wait_ (const DpSegment *segment, const DpHop *hop);
static void expect_copy_ (DpPassthroughFlow *flow, const DpSegment *syn, gint64 now);
static gboolean has_expired_ (const DpPassthroughFlow *flow, gint64 now);
static DpHop hop_after_wait_ (const DpPassthroughFlow *flow, gint64 now);
static DpPassthroughFlow *
next_to_leave_ (DpPassthroughAdmission *new_flows, gboolean serving, gint64 now);
static DpPassthroughDecision end_wait_ (DpPassthroughAdmission *new_flows,
                                        DpPassthroughFlow *flow,
                                        gboolean serving,
                                        gint64 now);
static DpPassthroughDecision
reject_ (const DpPassthroughAdmission *new_flows, const DpHop *hop, gint64 now);
static void
offer_ (DpPassthroughAdmission *new_flows, DpPassthroughFlow *flow, gint64 now);
static DpPassthroughFlow *add_new_flow_ (DpPassthroughAdmission *new_flows,
                                         const DpSegment *segment,
                                         const DpHop *hop,
                                         DpPassthroughFlowState state,
                                         gint64 now);
static gboolean is_serving_ (const DpPassthroughAdmission *new_flows, gint64 now);
static DpPassthroughDecision pass_new_flow_ (DpPassthroughAdmission *new_flows,
                                             const DpSegment *segment,
                                             const DpHop *hop,
                                             const DpMember *next,
                                             DpPassthroughReason reason,
                                             gint64 now);
static const DpMember *next_for_new_flow_ (DpPassthroughAdmission *new_flows,
                                           guint64 hash,
                                           guint visited,
                                           gboolean *near);

/* Creates the admission of a member that isn't serving yet. */
DpPassthroughAdmission *
dp_passthrough_admission_new (DpPassthroughFlows *flows, const char *member, gint64 now)
{
  DpPassthroughAdmission *new_flows = g_new0 (DpPassthroughAdmission, 1);

  new_flows->member_id = dp_member_id (member);
  new_flows->slots = 1;
  new_flows->flows = flows;
  new_flows->created_at = now;
  return new_flows;
}

void
dp_passthrough_admission_free (DpPassthroughAdmission *new_flows)
{
  dp_candidates_free (new_flows->candidates);
  g_free (new_flows);
}

/* Sets the number of requests that the server works on at once. */
void
dp_passthrough_admission_set_slots (DpPassthroughAdmission *new_flows, guint slots)
{
  new_flows->slots = slots;
}

/* Sets the members to which flows can be forwarded. */
void
dp_passthrough_admission_set_view (DpPassthroughAdmission *new_flows, DpMemberView *view)
{
  dp_candidates_free (new_flows->candidates);
  new_flows->candidates = dp_candidates_new (view);
  new_flows->view_changed = TRUE;
}

/* Sets whether new flows are offered to the server. */
void
dp_passthrough_admission_set_serving (DpPassthroughAdmission *new_flows, gboolean serving)
{
  new_flows->serving = serving;
}

/* Records a packet of the server, which shows that it is not silent. */
void
dp_passthrough_admission_note_server_packet (DpPassthroughAdmission *new_flows)
{
  new_flows->n_unanswered_syns = 0;
}

/* Returns the members of the view, not owned by the caller; NULL before the first view.
 */
DpCandidates *
dp_passthrough_admission_candidates (DpPassthroughAdmission *new_flows)
{
  return new_flows->candidates;
}

/* Returns whether the server has left several SYNs unanswered for SILENT_US. */
gboolean
dp_passthrough_admission_server_is_silent (const DpPassthroughAdmission *new_flows,
                                           gint64 now)
{
  return new_flows->n_unanswered_syns >= SILENT_SYNS
         && now - new_flows->first_unanswered_at > SILENT_US;
}

/* Offers a new flow to the server, queues, forwards or rejects it. The search for a free
 * slot covers the member's own availability zone first. After that, a short wait for a
 * slot here is preferred to a free slot in another zone, since traffic between zones is
 * expensive. A server that fails its requests gets the flow only if no other member takes
 * it. around: the SYN was forwarded from here before, and none of the members that it
 * visited since took it. */
DpPassthroughDecision
dp_passthrough_admission_decide (DpPassthroughAdmission *new_flows,
                                 const DpSegment *segment,
                                 const DpHop *hop,
                                 gboolean around,
                                 gint64 now)
{
  const gboolean serving = is_serving_ (new_flows, now);
  const gboolean wanted = serving
                          && dp_server_health_admits (new_flows->flows->health,
                                                      new_flows->flows->n_in_flight);
  const DpPassthroughReason reason = !serving  ? DP_PASSTHROUGH_NOT_SERVING
                                     : !wanted ? DP_PASSTHROUGH_FAILING
                                               : DP_PASSTHROUGH_BUSY;
  const DpMember *next = NULL;
  gboolean near = FALSE;

  if (wanted && new_flows->flows->n_in_flight < new_flows->slots
      && !dp_slots_has_waiting (new_flows->flows->slots, (DpTrafficClass) hop->class))
    return offer_or_wait_ (new_flows, segment, hop, now);
  if (!around)
    next = next_for_new_flow_ (new_flows, segment->hash, hop->n_visited, &near);
  if (next != NULL && near)
    return pass_new_flow_ (new_flows, segment, hop, next, reason, now);
  if (wanted
      && dp_slots_can_acquire (new_flows->flows->slots, (DpTrafficClass) hop->class))
    return offer_or_wait_ (new_flows, segment, hop, now);
  if (next != NULL)
    return pass_new_flow_ (new_flows, segment, hop, next, reason, now);
  if (serving)
    return offer_or_wait_ (new_flows, segment, hop, now);
  return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET, DP_PASSTHROUGH_NOT_SERVING,
                                       hop);
}

/* Forwards a SYN that this member can't take, or rejects it if it has visited as many
 * members as it may. */
DpPassthroughDecision
dp_passthrough_admission_forward_or_reject (DpPassthroughAdmission *new_flows,
                                            const DpSegment *segment,
                                            const DpHop *hop,
                                            DpPassthroughReason passed,
                                            DpPassthroughReason rejected,
                                            gint64 now)
{
  gboolean near;
  const DpMember *next = next_for_new_flow_ (new_flows, segment->hash, hop->n_visited,
                                             &near);

  if (next == NULL)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET, rejected, hop);
  return pass_new_flow_ (new_flows, segment, hop, next, passed, now);
}

/* Stores the packet of a flow whose SYN is to be held; takes a reference to it. */
void
dp_passthrough_admission_hold_packet (DpPassthroughAdmission *new_flows,
                                      const DpSegment *segment,
                                      GBytes *packet)
{
  DpPassthroughFlow *flow = dp_passthrough_flows_find (new_flows->flows, segment);

  g_return_if_fail (flow != NULL && flow->state == DP_PASSTHROUGH_FLOW_WAITING);
  g_clear_pointer (&flow->packet, g_bytes_unref);
  flow->packet = g_bytes_ref (packet);
}

/* Records that the client of a waiting flow has retransmitted its SYN. */
void
dp_passthrough_admission_note_retransmission (DpPassthroughAdmission *new_flows,
                                              DpPassthroughFlow *flow,
                                              const DpSegment *copy,
                                              gint64 now)
{
  g_return_if_fail (flow->state == DP_PASSTHROUGH_FLOW_WAITING);
  expect_copy_ (flow, copy, now);
}

/* Releases the next flow in the queue if a slot is free, or one that should no longer
 * wait here. While the server takes no new flows, all waiting ones are released to other
 * members. */
gboolean
dp_passthrough_admission_next_released (DpPassthroughAdmission *new_flows,
                                        DpReleasedSyn *released,
                                        gint64 now)
{
  const gboolean serving = is_serving_ (new_flows, now);
  DpPassthroughFlow *flow = NULL;
  DpHop hop;

  if (serving)
    flow = dp_passthrough_flows_assign_slot (new_flows->flows, now);
  if (flow == NULL)
    flow = next_to_leave_ (new_flows, serving, now);
  if (flow == NULL)
    return FALSE;
  released->key = flow->key;
  released->packet = g_steal_pointer (&flow->packet);
  if (!flow->has_slot || has_expired_ (flow, now))
    {
      released->decision = end_wait_ (new_flows, flow, serving, now);
      return TRUE;
    }
  hop = hop_after_wait_ (flow, now);
  dp_passthrough_flows_observe_time (new_flows->flows->histograms.wait,
                                     now - flow->waiting_since);
  dp_passthrough_flows_dequeue (new_flows->flows, flow);
  offer_ (new_flows, flow, now);
  released->decision = dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER,
                                                     DP_PASSTHROUGH_OWNED, &hop);
  return TRUE;
}

/* Offers a new flow to the server, queues it if its turn is expected in time, or rejects
 * it. */
static DpPassthroughDecision
offer_or_wait_ (DpPassthroughAdmission *new_flows,
                const DpSegment *segment,
                const DpHop *hop,
                gint64 now)
{
  const DpTrafficClass class = (DpTrafficClass) hop->class;
  const gint64 wait = dp_slots_expected_wait (new_flows->flows->slots, class, now);
  const gint64 age = segment->syn_age_ms * DP_US_PER_MS;
  gint64 late_wait;
  DpPassthroughFlow *flow;

  if (dp_slots_can_acquire (new_flows->flows->slots, class))
    {
      flow = add_new_flow_ (new_flows, segment, hop, DP_PASSTHROUGH_FLOW_OFFERED, now);
      if (flow == NULL)
        return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET,
                                             DP_PASSTHROUGH_OVERLOADED, hop);
      flow->has_slot = dp_slots_acquire (new_flows->flows->slots, class);
      offer_ (new_flows, flow, now);
      return dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER, DP_PASSTHROUGH_OWNED,
                                           hop);
    }
  if (wait + age <= hop->wait_limit_ms * DP_US_PER_MS)
    return wait_ (new_flows, segment, hop, FALSE, now);
  /* A client that is rejected tries again within milliseconds and soon has no attempts
   * left. A late answer serves it better than none. */
  late_wait = dp_slots_expected_late_wait (new_flows->flows->slots, class, now);
  if (late_wait * LATE_SHARE <= useful_wait_ (segment, hop))
    return wait_ (new_flows, segment, hop, TRUE, now);
  return reject_ (new_flows, hop, now);
}

/* Queues a new flow for a slot. */
static DpPassthroughDecision
wait_ (DpPassthroughAdmission *new_flows,
       const DpSegment *segment,
       const DpHop *hop,
       gboolean late,
       gint64 now)
{
  DpPassthroughFlow *flow = add_new_flow_ (new_flows, segment, hop,
                                           DP_PASSTHROUGH_FLOW_WAITING, now);

  if (flow == NULL)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET, DP_PASSTHROUGH_OVERLOADED,
                                         hop);
  flow->client_gives_up_at = now + useful_wait_ (segment, hop);
  expect_copy_ (flow, segment, now);
  if (dp_passthrough_flows_enqueue (new_flows->flows, flow, late, now))
    return dp_passthrough_decision_make (
        DP_PASSTHROUGH_HOLD, late ? DP_PASSTHROUGH_LATE : DP_PASSTHROUGH_WAITING, hop);
  dp_passthrough_flows_remove (new_flows->flows, flow);
  return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET, DP_PASSTHROUGH_OVERLOADED,
                                       hop);
}

/* Returns the time in us, from now on, for which a SYN can wait and still be of use to
 * its client. */
static gint64
useful_wait_ (const DpSegment *segment, const DpHop *hop)
{
  const gint64 deadline = hop->deadline_ms * DP_US_PER_MS;
  gint64 wait = SYN_LIFE_US;

  if (deadline > 0)
    wait = MIN (wait, deadline - deadline / WORK_SHARE);
  return wait - segment->syn_age_ms * DP_US_PER_MS;
}

/* Sets the time by which the client's next retransmission of its SYN is due. */
static void
expect_copy_ (DpPassthroughFlow *flow, const DpSegment *syn, gint64 now)
{
  flow->retransmission_due_at = 0;
  for (guint i = 0; i < G_N_ELEMENTS (copies_ms_); i++)
    {
      if (syn->syn_age_ms >= copies_ms_[i])
        continue;
      flow->retransmission_due_at = now + (copies_ms_[i] - syn->syn_age_ms) * DP_US_PER_MS
                                    + COPY_SLACK_US;
      return;
    }
}

/* Returns whether the client of a waiting flow has given up: its time has passed, or it
 * has stopped retransmitting its SYN, like a client that began its request before an
 * outage and is past its deadline. A slot that is offered to such a client stays idle for
 * 300 ms. */
static gboolean
has_expired_ (const DpPassthroughFlow *flow, gint64 now)
{
  return now >= flow->client_gives_up_at
         || (flow->retransmission_due_at != 0 && now >= flow->retransmission_due_at);
}

/* Returns the hop of a SYN that has waited, with its times reduced by the wait. */
static DpHop
hop_after_wait_ (const DpPassthroughFlow *flow, gint64 now)
{
  const gint64 waited_ms = (now - flow->waiting_since) / DP_US_PER_MS;
  const gint64 left_ms = (flow->client_gives_up_at - now) / DP_US_PER_MS;
  DpHop hop = flow->hop;

  hop.wait_limit_ms = (guint16) MAX (hop.wait_limit_ms - waited_ms, 0);
  if (hop.deadline_ms > 0)
    hop.deadline_ms = (guint16) MAX (hop.deadline_ms - waited_ms, 1);
  else
    hop.deadline_ms = (guint16) CLAMP (left_ms, 1, G_MAXUINT16);
  return hop;
}

/* Returns a flow that should no longer wait here: its client has given up, the server
 * takes no new flows, or the flow is late and a member of a new view may have a free slot
 * for it. */
static DpPassthroughFlow *
next_to_leave_ (DpPassthroughAdmission *new_flows, gboolean serving, gint64 now)
{
  DpHandle cursor = DP_HANDLE_NONE;
  DpPassthroughFlow *flow;
  gboolean near;

  if (serving && !new_flows->view_changed
      && now - new_flows->waiting_checked_at < REVIEW_US)
    return NULL;
  while ((flow = dp_passthrough_flows_iter_waiting (new_flows->flows, &cursor)) != NULL)
    {
      if (!serving || has_expired_ (flow, now)
          || (new_flows->view_changed && flow->late
              && next_for_new_flow_ (new_flows, flow->hash, flow->hop.n_visited, &near)
                     != NULL))
        return flow;
    }
  new_flows->view_changed = FALSE;
  new_flows->waiting_checked_at = now;
  return NULL;
}

/* Forwards or rejects a flow that has no slot, or drops its SYN if the client has given
 * up. */
static DpPassthroughDecision
end_wait_ (DpPassthroughAdmission *new_flows,
           DpPassthroughFlow *flow,
           gboolean serving,
           gint64 now)
{
  const DpPassthroughReason reason = serving ? DP_PASSTHROUGH_BUSY
                                             : DP_PASSTHROUGH_NOT_SERVING;
  const DpHop hop = hop_after_wait_ (flow, now);
  const gboolean expired = has_expired_ (flow, now);
  const DpSegment segment = {
    .key = flow->key, .hash = flow->hash, .seq = flow->syn_seq, .flags = DP_TCP_SYN
  };

  dp_passthrough_flows_remove (new_flows->flows, flow);
  if (expired)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_EXPIRED,
                                         &hop);
  return dp_passthrough_admission_forward_or_reject (new_flows, &segment, &hop, reason,
                                                     reason, now);
}

/* Rejects a new flow that is not expected to be served here in time. Just after a start,
 * other members may have free slots without being known yet; the SYN is then dropped, and
 * its retransmission 200 ms later is decided anew. */
static DpPassthroughDecision
reject_ (const DpPassthroughAdmission *new_flows, const DpHop *hop, gint64 now)
{
  const gboolean alone = new_flows->candidates == NULL
                         || dp_candidates_view (new_flows->candidates)->n_members < 2;

  if (alone && now - new_flows->created_at < GATHER_US)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_GATHERING,
                                         hop);
  return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET, DP_PASSTHROUGH_OVERLOADED,
                                       hop);
}

/* Records that the SYN is sent to the server. The flow already has its slot. */
static void
offer_ (DpPassthroughAdmission *new_flows, DpPassthroughFlow *flow, gint64 now)
{
  flow->state = DP_PASSTHROUGH_FLOW_OFFERED;
  flow->used_at = now;
  dp_passthrough_flows_begin_work (new_flows->flows, flow, flow->has_slot, now);
  if (new_flows->n_unanswered_syns++ == 0)
    new_flows->first_unanswered_at = now;
}

static DpPassthroughFlow *
add_new_flow_ (DpPassthroughAdmission *new_flows,
               const DpSegment *segment,
               const DpHop *hop,
               DpPassthroughFlowState state,
               gint64 now)
{
  DpPassthroughFlow *flow = dp_passthrough_flows_add (new_flows->flows, segment, now);

  if (flow == NULL)
    return NULL;
  flow->state = state;
  flow->syn_seq = segment->seq;
  flow->class = (DpTrafficClass) hop->class;
  flow->hop = *hop;
  return flow;
}

static gboolean
is_serving_ (const DpPassthroughAdmission *new_flows, gint64 now)
{
  return new_flows->serving
         && !dp_passthrough_admission_server_is_silent (new_flows, now);
}

/* Forwards a SYN to the member, and records that for its retransmissions. */
static DpPassthroughDecision
pass_new_flow_ (DpPassthroughAdmission *new_flows,
                const DpSegment *segment,
                const DpHop *hop,
                const DpMember *next,
                DpPassthroughReason reason,
                gint64 now)
{
  DpPassthroughFlow *flow = add_new_flow_ (new_flows, segment, hop,
                                           DP_PASSTHROUGH_FLOW_FORWARDED, now);

  if (flow != NULL)
    flow->forwarded_to = next->address;
  return dp_passthrough_decision_forward (&next->address, reason, hop);
}

/* Returns the active member that the SYN visits next: the following one in the flow's
 * order of members, within the own availability zone until all of its members have been
 * visited, then in any zone. NULL if the SYN has visited as many members as it may.
 * visited: number of members visited before this one. near: set to whether members of the
 * own zone are left to visit. */
static const DpMember *
next_for_new_flow_ (DpPassthroughAdmission *new_flows,
                    guint64 hash,
                    guint visited,
                    gboolean *near)
{
  const guint n_visited = visited + 1;
  DpCandidates *candidates = new_flows->candidates;
  const DpMember *self;
  const DpMember *member;
  const DpMember *other = NULL;
  DpMemberView *view;
  guint n_near = 0;
  guint n_active = 0;

  *near = FALSE;
  if (candidates == NULL || n_visited >= DP_PASSTHROUGH_VISITS_MAX)
    return NULL;
  view = dp_candidates_view (candidates);
  self = dp_member_view_find (view, new_flows->member_id);
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
  member = dp_candidates_after (candidates, hash, DP_CANDIDATES_ACTIVE,
                                new_flows->member_id);
  for (guint i = 0; member != NULL && member->id != new_flows->member_id && i < n_active;
       i++)
    {
      gboolean in_zone = self != NULL && g_str_equal (member->zone, self->zone);

      if (in_zone == *near)
        return member;
      if (other == NULL)
        other = member;
      member = dp_candidates_after (candidates, hash, DP_CANDIDATES_ACTIVE, member->id);
    }
  *near = FALSE;
  return other;
}
