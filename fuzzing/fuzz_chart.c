/* Fuzzes the parser of state charts: a chart that it accepts must give a valid action and
 * state for every event in every state. */
#include <stddef.h>
#include <stdint.h>

#include "protected/chart.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_steps (const DpChart *chart)
{
  for (guint state = 0; state < dp_chart_n_states (chart); state++)
    for (guint event = 0; event < dp_chart_n_events (chart); event++)
      {
        DpChartInstance instance = { chart, state };
        guint action = dp_chart_step (&instance, event);

        if (action >= dp_chart_n_actions (chart)
            || instance.state >= dp_chart_n_states (chart))
          g_error ("a step returned an action or state outside the chart");
      }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const char *const names[] = { "member", "watched" };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (DpChart)
          chart = dp_chart_parse (names[i], (const char *) data, size, &error);

      if ((chart == NULL) != (error != NULL))
        g_error ("dp_chart_parse set both or neither of chart and error");
      if (chart != NULL)
        check_steps (chart);
    }
  return 0;
}
