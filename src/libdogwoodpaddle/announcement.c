#include "protected/announcement.h"

/* Sequence number of the first heartbeat after a server's start, at most. */
#define FIRST_HEARTBEAT_SEQUENCE 1

/* Decides whether to accept a heartbeat. A heartbeat can arrive after its sender has
 * crashed and a new incarnation, with the same id or another one, has announced itself.
 * Only the first heartbeat of an incarnation that is younger than the companion shows
 * that it holds no flows yet: what was heard before it may have been such a late one, and
 * a server that is older has got flows through the companion's predecessor. Servers may
 * count their heartbeats from 0 or 1, so that the second one may pass for the first. */
DpAnnouncementResult
dp_announcement_tracker_update (DpAnnouncementTracker *tracker,
                                const DpAnnouncement *announcement)
{
  DpAnnouncementResult result;
  const gboolean same_id = tracker->known && g_str_equal (tracker->id, announcement->id);
  const gboolean same_server = same_id
                               && announcement->incarnation == tracker->incarnation;

  if (tracker->known && announcement->incarnation < tracker->incarnation)
    return DP_ANNOUNCEMENT_STALE;
  if (same_server
      && (tracker->deregistered || announcement->sequence <= tracker->sequence))
    return DP_ANNOUNCEMENT_STALE;
  if (same_server)
    result = DP_ANNOUNCEMENT_ACCEPTED;
  else if (announcement->sequence <= FIRST_HEARTBEAT_SEQUENCE
           && announcement->incarnation >= tracker->since)
    result = DP_ANNOUNCEMENT_STARTED;
  else
    result = tracker->known ? DP_ANNOUNCEMENT_REPLACED : DP_ANNOUNCEMENT_ACCEPTED;
  if (!same_id)
    {
      g_free (tracker->id);
      tracker->id = g_strdup (announcement->id);
    }
  tracker->known = TRUE;
  tracker->deregistered = FALSE;
  tracker->incarnation = announcement->incarnation;
  tracker->sequence = announcement->sequence;
  return result;
}

/* Records that the server has ended. Returns FALSE, and changes nothing, if the last
 * accepted announcement came from a server with another id. */
gboolean
dp_announcement_tracker_deregister (DpAnnouncementTracker *tracker, const char *id)
{
  if (!tracker->known || !g_str_equal (tracker->id, id))
    return FALSE;
  tracker->deregistered = TRUE;
  return TRUE;
}

/* Frees the tracker's contents, not the tracker itself. */
void
dp_announcement_tracker_clear (DpAnnouncementTracker *tracker)
{
  g_clear_pointer (&tracker->id, g_free);
  tracker->known = FALSE;
}
