/* When a balancer sends which part of its list of members to one member. No I/O.
 *
 * Load pattern answered: a member reports to all balancers of its availability zone at
 * once, and all of them answer. With whole lists of several parts the answers fill the
 * member's receive buffer, and the parts that are dropped are often the same ones. */
#pragma once

#include <glib.h>

typedef struct
{
  gint64 next_at;  /* us, when the member may get the next part */
  guint next_part; /* modulo the number of parts */
} DpListSchedule;

/* A member that got nothing yet. first: a number that differs between balancers, so that
 * they begin with different parts. */
void dp_list_schedule_init (DpListSchedule *turn, guint first);
/* Gives the part to be sent now; FALSE if it is too early. far: the member is in another
 * availability zone. */
gboolean dp_list_schedule_next (DpListSchedule *turn,
                                guint n_parts,
                                gboolean far,
                                gint64 now,
                                guint *part);
