/* Guards against members that are dropped because one balancer does not know them, and
 * against members that stay listed after they have gone. */
#include "protected/clock.h"
#include "protected/passthroughmembers.h"
#include "runner.h"
#include "sameid.h"

#define MS DP_US_PER_MS

/* Merges a list of members named by letters; capital letters are leaving members.
 * removed: letters of members that the balancer has removed, NULL for a balancer of an
 * earlier version. Returns the number of members in the new view, or -1 if nothing
 * changed. */
static int
merge_list (DpPassthroughMembers *members,
            const char *letters,
            const char *removed,
            guint part,
            guint n_parts,
            gint64 now)
{
  g_autoptr (GArray) list_members = g_array_new (FALSE, TRUE, sizeof (DpMember));
  g_autoptr (GArray) balancers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (guint32));
  const DpMemberList list = { "darbnica", list_members, balancers,
                              part,       n_parts,      removed == NULL ? NULL : ids };
  g_autoptr (DpMemberView) view = NULL;
  char names[8][2] = { { 0 } };

  for (guint i = 0; removed != NULL && removed[i] != '\0'; i++)
    {
      const char name[2] = { removed[i], '\0' };
      guint32 id = dp_member_id (name);

      g_array_append_val (ids, id);
    }

  for (guint i = 0; letters[i] != '\0'; i++)
    {
      DpMember member = { .zone = (char *) "riga-a", .address = { 1, 2 }, .slots = 4 };

      names[i][0] = g_ascii_tolower (letters[i]);
      member.name = names[i];
      member.id = dp_member_id (names[i]);
      member.state = g_ascii_isupper (letters[i]) ? DP_MEMBER_LEAVING : DP_MEMBER_ACTIVE;
      g_array_append_val (list_members, member);
    }
  view = dp_passthrough_members_update (members, &list, now);
  return view == NULL ? -1 : (int) view->n_members;
}

static int
merge_part (DpPassthroughMembers *members,
            const char *letters,
            guint part,
            guint n_parts,
            gint64 now)
{
  return merge_list (members, letters, NULL, part, n_parts, now);
}

static int
merge (DpPassthroughMembers *members, const char *letters, gint64 now)
{
  return merge_part (members, letters, 0, 1, now);
}

/* Found on lgkaa-serviss scale-2: the list of a balancer that had just started replaced
 * the complete one, and new flows were rejected for lack of other members. */
static void
test_partial_list (void)
{
  g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");

  CU_ASSERT_EQUAL (merge (members, "abc", 0), 3);
  CU_ASSERT_EQUAL (merge (members, "a", 100 * MS), -1);
  CU_ASSERT_EQUAL (merge (members, "ab", 350 * MS), -1);
  CU_ASSERT_EQUAL (merge (members, "abc", 600 * MS), -1);
  CU_ASSERT_EQUAL (merge (members, "ab", 900 * MS), -1);
  /* The member c was listed again at 600 ms, so its absence is counted from 900 ms. */
  CU_ASSERT_EQUAL (merge (members, "ab", 2400 * MS), -1);
  CU_ASSERT_EQUAL (merge (members, "ab", 2401 * MS), 2);
}

/* Found on lgkaa-serviss-large quiet-1: balancers that were restarted in turn listed only
 * the members that had reported to them by then, while all other balancers agreed with
 * the companions and sent no lists. Companions dropped 55 to 70 of 163 members, and
 * packets of flows whose owner had to be searched for reached no one. */
static void
test_balancers_restarted_in_turn (void)
{
  g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");

  CU_ASSERT_EQUAL (merge_list (members, "abc", "", 0, 1, 0), 3);
  for (guint i = 1; i <= 40; i++)
    CU_ASSERT_EQUAL (merge_list (members, "a", "", 0, 1, i * 500 * MS), -1);
  /* Much later, other balancers are restarted. */
  for (guint i = 0; i <= 40; i++)
    CU_ASSERT_EQUAL (merge_list (members, "b", "", 0, 1, (100000 + i * 500) * MS), -1);
}

/* Searches must not go on visiting a member that balancers have removed. */
static void
test_removed_member (void)
{
  g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");

  CU_ASSERT_EQUAL (merge_list (members, "abc", "", 0, 1, 0), 3);
  CU_ASSERT_EQUAL (merge_list (members, "ab", "c", 0, 1, 1000 * MS), -1);
  CU_ASSERT_EQUAL (merge_list (members, "ab", "c", 0, 1, 2500 * MS), -1);
  CU_ASSERT_EQUAL (merge_list (members, "ab", "c", 0, 1, 2501 * MS), 2);
  /* A member that no list says is gone is removed after a longer time. */
  for (guint i = 0; i <= 30; i++)
    CU_ASSERT_EQUAL (merge_list (members, "a", "c", 0, 1, (3000 + i * 1000) * MS), -1);
  CU_ASSERT_EQUAL (merge_list (members, "a", "c", 0, 1, 33001 * MS), 1);
}

static void
test_states (void)
{
  g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");
  guint64 hash;

  CU_ASSERT_EQUAL (dp_passthrough_members_hash (members), 0);
  CU_ASSERT_EQUAL (merge (members, "ab", 0), 2);
  hash = dp_passthrough_members_hash (members);
  CU_ASSERT_EQUAL (merge (members, "ba", MS), -1);
  CU_ASSERT_EQUAL (merge (members, "aB", 2 * MS), 2);
  CU_ASSERT_NOT_EQUAL (dp_passthrough_members_hash (members), hash);
  CU_ASSERT_EQUAL (merge (members, "ab", 3 * MS), 2);
  CU_ASSERT_EQUAL (dp_passthrough_members_hash (members), hash);
  CU_ASSERT_EQUAL (merge (members, "abd", 4 * MS), 3);
}

/* A long list comes in parts, any of which may be lost: members of other parts must stay,
 * and a member that is missing from its own part must be removed. Lists of over 100
 * members used to be truncated silently, so that balancers and companions never agreed.
 */
static void
test_parts (void)
{
  g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");
  char part[2][8] = { { 0 } };
  guint n[2] = { 0 };

  for (const char *letter = "abcdefg"; *letter != '\0'; letter++)
    {
      const char name[2] = { *letter, '\0' };
      guint p = dp_member_id (name) % 2;

      part[p][n[p]++] = *letter;
    }
  CU_ASSERT_TRUE_FATAL (n[0] > 1 && n[1] > 1);
  CU_ASSERT_EQUAL (merge_part (members, part[0], 0, 2, 0), (int) n[0]);
  CU_ASSERT_EQUAL (merge_part (members, part[1], 1, 2, 0), 7);
  /* Only one part arrives for a long time. */
  for (guint i = 1; i <= 40; i++)
    CU_ASSERT_EQUAL (merge_part (members, part[1], 1, 2, i * 250 * MS), -1);
  CU_ASSERT_EQUAL (merge_part (members, part[1] + 1, 1, 2, 11000 * MS), -1);
  CU_ASSERT_EQUAL (merge_part (members, part[1] + 1, 1, 2, 12600 * MS), 6);
}

/* Merges a list of the named members; removed: an id, 0: none. Returns the name of the
 * member with the id of SAME_ID_FIRST, NULL if the view doesn't change. */
static char *
merge_names (DpPassthroughMembers *members,
             const char *const *names,
             guint32 removed,
             gint64 now)
{
  g_autoptr (GArray) listed = g_array_new (FALSE, TRUE, sizeof (DpMember));
  g_autoptr (GArray) balancers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (guint32));
  const DpMemberList list = { "darbnica", listed, balancers, 0, 1, ids };
  g_autoptr (DpMemberView) view = NULL;

  for (guint i = 0; names[i] != NULL; i++)
    {
      const DpMember member = { .id = dp_member_id (names[i]),
                                .name = (char *) names[i],
                                .zone = (char *) "riga-a",
                                .slots = 2,
                                .state = DP_MEMBER_ACTIVE };

      g_array_append_val (listed, member);
    }
  if (removed != 0)
    g_array_append_val (ids, removed);
  view = dp_passthrough_members_update (members, &list, now);
  if (view == NULL)
    return NULL;
  CU_ASSERT_EQUAL (
      dp_passthrough_members_hash (members),
      dp_member_list_hash (view->members, view->n_members + view->n_left_out));
  return g_strdup (dp_member_view_find (view, dp_member_id (SAME_ID_FIRST))->name);
}

/* Guards against the abort of a companion that gets two members with the same id in
 * lists, and against one that forwards flows to the first one once that is gone. Another
 * balancer that started later keeps the other one: its list must change nothing. */
static void
test_same_id (void)
{
  static const char *const first[] = { SAME_ID_FIRST, NULL };
  static const char *const both[] = { "a", SAME_ID_FIRST, SAME_ID_SECOND, NULL };
  static const char *const reverse[] = { "a", SAME_ID_SECOND, SAME_ID_FIRST, NULL };
  static const char *const second[] = { "a", SAME_ID_SECOND, NULL };
  g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");
  const guint32 id = dp_member_id (SAME_ID_FIRST);
  g_autofree char *alone = merge_names (members, first, 0, 0);
  g_autofree char *with_second = merge_names (members, both, 0, 100 * MS);
  g_autofree char *still = NULL;
  g_autofree char *replaced = NULL;

  CU_ASSERT_STRING_EQUAL (alone, SAME_ID_FIRST);
  CU_ASSERT_STRING_EQUAL (with_second, SAME_ID_FIRST);
  CU_ASSERT_PTR_NULL (merge_names (members, reverse, 0, 200 * MS));
  CU_ASSERT_PTR_NULL (merge_names (members, second, id, 300 * MS));
  still = merge_names (members, second, id, 1700 * MS);
  CU_ASSERT_PTR_NULL (still);
  replaced = merge_names (members, second, id, 1801 * MS);
  CU_ASSERT_STRING_EQUAL (replaced, SAME_ID_SECOND);
}

/* Guards against an abort of the table of members, and against memory without bound, when
 * lists with ever new names come from outside. */
static void
test_number_of_members (void)
{
  g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");
  g_autoptr (DpMemberView) last = NULL;

  for (guint i = 0; i < 140; i++)
    {
      g_autoptr (GArray) listed = g_array_new (FALSE, TRUE, sizeof (DpMember));
      g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (guint32));
      const DpMemberList list = { "darbnica", listed, NULL, 0, 1, ids };
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

      for (guint j = 0; j < 120; j++)
        {
          DpMember member = { .zone = (char *) "riga-a", .state = DP_MEMBER_ACTIVE };

          member.name = g_strdup_printf ("m%u-%u", i, j);
          member.id = dp_member_id (member.name);
          g_ptr_array_add (names, member.name);
          g_array_append_val (listed, member);
        }
      g_clear_pointer (&last, dp_member_view_unref);
      last = dp_passthrough_members_update (members, &list, i);
    }
  CU_ASSERT_PTR_NULL (last);
}

static const DpTestCase cases_[] = {
  { "of members with the same id the first one stays", test_same_id },
  { "the number of members is bounded", test_number_of_members },
  { "a list in parts", test_parts },
  { "an incomplete list removes no members", test_partial_list },
  { "balancers restarted in turn", test_balancers_restarted_in_turn },
  { "a member that is gone is removed", test_removed_member },
  { "states and new members", test_states },
};

DP_TEST_MAIN ("passthroughmembers", cases_)
