/* The state that a backend server announces in its heartbeats, and the rules by which a
 * heartbeat is accepted or ignored as stale. */
#pragma once

#include <glib.h>

typedef struct
{
  const char *id;
  guint64 incarnation; /* increases with each start; 0 if it isn't known */
  guint64 sequence;    /* number of the heartbeat within the incarnation */
  guint32 slots;
  gboolean leaving;            /* the server wants no new flows */
  guint32 warmup_remaining_ms; /* remaining time in which the server is slow after its
                                  start */
} DpAnnouncement;

typedef enum
{
  DP_ANNOUNCEMENT_ACCEPTED, /* accepted */
  DP_ANNOUNCEMENT_STARTED,  /* accepted; the server has just started and holds no flows */
  DP_ANNOUNCEMENT_REPLACED, /* accepted; another incarnation, which may hold flows */
  DP_ANNOUNCEMENT_STALE,    /* from an earlier incarnation, or out of order */
  DP_N_ANNOUNCEMENT_RESULTS
} DpAnnouncementResult;

/* Tracks the last announcement that was accepted. Starts as all zero but for since. */
typedef struct
{
  guint64 since;         /* when the companion started, in the units of incarnations */
  gboolean known;        /* an announcement was accepted */
  gboolean deregistered; /* the server has deregistered */
  char *id;
  guint64 incarnation;
  guint64 sequence;
} DpAnnouncementTracker;

DpAnnouncementResult dp_announcement_tracker_update (DpAnnouncementTracker *tracker,
                                                     const DpAnnouncement *announcement);
gboolean dp_announcement_tracker_deregister (DpAnnouncementTracker *tracker,
                                             const char *id);
void dp_announcement_tracker_clear (DpAnnouncementTracker *tracker);
