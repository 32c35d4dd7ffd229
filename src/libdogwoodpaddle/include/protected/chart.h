/* State charts, loaded from compiled-in JSON files and interpreted at run time. */
#pragma once

#include <glib.h>

typedef struct _DpChart DpChart;

/* Current state of one object that follows a chart. The chart must outlive it. */
typedef struct
{
  const DpChart *chart;
  guint state;
} DpChartInstance;

/* Index of the action "none" in every chart. dp_chart_step () also returns it, without a
 * change of state, for an event without a transition from the current state. */
#define DP_CHART_ACTION_NONE 0

/* The chart "member": a companion's registration. The order is that of
 * charts/member.json. */
typedef enum
{
  DP_MEMBER_CHART_ABSENT,
  DP_MEMBER_CHART_JOINING,
  DP_MEMBER_CHART_ACTIVE,
  DP_MEMBER_CHART_LEAVING,
  DP_N_MEMBER_CHART_STATES
} DpMemberChartState;

typedef enum
{
  DP_MEMBER_EVENT_ANNOUNCED, /* the server announced itself */
  DP_MEMBER_EVENT_SERVER_UP, /* the server accepts connections */
  DP_MEMBER_EVENT_SERVER_DOWN,
  DP_MEMBER_EVENT_STOP,    /* SIGTERM, the server's DELETE or an operator's drain */
  DP_MEMBER_EVENT_UNDRAIN, /* an operator's drain was released */
  DP_MEMBER_EVENT_REMOVED_BY_WATCHER,
  DP_MEMBER_EVENT_LAST_FLOW_ENDED,
  DP_N_MEMBER_EVENTS
} DpMemberEvent;

typedef enum
{
  DP_MEMBER_ACTION_NONE,
  DP_MEMBER_ACTION_JOIN,       /* write the entry in state joining */
  DP_MEMBER_ACTION_ACTIVATE,   /* write state active */
  DP_MEMBER_ACTION_DEACTIVATE, /* write state joining: the server takes no connections */
  DP_MEMBER_ACTION_LEAVE,      /* accept no new flows, write state leaving */
  DP_MEMBER_ACTION_REJOIN, /* write the entry with a new incarnation in the same state */
  DP_MEMBER_ACTION_REMOVE, /* remove the entry */
  DP_MEMBER_ACTION_ABORT,  /* end the remaining flows, remove the entry */
  DP_N_MEMBER_ACTIONS
} DpMemberAction;

/* The chart "watched": a member as one of its watchers sees it. */
typedef enum
{
  DP_WATCHED_OBSERVING, /* no heartbeat since the observation started */
  DP_WATCHED_ALIVE,
  DP_WATCHED_SUSPECTED,
  DP_WATCHED_REMOVING,
  DP_N_WATCHED_STATES
} DpWatchedState;

typedef enum
{
  DP_WATCHED_EVENT_HEARTBEAT,
  DP_WATCHED_EVENT_SILENT, /* no heartbeat for suspect_ms */
  DP_WATCHED_EVENT_AGREED, /* a watcher in another availability zone suspects it, too */
  DP_WATCHED_EVENT_PAUSED, /* this watcher was paused, started or reconnected */
  DP_WATCHED_EVENT_GONE,   /* the member is no longer in the list */
  DP_N_WATCHED_EVENTS
} DpWatchedEvent;

typedef enum
{
  DP_WATCHED_ACTION_NONE,
  DP_WATCHED_ACTION_SUSPECT, /* tell the other watchers */
  DP_WATCHED_ACTION_CLEAR,   /* forget the suspicion, cancel a removal */
  DP_WATCHED_ACTION_REMOVE,  /* remove it from the member list by conditional update */
  DP_WATCHED_ACTION_RESTART, /* start the observation again from the beginning */
  DP_WATCHED_ACTION_FORGET,  /* stop observing it */
  DP_N_WATCHED_ACTIONS
} DpWatchedAction;

/* The chart "breaker": circuit breaker that decides whether a backend server gets new
 * flows. Its states are DpBreakerState in serverhealth.h. */
typedef enum
{
  DP_BREAKER_EVENT_FAILING, /* too many requests have failed */
  DP_BREAKER_EVENT_RETRY,   /* it is time to try the server again */
  DP_BREAKER_EVENT_FAILED,  /* a single request has failed */
  DP_BREAKER_EVENT_PROVEN,  /* enough consecutive requests have succeeded */
  DP_N_BREAKER_EVENTS
} DpBreakerEvent;

typedef enum
{
  DP_BREAKER_ACTION_NONE,
  DP_BREAKER_ACTION_TRIP,  /* start the period without new flows */
  DP_BREAKER_ACTION_PROBE, /* start to count successful requests */
  DP_BREAKER_ACTION_RESET, /* forget the failures */
  DP_N_BREAKER_ACTIONS
} DpBreakerAction;

/* Loads a compiled-in chart: "breaker", "member" or "watched". */
DpChart *dp_chart_load (const char *name, GError **error);
/* Parses a chart from JSON text; name is used in errors only. */
DpChart *
dp_chart_parse (const char *name, const char *text, gsize length, GError **error);
void dp_chart_free (DpChart *chart);

guint dp_chart_n_states (const DpChart *chart);
guint dp_chart_n_events (const DpChart *chart);
guint dp_chart_n_actions (const DpChart *chart);
const char *dp_chart_state_name (const DpChart *chart, guint state);
const char *dp_chart_event_name (const DpChart *chart, guint event);
const char *dp_chart_action_name (const DpChart *chart, guint action);

/* Puts the instance into the chart's initial state. */
void dp_chart_start (DpChartInstance *instance, const DpChart *chart);
/* Makes the event's transition, if any, and returns the index of its action. */
guint dp_chart_step (DpChartInstance *instance, guint event);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpChart, dp_chart_free)
