/* Guards against flows that are lost, run at two servers or reach a server of another
 * service while members join and leave and their views differ. */
#include "members.h"

#define ISN 5000

static void
test_handshake (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
  DpHandle flow;
  guint owner;

  members_init (&m, 5);
  owner = members_first (&m, &syn);
  members_send (&m, owner, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_HOLD);
  flow = m.last_action.flow;
  members_send (&m, owner, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_ALREADY_HELD);
  ack.ack = ISN + 1;
  members_send (&m, owner, &ack);
  CU_ASSERT_NOT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);

  dp_flow_engine_server_connected (m.engines[owner], flow, m.now, &m.actions);
  members_send (&m, owner, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
  dp_flow_engine_syn_answered (m.engines[owner], flow, ISN, m.now);
  members_send (&m, owner, &ack);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
  CU_ASSERT_EQUAL (m.last_action.flow, flow);
  CU_ASSERT_EQUAL (dp_flow_engine_load (m.engines[owner]).half_open, 1);
  dp_flow_engine_established (m.engines[owner], flow, m.now);
  CU_ASSERT_EQUAL (dp_flow_engine_load (m.engines[owner]).half_open, 0);
  members_send (&m, owner, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
  CU_ASSERT_EQUAL (m.last_action.flow, flow);
  members_finish (&m);
}

/* Two members have a half-open flow for the same SYN; the client's ACK fits only one. */
static void
test_ack_of_another (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
  guint first;
  guint other;

  members_init (&m, 5);
  first = members_first (&m, &syn);
  other = (first + 1) % 5;
  members_open (&m, &syn, ISN);
  members_send (&m, other, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_HOLD);
  dp_flow_engine_server_connected (m.engines[other], m.last_action.flow, m.now,
                                   &m.actions);
  dp_flow_engine_syn_answered (m.engines[other], m.last_action.flow, ISN + 77, m.now);

  ack.ack = ISN + 78;
  members_send (&m, first, &ack);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
  CU_ASSERT_EQUAL (m.last_member, other);
  ack.ack = ISN + 1;
  members_send (&m, other, &ack);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
  CU_ASSERT_EQUAL (m.last_member, first);
  ack.ack = ISN + 2;
  members_send (&m, first, &ack);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_RESET);
  members_finish (&m);
}

/* A client that aborts before it completes the handshake ends the half-open flow. */
static void
test_reset_of_half_open (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpSegment rst = members_segment (1, &interactive_, DP_TCP_RST);
  guint first;

  members_init (&m, 3);
  first = members_first (&m, &syn);
  members_open (&m, &syn, ISN);
  rst.seq = 4711;
  members_send (&m, first, &rst);
  CU_ASSERT_EQUAL (dp_flow_engine_load (m.engines[first]).flows, 1);
  rst.seq = syn.seq + 1;
  members_send (&m, first, &rst);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (dp_flow_engine_load (m.engines[first]).flows, 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (m.engines[first]).slots_busy, 0);
  members_finish (&m);
}

static void
test_other_service (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpAddress unknown = { 0x0a4d0009, 80 };
  DpSegment elsewhere = members_segment (1, &unknown, DP_TCP_SYN);
  DpHeader header;
  guint first;

  members_init (&m, 2);
  first = members_first (&m, &syn);
  header = members_header (&m, first);
  header.service_id++;
  members_follow (&m, first, header, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_WRONG_SERVICE);
  members_send (&m, first, &elsewhere);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_WRONG_SERVICE);
  /* Packets with another service's id don't reach an established flow either. */
  members_establish (&m, &syn, ISN);
  members_follow (&m, first, header, &syn);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_WRONG_SERVICE);
  members_finish (&m);
}

static void
test_reset_only_if_settled (void)
{
  Members m;
  DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
  DpSegment rst = members_segment (1, &interactive_, DP_TCP_RST);
  DpHeader header;
  guint last;

  members_init (&m, 4);
  members_send (&m, 0, &ack);
  CU_ASSERT_EQUAL (m.n_hops, 4);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_RESET);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_UNKNOWN_FLOW);
  last = m.last_member;
  members_send (&m, 0, &rst);
  CU_ASSERT_EQUAL (m.n_hops, 4);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_UNKNOWN_FLOW);

  header = members_header (&m, 0);
  header.revision = 2;
  members_follow (&m, 0, header, &ack);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_UNSETTLED);
  dp_flow_engine_set_receiving_views (m.engines[last], FALSE, m.now);
  members_send (&m, 0, &ack);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_UNSETTLED);
  dp_flow_engine_set_receiving_views (m.engines[last], TRUE, m.now);
  members_send (&m, 0, &ack);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_UNSETTLED);
  m.now += 5 * DP_US_PER_S;
  members_send (&m, 0, &ack);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_RESET);

  /* A revision restarts settle_time only if it changes a member. */
  members_set_view (&m, last, 2, 4);
  members_send (&m, 0, &ack);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_RESET);
  m.list[(last + 1) % 4].incarnation++;
  members_set_view (&m, last, 3, 4);
  members_send (&m, 0, &ack);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_UNSETTLED);
  members_finish (&m);
}

static void
test_no_view (void)
{
  g_autoptr (DpFlowEngine) engine = dp_flow_engine_new (SERVICE, dp_member_id ("host-0"));
  DpServiceAddress address = { interactive_, DP_TRAFFIC_INTERACTIVE, DP_US_PER_S };
  DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpHeader header = { .service_id = dp_service_id (SERVICE) };
  DpActions actions;

  dp_actions_init (&actions);
  dp_flow_engine_set_addresses (engine, &address, 1);
  dp_flow_engine_packet (engine, &header, &ack, START, &actions);
  dp_flow_engine_packet (engine, &header, &syn, START, &actions);
  CU_ASSERT_EQUAL (g_array_index (actions.items, DpAction, 0).type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (g_array_index (actions.items, DpAction, 1).type, DP_ACTION_RESET);
  CU_ASSERT_EQUAL (g_array_index (actions.items, DpAction, 1).reason,
                   DP_REASON_NO_SERVER);
  dp_actions_finish (&actions);
}

static void
test_hop_limit (void)
{
  Members m;
  DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
  DpHeader header;

  members_init (&m, MEMBERS_MAX);
  members_send (&m, 0, &ack);
  CU_ASSERT_EQUAL (m.n_hops, DP_VISITED_MAX);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_HOP_LIMIT);
  /* The list of visited members is full and lacks the receiver, as the sender's view has
   * the receiver's address under the name of a former member. */
  header = members_header (&m, 0);
  header.n_visited = DP_VISITED_MAX;
  for (guint i = 0; i < DP_VISITED_MAX; i++)
    header.visited[i] = i;
  members_follow (&m, 0, header, &ack);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_HOP_LIMIT);
  members_finish (&m);
}

/* A packet reaches the member that has its flow from every other member, as long as the
 * views on the way list that member. */
static void
test_views_differ (void)
{
  Members m;
  const guint n_before = 6;
  const guint n_after = 10;

  members_init (&m, n_after);
  for (guint i = 0; i < n_after; i++)
    members_set_view (&m, i, 2, n_before);
  for (guint client = 0; client < 200; client++)
    {
      DpSegment syn = members_segment (client, &interactive_, DP_TCP_SYN);
      DpSegment ack = members_segment (client, &interactive_, DP_TCP_ACK);
      guint owner = client % n_before;
      DpHandle flow;

      members_send (&m, owner, &syn);
      flow = dp_flow_engine_find (m.engines[m.last_member], &syn.key);
      owner = m.last_member;
      dp_flow_engine_server_connected (m.engines[owner], flow, m.now, &m.actions);
      dp_flow_engine_established (m.engines[owner], flow, m.now);
      /* From here on, every second member has a view with the new members. */
      for (guint i = 0; i < n_after; i++)
        members_set_view (&m, i, 3 + client, client % 2 == i % 2 ? n_after : n_before);
      for (guint first = 0; first < n_after; first++)
        {
          members_send (&m, first, &ack);
          CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
          CU_ASSERT_EQUAL (m.last_member, owner);
        }
      dp_flow_engine_closed (m.engines[owner], flow, m.now, &m.actions);
    }
  members_finish (&m);
}

static void
test_retransmission_is_forwarded_again (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  guint first;
  guint accepted;

  members_init (&m, 5);
  first = members_first (&m, &syn);
  dp_flow_engine_set_server_up (m.engines[first], FALSE, m.now);
  members_send (&m, first, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_HOLD);
  accepted = m.last_member;
  CU_ASSERT_NOT_EQUAL (accepted, first);
  dp_flow_engine_set_server_up (m.engines[first], TRUE, m.now);
  m.now += 59 * DP_US_PER_S;
  members_send (&m, first, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DROP);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_ALREADY_HELD);
  CU_ASSERT_EQUAL (m.last_member, accepted);
  dp_flow_engine_set_leaving (m.engines[first], TRUE, m.now);
  members_send (&m, first, &syn);
  CU_ASSERT_EQUAL (m.last_member, accepted);
  dp_flow_engine_set_leaving (m.engines[first], FALSE, m.now);
  m.now += 2 * DP_US_PER_S;
  members_send (&m, first, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_HOLD);
  CU_ASSERT_EQUAL (m.last_member, first);
  members_finish (&m);
}

/* A member that accepted a SYN keeps the flow when it begins to leave. */
static void
test_retransmission_while_leaving (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpSegment next = syn;
  guint first;

  members_init (&m, 5);
  first = members_first (&m, &syn);
  members_open (&m, &syn, ISN);
  dp_flow_engine_set_leaving (m.engines[first], TRUE, m.now);
  members_send (&m, first, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
  CU_ASSERT_EQUAL (m.last_member, first);
  next.key.client.port++;
  next.hash = dp_flow_key_hash (&next.key);
  members_send (&m, first, &next);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_HOLD);
  CU_ASSERT_NOT_EQUAL (m.last_member, first);
  members_finish (&m);
}

static void
test_leaving_without_others (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);

  members_init (&m, 6);
  for (guint i = 0; i < m.n; i++)
    dp_flow_engine_set_leaving (m.engines[i], TRUE, m.now);
  members_send (&m, 0, &syn);
  CU_ASSERT_EQUAL (m.n_hops, 6);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_RESET);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_LEAVING);
  members_finish (&m);
}

/* The limit of visits doesn't apply at leaving members, so a SYN finds the only one that
 * is not leaving. */
static void
test_leaving_forwards (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);

  members_init (&m, 8);
  for (guint i = 0; i < m.n; i++)
    dp_flow_engine_set_leaving (m.engines[i], i != 5, m.now);
  for (guint first = 0; first < m.n; first++)
    {
      syn.seq++;
      members_send (&m, first, &syn);
      CU_ASSERT_EQUAL (m.last_action.type, first == 0 ? DP_ACTION_HOLD : DP_ACTION_DROP);
      CU_ASSERT_EQUAL (m.last_member, 5);
    }
  members_finish (&m);
}

static void
test_server_failed (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpHandle flow = DP_HANDLE_NONE;
  guint visited = 0;

  members_init (&m, 3);
  members_send (&m, members_first (&m, &syn), &syn);
  for (;;)
    {
      DpAction action;

      visited |= 1u << m.last_member;
      CU_ASSERT_EQUAL_FATAL (members_count (&m, DP_ACTION_CONNECT, &flow), 1);
      dp_actions_clear (&m.actions);
      dp_flow_engine_server_failed (m.engines[m.last_member], flow, m.now, &m.actions);
      CU_ASSERT_EQUAL_FATAL (m.actions.items->len, 1);
      action = g_array_index (m.actions.items, DpAction, 0);
      CU_ASSERT_EQUAL (action.flow, flow);
      CU_ASSERT_EQUAL (dp_flow_engine_load (m.engines[m.last_member]).flows, 0);
      if (action.type == DP_ACTION_REFUSE)
        break;
      CU_ASSERT_EQUAL_FATAL (action.type, DP_ACTION_FORWARD_HELD);
      members_follow (&m, members_index (&m, &action.address), action.header, &syn);
    }
  CU_ASSERT_EQUAL (visited, 7);
  members_send (&m, m.last_member, &syn);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_RESET);
  CU_ASSERT_EQUAL (m.last_action.reason, DP_REASON_NO_SERVER);
  members_finish (&m);
}

static void
test_connect_timeout (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpHandle flow = DP_HANDLE_NONE;

  members_init (&m, 2);
  members_send (&m, 0, &syn);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_CONNECT, &flow), 1);
  m.now += 3 * DP_US_PER_S;
  CU_ASSERT_TRUE (dp_flow_engine_next_deadline (m.engines[0]) <= m.now);
  members_tick (&m, 0);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_FORWARD_HELD, NULL), 1);
  /* A connection that is established too late no longer has a flow. */
  dp_actions_clear (&m.actions);
  dp_flow_engine_server_connected (m.engines[0], flow, m.now, &m.actions);
  CU_ASSERT_EQUAL (m.actions.items->len, 0);
  members_finish (&m);
}

static void
test_timeouts (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
  DpFlowEngine *engine;
  DpHandle flow;

  members_init (&m, 1);
  engine = m.engines[0];
  members_open (&m, &syn, ISN);
  m.now += 20 * DP_US_PER_S;
  members_tick (&m, 0);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_FORGET, NULL), 1);
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).flows, 0);

  flow = members_establish (&m, &syn, ISN);
  m.now += 599 * DP_US_PER_S;
  ack.payload_length = 1;
  members_send (&m, 0, &ack);
  m.now += 599 * DP_US_PER_S;
  members_tick (&m, 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).flows, 1);
  /* An answer to a keepalive probe doesn't restart the idle timer. */
  ack.payload_length = 0;
  members_send (&m, 0, &ack);
  m.now += DP_US_PER_S;
  CU_ASSERT_EQUAL (dp_flow_engine_next_deadline (engine), m.now);
  members_tick (&m, 0);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_ABORT, &flow), 1);
  CU_ASSERT_EQUAL (dp_flow_engine_next_deadline (engine), G_MAXINT64);

  flow = members_establish (&m, &syn, ISN);
  CU_ASSERT_TRUE (dp_flow_engine_request (engine, flow, 10, m.now));
  dp_flow_engine_response (engine, flow, 5000, 5000, m.now);
  m.now += 59 * DP_US_PER_S;
  dp_flow_engine_progress (engine, flow, m.now);
  m.now += 59 * DP_US_PER_S;
  dp_flow_engine_response (engine, flow, 100, 3000, m.now);
  members_tick (&m, 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).flows, 1);
  m.now += DP_US_PER_S;
  members_tick (&m, 0);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_ABORT, NULL), 1);
  CU_ASSERT_EQUAL (g_array_index (m.actions.items, DpAction, 0).reason,
                   DP_REASON_PROGRESS_TIMEOUT);

  flow = members_establish (&m, &syn, ISN);
  dp_flow_engine_response (engine, flow, 5000, 5000, m.now);
  dp_flow_engine_response (engine, flow, 0, 0, m.now);
  m.now += 61 * DP_US_PER_S;
  members_tick (&m, 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).flows, 1);
  members_finish (&m);
}

static void
test_abort_all (void)
{
  Members m;
  DpFlowEngine *engine;

  members_init (&m, 1);
  engine = m.engines[0];
  for (guint i = 0; i < 4; i++)
    {
      DpSegment syn = members_segment (i, &interactive_, DP_TCP_SYN);

      if (i == 0)
        members_establish (&m, &syn, ISN);
      else if (i == 1)
        members_open (&m, &syn, ISN);
      else
        members_send (&m, 0, &syn);
    }
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).flows, 4);
  dp_actions_clear (&m.actions);
  dp_flow_engine_abort_all (engine, DP_REASON_DRAIN_DEADLINE, &m.actions);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_ABORT, NULL), 1);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_FORGET, NULL), 1);
  CU_ASSERT_EQUAL (members_count (&m, DP_ACTION_REFUSE, NULL), 2);
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).flows, 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).slots_busy, 0);
  CU_ASSERT_EQUAL (dp_flow_engine_load (engine).waiting[DP_TRAFFIC_INTERACTIVE], 0);
  members_finish (&m);
}

/* A flow continues when its address is withdrawn and its member is removed from the
 * view. */
static void
test_planned_changes (void)
{
  Members m;
  DpSegment syn = members_segment (1, &interactive_, DP_TCP_SYN);
  DpSegment ack = members_segment (1, &interactive_, DP_TCP_ACK);
  DpServiceAddress other = { urgent_, DP_TRAFFIC_URGENT, 0 };
  guint first;

  members_init (&m, 3);
  first = members_first (&m, &syn);
  members_establish (&m, &syn, ISN);
  dp_flow_engine_set_addresses (m.engines[first], &other, 1);
  dp_flow_engine_set_leaving (m.engines[first], TRUE, m.now);
  dp_flow_engine_set_server_up (m.engines[first], FALSE, m.now);
  members_set_view (&m, first, 2, 0);
  members_send (&m, first, &ack);
  CU_ASSERT_EQUAL (m.last_action.type, DP_ACTION_DELIVER);
  CU_ASSERT_EQUAL (m.last_member, first);
  members_finish (&m);
}

static const DpTestCase cases_[] = {
  { "a SYN and its copies are held, then delivered", test_handshake },
  { "an ACK goes to the companion whose SYN-ACK it acknowledges", test_ack_of_another },
  { "a reset ends a half-open flow only if its sequence number fits",
    test_reset_of_half_open },
  { "packets of other services are dropped", test_other_service },
  { "an unknown flow is reset only if the view lists every possible owner",
    test_reset_only_if_settled },
  { "a companion without a view accepts and resets nothing", test_no_view },
  { "the number of members that a packet visits is limited", test_hop_limit },
  { "an open flow is found while views differ", test_views_differ },
  { "a retransmitted SYN is forwarded again", test_retransmission_is_forwarded_again },
  { "a retransmitted SYN stays at a leaving member", test_retransmission_while_leaving },
  { "a SYN is refused when all members are leaving", test_leaving_without_others },
  { "leaving members forward to the one that stays", test_leaving_forwards },
  { "a held SYN is forwarded when the server fails", test_server_failed },
  { "a connection attempt that takes too long counts as failed", test_connect_timeout },
  { "half-open, idle and stalled flows end", test_timeouts },
  { "a drain deadline ends each flow as its state requires", test_abort_all },
  { "an established flow survives planned changes", test_planned_changes },
};

DP_TEST_MAIN ("flowengine", cases_)
