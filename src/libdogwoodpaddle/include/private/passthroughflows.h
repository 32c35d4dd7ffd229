/* A companion's flows in passthrough mode: what is remembered of each, which of them wait
 * for a slot and which the server works on. */
#pragma once

#include "protected/passthrough.h"
#include "protected/serverhealth.h"

typedef enum
{
  DP_PASSTHROUGH_FLOW_WAITING,  /* the SYN is kept until a slot is free */
  DP_PASSTHROUGH_FLOW_OFFERED,  /* the SYN went to the server */
  DP_PASSTHROUGH_FLOW_ANSWERED, /* the server's SYN-ACK went to the client */
  DP_PASSTHROUGH_FLOW_OPEN,     /* the client has acknowledged it */
  DP_PASSTHROUGH_FLOW_CLOSED,   /* both ends have finished, or one has reset it */
  DP_PASSTHROUGH_FLOW_PASSED,   /* the SYN went to another member */
  DP_PASSTHROUGH_FLOW_FOREIGN   /* the server does not have the flow */
} DpPassthroughFlowState;

typedef struct
{
  DpFlowKey key;
  guint64 hash;
  DpPassthroughFlowState state;
  guint32 client_seq;  /* of the SYN */
  gboolean handshaken; /* the SYN-ACK was seen */
  guint32 server_seq;  /* of the SYN-ACK */
  gboolean working;    /* counts as in flight */
  gboolean has_slot;
  gboolean requested;   /* the client has sent data */
  DpHandle work;        /* row in the table of working flows */
  DpTrafficClass class; /* as in the hop */
  DpHandle waiting;     /* row in the table of waiting flows */
  DpHandle ticket;      /* in the slots' queue */
  gboolean client_finished;
  gboolean server_finished;
  gint64 offered_at;    /* us */
  gint64 used_at;       /* us */
  gint64 answered_at;   /* us of the server's last data, 0: none since the last request */
  gint64 requested_at;  /* us of the present request's first data */
  gint64 first_byte_at; /* us of its answer's first data */
  gboolean overdue;     /* its answer is, which the server's health knows */
  guint32 answer_from;  /* sequence number at which its answer begins */
  guint32 server_end;   /* behind the last data that the server has sent */
  gint64 progress_at;   /* us, when it last sent data beyond that */
  DpAddress passed_to;
  DpHop hop;         /* of the SYN when it came here */
  GBytes *packet;    /* the SYN while it waits, owned; NULL if it was not kept */
  gboolean late;     /* waits behind those that can be served in time */
  gint64 waits_from; /* us */
  gint64 give_up_at; /* us, when a waiting SYN is of no use to its client any more */
  gint64
      copy_due_at; /* us, when its client has left unless a copy came, 0: none is due */
} DpPassthroughFlow;

typedef struct
{
  DpSlots *slots;
  DpServerHealth *health;
  DpPassthroughTimes times;
  GHashTable *by_key;     /* DpPassthroughFlow by its key, which comes first */
  DpHandleTable *waiting; /* DpPassthroughFlow pointers */
  DpHandleTable *working; /* DpPassthroughFlow pointers */
  guint in_flight;        /* flows whose server works on a request or is about to */
  gint64 flow_ttl;        /* us */
  gboolean complete;      /* every flow of the server is known */
  gint64 complete_from;   /* us, otherwise: since when no flow was left out */
  gint64 swept_at;        /* us */
  gint64 ticked_at;       /* us */
} DpPassthroughFlows;

DpPassthroughFlows *dp_passthrough_flows_new (gint64 flow_ttl, gint64 now);
void dp_passthrough_flows_free (DpPassthroughFlows *flows);
void
dp_passthrough_flows_set_limits (DpPassthroughFlows *flows, guint slots, gint64 flow_ttl);

DpPassthroughFlow *dp_passthrough_flows_find (DpPassthroughFlows *flows,
                                              const DpSegment *segment);
/* NULL if too many are remembered. */
DpPassthroughFlow *dp_passthrough_flows_add (DpPassthroughFlows *flows,
                                             const DpSegment *segment,
                                             gint64 now);
void dp_passthrough_flows_remove (DpPassthroughFlows *flows, DpPassthroughFlow *flow);
gboolean dp_passthrough_flows_know_all (const DpPassthroughFlows *flows, gint64 now);
guint dp_passthrough_flows_count (const DpPassthroughFlows *flows);

/* slot: the flow has taken one. */
void dp_passthrough_flows_begin_work (DpPassthroughFlows *flows,
                                      DpPassthroughFlow *flow,
                                      gboolean slot,
                                      gint64 now);
/* The client's data begin a request that the server works on. */
void dp_passthrough_flows_begin_request (DpPassthroughFlow *flow,
                                         guint32 answer_from,
                                         gint64 now);
/* The server has answered the request, or has ended the flow without an answer. */
void dp_passthrough_flows_end_work (DpPassthroughFlows *flows,
                                    DpPassthroughFlow *flow,
                                    gint64 now);
/* The flow no longer counts as in flight, and says nothing about the server. */
void dp_passthrough_flows_abandon_work (DpPassthroughFlows *flows,
                                        DpPassthroughFlow *flow);
void dp_passthrough_flows_abandon_all (DpPassthroughFlows *flows);

/* late: behind those that can be served in time. FALSE if too many wait. */
gboolean dp_passthrough_flows_wait (DpPassthroughFlows *flows,
                                    DpPassthroughFlow *flow,
                                    gboolean late,
                                    gint64 now);
void dp_passthrough_flows_release (DpPassthroughFlows *flows, DpPassthroughFlow *flow);
/* The flow whose turn it is, with its slot; NULL if none waits or no slot is free. */
DpPassthroughFlow *dp_passthrough_flows_next_waiting (DpPassthroughFlows *flows,
                                                      gint64 now);
/* Walks through the flows that wait: the cursor starts at DP_HANDLE_NONE, and the flow
 * that was returned may be removed. NULL at the end. */
DpPassthroughFlow *dp_passthrough_flows_each_waiting (DpPassthroughFlows *flows,
                                                      DpHandle *cursor);
guint dp_passthrough_flows_n_waiting (const DpPassthroughFlows *flows);

void dp_passthrough_flows_tick (DpPassthroughFlows *flows, gint64 now);
void dp_passthrough_flows_observe (DpHistogram *histogram, gint64 time);
