/* Guards against packets whose fields are parsed wrongly, and against changes to fields
 * that their checksum covers. */
#include <string.h>

#include "packet.h"
#include "runner.h"

/* The example in the platform's documentation: SYN from 100.64.0.7:40001 to
 * 198.18.0.1:443. */
static const guint8 syn_[] = {
  0x00, 0x00, 0x00, 0x00, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
  0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01,
  0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5,
};
static const guint8 reset_[] = {
  0x00, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
  0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07,
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
};

enum
{
  FLAGS = 4,
  LENGTH_LOW = 11,
  ACK_LOW = 31
};

static void
test_parse (void)
{
  DpSegment segment;
  gboolean returned;

  CU_ASSERT_TRUE (platform_packet_format.parse (syn_, sizeof syn_, &segment, &returned));
  CU_ASSERT_EQUAL (segment.key.client.ip, 0x64400007);
  CU_ASSERT_EQUAL (segment.key.client.port, 40001);
  CU_ASSERT_EQUAL (segment.key.service.ip, 0xc6120001);
  CU_ASSERT_EQUAL (segment.key.service.port, 443);
  CU_ASSERT_EQUAL (segment.seq, 0x11223344);
  CU_ASSERT_TRUE (dp_segment_opens_flow (&segment));
  CU_ASSERT_FALSE (returned);
}

/* A packet with less data than fits ends an answer; one without data doesn't. */
static void
test_partial (void)
{
  static const struct
  {
    guint16 payload;
    gboolean partial;
  } cases[] = { { 0, FALSE }, { 1, TRUE }, { 1199, TRUE }, { 1200, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint8 packet[sizeof syn_ + 1200] = { 0 };
      DpSegment segment;
      gboolean returned;

      memcpy (packet, syn_, sizeof syn_);
      packet[LENGTH_LOW - 1] = (guint8) (cases[i].payload >> 8);
      packet[LENGTH_LOW] = (guint8) cases[i].payload;
      CU_ASSERT_TRUE (platform_packet_format.parse (
          packet, sizeof syn_ + cases[i].payload, &segment, &returned));
      CU_ASSERT_EQUAL (segment.partial, cases[i].partial);
    }
}

static void
test_flags (void)
{
  static const struct
  {
    guint8 wire;
    guint8 flags;
    gboolean returned;
  } cases[] = {
    { 64, DP_TCP_SYN, FALSE },
    { 64 | 4, DP_TCP_SYN | DP_TCP_ACK, FALSE },
    { 8 | 4, DP_TCP_FIN | DP_TCP_ACK, FALSE },
    { 2, DP_TCP_RST, FALSE },
    { 32 | 4, DP_TCP_ACK, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint8 packet[sizeof syn_];
      DpSegment segment;
      gboolean returned;

      memcpy (packet, syn_, sizeof syn_);
      packet[FLAGS] = cases[i].wire;
      CU_ASSERT_TRUE (
          platform_packet_format.parse (packet, sizeof packet, &segment, &returned));
      CU_ASSERT_EQUAL (segment.flags, cases[i].flags);
      CU_ASSERT_EQUAL (returned, cases[i].returned);
    }
}

static void
test_malformed (void)
{
  guint8 packet[2000] = { 0 };
  DpSegment segment;
  gboolean returned;

  memcpy (packet, syn_, sizeof syn_);
  for (gsize length = 0; length < sizeof packet; length++)
    CU_ASSERT_EQUAL (platform_packet_format.parse (packet, length, &segment, &returned),
                     length == sizeof syn_);
  /* The longest data is 1,200 bytes. */
  packet[LENGTH_LOW - 1] = 1201 >> 8;
  packet[LENGTH_LOW] = (guint8) 1201;
  CU_ASSERT_FALSE (
      platform_packet_format.parse (packet, sizeof syn_ + 1201, &segment, &returned));
}

/* A client's deadline counts from its first SYN, not from the retransmission that
 * arrived. */
static void
test_syn_retransmits (void)
{
  static const guint16 ages_ms[] = { 0, 200, 600, 600 };

  for (guint i = 0; i < G_N_ELEMENTS (ages_ms); i++)
    {
      guint8 packet[sizeof syn_];
      DpSegment segment;
      gboolean returned;

      memcpy (packet, syn_, sizeof syn_);
      packet[ACK_LOW] = (guint8) i;
      platform_packet_format.parse (packet, sizeof packet, &segment, &returned);
      CU_ASSERT_EQUAL (segment.syn_age_ms, ages_ms[i]);
    }
}

/* Only echo, pad and the flag for returned packets may change: the checksum covers the
 * rest. */
static void
test_hop (void)
{
  const DpHop hop = { .service_tag = 0xabcdef,
                      .class = DP_TRAFFIC_BULK,
                      .n_visited = 7,
                      .search_steps = DP_SEARCH_STEPS_MAX,
                      .n_owners_tried = DP_OWNERS_TRIED_MAX,
                      .reject_reason = 3,
                      .n_confirmed = 1,
                      .held_ms = 1350,
                      .wait_limit_ms = 75,
                      .deadline_ms = 2500 };
  guint8 packet[sizeof syn_];
  DpHop read;

  memcpy (packet, syn_, sizeof syn_);
  packet[FLAGS] |= 32;
  platform_packet_format.write_hop (packet, &hop);
  platform_packet_format.read_hop (packet, &read);
  CU_ASSERT_EQUAL (read.service_tag, hop.service_tag);
  CU_ASSERT_EQUAL (read.class, hop.class);
  CU_ASSERT_EQUAL (read.n_visited, hop.n_visited);
  CU_ASSERT_EQUAL (read.reject_reason, 3);
  CU_ASSERT_EQUAL (read.n_confirmed, 1);
  CU_ASSERT_EQUAL (read.held_ms, 1350);
  CU_ASSERT_EQUAL (read.wait_limit_ms, 75);
  CU_ASSERT_EQUAL (read.deadline_ms, 2500);
  CU_ASSERT_EQUAL (memcmp (packet + 10, syn_ + 10, sizeof syn_ - 10), 0);
  CU_ASSERT_EQUAL (packet[FLAGS], syn_[FLAGS]);
  /* A server that returns a packet clears pad; the rest of the hop is kept. */
  memset (packet + 5, 0, 5);
  platform_packet_format.read_hop (packet, &read);
  CU_ASSERT_EQUAL (read.n_visited, 7);
  CU_ASSERT_EQUAL (read.class, DP_TRAFFIC_BULK);
  CU_ASSERT_EQUAL (read.search_steps, DP_SEARCH_STEPS_MAX);
  CU_ASSERT_EQUAL (read.n_owners_tried, DP_OWNERS_TRIED_MAX);
}

static void
test_reset (void)
{
  guint8 packet[DP_PACKET_MAX];
  DpSegment segment;
  gboolean returned;

  platform_packet_format.parse (syn_, sizeof syn_, &segment, &returned);
  CU_ASSERT_EQUAL (platform_packet_format.make_reset (&segment, packet), sizeof reset_);
  CU_ASSERT_EQUAL (memcmp (packet, reset_, sizeof reset_), 0);
  /* On an established flow, the sequence number of the reset is the client's last
   * acknowledgement. */
  segment.flags = DP_TCP_ACK;
  segment.ack = 0x01020304;
  platform_packet_format.make_reset (&segment, packet);
  CU_ASSERT_EQUAL (packet[24], 1);
  CU_ASSERT_EQUAL (packet[27], 4);
}

static const DpTestCase cases_[] = {
  { "the documented example", test_parse },
  { "partial packets", test_partial },
  { "flags", test_flags },
  { "invalid lengths are rejected", test_malformed },
  { "the age of retransmitted SYNs", test_syn_retransmits },
  { "writing the hop changes nothing that the checksum covers", test_hop },
  { "resets", test_reset },
};

DP_TEST_MAIN ("hosted packet", cases_)
