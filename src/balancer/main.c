/* The balancer daemon. */
#include <glib-unix.h>
#include <stdlib.h>

#include "dogwoodpaddle/balancer.h"
#include "dogwoodpaddle/logging.h"
#include "dogwoodpaddle/settings.h"

#define EXIT_BAD_USAGE 2

static gboolean
stop (gpointer user_data)
{
  dp_balancer_stop (user_data);
  return G_SOURCE_CONTINUE;
}

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
  g_autoptr (DpBalancer) balancer = NULL;
  g_autoptr (GError) error = NULL;
  DpSettings *settings;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    goto bad_usage;
  if (version)
    {
      g_print ("dogwoodpaddle-balancer %s\n", DP_VERSION);
      return EXIT_SUCCESS;
    }
  if (settings_file == NULL || argc > 1)
    {
      g_printerr ("usage: dogwoodpaddle-balancer --settings FILE [--log-level LEVEL]\n");
      return EXIT_BAD_USAGE;
    }
  settings = dp_settings_load (settings_file, DP_SETTINGS_BALANCER, &error);
  if (settings == NULL
      || !dp_logging_init (
          dp_settings_name (settings),
          log_level == NULL ? dp_settings_log_level (settings) : log_level, &error))
    goto bad_usage;
  balancer = dp_balancer_new (settings);
  if (!dp_balancer_start (balancer, &error))
    {
      g_warning ("%s", error->message);
      return EXIT_FAILURE;
    }
  g_unix_signal_add (SIGTERM, stop, balancer);
  g_unix_signal_add (SIGINT, stop, balancer);
  dp_balancer_run (balancer);
  return EXIT_SUCCESS;

bad_usage:
  g_printerr ("%s\n", error->message);
  return EXIT_BAD_USAGE;
}
