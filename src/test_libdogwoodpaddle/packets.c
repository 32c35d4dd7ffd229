#include "packets.h"

#include <string.h>

#define HEADERS 40 /* bytes of IPv4 and TCP header without options */

static void put16_ (guint8 *data, guint16 value);
static void put32_ (guint8 *data, guint32 value);
static guint16 checksum_ (const guint8 *data, gsize length, guint32 sum);

/* Writes a packet from the key's client to its service, with a window of 65,535 bytes;
 * returns its length. */
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
  put16_ (packet + 2, (guint16) (HEADERS + length));
  packet[8] = 64;
  packet[9] = 6;
  put32_ (packet + 12, key->client.ip);
  put32_ (packet + 16, key->service.ip);
  put16_ (packet + 10, checksum_ (packet, 20, 0));
  put16_ (packet + 20, key->client.port);
  put16_ (packet + 22, key->service.port);
  put32_ (packet + 24, seq);
  put32_ (packet + 28, ack);
  packet[32] = 0x50;
  packet[33] = flags;
  put16_ (packet + 34, 0xffff);
  if (length > 0)
    memcpy (packet + HEADERS, payload, length);
  put16_ (packet + 36, checksum_ (packet + 12, 8 + tcp_length, 6 + (guint32) tcp_length));
  return HEADERS + length;
}

static void
put16_ (guint8 *data, guint16 value)
{
  data[0] = (guint8) (value >> 8);
  data[1] = (guint8) value;
}

static void
put32_ (guint8 *data, guint32 value)
{
  put16_ (data, (guint16) (value >> 16));
  put16_ (data + 2, (guint16) value);
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
