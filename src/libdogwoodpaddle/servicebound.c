#include "protected/servicebound.h"

#include <math.h>

#include "protected/error.h"
#include "protected/json.h"

/* Length of a time step: a tenth of the shortest work time of the current classes. */
#define STEP_MS 2.0
#define LENGTH_MAX_S 600.0

/* A numeric member of a JSON object and the struct field that it sets. */
typedef struct
{
  const char *key;
  gsize offset;
  double min;
  double max;
  double default_value; /* NAN if the member is required */
} NumberField;

/* One way to serve a class: within its objective or before its deadline. */
typedef struct
{
  guint class;
  gboolean late;
  double credit_per_ms; /* credit per ms of work */
} Tier;

typedef struct
{
  const DpBoundScenario *scenario;
  guint n_steps;    /* steps in which requests arrive */
  guint n_capacity; /* steps in which they are served, also after the last arrival */
  double *capacity; /* ms of work still available, by step */
  double **waiting; /* requests not served yet, by class and step of arrival */
} Pool;

static const NumberField class_fields_[] = {
  { "per_s", G_STRUCT_OFFSET (DpBoundClass, per_s), 0.0, 1e6, NAN },
  { "work_ms", G_STRUCT_OFFSET (DpBoundClass, work_ms), 0.01, 1e6, NAN },
  { "overhead_ms", G_STRUCT_OFFSET (DpBoundClass, overhead_ms), 0.0, 1e5, 0.0 },
  { "objective_ms", G_STRUCT_OFFSET (DpBoundClass, objective_ms), 1.0, 1e6, NAN },
  { "deadline_ms", G_STRUCT_OFFSET (DpBoundClass, deadline_ms), 1.0, 1e6, NAN },
  { "worth", G_STRUCT_OFFSET (DpBoundClass, credit), 0.0, 1e6, 1.0 },
  { "late_worth", G_STRUCT_OFFSET (DpBoundClass, late_credit), 0.0, 1e6, 0.0 },
};

static const NumberField phase_fields_[] = {
  { "from_s", G_STRUCT_OFFSET (DpBoundPhase, from_s), 0.0, LENGTH_MAX_S, NAN },
  { "to_s", G_STRUCT_OFFSET (DpBoundPhase, to_s), 0.0, LENGTH_MAX_S, NAN },
  { "load", G_STRUCT_OFFSET (DpBoundPhase, load_factor), 0.0, 1000.0, 1.0 },
  { "slots", G_STRUCT_OFFSET (DpBoundPhase, slots_share), 0.0, 1000.0, 1.0 },
  { "slow", G_STRUCT_OFFSET (DpBoundPhase, slowdown), 0.01, 1000.0, 1.0 },
};

static const NumberField scenario_fields_[] = {
  { "length_s", G_STRUCT_OFFSET (DpBoundScenario, length_s), 0.1, LENGTH_MAX_S, NAN },
  { "window_s", G_STRUCT_OFFSET (DpBoundScenario, window_s), 0.1, LENGTH_MAX_S, 2.0 },
  { "slots", G_STRUCT_OFFSET (DpBoundScenario, slots), 0.0, 1e6, NAN },
};

static gboolean read_numbers_ (JsonObject *object,
                               const NumberField *fields,
                               guint n_fields,
                               const char *path,
                               gpointer target,
                               GError **error);
static gboolean
read_classes_ (DpBoundScenario *scenario, JsonObject *object, GError **error);
static gboolean
read_phases_ (DpBoundScenario *scenario, JsonObject *object, GError **error);
static JsonObject *
object_at_ (JsonArray *array, guint i, const char *path, GError **error);
static void class_clear_ (gpointer data);
static void pool_init_ (Pool *pool, const DpBoundScenario *scenario);
static void pool_clear_ (Pool *pool);
static GArray *new_tiers_ (const DpBoundScenario *scenario);
static gint compare_tiers_ (gconstpointer a, gconstpointer b);
static void serve_tier_ (Pool *pool, const Tier *tier, GArray *windows);
static guint allowed_steps_ (const DpBoundClass *class, gboolean late);
static DpBoundWindow *window_at_ (GArray *windows, const Pool *pool, guint step);

/* Reads a scenario from JSON: length_s, window_s, slots, classes and phases. Fails with
 * DP_ERROR_INVALID and the path of the faulty member. */
DpBoundScenario *
dp_bound_scenario_parse (const char *text, gsize length, GError **error)
{
  g_autoptr (JsonNode) root = dp_json_parse (text, length, error);
  DpBoundScenario *scenario;
  JsonObject *object;

  if (root == NULL)
    return NULL;
  object = dp_json_get_object (root);
  if (object == NULL)
    {
      dp_error_set (error, DP_ERROR_INVALID, "scenario", NULL, "not an object");
      return NULL;
    }
  scenario = g_new0 (DpBoundScenario, 1);
  scenario->classes = g_array_new (FALSE, TRUE, sizeof (DpBoundClass));
  g_array_set_clear_func (scenario->classes, class_clear_);
  scenario->phases = g_array_new (FALSE, TRUE, sizeof (DpBoundPhase));
  if (!read_numbers_ (object, scenario_fields_, G_N_ELEMENTS (scenario_fields_), "",
                      scenario, error)
      || !read_classes_ (scenario, object, error)
      || !read_phases_ (scenario, object, error))
    goto fault;
  return scenario;

fault:
  dp_bound_scenario_free (scenario);
  return NULL;
}

/* Frees the scenario. */
void
dp_bound_scenario_free (DpBoundScenario *scenario)
{
  if (scenario == NULL)
    return;
  g_array_unref (scenario->classes);
  g_array_unref (scenario->phases);
  g_free (scenario);
}

/* Serves the requests in descending order of credit per ms of work, each as late as is
 * allowed, so that earlier capacity is left for the requests that can't wait. The caller
 * frees the array. */
GArray *
dp_bound_compute (const DpBoundScenario *scenario)
{
  const guint n = (guint) ceil (scenario->length_s / scenario->window_s);
  GArray *windows = g_array_sized_new (FALSE, TRUE, sizeof (DpBoundWindow), n);
  g_autoptr (GArray) tiers = new_tiers_ (scenario);
  Pool pool;

  g_array_set_size (windows, n);
  pool_init_ (&pool, scenario);
  for (guint i = 0; i < n; i++)
    g_array_index (windows, DpBoundWindow, i).from_s = i * scenario->window_s;
  for (guint c = 0; c < scenario->classes->len; c++)
    for (guint step = 0; step < pool.n_steps; step++)
      {
        DpBoundWindow *window = window_at_ (windows, &pool, step);

        window->arrived += pool.waiting[c][step];
        window->max_credit += pool.waiting[c][step]
                              * g_array_index (scenario->classes, DpBoundClass, c).credit;
      }
  for (guint i = 0; i < tiers->len; i++)
    serve_tier_ (&pool, &g_array_index (tiers, Tier, i), windows);
  pool_clear_ (&pool);
  return windows;
}

static gboolean
read_numbers_ (JsonObject *object,
               const NumberField *fields,
               guint n_fields,
               const char *path,
               gpointer target,
               GError **error)
{
  for (guint i = 0; i < n_fields; i++)
    {
      const NumberField *field = &fields[i];
      JsonNode *node = json_object_get_member (object, field->key);
      double value = field->default_value;

      if (node != NULL && JSON_NODE_HOLDS_VALUE (node)
          && (json_node_get_value_type (node) == G_TYPE_INT64
              || json_node_get_value_type (node) == G_TYPE_DOUBLE))
        value = json_node_get_double (node);
      else if (node != NULL)
        value = NAN;
      if (isnan (value) || value < field->min || value > field->max)
        {
          dp_error_set (error, DP_ERROR_INVALID, "scenario", NULL,
                        "%s%s is not a number from %g to %g", path, field->key,
                        field->min, field->max);
          return FALSE;
        }
      *(double *) (gpointer) ((char *) target + field->offset) = value;
    }
  return TRUE;
}

static gboolean
read_classes_ (DpBoundScenario *scenario, JsonObject *object, GError **error)
{
  JsonArray *array = dp_json_get_array (object, "classes");

  if (array == NULL || json_array_get_length (array) == 0)
    {
      dp_error_set (error, DP_ERROR_INVALID, "scenario", NULL, "classes is missing");
      return FALSE;
    }
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      g_autofree char *path = g_strdup_printf ("classes[%u].", i);
      JsonObject *element = object_at_ (array, i, path, error);
      DpBoundClass class = { 0 };
      const char *name;

      if (element == NULL
          || !read_numbers_ (element, class_fields_, G_N_ELEMENTS (class_fields_), path,
                             &class, error))
        return FALSE;
      name = dp_json_get_string (element, "name");
      class.name = g_strdup (name != NULL ? name : "");
      g_array_append_val (scenario->classes, class);
    }
  return TRUE;
}

static gboolean
read_phases_ (DpBoundScenario *scenario, JsonObject *object, GError **error)
{
  JsonArray *array = dp_json_get_array (object, "phases");
  const guint n = array == NULL ? 0 : json_array_get_length (array);

  for (guint i = 0; i < n; i++)
    {
      g_autofree char *path = g_strdup_printf ("phases[%u].", i);
      JsonObject *element = object_at_ (array, i, path, error);
      DpBoundPhase phase;

      if (element == NULL
          || !read_numbers_ (element, phase_fields_, G_N_ELEMENTS (phase_fields_), path,
                             &phase, error))
        return FALSE;
      g_array_append_val (scenario->phases, phase);
    }
  return TRUE;
}

static JsonObject *
object_at_ (JsonArray *array, guint i, const char *path, GError **error)
{
  JsonObject *object = dp_json_get_object (json_array_get_element (array, i));

  if (object == NULL)
    dp_error_set (error, DP_ERROR_INVALID, "scenario", NULL, "%s is not an object", path);
  return object;
}

static void
class_clear_ (gpointer data)
{
  g_free (((DpBoundClass *) data)->name);
}

static void
pool_init_ (Pool *pool, const DpBoundScenario *scenario)
{
  const guint n_steps = MAX ((guint) ceil (scenario->length_s * 1000.0 / STEP_MS), 1);

  g_assert (scenario->classes->len > 0);
  pool->scenario = scenario;
  pool->n_steps = n_steps;
  pool->n_capacity = n_steps;
  for (guint c = 0; c < scenario->classes->len; c++)
    pool->n_capacity = MAX (
        pool->n_capacity,
        n_steps
            + allowed_steps_ (&g_array_index (scenario->classes, DpBoundClass, c), TRUE));
  pool->capacity = g_new0 (double, pool->n_capacity);
  pool->waiting = g_new0 (double *, scenario->classes->len);
  for (guint c = 0; c < scenario->classes->len; c++)
    pool->waiting[c] = g_new0 (double, n_steps);
  for (guint step = 0; step < pool->n_capacity; step++)
    {
      const double at_s = step * STEP_MS / 1000.0;
      double load = 1.0;
      double slots = scenario->slots;

      for (guint i = 0; i < scenario->phases->len; i++)
        {
          const DpBoundPhase *phase = &g_array_index (scenario->phases, DpBoundPhase, i);

          if (at_s < phase->from_s || at_s >= phase->to_s)
            continue;
          load *= phase->load_factor;
          slots *= phase->slots_share / phase->slowdown;
        }
      pool->capacity[step] = slots * STEP_MS;
      for (guint c = 0; step < n_steps && c < scenario->classes->len; c++)
        pool->waiting[c][step] = g_array_index (scenario->classes, DpBoundClass, c).per_s
                                 * load * STEP_MS / 1000.0;
    }
}

static void
pool_clear_ (Pool *pool)
{
  for (guint c = 0; c < pool->scenario->classes->len; c++)
    g_free (pool->waiting[c]);
  g_free (pool->waiting);
  g_free (pool->capacity);
}

static GArray *
new_tiers_ (const DpBoundScenario *scenario)
{
  GArray *tiers = g_array_new (FALSE, FALSE, sizeof (Tier));

  for (guint c = 0; c < scenario->classes->len; c++)
    {
      const DpBoundClass *class = &g_array_index (scenario->classes, DpBoundClass, c);
      const Tier in_time = { c, FALSE, class->credit / class->work_ms };
      const Tier late = { c, TRUE, class->late_credit / class->work_ms };

      g_array_append_val (tiers, in_time);
      g_array_append_val (tiers, late);
    }
  g_array_sort (tiers, compare_tiers_);
  return tiers;
}

/* Sorts by descending credit per ms of work. */
static gint
compare_tiers_ (gconstpointer a, gconstpointer b)
{
  const double difference = ((const Tier *) b)->credit_per_ms
                            - ((const Tier *) a)->credit_per_ms;

  return (difference > 0.0) - (difference < 0.0);
}

static void
serve_tier_ (Pool *pool, const Tier *tier, GArray *windows)
{
  const DpBoundClass *class = &g_array_index (pool->scenario->classes, DpBoundClass,
                                              tier->class);
  const guint n_allowed_steps = allowed_steps_ (class, tier->late);

  for (guint arrival = pool->n_steps; arrival-- > 0;)
    {
      double *waiting = &pool->waiting[tier->class][arrival];
      DpBoundWindow *window = window_at_ (windows, pool, arrival);
      guint step = arrival + n_allowed_steps;

      while (*waiting > 0.0 && step-- > arrival)
        {
          const double served = MIN (*waiting, pool->capacity[step] / class->work_ms);

          *waiting -= served;
          pool->capacity[step] -= served * class->work_ms;
          *(tier->late ? &window->late : &window->in_time) += served;
          window->credit += served * (tier->late ? class->late_credit : class->credit);
        }
    }
}

/* Returns the number of steps, from its arrival on, within which a request has to be
 * served. */
static guint
allowed_steps_ (const DpBoundClass *class, gboolean late)
{
  const double bound_ms = late ? class->deadline_ms : class->objective_ms;

  return (guint) (MAX (bound_ms - class->overhead_ms, 0.0) / STEP_MS);
}

static DpBoundWindow *
window_at_ (GArray *windows, const Pool *pool, guint step)
{
  const guint i = (guint) (step * STEP_MS / 1000.0 / pool->scenario->window_s);

  return &g_array_index (windows, DpBoundWindow, MIN (i, windows->len - 1));
}
