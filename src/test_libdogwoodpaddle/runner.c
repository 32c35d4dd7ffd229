#include "runner.h"

#include <CUnit/Basic.h>

/* Registers all cases as one suite, runs it and prints the failures. */
int
dp_test_run (const char *suite, const DpTestCase *cases, guint n_cases)
{
  CU_pSuite s;
  guint failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  s = CU_add_suite (suite, NULL, NULL);
  for (guint i = 0; i < n_cases; i++)
    CU_add_test (s, cases[i].name, cases[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
