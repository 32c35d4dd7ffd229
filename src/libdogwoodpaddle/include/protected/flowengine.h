/* A companion's flow engine: decides what happens to each packet and flow. It does no
 * I/O: the caller reports events with the present time, and carries out the resulting
 * actions in their order. */
#pragma once

#include <glib.h>

#include "protected/candidates.h"
#include "protected/handle.h"
#include "protected/header.h"
#include "protected/segment.h"
#include "protected/slots.h"

typedef struct _DpFlowEngine DpFlowEngine;

typedef enum
{
  /* For the packet that was passed to dp_flow_engine_packet (). */
  DP_ACTION_DELIVER, /* pass the packet of the flow to the TCP stack */
  DP_ACTION_FORWARD, /* send the header and the packet to the address */
  DP_ACTION_HOLD,    /* keep a copy of the SYN and its header for the new flow */
  DP_ACTION_DROP,    /* discard the packet for the given reason */
  DP_ACTION_RESET,   /* answer the packet with a reset */
  /* For a flow. */
  DP_ACTION_CONNECT,      /* open a connection to the backend server */
  DP_ACTION_DELIVER_HELD, /* pass the held SYN to the TCP stack */
  DP_ACTION_FORWARD_HELD, /* send the held SYN to the address and remove the flow */
  DP_ACTION_REFUSE,       /* answer the held SYN with a reset and remove the flow */
  DP_ACTION_FORGET, /* remove the flow from the TCP stack without telling the client, and
                       reset the connection to the server */
  DP_ACTION_GRANT,  /* the flow's request bytes may be sent to the server */
  DP_ACTION_ABORT,  /* reset both connections and remove the flow */
  DP_N_ACTIONS
} DpActionType;

typedef enum
{
  DP_REASON_NONE,
  DP_REASON_WRONG_SERVICE, /* the service id or address is not of this service */
  DP_REASON_HOP_LIMIT,     /* DP_VISITED_MAX members were visited */
  DP_REASON_UNSETTLED,     /* the members' views may still differ */
  DP_REASON_UNKNOWN_FLOW,  /* the views agree, and no member has the flow */
  DP_REASON_NO_SERVER,     /* the backend server is down or can't be reached */
  DP_REASON_CONNECTIONS,   /* the connection limit is reached */
  DP_REASON_WAIT_LIMIT,    /* expected wait over the address's limit, or wait timed out */
  DP_REASON_TABLE_FULL,    /* the flow table is full */
  DP_REASON_HALF_OPEN,     /* the client didn't complete the handshake here */
  DP_REASON_IDLE_TIMEOUT,
  DP_REASON_PROGRESS_TIMEOUT,
  DP_REASON_DRAIN_DEADLINE,
  DP_REASON_ALREADY_HELD, /* retransmission of a SYN that is held */
  DP_REASON_LEAVING,      /* this member is leaving and accepts no new flows */
  DP_N_REASONS
} DpReason;

typedef struct
{
  DpActionType type;
  DpReason reason;
  DpHandle flow;     /* DP_HANDLE_NONE if the action concerns no flow */
  DpAddress address; /* FORWARD, FORWARD_HELD: of the member to send to */
  DpHeader header;   /* FORWARD, FORWARD_HELD: to send in front of the packet */
} DpAction;

/* A reusable list of actions. Calls append to it; the caller clears it. */
typedef struct
{
  GArray *items; /* DpAction */
} DpActions;

/* Limits of this companion and its server, from the effective settings. */
typedef struct
{
  guint32 slots;           /* requests that the server handles at once */
  guint32 connections;     /* flows at once, including those that wait for a slot */
  guint32 visits;          /* members that a SYN visits in search of a free slot */
  gint64 idle_timeout;     /* us */
  gint64 progress_timeout; /* us */
  gint64 slow_start;  /* us from the server's start, in which fewer flows are accepted */
  gint64 settle_time; /* us within which a change of the members reaches every process */
} DpFlowEngineLimits;

typedef struct
{
  DpAddress address;
  DpTrafficClass class;
  gint64 wait_limit; /* us */
  gint64 deadline;   /* us after which callers no longer want an answer; 0: unknown */
} DpServiceAddress;

typedef struct
{
  guint flows;
  guint half_open;
  guint slots_busy;
  guint waiting[DP_N_TRAFFIC_CLASSES]; /* held SYNs and requests that wait for a slot */
} DpFlowEngineLoad;

void dp_actions_init (DpActions *actions);
void dp_actions_clear (DpActions *actions);
void dp_actions_finish (DpActions *actions);
const char *dp_action_type_string (DpActionType type);
const char *dp_reason_string (DpReason reason);

DpFlowEngine *dp_flow_engine_new (const char *service, guint32 member_id);
void dp_flow_engine_free (DpFlowEngine *engine);

/* Configuration; may change at any time. */
void dp_flow_engine_set_limits (DpFlowEngine *engine, const DpFlowEngineLimits *limits);
void dp_flow_engine_set_addresses (DpFlowEngine *engine,
                                   const DpServiceAddress *addresses,
                                   guint n_addresses);
void dp_flow_engine_set_view (DpFlowEngine *engine, DpMemberView *view, gint64 now);
void
dp_flow_engine_set_receiving_views (DpFlowEngine *engine, gboolean receiving, gint64 now);
void dp_flow_engine_resumed (DpFlowEngine *engine, gint64 now);
void dp_flow_engine_set_server_up (DpFlowEngine *engine, gboolean up, gint64 now);
void dp_flow_engine_set_leaving (DpFlowEngine *engine, gboolean leaving, gint64 now);

/* Events. */
void dp_flow_engine_packet (DpFlowEngine *engine,
                            const DpHeader *header,
                            const DpSegment *segment,
                            gint64 now,
                            DpActions *actions);
void dp_flow_engine_server_connected (DpFlowEngine *engine,
                                      DpHandle flow,
                                      gint64 now,
                                      DpActions *actions);
void dp_flow_engine_server_failed (DpFlowEngine *engine,
                                   DpHandle flow,
                                   gint64 now,
                                   DpActions *actions);
void dp_flow_engine_syn_answered (DpFlowEngine *engine,
                                  DpHandle flow,
                                  guint32 initial_seq,
                                  gint64 now);
void dp_flow_engine_established (DpFlowEngine *engine, DpHandle flow, gint64 now);
gboolean
dp_flow_engine_request (DpFlowEngine *engine, DpHandle flow, gsize bytes, gint64 now);
void dp_flow_engine_response (DpFlowEngine *engine,
                              DpHandle flow,
                              gsize bytes,
                              gsize unsent,
                              gint64 now);
void dp_flow_engine_progress (DpFlowEngine *engine, DpHandle flow, gint64 now);
void dp_flow_engine_closed (DpFlowEngine *engine,
                            DpHandle flow,
                            gint64 now,
                            DpActions *actions);
void dp_flow_engine_tick (DpFlowEngine *engine, gint64 now, DpActions *actions);
gint64 dp_flow_engine_next_deadline (DpFlowEngine *engine);
void dp_flow_engine_abort_all (DpFlowEngine *engine, DpReason reason, DpActions *actions);

/* Queries. */
DpHandle dp_flow_engine_find (DpFlowEngine *engine, const DpFlowKey *key);
gboolean dp_flow_engine_flow_key (DpFlowEngine *engine, DpHandle flow, DpFlowKey *key);
DpTrafficClass dp_flow_engine_flow_class (DpFlowEngine *engine, DpHandle flow);
DpFlowEngineLoad dp_flow_engine_load (DpFlowEngine *engine);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpFlowEngine, dp_flow_engine_free)
