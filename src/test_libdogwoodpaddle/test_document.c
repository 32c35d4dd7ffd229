/* Guards against malformed or ambiguous JSON that is accepted and read in another sense
 * than its author meant. */
#include <string.h>

#include "protected/document.h"
#include "runner.h"

typedef struct
{
  const char *failure; /* what goes wrong if the case fails */
  const char *text;
  const char *path; /* of the first fault, NULL: valid */
} ParseCase;

static void
test_parse (void)
{
  static const ParseCase cases[] = {
    { "valid file refused", "{\"a\":[1,{\"b\":\"c\"}]}", NULL },
    { "braces in strings counted", "{\"a\":\"}{[\\\"/*'\"}", NULL },
    { "empty file accepted as empty settings", "", "$" },
    { "blank file accepted as empty settings", " \n", "$" },
    { "truncated file", "{\"a\":1", "$" },
    { "second value replaces the first", "{\"a\":1} {\"a\":2}", "$" },
    { "comment skipped", "{/* \"a\":1 */}", "$" },
    { "line comment skipped", "{} // x", "$" },
    { "single quotes", "{'a':1}", "$" },
    { "invalid UTF-8", "{\"a\":\"\xff\"}", "$" },
    { "duplicate key, last wins silently", "{\"a\":1,\"a\":2}", "$.a" },
    { "nested duplicate key", "{\"x\":[{\"y\":{\"k k\":1,\"k k\":1}}]}",
      "$.x[0].y[\"k k\"]" },
    { "same key in two objects refused", "{\"a\":{\"k\":1},\"b\":{\"k\":1}}", NULL },
    { "trailing comma", "{\"a\":1,}", "$" },
    { "bare word", "{\"a\":yes}", "$" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GPtrArray) faults = dp_faults_new ();
      g_autoptr (JsonNode)
          root = dp_document_parse (cases[i].text, strlen (cases[i].text), faults);
      const DpFault *fault = faults->len == 0 ? NULL : g_ptr_array_index (faults, 0);

      if (g_strcmp0 (fault == NULL ? NULL : fault->path, cases[i].path) != 0)
        {
          g_printerr ("%s: got %s\n", cases[i].failure,
                      fault == NULL ? "no fault" : fault->path);
          CU_FAIL ("unexpected fault");
        }
      CU_ASSERT_TRUE (root != NULL || faults->len > 0);
    }
}

static void
test_depth (void)
{
  g_autofree char *text = g_strnfill (1000000, '[');
  g_autoptr (GPtrArray) faults = dp_faults_new ();

  CU_ASSERT_PTR_NULL (dp_document_parse (text, 1000000, faults));
  CU_ASSERT_EQUAL (faults->len, 1);
}

static void
test_integer (void)
{
  static const ParseCase cases[] = {
    { "lower limit refused", "[0]", NULL },
    { "upper limit refused", "[8]", NULL },
    { "negative number", "[-1]", "$[0]" },
    { "above the range", "[9]", "$[0]" },
    { "1e99 wraps around", "[1e99]", "$[0]" },
    { "whole number as a fraction", "[4.0]", "$[0]" },
    { "fraction rounded", "[4.5]", "$[0]" },
    { "64-bit overflow wraps into the range", "[18446744073709551620]", "$[0]" },
    { "overflow far beyond 64 bits", "[99999999999999999999999999]", "$[0]" },
    { "string accepted as a number", "[\"4\"]", "$[0]" },
    { "boolean accepted as a number", "[true]", "$[0]" },
    { "null accepted as 0", "[null]", "$[0]" },
    { "object accepted as a number", "[{}]", "$[0]" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GPtrArray) faults = dp_faults_new ();
      g_autoptr (JsonNode)
          root = dp_document_parse (cases[i].text, strlen (cases[i].text), faults);
      gint64 value = -7;
      gboolean valid = root != NULL
                       && dp_document_integer (
                           json_array_get_element (json_node_get_array (root), 0), "$[0]",
                           0, 8, &value, faults);

      if (valid != (cases[i].path == NULL))
        {
          g_printerr ("%s: got %" G_GINT64_FORMAT "\n", cases[i].failure, value);
          CU_FAIL ("unexpected result");
        }
      CU_ASSERT_EQUAL (faults->len, valid ? 0 : 1);
    }
}

static const DpTestCase cases_[] = {
  { "files are parsed strictly", test_parse },
  { "deep nesting does not overflow the stack", test_depth },
  { "numbers must be integers and in range", test_integer },
};

DP_TEST_MAIN ("document", cases_)
