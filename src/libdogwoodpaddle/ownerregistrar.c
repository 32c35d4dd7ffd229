#include "private/ownerregistrar.h"

#include <string.h>

/* Registrations that wait to be sent; more are dropped, and their flows are searched. */
#define PENDING_MAX 32768

struct _DpOwnerRegistrar
{
  guint32 member_id;
  DpAddress address;
  DpFlowDirectory *directory; /* not owned */
  GArray *pending;            /* DpOwnerRegistration */
  guint n_taken;              /* of the pending ones */
};

/* To whom entries of the directory are passed on. */
typedef struct
{
  DpOwnerRegistrar *registrar;
  const DpCandidates *candidates;
  const DpMember *receiver; /* NULL: the successor of each entry */
} EntryTransfer;

static void register_ (DpOwnerRegistrar *registrar,
                       const DpCandidates *candidates,
                       DpPassthroughFlow *flow,
                       gboolean only_new_members,
                       gint64 now);
static void register_with_ (DpOwnerRegistrar *registrar,
                            const DpFlowOwner *owner,
                            const DpMember *member,
                            gint64 now);
static gboolean has_member_ (const DpPassthroughFlow *flow, guint32 member_id);
static void
append_ (DpOwnerRegistrar *registrar, const DpFlowOwner *owner, const DpMember *member);
static void transfer_entry_ (const DpFlowOwner *owner, gpointer user_data);
static gboolean
keeps_entry_ (const DpCandidates *candidates, guint64 flow_hash, guint32 member_id);

/* Creates a registrar that registers nothing before the member's address is set. */
DpOwnerRegistrar *
dp_owner_registrar_new (DpFlowDirectory *directory, guint32 member_id)
{
  DpOwnerRegistrar *registrar = g_new0 (DpOwnerRegistrar, 1);

  registrar->directory = directory;
  registrar->member_id = member_id;
  registrar->pending = g_array_new (FALSE, FALSE, sizeof (DpOwnerRegistration));
  return registrar;
}

void
dp_owner_registrar_free (DpOwnerRegistrar *registrar)
{
  if (registrar == NULL)
    return;
  g_array_unref (registrar->pending);
  g_free (registrar);
}

void
dp_owner_registrar_set_address (DpOwnerRegistrar *registrar, const DpAddress *address)
{
  registrar->address = *address;
}

/* Returns the packet port of this member. */
const DpAddress *
dp_owner_registrar_address (const DpOwnerRegistrar *registrar)
{
  return &registrar->address;
}

DpFlowOwner
dp_owner_registrar_make_owner (const DpOwnerRegistrar *registrar,
                               const DpPassthroughFlow *flow)
{
  return (DpFlowOwner){
    .key = flow->key,
    .syn_seq = flow->syn_seq,
    .syn_age_ms = flow->syn_age_ms,
    .open = flow->state == DP_PASSTHROUGH_FLOW_OPEN
            || flow->state == DP_PASSTHROUGH_FLOW_CLOSED,
    .member = registrar->address,
  };
}

void
dp_owner_registrar_register (DpOwnerRegistrar *registrar,
                             const DpCandidates *candidates,
                             DpPassthroughFlow *flow,
                             gint64 now)
{
  register_ (registrar, candidates, flow, FALSE, now);
}

void
dp_owner_registrar_update (DpOwnerRegistrar *registrar,
                           const DpCandidates *candidates,
                           DpPassthroughFlow *flow,
                           gint64 now)
{
  register_ (registrar, candidates, flow, TRUE, now);
}

void
dp_owner_registrar_withdraw (DpOwnerRegistrar *registrar,
                             const DpCandidates *candidates,
                             const DpFlowKey *key,
                             gint64 now)
{
  const DpFlowOwner owner = { .key = *key,
                              .withdrawn = TRUE,
                              .member = registrar->address };

  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  guint n;

  if (registrar->address.port == 0 || candidates == NULL)
    return;
  n = dp_flow_directory_members (candidates, dp_flow_key_hash (key), members);
  for (guint i = 0; i < n; i++)
    register_with_ (registrar, &owner, members[i], now);
}

void
dp_owner_registrar_repeat (DpOwnerRegistrar *registrar,
                           const DpPassthroughFlow *flow,
                           const DpMember *member)
{
  const DpFlowOwner owner = dp_owner_registrar_make_owner (registrar, flow);

  if (has_member_ (flow, member->id))
    append_ (registrar, &owner, member);
}

void
dp_owner_registrar_repeat_entries (DpOwnerRegistrar *registrar,
                                   const DpCandidates *candidates,
                                   const DpMember *member)
{
  EntryTransfer transfer = { registrar, candidates, member };

  dp_flow_directory_foreach (registrar->directory, transfer_entry_, &transfer);
}

void
dp_owner_registrar_hand_over (DpOwnerRegistrar *registrar,
                              const DpCandidates *candidates,
                              const DpPassthroughFlow *flow)
{
  const DpFlowOwner owner = dp_owner_registrar_make_owner (registrar, flow);
  const DpMember *successor = dp_flow_directory_successor (candidates, flow->hash,
                                                           registrar->member_id);

  if (successor != NULL)
    append_ (registrar, &owner, successor);
}

void
dp_owner_registrar_hand_over_entries (DpOwnerRegistrar *registrar,
                                      const DpCandidates *candidates)
{
  EntryTransfer transfer = { registrar, candidates, NULL };

  dp_flow_directory_foreach (registrar->directory, transfer_entry_, &transfer);
}

/* Takes the oldest pending registration. */
gboolean
dp_owner_registrar_next (DpOwnerRegistrar *registrar, DpOwnerRegistration *registration)
{
  if (registrar->n_taken == registrar->pending->len)
    {
      g_array_set_size (registrar->pending, 0);
      registrar->n_taken = 0;
      return FALSE;
    }
  *registration = g_array_index (registrar->pending, DpOwnerRegistration,
                                 registrar->n_taken++);
  return TRUE;
}

static void
register_ (DpOwnerRegistrar *registrar,
           const DpCandidates *candidates,
           DpPassthroughFlow *flow,
           gboolean only_new_members,
           gint64 now)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  const DpFlowOwner owner = dp_owner_registrar_make_owner (registrar, flow);
  guint32 ids[DP_FLOW_DIRECTORY_MEMBERS] = { 0 };
  guint n;

  if (registrar->address.port == 0 || candidates == NULL)
    return;
  n = dp_flow_directory_members (candidates, flow->hash, members);
  for (guint i = 0; i < n; i++)
    {
      ids[i] = members[i]->id;
      if (only_new_members && has_member_ (flow, ids[i]))
        continue;
      register_with_ (registrar, &owner, members[i], now);
    }
  memcpy (flow->registered_with, ids, sizeof ids);
  flow->registered_at = now;
}

static void
register_with_ (DpOwnerRegistrar *registrar,
                const DpFlowOwner *owner,
                const DpMember *member,
                gint64 now)
{
  if (member->id == registrar->member_id)
    dp_flow_directory_register (registrar->directory, owner, now);
  else
    append_ (registrar, owner, member);
}

static gboolean
has_member_ (const DpPassthroughFlow *flow, guint32 member_id)
{
  for (guint i = 0; i < DP_FLOW_DIRECTORY_MEMBERS; i++)
    if (flow->registered_with[i] == member_id)
      return TRUE;
  return FALSE;
}

static void
append_ (DpOwnerRegistrar *registrar, const DpFlowOwner *owner, const DpMember *member)
{
  const DpOwnerRegistration registration = { member->address, *owner };

  if (registrar->pending->len < PENDING_MAX)
    g_array_append_val (registrar->pending, registration);
}

static void
transfer_entry_ (const DpFlowOwner *owner, gpointer user_data)
{
  const EntryTransfer *transfer = user_data;
  const guint64 hash = dp_flow_key_hash (&owner->key);
  const DpMember *receiver = transfer->receiver;

  if (receiver == NULL)
    receiver = dp_flow_directory_successor (transfer->candidates, hash,
                                            transfer->registrar->member_id);
  else if (!keeps_entry_ (transfer->candidates, hash, receiver->id))
    receiver = NULL;
  if (receiver != NULL)
    append_ (transfer->registrar, owner, receiver);
}

static gboolean
keeps_entry_ (const DpCandidates *candidates, guint64 flow_hash, guint32 member_id)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  const guint n = dp_flow_directory_members (candidates, flow_hash, members);

  for (guint i = 0; i < n; i++)
    if (members[i]->id == member_id)
      return TRUE;
  return FALSE;
}
