/* Guards against packets that have an effect although they are malformed, of another
 * service or from an untrusted source, request bytes that reach a server without a slot,
 * ends of connections that don't reach the other side, and late packets without an
 * answer. The client sends raw packets; the server is a real socket. */
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
  guint32 seq;                /* next to send */
  guint32 ack;                /* next expected */
  guint8 flags;               /* of the last segment */
  guint8 all_flags;           /* flags of all segments */
  gsize received;             /* payload bytes */
  guint n_packets;            /* received */
  DpAddress last_destination; /* reply address to which the last packet was sent */
} Client;

typedef struct
{
  DpPacketPort port; /* must be first: the port functions cast it to Fixture */
  DpTestClock clock;
  DpMetrics *metrics;
  GArray *trusted;
  DpFlowEngine *engine;
  DpDataPath *path;
  DpAddress reply_to;
  int listen_fd;
  GPtrArray *clients;
  guint n_forwarded;  /* packets to the other member */
  DpHeader forwarded; /* header of the last forwarded packet */
} Fixture;

static const DpAddress service_ = { .ip = 0x0a4d0001, .port = 80 };
static const DpAddress self_ = { .ip = LOOPBACK, .port = 7001 };
static const DpAddress other_ = { .ip = LOOPBACK, .port = 7002 };
static const DpAddress balancer_ = { .ip = LOOPBACK, .port = 7000 };
static const DpAddress fabric_ = { .ip = LOOPBACK, .port = 6000 };

/* Updates the client that a reply is for. */
static void
receive (Fixture *fixture, const DpAddress *destination, const DpSegment *segment)
{
  for (guint i = 0; i < fixture->clients->len; i++)
    {
      Client *client = fixture->clients->pdata[i];

      if (!dp_address_equal (&client->key.client, &segment->key.service)
          || !dp_address_equal (&client->key.service, &segment->key.client))
        continue;
      client->n_packets++;
      client->flags = segment->flags;
      client->all_flags |= segment->flags;
      client->last_destination = *destination;
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
  Fixture *fixture = (Fixture *) port;
  DpSegment segment;

  if (dp_address_equal (destination, &other_))
    {
      gsize header_length;

      fixture->n_forwarded++;
      CU_ASSERT_TRUE (
          dp_header_decode (&fixture->forwarded, data, length, &header_length, NULL));
      CU_ASSERT_TRUE (dp_segment_parse (data + header_length, length - header_length,
                                        &segment, NULL));
      return TRUE;
    }
  CU_ASSERT_TRUE (dp_segment_parse (data, length, &segment, NULL));
  receive (fixture, destination, &segment);
  return TRUE;
}

static void
port_noop (DpPacketPort *port)
{
}

static const DpPacketPortVtable port_vtable_ = {
  .send = port_send,
  .flush = port_noop,
  .free = port_noop,
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
set_view (Fixture *fixture, guint n_members)
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

  dp_flow_engine_set_view (fixture->engine, view, dp_clock_now (&fixture->clock.base));
  dp_member_view_unref (view);
}

static void
fixture_init (Fixture *fixture, guint slots, guint n_members)
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

  memset (fixture, 0, sizeof *fixture);
  fixture->port.vtable = &port_vtable_;
  dp_test_clock_init (&fixture->clock, g_get_monotonic_time ());
  fixture->metrics = dp_metrics_new ();
  fixture->trusted = g_array_new (FALSE, FALSE, sizeof (DpNetwork));
  dp_network_parse ("127.0.0.0/8", &network, NULL);
  g_array_append_val (fixture->trusted, network);
  fixture->engine = dp_flow_engine_new (SERVICE, dp_member_id (SELF));
  fixture->clients = g_ptr_array_new_with_free_func (g_free);
  fixture->reply_to = fabric_;
  options.engine = fixture->engine;
  options.trusted_networks = fixture->trusted;
  options.clock = &fixture->clock.base;
  options.metrics = fixture->metrics;
  fixture->path = dp_data_path_new (&options);
  dp_data_path_set_port (fixture->path, &fixture->port);
  fixture->listen_fd = listen_on_loopback (&server);
  dp_data_path_set_server (fixture->path, &server);
  dp_data_path_set_addresses (fixture->path, &address, 1);
  dp_flow_engine_set_limits (fixture->engine, &limits);
  dp_flow_engine_set_addresses (fixture->engine, &address, 1);
  dp_flow_engine_set_receiving_views (fixture->engine, TRUE,
                                      dp_clock_now (&fixture->clock.base));
  dp_flow_engine_set_server_up (fixture->engine, TRUE,
                                dp_clock_now (&fixture->clock.base));
  set_view (fixture, n_members);
  /* Longer than limits.slow_start and limits.settle_time. */
  dp_test_clock_advance (&fixture->clock, 60 * DP_US_PER_S);
}

static void
fixture_finish (Fixture *fixture)
{
  dp_data_path_free (fixture->path);
  dp_flow_engine_free (fixture->engine);
  if (fixture->listen_fd >= 0)
    close (fixture->listen_fd);
  g_ptr_array_unref (fixture->clients);
  g_array_unref (fixture->trusted);
  dp_metrics_free (fixture->metrics);
}

/* Advances the test's clock in steps of a millisecond, and runs the main loop in each
 * step so that the kernel's TCP keeps up. */
static void
advance (Fixture *fixture, gint64 us)
{
  for (gint64 done = 0; done < us; done += STEP)
    {
      dp_test_clock_advance (&fixture->clock, STEP);
      for (guint i = 0; i < 3; i++)
        {
          while (g_main_context_iteration (NULL, FALSE))
            ;
        }
    }
}

/* Runs the main loop until the condition holds or WAIT_MAX has passed. Each round
 * advances the test's clock by a millisecond. */
#define AWAIT(fixture, condition)                                                        \
  do                                                                                     \
    {                                                                                    \
      gint64 end_ = g_get_monotonic_time () + WAIT_MAX;                                  \
      gboolean met_;                                                                     \
                                                                                         \
      while (!(met_ = (condition)) && g_get_monotonic_time () < end_)                    \
        advance (fixture, STEP);                                                         \
      CU_ASSERT_TRUE (met_);                                                             \
    }                                                                                    \
  while (0)

static void
send_raw (Fixture *fixture,
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
    .reply_to = fixture->reply_to,
    .n_visited = 1,
    .visited = { dp_member_id (SELF) },
  };
  gsize n = dp_header_encode (&header, datagram, DP_HEADER_MAX);

  n += dp_test_packet (datagram + n, &client->key, flags, client->seq,
                       (flags & DP_TCP_ACK) != 0 ? client->ack : 0, payload, length);
  dp_data_path_datagram (source, datagram, n, fixture->path);
}

/* Sends a segment of the client and advances its sequence number. */
static void
send_segment (Fixture *fixture, Client *client, guint8 flags, const char *payload)
{
  gsize length = payload != NULL ? strlen (payload) : 0;

  send_raw (fixture, &balancer_, client, SERVICE, flags, payload, length);
  client->seq += (guint32) length + ((flags & (DP_TCP_SYN | DP_TCP_FIN)) != 0);
}

static Client *
add_client (Fixture *fixture, guint16 port)
{
  Client *client = g_new0 (Client, 1);

  client->key.client.ip = 0x0a000009;
  client->key.client.port = port;
  client->key.service = service_;
  client->seq = CLIENT_SEQ;
  g_ptr_array_add (fixture->clients, client);
  return client;
}

/* Opens a flow. Returns the server's socket. */
static int
open_flow (Fixture *fixture, Client *client)
{
  const guint8 answer = DP_TCP_SYN | DP_TCP_ACK;
  int fd;

  send_segment (fixture, client, DP_TCP_SYN, NULL);
  AWAIT (fixture, (client->all_flags & answer) == answer);
  send_segment (fixture, client, DP_TCP_ACK, NULL);
  fd = accept4 (fixture->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
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
  Fixture fixture;
  Client *client;
  const char *text = NULL;
  int fd;

  fixture_init (&fixture, 2, 2);
  client = add_client (&fixture, 40000);
  fd = open_flow (&fixture, client);
  CU_ASSERT_EQUAL (dp_flow_engine_load (fixture.engine).flows, 1);
  send_segment (&fixture, client, DP_TCP_ACK | DP_TCP_PSH, "GET");
  AWAIT (&fixture, (text = read_some (fd)) != NULL);
  CU_ASSERT_STRING_EQUAL (text, "GET");
  CU_ASSERT_EQUAL (dp_flow_engine_load (fixture.engine).slots_busy, 1);

  /* Replies go to the reply address of the latest packet. */
  CU_ASSERT_TRUE (dp_address_equal (&client->last_destination, &fabric_));
  fixture.reply_to.port = 6001;
  send_segment (&fixture, client, DP_TCP_ACK, NULL);
  CU_ASSERT_EQUAL (send (fd, "answer", 6, 0), 6);
  AWAIT (&fixture, client->received == 6);
  CU_ASSERT_EQUAL (client->last_destination.port, 6001);
  send_segment (&fixture, client, DP_TCP_ACK, NULL);
  advance (&fixture, 300 * DP_US_PER_MS);
  CU_ASSERT_EQUAL (dp_flow_engine_load (fixture.engine).slots_busy, 0);
  close (fd);
  fixture_finish (&fixture);
}

/* The server closes first, so that lwIP keeps the flow in TIME_WAIT. */
static void
test_late_packet (void)
{
  Fixture fixture;
  Client *client;
  guint before;
  int fd;

  fixture_init (&fixture, 2, 2);
  client = add_client (&fixture, 40000);
  fd = open_flow (&fixture, client);
  close (fd);
  AWAIT (&fixture, (client->all_flags & DP_TCP_FIN) != 0);
  send_segment (&fixture, client, DP_TCP_FIN | DP_TCP_ACK, NULL);
  AWAIT (&fixture, dp_data_path_n_flows (fixture.path) == 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (fixture.engine).flows, 0);

  before = client->n_packets;
  client->seq--;
  send_segment (&fixture, client, DP_TCP_FIN | DP_TCP_ACK, NULL);
  CU_ASSERT_EQUAL (client->n_packets, before + 1);
  CU_ASSERT_EQUAL (client->flags, DP_TCP_ACK);
  CU_ASSERT_EQUAL (fixture.n_forwarded, 0);

  /* The client reuses its port before lwIP's TIME_WAIT has ended. */
  client->seq = CLIENT_SEQ + 100000;
  client->all_flags = 0;
  fd = open_flow (&fixture, client);
  CU_ASSERT_EQUAL (client->all_flags & DP_TCP_RST, 0);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (fixture.path), 1);
  close (fd);
  fixture_finish (&fixture);
}

static void
test_resets (void)
{
  Fixture fixture;
  Client *first;
  Client *second;
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  char byte;
  int fd;

  fixture_init (&fixture, 2, 2);
  first = add_client (&fixture, 40000);
  fd = open_flow (&fixture, first);
  send_segment (&fixture, first, DP_TCP_RST | DP_TCP_ACK, NULL);
  AWAIT (&fixture, dp_data_path_n_flows (fixture.path) == 0);
  CU_ASSERT_TRUE (recv (fd, &byte, 1, 0) < 0 && errno == ECONNRESET);
  close (fd);

  second = add_client (&fixture, 40001);
  fd = open_flow (&fixture, second);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
  AWAIT (&fixture, (second->all_flags & DP_TCP_RST) != 0);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (fixture.path), 0);
  fixture_finish (&fixture);
}

/* If the member's server can't be reached, the SYN is forwarded to another member, or
 * answered with a reset if there is none. */
static void
test_server_unreachable (void)
{
  for (guint n_members = 1; n_members <= 2; n_members++)
    {
      Fixture fixture;
      Client *client;

      fixture_init (&fixture, 2, n_members);
      close (fixture.listen_fd);
      fixture.listen_fd = -1;
      client = add_client (&fixture, 40000);
      send_segment (&fixture, client, DP_TCP_SYN, NULL);
      AWAIT (&fixture, dp_data_path_n_flows (fixture.path) == 0);
      CU_ASSERT_EQUAL (client->flags, n_members == 1 ? DP_TCP_RST | DP_TCP_ACK : 0);
      CU_ASSERT_EQUAL (fixture.n_forwarded, n_members - 1);
      if (n_members == 1)
        CU_ASSERT_EQUAL (client->ack, 0);
      fixture_finish (&fixture);
    }
}

static void
test_dropped (void)
{
  static const DpAddress untrusted = { .ip = 0x0a000001, .port = 7000 };
  static guint8 garbage[] = { 0xc1, 0x00, 0xff };
  Fixture fixture;
  Client *client;
  guint8 datagram[DP_HEADER_MAX + 3] = { 0 };
  DpHeader header = { .service_id = dp_service_id (SERVICE) };
  gsize n;

  fixture_init (&fixture, 2, 2);
  client = add_client (&fixture, 40000);
  send_raw (&fixture, &untrusted, client, SERVICE, DP_TCP_SYN, NULL, 0);
  send_raw (&fixture, &balancer_, client, "rokasgramata", DP_TCP_SYN, NULL, 0);
  dp_data_path_datagram (&balancer_, garbage, sizeof garbage, fixture.path);
  dp_data_path_datagram (&balancer_, garbage, 0, fixture.path);
  n = dp_header_encode (&header, datagram, DP_HEADER_MAX);
  dp_data_path_datagram (&balancer_, datagram, n + 3, fixture.path);
  advance (&fixture, 10 * DP_US_PER_MS);
  CU_ASSERT_EQUAL (client->n_packets, 0);
  CU_ASSERT_EQUAL (fixture.n_forwarded, 0);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (fixture.path), 0);
  CU_ASSERT_EQUAL (dp_metrics_value (fixture.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"untrusted source\""),
                   1);
  CU_ASSERT_EQUAL (dp_metrics_value (fixture.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"wrong service\""),
                   1);
  CU_ASSERT_EQUAL (dp_metrics_value (fixture.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"malformed header\""),
                   2);
  CU_ASSERT_EQUAL (dp_metrics_value (fixture.metrics, "dogwoodpaddle_faults_total",
                                     "kind=\"malformed packet\""),
                   1);
  fixture_finish (&fixture);
}

/* An acknowledgement of another companion's SYN-ACK must not complete the handshake. */
static void
test_ack_of_other_syn_ack (void)
{
  const guint8 answer = DP_TCP_SYN | DP_TCP_ACK;
  Fixture fixture;
  Client *client;
  const char *text = NULL;
  int fd;

  fixture_init (&fixture, 2, 2);
  client = add_client (&fixture, 40000);
  send_segment (&fixture, client, DP_TCP_SYN, NULL);
  AWAIT (&fixture, (client->all_flags & answer) == answer);
  client->ack += 12345;
  send_raw (&fixture, &balancer_, client, SERVICE, DP_TCP_ACK, "GET", 3);
  CU_ASSERT_EQUAL (fixture.n_forwarded, 1);
  CU_ASSERT_EQUAL (client->all_flags & DP_TCP_RST, 0);
  client->ack -= 12345;

  /* The half-open flow expires without a packet to the client or a byte to the server. */
  fd = accept4 (fixture.listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  advance (&fixture, 25 * DP_US_PER_S);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (fixture.path), 0);
  CU_ASSERT_EQUAL (client->all_flags & DP_TCP_RST, 0);
  text = read_some (fd);
  CU_ASSERT_PTR_NULL (text);
  close (fd);
  fixture_finish (&fixture);
}

/* With one slot, the second request is held back until the first is answered. */
static void
test_slots (void)
{
  Fixture fixture;
  Client *clients[2];
  const char *text = NULL;
  int fds[2];

  fixture_init (&fixture, 1, 1);
  for (guint i = 0; i < 2; i++)
    {
      clients[i] = add_client (&fixture, (guint16) (40000 + i));
      fds[i] = open_flow (&fixture, clients[i]);
      /* The slot that is reserved for the flow's first request is released. */
      advance (&fixture, 2 * DP_US_PER_S);
    }
  send_segment (&fixture, clients[0], DP_TCP_ACK, "first");
  AWAIT (&fixture, (text = read_some (fds[0])) != NULL);
  send_segment (&fixture, clients[1], DP_TCP_ACK, "second");
  advance (&fixture, 500 * DP_US_PER_MS);
  CU_ASSERT_PTR_NULL (read_some (fds[1]));
  CU_ASSERT_EQUAL (dp_flow_engine_load (fixture.engine).slots_busy, 1);

  CU_ASSERT_EQUAL (send (fds[0], "answer", 6, 0), 6);
  text = NULL;
  AWAIT (&fixture, (text = read_some (fds[1])) != NULL);
  CU_ASSERT_TRUE (text != NULL && strcmp (text, "second") == 0);
  for (guint i = 0; i < 2; i++)
    close (fds[i]);
  fixture_finish (&fixture);
}

static void
test_leaving (void)
{
  Fixture fixture;
  Client *client;
  Client *late;
  int fd;

  fixture_init (&fixture, 2, 2);
  client = add_client (&fixture, 40000);
  fd = open_flow (&fixture, client);
  dp_flow_engine_set_leaving (fixture.engine, TRUE, dp_clock_now (&fixture.clock.base));
  dp_data_path_update (fixture.path);
  late = add_client (&fixture, 40001);
  send_segment (&fixture, late, DP_TCP_SYN, NULL);
  CU_ASSERT_EQUAL (fixture.n_forwarded, 1);
  CU_ASSERT_EQUAL (send (fd, "answer", 6, 0), 6);
  AWAIT (&fixture, client->received == 6);

  CU_ASSERT_EQUAL (dp_data_path_abort_all (fixture.path, DP_REASON_DRAIN_DEADLINE), 1);
  CU_ASSERT_EQUAL (client->flags & DP_TCP_RST, DP_TCP_RST);
  CU_ASSERT_EQUAL (dp_data_path_n_flows (fixture.path), 0);
  close (fd);
  fixture_finish (&fixture);
}

static const DpTestCase cases_[] = {
  { "an answer goes to the latest reply address", test_request },
  { "late packets are answered, and the port can be reused", test_late_packet },
  { "resets are passed on in both directions", test_resets },
  { "a SYN without a server is forwarded or refused", test_server_unreachable },
  { "malformed datagrams, and those of other services or sources, are dropped",
    test_dropped },
  { "an acknowledgement of another SYN-ACK delivers nothing", test_ack_of_other_syn_ack },
  { "a request waits for a slot", test_slots },
  { "a leaving member forwards SYNs and keeps its flows", test_leaving },
};

DP_TEST_MAIN ("datapath", cases_)
