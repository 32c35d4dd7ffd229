/* Simulated network between clients and balancers. Accepts TCP connections from the
 * kernel's TCP/IP stack and forwards each over a TCP connection of lwIP, whose packets
 * are sent to random balancers. */
#include <errno.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dogwoodpaddle/logging.h"
#include "links.h"
#include "protected/splice.h"
#include "protected/stack.h"

#define CLIENT_NETWORK 0xc6336400u /* 198.51.100.0/24, RFC 5737 */
#define CLIENT_HOSTS 254
#define CLIENT_PORT_FIRST 10000
#define CLIENT_PORTS 50000
#define LISTEN_BACKLOG 4096
#define ACCEPTS_PER_WAKEUP 64
#define MANY_BALANCERS 3 /* counted as over_3_balancers from this number on */

/* A service address and the kernel's address at which clients reach it. */
typedef struct
{
  DpAddress listen;
  DpAddress service;
  int fd;
} AddressMap;

typedef struct
{
  guint16 peer_port; /* of the client's kernel connection */
  int fd;            /* -1 once a DpSplice owns it */
  guint64 balancers; /* bit i: a packet was sent to balancer i */
  gint64 key;        /* in Fabric.flows */
} Flow;

typedef struct
{
  /* Options. */
  char **maps;
  char **balancers;
  char *udp;
  char *http;
  LinkFaults faults;
  int delay_ms;
  int jitter_ms;
  int seed;
  gint trace_sample;

  Links *links;
  DpStack *stack;
  DpSpliceSet *splices;
  GHashTable *flows; /* Flow.key, made from the client's address in lwIP -> Flow */
  GHashTable *refused_ports; /* peer_port of refused flows, removed on reuse */
  guint next_client;         /* number of the next client address */
  guint64 n_flows;
  guint64 n_refused;        /* SYN answered with RST */
  guint64 n_unanswered;     /* SYN never answered */
  guint64 n_reset;          /* open flows that were reset or timed out */
  guint64 n_many_balancers; /* flows that sent packets to MANY_BALANCERS or more */
  GMainLoop *loop;
} Fabric;

static gboolean parse_options_ (Fabric *fabric, int argc, char **argv, GError **error);
static gboolean start_ (Fabric *fabric, GError **error);
static gboolean add_map_ (Fabric *fabric, const char *text, GError **error);
static gboolean open_listener_ (AddressMap *map, GError **error);
static gboolean accept_ (gint fd, GIOCondition condition, gpointer user_data);
static void open_flow_ (const AddressMap *map, int fd, guint16 peer_port);
static void packet_output_ (const guint8 *packet,
                            gsize length,
                            const DpSegment *segment,
                            gpointer user_data);
static void packet_received_ (const guint8 *packet, gsize length, gpointer user_data);
static void conn_changed_ (DpConn *conn, gpointer user_data);
static void splice_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
static gint64 flow_key_ (const DpAddress *address);
static void reset_client_ (Flow *flow);
static char *format_stats_ (void);
static void handle_stats_ (SoupServer *server,
                           SoupServerMessage *message,
                           const char *path,
                           GHashTable *query,
                           gpointer user_data);
static void handle_refused_ (SoupServer *server,
                             SoupServerMessage *message,
                             const char *path,
                             GHashTable *query,
                             gpointer user_data);
static gboolean stop_ (gpointer user_data);

static const DpSpliceListener splice_listener_ = { .ended = splice_ended_ };
static const DpStackListener stack_listener_ = { .output = packet_output_ };

/* Global, as lwIP allows only one stack per process. */
static Fabric the_fabric_;

int
main (int argc, char **argv)
{
  Fabric *fabric = &the_fabric_;
  g_autofree char *stats = NULL;
  g_autoptr (GError) error = NULL;

  fabric->seed = 1;
  if (!parse_options_ (fabric, argc, argv, &error) || !start_ (fabric, &error))
    {
      g_printerr ("standin-fabric: %s\n", error->message);
      return 2;
    }
  g_main_loop_run (fabric->loop);
  stats = format_stats_ ();
  g_print ("%s\n", stats);
  return 0;
}

static gboolean
parse_options_ (Fabric *fabric, int argc, char **argv, GError **error)
{
  GOptionEntry entries[] = {
    { "map", 0, 0, G_OPTION_ARG_STRING_ARRAY, &fabric->maps,
      "IP:PORT=IP:PORT: address to listen on and service address", NULL },
    { "balancer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &fabric->balancers,
      "IP:PORT/HTTPPORT: ports for packets and for /ready", NULL },
    { "udp", 0, 0, G_OPTION_ARG_STRING, &fabric->udp,
      "IP:PORT to send and receive packets on", NULL },
    { "http", 0, 0, G_OPTION_ARG_STRING, &fabric->http,
      "IP:PORT for /stats and /refused?port=N", NULL },
    { "loss", 0, 0, G_OPTION_ARG_DOUBLE, &fabric->faults.loss,
      "share of the packets that are lost, 0 to 1", NULL },
    { "duplicate", 0, 0, G_OPTION_ARG_DOUBLE, &fabric->faults.duplicate,
      "share of the packets that are duplicated, 0 to 1", NULL },
    { "reorder", 0, 0, G_OPTION_ARG_DOUBLE, &fabric->faults.reorder,
      "share of the packets that are delayed behind later ones, 0 to 1", NULL },
    { "delay-ms", 0, 0, G_OPTION_ARG_INT, &fabric->delay_ms,
      "delay of each packet, one way", NULL },
    { "jitter-ms", 0, 0, G_OPTION_ARG_INT, &fabric->jitter_ms,
      "maximum of random extra delay", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &fabric->seed, "seed of the random numbers", NULL },
    { "trace-sample", 0, 0, G_OPTION_ARG_INT, &fabric->trace_sample, "trace 1 of N flows",
      "N" },
    { NULL }
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- simulated network");

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, error))
    return FALSE;
  fabric->faults.delay_ms = (guint) fabric->delay_ms;
  fabric->faults.jitter_ms = (guint) fabric->jitter_ms;
  fabric->faults.seed = (guint) fabric->seed;
  fabric->faults.trace_sample = (guint) fabric->trace_sample;
  if (fabric->maps != NULL && fabric->balancers != NULL)
    return dp_logging_init ("fabric", "info", error);
  g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
               "--map and --balancer are required");
  return FALSE;
}

static gboolean
start_ (Fabric *fabric, GError **error)
{
  DpAddress udp = { INADDR_LOOPBACK, 0 };

  fabric->loop = g_main_loop_new (NULL, FALSE);
  fabric->flows = g_hash_table_new (g_int64_hash, g_int64_equal);
  fabric->refused_ports = g_hash_table_new (NULL, NULL);
  fabric->next_client = (guint) fabric->seed;
  fabric->stack = dp_stack_new (dp_clock_system (), &stack_listener_, NULL);
  fabric->splices = dp_splice_set_new ();
  if (fabric->udp != NULL && !dp_address_parse (fabric->udp, &udp, error))
    return FALSE;
  fabric->links = links_new (&udp, &fabric->faults, packet_received_, NULL, error);
  if (fabric->links == NULL)
    return FALSE;
  for (guint i = 0; fabric->balancers[i] != NULL; i++)
    if (!links_add_balancer (fabric->links, fabric->balancers[i]))
      {
        g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "--balancer %s",
                     fabric->balancers[i]);
        return FALSE;
      }
  for (guint i = 0; fabric->maps[i] != NULL; i++)
    if (!add_map_ (fabric, fabric->maps[i], error))
      return FALSE;
  if (fabric->http != NULL)
    {
      SoupServer *server = soup_server_new (NULL, NULL);
      g_auto (GStrv) parts = g_strsplit (fabric->http, ":", 2);
      g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (
          parts[0], parts[1] != NULL ? (guint) atoi (parts[1]) : 0);

      soup_server_add_handler (server, "/stats", handle_stats_, NULL, NULL);
      soup_server_add_handler (server, "/refused", handle_refused_, NULL, NULL);
      if (!soup_server_listen (server, address, 0, error))
        return FALSE;
    }
  g_unix_signal_add (SIGTERM, stop_, fabric);
  g_unix_signal_add (SIGINT, stop_, fabric);
  return TRUE;
}

/* Starts to listen for the clients of one service address. */
static gboolean
add_map_ (Fabric *fabric, const char *text, GError **error)
{
  g_auto (GStrv) parts = g_strsplit (text, "=", 2);
  AddressMap *map = g_new0 (AddressMap, 1);

  if (parts[1] != NULL && dp_address_parse (parts[0], &map->listen, error)
      && dp_address_parse (parts[1], &map->service, error) && open_listener_ (map, error))
    {
      g_unix_fd_add (map->fd, G_IO_IN, accept_, map);
      return TRUE;
    }
  if (error != NULL && *error == NULL)
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "--map %s: %s", text,
                 g_strerror (errno));
  g_free (map);
  return FALSE;
}

static gboolean
open_listener_ (AddressMap *map, GError **error)
{
  g_autoptr (GInetAddress) ip = NULL;
  g_autoptr (GSocketAddress) address = NULL;
  guint32 bytes = g_htonl (map->listen.ip);
  struct sockaddr_storage native;
  const int on = 1;

  ip = g_inet_address_new_from_bytes ((const guint8 *) &bytes, G_SOCKET_FAMILY_IPV4);
  address = g_inet_socket_address_new (ip, map->listen.port);
  map->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (map->fd < 0 || !g_socket_address_to_native (address, &native, sizeof native, error))
    return FALSE;
  setsockopt (map->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return bind (map->fd, (struct sockaddr *) &native,
               (socklen_t) g_socket_address_get_native_size (address))
             == 0
         && listen (map->fd, LISTEN_BACKLOG) == 0;
}

static gboolean
accept_ (gint fd, GIOCondition condition, gpointer user_data)
{
  for (guint i = 0; i < ACCEPTS_PER_WAKEUP; i++)
    {
      struct sockaddr_in peer = { 0 };
      socklen_t length = sizeof peer;
      int client = accept4 (fd, (struct sockaddr *) &peer, &length,
                            SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (client < 0)
        break;
      open_flow_ (user_data, client, g_ntohs (peer.sin_port));
    }
  return G_SOURCE_CONTINUE;
}

/* Connects to the service address from the next client address. */
static void
open_flow_ (const AddressMap *map, int fd, guint16 peer_port)
{
  Fabric *fabric = &the_fabric_;
  Flow *flow = g_new0 (Flow, 1);
  guint n = fabric->next_client++;
  DpAddress local = { CLIENT_NETWORK + 1 + n % CLIENT_HOSTS,
                      (guint16) (CLIENT_PORT_FIRST + n / CLIENT_HOSTS % CLIENT_PORTS) };
  g_autoptr (GError) error = NULL;
  DpConn *conn;

  g_hash_table_remove (fabric->refused_ports, GUINT_TO_POINTER (peer_port));
  fabric->n_flows++;
  flow->peer_port = peer_port;
  flow->fd = fd;
  flow->key = flow_key_ (&local);
  /* Must precede dp_stack_connect, which sends the SYN: packet_output_ looks the flow up.
   */
  g_hash_table_replace (fabric->flows, &flow->key, flow);
  conn = dp_stack_connect (fabric->stack, &local, &map->service, &error);
  if (conn == NULL)
    {
      g_printerr ("standin-fabric: %s\n", error->message);
      reset_client_ (flow);
      return;
    }
  dp_conn_set_listener (conn, conn_changed_, flow);
}

/* Sends a packet of a client, which comes from lwIP, to a balancer. */
static void
packet_output_ (const guint8 *packet,
                gsize length,
                const DpSegment *segment,
                gpointer user_data)
{
  Fabric *fabric = &the_fabric_;
  gint64 key = flow_key_ (&segment->key.client);
  Flow *flow = g_hash_table_lookup (fabric->flows, &key);
  int balancer = links_send (fabric->links, packet, length);
  guint64 before;

  if (flow == NULL || balancer < 0)
    return;
  before = flow->balancers;
  flow->balancers |= G_GUINT64_CONSTANT (1) << balancer;
  if (flow->balancers != before
      && __builtin_popcountll (flow->balancers) == MANY_BALANCERS)
    fabric->n_many_balancers++;
}

/* Passes a packet for a client, which comes from a companion, to lwIP. */
static void
packet_received_ (const guint8 *packet, gsize length, gpointer user_data)
{
  DpSegment segment;

  if (dp_segment_parse (packet, length, &segment, NULL))
    dp_stack_input (the_fabric_.stack, packet, length, &segment);
}

/* Handles the end of the handshake: starts to forward data, or resets the client. */
static void
conn_changed_ (DpConn *conn, gpointer user_data)
{
  Fabric *fabric = &the_fabric_;
  Flow *flow = user_data;
  DpConnState state = dp_conn_state (conn);
  DpSplice *splice;

  if (state == DP_CONN_OPENING)
    return;
  if (state == DP_CONN_OPEN)
    {
      splice = dp_splice_new (fabric->splices, conn, flow->fd, 0, &splice_listener_,
                              flow);
      dp_splice_set_client_socket (splice);
      flow->fd = -1;
      return;
    }
  if (state == DP_CONN_RESET)
    {
      fabric->n_refused++;
      g_hash_table_add (fabric->refused_ports, GUINT_TO_POINTER (flow->peer_port));
    }
  else
    fabric->n_unanswered++;
  dp_conn_free (conn);
  reset_client_ (flow);
}

static void
splice_ended_ (DpSplice *splice, DpSpliceEnd end, gpointer user_data)
{
  Flow *flow = user_data;

  if (end == DP_SPLICE_CONN_RESET || end == DP_SPLICE_CONN_TIMEOUT)
    the_fabric_.n_reset++;
  g_hash_table_remove (the_fabric_.flows, &flow->key);
  g_free (flow);
}

static gint64
flow_key_ (const DpAddress *address)
{
  return (gint64) address->ip << 16 | address->port;
}

/* Resets the client's kernel connection and frees the flow. */
static void
reset_client_ (Flow *flow)
{
  const struct linger linger = { 1, 0 };

  setsockopt (flow->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (flow->fd);
  g_hash_table_remove (the_fabric_.flows, &flow->key);
  g_free (flow);
}

static char *
format_stats_ (void)
{
  const Fabric *fabric = &the_fabric_;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  const struct
  {
    const char *name;
    guint64 value;
  } counters[] = {
    { "flows", fabric->n_flows },     { "open", g_hash_table_size (fabric->flows) },
    { "refused", fabric->n_refused }, { "unanswered", fabric->n_unanswered },
    { "reset", fabric->n_reset },     { "over_3_balancers", fabric->n_many_balancers }
  };

  json_builder_begin_object (builder);
  for (guint i = 0; i < G_N_ELEMENTS (counters); i++)
    {
      json_builder_set_member_name (builder, counters[i].name);
      json_builder_add_int_value (builder, (gint64) counters[i].value);
    }
  links_format (fabric->links, builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

static void
handle_stats_ (SoupServer *server,
               SoupServerMessage *message,
               const char *path,
               GHashTable *query,
               gpointer user_data)
{
  char *json = format_stats_ ();

  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, json,
                                    strlen (json));
}

/* Responds with 200 if the last connection from the port was refused in response to its
 * SYN, otherwise with 404. */
static void
handle_refused_ (SoupServer *server,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer user_data)
{
  const char *port = query != NULL ? g_hash_table_lookup (query, "port") : NULL;
  gboolean refused = port != NULL
                     && g_hash_table_contains (the_fabric_.refused_ports,
                                               GUINT_TO_POINTER (atoi (port)));

  soup_server_message_set_status (message,
                                  refused ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND, NULL);
}

static gboolean
stop_ (gpointer user_data)
{
  g_main_loop_quit (((Fabric *) user_data)->loop);
  return G_SOURCE_CONTINUE;
}
