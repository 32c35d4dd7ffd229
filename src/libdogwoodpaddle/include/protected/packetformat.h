/* How packets of flows that the backend server itself ends are spelled. The processes
 * between client and server change nothing in them but the hop. */
#pragma once

#include <glib.h>

#include "protected/segment.h"
#include "protected/slots.h"

#define DP_SERVICE_TAG_BITS 24

/* What one process of the system tells the next one about a packet. */
typedef struct
{
  guint32 service_tag; /* dp_service_tag () of the service that the packet belongs to */
  guint8 class;        /* DpTrafficClass */
  guint8 n_visited;    /* members that the packet has visited before */
  guint16
      wait_limit_ms;   /* of a SYN: longest wait that leaves time to be served in time */
  guint16 deadline_ms; /* of a SYN: when the client gives up, 0: not known */
} DpHop;

/* One spelling of packets. data is a whole datagram that parse accepted. */
typedef struct
{
  /* client and service in the key are the packet's source and destination. returned: the
   * server gave the packet back, since it doesn't hold or take the flow. */
  gboolean (*parse) (const guint8 *data,
                     gsize length,
                     DpSegment *segment,
                     gboolean *returned);
  /* After a return by the server, all but the service's tag is as it was written. */
  void (*read_hop) (const guint8 *data, DpHop *hop);
  /* Marks the packet as not returned, too. */
  void (*write_hop) (guint8 *data, const DpHop *hop);
  /* Writes the reset that answers the segment; returns its length in bytes. */
  gsize (*make_reset) (const DpSegment *segment, guint8 packet[DP_PACKET_MAX]);
} DpPacketFormat;

guint32 dp_service_tag (guint64 service_id);
