#include "private/freshness.h"

/* Starts without any confirmation. max_age: in us. */
void
dp_freshness_init (DpFreshness *freshness, gint64 max_age)
{
  *freshness = (DpFreshness){ .max_age = max_age };
}

/* Records that the platform answered a request of this process. */
void
dp_freshness_platform_answered (DpFreshness *freshness, gint64 now)
{
  freshness->platform_answered_at = now;
}

/* Records a confirmation. It has no effect if an earlier one was for a later time. */
void
dp_freshness_parent_confirmed (DpFreshness *freshness, gint64 age, gint64 now)
{
  freshness->parent_current_at = MAX (freshness->parent_current_at, now - age);
}

/* Discards the parent's confirmations. */
void
dp_freshness_parent_lost (DpFreshness *freshness)
{
  freshness->parent_current_at = 0;
}

/* Returns whether the parent's last confirmation is recent enough to rely on. */
gboolean
dp_freshness_parent_is_current (const DpFreshness *freshness, gint64 now)
{
  return freshness->parent_current_at != 0
         && now - freshness->parent_current_at <= freshness->max_age;
}

/* Returns the time in us since the platform or the parent last confirmed that the
 * configuration was the newest. */
gint64
dp_freshness_age (const DpFreshness *freshness, gint64 now)
{
  const gint64 newest = MAX (freshness->platform_answered_at,
                             freshness->parent_current_at);

  return newest == 0 ? G_MAXINT64 : now - newest;
}
