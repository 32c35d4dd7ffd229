/* Interface to send and receive datagrams, with an implementation for UDP sockets. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _DpPacketPort DpPacketPort;

typedef void (*DpPacketFunc) (const DpAddress *source,
                              guint8 *data,
                              gsize length,
                              gpointer user_data);

typedef struct
{
  gboolean (*send) (DpPacketPort *port,
                    const DpAddress *destination,
                    const guint8 *data,
                    gsize length);
  void (*flush) (DpPacketPort *port);
  void (*free) (DpPacketPort *port);
} DpPacketPortVtable;

struct _DpPacketPort
{
  const DpPacketPortVtable *vtable;
};

/* Counters of a UDP port since its creation. */
typedef struct
{
  guint64 received;
  guint64 sent;
  guint64 too_long; /* received datagrams longer than DP_DATAGRAM_MAX, dropped */
  guint64 unsent;   /* datagrams that the socket refused, dropped */
} DpPacketPortStats;

#define DP_DATAGRAM_MAX 2048 /* bytes; enough for the longest header and packet */

/* received may modify the data, but must not free the port. */
DpPacketPort *dp_udp_port_new (const DpAddress *address,
                               DpPacketFunc received,
                               gpointer user_data,
                               GError **error);
/* Sets the priority in the main loop; G_PRIORITY_DEFAULT at first. While datagrams of a
 * port wait, those of ports with a lower priority aren't handled. */
void dp_udp_port_set_priority (DpPacketPort *port, int priority);
DpAddress dp_udp_port_address (DpPacketPort *port);
const DpPacketPortStats *dp_udp_port_stats (DpPacketPort *port);
gboolean dp_packet_port_send (DpPacketPort *port,
                              const DpAddress *destination,
                              const guint8 *data,
                              gsize length);
void dp_packet_port_flush (DpPacketPort *port);
void dp_packet_port_free (DpPacketPort *port);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPacketPort, dp_packet_port_free)
