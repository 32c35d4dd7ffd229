/* A companion's flows by key and by handle, with their timers. */
#pragma once

#include <glib.h>

#include "protected/handle.h"
#include "protected/header.h"
#include "protected/segment.h"
#include "protected/slots.h"

typedef enum
{
  DP_FLOW_WAITING,    /* the SYN is kept until a slot is free */
  DP_FLOW_CONNECTING, /* the SYN is kept until the server is connected */
  DP_FLOW_HALF_OPEN,  /* the SYN was handed to the TCP stack */
  DP_FLOW_ESTABLISHED,
  DP_N_FLOW_STATES
} DpFlowState;

typedef enum
{
  DP_SLOT_NONE,
  DP_SLOT_WAITING,   /* queued; the flow's ticket is valid */
  DP_SLOT_RESERVED,  /* for the first request */
  DP_SLOT_BUSY,      /* a request was handed over, no answer yet */
  DP_SLOT_ANSWERING, /* the server has sent part of the answer */
  DP_N_SLOT_STATES
} DpSlotState;

/* Each timer runs equally long for all flows, so a list in the order of starting is also
 * in the order of expiry. A flow runs at most one timer of each group. */
typedef enum
{
  DP_TIMER_WAITING,
  DP_TIMER_CONNECT,
  DP_TIMER_HALF_OPEN,
  DP_TIMER_IDLE,
  DP_TIMER_HANDSHAKE, /* as DP_TIMER_RESERVATION, while the flow is half-open */
  DP_TIMER_RESERVATION,
  DP_TIMER_RESPONSE,
  DP_TIMER_SILENT, /* a request without answer gives up its slot, the flow goes on */
  DP_TIMER_PROGRESS,
  DP_N_TIMERS
} DpTimer;

typedef enum
{
  DP_TIMER_GROUP_LIFE,
  DP_TIMER_GROUP_SLOT,
  DP_TIMER_GROUP_PROGRESS,
  DP_N_TIMER_GROUPS
} DpTimerGroup;

typedef struct
{
  gint64 since; /* us */
  DpHandle previous;
  DpHandle next;
} DpTimerLink;

typedef struct
{
  DpFlowKey key;
  guint32 client_seq;               /* of the SYN */
  guint32 initial_seq;              /* of the SYN-ACK, if answered */
  guint8 state;                     /* DpFlowState */
  guint8 class;                     /* DpTrafficClass */
  guint8 slot;                      /* DpSlotState */
  guint8 answered : 1;              /* the SYN-ACK's sequence number is known */
  guint8 handed : 1;                /* request bytes were handed to the server */
  guint8 timers[DP_N_TIMER_GROUPS]; /* running DpTimer + 1, 0: none */
  DpHandle ticket;                  /* in the slots' queue */
  gint64 busy_since;                /* us */
  DpHeader *held;                   /* header of the kept SYN */
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
void dp_flows_start (DpFlows *flows, DpHandle handle, DpTimer timer, gint64 now);
void dp_flows_stop (DpFlows *flows, DpHandle handle, DpTimerGroup group);
gboolean dp_flows_running (DpFlows *flows, DpHandle handle, DpTimer timer, gint64 *since);
DpHandle dp_flows_oldest (DpFlows *flows, DpTimer timer, gint64 *since);
