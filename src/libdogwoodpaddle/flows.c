#include "private/flows.h"

#include <string.h>

#define INITIAL_INDEX_SIZE 64 /* initial size of the index, a power of two */

struct _DpFlows
{
  DpHandleTable *table;
  DpHandle *index; /* by key, linear probing, at most half full */
  guint size;      /* a power of two */
  struct
  {
    DpHandle oldest;
    DpHandle newest;
  } timers[DP_N_TIMERS];
};

static const DpTimerGroup timer_groups_[] = {
  DP_TIMER_GROUP_STATE, DP_TIMER_GROUP_STATE, DP_TIMER_GROUP_STATE,
  DP_TIMER_GROUP_STATE, DP_TIMER_GROUP_SLOT,  DP_TIMER_GROUP_SLOT,
  DP_TIMER_GROUP_SLOT,  DP_TIMER_GROUP_SLOT,  DP_TIMER_GROUP_PROGRESS,
};

G_STATIC_ASSERT (G_N_ELEMENTS (timer_groups_) == DP_N_TIMERS);

static void grow_ (DpFlows *flows);
static guint position_ (const DpFlows *flows, const DpFlowKey *key, guint64 hash);
static guint home_ (const DpFlows *flows, guint position);

/* Creates a table of at most max_flows flows. */
DpFlows *
dp_flows_new (guint max_flows)
{
  DpFlows *flows = g_new0 (DpFlows, 1);

  flows->table = dp_handle_table_new (sizeof (DpFlow), max_flows);
  flows->size = INITIAL_INDEX_SIZE;
  flows->index = g_new0 (DpHandle, flows->size);
  return flows;
}

/* Frees the table with its flows. */
void
dp_flows_free (DpFlows *flows)
{
  DpHandle handle = DP_HANDLE_NONE;

  if (flows == NULL)
    return;
  while ((handle = dp_flows_next (flows, handle)) != DP_HANDLE_NONE)
    g_free (dp_flows_get (flows, handle)->held_header);
  dp_handle_table_free (flows->table);
  g_free (flows->index);
  g_free (flows);
}

/* Adds a flow with a key that is not in the table. Returns DP_HANDLE_NONE if the table is
 * full. Invalidates the pointers from dp_flows_get (). hash: dp_flow_key_hash (key). */
DpHandle
dp_flows_add (DpFlows *flows, const DpFlowKey *key, guint64 hash)
{
  DpHandle handle = dp_handle_table_add (flows->table);
  DpFlow *flow = dp_handle_table_get (flows->table, handle);

  if (flow == NULL)
    return DP_HANDLE_NONE;
  flow->key = *key;
  if (dp_flows_count (flows) * 2 > flows->size)
    grow_ (flows);
  flows->index[position_ (flows, key, hash)] = handle;
  return handle;
}

/* Returns the flow, or NULL if the handle is stale. The pointer is valid until the next
 * dp_flows_add (). */
DpFlow *
dp_flows_get (DpFlows *flows, DpHandle handle)
{
  return dp_handle_table_get (flows->table, handle);
}

/* Returns the flow's handle, or DP_HANDLE_NONE. hash: dp_flow_key_hash (key). */
DpHandle
dp_flows_find (DpFlows *flows, const DpFlowKey *key, guint64 hash)
{
  return flows->index[position_ (flows, key, hash)];
}

/* Removes a flow; a stale handle is ignored. */
void
dp_flows_remove (DpFlows *flows, DpHandle handle)
{
  DpFlow *flow = dp_flows_get (flows, handle);
  guint mask = flows->size - 1;
  guint hole;

  if (flow == NULL)
    return;
  for (guint group = 0; group < DP_N_TIMER_GROUPS; group++)
    dp_flows_stop_timer (flows, handle, (DpTimerGroup) group);
  hole = position_ (flows, &flow->key, dp_flow_key_hash (&flow->key));
  flows->index[hole] = DP_HANDLE_NONE;
  /* Moves later entries of the probe run back, so that no search ends at the freed entry
   * too early. */
  for (guint i = (hole + 1) & mask; flows->index[i] != DP_HANDLE_NONE; i = (i + 1) & mask)
    {
      if (((i - home_ (flows, i)) & mask) < ((i - hole) & mask))
        continue;
      flows->index[hole] = flows->index[i];
      flows->index[i] = DP_HANDLE_NONE;
      hole = i;
    }
  g_free (flow->held_header);
  dp_handle_table_remove (flows->table, handle);
}

/* Returns the flow that follows the given one, or the first flow for DP_HANDLE_NONE. The
 * given flow may have been removed. Returns DP_HANDLE_NONE after the last flow. */
DpHandle
dp_flows_next (DpFlows *flows, DpHandle after)
{
  return dp_handle_table_next (flows->table, after);
}

/* Returns the number of flows. */
guint
dp_flows_count (const DpFlows *flows)
{
  return dp_handle_table_count (flows->table);
}

/* Starts a timer of the flow; it replaces a running timer of the same group. */
void
dp_flows_start_timer (DpFlows *flows, DpHandle handle, DpTimer timer, gint64 now)
{
  DpTimerGroup group = timer_groups_[timer];
  DpFlow *flow = dp_flows_get (flows, handle);
  DpFlow *newest;

  g_assert (flow != NULL);
  dp_flows_stop_timer (flows, handle, group);
  flow->running_timers[group] = (guint8) (timer + 1);
  flow->links[group].started_at = now;
  flow->links[group].next = DP_HANDLE_NONE;
  flow->links[group].previous = flows->timers[timer].newest;
  newest = dp_flows_get (flows, flows->timers[timer].newest);
  if (newest != NULL)
    newest->links[group].next = handle;
  else
    flows->timers[timer].oldest = handle;
  flows->timers[timer].newest = handle;
}

/* Stops the flow's timer of the group, if one is running. */
void
dp_flows_stop_timer (DpFlows *flows, DpHandle handle, DpTimerGroup group)
{
  DpFlow *flow = dp_flows_get (flows, handle);
  DpTimerLink *link;
  DpFlow *previous;
  DpFlow *next;
  guint timer;

  if (flow == NULL || flow->running_timers[group] == 0)
    return;
  timer = flow->running_timers[group] - 1u;
  link = &flow->links[group];
  previous = dp_flows_get (flows, link->previous);
  next = dp_flows_get (flows, link->next);
  if (previous != NULL)
    previous->links[group].next = link->next;
  else
    flows->timers[timer].oldest = link->next;
  if (next != NULL)
    next->links[group].previous = link->previous;
  else
    flows->timers[timer].newest = link->previous;
  flow->running_timers[group] = 0;
}

/* Returns whether the flow's timer is running. If so, writes its start in us to since. */
gboolean
dp_flows_timer_running (DpFlows *flows, DpHandle handle, DpTimer timer, gint64 *since)
{
  DpTimerGroup group = timer_groups_[timer];
  DpFlow *flow = dp_flows_get (flows, handle);

  if (flow == NULL || flow->running_timers[group] != timer + 1)
    return FALSE;
  *since = flow->links[group].started_at;
  return TRUE;
}

/* Returns the flow whose timer has been running longest and writes the timer's start in
 * us to since, or returns DP_HANDLE_NONE if no flow runs this timer. */
DpHandle
dp_flows_oldest_timer (DpFlows *flows, DpTimer timer, gint64 *since)
{
  DpHandle handle = flows->timers[timer].oldest;
  DpFlow *flow = dp_flows_get (flows, handle);

  if (flow == NULL)
    return DP_HANDLE_NONE;
  *since = flow->links[timer_groups_[timer]].started_at;
  return handle;
}

static void
grow_ (DpFlows *flows)
{
  g_autofree DpHandle *old = g_steal_pointer (&flows->index);
  guint old_size = flows->size;

  flows->size *= 2;
  flows->index = g_new0 (DpHandle, flows->size);
  for (guint i = 0; i < old_size; i++)
    {
      const DpFlow *flow = dp_flows_get (flows, old[i]);

      if (flow == NULL)
        continue;
      flows->index[position_ (flows, &flow->key, dp_flow_key_hash (&flow->key))] = old[i];
    }
}

/* Returns the position of the key's handle in the index, or that of the free entry where
 * the handle would be inserted. */
static guint
position_ (const DpFlows *flows, const DpFlowKey *key, guint64 hash)
{
  guint i = (guint) hash & (flows->size - 1);

  while (flows->index[i] != DP_HANDLE_NONE)
    {
      const DpFlow *flow = dp_handle_table_get (flows->table, flows->index[i]);

      if (dp_flow_key_equal (&flow->key, key))
        break;
      i = (i + 1) & (flows->size - 1);
    }
  return i;
}

/* Returns the position at which the search for an entry's key begins. */
static guint
home_ (const DpFlows *flows, guint position)
{
  const DpFlow *flow = dp_handle_table_get (flows->table, flows->index[position]);

  return (guint) dp_flow_key_hash (&flow->key) & (flows->size - 1);
}
