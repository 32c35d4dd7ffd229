#include "private/freshness.h"

/* Starts without any confirmation. bound: in us. */
void
dp_freshness_init (DpFreshness *freshness, gint64 bound)
{
  *freshness = (DpFreshness){ .bound = bound };
}

/* Records that the platform answered a request of this process. */
void
dp_freshness_answered (DpFreshness *freshness, gint64 now)
{
  freshness->platform = now;
}

/* Records a confirmation that may be older than an earlier one, which then still holds.
 */
void
dp_freshness_confirmed (DpFreshness *freshness, gint64 age, gint64 now)
{
  freshness->parent = MAX (freshness->parent, now - age);
}

/* Discards the parent's confirmations. */
void
dp_freshness_parent_lost (DpFreshness *freshness)
{
  freshness->parent = 0;
}

/* Returns whether the parent's last confirmation is recent enough to rely on. */
gboolean
dp_freshness_by_parent (const DpFreshness *freshness, gint64 now)
{
  return freshness->parent != 0 && now - freshness->parent <= freshness->bound;
}

/* Returns the time in us since the configuration was last known to be the newest, by the
 * platform's or the parent's word. */
gint64
dp_freshness_age (const DpFreshness *freshness, gint64 now)
{
  const gint64 newest = MAX (freshness->platform, freshness->parent);

  return newest == 0 ? G_MAXINT64 : now - newest;
}
