/* Guards against waits that, added up, exceed the time in which a change of the
 * configuration has to be in force. */
#include "protected/configtiming.h"

#include "protected/platform.h"
#include "runner.h"

typedef struct
{
  guint settle_ms;
  guint apply_ms;
  gboolean fits;
} Bounds;

static const Bounds bounds_[] = {
  { 4000, 3000, TRUE },  { 5000, 5000, TRUE },   { 6000, 6000, TRUE },
  { 5000, 8000, TRUE },  { 19000, 19000, TRUE }, { 4000, 2500, TRUE },
  { 1500, 1500, FALSE }, { 500, 500, FALSE },    { 1, 1, FALSE },
};

static void
test_waits_that_add_up_past_the_bounds (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (bounds_); i++)
    {
      DpConfigTiming timing;

      dp_config_timing_init (&timing, bounds_[i].settle_ms, bounds_[i].apply_ms);
      CU_ASSERT_EQUAL (dp_config_timing_fits (&timing), bounds_[i].fits);
      for (guint j = 0; bounds_[i].fits && j < DP_N_CONFIG_DELAYS; j++)
        CU_ASSERT (dp_config_timing_sum (&timing, (DpConfigDelay) j)
                   <= dp_config_timing_bound (&timing, (DpConfigDelay) j));
      CU_ASSERT (timing.apply_ms <= timing.settle_ms);
      CU_ASSERT (timing.watch_wait_ms > 0 && timing.relay_watch_wait_ms > 0);
    }
}

/* A parent that works must not be given up between two of its confirmations. */
static void
test_parents_given_up_between_confirmations (void)
{
  const guint slow_answer_ms = 340;

  for (guint i = 0; i < G_N_ELEMENTS (bounds_); i++)
    {
      DpConfigTiming timing;

      dp_config_timing_init (&timing, bounds_[i].settle_ms, bounds_[i].apply_ms);
      if (bounds_[i].fits)
        CU_ASSERT (timing.relay_watch_wait_ms + slow_answer_ms < timing.relay_max_age_ms);
    }
}

/* The sums count the timeouts that the client of the platform really has. */
static void
test_timeouts_of_the_client (void)
{
  DpPlatform *platform = dp_platform_new ("http://127.0.0.1:1");

  dp_platform_set_timeout (platform, DP_PLATFORM_LAST_READ_TIMEOUT_MS);
  CU_ASSERT_EQUAL (dp_platform_read_timeout (platform, 1), DP_PLATFORM_READ_TIMEOUT_MS);
  CU_ASSERT_EQUAL (dp_platform_read_timeout (platform, 2), DP_PLATFORM_READ_TIMEOUT_MS);
  CU_ASSERT (dp_platform_read_timeout (platform, 100)
             <= DP_PLATFORM_LAST_READ_TIMEOUT_MS);
  dp_platform_free (platform);
}

static const DpTestCase cases_[] = {
  { "waits that add up past the bounds", test_waits_that_add_up_past_the_bounds },
  { "parents given up between confirmations",
    test_parents_given_up_between_confirmations },
  { "timeouts of the client", test_timeouts_of_the_client },
};

DP_TEST_MAIN ("configtiming", cases_)
