#include "private/freshness.h"

/* Sets the oldest confirmation to rely on, in us. */
void
dp_freshness_init (DpFreshness *freshness, gint64 bound)
{
  *freshness = (DpFreshness){ .bound = bound };
}

/* The platform answered a call of this process. */
void
dp_freshness_answered (DpFreshness *freshness, gint64 now)
{
  freshness->platform = now;
}

/* The parent's confirmation is so many us old. */
void
dp_freshness_confirmed (DpFreshness *freshness, gint64 age, gint64 now)
{
  freshness->parent = MAX (freshness->parent, now - age);
}

/* The connection to the parent was lost. */
void
dp_freshness_parent_lost (DpFreshness *freshness)
{
  freshness->parent = 0;
}

/* Returns whether the parent may be relied on. */
gboolean
dp_freshness_by_parent (const DpFreshness *freshness, gint64 now)
{
  return freshness->parent != 0 && now - freshness->parent <= freshness->bound;
}

/* Returns how long ago, in us, nothing newer existed. */
gint64
dp_freshness_age (const DpFreshness *freshness, gint64 now)
{
  const gint64 newest = MAX (freshness->platform, freshness->parent);

  return newest == 0 ? G_MAXINT64 : now - newest;
}
