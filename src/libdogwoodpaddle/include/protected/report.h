/* Datagrams of passthrough mode. Between companions and balancers: a companion reports
 * the state and load of its server; a balancer answers with the members of the service.
 * Between companions: the entries of the flow directory, and probes of whether they run.
 */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/evacuations.h"
#include "protected/flowdirectory.h"
#include "protected/packetport.h"
#include "protected/memberview.h"
#include "protected/slots.h"

#define DP_REPORT_INTERVAL_MAX_MS 60000

#define DP_REPORT_MAX DP_DATAGRAM_MAX /* bytes of one encoded datagram */

typedef struct
{
  const char *service;
  const char *name;
  const char *zone;
  DpAddress address; /* of the companion's packet port */
  guint32 slots;
  DpMemberState state;
  guint32 in_flight; /* flows with a pending request; a flow's first request counts from
                        its SYN on */
  guint32 warmup_remaining_ms; /* remaining time in which the server is slow after its
                                  start */
  guint64 list_hash;   /* dp_member_list_hash () of the members known to the companion */
  guint32 interval_ms; /* time until this balancer gets the next report */
  gboolean failing;    /* the server fails too many requests to get new flows */
  gboolean deregistered; /* the server has ended: it has no flows left */
  gboolean has_policy_digest;
  guint64 policy_digest; /* dp_policy_digest () of what the companion knows; 0: it has
                            heard too little to take new flows. Valid if
                            has_policy_digest is set */
  guint32 limit; /* requests that the server handles well at once, learnt; 0: not sent, as
                    slots are the limit */
  guint32 service_times[DP_N_TRAFFIC_CLASSES]; /* us, of each class; 0: not known */
} DpReport;

#define DP_LIST_PARTS_MAX 256 /* a power of two */

/* The current members of one service, or one part of them: those whose id modulo n_parts
 * equals part. The parts need not arrive together, since each shows by itself which
 * members of its part are absent. */
typedef struct
{
  const char *service;
  GArray *members;   /* DpMember; id, name, zone, address, slots and state are set */
  GArray *balancers; /* DpAddress, report ports of the balancers */
  guint part;
  guint n_parts;   /* 0 or 1: the list is complete */
  GArray *removed; /* guint32, ids of members that the sender knew and has removed; NULL:
                    * the sender is of an earlier version, which only leaves them out */
} DpMemberList;

/* What the sender knows of evacuations, and the part of a service's configuration that
 * companions need. */
typedef struct
{
  const char *service;
  DpKnowledge knowledge;
  guint64 digest;         /* dp_evacuations_digest () of the sender */
  guint64 config_version; /* 0: the sender knows no configuration of the service */
  guint64 warmup_rate;    /* thousandths of a request per second that a cold server can
                             handle, 0: no limit */
  GArray *entries;        /* DpEvacuationEntry */
} DpPolicy;

typedef enum
{
  DP_REPORT_NONE, /* malformed */
  DP_REPORT_LOAD,
  DP_REPORT_MEMBERS,
  DP_REPORT_OWNER,         /* the owner of a flow, to be entered in the flow directory */
  DP_REPORT_OWNERS_WANTED, /* the sender knows no entry, and asks for those that it is to
                              keep */
  DP_REPORT_PROBE,         /* asks whether the receiver runs */
  DP_REPORT_PROBE_ANSWER,
  DP_REPORT_POLICY,       /* evacuations, and what a companion needs of its service's
                             configuration */
  DP_REPORT_OWNER_QUERY,  /* asks for the owner of a flow; answered by DP_REPORT_OWNER or
                             DP_REPORT_OWNER_ANSWER, not known to earlier versions */
  DP_REPORT_OWNER_ANSWER, /* the sender does not, or may, have the flow */
  DP_N_REPORT_TYPES
} DpReportType;

/* A decoded datagram. Owns what the report and the list point to. */
typedef struct
{
  DpReportType type;
  DpReport report;
  DpMemberList list;
  DpFlowOwner owner;    /* with DP_REPORT_OWNER */
  DpAddress sender;     /* with the types up to the policy: the sender's packet port */
  DpPolicy policy;      /* with DP_REPORT_POLICY */
  DpOwnerQuery query;   /* with DP_REPORT_OWNER_QUERY */
  DpOwnerAnswer answer; /* with DP_REPORT_OWNER_ANSWER */
  const char *service;  /* of the flow, or of the sender */
  GStringChunk *strings;
} DpReportMessage;

gsize dp_report_encode (const DpReport *report, guint8 buffer[DP_REPORT_MAX]);
gsize dp_member_list_encode (const DpMemberList *list, guint8 buffer[DP_REPORT_MAX]);
/* Encodes the members of the view, and the ids in removed, which may be NULL, into as
 * many datagrams as needed for each part to fit into one. Returns the datagrams as
 * GBytes; empty if there would be more than DP_LIST_PARTS_MAX. */
GPtrArray *dp_member_list_encode_parts (const DpMemberView *view, const GArray *removed);
gsize dp_flow_owner_encode (const DpFlowOwner *owner,
                            const char *service,
                            guint8 buffer[DP_REPORT_MAX]);
gsize dp_owner_query_encode (const DpOwnerQuery *query,
                             const char *service,
                             guint8 buffer[DP_REPORT_MAX]);
gsize dp_owner_answer_encode (const DpOwnerAnswer *answer,
                              const char *service,
                              guint8 buffer[DP_REPORT_MAX]);
/* Encodes a message of a type that says nothing but who sends it. sender: its packet
 * port. */
gsize dp_peer_message_encode (DpReportType type,
                              const DpAddress *sender,
                              const char *service,
                              guint8 buffer[DP_REPORT_MAX]);
/* Encodes the policy with as many entries, from the first on, as fit into a datagram. */
gsize dp_policy_encode (const DpPolicy *policy, guint8 buffer[DP_REPORT_MAX]);
/* Returns the digest by which two processes notice that they know different evacuations
 * or warm-up rates; never 0. The version of the configuration is left out, since most
 * versions change no rate. */
guint64 dp_policy_digest (guint64 evacuations_digest, guint64 warmup_rate);
/* Returns FALSE if the datagram is malformed. The message is to be cleared either way. */
gboolean dp_report_decode (DpReportMessage *message, const guint8 *data, gsize length);
void dp_report_message_clear (DpReportMessage *message);
guint64 dp_member_list_hash (const DpMember *members, guint n_members);
