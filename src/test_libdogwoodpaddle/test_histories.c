/* Guards against planned changes that break flows: in random histories, members join,
 * leave and come back, while each process gets the member list up to 5 s late. */
#include "members.h"

#define N_MEMBERS 6
#define N_BALANCERS 3
#define N_CLIENTS 30
#define N_HISTORIES 60
#define N_STEPS 1500
#define STEP (40 * DP_US_PER_MS)
#define LAG_MAX (5 * DP_US_PER_S)
#define REVISIONS_MAX 400

typedef enum
{
  CLIENT_CLOSED,
  CLIENT_SYN_SENT,
  CLIENT_ESTABLISHED
} ClientState;

typedef struct
{
  ClientState state;
  DpSegment syn;
  guint32 ack;          /* initial sequence number of the accepted SYN-ACK, + 1 */
  guint owner;          /* member that sent the SYN-ACK */
  gint64 accepted_at;   /* us, when the client accepted it */
  gint64 dropped_since; /* us, first packet dropped since one was delivered; 0: none */
} Client;

/* A process's version of the member list. */
typedef struct
{
  guint index; /* of its revision in views */
  gint64 lag;  /* us, from the publication of a revision until the process gets it */
} ListVersion;

typedef struct
{
  Members m;
  GRand *rand;
  gboolean lag_is_max; /* one balancer has no lag, all other processes have LAG_MAX */
  DpMemberState states[N_MEMBERS];
  gboolean listed[N_MEMBERS];
  gboolean leaving[N_MEMBERS];  /* its companion has begun to leave */
  gint64 removed_at[N_MEMBERS]; /* us, when it removed itself from the list */
  DpMemberView *views[REVISIONS_MAX];
  DpCandidates *candidates[REVISIONS_MAX];
  gint64 published_at[REVISIONS_MAX]; /* us */
  guint n_revisions;
  ListVersion versions[N_MEMBERS + N_BALANCERS];
  Client clients[N_CLIENTS];
  guint n_sent;
  guint n_delivered;
  guint n_reset;
  guint n_stuck; /* packets dropped after every process must have had the owner */
  guint n_misdelivered;
  guint n_aborted;
  guint n_opened;
  guint n_accepted_leaving; /* new flows at a member that was already leaving */
} History;

static gboolean
happens (History *h, double probability)
{
  return g_rand_double (h->rand) < probability;
}

static void
publish (History *h)
{
  DpMember list[N_MEMBERS];
  guint n = 0;

  g_assert (h->n_revisions < REVISIONS_MAX);
  for (guint i = 0; i < N_MEMBERS; i++)
    {
      if (!h->listed[i])
        continue;
      list[n] = h->m.list[i];
      list[n++].state = h->states[i];
    }
  h->views[h->n_revisions] = dp_member_view_new (SERVICE, h->n_revisions + 1, list, n);
  h->candidates[h->n_revisions] = dp_candidates_new (h->views[h->n_revisions]);
  h->published_at[h->n_revisions] = h->m.now;
  h->n_revisions++;
}

static void
start_member (History *h, guint i)
{
  const DpServiceAddress address = { interactive_, DP_TRAFFIC_INTERACTIVE,
                                     2 * DP_US_PER_S };
  DpFlowEngineLimits limits = members_limits ();
  DpFlowEngine *engine = dp_flow_engine_new (SERVICE, dp_member_id (h->m.names[i]));

  h->m.engines[i] = engine;
  h->m.list[i].incarnation++;
  limits.slow_start = (gint64) g_rand_int_range (h->rand, 0, 10) * DP_US_PER_S;
  dp_flow_engine_set_limits (engine, &limits);
  dp_flow_engine_set_addresses (engine, &address, 1);
  dp_flow_engine_set_receiving_views (engine, TRUE, h->m.now - 10 * DP_US_PER_S);
  h->states[i] = DP_MEMBER_JOINING;
  h->listed[i] = TRUE;
  h->leaving[i] = FALSE;
  publish (h);
  h->versions[i].index = h->n_revisions - 1;
  dp_flow_engine_set_view (engine, h->views[h->n_revisions - 1], h->m.now);
}

/* Delivers to every process the member lists that were published at least the process's
 * lag ago. Changes lags at random, unless lag_is_max is set. */
static void
deliver_lists (History *h)
{
  for (guint i = 0; i < G_N_ELEMENTS (h->versions); i++)
    {
      ListVersion *k = &h->versions[i];
      guint before = k->index;

      if (h->lag_is_max)
        k->lag = i == N_MEMBERS ? 0 : LAG_MAX;
      else if (happens (h, 0.02))
        k->lag = g_rand_int_range (h->rand, 0, (gint32) LAG_MAX);
      while (k->index + 1 < h->n_revisions
             && h->published_at[k->index + 1] + k->lag <= h->m.now)
        k->index++;
      if (k->index != before && i < N_MEMBERS && h->m.engines[i] != NULL)
        dp_flow_engine_set_view (h->m.engines[i], h->views[k->index], h->m.now);
    }
}

/* Answers the SYN. Unless it is lost, the SYN-ACK reaches the client, which accepts only
 * the first one for its SYN. */
static void
answer_syn (History *h, guint member, DpHandle flow)
{
  guint32 initial_seq = g_rand_int (h->rand);
  DpFlowKey key;

  dp_flow_engine_syn_answered (h->m.engines[member], flow, initial_seq, h->m.now);
  if (!dp_flow_engine_flow_key (h->m.engines[member], flow, &key) || happens (h, 0.2))
    return;
  for (guint i = 0; i < N_CLIENTS; i++)
    {
      Client *c = &h->clients[i];

      if (c->state != CLIENT_SYN_SENT || !dp_flow_key_equal (&c->syn.key, &key))
        continue;
      c->state = CLIENT_ESTABLISHED;
      c->ack = initial_seq + 1;
      c->owner = member;
      c->accepted_at = h->m.now;
      c->dropped_since = 0;
      h->n_opened++;
    }
}

/* Returns the SYN of the flow with the key, or NULL if its client has started a new flow
 * since. */
static const DpSegment *
find_syn (History *h, const DpFlowKey *key)
{
  for (guint i = 0; i < N_CLIENTS; i++)
    {
      if (dp_flow_key_equal (&h->clients[i].syn.key, key))
        return &h->clients[i].syn;
    }
  return NULL;
}

/* Carries out the last call's actions for flows of the member. syn is the SYN that may
 * have to be forwarded, or NULL if it is dropped instead and the client is to send it
 * again. */
static void
carry_out (History *h, guint member, const DpSegment *syn)
{
  DpFlowEngine *engine = h->m.engines[member];
  g_autoptr (GArray) items = g_array_copy (h->m.actions.items);

  for (guint i = 0; i < items->len; i++)
    {
      DpAction action = g_array_index (items, DpAction, i);

      if (action.type == DP_ACTION_CONNECT)
        {
          gboolean fails = happens (h, 0.05);
          DpFlowKey key;

          g_assert (dp_flow_engine_flow_key (engine, action.flow, &key));
          if (h->leaving[member])
            h->n_accepted_leaving++;
          dp_actions_clear (&h->m.actions);
          if (fails)
            dp_flow_engine_server_failed (engine, action.flow, h->m.now, &h->m.actions);
          else
            dp_flow_engine_server_connected (engine, action.flow, h->m.now,
                                             &h->m.actions);
          if (fails)
            carry_out (h, member, find_syn (h, &key));
          else
            answer_syn (h, member, action.flow);
        }
      if (action.type == DP_ACTION_FORWARD_HELD && syn != NULL)
        {
          members_follow (&h->m, members_index (&h->m, &action.address), action.header,
                          syn);
          carry_out (h, h->m.last_member, syn);
        }
      h->n_aborted += action.type == DP_ACTION_ABORT;
    }
}

/* Sends a packet through a random balancer. Returns FALSE if the balancer has no member
 * for the packet. */
static gboolean
send (History *h, const DpSegment *segment)
{
  const ListVersion *k =
      &h->versions[N_MEMBERS + g_rand_int_range (h->rand, 0, N_BALANCERS)];
  DpCandidateSet set = dp_segment_opens_flow (segment) ? DP_CANDIDATES_ACTIVE
                                                       : DP_CANDIDATES_ALL;
  const DpMember *first = dp_candidates_first (h->candidates[k->index], segment->hash,
                                               set);
  DpHeader header;
  guint at;

  if (first == NULL)
    return FALSE;
  at = members_index (&h->m, &first->address);
  header = members_header (&h->m, at);
  header.revision = k->index + 1;
  members_follow (&h->m, at, header, segment);
  return TRUE;
}

static void
send_syn (History *h, Client *c)
{
  if (!send (h, &c->syn))
    return;
  if (h->m.last_action.type == DP_ACTION_RESET)
    c->state = CLIENT_CLOSED;
  if (h->m.last_action.type == DP_ACTION_HOLD)
    carry_out (h, h->m.last_member, &c->syn);
}

static void
send_data (History *h, Client *c)
{
  DpSegment data = c->syn;
  DpFlowEngine *engine;

  data.flags = DP_TCP_ACK;
  data.seq++;
  data.ack = c->ack;
  if (!send (h, &data))
    return;
  h->n_sent++;
  h->n_reset += h->m.last_action.type == DP_ACTION_RESET;
  if (h->m.last_action.type != DP_ACTION_DELIVER)
    {
      if (c->dropped_since == 0)
        c->dropped_since = h->m.now;
      h->n_stuck += h->m.now - c->dropped_since > LAG_MAX;
      return;
    }
  c->dropped_since = 0;
  h->n_delivered++;
  h->n_misdelivered += h->m.last_member != c->owner;
  engine = h->m.engines[h->m.last_member];
  dp_flow_engine_established (engine, h->m.last_action.flow, h->m.now);
  if (dp_flow_engine_request (engine, h->m.last_action.flow, 10, h->m.now))
    dp_flow_engine_response (engine, h->m.last_action.flow, 10, 0, h->m.now);
}

/* Makes a client take its next step. */
static void
step_client (History *h, Client *c)
{
  DpHandle flow;

  switch (c->state)
    {
    case CLIENT_CLOSED:
      c->syn = members_segment (g_rand_int (h->rand) & 0xffffff, &interactive_,
                                DP_TCP_SYN);
      c->syn.seq = g_rand_int (h->rand);
      c->state = CLIENT_SYN_SENT;
      send_syn (h, c);
      break;
    case CLIENT_SYN_SENT:
      if (happens (h, 0.3))
        send_syn (h, c);
      break;
    case CLIENT_ESTABLISHED:
    default:
      /* A copy of the SYN that arrives late. */
      if (h->m.now - c->accepted_at < DP_US_PER_S && happens (h, 0.2)
          && send (h, &c->syn))
        carry_out (h, h->m.last_member, &c->syn);
      send_data (h, c);
      if (h->m.last_action.type != DP_ACTION_DELIVER || !happens (h, 0.01))
        break;
      flow = dp_flow_engine_find (h->m.engines[c->owner], &c->syn.key);
      dp_actions_clear (&h->m.actions);
      dp_flow_engine_closed (h->m.engines[c->owner], flow, h->m.now, &h->m.actions);
      c->state = CLIENT_CLOSED;
      carry_out (h, c->owner, NULL);
    }
}

/* Moves a member to its next state at random: joining, active, leaving, gone. */
static void
step_member (History *h, guint i)
{
  DpFlowEngine *engine = h->m.engines[i];
  guint n_active = 0;

  for (guint j = 0; j < N_MEMBERS; j++)
    n_active += h->listed[j] && !h->leaving[j] && h->states[j] == DP_MEMBER_ACTIVE;
  if (engine == NULL)
    {
      if (happens (h, 0.01))
        start_member (h, i);
      return;
    }
  if (h->states[i] == DP_MEMBER_JOINING && happens (h, 0.05))
    {
      h->states[i] = DP_MEMBER_ACTIVE;
      dp_flow_engine_set_server_up (engine, TRUE, h->m.now);
      publish (h);
    }
  else if (h->states[i] == DP_MEMBER_ACTIVE && !h->leaving[i] && n_active > 2
           && happens (h, 0.005))
    {
      h->leaving[i] = TRUE;
      dp_flow_engine_set_leaving (engine, TRUE, h->m.now);
    }
  else if (h->states[i] == DP_MEMBER_ACTIVE && h->leaving[i] && happens (h, 0.05))
    {
      h->states[i] = DP_MEMBER_LEAVING;
      publish (h);
    }
  else if (!h->listed[i])
    {
      /* It forwards packets of other members' flows until no view lists it. */
      if (h->m.now - h->removed_at[i] > LAG_MAX)
        g_clear_pointer (&h->m.engines[i], dp_flow_engine_free);
    }
  else if (h->states[i] == DP_MEMBER_LEAVING && dp_flow_engine_load (engine).flows == 0)
    {
      h->listed[i] = FALSE;
      h->removed_at[i] = h->m.now;
      publish (h);
    }
}

static void
run_timers (History *h, guint i)
{
  DpFlowEngine *engine = h->m.engines[i];

  if (engine == NULL || dp_flow_engine_next_deadline (engine) > h->m.now)
    return;
  members_tick (&h->m, i);
  CU_ASSERT_TRUE (dp_flow_engine_next_deadline (engine) > h->m.now);
  carry_out (h, i, NULL);
  CU_ASSERT_TRUE (dp_flow_engine_load (engine).slots_busy <= members_limits ().slots);
}

static void
run_history (History *h, guint32 seed)
{
  members_init (&h->m, N_MEMBERS);
  h->rand = g_rand_new_with_seed (seed);
  h->lag_is_max = seed % 2 == 1;
  for (guint i = 0; i < N_MEMBERS; i++)
    {
      dp_flow_engine_free (h->m.engines[i]);
      start_member (h, i);
      h->states[i] = i < 4 ? DP_MEMBER_ACTIVE : DP_MEMBER_JOINING;
      dp_flow_engine_set_server_up (h->m.engines[i], i < 4, h->m.now);
    }
  publish (h);
  for (guint i = 0; i < G_N_ELEMENTS (h->versions); i++)
    h->versions[i].index = h->n_revisions - 1;
  for (guint i = 0; i < N_MEMBERS; i++)
    dp_flow_engine_set_view (h->m.engines[i], h->views[h->n_revisions - 1], h->m.now);
  h->m.now += 10 * DP_US_PER_S;
  for (guint step = 0; step < N_STEPS; step++)
    {
      h->m.now += STEP;
      deliver_lists (h);
      for (guint i = 0; i < N_MEMBERS; i++)
        {
          step_member (h, i);
          run_timers (h, i);
        }
      for (guint i = 0; i < 4; i++)
        step_client (h, &h->clients[g_rand_int_range (h->rand, 0, N_CLIENTS)]);
    }
  for (guint i = 0; i < h->n_revisions; i++)
    {
      dp_candidates_free (h->candidates[i]);
      dp_member_view_unref (h->views[i]);
    }
  g_rand_free (h->rand);
  members_finish (&h->m);
}

static void
test_planned_changes (void)
{
  guint n_opened = 0;
  guint n_revisions = 0;
  guint n_sent = 0;
  guint n_delivered = 0;

  for (guint seed = 1; seed <= N_HISTORIES; seed++)
    {
      g_autofree History *h = g_new0 (History, 1);

      run_history (h, seed);
      n_opened += h->n_opened;
      n_revisions += h->n_revisions;
      n_sent += h->n_sent;
      n_delivered += h->n_delivered;
      if (h->n_reset + h->n_misdelivered + h->n_aborted + h->n_accepted_leaving
              + h->n_stuck
          > 0)
        g_printerr ("seed %u: %u reset, %u misdelivered, %u aborted, "
                    "%u accepted while leaving, %u stuck\n",
                    seed, h->n_reset, h->n_misdelivered, h->n_aborted,
                    h->n_accepted_leaving, h->n_stuck);
      CU_ASSERT_EQUAL (h->n_reset, 0);
      CU_ASSERT_EQUAL (h->n_misdelivered, 0);
      CU_ASSERT_EQUAL (h->n_aborted, 0);
      CU_ASSERT_EQUAL (h->n_accepted_leaving, 0);
      CU_ASSERT_EQUAL (h->n_stuck, 0);
    }
  /* Checks that the histories have enough events to detect faults. */
  CU_ASSERT_TRUE (n_opened > N_HISTORIES * 30);
  CU_ASSERT_TRUE (n_revisions > N_HISTORIES * 12);
  CU_ASSERT_TRUE (n_delivered > n_sent * 9 / 10);
  g_print ("%u flows, %u lists, %u of %u packets delivered\n", n_opened, n_revisions,
           n_delivered, n_sent);
}

static const DpTestCase cases_[] = {
  { "planned changes break no flow", test_planned_changes },
};

DP_TEST_MAIN ("histories", cases_)
