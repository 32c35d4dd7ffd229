#include "protected/stack.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <lwip/init.h>
#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/sys.h>
#include <lwip/timeouts.h>

#include "private/conn.h"
#include "protected/error.h"

/* Address that the netif has except during dp_stack_input (). It is in class E, which no
 * host uses. */
#define NETIF_ADDRESS 0xf0000001u
#define TIMER_WAIT_MAX_MS 1000 /* lwIP has no timer that needs a longer wait */

struct _DpStack
{
  DpClock *clock;
  const DpStackListener *listener;
  gpointer user_data;
  struct netif netif;
  GSource *source;
  GPtrArray *listening; /* struct tcp_pcb */
  GPtrArray *changed;   /* DpConn; NULL for one that was freed in the meantime */
  GPtrArray *closing;   /* DpConn to be checked for TIME_WAIT, see check_closing_ () */
  gboolean dispatching;
  guint8 secret[XXH3_SECRET_SIZE_MIN]; /* key of the sequence number offsets */
};

typedef struct
{
  GSource base;
  DpStack *stack;
} TimerSource;

static gboolean timer_prepare_ (GSource *source, gint *timeout_ms);
static gboolean timer_check_ (GSource *source);
static gboolean timer_dispatch_ (GSource *source, GSourceFunc callback, gpointer data);
static err_t init_netif_ (struct netif *netif);
static err_t
netif_output_ (struct netif *netif, struct pbuf *p, const ip4_addr_t *address);
static guint32 sequence_offset_ (const DpStack *stack, const DpFlowKey *key);
static err_t on_accepted_ (void *arg, struct tcp_pcb *pcb, err_t err);
static err_t on_connected_ (void *arg, struct tcp_pcb *pcb, err_t err);
static void check_closing_ (DpStack *stack);
static gboolean
remove_ (DpStack *stack, const DpAddress *local, const DpAddress *remote, gboolean reset);
static void notify_owners_ (DpStack *stack);
static gboolean is_routable_peer_ (guint32 peer, guint32 own);
static DpAddress address_of_ (const ip_addr_t *ip, guint16 port);
static void set_ip_ (ip_addr_t *to, guint32 ip);
static gboolean
set_lwip_error_ (GError **error, const char *step, const DpAddress *peer, err_t err);

static GSourceFuncs timer_funcs_ = {
  .prepare = timer_prepare_,
  .check = timer_check_,
  .dispatch = timer_dispatch_,
};

/* lwIP's state is global, so a process has at most one stack. sys_now () reads the
 * stack's clock. */
static DpStack *instance_;

/* Called by lwIP for the current time in milliseconds. */
u32_t
sys_now (void)
{
  DpClock *clock = instance_ != NULL ? instance_->clock : dp_clock_system ();

  return (u32_t) (dp_clock_now (clock) / DP_US_PER_MS);
}

/* Creates the process's only stack and runs its timers on the default main context. */
DpStack *
dp_stack_new (DpClock *clock, const DpStackListener *listener, gpointer user_data)
{
  static gboolean initialized;
  DpStack *stack = g_new0 (DpStack, 1);
  ip4_addr_t ip;
  ip4_addr_t none;

  g_assert (instance_ == NULL);
  instance_ = stack;
  stack->clock = clock;
  stack->listener = listener;
  stack->user_data = user_data;
  stack->listening = g_ptr_array_new ();
  stack->changed = g_ptr_array_new ();
  stack->closing = g_ptr_array_new ();
  if (getrandom (stack->secret, sizeof stack->secret, 0) != sizeof stack->secret)
    g_error ("getrandom: %s", g_strerror (errno));
  if (!initialized)
    lwip_init ();
  initialized = TRUE;

  ip4_addr_set_u32 (&ip, lwip_htonl (NETIF_ADDRESS));
  ip4_addr_set_zero (&none);
  /* With a netmask of 0, lwIP routes every destination to the netif, including
   * 127.0.0.0/8. */
  netif_add (&stack->netif, &ip, &none, &none, stack, init_netif_, ip_input);
  netif_set_default (&stack->netif);
  netif_set_up (&stack->netif);
  netif_set_link_up (&stack->netif);

  stack->source = g_source_new (&timer_funcs_, sizeof (TimerSource));
  ((TimerSource *) stack->source)->stack = stack;
  g_source_set_name (stack->source, "stack timers");
  g_source_attach (stack->source, NULL);
  return stack;
}

/* Drops all connections without sending anything to their peers, and frees the stack. The
 * owners must have freed their connections before. */
void
dp_stack_free (DpStack *stack)
{
  if (stack == NULL)
    return;
  g_source_destroy (stack->source);
  g_source_unref (stack->source);
  for (guint i = 0; i < stack->listening->len; i++)
    tcp_close (stack->listening->pdata[i]);
  while (tcp_active_pcbs != NULL)
    tcp_abandon (tcp_active_pcbs, 0);
  while (tcp_tw_pcbs != NULL)
    tcp_abandon (tcp_tw_pcbs, 0);
  netif_remove (&stack->netif);
  g_ptr_array_unref (stack->listening);
  g_ptr_array_unref (stack->changed);
  g_ptr_array_unref (stack->closing);
  g_free (stack);
  instance_ = NULL;
}

/* Accepts connections to the address. An IP of 0 means any IP. Fails with
 * DP_ERROR_CONFLICT if the address is in use. */
gboolean
dp_stack_listen (DpStack *stack, const DpAddress *address, GError **error)
{
  struct tcp_pcb *pcb = tcp_new_ip_type (IPADDR_TYPE_V4);
  struct tcp_pcb *listening = NULL;
  ip_addr_t ip;
  err_t err = ERR_MEM;

  set_ip_ (&ip, address->ip);
  if (pcb != NULL)
    {
      ip_set_option (pcb, SOF_REUSEADDR);
      err = tcp_bind (pcb, &ip, address->port);
    }
  if (err == ERR_OK)
    listening = tcp_listen_with_backlog_and_err (pcb, TCP_DEFAULT_LISTEN_BACKLOG, &err);
  if (listening == NULL)
    {
      if (pcb != NULL)
        tcp_close (pcb);
      return set_lwip_error_ (error, "listen", address, err);
    }
  tcp_arg (listening, stack);
  tcp_accept (listening, on_accepted_);
  g_ptr_array_add (stack->listening, listening);
  return TRUE;
}

/* Stops accepting connections to the address. Existing connections are kept. */
void
dp_stack_unlisten (DpStack *stack, const DpAddress *address)
{
  for (guint i = 0; i < stack->listening->len; i++)
    {
      struct tcp_pcb *pcb = stack->listening->pdata[i];
      DpAddress local = address_of_ (&pcb->local_ip, pcb->local_port);

      if (!dp_address_equal (&local, address))
        continue;
      tcp_close (pcb);
      g_ptr_array_remove_index_fast (stack->listening, i);
      return;
    }
}

/* Passes a received packet to lwIP. segment is the result of dp_segment_parse () for it.
 * Drops a packet whose answer lwIP would send to itself, see is_routable_peer_ (). */
void
dp_stack_input (DpStack *stack,
                const guint8 *packet,
                gsize length,
                const DpSegment *segment)
{
  struct pbuf *p;

  g_assert (length <= DP_PACKET_MAX);
  if (!is_routable_peer_ (segment->key.client.ip, segment->key.service.ip))
    return;
  p = pbuf_alloc (PBUF_RAW, (u16_t) length, PBUF_RAM);
  if (p == NULL)
    return;
  memcpy (p->payload, packet, length);
  if ((segment->flags & DP_TCP_ACK) != 0)
    {
      DpFlowKey key = { .client = segment->key.service, .service = segment->key.client };

      dp_segment_shift_ack (p->payload, segment, 0u - sequence_offset_ (stack, &key));
    }
  /* The netif only accepts packets to its own address. The address is assigned directly
   * because netif_set_ipaddr () would abort the connections of the previous address. */
  set_ip_ (&stack->netif.ip_addr, segment->key.service.ip);
  ip4_input (p, &stack->netif);
  set_ip_ (&stack->netif.ip_addr, NETIF_ADDRESS);
  check_closing_ (stack);
  notify_owners_ (stack);
}

/* Runs the lwIP timers that are due. The main loop does this by itself; tests with a
 * paused clock call it after they have advanced the clock. */
void
dp_stack_run_timers (DpStack *stack)
{
  sys_check_timeouts ();
  check_closing_ (stack);
  notify_owners_ (stack);
}

/* Removes a connection that was not accepted yet or that is in TIME_WAIT, without sending
 * anything to its peer. Returns whether there was one. */
gboolean
dp_stack_discard (DpStack *stack, const DpAddress *local, const DpAddress *remote)
{
  return remove_ (stack, local, remote, FALSE);
}

/* Resets a connection that was not accepted yet. Returns whether there was one. */
gboolean
dp_stack_abort (DpStack *stack, const DpAddress *local, const DpAddress *remote)
{
  return remove_ (stack, local, remote, TRUE);
}

/* Opens a connection from local (port 0: chosen by the stack) to remote. The caller owns
 * the connection and is notified through its listener when it is open. Returns NULL with
 * DP_ERROR_CONFLICT if there is a connection between these addresses already, or with
 * DP_ERROR_LIMIT if memory is exhausted or lwIP doesn't route one of the addresses, such
 * as one in 127.0.0.0/8. */
DpConn *
dp_stack_connect (DpStack *stack,
                  const DpAddress *local,
                  const DpAddress *remote,
                  GError **error)
{
  struct tcp_pcb *pcb = tcp_new_ip_type (IPADDR_TYPE_V4);
  DpConn *conn;
  ip_addr_t local_ip;
  ip_addr_t remote_ip;
  err_t err;

  if (pcb == NULL || !is_routable_peer_ (remote->ip, local->ip)
      || !is_routable_peer_ (local->ip, remote->ip))
    {
      if (pcb != NULL)
        tcp_close (pcb);
      set_lwip_error_ (error, "connect", remote, ERR_VAL);
      return NULL;
    }
  set_ip_ (&local_ip, local->ip);
  set_ip_ (&remote_ip, remote->ip);
  ip_set_option (pcb, SOF_REUSEADDR);
  conn = dp_conn_new (stack, pcb, DP_CONN_OPENING);
  conn->accepted = TRUE;
  err = tcp_bind (pcb, &local_ip, local->port);
  if (err == ERR_OK)
    err = tcp_connect (pcb, &remote_ip, remote->port, on_connected_);
  if (err != ERR_OK)
    {
      conn->pcb = NULL;
      tcp_arg (pcb, NULL);
      tcp_err (pcb, NULL);
      tcp_abandon (pcb, 0);
      dp_conn_free (conn);
      set_lwip_error_ (error, "connect", remote, err);
      return NULL;
    }
  conn->local = address_of_ (&pcb->local_ip, pcb->local_port);
  conn->remote = *remote;
  return conn;
}

/* Queues the connection, so that its owner is notified of a change. */
void
dp_stack_add_changed (DpStack *stack, DpConn *conn)
{
  if (conn->queued)
    return;
  conn->queued = TRUE;
  g_ptr_array_add (stack->changed, conn);
}

/* Adds a connection whose peer has closed its direction to those that check_closing_ ()
 * examines. */
void
dp_stack_add_closing (DpStack *stack, DpConn *conn)
{
  if (conn->closing)
    return;
  conn->closing = TRUE;
  g_ptr_array_add (stack->closing, conn);
}

/* Removes a connection that is being freed from the stack's lists. */
void
dp_stack_remove_conn (DpStack *stack, DpConn *conn)
{
  for (guint i = 0; conn->queued && i < stack->changed->len; i++)
    {
      /* notify_owners_ () may be iterating over the list. */
      if (stack->changed->pdata[i] == conn)
        stack->changed->pdata[i] = NULL;
    }
  if (conn->closing)
    g_ptr_array_remove_fast (stack->closing, conn);
}

static gboolean
timer_prepare_ (GSource *source, gint *timeout_ms)
{
  u32_t wait = sys_timeouts_sleeptime ();

  *timeout_ms = (gint) MIN (wait, TIMER_WAIT_MAX_MS);
  return wait == 0;
}

static gboolean
timer_check_ (GSource *source)
{
  return sys_timeouts_sleeptime () == 0;
}

static gboolean
timer_dispatch_ (GSource *source, GSourceFunc callback, gpointer data)
{
  dp_stack_run_timers (((TimerSource *) source)->stack);
  return G_SOURCE_CONTINUE;
}

static err_t
init_netif_ (struct netif *netif)
{
  netif->name[0] = 'd';
  netif->name[1] = 'p';
  netif->mtu = DP_PACKET_MAX;
  netif->output = netif_output_;
  return ERR_OK;
}

static err_t
netif_output_ (struct netif *netif, struct pbuf *p, const ip4_addr_t *address)
{
  DpStack *stack = netif->state;
  guint8 packet[DP_PACKET_MAX];
  DpSegment segment;
  guint32 offset;

  if (p->tot_len > sizeof packet)
    return ERR_BUF;
  /* lwIP keeps the segment for retransmission, so only a copy is changed. */
  pbuf_copy_partial (p, packet, p->tot_len, 0);
  if (!dp_segment_parse (packet, p->tot_len, &segment, NULL))
    return ERR_VAL;
  offset = sequence_offset_ (stack, &segment.key);
  dp_segment_shift_seq (packet, &segment, offset);
  segment.seq += offset;
  stack->listener->output (packet, p->tot_len, &segment, stack->user_data);
  return ERR_OK;
}

/* Returns the offset that is added to lwIP's sequence numbers: a keyed hash of the flow,
 * as in RFC 6528. Without it, initial sequence numbers are predictable and can be the
 * same in two processes. key has the local end as client. */
static guint32
sequence_offset_ (const DpStack *stack, const DpFlowKey *key)
{
  guint64 input[2] = {
    (guint64) key->client.ip << 16 | key->client.port,
    (guint64) key->service.ip << 16 | key->service.port,
  };

  return (guint32) XXH3_64bits_withSecret (input, sizeof input, stack->secret,
                                           sizeof stack->secret);
}

static err_t
on_accepted_ (void *arg, struct tcp_pcb *pcb, err_t err)
{
  DpStack *stack = arg;
  DpConn *conn;

  if (err != ERR_OK || pcb == NULL)
    return ERR_VAL;
  conn = dp_conn_new (stack, pcb, DP_CONN_OPEN);
  conn->local = address_of_ (&pcb->local_ip, pcb->local_port);
  conn->remote = address_of_ (&pcb->remote_ip, pcb->remote_port);
  dp_stack_add_changed (conn->stack, conn);
  return ERR_OK;
}

static err_t
on_connected_ (void *arg, struct tcp_pcb *pcb, err_t err)
{
  DpConn *conn = arg;

  conn->state = DP_CONN_OPEN;
  dp_stack_add_changed (conn->stack, conn);
  return ERR_OK;
}

/* Detaches the connections that have entered TIME_WAIT from their pcbs. lwIP reports
 * neither that a connection closed by both ends enters TIME_WAIT nor that it frees the
 * pcb later, so the pcb must not be used from then on. */
static void
check_closing_ (DpStack *stack)
{
  for (guint i = stack->closing->len; i > 0; i--)
    {
      DpConn *conn = stack->closing->pdata[i - 1];

      if (conn->pcb != NULL && conn->pcb->state != TIME_WAIT)
        continue;
      if (conn->pcb != NULL)
        {
          dp_conn_detach (conn);
          conn->state = DP_CONN_CLOSED;
          conn->in_time_wait = TRUE;
          conn->acknowledged = conn->written;
          dp_stack_add_changed (conn->stack, conn);
        }
      conn->closing = FALSE;
      g_ptr_array_remove_index_fast (stack->closing, i - 1);
    }
}

static gboolean
remove_ (DpStack *stack, const DpAddress *local, const DpAddress *remote, gboolean reset)
{
  struct tcp_pcb *lists[] = { tcp_active_pcbs, tcp_tw_pcbs };

  for (guint i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      for (struct tcp_pcb *pcb = lists[i]; pcb != NULL; pcb = pcb->next)
        {
          DpAddress pcb_local = address_of_ (&pcb->local_ip, pcb->local_port);
          DpAddress pcb_remote = address_of_ (&pcb->remote_ip, pcb->remote_port);

          if (!dp_address_equal (&pcb_local, local)
              || !dp_address_equal (&pcb_remote, remote))
            continue;
          tcp_abandon (pcb, reset);
          notify_owners_ (stack);
          return TRUE;
        }
    }
  return FALSE;
}

/* Notifies the owners of changed connections. Must not run while lwIP processes a
 * segment, since the owners may call into the stack. */
static void
notify_owners_ (DpStack *stack)
{
  if (stack->dispatching)
    return;
  stack->dispatching = TRUE;
  for (guint i = 0; i < stack->changed->len; i++)
    {
      DpConn *conn = stack->changed->pdata[i];

      if (conn == NULL)
        continue;
      conn->queued = FALSE;
      if (!conn->accepted)
        {
          conn->accepted = TRUE;
          stack->listener->accepted (conn, stack->user_data);
        }
      else if (conn->notify != NULL)
        conn->notify (conn, conn->user_data);
    }
  g_ptr_array_set_size (stack->changed, 0);
  stack->dispatching = FALSE;
}

/* Returns whether lwIP can send to peer. lwIP loops packets to 127.0.0.0/8 and to its
 * netif's own address back through its own thread, which doesn't exist here, and aborts
 * the process with an assertion. */
static gboolean
is_routable_peer_ (guint32 peer, guint32 own)
{
  return peer != own && peer != NETIF_ADDRESS && peer != 0
         && peer >> 24 != IP_LOOPBACKNET;
}

static DpAddress
address_of_ (const ip_addr_t *ip, guint16 port)
{
  DpAddress address = { .ip = lwip_ntohl (ip_addr_get_ip4_u32 (ip)), .port = port };

  return address;
}

static void
set_ip_ (ip_addr_t *to, guint32 ip)
{
  ip_addr_set_ip4_u32 (to, lwip_htonl (ip));
}

static gboolean
set_lwip_error_ (GError **error, const char *step, const DpAddress *peer, err_t err)
{
  char text[DP_ADDRESS_STRLEN];

  dp_error_set (error, err == ERR_USE ? DP_ERROR_CONFLICT : DP_ERROR_LIMIT, step,
                dp_address_format (peer, text), "lwIP error %d", err);
  return FALSE;
}
