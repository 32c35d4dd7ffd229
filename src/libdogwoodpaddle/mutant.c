#include "protected/mutant.h"

#include <string.h>

static const char *const mutant_strings_[] = {
  "none",
  "no-walk",
  "forget-decisions",
  "reset-unsettled",
  "any-ack",
  "foreign-service",
  "accept-leaving",
  "accept-unknown",
  "refuse-delivered",
};

G_STATIC_ASSERT (G_N_ELEMENTS (mutant_strings_) == DP_N_MUTANTS);

/* Returns the mutant's name. */
const char *
dp_mutant_string (DpMutant mutant)
{
  g_assert (mutant < DP_N_MUTANTS);
  return mutant_strings_[mutant];
}

/* Finds a mutant by its name. Returns FALSE if there is none of this name. */
gboolean
dp_mutant_parse (const char *text, DpMutant *mutant)
{
  for (guint i = 0; i < DP_N_MUTANTS; i++)
    {
      if (strcmp (text, mutant_strings_[i]) != 0)
        continue;
      *mutant = (DpMutant) i;
      return TRUE;
    }
  return FALSE;
}
