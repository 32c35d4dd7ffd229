/* What the commands of the command line share: options, output, calls to the platform. */
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
  CLI_CONFLICT, /* another operator was first */
  CLI_UNKNOWN,  /* the platform did not answer */
  CLI_N_STATUSES
} CliStatus;

typedef struct
{
  /* Options. */
  gboolean json;
  gboolean wait;
  gint timeout_s;
  gint64 revision;
  char *service;
  char *config;
  char *platform_url; /* NULL: none is known */
  char **balancers;   /* "IP:PORT" of HTTP servers, NULL: none */
  /* Arguments after the command. */
  char **arguments;
  /* State. */
  DpPlatform *platform;
  JsonObject *report; /* what --json prints */
} Cli;

typedef CliStatus (*CliCommand) (Cli *cli);

const char *cli_status_string (CliStatus status);

/* Output. Text goes to standard output unless --json is given; errors go to standard
 * error and, as "error", into the report. */
void cli_print (Cli *cli, const char *format, ...) G_GNUC_PRINTF (2, 3);
void cli_error (Cli *cli, const char *format, ...) G_GNUC_PRINTF (2, 3);
void cli_print_report (Cli *cli, CliStatus status);
char *cli_node_text (JsonNode *node);

/* Settings of the command line. */
gboolean cli_read_config (Cli *cli, GError **error);
gboolean cli_require_platform (Cli *cli);

/* Calls that wait for their answer. */
gboolean cli_list (Cli *cli, GPtrArray **records, guint64 *revision, GError **error);
/* record: the object, NULL if it does not exist. */
gboolean
cli_get (Cli *cli, DpKind kind, const char *name, DpRecord **record, GError **error);
/* record: the object as it is now, NULL if it does not exist or is unknown. */
DpWriteResult cli_write (Cli *cli,
                         DpKind kind,
                         const char *name,
                         guint64 version,
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
