#include "private/expiry.h"

#include "protected/clock.h"

#define CONNECT_TIMEOUT (3 * DP_US_PER_S)
/* The time after which lwIP gives up on a half-open connection. */
#define HALF_OPEN_TIMEOUT (20 * DP_US_PER_S)
/* Limits the wait for a slot if the server completes no request. A client retransmits its
 * SYN for about as long. */
#define WAITING_TIMEOUT (60 * DP_US_PER_S)
/* How long a slot stays reserved for a flow's first request. */
#define RESERVATION_TIME (1 * DP_US_PER_S)
/* While other flows wait for a slot, a handshake that takes longer than this loses its
 * slot but continues. Far more than a round trip to any client. */
#define HANDSHAKE_TIME_CONTENDED (200 * DP_US_PER_MS)
#define HANDSHAKE_TIME_MIN (1 * DP_US_PER_MS)
/* If there are more half-open flows than slots, handshakes are not being completed, as in
 * a SYN flood. A reservation is then cut to RESERVATION_TIME / (HANDSHAKE_RATE *
 * half-open flows for each slot), so that at least HANDSHAKE_RATE reservations end for
 * each slot in each RESERVATION_TIME. */
#define HANDSHAKE_RATE 16
/* One in this many connections may be half-open. */
#define HALF_OPEN_DIVISOR 4
/* An answer that pauses for this long counts as complete; the shorter time applies while
 * other flows wait for a slot. A server that resumes the answer later handles one request
 * more than it has slots. */
#define RESPONSE_IDLE_TIME (100 * DP_US_PER_MS)
#define RESPONSE_IDLE_TIME_CONTENDED (10 * DP_US_PER_MS)

static gint64 timeout_ (const DpFlowEngine *engine, DpTimer timer);
static gint64 handshake_time_ (const DpFlowEngine *engine);
static DpReason waiting_reason_ (const DpFlowEngine *engine, gint64 now);
static void expire_ (DpFlowEngine *engine,
                     DpHandle handle,
                     DpTimer timer,
                     gint64 now,
                     DpActions *actions);

/* Expires all timers that are due by now, and gives free slots to waiting flows. */
void
dp_flow_engine_tick (DpFlowEngine *engine, gint64 now, DpActions *actions)
{
  for (guint i = 0; i < DP_N_TIMERS; i++)
    {
      DpTimer timer = (DpTimer) i;
      DpHandle handle;
      gint64 since = 0;

      while ((handle = dp_flows_oldest_timer (engine->flows, timer, &since))
             != DP_HANDLE_NONE)
        {
          if (now - since < timeout_ (engine, timer))
            break;
          expire_ (engine, handle, timer, now, actions);
        }
    }
  dp_expiry_dispatch (engine, now, actions);
}

/* Returns the time at which dp_flow_engine_tick () is due, in us: a past time if it is
 * due at once, G_MAXINT64 if nothing is pending. Any other call may make it earlier. */
gint64
dp_flow_engine_next_deadline (DpFlowEngine *engine)
{
  gint64 deadline = G_MAXINT64;

  if (engine->dispatch_due
      && dp_slots_has_waiting (engine->slots, DP_N_TRAFFIC_CLASSES - 1))
    return 0;
  for (guint i = 0; i < DP_N_TIMERS; i++)
    {
      DpTimer timer = (DpTimer) i;
      gint64 since;

      if (dp_flows_oldest_timer (engine->flows, timer, &since) == DP_HANDLE_NONE)
        continue;
      deadline = MIN (deadline, since + timeout_ (engine, timer));
    }
  return deadline;
}

/* Ends a flow from this side: refuses it while its SYN is held, removes it silently while
 * it is half-open, and resets it otherwise. */
void
dp_expiry_end (DpFlowEngine *engine,
               DpHandle handle,
               DpReason reason,
               gint64 now,
               DpActions *actions)
{
  const DpFlow *flow = dp_flows_get (engine->flows, handle);
  DpActionType type = DP_ACTION_ABORT;

  if (flow->held_header != NULL
      || (flow->request_sent && engine->mutant == DP_MUTANT_REFUSE_DELIVERED))
    type = DP_ACTION_REFUSE;
  else if (flow->state == DP_FLOW_HALF_OPEN)
    type = DP_ACTION_FORGET;
  dp_actions_add (actions, type, reason)->flow = handle;
  dp_admission_remove (engine, handle, now);
}

/* Ends the oldest half-open flows above the limit, which is 1 / HALF_OPEN_DIVISOR of the
 * connections, but at least the number of slots. In a SYN flood the other connections
 * thus stay free for clients that complete their handshakes. */
void
dp_expiry_limit_half_open (DpFlowEngine *engine, gint64 now, DpActions *actions)
{
  guint max = MAX (engine->limits.connections / HALF_OPEN_DIVISOR, engine->limits.slots);
  DpHandle oldest;
  gint64 since;

  while (engine->n_in_state[DP_FLOW_HALF_OPEN] > max
         && (oldest = dp_flows_oldest_timer (engine->flows, DP_TIMER_HALF_OPEN, &since))
                != DP_HANDLE_NONE)
    expire_ (engine, oldest, DP_TIMER_HALF_OPEN, now, actions);
}

/* Gives free slots to waiting flows. If this member accepts no new flows, the waiting
 * SYNs are first forwarded to other members or refused. */
void
dp_expiry_dispatch (DpFlowEngine *engine, gint64 now, DpActions *actions)
{
  DpHandle handle;
  gint64 since;

  engine->dispatch_due = FALSE;
  while (!dp_admission_accepts_flows (engine, now)
         && (handle = dp_flows_oldest_timer (engine->flows, DP_TIMER_WAITING, &since))
                != DP_HANDLE_NONE)
    expire_ (engine, handle, DP_TIMER_WAITING, now, actions);
  while ((handle = dp_slots_acquire_next (engine->slots, now)) != DP_HANDLE_NONE)
    {
      DpFlow *flow = dp_flows_get (engine->flows, handle);

      if (flow->state == DP_FLOW_ESTABLISHED)
        {
          flow->slot_state = DP_SLOT_BUSY;
          flow->busy_since = now;
          dp_slots_request_started (engine->slots, (DpTrafficClass) flow->class, now);
          flow->request_sent = TRUE;
          dp_flows_start_timer (engine->flows, handle, DP_TIMER_NO_ANSWER, now);
          dp_actions_add (actions, DP_ACTION_GRANT, DP_REASON_NONE)->flow = handle;
          continue;
        }
      flow->slot_state = DP_SLOT_RESERVED;
      dp_admission_set_state (engine, flow, DP_FLOW_CONNECTING);
      dp_flows_start_timer (engine->flows, handle, DP_TIMER_CONNECT, now);
      dp_flows_start_timer (engine->flows, handle, DP_TIMER_RESERVATION, now);
      dp_actions_add (actions, DP_ACTION_CONNECT, DP_REASON_NONE)->flow = handle;
    }
}

static gint64
timeout_ (const DpFlowEngine *engine, DpTimer timer)
{
  switch (timer)
    {
    case DP_TIMER_WAITING:
      return WAITING_TIMEOUT;
    case DP_TIMER_CONNECT:
      return CONNECT_TIMEOUT;
    case DP_TIMER_HALF_OPEN:
      return HALF_OPEN_TIMEOUT;
    case DP_TIMER_IDLE:
      return engine->limits.idle_timeout;
    case DP_TIMER_HANDSHAKE:
      return handshake_time_ (engine);
    case DP_TIMER_RESERVATION:
      return RESERVATION_TIME;
    case DP_TIMER_RESPONSE:
      return dp_slots_has_waiting (engine->slots, DP_N_TRAFFIC_CLASSES - 1)
                 ? RESPONSE_IDLE_TIME_CONTENDED
                 : RESPONSE_IDLE_TIME;
    case DP_TIMER_NO_ANSWER:
    case DP_TIMER_PROGRESS:
      return engine->limits.progress_timeout;
    case DP_N_TIMERS:
    default:
      g_assert_not_reached ();
    }
}

/* Returns how long a half-open flow keeps its slot. While other flows wait for a slot,
 * the time gets shorter the more flows are half-open, so that SYNs without a completed
 * handshake don't occupy the slots. */
static gint64
handshake_time_ (const DpFlowEngine *engine)
{
  gint64 n_slots = engine->limits.slots;
  gint64 n_half_open = engine->n_in_state[DP_FLOW_HALF_OPEN];

  if (!dp_slots_has_waiting (engine->slots, DP_N_TRAFFIC_CLASSES - 1))
    return RESERVATION_TIME;
  if (n_half_open <= n_slots)
    return HANDSHAKE_TIME_CONTENDED;
  return CLAMP (RESERVATION_TIME * n_slots / (HANDSHAKE_RATE * n_half_open),
                HANDSHAKE_TIME_MIN, HANDSHAKE_TIME_CONTENDED);
}

/* Returns the reason for which a SYN that stops waiting here for a slot is forwarded or
 * refused. */
static DpReason
waiting_reason_ (const DpFlowEngine *engine, gint64 now)
{
  if (engine->leaving)
    return DP_REASON_LEAVING;
  if (!engine->server_up)
    return DP_REASON_NO_SERVER;
  if (!dp_admission_known_everywhere (engine, now))
    return DP_REASON_UNSETTLED;
  return DP_REASON_WAIT_LIMIT;
}

/* Acts on an expired timer of the flow. Always removes the flow from that timer's list,
 * as callers expire the head of the list in a loop. */
static void
expire_ (DpFlowEngine *engine,
         DpHandle handle,
         DpTimer timer,
         gint64 now,
         DpActions *actions)
{
  switch (timer)
    {
    case DP_TIMER_WAITING:
      dp_admission_forward_held (engine, handle, waiting_reason_ (engine, now), now,
                                 actions);
      break;
    case DP_TIMER_CONNECT:
      dp_admission_forward_held (engine, handle, DP_REASON_NO_SERVER, now, actions);
      break;
    case DP_TIMER_HALF_OPEN:
      dp_expiry_end (engine, handle, DP_REASON_HALF_OPEN, now, actions);
      break;
    case DP_TIMER_IDLE:
      dp_expiry_end (engine, handle, DP_REASON_IDLE_TIMEOUT, now, actions);
      break;
    case DP_TIMER_PROGRESS:
      dp_expiry_end (engine, handle, DP_REASON_PROGRESS_TIMEOUT, now, actions);
      break;
    case DP_TIMER_HANDSHAKE:
    case DP_TIMER_RESERVATION:
    case DP_TIMER_RESPONSE:
    case DP_TIMER_NO_ANSWER:
      dp_admission_release_slot (engine, handle, now);
      break;
    case DP_N_TIMERS:
    default:
      g_assert_not_reached ();
    }
}
