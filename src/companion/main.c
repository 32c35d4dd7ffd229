/* The companion beside one backend server. */
#include <glib-unix.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "dogwoodpaddle/companion.h"
#include "dogwoodpaddle/logging.h"
#include "dogwoodpaddle/settings.h"

#define EXIT_BAD_USAGE 2
#define OPEN_FILES_WANTED 65536 /* one for each connection to the server */

static gboolean stop_ (gpointer user_data);
static void raise_open_files_ (void);

int
main (int argc, char **argv)
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
  g_autoptr (DpCompanion) companion = NULL;
  g_autoptr (GError) error = NULL;
  DpSettings *settings;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    goto bad_usage;
  if (version)
    {
      g_print ("dogwoodpaddle-companion %s\n", DP_VERSION);
      return EXIT_SUCCESS;
    }
  if (settings_file == NULL || argc > 1)
    {
      g_printerr ("usage: dogwoodpaddle-companion --settings FILE [--log-level LEVEL]\n");
      return EXIT_BAD_USAGE;
    }
  settings = dp_settings_load (settings_file, DP_SETTINGS_COMPANION, &error);
  if (settings == NULL)
    goto bad_usage;
  companion = dp_companion_new (settings);
  if (!dp_logging_init (dp_settings_name (settings),
                        log_level == NULL ? dp_settings_log_level (settings) : log_level,
                        &error))
    goto bad_usage;
  raise_open_files_ ();
  if (!dp_companion_start (companion, &error))
    {
      g_warning ("%s", error->message);
      return EXIT_FAILURE;
    }
  g_unix_signal_add (SIGTERM, stop_, companion);
  g_unix_signal_add (SIGINT, stop_, companion);
  dp_companion_run (companion);
  return EXIT_SUCCESS;

bad_usage:
  g_printerr ("%s\n", error->message);
  return EXIT_BAD_USAGE;
}

static gboolean
stop_ (gpointer user_data)
{
  dp_companion_stop (user_data);
  return G_SOURCE_CONTINUE;
}

/* Raises this process's own limit as far as the system allows. */
static void
raise_open_files_ (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= OPEN_FILES_WANTED)
    return;
  limit.rlim_cur = MIN (limit.rlim_max, OPEN_FILES_WANTED);
  setrlimit (RLIMIT_NOFILE, &limit);
}
