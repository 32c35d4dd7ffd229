#include "protected/passthroughmembers.h"

#include "protected/clock.h"

/* A member that a list says is gone is removed once lists have left it out for this time.
 * A balancer sends a part every 250 ms as long as its members differ from this
 * companion's. */
#define LISTED_GONE_TIMEOUT_US (1500 * DP_US_PER_MS)
/* A member that lists leave out without saying that it is gone is removed after this
 * time. It is long because balancers that know the member send no lists while they agree
 * with this companion, and the list may come from a balancer that has just started. */
#define ABSENT_TIMEOUT_US (30 * DP_US_PER_S)
/* After an interval this long without a list that leaves the member out, the time of its
 * absence starts again from 0. */
#define ABSENCE_GAP_US (5 * DP_US_PER_S)
/* Members beyond this number are ignored, as by balancers. */
#define MEMBERS_MAX 16384

/* A member that some balancer has listed. */
typedef struct
{
  DpMember member;       /* owns its strings */
  gint64 last_listed_at; /* us */
  gint64 absent_since;   /* us, first list without it since last_listed_at, 0: none */
  gint64 absent_at;      /* us, last list without it */
  guint64 order;         /* in which the members became known */
} KnownMember;

struct _DpPassthroughMembers
{
  char *service;
  GHashTable *by_name; /* KnownMember; the key is the member's own name, not a copy */
  guint64 hash;
  guint64 next_order;
};

static void
update_member_ (DpPassthroughMembers *members, const DpMember *listed, gint64 now);
static void
remove_absent_ (DpPassthroughMembers *members, const DpMemberList *list, gint64 now);
static gboolean
update_absence_ (KnownMember *known, const DpMemberList *list, gint64 now);
static gboolean lists_as_removed_ (const DpMemberList *list, guint32 id);
static int compare_order_ (gconstpointer a, gconstpointer b);
static void known_member_free_ (gpointer data);

/* Creates an empty set of members of the service. */
DpPassthroughMembers *
dp_passthrough_members_new (const char *service)
{
  DpPassthroughMembers *members = g_new0 (DpPassthroughMembers, 1);

  members->service = g_strdup (service);
  members->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            known_member_free_);
  return members;
}

void
dp_passthrough_members_free (DpPassthroughMembers *members)
{
  if (members == NULL)
    return;
  g_hash_table_unref (members->by_name);
  g_free (members->service);
  g_free (members);
}

/* Merges one balancer's list with those of the others; the state listed last applies. Of
 * members with the same id, the one that became known first stays. */
DpMemberView *
dp_passthrough_members_update (DpPassthroughMembers *members,
                               const DpMemberList *list,
                               gint64 now)
{
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (DpMember));
  g_autoptr (GPtrArray) in_order = g_ptr_array_new ();
  const DpMember *data;
  GHashTableIter iter;
  gpointer value;
  guint64 hash;

  for (guint i = 0; i < list->members->len; i++)
    update_member_ (members, &g_array_index (list->members, DpMember, i), now);
  remove_absent_ (members, list, now);
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (in_order, value);
  g_ptr_array_sort (in_order, compare_order_);
  for (guint i = 0; i < in_order->len; i++)
    g_array_append_val (all, ((KnownMember *) g_ptr_array_index (in_order, i))->member);
  data = (const DpMember *) (void *) all->data;
  hash = dp_member_list_hash (data, all->len);
  if (hash == members->hash)
    return NULL;
  members->hash = hash;
  return dp_member_view_new (members->service, 0, data, all->len);
}

/* Returns the hash of the members in the last view; 0 before the first one. */
guint64
dp_passthrough_members_hash (const DpPassthroughMembers *members)
{
  return members->hash;
}

static void
update_member_ (DpPassthroughMembers *members, const DpMember *listed, gint64 now)
{
  KnownMember *known = g_hash_table_lookup (members->by_name, listed->name);

  if (known == NULL && g_hash_table_size (members->by_name) >= MEMBERS_MAX)
    return;
  if (known == NULL)
    {
      known = g_new0 (KnownMember, 1);
      known->member.name = g_strdup (listed->name);
      known->member.id = listed->id;
      known->order = members->next_order++;
      g_hash_table_insert (members->by_name, known->member.name, known);
    }
  g_free (known->member.zone);
  known->member.zone = g_strdup (listed->zone);
  known->member.address = listed->address;
  known->member.slots = listed->slots;
  known->member.state = listed->state;
  known->last_listed_at = now;
}

/* Removes members of the list's part that the list leaves out, once they have been absent
 * for long enough. */
static void
remove_absent_ (DpPassthroughMembers *members, const DpMemberList *list, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KnownMember *known = value;

      if (known->member.id % MAX (list->n_parts, 1) != list->part)
        continue;
      if (update_absence_ (known, list, now))
        g_hash_table_iter_remove (&iter);
    }
}

/* Updates the member's times of absence; returns whether it has been absent for long
 * enough to be removed. */
static gboolean
update_absence_ (KnownMember *known, const DpMemberList *list, gint64 now)
{
  const gint64 timeout = lists_as_removed_ (list, known->member.id)
                             ? LISTED_GONE_TIMEOUT_US
                             : ABSENT_TIMEOUT_US;

  if (known->last_listed_at == now)
    {
      known->absent_since = 0;
      return FALSE;
    }
  if (known->absent_since == 0 || now - known->absent_at > ABSENCE_GAP_US)
    known->absent_since = now;
  known->absent_at = now;
  return now - known->absent_since > timeout;
}

/* Returns whether the list, which leaves the member out, says that it is gone. */
static gboolean
lists_as_removed_ (const DpMemberList *list, guint32 id)
{
  if (list->removed == NULL)
    return TRUE; /* earlier versions don't send the ids of removed members: a member that
                    is left out is gone */
  for (guint i = 0; i < list->removed->len; i++)
    if (g_array_index (list->removed, guint32, i) == id)
      return TRUE;
  return FALSE;
}

static int
compare_order_ (gconstpointer a, gconstpointer b)
{
  const guint64 x = (*(KnownMember *const *) a)->order;
  const guint64 y = (*(KnownMember *const *) b)->order;

  return (x > y) - (x < y);
}

static void
known_member_free_ (gpointer data)
{
  KnownMember *known = data;

  g_free (known->member.name);
  g_free (known->member.zone);
  g_free (known);
}
