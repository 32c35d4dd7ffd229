#include "stateful.h"

#include <stdlib.h>
#include <string.h>

#include "protected/error.h"

#define INITIAL_HOSTS 5
#define INITIAL_BALANCERS 3
#define HOSTS_MAX 24
/* After this time, the watchers remove a silent host. */
#define WATCH_TIMEOUT (5 * (gint64) G_USEC_PER_SEC)
/* Within this time, a new view reaches every connected process. */
#define VIEW_LAG_MAX (5 * (gint64) G_USEC_PER_SEC)

static const char *const op_strings_[] = {
  "open",
  "send",
  "respond",
  "close",
  "resend-syn",
  "stale-ack",
  "foreign",
  "join",
  "activate",
  "leave",
  "end",
  "kill",
  "pause",
  "resume",
  "server-reset",
  "server-down",
  "server-up",
  "update-host",
  "update-balancer",
  "update-all",
  "replace-balancer",
  "disconnect",
  "reconnect",
  "advance",
  "advance-long",
  "network",
};

G_STATIC_ASSERT (G_N_ELEMENTS (op_strings_) == N_OPS);

/* Relative frequency of each command, in the order of Op. */
static const guint weights_[] = {
  20, 30, 25, 5, 4, 6, 4, 4, 4, 4, 4, 1, 2, 4, 1, 1, 3, 8, 8, 4, 2, 1, 3, 30, 4, 2,
};

G_STATIC_ASSERT (G_N_ELEMENTS (weights_) == N_OPS);

typedef struct
{
  Driver *driver;
  gint64 published_at; /* us; 0: every connected process has the newest view */
  gboolean disconnected[DRIVER_HOSTS_MAX];
  guint64 requests;
} HistoryRun;

static void trace_line_ (const char *line, gpointer user_data);
static void execute_ (HistoryRun *run, const Command *command);
static void execute_host_ (HistoryRun *run, Op op, guint argument);
static void execute_flow_ (HistoryRun *run, Op op, guint argument);
static void relist_host_ (HistoryRun *run, guint host);
static void publish_ (HistoryRun *run);
static void advance_ (HistoryRun *run, gint64 delta);
static void update_all_ (HistoryRun *run);
static void set_network_ (Driver *driver, guint argument);
static void send_to_wrong_service_ (HistoryRun *run, guint host);
static gboolean is_last_active_ (const Driver *driver, guint host);

/* Returns the command's name. */
const char *
stateful_op_string (Op op)
{
  g_assert (op < N_OPS);
  return op_strings_[op];
}

/* Returns n_commands random commands, which the seed determines. */
GArray *
stateful_generate (guint64 seed, guint n_commands)
{
  GArray *commands = g_array_new (FALSE, FALSE, sizeof (Command));
  GRand *random = g_rand_new_with_seed ((guint32) (seed * 2654435761u + 1));
  guint total = 0;

  for (guint i = 0; i < N_OPS; i++)
    total += weights_[i];
  for (guint i = 0; i < n_commands; i++)
    {
      guint draw = (guint) g_rand_int_range (random, 0, (gint32) total);
      Command command = { 0 };

      while (draw >= weights_[command.op])
        draw -= weights_[command.op++];
      command.argument = (guint16) g_rand_int_range (random, 0, 1 << 16);
      g_array_append_val (commands, command);
    }
  g_rand_free (random);
  return commands;
}

char *
stateful_run (const GArray *commands,
              guint64 seed,
              DpMutant mutant,
              StatefulCount *count,
              GString *trace)
{
  HistoryRun run = { 0 };
  Driver *driver = driver_new (seed, "darbnica");
  char *violation = NULL;

  run.driver = driver;
  driver->mutant = mutant;
  for (guint i = 0; i < INITIAL_HOSTS; i++)
    driver_add_host (driver, 4, DP_MEMBER_ACTIVE);
  for (guint i = 0; i < INITIAL_BALANCERS; i++)
    driver_add_balancer (driver);
  update_all_ (&run);
  driver_advance (driver, 30 * (gint64) G_USEC_PER_SEC);
  if (trace != NULL)
    {
      driver->trace = trace_line_;
      driver->user_data = trace;
    }
  for (guint i = 0; i < commands->len && driver->violation->len == 0; i++)
    {
      const Command *command = &g_array_index (commands, Command, i);

      if (trace != NULL)
        g_string_append_printf (trace, "> %s %u\n", op_strings_[command->op],
                                command->argument);
      execute_ (&run, command);
      driver_run (driver);
    }
  if (driver->violation->len != 0)
    violation = g_strdup (driver->violation->str);
  if (count != NULL)
    {
      count->commands += commands->len;
      count->flows += driver->flows->len;
      count->requests += run.requests;
      count->members_visited_max = MAX (count->members_visited_max,
                                        driver->members_visited_max);
    }
  driver_free (driver);
  return violation;
}

GArray *
stateful_shrink (const GArray *commands, guint64 seed, DpMutant mutant)
{
  GArray *best = g_array_copy ((GArray *) commands);

  for (guint chunk = MAX (best->len / 2, 1); chunk > 0; chunk /= 2)
    {
      for (guint at = 0; at + chunk <= best->len;)
        {
          GArray *shorter = g_array_copy (best);
          g_autofree char *violation = NULL;

          g_array_remove_range (shorter, at, chunk);
          violation = stateful_run (shorter, seed, mutant, NULL, NULL);
          if (violation != NULL)
            {
              g_array_unref (best);
              best = shorter;
            }
          else
            {
              g_array_unref (shorter);
              at += chunk;
            }
        }
    }
  return best;
}

/* Returns the commands as text, one "NAME ARGUMENT" a line. */
char *
stateful_format (const GArray *commands)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < commands->len; i++)
    {
      const Command *command = &g_array_index (commands, Command, i);

      g_string_append_printf (text, "%s %u\n", op_strings_[command->op],
                              command->argument);
    }
  return g_string_free (text, FALSE);
}

/* Reads what stateful_format () wrote. Fails with DP_ERROR_INVALID, whose message names
 * the wrong line. */
GArray *
stateful_parse (const char *text, GError **error)
{
  GArray *commands = g_array_new (FALSE, FALSE, sizeof (Command));
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) words = g_strsplit (g_strstrip (lines[i]), " ", 2);
      Command command = { 0 };

      if (words[0] == NULL || words[0][0] == '#')
        continue;
      while (command.op < N_OPS && !g_str_equal (op_strings_[command.op], words[0]))
        command.op++;
      if (command.op == N_OPS || words[1] == NULL)
        {
          dp_error_set (error, DP_ERROR_INVALID, "history", NULL,
                        "line %u is not a command", i + 1);
          g_array_unref (commands);
          return NULL;
        }
      command.argument = (guint16) strtoul (words[1], NULL, 10);
      g_array_append_val (commands, command);
    }
  return commands;
}

static void
trace_line_ (const char *line, gpointer user_data)
{
  g_string_append_printf (user_data, "%s\n", line);
}

static void
execute_ (HistoryRun *run, const Command *command)
{
  Driver *driver = run->driver;
  guint argument = command->argument;

  switch ((Op) command->op)
    {
    case OP_OPEN:
      driver_open (driver, (DpTrafficClass) (argument % DP_N_TRAFFIC_CLASSES));
      break;
    case OP_SEND:
    case OP_RESPOND:
    case OP_CLOSE:
    case OP_RESEND_SYN:
    case OP_STALE_ACK:
    case OP_SERVER_RESET:
      if (driver->flows->len > 0)
        execute_flow_ (run, command->op, argument % driver->flows->len);
      break;
    case OP_JOIN:
      if (driver->n_hosts < HOSTS_MAX)
        {
          driver_add_host (driver, argument % 2 == 0 ? 4 : 2, DP_MEMBER_JOINING);
          publish_ (run);
        }
      break;
    case OP_UPDATE_BALANCER:
      driver_update_balancer (driver, argument % driver->n_balancers);
      break;
    case OP_UPDATE_ALL:
      update_all_ (run);
      break;
    case OP_REPLACE_BALANCER:
      driver_replace_balancer (driver, argument % driver->n_balancers);
      break;
    case OP_ADVANCE:
      advance_ (run, argument * G_GINT64_CONSTANT (20)); /* up to 1.3 s */
      break;
    case OP_ADVANCE_LONG:
      advance_ (run, argument * G_GINT64_CONSTANT (600)); /* up to 39 s */
      break;
    case OP_NETWORK:
      set_network_ (driver, argument);
      break;
    default:
      execute_host_ (run, command->op, argument % driver->n_hosts);
      break;
    }
}

static void
execute_flow_ (HistoryRun *run, Op op, guint flow)
{
  Driver *driver = run->driver;
  Flow *f = driver_flow (driver, flow);

  switch (op)
    {
    case OP_SEND:
      if (f->state == FLOW_SYN_SENT)
        driver_resend_syn (driver, flow);
      else
        driver_send (driver, flow, 100);
      run->requests++;
      break;
    case OP_RESPOND:
      if (f->state == FLOW_ESTABLISHED && f->server_bytes[f->host] != 0)
        driver_respond (driver, flow, 1000);
      break;
    case OP_SERVER_RESET:
      if (f->state == FLOW_ESTABLISHED)
        driver_fail_server (driver, flow);
      break;
    case OP_CLOSE:
      if (f->state == FLOW_ESTABLISHED)
        driver_close (driver, flow);
      break;
    case OP_RESEND_SYN:
      if (f->state == FLOW_ESTABLISHED)
        f->seq--;
      if (f->state == FLOW_SYN_SENT || f->state == FLOW_ESTABLISHED)
        driver_resend_syn (driver, flow);
      if (f->state == FLOW_ESTABLISHED)
        f->seq++;
      break;
    default:
      /* An old duplicate: it acknowledges a SYN-ACK that is no longer in use. */
      if (f->state != FLOW_SYN_SENT)
        break;
      f->seq++;
      f->server_isn += 12345;
      f->state = FLOW_ESTABLISHED;
      f->may_break = TRUE; /* the client has given up the flow, so a reset is allowed */
      driver_send (driver, flow, 10);
      break;
    }
}

static void
execute_host_ (HistoryRun *run, Op op, guint host)
{
  Driver *driver = run->driver;
  Host *h = &driver->hosts[host];

  if (!h->alive)
    return;
  switch (op)
    {
    case OP_FOREIGN:
      send_to_wrong_service_ (run, host);
      break;
    case OP_ACTIVATE:
      if (h->member.state == DP_MEMBER_JOINING)
        {
          driver_set_state (driver, host, DP_MEMBER_ACTIVE);
          publish_ (run);
        }
      break;
    case OP_LEAVE:
      if (!is_last_active_ (driver, host) && !h->paused)
        {
          driver_leave (driver, host);
          publish_ (run);
        }
      break;
    case OP_END:
      if (h->member.state == DP_MEMBER_LEAVING && !h->paused
          && dp_flow_engine_load (h->engine).flows == 0)
        {
          driver_remove (driver, host);
          publish_ (run);
        }
      break;
    case OP_KILL:
      if (!is_last_active_ (driver, host))
        {
          driver_kill (driver, host);
          publish_ (run);
        }
      break;
    case OP_PAUSE:
      driver_pause (driver, host);
      break;
    case OP_RESUME:
      driver_resume (driver, host);
      relist_host_ (run, host);
      break;
    case OP_SERVER_DOWN:
    case OP_SERVER_UP:
      h->server_up = op == OP_SERVER_UP;
      dp_flow_engine_set_server_up (h->engine, h->server_up, driver->now);
      break;
    case OP_UPDATE_HOST:
      if (!run->disconnected[host])
        driver_update_host (driver, host);
      break;
    case OP_DISCONNECT:
    case OP_RECONNECT:
      run->disconnected[host] = op == OP_DISCONNECT;
      dp_flow_engine_set_receiving_views (h->engine, op == OP_RECONNECT, driver->now);
      if (op == OP_DISCONNECT && h->silent_at == 0)
        h->silent_at = driver->now;
      if (op == OP_RECONNECT)
        relist_host_ (run, host);
      break;
    default:
      break;
    }
}

/* Lists a host again if it is neither paused nor disconnected any more. The host gets the
 * views that it missed within VIEW_LAG_MAX, as other processes do. */
static void
relist_host_ (HistoryRun *run, guint host)
{
  Host *h = &run->driver->hosts[host];

  if (h->paused || run->disconnected[host])
    return;
  h->silent_at = 0;
  if (h->removed_by_watchers)
    h->member.incarnation++;
  h->removed_by_watchers = FALSE;
  publish_ (run);
}

static void
publish_ (HistoryRun *run)
{
  /* If some process still lacks an older view, the lag counts from that view. */
  driver_publish (run->driver);
  if (run->published_at == 0)
    run->published_at = run->driver->now;
}

/* Advances the clock. Every connected process gets a new view within VIEW_LAG_MAX. */
static void
advance_ (HistoryRun *run, gint64 delta)
{
  Driver *driver = run->driver;
  gint64 end = driver->now + delta;

  for (guint i = 0; i < driver->n_hosts; i++)
    {
      Host *host = &driver->hosts[i];

      if (host->alive && host->silent_at != 0 && !host->removed_by_watchers
          && end >= host->silent_at + WATCH_TIMEOUT)
        {
          driver_advance (driver, MAX (host->silent_at + WATCH_TIMEOUT - driver->now, 0));
          driver_remove_silent (driver, i);
          publish_ (run);
        }
    }
  if (run->published_at != 0 && end >= run->published_at + VIEW_LAG_MAX)
    {
      gint64 due = MAX (run->published_at + VIEW_LAG_MAX - 1 - driver->now, 0);

      driver_advance (driver, due);
      update_all_ (run);
    }
  driver_advance (driver, MAX (end - driver->now, 0));
}

static void
update_all_ (HistoryRun *run)
{
  Driver *driver = run->driver;

  driver_publish (driver);
  for (guint i = 0; i < driver->n_hosts; i++)
    {
      if (!run->disconnected[i])
        driver_update_host (driver, i);
    }
  for (guint i = 0; i < driver->n_balancers; i++)
    driver_update_balancer (driver, i);
  run->published_at = 0;
}

static void
set_network_ (Driver *driver, guint argument)
{
  driver->loss = argument % 3 == 0 ? 0.0 : (argument % 10) / 250.0;
  driver->duplicate = argument % 7 == 0 ? 0.2 : 0.0;
  driver->reorder = argument % 5 == 0;
}

/* Sends a packet of another service directly to the host, which must drop it with
 * DP_REASON_WRONG_SERVICE. */
static void
send_to_wrong_service_ (HistoryRun *run, guint host)
{
  Driver *driver = run->driver;
  Host *h = &driver->hosts[host];
  DpHeader header = { .service_id = dp_service_id ("rokasgramata"), .n_visited = 1 };
  DpSegment segment = { .key.client = { 0xc6336401, 9 },
                        .key.service = driver->addresses[0].address,
                        .flags = DP_TCP_SYN };
  DpActions actions;
  const DpAction *action;

  if (h->paused)
    return;
  header.visited[0] = h->member.id;
  segment.hash = dp_flow_key_hash (&segment.key);
  dp_actions_init (&actions);
  dp_flow_engine_packet (h->engine, &header, &segment, driver->now, &actions);
  action = actions.items->len == 0 ? NULL : &g_array_index (actions.items, DpAction, 0);
  if (action == NULL || action->type != DP_ACTION_DROP
      || action->reason != DP_REASON_WRONG_SERVICE)
    g_string_assign (driver->violation, "a packet of another service was not dropped");
  dp_actions_finish (&actions);
}

/* Returns whether the service would have no active member without the host. */
static gboolean
is_last_active_ (const Driver *driver, guint host)
{
  for (guint i = 0; i < driver->n_hosts; i++)
    {
      const Host *other = &driver->hosts[i];

      if (i != host && other->alive && !other->paused
          && other->member.state == DP_MEMBER_ACTIVE)
        return FALSE;
    }
  return TRUE;
}
