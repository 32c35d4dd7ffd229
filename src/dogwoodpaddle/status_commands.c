/* The commands status and watch: in which processes the accepted configuration is in
 * force. */
#include "processes.h"
#include "protected/fleet.h"

#define POLL_MS 500
/* A process that has just started lacks every object, which would be more than a screen
 * can show. */
#define MAX_PRINTED_CHANGES 10

static CliStatus require_answer_ (Cli *cli, const Processes *processes);
static const DpRecord *newest_change_ (const Processes *processes);
static void print_platform_ (Cli *cli, const Processes *processes);
static void print_changes_ (Cli *cli, const Processes *processes);
static GPtrArray *find_missing_changes_ (const Processes *processes);
static gint compare_positions_ (gconstpointer a, gconstpointer b);
static void print_processes_ (Cli *cli, const Processes *processes, DpPosition target);
static void print_process_ (Cli *cli, const Process *process, DpPosition target);
static JsonObject *process_entry_ (const Process *process, DpPosition target);
static void print_progress_ (Cli *cli, const Processes *processes, DpPosition target);
static gboolean is_in_force_everywhere_ (const Processes *processes, DpPosition target);

/* Prints the accepted revision, the number of processes in which it is in force, and
 * which processes lag behind. */
CliStatus
command_status (Cli *cli)
{
  g_autoptr (Processes) processes = NULL;
  CliStatus status;

  if (cli->platform == NULL && cli->balancers == NULL && !cli_require_platform (cli))
    return CLI_USAGE;
  processes = processes_collect (cli);
  status = require_answer_ (cli, processes);
  if (status != CLI_DONE)
    return status;
  print_platform_ (cli, processes);
  print_changes_ (cli, processes);
  print_progress_ (cli, processes, processes->position);
  print_processes_ (cli, processes, processes->position);
  return CLI_DONE;
}

/* Polls until the revision is in force in every process; CLI_FAILED after the timeout.
 * Without --revision, it is the platform's revision at its first answer. */
CliStatus
command_watch (Cli *cli)
{
  gint64 deadline = g_get_monotonic_time () + (gint64) cli->timeout_s * G_USEC_PER_SEC;
  DpPosition target = cli->position;
  gboolean has_target = target != 0;
  guint n_printed = G_MAXUINT;

  if (cli->platform == NULL && cli->balancers == NULL && !cli_require_platform (cli))
    return CLI_USAGE;
  for (;;)
    {
      g_autoptr (Processes) processes = processes_collect (cli);
      CliStatus status = require_answer_ (cli, processes);
      guint n_in_force = processes_count (processes, target);

      if (!has_target && status == CLI_DONE)
        {
          target = processes->position;
          has_target = TRUE;
          n_in_force = processes_count (processes, target);
        }
      if (status == CLI_DONE && n_in_force != n_printed)
        print_progress_ (cli, processes, target);
      n_printed = n_in_force;
      if (status == CLI_DONE && is_in_force_everywhere_ (processes, target))
        {
          print_processes_ (cli, processes, target);
          return CLI_DONE;
        }
      if (g_get_monotonic_time () >= deadline)
        {
          print_processes_ (cli, processes, target);
          cli_error (cli, "not in force everywhere after %d s", cli->timeout_s);
          return status == CLI_DONE ? CLI_FAILED : status;
        }
      cli_sleep (POLL_MS);
    }
}

/* Returns CLI_DONE if the platform or at least one process has answered; otherwise prints
 * the errors and returns CLI_UNKNOWN. */
static CliStatus
require_answer_ (Cli *cli, const Processes *processes)
{
  gboolean answered = processes->records != NULL;

  for (guint i = 0; !answered && i < processes->processes->len; i++)
    answered = ((Process *) g_ptr_array_index (processes->processes, i))->position_known;
  if (answered)
    return CLI_DONE;
  if (processes->platform_error != NULL)
    cli_error (cli, "%s; name a balancer by --balancer IP:PORT to ask it instead",
               processes->platform_error->message);
  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      cli_error (cli, "%s", process->problem);
    }
  return CLI_UNKNOWN;
}

/* Returns the operators' object that was changed last, or NULL if there is none. */
static const DpRecord *
newest_change_ (const Processes *processes)
{
  const DpRecord *newest = NULL;

  for (guint i = 0; processes->records != NULL && i < processes->records->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (processes->records, i);

      if (!record->deleted && dp_fleet_section_key (record->kind) != NULL
          && (newest == NULL || record->position > newest->position))
        newest = record;
    }
  return newest;
}

static void
print_platform_ (Cli *cli, const Processes *processes)
{
  g_autofree char *position = dp_position_to_string (processes->position);

  json_object_set_boolean_member (cli->report, "platform", processes->records != NULL);
  dp_position_add_to_json (cli->report, processes->position);
  if (processes->records != NULL)
    {
      cli_print (cli, "platform %s: revision %s", cli->platform_url, position);
      return;
    }
  if (processes->platform_error != NULL)
    cli_print (cli, "platform: %s", processes->platform_error->message);
  cli_print (cli,
             "the accepted revision is unknown; the highest that a process has is %s",
             position);
}

/* Prints the operators' newest change and every change that an answering process lacks,
 * newest first. Changes that only processes without an answer may lack are left out;
 * those processes are listed as such. */
static void
print_changes_ (Cli *cli, const Processes *processes)
{
  g_autoptr (GPtrArray) changes = find_missing_changes_ (processes);
  JsonArray *list = json_array_new ();

  for (guint i = 0; i < changes->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (changes, i);
      guint n_in_force = processes_count (processes, record->position);
      g_autofree char *key = g_strdup_printf ("%s/%s", dp_kind_string (record->kind),
                                              record->name);
      g_autofree char *position = dp_position_to_string (record->position);
      JsonObject *entry = json_object_new ();

      json_object_set_string_member (entry, "object", key);
      dp_position_add_to_json (entry, record->position);
      json_object_set_int_member (entry, "in_force", n_in_force);
      json_object_set_int_member (entry, "processes", processes->processes->len);
      json_array_add_object_element (list, entry);
      if (i < MAX_PRINTED_CHANGES)
        cli_print (cli, "%s: accepted at revision %s, in force on %u of %u processes",
                   key, position, n_in_force, processes->processes->len);
    }
  if (changes->len > MAX_PRINTED_CHANGES)
    cli_print (cli, "and %u earlier changes", changes->len - MAX_PRINTED_CHANGES);
  json_object_set_array_member (cli->report, "changes", list);
}

static GPtrArray *
find_missing_changes_ (const Processes *processes)
{
  const DpRecord *newest = newest_change_ (processes);
  GPtrArray *changes = g_ptr_array_new ();
  DpPosition lowest = DP_POSITION_MAX;

  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      if (process->position_known)
        lowest = MIN (lowest, process->position);
    }
  for (guint i = 0; processes->records != NULL && i < processes->records->len; i++)
    {
      DpRecord *record = g_ptr_array_index (processes->records, i);

      if (!record->deleted && dp_fleet_section_key (record->kind) != NULL
          && (record->position > lowest || record == newest))
        g_ptr_array_add (changes, record);
    }
  g_ptr_array_sort (changes, compare_positions_);
  return changes;
}

static gint
compare_positions_ (gconstpointer a, gconstpointer b)
{
  const DpRecord *x = *(const DpRecord *const *) a;
  const DpRecord *y = *(const DpRecord *const *) b;

  return dp_position_compare (y->position, x->position);
}

static void
print_processes_ (Cli *cli, const Processes *processes, DpPosition target)
{
  JsonArray *list = json_array_new ();

  cli_print (cli, "%-10s %-16s %-20s %-10s %9s %-12s %5s %11s", "KIND", "SERVICE", "NAME",
             "ZONE", "REVISION", "STATE", "BUSY", "CONNECTIONS");
  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      print_process_ (cli, process, target);
      json_array_add_object_element (list, process_entry_ (process, target));
    }
  json_object_set_array_member (cli->report, "processes", list);
}

static void
print_process_ (Cli *cli, const Process *process, DpPosition target)
{
  g_autofree char *position = process->position_known
                                  ? dp_position_to_string (process->position)
                                  : g_strdup ("?");
  g_autoptr (GString) note = g_string_new ("");

  if (!process->position_known)
    g_string_append_printf (note, "  no answer: %s", process->problem);
  else if (dp_position_era (process->position) < dp_position_era (target))
    g_string_append (note, "  lags by an era");
  else if (process->position < target)
    g_string_append_printf (note, "  lags by %" G_GUINT64_FORMAT,
                            dp_position_revision (target)
                                - dp_position_revision (process->position));
  if (process->suspected > 0)
    g_string_append_printf (note, "  suspected by %u", process->suspected);
  cli_print (cli,
             "%-10s %-16s %-20s %-10s %9s %-12s %5" G_GUINT64_FORMAT
             " %11" G_GUINT64_FORMAT "%s",
             process_kind_string (process->kind), process->service, process->name,
             process->zone == NULL ? "" : process->zone, position,
             process->held ? "drained" : (process->state == NULL ? "" : process->state),
             process->busy, process->connections, note->str);
}

static JsonObject *
process_entry_ (const Process *process, DpPosition target)
{
  JsonObject *entry = json_object_new ();

  json_object_set_string_member (entry, "kind", process_kind_string (process->kind));
  json_object_set_string_member (entry, "name", process->name);
  if (process->kind == PROCESS_COMPANION)
    json_object_set_string_member (entry, "service", process->service);
  if (process->zone != NULL)
    json_object_set_string_member (entry, "zone", process->zone);
  if (process->state != NULL)
    json_object_set_string_member (entry, "state", process->state);
  json_object_set_boolean_member (entry, "held", process->held);
  json_object_set_boolean_member (entry, "answers", process->position_known);
  json_object_set_boolean_member (entry, "in_force",
                                  process->position_known && process->position >= target);
  if (process->position_known)
    dp_position_add_to_json (entry, process->position);
  else
    json_object_set_string_member (entry, "problem", process->problem);
  json_object_set_int_member (entry, "busy", (gint64) process->busy);
  json_object_set_int_member (entry, "connections", (gint64) process->connections);
  json_object_set_int_member (entry, "suspected", process->suspected);
  return entry;
}

static void
print_progress_ (Cli *cli, const Processes *processes, DpPosition target)
{
  guint n_in_force = processes_count (processes, target);
  g_autoptr (GString) lagging = g_string_new ("");
  g_autofree char *position = dp_position_to_string (target);

  json_object_set_int_member (cli->report, "target",
                              (gint64) dp_position_revision (target));
  if (dp_position_era (target) != 0)
    json_object_set_int_member (cli->report, "target_era",
                                (gint64) dp_position_era (target));
  json_object_set_int_member (cli->report, "in_force", n_in_force);
  json_object_set_int_member (cli->report, "of", processes->processes->len);
  for (guint i = 0; i < processes->processes->len; i++)
    {
      const Process *process = g_ptr_array_index (processes->processes, i);

      if (process->position_known && process->position >= target)
        continue;
      g_string_append_printf (lagging, "%s%s", lagging->len == 0 ? "; lagging: " : ", ",
                              process->name);
    }
  cli_print (cli, "revision %s: in force on %u of %u processes%s", position, n_in_force,
             processes->processes->len, lagging->str);
}

static gboolean
is_in_force_everywhere_ (const Processes *processes, DpPosition target)
{
  return processes->processes->len > 0
         && processes_count (processes, target) == processes->processes->len;
}
