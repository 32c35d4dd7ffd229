#include "daemon.h"

#include <glib-unix.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "dogwoodpaddle/logging.h"

/* A companion needs a file descriptor for each connection to its server, a balancer one
 * for each subscriber. */
#define OPEN_FILES_TARGET 65536

typedef struct
{
  void (*stop) (gpointer daemon);
  gpointer daemon;
} StopHandler;

static void raise_open_files_limit_ (void);
static gboolean on_signal_ (gpointer user_data);

DpSettings *
daemon_init (const char *program, DpSettingsKind kind, int argc, char **argv, int *status)
{
  g_autofree char *settings_file = NULL;
  g_autofree char *log_level = NULL;
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings_file,
      "Settings file of this process", "FILE" },
    { "log-level", 0, 0, G_OPTION_ARG_STRING, &log_level,
      "error, warning, info or debug; used instead of the level in the settings",
      "LEVEL" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (DpSettings) settings = NULL;
  g_autoptr (GError) error = NULL;

  *status = DAEMON_EXIT_USAGE;
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    goto failed;
  if (version)
    {
      g_print ("%s %s\n", program, DP_VERSION);
      *status = EXIT_SUCCESS;
      return NULL;
    }
  if (settings_file == NULL || argc > 1)
    {
      g_printerr ("usage: %s --settings FILE [--log-level LEVEL]\n", program);
      return NULL;
    }
  settings = dp_settings_load (settings_file, kind, &error);
  if (settings == NULL)
    goto failed;
  if (!dp_logging_init (dp_settings_name (settings),
                        log_level == NULL ? dp_settings_log_level (settings) : log_level,
                        &error))
    goto failed;
  raise_open_files_limit_ ();
  return g_steal_pointer (&settings);

failed:
  g_printerr ("%s\n", error->message);
  return NULL;
}

void
daemon_set_stop_handler (void (*stop) (gpointer daemon), gpointer daemon)
{
  const StopHandler handler = { stop, daemon };

  g_unix_signal_add_full (G_PRIORITY_DEFAULT, SIGTERM, on_signal_,
                          g_memdup2 (&handler, sizeof handler), g_free);
  g_unix_signal_add_full (G_PRIORITY_DEFAULT, SIGINT, on_signal_,
                          g_memdup2 (&handler, sizeof handler), g_free);
}

/* Raises the soft limit of open files to OPEN_FILES_TARGET or, if it is lower, to the
 * hard limit. */
static void
raise_open_files_limit_ (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= OPEN_FILES_TARGET)
    return;
  limit.rlim_cur = MIN (limit.rlim_max, OPEN_FILES_TARGET);
  setrlimit (RLIMIT_NOFILE, &limit);
}

static gboolean
on_signal_ (gpointer user_data)
{
  const StopHandler *handler = user_data;

  handler->stop (handler->daemon);
  return G_SOURCE_CONTINUE;
}
