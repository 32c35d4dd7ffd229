/* The fields of one TCP segment in an IPv4 packet that routing needs. */
#pragma once

#include <glib.h>

#include "protected/address.h"

#define DP_PACKET_MAX 1500 /* bytes of one IPv4 packet */

enum
{
  DP_TCP_FIN = 0x01,
  DP_TCP_SYN = 0x02,
  DP_TCP_RST = 0x04,
  DP_TCP_PSH = 0x08,
  DP_TCP_ACK = 0x10
};

typedef struct
{
  DpAddress client;
  DpAddress service;
} DpFlowKey;

typedef struct
{
  DpFlowKey key;
  guint64 hash; /* dp_flow_key_hash (&key) */
  guint32 seq;
  guint32 ack;
  guint16 payload_length;  /* bytes */
  guint8 flags;            /* DP_TCP_* */
  guint8 ip_header_length; /* bytes */
  guint16 syn_age_ms;      /* of a retransmitted SYN: since the first one; 0: unknown */
  gboolean
      partial; /* passthrough mode: less data than fits into a packet, but not none */
} DpSegment;

gboolean
dp_segment_parse (const guint8 *packet, gsize length, DpSegment *segment, GError **error);
gboolean dp_segment_opens_flow (const DpSegment *segment);
guint64 dp_flow_key_hash (const DpFlowKey *key);
gboolean dp_flow_key_equal (const DpFlowKey *a, const DpFlowKey *b);
gsize dp_segment_make_reset (const DpSegment *segment, guint8 packet[DP_PACKET_MAX]);
void dp_segment_shift_seq (guint8 *packet, const DpSegment *segment, guint32 delta);
void dp_segment_shift_ack (guint8 *packet, const DpSegment *segment, guint32 delta);
