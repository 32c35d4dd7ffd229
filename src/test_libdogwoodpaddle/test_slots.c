/* Guards against urgent requests that wait behind longer ones, and against slots that are
 * lost or assigned twice. */
#include "protected/clock.h"
#include "protected/slots.h"
#include "runner.h"

#define N_STEPS 20000

static void
test_order (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  DpHandle ticket;

  dp_slots_set_capacity (slots, 1, FALSE);
  CU_ASSERT_TRUE (dp_slots_acquire (slots, DP_TRAFFIC_BULK));
  CU_ASSERT_FALSE (dp_slots_acquire (slots, DP_TRAFFIC_URGENT));
  dp_slots_enqueue (slots, 1, DP_TRAFFIC_BULK);
  dp_slots_enqueue (slots, 2, DP_TRAFFIC_INTERACTIVE);
  ticket = dp_slots_enqueue (slots, 3, DP_TRAFFIC_INTERACTIVE);
  dp_slots_enqueue (slots, 4, DP_TRAFFIC_INTERACTIVE);
  dp_slots_enqueue (slots, 5, DP_TRAFFIC_URGENT);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), DP_HANDLE_NONE);
  dp_slots_cancel (slots, ticket);
  dp_slots_cancel (slots, ticket);
  CU_ASSERT_EQUAL (dp_slots_waiting (slots, DP_TRAFFIC_INTERACTIVE), 2);
  dp_slots_release (slots, DP_TRAFFIC_BULK);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), 5);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), DP_HANDLE_NONE);
  dp_slots_release (slots, DP_TRAFFIC_URGENT);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), 2);
  dp_slots_release (slots, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), 4);
  dp_slots_release (slots, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), 1);
  dp_slots_release (slots, DP_TRAFFIC_BULK);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), DP_HANDLE_NONE);
  CU_ASSERT_EQUAL (dp_slots_busy (slots), 0);
}

/* A new flow doesn't overtake the waiting flows of its class. */
static void
test_no_overtaking (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);

  dp_slots_set_capacity (slots, 1, FALSE);
  CU_ASSERT_TRUE (dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE));
  dp_slots_enqueue (slots, 1, DP_TRAFFIC_INTERACTIVE);
  dp_slots_release (slots, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_FALSE (dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE));
  CU_ASSERT_FALSE (dp_slots_acquire (slots, DP_TRAFFIC_BULK));
  CU_ASSERT_TRUE (dp_slots_acquire (slots, DP_TRAFFIC_URGENT));
}

/* A backlog must not make new flows late, and an urgent flow goes first even if late. */
static void
test_late_order (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  static const DpHandle order[] = { 1, 2, 3, 4, 5 };

  dp_slots_set_capacity (slots, 1, FALSE);
  dp_slots_enqueue_late (slots, 5, DP_TRAFFIC_BULK);
  dp_slots_enqueue_late (slots, 4, DP_TRAFFIC_INTERACTIVE);
  dp_slots_enqueue_late (slots, 2, DP_TRAFFIC_URGENT);
  dp_slots_enqueue (slots, 3, DP_TRAFFIC_INTERACTIVE);
  dp_slots_enqueue (slots, 1, DP_TRAFFIC_URGENT);
  CU_ASSERT_EQUAL (dp_slots_waiting_in_time (slots), 2);
  CU_ASSERT_EQUAL (dp_slots_waiting (slots, DP_TRAFFIC_URGENT), 2);
  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    {
      DpHandle flow = dp_slots_acquire_next (slots, 0);

      CU_ASSERT_EQUAL (flow, order[i]);
      for (guint class = 0; class < DP_N_TRAFFIC_CLASSES; class ++)
        if (dp_slots_can_acquire (slots, (DpTrafficClass) class))
          CU_FAIL ("the only slot is free");
      dp_slots_release (slots, flow <= 2   ? DP_TRAFFIC_URGENT
                               : flow <= 4 ? DP_TRAFFIC_INTERACTIVE
                                           : DP_TRAFFIC_BULK);
    }
}

/* Late flows leave the slots beyond their own capacity to in-time flows, and cancelling a
 * late flow keeps the order of the others. */
static void
test_late_capacity (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  DpHandle ticket;

  dp_slots_set_capacity (slots, 3, FALSE);
  dp_slots_set_late_capacity (slots, 1);
  dp_slots_enqueue_late (slots, 3, DP_TRAFFIC_INTERACTIVE);
  dp_slots_enqueue_late (slots, 2, DP_TRAFFIC_INTERACTIVE);
  ticket = dp_slots_enqueue_late (slots, 1, DP_TRAFFIC_INTERACTIVE);
  dp_slots_cancel (slots, ticket);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), 2);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), DP_HANDLE_NONE);
  CU_ASSERT_TRUE (dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE));
  dp_slots_enqueue (slots, 4, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), 4);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), DP_HANDLE_NONE);
}

/* After an outage the clients of the oldest late flows have given up. Of flows
 * that have waited for 400, 300, 200 and 100 ms, the newest ones are the most
 * likely to be of use. */
static void
test_newest_late_first (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);

  dp_slots_set_capacity (slots, 10, FALSE);
  dp_slots_set_late_capacity (slots, 10);
  for (guint i = 1; i <= 4; i++)
    dp_slots_enqueue_late (slots, i, DP_TRAFFIC_INTERACTIVE);
  for (guint i = 4; i >= 1; i--)
    CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 500 * DP_US_PER_MS), i);
}

/* A backlog of late urgent flows must not block in-time interactive flows, nor these the
 * urgent ones: with three of each, every second turn goes to an urgent flow. */
static void
test_late_urgent_take_turns (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  static const DpHandle order[] = { 13, 1, 12, 2, 11, 3 };

  dp_slots_set_capacity (slots, 5, FALSE);
  dp_slots_set_late_capacity (slots, 3);
  for (guint i = 0; i < 5; i++)
    CU_ASSERT_TRUE (dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE));
  for (guint i = 1; i <= 3; i++)
    {
      dp_slots_enqueue (slots, i, DP_TRAFFIC_INTERACTIVE);
      dp_slots_enqueue_late (slots, 10 + i, DP_TRAFFIC_URGENT);
    }
  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    {
      dp_slots_release (slots, i == 0 || order[i - 1] < 10 ? DP_TRAFFIC_INTERACTIVE
                                                           : DP_TRAFFIC_URGENT);
      CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), order[i]);
    }
}

/* A new in-time flow alternates with the late urgent ones, so it waits for only one of
 * them however many there are. It must not be rejected because of their backlog. */
static void
test_late_urgent_backlog_counts_once (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (100);
  gint64 alone;

  dp_slots_set_capacity (slots, 1, FALSE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  dp_slots_enqueue_late (slots, 1, DP_TRAFFIC_URGENT);
  alone = dp_slots_expected_wait (slots, DP_TRAFFIC_INTERACTIVE, 0);
  for (guint i = 2; i <= 20; i++)
    dp_slots_enqueue_late (slots, i, DP_TRAFFIC_URGENT);
  CU_ASSERT_EQUAL (dp_slots_expected_wait (slots, DP_TRAFFIC_INTERACTIVE, 0), alone);
}

/* Under lasting overload late flows are never served. The expected wait grows with the
 * time since one of them got a slot, and falls again when one does. */
static void
test_late_wait_grows (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  gint64 wait;

  dp_slots_set_capacity (slots, 2, FALSE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  dp_slots_enqueue_late (slots, 1, DP_TRAFFIC_INTERACTIVE);
  dp_slots_note_demand (slots, DP_TRAFFIC_INTERACTIVE, 0);
  wait = dp_slots_expected_late_wait (slots, DP_TRAFFIC_INTERACTIVE, 0);
  CU_ASSERT_TRUE (wait > 0 && wait <= 150 * DP_US_PER_MS);
  CU_ASSERT_TRUE (dp_slots_expected_late_wait (slots, DP_TRAFFIC_URGENT, 0) < wait);
  CU_ASSERT_TRUE (
      dp_slots_expected_late_wait (slots, DP_TRAFFIC_INTERACTIVE, 600 * DP_US_PER_MS)
      >= 600 * DP_US_PER_MS);
  dp_slots_enqueue_late (slots, 2, DP_TRAFFIC_INTERACTIVE);
  dp_slots_release (slots, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 700 * DP_US_PER_MS), 2);
  CU_ASSERT_TRUE (
      dp_slots_expected_late_wait (slots, DP_TRAFFIC_INTERACTIVE, 700 * DP_US_PER_MS)
      <= 150 * DP_US_PER_MS);
}

/* Under lasting overload the clients of late flows give up, which empties the queue. New
 * late flows must not be queued as if an overload had only begun: their clients would
 * spend their attempts on waits, and be late when they are served. */
static void
test_late_wait_outlasts_the_queue (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  const gint64 second = DP_US_PER_S;
  DpHandle ticket;

  dp_slots_set_capacity (slots, 1, FALSE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  ticket = dp_slots_enqueue_late (slots, 1, DP_TRAFFIC_INTERACTIVE);
  dp_slots_note_demand (slots, DP_TRAFFIC_INTERACTIVE, second);
  for (guint i = 2; i <= 9; i++)
    {
      dp_slots_enqueue (slots, i, DP_TRAFFIC_INTERACTIVE);
      dp_slots_release (slots, DP_TRAFFIC_INTERACTIVE);
      CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, second + i * second / 10), i);
    }
  dp_slots_cancel (slots, ticket);
  CU_ASSERT_TRUE (dp_slots_expected_late_wait (slots, DP_TRAFFIC_INTERACTIVE, 2 * second)
                  >= second);
  /* A late urgent flow would have got one of these slots. */
  CU_ASSERT_TRUE (dp_slots_expected_late_wait (slots, DP_TRAFFIC_URGENT, 2 * second)
                  < second / 2);
  dp_slots_release (slots, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 2 * second), DP_HANDLE_NONE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_TRUE (dp_slots_expected_late_wait (slots, DP_TRAFFIC_INTERACTIVE, 2 * second)
                  < second / 2);
}

static void
test_bulk_leaves_a_slot (void)
{
  static const guint capacities[] = { 1, 2, 4 };

  for (guint i = 0; i < G_N_ELEMENTS (capacities); i++)
    {
      g_autoptr (DpSlots) mixed = dp_slots_new (10);
      g_autoptr (DpSlots) bulk_only = dp_slots_new (10);
      guint n = 0;

      dp_slots_set_capacity (mixed, capacities[i], TRUE);
      while (dp_slots_acquire (mixed, DP_TRAFFIC_BULK))
        n++;
      CU_ASSERT_EQUAL (n, MAX (capacities[i] - 1, 1));
      dp_slots_enqueue (mixed, 1, DP_TRAFFIC_BULK);
      CU_ASSERT_EQUAL (dp_slots_acquire_next (mixed, 0), DP_HANDLE_NONE);
      CU_ASSERT_EQUAL (dp_slots_acquire (mixed, DP_TRAFFIC_URGENT), capacities[i] > 1);
      dp_slots_set_capacity (bulk_only, capacities[i], FALSE);
      for (n = 0; dp_slots_acquire (bulk_only, DP_TRAFFIC_BULK); n++)
        ;
      CU_ASSERT_EQUAL (n, capacities[i]);
    }
}

static void
test_expected_wait (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (100);
  gint64 interactive;

  dp_slots_set_capacity (slots, 2, FALSE);
  for (guint i = 0; i < 100; i++)
    {
      dp_slots_request_started (slots, DP_TRAFFIC_INTERACTIVE, 0);
      dp_slots_request_ended (slots, DP_TRAFFIC_INTERACTIVE, 0, 200 * DP_US_PER_MS);
    }
  CU_ASSERT_EQUAL (dp_slots_expected_wait (slots, DP_TRAFFIC_BULK, 0), 0);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  interactive = dp_slots_expected_wait (slots, DP_TRAFFIC_INTERACTIVE, 0);
  CU_ASSERT_TRUE (interactive > 99 * DP_US_PER_MS && interactive <= 100 * DP_US_PER_MS);
  for (guint i = 0; i < 9; i++)
    dp_slots_enqueue (slots, i + 1, DP_TRAFFIC_INTERACTIVE);
  interactive = dp_slots_expected_wait (slots, DP_TRAFFIC_INTERACTIVE, 0);
  CU_ASSERT_TRUE (interactive > 990 * DP_US_PER_MS && interactive <= DP_US_PER_S);
  CU_ASSERT_TRUE (dp_slots_expected_wait (slots, DP_TRAFFIC_URGENT, 0)
                  <= 100 * DP_US_PER_MS);
  CU_ASSERT_TRUE (dp_slots_expected_wait (slots, DP_TRAFFIC_BULK, 0) >= interactive);
}

static void
test_queue_limit (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (3);

  for (guint i = 0; i < 3; i++)
    CU_ASSERT_NOT_EQUAL (dp_slots_enqueue (slots, i + 1, DP_TRAFFIC_URGENT),
                         DP_HANDLE_NONE);
  CU_ASSERT_EQUAL (dp_slots_enqueue (slots, 4, DP_TRAFFIC_URGENT), DP_HANDLE_NONE);
  CU_ASSERT_EQUAL (dp_slots_waiting (slots, DP_TRAFFIC_URGENT), 3);
}

/* In random steps, the number of busy slots stays within the capacity, and that of bulk
 * within its own limit. */
static void
test_random (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (50);
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  DpTrafficClass classes[51] = { 0 };
  guint busy[DP_N_TRAFFIC_CLASSES] = { 0 };
  guint n_waiting = 0;

  dp_slots_set_capacity (slots, 4, TRUE);
  for (guint i = 0; i < N_STEPS; i++)
    {
      DpTrafficClass class = (DpTrafficClass) g_rand_int_range (rand, 0,
                                                                DP_N_TRAFFIC_CLASSES);
      DpHandle flow;

      switch (g_rand_int_range (rand, 0, 3))
        {
        case 0:
          busy[class] += dp_slots_acquire (slots, class) ? 1 : 0;
          break;
        case 1:
          if (busy[class] == 0)
            break;
          dp_slots_release (slots, class);
          busy[class]--;
          break;
        default:
          if (n_waiting == 50)
            break;
          /* The flow's handle is used only to identify its class. */
          classes[class + 1] = class;
          dp_slots_enqueue (slots, class + 1, class);
          n_waiting++;
        }
      while (g_rand_boolean (rand)
             && (flow = dp_slots_acquire_next (slots, 0)) != DP_HANDLE_NONE)
        {
          busy[classes[flow]]++;
          n_waiting--;
        }
      CU_ASSERT_EQUAL (dp_slots_busy (slots), busy[0] + busy[1] + busy[2]);
      CU_ASSERT_TRUE (dp_slots_busy (slots) <= 4);
      CU_ASSERT_TRUE (busy[DP_TRAFFIC_BULK] <= 3);
    }
}

/* The expected wait behind an unusually long request must not stay at the short mean of
 * earlier requests, which would attract more flows. */
static void
test_long_request (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  gint64 initial;

  dp_slots_set_capacity (slots, 1, FALSE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  dp_slots_request_started (slots, DP_TRAFFIC_INTERACTIVE, 0);
  initial = dp_slots_expected_wait (slots, DP_TRAFFIC_URGENT, 0);
  CU_ASSERT_TRUE (dp_slots_expected_wait (slots, DP_TRAFFIC_URGENT, 10 * initial)
                  >= 9 * initial);
}

/* Requests on open flows can't be held back. A slot that becomes free while the server
 * has such requests is not free: a new flow would wait behind them at the server, out of
 * reach of every limit, while other members have room. */
static void
test_unscheduled (void)
{
  g_autoptr (DpSlots) slots = dp_slots_new (10);
  gint64 wait;

  dp_slots_set_capacity (slots, 2, FALSE);
  dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
  dp_slots_set_unscheduled (slots, 1);
  CU_ASSERT_FALSE (dp_slots_can_acquire (slots, DP_TRAFFIC_INTERACTIVE));
  wait = dp_slots_expected_wait (slots, DP_TRAFFIC_INTERACTIVE, 0);
  dp_slots_set_unscheduled (slots, 4);
  CU_ASSERT_TRUE (dp_slots_expected_wait (slots, DP_TRAFFIC_INTERACTIVE, 0) > wait);
  dp_slots_enqueue (slots, 1, DP_TRAFFIC_INTERACTIVE);
  dp_slots_release (slots, DP_TRAFFIC_INTERACTIVE);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), DP_HANDLE_NONE);
  dp_slots_set_unscheduled (slots, 1);
  CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0), 1);
}

/* Further requests on open flows go on overtaking a flow that waits, so that urgent flows
 * were late at the peak of demand while requests behind them were served in time. */
static void
test_urgent_excess (void)
{
  static const struct
  {
    guint unscheduled;
    gboolean urgent;
  } cases[] = { { 0, TRUE }, { 1, TRUE }, { 4, TRUE }, { 5, FALSE }, { 9, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (DpSlots) slots = dp_slots_new (10);

      dp_slots_set_capacity (slots, 2, FALSE);
      dp_slots_acquire (slots, DP_TRAFFIC_INTERACTIVE);
      dp_slots_set_unscheduled (slots, cases[i].unscheduled);
      CU_ASSERT_EQUAL (dp_slots_can_acquire (slots, DP_TRAFFIC_URGENT), cases[i].urgent);
      CU_ASSERT_EQUAL (dp_slots_can_acquire (slots, DP_TRAFFIC_INTERACTIVE),
                       cases[i].unscheduled == 0);
      dp_slots_enqueue (slots, 1, DP_TRAFFIC_URGENT);
      CU_ASSERT_EQUAL (dp_slots_acquire_next (slots, 0),
                       cases[i].urgent ? 1 : DP_HANDLE_NONE);
    }
}

static const DpTestCase cases_[] = {
  { "slots are assigned by class, then by arrival", test_order },
  { "a new flow doesn't overtake its class", test_no_overtaking },
  { "late flows go last, urgent ones first", test_late_order },
  { "late flows stay within the late capacity", test_late_capacity },
  { "the newest late flow goes first", test_newest_late_first },
  { "late urgent flows take turns with in-time flows", test_late_urgent_take_turns },
  { "a new flow waits for one late urgent flow", test_late_urgent_backlog_counts_once },
  { "the expected wait of late flows grows while none gets a slot",
    test_late_wait_grows },
  { "clients that give up don't make the expected wait of late flows short again",
    test_late_wait_outlasts_the_queue },
  { "bulk leaves one of several slots free", test_bulk_leaves_a_slot },
  { "the slot of a long request is not expected soon", test_long_request },
  { "the expected wait follows the queue", test_expected_wait },
  { "requests without a slot take room from new flows", test_unscheduled },
  { "requests without a slot hold back urgent flows last", test_urgent_excess },
  { "the queue is bounded", test_queue_limit },
  { "random steps keep the counts right", test_random },
};

DP_TEST_MAIN ("slots", cases_)
