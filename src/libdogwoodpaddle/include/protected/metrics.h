/* Named counters and gauges of one process, in Prometheus text format. */
#pragma once

#include <glib.h>

typedef struct _DpMetrics DpMetrics;

typedef enum
{
  DP_METRIC_COUNTER,
  DP_METRIC_GAUGE,
  DP_N_METRIC_KINDS
} DpMetricKind;

/* A counter's address stays the same until dp_metrics_free (). */
typedef struct
{
  guint64 value;
} DpMetric;

DpMetrics *dp_metrics_new (void);
void dp_metrics_free (DpMetrics *metrics);
DpMetric *dp_metrics_add (DpMetrics *metrics,
                          DpMetricKind kind,
                          const char *name,
                          const char *labels,
                          const char *help);
guint64 dp_metrics_value (DpMetrics *metrics, const char *name, const char *labels);
char *dp_metrics_format (DpMetrics *metrics);

static inline void
dp_metric_increment (DpMetric *metric)
{
  metric->value++;
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpMetrics, dp_metrics_free)
