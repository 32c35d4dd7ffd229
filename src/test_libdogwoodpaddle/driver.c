#include "driver.h"

#include <string.h>

#define SERVICE_IP 0x0a4d0001u /* 10.77.0.1 */
#define SERVICE_PORT 80
#define CLIENT_NET 0xc6336400u /* 198.51.100.0, RFC 5737 */
#define HOST_NET 0x7f010000u
#define HOST_PORT 7000
/* A host that has been leaving for this long must get no new flow. */
#define LEAVE_GRACE (3 * G_USEC_PER_SEC)
/* The decision for a SYN must be repeated for this long. */
#define DECISION_TIME (59 * G_USEC_PER_SEC)
/* Between a TCP stack's retransmissions of a SYN-ACK. */
#define SYN_ACK_INTERVAL G_USEC_PER_SEC
/* More packets in one run are a forwarding loop. */
#define PACKETS_PER_RUN_MAX 100000

typedef struct
{
  guint flow;
  guint host;
  DpSegment segment;
  DpHeader header;
} Packet;

/* A flow as a host's TCP stack and its connection to the server see it. */
typedef struct
{
  guint flow;
  guint32 isn;
  gboolean answered;
  gboolean established;
  guint waiting; /* request bytes that may not be sent to the server yet */
  DpSegment segment;
  DpHeader header;
} HostFlow;

static const char *const flow_state_strings_[] = { "syn-sent", "established", "closed",
                                                   "refused", "broken" };

G_STATIC_ASSERT (G_N_ELEMENTS (flow_state_strings_) == N_FLOW_STATES);

static void trace_ (Driver *driver, const char *format, ...) G_GNUC_PRINTF (2, 3);
static void report_violation_ (Driver *driver, guint flow, const char *rule);
static void send_ (Driver *driver, guint flow, guint8 flags, guint16 payload);
static void enqueue_ (Driver *driver, const Packet *packet);
static void
check_syn_decision_ (Driver *driver, const Packet *packet, const DpAction *action);
static void forward_ (Driver *driver, const Packet *packet, const DpAction *action);
static void deliver_packet_ (Driver *driver, const Packet *packet);
static void
carry_out_ (Driver *driver, guint host, const Packet *packet, DpActions *list);
static void trace_action_ (Driver *driver, const Packet *packet, const DpAction *action);
static void
carry_out_packet_ (Driver *driver, const Packet *packet, const DpAction *action);
static void carry_out_flow_ (Driver *driver, guint host, const DpAction *action);
static void
deliver_ (Driver *driver, guint host, DpHandle handle, const DpSegment *segment);
static void connect_ (Driver *driver, guint host, DpHandle handle);
static void answer_syn_ (Driver *driver, guint host, DpHandle handle, HostFlow *record);
static void send_request_ (Driver *driver, guint host, HostFlow *record);
static void client_syn_ack_ (Driver *driver, guint flow, guint host, guint32 isn);
static void client_reset_ (Driver *driver, guint flow, gboolean answers_syn);
static void mark_may_break_ (Driver *driver, guint host, gboolean established);
static void resend_syn_acks_ (Driver *driver);
static HostFlow *find_host_flow_ (Host *host, DpHandle handle);
static guint host_at_ (const Driver *driver, const DpAddress *address);
static guint pick_balancer_ (Driver *driver);

/* Creates an empty simulation. The seed determines all its random choices. */
Driver *
driver_new (guint64 seed, const char *service)
{
  Driver *driver = g_new0 (Driver, 1);
  const guint32 words[2] = { (guint32) seed, (guint32) (seed >> 32) };

  driver->random = g_rand_new_with_seed_array (words, G_N_ELEMENTS (words));
  driver->now = G_USEC_PER_SEC;
  driver->service = g_strdup (service);
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      driver->addresses[i].address = (DpAddress){ SERVICE_IP,
                                                  (guint16) (SERVICE_PORT + i) };
      driver->addresses[i].class = (DpTrafficClass) i;
      driver->addresses[i].wait_limit = 2 * G_USEC_PER_SEC;
    }
  driver->limits.slots = 4;
  driver->limits.connections = 2000;
  driver->limits.visits = 4;
  driver->limits.idle_timeout = 7200 * (gint64) G_USEC_PER_SEC;
  driver->limits.progress_timeout = 60 * (gint64) G_USEC_PER_SEC;
  driver->limits.settle_time = 5 * (gint64) G_USEC_PER_SEC;
  driver->revision = 1;
  driver->flows = g_array_new (FALSE, TRUE, sizeof (Flow));
  driver->packets = g_queue_new ();
  driver->violation = g_string_new (NULL);
  driver->view = dp_member_view_new (service, driver->revision, NULL, 0);
  return driver;
}

/* Frees the simulation. */
void
driver_free (Driver *driver)
{
  for (guint i = 0; i < driver->n_hosts; i++)
    {
      Host *host = &driver->hosts[i];

      dp_flow_engine_free (host->engine);
      g_hash_table_unref (host->flows);
      g_hash_table_unref (host->forwarded_to);
      dp_member_view_unref (host->view);
      g_free (host->member.name);
      g_free (host->member.zone);
    }
  for (guint i = 0; i < driver->n_balancers; i++)
    {
      dp_router_free (driver->balancers[i].router);
      dp_member_view_unref (driver->balancers[i].view);
    }
  dp_member_view_unref (driver->view);
  g_array_unref (driver->flows);
  g_queue_free_full (driver->packets, g_free);
  g_string_free (driver->violation, TRUE);
  g_rand_free (driver->random);
  g_free (driver->service);
  g_free (driver);
}

/* Adds a host with a backend server and returns its index. Views list it from the next
 * driver_publish () on. */
guint
driver_add_host (Driver *driver, guint slots, DpMemberState state)
{
  guint index = driver->n_hosts++;
  Host *host = &driver->hosts[index];
  DpFlowEngineLimits limits = driver->limits;

  g_assert (index < DRIVER_HOSTS_MAX);
  limits.slots = slots;
  host->member.name = g_strdup_printf ("%s-%u", driver->service, index + 1);
  host->member.zone = g_strdup_printf ("zone-%c", 'a' + (char) (index % 3));
  host->member.id = dp_member_id (host->member.name);
  host->member.address = (DpAddress){ HOST_NET + index + 1, HOST_PORT };
  host->member.slots = slots;
  host->member.connections = limits.connections;
  host->member.state = state;
  host->member.incarnation = 1;
  host->alive = TRUE;
  host->server_up = TRUE;
  host->flows = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  host->forwarded_to = g_hash_table_new (NULL, NULL);
  host->engine = dp_flow_engine_new (driver->service, host->member.id);
  dp_flow_engine_set_mutant (host->engine, driver->mutant);
  dp_flow_engine_set_limits (host->engine, &limits);
  dp_flow_engine_set_addresses (host->engine, driver->addresses, DP_N_TRAFFIC_CLASSES);
  dp_flow_engine_set_server_up (host->engine, TRUE, driver->now);
  dp_flow_engine_set_receiving_views (host->engine, TRUE, driver->now);
  host->view = dp_member_view_ref (driver->view);
  return index;
}

/* Sets the host's state for the next published view. */
void
driver_set_state (Driver *driver, guint host, DpMemberState state)
{
  driver->hosts[host].member.state = state;
}

/* Begins a graceful shutdown of the host. */
void
driver_leave (Driver *driver, guint host)
{
  driver->hosts[host].member.state = DP_MEMBER_LEAVING;
  if (driver->hosts[host].left_at == 0)
    driver->hosts[host].left_at = driver->now;
  dp_flow_engine_set_leaving (driver->hosts[host].engine, TRUE, driver->now);
  trace_ (driver, "%s leaves", driver->hosts[host].member.name);
}

/* Ends a host that has no flows left, which completes its shutdown. */
void
driver_remove (Driver *driver, guint host)
{
  driver->hosts[host].alive = FALSE;
  trace_ (driver, "%s ends", driver->hosts[host].member.name);
}

/* Makes a host fail without warning. Its flows are lost. */
void
driver_kill (Driver *driver, guint host)
{
  driver->hosts[host].alive = FALSE;
  driver->failed_at = driver->now;
  mark_may_break_ (driver, host, TRUE);
  trace_ (driver, "%s fails", driver->hosts[host].member.name);
}

/* Pauses a host until driver_resume (). Its half-open flows may time out meanwhile, as
 * nothing retransmits their SYN-ACK. */
void
driver_pause (Driver *driver, guint host)
{
  driver->hosts[host].paused = TRUE;
  if (driver->hosts[host].silent_at == 0)
    driver->hosts[host].silent_at = driver->now;
  mark_may_break_ (driver, host, FALSE);
  trace_ (driver, "%s pauses", driver->hosts[host].member.name);
}

/* Removes a host from the next view, as its watchers do when they hear nothing from
 * it. */
void
driver_remove_silent (Driver *driver, guint host)
{
  driver->hosts[host].removed_by_watchers = TRUE;
  driver->failed_at = driver->now;
  mark_may_break_ (driver, host, TRUE);
  trace_ (driver, "%s is removed by its watchers", driver->hosts[host].member.name);
}

/* Resumes a paused host. It is in the next view again. */
void
driver_resume (Driver *driver, guint host)
{
  driver->hosts[host].paused = FALSE;
  driver->failed_at = driver->now;
  dp_flow_engine_resumed (driver->hosts[host].engine, driver->now);
  trace_ (driver, "%s resumes", driver->hosts[host].member.name);
}

/* Adds a balancer that has the newest view, and returns its index. */
guint
driver_add_balancer (Driver *driver)
{
  guint index = driver->n_balancers++;

  g_assert (index < DRIVER_BALANCERS_MAX);
  driver_replace_balancer (driver, index);
  return index;
}

/* Replaces a balancer by a new one that has the newest view. */
void
driver_replace_balancer (Driver *driver, guint balancer)
{
  Balancer *b = &driver->balancers[balancer];

  g_clear_pointer (&b->router, dp_router_free);
  b->router = dp_router_new ();
  b->alive = TRUE;
  dp_router_set_addresses (b->router, driver->service, driver->addresses,
                           DP_N_TRAFFIC_CLASSES);
  driver_update_balancer (driver, balancer);
  trace_ (driver, "balancer-%u starts", balancer + 1);
}

/* Creates a new view of all hosts alive, which no process has yet. */
void
driver_publish (Driver *driver)
{
  DpMember members[DRIVER_HOSTS_MAX];
  guint n = 0;

  for (guint i = 0; i < driver->n_hosts; i++)
    {
      if (driver->hosts[i].alive && !driver->hosts[i].removed_by_watchers)
        members[n++] = driver->hosts[i].member;
    }
  dp_member_view_unref (driver->view);
  driver->view = dp_member_view_new (driver->service, ++driver->revision, members, n);
}

/* Gives a host the newest view. */
void
driver_update_host (Driver *driver, guint host)
{
  Host *h = &driver->hosts[host];

  if (!h->alive || h->paused)
    return;
  dp_member_view_unref (h->view);
  h->view = dp_member_view_ref (driver->view);
  dp_flow_engine_set_view (h->engine, h->view, driver->now);
}

/* Gives a balancer the newest view. */
void
driver_update_balancer (Driver *driver, guint balancer)
{
  Balancer *b = &driver->balancers[balancer];

  g_clear_pointer (&b->view, dp_member_view_unref);
  b->view = dp_member_view_ref (driver->view);
  dp_router_set_view (b->router, b->view);
}

/* Publishes a new view and gives it to every process. */
void
driver_update_all (Driver *driver)
{
  driver_publish (driver);
  for (guint i = 0; i < driver->n_hosts; i++)
    driver_update_host (driver, i);
  for (guint i = 0; i < driver->n_balancers; i++)
    driver_update_balancer (driver, i);
}

/* Opens a flow from a new client port by sending its SYN to the class's address. Returns
 * the flow's index. */
guint
driver_open (Driver *driver, DpTrafficClass class)
{
  Flow flow = { 0 };
  guint index = driver->flows->len;

  flow.key.client.ip = CLIENT_NET + (index / 50000) % 254 + 1;
  flow.key.client.port = (guint16) (10000 + index % 50000);
  flow.key.service = driver->addresses[class].address;
  flow.class = class;
  flow.hash = dp_flow_key_hash (&flow.key);
  flow.seq = g_rand_int (driver->random);
  flow.opened_at = driver->now;
  flow.sent_at = driver->now;
  g_array_append_val (driver->flows, flow);
  trace_ (driver, "flow-%u SYN", index + 1);
  send_ (driver, index, DP_TCP_SYN, 0);
  return index;
}

/* Sends the flow's SYN again, as does a client without an answer or a network that
 * duplicates packets. */
void
driver_resend_syn (Driver *driver, guint flow)
{
  send_ (driver, flow, DP_TCP_SYN, 0);
}

/* Sends request bytes on an established flow. */
void
driver_send (Driver *driver, guint flow, guint bytes)
{
  Flow *f = driver_flow (driver, flow);

  if (f->state != FLOW_ESTABLISHED)
    return;
  f->sent_at = driver->now;
  f->answered = FALSE;
  trace_ (driver, "flow-%u request of %u bytes", flow + 1, bytes);
  send_ (driver, flow, DP_TCP_ACK | DP_TCP_PSH, (guint16) bytes);
}

/* Makes the server of the flow's host answer with this number of bytes. */
void
driver_respond (Driver *driver, guint flow, guint bytes)
{
  Flow *f = driver_flow (driver, flow);
  Host *host = &driver->hosts[f->host];
  DpHandle handle = dp_flow_engine_find (host->engine, &f->key);

  if (!host->alive || host->paused || handle == DP_HANDLE_NONE)
    return;
  f->answered = TRUE;
  dp_flow_engine_response (host->engine, handle, bytes, 0, driver->now);
  trace_ (driver, "flow-%u answer from %s", flow + 1, host->member.name);
}

/* Closes the flow as if both sides had sent their FIN. */
void
driver_close (Driver *driver, guint flow)
{
  Flow *f = driver_flow (driver, flow);
  Host *host = &driver->hosts[f->host];
  DpHandle handle = dp_flow_engine_find (host->engine, &f->key);
  DpActions actions;

  if (f->state == FLOW_ESTABLISHED)
    f->state = FLOW_CLOSED;
  if (!host->alive || host->paused || handle == DP_HANDLE_NONE)
    return;
  trace_ (driver, "flow-%u closed", flow + 1);
  g_hash_table_remove (host->flows, GUINT_TO_POINTER (handle));
  dp_actions_init (&actions);
  dp_flow_engine_closed (host->engine, handle, driver->now, &actions);
  carry_out_ (driver, f->host, NULL, &actions);
  dp_actions_finish (&actions);
}

/* Makes the connection between the flow's host and its backend server fail. */
void
driver_fail_server (Driver *driver, guint flow)
{
  Flow *f = driver_flow (driver, flow);
  Host *host = &driver->hosts[f->host];
  DpHandle handle = dp_flow_engine_find (host->engine, &f->key);
  DpActions actions;

  if (!host->alive || host->paused || handle == DP_HANDLE_NONE)
    return;
  f->may_break = TRUE;
  dp_actions_init (&actions);
  dp_flow_engine_server_failed (host->engine, handle, driver->now, &actions);
  carry_out_ (driver, f->host, NULL, &actions);
  dp_actions_finish (&actions);
}

/* Delivers packets until none is in transit. */
void
driver_run (Driver *driver)
{
  for (guint n = 0; !g_queue_is_empty (driver->packets); n++)
    {
      guint at = 0;
      g_autofree Packet *packet = NULL;

      if (n == PACKETS_PER_RUN_MAX)
        {
          report_violation_ (driver, 0, "packets are forwarded in an endless loop");
          return;
        }
      if (driver->reorder)
        at = (guint) g_rand_int_range (driver->random, 0,
                                       (gint32) g_queue_get_length (driver->packets));
      packet = g_queue_pop_nth (driver->packets, at);
      deliver_packet_ (driver, packet);
    }
}

/* Advances the simulated clock by delta us, running the flow engines' timers on the
 * way. */
void
driver_advance (Driver *driver, gint64 delta)
{
  gint64 end = driver->now + delta;

  while (driver->now < end)
    {
      gint64 next = MIN (end, driver->syn_acks_at);

      for (guint i = 0; i < driver->n_hosts; i++)
        {
          if (driver->hosts[i].alive && !driver->hosts[i].paused)
            next = MIN (next, dp_flow_engine_next_deadline (driver->hosts[i].engine));
        }
      driver->now = MAX (next, driver->now + 1);
      for (guint i = 0; i < driver->n_hosts; i++)
        {
          DpActions actions;

          if (!driver->hosts[i].alive || driver->hosts[i].paused)
            continue;
          if (dp_flow_engine_next_deadline (driver->hosts[i].engine) > driver->now)
            continue;
          dp_actions_init (&actions);
          dp_flow_engine_tick (driver->hosts[i].engine, driver->now, &actions);
          carry_out_ (driver, i, NULL, &actions);
          dp_actions_finish (&actions);
        }
      if (driver->now >= driver->syn_acks_at)
        resend_syn_acks_ (driver);
      driver_run (driver);
    }
}

/* Returns the flow. The pointer is valid until the next driver_open (). */
Flow *
driver_flow (Driver *driver, guint flow)
{
  return &g_array_index (driver->flows, Flow, flow);
}

/* Returns the state's name. */
const char *
driver_flow_state_string (FlowState state)
{
  g_assert (state < N_FLOW_STATES);
  return flow_state_strings_[state];
}

static void
trace_ (Driver *driver, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;
  g_autofree char *line = NULL;

  if (driver->trace == NULL)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  line = g_strdup_printf ("%9.3f %s",
                          (double) (driver->now - G_USEC_PER_SEC) / G_USEC_PER_SEC, text);
  driver->trace (line, driver->user_data);
}

static void
report_violation_ (Driver *driver, guint flow, const char *rule)
{
  if (driver->violation->len == 0)
    g_string_printf (driver->violation, "flow-%u at %.3f s: %s", flow + 1,
                     (double) driver->now / G_USEC_PER_SEC, rule);
  trace_ (driver, "flow-%u VIOLATION %s", flow + 1, rule);
}

/* Sends a segment of the flow's client to a random balancer. */
static void
send_ (Driver *driver, guint flow, guint8 flags, guint16 payload)
{
  Flow *f = driver_flow (driver, flow);
  Packet packet = { .flow = flow };
  guint balancer = pick_balancer_ (driver);
  DpRoute route;
  DpRouteResult result;

  packet.segment.key = f->key;
  packet.segment.hash = f->hash;
  packet.segment.flags = flags;
  packet.segment.seq = f->seq;
  packet.segment.ack = (flags & DP_TCP_ACK) != 0 ? f->server_isn + 1 : 0;
  packet.segment.payload_length = payload;
  packet.segment.ip_header_length = 20;
  if (balancer == driver->n_balancers)
    return;
  result = dp_router_route (driver->balancers[balancer].router, &packet.segment, &route);
  if (result != DP_ROUTE_FORWARD)
    {
      trace_ (driver, "flow-%u balancer-%u %s", flow + 1, balancer + 1,
              dp_route_result_string (result));
      return;
    }
  packet.header = route.header;
  packet.host = host_at_ (driver, &route.member_address);
  trace_ (driver, "flow-%u balancer-%u to %s", flow + 1, balancer + 1,
          driver->hosts[packet.host].member.name);
  enqueue_ (driver, &packet);
}

static void
enqueue_ (Driver *driver, const Packet *packet)
{
  if (g_rand_double (driver->random) < driver->loss)
    return;
  g_queue_push_tail (driver->packets, g_memdup2 (packet, sizeof *packet));
  if (g_rand_double (driver->random) < driver->duplicate)
    g_queue_push_tail (driver->packets, g_memdup2 (packet, sizeof *packet));
}

static gboolean
has_visited_ (const DpHeader *header, guint32 member)
{
  for (guint i = 0; i < header->n_visited; i++)
    {
      if (header->visited[i] == member)
        return TRUE;
    }
  return FALSE;
}

/* Checks that a host doesn't accept a SYN of which it has forwarded an earlier copy,
 * unless the SYN was returned to it. */
static void
check_syn_decision_ (Driver *driver, const Packet *packet, const DpAction *action)
{
  Host *host = &driver->hosts[packet->host];
  gpointer key = GUINT_TO_POINTER (packet->flow + 1);
  guint32 target = GPOINTER_TO_UINT (g_hash_table_lookup (host->forwarded_to, key));

  if (!dp_segment_opens_flow (&packet->segment))
    return;
  if (action->type == DP_ACTION_FORWARD)
    g_hash_table_insert (
        host->forwarded_to, key,
        GUINT_TO_POINTER (action->header.visited[action->header.n_visited - 1]));
  else if (action->type == DP_ACTION_HOLD)
    {
      /* The decision may change if its target has left the view or was visited by this
       * copy. Two hosts may then answer the SYN, but the client acknowledges only one. */
      if (target != 0 && dp_member_view_find (host->view, target) != NULL
          && !has_visited_ (&packet->header, target)
          && driver->now < driver_flow (driver, packet->flow)->opened_at + DECISION_TIME
          && packet->header.best_member != host->member.id)
        report_violation_ (driver, packet->flow,
                           "a host accepted a SYN after it had forwarded a copy");
      g_hash_table_remove (host->forwarded_to, key);
    }
}

static void
forward_ (Driver *driver, const Packet *packet, const DpAction *action)
{
  Packet next = *packet;

  next.header = action->header;
  next.host = host_at_ (driver, &action->address);
  driver->hops++;
  driver->members_visited_max = MAX (driver->members_visited_max, next.header.n_visited);
  enqueue_ (driver, &next);
}

static void
deliver_packet_ (Driver *driver, const Packet *packet)
{
  Host *host = &driver->hosts[packet->host];
  DpActions actions;

  /* Packets to a paused host are lost, as its socket buffer is full. Clients retransmit
   * them. */
  if (!host->alive || host->paused)
    return;
  driver->delivered++;
  dp_actions_init (&actions);
  dp_flow_engine_packet (host->engine, &packet->header, &packet->segment, driver->now,
                         &actions);
  carry_out_ (driver, packet->host, packet, &actions);
  dp_actions_finish (&actions);
}

/* Carries out the actions in their order. packet is NULL if no packet caused them. */
static void
carry_out_ (Driver *driver, guint host, const Packet *packet, DpActions *list)
{
  for (guint i = 0; i < list->items->len; i++)
    {
      const DpAction *action = &g_array_index (list->items, DpAction, i);

      if (packet != NULL)
        trace_action_ (driver, packet, action);
      if (action->type > DP_ACTION_RESET)
        carry_out_flow_ (driver, host, action);
      else
        {
          g_assert (packet != NULL);
          carry_out_packet_ (driver, packet, action);
        }
    }
}

static void
trace_action_ (Driver *driver, const Packet *packet, const DpAction *action)
{
  gboolean reason = action->reason != DP_REASON_NONE;

  trace_ (driver, "flow-%u %s %s%s%s", packet->flow + 1,
          driver->hosts[packet->host].member.name, dp_action_type_string (action->type),
          reason ? " " : "", reason ? dp_reason_string (action->reason) : "");
}

static void
carry_out_packet_ (Driver *driver, const Packet *packet, const DpAction *action)
{
  Host *host = &driver->hosts[packet->host];
  HostFlow *record;

  check_syn_decision_ (driver, packet, action);
  switch (action->type)
    {
    case DP_ACTION_DELIVER:
      deliver_ (driver, packet->host, action->flow, &packet->segment);
      break;
    case DP_ACTION_FORWARD:
      forward_ (driver, packet, action);
      break;
    case DP_ACTION_HOLD:
      record = g_new0 (HostFlow, 1);
      record->flow = packet->flow;
      record->segment = packet->segment;
      record->header = packet->header;
      g_hash_table_insert (host->flows, GUINT_TO_POINTER (action->flow), record);
      break;
    case DP_ACTION_DROP:
      driver->dropped[action->reason]++;
      break;
    case DP_ACTION_RESET:
      client_reset_ (driver, packet->flow, (packet->segment.flags & DP_TCP_SYN) != 0);
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
carry_out_flow_ (Driver *driver, guint host, const DpAction *action)
{
  Host *h = &driver->hosts[host];
  HostFlow *record = find_host_flow_ (h, action->flow);
  Packet held;

  if (record == NULL)
    return;
  switch (action->type)
    {
    case DP_ACTION_CONNECT:
      connect_ (driver, host, action->flow);
      return;
    case DP_ACTION_DELIVER_HELD:
      answer_syn_ (driver, host, action->flow, record);
      return;
    case DP_ACTION_GRANT:
      send_request_ (driver, host, record);
      return;
    case DP_ACTION_FORWARD_HELD:
      held = (Packet){ record->flow, host, record->segment, record->header };
      forward_ (driver, &held, action);
      break;
    case DP_ACTION_REFUSE:
      if (driver_flow (driver, record->flow)->server_bytes[host] != 0)
        report_violation_ (driver, record->flow, "a refused request was run");
      client_reset_ (driver, record->flow, TRUE);
      break;
    case DP_ACTION_ABORT:
      if (record->established || !record->answered)
        client_reset_ (driver, record->flow, !record->established);
      break;
    case DP_ACTION_FORGET:
      /* The client's ACKs may all have been lost at a member that failed, until the flow
       * timed out. */
      if (driver->failed_at >= driver_flow (driver, record->flow)->opened_at)
        driver_flow (driver, record->flow)->may_break = TRUE;
      break;
    default:
      break;
    }
  g_hash_table_remove (h->flows, GUINT_TO_POINTER (action->flow));
}

/* Handles a segment as the TCP stack of the flow's host does. */
static void
deliver_ (Driver *driver, guint host, DpHandle handle, const DpSegment *segment)
{
  Host *h = &driver->hosts[host];
  HostFlow *record = find_host_flow_ (h, handle);

  if (record == NULL || !record->answered)
    return;
  if ((segment->flags & DP_TCP_SYN) != 0)
    {
      if (!record->established)
        client_syn_ack_ (driver, record->flow, host, record->isn);
      return;
    }
  if (!record->established)
    {
      /* In a half-open connection, a TCP stack answers the acknowledgement of anything
       * but its SYN-ACK with a reset. */
      if (segment->ack != record->isn + 1)
        {
          if (driver->mutant == DP_MUTANT_NONE)
            report_violation_ (
                driver, record->flow,
                "an acknowledgement of another SYN-ACK reached a TCP stack");
          /* With a mutant, the simulation goes on as if the acknowledgement were
           * right. */
        }
      record->established = TRUE;
      dp_flow_engine_established (h->engine, handle, driver->now);
    }
  if (segment->payload_length == 0)
    return;
  record->waiting += segment->payload_length;
  if (dp_flow_engine_request (h->engine, handle, record->waiting, driver->now))
    send_request_ (driver, host, record);
}

static void
connect_ (Driver *driver, guint host, DpHandle handle)
{
  Host *h = &driver->hosts[host];
  DpActions actions;

  dp_actions_init (&actions);
  if (h->server_up)
    dp_flow_engine_server_connected (h->engine, handle, driver->now, &actions);
  else
    dp_flow_engine_server_failed (h->engine, handle, driver->now, &actions);
  carry_out_ (driver, host, NULL, &actions);
  dp_actions_finish (&actions);
}

static void
answer_syn_ (Driver *driver, guint host, DpHandle handle, HostFlow *record)
{
  Host *h = &driver->hosts[host];

  if (record->answered)
    return;
  record->answered = TRUE;
  record->isn = g_rand_int (driver->random);
  h->flows_started++;
  /* The host's removal has not reached every process yet, so the flow may break. */
  if (h->removed_by_watchers)
    driver_flow (driver, record->flow)->may_break = TRUE;
  if (h->left_at != 0 && driver->now > h->left_at + LEAVE_GRACE)
    report_violation_ (driver, record->flow, "a leaving host took a new flow");
  dp_flow_engine_syn_answered (h->engine, handle, record->isn, driver->now);
  trace_ (driver, "flow-%u SYN-ACK from %s", record->flow + 1, h->member.name);
  client_syn_ack_ (driver, record->flow, host, record->isn);
}

static void
send_request_ (Driver *driver, guint host, HostFlow *record)
{
  Flow *flow = driver_flow (driver, record->flow);

  if (record->waiting == 0)
    return;
  flow->server_bytes[host] += record->waiting;
  record->waiting = 0;
  flow->started_at = driver->now;
  if (flow->state == FLOW_REFUSED)
    report_violation_ (driver, record->flow, "a refused request was run");
  for (guint i = 0; i < driver->n_hosts; i++)
    {
      if (i != host && flow->server_bytes[i] != 0)
        report_violation_ (driver, record->flow, "two servers got bytes of one flow");
    }
  trace_ (driver, "flow-%u request runs at %s", record->flow + 1,
          driver->hosts[host].member.name);
  if (driver->served != NULL)
    driver->served (driver, record->flow, host, driver->user_data);
}

static void
client_syn_ack_ (Driver *driver, guint flow, guint host, guint32 isn)
{
  Flow *f = driver_flow (driver, flow);

  if (g_rand_double (driver->random) < driver->loss)
    return;
  if (f->state == FLOW_SYN_SENT)
    {
      f->state = FLOW_ESTABLISHED;
      f->host = host;
      f->server_isn = isn;
      f->seq++;
    }
  if (f->state == FLOW_ESTABLISHED)
    send_ (driver, flow, DP_TCP_ACK, 0);
}

/* Handles a reset at the client. It accepts a reset in answer to its SYN only until its
 * handshake is complete: later the reset's sequence number is outside its window (RFC
 * 5961, section 3.2). */
static void
client_reset_ (Driver *driver, guint flow, gboolean answers_syn)
{
  Flow *f = driver_flow (driver, flow);

  if (f->state == FLOW_SYN_SENT)
    {
      f->state = FLOW_REFUSED;
      for (guint i = 0; i < driver->n_hosts; i++)
        {
          if (f->server_bytes[i] != 0)
            report_violation_ (driver, flow, "a refused request was run");
        }
    }
  else if (f->state == FLOW_ESTABLISHED && !answers_syn)
    {
      f->state = FLOW_BROKEN;
      if (!f->may_break)
        report_violation_ (driver, flow, "an established flow was reset");
    }
  trace_ (driver, "flow-%u client sees a reset: %s", flow + 1,
          driver_flow_state_string (f->state));
}

/* Marks flows of the host as ones that may break without a violation: all of them if
 * established is set, or else only those that are not yet established. */
static void
mark_may_break_ (Driver *driver, guint host, gboolean established)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, driver->hosts[host].flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HostFlow *record = value;

      if (established || !record->established)
        driver_flow (driver, record->flow)->may_break = TRUE;
    }
}

/* Makes the TCP stacks retransmit the SYN-ACKs that no client has acknowledged yet. */
static void
resend_syn_acks_ (Driver *driver)
{
  driver->syn_acks_at = driver->now + SYN_ACK_INTERVAL;
  for (guint i = 0; i < driver->n_hosts; i++)
    {
      GHashTableIter iter;
      gpointer value;

      if (!driver->hosts[i].alive || driver->hosts[i].paused)
        continue;
      g_hash_table_iter_init (&iter, driver->hosts[i].flows);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const HostFlow *record = value;

          if (record->answered && !record->established)
            client_syn_ack_ (driver, record->flow, i, record->isn);
        }
    }
}

static HostFlow *
find_host_flow_ (Host *host, DpHandle handle)
{
  return g_hash_table_lookup (host->flows, GUINT_TO_POINTER (handle));
}

static guint
host_at_ (const Driver *driver, const DpAddress *address)
{
  guint index = address->ip - HOST_NET - 1;

  g_assert (index < driver->n_hosts);
  return index;
}

static guint
pick_balancer_ (Driver *driver)
{
  guint first = (guint) g_rand_int_range (driver->random, 0,
                                          (gint32) driver->n_balancers);

  for (guint i = 0; i < driver->n_balancers; i++)
    {
      guint index = (first + i) % driver->n_balancers;

      if (driver->balancers[index].alive)
        return index;
    }
  return driver->n_balancers;
}
