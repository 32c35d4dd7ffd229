/* Guards against a search of a flow's owner that takes longer the more members are down,
 * that hands the flow's packets to several servers at once, or that never ends. */
#include "private/ownerqueries.h"
#include "runner.h"

#define MS DP_US_PER_MS
#define S DP_US_PER_S
#define N_MEMBERS 163
#define SELF 0

static DpMemberView *
make_view (guint n)
{
  g_autoptr (GArray) members = g_array_new (FALSE, TRUE, sizeof (DpMember));
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < n; i++)
    {
      DpMember member = { .zone = (char *) "a", .address = { 0x0a000000 + i, 7000 } };

      member.name = g_strdup_printf ("m-%u", i);
      member.id = dp_member_id (member.name);
      g_ptr_array_add (names, member.name);
      g_array_append_val (members, member);
    }
  return dp_member_view_new ("darbnica", 1, (const DpMember *) (void *) members->data, n);
}

/* Adds a packet with that many bytes of data; returns FALSE if it is not kept. */
static gboolean
add_packet (DpOwnerQueries *queries,
            DpMemberView *view,
            guint flow,
            guint16 length,
            gint64 now)
{
  g_autoptr (GBytes) bytes = g_bytes_new_static ("packet", 6);
  DpQueriedPacket queried = { .packet = bytes };

  queried.segment.key.client = (DpAddress){ 0x64400000 + flow, 40001 };
  queried.segment.payload_length = length;
  return dp_owner_queries_add (queries, view, dp_member_id ("m-0"), &queried, now);
}

static gboolean
answer (DpOwnerQueries *queries, guint flow, guint member, gboolean may_have_flow)
{
  const DpOwnerAnswer message = { { { 0x64400000 + flow, 40001 }, { 0, 0 } },
                                  may_have_flow,
                                  { 0x0a000000 + member, 7000 } };

  return dp_owner_queries_note_answer (queries, &message);
}

/* Takes the next step; returns the member that gets a copy, 0 if the packet was not
 * found, -1 if there is no step. */
static gint
next_step (DpOwnerQueries *queries, guint16 length, gint64 now)
{
  DpOwnerSearchStep step;

  if (!dp_owner_queries_next_step (queries, &step, now))
    return -1;
  CU_ASSERT_EQUAL (step.queried.segment.payload_length, length);
  g_bytes_unref (step.queried.packet);
  return step.has_candidate ? (gint) (step.candidate.ip - 0x0a000000) : 0;
}

/* With 54 of 163 members down, packets reached their servers up to 5.3 s late. */
static void
test_members_that_are_down (void)
{
  static const guint cases[] = { 0, 1, 54, 120, N_MEMBERS - 2, N_MEMBERS - 1 };
  g_autoptr (DpMemberView) view = make_view (N_MEMBERS);

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const guint n_alive = N_MEMBERS - 1 - cases[i];
      g_autoptr (DpOwnerQueries) queries = dp_owner_queries_new ();
      gint64 now = 0;
      guint n_steps = 0;

      CU_ASSERT_TRUE (add_packet (queries, view, 1, 0, now));
      for (guint m = 1; m <= n_alive; m++)
        CU_ASSERT_EQUAL (answer (queries, 1, m, TRUE), m == N_MEMBERS - 1);
      if (cases[i] > 0)
        {
          CU_ASSERT_EQUAL (next_step (queries, 0, now + 100 * MS - 1), -1);
          now += 100 * MS;
        }
      /* Each server is asked once the one before it has returned the packet. */
      for (guint m = 1; m <= n_alive; m++)
        {
          CU_ASSERT_EQUAL (next_step (queries, 0, now), (gint) m);
          CU_ASSERT_EQUAL (next_step (queries, 0, now), -1);
          CU_ASSERT_FALSE (answer (queries, 1, m + 1, FALSE));
          CU_ASSERT_TRUE (answer (queries, 1, m, FALSE));
          n_steps++;
        }
      CU_ASSERT_EQUAL (n_steps, n_alive);
      CU_ASSERT_EQUAL (next_step (queries, 0, now), 0);
      CU_ASSERT_EQUAL (dp_owner_queries_n_searches (queries), 0);
    }
}

/* A server that has the flow answers data, but no mere acknowledgement. */
static void
test_packet_with_data_is_copied (void)
{
  g_autoptr (DpOwnerQueries) queries = dp_owner_queries_new ();
  g_autoptr (DpMemberView) view = make_view (3);

  add_packet (queries, view, 1, 0, 0);
  add_packet (queries, view, 1, 20, 0);
  CU_ASSERT_FALSE (answer (queries, 1, 1, FALSE));
  CU_ASSERT_FALSE (answer (queries, 1, 1, FALSE));
  CU_ASSERT_TRUE (answer (queries, 1, 2, TRUE));
  CU_ASSERT_EQUAL (next_step (queries, 20, 0), 2);
  /* The server takes the packet, so that no answer comes. */
  CU_ASSERT_EQUAL (next_step (queries, 20, 99 * MS), -1);
  CU_ASSERT_EQUAL (dp_owner_queries_n_searches (queries), 1);
  CU_ASSERT_EQUAL (next_step (queries, 20, 100 * MS), -1);
  CU_ASSERT_EQUAL (dp_owner_queries_n_searches (queries), 0);
}

/* All packets of a flow wait for the same answers. */
static void
test_one_query_for_a_flow (void)
{
  g_autoptr (DpOwnerQueries) queries = dp_owner_queries_new ();
  g_autoptr (DpMemberView) view = make_view (3);
  DpQueriedPacket queried;
  DpOwnerQuery query;

  for (guint i = 0; i < 6; i++)
    CU_ASSERT_TRUE (add_packet (queries, view, 1 + i % 2, 0, i * MS));
  CU_ASSERT_TRUE (dp_owner_queries_next (queries, &query));
  CU_ASSERT_TRUE (dp_owner_queries_next (queries, &query));
  CU_ASSERT_FALSE (dp_owner_queries_next (queries, &query));
  for (guint i = 0; i < 3; i++)
    {
      CU_ASSERT_TRUE (dp_owner_queries_take (queries, &query.key, &queried));
      g_bytes_unref (queried.packet);
    }
  CU_ASSERT_FALSE (dp_owner_queries_take (queries, &query.key, &queried));
  CU_ASSERT_EQUAL (dp_owner_queries_n_searches (queries), 1);
  dp_owner_queries_clear (queries);
  CU_ASSERT_EQUAL (dp_owner_queries_n_searches (queries), 0);
}

/* Packets of flows that don't exist must not take all memory. */
static void
test_bounds (void)
{
  g_autoptr (DpOwnerQueries) queries = dp_owner_queries_new ();
  g_autoptr (DpMemberView) view = make_view (3);
  guint n_kept = 0;

  for (guint i = 0; i < 10000; i++)
    n_kept += add_packet (queries, view, i, 0, 0) ? 1 : 0;
  CU_ASSERT_EQUAL (n_kept, 256);
  for (guint i = 0; i < 10000; i++)
    n_kept += add_packet (queries, view, i % 256, 0, 0) ? 1 : 0;
  CU_ASSERT_EQUAL (n_kept, 1536);
  while (next_step (queries, 0, S) == 0)
    n_kept--;
  CU_ASSERT_EQUAL (n_kept, 0);
  CU_ASSERT_TRUE (add_packet (queries, view, 1, 0, S));
}

static const DpTestCase cases_[] = {
  { "members that are down take no time of their own", test_members_that_are_down },
  { "a packet with data is copied", test_packet_with_data_is_copied },
  { "one query for a flow", test_one_query_for_a_flow },
  { "searches and packets are bounded", test_bounds },
};

DP_TEST_MAIN ("owner queries", cases_)
