/* Guards against a stale handle that gives access to the row of a newer flow. */
#include "protected/handle.h"
#include "runner.h"

static void
test_stale_handle (void)
{
  g_autoptr (DpHandleTable) table = dp_handle_table_new (sizeof (int), 2);
  DpHandle first = dp_handle_table_add (table);
  DpHandle second;

  *(int *) dp_handle_table_get (table, first) = 7;
  dp_handle_table_remove (table, first);
  CU_ASSERT_PTR_NULL (dp_handle_table_get (table, first));
  second = dp_handle_table_add (table);
  CU_ASSERT_NOT_EQUAL (first, second);
  CU_ASSERT_PTR_NULL (dp_handle_table_get (table, first));
  CU_ASSERT_EQUAL (*(int *) dp_handle_table_get (table, second), 0);
  dp_handle_table_remove (table, first);
  CU_ASSERT_EQUAL (dp_handle_table_count (table), 1);
}

static void
test_max_rows (void)
{
  g_autoptr (DpHandleTable) table = dp_handle_table_new (1, 40);
  DpHandle handle = DP_HANDLE_NONE;
  guint n = 0;

  while (dp_handle_table_add (table) != DP_HANDLE_NONE)
    n++;
  CU_ASSERT_EQUAL (n, 40);
  n = 0;
  while ((handle = dp_handle_table_next (table, handle)) != DP_HANDLE_NONE)
    {
      dp_handle_table_remove (table, handle);
      n++;
    }
  CU_ASSERT_EQUAL (n, 40);
  CU_ASSERT_EQUAL (dp_handle_table_count (table), 0);
}

static const DpTestCase cases_[] = {
  { "the handle of a removed row is stale", test_stale_handle },
  { "the number of rows is limited", test_max_rows },
};

DP_TEST_MAIN ("handle", cases_)
