/* Guards against an invalid record that replaces the last valid one, and against settings
 * of another service or host that are applied. */
#include "private/effectiveconfig.h"
#include "protected/clock.h"
#include "runner.h"

#define SERVICE "darbnica"
#define HOST "darbnica-1"
#define MEMBERS                                                                          \
  "{\"members\":[{\"name\":\"darbnica-1\",\"zone\":\"riga-a\",\"ip\":\"127.1.1.11\","    \
  "\"port\":7000,\"slots\":4,\"connections\":2000,\"state\":\"active\","                 \
  "\"incarnation\":123}]}"
#define ADDRESSES                                                                        \
  "{\"addresses\":[{\"ip\":\"10.77.0.1\",\"port\":80,\"class\":\"interactive\"}]}"
#define EXCEPTION(service, host, set)                                                    \
  "{\"service\":\"" service "\",\"host\":\"" host "\",\"set\":" set                      \
  ",\"reason\":\"slow disk\"}"

typedef struct
{
  DpReplica *replica;
  DpEffectiveConfig *config;
  guint changes[DP_N_EFFECTIVE_CONFIG_CHANGES];
  guint64 revision;
} Fixture;

static void
changed (DpEffectiveConfigChange change, gpointer user_data)
{
  ((Fixture *) user_data)->changes[change]++;
}

static void
set_up (Fixture *f)
{
  *f = (Fixture){ 0 };
  f->replica = dp_replica_new ();
  f->config = dp_effective_config_new (f->replica, SERVICE, HOST, changed, f);
}

static void
tear_down (Fixture *f)
{
  dp_effective_config_free (f->config);
  dp_replica_free (f->replica);
}

/* Applies a record of the object; json NULL: a tombstone. */
static void
apply (Fixture *f, DpKind kind, const char *name, const char *json)
{
  g_autoptr (DpRecord) record = dp_record_new (kind, name, ++f->revision, json == NULL,
                                               json != NULL ? json : "", NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (record);
  CU_ASSERT_TRUE (dp_replica_apply (f->replica, record));
}

static void
test_members (void)
{
  Fixture f;

  set_up (&f);
  CU_ASSERT_PTR_NULL (dp_effective_config_view (f.config));
  apply (&f, DP_KIND_MEMBERS, "rokasgramata", MEMBERS);
  CU_ASSERT_PTR_NULL (dp_effective_config_view (f.config));
  apply (&f, DP_KIND_MEMBERS, SERVICE, MEMBERS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (dp_effective_config_view (f.config));
  CU_ASSERT_EQUAL (dp_effective_config_view (f.config)->n_members, 1);
  apply (&f, DP_KIND_MEMBERS, SERVICE, "{\"members\":{\"name\":1}}");
  CU_ASSERT_EQUAL (dp_effective_config_view (f.config)->n_members, 1);
  CU_ASSERT_EQUAL (dp_effective_config_view (f.config)->revision, 2);
  CU_ASSERT_EQUAL (f.changes[DP_EFFECTIVE_CONFIG_MEMBERS], 1);
  /* A member that is malformed doesn't hide what became of the others. */
  apply (&f, DP_KIND_MEMBERS, SERVICE, "{\"members\":[{\"name\":1}]}");
  CU_ASSERT_EQUAL (dp_effective_config_view (f.config)->n_members, 0);
  CU_ASSERT_EQUAL (dp_effective_config_view (f.config)->revision, 4);
  CU_ASSERT_EQUAL (f.changes[DP_EFFECTIVE_CONFIG_MEMBERS], 2);
  apply (&f, DP_KIND_MEMBERS, SERVICE, NULL);
  CU_ASSERT_EQUAL (dp_effective_config_view (f.config)->n_members, 0);
  tear_down (&f);
}

static void
test_settings (void)
{
  const DpFleetSettings *settings;
  const GArray *addresses;
  Fixture f;

  set_up (&f);
  settings = dp_effective_config_settings (f.config);
  CU_ASSERT_EQUAL (settings->slots, 4);
  CU_ASSERT_EQUAL (dp_effective_config_addresses (f.config)->len, 0);
  apply (&f, DP_KIND_SERVICE, SERVICE, ADDRESSES);
  apply (&f, DP_KIND_FLEET, "defaults", "{\"slots\":3,\"wait_limit_ms\":1500}");
  CU_ASSERT_EQUAL (settings->slots, 3);
  apply (&f, DP_KIND_EXCEPTION, "e1",
         EXCEPTION (SERVICE, HOST, "{\"slots\":2,\"wait_limit_ms\":700}"));
  CU_ASSERT_EQUAL (settings->slots, 2);
  apply (&f, DP_KIND_EXCEPTION, "e2", EXCEPTION (SERVICE, "darbnica-2", "{\"slots\":1}"));
  CU_ASSERT_EQUAL (settings->slots, 2);
  addresses = dp_effective_config_addresses (f.config);
  CU_ASSERT_EQUAL_FATAL (addresses->len, 1);
  /* The wait limit is the one that is set for this host. */
  CU_ASSERT_EQUAL (g_array_index (addresses, DpServiceAddress, 0).wait_limit,
                   700 * DP_US_PER_MS);

  /* None of these is valid, so nothing changes. */
  apply (&f, DP_KIND_FLEET, "defaults", "{\"slots\":0}");
  apply (&f, DP_KIND_EXCEPTION, "e1", EXCEPTION (SERVICE, HOST, "{\"slot\":9}"));
  apply (&f, DP_KIND_SERVICE, SERVICE, "{\"addresses\":[{\"ip\":\"x\"}]}");
  CU_ASSERT_EQUAL (settings->slots, 2);
  CU_ASSERT_EQUAL (dp_effective_config_addresses (f.config)->len, 1);
  CU_ASSERT_EQUAL (f.changes[DP_EFFECTIVE_CONFIG_SETTINGS], 4);

  apply (&f, DP_KIND_EXCEPTION, "e1", NULL);
  CU_ASSERT_EQUAL (settings->slots, 3);
  tear_down (&f);
}

/* After a restart, the replica may have records before the configuration is created. */
static void
test_initial_records (void)
{
  Fixture f = { 0 };

  f.replica = dp_replica_new ();
  apply (&f, DP_KIND_MEMBERS, SERVICE, MEMBERS);
  apply (&f, DP_KIND_FLEET, "defaults", "{\"slots\":3}");
  f.config = dp_effective_config_new (f.replica, SERVICE, HOST, changed, &f);
  CU_ASSERT_PTR_NOT_NULL (dp_effective_config_view (f.config));
  CU_ASSERT_EQUAL (dp_effective_config_settings (f.config)->slots, 3);
  tear_down (&f);
}

static const DpTestCase cases_[] = {
  { "an invalid list of members leaves the last one in force", test_members },
  { "invalid settings leave the last ones in force", test_settings },
  { "records that the replica already has are applied", test_initial_records },
};

DP_TEST_MAIN ("effectiveconfig", cases_)
