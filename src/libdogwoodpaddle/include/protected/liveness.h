/* A watcher's decisions about the members it watches. No I/O: heartbeats, other watchers'
 * suspicions and the time go in, suspicions to tell and removals come out. */
#pragma once

#include <glib.h>

#include "protected/chart.h"

#define DP_LIVENESS_TICK_US (500 * 1000)    /* between two ticks */
#define DP_LIVENESS_LATE_US (1000 * 1000)   /* a tick later than this: was paused */
#define DP_LIVENESS_REPEAT_US (1000 * 1000) /* between repeated actions for a member */
#define DP_LIVENESS_REMOTE_US (3000 * 1000) /* for which another's suspicion counts */

typedef struct _DpLiveness DpLiveness;

typedef enum
{
  DP_LIVENESS_SUSPECT,   /* tell the member's other watchers; repeated */
  DP_LIVENESS_REMOVE,    /* remove this incarnation; repeated while it is to be */
  DP_LIVENESS_CLEAR,     /* the member is alive after all */
  DP_LIVENESS_MASS_LOSS, /* more than half of the service is suspected: none is removed */
  DP_LIVENESS_ALONE,     /* suspected, but there is no watcher in another zone */
  DP_LIVENESS_WAS_PAUSED, /* this watcher was paused and starts from zero */
  DP_N_LIVENESS_ACTIONS
} DpLivenessActionType;

/* Texts are valid until the next change of the members. */
typedef struct
{
  DpLivenessActionType type;
  const char *service;
  const char *member;
  guint64 incarnation;
} DpLivenessAction;

typedef struct
{
  const char *service; /* "": a balancer */
  const char *member;
  guint64 incarnation;
  gint64 suspect_after; /* us without a heartbeat */
  gboolean can_agree;   /* it has a watcher in another availability zone */
} DpLivenessMember;

const char *dp_liveness_action_string (DpLivenessActionType type);

DpLiveness *dp_liveness_new (const char *zone, gint64 now);
void dp_liveness_free (DpLiveness *liveness);

/* The members to watch: begin, set each one, end; the others are forgotten. */
void dp_liveness_begin_members (DpLiveness *liveness);
void
dp_liveness_set_member (DpLiveness *liveness, const DpLivenessMember *member, gint64 now);
void dp_liveness_end_members (DpLiveness *liveness);
/* Number of all members of a service, whether watched here or not. */
void dp_liveness_set_service_size (DpLiveness *liveness, const char *service, guint size);

void dp_liveness_heartbeat (DpLiveness *liveness,
                            const char *service,
                            const char *member,
                            guint64 incarnation,
                            gint64 now);
/* zone: of the watcher that suspects the member. */
void dp_liveness_suspicion (DpLiveness *liveness,
                            const char *service,
                            const char *member,
                            guint64 incarnation,
                            const char *zone,
                            gint64 now);
/* After the platform became reachable again. */
void dp_liveness_restart (DpLiveness *liveness, gint64 now);
/* actions: DpLivenessAction, appended to. */
void dp_liveness_tick (DpLiveness *liveness, gint64 now, GArray *actions);

/* To be asked right before the removal is written. */
gboolean dp_liveness_may_remove (DpLiveness *liveness,
                                 const char *service,
                                 const char *member,
                                 guint64 incarnation,
                                 gint64 now);
/* FALSE: the member is not watched here. */
gboolean dp_liveness_state (DpLiveness *liveness,
                            const char *service,
                            const char *member,
                            DpWatchedState *state);
const char *dp_liveness_state_string (const DpLiveness *liveness, DpWatchedState state);

/* Only for tests that must fail: a watcher that was paused goes on as before, and removes
 * without asking whether its suspicion still holds. */
void dp_liveness_set_test_lapsed (DpLiveness *liveness, gboolean lapsed);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpLiveness, dp_liveness_free)
