/* Guards against a flow's order of members that changes when others join or leave, and
 * against shares of new flows that are not in proportion to the slots. */
#include "protected/candidates.h"
#include "protected/header.h"
#include "protected/segment.h"
#include "runner.h"

#define N_MAX 80
#define N_FLOWS 2000

static char names_[N_MAX][16];

static DpMemberView *
make_view (const guint *numbers, guint n, guint32 slots)
{
  DpMember members[N_MAX] = { 0 };

  for (guint i = 0; i < n; i++)
    {
      g_snprintf (names_[numbers[i]], sizeof names_[0], "host-%u", numbers[i]);
      members[i].name = names_[numbers[i]];
      members[i].slots = slots;
      members[i].connections = 2000;
      members[i].state = DP_MEMBER_ACTIVE;
    }
  return dp_member_view_new ("darbnica", 1, members, n);
}

static guint64
flow_hash (guint i)
{
  DpFlowKey key = { { 0x0a000000 + i, 40000 }, { 0x0a4d0001, 80 } };

  return dp_flow_key_hash (&key);
}

/* Writes up to DP_VISITED_MAX candidates to ids in the flow's order; returns how many. */
static guint
list_candidates (const DpCandidates *candidates,
                 guint64 hash,
                 DpCandidateSet set,
                 guint32 ids[DP_VISITED_MAX])
{
  guint n = 0;

  while (n < DP_VISITED_MAX)
    {
      const DpMember *m = dp_candidates_next (candidates, hash, set, ids, n);

      if (m == NULL)
        break;
      ids[n++] = m->id;
    }
  return n;
}

/* Removes the id from the list. Returns its new length. */
static guint
remove_id (guint32 *ids, guint n, guint32 id)
{
  guint n_left = 0;

  for (guint i = 0; i < n; i++)
    {
      if (ids[i] != id)
        ids[n_left++] = ids[i];
    }
  return n_left;
}

/* Compares the flows' orders of a view with those of a view that lacks one of its
 * members. */
static void
check_order_without (const guint *numbers, guint n, guint lacking)
{
  g_autoptr (DpMemberView) all = make_view (numbers, n, 4);
  guint fewer[N_MAX];
  guint n_fewer = 0;
  g_autoptr (DpMemberView) rest = NULL;
  g_autoptr (DpCandidates) a = dp_candidates_new (all);
  g_autoptr (DpCandidates) b = NULL;

  for (guint i = 0; i < n; i++)
    {
      if (numbers[i] != lacking)
        fewer[n_fewer++] = numbers[i];
    }
  rest = make_view (fewer, n_fewer, 4);
  b = dp_candidates_new (rest);
  for (guint i = 0; i < N_FLOWS; i++)
    {
      guint32 x[DP_VISITED_MAX];
      guint32 y[DP_VISITED_MAX];
      guint n_x = list_candidates (a, flow_hash (i), DP_CANDIDATES_ALL, x);
      guint n_y = list_candidates (b, flow_hash (i), DP_CANDIDATES_ALL, y);
      gboolean same = TRUE;

      n_x = remove_id (x, n_x, dp_member_id (names_[lacking]));
      for (guint j = 0; j < MIN (n_x, n_y); j++)
        same = same && x[j] == y[j];
      CU_ASSERT_TRUE (same);
      CU_ASSERT_TRUE (n_x + 1 >= n_y);
    }
}

/* The numbers of members cross powers of two, at which a table with a doubling number of
 * buckets would reorder the members. */
static void
test_order_is_stable (void)
{
  static const guint sizes[] = { 2, 3, 4, 5, 8, 9, 16, 17, 31, 32, 33, 64, 65, N_MAX };
  guint numbers[N_MAX];

  for (guint i = 0; i < N_MAX; i++)
    numbers[i] = i;
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      check_order_without (numbers, sizes[i], 0);
      check_order_without (numbers, sizes[i], sizes[i] / 2);
      check_order_without (numbers, sizes[i], sizes[i] - 1);
    }
}

static void
test_first_matches_next (void)
{
  guint numbers[10];
  g_autoptr (DpMemberView) view = NULL;
  g_autoptr (DpCandidates) candidates = NULL;

  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    numbers[i] = i;
  view = make_view (numbers, G_N_ELEMENTS (numbers), 2);
  view->members[3].state = DP_MEMBER_LEAVING;
  view->members[7].state = DP_MEMBER_JOINING;
  candidates = dp_candidates_new (view);
  for (guint i = 0; i < N_FLOWS; i++)
    {
      guint32 all[DP_VISITED_MAX];
      guint32 active[DP_VISITED_MAX];
      guint64 hash = flow_hash (i);

      CU_ASSERT_EQUAL (list_candidates (candidates, hash, DP_CANDIDATES_ALL, all), 10);
      CU_ASSERT_EQUAL (list_candidates (candidates, hash, DP_CANDIDATES_ACTIVE, active),
                       8);
      CU_ASSERT_EQUAL (dp_candidates_first (candidates, hash, DP_CANDIDATES_ALL)->id,
                       all[0]);
      CU_ASSERT_EQUAL (dp_candidates_first (candidates, hash, DP_CANDIDATES_ACTIVE)->id,
                       active[0]);
      CU_ASSERT_EQUAL (remove_id (all, 10, view->members[3].id), 9);
      CU_ASSERT_EQUAL (remove_id (all, 9, view->members[7].id), 8);
      for (guint j = 0; j < 8; j++)
        CU_ASSERT_EQUAL (all[j], active[j]);
    }
}

/* The index can't resolve flows that are very near to a point or behind many points of
 * their bucket; these are looked up in the ring. */
static void
test_first_is_exact (void)
{
  static const guint sizes[] = { 1, 2, 10, N_MAX };
  guint numbers[N_MAX];

  for (guint i = 0; i < N_MAX; i++)
    numbers[i] = i;
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      g_autoptr (DpMemberView) view = make_view (numbers, sizes[i], 4);
      g_autoptr (DpCandidates) candidates = dp_candidates_new (view);
      guint n_wrong = 0;

      for (guint j = 0; j < 200000; j++)
        {
          guint64 hash = flow_hash (j);
          const DpMember *first = dp_candidates_first (candidates, hash,
                                                       DP_CANDIDATES_ALL);
          const DpTarget *target = dp_candidates_first_target (candidates, hash,
                                                               DP_CANDIDATES_ALL);

          n_wrong += first
                     != dp_candidates_next (candidates, hash, DP_CANDIDATES_ALL, NULL, 0);
          n_wrong += target->id != first->id || target->ip != first->address.ip;
        }
      CU_ASSERT_EQUAL (n_wrong, 0);
    }
}

/* With far more slots than usual, the table's size stays limited and it has every
 * member. */
static void
test_size_limit (void)
{
  DpMember members[N_MAX] = { 0 };
  g_autoptr (DpMemberView) view = NULL;
  g_autoptr (DpCandidates) candidates = NULL;
  guint32 ids[DP_VISITED_MAX];

  for (guint i = 0; i < N_MAX; i++)
    {
      g_snprintf (names_[i], sizeof names_[0], "host-%u", i);
      members[i].name = names_[i];
      members[i].slots = i == 0 ? 0 : 100000;
      members[i].state = DP_MEMBER_ACTIVE;
    }
  view = dp_member_view_new ("darbnica", 1, members, N_MAX);
  candidates = dp_candidates_new (view);
  CU_ASSERT_TRUE (dp_candidates_bytes (candidates) < 28u << 20);
  CU_ASSERT_EQUAL (list_candidates (candidates, 1, DP_CANDIDATES_ALL, ids),
                   DP_VISITED_MAX);
}

static void
test_share_follows_slots (void)
{
  DpMember members[7] = { 0 };
  guint counts[7] = { 0 };
  g_autoptr (DpMemberView) view = NULL;
  g_autoptr (DpCandidates) candidates = NULL;
  const guint n_flows = 100000;

  for (guint i = 0; i < G_N_ELEMENTS (members); i++)
    {
      g_snprintf (names_[i], sizeof names_[0], "host-%u", i);
      members[i].name = names_[i];
      members[i].slots = i < 3 ? 8 : 4;
      members[i].state = DP_MEMBER_ACTIVE;
    }
  view = dp_member_view_new ("darbnica", 1, members, G_N_ELEMENTS (members));
  candidates = dp_candidates_new (view);
  for (guint i = 0; i < n_flows; i++)
    counts[dp_candidates_first (candidates, flow_hash (i), DP_CANDIDATES_ACTIVE)
           - view->members]++;
  for (guint i = 0; i < G_N_ELEMENTS (members); i++)
    {
      double share = (double) counts[i] / n_flows;
      double wanted = (double) view->members[i].slots / (3 * 8 + 4 * 4);

      CU_ASSERT_TRUE (share > wanted * 0.7 && share < wanted * 1.3);
    }
}

static void
test_none (void)
{
  guint32 visited[1] = { dp_member_id ("host-0") };
  guint number = 0;
  g_autoptr (DpMemberView) empty = make_view (&number, 0, 4);
  g_autoptr (DpMemberView) one = make_view (&number, 1, 4);
  g_autoptr (DpCandidates) none = dp_candidates_new (empty);
  g_autoptr (DpCandidates) candidates = NULL;
  const DpCandidateSet all_members = DP_CANDIDATES_ALL;
  const DpCandidateSet active_only = DP_CANDIDATES_ACTIVE;

  CU_ASSERT_PTR_NULL (dp_candidates_first (none, 1, all_members));
  CU_ASSERT_PTR_NULL (dp_candidates_next (none, 1, all_members, visited, 1));
  one->members[0].state = DP_MEMBER_LEAVING;
  candidates = dp_candidates_new (one);
  CU_ASSERT_PTR_NULL (dp_candidates_first (candidates, 1, active_only));
  CU_ASSERT_PTR_EQUAL (dp_candidates_first (candidates, G_MAXUINT64, all_members),
                       &one->members[0]);
  CU_ASSERT_PTR_EQUAL (dp_candidates_next (candidates, 0, all_members, NULL, 0),
                       &one->members[0]);
  CU_ASSERT_PTR_NULL (dp_candidates_next (candidates, 0, all_members, visited, 1));
  CU_ASSERT_PTR_NULL (dp_candidates_next (candidates, 0, active_only, NULL, 0));
}

static const DpTestCase cases_[] = {
  { "joins and leaves never reorder the other members", test_order_is_stable },
  { "the first member is the one that next lists first", test_first_matches_next },
  { "the first member is exact near points", test_first_is_exact },
  { "the size of the table is limited", test_size_limit },
  { "shares are in proportion to the slots", test_share_follows_slots },
  { "no member is left", test_none },
};

DP_TEST_MAIN ("candidates", cases_)
