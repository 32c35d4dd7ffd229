/* Guards against a mutant that behaves like the correct code: tests that use it would not
 * show that their checks detect a fault. Each case runs the correct code and the
 * mutant. */
#include "members.h"

#define ISN 5000

static void
set_mutant (Members *m, DpMutant mutant)
{
  for (guint i = 0; i < m->n; i++)
    dp_flow_engine_set_mutant (m->engines[i], mutant);
}

static void
test_names (void)
{
  DpMutant mutant;

  for (guint i = 0; i < DP_N_MUTANTS; i++)
    {
      CU_ASSERT_TRUE (dp_mutant_parse (dp_mutant_string ((DpMutant) i), &mutant));
      CU_ASSERT_EQUAL (mutant, i);
    }
  CU_ASSERT_FALSE (dp_mutant_parse ("unknown", &mutant));
}

static void
test_no_walk (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
      DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
      guint owner;

      members_init (&m, 4);
      set_mutant (&m, mutated ? DP_MUTANT_NO_WALK : DP_MUTANT_NONE);
      members_establish (&m, &syn, ISN);
      owner = m.last_member;
      members_send (&m, (owner + 1) % 4, &ack);
      CU_ASSERT_EQUAL (m.last_action.type, mutated ? DP_ACTION_RESET : DP_ACTION_DELIVER);
      members_finish (&m);
    }
}

static void
test_forget_decisions (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);

      members_init (&m, 4);
      set_mutant (&m, mutated ? DP_MUTANT_FORGET_DECISIONS : DP_MUTANT_NONE);
      dp_flow_engine_set_leaving (m.engines[0], TRUE, m.now);
      members_send (&m, 0, &syn);
      CU_ASSERT_NOT_EQUAL (m.last_member, 0);
      dp_flow_engine_set_leaving (m.engines[0], FALSE, m.now);
      members_send (&m, 0, &syn);
      CU_ASSERT_EQUAL (m.last_member == 0, mutated);
      members_finish (&m);
    }
}

static void
test_reset_unsettled (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);

      members_init (&m, 4);
      set_mutant (&m, mutated ? DP_MUTANT_RESET_UNSETTLED : DP_MUTANT_NONE);
      for (guint i = 0; i < m.n; i++)
        dp_flow_engine_set_receiving_views (m.engines[i], FALSE, m.now);
      members_send (&m, 0, &ack);
      CU_ASSERT_EQUAL (m.last_action.type, mutated ? DP_ACTION_RESET : DP_ACTION_DROP);
      members_finish (&m);
    }
}

static void
test_any_ack (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
      DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);

      members_init (&m, 4);
      set_mutant (&m, mutated ? DP_MUTANT_ANY_ACK : DP_MUTANT_NONE);
      members_open (&m, &syn, ISN);
      ack.ack = ISN + 2;
      members_send (&m, m.last_member, &ack);
      CU_ASSERT_EQUAL (m.last_action.type, mutated ? DP_ACTION_DELIVER : DP_ACTION_RESET);
      members_finish (&m);
    }
}

static void
test_foreign_service (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
      DpHeader header;

      members_init (&m, 1);
      set_mutant (&m, mutated ? DP_MUTANT_FOREIGN_SERVICE : DP_MUTANT_NONE);
      header = members_header (&m, 0);
      header.service_id++;
      members_follow (&m, 0, header, &syn);
      CU_ASSERT_EQUAL (m.last_action.type, mutated ? DP_ACTION_HOLD : DP_ACTION_DROP);
      members_finish (&m);
    }
}

static void
test_accept_leaving (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);

      members_init (&m, 1);
      set_mutant (&m, mutated ? DP_MUTANT_ACCEPT_LEAVING : DP_MUTANT_NONE);
      dp_flow_engine_set_leaving (m.engines[0], TRUE, m.now);
      members_send (&m, 0, &syn);
      CU_ASSERT_EQUAL (m.last_action.type, mutated ? DP_ACTION_HOLD : DP_ACTION_RESET);
      members_finish (&m);
    }
}

static void
test_accept_unknown (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);

      members_init (&m, 3);
      set_mutant (&m, mutated ? DP_MUTANT_ACCEPT_UNKNOWN : DP_MUTANT_NONE);
      members_set_view (&m, 0, 2, 0);
      members_set_view (&m, 0, 3, 3);
      members_send (&m, 0, &syn);
      CU_ASSERT_EQUAL (m.last_member == 0, mutated);
      members_finish (&m);
    }
}

static void
test_refuse_delivered (void)
{
  for (guint mutated = 0; mutated < 2; mutated++)
    {
      Members m;
      DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
      DpHandle flow;

      members_init (&m, 1);
      set_mutant (&m, mutated ? DP_MUTANT_REFUSE_DELIVERED : DP_MUTANT_NONE);
      flow = members_establish (&m, &syn, ISN);
      CU_ASSERT_TRUE (dp_flow_engine_request (m.engines[0], flow, 1, m.now));
      dp_actions_clear (&m.actions);
      dp_flow_engine_server_failed (m.engines[0], flow, m.now, &m.actions);
      CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_REFUSE, NULL), mutated);
      CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_ABORT, NULL), 1 - mutated);
      members_finish (&m);
    }
}

static const DpTestCase cases_[] = {
  { "mutants have names", test_names },
  { "no-walk loses a flow of another member", test_no_walk },
  { "forget-decisions changes the decision for a SYN", test_forget_decisions },
  { "reset-unsettled resets while views may differ", test_reset_unsettled },
  { "any-ack delivers an ACK of another SYN-ACK", test_any_ack },
  { "foreign-service accepts packets of other services", test_foreign_service },
  { "accept-leaving accepts flows while leaving", test_accept_leaving },
  { "accept-unknown accepts flows before the member is known", test_accept_unknown },
  { "refuse-delivered refuses a flow that the server has read", test_refuse_delivered },
};

DP_TEST_MAIN ("mutant", cases_)
