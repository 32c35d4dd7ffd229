/* What the data path keeps for one flow: its SYN while it is held, the connection to the
 * backend server, and the splice of both connections. */
#pragma once

#include <glib.h>

#include "private/connectattempt.h"
#include "protected/flowengine.h"
#include "protected/splice.h"

typedef struct _DpPathFlow DpPathFlow;

/* Called when the connection to the server is open or has failed. */
typedef void (*DpPathFlowConnectFunc) (DpPathFlow *flow,
                                       gboolean connected,
                                       gpointer user_data);

struct _DpPathFlow
{
  DpHandle handle;
  DpFlowKey key;
  DpAddress reply_to; /* from the header of the latest packet */
  DpSegment syn;
  DpHeader header; /* of the SYN */
  gsize held_syn_length;
  guint8 *held_syn;             /* the SYN until it is delivered or forwarded */
  int server_fd;                /* -1: none, or the splice owns it */
  DpConnectAttempt *connecting; /* NULL: none */
  DpPathFlowConnectFunc connect_func;
  gpointer user_data;
  gpointer owner;   /* the data path */
  DpSplice *splice; /* NULL before the handshake is completed */
};

DpPathFlow *dp_path_flow_new (DpHandle handle,
                              const DpHeader *header,
                              const DpSegment *segment,
                              const guint8 *packet,
                              gsize length);
void dp_path_flow_free (DpPathFlow *flow);
void dp_path_flow_release_held_syn (DpPathFlow *flow);
void dp_path_flow_connect (DpPathFlow *flow,
                           const DpAddress *server,
                           DpPathFlowConnectFunc connected,
                           gpointer user_data);
void dp_path_flow_disconnect (DpPathFlow *flow);
int dp_path_flow_steal_server_fd (DpPathFlow *flow);
