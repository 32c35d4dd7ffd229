/* Schedules which part of its member list a balancer sends to one member, and when.
 * Performs no I/O.
 *
 * Load pattern: a member reports to all balancers of its availability zone at once, and
 * all of them answer. If each balancer sent all parts of a long list, the answers would
 * overflow the member's receive buffer, and often the same parts would be dropped. */
#pragma once

#include <glib.h>

typedef struct
{
  gint64 next_at;  /* us, earliest time to send the next part */
  guint next_part; /* to be taken modulo the number of parts */
} DpListSchedule;

/* Starts the schedule of a member that has received no part yet. first: the part to begin
 * with, modulo the number of parts; it should differ between balancers. */
void dp_list_schedule_init (DpListSchedule *schedule, guint first);
/* Sets part to the one to be sent now; returns FALSE if none is due or n_parts is 0.
 * other_zone: the member is in another availability zone. now: in us. */
gboolean dp_list_schedule_next (DpListSchedule *schedule,
                                guint n_parts,
                                gboolean other_zone,
                                gint64 now,
                                guint *part);
