/* A companion's decisions for packets and flows. No I/O: events and the time go in,
 * actions come out and are carried out by the caller in their order. */
#pragma once

#include <glib.h>

#include "protected/candidates.h"
#include "protected/handle.h"
#include "protected/header.h"
#include "protected/segment.h"
#include "protected/slots.h"

typedef struct _DpAcceptance DpAcceptance;

typedef enum
{
  /* For the packet of the present call. */
  DP_ACTION_DELIVER, /* hand the packet to the TCP stack for the flow */
  DP_ACTION_FORWARD, /* send header and packet to the address */
  DP_ACTION_HOLD,    /* keep a copy of the SYN and header for the flow */
  DP_ACTION_DROP,    /* forget the packet; the reason says why */
  DP_ACTION_RESET,   /* answer the packet with a reset */
  /* For a flow. */
  DP_ACTION_CONNECT,      /* open a connection to the backend server */
  DP_ACTION_DELIVER_HELD, /* hand the kept SYN to the TCP stack */
  DP_ACTION_FORWARD_HELD, /* send the kept SYN on to the address, forget the flow */
  DP_ACTION_REFUSE,       /* answer the kept SYN with a reset, forget the flow */
  DP_ACTION_FORGET, /* silently remove the flow from the TCP stack, close the server's
                       side */
  DP_ACTION_GRANT,  /* the flow may hand request bytes to the server */
  DP_ACTION_ABORT,  /* reset both sides, forget the flow */
  DP_N_ACTIONS
} DpActionType;

typedef enum
{
  DP_REASON_NONE,
  DP_REASON_WRONG_SERVICE, /* service id or address is not this companion's */
  DP_REASON_HOP_LIMIT,     /* DP_VISITED_MAX members were visited */
  DP_REASON_UNSETTLED,     /* nobody has the flow, but views may still differ */
  DP_REASON_UNKNOWN_FLOW,  /* nobody has the flow and views agree */
  DP_REASON_NO_SERVER,     /* no member has a working server */
  DP_REASON_CONNECTIONS,   /* the connection limit is reached */
  DP_REASON_WAIT_LIMIT,    /* the expected wait is over the address's limit */
  DP_REASON_TABLE_FULL,    /* the flow table is full */
  DP_REASON_HALF_OPEN,     /* the handshake was not completed here */
  DP_REASON_IDLE_TIMEOUT,
  DP_REASON_PROGRESS_TIMEOUT,
  DP_REASON_DRAIN_DEADLINE,
  DP_REASON_ALREADY_HELD, /* retransmission of a SYN that is kept */
  DP_REASON_LEAVING,      /* this member takes no new flows */
  DP_N_REASONS
} DpReason;

typedef struct
{
  DpActionType type;
  DpReason reason;
  DpHandle flow;     /* DP_HANDLE_NONE where no flow is concerned */
  DpAddress address; /* of the member to forward to */
  DpHeader header;   /* to send with FORWARD and FORWARD_HELD */
} DpAction;

/* A reusable list of actions; cleared by the caller. */
typedef struct
{
  GArray *items; /* DpAction */
} DpActions;

/* Limits of this companion's server; from the effective settings. */
typedef struct
{
  guint32 slots;
  guint32 connections;
  guint32 visits;
  gint64 idle_timeout;     /* us */
  gint64 progress_timeout; /* us */
  gint64 slow_start;       /* us */
  gint64 settle_time;      /* us after which a member change is in force everywhere */
} DpAcceptanceLimits;

typedef struct
{
  DpAddress address;
  DpClass class;
  gint64 wait_limit; /* us */
  gint64 deadline;   /* us after which callers no longer want an answer, 0: not known */
} DpServiceAddress;

typedef struct
{
  guint flows;
  guint half_open;
  guint slots_busy;
  guint waiting[DP_N_CLASSES]; /* kept SYNs and waiting requests */
} DpAcceptanceLoad;

void dp_actions_init (DpActions *actions);
void dp_actions_clear (DpActions *actions);
void dp_actions_finish (DpActions *actions);
const char *dp_action_type_string (DpActionType type);
const char *dp_reason_string (DpReason reason);

DpAcceptance *dp_acceptance_new (const char *service, guint32 member_id);
void dp_acceptance_free (DpAcceptance *acceptance);

/* Configuration; may change at any time. */
void dp_acceptance_set_limits (DpAcceptance *acceptance,
                               const DpAcceptanceLimits *limits);
void dp_acceptance_set_addresses (DpAcceptance *acceptance,
                                  const DpServiceAddress *addresses,
                                  guint n_addresses);
void dp_acceptance_set_view (DpAcceptance *acceptance, DpView *view, gint64 now);
void
dp_acceptance_set_connected (DpAcceptance *acceptance, gboolean connected, gint64 now);
void dp_acceptance_resumed (DpAcceptance *acceptance, gint64 now);
void dp_acceptance_set_server_up (DpAcceptance *acceptance, gboolean up, gint64 now);
void dp_acceptance_set_leaving (DpAcceptance *acceptance, gboolean leaving, gint64 now);

/* Events. */
void dp_acceptance_packet (DpAcceptance *acceptance,
                           const DpHeader *header,
                           const DpSegment *segment,
                           gint64 now,
                           DpActions *actions);
void dp_acceptance_server_connected (DpAcceptance *acceptance,
                                     DpHandle flow,
                                     gint64 now,
                                     DpActions *actions);
void dp_acceptance_server_failed (DpAcceptance *acceptance,
                                  DpHandle flow,
                                  gint64 now,
                                  DpActions *actions);
void dp_acceptance_syn_answered (DpAcceptance *acceptance,
                                 DpHandle flow,
                                 guint32 initial_seq,
                                 gint64 now);
void dp_acceptance_established (DpAcceptance *acceptance, DpHandle flow, gint64 now);
gboolean
dp_acceptance_request (DpAcceptance *acceptance, DpHandle flow, gsize bytes, gint64 now);
void dp_acceptance_response (DpAcceptance *acceptance,
                             DpHandle flow,
                             gsize bytes,
                             gsize unsent,
                             gint64 now);
void dp_acceptance_progress (DpAcceptance *acceptance, DpHandle flow, gint64 now);
void dp_acceptance_closed (DpAcceptance *acceptance,
                           DpHandle flow,
                           gint64 now,
                           DpActions *actions);
void dp_acceptance_tick (DpAcceptance *acceptance, gint64 now, DpActions *actions);
gint64 dp_acceptance_next_deadline (DpAcceptance *acceptance);
void
dp_acceptance_abort_all (DpAcceptance *acceptance, DpReason reason, DpActions *actions);

/* Queries. */
DpHandle dp_acceptance_find (DpAcceptance *acceptance, const DpFlowKey *key);
gboolean dp_acceptance_flow_key (DpAcceptance *acceptance, DpHandle flow, DpFlowKey *key);
DpClass dp_acceptance_flow_class (DpAcceptance *acceptance, DpHandle flow);
DpAcceptanceLoad dp_acceptance_load (DpAcceptance *acceptance);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpAcceptance, dp_acceptance_free)
