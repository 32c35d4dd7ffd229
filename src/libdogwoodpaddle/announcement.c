#include "protected/announcement.h"

/* Sequence number of the first heartbeat after a server's start. */
#define FIRST_SEQUENCE 1

/* Decides whether to accept a heartbeat. A heartbeat can arrive after its sender has
 * crashed and a new incarnation, with the same id or another one, has announced itself.
 */
DpAnnouncementResult
dp_announcement_tracker_update (DpAnnouncementTracker *announced,
                                const DpAnnouncement *announcement)
{
  gboolean same_id = announced->known && g_str_equal (announced->id, announcement->id);
  gboolean started;

  if (announced->known && announcement->incarnation < announced->incarnation)
    return DP_ANNOUNCEMENT_STALE;
  started = announced->known
                ? !same_id || announcement->incarnation > announced->incarnation
                : announcement->sequence <= FIRST_SEQUENCE;
  if (announced->known && !started
      && (announced->deregistered || announcement->sequence <= announced->sequence))
    return DP_ANNOUNCEMENT_STALE;
  if (!same_id)
    {
      g_free (announced->id);
      announced->id = g_strdup (announcement->id);
    }
  announced->known = TRUE;
  announced->deregistered = FALSE;
  announced->incarnation = announcement->incarnation;
  announced->sequence = announcement->sequence;
  return started ? DP_ANNOUNCEMENT_STARTED : DP_ANNOUNCEMENT_ACCEPTED;
}

/* Records that the server has ended. Returns FALSE, and changes nothing, if the last
 * accepted announcement came from a server with another id. */
gboolean
dp_announcement_tracker_deregister (DpAnnouncementTracker *announced, const char *id)
{
  if (!announced->known || !g_str_equal (announced->id, id))
    return FALSE;
  announced->deregistered = TRUE;
  return TRUE;
}

/* Frees the tracker's contents, not the tracker itself. */
void
dp_announcement_tracker_clear (DpAnnouncementTracker *announced)
{
  g_clear_pointer (&announced->id, g_free);
  announced->known = FALSE;
}
