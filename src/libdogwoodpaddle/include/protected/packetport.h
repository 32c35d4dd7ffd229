/* Where datagrams come from and go to; the first implementation is a UDP socket. */
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

/* What a UDP port did since it was made. */
typedef struct
{
  guint64 received;
  guint64 sent;
  guint64 too_long; /* received datagrams over DP_DATAGRAM_MAX, dropped */
  guint64 unsent;   /* dropped because the socket took no more */
} DpPacketPortStats;

#define DP_DATAGRAM_MAX 2048 /* bytes; the longest header and packet fit */

/* The received function may change the data but not free the port. */
DpPacketPort *dp_udp_port_new (const DpAddress *address,
                               DpPacketFunc received,
                               gpointer user_data,
                               GError **error);
DpAddress dp_udp_port_address (DpPacketPort *port);
const DpPacketPortStats *dp_udp_port_stats (DpPacketPort *port);
gboolean dp_packet_port_send (DpPacketPort *port,
                              const DpAddress *destination,
                              const guint8 *data,
                              gsize length);
void dp_packet_port_flush (DpPacketPort *port);
void dp_packet_port_free (DpPacketPort *port);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPacketPort, dp_packet_port_free)
