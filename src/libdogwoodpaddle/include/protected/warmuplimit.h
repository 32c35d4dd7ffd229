/* Limits the requests that a cold server gets in any sliding second. Performs no I/O.
 *
 * Load pattern: all servers of a service come back cold at once, as after a power failure
 * or a roll-out, while clients send their retries. A cold server has free slots, but it
 * handles only a declared number of requests a second; beyond that, each request makes
 * the others late as well.
 *
 * Only new flows can be held back. Requests on open flows count as they come, and room is
 * kept for those that are expected within the next second. */
#pragma once

#include <glib.h>

typedef struct _DpWarmupLimit DpWarmupLimit;

/* What was sent to the server before now, in us as everywhere below, is not known. */
DpWarmupLimit *dp_warmup_limit_new (gint64 now);
void dp_warmup_limit_free (DpWarmupLimit *limit);

/* Sets the declared requests a second of a cold server; 0: none are declared. */
void dp_warmup_limit_set_rate (DpWarmupLimit *limit, double per_second);
/* In a second, a cold server gets at most floor (rate x overrun + slack) requests.
 * overrun of 0: no limit. */
void dp_warmup_limit_set_bounds (DpWarmupLimit *limit, double overrun, double slack);
/* Sets the time at which the server's warm-up ends. */
void dp_warmup_limit_set_end (DpWarmupLimit *limit, gint64 ends_at);
/* Records that another server runs, which has none of the flows of the one before.
 * just_started: nothing can have been sent to it that is not known. */
void dp_warmup_limit_note_server_replaced (DpWarmupLimit *limit, gboolean just_started);

/* Records the SYN of a new flow, or a further request of an open one, that is sent to the
 * server. */
void dp_warmup_limit_note_syn (DpWarmupLimit *limit, gint64 now);
void dp_warmup_limit_note_further (DpWarmupLimit *limit, gint64 now);
/* Records the number of open flows. To be called about every second. */
void dp_warmup_limit_note_open_flows (DpWarmupLimit *limit, guint n_open, gint64 now);

/* Returns whether a limit is in force. */
gboolean dp_warmup_limit_is_active (const DpWarmupLimit *limit, gint64 now);
/* Returns the requests that a cold server gets in a second at most; 0 as well if no limit
 * is set. */
guint dp_warmup_limit_max (const DpWarmupLimit *limit);
/* Returns the requests of the last second. */
guint dp_warmup_limit_recent (DpWarmupLimit *limit, gint64 now);
/* Returns whether the SYN of a new flow may be sent to the server. */
gboolean dp_warmup_limit_admits (DpWarmupLimit *limit, gint64 now);
/* Returns the time in us until a SYN may be sent to the server behind n_ahead others; 0:
 * at once. */
gint64 dp_warmup_limit_wait (DpWarmupLimit *limit, guint n_ahead, gint64 now);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpWarmupLimit, dp_warmup_limit_free)
