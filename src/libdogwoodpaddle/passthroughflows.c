#include "private/passthroughflows.h"

#include "protected/clock.h"

#define WAITING_FLOWS_MAX 1024
/* Flows offered to the server in excess of its slots, so that no slot is idle during the
 * 2 to 6 ms of the next client's handshake. */
#define OFFERED_EXCESS 2
/* Time after which a flow without a complete handshake is forgotten. Clients give up an
 * unanswered SYN after 1.4 s. */
#define HANDSHAKE_TTL_US (2 * DP_US_PER_S)
/* Time for the handshake and the first data of a request, after which a flow loses its
 * slot. A client whose first packet was lost retransmits it after 200 ms. */
#define HANDSHAKE_TIMEOUT_US (300 * DP_US_PER_MS)
/* A handshake that takes more than this many times the usual time leaves its slot to
 * flows that wait. */
#define SLOW_HANDSHAKE_FACTOR 4
/* Samples after which the newest handshake has a fixed weight in the moving mean, and the
 * mean counts. */
#define HANDSHAKE_SAMPLES 8
/* Time after which a request without an answer loses its slot. The slowest requests take
 * 280 ms on a cold server, and five times as long on a slow one. */
#define REQUEST_TIMEOUT_US (2 * DP_US_PER_S)
/* Ticks come every 100 ms. If two ticks are further apart than this time, the whole
 * process was paused, as when its host was frozen. A request that appears unanswered
 * after a pause doesn't count as a failure of the server. */
#define PAUSE_MIN_US (500 * DP_US_PER_MS)
#define SWEEP_INTERVAL_US DP_US_PER_S /* interval between searches for expired flows */
/* Time for which a closed flow is remembered. Retransmissions of its last packets come up
 * to 1.6 s apart. */
#define CLOSED_TTL_US (4 * DP_US_PER_S)
/* An answer is complete if the server has sent no more data for this time; the flow is
 * then between two requests. */
#define ANSWER_COMPLETE_US (100 * DP_US_PER_MS)
#define FLOWS_MAX 65536

static const char *const state_strings_[] = { "waiting", "offered",   "answered", "open",
                                              "closed",  "forwarded", "not_owned" };

G_STATIC_ASSERT (G_N_ELEMENTS (state_strings_) == DP_N_PASSTHROUGH_FLOW_STATES);

static void flow_free_ (gpointer data);
static guint hash_ (gconstpointer flow);
static gboolean equal_ (gconstpointer a, gconstpointer b);
static DpPassthroughFlow *flow_at_ (DpHandleTable *table, DpHandle handle);
static DpHandle add_to_table_ (DpHandleTable *table, DpPassthroughFlow *flow);
static void
record_result_ (DpPassthroughFlows *flows, const DpPassthroughFlow *flow, gint64 now);
static void set_unscheduled_ (DpPassthroughFlows *flows,
                              DpPassthroughFlow *flow,
                              gboolean unscheduled);
static void observe_handshake_ (DpPassthroughFlows *flows, gint64 time);
static void apply_limit_ (DpPassthroughFlows *flows);
static void check_in_flight_ (DpPassthroughFlows *flows, gint64 now);
static gboolean
is_overdue_ (const DpPassthroughFlows *flows, const DpPassthroughFlow *flow, gint64 now);
static gboolean
has_expired_ (const DpPassthroughFlows *flows, const DpPassthroughFlow *flow, gint64 now);

/* Creates an empty table with one slot. */
DpPassthroughFlows *
dp_passthrough_flows_new (gint64 flow_ttl, gint64 now)
{
  DpPassthroughFlows *flows = g_new0 (DpPassthroughFlows, 1);

  flows->by_key = g_hash_table_new_full (hash_, equal_, NULL, flow_free_);
  flows->slots = dp_slots_new (WAITING_FLOWS_MAX);
  flows->health = dp_server_health_new ();
  flows->warmup = dp_warmup_limit_new (now);
  flows->waiting_flows = dp_handle_table_new (sizeof (DpPassthroughFlow *),
                                              WAITING_FLOWS_MAX);
  flows->in_flight_flows = dp_handle_table_new (sizeof (DpPassthroughFlow *), FLOWS_MAX);
  flows->last_missed_at = now;
  dp_passthrough_flows_set_limits (flows, 1, flow_ttl);
  return flows;
}

/* Frees the table with all flows. */
void
dp_passthrough_flows_free (DpPassthroughFlows *flows)
{
  dp_slots_free (flows->slots);
  dp_server_health_free (flows->health);
  dp_concurrency_limit_free (flows->concurrency);
  dp_handle_table_free (flows->works);
  dp_warmup_limit_free (flows->warmup);
  dp_handle_table_free (flows->waiting_flows);
  dp_handle_table_free (flows->in_flight_flows);
  g_hash_table_unref (flows->by_key);
  g_free (flows);
}

/* Sets the server's slots and how long an unused flow is remembered, in us. */
void
dp_passthrough_flows_set_limits (DpPassthroughFlows *flows, guint slots, gint64 flow_ttl)
{
  flows->declared_slots = slots;
  flows->flow_ttl = flow_ttl;
  if (flows->concurrency != NULL)
    dp_concurrency_limit_set_declared (flows->concurrency, slots);
  apply_limit_ (flows);
}

/* Learns the limit from now on, instead of using the declared slots. */
void
dp_passthrough_flows_learn_limit (DpPassthroughFlows *flows, gint64 now)
{
  if (flows->concurrency != NULL)
    return;
  flows->concurrency = dp_concurrency_limit_new (now);
  flows->works = dp_handle_table_new (sizeof (DpRequestWork), FLOWS_MAX);
  dp_concurrency_limit_set_declared (flows->concurrency, flows->declared_slots);
  apply_limit_ (flows);
}

/* Returns the learnt limit or, if none is learnt, the declared slots. */
guint
dp_passthrough_flows_n_slots (const DpPassthroughFlows *flows)
{
  return flows->concurrency == NULL ? flows->declared_slots
                                    : dp_concurrency_limit_slots (flows->concurrency);
}

/* Returns the segment's flow, NULL if it is not in the table. */
DpPassthroughFlow *
dp_passthrough_flows_find (DpPassthroughFlows *flows, const DpSegment *segment)
{
  const DpPassthroughFlow wanted = { .key = segment->key, .hash = segment->hash };

  return g_hash_table_lookup (flows->by_key, &wanted);
}

/* Adds the segment's flow, which must not be in the table yet. If the table is full, it
 * is no longer complete, and the server has to be asked for flows that are not found. */
DpPassthroughFlow *
dp_passthrough_flows_add (DpPassthroughFlows *flows, const DpSegment *segment, gint64 now)
{
  DpPassthroughFlow *flow;

  if (g_hash_table_size (flows->by_key) >= FLOWS_MAX)
    {
      flows->complete = FALSE;
      flows->last_missed_at = now;
      return NULL;
    }
  flow = g_new0 (DpPassthroughFlow, 1);
  flow->key = segment->key;
  flow->hash = segment->hash;
  flow->used_at = now;
  g_hash_table_add (flows->by_key, flow);
  return flow;
}

/* Returns whether the table holds every flow of the server: either the server's start was
 * seen, or the flow_ttl has passed since a flow may last have been missed. */
gboolean
dp_passthrough_flows_is_complete (const DpPassthroughFlows *flows, gint64 now)
{
  return flows->complete || now - flows->last_missed_at > flows->flow_ttl;
}

/* Removes and frees the flow, with its place in the queue or its slot. */
void
dp_passthrough_flows_remove (DpPassthroughFlows *flows, DpPassthroughFlow *flow)
{
  dp_passthrough_flows_dequeue (flows, flow);
  dp_passthrough_flows_abandon_work (flows, flow);
  g_hash_table_remove (flows->by_key, flow);
}

/* Returns the number of flows in the table. */
guint
dp_passthrough_flows_count (const DpPassthroughFlows *flows)
{
  return g_hash_table_size (flows->by_key);
}

/* Counts the flow as in flight, if it isn't yet. */
void
dp_passthrough_flows_begin_work (DpPassthroughFlows *flows,
                                 DpPassthroughFlow *flow,
                                 gboolean has_slot,
                                 gint64 now)
{
  if (flow->in_flight)
    return;
  flow->in_flight_row = add_to_table_ (flows->in_flight_flows, flow);
  flow->in_flight = TRUE;
  flow->has_slot = has_slot;
  flow->offered_at = now;
  flows->n_in_flight++;
  if (has_slot)
    dp_slots_request_started (flows->slots, flow->class, now);
}

/* Keeps the slot, and counts the time of the work from now on. Otherwise a flow whose
 * requests follow each other closely would time out as a whole. */
void
dp_passthrough_flows_restart_work (DpPassthroughFlows *flows,
                                   DpPassthroughFlow *flow,
                                   gint64 now)
{
  if (flow->has_slot)
    {
      dp_slots_request_abandoned (flows->slots, flow->class, flow->offered_at);
      dp_slots_request_started (flows->slots, flow->class, now);
    }
  flow->offered_at = now;
}

/* Without a slot, the flow takes room from new flows until the answer begins. */
void
dp_passthrough_flows_note_unscheduled (DpPassthroughFlows *flows, DpPassthroughFlow *flow)
{
  if (flow->in_flight && !flow->has_slot)
    set_unscheduled_ (flows, flow, TRUE);
}

/* Records when the request came and where its answer begins; of a flow's first request
 * also the time of the handshake. */
void
dp_passthrough_flows_begin_request (DpPassthroughFlows *flows,
                                    DpPassthroughFlow *flow,
                                    guint32 answer_start_seq,
                                    gint64 now)
{
  if (!flow->request_seen && flow->in_flight)
    observe_handshake_ (flows, now - flow->offered_at);
  flow->request_seen = TRUE;
  flow->requested_at = now;
  flow->first_byte_at = 0;
  flow->answer_overdue = FALSE;
  flow->answer_start_seq = answer_start_seq;
}

/* Records the begin of the server's work on a request: with its first data, or with data
 * of a client that has received some of the answer to the request before. The handshake,
 * and the time until a complete answer counts as such, are no work. */
void
dp_passthrough_flows_note_client_data (DpPassthroughFlows *flows,
                                       DpPassthroughFlow *flow,
                                       const DpSegment *segment,
                                       gint64 now)
{
  if (flows->concurrency == NULL || flow->work != DP_HANDLE_NONE || flow->server_finished
      || (flow->request_seen && (gint32) (segment->ack - flow->work_answer_seq) <= 0))
    return;
  /* On a flow that began before this process, the client tells where the answer begins.
   */
  if (flow->new_data_at != 0)
    flow->work_answer_seq = flow->server_next_seq;
  else
    flow->work_answer_seq = flow->syn_ack_seen ? flow->syn_ack_seq + 1 : segment->ack;
  flow->work = dp_handle_table_add (flows->works);
  if (flow->work != DP_HANDLE_NONE)
    dp_concurrency_limit_begin (flows->concurrency,
                                dp_handle_table_get (flows->works, flow->work), now);
}

/* Records the end of the server's work with the first data of its answer. */
void
dp_passthrough_flows_note_answer_begin (DpPassthroughFlows *flows,
                                        DpPassthroughFlow *flow,
                                        guint32 end,
                                        gint64 now)
{
  if (flow->work == DP_HANDLE_NONE || (gint32) (end - flow->work_answer_seq) <= 0)
    return;
  dp_concurrency_limit_end (flows->concurrency,
                            dp_handle_table_get (flows->works, flow->work), flow->class,
                            now);
  dp_handle_table_remove (flows->works, flow->work);
  flow->work = DP_HANDLE_NONE;
}

/* Stops counting the flow as in flight, and records the time and the result of its
 * request. */
void
dp_passthrough_flows_end_work (DpPassthroughFlows *flows,
                               DpPassthroughFlow *flow,
                               gint64 now)
{
  if (flow->in_flight)
    {
      dp_passthrough_flows_observe_time (flows->histograms.work, now - flow->offered_at);
      record_result_ (flows, flow, now);
    }
  if (flow->in_flight && flow->has_slot)
    dp_slots_request_ended (flows->slots, flow->class, flow->offered_at, now);
  dp_passthrough_flows_abandon_work (flows, flow);
}

/* Ends the work at the last packet of an answer. If the answer goes on after all, the
 * flow is in flight again. */
void
dp_passthrough_flows_note_answer (DpPassthroughFlows *flows,
                                  DpPassthroughFlow *flow,
                                  gboolean partial,
                                  gint64 now)
{
  if (flow->answer_ended)
    {
      flow->answer_ended = FALSE;
      dp_answer_end_note_continued (&flows->answer_end);
      dp_passthrough_flows_begin_work (flows, flow,
                                       dp_slots_acquire (flows->slots, flow->class), now);
    }
  set_unscheduled_ (flows, flow, FALSE);
  if (!partial || !flow->request_seen || !flow->in_flight
      || !dp_answer_end_note_partial (&flows->answer_end))
    return;
  dp_passthrough_flows_end_work (flows, flow, now);
  flow->answer_ended = TRUE;
}

/* Stops counting the flow as in flight and gives back its slot. */
void
dp_passthrough_flows_abandon_work (DpPassthroughFlows *flows, DpPassthroughFlow *flow)
{
  if (flow->work != DP_HANDLE_NONE)
    {
      dp_concurrency_limit_abandon (flows->concurrency,
                                    dp_handle_table_get (flows->works, flow->work));
      dp_handle_table_remove (flows->works, flow->work);
      flow->work = DP_HANDLE_NONE;
    }
  if (flow->in_flight)
    {
      flows->n_in_flight--;
      set_unscheduled_ (flows, flow, FALSE);
      dp_handle_table_remove (flows->in_flight_flows, flow->in_flight_row);
    }
  if (flow->in_flight && flow->has_slot)
    dp_slots_request_abandoned (flows->slots, flow->class, flow->offered_at);
  if (flow->has_slot)
    dp_slots_release (flows->slots, flow->class);
  flow->in_flight = FALSE;
  flow->has_slot = FALSE;
  flow->in_flight_row = DP_HANDLE_NONE;
}

/* Stops counting all flows as in flight, as after a restart of the server. */
void
dp_passthrough_flows_abandon_all_work (DpPassthroughFlows *flows)
{
  DpHandle next;

  for (DpHandle h = dp_handle_table_next (flows->in_flight_flows, DP_HANDLE_NONE);
       h != DP_HANDLE_NONE; h = next)
    {
      next = dp_handle_table_next (flows->in_flight_flows, h);
      dp_passthrough_flows_abandon_work (flows, flow_at_ (flows->in_flight_flows, h));
    }
}

/* Marks all flows as those of a predecessor. They stay in the table, as their clients may
 * go on sending. */
void
dp_passthrough_flows_note_server_replaced (DpPassthroughFlows *flows)
{
  DpPassthroughFlow *flow;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, flows->by_key);
  while ((flow = dp_passthrough_flows_next (&iter)) != NULL)
    flow->of_predecessor = TRUE;
}

/* Queues the flow by its class; if it is late, behind those that can be in time. */
gboolean
dp_passthrough_flows_enqueue (DpPassthroughFlows *flows,
                              DpPassthroughFlow *flow,
                              gboolean late,
                              gint64 now)
{
  flow->waiting_row = add_to_table_ (flows->waiting_flows, flow);
  flow->late = late;
  flow->waiting_since = now;
  if (flow->waiting_row == DP_HANDLE_NONE)
    return FALSE;
  flow->ticket = late ? dp_slots_enqueue_late (flows->slots, flow->waiting_row,
                                               flow->class)
                      : dp_slots_enqueue (flows->slots, flow->waiting_row, flow->class);
  return flow->ticket != DP_HANDLE_NONE;
}

/* Removes the flow from the queue and frees its held SYN. A slot that the flow has been
 * given is kept. */
void
dp_passthrough_flows_dequeue (DpPassthroughFlows *flows, DpPassthroughFlow *flow)
{
  g_clear_pointer (&flow->packet, g_bytes_unref);
  if (flow->waiting_row == DP_HANDLE_NONE)
    return;
  dp_slots_cancel (flows->slots, flow->ticket);
  dp_handle_table_remove (flows->waiting_flows, flow->waiting_row);
  flow->waiting_row = DP_HANDLE_NONE;
  flow->ticket = DP_HANDLE_NONE;
}

/* Gives back the slots of flows whose handshake takes much longer than usual. Their
 * clients have given up, or a packet was lost and comes again after 200 ms; until then
 * the slot can serve another flow. */
void
dp_passthrough_flows_reclaim_slots (DpPassthroughFlows *flows, gint64 now)
{
  const gint64 limit = MIN (flows->handshake_time * SLOW_HANDSHAKE_FACTOR,
                            HANDSHAKE_TIMEOUT_US);
  DpHandle next;

  if (flows->n_handshakes < HANDSHAKE_SAMPLES
      || dp_handle_table_count (flows->waiting_flows) == 0)
    return;
  for (DpHandle h = dp_handle_table_next (flows->in_flight_flows, DP_HANDLE_NONE);
       h != DP_HANDLE_NONE; h = next)
    {
      DpPassthroughFlow *flow = flow_at_ (flows->in_flight_flows, h);

      next = dp_handle_table_next (flows->in_flight_flows, h);
      if (flow->state == DP_PASSTHROUGH_FLOW_ANSWERED && !flow->request_seen
          && now - flow->offered_at > limit)
        dp_passthrough_flows_abandon_work (flows, flow);
    }
}

/* Gives a free slot to the next flow in the queue, by class and then by arrival. */
DpPassthroughFlow *
dp_passthrough_flows_assign_slot (DpPassthroughFlows *flows, gint64 now)
{
  DpHandle handle = dp_slots_acquire_next (flows->slots, now);
  DpPassthroughFlow *flow;

  if (handle == DP_HANDLE_NONE)
    return NULL;
  flow = flow_at_ (flows->waiting_flows, handle);
  flow->has_slot = TRUE;
  flow->ticket = DP_HANDLE_NONE;
  return flow;
}

/* Returns the waiting flow after the cursor. */
DpPassthroughFlow *
dp_passthrough_flows_iter_waiting (DpPassthroughFlows *flows, DpHandle *cursor)
{
  *cursor = dp_handle_table_next (flows->waiting_flows, *cursor);
  return *cursor == DP_HANDLE_NONE ? NULL : flow_at_ (flows->waiting_flows, *cursor);
}

/* Returns the number of flows that wait for a slot. */
guint
dp_passthrough_flows_n_waiting (const DpPassthroughFlows *flows)
{
  return dp_handle_table_count (flows->waiting_flows);
}

gboolean
dp_passthrough_flow_is_owned (const DpPassthroughFlow *flow)
{
  return flow->state != DP_PASSTHROUGH_FLOW_FORWARDED
         && flow->state != DP_PASSTHROUGH_FLOW_NOT_OWNED;
}

/* Returns the next flow of an iteration that g_hash_table_iter_init () on by_key has
 * started. */
DpPassthroughFlow *
dp_passthrough_flows_next (GHashTableIter *iter)
{
  gpointer flow;

  return g_hash_table_iter_next (iter, &flow, NULL) ? flow : NULL;
}

/* Returns the name of the flow's state as it appears in logs. */
const char *
dp_passthrough_flow_state_string (const DpPassthroughFlow *flow)
{
  return flow == NULL ? "none" : state_strings_[flow->state];
}

/* Frees the slots of flows that make no progress, and removes expired flows. */
void
dp_passthrough_flows_tick (DpPassthroughFlows *flows, gint64 now)
{
  GHashTableIter iter;
  gpointer value;
  guint n_open = 0;

  check_in_flight_ (flows, now);
  dp_server_health_tick (flows->health, now);
  if (flows->concurrency != NULL)
    {
      dp_concurrency_limit_update (flows->concurrency, flows->handshake_time, now);
      apply_limit_ (flows);
    }
  flows->ticked_at = now;
  if (now - flows->swept_at < SWEEP_INTERVAL_US)
    return;
  flows->swept_at = now;
  g_hash_table_iter_init (&iter, flows->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DpPassthroughFlow *flow = value;

      if (!has_expired_ (flows, flow, now))
        {
          n_open += flow->state == DP_PASSTHROUGH_FLOW_OPEN && !flow->of_predecessor ? 1
                                                                                     : 0;
          continue;
        }
      dp_passthrough_flows_abandon_work (flows, flow);
      g_hash_table_iter_remove (&iter);
    }
  dp_warmup_limit_note_open_flows (flows->warmup, n_open, now);
}

/* Records a time in us, if there is a histogram for it. */
void
dp_passthrough_flows_observe_time (DpHistogram *histogram, gint64 time)
{
  if (histogram != NULL)
    dp_histogram_observe (histogram, time);
}

static void
flow_free_ (gpointer data)
{
  DpPassthroughFlow *flow = data;

  if (flow->packet != NULL)
    g_bytes_unref (flow->packet);
  g_free (flow);
}

static guint
hash_ (gconstpointer flow)
{
  return (guint) ((const DpPassthroughFlow *) flow)->hash;
}

static gboolean
equal_ (gconstpointer a, gconstpointer b)
{
  return dp_flow_key_equal (&((const DpPassthroughFlow *) a)->key,
                            &((const DpPassthroughFlow *) b)->key);
}

static DpPassthroughFlow *
flow_at_ (DpHandleTable *table, DpHandle handle)
{
  return *(DpPassthroughFlow **) dp_handle_table_get (table, handle);
}

/* Returns DP_HANDLE_NONE if the table is full. */
static DpHandle
add_to_table_ (DpHandleTable *table, DpPassthroughFlow *flow)
{
  DpHandle handle = dp_handle_table_add (table);

  if (handle != DP_HANDLE_NONE)
    *(DpPassthroughFlow **) dp_handle_table_get (table, handle) = flow;
  return handle;
}

/* Records the result of a request in the server's health. */
static void
record_result_ (DpPassthroughFlows *flows, const DpPassthroughFlow *flow, gint64 now)
{
  if (!flow->request_seen || !flow->syn_ack_seen)
    return;
  /* A client that sends its FIN before the answer begins has given up, which is not the
   * server's failure; an overdue answer has been recorded already. */
  if (flow->first_byte_at == 0 && !flow->answer_overdue && !flow->client_finished)
    dp_server_health_record_failure (flows->health, now);
  else if (flow->first_byte_at != 0)
    dp_server_health_record_answer (flows->health, &flow->key.service,
                                    flow->first_byte_at - flow->requested_at,
                                    flow->server_next_seq - flow->answer_start_seq, now);
}

/* Counts a flow without a slot among the requests that the server has ahead of new flows.
 * Once its answer has begun, the work is done: a flow whose end is only shown by silence
 * must not keep new flows out. */
static void
set_unscheduled_ (DpPassthroughFlows *flows,
                  DpPassthroughFlow *flow,
                  gboolean unscheduled)
{
  if (flow->unscheduled == unscheduled)
    return;
  flow->unscheduled = unscheduled;
  flows->n_unscheduled += unscheduled ? 1 : -1;
  dp_slots_set_unscheduled (flows->slots, flows->n_unscheduled);
}

/* Sets the number of flows that are offered to the server at once. */
static void
apply_limit_ (DpPassthroughFlows *flows)
{
  const guint slots = dp_passthrough_flows_n_slots (flows);
  const guint capacity = flows->concurrency == NULL
                             ? slots + OFFERED_EXCESS
                             : dp_concurrency_limit_capacity (flows->concurrency);

  dp_slots_set_capacity (flows->slots, capacity, FALSE);
  /* A late flow in excess of the slots would delay new flows that can be in time. */
  dp_slots_set_late_capacity (flows->slots, slots);
}

/* Adds the time from a SYN to its client's request to the moving mean. The first samples
 * weigh the same. */
static void
observe_handshake_ (DpPassthroughFlows *flows, gint64 time)
{
  flows->n_handshakes = MIN (flows->n_handshakes + 1, HANDSHAKE_SAMPLES);
  flows->handshake_time += (time - flows->handshake_time) / flows->n_handshakes;
}

/* Stops counting flows as in flight whose answer is complete, as on a connection that
 * stays open, and those that make no progress. Records answers that are overdue as
 * failures. */
static void
check_in_flight_ (DpPassthroughFlows *flows, gint64 now)
{
  const gboolean paused = now - flows->ticked_at > PAUSE_MIN_US;
  DpHandle next;

  for (DpHandle h = dp_handle_table_next (flows->in_flight_flows, DP_HANDLE_NONE);
       h != DP_HANDLE_NONE; h = next)
    {
      DpPassthroughFlow *flow = flow_at_ (flows->in_flight_flows, h);
      gint64 bound = flow->request_seen ? REQUEST_TIMEOUT_US : HANDSHAKE_TIMEOUT_US;

      next = dp_handle_table_next (flows->in_flight_flows, h);
      if (!paused && !flow->answer_overdue && is_overdue_ (flows, flow, now))
        {
          flow->answer_overdue = TRUE;
          dp_server_health_record_failure (flows->health, now);
        }
      if (flow->last_answer_at != 0 && now - flow->last_answer_at > ANSWER_COMPLETE_US)
        dp_passthrough_flows_end_work (flows, flow, now);
      else if (flow->last_answer_at == 0 && now - flow->offered_at > bound)
        dp_passthrough_flows_abandon_work (flows, flow);
    }
}

/* Returns whether the server has left the SYN or the request unanswered for too long. A
 * client that doesn't complete the handshake doesn't count against the server. */
static gboolean
is_overdue_ (const DpPassthroughFlows *flows, const DpPassthroughFlow *flow, gint64 now)
{
  if (flow->state == DP_PASSTHROUGH_FLOW_OFFERED)
    return now - flow->offered_at > HANDSHAKE_TIMEOUT_US;
  return flow->request_seen && flow->syn_ack_seen && flow->first_byte_at == 0
         && now - flow->requested_at
                > dp_server_health_answer_timeout (flows->health, &flow->key.service);
}

static gboolean
has_expired_ (const DpPassthroughFlows *flows, const DpPassthroughFlow *flow, gint64 now)
{
  const gint64 unused = now - flow->used_at;

  switch (flow->state)
    {
    case DP_PASSTHROUGH_FLOW_WAITING:
      return FALSE; /* dp_passthrough_next_released () ends the wait */
    case DP_PASSTHROUGH_FLOW_OFFERED:
    case DP_PASSTHROUGH_FLOW_ANSWERED:
      return unused > HANDSHAKE_TTL_US;
    case DP_PASSTHROUGH_FLOW_CLOSED:
      return unused > CLOSED_TTL_US;
    case DP_PASSTHROUGH_FLOW_OPEN:
    case DP_PASSTHROUGH_FLOW_FORWARDED:
    case DP_PASSTHROUGH_FLOW_NOT_OWNED:
    case DP_N_PASSTHROUGH_FLOW_STATES:
    default:
      return unused > flows->flow_ttl;
    }
}
