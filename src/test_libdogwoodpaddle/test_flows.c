/* Guards against flows that can't be found after others were removed, and against timers
 * that expire out of order. */
#include "private/flows.h"
#include "runner.h"

#define N_KEYS 3000
#define N_STEPS 100000
#define N_TIMED 100

static DpFlowKey
make_key (guint i)
{
  return (DpFlowKey){ { 0x0a000000 + i / 100, (guint16) (1 + i % 100) },
                      { 0x0a4d0001, 80 } };
}

static void
test_random (void)
{
  DpFlows *flows = dp_flows_new (N_KEYS);
  g_autoptr (GRand) rand = g_rand_new_with_seed (11);
  g_autofree DpHandle *handles = g_new0 (DpHandle, N_KEYS);
  guint count = 0;

  for (guint step = 0; step < N_STEPS; step++)
    {
      guint i = (guint) g_rand_int_range (rand, 0, N_KEYS);
      DpFlowKey key = make_key (i);
      guint64 hash = dp_flow_key_hash (&key);

      CU_ASSERT_EQUAL (dp_flows_find (flows, &key, hash), handles[i]);
      if (handles[i] == DP_HANDLE_NONE)
        {
          handles[i] = dp_flows_add (flows, &key, hash);
          count++;
        }
      else if (g_rand_boolean (rand))
        {
          dp_flows_remove (flows, handles[i]);
          handles[i] = DP_HANDLE_NONE;
          count--;
        }
      CU_ASSERT_EQUAL (dp_flows_count (flows), count);
    }
  for (guint i = 0; i < N_KEYS; i++)
    {
      DpFlowKey key = make_key (i);

      CU_ASSERT_EQUAL (dp_flows_find (flows, &key, dp_flow_key_hash (&key)), handles[i]);
    }
  dp_flows_free (flows);
}

static void
test_full (void)
{
  DpFlows *flows = dp_flows_new (10);

  for (guint i = 0; i < 11; i++)
    {
      DpFlowKey key = make_key (i);
      DpHandle handle = dp_flows_add (flows, &key, dp_flow_key_hash (&key));

      CU_ASSERT_EQUAL (handle == DP_HANDLE_NONE, i == 10);
    }
  dp_flows_free (flows);
}

/* Starts, restarts, replaces and stops timers at random. */
static void
test_timers (void)
{
  DpFlows *flows = dp_flows_new (N_TIMED);
  g_autoptr (GRand) rand = g_rand_new_with_seed (13);
  DpHandle handles[N_TIMED];
  gint64 since = 0;
  gint64 last = 0;
  guint n = 0;

  for (guint i = 0; i < N_TIMED; i++)
    {
      DpFlowKey key = make_key (i);

      handles[i] = dp_flows_add (flows, &key, dp_flow_key_hash (&key));
    }
  for (gint64 now = 1; now < 5000; now++)
    {
      DpHandle handle = handles[g_rand_int_range (rand, 0, N_TIMED)];

      dp_flows_start_timer (flows, handle, DP_TIMER_IDLE, now);
      CU_ASSERT_TRUE (dp_flows_timer_running (flows, handle, DP_TIMER_IDLE, &since));
      CU_ASSERT_EQUAL (since, now);
      handle = handles[g_rand_int_range (rand, 0, N_TIMED)];
      if (now % 3 == 0)
        dp_flows_start_timer (flows, handle, DP_TIMER_RESPONSE, now);
      if (now % 5 == 0)
        dp_flows_start_timer (flows, handle, DP_TIMER_HALF_OPEN, now);
      if (now % 7 == 0)
        dp_flows_stop_timer (flows, handle, DP_TIMER_GROUP_SLOT);
    }
  for (guint i = 0; i < DP_N_TIMERS; i++)
    {
      DpHandle handle;

      last = 0;
      while ((handle = dp_flows_oldest_timer (flows, (DpTimer) i, &since))
             != DP_HANDLE_NONE)
        {
          CU_ASSERT_TRUE (since >= last);
          last = since;
          if (i == DP_TIMER_RESPONSE)
            dp_flows_stop_timer (flows, handle, DP_TIMER_GROUP_SLOT);
          else
            dp_flows_remove (flows, handle);
          n += i == DP_TIMER_RESPONSE ? 0 : 1;
        }
    }
  CU_ASSERT_EQUAL (n, N_TIMED);
  CU_ASSERT_EQUAL (dp_flows_count (flows), 0);
  dp_flows_free (flows);
}

static const DpTestCase cases_[] = {
  { "flows are found while others are added and removed", test_random },
  { "a full table takes no more flows", test_full },
  { "timers expire in the order in which they were started", test_timers },
};

DP_TEST_MAIN ("flows", cases_)
