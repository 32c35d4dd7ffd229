#include "protected/passthroughmembers.h"

#include "protected/clock.h"

/* Lists come every 250 ms for each part as long as a balancer knows others than this
 * companion. */
#define GONE_US (1500 * DP_US_PER_MS)
/* Of a member that no list says is gone: those that know it are silent as long as they
 * agree with this companion, and the list may be of a balancer that has just started. */
#define ABSENT_US (30 * DP_US_PER_S)
/* An absence that was told longer ago says nothing about the present one. */
#define ABSENCE_GAP_US (5 * DP_US_PER_S)

/* A member that a balancer has listed. */
typedef struct
{
  DpMember member;     /* owns its texts */
  gint64 listed_at;    /* us */
  gint64 absent_since; /* us of the first list without it since then, 0: none */
  gint64 absent_at;    /* us of the last one */
} Known;

struct _DpPassthroughMembers
{
  char *service;
  GHashTable *by_name; /* Known; the key is the member's own name */
  guint64 hash;
};

static void
take_member_ (DpPassthroughMembers *members, const DpMember *listed, gint64 now);
static void
drop_absent_ (DpPassthroughMembers *members, const DpMemberList *list, gint64 now);
static gboolean is_absent_ (Known *known, const DpMemberList *list, gint64 now);
static gboolean tells_gone_ (const DpMemberList *list, guint32 id);
static void known_free_ (gpointer data);

/* Creates an empty set. */
DpPassthroughMembers *
dp_passthrough_members_new (const char *service)
{
  DpPassthroughMembers *members = g_new0 (DpPassthroughMembers, 1);

  members->service = g_strdup (service);
  members->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, known_free_);
  return members;
}

/* Frees the set. */
void
dp_passthrough_members_free (DpPassthroughMembers *members)
{
  if (members == NULL)
    return;
  g_hash_table_unref (members->by_name);
  g_free (members->service);
  g_free (members);
}

/* Adds what one balancer lists to what others have listed; the newest state holds. */
DpMemberView *
dp_passthrough_members_update (DpPassthroughMembers *members,
                               const DpMemberList *list,
                               gint64 now)
{
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (DpMember));
  const DpMember *data;
  GHashTableIter iter;
  gpointer value;
  guint64 hash;

  for (guint i = 0; i < list->members->len; i++)
    take_member_ (members, &g_array_index (list->members, DpMember, i), now);
  drop_absent_ (members, list, now);
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (all, ((Known *) value)->member);
  data = (const DpMember *) (void *) all->data;
  hash = dp_member_list_hash (data, all->len);
  if (hash == members->hash)
    return NULL;
  members->hash = hash;
  return dp_member_view_new (members->service, 0, data, all->len);
}

/* Returns the hash of the members as they were taken over last; 0 before that. */
guint64
dp_passthrough_members_hash (const DpPassthroughMembers *members)
{
  return members->hash;
}

static void
take_member_ (DpPassthroughMembers *members, const DpMember *listed, gint64 now)
{
  Known *known = g_hash_table_lookup (members->by_name, listed->name);

  if (known == NULL)
    {
      known = g_new0 (Known, 1);
      known->member.name = g_strdup (listed->name);
      known->member.id = listed->id;
      g_hash_table_insert (members->by_name, known->member.name, known);
    }
  g_free (known->member.zone);
  known->member.zone = g_strdup (listed->zone);
  known->member.address = listed->address;
  known->member.slots = listed->slots;
  known->member.state = listed->state;
  known->listed_at = now;
}

/* Drops members that the list should name and doesn't, if that lasts. */
static void
drop_absent_ (DpPassthroughMembers *members, const DpMemberList *list, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Known *known = value;

      if (known->member.id % MAX (list->n_parts, 1) != list->part)
        continue;
      if (is_absent_ (known, list, now))
        g_hash_table_iter_remove (&iter);
    }
}

/* Returns whether the member has been absent for long enough. */
static gboolean
is_absent_ (Known *known, const DpMemberList *list, gint64 now)
{
  const gint64 bound = tells_gone_ (list, known->member.id) ? GONE_US : ABSENT_US;

  if (known->listed_at == now)
    {
      known->absent_since = 0;
      return FALSE;
    }
  if (known->absent_since == 0 || now - known->absent_at > ABSENCE_GAP_US)
    known->absent_since = now;
  known->absent_at = now;
  return now - known->absent_since > bound;
}

/* Returns whether the list says that the member, which it leaves out, is gone. */
static gboolean
tells_gone_ (const DpMemberList *list, guint32 id)
{
  if (list->gone == NULL)
    return TRUE; /* of an earlier version, which can't say otherwise */
  for (guint i = 0; i < list->gone->len; i++)
    if (g_array_index (list->gone, guint32, i) == id)
      return TRUE;
  return FALSE;
}

static void
known_free_ (gpointer data)
{
  Known *known = data;

  g_free (known->member.name);
  g_free (known->member.zone);
  g_free (known);
}
