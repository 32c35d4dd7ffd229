/* The era of the platform's store as its responses show it. Performs no I/O: the caller
 * passes in the text of each response's header. */
#pragma once

#include <glib.h>

typedef enum
{
  DP_STORE_ERA_SAME,
  DP_STORE_ERA_FIRST,   /* of the first response */
  DP_STORE_ERA_RAISED,  /* the store was restored since the last response */
  DP_STORE_ERA_ENDED,   /* lower than one seen before: a late response of that era */
  DP_STORE_ERA_MISSING, /* no header though there was one before; the known era counts */
  DP_STORE_ERA_MALFORMED, /* not a number or too large; counts as missing */
  DP_N_STORE_ERA_RESULTS
} DpStoreEraResult;

typedef struct
{
  gboolean answered; /* there was a response */
  guint64 era;       /* the highest one seen, 0: none */
  guint64 malformed; /* responses with a malformed header */
  guint64 missing;   /* responses without a header after one with a header */
  guint64 ended;     /* responses of an earlier era */
} DpStoreEra;

const char *dp_store_era_result_string (DpStoreEraResult result);
/* text: the header's value, NULL if the response has none. */
DpStoreEraResult dp_store_era_observe (DpStoreEra *store, const char *text);
