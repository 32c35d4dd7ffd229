#include "private/timewait.h"

typedef struct
{
  DpFlowKey key;
  gint64 since; /* us */
  GList link;   /* in by_age */
} Entry;

struct _DpTimeWait
{
  guint max;
  gint64 duration;    /* us */
  GHashTable *by_key; /* set of Entry, by the entry's key */
  GQueue by_age;      /* Entry, the oldest first */
};

static void remove_ (DpTimeWait *time_wait, Entry *entry);

/* Creates a table that keeps at most max keys, each for duration microseconds. */
DpTimeWait *
dp_time_wait_new (guint max, gint64 duration)
{
  DpTimeWait *time_wait = g_new0 (DpTimeWait, 1);

  time_wait->max = max;
  time_wait->duration = duration;
  time_wait->by_key = g_hash_table_new (dp_flow_key_table_hash, dp_flow_key_table_equal);
  g_queue_init (&time_wait->by_age);
  return time_wait;
}

/* Frees the table. */
void
dp_time_wait_free (DpTimeWait *time_wait)
{
  if (time_wait == NULL)
    return;
  while (time_wait->by_age.length > 0)
    remove_ (time_wait, time_wait->by_age.head->data);
  g_hash_table_unref (time_wait->by_key);
  g_free (time_wait);
}

/* Adds a key, or renews it. If the table is full, the oldest key is removed before it
 * expires and written to evicted, and the call returns TRUE. */
gboolean
dp_time_wait_add (DpTimeWait *time_wait,
                  const DpFlowKey *key,
                  gint64 now,
                  DpFlowKey *evicted)
{
  Entry *entry;
  gboolean full = FALSE;

  dp_time_wait_remove (time_wait, key);
  while ((entry = g_queue_peek_head (&time_wait->by_age)) != NULL
         && now - entry->since >= time_wait->duration)
    remove_ (time_wait, entry);
  if (time_wait->by_age.length == time_wait->max)
    {
      entry = g_queue_peek_head (&time_wait->by_age);
      *evicted = entry->key;
      remove_ (time_wait, entry);
      full = TRUE;
    }
  entry = g_new0 (Entry, 1);
  entry->key = *key;
  entry->since = now;
  entry->link.data = entry;
  g_hash_table_add (time_wait->by_key, entry);
  g_queue_push_tail_link (&time_wait->by_age, &entry->link);
  return full;
}

/* Returns whether the key was added less than duration ago and is still in the table. */
gboolean
dp_time_wait_has (const DpTimeWait *time_wait, const DpFlowKey *key, gint64 now)
{
  const Entry *entry = g_hash_table_lookup (time_wait->by_key, key);

  return entry != NULL && now - entry->since < time_wait->duration;
}

/* Removes a key. Returns whether it was in the table. */
gboolean
dp_time_wait_remove (DpTimeWait *time_wait, const DpFlowKey *key)
{
  Entry *entry = g_hash_table_lookup (time_wait->by_key, key);

  if (entry == NULL)
    return FALSE;
  remove_ (time_wait, entry);
  return TRUE;
}

/* A GHashFunc for DpFlowKey. */
guint
dp_flow_key_table_hash (gconstpointer key)
{
  return (guint) dp_flow_key_hash (key);
}

/* A GEqualFunc for DpFlowKey. */
gboolean
dp_flow_key_table_equal (gconstpointer a, gconstpointer b)
{
  return dp_flow_key_equal (a, b);
}

static void
remove_ (DpTimeWait *time_wait, Entry *entry)
{
  g_hash_table_remove (time_wait->by_key, entry);
  g_queue_unlink (&time_wait->by_age, &entry->link);
  g_free (entry);
}
