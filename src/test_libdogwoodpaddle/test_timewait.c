/* Guards against a table of ended flows that grows without limit or keeps flows
 * forever. */
#include "private/timewait.h"
#include "runner.h"

static DpFlowKey
key_of (guint16 port)
{
  DpFlowKey key = {
    .client = { .ip = 0x0a000009, .port = port },
    .service = { .ip = 0x0a4d0001, .port = 80 },
  };

  return key;
}

static void
test_expiry_and_eviction (void)
{
  DpTimeWait *time_wait = dp_time_wait_new (2, 100);
  DpFlowKey first = key_of (1);
  DpFlowKey second = key_of (2);
  DpFlowKey third = key_of (3);
  DpFlowKey evicted = { 0 };

  CU_ASSERT_FALSE (dp_time_wait_add (time_wait, &first, 0, &evicted));
  CU_ASSERT_FALSE (dp_time_wait_add (time_wait, &second, 10, &evicted));
  CU_ASSERT_TRUE (dp_time_wait_has (time_wait, &first, 99));
  CU_ASSERT_FALSE (dp_time_wait_has (time_wait, &first, 100));
  /* Adding a key again renews it. */
  CU_ASSERT_FALSE (dp_time_wait_add (time_wait, &first, 20, &evicted));
  CU_ASSERT_TRUE (dp_time_wait_add (time_wait, &third, 30, &evicted));
  CU_ASSERT_TRUE (dp_flow_key_equal (&evicted, &second));
  CU_ASSERT_FALSE (dp_time_wait_has (time_wait, &second, 30));
  CU_ASSERT_TRUE (dp_time_wait_remove (time_wait, &first));
  CU_ASSERT_FALSE (dp_time_wait_remove (time_wait, &first));
  /* Once the third key has expired, none is removed before its time. */
  CU_ASSERT_FALSE (dp_time_wait_add (time_wait, &first, 130, &evicted));
  CU_ASSERT_FALSE (dp_time_wait_add (time_wait, &second, 130, &evicted));
  CU_ASSERT_TRUE (dp_time_wait_has (time_wait, &first, 130));
  dp_time_wait_free (time_wait);
}

static const DpTestCase cases_[] = {
  { "keys expire, and a full table removes the oldest", test_expiry_and_eviction },
};

DP_TEST_MAIN ("timewait", cases_)
