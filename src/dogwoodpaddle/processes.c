#include "processes.h"

#include <libsoup/soup.h>
#include <string.h>

#include "protected/address.h"
#include "protected/json.h"
#include "protected/memberview.h"

/* A balancer that hangs accepts connections without ever answering. */
#define STATUS_TIMEOUT_S 3
/* Concurrent requests. One for each of 1,300 balancers at once would use up the file
 * descriptors. */
#define MAX_CONNECTIONS 32
/* A balancer watches only a few companions and reports about 200 bytes for each. */
#define MAX_STATUS_BYTES (4 * 1024 * 1024)
#define PROBLEM_NOT_HEARD "no balancer that answers has heard from it"

typedef struct
{
  Processes *processes;
  guint pending;
  GPtrArray *answers; /* JsonNode */
} StatusPoll;

typedef struct
{
  StatusPoll *poll;
  Process *process; /* NULL: from --balancer, not from the platform */
  char *http_address;
  SoupMessage *message;
} StatusRequest;

static const char *const kind_strings_[] = { "balancer", "companion" };

G_STATIC_ASSERT (G_N_ELEMENTS (kind_strings_) == N_PROCESS_KINDS);

static void add_records_ (Processes *processes);
static void add_balancer_ (Processes *processes, const DpRecord *record);
static void add_members_ (Processes *processes, const DpRecord *record);
static Process *add_process_ (Processes *processes,
                              ProcessKind kind,
                              const char *service,
                              const char *name);
static Process *find_process_ (const Processes *processes,
                               ProcessKind kind,
                               const char *service,
                               const char *name);
static void query_balancers_ (Cli *cli, Processes *processes);
static gboolean is_known_address_ (const Processes *processes, const char *http_address);
static void send_request_ (SoupSession *session,
                           StatusPoll *poll,
                           Process *process,
                           const char *http_address);
static void on_answer_ (GObject *source, GAsyncResult *result, gpointer user_data);
static const char *
read_answer_ (StatusRequest *request, GBytes *body, const GError *error);
static void apply_own_status_ (StatusRequest *request, JsonObject *status);
static void apply_watched_member_ (Processes *processes, JsonNode *node);
static void process_free_ (gpointer data);
static gint compare_processes_ (gconstpointer a, gconstpointer b);

/* Returns the name of the kind in output and reports. */
const char *
process_kind_string (ProcessKind kind)
{
  g_assert (kind < N_PROCESS_KINDS);
  return kind_strings_[kind];
}

Processes *
processes_collect (Cli *cli)
{
  Processes *processes = g_new0 (Processes, 1);

  processes->processes = g_ptr_array_new_with_free_func (process_free_);
  if (cli->platform != NULL
      && cli_list (cli, &processes->records, &processes->position,
                   &processes->platform_error))
    add_records_ (processes);
  query_balancers_ (cli, processes);
  if (processes->records == NULL)
    for (guint i = 0; i < processes->processes->len; i++)
      {
        const Process *process = g_ptr_array_index (processes->processes, i);

        processes->position = MAX (processes->position, process->position);
      }
  g_ptr_array_sort (processes->processes, compare_processes_);
  return processes;
}

void
processes_free (Processes *processes)
{
  if (processes == NULL)
    return;
  g_ptr_array_unref (processes->processes);
  g_clear_pointer (&processes->records, g_ptr_array_unref);
  g_clear_error (&processes->platform_error);
  g_free (processes);
}

const Process *
processes_find (const Processes *processes, const char *service, const char *name)
{
  return find_process_ (processes, PROCESS_COMPANION, service, name);
}

guint
processes_count (const Processes *processes, DpPosition position)
{
  guint n = 0;

  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      n += process->position_known && process->position >= position ? 1 : 0;
    }
  return n;
}

static void
add_records_ (Processes *processes)
{
  for (guint i = 0; i < processes->records->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (processes->records, i);

      if (record->deleted)
        continue;
      if (record->kind == DP_KIND_BALANCER)
        add_balancer_ (processes, record);
      else if (record->kind == DP_KIND_MEMBERS)
        add_members_ (processes, record);
    }
}

static void
add_balancer_ (Processes *processes, const DpRecord *record)
{
  Process *process = add_process_ (processes, PROCESS_BALANCER, "", record->name);
  g_autoptr (JsonNode) value = dp_record_value (record);
  JsonObject *object = dp_json_get_object (value);
  const char *ip = dp_json_get_string (object, "ip");
  guint64 port;
  DpAddress address;

  process->zone = g_strdup (dp_json_get_string (object, "zone"));
  if (ip != NULL && dp_json_get_uint (object, "http_port", &port))
    process->http_address = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, ip, port);
  if (process->http_address == NULL
      || !dp_address_parse (process->http_address, &address, NULL))
    {
      g_clear_pointer (&process->http_address, g_free);
      process->problem = g_strdup ("its object on the platform names no HTTP address");
    }
}

static void
add_members_ (Processes *processes, const DpRecord *record)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) value = dp_record_value (record);
  g_autoptr (DpMemberView)
      view = dp_member_view_new_from_json (record->name, record->position, value, &error);

  if (view == NULL)
    {
      g_printerr ("dogwoodpaddle: %s\n", error->message);
      return;
    }
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *member = &view->members[i];
      Process *process = add_process_ (processes, PROCESS_COMPANION, record->name,
                                       member->name);

      process->zone = g_strdup (member->zone);
      process->state = g_strdup (dp_member_state_string (member->state));
      process->held = member->held;
      process->incarnation = member->incarnation;
      process->problem = g_strdup (PROBLEM_NOT_HEARD);
    }
}

static Process *
add_process_ (Processes *processes,
              ProcessKind kind,
              const char *service,
              const char *name)
{
  Process *process = g_new0 (Process, 1);

  process->kind = kind;
  process->service = g_strdup (service);
  process->name = g_strdup (name);
  g_ptr_array_add (processes->processes, process);
  return process;
}

static Process *
find_process_ (const Processes *processes,
               ProcessKind kind,
               const char *service,
               const char *name)
{
  for (guint i = 0; i < processes->processes->len; i++)
    {
      Process *process = g_ptr_array_index (processes->processes, i);

      if (process->kind == kind && g_str_equal (process->service, service)
          && g_str_equal (process->name, name))
        return process;
    }
  return NULL;
}

/* Queries all balancers and waits until each has answered or timed out. What they report
 * about companions is applied last, when all processes on the platform and all balancers
 * are known. */
static void
query_balancers_ (Cli *cli, Processes *processes)
{
  g_autoptr (SoupSession) session = soup_session_new_with_options (
      "timeout", STATUS_TIMEOUT_S, "max-conns", MAX_CONNECTIONS, NULL);
  g_autoptr (GPtrArray)
      answers = g_ptr_array_new_with_free_func ((GDestroyNotify) json_node_unref);
  StatusPoll poll = { .processes = processes, .answers = answers };
  guint n_known = processes->processes->len;

  soup_session_set_proxy_resolver (session, NULL);
  for (guint i = 0; i < n_known; i++)
    {
      Process *process = g_ptr_array_index (processes->processes, i);

      if (process->kind == PROCESS_BALANCER && process->http_address != NULL)
        send_request_ (session, &poll, process, process->http_address);
    }
  for (guint i = 0; cli->balancers != NULL && cli->balancers[i] != NULL; i++)
    if (!is_known_address_ (processes, cli->balancers[i]))
      send_request_ (session, &poll, NULL, cli->balancers[i]);
  while (poll.pending > 0)
    g_main_context_iteration (NULL, TRUE);
  for (guint i = 0; i < answers->len; i++)
    {
      JsonObject *status = dp_json_get_object (g_ptr_array_index (answers, i));
      JsonArray *watched = dp_json_get_array (status, "watched");

      for (guint k = 0; watched != NULL && k < json_array_get_length (watched); k++)
        apply_watched_member_ (processes, json_array_get_element (watched, k));
    }
}

static gboolean
is_known_address_ (const Processes *processes, const char *http_address)
{
  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      if (g_strcmp0 (process->http_address, http_address) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
send_request_ (SoupSession *session,
               StatusPoll *poll,
               Process *process,
               const char *http_address)
{
  g_autofree char *url = g_strdup_printf ("http://%s/status", http_address);
  StatusRequest *request = g_new0 (StatusRequest, 1);

  request->poll = poll;
  request->process = process;
  request->http_address = g_strdup (http_address);
  request->message = soup_message_new (SOUP_METHOD_GET, url);
  poll->pending++;
  soup_session_send_and_read_async (session, request->message, G_PRIORITY_DEFAULT, NULL,
                                    on_answer_, request);
}

static void
on_answer_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  StatusRequest *request = user_data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes)
      body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  const char *problem = read_answer_ (request, body, error);

  if (problem != NULL && request->process == NULL)
    {
      request->process = add_process_ (request->poll->processes, PROCESS_BALANCER, "",
                                       request->http_address);
      request->process->http_address = g_strdup (request->http_address);
    }
  if (problem != NULL)
    {
      g_free (request->process->problem);
      request->process->problem = g_strdup_printf ("status of %s: %s",
                                                   request->http_address, problem);
    }
  request->poll->pending--;
  g_object_unref (request->message);
  g_free (request->http_address);
  g_free (request);
}

/* Applies an answer. Returns what is wrong with it, or NULL. */
static const char *
read_answer_ (StatusRequest *request, GBytes *body, const GError *error)
{
  guint status = soup_message_get_status (request->message);
  g_autoptr (JsonNode) node = NULL;
  gsize length;
  const char *text;

  if (body == NULL)
    return error->message;
  if (status != SOUP_STATUS_OK)
    return soup_status_get_phrase (status);
  text = g_bytes_get_data (body, &length);
  if (text == NULL || length > MAX_STATUS_BYTES)
    return "the answer is empty or too long";
  node = dp_json_parse (text, length, NULL);
  if (dp_json_get_object (node) == NULL)
    return "the answer is not a JSON object";
  apply_own_status_ (request, dp_json_get_object (node));
  g_ptr_array_add (request->poll->answers, g_steal_pointer (&node));
  return NULL;
}

static void
apply_own_status_ (StatusRequest *request, JsonObject *status)
{
  const char *name = dp_json_get_string (status, "name");
  Process *process = request->process;

  if (name == NULL)
    name = request->http_address;
  if (process == NULL)
    process = find_process_ (request->poll->processes, PROCESS_BALANCER, "", name);
  if (process == NULL)
    process = add_process_ (request->poll->processes, PROCESS_BALANCER, "", name);
  if (process->http_address == NULL)
    process->http_address = g_strdup (request->http_address);
  if (process->zone == NULL)
    process->zone = g_strdup (dp_json_get_string (status, "zone"));
  g_clear_pointer (&process->problem, g_free);
  process->position_known = dp_position_get_from_json (status, &process->position);
  if (!process->position_known)
    process->problem = g_strdup ("its status names no revision");
  if (process->state == NULL)
    process->state = g_strdup (
        dp_json_get_boolean (status, "connected", FALSE) ? "connected" : "disconnected");
}

/* Applies a balancer's report about a companion that it watches. If several balancers
 * watch the companion, the report with the highest revision counts: reports with a lower
 * one are from an earlier heartbeat. */
static void
apply_watched_member_ (Processes *processes, JsonNode *node)
{
  JsonObject *object = dp_json_get_object (node);
  const char *service = dp_json_get_string (object, "service");
  const char *member = dp_json_get_string (object, "member");
  guint64 incarnation = 0;
  DpPosition position = 0;
  Process *process;

  if (service == NULL || member == NULL || !dp_position_get_from_json (object, &position))
    return;
  dp_json_get_uint (object, "incarnation", &incarnation);
  process = find_process_ (processes, PROCESS_COMPANION, service, member);
  if (process == NULL)
    {
      /* The platform's member list is authoritative. */
      if (processes->records != NULL)
        return;
      process = add_process_ (processes, PROCESS_COMPANION, service, member);
      process->zone = g_strdup (dp_json_get_string (object, "zone"));
      process->state = g_strdup (dp_json_get_string (object, "state"));
      process->problem = g_strdup (PROBLEM_NOT_HEARD);
    }
  if (process->incarnation != 0 && process->incarnation != incarnation)
    return;
  process->suspected += dp_json_get_boolean (object, "suspected", FALSE) ? 1 : 0;
  if (!dp_json_get_boolean (object, "heard", TRUE))
    return;
  if (process->position_known && process->position >= position)
    return;
  process->position_known = TRUE;
  g_clear_pointer (&process->problem, g_free);
  process->position = position;
  dp_json_get_uint (object, "busy", &process->busy);
  dp_json_get_uint (object, "connections", &process->connections);
}

static void
process_free_ (gpointer data)
{
  Process *process = data;

  g_free (process->service);
  g_free (process->name);
  g_free (process->zone);
  g_free (process->http_address);
  g_free (process->problem);
  g_free (process->state);
  g_free (process);
}

static gint
compare_processes_ (gconstpointer a, gconstpointer b)
{
  const Process *x = *(const Process *const *) a;
  const Process *y = *(const Process *const *) b;
  gint service_order;

  if (x->kind != y->kind)
    return x->kind < y->kind ? -1 : 1;
  service_order = g_strcmp0 (x->service, y->service);
  return service_order != 0 ? service_order : g_strcmp0 (x->name, y->name);
}
