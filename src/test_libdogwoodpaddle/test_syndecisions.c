/* Guards against decisions that change when a SYN is retransmitted, and against a table
 * of decisions that grows without limit. */
#include "private/syndecisions.h"
#include "protected/clock.h"
#include "runner.h"

static DpSegment
make_syn (guint i)
{
  return (DpSegment){ .key = { { 0x0a000000 + i / 50000, (guint16) (1 + i % 50000) },
                               { 0x0a4d0001, 80 } },
                      .seq = 1000 + i,
                      .flags = DP_TCP_SYN };
}

static void
test_lifetime (void)
{
  DpSynDecisions *decisions = dp_syn_decisions_new ();
  DpSynDecision forward = { .type = DP_SYN_DECISION_FORWARD, .member = 77 };
  DpSegment syn = make_syn (1);
  DpSegment other = syn;

  dp_syn_decisions_set (decisions, &syn, &forward, 0);
  CU_ASSERT_EQUAL (dp_syn_decisions_get (decisions, &syn, 60 * DP_US_PER_S - 1).member,
                   77);
  CU_ASSERT_EQUAL (dp_syn_decisions_get (decisions, &syn, 60 * DP_US_PER_S).type,
                   DP_SYN_DECISION_NONE);
  other.seq++;
  CU_ASSERT_EQUAL (dp_syn_decisions_get (decisions, &other, 0).type,
                   DP_SYN_DECISION_NONE);
  forward.member = 78;
  dp_syn_decisions_set (decisions, &syn, &forward, 60 * DP_US_PER_S);
  CU_ASSERT_EQUAL (dp_syn_decisions_get (decisions, &syn, 61 * DP_US_PER_S).member, 78);
  dp_syn_decisions_set (decisions, &syn, &(DpSynDecision){ .type = DP_SYN_DECISION_NONE },
                        0);
  CU_ASSERT_EQUAL (dp_syn_decisions_get (decisions, &syn, 0).type, DP_SYN_DECISION_NONE);
  dp_syn_decisions_free (decisions);
}

static void
test_full_table (void)
{
  DpSynDecisions *decisions = dp_syn_decisions_new ();
  const guint n = 3 * DP_SYN_DECISIONS_MAX + 100;

  for (guint i = 0; i < n; i++)
    {
      DpSynDecision forward = { .type = DP_SYN_DECISION_FORWARD, .member = i };
      DpSegment syn = make_syn (i);

      dp_syn_decisions_set (decisions, &syn, &forward, i);
    }
  for (guint i = 0; i < n; i++)
    {
      DpSegment syn = make_syn (i);
      DpSynDecision decision = dp_syn_decisions_get (decisions, &syn, n);

      if (i < n - DP_SYN_DECISIONS_MAX)
        CU_ASSERT_EQUAL (decision.type, DP_SYN_DECISION_NONE);
      if (i >= n - DP_SYN_DECISIONS_MAX)
        CU_ASSERT_EQUAL (decision.member, i);
    }
  dp_syn_decisions_free (decisions);
}

static const DpTestCase cases_[] = {
  { "a decision holds for 60 s and one sequence number", test_lifetime },
  { "a full table drops the oldest decision", test_full_table },
};

DP_TEST_MAIN ("syndecisions", cases_)
