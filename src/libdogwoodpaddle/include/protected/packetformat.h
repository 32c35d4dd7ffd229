/* Encoding of packets in passthrough mode, in which the backend server itself terminates
 * the flows. The processes between client and server change nothing in a packet but its
 * hop metadata. */
#pragma once

#include <glib.h>

#include "protected/segment.h"
#include "protected/slots.h"

#define DP_SERVICE_TAG_BITS 24
#define DP_OWNERS_TRIED_MAX 2
#define DP_SEARCH_STEPS_MAX 3
/* Number of visits of a packet that is not to be forwarded any more: a copy for a member
 * whose server may have its flow. */
#define DP_VISITS_ENDED G_MAXUINT8

/* Hop-by-hop metadata: what one process of the system tells the next about a packet. */
typedef struct
{
  guint32 service_tag;   /* dp_service_tag () of the service that the packet belongs to */
  guint8 class;          /* DpTrafficClass */
  guint8 n_visited;      /* number of members that the packet has visited before, or
                            DP_VISITS_ENDED */
  guint8 search_steps;   /* visits since the search for the flow's owner began, at most
                            DP_SEARCH_STEPS_MAX; 0: the packet goes where its flow was
                            placed */
  guint8 n_owners_tried; /* number of registered owners that the packet has been sent to;
                            DP_OWNERS_TRIED_MAX at most */
  guint8 reject_reason;  /* of a SYN that a member rejects: its DpPassthroughReason + 1;
                            0: not rejected */
  guint8 n_confirmed;    /* of a rejected SYN: number of members that know no owner of its
                            flow */
  guint16 held_ms;       /* of a SYN: time for which members have held it */
  guint16 wait_limit_ms; /* of a SYN: longest wait that still meets the objective */
  guint16 deadline_ms;   /* of a SYN: time until the client gives up, 0: not known */
} DpHop;

/* One encoding of packets. The data given to read_hop and write_hop is a whole datagram
 * that parse has accepted. */
typedef struct
{
  /* Sets client and service in the segment's key to the packet's source and destination.
   * returned: whether the server sent the packet back because it doesn't have the flow or
   * doesn't accept it. Returns FALSE if the datagram is malformed. */
  gboolean (*parse) (const guint8 *data,
                     gsize length,
                     DpSegment *segment,
                     gboolean *returned);
  /* Reads the hop metadata. In a packet that the server returned, all fields but the
   * service tag and those of a rejected SYN are as they were written. */
  void (*read_hop) (const guint8 *data, DpHop *hop);
  /* Writes the hop metadata, and marks the packet as not returned. */
  void (*write_hop) (guint8 *data, const DpHop *hop);
  /* Writes a reset that answers the segment; returns its length in bytes. */
  gsize (*make_reset) (const DpSegment *segment, guint8 packet[DP_PACKET_MAX]);
} DpPacketFormat;

guint32 dp_service_tag (guint64 service_id);
