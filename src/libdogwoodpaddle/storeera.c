#include "private/storeera.h"

#include "protected/position.h"

static const char *const result_strings_[] = {
  "same", "first", "raised", "ended", "missing", "malformed",
};

G_STATIC_ASSERT (G_N_ELEMENTS (result_strings_) == DP_N_STORE_ERA_RESULTS);

/* Returns a short name of the result. */
const char *
dp_store_era_result_string (DpStoreEraResult result)
{
  g_assert (result < DP_N_STORE_ERA_RESULTS);
  return result_strings_[result];
}

/* Takes the era of a response. The highest era seen is the present one: eras never go
 * back, and a response of an earlier era may arrive late on another connection. */
DpStoreEraResult
dp_store_era_observe (DpStoreEra *store, const char *text)
{
  const gboolean first = !store->answered;
  guint64 era;

  store->answered = TRUE;
  if (text == NULL)
    {
      if (store->era == 0)
        return first ? DP_STORE_ERA_FIRST : DP_STORE_ERA_SAME;
      store->missing++;
      return DP_STORE_ERA_MISSING;
    }
  if (!g_ascii_string_to_unsigned (text, 10, 0, DP_ERA_MAX, &era, NULL))
    {
      store->malformed++;
      return DP_STORE_ERA_MALFORMED;
    }
  if (era < store->era)
    {
      store->ended++;
      return DP_STORE_ERA_ENDED;
    }
  if (era == store->era)
    return first ? DP_STORE_ERA_FIRST : DP_STORE_ERA_SAME;
  store->era = era;
  return first ? DP_STORE_ERA_FIRST : DP_STORE_ERA_RAISED;
}
