/* Searches of the owners of flows that the flow directory doesn't name. First, all
 * members of the service are asked at once who has the flow. Members that are down thus
 * cost one timeout in all, however many there are. If no member names the owner, those
 * whose servers may have the flow get a copy of its packet one after the other, so that
 * it reaches no other server once its own has it. Keeps the flow's packets meanwhile.
 * A member that doesn't answer after a copy ends the search of that packet; when the
 * client sends it again, this member is passed over until all others are asked. Performs
 * no I/O. */
#pragma once

#include "private/peerprobes.h"
#include "protected/flowdirectory.h"
#include "protected/packetformat.h"

typedef struct _DpOwnerQueries DpOwnerQueries;

/* A packet whose flow's owner is searched. */
typedef struct
{
  DpSegment segment;
  DpHop hop; /* as the packet came here */
  GBytes *packet;
} DpQueriedPacket;

/* What is to be done next about a search. */
typedef struct
{
  DpQueriedPacket queried; /* the caller owns its bytes */
  gboolean has_candidate;  /* FALSE: all members have answered that they don't have the
                              flow, and the packet is no longer kept */
  DpAddress candidate;     /* gets a copy of the packet */
} DpOwnerSearchStep;

/* now: in us, as everywhere below. Members are identified by their packet ports. */
DpOwnerQueries *dp_owner_queries_new (void);
void dp_owner_queries_free (DpOwnerQueries *queries);
/* Keeps a packet, of which it takes a reference to the bytes, and begins a search of its
 * flow's owner among the members of the view besides self_id, unless there is one.
 * Returns FALSE if too many flows are searched or too many packets are kept. */
gboolean dp_owner_queries_add (DpOwnerQueries *queries,
                               const DpMemberView *view,
                               guint32 self_id,
                               const DpQueriedPacket *queried,
                               gint64 now);
/* Sets query to the next one to be sent to all members; returns FALSE if there is none.
 * The sender is left to the caller. */
gboolean dp_owner_queries_next (DpOwnerQueries *queries, DpOwnerQuery *query);
/* Records a member's answer that it does not, or may, have the flow. Returns whether that
 * may lead to a next step. */
gboolean dp_owner_queries_note_answer (DpOwnerQueries *queries,
                                       const DpOwnerAnswer *answer);
/* Takes the next packet of a flow whose owner is known now, unless it has been sent to as
 * many owners as a packet may be; the caller owns its bytes. Returns FALSE if there is
 * none. */
gboolean dp_owner_queries_take (DpOwnerQueries *queries,
                                const DpFlowKey *key,
                                DpQueriedPacket *queried);
/* Sets step to the next step of any search; returns FALSE if there is none now. Drops the
 * packets of searches in which a member has not answered after a copy: its server has
 * taken it, or the client sends the packet again, which goes on with the search. */
gboolean
dp_owner_queries_next_step (DpOwnerQueries *queries, DpOwnerSearchStep *step, gint64 now);
/* Drops all packets and ends all searches. */
void dp_owner_queries_clear (DpOwnerQueries *queries);
/* Returns the number of searches for which packets are kept. */
guint dp_owner_queries_n_searches (const DpOwnerQueries *queries);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpOwnerQueries, dp_owner_queries_free)
