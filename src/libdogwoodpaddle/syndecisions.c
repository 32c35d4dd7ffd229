#include "private/syndecisions.h"

#include "protected/clock.h"

#define DECISION_LIFETIME (60 * DP_US_PER_S)
#define N_BUCKETS DP_SYN_DECISIONS_MAX

typedef struct
{
  DpFlowKey key;
  guint32 seq;
  gint64 time; /* us */
  DpSynDecision decision;
  guint32 next; /* index + 1 of the next entry of the bucket, 0: none */
} Entry;

/* A ring of entries that are found by a hash table with chaining. When the ring is full,
 * the oldest entry is overwritten. */
struct _DpSynDecisions
{
  GArray *entries; /* Entry, grows to DP_SYN_DECISIONS_MAX */
  guint oldest;
  guint32 buckets[N_BUCKETS]; /* index + 1, 0: none */
};

static Entry *find_ (const DpSynDecisions *decisions, const DpSegment *syn);
static guint32 *bucket_ (const DpSynDecisions *decisions, const DpFlowKey *key);
static void unlink_ (DpSynDecisions *decisions, guint index);

/* Creates an empty table. */
DpSynDecisions *
dp_syn_decisions_new (void)
{
  DpSynDecisions *decisions = g_new0 (DpSynDecisions, 1);

  decisions->entries = g_array_new (FALSE, FALSE, sizeof (Entry));
  return decisions;
}

/* Frees the table. */
void
dp_syn_decisions_free (DpSynDecisions *decisions)
{
  if (decisions == NULL)
    return;
  g_array_unref (decisions->entries);
  g_free (decisions);
}

/* Stores the decision for a SYN in place of an earlier one; DP_SYN_DECISION_NONE clears
 * it. In a full table of DP_SYN_DECISIONS_MAX decisions, the decision for a new SYN
 * replaces the oldest one. */
void
dp_syn_decisions_set (DpSynDecisions *decisions,
                      const DpSegment *syn,
                      const DpSynDecision *decision,
                      gint64 now)
{
  Entry *entry = find_ (decisions, syn);
  guint32 *bucket;
  guint index;

  if (entry != NULL)
    {
      entry->decision = *decision;
      entry->time = now;
      return;
    }
  if (decision->type == DP_SYN_DECISION_NONE)
    return;
  if (decisions->entries->len < DP_SYN_DECISIONS_MAX)
    {
      index = decisions->entries->len;
      g_array_set_size (decisions->entries, index + 1);
    }
  else
    {
      index = decisions->oldest;
      decisions->oldest = (index + 1) % DP_SYN_DECISIONS_MAX;
      unlink_ (decisions, index);
    }
  entry = &g_array_index (decisions->entries, Entry, index);
  bucket = bucket_ (decisions, &syn->key);
  *entry = (Entry){
    .key = syn->key, .seq = syn->seq, .time = now, .decision = *decision, .next = *bucket
  };
  *bucket = index + 1;
}

/* Returns the decision that was made in the last 60 s for a SYN with the same key and
 * sequence number, or DP_SYN_DECISION_NONE. */
DpSynDecision
dp_syn_decisions_get (const DpSynDecisions *decisions, const DpSegment *syn, gint64 now)
{
  const Entry *entry = find_ (decisions, syn);

  if (entry == NULL || now - entry->time >= DECISION_LIFETIME)
    return (DpSynDecision){ .type = DP_SYN_DECISION_NONE };
  return entry->decision;
}

static Entry *
find_ (const DpSynDecisions *decisions, const DpSegment *syn)
{
  guint32 i = *bucket_ (decisions, &syn->key);

  while (i != 0)
    {
      Entry *entry = &g_array_index (decisions->entries, Entry, i - 1);

      if (entry->seq == syn->seq && dp_flow_key_equal (&entry->key, &syn->key))
        return entry;
      i = entry->next;
    }
  return NULL;
}

static guint32 *
bucket_ (const DpSynDecisions *decisions, const DpFlowKey *key)
{
  return (guint32 *) &decisions->buckets[dp_flow_key_hash (key) % N_BUCKETS];
}

static void
unlink_ (DpSynDecisions *decisions, guint index)
{
  Entry *entry = &g_array_index (decisions->entries, Entry, index);
  guint32 *link = bucket_ (decisions, &entry->key);

  while (*link != index + 1)
    link = &g_array_index (decisions->entries, Entry, *link - 1).next;
  *link = entry->next;
}
