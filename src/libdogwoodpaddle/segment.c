#include "protected/segment.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "protected/bytes.h"
#include "protected/error.h"

#define IP_HEADER_MIN 20
#define TCP_HEADER_MIN 20
#define IP_VERSION_4 4
#define IP_PROTOCOL_TCP 6
#define IP_FRAGMENT_MASK 0x3fff /* more-fragments flag and offset */
#define IP_DONT_FRAGMENT 0x4000
#define DEFAULT_TTL 64

/* Offsets within the IPv4 header (RFC 791) and the TCP header (RFC 9293). */
enum
{
  IP_TOTAL_LENGTH = 2,
  IP_FRAGMENT = 6,
  IP_TTL = 8,
  IP_PROTOCOL = 9,
  IP_CHECKSUM = 10,
  IP_SOURCE = 12,
  IP_DESTINATION = 16,
  TCP_SOURCE_PORT = 0,
  TCP_DESTINATION_PORT = 2,
  TCP_SEQ = 4,
  TCP_ACK = 8,
  TCP_OFFSET = 12,
  TCP_FLAGS = 13,
  TCP_CHECKSUM = 16
};

static gboolean invalid_ (GError **error, const char *text);
static guint32 checksum_add_ (const guint8 *data, gsize length, guint32 sum);
static guint16 checksum_fold_ (guint32 sum);
static void replace32_ (guint8 *packet, guint offset, guint checksum, guint32 value);

/* Parses an IPv4 packet with a complete TCP header. Fails with DP_ERROR_INVALID, whose
 * message says what is wrong. Fragments are rejected, since only the first one contains
 * the ports. */
gboolean
dp_segment_parse (const guint8 *packet, gsize length, DpSegment *segment, GError **error)
{
  const guint8 *tcp;
  gsize ip_header;
  gsize total;
  gsize tcp_header;

  if (length < IP_HEADER_MIN || length > DP_PACKET_MAX)
    return invalid_ (error, "the packet's length is out of range");
  if (packet[0] >> 4 != IP_VERSION_4)
    return invalid_ (error, "not an IPv4 packet");
  ip_header = (gsize) (packet[0] & 0x0f) * 4;
  total = dp_get16 (packet + IP_TOTAL_LENGTH);
  if (ip_header < IP_HEADER_MIN || total > length || total < ip_header + TCP_HEADER_MIN)
    return invalid_ (error, "invalid length in the IPv4 header");
  if (packet[IP_PROTOCOL] != IP_PROTOCOL_TCP)
    return invalid_ (error, "not a TCP packet");
  if ((dp_get16 (packet + IP_FRAGMENT) & IP_FRAGMENT_MASK) != 0)
    return invalid_ (error, "the packet is a fragment");
  tcp = packet + ip_header;
  tcp_header = (gsize) (tcp[TCP_OFFSET] >> 4) * 4;
  if (tcp_header < TCP_HEADER_MIN || ip_header + tcp_header > total)
    return invalid_ (error, "invalid length of the TCP header");

  segment->key.client.ip = dp_get32 (packet + IP_SOURCE);
  segment->key.client.port = dp_get16 (tcp + TCP_SOURCE_PORT);
  segment->key.service.ip = dp_get32 (packet + IP_DESTINATION);
  segment->key.service.port = dp_get16 (tcp + TCP_DESTINATION_PORT);
  segment->hash = dp_flow_key_hash (&segment->key);
  segment->seq = dp_get32 (tcp + TCP_SEQ);
  segment->ack = dp_get32 (tcp + TCP_ACK);
  segment->flags = tcp[TCP_FLAGS];
  segment->payload_length = (guint16) (total - ip_header - tcp_header);
  segment->ip_header_length = (guint8) ip_header;
  segment->syn_age_ms = 0;
  return TRUE;
}

/* Returns whether the segment is a client's first one: SYN without ACK or RST. */
gboolean
dp_segment_opens_flow (const DpSegment *segment)
{
  return (segment->flags & (DP_TCP_SYN | DP_TCP_ACK | DP_TCP_RST)) == DP_TCP_SYN;
}

/* Returns a hash of the flow that is the same in every process. */
guint64
dp_flow_key_hash (const DpFlowKey *key)
{
  guint8 bytes[12];

  dp_put32 (bytes, key->client.ip);
  dp_put16 (bytes + 4, key->client.port);
  dp_put32 (bytes + 6, key->service.ip);
  dp_put16 (bytes + 10, key->service.port);
  return XXH3_64bits (bytes, sizeof bytes);
}

/* Returns whether both keys are those of the same flow. */
gboolean
dp_flow_key_equal (const DpFlowKey *a, const DpFlowKey *b)
{
  return dp_address_equal (&a->client, &b->client)
         && dp_address_equal (&a->service, &b->service);
}

/* Writes a reset in answer to the segment (RFC 9293, section 3.10.7.1) to packet. Returns
 * its length in bytes, or 0 if the segment is a reset itself, which must not be
 * answered. */
gsize
dp_segment_make_reset (const DpSegment *segment, guint8 packet[DP_PACKET_MAX])
{
  const gsize length = IP_HEADER_MIN + TCP_HEADER_MIN;
  guint8 *tcp = packet + IP_HEADER_MIN;
  guint32 sum;

  if ((segment->flags & DP_TCP_RST) != 0)
    return 0;
  memset (packet, 0, length);
  packet[0] = IP_VERSION_4 << 4 | IP_HEADER_MIN / 4;
  dp_put16 (packet + IP_TOTAL_LENGTH, (guint16) length);
  dp_put16 (packet + IP_FRAGMENT, IP_DONT_FRAGMENT);
  packet[IP_TTL] = DEFAULT_TTL;
  packet[IP_PROTOCOL] = IP_PROTOCOL_TCP;
  dp_put32 (packet + IP_SOURCE, segment->key.service.ip);
  dp_put32 (packet + IP_DESTINATION, segment->key.client.ip);
  dp_put16 (packet + IP_CHECKSUM,
            (guint16) ~checksum_fold_ (checksum_add_ (packet, IP_HEADER_MIN, 0)));

  dp_put16 (tcp + TCP_SOURCE_PORT, segment->key.service.port);
  dp_put16 (tcp + TCP_DESTINATION_PORT, segment->key.client.port);
  tcp[TCP_OFFSET] = TCP_HEADER_MIN / 4 << 4;
  if ((segment->flags & DP_TCP_ACK) != 0)
    {
      dp_put32 (tcp + TCP_SEQ, segment->ack);
      tcp[TCP_FLAGS] = DP_TCP_RST;
    }
  else
    {
      guint32 end = segment->seq + segment->payload_length;

      end += (segment->flags & DP_TCP_SYN) != 0 ? 1 : 0;
      end += (segment->flags & DP_TCP_FIN) != 0 ? 1 : 0;
      dp_put32 (tcp + TCP_ACK, end);
      tcp[TCP_FLAGS] = DP_TCP_RST | DP_TCP_ACK;
    }
  sum = checksum_add_ (packet + IP_SOURCE, 8, IP_PROTOCOL_TCP + TCP_HEADER_MIN);
  dp_put16 (tcp + TCP_CHECKSUM,
            (guint16) ~checksum_fold_ (checksum_add_ (tcp, TCP_HEADER_MIN, sum)));
  return length;
}

/* Adds delta to the packet's sequence number and updates its TCP checksum. */
void
dp_segment_shift_seq (guint8 *packet, const DpSegment *segment, guint32 delta)
{
  guint tcp = segment->ip_header_length;

  replace32_ (packet, tcp + TCP_SEQ, tcp + TCP_CHECKSUM, segment->seq + delta);
}

/* Adds delta to the packet's acknowledgement number and updates its TCP checksum. */
void
dp_segment_shift_ack (guint8 *packet, const DpSegment *segment, guint32 delta)
{
  guint tcp = segment->ip_header_length;

  replace32_ (packet, tcp + TCP_ACK, tcp + TCP_CHECKSUM, segment->ack + delta);
}

static gboolean
invalid_ (GError **error, const char *text)
{
  dp_error_set (error, DP_ERROR_INVALID, "packet", NULL, "%s", text);
  return FALSE;
}

static guint32
checksum_add_ (const guint8 *data, gsize length, guint32 sum)
{
  for (gsize i = 0; i + 1 < length; i += 2)
    sum += dp_get16 (data + i);
  return sum;
}

static guint16
checksum_fold_ (guint32 sum)
{
  while (sum >> 16 != 0)
    sum = (sum & 0xffff) + (sum >> 16);
  return (guint16) sum;
}

/* Incremental checksum update, RFC 1624 equation 3. */
static void
replace32_ (guint8 *packet, guint offset, guint checksum, guint32 value)
{
  guint32 old = dp_get32 (packet + offset);
  guint32 sum = (guint16) ~dp_get16 (packet + checksum);

  sum += (guint16) ~(old >> 16) + (guint16) ~(old & 0xffff);
  sum += (value >> 16) + (value & 0xffff);
  dp_put32 (packet + offset, value);
  dp_put16 (packet + checksum, (guint16) ~checksum_fold_ (sum));
}
