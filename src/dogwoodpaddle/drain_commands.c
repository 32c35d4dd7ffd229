/* The commands drain and undrain: change one member's entry in the member list. */
#include "processes.h"
#include "protected/error.h"
#include "protected/json.h"
#include "protected/membership.h"
#include "protected/memberview.h"

#define POLL_MS 500
/* An attempt only fails if another process has changed the list since it was read. */
#define MAX_ATTEMPTS 20

typedef enum
{
  EDIT_CHANGED,  /* the list has to be written */
  EDIT_UNCHANGED /* the entry already is as wanted */
} EditResult;

typedef CliStatus (*EditFunc) (Cli *cli, JsonNode *list, EditResult *result);
/* Returns whether the member has reached the state that --wait waits for. process is NULL
 * if the member is not listed; position is that of the member list with the change. */
typedef gboolean (*ConditionFunc) (const Process *process, DpPosition position);

static CliStatus change_member_ (Cli *cli, EditFunc edit_func);
static CliStatus read_member_list_ (Cli *cli, DpRecord **record);
static JsonObject *find_member_ (Cli *cli, JsonNode *list);
static CliStatus edit_drain_ (Cli *cli, JsonNode *list, EditResult *result);
static CliStatus edit_undrain_ (Cli *cli, JsonNode *list, EditResult *result);
static CliStatus wait_until_ (Cli *cli, ConditionFunc condition, const char *goal);
static gboolean has_left_ (const Process *process, DpPosition position);
static gboolean is_active_ (const Process *process, DpPosition position);

/* Marks a member as leaving and held: it finishes its flows, accepts no new ones and does
 * not rejoin until "undrain". With --wait, returns once it has no flows left. */
CliStatus
command_drain (Cli *cli)
{
  CliStatus status = change_member_ (cli, edit_drain_);

  if (status != CLI_DONE || !cli->wait)
    return status;
  return wait_until_ (cli, has_left_, "has left");
}

/* Releases a member from an operator's drain; its companion then changes its state to
 * joining and active again. With --wait, returns once it is active. */
CliStatus
command_undrain (Cli *cli)
{
  CliStatus status = change_member_ (cli, edit_undrain_);

  if (status != CLI_DONE || !cli->wait)
    return status;
  return wait_until_ (cli, is_active_, "is active");
}

/* Changes the member's entry by conditional update. After a conflict, reads the list
 * again and repeats the change on it. */
static CliStatus
change_member_ (Cli *cli, EditFunc edit_func)
{
  g_autoptr (DpRecord) record = NULL;
  CliStatus status;

  if (!cli_require_platform (cli))
    return CLI_USAGE;
  json_object_set_string_member (cli->report, "service", cli->service);
  json_object_set_string_member (cli->report, "member", cli->arguments[0]);
  status = read_member_list_ (cli, &record);
  for (guint i = 0; status == CLI_DONE && i < MAX_ATTEMPTS; i++)
    {
      g_autoptr (JsonNode) list = json_from_string (record->json, NULL);
      g_autoptr (DpRecord) current = NULL;
      g_autoptr (GError) error = NULL;
      EditResult result = EDIT_CHANGED;
      DpWriteResult write_result;

      cli->position = record->position;
      status = edit_func (cli, list, &result);
      if (status != CLI_DONE || result == EDIT_UNCHANGED)
        return status;
      write_result = cli_write (cli, DP_KIND_MEMBERS, cli->service, record->position,
                                list, &current, &error);
      if (write_result == DP_WRITE_DONE)
        {
          g_autofree char *text = dp_position_to_string (current->position);

          dp_position_add_to_json (cli->report, current->position);
          cli->position = current->position;
          cli_print (cli, "%s of %s: accepted at revision %s", cli->arguments[0],
                     cli->service, text);
          return CLI_DONE;
        }
      if (write_result != DP_WRITE_CONFLICT)
        {
          cli_error (cli, "%s", error->message);
          return write_result == DP_WRITE_UNKNOWN ? CLI_UNKNOWN : CLI_FAILED;
        }
      g_clear_pointer (&record, dp_record_unref);
      status = read_member_list_ (cli, &record);
    }
  if (status == CLI_DONE)
    {
      cli_error (cli,
                 "members/%s: changed by others during all of %d attempts; nothing "
                 "was written",
                 cli->service, MAX_ATTEMPTS);
      status = CLI_CONFLICT;
    }
  return status;
}

static CliStatus
read_member_list_ (Cli *cli, DpRecord **record)
{
  g_autoptr (GError) error = NULL;

  if (!cli_get (cli, DP_KIND_MEMBERS, cli->service, record, &error))
    {
      cli_error (cli, "%s; nothing was written", error->message);
      return CLI_UNKNOWN;
    }
  if (*record != NULL && !(*record)->deleted)
    return CLI_DONE;
  cli_error (cli, "members/%s: the service has no members", cli->service);
  return CLI_FAILED;
}

/* Returns the entry of the member that the argument names. Prints an error and returns
 * NULL if there is none. */
static JsonObject *
find_member_ (Cli *cli, JsonNode *list)
{
  JsonArray *members = dp_json_get_array (dp_json_get_object (list), "members");
  g_autoptr (GString) member_names = g_string_new ("");

  for (guint i = 0; members != NULL && i < json_array_get_length (members); i++)
    {
      JsonObject *member = dp_json_get_object (json_array_get_element (members, i));
      const char *name = dp_json_get_string (member, "name");

      if (g_strcmp0 (name, cli->arguments[0]) == 0)
        return member;
      g_string_append_printf (member_names, "%s%s", member_names->len == 0 ? "" : ", ",
                              name == NULL ? "?" : name);
    }
  cli_error (cli, "members/%s: there is no member \"%s\"; there are: %s", cli->service,
             cli->arguments[0], member_names->len == 0 ? "none" : member_names->str);
  return NULL;
}

static CliStatus
edit_drain_ (Cli *cli, JsonNode *list, EditResult *result)
{
  const char *leaving = dp_member_state_string (DP_MEMBER_LEAVING);
  JsonObject *member = find_member_ (cli, list);

  if (member == NULL)
    return CLI_FAILED;
  if (dp_json_get_boolean (member, "held", FALSE)
      && g_strcmp0 (dp_json_get_string (member, "state"), leaving) == 0)
    {
      cli_print (cli, "%s of %s: is drained already", cli->arguments[0], cli->service);
      *result = EDIT_UNCHANGED;
      return CLI_DONE;
    }
  json_object_set_string_member (member, "state", leaving);
  json_object_set_boolean_member (member, "held", TRUE);
  return CLI_DONE;
}

static CliStatus
edit_undrain_ (Cli *cli, JsonNode *list, EditResult *result)
{
  const char *leaving = dp_member_state_string (DP_MEMBER_LEAVING);
  JsonObject *member;

  /* A drained member that has ended has no entry in the member list any more. Its drain
   * is recorded by its name in the list "held" of members/SERVICE. */
  if (dp_membership_release_hold (list, cli->arguments[0]))
    return CLI_DONE;
  member = find_member_ (cli, list);
  if (member == NULL)
    return CLI_FAILED;
  if (dp_json_get_boolean (member, "held", FALSE))
    {
      json_object_remove_member (member, "held");
      return CLI_DONE;
    }
  if (g_strcmp0 (dp_json_get_string (member, "state"), leaving) == 0)
    {
      cli_error (cli, "%s of %s: is leaving by itself, not by an operator's drain",
                 cli->arguments[0], cli->service);
      return CLI_FAILED;
    }
  cli_print (cli, "%s of %s: is not drained", cli->arguments[0], cli->service);
  *result = EDIT_UNCHANGED;
  return CLI_DONE;
}

static CliStatus
wait_until_ (Cli *cli, ConditionFunc condition, const char *goal)
{
  gint64 deadline = g_get_monotonic_time () + (gint64) cli->timeout_s * G_USEC_PER_SEC;

  for (;;)
    {
      g_autoptr (Processes) processes = processes_collect (cli);

      /* Without the platform it is not known whether the member is still in the list. */
      if (processes->records != NULL
          && condition (processes_find (processes, cli->service, cli->arguments[0]),
                        cli->position))
        {
          cli_print (cli, "%s of %s: %s", cli->arguments[0], cli->service, goal);
          return CLI_DONE;
        }
      if (g_get_monotonic_time () >= deadline)
        break;
      cli_sleep (POLL_MS);
    }
  cli_error (cli, "%s of %s: not reached after %d s: %s", cli->arguments[0], cli->service,
             cli->timeout_s, goal);
  return CLI_FAILED;
}

/* A drained member may stay in the list while it is held, so that "undrain" finds it. A
 * report that the member sent before it knew of the drain does not count, because the
 * member may have accepted a flow since. */
static gboolean
has_left_ (const Process *process, DpPosition position)
{
  if (process == NULL)
    return TRUE;
  return process->held && process->position_known && process->position >= position
         && process->connections == 0;
}

static gboolean
is_active_ (const Process *process, DpPosition position)
{
  return process != NULL
         && g_strcmp0 (process->state, dp_member_state_string (DP_MEMBER_ACTIVE)) == 0;
}
