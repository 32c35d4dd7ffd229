/* Guards against a balancer that relies on a parent which no longer knows the newest
 * configuration, and against calls to the platform that a working parent makes needless.
 */
#include "private/freshness.h"
#include "protected/clock.h"
#include "runner.h"

#define MS DP_US_PER_MS
#define BOUND (1200 * MS)

typedef enum
{
  CONFIRMED,
  ANSWERED,
  LOST
} Event;

typedef struct
{
  gint64 at;    /* ms */
  gint64 value; /* age in ms */
  Event event;
  gboolean by_parent; /* expected after the event */
} Step;

/* Times at which nothing happens are given as an answer of the platform. */
static const Step steps_[] = {
  { 1000, 0, ANSWERED, FALSE },
  { 1100, 10, CONFIRMED, TRUE }, /* a new parent is relied on at once */
  { 2200, 0, CONFIRMED, TRUE },
  { 3400, 0, ANSWERED, TRUE },
  { 3401, 0, ANSWERED, FALSE }, /* silent for longer than the bound */
  { 3500, 0, CONFIRMED, TRUE },
  { 4600, 2000, CONFIRMED, TRUE }, /* it has fallen behind, what it said before holds */
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

  dp_freshness_init (&freshness, BOUND);
  CU_ASSERT_FALSE (dp_freshness_by_parent (&freshness, 0));
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 0), G_MAXINT64);
  for (guint i = 0; i < G_N_ELEMENTS (steps_); i++)
    {
      const Step *step = &steps_[i];
      const gint64 now = step->at * MS;

      if (step->event == CONFIRMED)
        dp_freshness_confirmed (&freshness, step->value * MS, now);
      else if (step->event == ANSWERED)
        dp_freshness_answered (&freshness, now);
      else
        dp_freshness_parent_lost (&freshness);
      if (dp_freshness_by_parent (&freshness, now) != step->by_parent)
        g_printerr ("step at %" G_GINT64_FORMAT " ms\n", step->at);
      CU_ASSERT_EQUAL (dp_freshness_by_parent (&freshness, now), step->by_parent);
    }
}

/* What is passed on must not seem newer than what was heard. */
static void
test_age (void)
{
  DpFreshness freshness;

  dp_freshness_init (&freshness, BOUND);
  dp_freshness_confirmed (&freshness, 300 * MS, 1000 * MS);
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1000 * MS), 300 * MS);
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1500 * MS), 800 * MS);
  dp_freshness_confirmed (&freshness, 900 * MS, 1500 * MS); /* overtaken by the first */
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1500 * MS), 800 * MS);
  dp_freshness_answered (&freshness, 1600 * MS);
  CU_ASSERT_EQUAL (dp_freshness_age (&freshness, 1700 * MS), 100 * MS);
}

static const DpTestCase cases_[] = {
  { "a parent is relied on while it confirms in time", test_steps },
  { "ages add up along the tree", test_age },
};

DP_TEST_MAIN ("freshness", cases_)
