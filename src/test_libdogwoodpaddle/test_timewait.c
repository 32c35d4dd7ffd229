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
test_linger (void)
{
  DpTimeWait *linger = dp_time_wait_new (2, 100);
  DpFlowKey first = key_of (1);
  DpFlowKey second = key_of (2);
  DpFlowKey third = key_of (3);
  DpFlowKey evicted = { 0 };

  CU_ASSERT_FALSE (dp_time_wait_add (linger, &first, 0, &evicted));
  CU_ASSERT_FALSE (dp_time_wait_add (linger, &second, 10, &evicted));
  CU_ASSERT_TRUE (dp_time_wait_has (linger, &first, 99));
  CU_ASSERT_FALSE (dp_time_wait_has (linger, &first, 100));
  /* Adding a key again renews it. */
  CU_ASSERT_FALSE (dp_time_wait_add (linger, &first, 20, &evicted));
  CU_ASSERT_TRUE (dp_time_wait_add (linger, &third, 30, &evicted));
  CU_ASSERT_TRUE (dp_flow_key_equal (&evicted, &second));
  CU_ASSERT_FALSE (dp_time_wait_has (linger, &second, 30));
  CU_ASSERT_TRUE (dp_time_wait_remove (linger, &first));
  CU_ASSERT_FALSE (dp_time_wait_remove (linger, &first));
  /* Once the third key has expired, none is removed before its time. */
  CU_ASSERT_FALSE (dp_time_wait_add (linger, &first, 130, &evicted));
  CU_ASSERT_FALSE (dp_time_wait_add (linger, &second, 130, &evicted));
  CU_ASSERT_TRUE (dp_time_wait_has (linger, &first, 130));
  dp_time_wait_free (linger);
}

static const DpTestCase cases_[] = {
  { "keys expire, and a full table removes the oldest", test_linger },
};

DP_TEST_MAIN ("linger", cases_)
