/* Guards the promises of docs/proof.md over random histories of the decision modules, and
 * guards against an oracle that can't fail: each wrong variant must break a rule. */
#include <stdio.h>

#include "runner.h"
#include "stateful.h"

#define HISTORIES 400
#define COMMANDS 600
#define VARIANT_HISTORIES 400

static char *
first_violation (DpVariant variant, guint n, StatefulCount *count, guint64 *seed)
{
  for (*seed = 1; *seed <= n; (*seed)++)
    {
      GArray *commands = stateful_generate (*seed, COMMANDS);
      char *violation = stateful_run (commands, *seed, variant, count, NULL);

      g_array_unref (commands);
      if (violation != NULL)
        return violation;
    }
  return NULL;
}

static void
test_histories (void)
{
  StatefulCount count = { 0 };
  guint64 seed;
  g_autofree char *violation = first_violation (DP_VARIANT_NONE, HISTORIES, &count,
                                                &seed);

  CU_ASSERT_PTR_NULL (violation);
  if (violation != NULL)
    printf ("seed %" G_GUINT64_FORMAT ": %s\n", seed, violation);
  printf ("%" G_GUINT64_FORMAT " commands, %" G_GUINT64_FORMAT
          " flows, at most %" G_GUINT64_FORMAT " members visited\n",
          count.commands, count.flows, count.hops_max);
}

static void
test_variants (void)
{
  for (DpVariant variant = DP_VARIANT_NONE + 1; variant < DP_N_VARIANTS; variant++)
    {
      guint64 seed;
      g_autofree char *violation = first_violation (variant, VARIANT_HISTORIES, NULL,
                                                    &seed);

      CU_ASSERT_PTR_NOT_NULL (violation);
      printf ("%s: %s\n", dp_variant_string (variant),
              violation != NULL ? violation : "NOT DETECTED");
    }
}

static const DpTestCase cases_[] = {
  { "random histories break no rule", test_histories },
  { "each wrong variant breaks a rule", test_variants },
};

DP_TEST_MAIN ("stateful", cases_)
