/* The table of a companion's flows, found by key or by handle, with their timers. */
#pragma once

#include <glib.h>

#include "protected/handle.h"
#include "protected/header.h"
#include "protected/segment.h"
#include "protected/slots.h"

typedef enum
{
  DP_FLOW_WAITING,    /* the SYN is held until a slot is free */
  DP_FLOW_CONNECTING, /* the SYN is held until the server is connected */
  DP_FLOW_HALF_OPEN,  /* the SYN was passed to the TCP stack */
  DP_FLOW_ESTABLISHED,
  DP_N_FLOW_STATES
} DpFlowState;

typedef enum
{
  DP_SLOT_NONE,
  DP_SLOT_WAITING,   /* queued for a slot; the flow's ticket is valid */
  DP_SLOT_RESERVED,  /* for the first request */
  DP_SLOT_BUSY,      /* a request was sent to the server, which has not answered yet */
  DP_SLOT_ANSWERING, /* the server has sent part of the answer */
  DP_N_SLOT_STATES
} DpSlotState;

/* A timer has the same duration for all flows, so a list of flows in the order in which
 * they started the timer is also in the order of expiry. A flow runs at most one timer of
 * each group. */
typedef enum
{
  DP_TIMER_WAITING,
  DP_TIMER_CONNECT,
  DP_TIMER_HALF_OPEN,
  DP_TIMER_IDLE,
  DP_TIMER_HANDSHAKE, /* like DP_TIMER_RESERVATION, while the flow is half-open */
  DP_TIMER_RESERVATION,
  DP_TIMER_RESPONSE,
  DP_TIMER_NO_ANSWER, /* an unanswered request gives up its slot; the flow continues */
  DP_TIMER_PROGRESS,
  DP_N_TIMERS
} DpTimer;

typedef enum
{
  DP_TIMER_GROUP_STATE,    /* end the flow, or pass it to another member */
  DP_TIMER_GROUP_SLOT,     /* release the flow's slot */
  DP_TIMER_GROUP_PROGRESS, /* end a flow whose client acknowledges no more data */
  DP_N_TIMER_GROUPS
} DpTimerGroup;

/* A flow's place in a timer's list. */
typedef struct
{
  gint64 started_at; /* us, when the timer was started */
  DpHandle previous;
  DpHandle next;
} DpTimerLink;

typedef struct
{
  DpFlowKey key;
  guint32 client_seq;                       /* of the SYN */
  guint32 initial_seq;                      /* of the SYN-ACK, if syn_answered is set */
  guint8 state;                             /* DpFlowState */
  guint8 class;                             /* DpTrafficClass */
  guint8 slot_state;                        /* DpSlotState */
  guint8 syn_answered : 1;                  /* the SYN-ACK's sequence number is known */
  guint8 request_sent : 1;                  /* request bytes were sent to the server */
  guint8 running_timers[DP_N_TIMER_GROUPS]; /* running DpTimer + 1, 0: none */
  DpHandle ticket;                          /* in the slots' queue */
  gint64 busy_since;                        /* us, start of the request */
  DpHeader *held_header;                    /* of the held SYN, NULL: none is held */
  DpTimerLink links[DP_N_TIMER_GROUPS];
} DpFlow;

typedef struct _DpFlows DpFlows;

DpFlows *dp_flows_new (guint max_flows);
void dp_flows_free (DpFlows *flows);
DpHandle dp_flows_add (DpFlows *flows, const DpFlowKey *key, guint64 hash);
DpFlow *dp_flows_get (DpFlows *flows, DpHandle handle);
DpHandle dp_flows_find (DpFlows *flows, const DpFlowKey *key, guint64 hash);
void dp_flows_remove (DpFlows *flows, DpHandle handle);
DpHandle dp_flows_next (DpFlows *flows, DpHandle after);
guint dp_flows_count (const DpFlows *flows);
void dp_flows_start_timer (DpFlows *flows, DpHandle handle, DpTimer timer, gint64 now);
void dp_flows_stop_timer (DpFlows *flows, DpHandle handle, DpTimerGroup group);
gboolean
dp_flows_timer_running (DpFlows *flows, DpHandle handle, DpTimer timer, gint64 *since);
DpHandle dp_flows_oldest_timer (DpFlows *flows, DpTimer timer, gint64 *since);
