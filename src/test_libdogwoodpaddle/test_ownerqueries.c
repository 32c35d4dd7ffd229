/* Guards against a search of a flow's owner that takes longer the more members are down,
 * that hands the flow's packets to several servers at once, or that never ends. */
#include <string.h>

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
answer_with (DpOwnerQueries *queries,
             guint flow,
             guint member,
             gboolean may_have_flow,
             gboolean server_silent)
{
  const DpOwnerAnswer message = { { { 0x64400000 + flow, 40001 }, { 0, 0 } },
                                  may_have_flow,
                                  server_silent,
                                  { 0x0a000000 + member, 7000 } };

  return dp_owner_queries_note_answer (queries, &message);
}

static gboolean
answer (DpOwnerQueries *queries, guint flow, guint member, gboolean may_have_flow)
{
  return answer_with (queries, flow, member, may_have_flow, FALSE);
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

/* Returns the members that get a copy of a packet, one digit each, with 0 for a packet
 * that was not found. Members answer that they may have the flow until they return it;
 * those of another kind than 'r' never do. */
static char *
copy_packet (DpOwnerQueries *queries,
             DpMemberView *view,
             const char *kinds,
             char *returned)
{
  g_autoptr (GString) copies = g_string_new (NULL);
  static gint64 now = 0;
  gint m;

  now += 200 * MS;
  CU_ASSERT_TRUE (add_packet (queries, view, 1, 20, now));
  for (guint i = 0; kinds[i] != '\0'; i++)
    answer_with (queries, 1, i + 1, returned[i] == '-', kinds[i] == 'q');
  for (guint i = 0; i < 2; i++, now += 100 * MS)
    while ((m = next_step (queries, 20, now)) >= 0)
      {
        g_string_append_c (copies, (char) ('0' + m));
        if (m == 0 || kinds[m - 1] != 'r')
          continue;
        returned[m - 1] = 'r';
        answer (queries, 1, (guint) m, FALSE);
      }
  return g_string_free (g_steal_pointer (&copies), FALSE);
}

/* A packet that came again went to the same members first, whose servers were gone, and
 * reached its own server after 3 s. */
static void
test_silent_members (void)
{
  /* Members by the order of their answers: 'r' returns its copy, 's' doesn't answer, as
   * its server is gone, 'q' has noticed that, and 'o' has the flow; the copies of each
   * packet. */
  static const struct
  {
    const char *members;
    const char *copies[4];
  } cases[] = {
    { "o", { "1" } },
    { "ro", { "12" } },
    { "so", { "1", "21" } },
    { "rsro", { "12", "342" } },
    { "ssro", { "1", "21", "3412" } },
    { "ssrr", { "1", "21", "34120", "120" } },
    { "rs", { "12", "20", "20" } },
    { "rr", { "120", "0" } },
    { "qqqo", { "4123" } },
    { "qro", { "231" } },
    { "qsro", { "21", "3412" } },
    { "qrr", { "2310", "10" } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const guint n = (guint) strlen (cases[i].members);
      g_autofree char *returned = g_strnfill (n, '-');
      g_autoptr (DpOwnerQueries) queries = dp_owner_queries_new ();
      g_autoptr (DpMemberView) view = make_view (n + 1);

      for (guint p = 0; p < G_N_ELEMENTS (cases[i].copies) && cases[i].copies[p] != NULL;
           p++)
        {
          g_autofree char *copies = copy_packet (queries, view, cases[i].members,
                                                 returned);

          CU_ASSERT_STRING_EQUAL (copies, cases[i].copies[p]);
        }
    }
}

/* The servers of members that were silent may be back after a while. */
static void
test_silent_members_are_forgotten (void)
{
  static const struct
  {
    gint64 again_at;
    gint first;
  } cases[] = { { 300 * MS, 2 }, { 2099 * MS, 2 }, { 2100 * MS, 1 }, { 3 * S, 1 } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (DpOwnerQueries) queries = dp_owner_queries_new ();
      g_autoptr (DpMemberView) view = make_view (3);
      const gint64 again_at = cases[i].again_at;

      for (guint p = 0; p < 2; p++)
        {
          CU_ASSERT_TRUE (add_packet (queries, view, 1, 20, p * again_at));
          for (guint m = 1; m <= 2; m++)
            CU_ASSERT_EQUAL (answer (queries, 1, m, TRUE), m == 2);
          CU_ASSERT_EQUAL (next_step (queries, 20, p * again_at),
                           p == 0 ? 1 : cases[i].first);
          CU_ASSERT_EQUAL (next_step (queries, 20, p * again_at + 99 * MS), -1);
          if (p == 0)
            CU_ASSERT_EQUAL (next_step (queries, 20, 100 * MS), -1);
        }
    }
}

/* Searches that are only remembered must not keep others out. */
static void
test_suspended_searches_make_room (void)
{
  g_autoptr (DpOwnerQueries) queries = dp_owner_queries_new ();
  g_autoptr (DpMemberView) view = make_view (2);

  for (guint i = 0; i < 256; i++)
    {
      CU_ASSERT_TRUE (add_packet (queries, view, i, 0, 0));
      CU_ASSERT_TRUE (answer (queries, i, 1, TRUE));
    }
  for (guint i = 0; i < 256; i++)
    CU_ASSERT_EQUAL (next_step (queries, 0, 0), 1);
  CU_ASSERT_FALSE (add_packet (queries, view, 256, 0, 0));
  CU_ASSERT_EQUAL (next_step (queries, 0, 100 * MS), -1);
  CU_ASSERT_EQUAL (dp_owner_queries_n_searches (queries), 0);
  for (guint i = 256; i < 512; i++)
    CU_ASSERT_TRUE (add_packet (queries, view, i, 0, 100 * MS));
  CU_ASSERT_FALSE (add_packet (queries, view, 512, 0, 100 * MS));
  CU_ASSERT_EQUAL (dp_owner_queries_n_searches (queries), 256);
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
  { "silent members are passed over", test_silent_members },
  { "silent members are forgotten after a while", test_silent_members_are_forgotten },
  { "suspended searches make room", test_suspended_searches_make_room },
  { "one query for a flow", test_one_query_for_a_flow },
  { "searches and packets are bounded", test_bounds },
};

DP_TEST_MAIN ("owner queries", cases_)
