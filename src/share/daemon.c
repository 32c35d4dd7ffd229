#include "daemon.h"

#include <glib-unix.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "dogwoodpaddle/logging.h"

/* A companion needs a file descriptor for each connection to its server, a balancer one
 * for each subscriber. */
#define OPEN_FILES_WANTED 65536

typedef struct
{
  void (*stop) (gpointer daemon);
  gpointer daemon;
} Stop;

static void raise_open_files_ (void);
static gboolean signalled_ (gpointer user_data);

DpSettings *
daemon_open (const char *program, DpSettingsKind kind, int argc, char **argv, int *status)
{
  g_autofree char *settings_file = NULL;
  g_autofree char *log_level = NULL;
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings_file, "Settings of this process",
      "FILE" },
    { "log-level", 0, 0, G_OPTION_ARG_STRING, &log_level,
      "error, warning, info or debug; instead of the settings' level", "LEVEL" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (DpSettings) settings = NULL;
  g_autoptr (GError) error = NULL;

  *status = DAEMON_BAD_USAGE;
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    goto fault;
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
    goto fault;
  if (!dp_logging_init (dp_settings_name (settings),
                        log_level == NULL ? dp_settings_log_level (settings) : log_level,
                        &error))
    goto fault;
  raise_open_files_ ();
  return g_steal_pointer (&settings);

fault:
  g_printerr ("%s\n", error->message);
  return NULL;
}

void
daemon_on_stop (void (*stop) (gpointer daemon), gpointer daemon)
{
  const Stop callback = { stop, daemon };

  g_unix_signal_add_full (G_PRIORITY_DEFAULT, SIGTERM, signalled_,
                          g_memdup2 (&callback, sizeof callback), g_free);
  g_unix_signal_add_full (G_PRIORITY_DEFAULT, SIGINT, signalled_,
                          g_memdup2 (&callback, sizeof callback), g_free);
}

/* Raises the soft limit of open files to OPEN_FILES_WANTED or, if it is lower, to the
 * hard limit. */
static void
raise_open_files_ (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= OPEN_FILES_WANTED)
    return;
  limit.rlim_cur = MIN (limit.rlim_max, OPEN_FILES_WANTED);
  setrlimit (RLIMIT_NOFILE, &limit);
}

static gboolean
signalled_ (gpointer user_data)
{
  const Stop *callback = user_data;

  callback->stop (callback->daemon);
  return G_SOURCE_CONTINUE;
}
