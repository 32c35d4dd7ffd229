/* Guards against invalid state charts that are accepted and would bring an object into a
 * state that the chart does not have, and against compiled-in charts that are older than
 * their JSON files. */
#include <gio/gio.h>
#include <string.h>

#include "private/charts_resources.h"
#include "protected/chart.h"
#include "protected/serverhealth.h"
#include "runner.h"

#define CHART(states, initial, transitions)                                              \
  "{\"name\":\"x\",\"states\":" states ",\"initial\":\"" initial                         \
  "\",\"events\":[\"go\","                                                               \
  "\"back\"],\"actions\":[\"none\",\"act\"],\"transitions\":[" transitions "]}"
#define GO "{\"from\":\"a\",\"event\":\"go\",\"to\":\"b\",\"action\":\"act\"}"

typedef struct
{
  const char *failure;
  const char *text;
  const char *expected; /* part of the message, NULL: valid */
} ChartCase;

typedef struct
{
  guint event;
  guint state; /* after the event */
  guint action;
} Step;

static const char *const chart_names_[] = { "breaker", "member", "watched" };

static void
test_faults (void)
{
  static const ChartCase cases[] = {
    { "valid chart refused", CHART ("[\"a\",\"b\"]", "a", GO), NULL },
    { "unknown initial state", CHART ("[\"a\",\"b\"]", "c", GO), "$.initial: \"c\"" },
    { "unknown source state",
      CHART ("[\"a\",\"b\"]", "a",
             GO ",{\"from\":\"c\",\"event\":\"go\",\"to\":\"b\",\"action\":\"act\"}"),
      "$.transitions[1].from: \"c\" is unknown" },
    { "unknown target state", CHART ("[\"a\"]", "a", GO),
      "$.transitions[0].to: \"b\" is unknown" },
    { "unknown event",
      CHART ("[\"a\",\"b\"]", "a",
             "{\"from\":\"a\",\"event\":\"up\",\"to\":\"b\",\"action\":\"act\"}"),
      "$.transitions[0].event: \"up\" is unknown" },
    { "unknown action",
      CHART ("[\"a\",\"b\"]", "a",
             "{\"from\":\"a\",\"event\":\"go\",\"to\":\"b\",\"action\":\"run\"}"),
      "$.transitions[0].action: \"run\" is unknown" },
    { "second transition for the same event replaces the first",
      CHART ("[\"a\",\"b\"]", "a", GO "," GO), "\"a\" already has a transition" },
    { "unreachable state", CHART ("[\"a\",\"b\",\"c\"]", "a", GO),
      "$.states[2]: \"c\" can't be reached" },
    { "state given twice", CHART ("[\"a\",\"b\",\"a\"]", "a", GO),
      "$.states[2]: \"a\" is given more than once" },
    { "no states", CHART ("[]", "a", ""), "$.states: must have" },
    { "misspelt key",
      CHART ("[\"a\",\"b\"]", "a",
             "{\"from\":\"a\",\"event\":\"go\",\"to\":\"b\",\"act\":\"act\"}"),
      "$.transitions[0].act: unknown key" },
    { "text that is not JSON", "{", "$: " },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (DpChart)
          chart = dp_chart_parse ("x", cases[i].text, strlen (cases[i].text), &error);
      const char *message = error == NULL ? "" : error->message;

      CU_ASSERT_EQUAL (chart != NULL, cases[i].expected == NULL);
      if (cases[i].expected == NULL || strstr (message, cases[i].expected) != NULL)
        continue;
      g_printerr ("%s: %s\n", cases[i].failure, message);
      CU_FAIL ("the message does not name the fault");
    }
}

static void
test_compiled_in (void)
{
  const char *source = g_getenv ("DP_SOURCE_DIR");

  CU_ASSERT_PTR_NOT_NULL_FATAL (source);
  for (guint i = 0; i < G_N_ELEMENTS (chart_names_); i++)
    {
      g_autofree char *file = g_strdup_printf ("%s/src/libdogwoodpaddle/charts/%s.json",
                                               source, chart_names_[i]);
      g_autofree char *path = g_strdup_printf ("/dogwoodpaddle/charts/%s.json",
                                               chart_names_[i]);
      g_autofree char *text = NULL;
      g_autoptr (GBytes) bytes = g_resource_lookup_data (
          dp_charts_get_resource (), path, G_RESOURCE_LOOKUP_FLAGS_NONE, NULL);
      g_autoptr (GBytes) expected = NULL;
      gsize length;

      CU_ASSERT_TRUE_FATAL (g_file_get_contents (file, &text, &length, NULL));
      CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
      expected = g_bytes_new (text, length);
      /* On failure: run scripts/charts and commit the result. */
      CU_ASSERT_TRUE (g_bytes_equal (bytes, expected));
    }
}

static void
test_load (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (chart_names_); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (DpChart) chart = dp_chart_load (chart_names_[i], &error);

      if (error != NULL)
        g_printerr ("%s\n", error->message);
      CU_ASSERT_PTR_NOT_NULL (chart);
    }
  CU_ASSERT_PTR_NULL (dp_chart_load ("nothing", NULL));
}

static void
check_steps (const char *name, const Step *steps, guint n_steps)
{
  g_autoptr (DpChart) chart = dp_chart_load (name, NULL);
  DpChartInstance instance;

  CU_ASSERT_PTR_NOT_NULL_FATAL (chart);
  if (chart == NULL)
    return;
  dp_chart_start (&instance, chart);
  for (guint i = 0; i < n_steps; i++)
    {
      guint action = dp_chart_step (&instance, steps[i].event);

      if (action == steps[i].action && instance.state == steps[i].state)
        continue;
      g_printerr ("%s, step %u, %s: now %s, action %s\n", name, i,
                  dp_chart_event_name (chart, steps[i].event),
                  dp_chart_state_name (chart, instance.state),
                  dp_chart_action_name (chart, action));
      CU_FAIL ("wrong state or action");
    }
}

static void
test_member (void)
{
  static const Step steps[] = {
    /* A companion without a server ignores these events. */
    { DP_MEMBER_EVENT_SERVER_DOWN, DP_MEMBER_CHART_ABSENT, DP_CHART_ACTION_NONE },
    { DP_MEMBER_EVENT_STOP, DP_MEMBER_CHART_ABSENT, DP_CHART_ACTION_NONE },
    { DP_MEMBER_EVENT_ANNOUNCED, DP_MEMBER_CHART_JOINING, DP_MEMBER_ACTION_JOIN },
    { DP_MEMBER_EVENT_SERVER_UP, DP_MEMBER_CHART_ACTIVE, DP_MEMBER_ACTION_ACTIVATE },
    { DP_MEMBER_EVENT_SERVER_UP, DP_MEMBER_CHART_ACTIVE, DP_CHART_ACTION_NONE },
    { DP_MEMBER_EVENT_SERVER_DOWN, DP_MEMBER_CHART_JOINING, DP_MEMBER_ACTION_DEACTIVATE },
    { DP_MEMBER_EVENT_SERVER_UP, DP_MEMBER_CHART_ACTIVE, DP_MEMBER_ACTION_ACTIVATE },
    { DP_MEMBER_EVENT_REMOVED_BY_WATCHER, DP_MEMBER_CHART_JOINING,
      DP_MEMBER_ACTION_REJOIN },
    { DP_MEMBER_EVENT_SERVER_UP, DP_MEMBER_CHART_ACTIVE, DP_MEMBER_ACTION_ACTIVATE },
    /* The end of the last flow must not remove an active member. */
    { DP_MEMBER_EVENT_LAST_FLOW_ENDED, DP_MEMBER_CHART_ACTIVE, DP_CHART_ACTION_NONE },
    { DP_MEMBER_EVENT_STOP, DP_MEMBER_CHART_LEAVING, DP_MEMBER_ACTION_LEAVE },
    /* The member's remaining flows still need it in the list. */
    { DP_MEMBER_EVENT_REMOVED_BY_WATCHER, DP_MEMBER_CHART_LEAVING,
      DP_MEMBER_ACTION_REJOIN },
    { DP_MEMBER_EVENT_SERVER_UP, DP_MEMBER_CHART_LEAVING, DP_CHART_ACTION_NONE },
    { DP_MEMBER_EVENT_LAST_FLOW_ENDED, DP_MEMBER_CHART_ABSENT, DP_MEMBER_ACTION_REMOVE },
    { DP_MEMBER_EVENT_UNDRAIN, DP_MEMBER_CHART_JOINING, DP_MEMBER_ACTION_JOIN },
    { DP_MEMBER_EVENT_STOP, DP_MEMBER_CHART_LEAVING, DP_MEMBER_ACTION_LEAVE },
    { DP_MEMBER_EVENT_UNDRAIN, DP_MEMBER_CHART_JOINING, DP_MEMBER_ACTION_JOIN },
    { DP_MEMBER_EVENT_STOP, DP_MEMBER_CHART_LEAVING, DP_MEMBER_ACTION_LEAVE },
    { DP_MEMBER_EVENT_STOP, DP_MEMBER_CHART_ABSENT, DP_MEMBER_ACTION_ABORT },
  };

  check_steps ("member", steps, G_N_ELEMENTS (steps));
}

static void
test_watched (void)
{
  static const Step steps[] = {
    /* Another watcher's suspicion alone removes no member. */
    { DP_WATCHED_EVENT_AGREED, DP_WATCHED_OBSERVING, DP_CHART_ACTION_NONE },
    { DP_WATCHED_EVENT_HEARTBEAT, DP_WATCHED_ALIVE, DP_CHART_ACTION_NONE },
    { DP_WATCHED_EVENT_AGREED, DP_WATCHED_ALIVE, DP_CHART_ACTION_NONE },
    { DP_WATCHED_EVENT_SILENT, DP_WATCHED_SUSPECTED, DP_WATCHED_ACTION_SUSPECT },
    { DP_WATCHED_EVENT_HEARTBEAT, DP_WATCHED_ALIVE, DP_WATCHED_ACTION_CLEAR },
    { DP_WATCHED_EVENT_SILENT, DP_WATCHED_SUSPECTED, DP_WATCHED_ACTION_SUSPECT },
    /* A watcher that was paused does not count the silence that it has observed. */
    { DP_WATCHED_EVENT_PAUSED, DP_WATCHED_OBSERVING, DP_WATCHED_ACTION_RESTART },
    { DP_WATCHED_EVENT_AGREED, DP_WATCHED_OBSERVING, DP_CHART_ACTION_NONE },
    { DP_WATCHED_EVENT_SILENT, DP_WATCHED_SUSPECTED, DP_WATCHED_ACTION_SUSPECT },
    { DP_WATCHED_EVENT_AGREED, DP_WATCHED_REMOVING, DP_WATCHED_ACTION_REMOVE },
    { DP_WATCHED_EVENT_AGREED, DP_WATCHED_REMOVING, DP_CHART_ACTION_NONE },
    { DP_WATCHED_EVENT_PAUSED, DP_WATCHED_OBSERVING, DP_WATCHED_ACTION_RESTART },
    { DP_WATCHED_EVENT_SILENT, DP_WATCHED_SUSPECTED, DP_WATCHED_ACTION_SUSPECT },
    { DP_WATCHED_EVENT_AGREED, DP_WATCHED_REMOVING, DP_WATCHED_ACTION_REMOVE },
    { DP_WATCHED_EVENT_HEARTBEAT, DP_WATCHED_ALIVE, DP_WATCHED_ACTION_CLEAR },
    { DP_WATCHED_EVENT_GONE, DP_WATCHED_OBSERVING, DP_WATCHED_ACTION_FORGET },
  };

  check_steps ("watched", steps, G_N_ELEMENTS (steps));
}

static void
test_breaker (void)
{
  static const Step steps[] = {
    { DP_BREAKER_EVENT_FAILED, DP_BREAKER_CLOSED, DP_CHART_ACTION_NONE },
    { DP_BREAKER_EVENT_FAILING, DP_BREAKER_OPEN, DP_BREAKER_ACTION_TRIP },
    /* Requests that were in flight may still fail while the breaker is open. */
    { DP_BREAKER_EVENT_FAILED, DP_BREAKER_OPEN, DP_CHART_ACTION_NONE },
    { DP_BREAKER_EVENT_FAILING, DP_BREAKER_OPEN, DP_CHART_ACTION_NONE },
    { DP_BREAKER_EVENT_RETRY, DP_BREAKER_HALF_OPEN, DP_BREAKER_ACTION_PROBE },
    { DP_BREAKER_EVENT_FAILED, DP_BREAKER_OPEN, DP_BREAKER_ACTION_TRIP },
    { DP_BREAKER_EVENT_RETRY, DP_BREAKER_HALF_OPEN, DP_BREAKER_ACTION_PROBE },
    { DP_BREAKER_EVENT_PROVEN, DP_BREAKER_CLOSED, DP_BREAKER_ACTION_RESET },
  };

  check_steps ("breaker", steps, G_N_ELEMENTS (steps));
}

static const DpTestCase cases_[] = {
  { "invalid charts are rejected", test_faults },
  { "the compiled-in charts match the JSON files", test_compiled_in },
  { "the compiled-in charts match the enums", test_load },
  { "states of a member's registration", test_member },
  { "states of a watched member", test_watched },
  { "states of a server's breaker", test_breaker },
};

DP_TEST_MAIN ("chart", cases_)
