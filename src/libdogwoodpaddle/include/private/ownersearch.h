/* The way of a packet to a member that keeps its flow's directory entry: decides which
 * member it visits next, and keeps it until it is known whether that member answers.
 * Performs no I/O. */
#pragma once

#include "private/searchqueue.h"
#include "protected/passthrough.h"

typedef struct _DpOwnerSearch DpOwnerSearch;

/* member_id: that of this member. now: in us, as everywhere below. */
DpOwnerSearch *dp_owner_search_new (guint32 member_id);
void dp_owner_search_free (DpOwnerSearch *search);
/* Forgets what is known of members that the view doesn't have. */
void dp_owner_search_set_view (DpOwnerSearch *search, const DpMemberView *view);
/* Decides to which member a packet goes whose flow is not here. candidates may be NULL.
 */
DpPassthroughDecision dp_owner_search_forward (DpOwnerSearch *search,
                                               const DpCandidates *candidates,
                                               const DpSegment *segment,
                                               const DpHop *hop,
                                               DpPassthroughReason reason,
                                               gint64 now);
/* Forwards a packet to this member, which may be down, and has the member probed. */
DpPassthroughDecision dp_owner_search_forward_to (DpOwnerSearch *search,
                                                  const DpAddress *member,
                                                  DpPassthroughReason reason,
                                                  const DpHop *hop,
                                                  gint64 now);
/* Keeps a packet that was forwarded to the member; takes a reference to its bytes. Of
 * searched, segment, hop, packet and first_sent_at have to be set. */
void dp_owner_search_keep (DpOwnerSearch *search,
                           const DpSearchedPacket *searched,
                           const DpAddress *member,
                           gint64 now);
/* Takes the next packet whose member has not answered, to be decided again with its hop;
 * the caller owns its bytes. Returns FALSE if there is none. */
gboolean dp_owner_search_next_unanswered (DpOwnerSearch *search,
                                          DpSearchedPacket *searched,
                                          gint64 now);
guint dp_owner_search_n_kept (const DpOwnerSearch *search);
/* Sets member to the next one to be probed; returns FALSE if there is none. */
gboolean dp_owner_search_next_probe (DpOwnerSearch *search, DpAddress *member);
void dp_owner_search_note_answer (DpOwnerSearch *search, const DpAddress *member);
gboolean dp_owner_search_is_responsive (const DpOwnerSearch *search,
                                        const DpAddress *member,
                                        gint64 now);
/* Records that the process has not run for a while. */
void dp_owner_search_note_pause (DpOwnerSearch *search);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpOwnerSearch, dp_owner_search_free)
