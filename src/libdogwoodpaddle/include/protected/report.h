/* Datagrams between companions and balancers in passthrough mode: a companion reports its
 * server's state and load; a balancer answers with the members of the service. */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/packetport.h"
#include "protected/memberview.h"

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
  guint32 in_flight;      /* flows whose server works on a request or is about to */
  guint32 warmup_left_ms; /* for which the server is still slow after its start */
  guint64 list_hash;      /* of the members that the companion knows */
  guint32 interval_ms;    /* after which this balancer gets the next report */
  gboolean failing;       /* the server fails too many requests to get new flows */
  gboolean deregistered;  /* the server has signed off: none of its flows is left */
} DpReport;

#define DP_LIST_PARTS_MAX 256 /* a power of two */

/* The present members of one service, or a part of them: those whose id modulo n_parts is
 * part. Parts need not arrive together, as each tells who is absent of its own members.
 */
typedef struct
{
  const char *service;
  GArray *members;   /* DpMember; id, name, zone, address, slots and state are set */
  GArray *balancers; /* DpAddress of the balancers' report ports */
  guint part;
  guint n_parts; /* 0 or 1: the list is whole */
  GArray *gone;  /* guint32, ids of members that this balancer knew and has forgotten;
                  * NULL:  of an earlier version, which only leaves them out */
} DpMemberList;

typedef enum
{
  DP_REPORT_NONE, /* malformed */
  DP_REPORT_LOAD,
  DP_REPORT_MEMBERS,
  DP_N_REPORT_TYPES
} DpReportType;

/* A decoded datagram; owns what the report and the list point to. */
typedef struct
{
  DpReportType type;
  DpReport report;
  DpMemberList list;
  GStringChunk *texts;
} DpReportMessage;

gsize dp_report_encode (const DpReport *report, guint8 buffer[DP_REPORT_MAX]);
gsize dp_member_list_encode (const DpMemberList *list, guint8 buffer[DP_REPORT_MAX]);
/* The members, and the ids of those that are gone, in as many datagrams, GBytes, as it
 * takes for each part to fit into one; empty if they would be more than
 * DP_LIST_PARTS_MAX. */
GPtrArray *dp_member_list_encode_parts (const DpMemberView *view, const GArray *gone);
gboolean dp_report_decode (DpReportMessage *message, const guint8 *data, gsize length);
void dp_report_message_clear (DpReportMessage *message);
guint64 dp_member_list_hash (const DpMember *members, guint n_members);
