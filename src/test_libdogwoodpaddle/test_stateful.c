/* Guards against violations of the promises in docs/proof.md, with random histories of
 * the flow engine and the router, and against rules that detect nothing: each mutant must
 * violate one. */
#include <stdio.h>
#include <string.h>

#include "runner.h"
#include "stateful.h"

#define SEED_PREFIX "# seed "
#define HISTORIES 400
#define COMMANDS 600
#define MUTANT_HISTORIES 400

static char *
first_violation (DpMutant mutant, guint n, StatefulCount *count, guint64 *seed)
{
  for (*seed = 1; *seed <= n; (*seed)++)
    {
      GArray *commands = stateful_generate (*seed, COMMANDS);
      char *violation = stateful_run (commands, *seed, mutant, count, NULL);

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
  g_autofree char *violation = first_violation (DP_MUTANT_NONE, HISTORIES, &count, &seed);

  CU_ASSERT_PTR_NULL (violation);
  if (violation != NULL)
    printf ("seed %" G_GUINT64_FORMAT ": %s\n", seed, violation);
  printf ("%" G_GUINT64_FORMAT " commands, %" G_GUINT64_FORMAT
          " flows, at most %" G_GUINT64_FORMAT " members visited\n",
          count.commands, count.flows, count.members_visited_max);
}

static void
test_mutants (void)
{
  for (DpMutant mutant = DP_MUTANT_NONE + 1; mutant < DP_N_MUTANTS; mutant++)
    {
      guint64 seed;
      g_autofree char *violation = first_violation (mutant, MUTANT_HISTORIES, NULL,
                                                    &seed);

      CU_ASSERT_PTR_NOT_NULL (violation);
      printf ("%s: %s\n", dp_mutant_string (mutant),
              violation != NULL ? violation : "NOT DETECTED");
    }
}

/* Replays shrunk histories that violated a rule before. Their first line names the
 * seed. */
static void
test_recorded (void)
{
  g_autofree char *folder = g_build_filename (g_getenv ("DP_SOURCE_DIR"), "test",
                                              "histories", NULL);
  g_autoptr (GDir) files = g_dir_open (folder, 0, NULL);
  const char *name;
  guint n = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (files);
  while ((name = g_dir_read_name (files)) != NULL)
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      g_autofree char *text = NULL;
      g_autofree char *violation = NULL;
      GArray *commands;
      guint64 seed;

      CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, NULL, NULL));
      CU_ASSERT_TRUE_FATAL (g_str_has_prefix (text, SEED_PREFIX));
      seed = g_ascii_strtoull (text + strlen (SEED_PREFIX), NULL, 10);
      commands = stateful_parse (text, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (commands);
      violation = stateful_run (commands, seed, DP_MUTANT_NONE, NULL, NULL);
      CU_ASSERT_PTR_NULL (violation);
      if (violation != NULL)
        printf ("%s: %s\n", name, violation);
      g_array_unref (commands);
      n++;
    }
  CU_ASSERT_TRUE (n > 0);
}

static const DpTestCase cases_[] = {
  { "recorded histories violate no rule", test_recorded },
  { "random histories violate no rule", test_histories },
  { "each mutant violates a rule", test_mutants },
};

DP_TEST_MAIN ("stateful", cases_)
