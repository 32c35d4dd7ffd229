#include "cli.h"

#include <stdio.h>
#include <string.h>

#include "protected/address.h"
#include "protected/document.h"
#include "protected/error.h"

#define URL_PREFIX "http://"
#define PLATFORM_VARIABLE "DOGWOODPADDLE_PLATFORM"
#define CONFIG_FOLDER "dogwoodpaddle"
#define CONFIG_FILE "config.json"
/* Timeout of one attempt; the client makes up to four. */
#define PLATFORM_TIMEOUT_MS 5000

typedef struct
{
  gboolean done;
  GPtrArray *records;
  DpPosition position;
  DpWriteResult result;
  DpRecord *record;
  GError *error;
} PendingCall;

static const char *const status_strings_[] = { "done", "failed", "usage", "conflict",
                                               "unknown" };

G_STATIC_ASSERT (G_N_ELEMENTS (status_strings_) == CLI_N_STATUSES);

static gboolean load_config_ (Cli *cli, const char *file, GError **error);
static void read_balancers_ (Cli *cli, JsonObject *root, GPtrArray *faults);
static gboolean check_url_ (const char *url, GError **error);
static void on_read_ (GPtrArray *records,
                      DpPosition position,
                      const GError *error,
                      gpointer user_data);
static void on_written_ (DpWriteResult result,
                         DpRecord *record,
                         const GError *error,
                         gpointer user_data);
static void wait_for_answer_ (const PendingCall *call);
static gboolean on_sleep_ended_ (gpointer user_data);

/* Returns the name that an exit status has in the report. */
const char *
cli_status_string (CliStatus status)
{
  g_assert (status < CLI_N_STATUSES);
  return status_strings_[status];
}

/* Prints a line to standard output, unless --json is given. */
void
cli_print (Cli *cli, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  if (cli->json)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fputs (text, stdout);
  fputc ('\n', stdout);
  fflush (stdout);
}

/* Prints a line to standard error and sets "error" in the report to it. */
void
cli_error (Cli *cli, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "dogwoodpaddle: %s\n", text);
  json_object_set_string_member (cli->report, "error", text);
}

/* With --json, prints the report and the result as one line of JSON. */
void
cli_print_report (Cli *cli, CliStatus status)
{
  g_autoptr (JsonNode) node = NULL;
  g_autofree char *text = NULL;

  if (!cli->json)
    return;
  json_object_set_string_member (cli->report, "result", cli_status_string (status));
  node = json_node_init_object (json_node_alloc (), cli->report);
  text = json_to_string (node, FALSE);
  puts (text);
  fflush (stdout);
}

/* Returns a JSON value as one line, or "absent" for NULL. Free with g_free (). */
char *
cli_json_to_string (JsonNode *node)
{
  return node == NULL ? g_strdup ("absent") : json_to_string (node, FALSE);
}

/* Sets the platform's URL and the balancers where the options don't: from the --config
 * file, then from the environment, then from the user's configuration file, which is read
 * only if neither --config nor a URL is given. Creates the platform client if the URL is
 * known. Returns FALSE and sets DP_ERROR_INVALID, which names file, key and reason, if a
 * file or value is invalid. */
gboolean
cli_read_config (Cli *cli, GError **error)
{
  g_autofree char *file = g_build_filename (g_get_user_config_dir (), CONFIG_FOLDER,
                                            CONFIG_FILE, NULL);
  const char *variable = g_getenv (PLATFORM_VARIABLE);
  g_autoptr (GError) cause = NULL;

  if (cli->config != NULL && !load_config_ (cli, cli->config, error))
    return FALSE;
  if (cli->platform_url == NULL && variable != NULL && variable[0] != '\0')
    cli->platform_url = g_strdup (variable);
  if (cli->config == NULL && cli->platform_url == NULL
      && g_file_test (file, G_FILE_TEST_EXISTS) && !load_config_ (cli, file, error))
    return FALSE;
  if (cli->platform_url != NULL && !check_url_ (cli->platform_url, error))
    return FALSE;
  for (guint i = 0; cli->balancers != NULL && cli->balancers[i] != NULL; i++)
    {
      DpAddress address;

      if (!dp_address_parse (cli->balancers[i], &address, &cause))
        {
          dp_error_set (error, DP_ERROR_INVALID, "--balancer", NULL, "%s",
                        cause->message);
          return FALSE;
        }
    }
  if (cli->platform_url != NULL)
    {
      cli->platform = dp_platform_new (cli->platform_url);
      dp_platform_set_timeout (cli->platform, PLATFORM_TIMEOUT_MS);
    }
  return TRUE;
}

/* Returns whether the platform's URL is known and prints an error if it is not. */
gboolean
cli_require_platform (Cli *cli)
{
  if (cli->platform != NULL)
    return TRUE;
  cli_error (cli,
             "the platform's URL is not known: give --platform, set " PLATFORM_VARIABLE
             " or name it in a file given by --config");
  return FALSE;
}

/* Reads all objects of the platform. The records contain every change up to *position.
 * Unref records with g_ptr_array_unref (). */
gboolean
cli_list (Cli *cli, GPtrArray **records, DpPosition *position, GError **error)
{
  PendingCall call = { 0 };

  dp_platform_list (cli->platform, 0, on_read_, &call);
  wait_for_answer_ (&call);
  if (call.error != NULL)
    {
      g_propagate_error (error, call.error);
      g_clear_pointer (&call.records, g_ptr_array_unref);
      return FALSE;
    }
  *records = call.records;
  *position = call.position;
  return TRUE;
}

/* Reads one object. Returns FALSE and sets error if it can't be read. */
gboolean
cli_get (Cli *cli, DpKind kind, const char *name, DpRecord **record, GError **error)
{
  PendingCall call = { 0 };
  gboolean valid;

  *record = NULL;
  dp_platform_get (cli->platform, kind, name, on_read_, &call);
  wait_for_answer_ (&call);
  valid = call.error == NULL;
  if (!valid)
    g_propagate_error (error, call.error);
  else if (call.records->len > 0)
    *record = dp_record_ref (g_ptr_array_index (call.records, 0));
  g_clear_pointer (&call.records, g_ptr_array_unref);
  return valid;
}

/* Writes one object if its position on the platform is still the given one. If value is
 * NULL, deletes the object under the same condition. */
DpWriteResult
cli_write (Cli *cli,
           DpKind kind,
           const char *name,
           DpPosition position,
           JsonNode *value,
           DpRecord **record,
           GError **error)
{
  PendingCall call = { 0 };

  dp_platform_write (cli->platform, kind, name, position, value, on_written_, &call);
  wait_for_answer_ (&call);
  if (call.error != NULL)
    g_propagate_error (error, call.error);
  *record = call.record;
  return call.result;
}

/* Runs the main context for a time. */
void
cli_sleep (guint ms)
{
  gboolean fired = FALSE;

  g_timeout_add (ms, on_sleep_ended_, &fired);
  while (!fired)
    g_main_context_iteration (NULL, TRUE);
}

static gboolean
load_config_ (Cli *cli, const char *file, GError **error)
{
  static const char *const keys[] = { "platform", "balancers", NULL };
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) node = dp_document_load (file, faults);
  JsonObject *root = node == NULL ? NULL : dp_document_object (node, "$", faults);
  g_autofree char *text = NULL;

  if (root != NULL)
    {
      JsonNode *url = json_object_get_member (root, "platform");
      g_autoptr (GError) cause = NULL;

      dp_document_check_keys (root, keys, "$", faults);
      if (url != NULL && dp_document_string (url, "$.platform", faults) != NULL)
        {
          if (!check_url_ (json_node_get_string (url), &cause))
            dp_faults_add (faults, "$.platform", "%s", cause->message);
          if (cli->platform_url == NULL)
            cli->platform_url = g_strdup (json_node_get_string (url));
        }
      if (json_object_has_member (root, "balancers"))
        read_balancers_ (cli, root, faults);
    }
  if (faults->len == 0)
    return TRUE;
  text = dp_faults_join (faults);
  dp_error_set (error, DP_ERROR_INVALID, "settings", file, "%s", text);
  return FALSE;
}

static void
read_balancers_ (Cli *cli, JsonObject *root, GPtrArray *faults)
{
  g_autoptr (GStrvBuilder) builder = g_strv_builder_new ();
  JsonArray *array = dp_document_array (json_object_get_member (root, "balancers"),
                                        "$.balancers", faults);

  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    {
      g_autofree char *path = g_strdup_printf ("$.balancers[%u]", i);
      const char *text = dp_document_string (json_array_get_element (array, i), path,
                                             faults);
      DpAddress address;

      if (text == NULL)
        continue;
      if (!dp_address_parse (text, &address, NULL))
        dp_faults_add (faults, path, "\"%s\" is not IP:PORT", text);
      g_strv_builder_add (builder, text);
    }
  if (cli->balancers == NULL)
    cli->balancers = g_strv_builder_end (builder);
}

static gboolean
check_url_ (const char *url, GError **error)
{
  DpAddress address;

  if (g_str_has_prefix (url, URL_PREFIX)
      && dp_address_parse (url + strlen (URL_PREFIX), &address, NULL))
    return TRUE;
  dp_error_set (error, DP_ERROR_INVALID, "platform URL", NULL,
                "\"%s\" is not http://IP:PORT", url);
  return FALSE;
}

static void
on_read_ (GPtrArray *records,
          DpPosition position,
          const GError *error,
          gpointer user_data)
{
  PendingCall *call = user_data;

  call->done = TRUE;
  call->position = position;
  call->error = error == NULL ? NULL : g_error_copy (error);
  call->records = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  for (guint i = 0; records != NULL && i < records->len; i++)
    g_ptr_array_add (call->records, dp_record_ref (g_ptr_array_index (records, i)));
}

static void
on_written_ (DpWriteResult result,
             DpRecord *record,
             const GError *error,
             gpointer user_data)
{
  PendingCall *call = user_data;

  call->done = TRUE;
  call->result = result;
  call->record = record == NULL ? NULL : dp_record_ref (record);
  call->error = error == NULL ? NULL : g_error_copy (error);
}

static void
wait_for_answer_ (const PendingCall *call)
{
  while (!call->done)
    g_main_context_iteration (NULL, TRUE);
}

static gboolean
on_sleep_ended_ (gpointer user_data)
{
  *(gboolean *) user_data = TRUE;
  return G_SOURCE_REMOVE;
}
