/* A failure detector: a watcher's decisions about the members that it watches. No I/O:
 * its input is heartbeats, the suspicions of other watchers and the time; its output is
 * the suspicions to send and the members to remove. */
#pragma once

#include <glib.h>

#include "protected/chart.h"

#define DP_LIVENESS_TICK_INTERVAL_US (500 * 1000)
/* A tick that is later than this shows that the watcher was paused. */
#define DP_LIVENESS_MAX_TICK_DELAY_US (1000 * 1000)
/* Between repeated actions for a member. */
#define DP_LIVENESS_REPEAT_INTERVAL_US (1000 * 1000)
/* How long another watcher's suspicion counts. */
#define DP_LIVENESS_SUSPICION_VALIDITY_US (3000 * 1000)

typedef struct _DpLiveness DpLiveness;

typedef enum
{
  DP_LIVENESS_SUSPECT,       /* tell the member's other watchers; repeated */
  DP_LIVENESS_REMOVE,        /* remove this incarnation; repeated while it applies */
  DP_LIVENESS_CLEAR,         /* the member is alive again */
  DP_LIVENESS_MASS_LOSS,     /* more than half of the service suspected: none removed */
  DP_LIVENESS_UNCONFIRMABLE, /* suspected, but there is no watcher in another zone */
  DP_LIVENESS_WAS_PAUSED,    /* this watcher was paused and restarts its observation */
  DP_N_LIVENESS_ACTIONS
} DpLivenessActionType;

/* The strings are valid until the next change of the watched members. */
typedef struct
{
  DpLivenessActionType type;
  const char *service;
  const char *member;
  guint64 incarnation;
} DpLivenessAction;

typedef struct
{
  const char *service; /* "" for a balancer */
  const char *member;
  guint64 incarnation;
  gint64 suspect_after;      /* us without a heartbeat */
  gboolean can_be_confirmed; /* has a watcher in another availability zone */
} DpLivenessMember;

const char *dp_liveness_action_string (DpLivenessActionType type);

DpLiveness *dp_liveness_new (const char *zone, gint64 now);
void dp_liveness_free (DpLiveness *liveness);

/* To replace the set of watched members, call dp_liveness_begin_members (),
 * dp_liveness_set_member () for each member, and dp_liveness_end_members (). Members that
 * were not set are no longer watched. */
void dp_liveness_begin_members (DpLiveness *liveness);
void
dp_liveness_set_member (DpLiveness *liveness, const DpLivenessMember *member, gint64 now);
void dp_liveness_end_members (DpLiveness *liveness);
/* size counts all members of the service, including those not watched here. */
void dp_liveness_set_service_size (DpLiveness *liveness, const char *service, guint size);

void dp_liveness_handle_heartbeat (DpLiveness *liveness,
                                   const char *service,
                                   const char *member,
                                   guint64 incarnation,
                                   gint64 now);
/* zone is that of the watcher that suspects the member. */
void dp_liveness_handle_suspicion (DpLiveness *liveness,
                                   const char *service,
                                   const char *member,
                                   guint64 incarnation,
                                   const char *zone,
                                   gint64 now);
/* To be called after the platform became reachable again. */
void dp_liveness_restart (DpLiveness *liveness, gint64 now);
/* Appends the DpLivenessAction elements that are due to actions. */
void dp_liveness_tick (DpLiveness *liveness, gint64 now, GArray *actions);

/* To be called right before a removal is written. */
gboolean dp_liveness_may_remove (DpLiveness *liveness,
                                 const char *service,
                                 const char *member,
                                 guint64 incarnation,
                                 gint64 now);
/* Returns FALSE if the member is not watched here. */
gboolean dp_liveness_state (DpLiveness *liveness,
                            const char *service,
                            const char *member,
                            DpWatchedState *state);
const char *dp_liveness_state_string (const DpLiveness *liveness, DpWatchedState state);

/* Injects a fault, so that tests can verify that they would detect it: after a pause the
 * watcher does not restart its observation, and it removes members without checking that
 * its suspicion is still valid. For tests only. */
void dp_liveness_set_test_ignore_pauses (DpLiveness *liveness, gboolean ignore_pauses);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpLiveness, dp_liveness_free)
