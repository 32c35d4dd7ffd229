/* Main program of the operators' command line; see dogwoodpaddle(1). */
#include <locale.h>
#include <stdio.h>

#include "cli.h"

#define DEFAULT_TIMEOUT_S 60
#define MAX_TIMEOUT_S 86400

typedef struct
{
  const char *name;
  CliCommand run;
  guint n_arguments;
  gboolean needs_service;
  const char *usage;
  const char *help;
  gboolean takes_more_arguments; /* n_arguments is the minimum */
} Command;

static const Command commands_[] = {
  { "check", command_check, 1, FALSE, "check FILE",
    "Check a fleet file; with a platform, show what applying it would change" },
  { "apply", command_apply, 1, FALSE, "apply FILE",
    "Write what differs between a fleet file and the platform" },
  { "show", command_show, 0, FALSE, "show", "Print the platform's fleet file" },
  { "status", command_status, 0, FALSE, "status",
    "Show where the accepted configuration is in force" },
  { "watch", command_watch, 0, FALSE, "watch",
    "Wait until a revision is in force in every process" },
  { "drain", command_drain, 1, TRUE, "drain MEMBER --service NAME",
    "Let a member finish its flows and accept no new ones" },
  { "undrain", command_undrain, 1, TRUE, "undrain MEMBER --service NAME",
    "Let a drained member accept flows again" },
  { "explain", command_explain, 2, FALSE, "explain FLOW FILE...",
    "Explain from the processes' logs what happened to a flow", TRUE },
  { "explain-placement", command_explain_placement, 0, TRUE,
    "explain-placement --at IP:PORT --service IP:PORT --client IP:PORT",
    "Explain where a process would send a new flow now, without sending it" },
};

static const Command *find_command_ (const char *name);
static char *help_summary_ (void);
static CliStatus
parse_arguments_ (Cli *cli, int argc, char **argv, const Command **command);
static gboolean check_usage_ (Cli *cli, const Command *command);
static void clear_cli_ (Cli *cli);

int
main (int argc, char **argv)
{
  Cli cli = { .timeout_s = DEFAULT_TIMEOUT_S };
  const Command *command = NULL;
  CliStatus status;

  setlocale (LC_ALL, "");
  cli.report = json_object_new ();
  status = parse_arguments_ (&cli, argc, argv, &command);
  if (command != NULL)
    {
      json_object_set_string_member (cli.report, "command", command->name);
      if (status == CLI_DONE)
        status = command->run (&cli);
      cli_print_report (&cli, status);
    }
  clear_cli_ (&cli);
  return status;
}

static const Command *
find_command_ (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (commands_); i++)
    if (g_str_equal (commands_[i].name, name))
      return &commands_[i];
  return NULL;
}

static char *
help_summary_ (void)
{
  GString *text = g_string_new ("Commands:\n");

  for (guint i = 0; i < G_N_ELEMENTS (commands_); i++)
    g_string_append_printf (text, "  %-31s %s\n", commands_[i].usage, commands_[i].help);
  g_string_append (text,
                   "\nExit status: 0 done, 1 failed, 2 bad usage, settings or fleet "
                   "file,\n3 conflict with another operator, 4 outcome unknown "
                   "(platform unreachable)");
  return g_string_free (text, FALSE);
}

/* Parses the options and arguments. Sets command once it is known, and returns CLI_DONE
 * if it may run. For --help and --version it returns CLI_DONE without a command. */
static CliStatus
parse_arguments_ (Cli *cli, int argc, char **argv, const Command **command)
{
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
    { "platform", 0, 0, G_OPTION_ARG_STRING, &cli->platform_url,
      "Object API of the platform (or DOGWOODPADDLE_PLATFORM)", "http://IP:PORT" },
    { "balancer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli->balancers,
      "status, watch: HTTP address of a balancer to ask as well", "IP:PORT" },
    { "config", 0, 0, G_OPTION_ARG_FILENAME, &cli->config,
      "File with \"platform\" and \"balancers\"", "FILE" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &cli->service,
      "drain, undrain: the service; explain-placement: its address", "NAME|IP:PORT" },
    { "at", 0, 0, G_OPTION_ARG_STRING, &cli->at,
      "explain-placement: ready address of the balancer or companion", "IP:PORT" },
    { "client", 0, 0, G_OPTION_ARG_STRING, &cli->client,
      "explain-placement: address of the client", "IP:PORT" },
    { "route", 0, 0, G_OPTION_ARG_STRING, &cli->route,
      "explain-placement at a companion: the route, as a balancer's answer names it",
      "CLASS,WAIT_LIMIT_MS,DEADLINE_MS" },
    { "wait", 0, 0, G_OPTION_ARG_NONE, &cli->wait,
      "drain, undrain: wait until it is complete", NULL },
    { "revision", 0, 0, G_OPTION_ARG_STRING, &cli->revision,
      "watch: the revision to wait for (default: the current one)", "[ERA/]R" },
    { "timeout", 0, 0, G_OPTION_ARG_INT, &cli->timeout_s,
      "Longest wait in seconds (default: 60)", "S" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &cli->json, "Print one JSON document", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version", NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("COMMAND [ARGUMENT]");
  g_autofree char *summary = help_summary_ ();
  g_autoptr (GError) error = NULL;

  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      cli_error (cli, "%s", error->message);
      return CLI_USAGE;
    }
  if (version)
    {
      puts ("dogwoodpaddle " DP_VERSION);
      return CLI_DONE;
    }
  *command = argc < 2 ? NULL : find_command_ (argv[1]);
  if (*command == NULL)
    {
      if (argc < 2)
        cli_error (cli, "a command is missing; see dogwoodpaddle --help");
      else
        cli_error (cli, "there is no command \"%s\"; see dogwoodpaddle --help", argv[1]);
      return CLI_USAGE;
    }
  cli->arguments = g_strdupv (argv + 2);
  if (!check_usage_ (cli, *command))
    return CLI_USAGE;
  if (!cli_read_config (cli, &error))
    {
      cli_error (cli, "%s", error->message);
      return CLI_USAGE;
    }
  return CLI_DONE;
}

static gboolean
check_usage_ (Cli *cli, const Command *command)
{
  const guint n = g_strv_length (cli->arguments);

  if (n < command->n_arguments
      || (n > command->n_arguments && !command->takes_more_arguments))
    cli_error (cli, "usage: dogwoodpaddle %s", command->usage);
  else if (command->needs_service && cli->service == NULL)
    cli_error (cli, "--service is missing: dogwoodpaddle %s", command->usage);
  else if (cli->timeout_s < 0 || cli->timeout_s > MAX_TIMEOUT_S)
    cli_error (cli, "--timeout must be from 0 to %d seconds", MAX_TIMEOUT_S);
  else if (cli->revision != NULL && !dp_position_parse (cli->revision, &cli->position))
    cli_error (cli, "--revision must be REVISION or ERA/REVISION");
  else
    return TRUE;
  return FALSE;
}

static void
clear_cli_ (Cli *cli)
{
  g_clear_pointer (&cli->platform, dp_platform_free);
  g_strfreev (cli->arguments);
  g_strfreev (cli->balancers);
  g_free (cli->service);
  g_free (cli->at);
  g_free (cli->client);
  g_free (cli->route);
  g_free (cli->config);
  g_free (cli->platform_url);
  json_object_unref (cli->report);
}
