/* Guards against malformed packets that are routed, and wrong checksums in rewritten
 * ones. */
#include <string.h>

#include "protected/segment.h"
#include "runner.h"

/* 10.0.0.9:40000 to 10.77.0.1:80, SYN, sequence number 1000. */
static const guint8 syn_[] = {
  0x45, 0,    0, 40, 0, 1, 0x40, 0,    64, 6, 0, 0, 10,   0, 0,    9,    10, 77, 0, 1,
  0x9c, 0x40, 0, 80, 0, 0, 0x03, 0xe8, 0,  0, 0, 0, 0x50, 2, 0xff, 0xff, 0,  0,  0, 0,
};

typedef struct
{
  const char *name;
  guint offset;
  guint8 value;
  gsize length;
} BadPacket;

static guint16
tcp_sum (const guint8 *packet, gsize length)
{
  guint32 sum = 6 + (guint32) length - 20;

  for (gsize i = 12; i < length; i += 2)
    sum += (guint32) (packet[i] << 8 | packet[i + 1]);
  while (sum >> 16 != 0)
    sum = (sum & 0xffff) + (sum >> 16);
  return (guint16) sum;
}

static void
test_parse (void)
{
  DpSegment segment;

  CU_ASSERT_TRUE_FATAL (dp_segment_parse (syn_, sizeof syn_, &segment, NULL));
  CU_ASSERT_EQUAL (segment.key.client.ip, 0x0a000009);
  CU_ASSERT_EQUAL (segment.key.client.port, 40000);
  CU_ASSERT_EQUAL (segment.key.service.ip, 0x0a4d0001);
  CU_ASSERT_EQUAL (segment.key.service.port, 80);
  CU_ASSERT_EQUAL (segment.seq, 1000);
  CU_ASSERT_TRUE (dp_segment_opens_flow (&segment));
}

static void
test_malformed (void)
{
  static const BadPacket cases[] = {
    { "IPv6", 0, 0x65, 40 },
    { "IP header length too small", 0, 0x44, 40 },
    { "IP options longer than the packet", 0, 0x4f, 40 },
    { "total length too large", 3, 41, 40 },
    { "total length too small", 3, 39, 40 },
    { "UDP", 9, 17, 40 },
    { "more fragments", 6, 0x20, 40 },
    { "fragment offset", 7, 1, 40 },
    { "TCP data offset too small", 32, 0x40, 40 },
    { "TCP data offset too large", 32, 0x60, 40 },
    { "truncated", 0, 0x45, 39 },
    { "empty", 0, 0x45, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint8 packet[sizeof syn_];
      DpSegment segment;

      memcpy (packet, syn_, sizeof syn_);
      packet[cases[i].offset] = cases[i].value;
      CU_ASSERT_FALSE (dp_segment_parse (packet, cases[i].length, &segment, NULL));
    }
}

static void
test_reset (void)
{
  guint8 packet[DP_PACKET_MAX];
  DpSegment segment;
  DpSegment reset;
  gsize length;

  CU_ASSERT_TRUE_FATAL (dp_segment_parse (syn_, sizeof syn_, &segment, NULL));
  length = dp_segment_make_reset (&segment, packet);
  CU_ASSERT_TRUE_FATAL (dp_segment_parse (packet, length, &reset, NULL));
  CU_ASSERT_EQUAL (reset.flags, DP_TCP_RST | DP_TCP_ACK);
  CU_ASSERT_EQUAL (reset.ack, 1001);
  CU_ASSERT_EQUAL (reset.key.client.ip, segment.key.service.ip);
  CU_ASSERT_EQUAL (tcp_sum (packet, length), 0xffff);
  CU_ASSERT_EQUAL (dp_segment_make_reset (&reset, packet), 0);
}

static void
test_shift (void)
{
  static const guint32 deltas[] = { 1, 0xffff, 0x10000, 0xffffffff, 0x9e3779b9 };
  guint8 packet[DP_PACKET_MAX];
  DpSegment segment;
  DpSegment shifted;
  gsize length;

  CU_ASSERT_TRUE_FATAL (dp_segment_parse (syn_, sizeof syn_, &segment, NULL));
  length = dp_segment_make_reset (&segment, packet);
  for (guint i = 0; i < G_N_ELEMENTS (deltas); i++)
    {
      CU_ASSERT_TRUE_FATAL (dp_segment_parse (packet, length, &segment, NULL));
      dp_segment_shift_seq (packet, &segment, deltas[i]);
      dp_segment_shift_ack (packet, &segment, deltas[i]);
      CU_ASSERT_TRUE_FATAL (dp_segment_parse (packet, length, &shifted, NULL));
      CU_ASSERT_EQUAL (shifted.seq, segment.seq + deltas[i]);
      CU_ASSERT_EQUAL (shifted.ack, segment.ack + deltas[i]);
      CU_ASSERT_EQUAL (tcp_sum (packet, length), 0xffff);
    }
}

static const DpTestCase cases_[] = {
  { "a SYN is parsed", test_parse },
  { "malformed packets are rejected", test_malformed },
  { "a reset answers a SYN", test_reset },
  { "the checksum is correct after sequence numbers are shifted", test_shift },
};

DP_TEST_MAIN ("segment", cases_)
