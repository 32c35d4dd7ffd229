/* Fuzzes datagrams from outside: the data header, the IP packet, then the companion's
 * decision. The same input is also run as a script, so that packets reach flows in every
 * state and not only unknown flows. Each step has 4 bytes: operation, client and two
 * arguments. */
#include <stddef.h>
#include <stdint.h>

#include "protected/clock.h"
#include "protected/flowengine.h"

#define N_CLIENTS 8
#define STEP_SIZE 4 /* bytes */
#define SERVICE_IP 0x0a4d0001
#define CONNECTIONS 12   /* limit of the server and of each member */
#define INITIAL_SEQ 1000 /* of every SYN-ACK */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

typedef enum
{
  OP_SYN,
  OP_PACKET,
  OP_ACK,
  OP_CONNECTED,
  OP_FAILED,
  OP_ESTABLISHED,
  OP_REQUEST,
  OP_RESPONSE,
  OP_PROGRESS,
  OP_CLOSED,
  OP_ADVANCE,
  OP_LEAVING,
  OP_SERVER_UP,
  OP_VIEW,
  OP_CONNECTION,
  N_OPS
} Op;

typedef struct
{
  DpFlowEngine *engine;
  DpActions actions;
  gint64 now;
  guint64 revision;
} Script;

static DpMemberView *
create_view (guint64 revision, guint8 states)
{
  DpMember members[3] = { { 0 } };

  for (guint i = 0; i < G_N_ELEMENTS (members); i++)
    {
      members[i].name = (char *[]){ "a", "b", "c" }[i];
      members[i].zone = (char *[]){ "x", "y", "z" }[i];
      members[i].id = dp_member_id (members[i].name);
      members[i].address = (DpAddress){ 0x7f010101 + i, 7000 };
      members[i].slots = 4;
      members[i].connections = CONNECTIONS;
      members[i].state = (DpMemberState) ((states >> (2 * i)) % DP_N_MEMBER_STATES);
      members[i].incarnation = 1 + (states >> 7);
    }
  return dp_member_view_new ("s", revision, members, 1 + states % G_N_ELEMENTS (members));
}

static void
set_view (Script *script, guint8 states)
{
  DpMemberView *view = create_view (++script->revision, states);

  dp_flow_engine_set_view (script->engine, view, script->now);
  dp_member_view_unref (view);
}

static void
script_init (Script *script)
{
  const DpServiceAddress addresses[] = {
    { { SERVICE_IP, 80 }, DP_TRAFFIC_INTERACTIVE, 2 * DP_US_PER_S },
    { { SERVICE_IP, 81 }, DP_TRAFFIC_URGENT, 2 * DP_US_PER_S },
    { { SERVICE_IP, 82 }, DP_TRAFFIC_BULK, 2 * DP_US_PER_S },
  };
  const DpFlowEngineLimits limits = { .slots = 4,
                                      .connections = CONNECTIONS,
                                      .visits = 4,
                                      .idle_timeout = 10 * DP_US_PER_S,
                                      .progress_timeout = 5 * DP_US_PER_S,
                                      .settle_time = 5 * DP_US_PER_S };

  *script = (Script){ .engine = dp_flow_engine_new ("s", dp_member_id ("a")) };
  dp_actions_init (&script->actions);
  dp_flow_engine_set_limits (script->engine, &limits);
  dp_flow_engine_set_addresses (script->engine, addresses, G_N_ELEMENTS (addresses));
  set_view (script, DP_MEMBER_ACTIVE);
  dp_flow_engine_set_receiving_views (script->engine, TRUE, 0);
  dp_flow_engine_set_server_up (script->engine, TRUE, 0);
  script->now = 6 * DP_US_PER_S;
}

/* Returns a segment of the step's client. The client's number also selects the service
 * address and the sequence number. */
static DpSegment
make_segment (const uint8_t *step, guint8 flags)
{
  guint client = step[1] % N_CLIENTS;
  DpSegment segment = { .key = { { 0xc6336400 + client, 4000 },
                                 { SERVICE_IP, (guint16) (80 + client % 3) } },
                        .seq = client,
                        .flags = flags };

  segment.hash = dp_flow_key_hash (&segment.key);
  return segment;
}

static void
send_segment (Script *script, const uint8_t *step, const DpSegment *segment)
{
  DpHeader header = { .service_id = dp_service_id ("s"), .revision = step[3] % 4 };

  if ((step[1] & 0x80) != 0)
    {
      header.n_visited = step[3] % (DP_VISITED_MAX + 1);
      for (guint i = 0; i < header.n_visited; i++)
        header.visited[i] = i == 0 ? dp_member_id ((step[1] & 0x40) != 0 ? "a" : "b") : i;
      header.best_member = dp_member_id ((step[1] & 0x20) != 0 ? "a" : "c");
    }
  dp_flow_engine_packet (script->engine, &header, segment, script->now, &script->actions);
}

/* Reports an event of the client's flow to the flow engine. A client without a flow gives
 * DP_HANDLE_NONE, which the flow engine must accept. */
static void
report_flow_event (Script *script, Op op, const uint8_t *step)
{
  DpFlowEngine *engine = script->engine;
  DpSegment segment = make_segment (step, 0);
  DpHandle flow = dp_flow_engine_find (engine, &segment.key);

  if (op == OP_CONNECTED)
    {
      dp_flow_engine_server_connected (engine, flow, script->now, &script->actions);
      dp_flow_engine_syn_answered (engine, flow, INITIAL_SEQ, script->now);
    }
  else if (op == OP_FAILED)
    dp_flow_engine_server_failed (engine, flow, script->now, &script->actions);
  else if (op == OP_ESTABLISHED)
    dp_flow_engine_established (engine, flow, script->now);
  else if (op == OP_REQUEST)
    dp_flow_engine_request (engine, flow, step[2], script->now);
  else if (op == OP_RESPONSE)
    dp_flow_engine_response (engine, flow, step[2], step[3], script->now);
  else if (op == OP_PROGRESS)
    dp_flow_engine_progress (engine, flow, script->now);
  else
    dp_flow_engine_closed (engine, flow, script->now, &script->actions);
}

static void
run_step (Script *script, const uint8_t *step)
{
  DpFlowEngine *engine = script->engine;
  Op op = (Op) (step[0] % N_OPS);
  DpSegment segment = make_segment (step, op == OP_SYN ? DP_TCP_SYN : DP_TCP_ACK);

  if (op == OP_PACKET)
    {
      segment.flags = step[2];
      segment.seq = step[3];
    }
  segment.ack = INITIAL_SEQ + 1;
  if (op == OP_SYN || op == OP_PACKET || op == OP_ACK)
    send_segment (script, step, &segment);
  else if (op < OP_ADVANCE)
    report_flow_event (script, op, step);
  else if (op == OP_ADVANCE)
    script->now += step[2] * 100 * DP_US_PER_MS + step[3] * DP_US_PER_MS;
  else if (op == OP_LEAVING)
    dp_flow_engine_set_leaving (engine, step[2] & 1, script->now);
  else if (op == OP_SERVER_UP)
    dp_flow_engine_set_server_up (engine, step[2] & 1, script->now);
  else if (op == OP_VIEW)
    set_view (script, step[2]);
  else
    dp_flow_engine_set_receiving_views (engine, step[2] & 1, script->now);
  dp_flow_engine_tick (engine, script->now, &script->actions);
  if (dp_flow_engine_next_deadline (engine) < script->now)
    g_error ("a deadline in the past is left after the tick");
  dp_actions_clear (&script->actions);
}

/* Checks that the connection limit was kept and that aborting all flows leaves no flow
 * and no busy slot behind. */
static void
script_finish (Script *script)
{
  DpFlowEngineLoad load = dp_flow_engine_load (script->engine);

  if (load.flows > CONNECTIONS)
    g_error ("the connection limit is exceeded");
  dp_flow_engine_abort_all (script->engine, DP_REASON_DRAIN_DEADLINE, &script->actions);
  load = dp_flow_engine_load (script->engine);
  if (load.flows != 0 || load.half_open != 0 || load.slots_busy != 0)
    g_error ("flows or slots are left after all flows were aborted");
  dp_actions_finish (&script->actions);
  dp_flow_engine_free (script->engine);
}

/* Handles the input as a datagram from the network: first as it is, then with the
 * companion's own service and address in place of those of the input. */
static void
check_datagram (Script *script, const uint8_t *data, size_t size)
{
  guint8 reset[DP_PACKET_MAX];
  DpHeader header;
  DpSegment segment;
  gsize length;

  if (dp_segment_parse (data, size, &segment, NULL))
    dp_segment_make_reset (&segment, reset);
  if (!dp_header_decode (&header, data, size, &length, NULL)
      || !dp_segment_parse (data + length, size - length, &segment, NULL))
    return;
  dp_flow_engine_packet (script->engine, &header, &segment, script->now,
                         &script->actions);
  header.service_id = dp_service_id ("s");
  segment.key.service = (DpAddress){ SERVICE_IP, 80 };
  segment.hash = dp_flow_key_hash (&segment.key);
  dp_flow_engine_packet (script->engine, &header, &segment, script->now,
                         &script->actions);
  dp_flow_engine_tick (script->engine, script->now, &script->actions);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  Script script;

  script_init (&script);
  check_datagram (&script, data, size);
  for (size_t offset = 0; offset + STEP_SIZE <= size; offset += STEP_SIZE)
    run_step (&script, data + offset);
  script_finish (&script);
  return 0;
}
