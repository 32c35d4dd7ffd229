/* Guards against accepting member lists that name a member twice or hold values out of
 * range. */
#include <string.h>

#include "protected/clock.h"
#include "protected/memberview.h"
#include "runner.h"
#include "sameid.h"

#define MEMBER(name)                                                                     \
  "{\"name\":\"" name "\",\"zone\":\"riga-a\",\"ip\":\"127.1.1.11\",\"port\":7000,"      \
  "\"slots\":4,\"connections\":2000,\"state\":\"active\",\"incarnation\":123}"

typedef struct
{
  const char *name;
  const char *from; /* text of the valid list that is replaced by to */
  const char *to;
} BadList;

static DpMemberView *
parse (const char *text, GError **error)
{
  g_autoptr (JsonNode) node = json_from_string (text, NULL);

  g_assert_nonnull (node);
  return dp_member_view_new_from_json ("darbnica", 17, node, error);
}

static void
test_round_trip (void)
{
  g_autoptr (DpMemberView) view = parse (
      "{\"members\":[" MEMBER ("b") "," MEMBER ("a") "," MEMBER ("c") "]}", NULL);
  g_autoptr (JsonNode) node = NULL;
  g_autofree char *text = NULL;
  g_autoptr (DpMemberView) again = NULL;

  g_assert_nonnull (view);
  CU_ASSERT_EQUAL (view->n_members, 3);
  CU_ASSERT_EQUAL (view->revision, 17);
  CU_ASSERT_EQUAL (view->service_id, dp_service_id ("darbnica"));
  for (guint i = 1; i < view->n_members; i++)
    CU_ASSERT_TRUE (view->members[i - 1].id < view->members[i].id);
  node = dp_member_view_to_json (view);
  text = json_to_string (node, FALSE);
  again = parse (text, NULL);
  g_assert_nonnull (again);
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &again->members[i];

      CU_ASSERT_EQUAL (m->id, view->members[i].id);
      CU_ASSERT_STRING_EQUAL (m->zone, "riga-a");
      CU_ASSERT_EQUAL (m->address.ip, 0x7f01010b);
      CU_ASSERT_EQUAL (m->address.port, 7000);
      CU_ASSERT_EQUAL (m->slots, 4);
      CU_ASSERT_EQUAL (m->connections, 2000);
      CU_ASSERT_EQUAL (m->state, DP_MEMBER_ACTIVE);
      CU_ASSERT_EQUAL (m->incarnation, 123);
      CU_ASSERT_FALSE (m->held);
    }
}

static void
test_find (void)
{
  g_autoptr (DpMemberView)
      view = parse ("{\"members\":[" MEMBER ("b") "," MEMBER ("a") "]}", NULL);

  g_assert_nonnull (view);
  CU_ASSERT_STRING_EQUAL (dp_member_view_find (view, dp_member_id ("a"))->name, "a");
  CU_ASSERT_STRING_EQUAL (dp_member_view_find (view, dp_member_id ("b"))->name, "b");
  CU_ASSERT_PTR_NULL (dp_member_view_find (view, dp_member_id ("c")));
}

/* One odd member hid all changes of a list. */
static void
test_malformed_member (void)
{
  static const BadList cases[] = {
    { "no name", "\"name\":\"a\",", "" },
    { "empty name", "\"name\":\"a\"", "\"name\":\"\"" },
    { "name is a number", "\"name\":\"a\"", "\"name\":1" },
    { "name is an object", "\"name\":\"a\"", "\"name\":{}" },
    { "no zone", "\"zone\":\"riga-a\",", "" },
    { "bad address", "127.1.1.11", "127.1.1.256" },
    { "port 0", "7000", "0" },
    { "port over", "7000", "65536" },
    { "port is a string", "7000", "\"7000\"" },
    { "no slots", "\"slots\":4", "\"slots\":0" },
    { "slots over", "\"slots\":4", "\"slots\":1025" },
    { "slots not whole", "\"slots\":4", "\"slots\":4.5" },
    { "connections over", "2000", "100001" },
    { "unknown state", "active", "asleep" },
    { "state is null", "\"active\"", "null" },
    { "negative incarnation", "123", "-1" },
    { "held is a number", "\"slots\"", "\"held\":1,\"slots\"" },
    { "name is too long", "\"name\":\"a\"",
      "\"name\":\"0123456789012345678901234567890123456789012345678901234567890123\"" },
    { "port is null", "7000", "null" },
    { "port is negative", "7000", "-7000" },
    { "port is an array", "7000", "[[[[7000]]]]" },
    { "slots are a large number", "\"slots\":4", "\"slots\":1e300" },
    { "incarnation is a text", "123", "\"123\"" },
    { "address is an object", "\"127.1.1.11\"", "{\"a\":{}}" },
    { "member is a number", "{\"name\":\"a\"", "1,{\"name\":1" },
    { "member is null", "{\"name\":\"a\"", "null,{\"name\":1" },
    { "member is an array", "{\"name\":\"a\"", "[{}],{\"name\":1" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (GString)
          text = g_string_new ("{\"members\":[" MEMBER ("a") "," MEMBER ("b") "]}");
      g_autoptr (DpMemberView) view = NULL;

      CU_ASSERT_EQUAL (g_string_replace (text, cases[i].from, cases[i].to, 1), 1);
      view = parse (text->str, &error);
      CU_ASSERT_PTR_NULL (error);
      if (view == NULL || view->n_members != 1
          || !g_str_equal (view->members[0].name, "b"))
        CU_FAIL (cases[i].name);
    }
}

static void
test_malformed_list (void)
{
  static const char *const texts[] = {
    "[]", "{}", "7", "{\"members\":{}}", "{\"members\":null}", "{\"members\":7}"
  };

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GError) error = NULL;

      CU_ASSERT_PTR_NULL (parse (texts[i], &error));
      CU_ASSERT_PTR_NOT_NULL (error);
    }
  CU_ASSERT_PTR_NULL (dp_member_view_new_from_json ("darbnica", 1, NULL, NULL));
}

static void
test_listed_twice (void)
{
  g_autoptr (DpMemberView) view = parse (
      "{\"members\":[" MEMBER ("a") "," MEMBER ("b") "," MEMBER ("a") "]}", NULL);

  g_assert_nonnull (view);
  CU_ASSERT_EQUAL (view->n_members, 2);
  CU_ASSERT_PTR_NOT_NULL (dp_member_view_find (view, dp_member_id ("a")));
  CU_ASSERT_PTR_NOT_NULL (dp_member_view_find (view, dp_member_id ("b")));
}

/* Guards against the abort of every process that learned of two members with the same id,
 * and against processes that leave out another one than the one that came later. */
static void
test_same_id (void)
{
  static const char *const orders[][4] = {
    { SAME_ID_FIRST, SAME_ID_SECOND, "a", "b" },
    { "a", SAME_ID_SECOND, "b", SAME_ID_FIRST },
    { SAME_ID_SECOND, "a", SAME_ID_FIRST, SAME_ID_FIRST },
  };

  CU_ASSERT_EQUAL (dp_member_id (SAME_ID_FIRST), dp_member_id (SAME_ID_SECOND));
  for (guint i = 0; i < G_N_ELEMENTS (orders); i++)
    {
      const char *stays = NULL;
      DpMember members[4] = { 0 };
      g_autoptr (DpMemberView) view = NULL;

      for (guint j = 4; j-- > 0;)
        {
          members[j].name = (char *) orders[i][j];
          if (strlen (orders[i][j]) > 1)
            stays = orders[i][j];
        }
      view = dp_member_view_new ("darbnica", 1, members, 4);
      CU_ASSERT_EQUAL (view->n_members, i < 2 ? 3 : 2);
      CU_ASSERT_EQUAL (view->n_left_out, i < 2 ? 1 : 2);
      CU_ASSERT_STRING_EQUAL (
          dp_member_view_find (view, dp_member_id (SAME_ID_FIRST))->name, stays);
      for (guint j = 0; j < view->n_left_out; j++)
        CU_ASSERT_EQUAL (view->left_out[j].id, dp_member_id (SAME_ID_FIRST));
      for (guint j = 1; j < view->n_members; j++)
        CU_ASSERT_TRUE (view->members[j - 1].id < view->members[j].id);
    }
}

/* Counts the critical lines that name both members. */
static GLogWriterOutput
count_line (GLogLevelFlags level,
            const GLogField *fields,
            gsize n_fields,
            gpointer user_data)
{
  for (gsize i = 0; i < n_fields; i++)
    {
      const char *text = fields[i].value;

      if (g_str_equal (fields[i].key, "MESSAGE") && (level & G_LOG_LEVEL_CRITICAL) != 0
          && strstr (text, SAME_ID_FIRST) != NULL
          && strstr (text, SAME_ID_SECOND) != NULL)
        ++*(guint *) user_data;
    }
  return G_LOG_WRITER_HANDLED;
}

/* Guards against a log full of lines about members that are left out. */
static void
test_left_out_logged (void)
{
  static guint n_lines;
  const DpMember members[] = { { .name = (char *) SAME_ID_FIRST },
                               { .name = (char *) SAME_ID_SECOND } };
  g_autoptr (DpMemberView) view = dp_member_view_new ("darbnica", 1, members, 2);
  gint64 logged_at = 0;

  g_log_set_writer_func (count_line, &n_lines, NULL);
  for (gint64 now = DP_US_PER_S; now < 120 * DP_US_PER_S; now += DP_US_PER_S)
    dp_member_view_log_left_out (view, &logged_at, now);
  CU_ASSERT_EQUAL (n_lines, 2);
}

static const DpTestCase cases_[] = {
  { "of members with the same id the first one stays", test_same_id },
  { "members that are left out are logged once a minute", test_left_out_logged },
  { "a view survives a round trip through JSON", test_round_trip },
  { "members are found by id", test_find },
  { "malformed members are left out", test_malformed_member },
  { "a list that is none is refused", test_malformed_list },
  { "a member that is listed twice counts once", test_listed_twice },
};

DP_TEST_MAIN ("view", cases_)
