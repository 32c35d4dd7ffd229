/* Flow table of a companion in passthrough mode: the state of each flow, which flows wait
 * for a slot and which have a pending request. */
#pragma once

#include "private/answerend.h"
#include "protected/concurrencylimit.h"
#include "protected/flowdirectory.h"
#include "protected/passthrough.h"
#include "protected/serverhealth.h"
#include "protected/warmuplimit.h"

typedef enum
{
  DP_PASSTHROUGH_FLOW_WAITING,   /* the SYN is held until a slot is free */
  DP_PASSTHROUGH_FLOW_OFFERED,   /* the SYN was sent to the server */
  DP_PASSTHROUGH_FLOW_ANSWERED,  /* the server's SYN-ACK was sent to the client */
  DP_PASSTHROUGH_FLOW_OPEN,      /* the client has acknowledged the SYN-ACK */
  DP_PASSTHROUGH_FLOW_CLOSED,    /* both ends have sent a FIN, or one has sent a reset */
  DP_PASSTHROUGH_FLOW_FORWARDED, /* the SYN was forwarded to another member */
  DP_PASSTHROUGH_FLOW_NOT_OWNED, /* the server does not have the flow */
  DP_N_PASSTHROUGH_FLOW_STATES
} DpPassthroughFlowState;

typedef struct
{
  DpFlowKey key;
  guint64 hash;
  DpPassthroughFlowState state;
  guint32 syn_seq;      /* sequence number of the SYN; 0: not seen */
  guint16 syn_age_ms;   /* of the copy of the SYN that this member has taken */
  gint64 syn_at;        /* us, arrival of that copy */
  gint64 registered_at; /* us, last registration in the flow directory, 0: none yet */
  guint32 registered_with[DP_FLOW_DIRECTORY_MEMBERS]; /* member ids, 0: none */
  gboolean server_asked; /* the server has returned a packet of the flow */
  DpAddress copy_sender; /* member that waits to hear whether the server has the flow;
                            port 0: none */
  gboolean syn_ack_seen; /* the server's SYN-ACK was seen */
  guint32 syn_ack_seq;   /* sequence number of the SYN-ACK */
  gboolean in_flight;    /* counted in n_in_flight */
  gboolean has_slot;
  gboolean unscheduled;   /* counted in n_unscheduled */
  gboolean request_seen;  /* the client has sent data */
  DpHandle in_flight_row; /* row in the table of flows in flight */
  DpTrafficClass class;   /* as in the hop metadata */
  DpHandle waiting_row;   /* row in the table of waiting flows */
  DpHandle ticket;        /* place in the queue for a slot */
  gboolean client_finished;
  gboolean server_finished;
  gint64 offered_at; /* us, when the SYN or a further request was sent to the server */
  gint64 used_at;    /* us, last activity */
  gint64 last_answer_at;   /* us, server's last data, 0: none since the last request */
  gint64 requested_at;     /* us, first data of the current request */
  gint64 first_byte_at;    /* us, first data of the answer to the current request, 0: none
                              yet */
  gboolean of_predecessor; /* of a server before; it has sent nothing since it was
                              replaced */
  gboolean answer_begun;   /* the server has sent data since the client's last new data */
  gboolean answer_ended;   /* by a partial packet; cleared by the client's next request */
  gboolean answer_overdue; /* an answer timed out, which was recorded as a failure */
  guint32 answer_start_seq; /* sequence number at which the answer begins */
  guint32 server_next_seq;  /* sequence number after the server's highest data */
  guint32 client_next_seq;  /* sequence number after the client's highest data, if
                             * request_seen */
  gint64 new_data_at;       /* us, when server_next_seq last advanced */
  DpHandle
      work; /* row of the request that the server works on; only if the limit is learnt */
  guint32 work_answer_seq; /* sequence number at which the answer to that work begins */
  DpAddress forwarded_to;
  DpHop hop;                    /* of the SYN as it arrived */
  GBytes *packet;               /* the held SYN, owned; may be NULL */
  gboolean late;                /* waits behind the flows that can be served in time */
  gint64 waiting_since;         /* us */
  gint64 client_gives_up_at;    /* us, when a held SYN is of no more use to its client */
  gint64 retransmission_due_at; /* us, client is taken to have given up if it has not
                                 * retransmitted its SYN by then; 0: no retransmission is
                                 * expected */
} DpPassthroughFlow;

typedef struct
{
  DpSlots *slots;
  DpServerHealth *health;
  DpConcurrencyLimit *concurrency; /* NULL: the declared slots are the limit */
  DpHandleTable *works;            /* DpRequestWork; NULL: the limit is not learnt */
  DpWarmupLimit *warmup;
  DpPassthroughHistograms histograms;
  GHashTable *by_key;             /* set of DpPassthroughFlow, compared by key */
  DpHandleTable *waiting_flows;   /* DpPassthroughFlow pointers */
  DpHandleTable *in_flight_flows; /* DpPassthroughFlow pointers */
  guint declared_slots;
  guint n_in_flight;   /* flows with a pending request; a flow's first request counts from
                          its SYN on */
  guint n_unscheduled; /* flows in flight without a slot whose answer has not begun; no
                          first requests after a handshake that was seen here */
  DpAnswerEnd answer_end;
  gint64 flow_ttl;       /* us */
  gboolean complete;     /* the table holds every flow of the server */
  gint64 last_missed_at; /* us, latest time at which a flow of the server may have been
                            missed; not used if complete */
  gint64 swept_at;       /* us, last search for expired flows */
  gint64 ticked_at;      /* us, last tick */
  gint64 handshake_time; /* us, from a SYN to its client's request, moving mean */
  guint n_handshakes;    /* samples in the mean, HANDSHAKE_SAMPLES at most */
} DpPassthroughFlows;

DpPassthroughFlows *dp_passthrough_flows_new (gint64 flow_ttl, gint64 now);
void dp_passthrough_flows_free (DpPassthroughFlows *flows);
void
dp_passthrough_flows_set_limits (DpPassthroughFlows *flows, guint slots, gint64 flow_ttl);

DpPassthroughFlow *dp_passthrough_flows_find (DpPassthroughFlows *flows,
                                              const DpSegment *segment);
/* Returns the new flow, owned by the table; NULL if the table is full. */
DpPassthroughFlow *dp_passthrough_flows_add (DpPassthroughFlows *flows,
                                             const DpSegment *segment,
                                             gint64 now);
void dp_passthrough_flows_remove (DpPassthroughFlows *flows, DpPassthroughFlow *flow);
gboolean dp_passthrough_flows_is_complete (const DpPassthroughFlows *flows, gint64 now);
guint dp_passthrough_flows_count (const DpPassthroughFlows *flows);

/* Counts the flow as in flight. has_slot: the flow has taken a slot. */
void dp_passthrough_flows_begin_work (DpPassthroughFlows *flows,
                                      DpPassthroughFlow *flow,
                                      gboolean has_slot,
                                      gint64 now);
/* Records that the flow, which is in flight, has a further request. */
void dp_passthrough_flows_restart_work (DpPassthroughFlows *flows,
                                        DpPassthroughFlow *flow,
                                        gint64 now);
/* Records that the server has a request on this flow in flight that could not be held
 * back. */
void dp_passthrough_flows_note_unscheduled (DpPassthroughFlows *flows,
                                            DpPassthroughFlow *flow);
/* Records that the client's data begin a new request, whose answer starts at the sequence
 * number answer_start_seq. */
void dp_passthrough_flows_begin_request (DpPassthroughFlows *flows,
                                         DpPassthroughFlow *flow,
                                         guint32 answer_start_seq,
                                         gint64 now);
/* If the limit is learnt: records a packet of the client with data, before the other
 * functions change the flow, and data of the server up to the sequence number end. */
void dp_passthrough_flows_note_client_data (DpPassthroughFlows *flows,
                                            DpPassthroughFlow *flow,
                                            const DpSegment *segment,
                                            gint64 now);
void dp_passthrough_flows_note_answer_begin (DpPassthroughFlows *flows,
                                             DpPassthroughFlow *flow,
                                             guint32 end,
                                             gint64 now);
/* Makes the flows learn the server's limit, beginning with the slots that were set. */
void dp_passthrough_flows_learn_limit (DpPassthroughFlows *flows, gint64 now);
/* Returns the number of requests that the server is to work on at once. */
guint dp_passthrough_flows_n_slots (const DpPassthroughFlows *flows);
/* Stops counting the flow as in flight, as the server has answered the request or has
 * ended the flow without an answer. Records the result in the server's health. */
void dp_passthrough_flows_end_work (DpPassthroughFlows *flows,
                                    DpPassthroughFlow *flow,
                                    gint64 now);
/* Records a packet with the newest data of an answer, and ends the work if it is the last
 * one. partial: it is shorter than a packet can be. */
void dp_passthrough_flows_note_answer (DpPassthroughFlows *flows,
                                       DpPassthroughFlow *flow,
                                       gboolean partial,
                                       gint64 now);
/* Stops counting the flow as in flight, without any record in the server's health. */
void dp_passthrough_flows_abandon_work (DpPassthroughFlows *flows,
                                        DpPassthroughFlow *flow);
void dp_passthrough_flows_abandon_all_work (DpPassthroughFlows *flows);
/* Records that another server runs, which may have none of the flows. */
void dp_passthrough_flows_note_server_replaced (DpPassthroughFlows *flows);

/* Queues the flow for a slot. late: behind those that can be served in time. Returns
 * FALSE if too many flows wait. */
gboolean dp_passthrough_flows_enqueue (DpPassthroughFlows *flows,
                                       DpPassthroughFlow *flow,
                                       gboolean late,
                                       gint64 now);
void dp_passthrough_flows_dequeue (DpPassthroughFlows *flows, DpPassthroughFlow *flow);
/* While flows wait, gives back the slots of flows whose clients have probably left. */
void dp_passthrough_flows_reclaim_slots (DpPassthroughFlows *flows, gint64 now);

/* Gives a free slot to the next flow in the queue and returns that flow; NULL if none
 * waits or no slot is free. */
DpPassthroughFlow *dp_passthrough_flows_assign_slot (DpPassthroughFlows *flows,
                                                     gint64 now);
/* Iterates over the waiting flows. The cursor starts as DP_HANDLE_NONE; the flow that was
 * returned may be removed. Returns NULL at the end. */
DpPassthroughFlow *dp_passthrough_flows_iter_waiting (DpPassthroughFlows *flows,
                                                      DpHandle *cursor);
guint dp_passthrough_flows_n_waiting (const DpPassthroughFlows *flows);

/* Returns whether the flow is taken here: its SYN waits for the server or was sent to it,
 * or the server has sent packets of it. */
gboolean dp_passthrough_flow_is_owned (const DpPassthroughFlow *flow);
/* Iterates over all flows; iter as in GLib. Returns NULL at the end. */
DpPassthroughFlow *dp_passthrough_flows_next (GHashTableIter *iter);
/* Returns the name of the flow's state for logs; "none" for NULL. */
const char *dp_passthrough_flow_state_string (const DpPassthroughFlow *flow);

void dp_passthrough_flows_tick (DpPassthroughFlows *flows, gint64 now);
/* Returns the table of a companion's flows, owned by the passthrough, so that its counts
 * can be checked. */
DpPassthroughFlows *dp_passthrough_flows (DpPassthrough *passthrough);
/* Records a time in us; histogram may be NULL. */
void dp_passthrough_flows_observe_time (DpHistogram *histogram, gint64 time);
