/* Guards against lists whose elements are split at the wrong places, and against
 * malformed lists that are accepted because their parts are parsed one by one. */
#include <string.h>

#include "protected/json.h"
#include "runner.h"

typedef struct
{
  const char *text;
  const char *rest;
  const char *elements; /* joined by '|' */
} SplitCase;

static void
test_split (void)
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
    /* Left whole: no such array, or one without an end. */
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
      g_autofree char *rest = dp_json_take_elements (cases[i].text, "items", elements);
      g_autofree char *joined = NULL;

      g_ptr_array_add (elements, NULL);
      joined = g_strjoinv ("|", (char **) elements->pdata);
      CU_ASSERT_STRING_EQUAL (rest, cases[i].rest);
      CU_ASSERT_STRING_EQUAL (joined, cases[i].elements);
    }
}

/* A text is malformed exactly if the rest or an element is. */
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
      g_autofree char *rest = dp_json_take_elements (texts[i], "items", elements);
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

static const DpTestCase cases_[] = {
  { "elements are split", test_split },
  { "malformed lists are refused", test_malformed },
};

DP_TEST_MAIN ("json", cases_)
