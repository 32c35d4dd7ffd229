/* Main program of the balancer daemon. */
#include <stdlib.h>

#include "daemon.h"
#include "dogwoodpaddle/balancer.h"

static void
stop (gpointer balancer)
{
  dp_balancer_stop (balancer);
}

int
main (int argc, char **argv)
{
  int status;
  DpSettings *settings = daemon_init ("dogwoodpaddle-balancer", DP_SETTINGS_BALANCER,
                                      argc, argv, &status);
  g_autoptr (DpBalancer) balancer = NULL;
  g_autoptr (GError) error = NULL;

  if (settings == NULL)
    return status;
  balancer = dp_balancer_new (settings);
  if (!dp_balancer_start (balancer, &error))
    {
      g_warning ("%s", error->message);
      return EXIT_FAILURE;
    }
  daemon_set_stop_handler (stop, balancer);
  dp_balancer_run (balancer);
  return EXIT_SUCCESS;
}
