/* The members of one service at one position. A view is immutable after its creation. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/address.h"
#include "protected/position.h"

#define DP_MEMBER_VIEW_MAX_MEMBERS 65535
/* Processes count on from an incarnation that they find, up to G_MAXINT64. A larger one
 * is not theirs, and counts as this one. */
#define DP_INCARNATION_MAX ((guint64) G_MAXINT64 / 2)

typedef enum
{
  DP_MEMBER_JOINING, /* announced, but its server does not accept connections yet */
  DP_MEMBER_ACTIVE,  /* takes new flows */
  DP_MEMBER_LEAVING, /* keeps its flows, but takes no new ones */
  DP_N_MEMBER_STATES
} DpMemberState;

typedef struct
{
  guint32 id; /* dp_member_id (name) */
  char *name;
  char *zone;
  DpAddress address; /* of the companion's packet port */
  guint32 slots;
  guint32 connections; /* largest number of connections */
  DpMemberState state;
  gboolean held; /* drained by an operator; takes no new flows until released */
  guint64 incarnation;
} DpMember;

typedef struct
{
  grefcount refs;
  char *service;
  guint64 service_id; /* dp_service_id (service) */
  DpPosition revision;
  guint n_members;
  DpMember *members; /* ascending by id */
  guint n_left_out;
  DpMember *left_out; /* members whose id is that of another one, which is in members */
} DpMemberView;

guint32 dp_member_id (const char *name);
guint64 dp_service_id (const char *name);
const char *dp_member_state_string (DpMemberState state);

/* Members are given in the order in which they became known. Of several with the same id
 * the first one is in members and the others are in left_out. */
DpMemberView *dp_member_view_new (const char *service,
                                  DpPosition revision,
                                  const DpMember *members,
                                  guint n_members);
DpMemberView *dp_member_view_new_from_json (const char *service,
                                            DpPosition revision,
                                            JsonNode *value,
                                            GError **error);
JsonNode *dp_member_view_to_json (const DpMemberView *view);
DpMemberView *dp_member_view_ref (DpMemberView *view);
void dp_member_view_unref (DpMemberView *view);
/* Returns what is wrong with a member in the value of members/SERVICE, or NULL. */
const char *dp_member_entry_fault (JsonNode *node);
const DpMember *dp_member_view_find (const DpMemberView *view, guint32 id);
/* Logs which members are left out, if the last such lines are old enough. logged_at: us,
 * time of these lines, 0: none yet; updated. */
void
dp_member_view_log_left_out (const DpMemberView *view, gint64 *logged_at, gint64 now);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpMemberView, dp_member_view_unref)
