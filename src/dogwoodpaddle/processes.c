#include "processes.h"

#include <libsoup/soup.h>
#include <string.h>

#include "protected/address.h"
#include "protected/json.h"
#include "protected/memberview.h"

/* A frozen balancer takes connections without ever answering. */
#define STATUS_TIMEOUT_S 3
/* Asked at the same time; 1,300 balancers would use up the file descriptors. */
#define MAX_CONNECTIONS 32
/* One balancer watches a few companions at 200 bytes each. */
#define MAX_STATUS_BYTES (4 * 1024 * 1024)
#define UNHEARD "no balancer that answers has heard from it"

typedef struct
{
  Processes *processes;
  guint pending;
  GPtrArray *answers; /* JsonNode */
} Poll;

typedef struct
{
  Poll *poll;
  Process *process; /* NULL: named by --balancer, not by the platform */
  char *peer;
  SoupMessage *message;
} Question;

static const char *const kind_strings_[] = { "balancer", "companion" };

G_STATIC_ASSERT (G_N_ELEMENTS (kind_strings_) == N_PROCESS_KINDS);

static void add_records_ (Processes *processes);
static void add_balancer_ (Processes *processes, const DpRecord *record);
static void add_members_ (Processes *processes, const DpRecord *record);
static Process *
add_ (Processes *processes, ProcessKind kind, const char *service, const char *name);
static Process *find_ (const Processes *processes,
                       ProcessKind kind,
                       const char *service,
                       const char *name);
static void ask_all_ (Cli *cli, Processes *processes);
static gboolean is_asked_ (const Processes *processes, const char *peer);
static void ask_ (SoupSession *session, Poll *poll, Process *process, const char *peer);
static void on_answer_ (GObject *source, GAsyncResult *result, gpointer user_data);
static const char *read_answer_ (Question *question, GBytes *body, const GError *error);
static void take_self_ (Question *question, JsonObject *status);
static void take_watched_ (Processes *processes, JsonNode *node);
static void process_free_ (gpointer data);
static gint compare_ (gconstpointer a, gconstpointer b);

/* Returns a short name of the kind. */
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
      && cli_list (cli, &processes->records, &processes->revision,
                   &processes->platform_error))
    add_records_ (processes);
  ask_all_ (cli, processes);
  if (processes->records == NULL)
    for (guint i = 0; i < processes->processes->len; i++)
      {
        const Process *process = g_ptr_array_index (processes->processes, i);

        processes->revision = MAX (processes->revision, process->revision);
      }
  g_ptr_array_sort (processes->processes, compare_);
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

/* Returns a service's companion, NULL if there is none. */
const Process *
processes_find (const Processes *processes, const char *service, const char *name)
{
  return find_ (processes, PROCESS_COMPANION, service, name);
}

guint
processes_count (const Processes *processes, guint64 revision)
{
  guint n = 0;

  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      n += process->answers && process->revision >= revision ? 1 : 0;
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
  Process *process = add_ (processes, PROCESS_BALANCER, "", record->name);
  g_autoptr (JsonNode) value = dp_record_value (record);
  JsonObject *object = dp_json_get_object (value);
  const char *ip = dp_json_get_string (object, "ip");
  guint64 port;
  DpAddress address;

  process->zone = g_strdup (dp_json_get_string (object, "zone"));
  if (ip != NULL && dp_json_get_uint (object, "http_port", &port))
    process->peer = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, ip, port);
  if (process->peer == NULL || !dp_address_parse (process->peer, &address, NULL))
    {
      g_clear_pointer (&process->peer, g_free);
      process->problem = g_strdup ("its object on the platform names no HTTP address");
    }
}

static void
add_members_ (Processes *processes, const DpRecord *record)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (JsonNode) value = dp_record_value (record);
  g_autoptr (DpMemberView)
      view = dp_member_view_new_from_json (record->name, record->revision, value, &error);

  if (view == NULL)
    {
      g_printerr ("dogwoodpaddle: %s\n", error->message);
      return;
    }
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *member = &view->members[i];
      Process *process = add_ (processes, PROCESS_COMPANION, record->name, member->name);

      process->zone = g_strdup (member->zone);
      process->state = g_strdup (dp_member_state_string (member->state));
      process->held = member->held;
      process->incarnation = member->incarnation;
      process->problem = g_strdup (UNHEARD);
    }
}

static Process *
add_ (Processes *processes, ProcessKind kind, const char *service, const char *name)
{
  Process *process = g_new0 (Process, 1);

  process->kind = kind;
  process->service = g_strdup (service);
  process->name = g_strdup (name);
  g_ptr_array_add (processes->processes, process);
  return process;
}

static Process *
find_ (const Processes *processes,
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

/* Asks all balancers and waits for the last answer or timeout. */
static void
ask_all_ (Cli *cli, Processes *processes)
{
  g_autoptr (SoupSession) session = soup_session_new_with_options (
      "timeout", STATUS_TIMEOUT_S, "max-conns", MAX_CONNECTIONS, NULL);
  g_autoptr (GPtrArray)
      answers = g_ptr_array_new_with_free_func ((GDestroyNotify) json_node_unref);
  Poll poll = { .processes = processes, .answers = answers };
  guint n_known = processes->processes->len;

  soup_session_set_proxy_resolver (session, NULL);
  for (guint i = 0; i < n_known; i++)
    {
      Process *process = g_ptr_array_index (processes->processes, i);

      if (process->kind == PROCESS_BALANCER && process->peer != NULL)
        ask_ (session, &poll, process, process->peer);
    }
  for (guint i = 0; cli->balancers != NULL && cli->balancers[i] != NULL; i++)
    if (!is_asked_ (processes, cli->balancers[i]))
      ask_ (session, &poll, NULL, cli->balancers[i]);
  while (poll.pending > 0)
    g_main_context_iteration (NULL, TRUE);
  for (guint i = 0; i < answers->len; i++)
    {
      JsonObject *status = dp_json_get_object (g_ptr_array_index (answers, i));
      JsonArray *watched = dp_json_get_array (status, "watched");

      for (guint k = 0; watched != NULL && k < json_array_get_length (watched); k++)
        take_watched_ (processes, json_array_get_element (watched, k));
    }
}

static gboolean
is_asked_ (const Processes *processes, const char *peer)
{
  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      if (g_strcmp0 (process->peer, peer) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
ask_ (SoupSession *session, Poll *poll, Process *process, const char *peer)
{
  g_autofree char *url = g_strdup_printf ("http://%s/status", peer);
  Question *question = g_new0 (Question, 1);

  question->poll = poll;
  question->process = process;
  question->peer = g_strdup (peer);
  question->message = soup_message_new (SOUP_METHOD_GET, url);
  poll->pending++;
  soup_session_send_and_read_async (session, question->message, G_PRIORITY_DEFAULT, NULL,
                                    on_answer_, question);
}

static void
on_answer_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Question *question = user_data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes)
      body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  const char *problem = read_answer_ (question, body, error);

  if (problem != NULL && question->process == NULL)
    {
      question->process = add_ (question->poll->processes, PROCESS_BALANCER, "",
                                question->peer);
      question->process->peer = g_strdup (question->peer);
    }
  if (problem != NULL)
    {
      g_free (question->process->problem);
      question->process->problem = g_strdup_printf ("status of %s: %s", question->peer,
                                                    problem);
    }
  question->poll->pending--;
  g_object_unref (question->message);
  g_free (question->peer);
  g_free (question);
}

/* Takes over an answer; returns what is wrong with it, NULL if nothing. */
static const char *
read_answer_ (Question *question, GBytes *body, const GError *error)
{
  guint status = soup_message_get_status (question->message);
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
  take_self_ (question, dp_json_get_object (node));
  g_ptr_array_add (question->poll->answers, g_steal_pointer (&node));
  return NULL;
}

static void
take_self_ (Question *question, JsonObject *status)
{
  const char *name = dp_json_get_string (status, "name");
  Process *process = question->process;

  if (name == NULL)
    name = question->peer;
  if (process == NULL)
    process = find_ (question->poll->processes, PROCESS_BALANCER, "", name);
  if (process == NULL)
    process = add_ (question->poll->processes, PROCESS_BALANCER, "", name);
  if (process->peer == NULL)
    process->peer = g_strdup (question->peer);
  if (process->zone == NULL)
    process->zone = g_strdup (dp_json_get_string (status, "zone"));
  g_clear_pointer (&process->problem, g_free);
  process->answers = dp_json_get_uint (status, "revision", &process->revision);
  if (!process->answers)
    process->problem = g_strdup ("its status names no revision");
  if (process->state == NULL)
    process->state = g_strdup (
        dp_json_get_boolean (status, "connected", FALSE) ? "connected" : "disconnected");
}

/* Takes over what a balancer heard from a companion. Of several watchers the one with the
 * highest revision counts: the others' last heartbeat is older. */
static void
take_watched_ (Processes *processes, JsonNode *node)
{
  JsonObject *object = dp_json_get_object (node);
  const char *service = dp_json_get_string (object, "service");
  const char *member = dp_json_get_string (object, "member");
  guint64 incarnation = 0;
  guint64 revision = 0;
  Process *process;

  if (service == NULL || member == NULL
      || !dp_json_get_uint (object, "revision", &revision))
    return;
  dp_json_get_uint (object, "incarnation", &incarnation);
  process = find_ (processes, PROCESS_COMPANION, service, member);
  if (process == NULL)
    {
      /* The platform knows better which members there are. */
      if (processes->records != NULL)
        return;
      process = add_ (processes, PROCESS_COMPANION, service, member);
      process->zone = g_strdup (dp_json_get_string (object, "zone"));
      process->state = g_strdup (dp_json_get_string (object, "state"));
      process->problem = g_strdup (UNHEARD);
    }
  if (process->incarnation != 0 && process->incarnation != incarnation)
    return;
  process->suspected += dp_json_get_boolean (object, "suspected", FALSE) ? 1 : 0;
  if (!dp_json_get_boolean (object, "heard", TRUE))
    return;
  if (process->answers && process->revision >= revision)
    return;
  process->answers = TRUE;
  g_clear_pointer (&process->problem, g_free);
  process->revision = revision;
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
  g_free (process->peer);
  g_free (process->problem);
  g_free (process->state);
  g_free (process);
}

static gint
compare_ (gconstpointer a, gconstpointer b)
{
  const Process *x = *(const Process *const *) a;
  const Process *y = *(const Process *const *) b;
  gint order;

  if (x->kind != y->kind)
    return x->kind < y->kind ? -1 : 1;
  order = g_strcmp0 (x->service, y->service);
  return order != 0 ? order : g_strcmp0 (x->name, y->name);
}
