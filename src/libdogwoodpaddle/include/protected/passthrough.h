/* A companion's decisions in passthrough mode, where the backend server itself ends the
 * flows and the companion sees every packet in both directions. No I/O: a packet and the
 * time go in, what to do with the packet comes out.
 *
 * Nobody but the companions knows who owns a flow. A packet that reaches a member without
 * its flow is passed on along the flow's order of members until it reaches its owner.
 *
 * Load pattern answered: more work than slots for some seconds, as at the crest of a
 * demand swing or after a power failure, when all clients come back at once to cold
 * servers. A new flow first looks for a free slot at up to DP_PASSTHROUGH_VISITS_MAX
 * members. Then its SYN waits at the last of them, urgent flows before others. One that
 * can't be served within its objective any more waits behind those that can, if its turn
 * is expected to come before its client gives up; otherwise it is rejected at once. */
#pragma once

#include <glib.h>

#include "protected/candidates.h"
#include "protected/metrics.h"
#include "protected/packetformat.h"
#include "protected/serverhealth.h"
#include "protected/slots.h"

typedef struct _DpPassthrough DpPassthrough;

#define DP_PASSTHROUGH_VISITS_MAX                                                        \
  4 /* members that look for a free slot for one new flow */

typedef enum
{
  DP_PASSTHROUGH_TO_SERVER, /* hand the packet to the backend server */
  DP_PASSTHROUGH_TO_CLIENT, /* send the server's packet to the client */
  DP_PASSTHROUGH_TO_MEMBER, /* send the packet to the address, with the hop */
  DP_PASSTHROUGH_RESET,     /* answer the client with a reset */
  DP_PASSTHROUGH_HOLD, /* keep the SYN until dp_passthrough_next_released () names its
                          flow */
  DP_PASSTHROUGH_DROP,
  DP_N_PASS_ACTIONS
} DpPassthroughAction;

typedef enum
{
  DP_PASSTHROUGH_OWNED,         /* the server has the flow, or is offered it */
  DP_PASSTHROUGH_ASKED,         /* only the server can know whether it has the flow */
  DP_PASSTHROUGH_SEARCHING,     /* another member may have the flow */
  DP_PASSTHROUGH_BUSY,          /* all slots are taken here */
  DP_PASSTHROUGH_NOT_SERVING,   /* the server is leaving, down or not known yet */
  DP_PASSTHROUGH_FAILING,       /* the server fails too many of its requests */
  DP_PASSTHROUGH_RETURNED,      /* the server returned the packet */
  DP_PASSTHROUGH_PASSED_BEFORE, /* the flow's SYN went to another member */
  DP_PASSTHROUGH_WAITING,       /* the flow waits for a slot */
  DP_PASSTHROUGH_LATE,          /* it waits behind those that can be served in time */
  DP_PASSTHROUGH_EXPIRED,       /* the client of a waiting flow has given up */
  DP_PASSTHROUGH_GATHERING,     /* who else could serve the flow is not known yet */
  DP_PASSTHROUGH_OVERLOADED,    /* no visited member can serve the flow in time */
  DP_PASSTHROUGH_REPEATED, /* the server repeats data that the client has not acknowledged
                            */
  DP_PASSTHROUGH_LOST,     /* the server has lost the flow, as after a crash */
  DP_PASSTHROUGH_NOT_FOUND, /* no member has the flow */
  DP_PASSTHROUGH_WRONG_SERVICE,
  DP_PASSTHROUGH_UNEXPECTED, /* a packet that neither a client nor the server sends */
  DP_N_PASS_REASONS
} DpPassthroughReason;

typedef struct
{
  DpPassthroughAction action;
  DpPassthroughReason reason;
  DpAddress member; /* with DP_PASSTHROUGH_TO_MEMBER */
  DpHop hop;        /* to write into the packet for the server or a member */
} DpPassthroughDecision;

/* A SYN that waits no longer. */
typedef struct
{
  DpFlowKey key;
  GBytes *packet; /* as given to dp_passthrough_keep (), owned by the caller, or NULL */
  DpPassthroughDecision decision;
} DpReleasedSyn;

typedef struct
{
  guint slots;
  gint64 flow_ttl; /* us after which a flow may be forgotten */
} DpPassthroughLimits;

/* Where the times of flows are counted; members may be NULL. */
typedef struct
{
  DpHistogram *wait;   /* of SYNs that were held, until they went to the server */
  DpHistogram *accept; /* from the SYN to the server's answer */
  DpHistogram *work;   /* from the SYN to the end of the server's answer */
} DpPassthroughTimes;

DpPassthrough *dp_passthrough_new (const char *service, const char *member, gint64 now);
void dp_passthrough_set_times (DpPassthrough *passthrough,
                               const DpPassthroughTimes *times);
void dp_passthrough_free (DpPassthrough *passthrough);
void dp_passthrough_set_limits (DpPassthrough *passthrough,
                                const DpPassthroughLimits *limits);
/* The members of the service; the view is referenced. */
void dp_passthrough_set_view (DpPassthrough *passthrough, DpMemberView *view);
/* Whether the server takes new flows. */
void dp_passthrough_set_serving (DpPassthrough *passthrough, gboolean serving);
/* A server without flows has started: from now on every flow of it is known here. */
void dp_passthrough_server_started (DpPassthrough *passthrough);

/* A client's packet from a balancer or another member. */
DpPassthroughDecision dp_passthrough_from_peer (DpPassthrough *passthrough,
                                                const DpSegment *segment,
                                                const DpHop *hop,
                                                gint64 now);
/* A client's packet that the server returned. */
DpPassthroughDecision dp_passthrough_returned (DpPassthrough *passthrough,
                                               const DpSegment *segment,
                                               const DpHop *hop,
                                               gint64 now);
/* A packet of the server; the segment's key has client and service as for the client's
 * own packets. */
DpPassthroughDecision dp_passthrough_from_server (DpPassthrough *passthrough,
                                                  const DpSegment *segment,
                                                  gint64 now);
/* Keeps the packet of a SYN that is to be held until dp_passthrough_next_released ()
 * gives it back; the packet is referenced. */
void dp_passthrough_keep (DpPassthrough *passthrough,
                          const DpSegment *segment,
                          GBytes *packet);
/* Gives the next flow that waits no longer, with what to do with its SYN; FALSE if there
 * is none. To be called after each packet of the server and each tick. */
gboolean dp_passthrough_next_released (DpPassthrough *passthrough,
                                       DpReleasedSyn *released,
                                       gint64 now);
/* Frees the slots of flows that nobody goes on with and forgets what has expired; to be
 * called every 100 ms or so. */
void dp_passthrough_tick (DpPassthrough *passthrough, gint64 now);
/* Whether the server has left SYNs unanswered for longer than it takes to accept one. */
gboolean dp_passthrough_server_is_silent (const DpPassthrough *passthrough, gint64 now);

DpBreakerState dp_passthrough_server_health (const DpPassthrough *passthrough);
guint dp_passthrough_load (const DpPassthrough *passthrough);
guint dp_passthrough_in_flight (const DpPassthrough *passthrough);
guint dp_passthrough_waiting (const DpPassthrough *passthrough);
guint dp_passthrough_n_members (const DpPassthrough *passthrough);
guint dp_passthrough_n_flows (const DpPassthrough *passthrough);
const char *dp_passthrough_action_string (DpPassthroughAction action);
const char *dp_passthrough_reason_string (DpPassthroughReason reason);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPassthrough, dp_passthrough_free)
