/* Registers the flows of a companion's server with the members that keep their directory
 * entries. Performs no I/O: the caller sends the registrations. */
#pragma once

#include "private/passthroughflows.h"
#include "protected/flowdirectory.h"

typedef struct _DpOwnerRegistrar DpOwnerRegistrar;

/* directory: this member's part of the directory, not owned. */
DpOwnerRegistrar *dp_owner_registrar_new (DpFlowDirectory *directory, guint32 member_id);
void dp_owner_registrar_free (DpOwnerRegistrar *registrar);
/* Sets the packet port of this member; nothing is registered before. */
void dp_owner_registrar_set_address (DpOwnerRegistrar *registrar,
                                     const DpAddress *address);
const DpAddress *dp_owner_registrar_address (const DpOwnerRegistrar *registrar);
/* Returns what is registered for a flow of this member. */
DpFlowOwner dp_owner_registrar_make_owner (const DpOwnerRegistrar *registrar,
                                           const DpPassthroughFlow *flow);
/* Registers the flow with its directory members. */
void dp_owner_registrar_register (DpOwnerRegistrar *registrar,
                                  const DpCandidates *candidates,
                                  DpPassthroughFlow *flow,
                                  gint64 now);
/* Registers the flow with the directory members that don't have it yet, as after a change
 * of the members. */
void dp_owner_registrar_update (DpOwnerRegistrar *registrar,
                                const DpCandidates *candidates,
                                DpPassthroughFlow *flow,
                                gint64 now);
/* Ends the registration of a flow whose SYN was passed on or rejected. */
void dp_owner_registrar_withdraw (DpOwnerRegistrar *registrar,
                                  const DpCandidates *candidates,
                                  const DpFlowKey *key,
                                  gint64 now);
/* Registers the flow again if the member keeps its entry, as the member has restarted. */
void dp_owner_registrar_repeat (DpOwnerRegistrar *registrar,
                                const DpPassthroughFlow *flow,
                                const DpMember *member);
/* Passes on the owners in this member's part of the directory whose entries the member
 * keeps as well. */
void dp_owner_registrar_repeat_entries (DpOwnerRegistrar *registrar,
                                        const DpCandidates *candidates,
                                        const DpMember *member);
/* Registers the flow with the member that keeps its entry while those that should may
 * have lost it, as this process stops. */
void dp_owner_registrar_hand_over (DpOwnerRegistrar *registrar,
                                   const DpCandidates *candidates,
                                   const DpPassthroughFlow *flow);
/* Passes on this member's part of the directory in the same way. */
void dp_owner_registrar_hand_over_entries (DpOwnerRegistrar *registrar,
                                           const DpCandidates *candidates);
/* Sets registration to the next one to be sent; returns FALSE if there is none. */
gboolean dp_owner_registrar_next (DpOwnerRegistrar *registrar,
                                  DpOwnerRegistration *registration);
