/* Guards against list parts that overflow the receive buffer of a member. When 18
 * balancers answered a report with four parts each, members knew only 96 to 108 of 163
 * members. */
#include "private/listschedule.h"
#include "protected/clock.h"
#include "runner.h"

#define MS DP_US_PER_MS

typedef struct
{
  const char *name;
  guint n_parts;
  gboolean other_zone;
  gint64 interval; /* ms between two parts */
} IntervalCase;

static const IntervalCase interval_cases_[] = {
  { "one part, near", 1, FALSE, 250 },
  { "one part, far", 1, TRUE, 250 },
  { "four parts, near", 4, FALSE, 250 },
  { "four parts, far", 4, TRUE, 1000 },
};

static void
test_intervals (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (interval_cases_); i++)
    {
      const IntervalCase *c = &interval_cases_[i];
      DpListSchedule schedule;
      gint64 sent_at = -1;
      guint part;

      dp_list_schedule_init (&schedule, 0);
      for (gint64 now = 1000; now < 9000; now += 10)
        {
          if (!dp_list_schedule_next (&schedule, c->n_parts, c->other_zone, now * MS,
                                      &part))
            continue;
          CU_ASSERT_TRUE (part < c->n_parts);
          CU_ASSERT_TRUE (sent_at < 0 || now - sent_at == c->interval);
          sent_at = now;
        }
      CU_ASSERT_TRUE (sent_at > 0);
    }
}

/* 18 balancers answer each report of a member, whose buffer holds 20 datagrams. The
 * member must have all four parts after the first answers. */
static void
test_answers_to_one_report (void)
{
  DpListSchedule schedules[18];
  guint received[4] = { 0 };
  guint n = 0;

  for (guint i = 0; i < G_N_ELEMENTS (schedules); i++)
    {
      guint part;

      dp_list_schedule_init (&schedules[i], i);
      while (dp_list_schedule_next (&schedules[i], 4, FALSE, MS, &part) && n++ < 20)
        received[part]++;
    }
  CU_ASSERT_TRUE (n <= 20);
  for (guint i = 0; i < G_N_ELEMENTS (received); i++)
    CU_ASSERT_TRUE (received[i] > 0);
}

/* A single balancer sends all parts within as many reports as there are parts. */
static void
test_single_balancer (void)
{
  DpListSchedule schedule;
  guint seen = 0;

  dp_list_schedule_init (&schedule, 5);
  for (guint i = 0; i < 4; i++)
    {
      guint part;

      CU_ASSERT_TRUE (
          dp_list_schedule_next (&schedule, 4, FALSE, (1 + 250 * i) * MS, &part));
      seen |= 1u << part;
    }
  CU_ASSERT_EQUAL (seen, 15);
  CU_ASSERT_FALSE (dp_list_schedule_next (&schedule, 0, FALSE, DP_US_PER_S * 60, &seen));
}

static const DpTestCase cases_[] = {
  { "one part per interval, which is longer to other zones", test_intervals },
  { "the answers to one report fit into the receive buffer", test_answers_to_one_report },
  { "a single balancer sends every part", test_single_balancer },
};

DP_TEST_MAIN ("list schedules", cases_)
