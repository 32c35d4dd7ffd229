/* Decides whether a balancer can rely on its parent in the relay tree for the
 * configuration, or has to query the platform itself. Performs no I/O: the caller passes
 * in the confirmations and the time.
 *
 * Load pattern: some hundred balancers that would each keep a watch open at the platform.
 * A balancer needs no watch as long as its parent confirms, at least every max_age, that
 * there is no newer configuration. A parent that is frozen, cut off from the platform or
 * gone confirms nothing, and its children notice that by the age of its last
 * confirmation. */
#pragma once

#include <glib.h>

typedef struct
{
  gint64 max_age;              /* us, maximum age of a confirmation that still counts */
  gint64 platform_answered_at; /* us, when the platform last answered this process, 0:
                                  never */
  gint64 parent_current_at; /* us, latest time for which the parent confirmed that there
                               was no newer configuration, 0: never */
} DpFreshness;

void dp_freshness_init (DpFreshness *freshness, gint64 max_age);
/* Records that the platform answered a request of this process. */
void dp_freshness_platform_answered (DpFreshness *freshness, gint64 now);
/* Records a confirmation from the parent. age: of the confirmation when it arrives, in
 * us. */
void dp_freshness_parent_confirmed (DpFreshness *freshness, gint64 age, gint64 now);
/* Discards the parent's confirmations, because the connection to it was lost. */
void dp_freshness_parent_lost (DpFreshness *freshness);
/* Returns whether the parent's last confirmation is recent enough that no request to the
 * platform is needed. */
gboolean dp_freshness_parent_is_current (const DpFreshness *freshness, gint64 now);
/* Returns the time in us since the configuration was last known to be the newest;
 * G_MAXINT64 if it never was. */
gint64 dp_freshness_age (const DpFreshness *freshness, gint64 now);
