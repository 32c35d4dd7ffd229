#include "protected/backoff.h"

/* Prepares delays that start near first_ms and double up to max_ms. */
void
dp_backoff_init (DpBackoff *backoff, guint first_ms, guint max_ms)
{
  g_assert (first_ms > 0 && max_ms >= first_ms);
  backoff->first_ms = first_ms;
  backoff->max_ms = max_ms;
  backoff->attempts = 0;
}

/* Starts again with the shortest delay. */
void
dp_backoff_reset (DpBackoff *backoff)
{
  backoff->attempts = 0;
}

/* Counts a failure and returns the delay before the next attempt in milliseconds: half of
 * it is random, so that processes that failed together don't retry together. */
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
