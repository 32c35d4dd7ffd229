#include "private/pathactions.h"

#include <string.h>

#include "protected/trace.h"

#define HOP_COMPANION "companion"
#define HOP_SERVER "server"

static void deliver_ (DpDataPath *path);
static void hold_ (DpDataPath *path, const DpAction *action);
static void deliver_held_ (DpDataPath *path, DpPathFlow *flow);
static void
forward_ (DpDataPath *path, const DpAction *action, const guint8 *packet, gsize length);
static void
send_reset_ (DpDataPath *path, const DpSegment *segment, const DpAddress *reply_to);
static void abort_ (DpDataPath *path, DpPathFlow *flow);
static void remove_flow_ (DpDataPath *path, DpPathFlow *flow);
static void server_connected_ (DpPathFlow *flow, gboolean connected, gpointer user_data);
static void output_ (const guint8 *packet,
                     gsize length,
                     const DpSegment *segment,
                     gpointer user_data);
static void accepted_ (DpConn *conn, gpointer user_data);
static gboolean request_ (DpSplice *splice, gsize bytes, gpointer user_data);
static void response_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data);
static void progress_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data);
static void ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
static void trace_flow_ (DpDataPath *path, const DpPathFlow *flow, const char *detail);

const DpStackListener dp_path_stack_listener = {
  .output = output_,
  .accepted = accepted_,
};
static const DpSpliceListener splice_listener_ = {
  .request = request_,
  .response = response_,
  .progress = progress_,
  .ended = ended_,
};

/* Passes a late packet of a flow that has ended here to lwIP, which answers it from
 * TIME_WAIT; the flow engine no longer knows the flow. Returns whether the present packet
 * was such a packet. */
gboolean
dp_path_answer_late_packet (DpDataPath *path)
{
  const DpPathPacket *packet = path->packet;
  const DpFlowKey *key = &packet->segment->key;

  if (dp_segment_opens_flow (packet->segment)
      || !dp_time_wait_has (path->time_wait, key, dp_clock_now (path->clock))
      || g_hash_table_contains (path->by_key, key))
    return FALSE;
  dp_metric_increment (path->counters.n_late);
  dp_trace_span (packet->header->trace_id, HOP_COMPANION, path->process, packet->segment,
                 "late packet");
  dp_stack_input (path->stack, packet->data, packet->length, packet->segment);
  return TRUE;
}

/* Carries out an action for the present packet. */
void
dp_path_act_on_packet (DpDataPath *path, const DpAction *action)
{
  const DpPathPacket *packet = path->packet;
  const char *name = dp_action_type_string (action->type);

  g_assert (packet != NULL);
  dp_trace_span (packet->header->trace_id, HOP_COMPANION, path->process, packet->segment,
                 action->reason == DP_REASON_NONE ? name
                                                  : dp_reason_string (action->reason));
  switch (action->type)
    {
    case DP_ACTION_DELIVER:
      deliver_ (path);
      break;
    case DP_ACTION_FORWARD:
      forward_ (path, action, packet->data, packet->length);
      break;
    case DP_ACTION_HOLD:
      hold_ (path, action);
      break;
    case DP_ACTION_RESET:
      send_reset_ (path, packet->segment, &packet->header->reply_to);
      break;
    case DP_ACTION_DROP:
      if (action->reason == DP_REASON_WRONG_SERVICE)
        dp_path_fault (path, DP_FAULT_WRONG_SERVICE, &packet->segment->key.service,
                       "not an address of this companion's service");
      break;
    default:
      g_assert_not_reached ();
    }
}

/* Carries out an action for a flow, which may free the flow. */
void
dp_path_act_on_flow (DpDataPath *path, const DpAction *action, DpPathFlow *flow)
{
  const char *name = dp_action_type_string (action->type);

  trace_flow_ (path, flow,
               action->reason == DP_REASON_NONE ? name
                                                : dp_reason_string (action->reason));
  switch (action->type)
    {
    case DP_ACTION_CONNECT:
      dp_path_flow_connect (flow, &path->server_address, server_connected_, path);
      break;
    case DP_ACTION_DELIVER_HELD:
      deliver_held_ (path, flow);
      break;
    case DP_ACTION_FORWARD_HELD:
      if (flow->held_syn != NULL)
        forward_ (path, action, flow->held_syn, flow->held_syn_length);
      remove_flow_ (path, flow);
      break;
    case DP_ACTION_REFUSE:
      send_reset_ (path, &flow->syn, &flow->reply_to);
      remove_flow_ (path, flow);
      break;
    case DP_ACTION_FORGET:
      dp_path_forget (path, flow);
      break;
    case DP_ACTION_GRANT:
      if (flow->splice != NULL)
        dp_splice_grant (flow->splice);
      break;
    case DP_ACTION_ABORT:
      abort_ (path, flow);
      break;
    default:
      g_assert_not_reached ();
    }
}

/* Removes the flow. The connection to its server is reset; its client is sent nothing. */
void
dp_path_forget (DpDataPath *path, DpPathFlow *flow)
{
  if (flow->splice != NULL)
    dp_splice_discard (flow->splice);
  else
    dp_stack_discard (path->stack, &flow->key.service, &flow->key.client);
  remove_flow_ (path, flow);
}

/* Passes the present packet to lwIP. Its flow may have ended here and left the table;
 * lwIP still answers late packets of such a flow. */
static void
deliver_ (DpDataPath *path)
{
  const DpPathPacket *packet = path->packet;
  DpPathFlow *flow = g_hash_table_lookup (path->by_key, &packet->segment->key);

  if (flow != NULL)
    flow->reply_to = packet->header->reply_to;
  dp_stack_input (path->stack, packet->data, packet->length, packet->segment);
}

static void
hold_ (DpDataPath *path, const DpAction *action)
{
  const DpPathPacket *packet = path->packet;
  DpPathFlow *flow = g_hash_table_lookup (path->by_key, &packet->segment->key);

  /* The flow engine has already removed an earlier flow with the same key. */
  if (flow != NULL)
    dp_path_forget (path, flow);
  flow = dp_path_flow_new (action->flow, packet->header, packet->segment, packet->data,
                           packet->length);
  g_hash_table_insert (path->flows, GUINT_TO_POINTER (flow->handle), flow);
  g_hash_table_insert (path->by_key, &flow->key, flow);
}

static void
deliver_held_ (DpDataPath *path, DpPathFlow *flow)
{
  if (flow->held_syn == NULL)
    return;
  /* The client reuses its port. Without this, lwIP would answer the SYN from
   * TIME_WAIT. */
  if (dp_time_wait_remove (path->time_wait, &flow->key))
    dp_stack_discard (path->stack, &flow->key.service, &flow->key.client);
  dp_stack_input (path->stack, flow->held_syn, flow->held_syn_length, &flow->syn);
  dp_path_flow_release_held_syn (flow);
}

static void
forward_ (DpDataPath *path, const DpAction *action, const guint8 *packet, gsize length)
{
  guint8 datagram[DP_HEADER_MAX + DP_PACKET_MAX];
  gsize header_length = dp_header_encode (&action->header, datagram, DP_HEADER_MAX);

  g_assert (header_length > 0);
  memcpy (datagram + header_length, packet, length);
  dp_packet_port_send (path->port, &action->address, datagram, header_length + length);
}

static void
send_reset_ (DpDataPath *path, const DpSegment *segment, const DpAddress *reply_to)
{
  guint8 packet[DP_PACKET_MAX];
  gsize length = dp_segment_make_reset (segment, packet);

  if (length == 0)
    return;
  dp_metric_increment (path->counters.n_replies);
  dp_packet_port_send (path->port, reply_to, packet, length);
}

/* Resets both connections of the flow and removes it. */
static void
abort_ (DpDataPath *path, DpPathFlow *flow)
{
  if (flow->splice != NULL)
    dp_splice_abort (flow->splice);
  else if (flow->held_syn != NULL)
    send_reset_ (path, &flow->syn, &flow->reply_to);
  else
    dp_stack_abort (path->stack, &flow->key.service, &flow->key.client);
  remove_flow_ (path, flow);
}

static void
remove_flow_ (DpDataPath *path, DpPathFlow *flow)
{
  g_hash_table_remove (path->by_key, &flow->key);
  g_hash_table_remove (path->flows, GUINT_TO_POINTER (flow->handle));
  dp_path_flow_free (flow);
}

static void
server_connected_ (DpPathFlow *flow, gboolean connected, gpointer user_data)
{
  DpDataPath *path = user_data;
  gint64 now = dp_clock_now (path->clock);

  dp_trace_span (flow->header.trace_id, HOP_SERVER, path->process, &flow->syn,
                 connected ? "connected" : "connection failed");
  if (connected)
    dp_flow_engine_server_connected (path->engine, flow->handle, now, &path->actions);
  else
    dp_flow_engine_server_failed (path->engine, flow->handle, now, &path->actions);
  dp_path_carry_out (path);
}

/* Sends a packet from the TCP stack to the reply address of the flow's latest packet. */
static void
output_ (const guint8 *packet, gsize length, const DpSegment *segment, gpointer user_data)
{
  DpDataPath *path = user_data;
  const guint8 syn_ack = DP_TCP_SYN | DP_TCP_ACK;
  DpFlowKey key = { .client = segment->key.service, .service = segment->key.client };
  DpPathFlow *flow = g_hash_table_lookup (path->by_key, &key);
  const DpAddress *reply_to = NULL;

  if (flow != NULL)
    reply_to = &flow->reply_to;
  else if (path->packet != NULL && dp_flow_key_equal (&path->packet->segment->key, &key))
    reply_to = &path->packet->header->reply_to;
  if (flow != NULL && (segment->flags & syn_ack) == syn_ack)
    dp_flow_engine_syn_answered (path->engine, flow->handle, segment->seq,
                                 dp_clock_now (path->clock));
  if (reply_to == NULL)
    {
      dp_path_fault (path, DP_FAULT_NO_REPLY_ADDRESS, &key.client, "the flow has ended");
      return;
    }
  dp_metric_increment (path->counters.n_replies);
  dp_packet_port_send (path->port, reply_to, packet, length);
}

/* Splices the connection of a client that completed the handshake with the connection to
 * the server. */
static void
accepted_ (DpConn *conn, gpointer user_data)
{
  DpDataPath *path = user_data;
  DpFlowKey key = { .client = dp_conn_remote (conn), .service = dp_conn_local (conn) };
  DpPathFlow *flow = g_hash_table_lookup (path->by_key, &key);
  int fd = flow != NULL ? dp_path_flow_steal_server_fd (flow) : -1;

  if (fd < 0)
    {
      dp_conn_abort (conn);
      return;
    }
  flow->owner = path;
  flow->splice = dp_splice_new (path->splices, conn, fd,
                                dp_flow_engine_flow_class (path->engine, flow->handle),
                                &splice_listener_, flow);
  dp_flow_engine_established (path->engine, flow->handle, dp_clock_now (path->clock));
  trace_flow_ (path, flow, "established");
}

static gboolean
request_ (DpSplice *splice, gsize bytes, gpointer user_data)
{
  DpPathFlow *flow = user_data;
  DpDataPath *path = flow->owner;

  return dp_flow_engine_request (path->engine, flow->handle, bytes,
                                 dp_clock_now (path->clock));
}

static void
response_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data)
{
  DpPathFlow *flow = user_data;
  DpDataPath *path = flow->owner;

  dp_flow_engine_response (path->engine, flow->handle, bytes, unsent,
                           dp_clock_now (path->clock));
}

static void
progress_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data)
{
  DpPathFlow *flow = user_data;
  DpDataPath *path = flow->owner;
  gint64 now = dp_clock_now (path->clock);

  dp_flow_engine_progress (path->engine, flow->handle, now);
  if (unsent == 0)
    dp_flow_engine_response (path->engine, flow->handle, 0, 0, now);
}

static void
ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data)
{
  DpPathFlow *flow = user_data;
  DpDataPath *path = flow->owner;
  DpHandle handle = flow->handle;

  gint64 now = dp_clock_now (path->clock);
  DpFlowKey evicted;

  trace_flow_ (path, flow, dp_splice_end_string (end));
  flow->splice = NULL;
  if (dp_splice_in_time_wait (splice)
      && dp_time_wait_add (path->time_wait, &flow->key, now, &evicted))
    dp_stack_discard (path->stack, &evicted.service, &evicted.client);
  remove_flow_ (path, flow);
  dp_flow_engine_closed (path->engine, handle, now, &path->actions);
  dp_path_carry_out (path);
}

/* Logs a trace span for the whole flow, in which the flow is identified by its SYN. */
static void
trace_flow_ (DpDataPath *path, const DpPathFlow *flow, const char *detail)
{
  dp_trace_span (flow->header.trace_id, HOP_COMPANION, path->process, &flow->syn, detail);
}
