#include "private/synrejection.h"

#include "private/passthroughdecision.h"
#include "protected/clock.h"

/* Members that a rejected SYN visits at most: those that could not take it, those with
 * the directory entry, and the owners that they name. While lists of members differ,
 * owner and entry may refer to each other. */
#define REJECTED_VISITS_MAX (DP_PASSTHROUGH_VISITS_MAX + 2 * DP_FLOW_DIRECTORY_MEMBERS)

/* Time after the start in which the other members may not be known yet. Members report
 * every 100 to 400 ms, and lists are sent at most every 250 ms. */
#define MEMBER_DISCOVERY_US (1500 * DP_US_PER_MS)

static const DpFlowOwner *
find_owner_ (const DpSynRejecter *rejecter, const DpSegment *syn, gint64 now);
static const DpMember *next_directory_member_ (const DpSynRejecter *rejecter,
                                               const DpSegment *syn,
                                               guint n_confirmed);
static gboolean keeps_entry_ (const DpSynRejecter *rejecter, const DpSegment *syn);
static gboolean knows_other_member_ (const DpSynRejecter *rejecter);

/* Marks the SYN as rejected and decides about it as about one from another member. */
DpPassthroughDecision
dp_syn_rejection_start (const DpSynRejecter *rejecter,
                        const DpSegment *syn,
                        const DpHop *hop,
                        DpPassthroughReason reason,
                        gint64 now)
{
  DpHop rejected = *hop;

  rejected.reject_reason = (guint8) (reason + 1);
  return dp_syn_rejection_confirm (rejecter, syn, &rejected, now);
}

/* Only members that keep the flow's entry confirm; others pass the SYN to one of them. A
 * single one may not know the owner although it is registered: owners register with
 * the members that they know, and lists of members differ for some seconds when members
 * are added. The SYN thus visits all members that keep the entry.
 *
 * Just after a start, owners that registered before and other members may not be known.
 * The SYN is then dropped, and its next copy is decided anew. */
DpPassthroughDecision
dp_syn_rejection_confirm (const DpSynRejecter *rejecter,
                          const DpSegment *syn,
                          const DpHop *hop,
                          gint64 now)
{
  const DpFlowOwner *owner = find_owner_ (rejecter, syn, now);
  const guint reason = hop->reject_reason - 1u;
  const guint32 age_ms = (guint32) syn->syn_age_ms + hop->held_ms;
  const gboolean alone = !knows_other_member_ (rejecter);
  DpHop confirmed = *hop;
  const DpMember *next;

  if (reason >= DP_N_PASSTHROUGH_REASONS)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_UNEXPECTED,
                                         hop);
  if (hop->n_visited >= REJECTED_VISITS_MAX)
    return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP, DP_PASSTHROUGH_NOT_FOUND,
                                         hop);
  if (owner != NULL)
    return dp_passthrough_decision_forward_to_owner (&owner->member, hop);
  if (alone || keeps_entry_ (rejecter, syn))
    {
      if (rejecter->candidates == NULL
          || !dp_flow_directory_covers (rejecter->directory, age_ms, now)
          || (alone && now - rejecter->created_at < MEMBER_DISCOVERY_US))
        return dp_passthrough_decision_make (DP_PASSTHROUGH_DROP,
                                             DP_PASSTHROUGH_GATHERING, hop);
      confirmed.n_confirmed++;
    }
  next = next_directory_member_ (rejecter, syn, confirmed.n_confirmed);
  if (next != NULL)
    return dp_passthrough_decision_forward (&next->address, (DpPassthroughReason) reason,
                                            &confirmed);
  return dp_passthrough_decision_make (DP_PASSTHROUGH_RESET, (DpPassthroughReason) reason,
                                       &confirmed);
}

/* Returns another member that keeps the directory entry, an active one if there is any;
 * NULL if there is none or if all have confirmed the rejection. One that is leaving may
 * be the only one that knows the owner. */
static const DpMember *
next_directory_member_ (const DpSynRejecter *rejecter,
                        const DpSegment *syn,
                        guint n_confirmed)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  const DpMember *leaving = NULL;
  guint n;

  if (rejecter->candidates == NULL || n_confirmed >= DP_FLOW_DIRECTORY_MEMBERS)
    return NULL;
  n = dp_flow_directory_members (rejecter->candidates, syn->hash, members);
  for (guint i = 0; i < n; i++)
    {
      if (members[i]->id == rejecter->id)
        continue;
      if (members[i]->state == DP_MEMBER_ACTIVE)
        return members[i];
      leaving = members[i];
    }
  return leaving;
}

static gboolean
keeps_entry_ (const DpSynRejecter *rejecter, const DpSegment *syn)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  guint n;

  if (rejecter->candidates == NULL)
    return FALSE;
  n = dp_flow_directory_members (rejecter->candidates, syn->hash, members);
  for (guint i = 0; i < n; i++)
    if (members[i]->id == rejecter->id)
      return TRUE;
  return FALSE;
}

/* Returns another member that has taken a copy of the SYN, NULL if none is known. One
 * that no longer has it withdraws its registration and sends the SYN back. */
static const DpFlowOwner *
find_owner_ (const DpSynRejecter *rejecter, const DpSegment *syn, gint64 now)
{
  const DpFlowOwner *owners[] = {
    dp_flow_directory_find (rejecter->directory, &syn->key, now),
    dp_flow_directory_find_other (rejecter->directory, &syn->key, now),
  };

  for (guint i = 0; i < G_N_ELEMENTS (owners); i++)
    if (owners[i] != NULL && (owners[i]->open || owners[i]->syn_seq == syn->seq)
        && !dp_address_equal (&owners[i]->member, &rejecter->address))
      return owners[i];
  return NULL;
}

static gboolean
knows_other_member_ (const DpSynRejecter *rejecter)
{
  const DpMemberView *view;

  if (rejecter->candidates == NULL)
    return FALSE;
  view = dp_candidates_view (rejecter->candidates);
  return view->n_members > (dp_member_view_find (view, rejecter->id) == NULL ? 0 : 1);
}
