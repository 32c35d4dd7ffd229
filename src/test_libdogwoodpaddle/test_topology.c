/* Guards against distribution trees that differ between processes or have cycles,
 * balancers with too many subscribers, and members whose watchers share an availability
 * zone needlessly. */
#include "protected/topology.h"

#include "runner.h"

#define N_BALANCERS 1300
#define N_ZONES 6
#define ZONES_PER_REGION 3

static void
add_balancer (DpReplica *replica,
              const char *name,
              const char *zone,
              const char *region,
              guint port)
{
  g_autofree char *json = g_strdup_printf (
      "{\"zone\":\"%s\",\"region\":\"%s\",\"ip\":\"127.0.0.1\",\"data_port\":%u,"
      "\"control_port\":%u,"
      "\"http_port\":%u,\"incarnation\":1}",
      zone, region, port, port + 1, port + 2);
  DpRecord *record = dp_record_new (DP_KIND_BALANCER, name, port, FALSE, json, NULL);

  dp_replica_apply (replica, record);
  dp_record_unref (record);
}

static DpTopology *
make_topology (guint n_balancers, guint n_zones)
{
  g_autoptr (DpReplica) replica = dp_replica_new ();

  for (guint i = 0; i < n_balancers; i++)
    {
      g_autofree char *name = g_strdup_printf ("b%u", i);
      g_autofree char *zone = g_strdup_printf ("z%u", i % n_zones);

      add_balancer (replica, name, zone, i % n_zones < ZONES_PER_REGION ? "r0" : "r1",
                    1000 + i * 3);
    }
  return dp_topology_new (replica);
}

static void
test_tree (void)
{
  g_autoptr (DpTopology) topology = make_topology (N_BALANCERS, N_ZONES);
  g_autoptr (GHashTable) children = g_hash_table_new (NULL, NULL);
  guint n_roots = 0;
  guint max_children = 0;

  CU_ASSERT_EQUAL_FATAL (dp_topology_size (topology), N_BALANCERS);
  for (guint i = 0; i < N_BALANCERS; i++)
    {
      const DpTopologyBalancer *balancer = dp_topology_at (topology, i);
      g_autoptr (GPtrArray)
          list = dp_topology_upstreams (topology, balancer->name, balancer->zone);
      gpointer parent = g_ptr_array_index (list, 0);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (children, parent)) + 1;

      CU_ASSERT_FALSE (g_ptr_array_find (list, balancer, NULL));
      CU_ASSERT_TRUE (list->len >= N_ZONES * DP_TOPOLOGY_ROOTS - 1);
      if (dp_topology_rank (topology, balancer->name, balancer->zone) < DP_TOPOLOGY_ROOTS)
        {
          n_roots++;
          continue;
        }
      CU_ASSERT_STRING_EQUAL (((DpTopologyBalancer *) parent)->zone, balancer->zone);
      CU_ASSERT_TRUE (dp_topology_rank (topology, ((DpTopologyBalancer *) parent)->name,
                                        balancer->zone)
                      < dp_topology_rank (topology, balancer->name, balancer->zone));
      g_hash_table_insert (children, parent, GUINT_TO_POINTER (n));
      max_children = MAX (max_children, n);
    }
  CU_ASSERT_EQUAL (n_roots, N_ZONES * DP_TOPOLOGY_ROOTS);
  CU_ASSERT_EQUAL (max_children, DP_TOPOLOGY_FAN_OUT);
}

typedef struct
{
  guint n_balancers;
  guint n_zones;
  guint n_watchers;
  guint n_watcher_zones;
} WatcherCase;

static guint
count_zones (const DpTopologyBalancer *const *watchers, guint n)
{
  g_autoptr (GHashTable) zones = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < n; i++)
    g_hash_table_add (zones, watchers[i]->zone);
  return g_hash_table_size (zones);
}

static void
test_watchers (void)
{
  static const WatcherCase cases[] = {
    { 0, 1, 0, 0 }, { 1, 1, 1, 1 }, { 2, 1, 2, 1 }, { 4, 1, 3, 1 },
    { 4, 2, 3, 2 }, { 3, 3, 3, 3 }, { 9, 3, 3, 3 }, { N_BALANCERS, N_ZONES, 3, 3 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const WatcherCase *c = &cases[i];
      g_autoptr (DpTopology) topology = make_topology (c->n_balancers, c->n_zones);
      const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS];
      guint n = dp_topology_watchers (topology, "darbnica", "darbnica-1", "", watchers);

      CU_ASSERT_EQUAL (n, c->n_watchers);
      CU_ASSERT_EQUAL (count_zones (watchers, n), c->n_watcher_zones);
    }
}

/* A balancer doesn't watch itself, and a member keeps those of its watchers that remain
 * registered. */
static void
test_watchers_stay (void)
{
  g_autoptr (DpTopology) all = make_topology (30, 3);
  g_autoptr (DpTopology) fewer = make_topology (27, 3);
  guint kept = 0;
  guint total = 0;

  for (guint i = 0; i < 30; i++)
    {
      const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS];
      const char *name = dp_topology_at (all, i)->name;
      guint n = dp_topology_watchers (all, "", name, "", watchers);

      for (guint j = 0; j < n; j++)
        CU_ASSERT_STRING_NOT_EQUAL (watchers[j]->name, name);
    }
  for (guint i = 0; i < 100; i++)
    {
      g_autofree char *member = g_strdup_printf ("m%u", i);
      const DpTopologyBalancer *before[DP_TOPOLOGY_WATCHERS];
      const DpTopologyBalancer *after[DP_TOPOLOGY_WATCHERS];

      dp_topology_watchers (all, "s", member, "", before);
      dp_topology_watchers (fewer, "s", member, "", after);
      for (guint j = 0; j < DP_TOPOLOGY_WATCHERS; j++)
        {
          if (dp_topology_find (fewer, before[j]->name) == NULL)
            continue;
          total++;
          for (guint k = 0; k < DP_TOPOLOGY_WATCHERS; k++)
            kept += g_str_equal (before[j]->name, after[k]->name);
        }
    }
  CU_ASSERT_TRUE (total > 200);
  CU_ASSERT_EQUAL (kept, total);
}

static void
test_malformed (void)
{
  static const char *const texts[] = {
    "{}",
    "[]",
    "null",
    "{\"zone\":\"z\",\"ip\":\"x\",\"data_port\":1,\"control_port\":1,\"http_port\":1,"
    "\"incarnation\":1}",
    "{\"zone\":\"z\",\"ip\":\"1.2.3.4\",\"data_port\":0,\"control_port\":1,"
    "\"http_port\":1,\"incarnation\":1}",
    "{\"zone\":\"z\",\"ip\":\"1.2.3.4\",\"data_port\":1,\"control_port\":65536,"
    "\"http_port\":1,\"incarnation\":1}",
    "{\"zone\":7,\"ip\":\"1.2.3.4\",\"data_port\":1,\"control_port\":1,"
    "\"http_port\":1,\"incarnation\":1}",
  };

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (DpReplica) replica = dp_replica_new ();
      g_autoptr (DpRecord)
          record = dp_record_new (DP_KIND_BALANCER, "b", 1, FALSE, texts[i], NULL);
      g_autoptr (DpTopology) topology = NULL;

      dp_replica_apply (replica, record);
      topology = dp_topology_new (replica);
      CU_ASSERT_EQUAL (dp_topology_size (topology), 0);
    }
}

/* When the connection between two regions is lost, they must not remove each other's
 * members. */
static void
test_regions (void)
{
  g_autoptr (DpTopology) topology = make_topology (60, N_ZONES);
  guint n_foreign = 0;

  for (guint i = 0; i < 200; i++)
    {
      const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS];
      g_autofree char *member = g_strdup_printf ("m%u", i);
      g_autofree char *zone = g_strdup_printf ("z%u", i % N_ZONES);
      const char *region = i % N_ZONES < ZONES_PER_REGION ? "r0" : "r1";

      CU_ASSERT_EQUAL (dp_topology_watchers (topology, "s", member, zone, watchers), 3);
      for (guint j = 0; j < DP_TOPOLOGY_WATCHERS; j++)
        {
          CU_ASSERT_STRING_EQUAL (watchers[j]->region, region);
          CU_ASSERT_STRING_NOT_EQUAL (watchers[j]->zone, watchers[(j + 1) % 3]->zone);
        }
      /* If no balancer of the member's zone is known, watchers may be in any region. */
      dp_topology_watchers (topology, "s", member, "elsewhere", watchers);
      for (guint j = 0; j < DP_TOPOLOGY_WATCHERS; j++)
        n_foreign += !g_str_equal (watchers[j]->region, region);
    }
  CU_ASSERT_TRUE (n_foreign > 0);
}

static const DpTestCase cases_[] = {
  { "watchers are in the member's region", test_regions },
  { "the tree does not exceed its fan-out and has no cycle", test_tree },
  { "watchers are in distinct zones", test_watchers },
  { "a member keeps its watchers when others leave", test_watchers_stay },
  { "malformed registrations are ignored", test_malformed },
};

DP_TEST_MAIN ("topology", cases_)
