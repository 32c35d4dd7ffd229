#include "private/ownersearch.h"

#include "private/passthroughdecision.h"

/* Members that a searched packet may visit in excess of the service's members: those that
 * have passed its SYN on, and those that were visited before they asked their servers. */
#define EXTRA_VISITS_MAX (DP_PASSTHROUGH_VISITS_MAX + DP_SEARCH_STEPS_MAX)

struct _DpOwnerSearch
{
  guint32 member_id;
  DpPeerProbes *probes;
  DpSearchQueue *kept; /* packets whose member may not answer */
};

/* For dp_candidates_after_accepted (). */
typedef struct
{
  const DpPeerProbes *probes;
  gint64 now;
  gboolean responsive; /* the wanted value */
} MemberFilter;

static const DpMember *next_member_ (const DpOwnerSearch *search,
                                     const DpCandidates *candidates,
                                     const DpSegment *segment,
                                     const DpHop *hop,
                                     gint64 now);
static gboolean is_directory_member_ (const DpOwnerSearch *search,
                                      const DpCandidates *candidates,
                                      guint64 flow_hash);
static const DpMember *responsive_directory_member_ (const DpOwnerSearch *search,
                                                     const DpCandidates *candidates,
                                                     const DpSegment *segment,
                                                     const DpHop *hop,
                                                     gint64 now);
static const DpMember *unresponsive_member_ (const DpOwnerSearch *search,
                                             const DpCandidates *candidates,
                                             guint64 flow_hash,
                                             guint index,
                                             gint64 now);
static gboolean filter_member_ (const DpMember *member, gconstpointer user_data);

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

/* Forwards the packet first to a member that keeps the flow's directory entry, then from
 * one member to the next. Drops it if all have been visited. It is never answered with a
 * reset, since a member that is cut off may still have the flow. */
DpPassthroughDecision
dp_owner_search_forward (DpOwnerSearch *search,
                         const DpCandidates *candidates,
                         const DpSegment *segment,
                         const DpHop *hop,
                         DpPassthroughReason reason,
                         gint64 now)
{
  const DpMember *next = next_member_ (search, candidates, segment, hop, now);
  DpHop searched = *hop;

  if (next == NULL)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_NOT_FOUND,
                                         hop);
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
  kept.was_responsive = dp_peer_probes_is_responsive (search->probes, member, now);
  dp_search_queue_push (search->kept, &kept);
}

gboolean
dp_owner_search_next_unanswered (DpOwnerSearch *search,
                                 DpSearchedPacket *searched,
                                 gint64 now)
{
  if (!dp_search_queue_next_unanswered (search->kept, search->probes, searched, now))
    return FALSE;
  /* Members that don't answer are tried by the number of visits. */
  if (!searched->was_responsive && searched->hop.n_visited < G_MAXUINT8)
    searched->hop.n_visited++;
  return TRUE;
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

/* Returns the member that a searched packet visits next; NULL if it has visited all.
 * Those that have left a probe unanswered come last, one after the other: they may be
 * down, and a packet that is sent to them may not go on. */
static const DpMember *
next_member_ (const DpOwnerSearch *search,
              const DpCandidates *candidates,
              const DpSegment *segment,
              const DpHop *hop,
              gint64 now)
{
  const MemberFilter filter = { search->probes, now, TRUE };
  const DpMember *next = NULL;
  guint n_unresponsive;
  guint n_members;
  guint last_visits; /* number of visits from which on the unresponsive ones come */

  if (candidates == NULL)
    return NULL;
  n_members = dp_candidates_view (candidates)->n_members;
  n_unresponsive = MIN (dp_peer_probes_n_unresponsive (search->probes, now), n_members);
  last_visits = n_members - n_unresponsive + EXTRA_VISITS_MAX;
  if (hop->n_visited >= n_members + EXTRA_VISITS_MAX)
    return NULL;
  if (hop->n_visited >= last_visits)
    return unresponsive_member_ (search, candidates, segment->hash,
                                 hop->n_visited - last_visits, now);
  if (hop->search_steps < DP_SEARCH_STEPS_MAX
      && !is_directory_member_ (search, candidates, segment->hash))
    next = responsive_directory_member_ (search, candidates, segment, hop, now);
  if (next == NULL)
    next = dp_candidates_after_accepted (candidates, segment->hash, DP_CANDIDATES_ALL,
                                         search->member_id, filter_member_, &filter);
  if (next == NULL)
    next = dp_candidates_after (candidates, segment->hash, DP_CANDIDATES_ALL,
                                search->member_id);
  return next;
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

/* Returns one of the members that have left a probe unanswered, by their order from this
 * member on. NULL if there are not as many. */
static const DpMember *
unresponsive_member_ (const DpOwnerSearch *search,
                      const DpCandidates *candidates,
                      guint64 flow_hash,
                      guint index,
                      gint64 now)
{
  const MemberFilter filter = { search->probes, now, FALSE };
  guint32 id = search->member_id;
  const DpMember *member = NULL;

  for (guint i = 0; i <= index; i++)
    {
      member = dp_candidates_after_accepted (candidates, flow_hash, DP_CANDIDATES_ALL, id,
                                             filter_member_, &filter);
      if (member == NULL)
        return NULL;
      id = member->id;
    }
  return member;
}

static gboolean
filter_member_ (const DpMember *member, gconstpointer user_data)
{
  const MemberFilter *filter = user_data;

  return dp_peer_probes_is_responsive (filter->probes, &member->address, filter->now)
         == filter->responsive;
}
