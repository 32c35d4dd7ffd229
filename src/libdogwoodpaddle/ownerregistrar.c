#include "private/ownerregistrar.h"

#include <string.h>

/* Registrations that wait to be sent; more are dropped, and their flows are searched. */
#define PENDING_MAX 8192

struct _DpOwnerRegistrar
{
  guint32 member_id;
  DpAddress address;
  DpFlowDirectory *directory; /* not owned */
  GArray *pending;            /* DpOwnerRegistration */
  guint n_taken;              /* of the pending ones */
};

static void register_ (DpOwnerRegistrar *registrar,
                       const DpCandidates *candidates,
                       DpPassthroughFlow *flow,
                       gboolean only_new_members,
                       gint64 now);
static gboolean has_member_ (const DpPassthroughFlow *flow, guint32 member_id);
static DpFlowOwner make_owner_ (const DpOwnerRegistrar *registrar,
                                const DpPassthroughFlow *flow);
static void append_ (DpOwnerRegistrar *registrar,
                     const DpPassthroughFlow *flow,
                     const DpMember *member);

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
dp_owner_registrar_repeat (DpOwnerRegistrar *registrar,
                           const DpPassthroughFlow *flow,
                           const DpMember *member)
{
  if (has_member_ (flow, member->id))
    append_ (registrar, flow, member);
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
      if (ids[i] == registrar->member_id)
        {
          const DpFlowOwner owner = make_owner_ (registrar, flow);

          dp_flow_directory_register (registrar->directory, &owner, now);
        }
      else
        append_ (registrar, flow, members[i]);
    }
  memcpy (flow->registered_with, ids, sizeof ids);
  flow->registered_at = now;
}

static gboolean
has_member_ (const DpPassthroughFlow *flow, guint32 member_id)
{
  for (guint i = 0; i < DP_FLOW_DIRECTORY_MEMBERS; i++)
    if (flow->registered_with[i] == member_id)
      return TRUE;
  return FALSE;
}

static DpFlowOwner
make_owner_ (const DpOwnerRegistrar *registrar, const DpPassthroughFlow *flow)
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

static void
append_ (DpOwnerRegistrar *registrar,
         const DpPassthroughFlow *flow,
         const DpMember *member)
{
  const DpOwnerRegistration registration = { member->address,
                                             make_owner_ (registrar, flow) };

  if (registrar->pending->len < PENDING_MAX)
    g_array_append_val (registrar->pending, registration);
}
