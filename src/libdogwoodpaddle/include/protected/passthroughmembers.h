/* The members of a companion's service in passthrough mode, merged from the lists of all
 * balancers. Performs no I/O. A balancer that has just started, or is cut off, lists only
 * the members that have reported to it. A member is therefore removed only once all lists
 * received for some time have left it out: a short time if a list says that it is gone, a
 * long one otherwise. */
#pragma once

#include "protected/report.h"

typedef struct _DpPassthroughMembers DpPassthroughMembers;

DpPassthroughMembers *dp_passthrough_members_new (const char *service);
void dp_passthrough_members_free (DpPassthroughMembers *members);
/* Merges a list into the set. Returns the new view, owned by the caller, if that changes
 * the members or their state, NULL otherwise. now: in us. */
DpMemberView *dp_passthrough_members_update (DpPassthroughMembers *members,
                                             const DpMemberList *list,
                                             gint64 now);
/* Returns dp_member_list_hash () of the members; 0 before the first list. */
guint64 dp_passthrough_members_hash (const DpPassthroughMembers *members);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPassthroughMembers, dp_passthrough_members_free)
