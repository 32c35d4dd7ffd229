/* Options, output and platform calls that the commands of the command line share. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/platform.h"

/* Exit statuses, as documented in dogwoodpaddle(1). */
typedef enum
{
  CLI_DONE,
  CLI_FAILED,
  CLI_USAGE,    /* bad usage, settings or fleet file */
  CLI_CONFLICT, /* conflict with a change by another operator */
  CLI_UNKNOWN,  /* the outcome is unknown: the platform did not answer */
  CLI_N_STATUSES
} CliStatus;

typedef struct
{
  /* Options. */
  gboolean json;
  gboolean wait;
  gint timeout_s;
  char *revision;      /* --revision, NULL: not given */
  DpPosition position; /* that of --revision, or at which a change was accepted */
  char *service;
  char *at;     /* --at, "IP:PORT" */
  char *client; /* --client, "IP:PORT" */
  char *route;  /* --route, NULL: not given */
  char *config;
  char *platform_url; /* NULL: not known */
  char **balancers;   /* "IP:PORT" of HTTP servers, NULL: none */
  /* Arguments after the command. */
  char **arguments;
  /* State. */
  DpPlatform *platform;
  JsonObject *report; /* what --json prints */
} Cli;

/* Runs a command after the options have been parsed. */
typedef CliStatus (*CliCommand) (Cli *cli);

const char *cli_status_string (CliStatus status);

/* Output. Text goes to standard output, unless --json is given. Errors go to standard
 * error and, as "error", into the report. */
void cli_print (Cli *cli, const char *format, ...) G_GNUC_PRINTF (2, 3);
void cli_error (Cli *cli, const char *format, ...) G_GNUC_PRINTF (2, 3);
void cli_print_report (Cli *cli, CliStatus status);
char *cli_json_to_string (JsonNode *node);

/* Settings of the command line. */
gboolean cli_read_config (Cli *cli, GError **error);
gboolean cli_require_platform (Cli *cli);

/* Calls to the platform that wait for the answer. They need cli->platform. */
gboolean cli_list (Cli *cli, GPtrArray **records, DpPosition *position, GError **error);
/* record: set to a new reference to the object, or to NULL if it does not exist. */
gboolean
cli_get (Cli *cli, DpKind kind, const char *name, DpRecord **record, GError **error);
/* record: set to a new reference to the object as it now is, or to NULL if it does not
 * exist or is not known. */
DpWriteResult cli_write (Cli *cli,
                         DpKind kind,
                         const char *name,
                         DpPosition position,
                         JsonNode *value,
                         DpRecord **record,
                         GError **error);
void cli_sleep (guint ms);

CliStatus command_check (Cli *cli);
CliStatus command_apply (Cli *cli);
CliStatus command_show (Cli *cli);
CliStatus command_status (Cli *cli);
CliStatus command_watch (Cli *cli);
CliStatus command_drain (Cli *cli);
CliStatus command_undrain (Cli *cli);
CliStatus command_explain (Cli *cli);
CliStatus command_explain_placement (Cli *cli);
