/* Guards against slots that stay taken after an answer is complete, and against servers
 * that write answers in pieces being taken for idle. */
#include "private/answerend.h"
#include "runner.h"

/* Sends partial packets, of which one in continued_every is not the last one of its
 * answer; 0: all are. Returns how many of the last hundred counted as the end. */
static guint
count_ends (DpAnswerEnd *end, guint n, guint continued_every)
{
  guint n_ends = 0;

  for (guint i = 1; i <= n; i++)
    {
      const gboolean is_end = dp_answer_end_note_partial (end);

      if (i + 100 > n && is_end)
        n_ends++;
      if (continued_every > 0 && i % continued_every == 0)
        dp_answer_end_note_continued (end);
    }
  return n_ends;
}

static void
test_servers (void)
{
  static const struct
  {
    const char *label;
    guint continued_every;
    guint ends_min;
    guint ends_max;
  } cases[] = {
    { "whole answers", 0, 100, 100 },
    { "one answer in 50 goes on", 50, 90, 100 },
    { "every second packet is a header", 2, 0, 0 },
    { "every packet is followed by another", 1, 0, 0 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      DpAnswerEnd end = { 0 };
      const guint n = count_ends (&end, 1000, cases[i].continued_every);

      if (n < cases[i].ends_min || n > cases[i].ends_max)
        CU_FAIL (cases[i].label);
    }
}

static void
test_change_of_server (void)
{
  DpAnswerEnd end = { 0 };

  CU_ASSERT_EQUAL (count_ends (&end, 200, 2), 0);
  CU_ASSERT_EQUAL (count_ends (&end, 400, 0), 100);
  CU_ASSERT_EQUAL (count_ends (&end, 200, 2), 0);
}

static const DpTestCase cases_[] = {
  { "partial packets end the answers of servers that write them whole", test_servers },
  { "a replaced server is learnt anew", test_change_of_server },
};

DP_TEST_MAIN ("answerend", cases_)
