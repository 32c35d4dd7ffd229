/* Which members of the service answer probes. A packet that is forwarded in search of its
 * flow's owner gets no answer of its own, so the member it goes to is probed along with
 * it. Performs no I/O: the caller sends the probes and passes in the answers. */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/clock.h"
#include "protected/memberview.h"

/* Time without an answer after which a member counts as unresponsive. Shorter than the
 * 200 ms after which clients retransmit, so that a retransmission avoids the member, and
 * longer than a round trip between regions. */
#define DP_PEER_ANSWER_TIMEOUT_US (100 * DP_US_PER_MS)

typedef struct _DpPeerProbes DpPeerProbes;

/* now: in us, as everywhere below. Members are identified by their packet ports. */
DpPeerProbes *dp_peer_probes_new (void);
void dp_peer_probes_free (DpPeerProbes *probes);
/* Forgets the members that the view doesn't have. */
void dp_peer_probes_set_view (DpPeerProbes *probes, const DpMemberView *view);
/* Requests a probe of the member, unless one was sent a moment ago. */
void dp_peer_probes_request (DpPeerProbes *probes, const DpAddress *member, gint64 now);
/* Requests probes of the members that count as unresponsive, so that it shows when they
 * are back. */
void dp_peer_probes_request_unresponsive (DpPeerProbes *probes, gint64 now);
/* Sets member to the next one to be probed; returns FALSE if there is none. */
gboolean dp_peer_probes_next (DpPeerProbes *probes, DpAddress *member);
void dp_peer_probes_note_answer (DpPeerProbes *probes, const DpAddress *member);
/* Forgets all unanswered probes, as answers may not have been read during a pause. */
void dp_peer_probes_reset (DpPeerProbes *probes);
/* Returns FALSE if the member has left a probe unanswered of late. */
gboolean dp_peer_probes_is_responsive (const DpPeerProbes *probes,
                                       const DpAddress *member,
                                       gint64 now);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPeerProbes, dp_peer_probes_free)
