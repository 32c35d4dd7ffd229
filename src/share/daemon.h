/* What the daemons' programs have in common: command line, settings, logs and signals. */
#pragma once

#include <glib.h>

#include "dogwoodpaddle/settings.h"

#define DAEMON_BAD_USAGE 2 /* exit status */

/* Parses the command line, loads the settings and starts the logs. NULL if the program is
 * to end with *status: after --version, or after a fault that was printed. */
DpSettings *daemon_open (const char *program,
                         DpSettingsKind kind,
                         int argc,
                         char **argv,
                         int *status);

/* Calls stop for each SIGTERM and SIGINT. */
void daemon_on_stop (void (*stop) (gpointer daemon), gpointer daemon);
