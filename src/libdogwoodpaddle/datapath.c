#include "protected/datapath.h"

#include <string.h>

#include "private/flow.h"
#include "private/pathcounters.h"
#include "protected/error.h"
#include "protected/trace.h"

#define HOP_COMPANION "companion"
#define HOP_SERVER "server"
#define INTERRUPTED_LOGGED_MAX 20u /* flows that are named when all are aborted */

/* The packet that acceptance was asked about. */
typedef struct
{
  const DpHeader *header;
  const DpSegment *segment;
  guint8 *data;
  gsize length;
} Packet;

struct _DpDataPath
{
  char *process;
  DpAcceptance *acceptance;
  GArray *trusted;
  DpClock *clock;
  DpPacketPort *port;
  DpStack *stack;
  DpSpliceSet *splices;
  GSource *timer;
  GHashTable *flows;  /* DpHandle to DpFlow, which it owns */
  GHashTable *by_key; /* DpFlowKey within a DpFlow to that DpFlow */
  GArray *ports;      /* guint16 on which the stack listens */
  DpAddress server;
  DpActions actions;
  gboolean carrying_out; /* actions that follow are appended and done in turn */
  const Packet *packet;  /* NULL outside dp_data_path_datagram () */
  DpPathCounters counters;
};

typedef struct
{
  GSource base;
  DpDataPath *path;
} TimerSource;

static gboolean timer_prepare_ (GSource *source, gint *timeout_ms);
static gboolean timer_check_ (GSource *source);
static gboolean timer_dispatch_ (GSource *source, GSourceFunc callback, gpointer data);
static gboolean trusted_ (const DpDataPath *path, guint32 ip);
static void
fault_ (DpDataPath *path, DpFaultKind fault, const DpAddress *peer, const char *text);
static void carry_out_ (DpDataPath *path);
static void carry_out_one_ (DpDataPath *path, const DpAction *action);
static void carry_out_for_packet_ (DpDataPath *path, const DpAction *action);
static void carry_out_for_flow_ (DpDataPath *path, const DpAction *action, DpFlow *flow);
static void deliver_ (DpDataPath *path);
static void hold_ (DpDataPath *path, const DpAction *action);
static void deliver_held_ (DpDataPath *path, DpFlow *flow);
static void
forward_ (DpDataPath *path, const DpAction *action, const guint8 *packet, gsize length);
static void
reset_ (DpDataPath *path, const DpSegment *segment, const DpAddress *reply_to);
static void forget_ (DpDataPath *path, DpFlow *flow);
static void abort_ (DpDataPath *path, DpFlow *flow);
static void remove_ (DpDataPath *path, DpFlow *flow);
static void server_connected_ (DpFlow *flow, gboolean connected, gpointer user_data);
static void output_ (const guint8 *packet,
                     gsize length,
                     const DpSegment *segment,
                     gpointer user_data);
static void accepted_ (DpConn *conn, gpointer user_data);
static gboolean request_ (DpSplice *splice, gsize bytes, gpointer user_data);
static void response_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data);
static void progress_ (DpSplice *splice, gsize bytes, gpointer user_data);
static void ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
static void span_ (DpDataPath *path, const DpFlow *flow, const char *detail);
static guint key_hash_ (gconstpointer key);
static gboolean key_equal_ (gconstpointer a, gconstpointer b);

static GSourceFuncs timer_funcs_ = {
  .prepare = timer_prepare_,
  .check = timer_check_,
  .dispatch = timer_dispatch_,
};
static const DpStackListener stack_listener_ = {
  .output = output_,
  .accepted = accepted_,
};
static const DpSpliceListener splice_listener_ = {
  .request = request_,
  .response = response_,
  .progress = progress_,
  .ended = ended_,
};

/* Creates a data path without a port; the stack's and splices' sources run on the default
 * main context. */
DpDataPath *
dp_data_path_new (const DpDataPathOptions *options)
{
  DpDataPath *path = g_new0 (DpDataPath, 1);

  path->process = g_strdup (options->process);
  path->acceptance = options->acceptance;
  path->trusted = g_array_ref (options->trusted_networks);
  path->clock = options->clock;
  path->stack = dp_stack_new (options->clock, &stack_listener_, path);
  path->splices = dp_splice_set_new ();
  path->flows = g_hash_table_new (NULL, NULL);
  path->by_key = g_hash_table_new (key_hash_, key_equal_);
  path->ports = g_array_new (FALSE, FALSE, sizeof (guint16));
  dp_actions_init (&path->actions);
  dp_path_counters_init (&path->counters, options->metrics);
  path->timer = g_source_new (&timer_funcs_, sizeof (TimerSource));
  ((TimerSource *) path->timer)->path = path;
  g_source_set_name (path->timer, "acceptance timers");
  g_source_attach (path->timer, NULL);
  return path;
}

/* Frees the data path and its port; the flows that are left are forgotten silently. */
void
dp_data_path_free (DpDataPath *path)
{
  GHashTableIter iter;
  gpointer flow;

  if (path == NULL)
    return;
  g_hash_table_iter_init (&iter, path->flows);
  while (g_hash_table_iter_next (&iter, NULL, &flow))
    {
      g_hash_table_iter_steal (&iter);
      forget_ (path, flow);
    }
  g_source_destroy (path->timer);
  g_source_unref (path->timer);
  dp_stack_free (path->stack);
  dp_splice_set_free (path->splices);
  dp_packet_port_free (path->port);
  dp_actions_finish (&path->actions);
  g_hash_table_unref (path->flows);
  g_hash_table_unref (path->by_key);
  g_array_unref (path->ports);
  g_array_unref (path->trusted);
  g_free (path->process);
  g_free (path);
}

/* Sets the port by which packets leave. */
void
dp_data_path_set_port (DpDataPath *path, DpPacketPort *port)
{
  dp_packet_port_free (path->port);
  path->port = port;
}

/* Handles one datagram: header and packet. */
void
dp_data_path_datagram (const DpAddress *source,
                       guint8 *data,
                       gsize length,
                       gpointer user_data)
{
  DpDataPath *path = user_data;
  DpHeader header;
  DpSegment segment;
  gsize header_length;
  Packet packet = { .header = &header, .segment = &segment };
  g_autoptr (GError) error = NULL;

  if (!trusted_ (path, source->ip))
    {
      fault_ (path, DP_FAULT_UNTRUSTED, source, "outside trusted_networks");
      return;
    }
  if (!dp_header_decode (&header, data, length, &header_length, &error))
    {
      fault_ (path, DP_FAULT_HEADER, source, error->message);
      return;
    }
  packet.data = data + header_length;
  packet.length = length - header_length;
  if (!dp_segment_parse (packet.data, packet.length, &segment, &error))
    {
      fault_ (path, DP_FAULT_PACKET, source, error->message);
      return;
    }
  path->packet = &packet;
  dp_acceptance_packet (path->acceptance, &header, &segment, dp_clock_now (path->clock),
                        &path->actions);
  carry_out_ (path);
  path->packet = NULL;
}

/* Sets where the backend server accepts connections. */
void
dp_data_path_set_server (DpDataPath *path, const DpAddress *server)
{
  path->server = *server;
}

/* Lets the stack answer on the ports of the addresses. Acceptance decides which addresses
 * are the service's, so a port that is no longer used may stay open. */
void
dp_data_path_set_addresses (DpDataPath *path,
                            const DpServiceAddress *addresses,
                            guint n_addresses)
{
  for (guint i = 0; i < n_addresses; i++)
    {
      DpAddress any = { .ip = 0, .port = addresses[i].address.port };
      g_autoptr (GError) error = NULL;
      gboolean known = FALSE;

      for (guint j = 0; j < path->ports->len; j++)
        known = known || g_array_index (path->ports, guint16, j) == any.port;
      if (known)
        continue;
      if (dp_stack_listen (path->stack, &any, &error))
        g_array_append_val (path->ports, any.port);
      else
        g_warning ("service port %u: %s", any.port, error->message);
    }
}

/* Lets acceptance act on changed configuration and on the time. */
void
dp_data_path_update (DpDataPath *path)
{
  dp_acceptance_tick (path->acceptance, dp_clock_now (path->clock), &path->actions);
  carry_out_ (path);
}

/* Resets all flows, logs how many and the first ones, and returns how many. */
guint
dp_data_path_abort_all (DpDataPath *path, DpReason reason)
{
  guint n = g_hash_table_size (path->flows);
  guint logged = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, path->flows);
  while (logged < INTERRUPTED_LOGGED_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpFlow *flow = value;
      char client[DP_ADDRESS_STRLEN];
      char service[DP_ADDRESS_STRLEN];

      logged++;
      g_message (
          "interrupted flow %s>%s (%s)", dp_address_format (&flow->key.client, client),
          dp_address_format (&flow->key.service, service), dp_reason_string (reason));
    }
  if (n > 0)
    g_warning ("interrupted %u flows (%s)", n, dp_reason_string (reason));
  dp_acceptance_abort_all (path->acceptance, reason, &path->actions);
  carry_out_ (path);
  return n;
}

/* Returns the number of flows whose ends have not both been closed. */
guint
dp_data_path_n_flows (const DpDataPath *path)
{
  return g_hash_table_size (path->flows);
}

static gboolean
timer_prepare_ (GSource *source, gint *timeout_ms)
{
  DpDataPath *path = ((TimerSource *) source)->path;
  gint64 deadline = dp_acceptance_next_deadline (path->acceptance);
  gint64 wait;

  *timeout_ms = -1;
  if (deadline < 0 || deadline == G_MAXINT64)
    return FALSE;
  wait = deadline - dp_clock_now (path->clock);
  if (wait <= 0)
    return TRUE;
  *timeout_ms = (gint) MIN ((wait + DP_US_PER_MS - 1) / DP_US_PER_MS, G_MAXINT);
  return FALSE;
}

static gboolean
timer_check_ (GSource *source)
{
  DpDataPath *path = ((TimerSource *) source)->path;
  gint64 deadline = dp_acceptance_next_deadline (path->acceptance);

  return deadline >= 0 && deadline <= dp_clock_now (path->clock);
}

static gboolean
timer_dispatch_ (GSource *source, GSourceFunc callback, gpointer data)
{
  dp_data_path_update (((TimerSource *) source)->path);
  return G_SOURCE_CONTINUE;
}

static gboolean
trusted_ (const DpDataPath *path, guint32 ip)
{
  for (guint i = 0; i < path->trusted->len; i++)
    {
      if (dp_network_contains (&g_array_index (path->trusted, DpNetwork, i), ip))
        return TRUE;
    }
  return FALSE;
}

static void
fault_ (DpDataPath *path, DpFaultKind fault, const DpAddress *peer, const char *text)
{
  dp_path_counters_fault (&path->counters, fault, peer, text, dp_clock_now (path->clock));
}

/* Carries out the actions in their order, and those that they lead to. */
static void
carry_out_ (DpDataPath *path)
{
  if (path->carrying_out)
    return;
  path->carrying_out = TRUE;
  for (guint i = 0; i < path->actions.items->len; i++)
    {
      /* A copy, since the array may grow meanwhile. */
      DpAction action = g_array_index (path->actions.items, DpAction, i);

      dp_path_counters_action (&path->counters, &action);
      carry_out_one_ (path, &action);
    }
  dp_actions_clear (&path->actions);
  path->carrying_out = FALSE;
}

static void
carry_out_one_ (DpDataPath *path, const DpAction *action)
{
  DpFlow *flow;

  if (action->type < DP_ACTION_CONNECT)
    {
      carry_out_for_packet_ (path, action);
      return;
    }
  flow = g_hash_table_lookup (path->flows, GUINT_TO_POINTER (action->flow));
  if (flow != NULL)
    carry_out_for_flow_ (path, action, flow);
}

static void
carry_out_for_packet_ (DpDataPath *path, const DpAction *action)
{
  const Packet *packet = path->packet;
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
      reset_ (path, packet->segment, &packet->header->reply_to);
      break;
    case DP_ACTION_DROP:
      if (action->reason == DP_REASON_WRONG_SERVICE)
        fault_ (path, DP_FAULT_WRONG_SERVICE, &packet->segment->key.service,
                "not an address of this companion's service");
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
carry_out_for_flow_ (DpDataPath *path, const DpAction *action, DpFlow *flow)
{
  const char *name = dp_action_type_string (action->type);

  span_ (path, flow,
         action->reason == DP_REASON_NONE ? name : dp_reason_string (action->reason));
  switch (action->type)
    {
    case DP_ACTION_CONNECT:
      dp_flow_connect (flow, &path->server, server_connected_, path);
      break;
    case DP_ACTION_DELIVER_HELD:
      deliver_held_ (path, flow);
      break;
    case DP_ACTION_FORWARD_HELD:
      if (flow->held != NULL)
        forward_ (path, action, flow->held, flow->held_length);
      remove_ (path, flow);
      break;
    case DP_ACTION_REFUSE:
      reset_ (path, &flow->syn, &flow->reply_to);
      remove_ (path, flow);
      break;
    case DP_ACTION_FORGET:
      forget_ (path, flow);
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

/* A flow that has ended is not in the table any more, but lwIP still answers its late
 * packets. */
static void
deliver_ (DpDataPath *path)
{
  const Packet *packet = path->packet;
  DpFlow *flow = g_hash_table_lookup (path->by_key, &packet->segment->key);

  if (flow != NULL)
    flow->reply_to = packet->header->reply_to;
  dp_stack_input (path->stack, packet->data, packet->length, packet->segment);
}

static void
hold_ (DpDataPath *path, const DpAction *action)
{
  const Packet *packet = path->packet;
  DpFlow *flow = g_hash_table_lookup (path->by_key, &packet->segment->key);

  /* Acceptance has forgotten an earlier flow between the same addresses. */
  if (flow != NULL)
    forget_ (path, flow);
  flow = dp_flow_new (action->flow, packet->header, packet->segment, packet->data,
                      packet->length);
  g_hash_table_insert (path->flows, GUINT_TO_POINTER (flow->handle), flow);
  g_hash_table_insert (path->by_key, &flow->key, flow);
}

static void
deliver_held_ (DpDataPath *path, DpFlow *flow)
{
  if (flow->held == NULL)
    return;
  dp_stack_input (path->stack, flow->held, flow->held_length, &flow->syn);
  dp_flow_release_held (flow);
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
reset_ (DpDataPath *path, const DpSegment *segment, const DpAddress *reply_to)
{
  guint8 packet[DP_PACKET_MAX];
  gsize length = dp_segment_make_reset (segment, packet);

  if (length == 0)
    return;
  dp_metric_increment (path->counters.n_replies);
  dp_packet_port_send (path->port, reply_to, packet, length);
}

/* Drops the flow; its client hears nothing, its server a reset. */
static void
forget_ (DpDataPath *path, DpFlow *flow)
{
  if (flow->splice != NULL)
    dp_splice_forget (flow->splice);
  else
    dp_stack_forget (path->stack, &flow->key.service, &flow->key.client);
  remove_ (path, flow);
}

/* Resets both sides of the flow. */
static void
abort_ (DpDataPath *path, DpFlow *flow)
{
  if (flow->splice != NULL)
    dp_splice_abort (flow->splice);
  else if (flow->held != NULL)
    reset_ (path, &flow->syn, &flow->reply_to);
  else
    dp_stack_abort (path->stack, &flow->key.service, &flow->key.client);
  remove_ (path, flow);
}

static void
remove_ (DpDataPath *path, DpFlow *flow)
{
  g_hash_table_remove (path->by_key, &flow->key);
  g_hash_table_remove (path->flows, GUINT_TO_POINTER (flow->handle));
  dp_flow_free (flow);
}

static void
server_connected_ (DpFlow *flow, gboolean connected, gpointer user_data)
{
  DpDataPath *path = user_data;
  gint64 now = dp_clock_now (path->clock);

  dp_trace_span (flow->header.trace_id, HOP_SERVER, path->process, &flow->syn,
                 connected ? "connected" : "connection failed");
  if (connected)
    dp_acceptance_server_connected (path->acceptance, flow->handle, now, &path->actions);
  else
    dp_acceptance_server_failed (path->acceptance, flow->handle, now, &path->actions);
  carry_out_ (path);
}

/* A packet from the stack goes to where the flow's latest packet came from. */
static void
output_ (const guint8 *packet, gsize length, const DpSegment *segment, gpointer user_data)
{
  DpDataPath *path = user_data;
  const guint8 answer = DP_TCP_SYN | DP_TCP_ACK;
  DpFlowKey key = { .client = segment->key.service, .service = segment->key.client };
  DpFlow *flow = g_hash_table_lookup (path->by_key, &key);
  const DpAddress *reply_to = NULL;

  if (flow != NULL)
    reply_to = &flow->reply_to;
  else if (path->packet != NULL && dp_flow_key_equal (&path->packet->segment->key, &key))
    reply_to = &path->packet->header->reply_to;
  if (flow != NULL && (segment->flags & answer) == answer)
    dp_acceptance_syn_answered (path->acceptance, flow->handle, segment->seq,
                                dp_clock_now (path->clock));
  if (reply_to == NULL)
    {
      fault_ (path, DP_FAULT_NO_REPLY_ADDRESS, &key.client, "the flow has ended");
      return;
    }
  dp_metric_increment (path->counters.n_replies);
  dp_packet_port_send (path->port, reply_to, packet, length);
}

/* The client completed the handshake. */
static void
accepted_ (DpConn *conn, gpointer user_data)
{
  DpDataPath *path = user_data;
  DpFlowKey key = { .client = dp_conn_remote (conn), .service = dp_conn_local (conn) };
  DpFlow *flow = g_hash_table_lookup (path->by_key, &key);
  int fd = flow != NULL ? dp_flow_take_server (flow) : -1;

  if (fd < 0)
    {
      dp_conn_abort (conn);
      return;
    }
  flow->owner = path;
  flow->splice = dp_splice_new (path->splices, conn, fd,
                                dp_acceptance_flow_class (path->acceptance, flow->handle),
                                &splice_listener_, flow);
  dp_acceptance_established (path->acceptance, flow->handle, dp_clock_now (path->clock));
  span_ (path, flow, "established");
}

static gboolean
request_ (DpSplice *splice, gsize bytes, gpointer user_data)
{
  DpFlow *flow = user_data;
  DpDataPath *path = flow->owner;

  return dp_acceptance_request (path->acceptance, flow->handle, bytes,
                                dp_clock_now (path->clock));
}

static void
response_ (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data)
{
  DpFlow *flow = user_data;
  DpDataPath *path = flow->owner;

  dp_acceptance_response (path->acceptance, flow->handle, bytes, unsent,
                          dp_clock_now (path->clock));
}

static void
progress_ (DpSplice *splice, gsize bytes, gpointer user_data)
{
  DpFlow *flow = user_data;
  DpDataPath *path = flow->owner;

  dp_acceptance_progress (path->acceptance, flow->handle, dp_clock_now (path->clock));
}

static void
ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data)
{
  DpFlow *flow = user_data;
  DpDataPath *path = flow->owner;
  DpHandle handle = flow->handle;

  span_ (path, flow, dp_splice_end_string (end));
  flow->splice = NULL;
  remove_ (path, flow);
  dp_acceptance_closed (path->acceptance, handle, dp_clock_now (path->clock),
                        &path->actions);
  carry_out_ (path);
}

/* Logs a span for a flow rather than for one of its packets. */
static void
span_ (DpDataPath *path, const DpFlow *flow, const char *detail)
{
  dp_trace_span (flow->header.trace_id, HOP_COMPANION, path->process, &flow->syn, detail);
}

static guint
key_hash_ (gconstpointer key)
{
  return (guint) dp_flow_key_hash (key);
}

static gboolean
key_equal_ (gconstpointer a, gconstpointer b)
{
  return dp_flow_key_equal (a, b);
}
