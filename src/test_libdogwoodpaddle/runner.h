/* Runs a table of test cases with CUnit. */
#pragma once

#include <CUnit/CUnit.h>
#include <glib.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} DpTestCase;

/* Returns the exit status: 0 only if no assertion failed. */
int dp_test_run (const char *suite, const DpTestCase *cases, guint n_cases);

#define DP_TEST_MAIN(suite, cases)                                                       \
  int main (void)                                                                        \
  {                                                                                      \
    return dp_test_run (suite, cases, G_N_ELEMENTS (cases));                             \
  }
