/* The companion beside one backend server. */
#include <stdlib.h>
#include <sys/resource.h>

#include "daemon.h"
#include "dogwoodpaddle/companion.h"

#define OPEN_FILES_WANTED 65536 /* one for each connection to the server */

static void
stop (gpointer companion)
{
  dp_companion_stop (companion);
}

/* Raises this process's own limit as far as the system allows. */
static void
raise_open_files (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= OPEN_FILES_WANTED)
    return;
  limit.rlim_cur = MIN (limit.rlim_max, OPEN_FILES_WANTED);
  setrlimit (RLIMIT_NOFILE, &limit);
}

int
main (int argc, char **argv)
{
  int status;
  DpSettings *settings = daemon_open ("dogwoodpaddle-companion", DP_SETTINGS_COMPANION,
                                      argc, argv, &status);
  g_autoptr (DpCompanion) companion = NULL;
  g_autoptr (GError) error = NULL;

  if (settings == NULL)
    return status;
  companion = dp_companion_new (settings);
  raise_open_files ();
  if (!dp_companion_start (companion, &error))
    {
      g_warning ("%s", error->message);
      return EXIT_FAILURE;
    }
  daemon_on_stop (stop, companion);
  dp_companion_run (companion);
  return EXIT_SUCCESS;
}
