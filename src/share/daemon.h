/* Code shared by the daemons' main programs: command line, settings, logging, signals. */
#pragma once

#include <glib.h>

#include "dogwoodpaddle/settings.h"

#define DAEMON_EXIT_USAGE 2 /* exit status */

/* Parses the command line, loads the settings and sets up logging. Returns NULL if the
 * program must exit with *status: after --version, or after an error that was printed. */
DpSettings *daemon_init (const char *program,
                         DpSettingsKind kind,
                         int argc,
                         char **argv,
                         int *status);

/* Calls stop on the main context for each SIGTERM and SIGINT. */
void daemon_set_stop_handler (void (*stop) (gpointer daemon), gpointer daemon);
