/* Guards against a balancer that relies on a parent which no longer knows the newest
 * configuration, and against requests to the platform that a working parent makes
 * unnecessary. */
#include "private/freshness.h"
#include "protected/clock.h"
#include "runner.h"

#define MS DP_US_PER_MS
#define MAX_AGE (1200 * MS)

typedef enum
{
  CONFIRMED,
  ANSWERED,
  LOST
} Event;

typedef struct
{
  gint64 at;    /* ms */
  gint64 value; /* ms, age of a confirmation */
  Event event;
  gboolean by_parent; /* expected after the event */
} Step;

/* A step with ANSWERED, an answer of the platform, doesn't change the result; it checks
 * the result after some time without an event of the parent. */
static const Step steps_[] = {
  { 1000, 0, ANSWERED, FALSE },
  { 1100, 10, CONFIRMED, TRUE }, /* a new parent is relied on at once */
  { 2200, 0, CONFIRMED, TRUE },
  { 3400, 0, ANSWERED, TRUE },
  { 3401, 0, ANSWERED, FALSE }, /* no confirmation for longer than MAX_AGE */
  { 3500, 0, CONFIRMED, TRUE },
  { 4600, 2000, CONFIRMED, TRUE }, /* out of date, but the earlier one still holds */
  { 4701, 0, ANSWERED, FALSE },
  { 4800, 100, CONFIRMED, TRUE },
  { 4801, 0, LOST, FALSE },
  { 4900, 2000, CONFIRMED, FALSE }, /* the next parent is out of date */
  { 5000, 0, CONFIRMED, TRUE },
};

static void
test_steps (void)
{
  DpFreshness freshness;

  dp_freshness_init (&freshness, MAX_AGE);
  CU_ASSERT_FALSE (dp_freshness_parent_is_current (&freshness, 0));
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 0), G_MAXINT64);
  for (guint i = 0; i < G_N_ELEMENTS (steps_); i++)
    {
      const Step *step = &steps_[i];
      const gint64 now = step->at * MS;

      if (step->event == CONFIRMED)
        dp_freshness_parent_confirmed (&freshness, step->value * MS, now);
      else if (step->event == ANSWERED)
        dp_freshness_platform_answered (&freshness, now);
      else
        dp_freshness_parent_lost (&freshness);
      if (dp_freshness_parent_is_current (&freshness, now) != step->by_parent)
        g_printerr ("step at %" G_GINT64_FORMAT " ms\n", step->at);
      CU_ASSERT_EQUAL (dp_freshness_parent_is_current (&freshness, now), step->by_parent);
    }
}

/* An age that is passed on to children must not be lower than the age that the parent
 * reported. */
static void
test_age (void)
{
  DpFreshness freshness;

  dp_freshness_init (&freshness, MAX_AGE);
  dp_freshness_parent_confirmed (&freshness, 300 * MS, 1000 * MS);
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1000 * MS), 300 * MS);
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1500 * MS), 800 * MS);
  dp_freshness_parent_confirmed (&freshness, 900 * MS,
                                 1500 * MS); /* older than the first */
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1500 * MS), 800 * MS);
  dp_freshness_platform_answered (&freshness, 1600 * MS);
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1700 * MS), 100 * MS);
}

static const DpTestCase cases_[] = {
  { "a parent is relied on while it confirms in time", test_steps },
  { "ages add up along the relay tree", test_age },
};

DP_TEST_MAIN ("freshness", cases_)
