/* What a backend server says of itself in each heartbeat, and which heartbeats count. */
#pragma once

#include <glib.h>

typedef struct
{
  const char *id;
  guint64 incarnation; /* higher after each start; 0 if it isn't known */
  guint64 sequence;    /* of the heartbeat within the incarnation */
  guint32 slots;
  gboolean leaving;       /* no new flows are wanted */
  guint32 warmup_left_ms; /* for which the server is still slow after its start */
} DpAnnouncement;

typedef enum
{
  DP_ANNOUNCED_NEWS,    /* to be taken over */
  DP_ANNOUNCED_STARTED, /* likewise, and the server holds nothing of before */
  DP_ANNOUNCED_STALE,   /* of an earlier incarnation, or out of order */
  DP_N_ANNOUNCED_RESULTS
} DpAnnouncedResult;

/* The last announcement that counted. */
typedef struct
{
  gboolean known;
  gboolean gone; /* the server has signed off */
  char *id;
  guint64 incarnation;
  guint64 sequence;
} DpAnnounced;

DpAnnouncedResult dp_announced_take (DpAnnounced *announced,
                                     const DpAnnouncement *announcement);
gboolean dp_announced_sign_off (DpAnnounced *announced, const char *id);
void dp_announced_clear (DpAnnounced *announced);
