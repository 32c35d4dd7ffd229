/* Measures a balancer's routing decision at today's size of the site and at later ones.
 * Prints one JSON line per size. Each decision is for another random flow.
 *
 * "route_ns" is the mean time of dp_router_route () alone, called back to back. The
 * tables of today's size then stay in the first-level cache, which they don't when
 * packets are received and sent in between. "cold_ns" is the median time of single calls,
 * each after touching about as much other memory as a receive and a send do. "packet_ns"
 * is the mean time of the whole decision for a packet, from its bytes to the encoded
 * header, back to back. The ratios are relative to today's size. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "protected/router.h"

#define N_FLOWS (1u << 18) /* in a round */
#define ROUNDS 20
#define MEMBER_SLOTS 4
#define SYN_ONE_IN 16
#define N_COLD 2000
#define EVICTION_BYTES (256u << 10)
#define CACHE_LINE 64
#define PACKET_BYTES 40

typedef struct
{
  const char *name;
  guint n_services;
  guint n_addresses;
  guint n_members;
} Size;

/* Times in ns per packet. */
typedef struct
{
  double route;
  double cold;
  double packet;
} Costs;

static void build_ (DpRouter *router, const Size *size);
static DpAddress address_ (guint i);
static DpSegment next_segment_ (guint64 *state, const Size *size);
static void measure_ (DpRouter *router,
                      const Size *size,
                      guint64 *state,
                      Costs *costs,
                      guint64 *checksum);
static double
measure_routes_ (DpRouter *router, const Size *size, guint64 *state, guint64 *checksum);
static double
measure_cold_ (DpRouter *router, const Size *size, guint64 *state, guint64 *checksum);
static double
measure_packets_ (DpRouter *router, const Size *size, guint64 *state, guint64 *checksum);
static void put_packet_ (guint8 *packet, const DpSegment *segment);
static int compare_doubles_ (gconstpointer a, gconstpointer b);
static double now_ns_ (void);

static const Size sizes_[] = {
  { "today", 2, 4, 10 },
  { "later, one service", 1, 3100, 7100 },
  { "later, 70 services", 70, 3100, 7100 },
  { "later, 1550 services", 1550, 3100, 7100 },
};

int
main (void)
{
  DpRouter *routers[G_N_ELEMENTS (sizes_)];
  double build_ms[G_N_ELEMENTS (sizes_)];
  Costs costs[G_N_ELEMENTS (sizes_)];
  guint64 state = 1;
  guint64 checksum = 0;

  for (guint i = 0; i < G_N_ELEMENTS (sizes_); i++)
    {
      double start = now_ns_ ();

      routers[i] = dp_router_new ();
      build_ (routers[i], &sizes_[i]);
      build_ms[i] = (now_ns_ () - start) / 1e6;
      costs[i] = (Costs){ G_MAXDOUBLE, G_MAXDOUBLE, G_MAXDOUBLE };
    }
  /* Each round measures every size once, so that other load on the machine affects all of
   * them. The shortest round counts. */
  for (guint round = 0; round < ROUNDS; round++)
    {
      for (guint i = 0; i < G_N_ELEMENTS (sizes_); i++)
        measure_ (routers[i], &sizes_[i], &state, &costs[i], &checksum);
    }
  for (guint i = 0; i < G_N_ELEMENTS (sizes_); i++)
    {
      printf ("{\"bench\":\"router\",\"size\":\"%s\",\"services\":%u,\"addresses\":%u,"
              "\"members\":%u,\"route_ns\":%.1f,\"route_ratio\":%.2f,"
              "\"cold_ns\":%.1f,\"cold_ratio\":%.2f,\"packet_ns\":%.1f,"
              "\"packet_ratio\":%.2f,\"bytes\":%zu,\"build_ms\":%.1f,\"sum\":%u}\n",
              sizes_[i].name, sizes_[i].n_services, sizes_[i].n_addresses,
              sizes_[i].n_members, costs[i].route, costs[i].route / costs[0].route,
              costs[i].cold, costs[i].cold / costs[0].cold, costs[i].packet,
              costs[i].packet / costs[0].packet, dp_router_bytes (routers[i]),
              build_ms[i], (guint32) checksum);
      dp_router_free (routers[i]);
    }
  return 0;
}

static DpAddress
address_ (guint i)
{
  return (DpAddress){ .ip = 0x0a4d0001 + i, .port = 80 };
}

static void
build_ (DpRouter *router, const Size *size)
{
  for (guint s = 0; s < size->n_services; s++)
    {
      g_autofree char *name = g_strdup_printf ("service-%u", s);
      g_autoptr (GArray)
          addresses = g_array_new (FALSE, FALSE, sizeof (DpServiceAddress));
      g_autoptr (GArray) members = g_array_new (FALSE, TRUE, sizeof (DpMember));
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
      g_autoptr (DpMemberView) view = NULL;

      for (guint i = s; i < size->n_addresses; i += size->n_services)
        {
          DpServiceAddress address = { address_ (i), DP_TRAFFIC_INTERACTIVE, 0 };

          g_array_append_val (addresses, address);
        }
      for (guint i = s; i < size->n_members; i += size->n_services)
        {
          DpMember m = { .name = g_strdup_printf ("host-%u", i),
                         .zone = "a",
                         .address = { 0x7f010000 + i, 7000 },
                         .slots = MEMBER_SLOTS,
                         .connections = 2000,
                         .state = DP_MEMBER_ACTIVE };

          g_ptr_array_add (names, m.name);
          g_array_append_val (members, m);
        }
      view = dp_member_view_new (name, 1, (const DpMember *) (void *) members->data,
                                 members->len);
      dp_router_set_view (router, view);
      dp_router_set_addresses (router, name,
                               (const DpServiceAddress *) (void *) addresses->data,
                               addresses->len);
    }
}

/* Makes the packet of the next flow. Flows come from a generator (xorshift64) instead of
 * a table, which would evict the router's tables from the caches. */
static DpSegment
next_segment_ (guint64 *state, const Size *size)
{
  DpSegment s = { 0 };

  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  s.key.client.ip = (guint32) *state;
  s.key.client.port = (guint16) (*state >> 32);
  s.key.service = address_ ((guint) ((*state >> 48) * size->n_addresses >> 16));
  s.hash = *state * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  s.flags = *state % SYN_ONE_IN == 0 ? DP_TCP_SYN : DP_TCP_ACK;
  return s;
}

/* Runs one round and keeps the lowest costs so far. */
static void
measure_ (DpRouter *router,
          const Size *size,
          guint64 *state,
          Costs *costs,
          guint64 *checksum)
{
  costs->route = MIN (costs->route, measure_routes_ (router, size, state, checksum));
  costs->cold = MIN (costs->cold, measure_cold_ (router, size, state, checksum));
  costs->packet = MIN (costs->packet, measure_packets_ (router, size, state, checksum));
}

static double
measure_routes_ (DpRouter *router, const Size *size, guint64 *state, guint64 *checksum)
{
  double start = now_ns_ ();

  for (guint i = 0; i < N_FLOWS; i++)
    {
      DpSegment segment = next_segment_ (state, size);
      DpRoute route;

      if (dp_router_route (router, &segment, &route) == DP_ROUTE_FORWARD)
        *checksum += route.header.visited[0];
    }
  return (now_ns_ () - start) / N_FLOWS;
}

/* Returns the median time of single decisions, less the time of reading the clock. */
static double
measure_cold_ (DpRouter *router, const Size *size, guint64 *state, guint64 *checksum)
{
  static guint8 eviction_buffer[EVICTION_BYTES];
  static double times[N_COLD];
  static double clock_times[N_COLD];

  for (guint i = 0; i < N_COLD; i++)
    {
      DpSegment segment = next_segment_ (state, size);
      DpRoute route = { 0 };
      double start;

      for (guint j = 0; j < EVICTION_BYTES; j += CACHE_LINE)
        eviction_buffer[j]++;
      start = now_ns_ ();
      clock_times[i] = now_ns_ () - start;
      start = now_ns_ ();
      dp_router_route (router, &segment, &route);
      times[i] = now_ns_ () - start;
      *checksum += route.header.visited[0];
    }
  qsort (times, N_COLD, sizeof (double), compare_doubles_);
  qsort (clock_times, N_COLD, sizeof (double), compare_doubles_);
  return times[N_COLD / 2] - clock_times[N_COLD / 2];
}

static double
measure_packets_ (DpRouter *router, const Size *size, guint64 *state, guint64 *checksum)
{
  guint8 packet[PACKET_BYTES] = { 0 };
  double start = now_ns_ ();

  for (guint i = 0; i < N_FLOWS; i++)
    {
      DpSegment segment = next_segment_ (state, size);
      guint8 buffer[DP_HEADER_MAX];
      DpRoute route;

      put_packet_ (packet, &segment);
      if (!dp_segment_parse (packet, PACKET_BYTES, &segment, NULL)
          || dp_router_route (router, &segment, &route) != DP_ROUTE_FORWARD)
        abort ();
      route.header.reply_to = (DpAddress){ 0x7f000001, 7000 };
      *checksum += dp_header_encode (&route.header, buffer, sizeof buffer);
    }
  return (now_ns_ () - start) / N_FLOWS;
}

static void
put_packet_ (guint8 *packet, const DpSegment *segment)
{
  const guint32 ips[2] = { GUINT32_TO_BE (segment->key.client.ip),
                           GUINT32_TO_BE (segment->key.service.ip) };
  const guint16 ports[2] = { GUINT16_TO_BE (segment->key.client.port),
                             GUINT16_TO_BE (segment->key.service.port) };

  packet[0] = 0x45;
  packet[3] = PACKET_BYTES;
  packet[9] = 6;
  memcpy (packet + 12, ips, sizeof ips);
  memcpy (packet + 20, ports, sizeof ports);
  packet[32] = 0x50;
  packet[33] = segment->flags;
}

static int
compare_doubles_ (gconstpointer a, gconstpointer b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
now_ns_ (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double) t.tv_sec * 1e9 + (double) t.tv_nsec;
}
