/* Serves the stand-in for the platform's object API until SIGTERM or SIGINT. */
#include <glib-unix.h>
#include <stdlib.h>

#include "standin_platform.h"

#define EXIT_BAD_USAGE 2

static gboolean
quit (gpointer user_data)
{
  g_main_loop_quit (user_data);
  return G_SOURCE_REMOVE;
}

int
main (int argc, char **argv)
{
  g_autofree char *listen = NULL;
  gint seed = 1;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address to serve on", "IP:PORT" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of random faults", "N" },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (StandinPlatform) standin = NULL;
  g_autoptr (GError) error = NULL;
  DpAddress address;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || !dp_address_parse (listen == NULL ? "" : listen, &address, &error))
    {
      g_printerr ("%s\n", error->message);
      return EXIT_BAD_USAGE;
    }
  standin = standin_platform_new (&address, (guint32) seed, &error);
  if (standin == NULL)
    {
      g_printerr ("%s: %s\n", listen, error->message);
      return EXIT_FAILURE;
    }
  g_unix_signal_add (SIGTERM, quit, loop);
  g_unix_signal_add (SIGINT, quit, loop);
  g_main_loop_run (loop);
  return EXIT_SUCCESS;
}
