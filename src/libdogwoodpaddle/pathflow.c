#include "private/pathflow.h"

/* The server is on the same host: a connection that takes longer will not be
 * established. */
#define SERVER_CONNECT_MS 3000

static void connected_ (int fd, int error_number, gpointer user_data);

/* Creates the record of a new flow with a copy of its SYN. */
DpPathFlow *
dp_path_flow_new (DpHandle handle,
                  const DpHeader *header,
                  const DpSegment *segment,
                  const guint8 *packet,
                  gsize length)
{
  DpPathFlow *flow = g_new0 (DpPathFlow, 1);

  flow->handle = handle;
  flow->key = segment->key;
  flow->reply_to = header->reply_to;
  flow->syn = *segment;
  flow->header = *header;
  flow->held_syn = g_memdup2 (packet, length);
  flow->held_syn_length = length;
  flow->server_fd = -1;
  return flow;
}

/* Frees the record. A connection to the server that no splice owns is reset. */
void
dp_path_flow_free (DpPathFlow *flow)
{
  if (flow == NULL)
    return;
  dp_path_flow_disconnect (flow);
  dp_path_flow_release_held_syn (flow);
  g_free (flow);
}

/* Frees the copy of the SYN. */
void
dp_path_flow_release_held_syn (DpPathFlow *flow)
{
  g_clear_pointer (&flow->held_syn, g_free);
  flow->held_syn_length = 0;
}

/* Opens a connection to the server. connected is called once, later, from the main loop,
 * unless dp_path_flow_disconnect () is called before. connected may free the flow. */
void
dp_path_flow_connect (DpPathFlow *flow,
                      const DpAddress *server,
                      DpPathFlowConnectFunc connected,
                      gpointer user_data)
{
  dp_path_flow_disconnect (flow);
  flow->connect_func = connected;
  flow->user_data = user_data;
  flow->connecting = dp_connect_attempt_new (server, SERVER_CONNECT_MS, connected_, flow);
}

/* Resets the connection to the server, whether it is open or being opened. */
void
dp_path_flow_disconnect (DpPathFlow *flow)
{
  g_clear_pointer (&flow->connecting, dp_connect_attempt_cancel);
  if (flow->server_fd >= 0)
    dp_close_with_reset (flow->server_fd);
  flow->server_fd = -1;
}

/* Returns the open connection to the server and passes its ownership to the caller; -1 if
 * there is none. */
int
dp_path_flow_steal_server_fd (DpPathFlow *flow)
{
  int fd = flow->server_fd;

  flow->server_fd = -1;
  return fd;
}

static void
connected_ (int fd, int error_number, gpointer user_data)
{
  DpPathFlow *flow = user_data;

  flow->connecting = NULL;
  flow->server_fd = fd;
  flow->connect_func (flow, fd >= 0, flow->user_data);
}
