#include "links.h"

#include <libsoup/soup.h>
#include <string.h>

#include "protected/clock.h"
#include "protected/packetport.h"
#include "protected/segment.h"
#include "protected/trace.h"

#define POLL_MS 500
/* A balancer that has failed gets no more packets after POLL_MS and this time, 1.5 s. */
#define POLL_TIMEOUT_S 1
#define REORDER_US (5 * DP_US_PER_MS)
#define IN_FLIGHT_MAX 100000 /* packets; further ones are lost */

typedef struct
{
  Links *links;
  char *name; /* IP:PORT */
  DpAddress address;
  char *ready_url; /* NULL: always ready */
  gboolean ready;
  gboolean poll_pending; /* a request to ready_url is in progress */
  guint64 packets;       /* sent to this balancer */
} Balancer;

/* A packet in flight. */
typedef struct
{
  gint64 due;   /* us, time of delivery */
  int balancer; /* index, or -1 for a packet to a client */
  guint16 length;
  guint8 data[];
} Packet;

struct _Links
{
  LinkFaults faults;
  LinksPacketFunc received;
  gpointer user_data;
  DpPacketPort *port;
  GRand *rand;
  SoupSession *session;
  guint poll_timer;
  guint n_balancers;
  Balancer balancers[LINKS_BALANCERS_MAX];
  GQueue in_flight; /* Packet, sorted by due */
  GSource *source;  /* ready when the first packet is due */
  guint64 replies;
  guint64 lost;
  guint64 duplicated;
  guint64 reordered;
  guint64 no_balancer; /* packets dropped as no balancer was ready */
};

static void
reply_received_ (const DpAddress *source, guint8 *data, gsize length, gpointer user_data);
static int choose_balancer_ (Links *links);
static gboolean random_chance_ (Links *links, double share);
static gboolean
transmit_ (Links *links, int balancer, const guint8 *packet, gsize length);
static void
trace_packet_ (const Links *links, int balancer, const guint8 *packet, gsize length);
static void deliver_ (Links *links, int balancer, const guint8 *packet, gsize length);
static void enqueue_ (Links *links, int balancer, const guint8 *packet, gsize length);
static gboolean dispatch_ (GSource *source, GSourceFunc callback, gpointer user_data);
static gboolean deliver_due_ (gpointer user_data);
static gboolean poll_readiness_ (gpointer user_data);
static void readiness_polled_ (GObject *source, GAsyncResult *result, gpointer user_data);

static GSourceFuncs source_funcs_ = { .dispatch = dispatch_ };

/* Creates the network and binds the UDP socket that companions send their replies to. */
Links *
links_new (const DpAddress *udp,
           const LinkFaults *faults,
           LinksPacketFunc received,
           gpointer user_data,
           GError **error)
{
  Links *links = g_new0 (Links, 1);

  links->faults = *faults;
  links->received = received;
  links->user_data = user_data;
  g_queue_init (&links->in_flight);
  links->port = dp_udp_port_new (udp, reply_received_, links, error);
  if (links->port == NULL)
    {
      g_free (links);
      return NULL;
    }
  links->rand = g_rand_new_with_seed (faults->seed);
  links->session = soup_session_new_with_options ("timeout", POLL_TIMEOUT_S, NULL);
  links->source = g_source_new (&source_funcs_, sizeof (GSource));
  g_source_set_callback (links->source, deliver_due_, links, NULL);
  g_source_attach (links->source, NULL);
  links->poll_timer = g_timeout_add (POLL_MS, poll_readiness_, links);
  return links;
}

void
links_free (Links *links)
{
  g_source_remove (links->poll_timer);
  soup_session_abort (links->session);
  g_object_unref (links->session);
  g_source_destroy (links->source);
  g_source_unref (links->source);
  g_queue_clear_full (&links->in_flight, g_free);
  dp_packet_port_free (links->port);
  g_rand_free (links->rand);
  for (guint i = 0; i < links->n_balancers; i++)
    {
      g_free (links->balancers[i].name);
      g_free (links->balancers[i].ready_url);
    }
  g_free (links);
}

/* Adds a balancer: IP:PORT/HTTPPORT, or IP:PORT for one that counts as always ready.
 * Returns FALSE if spec is invalid or there are LINKS_BALANCERS_MAX already. */
gboolean
links_add_balancer (Links *links, const char *spec)
{
  g_auto (GStrv) parts = g_strsplit (spec, "/", 2);
  Balancer *balancer = &links->balancers[links->n_balancers];

  if (links->n_balancers == LINKS_BALANCERS_MAX
      || !dp_address_parse (parts[0], &balancer->address, NULL))
    return FALSE;
  balancer->links = links;
  balancer->name = g_strdup (parts[0]);
  balancer->ready = parts[1] == NULL;
  if (parts[1] != NULL)
    {
      g_autofree char *ip = g_strndup (parts[0], strcspn (parts[0], ":"));

      balancer->ready_url = g_strdup_printf ("http://%s:%s/ready", ip, parts[1]);
    }
  links->n_balancers++;
  poll_readiness_ (links);
  return TRUE;
}

/* Sends a client's packet to a random ready balancer. */
int
links_send (Links *links, const guint8 *packet, gsize length)
{
  int balancer = choose_balancer_ (links);

  if (balancer < 0)
    links->no_balancer++;
  else if (transmit_ (links, balancer, packet, length))
    return balancer;
  return -1;
}

/* Adds the counters as members to the JSON object that builder has begun. */
void
links_format (Links *links, JsonBuilder *builder)
{
  const struct
  {
    const char *name;
    guint64 value;
  } counters[] = { { "replies", links->replies },
                   { "lost", links->lost },
                   { "duplicated", links->duplicated },
                   { "reordered", links->reordered },
                   { "no_balancer", links->no_balancer } };

  for (guint i = 0; i < G_N_ELEMENTS (counters); i++)
    {
      json_builder_set_member_name (builder, counters[i].name);
      json_builder_add_int_value (builder, (gint64) counters[i].value);
    }
  json_builder_set_member_name (builder, "packets");
  json_builder_begin_object (builder);
  for (guint i = 0; i < links->n_balancers; i++)
    {
      json_builder_set_member_name (builder, links->balancers[i].name);
      json_builder_add_int_value (builder, (gint64) links->balancers[i].packets);
    }
  json_builder_end_object (builder);
}

static void
reply_received_ (const DpAddress *source, guint8 *data, gsize length, gpointer user_data)
{
  Links *links = user_data;

  if (length > DP_PACKET_MAX)
    return;
  links->replies++;
  transmit_ (links, -1, data, length);
}

/* Returns a random ready balancer, -1 if there is none. */
static int
choose_balancer_ (Links *links)
{
  guint n_ready = 0;
  int chosen = -1;

  for (guint i = 0; i < links->n_balancers; i++)
    {
      if (!links->balancers[i].ready)
        continue;
      n_ready++;
      if (g_rand_int_range (links->rand, 0, (gint32) n_ready) == 0)
        chosen = (int) i;
    }
  return chosen;
}

static gboolean
random_chance_ (Links *links, double share)
{
  return share > 0 && g_rand_double (links->rand) < share;
}

/* Sends one packet over the network, to a balancer or (-1) to a client. Returns FALSE if
 * it is lost. */
static gboolean
transmit_ (Links *links, int balancer, const guint8 *packet, gsize length)
{
  if (random_chance_ (links, links->faults.loss)
      || links->in_flight.length >= IN_FLIGHT_MAX)
    {
      links->lost++;
      return FALSE;
    }
  if (random_chance_ (links, links->faults.duplicate))
    {
      links->duplicated++;
      enqueue_ (links, balancer, packet, length);
    }
  enqueue_ (links, balancer, packet, length);
  return TRUE;
}

/* Writes a trace span for a packet of a sampled flow. The trace id is the same in all
 * processes: the hash of the flow key in the direction from client to service. */
static void
trace_packet_ (const Links *links, int balancer, const guint8 *packet, gsize length)
{
  DpSegment segment;

  if (links->faults.trace_sample == 0
      || !dp_segment_parse (packet, length, &segment, NULL))
    return;
  if (balancer < 0)
    {
      DpAddress service = segment.key.client;

      segment.key.client = segment.key.service;
      segment.key.service = service;
      segment.hash = dp_flow_key_hash (&segment.key);
    }
  if ((guint32) segment.hash % links->faults.trace_sample == 0)
    dp_trace_span (segment.hash, "fabric", "fabric", &segment,
                   balancer < 0 ? "client" : links->balancers[balancer].name);
}

static void
deliver_ (Links *links, int balancer, const guint8 *packet, gsize length)
{
  trace_packet_ (links, balancer, packet, length);
  if (balancer < 0)
    {
      links->received (packet, length, links->user_data);
      return;
    }
  links->balancers[balancer].packets++;
  dp_packet_port_send (links->port, &links->balancers[balancer].address, packet, length);
}

/* Queues the packet for delivery after its delay. A packet without delay is queued as
 * well, as the TCP/IP stack is not reentrant: it can't receive a packet while it sends
 * one. */
static void
enqueue_ (Links *links, int balancer, const guint8 *packet, gsize length)
{
  Packet *p = g_malloc (sizeof *p + length);
  GList *after = links->in_flight.tail;

  p->due = g_get_monotonic_time () + links->faults.delay_ms * DP_US_PER_MS;
  if (links->faults.jitter_ms > 0)
    p->due += g_rand_int_range (links->rand, 0,
                                (gint32) (links->faults.jitter_ms * DP_US_PER_MS));
  if (random_chance_ (links, links->faults.reorder))
    {
      links->reordered++;
      p->due += REORDER_US;
    }
  p->balancer = balancer;
  p->length = (guint16) length;
  memcpy (p->data, packet, length);
  while (after != NULL && ((Packet *) after->data)->due > p->due)
    after = after->prev;
  g_queue_insert_after (&links->in_flight, after, p);
  if (after == NULL)
    g_source_set_ready_time (links->source, p->due);
}

static gboolean
dispatch_ (GSource *source, GSourceFunc callback, gpointer user_data)
{
  return callback (user_data);
}

static gboolean
deliver_due_ (gpointer user_data)
{
  Links *links = user_data;
  gint64 now = g_get_monotonic_time ();
  Packet *p;

  while ((p = g_queue_peek_head (&links->in_flight)) != NULL && p->due <= now)
    {
      g_queue_pop_head (&links->in_flight);
      deliver_ (links, p->balancer, p->data, p->length);
      g_free (p);
    }
  g_source_set_ready_time (links->source, p != NULL ? p->due : -1);
  return G_SOURCE_CONTINUE;
}

/* Requests /ready from each balancer. */
static gboolean
poll_readiness_ (gpointer user_data)
{
  Links *links = user_data;

  for (guint i = 0; i < links->n_balancers; i++)
    {
      Balancer *balancer = &links->balancers[i];
      g_autoptr (SoupMessage) message = NULL;

      if (balancer->ready_url == NULL || balancer->poll_pending)
        continue;
      message = soup_message_new ("GET", balancer->ready_url);
      balancer->poll_pending = TRUE;
      soup_session_send_and_read_async (links->session, message, G_PRIORITY_HIGH, NULL,
                                        readiness_polled_, balancer);
    }
  return G_SOURCE_CONTINUE;
}

static void
readiness_polled_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Balancer *balancer = user_data;
  SoupSession *session = SOUP_SESSION (source);
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (session, result, NULL);
  SoupMessage *message = soup_session_get_async_result_message (session, result);

  balancer->poll_pending = FALSE;
  balancer->ready = body != NULL && soup_message_get_status (message) == SOUP_STATUS_OK;
}
