/* Packets that were forwarded in search of their flow's owner, kept for as long as the
 * member that they were sent to may turn out not to answer. Performs no I/O. */
#pragma once

#include "private/peerprobes.h"
#include "protected/packetformat.h"

typedef struct _DpSearchQueue DpSearchQueue;

typedef struct
{
  DpSegment segment;
  DpHop hop;        /* as the packet came here */
  DpAddress member; /* that the packet was forwarded to */
  GBytes *packet;
  gint64 sent_at;       /* us, to this member */
  gint64 first_sent_at; /* us, to the first one */
} DpSearchedPacket;

DpSearchQueue *dp_search_queue_new (void);
void dp_search_queue_free (DpSearchQueue *queue);
/* Adds a packet; takes a reference to its bytes. A full queue takes no further packet. */
void dp_search_queue_push (DpSearchQueue *queue, const DpSearchedPacket *searched);
/* Takes the next packet whose member has not answered in time; the caller owns its bytes.
 * Drops those whose members have, and those that are too old. Returns FALSE if there is
 * none. now: in us. */
gboolean dp_search_queue_next_unanswered (DpSearchQueue *queue,
                                          const DpPeerProbes *probes,
                                          DpSearchedPacket *searched,
                                          gint64 now);
void dp_search_queue_clear (DpSearchQueue *queue);
guint dp_search_queue_length (const DpSearchQueue *queue);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpSearchQueue, dp_search_queue_free)
