/* Guards against flows that are mistaken for one another, and against entries that are
 * evicted while there is room. */
#include "protected/clock.h"
#include "protected/flowcache.h"
#include "runner.h"

static DpFlowKey
make_key (guint i)
{
  return (DpFlowKey){ { 0x64400000 + i, (guint16) (1024 + i % 5000) },
                      { 0xc6120001, 443 } };
}

static void
test_find (void)
{
  g_autoptr (DpFlowCache) cache = dp_flow_cache_new (4096);
  guint found = 0;

  for (guint i = 0; i < 1000; i++)
    {
      DpFlowKey key = make_key (i);
      DpCachedFlow replaced;

      dp_flow_cache_add (cache, &key, dp_flow_key_hash (&key), i * DP_US_PER_MS,
                         &replaced)
          ->member = i + 1;
    }
  for (guint i = 0; i < 1000; i++)
    {
      DpFlowKey key = make_key (i);
      const DpCachedFlow *flow = dp_flow_cache_find (cache, &key,
                                                     dp_flow_key_hash (&key));

      found += flow != NULL;
      if (flow != NULL)
        CU_ASSERT_EQUAL (flow->member, i + 1);
    }
  /* With the cache a quarter full, only a few of 1,000 flows overflow a set of four. */
  CU_ASSERT (found >= 980);
}

/* The least recently used row is evicted, and the caller gets its content. */
static void
test_eviction (void)
{
  g_autoptr (DpFlowCache) cache = dp_flow_cache_new (4);
  DpFlowKey first = make_key (0);

  for (guint i = 0; i < 5; i++)
    {
      DpFlowKey key = make_key (i);
      DpCachedFlow replaced;
      DpCachedFlow *flow = dp_flow_cache_add (cache, &key, dp_flow_key_hash (&key),
                                              (10 + i) * DP_US_PER_MS, &replaced);

      flow->member = i + 1;
      CU_ASSERT_EQUAL (replaced.member, i == 4 ? 1 : DP_HANDLE_NONE);
    }
  CU_ASSERT_PTR_NULL (dp_flow_cache_find (cache, &first, dp_flow_key_hash (&first)));
}

static const DpTestCase cases_[] = {
  { "flows are found again", test_find },
  { "the least recently used flow is evicted", test_eviction },
};

DP_TEST_MAIN ("flowcache", cases_)
