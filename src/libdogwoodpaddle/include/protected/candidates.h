/* For each flow, the order in which its packets visit the members of a view. */
#pragma once

#include <glib.h>

#include "protected/memberview.h"

typedef struct _DpCandidates DpCandidates;

/* The members that are considered. */
typedef enum
{
  DP_CANDIDATES_ACTIVE, /* active members only, for new flows */
  DP_CANDIDATES_ALL,    /* all members of the view, as for existing flows */
  DP_N_CANDIDATE_SETS
} DpCandidateSet;

/* What the sender of a packet needs to know about a member. */
typedef struct
{
  guint32 id;
  guint32 ip;
  guint16 port;
  guint16 state; /* DpMemberState */
} DpTarget;

DpCandidates *dp_candidates_new (DpMemberView *view);
void dp_candidates_free (DpCandidates *candidates);
DpMemberView *dp_candidates_view (const DpCandidates *candidates);
const DpMember *dp_candidates_first (const DpCandidates *candidates,
                                     guint64 flow_hash,
                                     DpCandidateSet set);
const DpTarget *dp_candidates_first_target (const DpCandidates *candidates,
                                            guint64 flow_hash,
                                            DpCandidateSet set);
const DpMember *dp_candidates_next (const DpCandidates *candidates,
                                    guint64 flow_hash,
                                    DpCandidateSet set,
                                    const guint32 *visited,
                                    guint n_visited);
const DpMember *dp_candidates_after (const DpCandidates *candidates,
                                     guint64 flow_hash,
                                     DpCandidateSet set,
                                     guint32 id);
gsize dp_candidates_bytes (const DpCandidates *candidates);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpCandidates, dp_candidates_free)
