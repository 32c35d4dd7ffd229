/* Guards against log lines that a log collector can't parse, and against trace spans
 * that don't name their flow. */
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

#include "dogwoodpaddle/logging.h"
#include "protected/trace.h"
#include "runner.h"

typedef void (*Emit) (void);

/* Returns the lines that emit writes to standard error. */
static char **
capture (Emit emit)
{
  g_autofree char *path = NULL;
  g_autofree char *text = NULL;
  int file = g_file_open_tmp ("log-XXXXXX", &path, NULL);
  int saved = dup (STDERR_FILENO);
  char **lines;

  g_assert (file >= 0 && saved >= 0);
  dup2 (file, STDERR_FILENO);
  emit ();
  dup2 (saved, STDERR_FILENO);
  close (saved);
  close (file);
  g_assert (g_file_get_contents (path, &text, NULL, NULL));
  g_unlink (path);
  CU_ASSERT_TRUE (text[0] == '\0' || g_str_has_suffix (text, "\n"));
  lines = g_strsplit (g_strchomp (text), "\n", -1);
  return lines;
}

static const char *
field (JsonNode *node, const char *key)
{
  JsonObject *object = json_node_get_object (node);

  return json_object_get_string_member_with_default (object, key, "");
}

static void
emit_special_characters (void)
{
  g_message ("a \"quote\", a \\, a\nnew line, \x01 and \xff");
  g_log_structured (G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "PEER", "127.0.0.1:80", "MESSAGE",
                    "refused %d", 7);
}

static void
emit_levels (void)
{
  g_debug ("one");
  g_info ("two");
  g_warning ("three");
}

static void
emit_spans (void)
{
  DpSegment segment = {
    .key = { { 0x0a000009, 40000 }, { 0x0a4d0001, 80 } },
    .flags = DP_TCP_SYN | DP_TCP_ACK,
  };

  dp_trace_span (0xabcdef, "accept", "darbnica-1", &segment, "rank 2");
  dp_trace_span (0, "accept", "darbnica-1", &segment, "not sampled");
}

static void
test_json (void)
{
  g_auto (GStrv) lines = NULL;
  g_autoptr (JsonNode) first = NULL;
  g_autoptr (JsonNode) second = NULL;

  CU_ASSERT_TRUE (dp_logging_init ("balancer-1", "info", NULL));
  lines = capture (emit_special_characters);
  CU_ASSERT_EQUAL_FATAL (g_strv_length (lines), 2);
  first = json_from_string (lines[0], NULL);
  second = json_from_string (lines[1], NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (first);
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  CU_ASSERT_STRING_EQUAL (field (first, "message"),
                          "a \"quote\", a \\, a\nnew line, \x01 and \xef\xbf\xbd");
  CU_ASSERT_STRING_EQUAL (field (first, "level"), "info");
  CU_ASSERT_STRING_EQUAL (field (first, "process"), "balancer-1");
  CU_ASSERT_STRING_EQUAL (field (second, "message"), "refused 7");
  CU_ASSERT_STRING_EQUAL (field (second, "peer"), "127.0.0.1:80");
  CU_ASSERT_STRING_EQUAL (field (second, "level"), "warning");
}

static void
test_levels (void)
{
  static const struct
  {
    const char *level;
    guint lines;
  } cases[] = { { "debug", 3 }, { "info", 2 }, { "warning", 1 }, { "error", 0 } };
  g_autoptr (GError) error = NULL;

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_auto (GStrv) lines = NULL;

      CU_ASSERT_TRUE (dp_logging_init ("p", cases[i].level, NULL));
      lines = capture (emit_levels);
      CU_ASSERT_EQUAL (g_strv_length (lines), cases[i].lines);
    }
  CU_ASSERT_FALSE (dp_logging_set_level ("loud", &error));
  CU_ASSERT_PTR_NOT_NULL (error);
}

static void
test_span (void)
{
  g_auto (GStrv) lines = NULL;
  g_autoptr (JsonNode) span = NULL;

  CU_ASSERT_TRUE (dp_logging_init ("p", "info", NULL));
  lines = capture (emit_spans);
  CU_ASSERT_EQUAL_FATAL (g_strv_length (lines), 1);
  span = json_from_string (lines[0], NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (span);
  CU_ASSERT_STRING_EQUAL (field (span, "message"), "span");
  CU_ASSERT_STRING_EQUAL (field (span, "trace_id"), "0000000000abcdef");
  CU_ASSERT_STRING_EQUAL (field (span, "hop"), "accept");
  CU_ASSERT_STRING_EQUAL (field (span, "process"), "darbnica-1");
  CU_ASSERT_STRING_EQUAL (field (span, "flow"), "10.0.0.9:40000>10.77.0.1:80");
  CU_ASSERT_STRING_EQUAL (field (span, "flags"), "SA");
  CU_ASSERT_STRING_EQUAL (field (span, "detail"), "rank 2");
}

/* Guards against packets that are delayed because nobody reads the log pipe. */
static void
test_full_pipe (void)
{
  int ends[2];
  char buffer[4096];
  guint64 lost_before = dp_logging_lost_lines ();
  gboolean reported = FALSE;
  gsize read_bytes = 0;

  CU_ASSERT_TRUE (dp_logging_init ("p", "info", NULL));
  g_assert (pipe (ends) == 0);
  dp_logging_set_descriptor (ends[1]);
  for (guint i = 0; i < 2000; i++)
    g_message ("line %u of a log that nobody reads", i);
  CU_ASSERT (dp_logging_lost_lines () > lost_before);
  while (read_bytes < 32768)
    read_bytes += (gsize) read (ends[0], buffer, sizeof buffer);
  g_message ("the log pipe is read again");
  dp_logging_set_descriptor (STDERR_FILENO);
  close (ends[1]);
  for (gssize n = read (ends[0], buffer, sizeof buffer - 1); n > 0;
       n = read (ends[0], buffer, sizeof buffer - 1))
    {
      buffer[n] = '\0';
      reported = reported || strstr (buffer, "log lines lost") != NULL;
    }
  CU_ASSERT_TRUE (reported);
  close (ends[0]);
}

static const DpTestCase cases_[] = {
  { "special characters are escaped within one JSON line", test_json },
  { "levels below the threshold are not written", test_levels },
  { "a span names its flow; unsampled flows have no spans", test_span },
  { "a full log pipe does not block the process", test_full_pipe },
};

DP_TEST_MAIN ("logging", cases_)
