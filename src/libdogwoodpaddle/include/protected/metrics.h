/* Counters, gauges and histograms of one process, exported in Prometheus text format. */
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

/* The address of a metric is valid until dp_metrics_free (). */
typedef struct
{
  guint64 value;
} DpMetric;

#define DP_HISTOGRAM_BOUNDS 12

/* Histogram of durations with bucket bounds from 1 ms to 5 s. */
typedef struct
{
  guint64 counts[DP_HISTOGRAM_BOUNDS + 1]; /* per bucket; the last one is unbounded */
  guint64 sum;                             /* us */
} DpHistogram;

DpMetrics *dp_metrics_new (void);
void dp_metrics_free (DpMetrics *metrics);
DpMetric *dp_metrics_add (DpMetrics *metrics,
                          DpMetricKind kind,
                          const char *name,
                          const char *labels,
                          const char *help);
/* The address of the histogram is valid until dp_metrics_free (). */
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
