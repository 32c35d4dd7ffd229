/* TCP packets for tests, with correct checksums. */
#pragma once

#include "protected/segment.h"

gsize dp_test_packet (guint8 packet[DP_PACKET_MAX],
                      const DpFlowKey *key,
                      guint8 flags,
                      guint32 seq,
                      guint32 ack,
                      const void *payload,
                      gsize length);
