#include "protected/flowlog.h"

#include <stdarg.h>

/* Maximum lines per second and kind in one process. A line takes about 10 us, so each
 * kind takes at most 0.1% of a core and 7 KB/s of log. */
#define LINES_PER_S_MAX 20
/* Normal decisions are logged for one flow in this many. Every process selects the same
 * flows, as they are chosen by their hash. */
#define SAMPLE_INTERVAL 256

struct _DpFlowLog
{
  DpClock *clock;
  gint64 second_start; /* us, start of the second for which lines are counted */
  guint n_written[DP_N_FLOW_LOG_KINDS];
  guint n_suppressed;
  DpMetric *suppressed_total;
};

static void begin_second_ (DpFlowLog *log, gint64 now);

/* Creates a log that has written nothing yet. */
DpFlowLog *
dp_flow_log_new (DpClock *clock, DpMetrics *metrics)
{
  DpFlowLog *log = g_new0 (DpFlowLog, 1);

  log->clock = clock;
  log->second_start = dp_clock_now (clock);
  log->suppressed_total = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                          "dogwoodpaddle_log_lines_suppressed_total", "",
                                          "Lines about flows beyond the log's rate");
  return log;
}

void
dp_flow_log_free (DpFlowLog *log)
{
  g_free (log);
}

/* Admits a line about a failure or a sampled flow while the rate of its kind allows it.
 */
gboolean
dp_flow_log_admits (DpFlowLog *log, DpFlowLogKind kind, const DpSegment *segment)
{
  gint64 now;

  if (kind == DP_FLOW_LOG_NORMAL && segment->hash % SAMPLE_INTERVAL != 0)
    return FALSE;
  now = dp_clock_now (log->clock);
  if (now - log->second_start >= DP_US_PER_S)
    begin_second_ (log, now);
  if (log->n_written[kind] < LINES_PER_S_MAX)
    {
      log->n_written[kind]++;
      return TRUE;
    }
  log->n_suppressed++;
  dp_metric_increment (log->suppressed_total);
  return FALSE;
}

/* Writes a structured log line. The flow id in it is the same in every process. */
void
dp_flow_log_write (const DpSegment *segment,
                   const char *action,
                   const char *reason,
                   const char *inputs,
                   ...)
{
  char id[DP_FLOW_ID_STRLEN];
  char client[DP_ADDRESS_STRLEN];
  char service[DP_ADDRESS_STRLEN];
  char seq[16];
  char inputs_text[256];
  const GLogField fields[] = {
    { "MESSAGE", "flow", -1 },
    { "PRIORITY", "6", -1 },
    { "GLIB_DOMAIN", G_LOG_DOMAIN, -1 },
    { "FLOW", id, -1 },
    { "CLIENT", client, -1 },
    { "SERVICE", service, -1 },
    { "SEQ", seq, -1 },
    { "ACTION", action, -1 },
    { "REASON", reason, -1 },
    { "INPUTS", inputs_text, -1 },
  };
  va_list arguments;

  dp_flow_id_format (&segment->key, id);
  dp_address_format (&segment->key.client, client);
  dp_address_format (&segment->key.service, service);
  g_snprintf (seq, sizeof seq, "%u", segment->seq);
  va_start (arguments, inputs);
  g_vsnprintf (inputs_text, sizeof inputs_text, inputs, arguments);
  va_end (arguments);
  g_log_structured_array (G_LOG_LEVEL_INFO, fields, G_N_ELEMENTS (fields));
}

/* Formats the flow's id, the hash of its two addresses and two ports. Returns the buffer.
 */
const char *
dp_flow_id_format (const DpFlowKey *key, char buffer[DP_FLOW_ID_STRLEN])
{
  g_snprintf (buffer, DP_FLOW_ID_STRLEN, "%016" G_GINT64_MODIFIER "x",
              dp_flow_key_hash (key));
  return buffer;
}

static void
begin_second_ (DpFlowLog *log, gint64 now)
{
  if (log->n_suppressed > 0)
    g_message ("%u lines about flows were suppressed", log->n_suppressed);
  log->second_start = now;
  log->n_suppressed = 0;
  for (guint i = 0; i < DP_N_FLOW_LOG_KINDS; i++)
    log->n_written[i] = 0;
}
