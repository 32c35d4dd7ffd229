#include "protected/datapath.h"

#include "private/pathactions.h"
#include "protected/error.h"

/* lwIP keeps a connection in TIME_WAIT for 120 s. For each packet that belongs to no open
 * connection it searches those in TIME_WAIT one by one, so their number is limited. */
#define TIME_WAIT_KEPT (125 * DP_US_PER_S)
#define TIME_WAIT_MAX 4096
#define LOGGED_FLOWS_MAX 20u /* flows that get a log line when all are aborted */

typedef struct
{
  GSource base;
  DpDataPath *path;
} TimerSource;

static gboolean timer_prepare_ (GSource *source, gint *timeout_ms);
static gboolean timer_check_ (GSource *source);
static gboolean timer_dispatch_ (GSource *source, GSourceFunc callback, gpointer data);
static gboolean is_trusted_ (const DpDataPath *path, guint32 ip);
static void carry_out_action_ (DpDataPath *path, const DpAction *action);

static GSourceFuncs timer_funcs_ = {
  .prepare = timer_prepare_,
  .check = timer_check_,
  .dispatch = timer_dispatch_,
};

/* Creates a data path without a port. The event sources of its TCP stack and splices run
 * on the default main context. */
DpDataPath *
dp_data_path_new (const DpDataPathOptions *options)
{
  DpDataPath *path = g_new0 (DpDataPath, 1);

  path->process = g_strdup (options->process);
  path->engine = options->engine;
  path->trusted_networks = g_array_ref (options->trusted_networks);
  path->clock = options->clock;
  path->stack = dp_stack_new (options->clock, &dp_path_stack_listener, path);
  path->splices = dp_splice_set_new ();
  path->flows = g_hash_table_new (NULL, NULL);
  path->by_key = g_hash_table_new (dp_flow_key_table_hash, dp_flow_key_table_equal);
  path->time_wait = dp_time_wait_new (TIME_WAIT_MAX, TIME_WAIT_KEPT);
  path->ports = g_array_new (FALSE, FALSE, sizeof (guint16));
  dp_actions_init (&path->actions);
  dp_path_counters_init (&path->counters, options->metrics);
  path->timer = g_source_new (&timer_funcs_, sizeof (TimerSource));
  ((TimerSource *) path->timer)->path = path;
  g_source_set_name (path->timer, "flow engine timers");
  g_source_attach (path->timer, NULL);
  return path;
}

/* Frees the data path and its port. The remaining flows are removed without informing
 * their clients. */
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
      dp_path_forget (path, flow);
    }
  g_source_destroy (path->timer);
  g_source_unref (path->timer);
  dp_stack_free (path->stack);
  dp_splice_set_free (path->splices);
  dp_packet_port_free (path->port);
  dp_actions_finish (&path->actions);
  g_hash_table_unref (path->flows);
  g_hash_table_unref (path->by_key);
  dp_time_wait_free (path->time_wait);
  g_array_unref (path->ports);
  g_array_unref (path->trusted_networks);
  g_free (path->process);
  g_free (path);
}

/* Sets the port that packets are sent from, and frees the previous one. */
void
dp_data_path_set_port (DpDataPath *path, DpPacketPort *port)
{
  dp_packet_port_free (path->port);
  path->port = port;
}

/* Handles one datagram, which consists of a header and an IP packet. */
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
  DpPathPacket packet = { .header = &header, .segment = &segment };
  g_autoptr (GError) error = NULL;

  if (!is_trusted_ (path, source->ip))
    {
      dp_path_fault (path, DP_FAULT_UNTRUSTED, source, "outside trusted_networks");
      return;
    }
  if (!dp_header_decode (&header, data, length, &header_length, &error))
    {
      dp_path_fault (path, DP_FAULT_HEADER, source, error->message);
      return;
    }
  packet.data = data + header_length;
  packet.length = length - header_length;
  if (!dp_segment_parse (packet.data, packet.length, &segment, &error))
    {
      dp_path_fault (path, DP_FAULT_PACKET, source, error->message);
      return;
    }
  path->packet = &packet;
  if (dp_path_answer_late_packet (path))
    {
      path->packet = NULL;
      return;
    }
  dp_flow_engine_packet (path->engine, &header, &segment, dp_clock_now (path->clock),
                         &path->actions);
  dp_path_carry_out (path);
  path->packet = NULL;
}

/* Sets the address at which the backend server accepts connections. */
void
dp_data_path_set_server (DpDataPath *path, const DpAddress *server)
{
  path->server_address = *server;
}

/* Makes the TCP stack listen on the ports of the addresses. The flow engine checks which
 * addresses are the service's, so a port that is no longer used may stay open. */
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

/* Runs the flow engine's timers, and lets it act on changed configuration. */
void
dp_data_path_update (DpDataPath *path)
{
  dp_flow_engine_tick (path->engine, dp_clock_now (path->clock), &path->actions);
  dp_path_carry_out (path);
}

/* Ends all flows for the reason and returns their number. Logs the number and the first
 * LOGGED_FLOWS_MAX flows. */
guint
dp_data_path_abort_all (DpDataPath *path, DpReason reason)
{
  guint n = g_hash_table_size (path->flows);
  guint logged = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, path->flows);
  while (logged < LOGGED_FLOWS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpPathFlow *flow = value;
      char client[DP_ADDRESS_STRLEN];
      char service[DP_ADDRESS_STRLEN];

      logged++;
      g_message (
          "interrupted flow %s>%s (%s)", dp_address_format (&flow->key.client, client),
          dp_address_format (&flow->key.service, service), dp_reason_string (reason));
    }
  if (n > 0)
    g_warning ("interrupted %u flows (%s)", n, dp_reason_string (reason));
  dp_flow_engine_abort_all (path->engine, reason, &path->actions);
  dp_path_carry_out (path);
  return n;
}

/* Returns the number of flows of which at least one side is still open. */
guint
dp_data_path_n_flows (const DpDataPath *path)
{
  return g_hash_table_size (path->flows);
}

/* Counts and logs a dropped packet. */
void
dp_path_fault (DpDataPath *path,
               DpFaultKind fault,
               const DpAddress *peer,
               const char *text)
{
  dp_path_counters_fault (&path->counters, fault, peer, text, dp_clock_now (path->clock));
}

/* Carries out the pending actions in their order, and those that they add in turn. */
void
dp_path_carry_out (DpDataPath *path)
{
  if (path->carrying_out)
    return;
  path->carrying_out = TRUE;
  for (guint i = 0; i < path->actions.items->len; i++)
    {
      /* Copied, since carrying out the action may reallocate the array. */
      DpAction action = g_array_index (path->actions.items, DpAction, i);

      dp_path_counters_action (&path->counters, &action);
      carry_out_action_ (path, &action);
    }
  dp_actions_clear (&path->actions);
  path->carrying_out = FALSE;
}

static gboolean
timer_prepare_ (GSource *source, gint *timeout_ms)
{
  DpDataPath *path = ((TimerSource *) source)->path;
  gint64 deadline = dp_flow_engine_next_deadline (path->engine);
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
  gint64 deadline = dp_flow_engine_next_deadline (path->engine);

  return deadline >= 0 && deadline <= dp_clock_now (path->clock);
}

static gboolean
timer_dispatch_ (GSource *source, GSourceFunc callback, gpointer data)
{
  dp_data_path_update (((TimerSource *) source)->path);
  return G_SOURCE_CONTINUE;
}

static gboolean
is_trusted_ (const DpDataPath *path, guint32 ip)
{
  for (guint i = 0; i < path->trusted_networks->len; i++)
    {
      if (dp_network_contains (&g_array_index (path->trusted_networks, DpNetwork, i), ip))
        return TRUE;
    }
  return FALSE;
}

static void
carry_out_action_ (DpDataPath *path, const DpAction *action)
{
  DpPathFlow *flow;

  if (action->type < DP_ACTION_CONNECT)
    {
      dp_path_act_on_packet (path, action);
      return;
    }
  flow = g_hash_table_lookup (path->flows, GUINT_TO_POINTER (action->flow));
  if (flow != NULL)
    dp_path_act_on_flow (path, action, flow);
}
