/* Schedules the datagrams in which balancers and companions exchange what they know of
 * evacuations and warm-up rates. Performs no I/O.
 *
 * Load pattern: a change reaches one process first, and some hundred or thousand others
 * notice the difference within a tenth of a second. If each answered all of them at once,
 * the answers would overflow receive buffers, although each process needs only one. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _DpPolicySchedule DpPolicySchedule;

DpPolicySchedule *dp_policy_schedule_new (void);
void dp_policy_schedule_free (DpPolicySchedule *schedule);
/* Returns whether a datagram is to be sent to the peer now, and counts it as sent.
 * own_digest and peer_digest: of what either side knows; while a peer stays at the same
 * difference, it gets datagrams ever more rarely. now: in us. */
gboolean dp_policy_schedule_admits (DpPolicySchedule *schedule,
                                    const DpAddress *peer,
                                    guint64 own_digest,
                                    guint64 peer_digest,
                                    gint64 now);
/* Forgets peers that have needed nothing for long. To be called now and then. */
void dp_policy_schedule_expire (DpPolicySchedule *schedule, gint64 now);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPolicySchedule, dp_policy_schedule_free)
