/* Guards against foreign or malformed packets that have an effect, request bytes that
 * reach a server without a slot, ends of connections that don't reach the other side, and
 * late packets without an answer. The client sends raw packets; the server is a real
 * socket. */
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "packets.h"
#include "protected/datapath.h"
#include "runner.h"

#define SERVICE "darbnica"
#define SELF "darbnica-1"
#define OTHER "darbnica-2"
#define LOOPBACK 0x7f000001u
#define CLIENT_SEQ 5000u
#define WAIT_MAX (2 * G_USEC_PER_SEC) /* for the kernel's TCP on loopback */
#define STEP DP_US_PER_MS

/* A client's connection: its sequence numbers, and what it has received. */
typedef struct
{
  DpFlowKey key;
  guint32 seq;     /* next to send */
  guint32 ack;     /* next expected */
  guint8 flags;    /* of the last segment */
  guint8 all;      /* flags of all segments */
  gsize received;  /* payload bytes */
  guint n_packets; /* received */
  DpAddress via;   /* reply address to which the last packet was sent */
} Client;

typedef struct
{
  DpPacketPort port; /* stays first */
  DpTestClock clock;
  DpMetrics *metrics;
  GArray *trusted;
  DpFlowEngine *acceptance;
  DpDataPath *path;
  DpAddress reply_to;
  int listening;
  GPtrArray *clients;
  guint n_forwarded;  /* packets to the other member */
  DpHeader forwarded; /* header of the last of them */
} Bench;

static const DpAddress service_ = { .ip = 0x0a4d0001, .port = 80 };
static const DpAddress self_ = { .ip = LOOPBACK, .port = 7001 };
static const DpAddress other_ = { .ip = LOOPBACK, .port = 7002 };
static const DpAddress balancer_ = { .ip = LOOPBACK, .port = 7000 };
static const DpAddress fabric_ = { .ip = LOOPBACK, .port = 6000 };

/* Updates the client that a reply is for. */
static void
receive (Bench *bench, const DpAddress *destination, const DpSegment *segment)
{
  for (guint i = 0; i < bench->clients->len; i++)
    {
      Client *client = bench->clients->pdata[i];

      if (!dp_address_equal (&client->key.client, &segment->key.service)
          || !dp_address_equal (&client->key.service, &segment->key.client))
        continue;
      client->n_packets++;
      client->flags = segment->flags;
      client->all |= segment->flags;
      client->via = *destination;
      client->received += segment->payload_length;
      if ((segment->flags & DP_TCP_RST) == 0)
        client->ack = segment->seq + segment->payload_length
                      + ((segment->flags & DP_TCP_SYN) != 0)
                      + ((segment->flags & DP_TCP_FIN) != 0);
    }
}

static gboolean
port_send (DpPacketPort *port,
           const DpAddress *destination,
           const guint8 *data,
           gsize length)
{
  Bench *bench = (Bench *) port;
  DpSegment segment;

  if (dp_address_equal (destination, &other_))
    {
      gsize header_length;

      bench->n_forwarded++;
      CU_ASSERT_TRUE (
          dp_header_decode (&bench->forwarded, data, length, &header_length, NULL));
      CU_ASSERT_TRUE (dp_segment_parse (data + header_length, length - header_length,
                                        &segment, NULL));
      return TRUE;
    }
  CU_ASSERT_TRUE (dp_segment_parse (data, length, &segment, NULL));
  receive (bench, destination, &segment);
  return TRUE;
}

static void
port_nothing (DpPacketPort *port)
{
}

static const DpPacketPortVtable port_vtable_ = {
  .send = port_send,
  .flush = port_nothing,
  .free = port_nothing,
};

static int
listen_on_loopback (DpAddress *address)
{
  struct sockaddr_in name = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (LOOPBACK),
  };
  socklen_t length = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *) &name, sizeof name), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 16), 0);
  getsockname (fd, (struct sockaddr *) &name, &length);
  address->ip = LOOPBACK;
  address->port = ntohs (name.sin_port);
  return fd;
}

static void
set_view (Bench *bench, guint n_members)
{
  const DpMember members[] = {
    { .id = dp_member_id (SELF),
      .name = (char *) SELF,
      .zone = (char *) "riga-a",
      .address = self_,
      .slots = 2,
      .connections = 100,
      .state = DP_MEMBER_ACTIVE,
      .incarnation = 1 },
    { .id = dp_member_id (OTHER),
      .name = (char *) OTHER,
      .zone = (char *) "riga-b",
      .address = other_,
      .slots = 2,
      .connections = 100,
      .state = DP_MEMBER_ACTIVE,
      .incarnation = 1 },
  };
  DpMemberView *view = dp_member_view_new (SERVICE, n_members, members, n_members);

  dp_flow_engine_set_view (bench->acceptance, view, dp_clock_now (&bench->clock.base));
  dp_member_view_unref (view);
}

static void
bench_init (Bench *bench, guint slots, guint n_members)
{
  const DpFlowEngineLimits limits = {
    .slots = slots,
    .connections = 100,
    .visits = 4,
    .idle_timeout = 7200 * DP_US_PER_S,
    .progress_timeout = 60 * DP_US_PER_S,
    .slow_start = 10 * DP_US_PER_S,
    .settle_time = 5 * DP_US_PER_S,
  };
  const DpServiceAddress address = {
    .address = service_,
    .class = DP_TRAFFIC_INTERACTIVE,
    .wait_limit = 60 * DP_US_PER_S,
  };
  DpNetwork network;
  DpDataPathOptions options = { .process = SELF };
  DpAddress server;

  memset (bench, 0, sizeof *bench);
  bench->port.vtable = &port_vtable_;
  dp_test_clock_init (&bench->clock, g_get_monotonic_time ());
  bench->metrics = dp_metrics_new ();
  bench->trusted = g_array_new (FALSE, FALSE, sizeof (DpNetwork));
  dp_network_parse ("127.0.0.0/8", &network, NULL);
  g_array_append_val (bench->trusted, network);
  bench->acceptance = dp_flow_engine_new (SERVICE, dp_member_id (SELF));
  bench->clients = g_ptr_array_new_with_free_func (g_free);
  bench->reply_to = fabric_;
  options.engine = bench->acceptance;
  options.trusted_networks = bench->trusted;
  options.clock = &bench->clock.base;
  options.metrics = bench->metrics;
  bench->path = dp_data_path_new (&options);
  dp_data_path_set_port (bench->path, &bench->port);
  bench->listening = listen_on_loopback (&server);
  dp_data_path_set_server (bench->path, &server);
  dp_data_path_set_addresses (bench->path, &address, 1);
  dp_flow_engine_set_limits (bench->acceptance, &limits);
  dp_flow_engine_set_addresses (bench->acceptance, &address, 1);
  dp_flow_engine_set_receiving_views (bench->acceptance, TRUE,
                                      dp_clock_now (&bench->clock.base));
  dp_flow_engine_set_server_up (bench->acceptance, TRUE,
                                dp_clock_now (&bench->clock.base));
  set_view (bench, n_members);
  /* Ends the slow start and the settle time. */
  dp_test_clock_advance (&bench->clock, 60 * DP_US_PER_S);
}

static void
bench_finish (Bench *bench)
{
  dp_data_path_free (bench->path);
  dp_flow_engine_free (bench->acceptance);
  if (bench->listening >= 0)
    close (bench->listening);
  g_ptr_array_unref (bench->clients);
  g_array_unref (bench->trusted);
  dp_metrics_free (bench->metrics);
}

/* Advances the test's clock in steps of a millisecond, and runs the main loop in each
 * step so that the kernel's TCP keeps up. */
static void
advance (Bench *bench, gint64 us)
{
  for (gint64 done = 0; done < us; done += STEP)
    {
      dp_test_clock_advance (&bench->clock, STEP);
      for (guint i = 0; i < 3; i++)
        {
          while (g_main_context_iteration (NULL, FALSE))
            ;
        }
    }
}

/* Runs the main loop until the condition holds or WAIT_MAX has passed. Each round
 * advances the test's clock by a millisecond. */
#define AWAIT(bench, condition)                                                          \
  do                                                                                     \
    {                                                                                    \
      gint64 end_ = g_get_monotonic_time () + WAIT_MAX;                                  \
      gboolean met_;                                                                     \
                                                                                         \
      while (!(met_ = (condition)) && g_get_monotonic_time () < end_)                    \
        advance (bench, STEP);                                                           \
      CU_ASSERT_TRUE (met_);                                                             \
    }                                                                                    \
  while (0)

static void
send_raw (Bench *bench,
          const DpAddress *source,
          const Client *client,
          const char *service,
          guint8 flags,
          const void *payload,
          gsize length)
{
  guint8 datagram[DP_HEADER_MAX + DP_PACKET_MAX];
  DpHeader header = {
    .service_id = dp_service_id (service),
    .revision = 1,
    .reply_to = bench->reply_to,
    .n_visited = 1,
    .visited = { dp_member_id (SELF) },
  };
  gsize n = dp_header_encode (&header, datagram, DP_HEADER_MAX);

  n += dp_test_packet (datagram + n, &client->key, flags, client->seq,
                       (flags & DP_TCP_ACK) != 0 ? client->ack : 0, payload, length);
  dp_data_path_datagram (source, datagram, n, bench->path);
}

/* Sends a segment of the client and advances its sequence number. */
static void
send_segment (Bench *bench, Client *client, guint8 flags, const char *payload)
{
  gsize length = payload != NULL ? strlen (payload) : 0;

  send_raw (bench, &balancer_, client, SERVICE, flags, payload, length);
  client->seq += (guint32) length + ((flags & (DP_TCP_SYN | DP_TCP_FIN)) != 0);
}

static Client *
add_client (Bench *bench, guint16 port)
{
  Client *client = g_new0 (Client, 1);

  client->key.client.ip = 0x0a000009;
  client->key.client.port = port;
  client->key.service = service_;
  client->seq = CLIENT_SEQ;
  g_ptr_array_add (bench->clients, client);
  return client;
}

/* Opens a flow. Returns the server's socket. */
static int
open_flow (Bench *bench, Client *client)
{
  const guint8 answer = DP_TCP_SYN | DP_TCP_ACK;
  int fd;

  send_segment (bench, client, DP_TCP_SYN, NULL);
  AWAIT (bench, (client->all & answer) == answer);
  send_segment (bench, client, DP_TCP_ACK, NULL);
  fd = accept4 (bench->listening, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  return fd;
}

/* Returns the data that can be read, or NULL if there is none. */
static const char *
read_some (int fd)
{
  static char text[4096];
  ssize_t n = recv (fd, text, sizeof text - 1, 0);

  if (n <= 0)
    return NULL;
  text[n] = '\0';
  return text;
}

static void
test_request (void)
{
  Bench bench;
  Client *client;
  const char *text = NULL;
  int fd;

  bench_init (&bench, 2, 2);
  client = add_client (&bench, 40000);
  fd = open_flow (&bench, client);
  CU_ASSERT_EQUAL (dp_flow_engine_load (bench.acceptance).flows, 1);
  send_segment (&bench, client, DP_TCP_ACK | DP_TCP_PSH, "GET");
  AWAIT (&bench, (text = read_some (fd)) != NULL);
  CU_ASSERT_STRING_EQUAL (text, "GET");
  CU_ASSERT_EQUAL (dp_flow_engine_load (bench.acceptance).slots_busy, 1);

  /* Replies go to the reply address of the latest packet. */
  CU_ASSERT_TRUE (dp_address_equal (&client->via, &fabric_));
  bench.reply_to.port = 6001;
  send_segment (&bench, client, DP_TCP_ACK, NULL);
  CU_ASSERT_EQUAL (send (fd, "answer", 6, 0), 6);
  AWAIT (&bench, client->received == 6);
  CU_ASSERT_EQUAL (client->via.port, 6001);
  send_segment (&bench, client, DP_TCP_ACK, NULL);
  advance (&bench, 300 * DP_US_PER_MS);
  CU_ASSERT_EQUAL (dp_flow_engine_load (bench.acceptance).slots_busy, 0);
  close (fd);
  bench_finish (&bench);
}

/* The server closes first, so that lwIP keeps the flow in TIME_WAIT. */
static void
test_late_packet (void)
{
  Bench bench;
  Client *client;
  guint before;
  int fd;

  bench_init (&bench, 2, 2);
  client = add_client (&bench, 40000);
  fd = open_flow (&bench, client);
  close (fd);
  AWAIT (&bench, (client->all & DP_TCP_FIN) != 0);
  send_segment (&bench, client, DP_TCP_FIN | DP_TCP_ACK, NULL);
  AWAIT (&bench, dp_data_path_n_flows (bench.path) == 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (bench.acceptance).flows, 0);

  before = client->n_packets;
  client->seq--;
  send_segment (&bench, client, DP_TCP_FIN | DP_TCP_ACK, NULL);
  CU_ASSERT_EQUAL (client->n_packets, before + 1);
  CU_ASSERT_EQUAL (client->flags, DP_TCP_ACK);
  CU_ASSERT_EQUAL (bench.n_forwarded, 0);

  /* The client reuses its port before lwIP's TIME_WAIT has ended. */
  client->seq = CLIENT_SEQ + 100000;
  client->all = 0;
  fd = open_flow (&bench, client);
  CU_ASSERT_EQUAL (client->all & DP_TCP_RST, 0);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (bench.path), 1);
  close (fd);
  bench_finish (&bench);
}

static void
test_ends (void)
{
  Bench bench;
  Client *first;
  Client *second;
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  char byte;
  int fd;

  bench_init (&bench, 2, 2);
  first = add_client (&bench, 40000);
  fd = open_flow (&bench, first);
  send_segment (&bench, first, DP_TCP_RST | DP_TCP_ACK, NULL);
  AWAIT (&bench, dp_data_path_n_flows (bench.path) == 0);
  CU_ASSERT_TRUE (recv (fd, &byte, 1, 0) < 0 && errno == ECONNRESET);
  close (fd);

  second = add_client (&bench, 40001);
  fd = open_flow (&bench, second);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
  AWAIT (&bench, (second->all & DP_TCP_RST) != 0);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (bench.path), 0);
  bench_finish (&bench);
}

/* If its server can't be reached, the SYN is forwarded to another member, or answered
 * with a reset if there is none. */
static void
test_server_gone (void)
{
  for (guint n_members = 1; n_members <= 2; n_members++)
    {
      Bench bench;
      Client *client;

      bench_init (&bench, 2, n_members);
      close (bench.listening);
      bench.listening = -1;
      client = add_client (&bench, 40000);
      send_segment (&bench, client, DP_TCP_SYN, NULL);
      AWAIT (&bench, dp_data_path_n_flows (bench.path) == 0);
      CU_ASSERT_EQUAL (client->flags, n_members == 1 ? DP_TCP_RST | DP_TCP_ACK : 0);
      CU_ASSERT_EQUAL (bench.n_forwarded, n_members - 1);
      if (n_members == 1)
        CU_ASSERT_EQUAL (client->ack, 0);
      bench_finish (&bench);
    }
}

static void
test_dropped (void)
{
  static const DpAddress stranger = { .ip = 0x0a000001, .port = 7000 };
  static guint8 garbage[] = { 0xc1, 0x00, 0xff };
  Bench bench;
  Client *client;
  guint8 datagram[DP_HEADER_MAX + 3] = { 0 };
  DpHeader header = { .service_id = dp_service_id (SERVICE) };
  gsize n;

  bench_init (&bench, 2, 2);
  client = add_client (&bench, 40000);
  send_raw (&bench, &stranger, client, SERVICE, DP_TCP_SYN, NULL, 0);
  send_raw (&bench, &balancer_, client, "rokasgramata", DP_TCP_SYN, NULL, 0);
  dp_data_path_datagram (&balancer_, garbage, sizeof garbage, bench.path);
  dp_data_path_datagram (&balancer_, garbage, 0, bench.path);
  n = dp_header_encode (&header, datagram, DP_HEADER_MAX);
  dp_data_path_datagram (&balancer_, datagram, n + 3, bench.path);
  advance (&bench, 10 * DP_US_PER_MS);
  CU_ASSERT_EQUAL (client->n_packets, 0);
  CU_ASSERT_EQUAL (bench.n_forwarded, 0);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (bench.path), 0);
  CU_ASSERT_EQUAL (dp_metrics_value (bench.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"untrusted source\""),
                   1);
  CU_ASSERT_EQUAL (dp_metrics_value (bench.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"wrong service\""),
                   1);
  CU_ASSERT_EQUAL (dp_metrics_value (bench.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"malformed header\""),
                   2);
  CU_ASSERT_EQUAL (dp_metrics_value (bench.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"malformed packet\""),
                   1);
  bench_finish (&bench);
}

/* An acknowledgement of another companion's SYN-ACK must not complete the handshake. */
static void
test_foreign_ack (void)
{
  const guint8 answer = DP_TCP_SYN | DP_TCP_ACK;
  Bench bench;
  Client *client;
  const char *text = NULL;
  int fd;

  bench_init (&bench, 2, 2);
  client = add_client (&bench, 40000);
  send_segment (&bench, client, DP_TCP_SYN, NULL);
  AWAIT (&bench, (client->all & answer) == answer);
  client->ack += 12345;
  send_raw (&bench, &balancer_, client, SERVICE, DP_TCP_ACK, "GET", 3);
  CU_ASSERT_EQUAL (bench.n_forwarded, 1);
  CU_ASSERT_EQUAL (client->all & DP_TCP_RST, 0);
  client->ack -= 12345;

  /* The half-open flow expires without a packet to the client or a byte to the server. */
  fd = accept4 (bench.listening, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  advance (&bench, 25 * DP_US_PER_S);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (bench.path), 0);
  CU_ASSERT_EQUAL (client->all & DP_TCP_RST, 0);
  text = read_some (fd);
  CU_ASSERT_PTR_NULL (text);
  close (fd);
  bench_finish (&bench);
}

/* With one slot, the second request is held back until the first is answered. */
static void
test_slots (void)
{
  Bench bench;
  Client *clients[2];
  const char *text = NULL;
  int fds[2];

  bench_init (&bench, 1, 1);
  for (guint i = 0; i < 2; i++)
    {
      clients[i] = add_client (&bench, (guint16) (40000 + i));
      fds[i] = open_flow (&bench, clients[i]);
      /* The slot that is reserved for the flow's first request is released. */
      advance (&bench, 2 * DP_US_PER_S);
    }
  send_segment (&bench, clients[0], DP_TCP_ACK, "first");
  AWAIT (&bench, (text = read_some (fds[0])) != NULL);
  send_segment (&bench, clients[1], DP_TCP_ACK, "second");
  advance (&bench, 500 * DP_US_PER_MS);
  CU_ASSERT_PTR_NULL (read_some (fds[1]));
  CU_ASSERT_EQUAL (dp_flow_engine_load (bench.acceptance).slots_busy, 1);

  CU_ASSERT_EQUAL (send (fds[0], "answer", 6, 0), 6);
  text = NULL;
  AWAIT (&bench, (text = read_some (fds[1])) != NULL);
  CU_ASSERT_TRUE (text != NULL && strcmp (text, "second") == 0);
  for (guint i = 0; i < 2; i++)
    close (fds[i]);
  bench_finish (&bench);
}

static void
test_leaving (void)
{
  Bench bench;
  Client *client;
  Client *late;
  int fd;

  bench_init (&bench, 2, 2);
  client = add_client (&bench, 40000);
  fd = open_flow (&bench, client);
  dp_flow_engine_set_leaving (bench.acceptance, TRUE, dp_clock_now (&bench.clock.base));
  dp_data_path_update (bench.path);
  late = add_client (&bench, 40001);
  send_segment (&bench, late, DP_TCP_SYN, NULL);
  CU_ASSERT_EQUAL (bench.n_forwarded, 1);
  CU_ASSERT_EQUAL (send (fd, "answer", 6, 0), 6);
  AWAIT (&bench, client->received == 6);

  CU_ASSERT_EQUAL (dp_data_path_abort_all (bench.path, DP_REASON_DRAIN_DEADLINE), 1);
  CU_ASSERT_EQUAL (client->flags & DP_TCP_RST, DP_TCP_RST);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (bench.path), 0);
  close (fd);
  bench_finish (&bench);
}

static const DpTestCase cases_[] = {
  { "an answer goes to the latest reply address", test_request },
  { "late packets are answered, and the port can be reused", test_late_packet },
  { "resets are passed on in both directions", test_ends },
  { "a SYN without a server is forwarded or refused", test_server_gone },
  { "foreign and malformed datagrams are dropped", test_dropped },
  { "a foreign acknowledgement delivers nothing", test_foreign_ack },
  { "a request waits for a slot", test_slots },
  { "a leaving member forwards SYNs and keeps its flows", test_leaving },
};

DP_TEST_MAIN ("datapath", cases_)
