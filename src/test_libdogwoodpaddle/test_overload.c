/* Replays loads on one member with a simulated server and simulated clients, on a paused
 * clock. Guards against slots that are spent on requests that are late when they are
 * served, and against clients that wait for a slot which they don't get. */
#include "protected/clock.h"
#include "protected/passthrough.h"
#include "runner.h"

#define SERVICE "darbnica"
#define MS DP_US_PER_MS
#define S DP_US_PER_S
#define SLOTS 3
#define OBJECTIVE_MS 120
#define DEADLINE_MS 1200
/* One way between client and member. */
#define DELAY_MS 3
/* From a reset to the client's next attempt. */
#define RETRY_MS 3
#define ATTEMPTS_MAX 3
#define TICK_MS 100
#define SECONDS_MAX 12
/* Replays of each load, whose results are added up. */
#define N_SEEDS 8

/* An overload between from_s and to_s, and what is expected while it lasts. */
typedef struct
{
  const char *name;
  double usual_rate; /* arrivals per s before and after the overload */
  double rate;       /* arrivals per s during the overload */
  double from_s;
  double to_s;
  guint work_ms;          /* mean of the server's work on a request */
  guint attempt_limit_ms; /* for which a client waits for the answer to its SYN */
  /* The result is judged from this time on. */
  double judged_from_s;
  double late_share_max;    /* late requests among those served */
  double expired_share_max; /* attempts that end by the client's limit, of all */
  double work_share_min;    /* requests in time, of what the slots can do */
} Load;

typedef enum
{
  CLIENT_SYN_SENT,
  CLIENT_OPEN,
  CLIENT_RETRIES,
  CLIENT_FINISHED
} ClientState;

typedef struct
{
  ClientState state;
  gint64 first_try_at;
  gint64 tried_at;
  gint64 next_at; /* its request reaches the server, or its next attempt begins */
  gint64 done_at; /* the server ends its work; 0 while the request is queued there */
  guint n_attempts;
  guint retransmissions; /* of the SYN of this attempt */
  gboolean running;
} Client;

typedef struct
{
  guint n_in_time;
  guint n_late;
  guint n_attempts;
  guint n_expired;
} Result;

typedef struct
{
  const Load *load;
  DpPassthrough *passthrough;
  GRand *rand;
  GArray *clients; /* Client */
  GArray *active;  /* guint, clients that have not finished */
  GArray *queue;   /* guint, requests that wait at the server, oldest first */
  guint n_running;
  gint64 now;
  Result result;
} Replay;

/* Every attempt is a flow of its own, told apart by its port. */
static DpSegment
make_segment (const Replay *replay, guint number, guint8 flags)
{
  const Client *client = &g_array_index (replay->clients, Client, number);
  DpSegment segment = { .key = { { 0x64400000 + number,
                                   (guint16) (40000 + client->n_attempts) },
                                 { 0xc6120001, 443 } },
                        .flags = flags,
                        .seq = 100 };

  segment.hash = dp_flow_key_hash (&segment.key);
  return segment;
}

static gboolean
is_judged (const Replay *replay, gint64 time)
{
  return time >= (gint64) (replay->load->judged_from_s * S)
         && time < (gint64) (replay->load->to_s * S);
}

static void
end_attempt (Replay *replay, guint number, gint64 delay)
{
  Client *client = &g_array_index (replay->clients, Client, number);

  client->state = client->n_attempts >= ATTEMPTS_MAX ? CLIENT_FINISHED : CLIENT_RETRIES;
  client->next_at = replay->now + delay;
}

/* The server answers each SYN at once; the request comes a round trip later. */
static void
open_flow (Replay *replay, guint number)
{
  Client *client = &g_array_index (replay->clients, Client, number);
  const DpSegment answer = { .key = make_segment (replay, number, 0).key,
                             .hash = make_segment (replay, number, 0).hash,
                             .flags = DP_TCP_SYN | DP_TCP_ACK,
                             .seq = 500 };

  dp_passthrough_from_server (replay->passthrough, &answer, replay->now);
  if (client->state != CLIENT_SYN_SENT)
    return;
  client->state = CLIENT_OPEN;
  client->next_at = replay->now + 2 * DELAY_MS * MS;
}

static void
carry_out (Replay *replay,
           guint number,
           const DpSegment *syn,
           const DpPassthroughDecision *decision)
{
  const guint8 byte = 0;
  g_autoptr (GBytes) packet = NULL;

  switch (decision->action)
    {
    case DP_PASSTHROUGH_TO_SERVER:
      open_flow (replay, number);
      break;
    case DP_PASSTHROUGH_HOLD:
      packet = g_bytes_new (&byte, 1);
      dp_passthrough_hold_packet (replay->passthrough, syn, packet);
      break;
    case DP_PASSTHROUGH_RESET:
      end_attempt (replay, number, RETRY_MS * MS);
      break;
    default:
      break;
    }
}

static void
send_syn (Replay *replay, guint number, guint32 age_ms)
{
  DpSegment syn = make_segment (replay, number, DP_TCP_SYN);
  const DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                      .class = DP_TRAFFIC_INTERACTIVE,
                      .n_visited = DP_PASSTHROUGH_VISITS_MAX - 1,
                      .wait_limit_ms = OBJECTIVE_MS / 3,
                      .deadline_ms = DEADLINE_MS };
  DpPassthroughDecision decision;

  syn.syn_age_ms = age_ms;
  decision = dp_passthrough_from_peer (replay->passthrough, &syn, &hop, replay->now);
  carry_out (replay, number, &syn, &decision);
}

static void
release_held (Replay *replay)
{
  DpReleasedSyn released;

  while (dp_passthrough_next_released (replay->passthrough, &released, replay->now))
    {
      const guint number = released.key.client.ip - 0x64400000;
      const Client *client = &g_array_index (replay->clients, Client, number);
      const DpSegment syn = { .key = released.key, .flags = DP_TCP_SYN };

      g_bytes_unref (released.packet);
      if (released.key.client.port == 40000 + client->n_attempts)
        carry_out (replay, number, &syn, &released.decision);
    }
}

static void
begin_attempt (Replay *replay, guint number)
{
  Client *client = &g_array_index (replay->clients, Client, number);

  client->n_attempts++;
  client->retransmissions = 0;
  client->state = CLIENT_SYN_SENT;
  client->tried_at = replay->now;
  replay->result.n_attempts += is_judged (replay, replay->now) ? 1 : 0;
  send_syn (replay, number, 0);
}

static void
retransmit_or_give_up (Replay *replay, guint number)
{
  static const guint32 times_ms[] = { 200, 600 };
  Client *client = &g_array_index (replay->clients, Client, number);
  const gint64 age_ms = (replay->now - client->tried_at) / MS;

  if (age_ms >= replay->load->attempt_limit_ms)
    {
      replay->result.n_expired += is_judged (replay, client->tried_at) ? 1 : 0;
      end_attempt (replay, number, 0);
    }
  else if (client->retransmissions < G_N_ELEMENTS (times_ms)
           && age_ms >= times_ms[client->retransmissions])
    send_syn (replay, number, times_ms[client->retransmissions++]);
}

/* The request reaches the server, which works on SLOTS at a time, by arrival. */
static void
send_request (Replay *replay, guint number)
{
  Client *client = &g_array_index (replay->clients, Client, number);
  const DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                      .class = DP_TRAFFIC_INTERACTIVE };
  DpSegment request = make_segment (replay, number, DP_TCP_ACK);

  request.seq = 101;
  request.ack = 501;
  request.payload_length = 200;
  dp_passthrough_from_peer (replay->passthrough, &request, &hop, replay->now);
  client->next_at = G_MAXINT64;
  g_array_append_val (replay->queue, number);
}

static void
finish_request (Replay *replay, guint number)
{
  Client *client = &g_array_index (replay->clients, Client, number);
  DpSegment answer = make_segment (replay, number, DP_TCP_ACK | DP_TCP_FIN);
  const gint64 time = replay->now + DELAY_MS * MS - client->first_try_at;

  answer.seq = 501;
  answer.payload_length = 1000;
  dp_passthrough_from_server (replay->passthrough, &answer, replay->now);
  replay->n_running--;
  client->state = CLIENT_FINISHED;
  if (is_judged (replay, replay->now))
    {
      replay->result.n_in_time += time <= OBJECTIVE_MS * MS ? 1 : 0;
      replay->result.n_late += time > OBJECTIVE_MS * MS ? 1 : 0;
    }
  release_held (replay);
}

/* Half of the requests take half of the mean, the other half one and a half times it. */
static void
run_server (Replay *replay)
{
  while (replay->n_running < SLOTS && replay->queue->len > 0)
    {
      const guint number = g_array_index (replay->queue, guint, 0);
      Client *client = &g_array_index (replay->clients, Client, number);
      const guint factor = g_rand_boolean (replay->rand) ? 1 : 3;

      g_array_remove_index (replay->queue, 0);
      client->running = TRUE;
      client->done_at = replay->now + replay->load->work_ms * factor * MS / 2;
      replay->n_running++;
    }
}

static void
run_client (Replay *replay, guint number)
{
  const Client *client = &g_array_index (replay->clients, Client, number);

  if (client->running && client->done_at <= replay->now)
    finish_request (replay, number);
  else if (client->state == CLIENT_RETRIES && client->next_at <= replay->now)
    begin_attempt (replay, number);
  else if (client->state == CLIENT_SYN_SENT)
    retransmit_or_give_up (replay, number);
  else if (client->state == CLIENT_OPEN && client->next_at <= replay->now)
    send_request (replay, number);
}

static void
add_client (Replay *replay)
{
  const Client client = { .first_try_at = replay->now };
  const guint number = replay->clients->len;

  g_array_append_val (replay->clients, client);
  g_array_append_val (replay->active, number);
  begin_attempt (replay, number);
}

static void
run_step (Replay *replay)
{
  const double s = (double) replay->now / S;
  const Load *load = replay->load;
  const double rate = s >= load->from_s && s < load->to_s ? load->rate : load->usual_rate;
  const guint n_arrivals = (guint) (rate / 1000.0 + g_rand_double (replay->rand));

  if (replay->now % (TICK_MS * MS) == 0)
    {
      dp_passthrough_tick (replay->passthrough, replay->now);
      release_held (replay);
    }
  for (guint i = 0; i < n_arrivals; i++)
    add_client (replay);
  for (guint i = replay->active->len; i-- > 0;)
    {
      const guint number = g_array_index (replay->active, guint, i);

      run_client (replay, number);
      if (g_array_index (replay->clients, Client, number).state == CLIENT_FINISHED)
        g_array_remove_index_fast (replay->active, i);
    }
  run_server (replay);
}

/* Adds the results of one replay with the seed. */
static void
replay_load (const Load *load, guint32 seed, Result *result)
{
  const DpPassthroughLimits limits = { SLOTS, 60 * S };
  DpMember self = { .id = dp_member_id ("a-1"),
                    .name = (char *) "a-1",
                    .zone = (char *) "riga-a",
                    .slots = SLOTS,
                    .state = DP_MEMBER_ACTIVE };
  g_autoptr (DpMemberView) alone = dp_member_view_new (SERVICE, 1, &self, 1);
  Replay replay = {
    .load = load,
    .passthrough = dp_passthrough_new (SERVICE, "a-1", 0),
    .rand = g_rand_new_with_seed (seed),
    .clients = g_array_new (FALSE, FALSE, sizeof (Client)),
    .active = g_array_new (FALSE, FALSE, sizeof (guint)),
    .queue = g_array_new (FALSE, FALSE, sizeof (guint)),
    .result = *result,
  };

  dp_passthrough_set_limits (replay.passthrough, &limits);
  dp_passthrough_set_view (replay.passthrough, alone, 0);
  dp_passthrough_set_serving (replay.passthrough, TRUE);
  dp_passthrough_server_replaced (replay.passthrough, TRUE);
  /* The time in which other members may not be known yet is over when the load begins. */
  for (replay.now = 2 * S; replay.now < SECONDS_MAX * S; replay.now += MS)
    run_step (&replay);
  dp_passthrough_free (replay.passthrough);
  g_rand_free (replay.rand);
  g_array_unref (replay.clients);
  g_array_unref (replay.active);
  g_array_unref (replay.queue);
  *result = replay.result;
}

/* Three slots of 22 ms serve 136 requests a second. */
static const Load loads_[] = {
  { "twice what the slots can do, for 6 s, judged from its second second on", 100, 272, 4,
    10, 22, 440, 5, 0.05, 0.01, 0.95 },
  { "three times, with clients that wait until their deadline", 100, 408, 4, 10, 22, 1200,
    5, 0.05, 0.01, 0.95 },
  { "1.3 times", 100, 177, 4, 10, 22, 440, 5, 0.05, 0.01, 0.95 },
};

static void
test_loads (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (loads_); i++)
    {
      const Load *load = &loads_[i];
      const double work = N_SEEDS * (load->to_s - load->judged_from_s) * SLOTS * 1000.0
                          / load->work_ms;
      Result result = { 0 };
      double n_served;

      for (guint32 seed = 1; seed <= N_SEEDS; seed++)
        replay_load (load, seed, &result);
      n_served = result.n_in_time + result.n_late;
      CU_ASSERT_TRUE (result.n_late <= load->late_share_max * n_served);
      CU_ASSERT_TRUE (result.n_expired <= load->expired_share_max * result.n_attempts);
      CU_ASSERT_TRUE (result.n_in_time >= load->work_share_min * work);
      /* Shows by how much a changed policy keeps or misses the bounds. */
      if (g_getenv ("DP_TEST_VERBOSE") != NULL)
        g_print ("%s: in time %u of %.0f, late %u, attempts %u, expired %u\n", load->name,
                 result.n_in_time, work, result.n_late, result.n_attempts,
                 result.n_expired);
    }
}

static const DpTestCase cases_[] = {
  { "slots serve requests in time while demand exceeds them", test_loads },
};

DP_TEST_MAIN ("overload", cases_)
