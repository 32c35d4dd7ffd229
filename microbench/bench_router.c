/* Measures a balancer's decision at today's size and at the later one: one JSON line per
 * size. Every decision is for another random flow. */
#include <stdio.h>

#include "protected/router.h"

#define N_FLOWS (1u << 20)
#define ROUNDS 5
#define MEMBER_SLOTS 4
#define SYN_ONE_IN 16

typedef struct
{
  const char *name;
  guint n_services;
  guint n_addresses;
  guint n_members;
} Size;

static void build_ (DpRouter *router, const Size *size);
static DpSegment *make_segments_ (const Size *size);
static double measure_ (DpRouter *router, const DpSegment *segments, guint64 *sum);

static const Size sizes_[] = {
  { "today", 2, 4, 10 },
  { "later, one service", 1, 3100, 7100 },
  { "later, 70 services", 70, 3100, 7100 },
  { "later, 1550 services", 1550, 3100, 7100 },
};

int
main (void)
{
  double today = 0;

  for (guint i = 0; i < G_N_ELEMENTS (sizes_); i++)
    {
      g_autoptr (DpRouter) router = dp_router_new ();
      g_autofree DpSegment *segments = make_segments_ (&sizes_[i]);
      gint64 start = g_get_monotonic_time ();
      guint64 sum = 0;
      double build_ms;
      double ns;

      build_ (router, &sizes_[i]);
      build_ms = (double) (g_get_monotonic_time () - start) / 1000;
      ns = measure_ (router, segments, &sum);
      if (i == 0)
        today = ns;
      printf ("{\"bench\":\"router\",\"size\":\"%s\",\"services\":%u,\"addresses\":%u,"
              "\"members\":%u,\"ns\":%.1f,\"ratio\":%.2f,\"bytes\":%zu,"
              "\"build_ms\":%.1f,\"sum\":%u}\n",
              sizes_[i].name, sizes_[i].n_services, sizes_[i].n_addresses,
              sizes_[i].n_members, ns, ns / today, dp_router_bytes (router), build_ms,
              (guint32) sum);
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
      g_autoptr (GArray) addresses = g_array_new (FALSE, FALSE, sizeof (DpAddress));
      g_autoptr (GArray) members = g_array_new (FALSE, TRUE, sizeof (DpMember));
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
      g_autoptr (DpView) view = NULL;

      for (guint i = s; i < size->n_addresses; i += size->n_services)
        {
          DpAddress address = address_ (i);

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
      view = dp_view_new (name, 1, (const DpMember *) (void *) members->data,
                          members->len);
      dp_router_set_view (router, view);
      dp_router_set_addresses (router, name, (const DpAddress *) (void *) addresses->data,
                               addresses->len);
    }
}

static DpSegment *
make_segments_ (const Size *size)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  DpSegment *segments = g_new0 (DpSegment, N_FLOWS);

  for (guint i = 0; i < N_FLOWS; i++)
    {
      DpSegment *s = &segments[i];

      s->key.client.ip = g_rand_int (rand);
      s->key.client.port = (guint16) g_rand_int (rand);
      s->key.service = address_ (
          (guint) g_rand_int_range (rand, 0, (gint32) size->n_addresses));
      s->hash = dp_flow_key_hash (&s->key);
      s->flags = i % SYN_ONE_IN == 0 ? DP_TCP_SYN : DP_TCP_ACK;
    }
  return segments;
}

/* Returns the shortest round's time per decision in ns. */
static double
measure_ (DpRouter *router, const DpSegment *segments, guint64 *sum)
{
  double best = G_MAXDOUBLE;

  for (guint round = 0; round < ROUNDS; round++)
    {
      gint64 start = g_get_monotonic_time ();
      double ns;

      for (guint i = 0; i < N_FLOWS; i++)
        {
          DpRoute route;

          if (dp_router_route (router, &segments[i], &route) == DP_ROUTE_FORWARD)
            *sum += route.header.visited[0];
        }
      ns = (double) (g_get_monotonic_time () - start) * 1000 / N_FLOWS;
      best = MIN (best, ns);
    }
  return best;
}
