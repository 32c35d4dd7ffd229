/* Named counters and gauges of one process, in Prometheus text format. */
#pragma once

#include <glib.h>

typedef struct _DpMetrics DpMetrics;

typedef enum
{
  DP_METRIC_COUNTER,
  DP_METRIC_GAUGE,
  DP_METRIC_HISTOGRAM,
  DP_N_METRIC_KINDS
} DpMetricKind;

/* A counter's address stays the same until dp_metrics_free (). */
typedef struct
{
  guint64 value;
} DpMetric;

#define DP_HISTOGRAM_BOUNDS 12

/* Times, counted by upper bounds of 1 ms to 5 s. */
typedef struct
{
  guint64 counts[DP_HISTOGRAM_BOUNDS + 1]; /* of each range; the last is unbounded */
  guint64 sum;                             /* us */
} DpHistogram;

DpMetrics *dp_metrics_new (void);
void dp_metrics_free (DpMetrics *metrics);
DpMetric *dp_metrics_add (DpMetrics *metrics,
                          DpMetricKind kind,
                          const char *name,
                          const char *labels,
                          const char *help);
/* Like a counter's, the histogram's address stays the same. */
DpHistogram *
dp_metrics_add_histogram (DpMetrics *metrics, const char *name, const char *help);
void dp_histogram_observe (DpHistogram *histogram, gint64 time);
guint64 dp_metrics_value (DpMetrics *metrics, const char *name, const char *labels);
char *dp_metrics_format (DpMetrics *metrics);

static inline void
dp_metric_increment (DpMetric *metric)
{
  metric->value++;
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpMetrics, dp_metrics_free)
