/* Guards against one odd object of another writer that keeps all others from being read.
 */
#include <string.h>

#include "private/platformresponse.h"
#include "protected/json.h"
#include "protected/memberview.h"
#include "runner.h"

#define MEMBER(name)                                                                     \
  "{\"name\":\"" name "\",\"zone\":\"riga-a\",\"ip\":\"127.1.1.11\",\"port\":7000,"      \
  "\"slots\":4,\"connections\":2000,\"state\":\"active\",\"incarnation\":123}"
#define GOOD "{\"kind\":\"balancer\",\"name\":\"b-1\",\"version\":4,\"value\":{}}"
#define LEVELS 100

typedef struct
{
  const char *what;
  const char *item;  /* "@": a value of LEVELS levels */
  const char *value; /* that it is kept with, as the object exists; NULL: it is not */
} OddItem;

static const OddItem odd_items_[] = {
  { "deep nesting", "{\"kind\":\"service\",\"name\":\"s\",\"version\":5,\"value\":@}",
    "null" },
  { "a number too large",
    "{\"kind\":\"service\",\"name\":\"s\",\"version\":5,\"value\":{\"a\":1e999}}",
    "{\"a\":1e999}" },
  { "a port out of 64 bits",
    "{\"kind\":\"balancer\",\"name\":\"b-2\",\"version\":5,"
    "\"value\":{\"data_port\":99999999999999999999}}",
    "{\"data_port\":99999999999999999999}" },
  { "deep nesting beside the value",
    "{\"kind\":\"service\",\"name\":\"s\",\"version\":5,\"value\":{},\"x\":@}", NULL },
  { "a version too large",
    "{\"kind\":\"service\",\"name\":\"s\",\"version\":1e999,\"value\":{}}", NULL },
  { "no object", "@", NULL },
};

static GPtrArray *
read_items (const char *items)
{
  g_autofree char *text = g_strdup_printf ("{\"revision\":9,\"items\":[%s]}", items);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  GPtrArray *records = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  guint64 revision = 0;

  CU_ASSERT_TRUE (dp_platform_response_items (body, records, &revision, NULL));
  CU_ASSERT_EQUAL (revision, 9);
  return records;
}

static char *
make_nested (void)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < LEVELS; i++)
    g_string_append_c (text, '[');
  for (guint i = 0; i < LEVELS; i++)
    g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

static void
test_odd_items (void)
{
  g_autofree char *nested = make_nested ();

  for (guint i = 0; i < G_N_ELEMENTS (odd_items_); i++)
    {
      const OddItem *odd = &odd_items_[i];
      g_autoptr (GString) items = g_string_new (odd->item);
      g_autoptr (GPtrArray) records = NULL;
      const DpRecord *last;

      g_string_replace (items, "@", nested, 1);
      g_string_append (items, "," GOOD);
      records = read_items (items->str);
      if (records->len != (odd->value != NULL ? 2 : 1))
        CU_FAIL_FATAL (odd->what);
      last = g_ptr_array_index (records, records->len - 1);
      CU_ASSERT_STRING_EQUAL (last->name, "b-1");
      if (odd->value != NULL)
        {
          const DpRecord *first = g_ptr_array_index (records, 0);
          g_autoptr (JsonNode) value = dp_record_value (first);

          CU_ASSERT_STRING_EQUAL (first->json, odd->value);
          CU_ASSERT_PTR_NOT_NULL (value);
        }
    }
}

/* A member that can't be parsed hid all others of its list. */
static void
test_odd_members (void)
{
  g_autofree char *nested = make_nested ();
  const char *const odd[] = { nested, "{\"port\":1e999}",
                              "{\"name\":\"x\",\"incarnation\":-9223372036854775809}" };
  static const char *const lists[] = { "%s," MEMBER ("a"), MEMBER ("a") ",%s",
                                       MEMBER ("b") ",%s," MEMBER ("a") };

  for (guint i = 0; i < G_N_ELEMENTS (odd) * G_N_ELEMENTS (lists); i++)
    {
      const guint list = i % G_N_ELEMENTS (lists);
      g_autoptr (GString) members = g_string_new (lists[list]);
      g_autofree char *item = NULL;
      g_autoptr (GPtrArray) records = NULL;
      g_autoptr (JsonNode) value = NULL;
      g_autoptr (DpMemberView) view = NULL;

      g_string_replace (members, "%s", odd[i / G_N_ELEMENTS (lists)], 1);
      item = g_strdup_printf ("{\"kind\":\"members\",\"name\":\"darbnica\",\"version\":5,"
                              "\"value\":{\"held\":[\"h\"],\"members\":[%s]}}",
                              members->str);
      records = read_items (item);
      CU_ASSERT_EQUAL_FATAL (records->len, 1);
      value = dp_record_value (g_ptr_array_index (records, 0));
      view = dp_member_view_new_from_json ("darbnica", 5, value, NULL);
      g_assert_nonnull (view);
      CU_ASSERT_EQUAL (view->n_members, list == 2 ? 2 : 1);
      CU_ASSERT_PTR_NOT_NULL (dp_member_view_find (view, dp_member_id ("a")));
      CU_ASSERT_PTR_NOT_NULL (dp_json_get_array (dp_json_get_object (value), "held"));
    }
}

static const DpTestCase tests_[] = {
  { "odd objects hide no others", test_odd_items },
  { "odd members hide no others", test_odd_members },
};

DP_TEST_MAIN ("platform responses", tests_)
