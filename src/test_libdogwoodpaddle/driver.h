/* A simulation of balancers and companions: it runs real routers and flow engines under a
 * simulated clock. Packets are passed by direct calls, and TCP stacks and backend servers
 * are modelled only as far as the flow engine sees them. Used by the stateful tests, the
 * golden sessions and the measurements. */
#pragma once

#include <glib.h>

#include "protected/flowengine.h"
#include "protected/mutant.h"
#include "protected/router.h"

#define DRIVER_HOSTS_MAX 64
#define DRIVER_BALANCERS_MAX 16

typedef enum
{
  FLOW_SYN_SENT,
  FLOW_ESTABLISHED,
  FLOW_CLOSED,  /* closed by its client */
  FLOW_REFUSED, /* reset in answer to the SYN */
  FLOW_BROKEN,  /* reset after the handshake */
  N_FLOW_STATES
} FlowState;

/* A connection, as its client sees it. */
typedef struct
{
  DpFlowKey key;
  guint64 hash;
  DpTrafficClass class;
  FlowState state;
  guint host;                             /* index of the host that answered the SYN */
  guint32 seq;                            /* next sequence number to send */
  guint32 server_isn;                     /* of the SYN-ACK that the client accepted */
  guint32 server_bytes[DRIVER_HOSTS_MAX]; /* request bytes sent to each host's server */
  gint64 opened_at;                       /* us */
  gint64 sent_at;                         /* us, of the last request */
  gint64 started_at;                      /* us, when a server last got request bytes */
  gboolean answered;
  gboolean may_break; /* its host failed, so the flow may break without a violation */
} Flow;

typedef struct
{
  DpMember member;
  DpFlowEngine *engine;
  GHashTable *flows;        /* DpHandle to HostFlow */
  GHashTable *forwarded_to; /* flow index + 1 to the id of the member that got its SYN */
  DpMemberView *view;
  gboolean alive;
  gboolean paused;              /* packets to it are lost */
  gboolean removed_by_watchers; /* while it was paused or disconnected */
  gint64 silent_at; /* us, when its watchers stopped receiving from it; 0: not silent */
  gboolean server_up;
  gint64 left_at; /* us, when it began to leave; 0: not leaving */
  guint64 flows_started;
} Host;

typedef struct
{
  DpRouter *router;
  DpMemberView *view;
  gboolean alive;
} Balancer;

typedef struct _Driver Driver;

/* Called with a line of text for each event and decision, in order. */
typedef void (*DriverTrace) (const char *line, gpointer user_data);
/* Called when request bytes reach a server. */
typedef void (*DriverServed) (Driver *driver, guint flow, guint host, gpointer user_data);

struct _Driver
{
  GRand *random;
  gint64 now;         /* us */
  gint64 syn_acks_at; /* us, when unanswered SYN-ACKs are sent again */
  char *service;
  DpServiceAddress addresses[DP_N_TRAFFIC_CLASSES]; /* one for each class */
  DpFlowEngineLimits limits;
  DpMutant mutant;
  Host hosts[DRIVER_HOSTS_MAX];
  guint n_hosts;
  Balancer balancers[DRIVER_BALANCERS_MAX];
  guint n_balancers;
  gint64 failed_at;   /* us, when a host last failed or was found silent */
  DpMemberView *view; /* the newest one */
  guint64 revision;
  GArray *flows;    /* Flow */
  GQueue *packets;  /* Packet, in transit */
  double loss;      /* probability that a packet is lost */
  double duplicate; /* probability that a packet is duplicated */
  gboolean reorder; /* packets arrive in random order */
  guint64 hops;
  guint64 members_visited_max;
  guint64 delivered;
  guint64 dropped[DP_N_REASONS];
  GString *violation;  /* first violated rule, empty if none */
  DriverTrace trace;   /* may be NULL */
  DriverServed served; /* may be NULL */
  gpointer user_data;
};

Driver *driver_new (guint64 seed, const char *service);
void driver_free (Driver *driver);

guint driver_add_host (Driver *driver, guint slots, DpMemberState state);
void driver_set_state (Driver *driver, guint host, DpMemberState state);
void driver_leave (Driver *driver, guint host);
void driver_remove (Driver *driver, guint host);
void driver_kill (Driver *driver, guint host);
void driver_pause (Driver *driver, guint host);
void driver_resume (Driver *driver, guint host);
void driver_remove_silent (Driver *driver, guint host);
guint driver_add_balancer (Driver *driver);
void driver_replace_balancer (Driver *driver, guint balancer);
void driver_publish (Driver *driver);
void driver_update_host (Driver *driver, guint host);
void driver_update_balancer (Driver *driver, guint balancer);
void driver_update_all (Driver *driver);

guint driver_open (Driver *driver, DpTrafficClass class);
void driver_resend_syn (Driver *driver, guint flow);
void driver_send (Driver *driver, guint flow, guint bytes);
void driver_respond (Driver *driver, guint flow, guint bytes);
void driver_close (Driver *driver, guint flow);
void driver_fail_server (Driver *driver, guint flow);
void driver_run (Driver *driver);
void driver_advance (Driver *driver, gint64 delta);
Flow *driver_flow (Driver *driver, guint flow);
const char *driver_flow_state_string (FlowState state);
