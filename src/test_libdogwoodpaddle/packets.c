#include "packets.h"
#include "protected/bytes.h"

#include <string.h>

#define HEADERS 40 /* bytes of IPv4 and TCP header without options */

static guint16 checksum_ (const guint8 *data, gsize length, guint32 sum);

/* Writes a packet from the key's client to its service, with a window of 65,535 bytes.
 * Returns the packet's length in bytes. */
gsize
dp_test_packet (guint8 packet[DP_PACKET_MAX],
                const DpFlowKey *key,
                guint8 flags,
                guint32 seq,
                guint32 ack,
                const void *payload,
                gsize length)
{
  gsize tcp_length = 20 + length;

  memset (packet, 0, HEADERS);
  packet[0] = 0x45;
  dp_put16 (packet + 2, (guint16) (HEADERS + length));
  packet[8] = 64;
  packet[9] = 6;
  dp_put32 (packet + 12, key->client.ip);
  dp_put32 (packet + 16, key->service.ip);
  dp_put16 (packet + 10, checksum_ (packet, 20, 0));
  dp_put16 (packet + 20, key->client.port);
  dp_put16 (packet + 22, key->service.port);
  dp_put32 (packet + 24, seq);
  dp_put32 (packet + 28, ack);
  packet[32] = 0x50;
  packet[33] = flags;
  dp_put16 (packet + 34, 0xffff);
  if (length > 0)
    memcpy (packet + HEADERS, payload, length);
  dp_put16 (packet + 36,
            checksum_ (packet + 12, 8 + tcp_length, 6 + (guint32) tcp_length));
  return HEADERS + length;
}

static guint16
checksum_ (const guint8 *data, gsize length, guint32 sum)
{
  for (gsize i = 0; i < length; i++)
    sum += (guint32) data[i] << (i % 2 == 0 ? 8 : 0);
  while (sum >> 16 != 0)
    sum = (sum & 0xffff) + (sum >> 16);
  return (guint16) ~sum;
}
