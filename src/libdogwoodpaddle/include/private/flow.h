/* What the data path keeps for one flow: its SYN while that is held, the connection to
 * the backend server, and the splice. */
#pragma once

#include <glib.h>

#include "private/connecting.h"
#include "protected/acceptance.h"
#include "protected/splice.h"

typedef struct _DpFlow DpFlow;

/* The connection to the server is open or has failed. */
typedef void (*DpFlowConnectFunc) (DpFlow *flow, gboolean connected, gpointer user_data);

struct _DpFlow
{
  DpHandle handle;
  DpFlowKey key;
  DpAddress reply_to; /* of the latest packet */
  DpSegment syn;
  DpHeader header; /* of the SYN */
  gsize held_length;
  guint8 *held;             /* the SYN until it is delivered or sent on */
  int server_fd;            /* -1: none, or the splice owns it */
  DpConnecting *connecting; /* NULL: none */
  DpFlowConnectFunc connected;
  gpointer user_data;
  gpointer owner;   /* the data path */
  DpSplice *splice; /* NULL before the handshake is completed */
};

DpFlow *dp_flow_new (DpHandle handle,
                     const DpHeader *header,
                     const DpSegment *segment,
                     const guint8 *packet,
                     gsize length);
void dp_flow_free (DpFlow *flow);
void dp_flow_release_held (DpFlow *flow);
void dp_flow_connect (DpFlow *flow,
                      const DpAddress *server,
                      DpFlowConnectFunc connected,
                      gpointer user_data);
void dp_flow_disconnect (DpFlow *flow);
int dp_flow_take_server (DpFlow *flow);
