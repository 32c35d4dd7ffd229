#include "private/pathcounters.h"

#include "protected/clock.h"

#define LOG_INTERVAL DP_US_PER_S /* between lines about the same kind of fault */
#define LABEL_MAX 64

static DpMetric *counter_ (DpMetrics *metrics,
                           const char *name,
                           const char *label,
                           const char *value,
                           const char *help);

static const char *const fault_strings_[] = {
  "untrusted source", "malformed header", "malformed packet",
  "wrong service",    "no reply address",
};

G_STATIC_ASSERT (G_N_ELEMENTS (fault_strings_) == DP_N_FAULTS);

/* Registers the counters with the process's metrics. */
void
dp_path_counters_init (DpPathCounters *counters, DpMetrics *metrics)
{
  for (guint i = 0; i < DP_N_ACTIONS; i++)
    counters->n_actions[i] = counter_ (metrics, "dogwoodpaddle_actions_total", "action",
                                       dp_action_type_string (i),
                                       "Actions for packets and flows.");
  for (guint i = DP_REASON_NONE + 1; i < DP_N_REASONS; i++)
    counters->n_reasons[i] = counter_ (metrics, "dogwoodpaddle_reasons_total", "reason",
                                       dp_reason_string (i),
                                       "Packets and flows dropped, reset or refused.");
  for (guint i = 0; i < DP_N_FAULTS; i++)
    counters->n_faults[i] = counter_ (metrics, "dogwoodpaddle_faults_total", "kind",
                                      fault_strings_[i],
                                      "Packets that were not valid for this companion.");
  counters->n_late = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                     "dogwoodpaddle_late_packets_total", "",
                                     "Packets of flows that had ended here.");
  counters->n_replies = dp_metrics_add (metrics, DP_METRIC_COUNTER,
                                        "dogwoodpaddle_replies_total", "",
                                        "Packets sent towards clients.");
}

/* Counts an action and its reason. */
void
dp_path_counters_action (DpPathCounters *counters, const DpAction *action)
{
  dp_metric_increment (counters->n_actions[action->type]);
  if (action->reason != DP_REASON_NONE)
    dp_metric_increment (counters->n_reasons[action->reason]);
}

/* Counts a fault and logs it, at most one line a second for each kind. */
void
dp_path_counters_fault (DpPathCounters *counters,
                        DpFaultKind fault,
                        const DpAddress *peer,
                        const char *text,
                        gint64 now)
{
  char address[DP_ADDRESS_STRLEN];

  dp_metric_increment (counters->n_faults[fault]);
  if (counters->logged_at[fault] != 0 && now - counters->logged_at[fault] < LOG_INTERVAL)
    return;
  counters->logged_at[fault] = now;
  g_warning ("dropped a packet: %s: %s: %s", fault_strings_[fault],
             dp_address_format (peer, address), text);
}

static DpMetric *
counter_ (DpMetrics *metrics,
          const char *name,
          const char *label,
          const char *value,
          const char *help)
{
  char labels[LABEL_MAX];

  g_snprintf (labels, sizeof labels, "%s=\"%s\"", label, value);
  return dp_metrics_add (metrics, DP_METRIC_COUNTER, name, labels, help);
}
