/* Packet decisions of a companion in passthrough mode, in which the backend server itself
 * terminates the flows and the companion sees every packet in both directions. Performs
 * no I/O: the caller passes in a packet and the time, and carries out the decision.
 *
 * Only the companions know which member owns a flow. A packet that reaches a member
 * without its flow is forwarded to a member that keeps the flow's directory entry, and
 * from there to the owner that the entry names. The member that it is forwarded to may be
 * down without anybody knowing it yet. It is probed along with the packet, which is kept:
 * if the probe is not answered, the packet goes to the other member with the entry. If
 * there is no entry, or no member to ask for it, all members are asked for the owner at
 * once, and the packet waits for their answers. If none names an owner, the members whose
 * servers may have the flow get the packet one after the other. The time to the owner
 * doesn't depend on how many members are down.
 *
 * Load pattern: more work than slots for some seconds, as at a peak of demand, or after a
 * power failure, when all clients come back at once to cold servers. The SYN of a new
 * flow is first forwarded to up to DP_PASSTHROUGH_VISITS_MAX members in search of a free
 * slot. Then it waits at the last of them, urgent flows before others. A flow that can no
 * longer be served within its objective is late: it waits behind those that can, if its
 * turn is expected to come before its client gives up; otherwise it is rejected at once.
 */
#pragma once

#include <glib.h>

#include "protected/candidates.h"
#include "protected/concurrencylimit.h"
#include "protected/flowdirectory.h"
#include "protected/metrics.h"
#include "protected/packetformat.h"
#include "protected/serverhealth.h"
#include "protected/slots.h"

typedef struct _DpPassthrough DpPassthrough;

#define DP_PASSTHROUGH_VISITS_MAX                                                        \
  4 /* members visited in search of a slot for a new flow */
#define DP_PASSTHROUGH_RETRY_INTERVAL_MS 20

typedef enum
{
  DP_PASSTHROUGH_TO_SERVER, /* deliver the packet, with the hop, to the backend server */
  DP_PASSTHROUGH_TO_CLIENT, /* send the server's packet to the client */
  DP_PASSTHROUGH_TO_MEMBER, /* send the packet, with the hop, to the member */
  DP_PASSTHROUGH_RESET,     /* answer the client with a reset */
  DP_PASSTHROUGH_HOLD, /* hold the SYN until dp_passthrough_next_released () releases it
                        */
  DP_PASSTHROUGH_ASK_MEMBERS, /* keep the packet with dp_passthrough_ask_members () */
  DP_PASSTHROUGH_DROP,
  DP_N_PASSTHROUGH_ACTIONS
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
  DP_PASSTHROUGH_PASSED_BEFORE, /* the flow's SYN was forwarded to another member */
  DP_PASSTHROUGH_REGISTERED,    /* the flow directory names another member as the owner */
  DP_PASSTHROUGH_WAITING,       /* the flow waits for a slot */
  DP_PASSTHROUGH_LATE,       /* the flow waits behind those that can be served in time */
  DP_PASSTHROUGH_EXPIRED,    /* the client of a waiting flow has given up */
  DP_PASSTHROUGH_GATHERING,  /* just after a start or a pause, it is not known whether
                                another member has taken the flow */
  DP_PASSTHROUGH_OVERLOADED, /* no visited member can serve the flow in time */
  DP_PASSTHROUGH_REPEATED,   /* the server retransmits data that the client did not
                                acknowledge */
  DP_PASSTHROUGH_LOST,       /* the server has lost the flow, as after a crash */
  DP_PASSTHROUGH_NOT_FOUND,  /* no member has the flow */
  DP_PASSTHROUGH_STALE, /* came during a pause; its sender has sent it elsewhere since */
  DP_PASSTHROUGH_WRONG_SERVICE,
  DP_PASSTHROUGH_UNEXPECTED, /* a packet that neither a client nor the server sends */
  DP_N_PASSTHROUGH_REASONS
} DpPassthroughReason;

/* What a decision was based on, for logs. */
typedef struct
{
  const char *flow_state;   /* of the packet's flow as it was known here, "none" if it was
                               not */
  gint64 flow_age;          /* us, since the flow's last packet; 0: not known here */
  gint64 view_age;          /* us, since the list of members last changed; -1: none yet */
  gboolean all_flows_known; /* every flow of the server is known */
} DpPassthroughBasis;

typedef struct
{
  DpPassthroughAction action;
  DpPassthroughReason reason;
  DpAddress member; /* with DP_PASSTHROUGH_TO_MEMBER */
  DpHop hop; /* hop metadata to be written into the packet for the server or a member */
  DpPassthroughBasis basis;
  gboolean unconfirmed; /* with DP_PASSTHROUGH_TO_MEMBER: the packet is to be kept with
                           dp_passthrough_keep_packet (), as the member may be down */
} DpPassthroughDecision;

/* A packet that is decided about again, as the member it was sent to has not answered. */
typedef struct
{
  DpSegment segment;
  GBytes *packet; /* owned by the caller */
  DpPassthroughDecision decision;
} DpRedecidedPacket;

/* A held SYN that no longer waits. */
typedef struct
{
  DpFlowKey key;
  GBytes *packet; /* as given to dp_passthrough_hold_packet (), owned by the caller, or
                     NULL */
  DpPassthroughDecision decision;
} DpReleasedSyn;

/* The owner of a flow, to be sent to a member that keeps the flow's directory entry. */
typedef struct
{
  DpAddress member; /* packet port of the receiver */
  DpFlowOwner owner;
} DpOwnerRegistration;

typedef struct
{
  guint slots;
  gint64 flow_ttl; /* us, after which an unused flow is forgotten */
  /* In a second, a cold server gets at most floor (rate x warmup_overrun + warmup_slack)
   * requests; warmup_overrun of 0: no limit. */
  double warmup_overrun;
  double warmup_slack;
} DpPassthroughLimits;

/* What would be decided about the first SYN of a new flow, and on what basis. */
typedef struct
{
  /* DP_PASSTHROUGH_RESET: the SYN is rejected. Before the client is reset, the members
   * with the flow's directory entry have to confirm that. */
  DpPassthroughAction action;
  DpPassthroughReason reason;
  DpAddress member; /* with DP_PASSTHROUGH_TO_MEMBER */
  guint slots;      /* the learnt limit if there is one, else the declared slots */
  guint in_flight;
  guint n_waiting;
  gint64 expected_wait; /* us, until a slot is free for the flow here */
  gboolean serving;     /* the server takes new flows */
  gboolean silent;      /* the server leaves SYNs unanswered */
} DpPassthroughPreview;

/* The limit of a cold server. */
typedef struct
{
  gboolean active;     /* in force: the server is cold, and its rate is known */
  guint max;           /* requests in a second at most */
  guint n_recent;      /* requests of the last second */
  guint64 n_held_back; /* SYNs that found a slot but were held back by the limit */
} DpPassthroughWarmup;

/* Histograms of the times of flows; each may be NULL. */
typedef struct
{
  DpHistogram *wait;   /* from holding a SYN to sending it to the server */
  DpHistogram *accept; /* from sending the SYN to the server's SYN-ACK */
  DpHistogram *work;   /* from sending the SYN, or the data of a further request, to the
                        * end of the server's answer */
} DpPassthroughHistograms;

/* member: name of this companion's member. now: in us, as everywhere below. */
DpPassthrough *dp_passthrough_new (const char *service, const char *member, gint64 now);
void dp_passthrough_set_histograms (DpPassthrough *passthrough,
                                    const DpPassthroughHistograms *histograms);
void dp_passthrough_free (DpPassthrough *passthrough);
void dp_passthrough_set_limits (DpPassthrough *passthrough,
                                const DpPassthroughLimits *limits);
/* Sets the requests a second that the server declares to handle while it is cold; 0: no
 * limit. */
void dp_passthrough_set_warmup_limit (DpPassthrough *passthrough, double per_second);
/* Learns how many requests the server handles well at once and uses that instead of the
 * declared slots. */
void dp_passthrough_learn_limit (DpPassthrough *passthrough, gint64 now);
/* Returns the learnt limit; NULL before dp_passthrough_learn_limit (). */
DpConcurrencyLimit *dp_passthrough_concurrency (const DpPassthrough *passthrough);
/* Sets the time at which the server is no longer cold. */
void dp_passthrough_set_warmup_end (DpPassthrough *passthrough, gint64 ends_at);
DpPassthroughWarmup dp_passthrough_warmup (const DpPassthrough *passthrough, gint64 now);
/* Returns the time in us until dp_passthrough_next_released () is to be called although
 * no packet has come, as the limit of a cold server then lets a SYN through that waits;
 * 0: the limit holds none back. */
gint64 dp_passthrough_release_wait (const DpPassthrough *passthrough, gint64 now);
/* Sets the packet port of this companion, under which it registers its server's flows. */
void dp_passthrough_set_address (DpPassthrough *passthrough, const DpAddress *address);
/* Sets the members of the service; takes a reference to the view. */
void dp_passthrough_set_view (DpPassthrough *passthrough, DpMemberView *view, gint64 now);
/* Sets whether the server takes new flows. */
void dp_passthrough_set_serving (DpPassthrough *passthrough, gboolean serving);
/* Records that a server without any flow has started: from now on the companion sees
 * every flow of the server begin. */
void dp_passthrough_server_replaced (DpPassthrough *passthrough, gboolean without_flows);

/* Decides about a client's packet from a balancer or another member. */
DpPassthroughDecision dp_passthrough_from_peer (DpPassthrough *passthrough,
                                                const DpSegment *segment,
                                                const DpHop *hop,
                                                gint64 now);
/* Returns what would be decided about the first SYN of a new flow. Changes nothing that a
 * later decision depends on. */
DpPassthroughPreview dp_passthrough_preview (const DpPassthrough *passthrough,
                                             const DpSegment *segment,
                                             const DpHop *hop,
                                             gint64 now);
/* Decides about a client's packet that the server returned. */
DpPassthroughDecision dp_passthrough_returned (DpPassthrough *passthrough,
                                               const DpSegment *segment,
                                               const DpHop *hop,
                                               gint64 now);
/* Decides about a packet of the server. The segment's key has client and service as in
 * the client's own packets. */
DpPassthroughDecision dp_passthrough_from_server (DpPassthrough *passthrough,
                                                  const DpSegment *segment,
                                                  gint64 now);
/* Holds the packet of a SYN after a DP_PASSTHROUGH_HOLD, until
 * dp_passthrough_next_released () returns it; takes a reference to the packet. */
void dp_passthrough_hold_packet (DpPassthrough *passthrough,
                                 const DpSegment *segment,
                                 GBytes *packet);
/* Sets released to the next flow that no longer waits, with the decision about its SYN;
 * returns FALSE if there is none. To be called after each packet of the server and each
 * tick until it returns FALSE. */
gboolean dp_passthrough_next_released (DpPassthrough *passthrough,
                                       DpReleasedSyn *released,
                                       gint64 now);
/* Keeps a client's packet whose decision is unconfirmed; takes a reference to the packet.
 * hop: as it was given to the decision. */
void dp_passthrough_keep_packet (DpPassthrough *passthrough,
                                 const DpSegment *segment,
                                 const DpHop *hop,
                                 const DpPassthroughDecision *decision,
                                 GBytes *packet,
                                 gint64 now);
/* Sets unanswered to the next packet that is kept and whose member has left a probe
 * unanswered, with a new decision; returns FALSE if there is none. To be called every
 * DP_PASSTHROUGH_RETRY_INTERVAL_MS until it returns FALSE, as long as packets are kept.
 */
gboolean dp_passthrough_next_unanswered (DpPassthrough *passthrough,
                                         DpRedecidedPacket *unanswered,
                                         gint64 now);
/* Keeps a packet after a DP_PASSTHROUGH_ASK_MEMBERS, and has all members asked for the
 * owner of its flow; takes a reference to the packet. Returns FALSE if it is not kept, as
 * too many flows are searched. hop: that of the decision. */
gboolean dp_passthrough_ask_members (DpPassthrough *passthrough,
                                     const DpSegment *segment,
                                     const DpHop *hop,
                                     GBytes *packet,
                                     gint64 now);
/* Sets query to the next one to be sent to all members besides this one, of which view,
 * owned by the passthrough, is set to the list; returns FALSE if there is none. To be
 * called along with dp_passthrough_next_registration (). */
gboolean dp_passthrough_next_query (DpPassthrough *passthrough,
                                    DpOwnerQuery *query,
                                    const DpMemberView **view);
/* Answers the query of another member. Returns TRUE and sets owner if an owner of the
 * flow is known here, otherwise sets answer. */
gboolean dp_passthrough_answer_query (DpPassthrough *passthrough,
                                      const DpOwnerQuery *query,
                                      DpFlowOwner *owner,
                                      DpOwnerAnswer *answer,
                                      gint64 now);
/* Records a member's answer to a query, or that its server has returned the copy of a
 * packet. Returns whether dp_passthrough_next_unfound () is to be called. */
gboolean dp_passthrough_note_owner_answer (DpPassthrough *passthrough,
                                           const DpOwnerAnswer *answer);
/* Sets found to the next kept packet of the flow if its owner is registered here, with a
 * new decision; returns FALSE if there is none. To be called after
 * dp_passthrough_register_owner () and dp_passthrough_register_copy () until it returns
 * FALSE. */
gboolean dp_passthrough_next_found (DpPassthrough *passthrough,
                                    const DpFlowKey *key,
                                    DpRedecidedPacket *found,
                                    gint64 now);
/* Sets unfound to the next packet whose flow's owner no member has named, with a new
 * decision, which sends a copy to a member that may have the flow or, once there is none
 * left, is the last one; returns FALSE if there is none. To be called after
 * dp_passthrough_note_owner_answer () and every DP_PASSTHROUGH_RETRY_INTERVAL_MS until it
 * returns FALSE, as long as packets are kept. */
gboolean dp_passthrough_next_unfound (DpPassthrough *passthrough,
                                      DpRedecidedPacket *unfound,
                                      gint64 now);
/* Records who has sent the copy of a packet that the server is asked about. */
void dp_passthrough_note_copy (DpPassthrough *passthrough,
                               const DpSegment *segment,
                               const DpAddress *sender,
                               gint64 now);
/* Gives the member that has sent the copy of a packet that the server has returned;
 * returns FALSE if that is not known. */
gboolean dp_passthrough_copy_sender (DpPassthrough *passthrough,
                                     const DpSegment *segment,
                                     DpAddress *sender);
/* Returns the number of kept packets and of searches among the members. */
guint dp_passthrough_n_kept (const DpPassthrough *passthrough);
/* Sets member to the next one to be probed; returns FALSE if there is none. To be called
 * along with dp_passthrough_next_registration (). */
gboolean dp_passthrough_next_probe (DpPassthrough *passthrough, DpAddress *member);
/* Records that the member at this packet port has answered a probe. */
void dp_passthrough_note_probe_answer (DpPassthrough *passthrough,
                                       const DpAddress *member);
/* Sets registration to the next one to be sent; returns FALSE if there is none. To be
 * called after each packet, tick and change of the members until it returns FALSE. */
gboolean dp_passthrough_next_registration (DpPassthrough *passthrough,
                                           DpOwnerRegistration *registration);
/* Records that the process has not run for a while, as when its host was frozen. */
void dp_passthrough_note_pause (DpPassthrough *passthrough, gint64 now);
/* Enters the owner of a flow in this member's part of the flow directory. */
void dp_passthrough_register_owner (DpPassthrough *passthrough,
                                    const DpFlowOwner *owner,
                                    gint64 now);
/* Registers an owner that another member than the owner itself names. */
void dp_passthrough_register_copy (DpPassthrough *passthrough,
                                   const DpFlowOwner *owner,
                                   gint64 now);
/* Registers all flows again that are known here and whose entries the member at this
 * packet port keeps. */
void dp_passthrough_repeat_registrations (DpPassthrough *passthrough,
                                          const DpAddress *member);
/* Passes on what is known of flows and their owners, as the process is about to end. */
void dp_passthrough_hand_over (DpPassthrough *passthrough);
/* Frees the slots of flows that make no progress, and forgets flows that have expired. To
 * be called about every 100 ms. */
void dp_passthrough_tick (DpPassthrough *passthrough, gint64 now);
/* Returns whether the server has left SYNs unanswered for longer than it takes to accept
 * one. */
gboolean dp_passthrough_server_is_silent (const DpPassthrough *passthrough, gint64 now);

DpBreakerState dp_passthrough_server_health (const DpPassthrough *passthrough);
guint dp_passthrough_load (const DpPassthrough *passthrough);
guint dp_passthrough_in_flight (const DpPassthrough *passthrough);
guint dp_passthrough_n_waiting (const DpPassthrough *passthrough);
guint dp_passthrough_n_members (const DpPassthrough *passthrough);
guint dp_passthrough_n_flows (const DpPassthrough *passthrough);
const char *dp_passthrough_action_string (DpPassthroughAction action);
const char *dp_passthrough_reason_string (DpPassthroughReason reason);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPassthrough, dp_passthrough_free)
