/* Guards against a replica that goes back to an earlier position or misses a change. */
#include "protected/replica.h"
#include "runner.h"

#define ALL_KINDS ((1u << DP_N_KINDS) - 1)

static gboolean
apply (DpReplica *replica,
       DpKind kind,
       const char *name,
       DpPosition position,
       const char *json)
{
  g_autoptr (DpRecord)
      record = dp_record_new (kind, name, position, json == NULL, json, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (record);
  return dp_replica_apply (replica, record);
}

static void
count (const DpRecord *record, gpointer user_data)
{
  ++*(guint *) user_data;
}

static void
test_order (void)
{
  g_autoptr (DpReplica) replica = dp_replica_new ();
  guint changes = 0;
  guint id = dp_replica_add_listener (replica, count, &changes);

  CU_ASSERT_TRUE (apply (replica, DP_KIND_FLEET, "defaults", 5, "{\"visits\":5}"));
  CU_ASSERT_FALSE (apply (replica, DP_KIND_FLEET, "defaults", 4, "{\"visits\":4}"));
  CU_ASSERT_FALSE (apply (replica, DP_KIND_FLEET, "defaults", 5, NULL));
  CU_ASSERT_STRING_EQUAL (dp_replica_get (replica, DP_KIND_FLEET, "defaults")->json,
                          "{\"visits\":5}");
  CU_ASSERT_EQUAL (changes, 1);
  dp_replica_remove_listener (replica, id);
  CU_ASSERT_TRUE (apply (replica, DP_KIND_FLEET, "defaults", 6, NULL));
  CU_ASSERT_EQUAL (changes, 1);
  CU_ASSERT_PTR_NULL (dp_replica_get (replica, DP_KIND_FLEET, "defaults"));
  CU_ASSERT_FALSE (apply (replica, DP_KIND_FLEET, "defaults", 5, "{}"));
  dp_replica_set_position (replica, 6);
  dp_replica_set_position (replica, 3);
  CU_ASSERT_EQUAL (dp_replica_position (replica), 6);
}

/* Shows that the checks of test_order () detect a replica that applies old records. */
static void
test_any_position (void)
{
  g_autoptr (DpReplica) replica = dp_replica_new ();

  dp_replica_set_test_any_position (replica, TRUE);
  apply (replica, DP_KIND_FLEET, "defaults", 5, "{\"visits\":5}");
  CU_ASSERT_TRUE (apply (replica, DP_KIND_FLEET, "defaults", 4, "{\"visits\":4}"));
}

static void
test_list (void)
{
  g_autoptr (DpReplica) replica = dp_replica_new ();
  g_autoptr (GPtrArray)
      listed = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  g_autoptr (GPtrArray) left = NULL;

  apply (replica, DP_KIND_SERVICE, "kept", 2, "{}");
  apply (replica, DP_KIND_SERVICE, "gone", 3, "{}");
  apply (replica, DP_KIND_SERVICE, "newer", 12, "{}");
  apply (replica, DP_KIND_MEMBERS, "kept", 4, "{}");
  g_ptr_array_add (listed, dp_record_new (DP_KIND_SERVICE, "kept", 2, FALSE, "{}", NULL));
  dp_replica_apply_list (replica, ALL_KINDS, listed, 10);
  CU_ASSERT_PTR_NOT_NULL (dp_replica_get (replica, DP_KIND_SERVICE, "kept"));
  CU_ASSERT_PTR_NULL (dp_replica_get (replica, DP_KIND_SERVICE, "gone"));
  CU_ASSERT_PTR_NULL (dp_replica_get (replica, DP_KIND_MEMBERS, "kept"));
  CU_ASSERT_PTR_NOT_NULL (dp_replica_get (replica, DP_KIND_SERVICE, "newer"));
  left = dp_replica_since (replica, 4, "");
  CU_ASSERT_EQUAL (left->len, 3);
  /* A list from a platform that was restored to an older state deletes nothing. */
  g_ptr_array_set_size (listed, 0);
  dp_replica_apply_list (replica, ALL_KINDS, listed, 5);
  CU_ASSERT_PTR_NOT_NULL (dp_replica_get (replica, DP_KIND_SERVICE, "kept"));
  CU_ASSERT_EQUAL (dp_replica_position (replica), 10);
}

/* A store that is restored assigns revisions again: what it has lost stayed, or what it
 * wrote since was taken for old. */
static void
test_list_of_a_later_era (void)
{
  g_autoptr (DpReplica) replica = dp_replica_new ();
  g_autoptr (GPtrArray)
      listed = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  g_autoptr (GPtrArray) left = NULL;
  DpPosition old_kept;
  DpPosition old_lost;
  DpPosition kept;
  DpPosition list;

  dp_position_make (1, 500, &old_kept);
  dp_position_make (1, 530, &old_lost);
  dp_position_make (2, 500, &kept);
  dp_position_make (2, 501, &list);
  apply (replica, DP_KIND_BALANCER, "kept", old_kept, "{\"a\":1}");
  apply (replica, DP_KIND_BALANCER, "lost", old_lost, "{}");
  dp_replica_set_position (replica, old_lost);
  g_ptr_array_add (
      listed, dp_record_new (DP_KIND_BALANCER, "kept", kept, FALSE, "{\"a\":2}", NULL));
  dp_replica_apply_list (replica, ALL_KINDS, listed, list);
  CU_ASSERT_STRING_EQUAL (dp_replica_get (replica, DP_KIND_BALANCER, "kept")->json,
                          "{\"a\":2}");
  CU_ASSERT_PTR_NULL (dp_replica_get (replica, DP_KIND_BALANCER, "lost"));
  CU_ASSERT_EQUAL (dp_replica_position (replica), list);
  left = dp_replica_since (replica, old_lost, "");
  CU_ASSERT_EQUAL (left->len, 2);
  CU_ASSERT_EQUAL (((const DpRecord *) g_ptr_array_index (left, 1))->position, list);
  /* A record of the era that has ended comes late from a peer. */
  CU_ASSERT_FALSE (apply (replica, DP_KIND_BALANCER, "lost", old_lost, "{}"));
  CU_ASSERT_FALSE (apply (replica, DP_KIND_BALANCER, "kept", old_lost, "{}"));
}

typedef struct
{
  DpKind kind;
  const char *name;
  const char *json;
  gboolean wanted; /* by a subscriber for the service */
  gboolean sent;   /* as a tombstone if not wanted */
} FilterCase;

static void
test_filter (void)
{
  static const FilterCase cases[] = {
    { DP_KIND_FLEET, "defaults", "{}", TRUE, TRUE },
    { DP_KIND_SERVICE, "darbnica", "{}", TRUE, TRUE },
    { DP_KIND_SERVICE, "rokasgramata", "{}", FALSE, FALSE },
    { DP_KIND_MEMBERS, "darbnica", "{}", TRUE, TRUE },
    { DP_KIND_MEMBERS, "rokasgramata", "{}", FALSE, FALSE },
    { DP_KIND_EXCEPTION, "a", "{\"service\":\"darbnica\"}", TRUE, TRUE },
    { DP_KIND_EXCEPTION, "b", "{\"service\":\"rokasgramata\"}", FALSE, TRUE },
    { DP_KIND_EXCEPTION, "c", "{\"service\":7}", FALSE, TRUE },
    { DP_KIND_EXCEPTION, "d", NULL, TRUE, TRUE },
    { DP_KIND_BALANCER, "b1", "{}", TRUE, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const FilterCase *c = &cases[i];
      g_autoptr (DpReplica) replica = dp_replica_new ();
      g_autoptr (GPtrArray) sent = NULL;

      apply (replica, c->kind, c->name, 1, c->json);
      sent = dp_replica_since (replica, 0, "darbnica");
      CU_ASSERT_EQUAL (sent->len, c->sent ? 1 : 0);
      if (sent->len == 1)
        {
          const DpRecord *record = g_ptr_array_index (sent, 0);

          CU_ASSERT_EQUAL (record->deleted, !c->wanted || c->json == NULL);
        }
    }
}

static void
test_invalid (void)
{
  static const char *const names[] = { "", "a/b", "a\nb", "\xff" };
  g_autofree char *deep = g_strnfill (100000, '[');
  g_autofree char *large = g_strnfill (DP_RECORD_VALUE_MAX + 1, '1');

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    CU_ASSERT_PTR_NULL (dp_record_new (DP_KIND_FLEET, names[i], 1, FALSE, "{}", NULL));
  CU_ASSERT_PTR_NULL (dp_record_new (DP_KIND_FLEET, "a", 1, FALSE, deep, NULL));
  CU_ASSERT_PTR_NULL (dp_record_new (DP_KIND_FLEET, "a", 1, FALSE, large, NULL));
  CU_ASSERT_PTR_NULL (dp_record_new (DP_KIND_FLEET, "a", 1, FALSE, "", NULL));
  CU_ASSERT_PTR_NULL (dp_record_new (DP_KIND_FLEET, "a", 1, FALSE, "{", NULL));
}

static const DpTestCase cases_[] = {
  { "an older record is ignored", test_order },
  { "a replica that goes back is detected", test_any_position },
  { "objects that a list lacks are deleted", test_list },
  { "a list of a later era", test_list_of_a_later_era },
  { "a subscriber gets its service's records", test_filter },
  { "malformed records are refused", test_invalid },
};

DP_TEST_MAIN ("replica", cases_)
