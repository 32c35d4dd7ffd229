/* Whether a balancer may rely on another one for the configuration, or has to ask the
 * platform itself. No I/O: confirmations and the time go in.
 *
 * Load pattern answered: some hundred balancers that each keep a watch open at the
 * platform. One that hears from its parent in the relay tree often enough that nothing
 * newer exists needs none. A parent that is frozen, cut off from the platform or gone
 * confirms nothing, and its children notice that by the age of the last confirmation. */
#pragma once

#include <glib.h>

typedef struct
{
  gint64 bound;    /* us, oldest confirmation to rely on */
  gint64 platform; /* us, when the platform last answered this process, 0: never */
  gint64 parent;   /* us, as of when the parent knew of nothing newer, 0: never */
} DpFreshness;

void dp_freshness_init (DpFreshness *freshness, gint64 bound);
/* The platform answered a call of this process. */
void dp_freshness_answered (DpFreshness *freshness, gint64 now);
/* The parent's confirmation is so many us old. */
void dp_freshness_confirmed (DpFreshness *freshness, gint64 age, gint64 now);
/* The connection to the parent was lost. */
void dp_freshness_parent_lost (DpFreshness *freshness);
/* Returns whether the parent may be relied on, so that no call to the platform is needed.
 */
gboolean dp_freshness_by_parent (const DpFreshness *freshness, gint64 now);
/* Returns how long ago, in us, nothing newer existed; G_MAXINT64 if that isn't known. */
gint64 dp_freshness_age (const DpFreshness *freshness, gint64 now);
