#include "private/ownersearch.h"

#include "private/passthroughdecision.h"

/* This member and another one. */
#define MEMBERS_MIN 2

struct _DpOwnerSearch
{
  guint32 member_id;
  DpPeerProbes *probes;
  DpSearchQueue *kept; /* packets whose member may not answer */
};

static gboolean is_directory_member_ (const DpOwnerSearch *search,
                                      const DpCandidates *candidates,
                                      guint64 flow_hash);
static const DpMember *responsive_directory_member_ (const DpOwnerSearch *search,
                                                     const DpCandidates *candidates,
                                                     const DpSegment *segment,
                                                     const DpHop *hop,
                                                     gint64 now);

/* Creates a search in which every member counts as responsive. */
DpOwnerSearch *
dp_owner_search_new (guint32 member_id)
{
  DpOwnerSearch *search = g_new0 (DpOwnerSearch, 1);

  search->member_id = member_id;
  search->probes = dp_peer_probes_new ();
  search->kept = dp_search_queue_new ();
  return search;
}

void
dp_owner_search_free (DpOwnerSearch *search)
{
  if (search == NULL)
    return;
  dp_search_queue_free (search->kept);
  dp_peer_probes_free (search->probes);
  g_free (search);
}

void
dp_owner_search_set_view (DpOwnerSearch *search, const DpMemberView *view)
{
  dp_peer_probes_set_view (search->probes, view);
}

/* Forwards the packet to a member that keeps the flow's directory entry. That member, or
 * this one if none of them answers, asks all members for the owner. The packet is never
 * answered with a reset, since a member that is cut off may still have the flow. */
DpPassthroughDecision
dp_owner_search_forward (DpOwnerSearch *search,
                         const DpCandidates *candidates,
                         const DpSegment *segment,
                         const DpHop *hop,
                         DpPassthroughReason reason,
                         gint64 now)
{
  const DpMember *next = NULL;
  DpHop searched = *hop;

  if (hop->n_visited == DP_VISITS_ENDED)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_SEARCHING,
                                         hop);
  if (candidates == NULL || dp_candidates_view (candidates)->n_members < MEMBERS_MIN)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_NOT_FOUND,
                                         hop);
  if (hop->search_steps < DP_SEARCH_STEPS_MAX
      && !is_directory_member_ (search, candidates, segment->hash))
    next = responsive_directory_member_ (search, candidates, segment, hop, now);
  if (next == NULL)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_ASK_MEMBERS, reason, hop);
  searched.search_steps = MIN (hop->search_steps + 1, DP_SEARCH_STEPS_MAX);
  return dp_owner_search_forward_to (search, &next->address, reason, &searched, now);
}

DpPassthroughDecision
dp_owner_search_forward_to (DpOwnerSearch *search,
                            const DpAddress *member,
                            DpPassthroughReason reason,
                            const DpHop *hop,
                            gint64 now)
{
  DpPassthroughDecision decision = dp_passthrough_decision_forward (member, reason, hop);

  decision.unconfirmed = decision.action == DP_PASSTHROUGH_TO_MEMBER;
  if (decision.unconfirmed)
    dp_peer_probes_request (search->probes, member, now);
  dp_peer_probes_request_unresponsive (search->probes, now);
  return decision;
}

void
dp_owner_search_keep (DpOwnerSearch *search,
                      const DpSearchedPacket *searched,
                      const DpAddress *member,
                      gint64 now)
{
  DpSearchedPacket kept = *searched;

  kept.member = *member;
  kept.sent_at = now;
  dp_search_queue_push (search->kept, &kept);
}

gboolean
dp_owner_search_next_unanswered (DpOwnerSearch *search,
                                 DpSearchedPacket *searched,
                                 gint64 now)
{
  return dp_search_queue_next_unanswered (search->kept, search->probes, searched, now);
}

/* Returns the number of packets that are kept. */
guint
dp_owner_search_n_kept (const DpOwnerSearch *search)
{
  return dp_search_queue_length (search->kept);
}

gboolean
dp_owner_search_next_probe (DpOwnerSearch *search, DpAddress *member)
{
  return dp_peer_probes_next (search->probes, member);
}

/* Records that the member has answered a probe. */
void
dp_owner_search_note_answer (DpOwnerSearch *search, const DpAddress *member)
{
  dp_peer_probes_note_answer (search->probes, member);
}

/* Returns FALSE if the member has left a probe unanswered of late. */
gboolean
dp_owner_search_is_responsive (const DpOwnerSearch *search,
                               const DpAddress *member,
                               gint64 now)
{
  return dp_peer_probes_is_responsive (search->probes, member, now);
}

/* Answers to probes may not have been read yet, so that nothing is known of the members
 * that the packets went to. */
void
dp_owner_search_note_pause (DpOwnerSearch *search)
{
  dp_peer_probes_reset (search->probes);
  dp_search_queue_clear (search->kept);
}

/* Returns whether this member keeps the flow's directory entry. */
static gboolean
is_directory_member_ (const DpOwnerSearch *search,
                      const DpCandidates *candidates,
                      guint64 flow_hash)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  const guint n = dp_flow_directory_members (candidates, flow_hash, members);

  for (guint i = 0; i < n; i++)
    if (members[i]->id == search->member_id)
      return TRUE;
  return FALSE;
}

/* Returns the preferred one of the responsive members that keep the flow's directory
 * entry; NULL if there is none. */
static const DpMember *
responsive_directory_member_ (const DpOwnerSearch *search,
                              const DpCandidates *candidates,
                              const DpSegment *segment,
                              const DpHop *hop,
                              gint64 now)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  const DpMember *preferred = dp_flow_directory_preferred_member (
      candidates, segment->hash, hop->n_owners_tried, search->member_id);
  guint n;

  if (preferred == NULL
      || dp_peer_probes_is_responsive (search->probes, &preferred->address, now))
    return preferred;
  n = dp_flow_directory_members (candidates, segment->hash, members);
  for (guint i = 0; i < n; i++)
    if (dp_peer_probes_is_responsive (search->probes, &members[i]->address, now))
      return members[i];
  return NULL;
}
