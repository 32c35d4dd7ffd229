#include "protected/metrics.h"

typedef struct
{
  DpMetric metric; /* first, so that it has the address of the entry */
  DpHistogram histogram;
  DpMetricKind kind;
  char *name;
  char *labels; /* such as zone="riga-a", or "" */
  char *help;
} Entry;

struct _DpMetrics
{
  GPtrArray *entries; /* Entry, sorted by name and labels */
};

static const char *const kind_strings_[] = { "counter", "gauge", "histogram" };

/* Upper bounds of the buckets: in us, and in seconds as text for Prometheus. */
static const gint64 bounds_[] = { 1000,   2000,   5000,   10000,   20000,   50000,
                                  100000, 200000, 500000, 1000000, 2000000, 5000000 };
static const char *const bound_strings_[] = { "0.001", "0.002", "0.005", "0.01",
                                              "0.02",  "0.05",  "0.1",   "0.2",
                                              "0.5",   "1",     "2",     "5" };

G_STATIC_ASSERT (G_N_ELEMENTS (bounds_) == DP_HISTOGRAM_BOUNDS);
G_STATIC_ASSERT (G_N_ELEMENTS (bound_strings_) == DP_HISTOGRAM_BOUNDS);

G_STATIC_ASSERT (G_N_ELEMENTS (kind_strings_) == DP_N_METRIC_KINDS);

static void entry_free_ (gpointer data);
static Entry *add_ (DpMetrics *metrics,
                    DpMetricKind kind,
                    const char *name,
                    const char *labels,
                    const char *help);
static void format_histogram_ (GString *text, const Entry *entry);
static Entry *find_ (DpMetrics *metrics, const char *name, const char *labels);
static gint compare_entries_ (gconstpointer a, gconstpointer b);

/* Creates an empty set of metrics. */
DpMetrics *
dp_metrics_new (void)
{
  DpMetrics *metrics = g_new0 (DpMetrics, 1);

  metrics->entries = g_ptr_array_new_with_free_func (entry_free_);
  return metrics;
}

/* Frees the set and all its metrics. */
void
dp_metrics_free (DpMetrics *metrics)
{
  if (metrics == NULL)
    return;
  g_ptr_array_unref (metrics->entries);
  g_free (metrics);
}

/* Adds a metric, or returns the existing one with the same name and labels. labels is ""
 * or Prometheus label text such as reason="idle". */
DpMetric *
dp_metrics_add (DpMetrics *metrics,
                DpMetricKind kind,
                const char *name,
                const char *labels,
                const char *help)
{
  return &add_ (metrics, kind, name, labels, help)->metric;
}

/* Adds a histogram of durations without labels, or returns the existing one. */
DpHistogram *
dp_metrics_add_histogram (DpMetrics *metrics, const char *name, const char *help)
{
  return &add_ (metrics, DP_METRIC_HISTOGRAM, name, "", help)->histogram;
}

/* Adds a duration in us to the histogram. */
void
dp_histogram_observe (DpHistogram *histogram, gint64 time)
{
  guint i = 0;

  while (i < DP_HISTOGRAM_BOUNDS && time > bounds_[i])
    i++;
  histogram->counts[i]++;
  histogram->sum += (guint64) MAX (time, 0);
}

/* Returns the value of the metric with this name and labels, or 0 if there is none. */
guint64
dp_metrics_value (DpMetrics *metrics, const char *name, const char *labels)
{
  Entry *entry = find_ (metrics, name, labels);

  return entry == NULL ? 0 : entry->metric.value;
}

/* Returns all metrics in Prometheus text format, version 0.0.4. */
char *
dp_metrics_format (DpMetrics *metrics)
{
  GString *text = g_string_new (NULL);
  const char *previous_name = NULL;

  for (guint i = 0; i < metrics->entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (metrics->entries, i);

      if (g_strcmp0 (previous_name, entry->name) != 0)
        {
          g_string_append_printf (text, "# HELP %s %s\n", entry->name, entry->help);
          g_string_append_printf (text, "# TYPE %s %s\n", entry->name,
                                  kind_strings_[entry->kind]);
        }
      previous_name = entry->name;
      if (entry->kind == DP_METRIC_HISTOGRAM)
        {
          format_histogram_ (text, entry);
          continue;
        }
      if (entry->labels[0] == '\0')
        g_string_append (text, entry->name);
      else
        g_string_append_printf (text, "%s{%s}", entry->name, entry->labels);
      g_string_append_printf (text, " %" G_GUINT64_FORMAT "\n", entry->metric.value);
    }
  return g_string_free (text, FALSE);
}

static Entry *
add_ (DpMetrics *metrics,
      DpMetricKind kind,
      const char *name,
      const char *labels,
      const char *help)
{
  Entry *entry = find_ (metrics, name, labels);

  if (entry != NULL)
    return entry;
  entry = g_new0 (Entry, 1);
  entry->kind = kind;
  entry->name = g_strdup (name);
  entry->labels = g_strdup (labels);
  entry->help = g_strdup (help);
  g_ptr_array_add (metrics->entries, entry);
  g_ptr_array_sort (metrics->entries, compare_entries_);
  return entry;
}

/* Prometheus buckets are cumulative and in seconds. */
static void
format_histogram_ (GString *text, const Entry *entry)
{
  const DpHistogram *histogram = &entry->histogram;
  guint64 count = 0;

  for (guint i = 0; i < DP_HISTOGRAM_BOUNDS; i++)
    {
      count += histogram->counts[i];
      g_string_append_printf (text, "%s_bucket{le=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              entry->name, bound_strings_[i], count);
    }
  count += histogram->counts[DP_HISTOGRAM_BOUNDS];
  g_string_append_printf (text, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          entry->name, count);
  g_string_append_printf (text, "%s_sum %" G_GUINT64_FORMAT ".%06" G_GUINT64_FORMAT "\n",
                          entry->name, histogram->sum / 1000000,
                          histogram->sum % 1000000);
  g_string_append_printf (text, "%s_count %" G_GUINT64_FORMAT "\n", entry->name, count);
}

static void
entry_free_ (gpointer data)
{
  Entry *entry = data;

  g_free (entry->name);
  g_free (entry->labels);
  g_free (entry->help);
  g_free (entry);
}

static Entry *
find_ (DpMetrics *metrics, const char *name, const char *labels)
{
  for (guint i = 0; i < metrics->entries->len; i++)
    {
      Entry *entry = g_ptr_array_index (metrics->entries, i);

      if (g_str_equal (entry->name, name) && g_str_equal (entry->labels, labels))
        return entry;
    }
  return NULL;
}

static gint
compare_entries_ (gconstpointer a, gconstpointer b)
{
  const Entry *x = *(const Entry *const *) a;
  const Entry *y = *(const Entry *const *) b;
  gint order = g_strcmp0 (x->name, y->name);

  return order != 0 ? order : g_strcmp0 (x->labels, y->labels);
}
