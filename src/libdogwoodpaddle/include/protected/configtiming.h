/* Waits on the way of a configuration from the platform into a balancer. They follow from
 * two bounds, so that what may add up before a change is in force stays within them:
 *
 * - settle_ms after a disturbance that shows only by a timeout, such as connections that
 *   carry nothing any more, or after an outage of the platform;
 * - apply_ms after the change, if only other balancers are disturbed. */
#pragma once

#include <glib.h>

/* Interval at which a balancer chooses between the platform and its parent. */
#define DP_CONFIG_TICK_MS 250

typedef struct
{
  guint settle_ms;           /* bound */
  guint apply_ms;            /* bound, at most settle_ms */
  guint watch_wait_ms;       /* maximum time for which the platform holds a watch open */
  guint relay_watch_wait_ms; /* replaces watch_wait_ms while other balancers subscribe */
  guint answer_ms;           /* time for the answer of a watch besides its wait */
  guint retry_max_ms;        /* maximum delay between two failed calls */
  /* Maximum age at which a balancer still relies on its parent's last confirmation that
   * there is no newer configuration. */
  guint relay_max_age_ms;
} DpConfigTiming;

/* A way in which a change may be delayed. */
typedef enum
{
  DP_CONFIG_DELAY_SILENT_WATCH, /* the connection of a watch carries nothing any more */
  DP_CONFIG_DELAY_SILENT_RELAY_WATCH, /* the same at a balancer with subscribers */
  DP_CONFIG_DELAY_OUTAGE,        /* a call failed just before the platform's return */
  DP_CONFIG_DELAY_SILENT_PARENT, /* the parent says nothing any more */
  DP_N_CONFIG_DELAYS
} DpConfigDelay;

/* Derives the waits. apply_ms above settle_ms counts as settle_ms. */
void dp_config_timing_init (DpConfigTiming *timing, guint settle_ms, guint apply_ms);
/* Returns the longest delay of a change, in ms, that the waits add up to. */
guint dp_config_timing_sum (const DpConfigTiming *timing, DpConfigDelay delay);
/* Returns the time, in ms, within which the change has to be in force. */
guint dp_config_timing_bound (const DpConfigTiming *timing, DpConfigDelay delay);
/* Returns whether all sums are within their bounds; short bounds leave no time to read
 * the configuration again. */
gboolean dp_config_timing_fits (const DpConfigTiming *timing);
