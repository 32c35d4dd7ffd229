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

static void remove_ (DpTimeWait *linger, Entry *entry);

/* Creates a table that keeps at most max keys, each for duration microseconds. */
DpTimeWait *
dp_time_wait_new (guint max, gint64 duration)
{
  DpTimeWait *linger = g_new0 (DpTimeWait, 1);

  linger->max = max;
  linger->duration = duration;
  linger->by_key = g_hash_table_new (dp_flow_key_table_hash, dp_flow_key_table_equal);
  g_queue_init (&linger->by_age);
  return linger;
}

/* Frees the table. */
void
dp_time_wait_free (DpTimeWait *linger)
{
  if (linger == NULL)
    return;
  while (linger->by_age.length > 0)
    remove_ (linger, linger->by_age.head->data);
  g_hash_table_unref (linger->by_key);
  g_free (linger);
}

/* Adds a key, or renews it. If the table is full, the oldest key is removed before its
 * time and written to evicted, and the call returns TRUE. */
gboolean
dp_time_wait_add (DpTimeWait *linger,
                  const DpFlowKey *key,
                  gint64 now,
                  DpFlowKey *evicted)
{
  Entry *entry;
  gboolean full = FALSE;

  dp_time_wait_remove (linger, key);
  while ((entry = g_queue_peek_head (&linger->by_age)) != NULL
         && now - entry->since >= linger->duration)
    remove_ (linger, entry);
  if (linger->by_age.length == linger->max)
    {
      entry = g_queue_peek_head (&linger->by_age);
      *evicted = entry->key;
      remove_ (linger, entry);
      full = TRUE;
    }
  entry = g_new0 (Entry, 1);
  entry->key = *key;
  entry->since = now;
  entry->link.data = entry;
  g_hash_table_add (linger->by_key, entry);
  g_queue_push_tail_link (&linger->by_age, &entry->link);
  return full;
}

/* Returns whether the key was added less than duration ago and is still in the table. */
gboolean
dp_time_wait_has (const DpTimeWait *linger, const DpFlowKey *key, gint64 now)
{
  const Entry *entry = g_hash_table_lookup (linger->by_key, key);

  return entry != NULL && now - entry->since < linger->duration;
}

/* Removes a key. Returns whether it was in the table. */
gboolean
dp_time_wait_remove (DpTimeWait *linger, const DpFlowKey *key)
{
  Entry *entry = g_hash_table_lookup (linger->by_key, key);

  if (entry == NULL)
    return FALSE;
  remove_ (linger, entry);
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
remove_ (DpTimeWait *linger, Entry *entry)
{
  g_hash_table_remove (linger->by_key, entry);
  g_queue_unlink (&linger->by_age, &entry->link);
  g_free (entry);
}
