#include "private/listschedule.h"

#include "protected/clock.h"

/* Minimum time between two parts sent to one member. */
#define INTERVAL_US (250 * DP_US_PER_MS)
/* Factor by which the interval grows for a list of several parts that goes to another
 * availability zone: traffic between zones is expensive, and the balancers of the
 * member's own zone send the list as well. */
#define FAR_FACTOR 4

/* Starts the schedule of a member that has received no part yet. */
void
dp_list_schedule_init (DpListSchedule *turn, guint first)
{
  *turn = (DpListSchedule){ .next_part = first };
}

/* Returns the next part in turn if the interval since the last one has passed. */
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
