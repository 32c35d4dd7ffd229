/* The commands check, apply and show, which work on fleet files and the platform's
 * objects. */
#include <stdio.h>

#include "cli.h"
#include "protected/document.h"
#include "protected/error.h"
#include "protected/fleet.h"
#include "protected/plan.h"

static JsonNode *load_fleet_file_ (Cli *cli, const char *file);
static void report_faults_ (Cli *cli, const char *where, const GPtrArray *faults);
static DpPlan *make_plan_ (Cli *cli, JsonNode *file, GError **error);
static CliStatus check_plan_ (Cli *cli, const DpPlan *plan);
static void report_conflict_ (Cli *cli, const DpChange *change);
static GPtrArray *new_faults_ (const DpPlan *plan);
static JsonNode *platform_fleet_file_ (const DpPlan *plan);
static void report_plan_ (Cli *cli, const DpPlan *plan, const char *prefix);
static CliStatus write_plan_ (Cli *cli, const DpPlan *plan);
static CliStatus
write_change_ (Cli *cli, const DpChange *change, JsonObject *entry, DpPosition *position);
static void report_not_tried_ (Cli *cli,
                               const DpPlan *plan,
                               guint first,
                               guint n_written,
                               JsonArray *list);
static gboolean needs_write_ (const DpChange *change);
static char *object_key_ (const DpChange *change);
static JsonObject *change_entry_ (const DpChange *change);

/* Checks a fleet file. With a platform, also prints what applying the file would change;
 * if the platform does not answer, only the file is checked. */
CliStatus
command_check (Cli *cli)
{
  const char *name = cli->arguments[0];
  g_autoptr (JsonNode) file = load_fleet_file_ (cli, name);
  g_autoptr (GError) error = NULL;
  g_autoptr (DpPlan) plan = NULL;
  CliStatus status;

  if (file == NULL)
    return CLI_USAGE;
  cli_print (cli, "%s: no faults", name);
  if (cli->platform == NULL)
    {
      cli_print (cli, "checked the file alone: no platform is known");
      json_object_set_string_member (cli->report, "platform", "unknown");
      return CLI_DONE;
    }
  plan = make_plan_ (cli, file, &error);
  if (plan == NULL)
    {
      cli_print (cli, "checked the file alone: %s", error->message);
      json_object_set_string_member (cli->report, "platform", "unreachable");
      json_object_set_string_member (cli->report, "reason", error->message);
      return CLI_DONE;
    }
  json_object_set_string_member (cli->report, "platform", "reached");
  status = check_plan_ (cli, plan);
  report_plan_ (cli, plan, "would ");
  return status;
}

/* Writes the objects that differ, each on condition that it still has the version that
 * the file names. Nothing is written if the check or the comparison finds a fault or a
 * conflict. */
CliStatus
command_apply (Cli *cli)
{
  g_autoptr (JsonNode) file = load_fleet_file_ (cli, cli->arguments[0]);
  g_autoptr (GError) error = NULL;
  g_autoptr (DpPlan) plan = NULL;
  CliStatus status;

  if (file == NULL)
    return CLI_USAGE;
  if (!cli_require_platform (cli))
    return CLI_USAGE;
  plan = make_plan_ (cli, file, &error);
  if (plan == NULL)
    {
      cli_error (cli, "%s; nothing was written", error->message);
      return CLI_UNKNOWN;
    }
  status = check_plan_ (cli, plan);
  if (status != CLI_DONE)
    {
      cli_error (cli,
                 "conflict: nothing was written; compare with \"dogwoodpaddle show\"");
      return status;
    }
  return write_plan_ (cli, plan);
}

/* Prints the platform's objects as a fleet file with versions, which "apply" accepts. */
CliStatus
command_show (Cli *cli)
{
  g_autoptr (GPtrArray) records = NULL;
  g_autoptr (JsonNode) file = NULL;
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gboolean pretty = !cli->json;
  DpPosition position;

  if (!cli_require_platform (cli))
    return CLI_USAGE;
  if (!cli_list (cli, &records, &position, &error))
    {
      cli_error (cli, "%s", error->message);
      return CLI_UNKNOWN;
    }
  file = dp_plan_file_from_records (records);
  text = json_to_string (file, pretty);
  puts (text);
  /* The printed fleet file takes the place of the report. */
  cli->json = FALSE;
  return CLI_DONE;
}

/* Loads and checks a fleet file. Prints its faults and returns NULL if there are any. */
static JsonNode *
load_fleet_file_ (Cli *cli, const char *file)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) node = dp_document_load (file, faults);

  json_object_set_string_member (cli->report, "file", file);
  if (node != NULL)
    {
      g_autoptr (GPtrArray) found = dp_fleet_check (node);

      g_ptr_array_extend_and_steal (faults, g_steal_pointer (&found));
    }
  report_faults_ (cli, file, faults);
  if (faults->len == 0)
    return g_steal_pointer (&node);
  cli_error (cli, "%s: %u fault%s", file, faults->len, faults->len == 1 ? "" : "s");
  return NULL;
}

static void
report_faults_ (Cli *cli, const char *where, const GPtrArray *faults)
{
  JsonArray *list = json_array_new ();

  for (guint i = 0; i < faults->len; i++)
    {
      const DpFault *fault = g_ptr_array_index (faults, i);
      JsonObject *entry = json_object_new ();

      json_object_set_string_member (entry, "path", fault->path);
      json_object_set_string_member (entry, "text", fault->message);
      json_array_add_object_element (list, entry);
      fprintf (stderr, "%s: %s: %s\n", where, fault->path, fault->message);
    }
  json_object_set_array_member (cli->report, "faults", list);
}

static DpPlan *
make_plan_ (Cli *cli, JsonNode *file, GError **error)
{
  g_autoptr (GPtrArray) records = NULL;
  DpPosition position;

  if (!cli_list (cli, &records, &position, error))
    return NULL;
  dp_position_add_to_json (cli->report, position);
  return dp_plan_new (file, records);
}

/* Reports each object that someone else has changed, with both values. Without such
 * conflicts, reports the faults that the objects of the file and those on the platform
 * would have together. */
static CliStatus
check_plan_ (Cli *cli, const DpPlan *plan)
{
  g_autoptr (GPtrArray) faults = NULL;

  for (guint i = 0; i < plan->changes->len; i++)
    {
      const DpChange *change = g_ptr_array_index (plan->changes, i);

      if (change->type == DP_CHANGE_CONFLICT)
        report_conflict_ (cli, change);
    }
  if (plan->counts[DP_CHANGE_CONFLICT] > 0)
    return CLI_CONFLICT;
  faults = new_faults_ (plan);
  report_faults_ (cli, "objects on the platform once the file is applied", faults);
  return faults->len == 0 ? CLI_DONE : CLI_CONFLICT;
}

static void
report_conflict_ (Cli *cli, const DpChange *change)
{
  g_autofree char *key = object_key_ (change);
  g_autofree char *wanted = cli_json_to_string (change->wanted);
  g_autofree char *current = cli_json_to_string (change->current);
  g_autofree char *file_version = dp_position_to_string (change->file_version);
  g_autofree char *platform_version = dp_position_to_string (change->platform_version);
  JsonObject *entry = change_entry_ (change);

  if (change->file_version == 0)
    fprintf (stderr, "conflict: %s already exists, and the file names no version of it\n",
             key);
  else if (change->platform_version == 0)
    fprintf (stderr, "conflict: %s was deleted since version %s of the file\n", key,
             file_version);
  else
    fprintf (stderr,
             "conflict: %s was changed: version %s in the file, %s on the platform\n",
             key, file_version, platform_version);
  fprintf (stderr, "  in the file:     %s\n", wanted);
  fprintf (stderr, "  on the platform: %s\n", current);
  if (!json_object_has_member (cli->report, "conflicts"))
    json_object_set_array_member (cli->report, "conflicts", json_array_new ());
  json_array_add_object_element (json_object_get_array_member (cli->report, "conflicts"),
                                 entry);
}

/* Returns the faults that the platform's objects would have once the plan is applied,
 * without those that they already have and that the file did not cause. */
static GPtrArray *
new_faults_ (const DpPlan *plan)
{
  g_autoptr (JsonNode) result = dp_plan_result (plan);
  g_autoptr (JsonNode) current = platform_fleet_file_ (plan);
  g_autoptr (GPtrArray) after = dp_fleet_check (result);
  g_autoptr (GPtrArray) before = dp_fleet_check (current);
  GPtrArray *faults = dp_faults_new ();

  for (guint i = 0; i < after->len; i++)
    {
      const DpFault *fault = g_ptr_array_index (after, i);
      gboolean is_known = FALSE;

      for (guint k = 0; k < before->len && !is_known; k++)
        {
          const DpFault *known = g_ptr_array_index (before, k);

          is_known = g_str_equal (known->path, fault->path)
                     && g_str_equal (known->message, fault->message);
        }
      if (!is_known)
        dp_faults_add (faults, fault->path, "%s", fault->message);
    }
  return faults;
}

static JsonNode *
platform_fleet_file_ (const DpPlan *plan)
{
  g_autoptr (GPtrArray)
      records = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);

  for (guint i = 0; i < plan->changes->len; i++)
    {
      const DpChange *change = g_ptr_array_index (plan->changes, i);
      g_autofree char *text = NULL;
      DpRecord *record;

      if (change->current == NULL)
        continue;
      text = json_to_string (change->current, FALSE);
      record = dp_record_new (change->kind, change->name, change->platform_version, FALSE,
                              text, NULL);
      if (record != NULL)
        g_ptr_array_add (records, record);
    }
  return dp_plan_file_from_records (records);
}

static void
report_plan_ (Cli *cli, const DpPlan *plan, const char *prefix)
{
  JsonArray *list = json_array_new ();
  guint n = 0;

  for (guint i = 0; i < plan->changes->len; i++)
    {
      const DpChange *change = g_ptr_array_index (plan->changes, i);
      g_autofree char *key = object_key_ (change);
      g_autofree char *wanted = cli_json_to_string (change->wanted);
      g_autofree char *current = cli_json_to_string (change->current);

      if (!needs_write_ (change))
        continue;
      n++;
      json_array_add_object_element (list, change_entry_ (change));
      cli_print (cli, "%s%s %s", prefix, dp_change_type_string (change->type), key);
      cli_print (cli, "  from: %s", current);
      cli_print (cli, "  to:   %s", wanted);
    }
  json_object_set_array_member (cli->report, "changes", list);
  if (n == 0 && plan->counts[DP_CHANGE_CONFLICT] == 0)
    cli_print (cli, "nothing to change");
}

static CliStatus
write_plan_ (Cli *cli, const DpPlan *plan)
{
  JsonArray *list = json_array_new ();
  CliStatus status = CLI_DONE;
  DpPosition position = 0;
  g_autofree char *text = NULL;
  guint n_written = 0;
  guint i;

  json_object_set_array_member (cli->report, "changes", list);
  for (i = 0; i < plan->changes->len && status == CLI_DONE; i++)
    {
      const DpChange *change = g_ptr_array_index (plan->changes, i);
      JsonObject *entry;
      DpPosition written_at = 0;

      if (!needs_write_ (change))
        continue;
      entry = change_entry_ (change);
      json_array_add_object_element (list, entry);
      status = write_change_ (cli, change, entry, &written_at);
      position = dp_position_max (position, written_at);
      n_written += status == CLI_DONE ? 1 : 0;
    }
  if (status != CLI_DONE)
    report_not_tried_ (cli, plan, i, n_written, list);
  json_object_set_int_member (cli->report, "written", n_written);
  json_object_set_int_member (cli->report, "unchanged", plan->counts[DP_CHANGE_NONE]);
  if (position > 0)
    dp_position_add_to_json (cli->report, position);
  if (status != CLI_DONE)
    return status;
  if (n_written == 0)
    cli_print (cli, "nothing to change: %u objects unchanged",
               plan->counts[DP_CHANGE_NONE]);
  else
    {
      text = dp_position_to_string (position);
      cli_print (cli,
                 "%u written, %u unchanged; accepted at revision %s; see "
                 "\"dogwoodpaddle watch --revision %s\"",
                 n_written, plan->counts[DP_CHANGE_NONE], text, text);
    }
  return CLI_DONE;
}

/* Writes one object and prints the result. */
static CliStatus
write_change_ (Cli *cli, const DpChange *change, JsonObject *entry, DpPosition *position)
{
  g_autofree char *key = object_key_ (change);
  g_autoptr (DpRecord) record = NULL;
  g_autoptr (GError) error = NULL;
  guint64 calls = dp_platform_calls (cli->platform);
  DpWriteResult result = cli_write (
      cli, change->kind, change->name, change->platform_version,
      change->type == DP_CHANGE_DELETE ? NULL : change->wanted, &record, &error);
  g_autoptr (JsonNode) value = NULL;
  g_autofree char *current = NULL;
  /* After more than one call, either an answer was lost and the object was read again, or
   * the platform limited the rate of calls. */
  const char *note = dp_platform_calls (cli->platform) > calls + 1
                         ? " (confirmed after more than one call)"
                         : "";

  json_object_set_string_member (entry, "outcome", dp_write_result_string (result));
  switch (result)
    {
    case DP_WRITE_DONE:
      *position = record == NULL ? 0 : record->position;
      json_object_set_member (entry, "version", dp_position_to_json (*position));
      cli_print (cli, "%s %s: written%s", dp_change_type_string (change->type), key,
                 note);
      return CLI_DONE;
    case DP_WRITE_CONFLICT:
      value = record == NULL ? NULL : dp_record_value (record);
      current = cli_json_to_string (value);
      cli_error (cli, "%s: not written, someone else changed it meanwhile to: %s", key,
                 current);
      return CLI_CONFLICT;
    case DP_WRITE_REFUSED:
      cli_error (cli, "%s: not written: %s", key, error->message);
      return CLI_FAILED;
    default:
      cli_error (
          cli,
          "%s: outcome unknown, it may have been written or still be: %s; once the "
          "platform answers, apply the file again: what was written is left as it is",
          key, error->message);
      return CLI_UNKNOWN;
    }
}

/* After a failure, reports how many objects were written before it and which were not
 * tried. */
static void
report_not_tried_ (Cli *cli,
                   const DpPlan *plan,
                   guint first,
                   guint n_written,
                   JsonArray *list)
{
  fprintf (stderr, "%u written before that\n", n_written);
  for (guint i = first; i < plan->changes->len; i++)
    {
      const DpChange *change = g_ptr_array_index (plan->changes, i);
      g_autofree char *key = object_key_ (change);
      JsonObject *entry;

      if (!needs_write_ (change))
        continue;
      entry = change_entry_ (change);
      json_object_set_string_member (entry, "outcome", "not tried");
      json_array_add_object_element (list, entry);
      fprintf (stderr, "%s %s: not tried, not written\n",
               dp_change_type_string (change->type), key);
    }
}

static gboolean
needs_write_ (const DpChange *change)
{
  return change->type == DP_CHANGE_CREATE || change->type == DP_CHANGE_UPDATE
         || change->type == DP_CHANGE_DELETE;
}

static char *
object_key_ (const DpChange *change)
{
  return g_strdup_printf ("%s/%s", dp_kind_string (change->kind), change->name);
}

static JsonObject *
change_entry_ (const DpChange *change)
{
  JsonObject *entry = json_object_new ();
  g_autofree char *key = object_key_ (change);

  json_object_set_string_member (entry, "object", key);
  json_object_set_string_member (entry, "change", dp_change_type_string (change->type));
  json_object_set_member (entry, "file_version",
                          dp_position_to_json (change->file_version));
  json_object_set_member (entry, "platform_version",
                          dp_position_to_json (change->platform_version));
  if (change->wanted != NULL)
    json_object_set_member (entry, "wanted", json_node_copy (change->wanted));
  if (change->current != NULL)
    json_object_set_member (entry, "present", json_node_copy (change->current));
  return entry;
}
