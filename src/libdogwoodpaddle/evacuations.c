#include "protected/evacuations.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "protected/clock.h"

/* An evacuation that a restored store no longer has stays in force for this time, in
 * which the operator writes it again: a backup is at most this old. */
#define RESTORED_GRACE_US (10 * DP_US_PER_S)
#define PLACE_ERA_SHIFT 48 /* in the digest */
/* Digest without entries; 0 means that the sender has not heard of evacuations. */
#define EMPTY_DIGEST G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)
/* A companion that has only heard from processes that are not in touch with the store
 * waits for this time: all balancers answer its reports within it, and any of them may
 * know of an evacuation. */
#define OLD_KNOWLEDGE_DELAY_US DP_US_PER_S

typedef struct
{
  char *zone;
  DpPosition position;
  gboolean evacuated;
  gboolean in_store; /* the store has shown this process the evacuation */
  gint64 began_at;   /* us, when a process first heard of the change */
  gint64 ends_at;    /* us, end of an evacuation that the store has lost; 0: not lost */
} Entry;

struct _DpEvacuations
{
  GPtrArray *entries;  /* Entry */
  DpPosition complete; /* all changes of the store up to here are known; 0: none */
  gboolean full;       /* an evacuation was ignored, and that was logged */
  DpEvacuationsFunc changed;
  gpointer user_data;
};

static const char *const source_strings_[] = { "list", "watch", "peer" };

G_STATIC_ASSERT (G_N_ELEMENTS (source_strings_) == DP_N_EVACUATION_SOURCES);

static void entry_free_ (gpointer data);
static Entry *find_ (const DpEvacuations *evacuations, const char *zone);
static Entry *add_ (DpEvacuations *evacuations, const DpEvacuationEntry *change);
static void change_ (DpEvacuations *evacuations,
                     Entry *entry,
                     const DpEvacuationEntry *change,
                     DpEvacuationSource source,
                     gint64 now);
static void
end_ (DpEvacuations *evacuations, Entry *entry, DpEvacuationSource source, gint64 now);
static void check_absence_ (DpEvacuations *evacuations,
                            Entry *entry,
                            DpEvacuationSource source,
                            gint64 now);
static gboolean was_deleted_ (const DpEvacuations *evacuations,
                              const DpEvacuationEntry *change);
static gint compare_entries_ (gconstpointer a, gconstpointer b);

/* Creates a table without entries. */
DpEvacuations *
dp_evacuations_new (void)
{
  DpEvacuations *evacuations = g_new0 (DpEvacuations, 1);

  evacuations->entries = g_ptr_array_new_with_free_func (entry_free_);
  return evacuations;
}

/* Frees the table. */
void
dp_evacuations_free (DpEvacuations *evacuations)
{
  if (evacuations == NULL)
    return;
  g_ptr_array_unref (evacuations->entries);
  g_free (evacuations);
}

/* Sets the function to be called after each change of the set of evacuated zones. */
void
dp_evacuations_set_listener (DpEvacuations *evacuations,
                             DpEvacuationsFunc changed,
                             gpointer user_data)
{
  evacuations->changed = changed;
  evacuations->user_data = user_data;
}

/* Applies a change unless it is older than the zone's entry. Of two changes at the same
 * position the evacuation wins. The end of an evacuation that the store reports in a
 * later era is only its absence from a restored store. */
void
dp_evacuations_apply (DpEvacuations *evacuations,
                      const DpEvacuationEntry *change,
                      DpEvacuationSource source,
                      gint64 now)
{
  const gboolean from_store = source != DP_EVACUATION_FROM_PEER;
  Entry *entry = find_ (evacuations, change->zone);
  DpEvacuationEntry deleted;

  if (entry == NULL && from_store && !change->evacuated)
    return;
  if (!from_store && was_deleted_ (evacuations, change))
    {
      if (entry != NULL && entry->in_store)
        return;
      deleted = *change;
      deleted.position = evacuations->complete;
      deleted.evacuated = FALSE;
      change = &deleted;
    }
  if (entry == NULL)
    entry = add_ (evacuations, change);
  if (entry == NULL || change->position < entry->position)
    return;
  if (from_store && !change->evacuated && entry->evacuated
      && dp_position_era (change->position) > dp_position_era (entry->position))
    {
      entry->in_store = FALSE;
      return;
    }
  if (change->position > entry->position || (change->evacuated && !entry->evacuated))
    {
      entry->in_store = FALSE;
      change_ (evacuations, entry, change, source, now);
    }
  if (from_store)
    entry->in_store = change->evacuated;
  else
    check_absence_ (evacuations, entry, source, now);
}

/* Ends evacuations at or before the position that the store doesn't have. */
void
dp_evacuations_set_complete (DpEvacuations *evacuations,
                             DpPosition position,
                             DpEvacuationSource source,
                             gint64 now)
{
  evacuations->complete = MAX (evacuations->complete, position);
  for (guint i = 0; i < evacuations->entries->len; i++)
    check_absence_ (evacuations, g_ptr_array_index (evacuations->entries, i), source,
                    now);
}

/* Returns whether dp_evacuations_set_complete () has been called. */
gboolean
dp_evacuations_is_complete (const DpEvacuations *evacuations)
{
  return evacuations->complete != 0;
}

/* Ends evacuations that a restored store has lacked for RESTORED_GRACE_US. */
void
dp_evacuations_tick (DpEvacuations *evacuations, gint64 now)
{
  for (guint i = 0; i < evacuations->entries->len; i++)
    {
      Entry *entry = g_ptr_array_index (evacuations->entries, i);

      if (entry->ends_at != 0 && now >= entry->ends_at)
        end_ (evacuations, entry, DP_EVACUATION_FROM_LIST, now);
    }
}

/* Returns whether the zone is evacuated. */
gboolean
dp_evacuations_contains (const DpEvacuations *evacuations, const char *zone)
{
  const Entry *entry = find_ (evacuations, zone);

  return entry != NULL && entry->evacuated;
}

/* Returns the time since the zone's evacuation became known; 0 if there is none. */
gint64
dp_evacuations_age (const DpEvacuations *evacuations, const char *zone, gint64 now)
{
  const Entry *entry = find_ (evacuations, zone);

  return entry != NULL && entry->evacuated ? MAX (now - entry->began_at, 0) : 0;
}

/* Returns the number of evacuated zones. */
guint
dp_evacuations_n_evacuated (const DpEvacuations *evacuations)
{
  guint n = 0;

  for (guint i = 0; i < evacuations->entries->len; i++)
    n += ((const Entry *) g_ptr_array_index (evacuations->entries, i))->evacuated ? 1 : 0;
  return n;
}

/* Returns a hash of the zones, positions and states. It doesn't depend on their order. */
guint64
dp_evacuations_digest (const DpEvacuations *evacuations)
{
  guint64 digest = EMPTY_DIGEST;

  for (guint i = 0; i < evacuations->entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (evacuations->entries, i);
      /* Equal to the packed position if it has that form, as in earlier builds. */
      const guint64 place = dp_position_era (entry->position) << PLACE_ERA_SHIFT
                            ^ dp_position_revision (entry->position);

      digest += XXH3_64bits_withSeed (entry->zone, strlen (entry->zone),
                                      place * 2 + (entry->evacuated ? 1 : 0));
    }
  return digest == 0 ? EMPTY_DIGEST : digest;
}

/* Returns all entries. */
GArray *
dp_evacuations_entries (const DpEvacuations *evacuations, gint64 now)
{
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (DpEvacuationEntry));

  for (guint i = 0; i < evacuations->entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (evacuations->entries, i);
      const gint64 age_ms = MAX (now - entry->began_at, 0) / DP_US_PER_MS;
      const DpEvacuationEntry copy = {
        .zone = entry->zone,
        .position = entry->position,
        .evacuated = entry->evacuated,
        .age_ms = (guint32) MIN (age_ms, G_MAXUINT32),
      };

      g_array_append_val (entries, copy);
    }
  g_array_sort (entries, compare_entries_);
  return entries;
}

/* Starts with the process that has heard nothing yet. */
void
dp_evacuation_trust_init (DpEvacuationTrust *trust, gint64 bound)
{
  *trust = (DpEvacuationTrust){ .bound = bound };
}

/* Records an answer. */
void
dp_evacuation_trust_note (DpEvacuationTrust *trust, DpKnowledge knowledge, gint64 now)
{
  if (trust->heard_at == 0)
    trust->heard_at = now;
  trust->best = MAX (trust->best, knowledge);
}

/* Returns whether the process may take new flows. If no balancer has heard of evacuations
 * within the bound, none is in touch with the store, and the rule doesn't hold for
 * flows from there. */
gboolean
dp_evacuation_trust_suffices (const DpEvacuationTrust *trust, gint64 now)
{
  if (trust->heard_at == 0)
    return FALSE;
  switch (trust->best)
    {
    case DP_KNOWLEDGE_CURRENT:
      return TRUE;
    case DP_KNOWLEDGE_OLD:
      return now - trust->heard_at >= MIN (OLD_KNOWLEDGE_DELAY_US, trust->bound);
    case DP_KNOWLEDGE_NONE:
    case DP_N_KNOWLEDGE:
    default:
      return now - trust->heard_at >= trust->bound;
    }
}

static void
entry_free_ (gpointer data)
{
  Entry *entry = data;

  g_free (entry->zone);
  g_free (entry);
}

static Entry *
find_ (const DpEvacuations *evacuations, const char *zone)
{
  for (guint i = 0; i < evacuations->entries->len; i++)
    {
      Entry *entry = g_ptr_array_index (evacuations->entries, i);

      if (g_str_equal (entry->zone, zone))
        return entry;
    }
  return NULL;
}

/* Adds an entry that any change replaces. If the table is full, the oldest entry of a
 * withdrawn evacuation is dropped for an evacuation; returns NULL if there is none. */
static Entry *
add_ (DpEvacuations *evacuations, const DpEvacuationEntry *change)
{
  Entry *oldest = NULL;
  Entry *entry;

  if (evacuations->entries->len >= DP_EVACUATIONS_MAX)
    {
      for (guint i = 0; change->evacuated && i < evacuations->entries->len; i++)
        {
          Entry *old = g_ptr_array_index (evacuations->entries, i);

          if (!old->evacuated && (oldest == NULL || old->position < oldest->position))
            oldest = old;
        }
      if (oldest == NULL && change->evacuated && !evacuations->full)
        {
          g_warning ("evacuation of zone %s ignored: there are %u others", change->zone,
                     DP_EVACUATIONS_MAX);
          evacuations->full = TRUE;
        }
      if (oldest == NULL)
        return NULL;
      g_ptr_array_remove_fast (evacuations->entries, oldest);
    }
  entry = g_new0 (Entry, 1);
  entry->zone = g_strdup (change->zone);
  g_ptr_array_add (evacuations->entries, entry);
  return entry;
}

/* Takes over a newer change, and logs it if the evacuation comes into force or ends. */
static void
change_ (DpEvacuations *evacuations,
         Entry *entry,
         const DpEvacuationEntry *change,
         DpEvacuationSource source,
         gint64 now)
{
  const gboolean was_evacuated = entry->evacuated;

  entry->position = change->position;
  entry->ends_at = 0;
  entry->evacuated = change->evacuated;
  /* A newer position of the same evacuation doesn't make it younger. */
  if (was_evacuated != change->evacuated || entry->began_at == 0)
    entry->began_at = now - change->age_ms * DP_US_PER_MS;
  if (was_evacuated == change->evacuated)
    return;
  g_message ("evacuation of zone %s %s: position " DP_POSITION_FORMAT
             ", from a %s, age %u ms",
             entry->zone, entry->evacuated ? "is in force" : "has ended",
             DP_POSITION_ARGS (entry->position), source_strings_[source], change->age_ms);
  if (evacuations->changed != NULL)
    evacuations->changed (evacuations->user_data);
}

/* Ends an evacuation that the store doesn't have. */
static void
end_ (DpEvacuations *evacuations, Entry *entry, DpEvacuationSource source, gint64 now)
{
  const DpEvacuationEntry change = {
    .zone = entry->zone,
    .position = evacuations->complete,
    .evacuated = FALSE,
  };

  change_ (evacuations, entry, &change, source, now);
}

/* Ends an evacuation that the store doesn't have although all changes up to its position
 * are known: at once if it was deleted, after RESTORED_GRACE_US if the store has lost it
 * by a restore. */
static void
check_absence_ (DpEvacuations *evacuations,
                Entry *entry,
                DpEvacuationSource source,
                gint64 now)
{
  if (!entry->evacuated || entry->in_store || entry->position > evacuations->complete)
    return;
  if (dp_position_era (entry->position) == dp_position_era (evacuations->complete))
    end_ (evacuations, entry, source, now);
  else if (entry->ends_at == 0)
    {
      entry->ends_at = now + RESTORED_GRACE_US;
      g_message ("evacuation of zone %s: the restored store doesn't have it at "
                 "position " DP_POSITION_FORMAT "; it stays in force for %d s",
                 entry->zone, DP_POSITION_ARGS (evacuations->complete),
                 (int) (RESTORED_GRACE_US / DP_US_PER_S));
    }
}

/* Returns whether an evacuation that another process reports has been deleted since, as
 * this process knows all changes of the store up to a later position of the same era. */
static gboolean
was_deleted_ (const DpEvacuations *evacuations, const DpEvacuationEntry *change)
{
  return change->evacuated && change->position <= evacuations->complete
         && dp_position_era (change->position) == dp_position_era (evacuations->complete);
}

/* Evacuated zones first, then by position, newest first. */
static gint
compare_entries_ (gconstpointer a, gconstpointer b)
{
  const DpEvacuationEntry *x = a;
  const DpEvacuationEntry *y = b;

  if (x->evacuated != y->evacuated)
    return x->evacuated ? -1 : 1;
  if (x->position != y->position)
    return x->position > y->position ? -1 : 1;
  return strcmp (x->zone, y->zone);
}
