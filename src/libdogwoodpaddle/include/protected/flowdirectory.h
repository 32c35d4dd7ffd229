/* Directory of the flows' owners. The members of a service share it: the first
 * DP_FLOW_DIRECTORY_MEMBERS members in a flow's order keep an entry that names the flow's
 * owner: the member that has taken its SYN, whose server may answer it or has the open
 * flow already. Any process can compute them from the flow's hash. A packet of an unknown
 * flow thus reaches its owner in two hops, however many members the service has, and a
 * SYN is rejected only if no member has taken another copy of it. Performs no I/O. */
#pragma once

#include <glib.h>

#include "protected/candidates.h"
#include "protected/segment.h"

#define DP_FLOW_DIRECTORY_MEMBERS 2

typedef struct
{
  DpFlowKey key;
  guint32 syn_seq;    /* sequence number of the SYN; 0: not known */
  guint16 syn_age_ms; /* of the copy of the SYN that the owner has taken */
  gboolean open;      /* the client has acknowledged the SYN-ACK of the owner's server */
  gboolean withdrawn; /* the member has passed the SYN on or rejected it since */
  DpAddress member;   /* the owner's packet port */
} DpFlowOwner;

/* A member's question to the others for a flow's owner that it doesn't know. */
typedef struct
{
  DpFlowKey key;
  guint32 ack;      /* of the client's packet: ports are used again, and the owner knows
                       what the client may acknowledge */
  DpAddress sender; /* packet port of the member that asks */
} DpOwnerQuery;

/* The answer of a member that names no owner. */
typedef struct
{
  DpFlowKey key;
  gboolean may_have_flow; /* only the member's server can know */
  gboolean server_silent; /* that server has sent no heartbeats for some time, or has
                             signed off; FALSE unless may_have_flow */
  DpAddress sender;       /* packet port of the member that answers */
} DpOwnerAnswer;

typedef struct _DpFlowDirectory DpFlowDirectory;

typedef void (*DpFlowOwnerFunc) (const DpFlowOwner *owner, gpointer user_data);

/* now: in us, as everywhere below. */
DpFlowDirectory *dp_flow_directory_new (gint64 now);
void dp_flow_directory_free (DpFlowDirectory *directory);
/* Registers the owner of a flow, or ends its registration if it is withdrawn. Two members
 * may have taken copies of one SYN; the entry
 * then names both until the flow is open. */
void dp_flow_directory_register (DpFlowDirectory *directory,
                                 const DpFlowOwner *owner,
                                 gint64 now);
/* Registers an owner that another member names, unless the flow has an entry. */
void dp_flow_directory_register_copy (DpFlowDirectory *directory,
                                      const DpFlowOwner *owner,
                                      gint64 now);
/* Calls func with each owner in the directory. */
void dp_flow_directory_foreach (const DpFlowDirectory *directory,
                                DpFlowOwnerFunc func,
                                gpointer user_data);
/* Returns the flow's most likely owner, valid until the next change; NULL if none is
 * registered. */
const DpFlowOwner *
dp_flow_directory_find (DpFlowDirectory *directory, const DpFlowKey *key, gint64 now);
/* Returns the other member that has taken a copy of the flow's SYN, in the same way. */
const DpFlowOwner *dp_flow_directory_find_other (DpFlowDirectory *directory,
                                                 const DpFlowKey *key,
                                                 gint64 now);
/* Records that the process has not run for a while. Registrations that came meanwhile may
 * not have been read yet. */
void dp_flow_directory_note_gap (DpFlowDirectory *directory, gint64 now);
/* Returns whether the directory has taken registrations ever since the client sent the
 * first copy of a SYN of this age, so that it knows the owner of the flow if there is
 * one. */
gboolean dp_flow_directory_covers (const DpFlowDirectory *directory,
                                   guint32 syn_age_ms,
                                   gint64 now);
/* Removes the entries that were not used for the time to live. */
void dp_flow_directory_expire (DpFlowDirectory *directory, gint64 ttl, gint64 now);
guint dp_flow_directory_size (const DpFlowDirectory *directory);

/* Sets members to those that keep the entry of a flow; returns their number. */
guint dp_flow_directory_members (const DpCandidates *candidates,
                                 guint64 flow_hash,
                                 const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS]);
/* Returns the first active one of these members from first on, where self counts as
 * active, or else the first one; NULL if the service has no members. */
const DpMember *dp_flow_directory_preferred_member (const DpCandidates *candidates,
                                                    guint64 flow_hash,
                                                    guint first,
                                                    guint32 self_id);
/* Returns the member that takes over a flow's entry from a member that stops: the first
 * active one that doesn't keep the entry anyway. A search visits it right after those.
 * Returns NULL if there is none. */
const DpMember *dp_flow_directory_successor (const DpCandidates *candidates,
                                             guint64 flow_hash,
                                             guint32 self_id);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpFlowDirectory, dp_flow_directory_free)
