/* The members of a companion's service in passthrough mode, from the lists of all
 * balancers. No I/O. A balancer that has just started, or is cut off, lists only those
 * that it has heard: a member is gone when for some time all lists that come say so, or
 * leave it out for long. */
#pragma once

#include "protected/report.h"

typedef struct _DpPassthroughMembers DpPassthroughMembers;

DpPassthroughMembers *dp_passthrough_members_new (const char *service);
void dp_passthrough_members_free (DpPassthroughMembers *members);
/* Takes a list over. Returns the new view if that changes the members or their state,
 * NULL otherwise. */
DpMemberView *dp_passthrough_members_update (DpPassthroughMembers *members,
                                             const DpMemberList *list,
                                             gint64 now);
/* dp_member_list_hash () of the members. */
guint64 dp_passthrough_members_hash (const DpPassthroughMembers *members);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPassthroughMembers, dp_passthrough_members_free)
