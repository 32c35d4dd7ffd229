/* Guards against edits of a member's entry that alter another entry or lose an operator's
 * hold. */
#include <string.h>

#include "protected/json.h"
#include "protected/membership.h"
#include "runner.h"

typedef struct
{
  const char *name;
  const char *value; /* of members/SERVICE */
  gboolean present;
  gboolean held;
} FindCase;

static const char two_members_[] =
    "{\"members\":[{\"name\":\"a\",\"zone\":\"x\",\"ip\":\"127.0.0.1\",\"port\":7000,"
    "\"slots\":4,\"connections\":10,\"state\":\"active\",\"incarnation\":5},"
    "{\"name\":\"b\",\"zone\":\"y\",\"ip\":\"127.0.0.2\",\"port\":7000,"
    "\"slots\":2,\"connections\":10,\"state\":\"leaving\",\"held\":true,"
    "\"incarnation\":6}],\"other\":1}";

static JsonNode *
parse (const char *text)
{
  return dp_json_parse (text, strlen (text), NULL);
}

static void
test_find (void)
{
  static const FindCase cases[] = {
    { "a", two_members_, TRUE, FALSE },
    { "b", two_members_, TRUE, TRUE },
    { "c", two_members_, FALSE, FALSE },
    { "c", "{\"members\":[],\"held\":[\"b\",\"c\"]}", FALSE, TRUE },
    { "a", "{\"members\":[],\"held\":[1,null,\"b\"]}", FALSE, FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (JsonNode) value = parse (cases[i].value);
      DpMembershipEntry entry;

      CU_ASSERT_TRUE (dp_membership_find (value, cases[i].name, &entry));
      CU_ASSERT_EQUAL (entry.present, cases[i].present);
      CU_ASSERT_EQUAL (entry.held, cases[i].held);
    }
}

/* A held member is removed, joins again and is released. */
static void
test_hold (void)
{
  g_autoptr (JsonNode) value = parse (two_members_);
  g_autoptr (JsonNode) without = dp_membership_remove (value, "b", 6);
  g_autoptr (JsonNode) again = NULL;
  const DpMember member = { .name = (char *) "b",
                            .zone = (char *) "y",
                            .address = { 0x7f000002, 7000 },
                            .slots = 2,
                            .connections = 10,
                            .state = DP_MEMBER_ACTIVE,
                            .incarnation = 7 };
  DpMembershipEntry entry;

  CU_ASSERT_PTR_NOT_NULL_FATAL (without);
  CU_ASSERT_TRUE (dp_membership_find (without, "b", &entry));
  CU_ASSERT_FALSE (entry.present);
  CU_ASSERT_TRUE (entry.held);
  CU_ASSERT_TRUE (dp_membership_find (without, "a", &entry));
  CU_ASSERT_EQUAL (entry.incarnation, 5);

  again = dp_membership_put (without, &member);
  CU_ASSERT_PTR_NOT_NULL_FATAL (again);
  CU_ASSERT_TRUE (dp_membership_find (again, "b", &entry));
  CU_ASSERT_TRUE (entry.held);
  CU_ASSERT_EQUAL (entry.state, DP_MEMBER_LEAVING);

  CU_ASSERT_TRUE (dp_membership_release_hold (without, "b"));
  CU_ASSERT_FALSE (dp_membership_release_hold (without, "b"));
  CU_ASSERT_TRUE (dp_membership_find (without, "b", &entry));
  CU_ASSERT_FALSE (entry.held);
  CU_ASSERT_FALSE (dp_membership_release_hold (value, "b"));
}

static void
test_remove (void)
{
  g_autoptr (JsonNode) value = parse (two_members_);
  g_autoptr (JsonNode) without = dp_membership_remove (value, "a", 5);

  CU_ASSERT_PTR_NULL (dp_membership_remove (value, "a", 4));
  CU_ASSERT_PTR_NULL (dp_membership_remove (value, "c", 5));
  CU_ASSERT_PTR_NOT_NULL_FATAL (without);
  CU_ASSERT_TRUE (json_object_has_member (dp_json_get_object (without), "other"));
}

static const DpTestCase cases_[] = {
  { "an entry is found", test_find },
  { "a hold outlives its member's entry", test_hold },
  { "an older incarnation removes nothing", test_remove },
};

DP_TEST_MAIN ("membership", cases_)
