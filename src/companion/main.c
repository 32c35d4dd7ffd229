/* Main program of the companion, the daemon that passes flows to one backend server. */
#include <stdlib.h>

#include "daemon.h"
#include "dogwoodpaddle/companion.h"

static void
stop (gpointer companion)
{
  dp_companion_stop (companion);
}

int
main (int argc, char **argv)
{
  int status;
  DpSettings *settings = daemon_init ("dogwoodpaddle-companion", DP_SETTINGS_COMPANION,
                                      argc, argv, &status);
  g_autoptr (DpCompanion) companion = NULL;
  g_autoptr (GError) error = NULL;

  if (settings == NULL)
    return status;
  companion = dp_companion_new (settings);
  if (!dp_companion_start (companion, &error))
    {
      g_warning ("%s", error->message);
      return EXIT_FAILURE;
    }
  daemon_set_stop_handler (stop, companion);
  dp_companion_run (companion);
  return EXIT_SUCCESS;
}
