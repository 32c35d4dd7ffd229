#include "protected/announcement.h"

/* Sequence number of the first heartbeat after a server's start. */
#define FIRST_SEQUENCE 1

/* Decides whether to accept a heartbeat. A heartbeat can arrive after its sender has
 * crashed and a new incarnation, with the same id or another one, has announced itself.
 */
DpAnnouncedResult
dp_announced_take (DpAnnounced *announced, const DpAnnouncement *announcement)
{
  gboolean same_id = announced->known && g_str_equal (announced->id, announcement->id);
  gboolean started;

  if (announced->known && announcement->incarnation < announced->incarnation)
    return DP_ANNOUNCED_STALE;
  started = announced->known
                ? !same_id || announcement->incarnation > announced->incarnation
                : announcement->sequence <= FIRST_SEQUENCE;
  if (announced->known && !started
      && (announced->gone || announcement->sequence <= announced->sequence))
    return DP_ANNOUNCED_STALE;
  if (!same_id)
    {
      g_free (announced->id);
      announced->id = g_strdup (announcement->id);
    }
  announced->known = TRUE;
  announced->gone = FALSE;
  announced->incarnation = announcement->incarnation;
  announced->sequence = announcement->sequence;
  return started ? DP_ANNOUNCED_STARTED : DP_ANNOUNCED_NEWS;
}

/* Records that the server has ended. Returns FALSE, and changes nothing, if the last
 * accepted announcement came from a server with another id. */
gboolean
dp_announced_sign_off (DpAnnounced *announced, const char *id)
{
  if (!announced->known || !g_str_equal (announced->id, id))
    return FALSE;
  announced->gone = TRUE;
  return TRUE;
}

/* Frees the tracker's contents, not the tracker itself. */
void
dp_announced_clear (DpAnnounced *announced)
{
  g_clear_pointer (&announced->id, g_free);
  announced->known = FALSE;
}
