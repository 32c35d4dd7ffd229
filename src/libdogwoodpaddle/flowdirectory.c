#include "protected/flowdirectory.h"

#include "protected/clock.h"

/* Delay of a copy of a SYN on its way to the directory; queues of busy hosts hold packets
 * for up to half a second. */
#define SYN_DELAY_US (500 * DP_US_PER_MS)
#define ENTRIES_MAX 65536

typedef struct
{
  DpFlowOwner owner; /* the most likely one */
  DpFlowOwner other; /* has taken another copy of the SYN; port 0: none */
  gint64 used_at;    /* us */
} Entry;

struct _DpFlowDirectory
{
  GHashTable *entries; /* set of Entry, compared by key */
  gint64 covers_since; /* us, creation or end of the last gap */
};

static guint hash_ (gconstpointer entry);
static gboolean equal_ (gconstpointer a, gconstpointer b);
static Entry *find_ (const DpFlowDirectory *directory, const DpFlowKey *key, gint64 now);
static void
withdraw_ (DpFlowDirectory *directory, Entry *entry, const DpFlowOwner *owner);
static gboolean is_new_flow_ (const DpFlowOwner *owner, const DpFlowOwner *present);
static void owner_update_ (DpFlowOwner *present, const DpFlowOwner *owner);

/* Creates an empty directory. */
DpFlowDirectory *
dp_flow_directory_new (gint64 now)
{
  DpFlowDirectory *directory = g_new0 (DpFlowDirectory, 1);

  directory->entries = g_hash_table_new_full (hash_, equal_, NULL, g_free);
  directory->covers_since = now;
  return directory;
}

void
dp_flow_directory_free (DpFlowDirectory *directory)
{
  if (directory == NULL)
    return;
  g_hash_table_unref (directory->entries);
  g_free (directory);
}

/* A full directory takes no new entries; flows without one are searched, and no SYN is
 * rejected here. */
void
dp_flow_directory_register (DpFlowDirectory *directory,
                            const DpFlowOwner *owner,
                            gint64 now)
{
  Entry *entry = find_ (directory, &owner->key, now);

  if (owner->withdrawn)
    withdraw_ (directory, entry, owner);
  else if (entry == NULL)
    {
      if (g_hash_table_size (directory->entries) >= ENTRIES_MAX)
        {
          dp_flow_directory_note_gap (directory, now);
          return;
        }
      entry = g_new (Entry, 1);
      *entry = (Entry){ .owner = *owner, .used_at = now };
      g_hash_table_add (directory->entries, entry);
    }
  else if (owner->open || is_new_flow_ (owner, &entry->owner)
           || dp_address_equal (&owner->member, &entry->owner.member))
    {
      entry->other.member.port = owner->open ? 0 : entry->other.member.port;
      owner_update_ (&entry->owner, owner);
    }
  /* A member that passes on a SYN that it has held is still registered: of the members
   * that have taken the same copy, the last one has it. */
  else if (!entry->owner.open && owner->syn_age_ms <= entry->owner.syn_age_ms)
    {
      entry->other = entry->owner;
      entry->owner = *owner;
    }
  else if (!entry->owner.open)
    entry->other = *owner;
}

void
dp_flow_directory_register_copy (DpFlowDirectory *directory,
                                 const DpFlowOwner *owner,
                                 gint64 now)
{
  if (dp_flow_directory_find (directory, &owner->key, now) == NULL)
    dp_flow_directory_register (directory, owner, now);
}

void
dp_flow_directory_foreach (const DpFlowDirectory *directory,
                           DpFlowOwnerFunc func,
                           gpointer user_data)
{
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, &entry, NULL))
    {
      const Entry *e = entry;

      func (&e->owner, user_data);
      if (e->other.member.port != 0)
        func (&e->other, user_data);
    }
}

/* Returns the flow's most likely owner. */
const DpFlowOwner *
dp_flow_directory_find (DpFlowDirectory *directory, const DpFlowKey *key, gint64 now)
{
  Entry *entry = find_ (directory, key, now);

  return entry == NULL ? NULL : &entry->owner;
}

const DpFlowOwner *
dp_flow_directory_find_other (DpFlowDirectory *directory,
                              const DpFlowKey *key,
                              gint64 now)
{
  Entry *entry = find_ (directory, key, now);

  return entry == NULL || entry->other.member.port == 0 ? NULL : &entry->other;
}

void
dp_flow_directory_note_gap (DpFlowDirectory *directory, gint64 now)
{
  directory->covers_since = now;
}

/* Returns whether no owner of the SYN's flow can have been missed. */
gboolean
dp_flow_directory_covers (const DpFlowDirectory *directory,
                          guint32 syn_age_ms,
                          gint64 now)
{
  return now - directory->covers_since > syn_age_ms * DP_US_PER_MS + SYN_DELAY_US;
}

/* Removes entries that are not in use. */
void
dp_flow_directory_expire (DpFlowDirectory *directory, gint64 ttl, gint64 now)
{
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, &entry, NULL))
    if (now - ((const Entry *) entry)->used_at > ttl)
      g_hash_table_iter_remove (&iter);
}

/* Returns the number of entries. */
guint
dp_flow_directory_size (const DpFlowDirectory *directory)
{
  return g_hash_table_size (directory->entries);
}

/* Sets members to the first ones in the flow's order, whatever their state, so that a
 * change of state doesn't move entries. */
guint
dp_flow_directory_members (const DpCandidates *candidates,
                           guint64 flow_hash,
                           const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS])
{
  guint32 visited[DP_FLOW_DIRECTORY_MEMBERS] = { 0 };
  guint n = 0;

  while (n < DP_FLOW_DIRECTORY_MEMBERS)
    {
      members[n] = dp_candidates_next (candidates, flow_hash, DP_CANDIDATES_ALL, visited,
                                       n);
      if (members[n] == NULL)
        break;
      visited[n] = members[n]->id;
      n++;
    }
  return n;
}

/* Returns the member to ask for the flow's entry. */
const DpMember *
dp_flow_directory_preferred_member (const DpCandidates *candidates,
                                    guint64 flow_hash,
                                    guint first,
                                    guint32 self_id)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  const guint n = dp_flow_directory_members (candidates, flow_hash, members);

  for (guint i = 0; i < n; i++)
    {
      const DpMember *m = members[(first + i) % n];

      if (m->state == DP_MEMBER_ACTIVE || m->id == self_id)
        return m;
    }
  return n > 0 ? members[0] : NULL;
}

const DpMember *
dp_flow_directory_successor (const DpCandidates *candidates,
                             guint64 flow_hash,
                             guint32 self_id)
{
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS];
  guint32 excluded[DP_FLOW_DIRECTORY_MEMBERS + 1];
  const guint n = dp_flow_directory_members (candidates, flow_hash, members);

  for (guint i = 0; i < n; i++)
    excluded[i] = members[i]->id;
  excluded[n] = self_id;
  return dp_candidates_next (candidates, flow_hash, DP_CANDIDATES_ACTIVE, excluded,
                             n + 1);
}

static guint
hash_ (gconstpointer entry)
{
  return (guint) dp_flow_key_hash (&((const Entry *) entry)->owner.key);
}

static gboolean
equal_ (gconstpointer a, gconstpointer b)
{
  return dp_flow_key_equal (&((const Entry *) a)->owner.key,
                            &((const Entry *) b)->owner.key);
}

/* Removes the member from the entry, which may be NULL, unless it has the flow. */
static void
withdraw_ (DpFlowDirectory *directory, Entry *entry, const DpFlowOwner *owner)
{
  if (entry == NULL || entry->owner.open)
    return;
  if (entry->other.member.port != 0
      && dp_address_equal (&entry->other.member, &owner->member))
    entry->other.member.port = 0;
  else if (!dp_address_equal (&entry->owner.member, &owner->member))
    return;
  else if (entry->other.member.port == 0)
    g_hash_table_remove (directory->entries, entry);
  else
    {
      entry->owner = entry->other;
      entry->other.member.port = 0;
    }
}

/* Returns the flow's entry and records that it is in use. */
static Entry *
find_ (const DpFlowDirectory *directory, const DpFlowKey *key, gint64 now)
{
  const Entry wanted = { .owner = { .key = *key } };
  Entry *entry = g_hash_table_lookup (directory->entries, &wanted);

  if (entry != NULL)
    entry->used_at = now;
  return entry;
}

/* Returns whether owner has taken the SYN of a later flow with the same key. */
static gboolean
is_new_flow_ (const DpFlowOwner *owner, const DpFlowOwner *present)
{
  return present->syn_seq != 0 && owner->syn_seq != 0
         && owner->syn_seq != present->syn_seq;
}

/* Replaces the present owner. A member that has restarted doesn't know the flow's SYN any
 * more, and a delayed registration doesn't close a flow that is open. */
static void
owner_update_ (DpFlowOwner *present, const DpFlowOwner *owner)
{
  const DpFlowOwner before = *present;

  *present = *owner;
  if (is_new_flow_ (owner, &before))
    return;
  if (owner->syn_seq == 0)
    present->syn_seq = before.syn_seq;
  if (dp_address_equal (&owner->member, &before.member))
    present->open = owner->open || before.open;
}
