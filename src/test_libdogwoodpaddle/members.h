/* A fixture of several members of one service. A packet that one member forwards reaches
 * the next one at once. */
#pragma once

#include "protected/clock.h"
#include "protected/flowengine.h"
#include "protected/mutant.h"
#include "runner.h"

#define MEMBERS_MAX 40
#define SERVICE "darbnica"
#define START (1000 * DP_US_PER_S)

typedef struct
{
  guint n;
  gint64 now; /* us */
  char names[MEMBERS_MAX][16];
  DpMember list[MEMBERS_MAX];
  DpFlowEngine *engines[MEMBERS_MAX]; /* in the order of names */
  DpActions actions;                  /* of the last call */
  DpAction last_action; /* the first action for the packet that didn't forward it */
  guint last_member;    /* index of the member that decided on this action */
  guint n_hops;         /* members that the packet visited */
} Members;

static const DpAddress urgent_ = { 0x0a4d0001, 80 };
static const DpAddress interactive_ = { 0x0a4d0001, 81 };
static const DpAddress bulk_ = { 0x0a4d0001, 82 };

static inline DpFlowEngineLimits
members_limits (void)
{
  return (DpFlowEngineLimits){ .slots = 2,
                               .connections = 100,
                               .visits = 4,
                               .idle_timeout = 600 * DP_US_PER_S,
                               .progress_timeout = 60 * DP_US_PER_S,
                               .slow_start = 0,
                               .settle_time = 5 * DP_US_PER_S };
}

static inline DpMemberView *
members_view (const Members *m, guint64 revision, guint n)
{
  return dp_member_view_new (SERVICE, revision, m->list, n);
}

static inline void
members_set_view (Members *m, guint member, guint64 revision, guint n)
{
  g_autoptr (DpMemberView) view = members_view (m, revision, n);

  dp_flow_engine_set_view (m->engines[member], view, m->now);
}

static inline void
members_set_limits (Members *m, const DpFlowEngineLimits *limits)
{
  for (guint i = 0; i < m->n; i++)
    dp_flow_engine_set_limits (m->engines[i], limits);
}

/* Creates n active members with the same view, older than settle_time, whose servers are
 * up. */
static inline void
members_init (Members *m, guint n)
{
  const DpServiceAddress addresses[] = {
    { urgent_, DP_TRAFFIC_URGENT, 2 * DP_US_PER_S },
    { interactive_, DP_TRAFFIC_INTERACTIVE, 2 * DP_US_PER_S },
    { bulk_, DP_TRAFFIC_BULK, 2 * DP_US_PER_S },
  };
  DpFlowEngineLimits limits = members_limits ();

  *m = (Members){ .n = n, .now = START };
  dp_actions_init (&m->actions);
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (m->names[i], sizeof m->names[i], "host-%u", i);
      m->list[i] = (DpMember){ .name = m->names[i],
                               .address = { 0x7f010000 + i, 7000 },
                               .slots = 4,
                               .connections = 100,
                               .state = DP_MEMBER_ACTIVE };
    }
  for (guint i = 0; i < n; i++)
    {
      DpFlowEngine *engine = dp_flow_engine_new (SERVICE, dp_member_id (m->names[i]));

      m->engines[i] = engine;
      dp_flow_engine_set_addresses (engine, addresses, G_N_ELEMENTS (addresses));
      dp_flow_engine_set_receiving_views (engine, TRUE, m->now);
      dp_flow_engine_set_server_up (engine, TRUE, m->now);
      members_set_view (m, i, 1, n);
    }
  members_set_limits (m, &limits);
  m->now += 10 * DP_US_PER_S;
}

static inline void
members_finish (Members *m)
{
  for (guint i = 0; i < m->n; i++)
    dp_flow_engine_free (m->engines[i]);
  dp_actions_finish (&m->actions);
}

static inline DpSegment
members_segment (guint client, const DpAddress *service, guint8 flags)
{
  DpSegment s = { .key = { { 0x0a000000 + client, 40000 }, *service },
                  .seq = 1000,
                  .flags = flags };

  s.hash = dp_flow_key_hash (&s.key);
  if (flags != DP_TCP_SYN)
    s.seq++;
  return s;
}

static inline guint
members_index (const Members *m, const DpAddress *address)
{
  g_assert (address->ip >= 0x7f010000 && address->ip < 0x7f010000 + m->n);
  return address->ip - 0x7f010000;
}

/* Returns the first action for the packet of the last call. */
static inline DpAction
members_packet_action (const Members *m)
{
  for (guint i = 0; i < m->actions.items->len; i++)
    {
      DpAction action = g_array_index (m->actions.items, DpAction, i);

      if (action.type <= DP_ACTION_RESET)
        return action;
    }
  g_assert_not_reached ();
}

/* Returns the number of actions of a type in the last call, and writes the flow of the
 * last of them to flow, which may be NULL. */
static inline guint
members_count (const Members *m, DpActionType type, DpHandle *flow)
{
  guint n = 0;

  for (guint i = 0; i < m->actions.items->len; i++)
    {
      DpAction action = g_array_index (m->actions.items, DpAction, i);

      if (action.type != type)
        continue;
      n++;
      if (flow != NULL)
        *flow = action.flow;
    }
  return n;
}

/* Sends a packet with its header to the member first, then to each member that it is
 * forwarded to, until a member doesn't forward it. A packet to a member without a flow
 * engine is lost, as that member is gone. Checks that no member is visited twice, except
 * by a SYN that is returned to it. */
static inline void
members_follow (Members *m, guint first, DpHeader header, const DpSegment *segment)
{
  guint visits[MEMBERS_MAX] = { 0 };

  for (guint i = 0; i < header.n_visited; i++)
    {
      for (guint j = 0; j < m->n; j++)
        visits[j] += dp_member_id (m->names[j]) == header.visited[i] ? 1 : 0;
    }
  visits[first] = 0;
  m->last_member = first;
  for (m->n_hops = 1;; m->n_hops++)
    {
      gboolean returned;

      visits[m->last_member]++;
      dp_actions_clear (&m->actions);
      if (m->engines[m->last_member] == NULL)
        {
          m->last_action = (DpAction){ .type = DP_ACTION_DROP };
          return;
        }
      dp_flow_engine_packet (m->engines[m->last_member], &header, segment, m->now,
                             &m->actions);
      m->last_action = members_packet_action (m);
      if (m->last_action.type != DP_ACTION_FORWARD)
        return;
      returned = m->last_action.header.n_visited == header.n_visited;
      header = m->last_action.header;
      m->last_member = members_index (m, &m->last_action.address);
      CU_ASSERT_EQUAL (visits[m->last_member], returned ? 1 : 0);
      CU_ASSERT_TRUE_FATAL (m->n_hops <= DP_VISITED_MAX + 1);
    }
}

static inline DpHeader
members_header (const Members *m, guint first)
{
  return (DpHeader){ .service_id = dp_service_id (SERVICE),
                     .revision = 1,
                     .reply_to = { 0x7f000001, 9 },
                     .n_visited = 1,
                     .visited = { dp_member_id (m->names[first]) } };
}

/* Like members_follow (), with a new header. */
static inline void
members_send (Members *m, guint first, const DpSegment *segment)
{
  members_follow (m, first, members_header (m, first), segment);
}

/* Returns the index of the packet's first candidate in a view with all members. */
static inline guint
members_first (const Members *m, const DpSegment *segment)
{
  g_autoptr (DpMemberView) view = members_view (m, 1, m->n);
  g_autoptr (DpCandidates) candidates = dp_candidates_new (view);

  return members_index (
      m, &dp_candidates_first (candidates, segment->hash, DP_CANDIDATES_ACTIVE)->address);
}

/* Opens a flow at its first candidate, which must accept it. Returns its handle. */
static inline DpHandle
members_open (Members *m, const DpSegment *syn, guint32 initial_seq)
{
  DpHandle flow = DP_HANDLE_NONE;
  DpFlowEngine *engine;

  members_send (m, members_first (m, syn), syn);
  CU_ASSERT_EQUAL (m->last_action.type, DP_ACTION_HOLD);
  CU_ASSERT_EQUAL (members_count (m, DP_ACTION_CONNECT, &flow), 1);
  engine = m->engines[m->last_member];
  dp_actions_clear (&m->actions);
  dp_flow_engine_server_connected (engine, flow, m->now, &m->actions);
  CU_ASSERT_EQUAL (members_count (m, DP_ACTION_DELIVER_HELD, NULL), 1);
  dp_flow_engine_syn_answered (engine, flow, initial_seq, m->now);
  return flow;
}

/* Opens a flow and completes its handshake. Returns the flow's handle. */
static inline DpHandle
members_establish (Members *m, const DpSegment *syn, guint32 initial_seq)
{
  DpHandle flow = members_open (m, syn, initial_seq);

  dp_flow_engine_established (m->engines[m->last_member], flow, m->now);
  return flow;
}

static inline void
members_tick (Members *m, guint member)
{
  dp_actions_clear (&m->actions);
  dp_flow_engine_tick (m->engines[member], m->now, &m->actions);
}
