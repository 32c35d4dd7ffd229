#include "private/listschedule.h"

#include "protected/clock.h"

/* A member gets at most one part in this time. */
#define INTERVAL_US (250 * DP_US_PER_MS)
/* Times as long for a list of several parts that goes to another availability zone, where
 * bytes are dear and balancers of the own one send it, too. */
#define FAR_FACTOR 4

/* Sets a member that got nothing yet. */
void
dp_list_schedule_init (DpListSchedule *turn, guint first)
{
  *turn = (DpListSchedule){ .next_part = first };
}

/* Gives the part to be sent now. */
gboolean
dp_list_schedule_next (DpListSchedule *turn,
                       guint n_parts,
                       gboolean far,
                       gint64 now,
                       guint *part)
{
  if (n_parts == 0 || now < turn->next_at)
    return FALSE;
  *part = turn->next_part % n_parts;
  turn->next_part++;
  turn->next_at = now + INTERVAL_US * (far && n_parts > 1 ? FAR_FACTOR : 1);
  return TRUE;
}
