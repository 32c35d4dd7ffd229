#include "private/passthroughadmission.h"

#include "private/passthroughdecision.h"
#include "private/synrejection.h"
#include "protected/clock.h"

/* Maximum age of a SYN that is still answered. A client gives up an unanswered SYN after
 * 1.4 s, or at its deadline; the difference is for the packets' transit. */
#define SYN_AGE_MAX_US (1350 * DP_US_PER_MS)
/* 1 / SERVER_WORK_DIVISOR of a client's deadline is reserved for the server's work when a
 * SYN waits. Of the shortest deadline in use, 1 s, this is 125 ms, several times the mean
 * service time of any class. */
#define SERVER_WORK_DIVISOR 8
/* A late flow waits only if its turn is expected within 1 / LATE_WAIT_FACTOR of the time
 * for which a wait is of use to its client, since new flows that can be served in time go
 * first. */
#define LATE_WAIT_FACTOR 2
/* Late flows over which the share of those that get a slot is averaged. */
#define LATE_OUTCOMES 8
/* The share doesn't fall below this value, so that late flows with a short expected wait
 * go on showing what becomes of them. */
#define LATE_SERVED_SHARE_MIN 0.02
/* An overload that has lasted for this many times the wait limit is no burst, and the
 * wait limit is divided by SATURATED_WAIT_DIVISOR. */
#define BURST_WAIT_LIMITS 3
#define SATURATED_WAIT_DIVISOR 2
/* When clients retransmit a SYN, in ms after sending it first. */
static const guint32 syn_retransmissions_ms_[] = { 200, 600 };
/* Delay allowed for a retransmission, which passes through a balancer, which may have
 * just started, and other members. */
#define RETRANSMISSION_SLACK_US (100 * DP_US_PER_MS)
/* Interval between searches for flows that should no longer wait here. */
#define WAITING_CHECK_INTERVAL_US (100 * DP_US_PER_MS)
/* A server answers a SYN within a millisecond unless it is frozen or gone. */
#define SYN_ANSWER_TIMEOUT_US (150 * DP_US_PER_MS)
/* Unanswered SYNs after which the server counts as silent; a single one may be lost. */
#define SILENT_SYNS_MIN 2

typedef enum
{
  NEW_FLOW_OFFER,   /* to the server */
  NEW_FLOW_WAIT,    /* for a slot */
  NEW_FLOW_FORWARD, /* to another member */
  NEW_FLOW_REJECT
} NewFlowAction;

/* What is to be done with the SYN of a new flow. */
typedef struct
{
  NewFlowAction action;
  DpPassthroughReason reason;
  const DpMember *next; /* with NEW_FLOW_FORWARD */
  gboolean held_back; /* there is a slot, but the limit of a cold server holds it back */
  gboolean no_slot;   /* there is none for it here, and no other member gets it */
} NewFlowChoice;

struct _DpPassthroughAdmission
{
  guint32 member_id;
  DpSynRejecter rejecter;
  DpCandidates *candidates;  /* NULL: no view yet */
  DpPassthroughFlows *flows; /* not owned */
  gboolean serving;
  gboolean view_changed; /* the view has changed: late flows may go to new members */
  gint64
      waiting_checked_at; /* us, last search for flows that should no longer wait here */
  double late_served_share;   /* share of late flows that got a slot, moving mean */
  guint64 n_held_back;        /* SYNs that the limit of a cold server has held back */
  guint n_unanswered_syns;    /* SYNs sent to the server since its last packet */
  gint64 first_unanswered_at; /* us, when the first of these SYNs was sent */
};

static NewFlowChoice choose_ (const DpPassthroughAdmission *admission,
                              const DpSegment *segment,
                              const DpHop *hop,
                              gboolean came_back,
                              gint64 now);
static void choose_here_ (const DpPassthroughAdmission *admission,
                          const DpSegment *segment,
                          const DpHop *hop,
                          NewFlowChoice *choice,
                          gint64 now);
static gint64 expected_wait_ (const DpPassthroughAdmission *admission,
                              DpTrafficClass class,
                              gint64 now);
static DpPassthroughDecision offer_ (DpPassthroughAdmission *admission,
                                     const DpSegment *segment,
                                     const DpHop *hop,
                                     gint64 now);
static DpPassthroughDecision queue_flow_ (DpPassthroughAdmission *admission,
                                          const DpSegment *segment,
                                          const DpHop *hop,
                                          gboolean late,
                                          gint64 now);
static gint64
wait_limit_ (const DpPassthroughAdmission *admission, const DpHop *hop, gint64 now);
static gint64 longest_useful_wait_ (const DpSegment *segment, const DpHop *hop);
static void
expect_retransmission_ (DpPassthroughFlow *flow, const DpSegment *syn, gint64 now);
static gboolean has_expired_ (const DpPassthroughFlow *flow, gint64 now);
static DpHop hop_after_wait_ (const DpPassthroughFlow *flow, gint64 now);
static DpPassthroughFlow *
next_to_remove_ (DpPassthroughAdmission *admission, gboolean serving, gint64 now);
static void record_late_outcome_ (DpPassthroughAdmission *admission, gboolean served);
static DpPassthroughDecision end_wait_ (DpPassthroughAdmission *admission,
                                        DpPassthroughFlow *flow,
                                        gboolean serving,
                                        gint64 now);
static DpPassthroughDecision reject_ (const DpPassthroughAdmission *admission,
                                      const DpSegment *segment,
                                      const DpHop *hop,
                                      DpPassthroughReason reason,
                                      gint64 now);
static void
record_offer_ (DpPassthroughAdmission *admission, DpPassthroughFlow *flow, gint64 now);
static DpPassthroughFlow *add_flow_ (DpPassthroughAdmission *admission,
                                     const DpSegment *segment,
                                     const DpHop *hop,
                                     DpPassthroughFlowState state,
                                     gint64 now);
static gboolean is_serving_ (const DpPassthroughAdmission *admission, gint64 now);
static gboolean
has_slot_ (const DpPassthroughAdmission *admission, DpTrafficClass class, gint64 now);
static DpPassthroughDecision forward_new_flow_ (DpPassthroughAdmission *admission,
                                                const DpSegment *segment,
                                                const DpHop *hop,
                                                const DpMember *next,
                                                DpPassthroughReason reason,
                                                gint64 now);
static const DpMember *next_member_ (const DpPassthroughAdmission *admission,
                                     guint64 hash,
                                     guint visited,
                                     gboolean *same_zone);

/* Creates the admission of a member that isn't serving yet. */
DpPassthroughAdmission *
dp_passthrough_admission_new (DpPassthroughFlows *flows,
                              DpFlowDirectory *directory,
                              const char *member,
                              gint64 now)
{
  DpPassthroughAdmission *admission = g_new0 (DpPassthroughAdmission, 1);

  admission->member_id = dp_member_id (member);
  admission->flows = flows;
  admission->rejecter = (DpSynRejecter){ .id = admission->member_id,
                                         .directory = directory,
                                         .created_at = now };
  admission->late_served_share = 1.0;
  return admission;
}

void
dp_passthrough_admission_free (DpPassthroughAdmission *admission)
{
  dp_candidates_free (admission->candidates);
  g_free (admission);
}

/* Sets the packet port of this member. */
void
dp_passthrough_admission_set_address (DpPassthroughAdmission *admission,
                                      const DpAddress *address)
{
  admission->rejecter.address = *address;
}

/* Sets the members to which flows can be forwarded. */
void
dp_passthrough_admission_set_view (DpPassthroughAdmission *admission, DpMemberView *view)
{
  dp_candidates_free (admission->candidates);
  admission->candidates = dp_candidates_new (view);
  admission->rejecter.candidates = admission->candidates;
  admission->view_changed = TRUE;
}

/* Sets whether new flows are offered to the server. */
void
dp_passthrough_admission_set_serving (DpPassthroughAdmission *admission, gboolean serving)
{
  admission->serving = serving;
}

/* Records a packet of the server, which shows that it is not silent. */
void
dp_passthrough_admission_note_server_packet (DpPassthroughAdmission *admission)
{
  admission->n_unanswered_syns = 0;
}

/* Returns the members of the view, not owned by the caller; NULL before the first view.
 */
DpCandidates *
dp_passthrough_admission_candidates (DpPassthroughAdmission *admission)
{
  return admission->candidates;
}

/* Returns whether the server has left several SYNs unanswered for SYN_ANSWER_TIMEOUT_US.
 */
gboolean
dp_passthrough_admission_server_is_silent (const DpPassthroughAdmission *admission,
                                           gint64 now)
{
  return admission->n_unanswered_syns >= SILENT_SYNS_MIN
         && now - admission->first_unanswered_at > SYN_ANSWER_TIMEOUT_US;
}

/* Returns the number of SYNs that the limit of a cold server has held back. */
guint64
dp_passthrough_admission_n_held_back (const DpPassthroughAdmission *admission)
{
  return admission->n_held_back;
}

/* Offers a new flow to the server, queues, forwards or rejects it. The search for a free
 * slot covers the member's own availability zone first. After that, a short wait for a
 * slot here is preferred to a free slot in another zone, since traffic between zones is
 * expensive. A server that fails its requests gets the flow only if no other member takes
 * it. came_back: the SYN was forwarded from here before, and none of the members that it
 * visited since took it. */
DpPassthroughDecision
dp_passthrough_admission_decide (DpPassthroughAdmission *admission,
                                 const DpSegment *segment,
                                 const DpHop *hop,
                                 gboolean came_back,
                                 gint64 now)
{
  const NewFlowChoice choice = choose_ (admission, segment, hop, came_back, now);

  if (choice.held_back)
    admission->n_held_back++;
  if (choice.no_slot)
    dp_slots_note_demand (admission->flows->slots, (DpTrafficClass) hop->class, now);
  switch (choice.action)
    {
    case NEW_FLOW_OFFER:
      return offer_ (admission, segment, hop, now);
    case NEW_FLOW_WAIT:
      return queue_flow_ (admission, segment, hop, choice.reason == DP_PASSTHROUGH_LATE,
                          now);
    case NEW_FLOW_FORWARD:
      return forward_new_flow_ (admission, segment, hop, choice.next, choice.reason, now);
    case NEW_FLOW_REJECT:
    default:
      return reject_ (admission, segment, hop, choice.reason, now);
    }
}

DpPassthroughPreview
dp_passthrough_admission_preview (const DpPassthroughAdmission *admission,
                                  const DpSegment *segment,
                                  const DpHop *hop,
                                  gint64 now)
{
  static const DpPassthroughAction actions[] = { DP_PASSTHROUGH_TO_SERVER,
                                                 DP_PASSTHROUGH_HOLD,
                                                 DP_PASSTHROUGH_TO_MEMBER,
                                                 DP_PASSTHROUGH_RESET };
  const NewFlowChoice choice = choose_ (admission, segment, hop, FALSE, now);
  DpPassthroughPreview preview = {
    .action = actions[choice.action],
    .reason = choice.reason,
    .slots = dp_passthrough_flows_n_slots (admission->flows),
    .in_flight = admission->flows->n_in_flight,
    .n_waiting = dp_passthrough_flows_n_waiting (admission->flows),
    .expected_wait = expected_wait_ (admission, (DpTrafficClass) hop->class, now),
    .serving = is_serving_ (admission, now),
    .silent = dp_passthrough_admission_server_is_silent (admission, now),
  };

  if (choice.action == NEW_FLOW_FORWARD)
    preview.member = choice.next->address;
  return preview;
}

/* Decides about a new flow as dp_passthrough_admission_decide () describes. Changes
 * nothing that a later decision depends on. */
static NewFlowChoice
choose_ (const DpPassthroughAdmission *admission,
         const DpSegment *segment,
         const DpHop *hop,
         gboolean came_back,
         gint64 now)
{
  const DpTrafficClass class = (DpTrafficClass) hop->class;
  const gboolean serving = is_serving_ (admission, now);
  const gboolean admitted = serving
                            && dp_server_health_admits (admission->flows->health,
                                                        admission->flows->n_in_flight);
  const gboolean has_slot = has_slot_ (admission, class, now);
  NewFlowChoice choice = {
    .action = NEW_FLOW_FORWARD,
    .reason = !serving    ? DP_PASSTHROUGH_NOT_SERVING
              : !admitted ? DP_PASSTHROUGH_FAILING
                          : DP_PASSTHROUGH_BUSY,
    .held_back = admitted && !has_slot
                 && dp_slots_can_acquire (admission->flows->slots, class),
  };
  gboolean same_zone = FALSE;

  if (admitted && has_slot
      && admission->flows->n_in_flight < dp_passthrough_flows_n_slots (admission->flows)
      && !dp_slots_has_waiting (admission->flows->slots, class))
    return (NewFlowChoice){ .action = NEW_FLOW_OFFER, .reason = DP_PASSTHROUGH_OWNED };
  if (!came_back)
    choice.next = next_member_ (admission, segment->hash, hop->n_visited, &same_zone);
  if (choice.next != NULL && same_zone)
    return choice;
  if (admitted && has_slot)
    return (NewFlowChoice){ .action = NEW_FLOW_OFFER, .reason = DP_PASSTHROUGH_OWNED };
  if (choice.next != NULL)
    return choice;
  if (serving)
    {
      choose_here_ (admission, segment, hop, &choice, now);
      return choice;
    }
  choice.action = NEW_FLOW_REJECT;
  return choice;
}

/* Chooses for a new flow that no other member gets: it is offered to the server, waits if
 * its turn is expected in time, or is rejected. */
static void
choose_here_ (const DpPassthroughAdmission *admission,
              const DpSegment *segment,
              const DpHop *hop,
              NewFlowChoice *choice,
              gint64 now)
{
  const DpTrafficClass class = (DpTrafficClass) hop->class;
  const gint64 age = segment->syn_age_ms * DP_US_PER_MS;
  gint64 late_wait;

  if (has_slot_ (admission, class, now))
    {
      choice->action = NEW_FLOW_OFFER;
      choice->reason = DP_PASSTHROUGH_OWNED;
      return;
    }
  choice->action = NEW_FLOW_WAIT;
  choice->reason = DP_PASSTHROUGH_WAITING;
  choice->no_slot = TRUE;
  if (expected_wait_ (admission, class, now) + age <= wait_limit_ (admission, hop, now))
    return;
  /* A client that is rejected tries again within milliseconds and soon has no attempts
   * left. A late answer serves it better than none. */
  late_wait = MAX (
      dp_slots_expected_late_wait (admission->flows->slots, class, now),
      dp_warmup_limit_wait (admission->flows->warmup,
                            dp_passthrough_flows_n_waiting (admission->flows), now));
  choice->reason = DP_PASSTHROUGH_LATE;
  if ((double) late_wait * LATE_WAIT_FACTOR
      <= admission->late_served_share * (double) longest_useful_wait_ (segment, hop))
    return;
  choice->action = NEW_FLOW_REJECT;
  choice->reason = DP_PASSTHROUGH_OVERLOADED;
}

/* Returns how long a new flow of the class is expected to wait for a slot here, in us. */
static gint64
expected_wait_ (const DpPassthroughAdmission *admission, DpTrafficClass class, gint64 now)
{
  const DpSlots *slots = admission->flows->slots;

  return MAX (dp_slots_expected_wait (slots, class, now),
              dp_warmup_limit_wait (admission->flows->warmup,
                                    dp_slots_ahead (slots, class), now));
}

/* Forwards a SYN that this member can't take, or rejects it if it has visited as many
 * members as it may. */
DpPassthroughDecision
dp_passthrough_admission_forward_or_reject (DpPassthroughAdmission *admission,
                                            const DpSegment *segment,
                                            const DpHop *hop,
                                            DpPassthroughReason forward_reason,
                                            DpPassthroughReason reject_reason,
                                            gint64 now)
{
  gboolean same_zone;
  const DpMember *next = next_member_ (admission, segment->hash, hop->n_visited,
                                       &same_zone);

  if (next == NULL)
    return reject_ (admission, segment, hop, reject_reason, now);
  return forward_new_flow_ (admission, segment, hop, next, forward_reason, now);
}

/* Decides about a SYN that another member has rejected. */
DpPassthroughDecision
dp_passthrough_admission_confirm_rejection (const DpPassthroughAdmission *admission,
                                            const DpSegment *segment,
                                            const DpHop *hop,
                                            gint64 now)
{
  return dp_syn_rejection_confirm (&admission->rejecter, segment, hop, now);
}

/* Stores the packet of a flow whose SYN is to be held; takes a reference to it. */
void
dp_passthrough_admission_hold_packet (DpPassthroughAdmission *admission,
                                      const DpSegment *segment,
                                      GBytes *packet)
{
  DpPassthroughFlow *flow = dp_passthrough_flows_find (admission->flows, segment);

  g_return_if_fail (flow != NULL && flow->state == DP_PASSTHROUGH_FLOW_WAITING);
  g_clear_pointer (&flow->packet, g_bytes_unref);
  flow->packet = g_bytes_ref (packet);
}

/* Records that the client of a waiting flow has retransmitted its SYN. */
void
dp_passthrough_admission_note_retransmission (DpPassthroughAdmission *admission,
                                              DpPassthroughFlow *flow,
                                              const DpSegment *retransmission,
                                              gint64 now)
{
  g_return_if_fail (flow->state == DP_PASSTHROUGH_FLOW_WAITING);
  expect_retransmission_ (flow, retransmission, now);
}

/* Releases the next flow in the queue if a slot is free, or one that should no longer
 * wait here. While the server takes no new flows, all waiting ones are released to other
 * members. */
gboolean
dp_passthrough_admission_next_released (DpPassthroughAdmission *admission,
                                        DpReleasedSyn *released,
                                        gint64 now)
{
  const gboolean serving = is_serving_ (admission, now);
  DpPassthroughFlow *flow = NULL;
  DpHop hop;

  if (serving && dp_warmup_limit_admits (admission->flows->warmup, now))
    {
      dp_passthrough_flows_reclaim_slots (admission->flows, now);
      flow = dp_passthrough_flows_assign_slot (admission->flows, now);
    }
  if (flow == NULL)
    flow = next_to_remove_ (admission, serving, now);
  if (flow == NULL)
    return FALSE;
  released->key = flow->key;
  released->packet = g_steal_pointer (&flow->packet);
  if (!flow->has_slot || has_expired_ (flow, now))
    {
      released->decision = end_wait_ (admission, flow, serving, now);
      return TRUE;
    }
  if (flow->late)
    record_late_outcome_ (admission, TRUE);
  hop = hop_after_wait_ (flow, now);
  dp_passthrough_flows_observe_time (admission->flows->histograms.wait,
                                     now - flow->waiting_since);
  dp_passthrough_flows_dequeue (admission->flows, flow);
  record_offer_ (admission, flow, now);
  released->decision = dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER,
                                                     DP_PASSTHROUGH_OWNED, &hop);
  return TRUE;
}

/* Offers a new flow to the server, for which there is a slot. */
static DpPassthroughDecision
offer_ (DpPassthroughAdmission *admission,
        const DpSegment *segment,
        const DpHop *hop,
        gint64 now)
{
  DpPassthroughFlow *flow = add_flow_ (admission, segment, hop,
                                       DP_PASSTHROUGH_FLOW_OFFERED, now);

  if (flow == NULL)
    return reject_ (admission, segment, hop, DP_PASSTHROUGH_OVERLOADED, now);
  flow->has_slot = dp_slots_acquire (admission->flows->slots, flow->class);
  record_offer_ (admission, flow, now);
  return dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER, DP_PASSTHROUGH_OWNED,
                                       hop);
}

/* Returns the longest wait, in us, after which a new flow is still expected to be in
 * time. A queue that never runs empty no longer absorbs a burst. It only makes every flow
 * in it wait, and a shorter one keeps the slots as busy. */
static gint64
wait_limit_ (const DpPassthroughAdmission *admission, const DpHop *hop, gint64 now)
{
  const gint64 limit = hop->wait_limit_ms * DP_US_PER_MS;
  const gint64 saturated = dp_slots_saturated_time (admission->flows->slots,
                                                    (DpTrafficClass) hop->class, now);

  return saturated > BURST_WAIT_LIMITS * limit ? limit / SATURATED_WAIT_DIVISOR : limit;
}

/* Queues a new flow for a slot. */
static DpPassthroughDecision
queue_flow_ (DpPassthroughAdmission *admission,
             const DpSegment *segment,
             const DpHop *hop,
             gboolean late,
             gint64 now)
{
  DpPassthroughFlow *flow = add_flow_ (admission, segment, hop,
                                       DP_PASSTHROUGH_FLOW_WAITING, now);

  if (flow == NULL)
    return reject_ (admission, segment, hop, DP_PASSTHROUGH_OVERLOADED, now);
  flow->client_gives_up_at = now + longest_useful_wait_ (segment, hop);
  expect_retransmission_ (flow, segment, now);
  if (dp_passthrough_flows_enqueue (admission->flows, flow, late, now))
    return dp_passthrough_decision_make (
        DP_PASSTHROUGH_HOLD, late ? DP_PASSTHROUGH_LATE : DP_PASSTHROUGH_WAITING, hop);
  dp_passthrough_flows_remove (admission->flows, flow);
  return reject_ (admission, segment, hop, DP_PASSTHROUGH_OVERLOADED, now);
}

/* Returns the time in us, from now on, for which a SYN can wait and still be of use to
 * its client. */
static gint64
longest_useful_wait_ (const DpSegment *segment, const DpHop *hop)
{
  const gint64 deadline = hop->deadline_ms * DP_US_PER_MS;
  gint64 wait = SYN_AGE_MAX_US;

  if (deadline > 0)
    wait = MIN (wait, deadline - deadline / SERVER_WORK_DIVISOR);
  return wait - segment->syn_age_ms * DP_US_PER_MS;
}

/* Sets the time by which the client's next retransmission of its SYN is due. */
static void
expect_retransmission_ (DpPassthroughFlow *flow, const DpSegment *syn, gint64 now)
{
  flow->retransmission_due_at = 0;
  for (guint i = 0; i < G_N_ELEMENTS (syn_retransmissions_ms_); i++)
    {
      if (syn->syn_age_ms >= syn_retransmissions_ms_[i])
        continue;
      flow->retransmission_due_at =
          now + (syn_retransmissions_ms_[i] - syn->syn_age_ms) * DP_US_PER_MS
          + RETRANSMISSION_SLACK_US;
      return;
    }
}

/* Returns whether the client of a waiting flow has given up: client_gives_up_at has
 * passed, or the client has stopped retransmitting its SYN, like a client that began its
 * request before an outage and is past its deadline. A slot that is offered to such a
 * client stays idle for 300 ms. */
static gboolean
has_expired_ (const DpPassthroughFlow *flow, gint64 now)
{
  return now >= flow->client_gives_up_at
         || (flow->retransmission_due_at != 0 && now >= flow->retransmission_due_at);
}

/* Returns the hop metadata of a SYN that has waited, with its times reduced by the wait.
 */
static DpHop
hop_after_wait_ (const DpPassthroughFlow *flow, gint64 now)
{
  const gint64 waited_ms = (now - flow->waiting_since) / DP_US_PER_MS;
  const gint64 left_ms = (flow->client_gives_up_at - now) / DP_US_PER_MS;
  DpHop hop = flow->hop;

  hop.held_ms = (guint16) MIN (hop.held_ms + waited_ms, G_MAXUINT16);
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
next_to_remove_ (DpPassthroughAdmission *admission, gboolean serving, gint64 now)
{
  DpHandle cursor = DP_HANDLE_NONE;
  DpPassthroughFlow *flow;
  gboolean same_zone;

  if (serving && !admission->view_changed
      && now - admission->waiting_checked_at < WAITING_CHECK_INTERVAL_US)
    return NULL;
  while ((flow = dp_passthrough_flows_iter_waiting (admission->flows, &cursor)) != NULL)
    {
      if (!serving || has_expired_ (flow, now)
          || (admission->view_changed && flow->late
              && next_member_ (admission, flow->hash, flow->hop.n_visited, &same_zone)
                     != NULL))
        return flow;
    }
  admission->view_changed = FALSE;
  admission->waiting_checked_at = now;
  return NULL;
}

/* Records whether a late flow got a slot before its client gave up. */
static void
record_late_outcome_ (DpPassthroughAdmission *admission, gboolean served)
{
  double *share = &admission->late_served_share;

  *share += ((served ? 1.0 : 0.0) - *share) / LATE_OUTCOMES;
  *share = MAX (*share, LATE_SERVED_SHARE_MIN);
}

/* Forwards or rejects a flow that has no slot, or drops its SYN if the client has given
 * up. */
static DpPassthroughDecision
end_wait_ (DpPassthroughAdmission *admission,
           DpPassthroughFlow *flow,
           gboolean serving,
           gint64 now)
{
  const DpPassthroughReason reason = serving ? DP_PASSTHROUGH_BUSY
                                             : DP_PASSTHROUGH_NOT_SERVING;
  const DpHop hop = hop_after_wait_ (flow, now);
  const gboolean expired = has_expired_ (flow, now);
  const DpSegment segment = {
    .key = flow->key,
    .hash = flow->hash,
    .seq = flow->syn_seq,
    .flags = DP_TCP_SYN,
    .syn_age_ms = flow->syn_age_ms,
  };

  if (expired && flow->late)
    record_late_outcome_ (admission, FALSE);
  dp_passthrough_flows_remove (admission->flows, flow);
  if (expired)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_EXPIRED,
                                         &hop);
  return dp_passthrough_admission_forward_or_reject (admission, &segment, &hop, reason,
                                                     reason, now);
}

/* Rejects a SYN that this member can't take. */
static DpPassthroughDecision
reject_ (const DpPassthroughAdmission *admission,
         const DpSegment *segment,
         const DpHop *hop,
         DpPassthroughReason reason,
         gint64 now)
{
  return dp_syn_rejection_start (&admission->rejecter, segment, hop, reason, now);
}

/* Records that the SYN is sent to the server. The flow already has its slot. */
static void
record_offer_ (DpPassthroughAdmission *admission, DpPassthroughFlow *flow, gint64 now)
{
  flow->state = DP_PASSTHROUGH_FLOW_OFFERED;
  flow->used_at = now;
  dp_passthrough_flows_begin_work (admission->flows, flow, flow->has_slot, now);
  dp_warmup_limit_note_syn (admission->flows->warmup, now);
  if (admission->n_unanswered_syns++ == 0)
    admission->first_unanswered_at = now;
}

static DpPassthroughFlow *
add_flow_ (DpPassthroughAdmission *admission,
           const DpSegment *segment,
           const DpHop *hop,
           DpPassthroughFlowState state,
           gint64 now)
{
  DpPassthroughFlow *flow = dp_passthrough_flows_add (admission->flows, segment, now);

  if (flow == NULL)
    return NULL;
  flow->state = state;
  flow->syn_seq = segment->seq;
  flow->syn_age_ms = segment->syn_age_ms;
  flow->syn_at = now;
  flow->class = (DpTrafficClass) hop->class;
  flow->hop = *hop;
  return flow;
}

static gboolean
is_serving_ (const DpPassthroughAdmission *admission, gint64 now)
{
  return admission->serving
         && !dp_passthrough_admission_server_is_silent (admission, now);
}

/* Returns whether a new flow of the class may be offered to the server at once. */
static gboolean
has_slot_ (const DpPassthroughAdmission *admission, DpTrafficClass class, gint64 now)
{
  return dp_slots_can_acquire (admission->flows->slots, class)
         && dp_warmup_limit_admits (admission->flows->warmup, now);
}

/* Forwards a SYN to the member, and records that for its retransmissions. */
static DpPassthroughDecision
forward_new_flow_ (DpPassthroughAdmission *admission,
                   const DpSegment *segment,
                   const DpHop *hop,
                   const DpMember *next,
                   DpPassthroughReason reason,
                   gint64 now)
{
  DpPassthroughFlow *flow = add_flow_ (admission, segment, hop,
                                       DP_PASSTHROUGH_FLOW_FORWARDED, now);

  if (flow != NULL)
    flow->forwarded_to = next->address;
  return dp_passthrough_decision_forward (&next->address, reason, hop);
}

/* Returns the active member that the SYN visits next: the following one in the flow's
 * order of members, within the own availability zone until all of its members have been
 * visited, then in any zone. NULL if the SYN has visited as many members as it may.
 * visited: number of members visited before this one. same_zone: set to whether members
 * of the own zone are left to visit. */
static const DpMember *
next_member_ (const DpPassthroughAdmission *admission,
              guint64 hash,
              guint visited,
              gboolean *same_zone)
{
  const guint n_visited = visited + 1;
  DpCandidates *candidates = admission->candidates;
  const DpMember *self;
  const DpMember *member;
  const DpMember *other = NULL;
  DpMemberView *view;
  guint n_same_zone = 0;
  guint n_active = 0;

  *same_zone = FALSE;
  if (candidates == NULL || n_visited >= DP_PASSTHROUGH_VISITS_MAX)
    return NULL;
  view = dp_candidates_view (candidates);
  self = dp_member_view_find (view, admission->member_id);
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];

      if (m->state != DP_MEMBER_ACTIVE)
        continue;
      n_active++;
      n_same_zone += self != NULL && g_str_equal (m->zone, self->zone) ? 1 : 0;
    }
  if (n_visited > n_active)
    return NULL;
  *same_zone = n_visited < n_same_zone;
  member = dp_candidates_after (candidates, hash, DP_CANDIDATES_ACTIVE,
                                admission->member_id);
  for (guint i = 0; member != NULL && member->id != admission->member_id && i < n_active;
       i++)
    {
      gboolean in_zone = self != NULL && g_str_equal (member->zone, self->zone);

      if (in_zone == *same_zone)
        return member;
      if (other == NULL)
        other = member;
      member = dp_candidates_after (candidates, hash, DP_CANDIDATES_ACTIVE, member->id);
    }
  *same_zone = FALSE;
  return other;
}
