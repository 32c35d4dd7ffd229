#include "protected/clock.h"

static gint64 system_now_ (DpClock *clock);
static gint64 test_now_ (DpClock *clock);

static const DpClockVtable system_vtable_ = { .now = system_now_ };
static const DpClockVtable test_vtable_ = { .now = test_now_ };

/* Returns the clock's time in microseconds. Only differences between times are
 * meaningful. */
gint64
dp_clock_now (DpClock *clock)
{
  return clock->vtable->now (clock);
}

/* Returns the monotonic system clock, which changes of the wall clock don't affect. */
DpClock *
dp_clock_system (void)
{
  static DpClock system_clock = { .vtable = &system_vtable_ };

  return &system_clock;
}

/* Initializes a paused clock. now is its time in microseconds. */
void
dp_test_clock_init (DpTestClock *clock, gint64 now)
{
  clock->base.vtable = &test_vtable_;
  clock->now = now;
  clock->resumed_at = -1;
}

/* Moves the clock forward by delta microseconds. */
void
dp_test_clock_advance (DpTestClock *clock, gint64 delta)
{
  g_assert (delta >= 0);
  clock->now += delta;
}

/* Stops the clock at its current time. */
void
dp_test_clock_pause (DpTestClock *clock)
{
  clock->now = test_now_ (&clock->base);
  clock->resumed_at = -1;
}

/* Lets the clock run at the speed of the system clock. */
void
dp_test_clock_resume (DpTestClock *clock)
{
  if (clock->resumed_at < 0)
    clock->resumed_at = g_get_monotonic_time ();
}

static gint64
system_now_ (DpClock *clock)
{
  return g_get_monotonic_time ();
}

static gint64
test_now_ (DpClock *clock)
{
  DpTestClock *test = (DpTestClock *) clock;

  if (test->resumed_at < 0)
    return test->now;
  return test->now + g_get_monotonic_time () - test->resumed_at;
}
