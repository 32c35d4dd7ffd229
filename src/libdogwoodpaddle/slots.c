#include "protected/slots.h"

#include <string.h>

#include "protected/clock.h"

/* Assumed for a class until the first request of it has ended. */
#define FIRST_SERVICE_TIME (100 * DP_US_PER_MS)
/* Weight of the newest service time in the moving mean, once there are as many: 1/8. The
 * first ones count evenly, so that a process that has just started soon knows. */
#define MEAN_OF 8

typedef struct
{
  DpHandle flow;
  DpHandle previous;
  DpHandle next;
  DpTrafficClass class;
  gboolean late; /* waits behind those that can be served in time */
} Waiter;

typedef struct
{
  DpHandle first;
  DpHandle last;
  guint n_waiting;
  guint n_busy;
  gint64 service_time; /* us, moving mean */
  guint n_ended;       /* service times in it, MEAN_OF at most */
  gint64 turn_at;      /* us, when a late flow had its turn, or since when one waits */
} Queue;

/* A request that the server works on. */
typedef struct
{
  gint64 since; /* us */
  DpTrafficClass class;
} Work;

struct _DpSlots
{
  GArray *running; /* Work, at most one for each busy slot */
  DpHandleTable *waiters;
  Queue queues[DP_N_TRAFFIC_CLASSES];
  Queue late[DP_N_TRAFFIC_CLASSES]; /* n_busy and service_time are not used */
  guint capacity;
  guint late_capacity;      /* slots that late flows may have in use, with all others */
  gboolean late_urgent_had; /* of late urgent flows and others, the former had a turn */
  gboolean mixed;
  gint64 service_time; /* us, moving mean over all classes */
  guint n_ended;       /* service times in it, MEAN_OF at most */
};

static DpHandle enqueue_ (DpSlots *slots, DpHandle flow, const Waiter *waiter);
static void append_ (DpSlots *slots, Queue *queue, DpHandle ticket);
static void prepend_ (DpSlots *slots, Queue *queue, DpHandle ticket);
static Queue *queue_of_ (DpSlots *slots, DpTrafficClass class, gboolean late);
static DpHandle take_first_ (DpSlots *slots, DpTrafficClass class);
static DpHandle take_late_ (DpSlots *slots, DpTrafficClass class, gint64 now);
static DpHandle
take_ (DpSlots *slots, const Queue *queue, DpTrafficClass class, guint capacity);
static gint64 queued_work_ (const DpSlots *slots, DpTrafficClass class);
static guint class_limit_ (const DpSlots *slots, DpTrafficClass class);
static gint64 next_free_ (const DpSlots *slots, DpTrafficClass class, gint64 now);
static void update_mean_ (gint64 *mean, guint *n, gint64 value);

static const char *const class_strings_[] = { "urgent", "interactive", "bulk" };

G_STATIC_ASSERT (G_N_ELEMENTS (class_strings_) == DP_N_TRAFFIC_CLASSES);

/* Returns the class's name. */
const char *
dp_traffic_class_string (DpTrafficClass class)
{
  g_assert (class < DP_N_TRAFFIC_CLASSES);
  return class_strings_[class];
}

/* Finds a class by its name. */
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

/* Creates a scheduler without slots, for at most max_waiting waiting flows. */
DpSlots *
dp_slots_new (guint max_waiting)
{
  DpSlots *slots = g_new0 (DpSlots, 1);

  slots->waiters = dp_handle_table_new (sizeof (Waiter), max_waiting);
  slots->running = g_array_new (FALSE, FALSE, sizeof (Work));
  slots->service_time = FIRST_SERVICE_TIME;
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    slots->queues[i].service_time = FIRST_SERVICE_TIME;
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

/* Sets the number of slots. mixed: the service has other classes than bulk, for which
 * one of two or more slots is kept from bulk. Slots in use beyond a lower number are not
 * taken away. */
void
dp_slots_set_capacity (DpSlots *slots, guint capacity, gboolean mixed)
{
  slots->capacity = capacity;
  slots->late_capacity = capacity;
  slots->mixed = mixed;
}

/* Lets late flows have a slot only while fewer than so many are in use. */
void
dp_slots_set_late_capacity (DpSlots *slots, guint capacity)
{
  slots->late_capacity = MIN (capacity, slots->capacity);
}

/* Takes a slot if one is free for the class. */
gboolean
dp_slots_acquire (DpSlots *slots, DpTrafficClass class)
{
  if (!dp_slots_can_acquire (slots, class))
    return FALSE;
  slots->queues[class].n_busy++;
  return TRUE;
}

/* Returns whether a slot is free for a newcomer of the class. A waiting flow of the same
 * or a better class goes first. */
gboolean
dp_slots_can_acquire (const DpSlots *slots, DpTrafficClass class)
{
  return dp_slots_busy (slots) < slots->capacity
         && slots->queues[class].n_busy < class_limit_ (slots, class)
         && !dp_slots_has_waiting (slots, class);
}

/* Gives a slot back that a flow of the class had. */
void
dp_slots_release (DpSlots *slots, DpTrafficClass class)
{
  g_assert (slots->queues[class].n_busy > 0);
  slots->queues[class].n_busy--;
}

/* A request of the class began to occupy its slot. */
void
dp_slots_request_started (DpSlots *slots, DpTrafficClass class, gint64 now)
{
  const Work work = { now, class };

  g_array_append_val (slots->running, work);
}

/* The request of the class that began at since, in us, has ended. */
void
dp_slots_request_ended (DpSlots *slots, DpTrafficClass class, gint64 since, gint64 end)
{
  dp_slots_request_abandoned (slots, class, since);
  update_mean_ (&slots->queues[class].service_time, &slots->queues[class].n_ended,
                end - since);
  update_mean_ (&slots->service_time, &slots->n_ended, end - since);
}

/* The request of the class that began at since, in us, no longer counts. Unlike an ended
 * one, it says nothing about service times. */
void
dp_slots_request_abandoned (DpSlots *slots, DpTrafficClass class, gint64 since)
{
  for (guint i = 0; i < slots->running->len; i++)
    {
      const Work *work = &g_array_index (slots->running, Work, i);

      if (work->since != since || work->class != class)
        continue;
      g_array_remove_index_fast (slots->running, i);
      return;
    }
}

/* Queues a flow behind those of its class; DP_HANDLE_NONE if too many are waiting. The
 * ticket is valid until the flow is returned by dp_slots_acquire_next (). */
DpHandle
dp_slots_enqueue (DpSlots *slots, DpHandle flow, DpTrafficClass class)
{
  const Waiter waiter = { .class = class };

  return enqueue_ (slots, flow, &waiter);
}

/* Queues a flow that can no longer be served within its objective, but before its
 * deadline. It goes behind all flows that can, except that late urgent flows take turns
 * with the other classes. The newest one goes first: those that have waited for long are
 * near their deadline, and their clients may have left. */
DpHandle
dp_slots_enqueue_late (DpSlots *slots, DpHandle flow, DpTrafficClass class, gint64 now)
{
  const Waiter waiter = { .class = class, .late = TRUE };

  if (slots->late[class].n_waiting == 0)
    slots->late[class].turn_at = now;
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
  queue = queue_of_ (slots, waiter->class, waiter->late);
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

/* Takes a slot for the flow whose turn it is, by class and then by arrival, and returns
 * the flow; DP_HANDLE_NONE if none may have a slot. Late urgent flows take turns with the
 * other classes, so that neither a backlog of reports nor lasting demand for the others
 * stops the other one. */
DpHandle
dp_slots_acquire_next (DpSlots *slots, gint64 now)
{
  DpHandle flow = take_first_ (slots, DP_TRAFFIC_URGENT);

  if (flow != DP_HANDLE_NONE)
    return flow;
  if (!slots->late_urgent_had)
    {
      flow = take_late_ (slots, DP_TRAFFIC_URGENT, now);
      slots->late_urgent_had = flow != DP_HANDLE_NONE;
    }
  for (guint i = DP_TRAFFIC_URGENT + 1;
       i < DP_N_TRAFFIC_CLASSES && flow == DP_HANDLE_NONE; i++)
    {
      flow = take_first_ (slots, (DpTrafficClass) i);
      if (flow != DP_HANDLE_NONE)
        slots->late_urgent_had = FALSE;
    }
  for (guint i = DP_TRAFFIC_URGENT; i < DP_N_TRAFFIC_CLASSES && flow == DP_HANDLE_NONE;
       i++)
    flow = take_late_ (slots, (DpTrafficClass) i, now);
  return flow;
}

/* Returns how long a newcomer of the class is expected to wait, in us: until a slot is
 * free and those before it are served. */
gint64
dp_slots_expected_wait (const DpSlots *slots, DpTrafficClass class, gint64 now)
{
  const guint n_late = slots->late[DP_TRAFFIC_URGENT].n_waiting;
  gint64 work = queued_work_ (slots, class);

  if (dp_slots_can_acquire (slots, class))
    return 0;
  if (class > DP_TRAFFIC_URGENT)
    work += MIN (n_late, dp_slots_waiting_in_time (slots) + 1)
            * slots->queues[DP_TRAFFIC_URGENT].service_time;
  return next_free_ (slots, class, now) + work / MAX (class_limit_ (slots, class), 1);
}

/* Returns how long a late newcomer of the class is expected to wait, in us. Flows that
 * arrive later may go first, so that the estimate is too low under lasting overload; the
 * time for which no late flow has had its turn shows that. */
gint64
dp_slots_expected_late_wait (DpSlots *slots, DpTrafficClass class, gint64 now)
{
  const Queue *queue = &slots->late[class];
  /* All that can be served in time go before the late ones, but for late urgent ones. */
  gint64 work = queued_work_ (
      slots, class == DP_TRAFFIC_URGENT ? class : DP_N_TRAFFIC_CLASSES - 1);
  gint64 wait;

  for (guint i = 0; i <= class; i++)
    work += slots->late[i].n_waiting * slots->queues[i].service_time;
  wait = next_free_ (slots, class, now) + work / MAX (class_limit_ (slots, class), 1);
  return queue->n_waiting == 0 ? wait : MAX (wait, now - queue->turn_at);
}

/* Returns whether a flow of the same or a better class that can be served in time is
 * waiting. */
gboolean
dp_slots_has_waiting (const DpSlots *slots, DpTrafficClass class)
{
  for (guint i = 0; i <= class; i++)
    {
      if (slots->queues[i].n_waiting > 0)
        return TRUE;
    }
  return FALSE;
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

/* Returns the number of waiting flows of all classes that can be served in time. */
guint
dp_slots_waiting_in_time (const DpSlots *slots)
{
  guint n = 0;

  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    n += slots->queues[i].n_waiting;
  return n;
}

/* Returns the number of flows of the class that are waiting. */
guint
dp_slots_waiting (const DpSlots *slots, DpTrafficClass class)
{
  return slots->queues[class].n_waiting + slots->late[class].n_waiting;
}

static DpHandle
enqueue_ (DpSlots *slots, DpHandle flow, const Waiter *waiter)
{
  Queue *queue = queue_of_ (slots, waiter->class, waiter->late);
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
queue_of_ (DpSlots *slots, DpTrafficClass class, gboolean late)
{
  return late ? &slots->late[class] : &slots->queues[class];
}

/* DP_HANDLE_NONE if none waits or the class may have no slot. */
static DpHandle
take_first_ (DpSlots *slots, DpTrafficClass class)
{
  return take_ (slots, &slots->queues[class], class, slots->capacity);
}

/* Of the late flows only the urgent ones may have any slot. */
static DpHandle
take_late_ (DpSlots *slots, DpTrafficClass class, gint64 now)
{
  const guint capacity = class == DP_TRAFFIC_URGENT ? slots->capacity
                                                    : slots->late_capacity;
  DpHandle flow = take_ (slots, &slots->late[class], class, capacity);

  if (flow != DP_HANDLE_NONE)
    slots->late[class].turn_at = now;
  return flow;
}

static DpHandle
take_ (DpSlots *slots, const Queue *queue, DpTrafficClass class, guint capacity)
{
  const Waiter *waiter = dp_handle_table_get (slots->waiters, queue->first);
  DpHandle flow;

  if (waiter == NULL || dp_slots_busy (slots) >= capacity
      || slots->queues[class].n_busy >= class_limit_ (slots, class))
    return DP_HANDLE_NONE;
  flow = waiter->flow;
  dp_slots_cancel (slots, queue->first);
  slots->queues[class].n_busy++;
  return flow;
}

/* Returns the service times of the waiting flows of the class and better ones that can be
 * served in time, in us. */
static gint64
queued_work_ (const DpSlots *slots, DpTrafficClass class)
{
  gint64 work = 0;

  for (guint i = 0; i <= class; i++)
    work += slots->queues[i].n_waiting * slots->queues[i].service_time;
  return work;
}

/* Bulk never holds the last slot of a mixed service, so that short work never waits for
 * long work alone. */
static guint
class_limit_ (const DpSlots *slots, DpTrafficClass class)
{
  if (class == DP_TRAFFIC_BULK && slots->mixed && slots->capacity >= 2)
    return slots->capacity - 1;
  return slots->capacity;
}

/* Service times have long tails: a request that has run for longer than the mean is
 * expected to run for as long again. The slots' rates of becoming free add up. */
static gint64
next_free_ (const DpSlots *slots, DpTrafficClass class, gint64 now)
{
  gboolean any_class = dp_slots_busy (slots) >= slots->capacity;
  guint n_reserved = any_class ? dp_slots_busy (slots) : slots->queues[class].n_busy;
  double rate = 0.0; /* slots that become free in a us */

  for (guint i = 0; i < slots->running->len; i++)
    {
      const Work *work = &g_array_index (slots->running, Work, i);
      gint64 mean = slots->queues[work->class].service_time;

      if (!any_class && work->class != class)
        continue;
      rate += 1.0 / (double) MAX (MAX (now - work->since, mean), 1);
      n_reserved -= n_reserved > 0 ? 1 : 0;
    }
  rate += n_reserved / (double) MAX (slots->service_time, 1);
  return rate > 0.0 ? (gint64) (1.0 / rate) : slots->service_time;
}

static void
update_mean_ (gint64 *mean, guint *n, gint64 value)
{
  *n = MIN (*n + 1, MEAN_OF);
  *mean += (value - *mean) / (gint64) *n;
}
