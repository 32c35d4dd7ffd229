/* Guards against fleet files that are accepted although they mean something else than
 * their author intended, and against processes that compute different settings from the
 * same objects. */
#include <string.h>

#include "protected/clock.h"
#include "protected/fleet.h"
#include "runner.h"

#define SERVICES                                                                         \
  "\"services\":{\"darbnica\":{\"addresses\":[{\"ip\":\"10.77.0.1\",\"port\":80,"        \
  "\"class\":\"interactive\"}]},\"rokasgramata\":{\"addresses\":[{\"ip\":\"10.77.0.2\"," \
  "\"port\":80,\"class\":\"bulk\"}]}}"
#define EXCEPTION(service, host, set)                                                    \
  "{\"service\":\"" service "\",\"host\":\"" host "\",\"set\":{" set                     \
  "},\"reason\":\"old host\"}"
#define WITH(exceptions) "{" SERVICES ",\"exceptions\":{" exceptions "}}"
#define ADDRESS(text) "{\"services\":{\"a\":{\"addresses\":[" text "]}}}"
#define DEFAULTS(text) "{\"defaults\":{" text "}}"

typedef struct
{
  const char *failure;
  const char *text;
  const char *fault_paths; /* JSON paths of all faults, separated by blanks; "": valid */
} CheckCase;

typedef struct
{
  const char *service;
  const char *host;
  guint32 visits;
  guint32 slots;
  guint32 wait_limit_ms;
} EffectiveCase;

/* Returns the JSON paths of all faults, separated by blanks. */
static char *
find_fault_paths (const char *text)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) file = dp_document_parse (text, strlen (text), faults);
  g_autoptr (GPtrArray) found = file == NULL ? dp_faults_new () : dp_fleet_check (file);
  GString *paths = g_string_new ("");

  g_ptr_array_extend_and_steal (faults, g_steal_pointer (&found));
  for (guint i = 0; i < faults->len; i++)
    {
      const DpFault *fault = g_ptr_array_index (faults, i);

      g_string_append_printf (paths, "%s%s", i == 0 ? "" : " ", fault->path);
    }
  return g_string_free (paths, FALSE);
}

static void
check_cases (const CheckCase *cases, guint n_cases)
{
  for (guint i = 0; i < n_cases; i++)
    {
      g_autofree char *paths = find_fault_paths (cases[i].text);

      if (g_str_equal (paths, cases[i].fault_paths))
        continue;
      g_printerr ("%s: expected \"%s\", got \"%s\"\n", cases[i].failure,
                  cases[i].fault_paths, paths);
      CU_FAIL ("wrong faults");
    }
}

static void
test_structure (void)
{
  static const CheckCase cases[] = {
    { "valid file refused", WITH (""), "" },
    { "defaults alone refused", DEFAULTS ("\"visits\":3"), "" },
    { "empty file accepted as an empty fleet", "", "$" },
    { "file without content accepted as an empty fleet", "{}", "$" },
    { "versions without content", "{\"versions\":{}}", "$" },
    { "array", "[]", "$" },
    { "misspelt section ignored", "{" SERVICES ",\"exception\":{}}", "$.exception" },
    { "section of the wrong type", "{\"services\":[],\"exceptions\":3}",
      "$.services $.exceptions" },
    { "duplicate section, first one lost", "{" SERVICES "," SERVICES "}", "$.services" },
    { "version of an object that is not in fleet files",
      "{" SERVICES ",\"versions\":{\"members/darbnica\":3,\"fleet/other\":1,\"x\":1}}",
      "$.versions[\"members/darbnica\"] $.versions[\"fleet/other\"] $.versions.x" },
    { "version out of range",
      "{" SERVICES ",\"versions\":{\"service/a\":0,\"service/b\":-1,\"service/c\":1.5,"
      "\"fleet/defaults\":\"3\"}}",
      "$.versions[\"service/a\"] $.versions[\"service/b\"] $.versions[\"service/c\"] "
      "$.versions[\"fleet/defaults\"]" },
    { "valid versions refused",
      "{" SERVICES ",\"versions\":{\"fleet/defaults\":1,\"service/darbnica\":7,"
      "\"exception/x\":9}}",
      "" },
  };

  check_cases (cases, G_N_ELEMENTS (cases));
}

static void
test_defaults (void)
{
  static const CheckCase cases[] = {
    { "misspelt key ignored", DEFAULTS ("\"visit\":3"), "$.defaults.visit" },
    { "wrong types", DEFAULTS ("\"visits\":\"3\",\"slots\":true,\"connections\":null"),
      "$.defaults.visits $.defaults.slots $.defaults.connections" },
    { "1e99 wraps around", DEFAULTS ("\"connections\":1e99"), "$.defaults.connections" },
    { "negative number wraps around", DEFAULTS ("\"slots\":-1"), "$.defaults.slots" },
    { "fraction rounded", DEFAULTS ("\"slots\":4.5"), "$.defaults.slots" },
    { "below the range",
      DEFAULTS ("\"visits\":0,\"slots\":0,\"connections\":0,\"idle_timeout_s\":9,"
                "\"progress_timeout_s\":4,\"heartbeat_ms\":99,\"suspect_ms\":499"),
      "$.defaults.visits $.defaults.slots $.defaults.connections "
      "$.defaults.idle_timeout_s $.defaults.progress_timeout_s "
      "$.defaults.heartbeat_ms $.defaults.suspect_ms" },
    { "above the range",
      DEFAULTS ("\"wait_limit_ms\":60001,\"visits\":9,\"slots\":1025,"
                "\"connections\":100001,\"idle_timeout_s\":86401,"
                "\"progress_timeout_s\":3601,\"drain_deadline_s\":86401,"
                "\"trace_sample\":1000001,\"heartbeat_ms\":10001,"
                "\"suspect_ms\":60001,\"settle_ms\":60001"),
      "$.defaults.wait_limit_ms $.defaults.visits $.defaults.slots "
      "$.defaults.connections $.defaults.idle_timeout_s "
      "$.defaults.progress_timeout_s $.defaults.drain_deadline_s "
      "$.defaults.trace_sample $.defaults.heartbeat_ms $.defaults.suspect_ms "
      "$.defaults.settle_ms" },
    { "limits of the ranges refused",
      DEFAULTS ("\"wait_limit_ms\":0,\"visits\":8,\"slots\":1024,\"connections\":1,"
                "\"idle_timeout_s\":10,\"progress_timeout_s\":3600,"
                "\"drain_deadline_s\":0,\"trace_sample\":0,\"heartbeat_ms\":100,"
                "\"suspect_ms\":500,\"settle_ms\":1000"),
      "" },
    { "suspect_ms shorter than two heartbeat intervals",
      DEFAULTS ("\"heartbeat_ms\":3000"), "$.defaults.suspect_ms" },
  };

  check_cases (cases, G_N_ELEMENTS (cases));
}

static void
test_services (void)
{
  static const CheckCase cases[] = {
    { "service without addresses", "{\"services\":{\"a\":{}}}",
      "$.services.a.addresses" },
    { "service with an empty list", ADDRESS (""), "$.services.a.addresses" },
    { "every fault of an address",
      ADDRESS ("{\"ip\":\"10.0.0.256\",\"port\":0,\"class\":\"fast\",\"weight\":1}"),
      "$.services.a.addresses[0].weight $.services.a.addresses[0].port "
      "$.services.a.addresses[0].ip $.services.a.addresses[0].class" },
    { "address without class", ADDRESS ("{\"ip\":\"10.0.0.1\",\"port\":1}"),
      "$.services.a.addresses[0].class" },
    { "address that no client can reach",
      ADDRESS ("{\"ip\":\"0.0.0.0\",\"port\":1,\"class\":\"bulk\"},"
               "{\"ip\":\"224.0.0.1\",\"port\":1,\"class\":\"bulk\"}"),
      "$.services.a.addresses[0].ip $.services.a.addresses[1].ip" },
    { "same address twice in a service",
      ADDRESS ("{\"ip\":\"10.0.0.1\",\"port\":1,\"class\":\"bulk\"},"
               "{\"ip\":\"10.0.0.1\",\"port\":1,\"class\":\"urgent\"}"),
      "$.services.a.addresses[1]" },
    { "two services with the same address: packets of one reach the other",
      "{\"services\":{\"a\":{\"addresses\":[{\"ip\":\"10.0.0.1\",\"port\":1,"
      "\"class\":\"bulk\"}]},\"b\":{\"addresses\":[{\"ip\":\"10.0.0.1\",\"port\":2,"
      "\"class\":\"bulk\"},{\"ip\":\"10.0.0.1\",\"port\":1,\"class\":\"bulk\"}]}}}",
      "$.services.b.addresses[1]" },
    { "name that can't be part of a path",
      "{\"services\":{\"a/b\":{\"addresses\":[{\"ip\":\"10.0.0.1\",\"port\":1,"
      "\"class\":\"bulk\"}]}}}",
      "$.services[\"a/b\"]" },
    { "duplicate service, first one lost",
      "{\"services\":{\"a\":{\"addresses\":[{\"ip\":\"10.0.0.1\",\"port\":1,"
      "\"class\":\"bulk\"}]},\"a\":{\"addresses\":[{\"ip\":\"10.0.0.1\",\"port\":1,"
      "\"class\":\"bulk\"}]}}}",
      "$.services.a" },
  };

  check_cases (cases, G_N_ELEMENTS (cases));
}

static void
test_exceptions (void)
{
  static const CheckCase cases[] = {
    { "valid exceptions refused",
      WITH ("\"x\":" EXCEPTION ("darbnica", "", "\"slots\":2") ",\"y\":" EXCEPTION (
          "darbnica", "darbnica-3", "\"slots\":1")),
      "" },
    { "everything missing", WITH ("\"x\":{}"),
      "$.exceptions.x.service $.exceptions.x.reason $.exceptions.x.set" },
    { "unknown service", WITH ("\"x\":" EXCEPTION ("darbnicas", "", "\"slots\":2")),
      "$.exceptions.x.service" },
    { "exception without a reason",
      WITH ("\"x\":{\"service\":\"darbnica\",\"set\":{\"slots\":2}}"),
      "$.exceptions.x.reason" },
    { "blank reason",
      WITH ("\"x\":{\"service\":\"darbnica\",\"set\":{\"slots\":2},\"reason\":\" \\n\"}"),
      "$.exceptions.x.reason" },
    { "reason of the wrong type",
      WITH ("\"x\":{\"service\":\"darbnica\",\"set\":{\"slots\":2},\"reason\":7}"),
      "$.exceptions.x.reason" },
    { "exception that sets nothing", WITH ("\"x\":" EXCEPTION ("darbnica", "", "")),
      "$.exceptions.x.set" },
    { "unknown key and range in a set",
      WITH ("\"x\":" EXCEPTION ("darbnica", "", "\"slot\":2,\"visits\":99")),
      "$.exceptions.x.set.slot $.exceptions.x.set.visits" },
    { "unknown key of the exception",
      WITH ("\"x\":{\"service\":\"darbnica\",\"set\":{\"slots\":2},\"reason\":\"r\","
            "\"hosts\":\"a\"}"),
      "$.exceptions.x.hosts" },
    { "two exceptions contradict each other for a service",
      WITH ("\"x\":" EXCEPTION ("darbnica", "", "\"slots\":2") ",\"y\":" EXCEPTION (
          "darbnica", "", "\"visits\":2,\"slots\":3")),
      "$.exceptions.y.set.slots" },
    { "two exceptions contradict each other for a host",
      WITH ("\"x\":" EXCEPTION ("darbnica", "d-1", "\"slots\":2") ",\"y\":" EXCEPTION (
          "darbnica", "d-1", "\"slots\":2")),
      "$.exceptions.y.set.slots" },
    { "same key for two services or hosts refused",
      WITH ("\"x\":" EXCEPTION ("darbnica", "d-1", "\"slots\":2") ",\"y\":" EXCEPTION (
          "darbnica", "d-2", "\"slots\":2") ",\"z\":" EXCEPTION ("rokasgramata", "d-1",
                                                                 "\"slots\":2")),
      "" },
    { "exception that makes healthy members suspected",
      WITH ("\"x\":" EXCEPTION ("darbnica", "", "\"heartbeat_ms\":5000")),
      "$.exceptions.x.set.suspect_ms" },
    { "exception with a sufficient suspect_ms refused",
      WITH ("\"x\":" EXCEPTION ("darbnica", "",
                                "\"heartbeat_ms\":5000,\"suspect_ms\":20000")),
      "" },
    { "faults in several places reported one at a time",
      "{\"defaults\":{\"visits\":0}," SERVICES ",\"exceptions\":{\"x\":{\"service\":"
      "\"a\",\"set\":{\"slots\":0},\"reason\":\"\"}},\"other\":1}",
      "$.other $.defaults.visits $.exceptions.x.service $.exceptions.x.reason "
      "$.exceptions.x.set.slots" },
  };

  check_cases (cases, G_N_ELEMENTS (cases));
}

static void
put_record (DpReplica *replica, DpKind kind, const char *name, const char *json)
{
  static guint64 revision = 0;
  g_autoptr (DpRecord) record = dp_record_new (kind, name, ++revision, FALSE, json, NULL);

  g_assert (record != NULL && dp_replica_apply (replica, record));
}

static void
test_effective (void)
{
  static const EffectiveCase cases[] = {
    { NULL, NULL, 3, 4, 2000 },
    { "darbnica", NULL, 5, 4, 2000 },
    { "darbnica", "d-1", 6, 4, 700 },
    { "darbnica", "d-2", 5, 4, 2000 },
    { "rokasgramata", "d-1", 3, 9, 2000 },
    { "other", "d-1", 3, 4, 2000 },
  };
  g_autoptr (DpReplica) replica = dp_replica_new ();

  put_record (replica, DP_KIND_FLEET, "defaults", "{\"visits\":3,\"slots\":0}");
  /* An exception for a host overrides one for its service, although its name "a" sorts
   * before "b". */
  put_record (replica, DP_KIND_EXCEPTION, "a",
              EXCEPTION ("darbnica", "d-1", "\"visits\":6"));
  put_record (replica, DP_KIND_EXCEPTION, "b",
              EXCEPTION ("darbnica", "", "\"visits\":5"));
  put_record (replica, DP_KIND_EXCEPTION, "c",
              EXCEPTION ("darbnica", "d-1", "\"wait_limit_ms\":700"));
  /* Both exceptions are stored, although a check rejects the pair; the one whose name
   * sorts last wins everywhere. */
  put_record (replica, DP_KIND_EXCEPTION, "e",
              EXCEPTION ("rokasgramata", "", "\"slots\":9"));
  put_record (replica, DP_KIND_EXCEPTION, "d",
              EXCEPTION ("rokasgramata", "", "\"slots\":8"));
  put_record (replica, DP_KIND_EXCEPTION, "f", "{\"service\":\"darbnica\",\"set\":7}");
  put_record (replica, DP_KIND_EXCEPTION, "g", "null");
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      DpFleetSettings settings;

      dp_fleet_effective_settings (replica, cases[i].service, cases[i].host, &settings);
      CU_ASSERT_EQUAL (settings.visits, cases[i].visits);
      CU_ASSERT_EQUAL (settings.slots, cases[i].slots);
      CU_ASSERT_EQUAL (settings.wait_limit_ms, cases[i].wait_limit_ms);
      CU_ASSERT_EQUAL (settings.connections, 2000);
    }
}

static void
test_addresses (void)
{
  g_autoptr (DpReplica) replica = dp_replica_new ();
  g_autoptr (GArray) none = dp_fleet_addresses (replica, "darbnica", NULL);
  g_autoptr (GArray) addresses = NULL;
  const DpServiceAddress *address;

  CU_ASSERT_EQUAL (none->len, 0);
  put_record (replica, DP_KIND_SERVICE, "darbnica",
              "{\"addresses\":[{\"ip\":\"10.77.0.1\",\"port\":80,\"class\":\"urgent\"},"
              "{\"ip\":\"10.77.0.1\",\"port\":0,\"class\":\"bulk\"},null]}");
  put_record (replica, DP_KIND_EXCEPTION, "x",
              EXCEPTION ("darbnica", "", "\"wait_limit_ms\":500"));
  addresses = dp_fleet_addresses (replica, "darbnica", NULL);
  CU_ASSERT_EQUAL_FATAL (addresses->len, 1);
  address = &g_array_index (addresses, DpServiceAddress, 0);
  CU_ASSERT_EQUAL (address->address.ip, 0x0a4d0001);
  CU_ASSERT_EQUAL (address->address.port, 80);
  CU_ASSERT_EQUAL (address->class, DP_TRAFFIC_URGENT);
  CU_ASSERT_EQUAL (address->wait_limit, 500 * DP_US_PER_MS);
}

static const DpTestCase cases_[] = {
  { "the file's structure", test_structure },
  { "defaults", test_defaults },
  { "services", test_services },
  { "exceptions", test_exceptions },
  { "effective settings", test_effective },
  { "addresses with class and wait limit", test_addresses },
};

DP_TEST_MAIN ("fleet", cases_)
