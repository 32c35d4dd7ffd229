#include "protected/topology.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "protected/json.h"

struct _DpTopology
{
  GPtrArray *balancers; /* DpTopologyBalancer, in order of zone, then rank */
};

/* Parameters of a choice of watchers. */
typedef struct
{
  guint64 seed;
  const char *excluded; /* name of a balancer that is not eligible, or "" */
  const char *region;   /* NULL for any */
} WatcherChoice;

static DpTopologyBalancer *parse_balancer_ (const DpRecord *record);
static gboolean
parse_address_ (JsonObject *object, guint32 ip, const char *key, DpAddress *address);
static void balancer_free_ (gpointer data);
static gint compare_ranks_ (gconstpointer a, gconstpointer b);
static gint compare_names_by_rank_ (const char *a, const char *b);
static guint64 hash_ (const char *text, guint64 seed);
static const DpTopologyBalancer *
balancer_at_rank_ (const DpTopology *topology, const char *zone, guint rank);
static void
add_upstream_ (GPtrArray *list, const DpTopologyBalancer *balancer, const char *self);
static const DpTopologyBalancer *best_watcher_ (const DpTopology *topology,
                                                const WatcherChoice *choice,
                                                const DpTopologyBalancer *const *watchers,
                                                guint n,
                                                gboolean new_zone);
static gboolean is_chosen_ (const DpTopologyBalancer *const *watchers,
                            guint n,
                            const DpTopologyBalancer *balancer,
                            gboolean compare_zones);

/* Creates a topology from the registered balancers. */
DpTopology *
dp_topology_new (const DpReplica *replica)
{
  DpTopology *topology = g_new0 (DpTopology, 1);
  g_autoptr (GPtrArray) records = dp_replica_list (replica, DP_KIND_BALANCER);

  topology->balancers = g_ptr_array_new_with_free_func (balancer_free_);
  for (guint i = 0; i < records->len; i++)
    {
      DpTopologyBalancer *balancer = parse_balancer_ (g_ptr_array_index (records, i));

      if (balancer != NULL)
        g_ptr_array_add (topology->balancers, balancer);
    }
  g_ptr_array_sort (topology->balancers, compare_ranks_);
  return topology;
}

/* Frees the topology. */
void
dp_topology_free (DpTopology *topology)
{
  if (topology == NULL)
    return;
  g_ptr_array_unref (topology->balancers);
  g_free (topology);
}

/* Returns the number of registered balancers. */
guint
dp_topology_size (const DpTopology *topology)
{
  return topology->balancers->len;
}

/* Returns the registered balancer at a position below dp_topology_size (). */
const DpTopologyBalancer *
dp_topology_at (const DpTopology *topology, guint i)
{
  return g_ptr_array_index (topology->balancers, i);
}

/* Returns the registered balancer with the name, or NULL. */
const DpTopologyBalancer *
dp_topology_find (const DpTopology *topology, const char *name)
{
  for (guint i = 0; i < topology->balancers->len; i++)
    {
      const DpTopologyBalancer *balancer = dp_topology_at (topology, i);

      if (g_str_equal (balancer->name, name))
        return balancer;
    }
  return NULL;
}

/* Returns the number of registered balancers in the zone that rank before the name. */
guint
dp_topology_rank (const DpTopology *topology, const char *name, const char *zone)
{
  guint rank = 0;

  for (guint i = 0; i < topology->balancers->len; i++)
    {
      const DpTopologyBalancer *balancer = dp_topology_at (topology, i);

      if (g_str_equal (balancer->zone, zone)
          && compare_names_by_rank_ (balancer->name, name) < 0)
        rank++;
    }
  return rank;
}

/* Returns the balancers to subscribe to, in order of preference: the parent, its
 * ancestors up to a root, the roots of the zone, then the roots of the other zones. The
 * list of a root begins with the other root of the zone. The balancer itself is left out.
 * The caller frees the array. */
GPtrArray *
dp_topology_upstreams (const DpTopology *topology, const char *name, const char *zone)
{
  GPtrArray *list = g_ptr_array_new ();
  guint rank = dp_topology_rank (topology, name, zone);
  const char *previous_zone = NULL;

  while (rank >= DP_TOPOLOGY_ROOTS)
    {
      rank = (rank - DP_TOPOLOGY_ROOTS) / DP_TOPOLOGY_FAN_OUT;
      add_upstream_ (list, balancer_at_rank_ (topology, zone, rank), name);
    }
  for (guint i = 0; i < DP_TOPOLOGY_ROOTS; i++)
    add_upstream_ (list, balancer_at_rank_ (topology, zone, i), name);
  for (guint i = 0; i < topology->balancers->len; i++)
    {
      const DpTopologyBalancer *balancer = dp_topology_at (topology, i);

      rank = g_strcmp0 (previous_zone, balancer->zone) == 0 ? rank + 1 : 0;
      previous_zone = balancer->zone;
      if (rank < DP_TOPOLOGY_ROOTS)
        add_upstream_ (list, balancer, name);
    }
  return list;
}

/* Chooses the watchers by rendezvous hashing: first one per zone, then the rest. If a
 * balancer of the member's zone is known, all watchers are in the region of that zone,
 * since watchers in another region would agree that a live member has failed when the
 * connection between the regions is lost. A balancer does not watch itself. Returns the
 * number of watchers, which is below DP_TOPOLOGY_WATCHERS if too few are eligible. */
guint
dp_topology_watchers (const DpTopology *topology,
                      const char *service,
                      const char *member,
                      const char *zone,
                      const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS])
{
  const DpTopologyBalancer *zone_balancer = balancer_at_rank_ (topology, zone, 0);
  const WatcherChoice choice = {
    .seed = hash_ (member, hash_ (service, 0)),
    .excluded = service[0] == '\0' ? member : "",
    .region = zone_balancer == NULL ? NULL : zone_balancer->region,
  };
  guint n = 0;

  for (guint pass = 0; pass < 2; pass++)
    {
      const DpTopologyBalancer *best;

      while (n < DP_TOPOLOGY_WATCHERS
             && (best = best_watcher_ (topology, &choice, watchers, n, pass == 0))
                    != NULL)
        watchers[n++] = best;
    }
  return n;
}

static DpTopologyBalancer *
parse_balancer_ (const DpRecord *record)
{
  g_autoptr (JsonNode) value = dp_record_value (record);
  JsonObject *object = dp_json_get_object (value);
  const char *zone = dp_json_get_string (object, "zone");
  const char *region = dp_json_get_string (object, "region");
  const char *ip_text = dp_json_get_string (object, "ip");
  DpTopologyBalancer parsed = { 0 };
  guint32 ip;

  if (zone == NULL || ip_text == NULL || !dp_ip_parse (ip_text, &ip, NULL)
      || !parse_address_ (object, ip, "data_port", &parsed.data_address)
      || !parse_address_ (object, ip, "control_port", &parsed.control_address)
      || !parse_address_ (object, ip, "http_port", &parsed.http_address)
      || !dp_json_get_uint (object, "incarnation", &parsed.incarnation))
    return NULL;
  parsed.name = g_strdup (record->name);
  parsed.zone = g_strdup (zone);
  parsed.region = g_strdup (region == NULL ? "" : region);
  return g_memdup2 (&parsed, sizeof parsed);
}

static gboolean
parse_address_ (JsonObject *object, guint32 ip, const char *key, DpAddress *address)
{
  guint64 port;

  if (!dp_json_get_uint (object, key, &port) || port == 0 || port > G_MAXUINT16)
    return FALSE;
  address->ip = ip;
  address->port = (guint16) port;
  return TRUE;
}

static void
balancer_free_ (gpointer data)
{
  DpTopologyBalancer *balancer = data;

  g_free (balancer->name);
  g_free (balancer->zone);
  g_free (balancer->region);
  g_free (balancer);
}

static gint
compare_ranks_ (gconstpointer a, gconstpointer b)
{
  const DpTopologyBalancer *x = *(const DpTopologyBalancer *const *) a;
  const DpTopologyBalancer *y = *(const DpTopologyBalancer *const *) b;
  gint order = strcmp (x->zone, y->zone);

  return order != 0 ? order : compare_names_by_rank_ (x->name, y->name);
}

static gint
compare_names_by_rank_ (const char *a, const char *b)
{
  guint64 x = hash_ (a, 0);
  guint64 y = hash_ (b, 0);

  return x == y ? strcmp (a, b) : (x > y) - (x < y);
}

static guint64
hash_ (const char *text, guint64 seed)
{
  return XXH64 (text, strlen (text), seed);
}

static const DpTopologyBalancer *
balancer_at_rank_ (const DpTopology *topology, const char *zone, guint rank)
{
  for (guint i = 0; i < topology->balancers->len; i++)
    {
      const DpTopologyBalancer *balancer = dp_topology_at (topology, i);

      if (!g_str_equal (balancer->zone, zone))
        continue;
      if (rank == 0)
        return balancer;
      rank--;
    }
  return NULL;
}

static void
add_upstream_ (GPtrArray *list, const DpTopologyBalancer *balancer, const char *self)
{
  if (balancer == NULL || g_str_equal (balancer->name, self)
      || g_ptr_array_find (list, balancer, NULL))
    return;
  g_ptr_array_add (list, (gpointer) balancer);
}

/* Returns the eligible balancer with the highest weight that is not chosen yet, or NULL.
 * With new_zone, its zone must not have a chosen watcher yet either. */
static const DpTopologyBalancer *
best_watcher_ (const DpTopology *topology,
               const WatcherChoice *choice,
               const DpTopologyBalancer *const *watchers,
               guint n,
               gboolean new_zone)
{
  const DpTopologyBalancer *best = NULL;
  guint64 best_weight = 0;

  for (guint i = 0; i < topology->balancers->len; i++)
    {
      const DpTopologyBalancer *balancer = dp_topology_at (topology, i);
      guint64 weight = hash_ (balancer->name, choice->seed);

      if ((best != NULL && weight <= best_weight)
          || g_str_equal (balancer->name, choice->excluded)
          || (choice->region != NULL && !g_str_equal (balancer->region, choice->region))
          || is_chosen_ (watchers, n, balancer, new_zone))
        continue;
      best = balancer;
      best_weight = weight;
    }
  return best;
}

/* Returns whether the balancer is among the watchers or, with compare_zones, whether any
 * balancer of its zone is. */
static gboolean
is_chosen_ (const DpTopologyBalancer *const *watchers,
            guint n,
            const DpTopologyBalancer *balancer,
            gboolean compare_zones)
{
  for (guint i = 0; i < n; i++)
    {
      if (watchers[i] == balancer
          || (compare_zones && g_str_equal (watchers[i]->zone, balancer->zone)))
        return TRUE;
    }
  return FALSE;
}
