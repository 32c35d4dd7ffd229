/* Guards against arrays that are split at the wrong places, and against malformed arrays
 * that are accepted because their elements are parsed one at a time. */
#include <string.h>

#include "protected/json.h"
#include "runner.h"

typedef struct
{
  const char *text;
  const char *rest;
  const char *elements; /* joined with '|' */
} SplitCase;

static void
test_extract_elements (void)
{
  static const SplitCase cases[] = {
    { "{\"items\":[]}", "{\"items\":[]}", "" },
    { "{\"items\":[ ]}", "{\"items\":[]}", "" },
    { "{\"r\":1,\"items\":[1,2]}", "{\"r\":1,\"items\":[]}", "1|2" },
    { " { \"items\" : [ {\"a\":[1,2]} ] , \"r\":3}", " { \"items\" : [] , \"r\":3}",
      "{\"a\":[1,2]} " },
    { "{\"items\":[\"],\\\"[\",{\"x\":\"}\"}]}", "{\"items\":[]}",
      "\"],\\\"[\"|{\"x\":\"}\"}" },
    { "{\"a\":{\"items\":[1]},\"items\":[2]}", "{\"a\":{\"items\":[1]},\"items\":[]}",
      "2" },
    { "{\"a\":\"items\",\"items\":[2]}", "{\"a\":\"items\",\"items\":[]}", "2" },
    { "{\"items\":[1,]}", "{\"items\":[]}", "1|" },
    { "{\"items\":[,1]}", "{\"items\":[]}", "|1" },
    /* Not split: there is no such array, or it is not terminated. */
    { "{\"items\":{\"a\":[1]}}", "{\"items\":{\"a\":[1]}}", "" },
    { "[{\"items\":[1]}]", "[{\"items\":[1]}]", "" },
    { "{\"items\":[1,2", "{\"items\":[1,2", "" },
    { "{\"items\":[1}", "{\"items\":[1}", "" },
    { "{\"items\":[\"a]}", "{\"items\":[\"a]}", "" },
    { "{\"items\":[\"a\\", "{\"items\":[\"a\\", "" },
    { "{\"items\"", "{\"items\"", "" },
    { "{\"items", "{\"items", "" },
    { "", "", "" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GPtrArray) elements = g_ptr_array_new_with_free_func (g_free);
      g_autofree char *rest = dp_json_extract_elements (cases[i].text, "items", elements);
      g_autofree char *joined = NULL;

      g_ptr_array_add (elements, NULL);
      joined = g_strjoinv ("|", (char **) elements->pdata);
      CU_ASSERT_STRING_EQUAL (rest, cases[i].rest);
      CU_ASSERT_STRING_EQUAL (joined, cases[i].elements);
    }
}

/* A text is malformed if, and only if, the remaining text or an element is malformed. */
static void
test_malformed (void)
{
  static const char *const texts[] = {
    "{\"items\":[1,]}",   "{\"items\":[,1]}",    "{\"items\":[1 2]}",  "{\"items\":[1}]}",
    "{\"items\":[1]",     "{\"items\":[{]}",     "{\"items\":[1],}",   "{\"items\":[1]]}",
    "{\"items\":[{}{}]}", "{\"items\":[\"a]}",   "{\"items\":[1]}x",   "{\"items\" [1]}",
    "{\"items\":[[1},2]", "{\"items\":[1,[2}]}", "{\"items\":[1,,2]}",
  };

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GPtrArray) elements = g_ptr_array_new_with_free_func (g_free);
      g_autofree char *rest = dp_json_extract_elements (texts[i], "items", elements);
      g_autoptr (JsonNode) node = dp_json_parse (rest, strlen (rest), NULL);
      gboolean valid = node != NULL;

      for (guint j = 0; j < elements->len; j++)
        {
          g_autoptr (JsonNode)
              element = dp_json_parse_element (g_ptr_array_index (elements, j), NULL);

          valid = valid && element != NULL;
        }
      if (valid)
        fprintf (stderr, "accepted: %s\n", texts[i]);
      CU_ASSERT_FALSE (valid);
    }
}

/* Guards against a value that is read from another member or from within a string. */
static void
test_scan (void)
{
  static const struct
  {
    const char *text;
    const char *string; /* value of the member "a"; NULL if it is not a string */
    gint64 number;      /* value of the member "a"; -1 if it is not an unsigned integer */
  } cases[] = {
    { "{\"a\":\"x\"}", "x", -1 },
    { " { \"b\" : {\"a\":\"no\"} , \"a\" : \"x y\" }", "x y", -1 },
    { "{\"b\":\"\\\"a\\\":7\",\"a\":8}", NULL, 8 },
    { "{\"a\":[1,2]}", NULL, -1 },
    { "{\"a\": 17 ,\"b\":1}", NULL, 17 },
    { "{\"a\":-1}", NULL, -1 },
    { "{\"a\":1.5}", NULL, -1 },
    { "{\"a\":99999999999999999999}", NULL, -1 },
    { "{\"a\":\"with \\u0041 escape\"}", NULL, -1 },
    { "{\"a\":\"no end", NULL, -1 },
    { "{\"a\"", NULL, -1 },
    { "{\"aa\":1}", NULL, -1 },
    { "[\"a\",1]", NULL, -1 },
    { "", NULL, -1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *string = dp_json_scan_string (cases[i].text, "a");
      guint64 number = 0;
      gboolean found = dp_json_scan_uint (cases[i].text, "a", &number);

      CU_ASSERT_EQUAL (g_strcmp0 (string, cases[i].string), 0);
      CU_ASSERT_EQUAL (found, cases[i].number >= 0);
      if (found)
        CU_ASSERT_EQUAL (number, (guint64) cases[i].number);
    }
}

static void
test_extract_member (void)
{
  g_autofree char *value = NULL;
  g_autofree char *rest = dp_json_extract_member (
      "{\"x\":1,\"a\":{\"b\":[1,\"}\"]},\"c\":2}", "a", &value);
  g_autofree char *missing = NULL;
  g_autofree char *whole = dp_json_extract_member ("{\"x\":1}", "a", &missing);

  CU_ASSERT_STRING_EQUAL (value, "{\"b\":[1,\"}\"]}");
  CU_ASSERT_STRING_EQUAL (rest, "{\"x\":1,\"a\":null,\"c\":2}");
  CU_ASSERT_PTR_NULL (missing);
  CU_ASSERT_STRING_EQUAL (whole, "{\"x\":1}");
}

/* The parser recurses once a level: a text that hides its brackets ended the process. */
static void
test_deep_nesting (void)
{
  static const char *const beginnings[] = {
    "",     "{\"a\":", "[\"a\",",     "/*\"*/", "//\"\n", "/*[*/\"\\\"\",",
    "'\"'", "#\"\n",   "\"a\"/*\"*/",
  };
  const guint n_levels = 200000;

  for (guint i = 0; i < G_N_ELEMENTS (beginnings); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (GString) text = g_string_new (beginnings[i]);

      for (guint j = 0; j < n_levels; j++)
        g_string_append_c (text, '[');
      CU_ASSERT_PTR_NULL (dp_json_parse (text->str, text->len, &error));
      CU_ASSERT_PTR_NOT_NULL (error);
    }
}

/* Numbers out of range were read as others: -9223372036854775809 as 9223372036854775807.
 */
static void
test_numbers (void)
{
  static const struct
  {
    const char *text;
    gboolean valid;
  } cases[] = {
    { "9223372036854775807", TRUE },
    { "9223372036854775808", FALSE },
    { "18446744073709551615", FALSE },
    { "18446744073709551616", FALSE },
    { "-9223372036854775808", TRUE },
    { "-9223372036854775809", FALSE },
    { "-18446744073709551615", FALSE },
    { "1234567890123456789012345678901234567890", FALSE },
    { "0.1234567890123456789012345678901234567890123456789", TRUE },
    { "1e308", TRUE },
    { "1e309", FALSE },
    { "-1e999", FALSE },
    { "1E+2", TRUE },
    { "0", TRUE },
    { "-0", TRUE },
    { "\"18446744073709551616 /* ' 1e999\"", TRUE },
    { "true", TRUE },
    { "null", TRUE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strdup_printf ("{\"a\":[%s,1],\"b\":%s}", cases[i].text,
                                               cases[i].text);
      g_autoptr (JsonNode) node = dp_json_parse (text, strlen (text), NULL);

      if ((node != NULL) != cases[i].valid)
        CU_FAIL (cases[i].text);
    }
}

static const DpTestCase cases_[] = {
  { "elements are extracted", test_extract_elements },
  { "malformed arrays are rejected", test_malformed },
  { "members are found without parsing", test_scan },
  { "a member is extracted from a text", test_extract_member },
  { "deep nesting is rejected however it is hidden", test_deep_nesting },
  { "numbers out of range are rejected", test_numbers },
};

DP_TEST_MAIN ("json", cases_)
