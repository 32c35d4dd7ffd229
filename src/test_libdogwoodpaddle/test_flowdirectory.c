/* Guards against entries that name a member without the flow, whose packets then go to
 * other servers, and against rejections of SYNs whose owner is known. */
#include "protected/clock.h"
#include "protected/flowdirectory.h"
#include "runner.h"

#define S DP_US_PER_S
#define MS DP_US_PER_MS
#define TTL (60 * S)
#define REGISTRATIONS_MAX 3

typedef enum
{
  NOBODY,
  A,
  B
} Who;

typedef enum
{
  TAKEN,
  OPEN,
  WITHDRAWN,
  COPIED /* named by another member */
} Kind;

/* Registration of a flow that always has the same addresses and ports. */
typedef struct
{
  Who member;
  Kind kind;
  guint32 syn_seq;
  guint16 syn_age_ms;
} Registration;

typedef struct
{
  const char *what;
  Registration registrations[REGISTRATIONS_MAX];
  Who owner;
  Who other;
  gboolean open;
  guint32 syn_seq;
} Case;

static const Case cases_[] = {
  { "one copy", { { A, TAKEN, 7, 0 } }, A, NOBODY, FALSE, 7 },
  { "the earlier copy counts",
    { { A, TAKEN, 7, 200 }, { B, TAKEN, 7, 0 } },
    B,
    A,
    FALSE,
    7 },
  { "a later copy doesn't",
    { { A, TAKEN, 7, 0 }, { B, TAKEN, 7, 200 } },
    A,
    B,
    FALSE,
    7 },
  { "the same copy, passed on",
    { { A, TAKEN, 7, 0 }, { B, TAKEN, 7, 0 } },
    B,
    A,
    FALSE,
    7 },
  { "the one that opens the flow has it",
    { { A, TAKEN, 7, 0 }, { B, TAKEN, 7, 200 }, { B, OPEN, 7, 200 } },
    B,
    NOBODY,
    TRUE,
    7 },
  { "no copy of the SYN of an open flow counts",
    { { A, OPEN, 7, 0 }, { B, TAKEN, 7, 0 } },
    A,
    NOBODY,
    TRUE,
    7 },
  { "a late registration closes no flow",
    { { A, OPEN, 7, 0 }, { A, TAKEN, 7, 0 } },
    A,
    NOBODY,
    TRUE,
    7 },
  { "a member that has restarted doesn't know the SYN",
    { { A, TAKEN, 7, 0 }, { A, OPEN, 0, 0 } },
    A,
    NOBODY,
    TRUE,
    7 },
  { "a later flow from the same port",
    { { A, OPEN, 7, 0 }, { B, TAKEN, 8, 0 } },
    B,
    NOBODY,
    FALSE,
    8 },
  { "the only owner withdraws", { { A, TAKEN, 7, 0 }, { A, WITHDRAWN, 0, 0 } }, NOBODY },
  { "the likely owner withdraws",
    { { A, TAKEN, 7, 0 }, { B, TAKEN, 7, 200 }, { A, WITHDRAWN, 0, 0 } },
    B,
    NOBODY,
    FALSE,
    7 },
  { "the other one withdraws",
    { { A, TAKEN, 7, 0 }, { B, TAKEN, 7, 200 }, { B, WITHDRAWN, 0, 0 } },
    A,
    NOBODY,
    FALSE,
    7 },
  { "nobody withdraws an open flow",
    { { A, OPEN, 7, 0 }, { A, WITHDRAWN, 0, 0 } },
    A,
    NOBODY,
    TRUE,
    7 },
  { "a copied entry fills a gap", { { A, COPIED, 7, 0 } }, A, NOBODY, FALSE, 7 },
  { "a copied entry replaces none",
    { { A, TAKEN, 7, 0 }, { B, COPIED, 8, 0 } },
    A,
    NOBODY,
    FALSE,
    7 },
};

static const DpFlowKey key_ = { { 0x64400001, 40001 }, { 0xc6120001, 443 } };

static Who
who_is (const DpFlowOwner *owner)
{
  return owner == NULL ? NOBODY : (Who) owner->member.ip;
}

static void
apply (DpFlowDirectory *directory, const Registration *registration, gint64 now)
{
  const DpFlowOwner owner = {
    .key = key_,
    .syn_seq = registration->syn_seq,
    .syn_age_ms = registration->syn_age_ms,
    .open = registration->kind == OPEN,
    .withdrawn = registration->kind == WITHDRAWN,
    .member = { (guint32) registration->member, 7000 },
  };

  if (registration->kind == COPIED)
    dp_flow_directory_register_copy (directory, &owner, now);
  else
    dp_flow_directory_register (directory, &owner, now);
}

static void
test_registrations (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases_); i++)
    {
      const Case *c = &cases_[i];
      g_autoptr (DpFlowDirectory) directory = dp_flow_directory_new (0);
      const DpFlowOwner *owner;

      for (guint j = 0; j < REGISTRATIONS_MAX && c->registrations[j].member != NOBODY;
           j++)
        apply (directory, &c->registrations[j], S);
      owner = dp_flow_directory_find (directory, &key_, S);
      if (who_is (owner) != c->owner
          || who_is (dp_flow_directory_find_other (directory, &key_, S)) != c->other
          || (owner != NULL && (owner->open != c->open || owner->syn_seq != c->syn_seq)))
        CU_FAIL (c->what);
    }
}

/* An entry that is looked up stays; one that is not used makes room. */
static void
test_expiry (void)
{
  g_autoptr (DpFlowDirectory) directory = dp_flow_directory_new (0);
  const Registration taken = { A, TAKEN, 7, 0 };

  apply (directory, &taken, 0);
  dp_flow_directory_expire (directory, TTL, TTL);
  CU_ASSERT_EQUAL (who_is (dp_flow_directory_find (directory, &key_, TTL)), A);
  dp_flow_directory_expire (directory, TTL, 2 * TTL);
  CU_ASSERT_EQUAL (dp_flow_directory_size (directory), 1);
  dp_flow_directory_expire (directory, TTL, 2 * TTL + 1);
  CU_ASSERT_EQUAL (dp_flow_directory_size (directory), 0);
}

/* A directory that has lost registrations must confirm no rejection. */
static void
test_gap (void)
{
  g_autoptr (DpFlowDirectory) directory = dp_flow_directory_new (0);

  CU_ASSERT_FALSE (dp_flow_directory_covers (directory, 0, 500 * MS));
  CU_ASSERT_TRUE (dp_flow_directory_covers (directory, 0, 501 * MS));
  CU_ASSERT_FALSE (dp_flow_directory_covers (directory, 200, 501 * MS));
  dp_flow_directory_note_gap (directory, S);
  CU_ASSERT_FALSE (dp_flow_directory_covers (directory, 0, 1500 * MS));
  CU_ASSERT_TRUE (dp_flow_directory_covers (directory, 0, 1501 * MS));
}

static const DpTestCase tests_[] = {
  { "the owner after each series of registrations", test_registrations },
  { "unused entries expire", test_expiry },
  { "a gap in the registrations", test_gap },
};

DP_TEST_MAIN ("flowdirectory", tests_)
