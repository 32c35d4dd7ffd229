#include "protected/slots.h"

#include <string.h>

#include "protected/clock.h"

/* Service time that is assumed for a class until its first request has ended. */
#define INITIAL_SERVICE_TIME (100 * DP_US_PER_MS)
/* Samples after which the newest service time has a fixed weight in the moving mean: 1/8.
 * Earlier ones are averaged evenly, so that a new process soon has a usable mean. */
#define MEAN_SAMPLES 8
/* Urgent flows in excess of the capacity, at most, while the server has as many requests
 * without a slot. More would meet a full queue at the server. */
#define URGENT_EXCESS_MAX 4
/* Value of late_turn_at until a flow of the class has found no slot. */
#define LATE_TURN_UNKNOWN G_MININT64

typedef struct
{
  DpHandle flow;
  DpHandle previous;
  DpHandle next;
  DpTrafficClass class;
  gboolean late; /* waits behind the flows that can be served in time */
} Waiter;

typedef struct
{
  DpHandle first;
  DpHandle last;
  guint n_waiting;
  guint n_busy;
  gint64 service_time; /* us, moving mean */
  guint n_samples;     /* samples in the mean, MEAN_SAMPLES at most */
} Queue;

/* A request that the server is working on. */
typedef struct
{
  gint64 started_at; /* us */
  DpTrafficClass class;
} RunningRequest;

struct _DpSlots
{
  GArray *running; /* RunningRequest, at most one per busy slot */
  DpHandleTable *waiters;
  Queue queues[DP_N_TRAFFIC_CLASSES];
  Queue late_queues[DP_N_TRAFFIC_CLASSES]; /* n_busy and service_time are not used */
  /* us; when a late flow of the class last got a slot, or could have got one */
  gint64 late_turn_at[DP_N_TRAFFIC_CLASSES];
  gint64 late_interval[DP_N_TRAFFIC_CLASSES]; /* us, between such turns, moving mean */
  guint capacity;
  guint n_unscheduled; /* requests at the server that have no slot */
  guint late_capacity; /* late non-urgent flows get slots while fewer slots are busy */
  gboolean late_urgent_had_turn; /* the next turn is that of the other classes */
  gboolean mixed;                /* the service has classes other than bulk */
  gint64 service_time;           /* us, moving mean over all classes */
  guint n_samples;               /* samples in the mean, MEAN_SAMPLES at most */
};

static DpHandle enqueue_ (DpSlots *slots, DpHandle flow, const Waiter *waiter);
static void append_ (DpSlots *slots, Queue *queue, DpHandle ticket);
static void prepend_ (DpSlots *slots, Queue *queue, DpHandle ticket);
static Queue *get_queue_ (DpSlots *slots, DpTrafficClass class, gboolean late);
static DpHandle acquire_in_time_ (DpSlots *slots, DpTrafficClass class);
static DpHandle acquire_late_ (DpSlots *slots, DpTrafficClass class);
static guint late_capacity_ (const DpSlots *slots, DpTrafficClass class);
static void note_late_turns_ (DpSlots *slots, DpTrafficClass class, gint64 now);
static void note_idle_slots_ (DpSlots *slots, gint64 now);
static void note_turn_ (DpSlots *slots, DpTrafficClass class, gint64 now);
static DpHandle acquire_for_first_ (DpSlots *slots,
                                    const Queue *queue,
                                    DpTrafficClass class,
                                    guint capacity);
static guint n_at_server_ (const DpSlots *slots);
static guint n_ahead_ (const DpSlots *slots, DpTrafficClass class);
static gint64 queued_work_ (const DpSlots *slots, DpTrafficClass class);
static guint class_limit_ (const DpSlots *slots, DpTrafficClass class);
static gint64 time_until_free_ (const DpSlots *slots, DpTrafficClass class, gint64 now);
static void update_mean_ (gint64 *mean, guint *n, gint64 value);

static const char *const class_strings_[] = { "urgent", "interactive", "bulk" };

G_STATIC_ASSERT (G_N_ELEMENTS (class_strings_) == DP_N_TRAFFIC_CLASSES);

/* Returns the name of the class. */
const char *
dp_traffic_class_string (DpTrafficClass class)
{
  g_assert (class < DP_N_TRAFFIC_CLASSES);
  return class_strings_[class];
}

/* Parses the name of a class; returns FALSE if there is no such class. */
gboolean
dp_traffic_class_parse (const char *text, DpTrafficClass *class)
{
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      if (strcmp (text, class_strings_[i]) != 0)
        continue;
      *class = (DpTrafficClass) i;
      return TRUE;
    }
  return FALSE;
}

/* Creates a scheduler that has no slots yet and queues at most max_waiting flows. */
DpSlots *
dp_slots_new (guint max_waiting)
{
  DpSlots *slots = g_new0 (DpSlots, 1);

  slots->waiters = dp_handle_table_new (sizeof (Waiter), max_waiting);
  slots->running = g_array_new (FALSE, FALSE, sizeof (RunningRequest));
  slots->service_time = INITIAL_SERVICE_TIME;
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      slots->queues[i].service_time = INITIAL_SERVICE_TIME;
      slots->late_turn_at[i] = LATE_TURN_UNKNOWN;
    }
  return slots;
}

/* Frees the scheduler. */
void
dp_slots_free (DpSlots *slots)
{
  if (slots == NULL)
    return;
  dp_handle_table_free (slots->waiters);
  g_array_unref (slots->running);
  g_free (slots);
}

/* Sets the number of slots, and resets the limit of dp_slots_set_late_capacity () to the
 * same number. If mixed, the service has classes other than bulk, and one of two or more
 * slots is kept free of bulk for them. When the number is lowered, the slots in use
 * beyond it stay in use until they are released. */
void
dp_slots_set_capacity (DpSlots *slots, guint capacity, gboolean mixed)
{
  slots->capacity = capacity;
  slots->late_capacity = capacity;
  slots->mixed = mixed;
}

/* Lets late flows other than urgent ones get a slot only while fewer slots than capacity
 * are in use. */
void
dp_slots_set_late_capacity (DpSlots *slots, guint capacity)
{
  slots->late_capacity = MIN (capacity, slots->capacity);
}

/* Sets the number of requests that the server has without a slot, such as further ones on
 * open flows, which can't be held back. They take room from new flows: the server works
 * on them first. */
void
dp_slots_set_unscheduled (DpSlots *slots, guint n)
{
  slots->n_unscheduled = n;
}

/* Acquires a slot for a new flow of the class; returns FALSE if it may not have one. */
gboolean
dp_slots_acquire (DpSlots *slots, DpTrafficClass class)
{
  if (!dp_slots_can_acquire (slots, class))
    return FALSE;
  slots->queues[class].n_busy++;
  return TRUE;
}

/* Returns whether a new flow of the class may have a slot at once: one is free for the
 * class, and no in-time flow of the same or a higher class is waiting for it. */
gboolean
dp_slots_can_acquire (const DpSlots *slots, DpTrafficClass class)
{
  return n_ahead_ (slots, class) < slots->capacity
         && slots->queues[class].n_busy < class_limit_ (slots, class)
         && !dp_slots_has_waiting (slots, class);
}

/* Releases a slot that a flow of the class held. */
void
dp_slots_release (DpSlots *slots, DpTrafficClass class)
{
  g_assert (slots->queues[class].n_busy > 0);
  slots->queues[class].n_busy--;
}

/* Records that a request of the class started in its slot at now, in us. */
void
dp_slots_request_started (DpSlots *slots, DpTrafficClass class, gint64 now)
{
  const RunningRequest request = { now, class };

  g_array_append_val (slots->running, request);
}

/* Records that a request of the class has ended, and adds its service time, from
 * started_at to end in us, to the means. Does not release the slot. */
void
dp_slots_request_ended (DpSlots *slots,
                        DpTrafficClass class,
                        gint64 started_at,
                        gint64 end)
{
  dp_slots_request_abandoned (slots, class, started_at);
  update_mean_ (&slots->queues[class].service_time, &slots->queues[class].n_samples,
                end - started_at);
  update_mean_ (&slots->service_time, &slots->n_samples, end - started_at);
}

/* Forgets the running request of the class with this start time, in us, without adding a
 * service time to the means. Does not release the slot. */
void
dp_slots_request_abandoned (DpSlots *slots, DpTrafficClass class, gint64 started_at)
{
  for (guint i = 0; i < slots->running->len; i++)
    {
      const RunningRequest *request = &g_array_index (slots->running, RunningRequest, i);

      if (request->started_at != started_at || request->class != class)
        continue;
      g_array_remove_index_fast (slots->running, i);
      return;
    }
}

/* Queues a flow behind the in-time flows of its class. Returns a ticket, which is valid
 * until dp_slots_acquire_next () returns the flow or the ticket is cancelled;
 * DP_HANDLE_NONE if too many flows are waiting. */
DpHandle
dp_slots_enqueue (DpSlots *slots, DpHandle flow, DpTrafficClass class)
{
  const Waiter waiter = { .class = class };

  return enqueue_ (slots, flow, &waiter);
}

/* Queues a late flow, which can no longer be served within its objective but still before
 * its deadline. Returns a ticket as dp_slots_enqueue () does. Late flows go after all
 * in-time flows, except that late urgent flows take turns with the in-time flows of the
 * other classes. Of the late flows of a class the newest goes first: those that have
 * waited longest are near their deadline, and their clients may have given up. */
DpHandle
dp_slots_enqueue_late (DpSlots *slots, DpHandle flow, DpTrafficClass class)
{
  const Waiter waiter = { .class = class, .late = TRUE };

  return enqueue_ (slots, flow, &waiter);
}

/* Removes a flow from its queue; a stale ticket is ignored. */
void
dp_slots_cancel (DpSlots *slots, DpHandle ticket)
{
  Waiter *waiter = dp_handle_table_get (slots->waiters, ticket);
  Waiter *previous;
  Waiter *next;
  Queue *queue;

  if (waiter == NULL)
    return;
  queue = get_queue_ (slots, waiter->class, waiter->late);
  previous = dp_handle_table_get (slots->waiters, waiter->previous);
  next = dp_handle_table_get (slots->waiters, waiter->next);
  if (previous != NULL)
    previous->next = waiter->next;
  else
    queue->first = waiter->next;
  if (next != NULL)
    next->previous = waiter->previous;
  else
    queue->last = waiter->previous;
  queue->n_waiting--;
  dp_handle_table_remove (slots->waiters, ticket);
}

/* Acquires a slot for the waiting flow that is next, by class and then by arrival, and
 * returns that flow; DP_HANDLE_NONE if no waiting flow may have a slot. Late urgent flows
 * take turns with the in-time flows of the other classes, so that neither a backlog of
 * urgent flows nor lasting demand in the other classes starves the other side. */
DpHandle
dp_slots_acquire_next (DpSlots *slots, gint64 now)
{
  DpHandle flow = acquire_in_time_ (slots, DP_TRAFFIC_URGENT);

  if (flow != DP_HANDLE_NONE)
    return flow;
  if (!slots->late_urgent_had_turn)
    {
      flow = acquire_late_ (slots, DP_TRAFFIC_URGENT);
      slots->late_urgent_had_turn = flow != DP_HANDLE_NONE;
      if (slots->late_urgent_had_turn)
        note_turn_ (slots, DP_TRAFFIC_URGENT, now);
    }
  for (guint i = DP_TRAFFIC_URGENT + 1;
       i < DP_N_TRAFFIC_CLASSES && flow == DP_HANDLE_NONE; i++)
    {
      flow = acquire_in_time_ (slots, (DpTrafficClass) i);
      if (flow == DP_HANDLE_NONE)
        continue;
      /* The slot would have gone to a late urgent flow, had one been waiting. */
      note_turn_ (slots, DP_TRAFFIC_URGENT, now);
      slots->late_urgent_had_turn = FALSE;
    }
  for (guint i = DP_TRAFFIC_URGENT; i < DP_N_TRAFFIC_CLASSES && flow == DP_HANDLE_NONE;
       i++)
    {
      flow = acquire_late_ (slots, (DpTrafficClass) i);
      if (flow != DP_HANDLE_NONE)
        note_late_turns_ (slots, (DpTrafficClass) i, now);
    }
  if (flow == DP_HANDLE_NONE)
    note_idle_slots_ (slots, now);
  return flow;
}

/* Returns how long a new flow of the class is expected to wait, in us: until a slot is
 * free and the flows ahead of it have been served. */
gint64
dp_slots_expected_wait (const DpSlots *slots, DpTrafficClass class, gint64 now)
{
  const guint n_late = slots->late_queues[DP_TRAFFIC_URGENT].n_waiting;
  gint64 work = queued_work_ (slots, class);

  if (dp_slots_can_acquire (slots, class))
    return 0;
  if (class > DP_TRAFFIC_URGENT)
    work += MIN (n_late, dp_slots_waiting_in_time (slots) + 1)
            * slots->queues[DP_TRAFFIC_URGENT].service_time;
  return time_until_free_ (slots, class, now)
         + work / MAX (class_limit_ (slots, class), 1);
}

/* Returns how long a new late flow of the class is expected to wait, in us. Flows that
 * arrive later may go first, so that an estimate from the queue alone would be too low
 * under lasting overload. The result is therefore at least the time for which no late
 * flow of the class has got a slot, or could have got one. It keeps growing while the
 * queue is empty because all late flows have given up or been rejected. */
gint64
dp_slots_expected_late_wait (const DpSlots *slots, DpTrafficClass class, gint64 now)
{
  /* In-time flows of all classes go before late ones, except that only those of the
   * urgent class go before late urgent ones. */
  gint64 work = queued_work_ (
      slots, class == DP_TRAFFIC_URGENT ? class : DP_N_TRAFFIC_CLASSES - 1);
  gint64 wait;

  for (guint i = 0; i <= class; i++)
    work += slots->late_queues[i].n_waiting * slots->queues[i].service_time;
  wait = time_until_free_ (slots, class, now)
         + work / MAX (class_limit_ (slots, class), 1);
  wait = MAX (wait,
              (gint64) slots->late_queues[class].n_waiting * slots->late_interval[class]);
  return MAX (wait, dp_slots_saturated_time (slots, class, now));
}

/* Records that a new flow of the class has found no slot at now. The first one of a class
 * starts the count of dp_slots_saturated_time (). */
void
dp_slots_note_demand (DpSlots *slots, DpTrafficClass class, gint64 now)
{
  if (slots->late_turn_at[class] == LATE_TURN_UNKNOWN)
    slots->late_turn_at[class] = now;
}

/* Returns for how long, in us, no late flow of the class has got a slot or could have got
 * one: since then, flows that go before it have kept all slots busy. 0 before the first
 * dp_slots_note_demand () for the class. */
gint64
dp_slots_saturated_time (const DpSlots *slots, DpTrafficClass class, gint64 now)
{
  return slots->late_turn_at[class] == LATE_TURN_UNKNOWN
             ? 0
             : now - slots->late_turn_at[class];
}

/* Returns whether an in-time flow of the same or a higher class is waiting. */
gboolean
dp_slots_has_waiting (const DpSlots *slots, DpTrafficClass class)
{
  return dp_slots_ahead (slots, class) > 0;
}

/* Returns the number of slots in use. */
guint
dp_slots_busy (const DpSlots *slots)
{
  guint n = 0;

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    n += slots->queues[i].n_busy;
  return n;
}

/* Returns the number of in-time flows of all classes that are waiting. */
guint
dp_slots_waiting_in_time (const DpSlots *slots)
{
  guint n = 0;

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    n += slots->queues[i].n_waiting;
  return n;
}

/* Returns the number of in-time flows of the same or a higher class that are waiting. */
guint
dp_slots_ahead (const DpSlots *slots, DpTrafficClass class)
{
  guint n = 0;

  for (guint i = 0; i <= class; i++)
    n += slots->queues[i].n_waiting;
  return n;
}

/* Returns the number of flows of the class that are waiting, late ones included. */
guint
dp_slots_waiting (const DpSlots *slots, DpTrafficClass class)
{
  return slots->queues[class].n_waiting + slots->late_queues[class].n_waiting;
}

static DpHandle
enqueue_ (DpSlots *slots, DpHandle flow, const Waiter *waiter)
{
  Queue *queue = get_queue_ (slots, waiter->class, waiter->late);
  DpHandle ticket = dp_handle_table_add (slots->waiters);
  Waiter *added = dp_handle_table_get (slots->waiters, ticket);

  if (added == NULL)
    return DP_HANDLE_NONE;
  *added = *waiter;
  added->flow = flow;
  if (waiter->late)
    prepend_ (slots, queue, ticket);
  else
    append_ (slots, queue, ticket);
  queue->n_waiting++;
  return ticket;
}

static void
append_ (DpSlots *slots, Queue *queue, DpHandle ticket)
{
  Waiter *added = dp_handle_table_get (slots->waiters, ticket);
  Waiter *last = dp_handle_table_get (slots->waiters, queue->last);

  added->previous = queue->last;
  added->next = DP_HANDLE_NONE;
  if (last != NULL)
    last->next = ticket;
  else
    queue->first = ticket;
  queue->last = ticket;
}

static void
prepend_ (DpSlots *slots, Queue *queue, DpHandle ticket)
{
  Waiter *added = dp_handle_table_get (slots->waiters, ticket);
  Waiter *first = dp_handle_table_get (slots->waiters, queue->first);

  added->previous = DP_HANDLE_NONE;
  added->next = queue->first;
  if (first != NULL)
    first->previous = ticket;
  else
    queue->last = ticket;
  queue->first = ticket;
}

static Queue *
get_queue_ (DpSlots *slots, DpTrafficClass class, gboolean late)
{
  return late ? &slots->late_queues[class] : &slots->queues[class];
}

/* Returns DP_HANDLE_NONE if no flow is waiting or the class may not have a slot. */
static DpHandle
acquire_in_time_ (DpSlots *slots, DpTrafficClass class)
{
  return acquire_for_first_ (slots, &slots->queues[class], class, slots->capacity);
}

static DpHandle
acquire_late_ (DpSlots *slots, DpTrafficClass class)
{
  return acquire_for_first_ (slots, &slots->late_queues[class], class,
                             late_capacity_ (slots, class));
}

/* Late urgent flows may have any slot, other late flows only those within
 * late_capacity. */
static guint
late_capacity_ (const DpSlots *slots, DpTrafficClass class)
{
  return class == DP_TRAFFIC_URGENT ? slots->capacity : slots->late_capacity;
}

/* Records that a late flow of the class got a slot, as late flows of higher classes could
 * have. */
static void
note_late_turns_ (DpSlots *slots, DpTrafficClass class, gint64 now)
{
  for (guint i = 0; i <= class; i++)
    note_turn_ (slots, (DpTrafficClass) i, now);
}

static void
note_turn_ (DpSlots *slots, DpTrafficClass class, gint64 now)
{
  const gint64 interval = dp_slots_saturated_time (slots, class, now);

  slots->late_interval[class] += (interval - slots->late_interval[class]) / MEAN_SAMPLES;
  slots->late_turn_at[class] = now;
}

/* Records slots that no waiting flow wants, which any late flow could have got. */
static void
note_idle_slots_ (DpSlots *slots, gint64 now)
{
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    if (n_at_server_ (slots) < late_capacity_ (slots, (DpTrafficClass) i))
      note_turn_ (slots, (DpTrafficClass) i, now);
}

static DpHandle
acquire_for_first_ (DpSlots *slots,
                    const Queue *queue,
                    DpTrafficClass class,
                    guint capacity)
{
  const Waiter *waiter = dp_handle_table_get (slots->waiters, queue->first);
  DpHandle flow;

  if (waiter == NULL || n_ahead_ (slots, class) >= capacity
      || slots->queues[class].n_busy >= class_limit_ (slots, class))
    return DP_HANDLE_NONE;
  flow = waiter->flow;
  dp_slots_cancel (slots, queue->first);
  slots->queues[class].n_busy++;
  return flow;
}

/* Returns the number of requests that the server has, with or without a slot. */
static guint
n_at_server_ (const DpSlots *slots)
{
  return dp_slots_busy (slots) + slots->n_unscheduled;
}

/* Returns the number of requests that the server has ahead of a new flow of the class. An
 * urgent flow that waited would be overtaken by further requests on open flows, so that
 * only those beyond URGENT_EXCESS_MAX keep it waiting. */
static guint
n_ahead_ (const DpSlots *slots, DpTrafficClass class)
{
  const guint excess = class == DP_TRAFFIC_URGENT
                           ? MIN (slots->n_unscheduled, URGENT_EXCESS_MAX)
                           : 0;

  return n_at_server_ (slots) - excess;
}

/* Returns the sum of the mean service times, in us, of the waiting in-time flows of the
 * class and of higher classes, and of the requests without a slot. */
static gint64
queued_work_ (const DpSlots *slots, DpTrafficClass class)
{
  gint64 work = slots->n_unscheduled * slots->service_time;

  for (guint i = 0; i <= class; i++)
    work += slots->queues[i].n_waiting * slots->queues[i].service_time;
  return work;
}

/* Bulk may not use the last of two or more slots of a mixed service, so that a short
 * request never finds all slots taken by long ones. */
static guint
class_limit_ (const DpSlots *slots, DpTrafficClass class)
{
  if (class == DP_TRAFFIC_BULK && slots->mixed && slots->capacity >= 2)
    return slots->capacity - 1;
  return slots->capacity;
}

/* Returns the expected time until a slot that the class may use becomes free, in us.
 * Service times have a long tail: a request that has run for longer than the mean is
 * expected to run for as long again. The rates at which the individual slots become free
 * are added up. */
static gint64
time_until_free_ (const DpSlots *slots, DpTrafficClass class, gint64 now)
{
  gboolean any_class = dp_slots_busy (slots) >= slots->capacity;
  guint n_reserved = any_class ? dp_slots_busy (slots) : slots->queues[class].n_busy;
  double rate = 0.0; /* slots that become free per us */

  for (guint i = 0; i < slots->running->len; i++)
    {
      const RunningRequest *request = &g_array_index (slots->running, RunningRequest, i);
      gint64 mean = slots->queues[request->class].service_time;

      if (!any_class && request->class != class)
        continue;
      rate += 1.0 / (double) MAX (MAX (now - request->started_at, mean), 1);
      n_reserved -= n_reserved > 0 ? 1 : 0;
    }
  rate += n_reserved / (double) MAX (slots->service_time, 1);
  return rate > 0.0 ? (gint64) (1.0 / rate) : slots->service_time;
}

static void
update_mean_ (gint64 *mean, guint *n, gint64 value)
{
  *n = MIN (*n + 1, MEAN_SAMPLES);
  *mean += (value - *mean) / (gint64) *n;
}
