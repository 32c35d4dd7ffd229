#include "protected/passthrough.h"

#include "private/passthroughadmission.h"
#include "private/ownerqueries.h"
#include "private/ownerregistrar.h"
#include "private/ownersearch.h"
#include "private/passthroughdecision.h"
#include "private/passthroughflows.h"
#include "protected/clock.h"

/* Age of a client's last retransmission of a SYN; the first comes after 200 ms. */
#define LAST_SYN_RETRANSMISSION_MS 600
/* Data of the server with a sequence number that was sent before counts as retransmitted
 * if it arrives more than this time after the newest data. The server retransmits after
 * 200 ms; reordered packets are closer together. */
#define RETRANSMISSION_MIN_US (150 * DP_US_PER_MS)
/* A flow that was opened later than this after its SYN may have been taken by another
 * member as well, as the first copy of the SYN comes after 200 ms. */
#define UNCONTESTED_OPEN_US (150 * DP_US_PER_MS)
/* Distance between a client's acknowledgement and the server's newest data, at most: 16
 * packets of 1,200 bytes are in flight, and earlier packets may be repeated. */
#define ACKNOWLEDGED_BYTES_MAX 76800
/* Minimum interval between two registrations of a flow whose packets are searched. */
#define REGISTRATION_INTERVAL_US DP_US_PER_S
/* After a pause, packets that came meanwhile are read within this time. */
#define PAUSE_BACKLOG_US (100 * DP_US_PER_MS)
#define DIRECTORY_SWEEP_INTERVAL_US DP_US_PER_S
/* Default until the limits are set: the longest lifetime of flows on current platforms.
 */
#define DEFAULT_FLOW_TTL_US (60 * DP_US_PER_S)

struct _DpPassthrough
{
  guint32 service_tag;
  guint32 member_id;
  gint64 view_set_at;     /* us */
  gint64 backlog_read_at; /* us; packets that came during a pause are read before */
  DpPassthroughFlows *flows;
  DpFlowDirectory *directory; /* this member's part */
  gint64 directory_swept_at;  /* us, last search for expired entries */
  DpOwnerRegistrar *registrar;
  DpPassthroughAdmission *admission;
  DpOwnerSearch *search;
  DpOwnerQueries *queries;
};

static DpPassthroughBasis
make_basis_ (DpPassthrough *passthrough, const DpPassthroughFlow *flow, gint64 now);
static DpPassthroughDecision decide_from_peer_ (DpPassthrough *passthrough,
                                                DpPassthroughFlow *flow,
                                                const DpSegment *segment,
                                                const DpHop *hop,
                                                gint64 now);
static DpPassthroughDecision decide_returned_ (DpPassthrough *passthrough,
                                               DpPassthroughFlow *flow,
                                               const DpSegment *segment,
                                               const DpHop *returned,
                                               gint64 now);
static DpPassthroughDecision decide_syn_ (DpPassthrough *passthrough,
                                          DpPassthroughFlow *flow,
                                          const DpSegment *segment,
                                          const DpHop *hop,
                                          gint64 now);
static DpPassthroughDecision decide_unowned_ (DpPassthrough *passthrough,
                                              DpPassthroughFlow *flow,
                                              const DpSegment *segment,
                                              const DpHop *hop,
                                              DpPassthroughReason reason,
                                              gint64 now);
static const DpFlowOwner *registered_owner_ (DpPassthrough *passthrough,
                                             const DpSegment *segment,
                                             const DpHop *hop,
                                             gint64 now);
static gboolean may_ask_server_ (const DpPassthrough *passthrough,
                                 const DpPassthroughFlow *flow,
                                 gint64 now);
static gboolean may_have_flow_ (const DpHop *hop);
static gboolean is_active_ (const DpPassthrough *passthrough, const DpAddress *member);
static DpPassthroughDecision search_owner_ (DpPassthrough *passthrough,
                                            const DpSegment *segment,
                                            const DpHop *hop,
                                            DpPassthroughReason reason,
                                            gint64 now);
static void
register_flow_ (DpPassthrough *passthrough, DpPassthroughFlow *flow, gint64 now);
static void withdraw_flow_ (DpPassthrough *passthrough, const DpFlowKey *key, gint64 now);
static void update_registrations_ (DpPassthrough *passthrough, gint64 now);
static gboolean is_registered_ (const DpPassthroughFlow *flow);
static DpPassthroughDecision decide_client_packet_ (DpPassthrough *passthrough,
                                                    DpPassthroughFlow *flow,
                                                    const DpSegment *segment,
                                                    const DpHop *hop,
                                                    gint64 now);
static gboolean may_belong_ (const DpPassthroughFlow *flow, const DpSegment *segment);
static gboolean is_of_later_flow_ (const DpPassthroughFlow *flow,
                                   const DpSegment *segment);
static gboolean is_of_other_server_ (const DpPassthroughFlow *flow,
                                     const DpSegment *segment);
static gboolean acknowledges_server_ (const DpPassthroughFlow *flow,
                                      const DpSegment *segment);
static gboolean is_further_request_ (const DpPassthroughFlow *flow);
static void record_client_packet_ (DpPassthrough *passthrough,
                                   DpPassthroughFlow *flow,
                                   const DpSegment *segment,
                                   gint64 now);
static gboolean
record_answer_ (DpPassthroughFlow *flow, const DpSegment *segment, gint64 now);

/* Creates the state of a member that isn't serving yet. */
DpPassthrough *
dp_passthrough_new (const char *service, const char *member, gint64 now)
{
  DpPassthrough *passthrough = g_new0 (DpPassthrough, 1);

  passthrough->service_tag = dp_service_tag (dp_service_id (service));
  passthrough->flows = dp_passthrough_flows_new (DEFAULT_FLOW_TTL_US, now);
  passthrough->member_id = dp_member_id (member);
  passthrough->directory = dp_flow_directory_new (now);
  passthrough->registrar = dp_owner_registrar_new (passthrough->directory,
                                                   passthrough->member_id);
  passthrough->admission = dp_passthrough_admission_new (
      passthrough->flows, passthrough->directory, member, now);
  passthrough->search = dp_owner_search_new (passthrough->member_id);
  passthrough->queries = dp_owner_queries_new ();
  return passthrough;
}

void
dp_passthrough_free (DpPassthrough *passthrough)
{
  if (passthrough == NULL)
    return;
  dp_owner_queries_free (passthrough->queries);
  dp_owner_search_free (passthrough->search);
  dp_passthrough_admission_free (passthrough->admission);
  dp_owner_registrar_free (passthrough->registrar);
  dp_flow_directory_free (passthrough->directory);
  dp_passthrough_flows_free (passthrough->flows);
  g_free (passthrough);
}

/* Sets the limits of this companion's server. */
void
dp_passthrough_set_limits (DpPassthrough *passthrough, const DpPassthroughLimits *limits)
{
  dp_passthrough_flows_set_limits (passthrough->flows, limits->slots, limits->flow_ttl);
  dp_warmup_limit_set_bounds (passthrough->flows->warmup, limits->warmup_overrun,
                              limits->warmup_slack);
}

/* Sets the requests a second that the server declares to handle while it is cold. */
void
dp_passthrough_set_warmup_limit (DpPassthrough *passthrough, double per_second)
{
  dp_warmup_limit_set_rate (passthrough->flows->warmup, per_second);
}

/* Sets the time at which the server is no longer cold. */
void
dp_passthrough_set_warmup_end (DpPassthrough *passthrough, gint64 ends_at)
{
  dp_warmup_limit_set_end (passthrough->flows->warmup, ends_at);
}

/* Learns the server's limit, beginning with the declared slots, from now on. */
void
dp_passthrough_learn_limit (DpPassthrough *passthrough, gint64 now)
{
  dp_passthrough_flows_learn_limit (passthrough->flows, now);
}

/* Returns the learnt limit, owned by the passthrough; NULL if none is learnt. */
DpConcurrencyLimit *
dp_passthrough_concurrency (const DpPassthrough *passthrough)
{
  return passthrough->flows->concurrency;
}

/* Sets the histograms of the flows' times. */
void
dp_passthrough_set_histograms (DpPassthrough *passthrough,
                               const DpPassthroughHistograms *histograms)
{
  passthrough->flows->histograms = *histograms;
}

/* Sets the packet port of this companion. */
void
dp_passthrough_set_address (DpPassthrough *passthrough, const DpAddress *address)
{
  dp_owner_registrar_set_address (passthrough->registrar, address);
  dp_passthrough_admission_set_address (passthrough->admission, address);
}

/* Sets the members to which flows can be forwarded. */
void
dp_passthrough_set_view (DpPassthrough *passthrough, DpMemberView *view, gint64 now)
{
  /* Owners register only with members that are listed. */
  if (dp_passthrough_admission_candidates (passthrough->admission) == NULL)
    dp_flow_directory_note_gap (passthrough->directory, now);
  passthrough->view_set_at = now;
  dp_owner_search_set_view (passthrough->search, view);
  dp_passthrough_admission_set_view (passthrough->admission, view);
  update_registrations_ (passthrough, now);
}

/* Sets whether new flows are offered to the server. */
void
dp_passthrough_set_serving (DpPassthrough *passthrough, gboolean serving)
{
  dp_passthrough_admission_set_serving (passthrough->admission, serving);
}

/* Records that another incarnation of the server runs. Flows of its predecessor no longer
 * count as in flight. without_flows: it holds none yet, so that all of its flows will be
 * known. */
void
dp_passthrough_server_replaced (DpPassthrough *passthrough, gboolean without_flows)
{
  passthrough->flows->complete = without_flows;
  dp_warmup_limit_note_server_replaced (passthrough->flows->warmup, without_flows);
  dp_passthrough_admission_note_server_packet (passthrough->admission);
  dp_passthrough_flows_abandon_all_work (passthrough->flows);
  dp_passthrough_flows_note_server_replaced (passthrough->flows);
  dp_server_health_reset (passthrough->flows->health);
  if (passthrough->flows->concurrency != NULL)
    dp_concurrency_limit_reset (passthrough->flows->concurrency);
}

/* Decides about a client's packet from a balancer or another member. */
DpPassthroughDecision
dp_passthrough_from_peer (DpPassthrough *passthrough,
                          const DpSegment *segment,
                          const DpHop *hop,
                          gint64 now)
{
  DpPassthroughFlow *flow = dp_passthrough_flows_find (passthrough->flows, segment);
  /* The decision may change or remove the flow. */
  const DpPassthroughBasis basis = make_basis_ (passthrough, flow, now);
  DpPassthroughDecision decision = decide_from_peer_ (passthrough, flow, segment, hop,
                                                      now);

  decision.basis = basis;
  /* The server may have the flow of a request about which it is asked. */
  if (decision.reason == DP_PASSTHROUGH_ASKED && segment->payload_length > 0)
    dp_warmup_limit_note_further (passthrough->flows->warmup, now);
  if (dp_segment_opens_flow (segment)
      && (decision.action == DP_PASSTHROUGH_TO_SERVER
          || decision.action == DP_PASSTHROUGH_HOLD
          || decision.reason == DP_PASSTHROUGH_WAITING))
    register_flow_ (passthrough, dp_passthrough_flows_find (passthrough->flows, segment),
                    now);
  return decision;
}

/* A full table of flows, in which case a flow is rejected, is not considered. */
DpPassthroughPreview
dp_passthrough_preview (const DpPassthrough *passthrough,
                        const DpSegment *segment,
                        const DpHop *hop,
                        gint64 now)
{
  return dp_passthrough_admission_preview (passthrough->admission, segment, hop, now);
}

/* Decides about a client's packet that the server returned. */
DpPassthroughDecision
dp_passthrough_returned (DpPassthrough *passthrough,
                         const DpSegment *segment,
                         const DpHop *returned,
                         gint64 now)
{
  DpPassthroughFlow *flow = dp_passthrough_flows_find (passthrough->flows, segment);
  const DpPassthroughBasis basis = make_basis_ (passthrough, flow, now);
  DpPassthroughDecision decision = decide_returned_ (passthrough, flow, segment, returned,
                                                     now);

  decision.basis = basis;
  return decision;
}

/* Decides about a packet of the server, and updates the state of its flow. A packet of
 * the server shows that the server owns the flow. */
DpPassthroughDecision
dp_passthrough_from_server (DpPassthrough *passthrough,
                            const DpSegment *segment,
                            gint64 now)
{
  const guint8 handshake = DP_TCP_SYN | DP_TCP_ACK;
  const DpHop hop = { passthrough->service_tag, 0, 0 };
  DpPassthroughFlow *flow = dp_passthrough_flows_find (passthrough->flows, segment);
  const gboolean found = flow == NULL || !dp_passthrough_flow_is_owned (flow);
  gboolean repeated = FALSE;

  dp_passthrough_admission_note_server_packet (passthrough->admission);
  if (flow == NULL)
    flow = dp_passthrough_flows_add (passthrough->flows, segment, now);
  if (flow == NULL)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_TO_CLIENT, DP_PASSTHROUGH_OWNED,
                                         &hop);
  flow->used_at = now;
  flow->of_predecessor = FALSE;
  /* A server that was frozen can answer an earlier SYN of a flow whose retransmission
   * waits. */
  dp_passthrough_flows_dequeue (passthrough->flows, flow);
  if ((segment->flags & handshake) == handshake)
    {
      if (flow->state == DP_PASSTHROUGH_FLOW_OFFERED)
        dp_passthrough_flows_observe_time (passthrough->flows->histograms.accept,
                                           now - flow->offered_at);
      if (flow->state != DP_PASSTHROUGH_FLOW_OPEN)
        flow->state = DP_PASSTHROUGH_FLOW_ANSWERED;
      flow->syn_seq = segment->ack - 1;
      flow->syn_ack_seq = segment->seq;
      flow->syn_ack_seen = TRUE;
    }
  else if (flow->state != DP_PASSTHROUGH_FLOW_CLOSED)
    flow->state = DP_PASSTHROUGH_FLOW_OPEN;
  if (segment->payload_length > 0 || (segment->flags & DP_TCP_FIN) != 0)
    repeated = record_answer_ (flow, segment, now);
  if (segment->payload_length > 0)
    dp_passthrough_flows_note_answer_begin (passthrough->flows, flow,
                                            segment->seq + segment->payload_length, now);
  if ((segment->flags & (DP_TCP_FIN | DP_TCP_RST)) != 0)
    flow->server_finished = TRUE;
  if (flow->server_finished)
    dp_passthrough_flows_end_work (passthrough->flows, flow, now);
  else if (segment->payload_length > 0 && flow->new_data_at == now && !repeated
           && flow->server_next_seq == segment->seq + segment->payload_length)
    dp_passthrough_flows_note_answer (passthrough->flows, flow, segment->partial, now);
  if ((segment->flags & DP_TCP_RST) != 0)
    flow->client_finished = TRUE;
  if (flow->server_finished && flow->client_finished)
    flow->state = DP_PASSTHROUGH_FLOW_CLOSED;
  if (found)
    register_flow_ (passthrough, flow, now);
  return dp_passthrough_decision_make (
      DP_PASSTHROUGH_TO_CLIENT, repeated ? DP_PASSTHROUGH_REPEATED : DP_PASSTHROUGH_OWNED,
      &hop);
}

/* Stores the packet of a flow whose SYN is to be held. */
void
dp_passthrough_hold_packet (DpPassthrough *passthrough,
                            const DpSegment *segment,
                            GBytes *packet)
{
  dp_passthrough_admission_hold_packet (passthrough->admission, segment, packet);
}

/* Releases the next flow in the queue if a slot is free, or one that should no longer
 * wait here. */
gboolean
dp_passthrough_next_released (DpPassthrough *passthrough,
                              DpReleasedSyn *released,
                              gint64 now)
{
  if (!dp_passthrough_admission_next_released (passthrough->admission, released, now))
    return FALSE;
  if (released->decision.action != DP_PASSTHROUGH_TO_SERVER)
    withdraw_flow_ (passthrough, &released->key, now);
  return TRUE;
}

/* Returns whether the server has left several SYNs unanswered. */
gboolean
dp_passthrough_server_is_silent (const DpPassthrough *passthrough, gint64 now)
{
  return dp_passthrough_admission_server_is_silent (passthrough->admission, now);
}

void
dp_passthrough_keep_packet (DpPassthrough *passthrough,
                            const DpSegment *segment,
                            const DpHop *hop,
                            const DpPassthroughDecision *decision,
                            GBytes *packet,
                            gint64 now)
{
  DpSearchedPacket searched = {
    .segment = *segment,
    .hop = *hop,
    .packet = packet,
    .first_sent_at = now,
  };

  searched.hop.service_tag = passthrough->service_tag;
  dp_owner_search_keep (passthrough->search, &searched, &decision->member, now);
}

/* Decides again about a packet whose member has not answered. */
gboolean
dp_passthrough_next_unanswered (DpPassthrough *passthrough,
                                DpRedecidedPacket *unanswered,
                                gint64 now)
{
  DpSearchedPacket searched;

  if (!dp_owner_search_next_unanswered (passthrough->search, &searched, now))
    return FALSE;
  unanswered->segment = searched.segment;
  unanswered->packet = searched.packet;
  unanswered->decision = dp_passthrough_from_peer (passthrough, &searched.segment,
                                                   &searched.hop, now);
  if (unanswered->decision.unconfirmed)
    dp_owner_search_keep (passthrough->search, &searched, &unanswered->decision.member,
                          now);
  return TRUE;
}

gboolean
dp_passthrough_ask_members (DpPassthrough *passthrough,
                            const DpSegment *segment,
                            const DpHop *hop,
                            GBytes *packet,
                            gint64 now)
{
  const DpQueriedPacket queried = { *segment, *hop, packet };
  DpCandidates *candidates = dp_passthrough_admission_candidates (passthrough->admission);

  return candidates != NULL
         && dp_owner_queries_add (passthrough->queries, dp_candidates_view (candidates),
                                  passthrough->member_id, &queried, now);
}

gboolean
dp_passthrough_next_query (DpPassthrough *passthrough,
                           DpOwnerQuery *query,
                           const DpMemberView **view)
{
  DpCandidates *candidates = dp_passthrough_admission_candidates (passthrough->admission);

  if (candidates == NULL || !dp_owner_queries_next (passthrough->queries, query))
    return FALSE;
  query->sender = *dp_owner_registrar_address (passthrough->registrar);
  *view = dp_candidates_view (candidates);
  return TRUE;
}

/* Names this member as the owner, or the one that its part of the directory names. */
gboolean
dp_passthrough_answer_query (DpPassthrough *passthrough,
                             const DpOwnerQuery *query,
                             DpFlowOwner *owner,
                             DpOwnerAnswer *answer,
                             gint64 now)
{
  const DpSegment segment = { .key = query->key,
                              .hash = dp_flow_key_hash (&query->key),
                              .flags = DP_TCP_ACK,
                              .ack = query->ack };
  const DpHop hop = { 0 };
  DpPassthroughFlow *flow = dp_passthrough_flows_find (passthrough->flows, &segment);
  const DpFlowOwner *registered;

  if (flow != NULL && dp_passthrough_flow_is_owned (flow) && may_belong_ (flow, &segment))
    {
      *owner = dp_owner_registrar_make_owner (passthrough->registrar, flow);
      return TRUE;
    }
  registered = registered_owner_ (passthrough, &segment, &hop, now);
  if (registered != NULL && !dp_address_equal (&registered->member, &query->sender))
    {
      *owner = *registered;
      return TRUE;
    }
  *answer = (DpOwnerAnswer){
    .key = query->key,
    .may_have_flow = may_ask_server_ (passthrough, flow, now),
    .sender = *dp_owner_registrar_address (passthrough->registrar),
  };
  return FALSE;
}

gboolean
dp_passthrough_note_owner_answer (DpPassthrough *passthrough, const DpOwnerAnswer *answer)
{
  return dp_owner_queries_note_answer (passthrough->queries, answer);
}

gboolean
dp_passthrough_next_found (DpPassthrough *passthrough,
                           const DpFlowKey *key,
                           DpRedecidedPacket *found,
                           gint64 now)
{
  const DpSegment any = { .key = *key, .hash = dp_flow_key_hash (key) };
  const DpHop hop = { 0 };
  DpQueriedPacket queried;

  if (registered_owner_ (passthrough, &any, &hop, now) == NULL
      || !dp_owner_queries_take (passthrough->queries, key, &queried))
    return FALSE;
  *found = (DpRedecidedPacket){
    .segment = queried.segment,
    .packet = queried.packet,
    .decision = dp_passthrough_from_peer (passthrough, &queried.segment, &queried.hop,
                                          now),
  };
  return TRUE;
}

/* This member's own server is asked once all others are known not to have the flow. */
gboolean
dp_passthrough_next_unfound (DpPassthrough *passthrough,
                             DpRedecidedPacket *unfound,
                             gint64 now)
{
  DpPassthroughDecision *decision = &unfound->decision;
  DpOwnerSearchStep step;
  DpHop hop;

  if (!dp_owner_queries_next_step (passthrough->queries, &step, now))
    return FALSE;
  hop = step.queried.hop;
  hop.n_visited = DP_VISITS_ENDED;
  hop.search_steps = DP_SEARCH_STEPS_MAX;
  hop.n_owners_tried = 0;
  unfound->segment = step.queried.segment;
  unfound->packet = step.queried.packet;
  if (step.has_candidate)
    {
      *decision = dp_passthrough_decision_make (DP_PASSTHROUGH_TO_MEMBER,
                                                DP_PASSTHROUGH_SEARCHING, &hop);
      decision->member = step.candidate;
      return TRUE;
    }
  *decision = dp_passthrough_from_peer (passthrough, &step.queried.segment, &hop, now);
  if (decision->action == DP_PASSTHROUGH_DROP)
    decision->reason = DP_PASSTHROUGH_NOT_FOUND;
  return TRUE;
}

void
dp_passthrough_note_copy (DpPassthrough *passthrough,
                          const DpSegment *segment,
                          const DpAddress *sender,
                          gint64 now)
{
  DpPassthroughFlow *flow = dp_passthrough_flows_find (passthrough->flows, segment);

  if (flow == NULL)
    {
      flow = dp_passthrough_flows_add (passthrough->flows, segment, now);
      if (flow == NULL)
        return;
      flow->state = DP_PASSTHROUGH_FLOW_NOT_OWNED;
    }
  flow->copy_sender = *sender;
}

gboolean
dp_passthrough_copy_sender (DpPassthrough *passthrough,
                            const DpSegment *segment,
                            DpAddress *sender)
{
  const DpPassthroughFlow *flow = dp_passthrough_flows_find (passthrough->flows, segment);

  if (flow == NULL || flow->copy_sender.port == 0)
    return FALSE;
  *sender = flow->copy_sender;
  return TRUE;
}

guint
dp_passthrough_n_kept (const DpPassthrough *passthrough)
{
  return dp_owner_search_n_kept (passthrough->search)
         + dp_owner_queries_n_searches (passthrough->queries);
}

/* Returns the next member to be probed. */
gboolean
dp_passthrough_next_probe (DpPassthrough *passthrough, DpAddress *member)
{
  return dp_owner_search_next_probe (passthrough->search, member);
}

void
dp_passthrough_note_probe_answer (DpPassthrough *passthrough, const DpAddress *member)
{
  dp_owner_search_note_answer (passthrough->search, member);
}

/* Returns the next registration to be sent. */
gboolean
dp_passthrough_next_registration (DpPassthrough *passthrough,
                                  DpOwnerRegistration *registration)
{
  return dp_owner_registrar_next (passthrough->registrar, registration);
}

/* Records a pause: for some time this member knows less than others. */
void
dp_passthrough_note_pause (DpPassthrough *passthrough, gint64 now)
{
  dp_flow_directory_note_gap (passthrough->directory, now);
  passthrough->backlog_read_at = now + PAUSE_BACKLOG_US;
  dp_owner_search_note_pause (passthrough->search);
  dp_owner_queries_clear (passthrough->queries);
}

/* Enters the owner of a flow in this member's part of the flow directory. */
void
dp_passthrough_register_owner (DpPassthrough *passthrough,
                               const DpFlowOwner *owner,
                               gint64 now)
{
  dp_flow_directory_register (passthrough->directory, owner, now);
}

void
dp_passthrough_register_copy (DpPassthrough *passthrough,
                              const DpFlowOwner *owner,
                              gint64 now)
{
  dp_flow_directory_register_copy (passthrough->directory, owner, now);
}

/* Registers flows again with a member that has lost its part of the flow directory. */
void
dp_passthrough_repeat_registrations (DpPassthrough *passthrough, const DpAddress *member)
{
  DpCandidates *candidates = dp_passthrough_admission_candidates (passthrough->admission);
  const DpMember *receiver = NULL;
  DpPassthroughFlow *flow;
  GHashTableIter iter;

  for (guint i = 0; candidates != NULL && i < dp_candidates_view (candidates)->n_members;
       i++)
    if (dp_address_equal (&dp_candidates_view (candidates)->members[i].address, member))
      receiver = &dp_candidates_view (candidates)->members[i];
  if (receiver == NULL)
    return;
  g_hash_table_iter_init (&iter, passthrough->flows->by_key);
  while ((flow = dp_passthrough_flows_next (&iter)) != NULL)
    if (is_registered_ (flow))
      dp_owner_registrar_repeat (passthrough->registrar, flow, receiver);
  dp_owner_registrar_repeat_entries (passthrough->registrar, candidates, receiver);
}

/* A planned restart must lose no knowledge of flows: those that keep a flow's entry, and
 * its owner, may be restarted one after the other or together. */
void
dp_passthrough_hand_over (DpPassthrough *passthrough)
{
  DpCandidates *candidates = dp_passthrough_admission_candidates (passthrough->admission);
  DpPassthroughFlow *flow;
  GHashTableIter iter;

  if (candidates == NULL)
    return;
  g_hash_table_iter_init (&iter, passthrough->flows->by_key);
  while ((flow = dp_passthrough_flows_next (&iter)) != NULL)
    if (is_registered_ (flow))
      dp_owner_registrar_hand_over (passthrough->registrar, candidates, flow);
  dp_owner_registrar_hand_over_entries (passthrough->registrar, candidates);
}

/* Removes expired flows, and stops counting flows as in flight whose request was
 * answered or has timed out. */
void
dp_passthrough_tick (DpPassthrough *passthrough, gint64 now)
{
  dp_passthrough_flows_tick (passthrough->flows, now);
  if (now - passthrough->directory_swept_at < DIRECTORY_SWEEP_INTERVAL_US)
    return;
  passthrough->directory_swept_at = now;
  dp_flow_directory_expire (passthrough->directory, passthrough->flows->flow_ttl, now);
}

/* Returns the number of flows that are served before a new one: those in flight and those
 * that wait, except the late ones, which new flows overtake. */
guint
dp_passthrough_load (const DpPassthrough *passthrough)
{
  return passthrough->flows->n_in_flight
         + dp_slots_waiting_in_time (passthrough->flows->slots);
}

/* Returns the number of flows with a pending request. A flow's first request counts from
 * its SYN on. A request counts until the server has answered it or ended the flow, the
 * flow is removed, or the request has timed out. */
guint
dp_passthrough_in_flight (const DpPassthrough *passthrough)
{
  return passthrough->flows->n_in_flight;
}

/* Returns what is known of the limit while the server is cold. */
DpPassthroughWarmup
dp_passthrough_warmup (const DpPassthrough *passthrough, gint64 now)
{
  DpWarmupLimit *warmup = passthrough->flows->warmup;
  const gboolean active = dp_warmup_limit_is_active (warmup, now);

  return (DpPassthroughWarmup){
    .active = active,
    .max = active ? dp_warmup_limit_max (warmup) : 0,
    .n_recent = active ? dp_warmup_limit_recent (warmup, now) : 0,
    .n_held_back = dp_passthrough_admission_n_held_back (passthrough->admission),
  };
}

/* Returns how long the limit of a cold server holds back the SYN that waits in front. */
gint64
dp_passthrough_release_wait (const DpPassthrough *passthrough, gint64 now)
{
  return dp_passthrough_n_waiting (passthrough) == 0
             ? 0
             : dp_warmup_limit_wait (passthrough->flows->warmup, 0, now);
}

/* Returns the number of flows that wait for a slot. */
guint
dp_passthrough_n_waiting (const DpPassthrough *passthrough)
{
  return dp_passthrough_flows_n_waiting (passthrough->flows);
}

/* Returns the number of known members of the service, including this one. */
guint
dp_passthrough_n_members (const DpPassthrough *passthrough)
{
  DpCandidates *candidates = dp_passthrough_admission_candidates (passthrough->admission);

  return candidates == NULL ? 0 : dp_candidates_view (candidates)->n_members;
}

/* Returns the flow table. */
DpPassthroughFlows *
dp_passthrough_flows (DpPassthrough *passthrough)
{
  return passthrough->flows;
}

/* Returns the number of flows in the table. */
guint
dp_passthrough_n_flows (const DpPassthrough *passthrough)
{
  return dp_passthrough_flows_count (passthrough->flows);
}

/* Returns the state of the server's breaker. */
DpBreakerState
dp_passthrough_server_health (const DpPassthrough *passthrough)
{
  return dp_server_health_state (passthrough->flows->health);
}

/* Returns what is known here of the packet's flow, which may be NULL. */
static DpPassthroughBasis
make_basis_ (DpPassthrough *passthrough, const DpPassthroughFlow *flow, gint64 now)
{
  const gboolean has_view = dp_passthrough_admission_candidates (passthrough->admission)
                            != NULL;

  return (DpPassthroughBasis){
    .flow_state = dp_passthrough_flow_state_string (flow),
    .flow_age = flow == NULL ? 0 : now - flow->used_at,
    .view_age = has_view ? now - passthrough->view_set_at : -1,
    .all_flows_known = dp_passthrough_flows_is_complete (passthrough->flows, now),
  };
}

static DpPassthroughDecision
decide_from_peer_ (DpPassthrough *passthrough,
                   DpPassthroughFlow *flow,
                   const DpSegment *segment,
                   const DpHop *hop,
                   gint64 now)
{
  if (hop->service_tag != passthrough->service_tag || hop->class >= DP_N_TRAFFIC_CLASSES)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP,
                                         DP_PASSTHROUGH_WRONG_SERVICE, hop);
  if ((segment->flags & (DP_TCP_SYN | DP_TCP_ACK)) == (DP_TCP_SYN | DP_TCP_ACK))
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_UNEXPECTED,
                                         hop);
  if (dp_segment_opens_flow (segment))
    return decide_syn_ (passthrough, flow, segment, hop, now);
  if (flow != NULL && dp_passthrough_flow_is_owned (flow))
    return decide_client_packet_ (passthrough, flow, segment, hop, now);
  return decide_unowned_ (passthrough, flow, segment, hop, DP_PASSTHROUGH_SEARCHING, now);
}

static DpPassthroughDecision
decide_returned_ (DpPassthrough *passthrough,
                  DpPassthroughFlow *flow,
                  const DpSegment *segment,
                  const DpHop *returned,
                  gint64 now)
{
  DpHop hop = *returned;

  hop.service_tag = passthrough->service_tag;
  dp_passthrough_admission_note_server_packet (passthrough->admission);
  if (hop.class >= DP_N_TRAFFIC_CLASSES)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_UNEXPECTED,
                                         &hop);
  if (dp_segment_opens_flow (segment))
    {
      if (flow != NULL && flow->state == DP_PASSTHROUGH_FLOW_OFFERED)
        {
          dp_passthrough_flows_remove (passthrough->flows, flow);
          if (passthrough->flows->concurrency != NULL)
            dp_concurrency_limit_refused (passthrough->flows->concurrency,
                                          passthrough->flows->n_in_flight, now);
          withdraw_flow_ (passthrough, &segment->key, now);
        }
      else if (flow != NULL && flow->state == DP_PASSTHROUGH_FLOW_WAITING)
        /* The server returned an earlier copy of the SYN. A retransmission of it is held
         * here until a slot is free. */
        return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_WAITING,
                                             &hop);
      else if (flow != NULL)
        return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_RETURNED,
                                             &hop);
      return dp_passthrough_admission_forward_or_reject (passthrough->admission, segment,
                                                         &hop, DP_PASSTHROUGH_RETURNED,
                                                         DP_PASSTHROUGH_OVERLOADED, now);
    }
  if (flow != NULL && flow->state == DP_PASSTHROUGH_FLOW_OPEN
      && acknowledges_server_ (flow, segment))
    {
      /* The server had this flow and no longer does: it has crashed since. */
      dp_passthrough_flows_remove (passthrough->flows, flow);
      if ((segment->flags & DP_TCP_RST) != 0)
        return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_LOST,
                                             &hop);
      return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET, DP_PASSTHROUGH_LOST,
                                           &hop);
    }
  if (flow == NULL)
    {
      flow = dp_passthrough_flows_add (passthrough->flows, segment, now);
      if (flow != NULL)
        flow->state = DP_PASSTHROUGH_FLOW_NOT_OWNED;
    }
  if (flow != NULL)
    flow->server_asked = TRUE;
  if (hop.n_visited == DP_VISITS_ENDED)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_RETURNED,
                                         &hop);
  return decide_unowned_ (passthrough, flow, segment, &hop, DP_PASSTHROUGH_RETURNED, now);
}

/* Decides about a SYN. A retransmission goes where the first SYN went, so that only one
 * server answers. */
static DpPassthroughDecision
decide_syn_ (DpPassthrough *passthrough,
             DpPassthroughFlow *flow,
             const DpSegment *segment,
             const DpHop *hop,
             gint64 now)
{
  const gboolean retransmission =
      flow != NULL
      && (flow->syn_seq == segment->seq
          || (flow->syn_seq == 0 && dp_passthrough_flow_is_owned (flow)));
  const DpFlowOwner *owner;
  gboolean came_back;

  if (retransmission && flow->state != DP_PASSTHROUGH_FLOW_WAITING)
    flow->used_at = now;
  if (retransmission && flow->state == DP_PASSTHROUGH_FLOW_WAITING)
    {
      dp_passthrough_admission_note_retransmission (passthrough->admission, flow, segment,
                                                    now);
      return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_WAITING,
                                           hop);
    }
  if (retransmission && dp_passthrough_flow_is_owned (flow)
      && !(flow->state == DP_PASSTHROUGH_FLOW_OFFERED
           && dp_passthrough_server_is_silent (passthrough, now)))
    return dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER, DP_PASSTHROUGH_OWNED,
                                         hop);
  if (hop->reject_reason != 0)
    {
      /* The directory names this member, but the SYN was passed on from here. */
      if (hop->n_owners_tried > 0)
        withdraw_flow_ (passthrough, &segment->key, now);
      return dp_passthrough_admission_confirm_rejection (passthrough->admission, segment,
                                                         hop, now);
    }
  owner = registered_owner_ (passthrough, segment, hop, now);
  if (owner != NULL && segment->syn_age_ms > 0 && owner->syn_seq == segment->seq)
    return dp_passthrough_decision_forward_to_owner (&owner->member, hop);
  /* A SYN that has visited more members than the first one is no retransmission, but the
   * forwarded SYN that has come back. The client's last retransmission is decided here,
   * as no member has answered the earlier ones. */
  if (retransmission && flow->state == DP_PASSTHROUGH_FLOW_FORWARDED
      && hop->n_visited <= flow->hop.n_visited
      && segment->syn_age_ms < LAST_SYN_RETRANSMISSION_MS)
    return dp_passthrough_decision_forward (&flow->forwarded_to,
                                            DP_PASSTHROUGH_PASSED_BEFORE, hop);
  came_back = retransmission && flow->state == DP_PASSTHROUGH_FLOW_FORWARDED;
  /* The server has not answered the SYN that it was offered; a copy may go elsewhere. */
  if (retransmission && dp_passthrough_flow_is_owned (flow))
    withdraw_flow_ (passthrough, &segment->key, now);
  if (flow != NULL)
    dp_passthrough_flows_remove (passthrough->flows, flow);
  return dp_passthrough_admission_decide (passthrough->admission, segment, hop, came_back,
                                          now);
}

/* Decides about a client's packet after the SYN, of a flow that is not known to be this
 * server's. flow may be NULL. After a restart the companion doesn't know its server's
 * flows; the server is then asked once for each flow that the directory doesn't name. */
static DpPassthroughDecision
decide_unowned_ (DpPassthrough *passthrough,
                 DpPassthroughFlow *flow,
                 const DpSegment *segment,
                 const DpHop *hop,
                 DpPassthroughReason reason,
                 gint64 now)
{
  const DpFlowOwner *owner = registered_owner_ (passthrough, segment, hop, now);
  const gboolean may_ask = may_ask_server_ (passthrough, flow, now);
  DpPassthroughDecision decision;

  if (flow != NULL)
    flow->used_at = now;
  if (owner != NULL)
    return dp_passthrough_decision_forward_to_owner (&owner->member, hop);
  /* The member that has handed the packet to this one kept it, got no answer and sent it
   * elsewhere. A flow that has been found since must not appear at other servers. */
  if (now < passthrough->backlog_read_at && hop->n_visited > 0
      && hop->n_owners_tried == 0)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_STALE, hop);
  if (may_ask && may_have_flow_ (hop))
    return dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER, DP_PASSTHROUGH_ASKED,
                                         hop);
  /* A packet that has visited more members than the SYN has come back from a search. */
  if (flow != NULL && flow->state == DP_PASSTHROUGH_FLOW_FORWARDED
      && hop->search_steps == 0 && hop->n_visited <= flow->hop.n_visited
      && is_active_ (passthrough, &flow->forwarded_to)
      && dp_owner_search_is_responsive (passthrough->search, &flow->forwarded_to, now))
    return dp_owner_search_forward_to (passthrough->search, &flow->forwarded_to,
                                       DP_PASSTHROUGH_PASSED_BEFORE, hop, now);
  decision = search_owner_ (passthrough, segment, hop, reason, now);
  if (decision.action == DP_PASSTHROUGH_DROP && may_ask)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER, DP_PASSTHROUGH_ASKED,
                                         hop);
  return decision;
}

/* Returns whether only the server can know that it doesn't have the flow, which is NULL
 * if nothing is known of it here. */
static gboolean
may_ask_server_ (const DpPassthrough *passthrough,
                 const DpPassthroughFlow *flow,
                 gint64 now)
{
  return (flow == NULL || !flow->server_asked)
         && !dp_passthrough_flows_is_complete (passthrough->flows, now);
}

/* Returns whether the packet's flow is likely to be this server's, or can only be found
 * by asking the servers: a balancer has placed it here, the directory names this member,
 * or no member knows the owner and this one got a copy. Other packets
 * are not handed to the server, as it may not have the flow. */
static gboolean
may_have_flow_ (const DpHop *hop)
{
  return hop->search_steps == 0 || hop->n_owners_tried > 0
         || hop->n_visited == DP_VISITS_ENDED;
}

/* Returns whether the member at this packet port is known to be active. */
static gboolean
is_active_ (const DpPassthrough *passthrough, const DpAddress *member)
{
  DpCandidates *candidates = dp_passthrough_admission_candidates (passthrough->admission);
  const DpMemberView *view = candidates == NULL ? NULL : dp_candidates_view (candidates);

  for (guint i = 0; view != NULL && i < view->n_members; i++)
    if (dp_address_equal (&view->members[i].address, member))
      return view->members[i].state == DP_MEMBER_ACTIVE;
  return FALSE;
}

/* Returns the other member that is registered as the flow's owner, NULL if there is none
 * or the packet is not to be forwarded. A packet that has been sent to an owner has not
 * found its flow at the more likely one. */
static const DpFlowOwner *
registered_owner_ (DpPassthrough *passthrough,
                   const DpSegment *segment,
                   const DpHop *hop,
                   gint64 now)
{
  const DpAddress *self = dp_owner_registrar_address (passthrough->registrar);
  const DpFlowOwner *owners[] = {
    dp_flow_directory_find (passthrough->directory, &segment->key, now),
    dp_flow_directory_find_other (passthrough->directory, &segment->key, now),
  };
  const guint n = G_N_ELEMENTS (owners);

  if (hop->n_owners_tried >= DP_OWNERS_TRIED_MAX || hop->n_visited == DP_VISITS_ENDED)
    return NULL;
  for (guint i = 0; i < n; i++)
    {
      const DpFlowOwner *owner = owners[(hop->n_owners_tried + i) % n];

      if (owner != NULL && !dp_address_equal (&owner->member, self))
        return owner;
    }
  return NULL;
}

/* Forwards a packet whose flow is not here, or has the other members asked for it. */
static DpPassthroughDecision
search_owner_ (DpPassthrough *passthrough,
               const DpSegment *segment,
               const DpHop *hop,
               DpPassthroughReason reason,
               gint64 now)
{
  return dp_owner_search_forward (
      passthrough->search, dp_passthrough_admission_candidates (passthrough->admission),
      segment, hop, reason, now);
}

/* Registers a flow that this member has taken. */
static void
register_flow_ (DpPassthrough *passthrough, DpPassthroughFlow *flow, gint64 now)
{
  if (flow != NULL && dp_passthrough_flow_is_owned (flow))
    dp_owner_registrar_register (
        passthrough->registrar,
        dp_passthrough_admission_candidates (passthrough->admission), flow, now);
}

/* Ends the registration of a flow whose SYN this member doesn't take after all. */
static void
withdraw_flow_ (DpPassthrough *passthrough, const DpFlowKey *key, gint64 now)
{
  dp_owner_registrar_withdraw (
      passthrough->registrar,
      dp_passthrough_admission_candidates (passthrough->admission), key, now);
}

/* Registers the flows whose directory members have changed. */
static void
update_registrations_ (DpPassthrough *passthrough, gint64 now)
{
  DpCandidates *candidates = dp_passthrough_admission_candidates (passthrough->admission);
  DpPassthroughFlow *flow;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, passthrough->flows->by_key);
  while ((flow = dp_passthrough_flows_next (&iter)) != NULL)
    if (is_registered_ (flow))
      dp_owner_registrar_update (passthrough->registrar, candidates, flow, now);
}

/* Returns whether the flow is to be found through the flow directory. */
static gboolean
is_registered_ (const DpPassthroughFlow *flow)
{
  return dp_passthrough_flow_is_owned (flow) && flow->state != DP_PASSTHROUGH_FLOW_CLOSED;
}

/* Decides about a client's packet after the SYN, of a flow that this server has or was
 * offered. */
static DpPassthroughDecision
decide_client_packet_ (DpPassthrough *passthrough,
                       DpPassthroughFlow *flow,
                       const DpSegment *segment,
                       const DpHop *hop,
                       gint64 now)
{
  const gboolean opens = flow->state == DP_PASSTHROUGH_FLOW_ANSWERED;

  if (is_of_later_flow_ (flow, segment))
    return decide_unowned_ (passthrough, flow, segment, hop, DP_PASSTHROUGH_SEARCHING,
                            now);
  if (is_of_other_server_ (flow, segment))
    {
      const DpFlowOwner *owner = registered_owner_ (passthrough, segment, hop, now);

      if (owner != NULL)
        return dp_passthrough_decision_forward_to_owner (&owner->member, hop);
      return search_owner_ (passthrough, segment, hop, DP_PASSTHROUGH_SEARCHING, now);
    }
  /* The class of a flow that began before this process is known from its client only. */
  if (flow->syn_seq == 0 && !flow->in_flight)
    flow->class = (DpTrafficClass) hop->class;
  record_client_packet_ (passthrough, flow, segment, now);
  if ((opens && (flow->syn_age_ms > 0 || now - flow->syn_at > UNCONTESTED_OPEN_US))
      || (hop->n_visited > 0 && now - flow->registered_at > REGISTRATION_INTERVAL_US))
    register_flow_ (passthrough, flow, now);
  return dp_passthrough_decision_make (DP_PASSTHROUGH_TO_SERVER, DP_PASSTHROUGH_OWNED,
                                       hop);
}

/* Returns whether the client's packet after the SYN may be of this flow, which this
 * server has or was offered. */
static gboolean
may_belong_ (const DpPassthroughFlow *flow, const DpSegment *segment)
{
  return !is_of_later_flow_ (flow, segment) && !is_of_other_server_ (flow, segment);
}

/* Ports are used again: the packet may be of a later flow that another member has. */
static gboolean
is_of_later_flow_ (const DpPassthroughFlow *flow, const DpSegment *segment)
{
  return flow->state != DP_PASSTHROUGH_FLOW_ANSWERED && flow->syn_ack_seen
         && !acknowledges_server_ (flow, segment);
}

/* Two servers may have answered the SYN and its retransmission; the client acknowledges
 * one of them. */
static gboolean
is_of_other_server_ (const DpPassthroughFlow *flow, const DpSegment *segment)
{
  return flow->state == DP_PASSTHROUGH_FLOW_WAITING
         || flow->state == DP_PASSTHROUGH_FLOW_OFFERED
         || (flow->state == DP_PASSTHROUGH_FLOW_ANSWERED
             && segment->ack != flow->syn_ack_seq + 1);
}

/* Returns whether the packet acknowledges data that this server may have sent on the
 * flow. FALSE as well if nothing is known of that. */
static gboolean
acknowledges_server_ (const DpPassthroughFlow *flow, const DpSegment *segment)
{
  const guint32 last = flow->new_data_at != 0 ? flow->server_next_seq
                                              : flow->syn_ack_seq + 1;
  const gint32 distance = (gint32) (segment->ack - last);

  return (flow->syn_ack_seen || flow->new_data_at != 0)
         && ABS (distance) <= ACKNOWLEDGED_BYTES_MAX;
}

static void
record_client_packet_ (DpPassthrough *passthrough,
                       DpPassthroughFlow *flow,
                       const DpSegment *segment,
                       gint64 now)
{
  const guint32 end = segment->seq + segment->payload_length;
  const gboolean new_data = segment->payload_length > 0
                            && (!flow->request_seen
                                || (gint32) (end - flow->client_next_seq) > 0);
  /* A client that has received nothing of a complete answer retransmits its request. The
   * server doesn't work on it again. */
  const gboolean answered = flow->answer_ended && !new_data
                            && (gint32) (segment->ack - flow->answer_start_seq) <= 0;
  const gboolean has_request = segment->payload_length > 0 && !answered;
  const gboolean further = new_data && is_further_request_ (flow);
  /* A slow handshake doesn't make the flow's first request one that was not admitted. */
  const gboolean unscheduled = (further || !flow->in_flight)
                               && (flow->new_data_at != 0 || !flow->syn_ack_seen);

  flow->used_at = now;
  if (further)
    dp_warmup_limit_note_further (passthrough->flows->warmup, now);
  if (new_data)
    {
      flow->client_next_seq = end;
      flow->answer_begun = FALSE;
    }
  if (flow->state == DP_PASSTHROUGH_FLOW_ANSWERED)
    flow->state = DP_PASSTHROUGH_FLOW_OPEN;
  if (has_request)
    {
      flow->answer_ended = FALSE;
      dp_passthrough_flows_note_client_data (passthrough->flows, flow, segment, now);
    }
  /* The server's next byte is known from the client if the handshake was not seen, as on
   * a flow that was open before this process started. */
  if (has_request && !flow->request_seen)
    dp_passthrough_flows_begin_request (
        passthrough->flows, flow,
        flow->syn_ack_seen ? flow->syn_ack_seq + 1 : segment->ack, now);
  else if (has_request && !flow->in_flight && flow->first_byte_at != 0)
    dp_passthrough_flows_begin_request (passthrough->flows, flow, flow->server_next_seq,
                                        now);
  if (has_request && !flow->server_finished)
    {
      flow->last_answer_at = 0;
      if (further && flow->in_flight)
        dp_passthrough_flows_restart_work (passthrough->flows, flow, now);
      if (!flow->in_flight)
        dp_passthrough_flows_begin_work (
            passthrough->flows, flow,
            dp_slots_acquire (passthrough->flows->slots, flow->class), now);
      if (unscheduled)
        dp_passthrough_flows_note_unscheduled (passthrough->flows, flow);
    }
  if ((segment->flags & DP_TCP_FIN) != 0)
    flow->client_finished = TRUE;
  if ((segment->flags & DP_TCP_RST) != 0)
    {
      flow->client_finished = flow->server_finished = TRUE;
      dp_passthrough_flows_abandon_work (passthrough->flows, flow);
    }
  if (flow->client_finished && flow->server_finished)
    flow->state = DP_PASSTHROUGH_FLOW_CLOSED;
}

/* Returns whether new data of the client begin a request that did not come with the
 * flow's SYN: after an answer, or after the flow's slot was taken away. */
static gboolean
is_further_request_ (const DpPassthroughFlow *flow)
{
  return !flow->server_finished
         && (!flow->in_flight || (flow->request_seen && flow->answer_begun));
}

/* Records the progress of the server's answer. The length of the answer is taken from the
 * sequence number of its last packet, which often overtakes the others of its burst.
 * Returns whether the server has sent the data before. */
static gboolean
record_answer_ (DpPassthroughFlow *flow, const DpSegment *segment, gint64 now)
{
  const guint32 end = segment->seq + segment->payload_length;
  const gboolean newer = flow->new_data_at == 0
                         || (gint32) (end - flow->server_next_seq) > 0;
  const gboolean repeated = segment->payload_length > 0 && !newer
                            && now - flow->new_data_at > RETRANSMISSION_MIN_US;

  if (newer)
    {
      flow->server_next_seq = end;
      flow->new_data_at = now;
    }
  if (flow->first_byte_at == 0 && (gint32) (end - flow->answer_start_seq) > 0)
    flow->first_byte_at = now;
  if (segment->payload_length > 0)
    {
      flow->last_answer_at = now;
      flow->answer_begun = TRUE;
    }
  return repeated;
}
