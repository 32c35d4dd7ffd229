/* Guards against writes that are lost, made twice or undo another process's change, and
 * against a client that hangs or misses deletions when the platform fails. */
#include "protected/platform.h"

#include <string.h>

#include "protected/error.h"
#include "protected/json.h"
#include "runner.h"
#include "standin_platform.h"

#define TIMEOUT_MS 300
#define LOCALHOST 0x7f000001

typedef struct
{
  StandinPlatform *standin;
  DpPlatform *platform;
  gboolean done;
  DpWriteResult result;
  guint64 version; /* of the object after a write, revision after a read */
  char *json;      /* of the first or written record */
  guint n_records;
  gboolean failed;
  gint code;
  gint n_allowed; /* attempts that the guard allows */
} Fixture;

static void
set_up (Fixture *f)
{
  DpAddress address = { LOCALHOST, 0 };

  memset (f, 0, sizeof *f);
  f->standin = standin_platform_new (&address, 1, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->standin);
  f->platform = dp_platform_new (standin_platform_url (f->standin));
  dp_platform_set_timeout (f->platform, TIMEOUT_MS);
}

static void
tear_down (Fixture *f)
{
  dp_platform_free (f->platform);
  standin_platform_free (f->standin);
  g_free (f->json);
}

static void
write_done (DpWriteResult result,
            DpRecord *record,
            const GError *error,
            gpointer user_data)
{
  Fixture *f = user_data;

  f->done = TRUE;
  f->result = result;
  f->version = record == NULL ? 0 : record->revision;
  g_free (f->json);
  f->json = record == NULL ? NULL : g_strdup (record->json);
  CU_ASSERT_EQUAL (error == NULL, result == DP_WRITE_DONE);
}

static void
read_done (GPtrArray *records, guint64 revision, const GError *error, gpointer user_data)
{
  Fixture *f = user_data;

  f->done = TRUE;
  f->version = revision;
  f->n_records = records->len;
  f->failed = error != NULL;
  f->code = error == NULL ? 0 : error->code;
  g_free (f->json);
  f->json = records->len == 0
                ? NULL
                : g_strdup (((DpRecord *) g_ptr_array_index (records, 0))->json);
}

static void
wait_done (Fixture *f)
{
  while (!f->done)
    g_main_context_iteration (NULL, TRUE);
  f->done = FALSE;
}

static DpWriteResult
write_text (Fixture *f, const char *name, guint64 version, const char *text)
{
  g_autoptr (JsonNode) value = text == NULL ? NULL
                                            : dp_json_parse (text, strlen (text), NULL);

  dp_platform_write (f->platform, DP_KIND_SERVICE, name, version, value, write_done, f);
  wait_done (f);
  return f->result;
}

static void
read_one (Fixture *f, const char *name)
{
  dp_platform_get (f->platform, DP_KIND_SERVICE, name, read_done, f);
  wait_done (f);
}

static void
test_conditional (void)
{
  Fixture f;

  set_up (&f);
  CU_ASSERT_EQUAL (write_text (&f, "a b%", 0, "{\"x\":1}"), DP_WRITE_DONE);
  CU_ASSERT_EQUAL (f.version, 1);
  CU_ASSERT_EQUAL (write_text (&f, "a b%", 0, "{\"x\":2}"), DP_WRITE_CONFLICT);
  CU_ASSERT_STRING_EQUAL (f.json, "{\"x\":1}");
  CU_ASSERT_EQUAL (write_text (&f, "a b%", 1, "{\"x\":2}"), DP_WRITE_DONE);
  read_one (&f, "a b%");
  CU_ASSERT_EQUAL (f.version, 2);
  CU_ASSERT_STRING_EQUAL (f.json, "{\"x\":2}");
  CU_ASSERT_EQUAL (write_text (&f, "a b%", 1, NULL), DP_WRITE_CONFLICT);
  CU_ASSERT_EQUAL (write_text (&f, "a b%", 2, NULL), DP_WRITE_DONE);
  read_one (&f, "a b%");
  CU_ASSERT_EQUAL (f.n_records, 0);
  CU_ASSERT_FALSE (f.failed);
  CU_ASSERT_EQUAL (write_text (&f, "a b%", 2, "{}"), DP_WRITE_CONFLICT);
  CU_ASSERT_PTR_NULL (f.json);
  tear_down (&f);
}

static void
test_size (void)
{
  g_autofree char *large = g_strnfill (DP_RECORD_VALUE_MAX + 1, 'x');
  Fixture f;

  set_up (&f);
  large[0] = '"';
  large[DP_RECORD_VALUE_MAX] = '"';
  CU_ASSERT_EQUAL (write_text (&f, "large", 0, large), DP_WRITE_REFUSED);
  large[DP_RECORD_VALUE_MAX] = '\0';
  large[DP_RECORD_VALUE_MAX - 1] = '"';
  CU_ASSERT_EQUAL (write_text (&f, "large", 0, large), DP_WRITE_DONE);
  tear_down (&f);
}

/* After a lost response the object is read back, so that the write is neither reported as
 * failed nor made twice. */
static void
test_lost_response (void)
{
  static const char *const texts[] = { "{\"x\":1}", "{\"x\":2}", NULL };
  Fixture f;

  set_up (&f);
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      StandinFaults faults = { .lose_answers = 1 };

      standin_platform_set_faults (f.standin, &faults);
      CU_ASSERT_EQUAL (write_text (&f, "a", i, texts[i]), DP_WRITE_DONE);
      CU_ASSERT_EQUAL (standin_platform_revision (f.standin), i + 1);
    }
  CU_ASSERT_EQUAL (standin_platform_calls (f.standin).writes, 3);
  tear_down (&f);
}

typedef struct
{
  Fixture *f;
  DpPlatform *other;
} ConcurrentWriter;

static void
concurrent_write_done (DpWriteResult result,
                       DpRecord *record,
                       const GError *error,
                       gpointer user_data)
{
  CU_ASSERT_EQUAL (result, DP_WRITE_DONE);
}

/* Changes the object from another client as soon as the first write, whose response is
 * lost, has taken effect. */
static gboolean
write_concurrently (gpointer user_data)
{
  ConcurrentWriter *concurrent = user_data;
  g_autoptr (JsonNode) value = NULL;

  if (standin_platform_revision (concurrent->f->standin) == 0)
    return G_SOURCE_CONTINUE;
  value = dp_json_parse ("{\"x\":2}", 7, NULL);
  dp_platform_write (concurrent->other, DP_KIND_SERVICE, "a", 1, value,
                     concurrent_write_done, NULL);
  return G_SOURCE_REMOVE;
}

static void
run_concurrent_write (gboolean blind, const char *expected)
{
  Fixture f;
  StandinFaults faults = { .lose_answers = 1 };
  ConcurrentWriter concurrent = { .f = &f };

  set_up (&f);
  concurrent.other = dp_platform_new (standin_platform_url (f.standin));
  dp_platform_set_test_blind_repeat (f.platform, blind);
  standin_platform_set_faults (f.standin, &faults);
  g_timeout_add (1, write_concurrently, &concurrent);
  CU_ASSERT_EQUAL (write_text (&f, "a", 0, "{\"x\":1}"),
                   blind ? DP_WRITE_DONE : DP_WRITE_CONFLICT);
  read_one (&f, "a");
  CU_ASSERT_STRING_EQUAL (f.json, expected);
  dp_platform_free (concurrent.other);
  tear_down (&f);
}

static void
test_lost_response_and_other_writer (void)
{
  run_concurrent_write (FALSE, "{\"x\":2}");
}

static void
test_blind_repeat (void)
{
  run_concurrent_write (TRUE, "{\"x\":1}");
}

static void
test_outage (void)
{
  StandinFaults down = { .down = TRUE };
  StandinFaults slow = { .delay_ms = TIMEOUT_MS / 3 };
  StandinFaults rejecting = { .reject_rate = 100 };
  Fixture f;

  set_up (&f);
  standin_platform_set_faults (f.standin, &down);
  CU_ASSERT_EQUAL (write_text (&f, "a", 0, "{}"), DP_WRITE_UNKNOWN);
  read_one (&f, "a");
  CU_ASSERT_TRUE (f.failed);
  CU_ASSERT_EQUAL (f.code, DP_ERROR_UNAVAILABLE);
  standin_platform_set_faults (f.standin, &rejecting);
  CU_ASSERT_EQUAL (write_text (&f, "a", 0, "{}"), DP_WRITE_REFUSED);
  standin_platform_set_faults (f.standin, &slow);
  CU_ASSERT_EQUAL (write_text (&f, "a", 0, "{}"), DP_WRITE_DONE);
  CU_ASSERT_EQUAL (f.version, 1);
  tear_down (&f);
}

/* A write that takes the platform longer than the timeout is still made, once. */
static void
test_too_slow (void)
{
  StandinFaults slow = { .delay_ms = TIMEOUT_MS * 2 };
  StandinFaults none = { 0 };
  Fixture f;
  g_autoptr (JsonNode) value = dp_json_parse ("{}", 2, NULL);

  set_up (&f);
  standin_platform_set_faults (f.standin, &slow);
  dp_platform_write (f.platform, DP_KIND_SERVICE, "a", 0, value, write_done, &f);
  while (standin_platform_calls (f.standin).writes == 0)
    g_main_context_iteration (NULL, TRUE);
  standin_platform_set_faults (f.standin, &none);
  wait_done (&f);
  CU_ASSERT_EQUAL (f.result, DP_WRITE_DONE);
  CU_ASSERT_EQUAL (f.version, 1);
  tear_down (&f);
}

static void
watch (Fixture *f, guint64 since, guint wait_ms)
{
  dp_platform_watch (f->platform, 0, since, wait_ms, TIMEOUT_MS, read_done, f);
}

static void
test_watch (void)
{
  Fixture f;
  Fixture writer;
  StandinFaults cut = { .cut_watches = TRUE };

  set_up (&f);
  writer = f;
  watch (&f, 0, 20);
  wait_done (&f);
  CU_ASSERT_FALSE (f.failed);
  CU_ASSERT_EQUAL (f.n_records, 0);
  watch (&f, 0, 10000);
  CU_ASSERT_EQUAL (write_text (&writer, "a", 0, "{}"), DP_WRITE_DONE);
  wait_done (&f);
  CU_ASSERT_EQUAL (f.n_records, 1);
  CU_ASSERT_EQUAL (f.version, 1);
  /* A watch from a higher revision than the platform's is answered at once, with the
   * platform's revision. */
  watch (&f, 9, 10000);
  wait_done (&f);
  CU_ASSERT_EQUAL (f.version, 1);
  watch (&f, 1, 10000);
  while (standin_platform_calls (f.standin).watches < 4)
    g_main_context_iteration (NULL, TRUE);
  standin_platform_set_faults (f.standin, &cut);
  wait_done (&f);
  CU_ASSERT_TRUE (f.failed);
  CU_ASSERT_EQUAL (f.code, DP_ERROR_UNAVAILABLE);
  g_free (writer.json);
  tear_down (&f);
}

static void
test_history (void)
{
  static const char *const names[] = { "a", "b", "c" };
  Fixture f;

  set_up (&f);
  standin_platform_set_max_tombstones (f.standin, 1);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    write_text (&f, names[i], 0, "{}");
  write_text (&f, "a", 1, NULL);
  write_text (&f, "b", 2, NULL);
  watch (&f, 3, 0);
  wait_done (&f);
  CU_ASSERT_TRUE (f.failed);
  CU_ASSERT_EQUAL (f.code, DP_ERROR_LIMIT);
  watch (&f, 4, 0);
  wait_done (&f);
  CU_ASSERT_EQUAL (f.n_records, 1);
  dp_platform_list (f.platform, 0, read_done, &f);
  wait_done (&f);
  CU_ASSERT_EQUAL (f.n_records, 1);
  CU_ASSERT_EQUAL (f.version, 5);
  tear_down (&f);
}

static gboolean
allow (gpointer user_data)
{
  Fixture *f = user_data;

  return f->n_allowed-- > 0;
}

/* The guard stops a write that is no longer to be made, for example after its writer was
 * paused: before the first attempt, or before a repeated one. */
static void
test_guard (void)
{
  const StandinFaults rejecting = { .reject_rate = 100 };
  Fixture f;
  g_autoptr (JsonNode) value = dp_json_parse ("{}", 2, NULL);

  set_up (&f);
  dp_platform_write_guarded (f.platform, DP_KIND_SERVICE, "a", 0, value, allow,
                             write_done, &f);
  wait_done (&f);
  CU_ASSERT_EQUAL (f.result, DP_WRITE_REFUSED);
  CU_ASSERT_EQUAL (standin_platform_calls (f.standin).writes, 0);
  standin_platform_set_faults (f.standin, &rejecting);
  f.n_allowed = 1;
  dp_platform_write_guarded (f.platform, DP_KIND_SERVICE, "a", 0, value, allow,
                             write_done, &f);
  wait_done (&f);
  CU_ASSERT_EQUAL (f.result, DP_WRITE_REFUSED);
  CU_ASSERT_EQUAL (standin_platform_calls (f.standin).writes, 1);
  CU_ASSERT_EQUAL (standin_platform_revision (f.standin), 0);
  tear_down (&f);
}

/* When the client is freed while calls are in progress, no callback is called. */
static void
test_free (void)
{
  Fixture f;
  g_autoptr (JsonNode) value = dp_json_parse ("{}", 2, NULL);

  set_up (&f);
  watch (&f, 0, 10000);
  dp_platform_list (f.platform, 0, read_done, &f);
  dp_platform_write (f.platform, DP_KIND_SERVICE, "a", 0, value, write_done, &f);
  g_main_context_iteration (NULL, FALSE);
  dp_platform_free (f.platform);
  f.platform = NULL;
  for (guint i = 0; i < 50; i++)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  CU_ASSERT_FALSE (f.done);
  tear_down (&f);
}

static const DpTestCase cases_[] = {
  { "writes are conditional", test_conditional },
  { "a value over the size limit is refused", test_size },
  { "a lost response is read back", test_lost_response },
  { "a lost response does not undo another's write",
    test_lost_response_and_other_writer },
  { "an unconditional repeat is detected", test_blind_repeat },
  { "an outage ends in an error", test_outage },
  { "a slow write is made once", test_too_slow },
  { "a watch reports new records", test_watch },
  { "a watch from before the history", test_history },
  { "a guard withdraws a write", test_guard },
  { "a client is freed in mid-call", test_free },
};

DP_TEST_MAIN ("platform", cases_)
