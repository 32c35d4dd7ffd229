/* Guards against reports that change in transit, and against unrelated datagrams that are
 * accepted as reports. */
#include "private/msgpackcheck.h"
#include <string.h>

#include "protected/passthroughmembers.h"
#include "protected/report.h"
#include "runner.h"

static const DpReport report_ = {
  .service = "darbnica",
  .name = "10.1.0.12:8172",
  .zone = "riga-a",
  .address = { 0x0a01000c, 8172 },
  .slots = 4,
  .state = DP_MEMBER_LEAVING,
  .in_flight = 3,
  .warmup_remaining_ms = 1500,
  .list_hash = G_GUINT64_CONSTANT (0xfedcba9876543210),
  .interval_ms = 400,
  .failing = TRUE,
  .deregistered = TRUE,
};

static void
test_report (void)
{
  guint8 buffer[DP_REPORT_MAX];
  gsize length = dp_report_encode (&report_, buffer);
  DpReportMessage message;

  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length));
  CU_ASSERT_EQUAL (message.type, DP_REPORT_LOAD);
  CU_ASSERT_STRING_EQUAL (message.report.service, report_.service);
  CU_ASSERT_STRING_EQUAL (message.report.name, report_.name);
  CU_ASSERT_STRING_EQUAL (message.report.zone, report_.zone);
  CU_ASSERT_TRUE (dp_address_equal (&message.report.address, &report_.address));
  CU_ASSERT_EQUAL (message.report.slots, 4);
  CU_ASSERT_EQUAL (message.report.state, DP_MEMBER_LEAVING);
  CU_ASSERT_EQUAL (message.report.in_flight, 3);
  CU_ASSERT_EQUAL (message.report.warmup_remaining_ms, 1500);
  CU_ASSERT_EQUAL (message.report.list_hash, report_.list_hash);
  CU_ASSERT_EQUAL (message.report.interval_ms, 400);
  CU_ASSERT_TRUE (message.report.failing);
  CU_ASSERT_TRUE (message.report.deregistered);
  dp_report_message_clear (&message);
}

/* During a rolling update, reports of earlier versions, which lack the last fields, and
 * of a later version, which has a further field, must be understood. */
static void
test_other_versions (void)
{
  guint8 buffer[DP_REPORT_MAX];
  guint8 later[DP_REPORT_MAX + 3] = { 0xdc, 0, 16 }; /* msgpack: a longer array of 16 */
  gsize length = dp_report_encode (&report_, buffer);
  DpReportMessage message;

  CU_ASSERT_EQUAL (buffer[0], 0x90 | 15); /* msgpack: an array of 15 */
  memcpy (later + 3, buffer + 1, length - 1);
  later[length + 2] = 7;
  CU_ASSERT_TRUE (dp_report_decode (&message, later, length + 3));
  CU_ASSERT_TRUE (message.report.failing && message.report.deregistered);
  dp_report_message_clear (&message);
  buffer[0] = 0x90 | 14;
  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length - 1));
  CU_ASSERT_TRUE (message.report.failing && !message.report.deregistered);
  dp_report_message_clear (&message);
  buffer[0] = 0x90 | 13;
  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length - 2));
  CU_ASSERT_FALSE (message.report.failing);
  CU_ASSERT_EQUAL (message.report.interval_ms, 400);
  dp_report_message_clear (&message);
  buffer[0] = 0x90 | 12;
  CU_ASSERT_FALSE (dp_report_decode (&message, buffer, length - 3));
  dp_report_message_clear (&message);
}

/* Companions of deployments without evacuations must report as before. */
static void
test_policy_digest (void)
{
  DpReport report = report_;
  guint8 buffer[DP_REPORT_MAX];
  DpReportMessage message;
  gsize length;

  report.has_policy_digest = TRUE;
  report.policy_digest = G_GUINT64_CONSTANT (0xfedcba9876543210);
  length = dp_report_encode (&report, buffer);
  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length));
  CU_ASSERT_TRUE (message.report.has_policy_digest);
  CU_ASSERT_EQUAL (message.report.policy_digest, report.policy_digest);
  dp_report_message_clear (&message);
  length = dp_report_encode (&report_, buffer);
  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length));
  CU_ASSERT_FALSE (message.report.has_policy_digest);
  dp_report_message_clear (&message);
}

static DpPolicy
make_policy (GArray *entries)
{
  const DpEvacuationEntry zones[] = { { "riga-a", G_MAXINT64, TRUE, 4000 },
                                      { "riga-b", 1, FALSE, 0 } };

  g_array_append_vals (entries, zones, G_N_ELEMENTS (zones));
  return (DpPolicy){ "darbnica", DP_KNOWLEDGE_OLD, G_MAXUINT64, 12, 2500, entries };
}

static void
test_policy (void)
{
  g_autoptr (GArray) entries = g_array_new (FALSE, FALSE, sizeof (DpEvacuationEntry));
  const DpPolicy policy = make_policy (entries);
  guint8 buffer[DP_REPORT_MAX];
  const gsize length = dp_policy_encode (&policy, buffer);
  const DpEvacuationEntry *entry;
  DpReportMessage message;

  CU_ASSERT_TRUE_FATAL (dp_report_decode (&message, buffer, length));
  CU_ASSERT_EQUAL (message.type, DP_REPORT_POLICY);
  CU_ASSERT_STRING_EQUAL (message.service, "darbnica");
  CU_ASSERT_EQUAL (message.policy.knowledge, DP_KNOWLEDGE_OLD);
  CU_ASSERT_EQUAL (message.policy.digest, G_MAXUINT64);
  CU_ASSERT_EQUAL (message.policy.config_version, 12);
  CU_ASSERT_EQUAL (message.policy.warmup_rate, 2500);
  CU_ASSERT_EQUAL_FATAL (message.policy.entries->len, 2);
  entry = &g_array_index (message.policy.entries, DpEvacuationEntry, 0);
  CU_ASSERT_STRING_EQUAL (entry->zone, "riga-a");
  CU_ASSERT_EQUAL (entry->position, G_MAXINT64);
  CU_ASSERT (entry->evacuated && entry->age_ms == 4000);
  CU_ASSERT_FALSE (entry[1].evacuated);
  dp_report_message_clear (&message);
}

/* A policy with a value out of range, or cut short anywhere, is refused as a whole. */
static void
test_malformed_policies (void)
{
  g_autofree char *long_name = g_strnfill (256, 'x');
  const struct
  {
    DpPolicy policy;
    DpEvacuationEntry entry;
  } cases[] = {
    { { "darbnica", DP_N_KNOWLEDGE, 1, 1, 1 }, { "riga-a", 1, TRUE } },
    { { "", DP_KNOWLEDGE_OLD, 1, 1, 1 }, { "riga-a", 1, TRUE } },
    { { "darbnica", DP_KNOWLEDGE_OLD, 1, G_MAXUINT64, 1 }, { "riga-a", 1, TRUE } },
    { { "darbnica", DP_KNOWLEDGE_OLD, 1, 1, G_MAXUINT64 }, { "riga-a", 1, TRUE } },
    { { "darbnica", DP_KNOWLEDGE_OLD, 1, 1, 1 }, { "riga-a", 0, TRUE } },
    { { "darbnica", DP_KNOWLEDGE_OLD, 1, 1, 1 }, { "riga-a", G_MAXUINT64, TRUE } },
    { { "darbnica", DP_KNOWLEDGE_OLD, 1, 1, 1 }, { "", 1, TRUE } },
    { { "darbnica", DP_KNOWLEDGE_OLD, 1, 1, 1 }, { long_name, 1, TRUE } },
  };
  g_autoptr (GArray) valid = g_array_new (FALSE, FALSE, sizeof (DpEvacuationEntry));
  const DpPolicy policy = make_policy (valid);
  guint8 buffer[DP_REPORT_MAX];
  DpReportMessage message;
  gsize length;

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GArray) entries = g_array_new (FALSE, FALSE, sizeof (DpEvacuationEntry));
      DpPolicy malformed = cases[i].policy;

      g_array_append_val (entries, cases[i].entry);
      malformed.entries = entries;
      length = dp_policy_encode (&malformed, buffer);
      CU_ASSERT (length > 0);
      CU_ASSERT_FALSE (dp_report_decode (&message, buffer, length));
      CU_ASSERT_EQUAL (message.type, DP_REPORT_NONE);
      dp_report_message_clear (&message);
    }
  length = dp_policy_encode (&policy, buffer);
  for (gsize i = 0; i < length; i++)
    {
      CU_ASSERT_FALSE (dp_report_decode (&message, buffer, i));
      dp_report_message_clear (&message);
    }
}

/* The evacuations in force go first if not all entries fit into a datagram. */
static void
test_long_policy (void)
{
  g_autofree char *zone = g_strnfill (255, 'z');
  g_autoptr (GArray) entries = g_array_new (FALSE, FALSE, sizeof (DpEvacuationEntry));
  const DpPolicy policy = { "darbnica", DP_KNOWLEDGE_OLD, 1, 1, 0, entries };
  guint8 buffer[DP_REPORT_MAX];
  DpReportMessage message;

  for (guint i = 0; i < DP_EVACUATIONS_MAX; i++)
    {
      const DpEvacuationEntry entry = { zone, i + 1, TRUE, 0 };

      g_array_append_val (entries, entry);
    }
  CU_ASSERT_TRUE_FATAL (
      dp_report_decode (&message, buffer, dp_policy_encode (&policy, buffer)));
  CU_ASSERT_EQUAL (message.policy.entries->len, 7);
  dp_report_message_clear (&message);
}

static void
test_policy_digests (void)
{
  CU_ASSERT_EQUAL (dp_policy_digest (7, 0), 7);
  CU_ASSERT_NOT_EQUAL (dp_policy_digest (7, 2500), dp_policy_digest (7, 2000));
  CU_ASSERT_NOT_EQUAL (dp_policy_digest (7, 2500), dp_policy_digest (8, 2500));
  CU_ASSERT_NOT_EQUAL (dp_policy_digest (0, 0), 0);
}

/* Limit and times must arrive, and must not be sent by a companion that doesn't learn:
 * test_other_versions () shows that its reports have 15 fields as before. */
static void
test_concurrency (void)
{
  guint8 buffer[DP_REPORT_MAX];
  DpReport report = report_;
  DpReportMessage message;
  gsize length;

  report.limit = 3;
  report.service_times[DP_TRAFFIC_URGENT] = 33000;
  report.service_times[DP_TRAFFIC_BULK] = G_MAXUINT32;
  length = dp_report_encode (&report, buffer);
  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length));
  CU_ASSERT_EQUAL (message.report.limit, 3);
  CU_ASSERT_EQUAL (message.report.service_times[DP_TRAFFIC_URGENT], 33000);
  CU_ASSERT_EQUAL (message.report.service_times[DP_TRAFFIC_INTERACTIVE], 0);
  CU_ASSERT_EQUAL (message.report.service_times[DP_TRAFFIC_BULK], G_MAXUINT32);
  CU_ASSERT_FALSE (message.report.has_policy_digest);
  dp_report_message_clear (&message);
  /* The digest of evacuations goes before the limit. */
  report.has_policy_digest = TRUE;
  report.policy_digest = 7;
  CU_ASSERT_TRUE (
      dp_report_decode (&message, buffer, dp_report_encode (&report, buffer)));
  CU_ASSERT_EQUAL (message.report.policy_digest, 7);
  CU_ASSERT_EQUAL (message.report.limit, 3);
  dp_report_message_clear (&message);
  report.has_policy_digest = FALSE;
  length = dp_report_encode (&report, buffer);
  /* A negative limit: the last four values are a fixed array of four. */
  for (gsize i = length; i-- > 0;)
    if (buffer[i] == (0x90 | 4))
      {
        buffer[i + 5] = 0xff;
        buffer[i + 1] = 0xd2;
        break;
      }
  CU_ASSERT_FALSE (dp_report_decode (&message, buffer, length));
  dp_report_message_clear (&message);
}

static void
test_list (void)
{
  const DpMember members[] = {
    { .name = (char *) "a", .zone = (char *) "riga-a", .address = { 1, 2 }, .slots = 4 },
    { .name = (char *) "b",
      .zone = (char *) "riga-b",
      .address = { 3, 4 },
      .slots = 2,
      .state = DP_MEMBER_ACTIVE },
  };
  const DpAddress balancer = { 5, 6 };
  g_autoptr (GArray) list_members = g_array_new (FALSE, FALSE, sizeof (DpMember));
  g_autoptr (GArray) balancers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  const DpMemberList list = { "darbnica", list_members, balancers };
  guint8 buffer[DP_REPORT_MAX];
  DpReportMessage message;
  const DpMember *second;

  g_array_append_vals (list_members, members, 2);
  g_array_append_val (balancers, balancer);
  CU_ASSERT_TRUE (
      dp_report_decode (&message, buffer, dp_member_list_encode (&list, buffer)));
  CU_ASSERT_EQUAL (message.type, DP_REPORT_MEMBERS);
  CU_ASSERT_EQUAL (message.list.members->len, 2);
  second = &g_array_index (message.list.members, DpMember, 1);
  CU_ASSERT_STRING_EQUAL (second->name, "b");
  CU_ASSERT_STRING_EQUAL (second->zone, "riga-b");
  CU_ASSERT_EQUAL (second->id, dp_member_id ("b"));
  CU_ASSERT_EQUAL (second->address.port, 4);
  CU_ASSERT_EQUAL (second->state, DP_MEMBER_ACTIVE);
  CU_ASSERT_EQUAL (g_array_index (message.list.balancers, DpAddress, 0).port, 6);
  /* The hash shows whether two processes know the same members, in any order. */
  CU_ASSERT_EQUAL (dp_member_list_hash (members, 2),
                   dp_member_list_hash (&members[1], 1) - 1
                       + dp_member_list_hash (&members[0], 1) - 1 + 2);
  dp_report_message_clear (&message);
}

/* A full list of the longest names must not be truncated silently. */
static void
test_too_long (void)
{
  g_autofree char *name = g_strnfill (255, 'x');
  const DpMember member = { .name = name, .zone = name, .address = { 1, 2 }, .slots = 4 };
  g_autoptr (GArray) members = g_array_new (FALSE, FALSE, sizeof (DpMember));
  g_autoptr (GArray) balancers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  const DpMemberList list = { "darbnica", members, balancers };
  guint8 buffer[DP_REPORT_MAX];

  for (guint i = 0; i < 100; i++)
    g_array_append_val (members, member);
  CU_ASSERT_EQUAL (dp_member_list_encode (&list, buffer), 0);
}

/* Parts are distinguished, and a list that doesn't fit into a datagram is not truncated.
 * Lists used to be encoded into up to 8,192 bytes, which the port refused to send, so
 * that companions of a service of more than about 74 members knew no member at all. */
static void
test_parts (void)
{
  const DpMember member = { .name = (char *) "a",
                            .zone = (char *) "z",
                            .address = { 1, 2 } };
  g_autoptr (GArray) members = g_array_new (FALSE, FALSE, sizeof (DpMember));
  g_autoptr (GArray) balancers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  DpMemberList list = { "darbnica", members, balancers, 2, 3 };
  guint8 buffer[DP_REPORT_MAX];
  DpReportMessage message;

  while (members->len < 100)
    g_array_append_val (members, member);
  CU_ASSERT_TRUE (
      dp_report_decode (&message, buffer, dp_member_list_encode (&list, buffer)));
  CU_ASSERT_EQUAL (message.list.members->len, 100);
  CU_ASSERT_EQUAL (message.list.part, 2);
  CU_ASSERT_EQUAL (message.list.n_parts, 3);
  dp_report_message_clear (&message);
  list.part = 3;
  CU_ASSERT_FALSE (
      dp_report_decode (&message, buffer, dp_member_list_encode (&list, buffer)));
  dp_report_message_clear (&message);
  list.part = 2;
  while (dp_member_list_encode (&list, buffer) > 0)
    {
      CU_ASSERT_TRUE (dp_member_list_encode (&list, buffer) <= DP_DATAGRAM_MAX);
      CU_ASSERT_TRUE_FATAL (members->len < 1000);
      g_array_append_val (members, member);
    }
  CU_ASSERT_TRUE (members->len > 100);
}

/* Every member of a service of any size reaches the receiver, in datagrams that the port
 * accepts, and the receiver's hash equals the sender's; otherwise the list would be sent
 * again and again. */
static void
test_all_members_arrive (void)
{
  static const guint sizes[] = { 1, 10, 54, 74, 75, 135, 400, 3000 };

  for (guint c = 0; c < G_N_ELEMENTS (sizes); c++)
    {
      g_autoptr (DpPassthroughMembers) received = dp_passthrough_members_new ("darbnica");
      g_autoptr (GArray) members = g_array_new (FALSE, TRUE, sizeof (DpMember));
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
      g_autoptr (GPtrArray) parts = NULL;
      g_autoptr (DpMemberView) view = NULL;

      for (guint i = 0; i < sizes[c]; i++)
        {
          DpMember member = { .zone = (char *) "riga-a", .address = { i + 1, 8172 } };

          g_ptr_array_add (names, g_strdup_printf ("10.%u.%u.%u:8172", 1 + i % 3, i / 250,
                                                   10 + i % 250));
          member.name = g_ptr_array_index (names, i);
          member.state = i % 7 == 0 ? DP_MEMBER_LEAVING : DP_MEMBER_ACTIVE;
          g_array_append_val (members, member);
        }
      view = dp_member_view_new ("darbnica", 1, (const DpMember *) (void *) members->data,
                                 members->len);
      parts = dp_member_list_encode_parts (view, NULL);
      CU_ASSERT_TRUE (parts->len > 0);
      for (guint i = 0; i < parts->len; i++)
        {
          gsize length;
          const guint8 *data = g_bytes_get_data (g_ptr_array_index (parts, i), &length);
          g_autoptr (DpMemberView) view_after_part = NULL;
          DpReportMessage message;

          CU_ASSERT_TRUE (length <= DP_DATAGRAM_MAX);
          CU_ASSERT_TRUE (dp_report_decode (&message, data, length));
          view_after_part = dp_passthrough_members_update (received, &message.list, 0);
          CU_ASSERT_PTR_NOT_NULL (view_after_part);
          dp_report_message_clear (&message);
        }
      CU_ASSERT_EQUAL (dp_passthrough_members_hash (received),
                       dp_member_list_hash (view->members, view->n_members));
    }
}

static void
test_malformed (void)
{
  guint8 buffer[DP_REPORT_MAX];
  gsize length = dp_report_encode (&report_, buffer);
  DpReportMessage message;

  for (gsize cut = 0; cut < length; cut++)
    {
      CU_ASSERT_FALSE (dp_report_decode (&message, buffer, cut));
      dp_report_message_clear (&message);
    }
  for (gsize i = 0; i < length; i++)
    for (guint bit = 0; bit < 8; bit++)
      {
        buffer[i] ^= (guint8) (1u << bit);
        if (dp_report_decode (&message, buffer, length))
          CU_ASSERT (message.type != DP_REPORT_LOAD
                     || (message.report.state < DP_N_MEMBER_STATES
                         && message.report.address.ip != 0));
        dp_report_message_clear (&message);
        buffer[i] ^= (guint8) (1u << bit);
      }
}

static void
test_flow_directory (void)
{
  const DpFlowOwner owner = { .key = { { 0x64400001, 40001 }, { 0xc6120001, 443 } },
                              .syn_seq = 4211003924,
                              .syn_age_ms = 600,
                              .open = TRUE,
                              .member = { 0x0a010024, 8652 } };
  const DpFlowOwner withdrawn = { .key = owner.key,
                                  .withdrawn = TRUE,
                                  .member = owner.member };
  DpReportMessage message;
  guint8 buffer[DP_REPORT_MAX];
  gsize length = dp_flow_owner_encode (&owner, "darbnica", buffer);

  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length));
  CU_ASSERT_EQUAL (message.type, DP_REPORT_OWNER);
  CU_ASSERT_STRING_EQUAL (message.service, "darbnica");
  CU_ASSERT_TRUE (dp_flow_key_equal (&message.owner.key, &owner.key));
  CU_ASSERT_EQUAL (message.owner.syn_seq, owner.syn_seq);
  CU_ASSERT_EQUAL (message.owner.syn_age_ms, owner.syn_age_ms);
  CU_ASSERT_TRUE (message.owner.open);
  CU_ASSERT_TRUE (dp_address_equal (&message.owner.member, &owner.member));
  dp_report_message_clear (&message);
  CU_ASSERT_FALSE (dp_report_decode (&message, buffer, length - 1));
  dp_report_message_clear (&message);
  length = dp_flow_owner_encode (&withdrawn, "darbnica", buffer);
  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length));
  CU_ASSERT_TRUE (message.owner.withdrawn);
  CU_ASSERT_FALSE (message.owner.open);
  dp_report_message_clear (&message);
  length = dp_peer_message_encode (DP_REPORT_OWNERS_WANTED, &owner.member, "darbnica",
                                   buffer);
  CU_ASSERT_TRUE (dp_report_decode (&message, buffer, length));
  CU_ASSERT_EQUAL (message.type, DP_REPORT_OWNERS_WANTED);
  CU_ASSERT_TRUE (dp_address_equal (&message.sender, &owner.member));
  dp_report_message_clear (&message);
}

/* An answer for another flow, or of another member, would end the search of an owner. */
static void
test_owner_queries (void)
{
  const DpOwnerQuery query = { { { 0x64400007, 40001 }, { 0xc6120001, 443 } },
                               0xfffffff0,
                               { 0x7f010101, 7000 } };
  const DpOwnerAnswer answers[] = { { query.key, FALSE, FALSE, { 0x7f010102, 7000 } },
                                    { query.key, TRUE, FALSE, { 0x7f010102, 7001 } },
                                    { query.key, TRUE, TRUE, { 0x7f010102, 7001 } } };
  guint8 buffer[DP_REPORT_MAX];
  DpReportMessage message;
  gsize length = dp_owner_query_encode (&query, "darbnica", buffer);

  CU_ASSERT_TRUE_FATAL (dp_report_decode (&message, buffer, length));
  CU_ASSERT_EQUAL (message.type, DP_REPORT_OWNER_QUERY);
  CU_ASSERT_STRING_EQUAL (message.service, "darbnica");
  CU_ASSERT_TRUE (dp_flow_key_equal (&message.query.key, &query.key));
  CU_ASSERT_EQUAL (message.query.ack, query.ack);
  CU_ASSERT_TRUE (dp_address_equal (&message.query.sender, &query.sender));
  dp_report_message_clear (&message);
  for (gsize i = 0; i < length; i++)
    {
      CU_ASSERT_FALSE (dp_report_decode (&message, buffer, i));
      dp_report_message_clear (&message);
    }
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      length = dp_owner_answer_encode (&answers[i], "darbnica", buffer);
      CU_ASSERT_TRUE_FATAL (dp_report_decode (&message, buffer, length));
      CU_ASSERT_EQUAL (message.type, DP_REPORT_OWNER_ANSWER);
      CU_ASSERT_TRUE (dp_flow_key_equal (&message.answer.key, &query.key));
      CU_ASSERT_EQUAL (message.answer.may_have_flow, answers[i].may_have_flow);
      CU_ASSERT_EQUAL (message.answer.server_silent, answers[i].server_silent);
      CU_ASSERT_TRUE (dp_address_equal (&message.answer.sender, &answers[i].sender));
      dp_report_message_clear (&message);
    }
  /* None of the three answers. */
  buffer[length - 1] = 3;
  CU_ASSERT_FALSE (dp_report_decode (&message, buffer, length));
  dp_report_message_clear (&message);
}

/* Found by fuzz_report: a few bytes that declare an array of four billion elements. */
static void
test_huge_count (void)
{
  static const guint8 huge[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x01, 0x01 };
  static const guint8 nested[] = { 0x95, 0x02, 0x01, 0xa1, 'a', 0xdd,
                                   0x7f, 0xff, 0xff, 0xff, 0x90 };
  DpReportMessage message;

  /* Rejected before the library allocates memory for it. */
  CU_ASSERT_FALSE (dp_msgpack_counts_fit (huge, sizeof huge));
  CU_ASSERT_FALSE (dp_msgpack_counts_fit (nested, sizeof nested));
  CU_ASSERT_FALSE (dp_report_decode (&message, huge, sizeof huge));
  dp_report_message_clear (&message);
  CU_ASSERT_FALSE (dp_report_decode (&message, nested, sizeof nested));
  dp_report_message_clear (&message);
}

static const DpTestCase cases_[] = {
  { "the digest of a report", test_policy_digest },
  { "a policy", test_policy },
  { "malformed policies", test_malformed_policies },
  { "a policy that doesn't fit", test_long_policy },
  { "digests of policies", test_policy_digests },
  { "a list in parts", test_parts },
  { "all members of a large service arrive", test_all_members_arrive },
  { "reports of other versions are understood", test_other_versions },
  { "concurrency", test_concurrency },
  { "a report is encoded and decoded", test_report },
  { "a list is encoded and decoded", test_list },
  { "messages of the flow directory", test_flow_directory },
  { "queries for a flow's owner", test_owner_queries },
  { "a list that does not fit", test_too_long },
  { "malformed datagrams", test_malformed },
  { "an array count that exceeds the data", test_huge_count },
};

DP_TEST_MAIN ("report", cases_)
