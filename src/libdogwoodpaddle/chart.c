#include "protected/chart.h"

#include <string.h>

#include "private/charts_resources.h"
#include "protected/document.h"
#include "protected/error.h"
#include "protected/serverhealth.h"

#define MAX_NAMES 64
#define RESOURCE_PATH "/dogwoodpaddle/charts/%s.json"
#define FIRST_ACTION "none"

typedef struct
{
  gboolean defined;
  guint to;
  guint action;
} Transition;

struct _DpChart
{
  GPtrArray *states;  /* char * */
  GPtrArray *events;  /* char * */
  GPtrArray *actions; /* char * */
  guint initial;
  Transition *transitions; /* state * n_events + event */
};

/* Names that a chart must have, in the order of the header's enums. */
static const char *const member_states_[] = { "absent", "joining", "active", "leaving" };
static const char *const member_events_[] = {
  "announced", "server_up",          "server_down",     "stop",
  "undrain",   "removed_by_watcher", "last_flow_ended",
};
static const char *const member_actions_[] = {
  "none", "join", "activate", "deactivate", "leave", "rejoin", "remove", "abort",
};
static const char *const watched_states_[] = { "observing", "alive", "suspected",
                                               "removing" };
static const char *const watched_events_[] = { "heartbeat", "silent", "agreed", "paused",
                                               "gone" };
static const char *const watched_actions_[] = { "none",   "suspect", "clear",
                                                "remove", "restart", "forget" };

static const char *const breaker_states_[] = { "closed", "open", "half_open" };
static const char *const breaker_events_[] = { "failing", "retry", "failed", "proven" };
static const char *const breaker_actions_[] = { "none", "trip", "probe", "reset" };

G_STATIC_ASSERT (G_N_ELEMENTS (breaker_states_) == DP_N_BREAKER_STATES);
G_STATIC_ASSERT (G_N_ELEMENTS (breaker_events_) == DP_N_BREAKER_EVENTS);
G_STATIC_ASSERT (G_N_ELEMENTS (breaker_actions_) == DP_N_BREAKER_ACTIONS);
G_STATIC_ASSERT (G_N_ELEMENTS (member_states_) == DP_N_MEMBER_CHART_STATES);
G_STATIC_ASSERT (G_N_ELEMENTS (member_events_) == DP_N_MEMBER_EVENTS);
G_STATIC_ASSERT (G_N_ELEMENTS (member_actions_) == DP_N_MEMBER_ACTIONS);
G_STATIC_ASSERT (G_N_ELEMENTS (watched_states_) == DP_N_WATCHED_STATES);
G_STATIC_ASSERT (G_N_ELEMENTS (watched_events_) == DP_N_WATCHED_EVENTS);
G_STATIC_ASSERT (G_N_ELEMENTS (watched_actions_) == DP_N_WATCHED_ACTIONS);

typedef struct
{
  const char *name;
  const char *const *states;
  const char *const *events;
  const char *const *actions;
  guint n_states;
  guint n_events;
  guint n_actions;
} ExpectedNames;

static const ExpectedNames expected_names_[] = {
  { "breaker", breaker_states_, breaker_events_, breaker_actions_,
    G_N_ELEMENTS (breaker_states_), G_N_ELEMENTS (breaker_events_),
    G_N_ELEMENTS (breaker_actions_) },
  { "member", member_states_, member_events_, member_actions_,
    G_N_ELEMENTS (member_states_), G_N_ELEMENTS (member_events_),
    G_N_ELEMENTS (member_actions_) },
  { "watched", watched_states_, watched_events_, watched_actions_,
    G_N_ELEMENTS (watched_states_), G_N_ELEMENTS (watched_events_),
    G_N_ELEMENTS (watched_actions_) },
};

static void parse_root_ (DpChart *chart, JsonObject *root, GPtrArray *faults);
static void
parse_names_ (JsonObject *root, const char *key, GPtrArray *names, GPtrArray *faults);
static gboolean read_name_ (JsonObject *object,
                            const char *key,
                            const char *path,
                            const GPtrArray *names,
                            guint *index,
                            GPtrArray *faults);
static void parse_transitions_ (DpChart *chart, JsonObject *root, GPtrArray *faults);
static void
parse_transition_ (DpChart *chart, JsonNode *node, const char *path, GPtrArray *faults);
static void check_reachable_ (const DpChart *chart, GPtrArray *faults);
static gboolean find_name_ (const GPtrArray *names, const char *name, guint *index);
static gboolean has_names_ (const GPtrArray *names, const char *const *expected, guint n);
static Transition *transition_at_ (const DpChart *chart, guint state, guint event);

/* Loads a compiled-in chart. Returns NULL and sets DP_ERROR_INVALID if there is no chart
 * of that name, if it is invalid, or if its names differ from the header's enums. */
DpChart *
dp_chart_load (const char *name, GError **error)
{
  g_autofree char *path = g_strdup_printf (RESOURCE_PATH, name);
  g_autoptr (GBytes) bytes = g_resource_lookup_data (dp_charts_get_resource (), path,
                                                     G_RESOURCE_LOOKUP_FLAGS_NONE, NULL);
  DpChart *chart;

  if (bytes == NULL)
    {
      dp_error_set (error, DP_ERROR_INVALID, "state chart", name, "there is none");
      return NULL;
    }
  chart = dp_chart_parse (name, g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes),
                          error);
  for (guint i = 0; chart != NULL && i < G_N_ELEMENTS (expected_names_); i++)
    {
      const ExpectedNames *names = &expected_names_[i];

      if (!g_str_equal (names->name, name)
          || (has_names_ (chart->states, names->states, names->n_states)
              && has_names_ (chart->events, names->events, names->n_events)
              && has_names_ (chart->actions, names->actions, names->n_actions)))
        continue;
      dp_error_set (error, DP_ERROR_INVALID, "state chart", name,
                    "its names differ from those in the code");
      g_clear_pointer (&chart, dp_chart_free);
    }
  return chart;
}

/* Parses a chart. Returns NULL and sets DP_ERROR_INVALID, which names every fault with
 * its JSON path, if the chart is invalid. name is used in the error only. */
DpChart *
dp_chart_parse (const char *name, const char *text, gsize length, GError **error)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) node = dp_document_parse (text, length, faults);
  g_autofree char *joined = NULL;
  DpChart *chart = g_new0 (DpChart, 1);
  JsonObject *root = node == NULL ? NULL : dp_document_object (node, "$", faults);

  chart->states = g_ptr_array_new_with_free_func (g_free);
  chart->events = g_ptr_array_new_with_free_func (g_free);
  chart->actions = g_ptr_array_new_with_free_func (g_free);
  if (root != NULL)
    parse_root_ (chart, root, faults);
  if (faults->len == 0)
    return chart;
  joined = dp_faults_join (faults);
  dp_error_set (error, DP_ERROR_INVALID, "state chart", name, "%s", joined);
  dp_chart_free (chart);
  return NULL;
}

void
dp_chart_free (DpChart *chart)
{
  if (chart == NULL)
    return;
  g_ptr_array_unref (chart->states);
  g_ptr_array_unref (chart->events);
  g_ptr_array_unref (chart->actions);
  g_free (chart->transitions);
  g_free (chart);
}

guint
dp_chart_n_states (const DpChart *chart)
{
  return chart->states->len;
}

guint
dp_chart_n_events (const DpChart *chart)
{
  return chart->events->len;
}

/* Returns the number of actions, "none" included. */
guint
dp_chart_n_actions (const DpChart *chart)
{
  return chart->actions->len;
}

const char *
dp_chart_state_name (const DpChart *chart, guint state)
{
  g_assert (state < chart->states->len);
  return g_ptr_array_index (chart->states, state);
}

const char *
dp_chart_event_name (const DpChart *chart, guint event)
{
  g_assert (event < chart->events->len);
  return g_ptr_array_index (chart->events, event);
}

const char *
dp_chart_action_name (const DpChart *chart, guint action)
{
  g_assert (action < chart->actions->len);
  return g_ptr_array_index (chart->actions, action);
}

/* Starts the instance in the chart's initial state. */
void
dp_chart_start (DpChartInstance *instance, const DpChart *chart)
{
  instance->chart = chart;
  instance->state = chart->initial;
}

/* Makes the event's transition and returns the index of its action. Returns
 * DP_CHART_ACTION_NONE and keeps the state if the current state has no transition for the
 * event. */
guint
dp_chart_step (DpChartInstance *instance, guint event)
{
  const DpChart *chart = instance->chart;
  const Transition *transition;

  g_assert (event < chart->events->len);
  transition = transition_at_ (chart, instance->state, event);
  if (!transition->defined)
    return DP_CHART_ACTION_NONE;
  instance->state = transition->to;
  return transition->action;
}

static void
parse_root_ (DpChart *chart, JsonObject *root, GPtrArray *faults)
{
  static const char *const keys[] = { "name",    "states",      "initial", "events",
                                      "actions", "transitions", NULL };

  dp_document_check_keys (root, keys, "$", faults);
  parse_names_ (root, "states", chart->states, faults);
  parse_names_ (root, "events", chart->events, faults);
  parse_names_ (root, "actions", chart->actions, faults);
  if (chart->actions->len > 0
      && !g_str_equal (g_ptr_array_index (chart->actions, 0), FIRST_ACTION))
    dp_faults_add (faults, "$.actions[0]", "must be \"" FIRST_ACTION "\"");
  if (faults->len > 0)
    return;
  read_name_ (root, "initial", "$", chart->states, &chart->initial, faults);
  chart->transitions = g_new0 (Transition, chart->states->len * chart->events->len);
  parse_transitions_ (chart, root, faults);
  if (faults->len == 0)
    check_reachable_ (chart, faults);
}

static void
parse_names_ (JsonObject *root, const char *key, GPtrArray *names, GPtrArray *faults)
{
  JsonNode *node = json_object_get_member (root, key);
  g_autofree char *path = dp_document_member_path ("$", key);
  JsonArray *array;

  if (node == NULL)
    {
      dp_faults_add (faults, path, "is missing");
      return;
    }
  array = dp_document_array (node, path, faults);
  if (array == NULL)
    return;
  if (json_array_get_length (array) == 0 || json_array_get_length (array) > MAX_NAMES)
    dp_faults_add (faults, path, "must have 1 to %d names", MAX_NAMES);
  for (guint i = 0; i < json_array_get_length (array) && i < MAX_NAMES; i++)
    {
      g_autofree char *element_path = g_strdup_printf ("%s[%u]", path, i);
      const char *name = dp_document_string (json_array_get_element (array, i),
                                             element_path, faults);
      guint index;

      if (name == NULL || !dp_document_check_name (name, element_path, faults))
        continue;
      if (find_name_ (names, name, &index))
        dp_faults_add (faults, element_path, "\"%s\" is given more than once", name);
      g_ptr_array_add (names, g_strdup (name));
    }
}

/* Reads a string member that must be one of names and sets index to its position. */
static gboolean
read_name_ (JsonObject *object,
            const char *key,
            const char *path,
            const GPtrArray *names,
            guint *index,
            GPtrArray *faults)
{
  JsonNode *node = json_object_get_member (object, key);
  g_autofree char *key_path = dp_document_member_path (path, key);
  const char *name;

  if (node == NULL)
    {
      dp_faults_add (faults, key_path, "is missing");
      return FALSE;
    }
  name = dp_document_string (node, key_path, faults);
  if (name == NULL)
    return FALSE;
  if (find_name_ (names, name, index))
    return TRUE;
  dp_faults_add (faults, key_path, "\"%s\" is unknown", name);
  return FALSE;
}

static void
parse_transitions_ (DpChart *chart, JsonObject *root, GPtrArray *faults)
{
  JsonNode *node = json_object_get_member (root, "transitions");
  JsonArray *array;

  if (node == NULL)
    {
      dp_faults_add (faults, "$.transitions", "is missing");
      return;
    }
  array = dp_document_array (node, "$.transitions", faults);
  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    {
      g_autofree char *path = g_strdup_printf ("$.transitions[%u]", i);

      parse_transition_ (chart, json_array_get_element (array, i), path, faults);
    }
}

static void
parse_transition_ (DpChart *chart, JsonNode *node, const char *path, GPtrArray *faults)
{
  static const char *const keys[] = { "from", "event", "to", "action", NULL };
  JsonObject *object = dp_document_object (node, path, faults);
  guint from = 0;
  guint event = 0;
  guint to = 0;
  guint action = 0;
  gboolean valid;
  Transition *transition;

  if (object == NULL)
    return;
  dp_document_check_keys (object, keys, path, faults);
  valid = read_name_ (object, "from", path, chart->states, &from, faults);
  valid &= read_name_ (object, "event", path, chart->events, &event, faults);
  valid &= read_name_ (object, "to", path, chart->states, &to, faults);
  valid &= read_name_ (object, "action", path, chart->actions, &action, faults);
  if (!valid)
    return;
  transition = transition_at_ (chart, from, event);
  if (transition->defined)
    dp_faults_add (faults, path, "\"%s\" already has a transition for \"%s\"",
                   dp_chart_state_name (chart, from), dp_chart_event_name (chart, event));
  *transition = (Transition){ .defined = TRUE, .to = to, .action = action };
}

static void
check_reachable_ (const DpChart *chart, GPtrArray *faults)
{
  gboolean reached[MAX_NAMES] = { FALSE };
  gboolean changed = TRUE;

  reached[chart->initial] = TRUE;
  while (changed)
    {
      changed = FALSE;
      for (guint state = 0; state < chart->states->len; state++)
        for (guint event = 0; reached[state] && event < chart->events->len; event++)
          {
            const Transition *transition = transition_at_ (chart, state, event);

            if (!transition->defined || reached[transition->to])
              continue;
            reached[transition->to] = TRUE;
            changed = TRUE;
          }
    }
  for (guint state = 0; state < chart->states->len; state++)
    if (!reached[state])
      {
        g_autofree char *path = g_strdup_printf ("$.states[%u]", state);

        dp_faults_add (faults, path, "\"%s\" can't be reached from \"%s\"",
                       dp_chart_state_name (chart, state),
                       dp_chart_state_name (chart, chart->initial));
      }
}

static gboolean
find_name_ (const GPtrArray *names, const char *name, guint *index)
{
  for (guint i = 0; i < names->len; i++)
    if (g_str_equal (g_ptr_array_index (names, i), name))
      {
        *index = i;
        return TRUE;
      }
  return FALSE;
}

static gboolean
has_names_ (const GPtrArray *names, const char *const *expected, guint n)
{
  if (names->len != n)
    return FALSE;
  for (guint i = 0; i < n; i++)
    if (!g_str_equal (g_ptr_array_index (names, i), expected[i]))
      return FALSE;
  return TRUE;
}

static Transition *
transition_at_ (const DpChart *chart, guint state, guint event)
{
  return &chart->transitions[state * chart->events->len + event];
}
