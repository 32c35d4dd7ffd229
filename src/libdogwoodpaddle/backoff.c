#include "protected/backoff.h"

/* Initializes a backoff whose delays start at first_ms and double up to max_ms, before
 * jitter. */
void
dp_backoff_init (DpBackoff *backoff, guint first_ms, guint max_ms)
{
  g_assert (first_ms > 0 && max_ms >= first_ms);
  backoff->first_ms = first_ms;
  backoff->max_ms = max_ms;
  backoff->attempts = 0;
}

/* Makes the next delay the shortest one again. To be called after a success. */
void
dp_backoff_reset (DpBackoff *backoff)
{
  backoff->attempts = 0;
}

/* Counts a failure and returns the delay before the next attempt, in milliseconds. Half
 * of the delay is random, so that processes that fail at the same time don't retry at the
 * same time. */
guint
dp_backoff_next (DpBackoff *backoff)
{
  guint64 delay = backoff->first_ms;

  for (guint i = 0; i < backoff->attempts && delay < backoff->max_ms; i++)
    delay *= 2;
  backoff->attempts++;
  delay = MIN (delay, backoff->max_ms);
  return (guint) (delay / 2) + (guint) g_random_int_range (0, (gint32) (delay / 2) + 1);
}
