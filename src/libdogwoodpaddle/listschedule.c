#include "private/listschedule.h"

#include "protected/clock.h"

/* Minimum time between two parts sent to one member. */
#define PART_INTERVAL_US (250 * DP_US_PER_MS)
/* Factor by which the interval grows for a list of several parts that goes to another
 * availability zone: traffic between zones is expensive, and the balancers of the
 * member's own zone send the list as well. */
#define OTHER_ZONE_FACTOR 4

/* Starts the schedule of a member that has received no part yet. */
void
dp_list_schedule_init (DpListSchedule *schedule, guint first)
{
  *schedule = (DpListSchedule){ .next_part = first };
}

/* Returns the next part in turn if the interval since the last one has passed. */
gboolean
dp_list_schedule_next (DpListSchedule *schedule,
                       guint n_parts,
                       gboolean other_zone,
                       gint64 now,
                       guint *part)
{
  if (n_parts == 0 || now < schedule->next_at)
    return FALSE;
  *part = schedule->next_part % n_parts;
  schedule->next_part++;
  schedule->next_at =
      now + PART_INTERVAL_US * (other_zone && n_parts > 1 ? OTHER_ZONE_FACTOR : 1);
  return TRUE;
}
