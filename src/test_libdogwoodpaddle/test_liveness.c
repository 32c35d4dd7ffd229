/* Guards against the removal of live members by a single watcher, by a watcher that was
 * paused, or because of an outdated suspicion; against the removal of many members at
 * once; and against dead members that are not removed. */
#include "protected/liveness.h"

#include "protected/clock.h"
#include "runner.h"

#define SUSPECT_US (4 * DP_US_PER_S)
#define N_MEMBERS 4

static const char *const members_[N_MEMBERS] = { "m0", "m1", "m2", "m3" };

typedef struct
{
  DpLiveness *liveness;
  GArray *actions;
  gint64 now;
  guint64 incarnations[N_MEMBERS];
  gboolean sends_heartbeats[N_MEMBERS];
  gboolean is_suspected_by_other[N_MEMBERS]; /* by the other watcher */
  const char *other_watcher_zone;
} Fixture;

static void
set_members (Fixture *f, gboolean can_be_confirmed)
{
  dp_liveness_begin_members (f->liveness);
  for (guint i = 0; i < N_MEMBERS; i++)
    {
      const DpLivenessMember member = { "s", members_[i], f->incarnations[i], SUSPECT_US,
                                        can_be_confirmed };

      dp_liveness_set_member (f->liveness, &member, f->now);
    }
  dp_liveness_end_members (f->liveness);
  dp_liveness_set_service_size (f->liveness, "s", N_MEMBERS);
}

static void
set_up (Fixture *f)
{
  f->now = 1000 * DP_US_PER_S;
  f->liveness = dp_liveness_new ("z1", f->now);
  f->actions = g_array_new (FALSE, FALSE, sizeof (DpLivenessAction));
  f->other_watcher_zone = "z2";
  for (guint i = 0; i < N_MEMBERS; i++)
    {
      f->incarnations[i] = 1;
      f->sends_heartbeats[i] = TRUE;
      f->is_suspected_by_other[i] = FALSE;
    }
  set_members (f, TRUE);
}

static void
tear_down (Fixture *f)
{
  dp_liveness_free (f->liveness);
  g_array_unref (f->actions);
}

/* Advances the simulated time by the duration, in us, with ticks, heartbeats and the
 * other watcher's suspicions. */
static void
run (Fixture *f, gint64 duration)
{
  gint64 end = f->now + duration;

  g_array_set_size (f->actions, 0);
  while (f->now < end)
    {
      f->now += DP_LIVENESS_TICK_INTERVAL_US;
      for (guint i = 0; i < N_MEMBERS; i++)
        {
          if (f->sends_heartbeats[i])
            dp_liveness_handle_heartbeat (f->liveness, "s", members_[i],
                                          f->incarnations[i], f->now);
          if (f->is_suspected_by_other[i])
            dp_liveness_handle_suspicion (f->liveness, "s", members_[i],
                                          f->incarnations[i], f->other_watcher_zone,
                                          f->now);
        }
      dp_liveness_tick (f->liveness, f->now, f->actions);
    }
}

static guint
count (Fixture *f, DpLivenessActionType type)
{
  guint n = 0;

  for (guint i = 0; i < f->actions->len; i++)
    n += g_array_index (f->actions, DpLivenessAction, i).type == type;
  return n;
}

static gboolean
may_remove (Fixture *f, guint member)
{
  return dp_liveness_may_remove (f->liveness, "s", members_[member],
                                 f->incarnations[member], f->now);
}

static void
test_dead (void)
{
  Fixture f;

  set_up (&f);
  run (&f, 10 * DP_US_PER_S);
  CU_ASSERT_EQUAL (f.actions->len, 0);
  f.sends_heartbeats[0] = FALSE;
  run (&f, SUSPECT_US - DP_US_PER_S);
  CU_ASSERT_EQUAL (f.actions->len, 0);
  run (&f, 4 * DP_US_PER_S);
  CU_ASSERT_TRUE (count (&f, DP_LIVENESS_SUSPECT) >= 2);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
  CU_ASSERT_FALSE (may_remove (&f, 0));
  f.is_suspected_by_other[0] = TRUE;
  run (&f, 2 * DP_US_PER_S);
  CU_ASSERT_TRUE (count (&f, DP_LIVENESS_REMOVE) >= 1);
  CU_ASSERT_TRUE (may_remove (&f, 0));
  CU_ASSERT_FALSE (may_remove (&f, 1));
  tear_down (&f);
}

typedef struct
{
  const char *description;
  const char *zone; /* of the other watcher that suspects the member, or NULL */
  gboolean sends_heartbeats;
  gboolean removed;
} AgreementCase;

static void
test_agreement (void)
{
  static const AgreementCase cases[] = {
    { "no other watcher", NULL, FALSE, FALSE },
    { "another watcher of the same zone", "z1", FALSE, FALSE },
    { "another zone's watcher alone", "z2", TRUE, FALSE },
    { "both", "z2", FALSE, TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture f;

      set_up (&f);
      f.sends_heartbeats[2] = cases[i].sends_heartbeats;
      f.is_suspected_by_other[2] = cases[i].zone != NULL;
      f.other_watcher_zone = cases[i].zone;
      run (&f, 20 * DP_US_PER_S);
      CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE) > 0, cases[i].removed);
      CU_ASSERT_EQUAL (may_remove (&f, 2), cases[i].removed);
      tear_down (&f);
    }
}

/* Another watcher's suspicion expires if it is not repeated. */
static void
test_suspicion_expires (void)
{
  Fixture f;

  set_up (&f);
  f.sends_heartbeats[0] = FALSE;
  f.is_suspected_by_other[0] = TRUE;
  run (&f, 6 * DP_US_PER_S);
  CU_ASSERT_TRUE (may_remove (&f, 0));
  f.is_suspected_by_other[0] = FALSE;
  run (&f, 6 * DP_US_PER_S);
  CU_ASSERT_FALSE (may_remove (&f, 0));
  run (&f, 6 * DP_US_PER_S);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
  tear_down (&f);
}

/* Returns whether a watcher that was paused after its decision still acts on it. */
static gboolean
acts_after_pause (gboolean ignore_pauses)
{
  Fixture f;
  gboolean acts;

  set_up (&f);
  dp_liveness_set_test_ignore_pauses (f.liveness, ignore_pauses);
  f.sends_heartbeats[0] = FALSE;
  f.is_suspected_by_other[0] = TRUE;
  run (&f, 6 * DP_US_PER_S);
  CU_ASSERT_TRUE (may_remove (&f, 0));
  f.now += 10 * DP_US_PER_S;
  acts = may_remove (&f, 0);
  run (&f, DP_LIVENESS_TICK_INTERVAL_US);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_WAS_PAUSED), ignore_pauses ? 0 : 1);
  acts = acts || may_remove (&f, 0);
  acts = acts || count (&f, DP_LIVENESS_REMOVE) > 0;
  run (&f, SUSPECT_US - DP_US_PER_S);
  acts = acts || count (&f, DP_LIVENESS_SUSPECT) > 0;
  tear_down (&f);
  return acts;
}

static void
test_paused (void)
{
  CU_ASSERT_FALSE (acts_after_pause (FALSE));
  CU_ASSERT_TRUE (acts_after_pause (TRUE));
}

static void
test_restart (void)
{
  Fixture f;

  set_up (&f);
  f.sends_heartbeats[0] = FALSE;
  f.is_suspected_by_other[0] = TRUE;
  run (&f, 6 * DP_US_PER_S);
  dp_liveness_restart (f.liveness, f.now);
  CU_ASSERT_FALSE (may_remove (&f, 0));
  run (&f, SUSPECT_US);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
  run (&f, 2 * DP_US_PER_S);
  CU_ASSERT_TRUE (count (&f, DP_LIVENESS_REMOVE) > 0);
  tear_down (&f);
}

static void
test_incarnation (void)
{
  Fixture f;

  set_up (&f);
  f.sends_heartbeats[0] = FALSE;
  f.is_suspected_by_other[0] = TRUE;
  run (&f, 6 * DP_US_PER_S);
  CU_ASSERT_TRUE (may_remove (&f, 0));
  /* The heartbeat of an earlier incarnation changes nothing. */
  dp_liveness_handle_heartbeat (f.liveness, "s", "m0", 0, f.now);
  CU_ASSERT_TRUE (may_remove (&f, 0));
  /* The member joined again. */
  f.incarnations[0] = 2;
  set_members (&f, TRUE);
  CU_ASSERT_FALSE (may_remove (&f, 0));
  CU_ASSERT_FALSE (dp_liveness_may_remove (f.liveness, "s", "m0", 1, f.now));
  f.is_suspected_by_other[0] = FALSE;
  for (guint i = 0; i < 20; i++)
    {
      dp_liveness_handle_suspicion (f.liveness, "s", "m0", 1, "z2", f.now);
      run (&f, DP_LIVENESS_TICK_INTERVAL_US);
      CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
    }
  /* A heartbeat of a later incarnation than the listed one counts, too. */
  dp_liveness_handle_heartbeat (f.liveness, "s", "m0", 3, f.now);
  run (&f, DP_LIVENESS_TICK_INTERVAL_US);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_CLEAR), 1);
  tear_down (&f);
}

static void
test_heartbeat_clears (void)
{
  Fixture f;
  DpWatchedState state;

  set_up (&f);
  f.sends_heartbeats[0] = FALSE;
  f.is_suspected_by_other[0] = TRUE;
  run (&f, 6 * DP_US_PER_S);
  f.sends_heartbeats[0] = TRUE;
  run (&f, DP_LIVENESS_TICK_INTERVAL_US);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_CLEAR), 1);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
  CU_ASSERT_FALSE (may_remove (&f, 0));
  CU_ASSERT_TRUE (dp_liveness_state (f.liveness, "s", "m0", &state));
  CU_ASSERT_EQUAL (state, DP_WATCHED_ALIVE);
  CU_ASSERT_FALSE (dp_liveness_state (f.liveness, "s", "m9", &state));
  tear_down (&f);
}

static void
test_mass_loss (void)
{
  Fixture f;

  set_up (&f);
  for (guint i = 0; i < 3; i++)
    {
      f.sends_heartbeats[i] = FALSE;
      f.is_suspected_by_other[i] = TRUE;
    }
  run (&f, 20 * DP_US_PER_S);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_MASS_LOSS), 1);
  CU_ASSERT_FALSE (may_remove (&f, 0));
  f.sends_heartbeats[2] = TRUE;
  f.is_suspected_by_other[2] = FALSE;
  run (&f, 6 * DP_US_PER_S);
  CU_ASSERT_TRUE (count (&f, DP_LIVENESS_REMOVE) > 0);
  CU_ASSERT_TRUE (may_remove (&f, 0));
  CU_ASSERT_TRUE (may_remove (&f, 1));
  CU_ASSERT_FALSE (may_remove (&f, 2));
  tear_down (&f);
}

/* Members that fail at the same time have sent their last heartbeats up to a heartbeat
 * interval apart. Guards against the removal of the first suspected members before the
 * others are suspected. */
static void
test_staggered_mass_loss (void)
{
  Fixture f;

  set_up (&f);
  for (guint i = 0; i < 3; i++)
    {
      f.sends_heartbeats[i] = FALSE;
      run (&f, DP_LIVENESS_TICK_INTERVAL_US);
    }
  run (&f, SUSPECT_US - 3 * DP_LIVENESS_TICK_INTERVAL_US);
  for (guint i = 0; i < 3; i++)
    {
      f.is_suspected_by_other[i] = TRUE;
      run (&f, DP_LIVENESS_TICK_INTERVAL_US);
      CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
    }
  run (&f, 20 * DP_US_PER_S);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
  tear_down (&f);
}

static void
test_single_watcher (void)
{
  Fixture f;

  set_up (&f);
  set_members (&f, FALSE);
  f.sends_heartbeats[0] = FALSE;
  run (&f, 20 * DP_US_PER_S);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_UNCONFIRMABLE), 1);
  CU_ASSERT_EQUAL (count (&f, DP_LIVENESS_REMOVE), 0);
  tear_down (&f);
}

static const DpTestCase cases_[] = {
  { "a dead member is removed by agreement", test_dead },
  { "two availability zones have to agree", test_agreement },
  { "another watcher's suspicion expires", test_suspicion_expires },
  { "a paused watcher does not act", test_paused },
  { "a restart drops all suspicions", test_restart },
  { "an old suspicion does not remove a new incarnation", test_incarnation },
  { "a heartbeat cancels a suspicion", test_heartbeat_clears },
  { "no member is removed in a mass loss", test_mass_loss },
  { "no member is removed in a staggered mass loss", test_staggered_mass_loss },
  { "a single watcher removes no member", test_single_watcher },
};

DP_TEST_MAIN ("liveness", cases_)
