/* Guards against a process that starts with other settings than its operator wrote, or
 * that rejects a file without naming the key and the reason. */
#include <glib/gstdio.h>
#include <string.h>

#include "protected/error.h"
#include "protected/settings_fields.h"
#include "runner.h"

#define BALANCER                                                                         \
  "{\"name\":\"balancer-1\",\"zone\":\"riga-a\",\"region\":\"lv-riga\","                 \
  "\"data\":\"127.1.1.1:7000\",\"control\":\"127.1.1.1:7001\","                          \
  "\"http\":\"127.1.1.1:7002\",\"platform\":\"http://127.0.0.1:8000\""
#define COMPANION                                                                        \
  "{\"name\":\"darbnica-1\",\"zone\":\"riga-a\",\"region\":\"lv-riga\","                 \
  "\"data\":\"127.1.1.11:7000\",\"http\":\"127.1.1.11:7002\","                           \
  "\"platform\":\"http://127.0.0.1:8000\",\"service\":\"darbnica\""

typedef struct
{
  const char *failure;
  DpSettingsKind kind;
  const char *text;
  const char *expected; /* part of the message, NULL: valid */
} SettingsCase;

static DpSettings *
load_text (const char *text, DpSettingsKind kind, char **path, GError **error)
{
  int fd = g_file_open_tmp ("settings-XXXXXX.json", path, NULL);
  DpSettings *settings;

  g_assert (fd >= 0);
  g_close (fd, NULL);
  g_assert (g_file_set_contents (*path, text, -1, NULL));
  settings = dp_settings_load (*path, kind, error);
  g_unlink (*path);
  return settings;
}

/* Fails unless the error's message contains the text. */
static void
expect_message (const GError *error, const char *text)
{
  if (error != NULL && strstr (error->message, text) != NULL)
    return;
  g_printerr ("\"%s\" is not in: %s\n", text, error ? error->message : "no error");
  CU_FAIL ("the message lacks file, key or reason");
}

static void
test_faults (void)
{
  static const SettingsCase cases[] = {
    { "valid balancer refused", DP_SETTINGS_BALANCER, BALANCER "}", NULL },
    { "valid companion refused", DP_SETTINGS_COMPANION, COMPANION "}", NULL },
    { "valid optional keys refused", DP_SETTINGS_BALANCER,
      BALANCER ",\"peers\":[\"127.1.1.2:7001\"],\"trusted_networks\":[\"10.0.0.0/8\"],"
               "\"log_level\":\"debug\"}",
      NULL },
    { "misspelt key ignored", DP_SETTINGS_BALANCER, BALANCER ",\"pears\":[]}",
      "$.pears: unknown key" },
    { "companion's key in a balancer ignored", DP_SETTINGS_BALANCER,
      BALANCER ",\"service\":\"darbnica\"}", "$.service: unknown key" },
    { "missing service", DP_SETTINGS_COMPANION,
      "{\"name\":\"a\",\"zone\":\"z\",\"region\":\"r\",\"data\":\"127.0.0.1:1\","
      "\"http\":\"127.0.0.1:2\",\"platform\":\"http://127.0.0.1:3\"}",
      "$.service: is missing" },
    { "key given twice", DP_SETTINGS_BALANCER, BALANCER ",\"name\":\"b\"}",
      "$.name: the key is given more than once" },
    { "wrong type", DP_SETTINGS_BALANCER, BALANCER ",\"peers\":\"127.0.0.1:1\"}",
      "$.peers: must be an array" },
    { "wrong type inside an array", DP_SETTINGS_BALANCER, BALANCER ",\"peers\":[7001]}",
      "$.peers[0]: must be a string" },
    { "bad peer", DP_SETTINGS_BALANCER,
      BALANCER ",\"peers\":[\"127.1.1.2:7001\",\"peer:1\"]}", "$.peers[1]: " },
    { "bad network", DP_SETTINGS_BALANCER,
      BALANCER ",\"trusted_networks\":[\"1.2.3.4/8\"]}", "$.trusted_networks[0]: " },
    { "no network trusted", DP_SETTINGS_BALANCER, BALANCER ",\"trusted_networks\":[]}",
      "$.trusted_networks: is empty" },
    { "unknown log level", DP_SETTINGS_BALANCER, BALANCER ",\"log_level\":\"loud\"}",
      "$.log_level: must be error" },
    { "bad server address", DP_SETTINGS_COMPANION, COMPANION ",\"server_ip\":\"host\"}",
      "$.server_ip: " },
    { "wildcard server address", DP_SETTINGS_COMPANION,
      COMPANION ",\"server_ip\":\"0.0.0.0\"}", "$.server_ip: " },
    { "control and HTTP on the same port, so that the second listener fails",
      DP_SETTINGS_BALANCER,
      "{\"name\":\"b\",\"zone\":\"z\",\"region\":\"r\",\"data\":\"127.0.0.1:1\","
      "\"control\":\"127.0.0.1:2\",\"http\":\"127.0.0.1:2\","
      "\"platform\":\"http://127.0.0.1:3\"}",
      "$.http: is the same address" },
    { "name that can't be part of a path", DP_SETTINGS_COMPANION,
      "{\"name\":\"a/b\",\"zone\":\"\",\"region\":\"r\",\"data\":\"127.0.0.1:1\","
      "\"http\":\"127.0.0.1:2\",\"platform\":\"http://127.0.0.1:3\","
      "\"service\":\".a\"}",
      "$.name: \"a/b\" is not a name" },
    { "array instead of an object", DP_SETTINGS_BALANCER, "[]", "$: must be an object" },
    { "empty file", DP_SETTINGS_BALANCER, "", "$: the file is empty" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *path = NULL;
      g_autoptr (DpSettings)
          settings = load_text (cases[i].text, cases[i].kind, &path, &error);

      CU_ASSERT_EQUAL (settings != NULL, cases[i].expected == NULL);
      if (cases[i].expected == NULL || error == NULL)
        {
          if (error != NULL || cases[i].expected != NULL)
            g_printerr ("%s: %s\n", cases[i].failure,
                        error ? error->message : "accepted");
          continue;
        }
      CU_ASSERT_TRUE (g_error_matches (error, DP_ERROR, DP_ERROR_INVALID));
      expect_message (error, path);
      expect_message (error, cases[i].expected);
    }
}

static void
test_bad_addresses (void)
{
  static const char *const addresses[] = {
    "\"127.0.0.1\"", "\"localhost:7000\"", "\"127.0.0.1:0\"",    "\"127.0.0.1:70000\"",
    "\"0.0.0.0:1\"", "\"224.0.0.1:1\"",    "\"255.1.1.1:7000\"", "7000",
  };

  for (guint i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *path = NULL;
      g_autofree char *text = g_strdup_printf (
          "{\"name\":\"b\",\"zone\":\"z\",\"region\":\"r\",\"data\":%s,"
          "\"control\":%s,\"http\":%s,\"platform\":%s}",
          addresses[i], addresses[i], addresses[i], addresses[i]);

      CU_ASSERT_PTR_NULL (load_text (text, DP_SETTINGS_BALANCER, &path, &error));
      /* One message names all faults, not only the first. */
      expect_message (error, "$.data: ");
      expect_message (error, "$.control: ");
      expect_message (error, "$.http: ");
      expect_message (error, "$.platform: ");
    }
}

static void
test_values (void)
{
  g_autofree char *path = NULL;
  g_autoptr (DpSettings)
      settings = load_text (COMPANION "}", DP_SETTINGS_COMPANION, &path, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (settings);
  if (settings == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (settings->name, "darbnica-1");
  CU_ASSERT_STRING_EQUAL (settings->service, "darbnica");
  CU_ASSERT_STRING_EQUAL (settings->platform_url, "http://127.0.0.1:8000");
  CU_ASSERT_EQUAL (settings->data.ip, 0x7f01010b);
  CU_ASSERT_EQUAL (settings->data.port, 7000);
  CU_ASSERT_EQUAL (settings->server_ip, settings->data.ip);
  CU_ASSERT_EQUAL (settings->peers->len, 0);
  CU_ASSERT_EQUAL (settings->trusted_networks->len, 1);
  CU_ASSERT_STRING_EQUAL (settings->log_level, "info");
}

static void
test_missing_file (void)
{
  g_autoptr (GError) error = NULL;

  CU_ASSERT_PTR_NULL (
      dp_settings_load ("/nonexistent.json", DP_SETTINGS_BALANCER, &error));
  expect_message (error, "/nonexistent.json");
}

static void
test_examples (void)
{
  static const char *const files[] = { "balancer.json", "companion.json" };
  const char *source = g_getenv ("DP_SOURCE_DIR");

  CU_ASSERT_PTR_NOT_NULL_FATAL (source);
  for (guint i = 0; i < G_N_ELEMENTS (files); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *path = g_build_filename (source, "examples", files[i], NULL);
      g_autoptr (DpSettings)
          settings = dp_settings_load (path, (DpSettingsKind) i, &error);

      if (error != NULL)
        g_printerr ("%s\n", error->message);
      CU_ASSERT_PTR_NOT_NULL (settings);
    }
}

static const DpTestCase cases_[] = {
  { "faults are named with key and reason", test_faults },
  { "all unusable addresses are reported at once", test_bad_addresses },
  { "values and defaults", test_values },
  { "a missing file is named", test_missing_file },
  { "the examples are accepted", test_examples },
};

DP_TEST_MAIN ("settings", cases_)
