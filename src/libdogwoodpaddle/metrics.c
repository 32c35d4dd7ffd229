#include "protected/metrics.h"

typedef struct
{
  DpMetric metric; /* first, so that its address is the entry's */
  DpMetricKind kind;
  char *name;
  char *labels; /* as zone="riga-a", or "" */
  char *help;
} Entry;

struct _DpMetrics
{
  GPtrArray *entries; /* Entry, in order of name */
};

static const char *const kind_strings_[] = { "counter", "gauge" };

G_STATIC_ASSERT (G_N_ELEMENTS (kind_strings_) == DP_N_METRIC_KINDS);

static void entry_free_ (gpointer data);
static Entry *find_ (DpMetrics *metrics, const char *name, const char *labels);
static gint compare_ (gconstpointer a, gconstpointer b);

/* Creates an empty set of metrics. */
DpMetrics *
dp_metrics_new (void)
{
  DpMetrics *metrics = g_new0 (DpMetrics, 1);

  metrics->entries = g_ptr_array_new_with_free_func (entry_free_);
  return metrics;
}

/* Frees the set and all its counters. */
void
dp_metrics_free (DpMetrics *metrics)
{
  if (metrics == NULL)
    return;
  g_ptr_array_unref (metrics->entries);
  g_free (metrics);
}

/* Adds a metric, or returns the present one of that name and labels. labels is "" or
 * Prometheus label text such as reason="idle". */
DpMetric *
dp_metrics_add (DpMetrics *metrics,
                DpMetricKind kind,
                const char *name,
                const char *labels,
                const char *help)
{
  Entry *entry = find_ (metrics, name, labels);

  if (entry != NULL)
    return &entry->metric;
  entry = g_new0 (Entry, 1);
  entry->kind = kind;
  entry->name = g_strdup (name);
  entry->labels = g_strdup (labels);
  entry->help = g_strdup (help);
  g_ptr_array_add (metrics->entries, entry);
  g_ptr_array_sort (metrics->entries, compare_);
  return &entry->metric;
}

/* Returns a metric's value, 0 if there is none of that name and labels. */
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
  const char *last = NULL;

  for (guint i = 0; i < metrics->entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (metrics->entries, i);

      if (g_strcmp0 (last, entry->name) != 0)
        {
          g_string_append_printf (text, "# HELP %s %s\n", entry->name, entry->help);
          g_string_append_printf (text, "# TYPE %s %s\n", entry->name,
                                  kind_strings_[entry->kind]);
        }
      last = entry->name;
      if (entry->labels[0] == '\0')
        g_string_append (text, entry->name);
      else
        g_string_append_printf (text, "%s{%s}", entry->name, entry->labels);
      g_string_append_printf (text, " %" G_GUINT64_FORMAT "\n", entry->metric.value);
    }
  return g_string_free (text, FALSE);
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
compare_ (gconstpointer a, gconstpointer b)
{
  const Entry *x = *(const Entry *const *) a;
  const Entry *y = *(const Entry *const *) b;
  gint order = g_strcmp0 (x->name, y->name);

  return order != 0 ? order : g_strcmp0 (x->labels, y->labels);
}
