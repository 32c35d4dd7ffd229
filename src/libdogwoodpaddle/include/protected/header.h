/* The header in front of a packet between balancers and companions. */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/position.h"

#define DP_HEADER_VERSION 1
#define DP_HEADER_MAX 256 /* encoded bytes at most */
#define DP_VISITED_MAX 32 /* members that one packet may visit */

typedef struct
{
  guint64 service_id;
  /* Of the newest view by which a member was chosen for the packet. */
  DpPosition revision;
  DpAddress reply_to; /* where answers to the packet are sent */
  guint64 trace_id;   /* 0: the flow is not traced */
  guint32 flags;      /* reserved, 0 */
  guint n_visited;
  guint32 visited[DP_VISITED_MAX]; /* member ids, including the present target's */
  guint32 best_member; /* forwarded the SYN and had the shortest expected wait, 0: none */
  guint32 best_wait_ms; /* expected wait for a slot at best_member */
} DpHeader;

gsize dp_header_encode (const DpHeader *header, guint8 *buffer, gsize size);
gboolean dp_header_decode (DpHeader *header,
                           const guint8 *data,
                           gsize length,
                           gsize *header_length,
                           GError **error);
