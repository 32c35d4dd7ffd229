/* The command explain: shows what the logs of all processes say about one flow. */
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "protected/address.h"
#include "protected/json.h"
#include "protected/segment.h"

/* One log line about the flow. */
typedef struct
{
  char *time;
  char *process;
  char *action;
  char *reason;
  char *inputs;
  guint64 seq;
  gint64 visited; /* members visited before; -1: line of the balancer */
} LogLine;

/* What a logged decision means for the flow, as text for operators. */
typedef struct
{
  const char *action;
  const char *reason;
  const char *cause;
} KnownCause;

static const KnownCause known_causes_[] = {
  { "reset", "overloaded",
    "rejected under load: no member expected to serve it in time; nothing has run" },
  { "reset", "not_serving",
    "rejected: the members that it visited were leaving or down; nothing has run" },
  { "reset", "no_route", "rejected: no service has this address; nothing has run" },
  { "reset", "no_member", "rejected: the service has no member; nothing has run" },
  { "reset", "evacuated",
    "rejected: all members are in evacuated availability zones; nothing has run" },
  { "reset", "lost", "the server has crashed while it held the flow" },
  { "drop", "no_route", "dropped: no service has this address, as far as is known" },
  { "drop", "no_member", "dropped: no member of the service is known yet" },
  { "drop", "evacuated",
    "dropped: a copy of a SYN while all members are in evacuated availability zones" },
  { "drop", "expired", "its SYN waited until its client had given up; nothing has run" },
  { "hold", "late",
    "could not be served within its objective any more and waited for an idle slot" },
  { "drop", "gathering",
    "dropped just after a start or a pause, when the member could not know whether "
    "another "
    "one has taken the flow" },
  { "drop", "not_found",
    "no member has the flow: its server has crashed, or is cut off" },
  { "drop", "stale",
    "came at a member while that was paused; other members got it meanwhile" },
  { "drop", "wrong_service", "a packet of another service arrived at the member" },
  { "to_member", "member_silent",
    "stalled: the member that has the flow is down or cut off" },
  { "to_client", "repeated",
    "the server has answered, but its client does not acknowledge the answer" },
};

static gboolean
read_file_ (Cli *cli, const char *path, const char *flow, GPtrArray *lines);
static void parse_line_ (const char *text, const char *flow, GPtrArray *lines);
static gboolean matches_flow_ (JsonObject *object, const char *flow);
static gint64 read_visited_ (const char *inputs);
static void log_line_free_ (gpointer data);
static void sort_lines_ (GPtrArray *lines);
static gboolean precedes_ (const LogLine *a, const LogLine *b);
static const KnownCause *find_cause_ (const GPtrArray *lines);
static char *normalize_flow_ (const char *flow);

/* The flow is given as an id of 16 hexadecimal digits or as "CLIENT-IP:PORT", as a client
 * logs it. */
CliStatus
command_explain (Cli *cli)
{
  g_autoptr (GPtrArray) lines = g_ptr_array_new_with_free_func (log_line_free_);
  g_autofree char *flow = normalize_flow_ (cli->arguments[0]);
  const KnownCause *cause;

  if (flow == NULL)
    {
      cli_error (cli, "\"%s\" is neither a flow's id nor a client's IP:PORT",
                 cli->arguments[0]);
      return CLI_USAGE;
    }
  for (guint i = 1; cli->arguments[i] != NULL; i++)
    if (!read_file_ (cli, cli->arguments[i], flow, lines))
      return CLI_FAILED;
  sort_lines_ (lines);
  for (guint i = 0; i < lines->len; i++)
    {
      const LogLine *log_line = g_ptr_array_index (lines, i);

      cli_print (cli, "%s  %-24s %s (%s) %s", log_line->time, log_line->process,
                 log_line->action, log_line->reason, log_line->inputs);
    }
  cause = find_cause_ (lines);
  if (lines->len == 0)
    cli_print (cli, "cause: not known: no line names the flow; it is not in the sample, "
                    "or its packets reached no process");
  else if (cause == NULL)
    cli_print (cli, "cause: none here: the flow was passed on as it should be");
  else
    cli_print (cli, "cause: %s", cause->cause);
  json_object_set_int_member (cli->report, "lines", lines->len);
  json_object_set_string_member (cli->report, "cause", cause == NULL ? "" : cause->cause);
  return CLI_DONE;
}

static gboolean
read_file_ (Cli *cli, const char *path, const char *flow, GPtrArray *lines)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) parts = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      cli_error (cli, "%s", error->message);
      return FALSE;
    }
  parts = g_strsplit (text, "\n", -1);
  for (guint i = 0; parts[i] != NULL; i++)
    parse_line_ (parts[i], flow, lines);
  return TRUE;
}

/* Parses a line of a log and appends it to lines if it is about the flow. Text in front
 * of the JSON object, which log collectors may add, is skipped. */
static void
parse_line_ (const char *text, const char *flow, GPtrArray *lines)
{
  const char *begin = strchr (text, '{');
  g_autoptr (JsonNode) node = NULL;
  JsonObject *object;
  LogLine *log_line;

  if (begin == NULL || strstr (begin, "\"flow\"") == NULL)
    return;
  node = dp_json_parse (begin, strlen (begin), NULL);
  object = dp_json_get_object (node);
  if (object == NULL || !matches_flow_ (object, flow))
    return;
  log_line = g_new0 (LogLine, 1);
  log_line->time = g_strdup (dp_json_get_string (object, "time"));
  log_line->process = g_strdup (dp_json_get_string (object, "process"));
  log_line->action = g_strdup (dp_json_get_string (object, "action"));
  log_line->reason = g_strdup (dp_json_get_string (object, "reason"));
  log_line->inputs = g_strdup (dp_json_get_string (object, "inputs"));
  log_line->visited = read_visited_ (log_line->inputs);
  if (dp_json_get_string (object, "seq") != NULL)
    log_line->seq = g_ascii_strtoull (dp_json_get_string (object, "seq"), NULL, 10);
  if (log_line->time != NULL && log_line->process != NULL && log_line->action != NULL
      && log_line->reason != NULL && log_line->inputs != NULL)
    g_ptr_array_add (lines, log_line);
  else
    log_line_free_ (log_line);
}

static gboolean
matches_flow_ (JsonObject *object, const char *flow)
{
  return g_strcmp0 (dp_json_get_string (object, "flow"), flow) == 0
         || g_strcmp0 (dp_json_get_string (object, "client"), flow) == 0;
}

static gint64
read_visited_ (const char *inputs)
{
  const char *found = inputs == NULL ? NULL : strstr (inputs, "visited=");

  return found == NULL ? -1 : g_ascii_strtoll (found + strlen ("visited="), NULL, 10);
}

static void
log_line_free_ (gpointer data)
{
  LogLine *log_line = data;

  g_free (log_line->time);
  g_free (log_line->process);
  g_free (log_line->action);
  g_free (log_line->reason);
  g_free (log_line->inputs);
  g_free (log_line);
}

/* Insertion sort, because precedes_ () is not transitive: it compares some pairs by hop
 * and others by time. */
static void
sort_lines_ (GPtrArray *lines)
{
  for (guint i = 1; i < lines->len; i++)
    for (guint j = i; j > 0; j--)
      {
        gpointer a = g_ptr_array_index (lines, j - 1);
        gpointer b = g_ptr_array_index (lines, j);

        if (!precedes_ (b, a))
          break;
        lines->pdata[j - 1] = b;
        lines->pdata[j] = a;
      }
}

/* The clocks of hosts differ, so the hops of one packet are compared by the number of
 * members visited, and all other lines by time. */
static gboolean
precedes_ (const LogLine *a, const LogLine *b)
{
  if (a->seq == b->seq && a->visited != b->visited)
    return a->visited < b->visited;
  return strcmp (a->time, b->time) < 0;
}

/* Returns the cause of the last decision that harmed the flow, NULL if there is none. */
static const KnownCause *
find_cause_ (const GPtrArray *lines)
{
  for (guint i = lines->len; i > 0; i--)
    {
      const LogLine *log_line = g_ptr_array_index (lines, i - 1);

      for (guint j = 0; j < G_N_ELEMENTS (known_causes_); j++)
        if (g_str_equal (log_line->action, known_causes_[j].action)
            && g_str_equal (log_line->reason, known_causes_[j].reason))
          return &known_causes_[j];
    }
  return NULL;
}

static char *
normalize_flow_ (const char *flow)
{
  DpAddress address;

  if (strlen (flow) == 16 && strspn (flow, "0123456789abcdefABCDEF") == 16)
    return g_ascii_strdown (flow, -1);
  return dp_address_parse (flow, &address, NULL) ? g_strdup (flow) : NULL;
}
