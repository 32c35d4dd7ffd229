/* Monotonic clock that tests can replace. */
#pragma once

#include <glib.h>

typedef struct _DpClock DpClock;

typedef struct
{
  gint64 (*now) (DpClock *clock);
} DpClockVtable;

/* The vtable must be the first member of every implementation. */
struct _DpClock
{
  const DpClockVtable *vtable;
};

/* Clock for tests. It stands still until it is advanced or resumed. */
typedef struct
{
  DpClock base;
  gint64 now;        /* us */
  gint64 resumed_at; /* us of the system clock, or -1 while paused */
} DpTestClock;

#define DP_US_PER_MS G_GINT64_CONSTANT (1000)
#define DP_US_PER_S G_GINT64_CONSTANT (1000000)

gint64 dp_clock_now (DpClock *clock);
DpClock *dp_clock_system (void);

void dp_test_clock_init (DpTestClock *clock, gint64 now);
void dp_test_clock_advance (DpTestClock *clock, gint64 delta);
void dp_test_clock_pause (DpTestClock *clock);
void dp_test_clock_resume (DpTestClock *clock);
