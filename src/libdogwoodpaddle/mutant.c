#include "protected/mutant.h"

#include <string.h>

static const char *const variant_strings_[] = {
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

G_STATIC_ASSERT (G_N_ELEMENTS (variant_strings_) == DP_N_MUTANTS);

/* Returns the mutant's name. */
const char *
dp_mutant_string (DpMutant variant)
{
  g_assert (variant < DP_N_MUTANTS);
  return variant_strings_[variant];
}

/* Finds a mutant by its name. Returns FALSE if there is none of this name. */
gboolean
dp_mutant_parse (const char *text, DpMutant *variant)
{
  for (guint i = 0; i < DP_N_MUTANTS; i++)
    {
      if (strcmp (text, variant_strings_[i]) != 0)
        continue;
      *variant = (DpMutant) i;
      return TRUE;
    }
  return FALSE;
}
