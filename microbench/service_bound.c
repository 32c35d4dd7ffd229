/* Prints an upper bound on the number of requests of a scenario that any scheduler could
 * have served in time: one JSON line for each window and one for the total. See
 * protected/servicebound.h.
 *
 * usage: service_bound FILE */
#include <stdio.h>
#include <stdlib.h>

#include "protected/servicebound.h"

#define EXIT_USAGE 2

static void
print_window (const char *name, const DpBoundWindow *window)
{
  printf ("{\"window\":\"%s\",\"asked\":%.0f,\"in_time\":%.0f,\"late\":%.0f,"
          "\"unserved\":%.0f,\"credit\":%.3f}\n",
          name, window->arrived, window->in_time, window->late,
          window->arrived - window->in_time - window->late,
          window->max_credit > 0.0 ? window->credit / window->max_credit : 1.0);
}

int
main (int argc, char **argv)
{
  g_autoptr (DpBoundScenario) scenario = NULL;
  g_autoptr (GArray) windows = NULL;
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  DpBoundWindow total = { 0 };
  gsize length;

  if (argc != 2)
    {
      g_printerr ("usage: %s FILE\n", argv[0]);
      return EXIT_USAGE;
    }
  if (g_file_get_contents (argv[1], &text, &length, &error))
    scenario = dp_bound_scenario_parse (text, length, &error);
  if (scenario == NULL)
    {
      g_printerr ("%s: %s\n", argv[1], error->message);
      return EXIT_FAILURE;
    }
  windows = dp_bound_compute (scenario);
  for (guint i = 0; i < windows->len; i++)
    {
      const DpBoundWindow *window = &g_array_index (windows, DpBoundWindow, i);
      g_autofree char *name = g_strdup_printf ("%g s", window->from_s);

      print_window (name, window);
      total.arrived += window->arrived;
      total.in_time += window->in_time;
      total.late += window->late;
      total.max_credit += window->max_credit;
      total.credit += window->credit;
    }
  print_window ("all", &total);
  return EXIT_SUCCESS;
}
