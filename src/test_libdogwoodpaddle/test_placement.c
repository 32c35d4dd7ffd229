/* Guards against servers that have a queue while others are idle, flows that cross
 * availability zones without need, and members that get flows although they have stopped
 * reporting. */
#include <stdio.h>

#include "protected/clock.h"
#include "protected/placement.h"
#include "runner.h"
#include "sameid.h"

#define SERVICE "darbnica"
#define MS DP_US_PER_MS

static DpReport
make_report (const char *name, const char *zone, guint32 ip, guint32 in_flight)
{
  return (DpReport){ .service = SERVICE,
                     .name = name,
                     .zone = zone,
                     .address = { ip, 7000 },
                     .slots = 2,
                     .state = DP_MEMBER_ACTIVE,
                     .in_flight = in_flight,
                     .interval_ms = g_str_equal (zone, "riga-a") ? 100 : 400 };
}

/* a-1 and a-2 in the balancer's availability zone, b-1 in another. */
static DpPlacement *
make_placement (guint a1, guint a2, guint b1)
{
  DpPlacement *placement = dp_placement_new ("riga-a");
  const DpReport reports[] = {
    make_report ("a-1", "riga-a", 1, a1),
    make_report ("a-2", "riga-a", 2, a2),
    make_report ("b-1", "riga-b", 3, b1),
  };

  for (guint i = 0; i < G_N_ELEMENTS (reports); i++)
    CU_ASSERT_TRUE (dp_placement_apply_report (placement, &reports[i], 0));
  return placement;
}

static guint32
choose (DpPlacement *placement, DpTrafficClass class, gint64 now)
{
  DpHandle member = dp_placement_choose (placement, dp_service_id (SERVICE), class, 7,
                                         now);
  DpAddress address = { 0 };

  dp_placement_address (placement, member, &address);
  return address.ip;
}

static gboolean
is_member (DpPlacement *placement, DpHandle handle, guint32 ip)
{
  DpAddress address = { 0 };

  return dp_placement_address (placement, handle, &address) && address.ip == ip;
}

static void
test_choice (void)
{
  static const struct
  {
    guint in_flight[3];
    DpTrafficClass class;
    guint32 expected;
  } cases[] = {
    { { 0, 1, 0 }, DP_TRAFFIC_INTERACTIVE, 1 },
    { { 2, 0, 0 }, DP_TRAFFIC_INTERACTIVE, 2 },
    /* Another zone is chosen only if that saves more than one flow in flight per slot. */
    { { 2, 2, 0 }, DP_TRAFFIC_INTERACTIVE, 1 },
    { { 4, 3, 0 }, DP_TRAFFIC_INTERACTIVE, 3 },
    { { 4, 3, 0 }, DP_TRAFFIC_BULK, 2 },
    { { 12, 12, 0 }, DP_TRAFFIC_BULK, 3 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (DpPlacement) placement = make_placement (
          cases[i].in_flight[0], cases[i].in_flight[1], cases[i].in_flight[2]);
      guint32 chosen = choose (placement, cases[i].class, MS);

      if (cases[i].in_flight[0] == cases[i].in_flight[1] && cases[i].expected != 3)
        CU_ASSERT (chosen == 1 || chosen == 2);
      if (cases[i].in_flight[0] != cases[i].in_flight[1])
        CU_ASSERT_EQUAL (chosen, cases[i].expected);
    }
}

/* Flows that this balancer has placed since the last report count as well. */
static void
test_own_flows (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  guint n[4] = { 0 };

  for (guint i = 0; i < 4; i++)
    {
      DpHandle member = dp_placement_choose (placement, dp_service_id (SERVICE),
                                             DP_TRAFFIC_INTERACTIVE, 7, MS);
      DpAddress address;

      dp_placement_address (placement, member, &address);
      n[address.ip]++;
      dp_placement_flow_opened (placement, member);
    }
  CU_ASSERT_EQUAL (n[1], 2);
  CU_ASSERT_EQUAL (n[2], 2);
}

/* A flow whose end the balancer did not see must not count forever. */
static void
test_report_corrects (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 1, 1);
  const DpReport idle = make_report ("a-1", "riga-a", 1, 0);

  for (guint i = 0; i < 50; i++)
    dp_placement_flow_opened (
        placement,
        dp_placement_first_candidate (placement, dp_service_id (SERVICE), 7 + i, 0));
  CU_ASSERT_FALSE (dp_placement_apply_report (placement, &idle, 100 * MS));
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 100 * MS), 1);
}

static void
test_silent_member (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 5, 5);
  const DpReport second = make_report ("a-2", "riga-a", 2, 5);

  dp_placement_apply_report (placement, &second, 400 * MS);
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 400 * MS), 2);
  /* If none reports, it may be only the reports that are lost, so all are still used. */
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 5000 * MS), 1);
  CU_ASSERT_FALSE (dp_placement_expire (placement, 15000 * MS));
  CU_ASSERT_TRUE (dp_placement_expire (placement, 15001 * MS));
  CU_ASSERT_EQUAL (dp_placement_n_members (placement), 1);
}

/* A search that starts at a member that is down ends there. */
static void
test_search_starts_at_a_reporting_member (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  const guint64 service = dp_service_id (SERVICE);
  const DpReport first = make_report ("a-1", "riga-a", 1, 0);
  guint64 hash = 0;
  DpHandle member;
  DpHandle next;

  do
    member = dp_placement_first_candidate (placement, service, ++hash << 40, 0);
  while (!is_member (placement, member, 1));
  for (guint ip = 2; ip <= 3; ip++)
    {
      const DpReport report = make_report (ip == 2 ? "a-2" : "b-1",
                                           ip == 2 ? "riga-a" : "riga-b", ip, 0);

      dp_placement_apply_report (placement, &report, 400 * MS);
    }
  CU_ASSERT_FALSE (dp_placement_is_reporting (placement, member, 400 * MS));
  next = dp_placement_first_candidate (placement, service, hash << 40, 400 * MS);
  CU_ASSERT_NOT_EQUAL (next, member);
  dp_placement_apply_report (placement, &first, 500 * MS);
  next = dp_placement_first_candidate (placement, service, hash << 40, 500 * MS);
  CU_ASSERT_EQUAL (next, member);
}

/* While all members that keep a flow's entry are restarted, a search that starts there
 * ends there. */
static void
test_search_starts_at_the_successor (void)
{
  static const char *const names[] = { "a-1", "a-2", "b-1" };
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  const guint64 service = dp_service_id (SERVICE);

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const gint64 now = (2 + i) * DP_US_PER_S;
      const DpReport report = make_report (names[i], i < 2 ? "riga-a" : "riga-b", i + 1,
                                           0);

      dp_placement_apply_report (placement, &report, now);
      CU_ASSERT_TRUE (is_member (
          placement, dp_placement_first_candidate (placement, service, 7, now), i + 1));
    }
}

/* Each search ends at the member that it starts at if that is down. */
static void
test_search_starts_at_any_reporting_member (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  const DpReport last = make_report ("b-9", "riga-b", 9, 0);
  const gint64 now = 2 * DP_US_PER_S;

  /* Enough members for those that keep an entry, and their successor, to be others. */
  for (guint i = 4; i < 9; i++)
    {
      g_autofree char *name = g_strdup_printf ("a-%u", i);
      const DpReport report = make_report (name, "riga-a", i, 0);

      dp_placement_apply_report (placement, &report, 0);
    }
  dp_placement_apply_report (placement, &last, now);
  for (guint64 hash = 0; hash < 64; hash++)
    CU_ASSERT_TRUE (is_member (placement,
                               dp_placement_first_candidate (
                                   placement, dp_service_id (SERVICE), hash << 58, now),
                               9));
}

/* Guards against companions that forward new flows to members that have crashed. */
static void
test_silent_member_listed (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  const guint64 service = dp_service_id (SERVICE);
  const DpReport first = make_report ("a-1", "riga-a", 1, 0);
  const DpReport second = make_report ("a-2", "riga-a", 2, 0);
  guint64 hash = dp_placement_list_hash (placement, service);
  const DpMember *silent;

  dp_placement_apply_report (placement, &second, 1000 * MS);
  CU_ASSERT_FALSE (dp_placement_expire (placement, 1500 * MS));
  CU_ASSERT_NOT_EQUAL (dp_placement_list_hash (placement, service), hash);
  silent = dp_member_view_find (dp_placement_view (placement, service),
                                dp_member_id ("a-1"));
  CU_ASSERT_EQUAL (silent->state, DP_MEMBER_LEAVING);
  silent = dp_member_view_find (dp_placement_view (placement, service),
                                dp_member_id ("a-2"));
  CU_ASSERT_EQUAL (silent->state, DP_MEMBER_ACTIVE);
  CU_ASSERT_TRUE (dp_placement_apply_report (placement, &first, 1600 * MS));
  silent = dp_member_view_find (dp_placement_view (placement, service),
                                dp_member_id ("a-1"));
  CU_ASSERT_EQUAL (silent->state, DP_MEMBER_ACTIVE);
}

/* With many balancers, each of them gets the reports of members in other zones less
 * often. */
static void
test_rare_reports (void)
{
  g_autoptr (DpPlacement) placement = make_placement (5, 5, 0);
  DpReport rare = make_report ("b-1", "riga-b", 3, 0);

  rare.interval_ms = 6000;
  dp_placement_apply_report (placement, &rare, 0);
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 19000 * MS), 3);
  dp_placement_expire (placement, 19000 * MS);
  CU_ASSERT_EQUAL (dp_placement_n_members (placement), 1);
  CU_ASSERT_FALSE (dp_placement_expire (placement, 39000 * MS));
  CU_ASSERT_TRUE (dp_placement_expire (placement, 40000 * MS));
}

static void
test_leaving_member (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 5, 5);
  DpReport leaving = make_report ("a-1", "riga-a", 1, 0);
  guint64 hash = dp_placement_list_hash (placement, dp_service_id (SERVICE));

  leaving.state = DP_MEMBER_LEAVING;
  CU_ASSERT_TRUE (dp_placement_apply_report (placement, &leaving, MS));
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, MS), 2);
  CU_ASSERT_NOT_EQUAL (dp_placement_list_hash (placement, dp_service_id (SERVICE)), hash);
  CU_ASSERT_EQUAL (dp_placement_view (placement, dp_service_id (SERVICE))->n_members, 3);
}

/* Another service reuses the name and address of a server that is gone. */
static void
test_address_used_again (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 5, 5);
  DpReport other = make_report ("a-1", "riga-a", 1, 0);

  other.service = "rokasgramata";
  CU_ASSERT_TRUE (dp_placement_apply_report (placement, &other, MS));
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, MS), 2);
  CU_ASSERT_EQUAL (dp_placement_view (placement, dp_service_id (SERVICE))->n_members, 2);
}

static void
test_cold_member (void)
{
  g_autoptr (DpPlacement) placement = make_placement (1, 2, 9);
  DpReport cold = make_report ("a-1", "riga-a", 1, 1);

  cold.warmup_remaining_ms = 2000;
  dp_placement_apply_report (placement, &cold, MS);
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, MS), 2);
}

static void
test_unknown_service (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);

  CU_ASSERT_EQUAL (dp_placement_choose (placement, 42, DP_TRAFFIC_URGENT, 1, MS),
                   DP_HANDLE_NONE);
  CU_ASSERT_EQUAL (dp_placement_first_candidate (placement, 42, 1, 0), DP_HANDLE_NONE);
  CU_ASSERT_PTR_NULL (dp_placement_view (placement, 42));
}

/* A server that fails its requests at once is never busy and would get more flows than
 * any other if it were not marked as failing. If all servers of a service fail, they are
 * still used. */
static void
test_failing (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 3, 3);
  static const struct
  {
    const char *name;
    const char *zone;
    guint32 ip;
    guint32 in_flight;
    guint32 expected; /* choice after this member has begun to fail, too */
  } cases[] = {
    { "a-1", "riga-a", 1, 0, 2 },
    { "a-2", "riga-a", 2, 3, 3 },
    { "b-1", "riga-b", 3, 3, 1 },
  };

  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 0), 1);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      DpReport report = make_report (cases[i].name, cases[i].zone, cases[i].ip,
                                     cases[i].in_flight);

      report.failing = TRUE;
      dp_placement_apply_report (placement, &report, 0);
      CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 0), cases[i].expected);
    }
}

/* Guards against a balancer that keeps a server in the member list after it has
 * deregistered. For 15 s, packets that looked for the owner of their flow were then sent
 * to its host as well, and downloads stalled. */
static void
test_deregistered (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  const guint64 service = dp_service_id (SERVICE);
  DpReport report = make_report ("a-2", "riga-a", 2, 0);

  report.state = DP_MEMBER_LEAVING;
  CU_ASSERT_TRUE (dp_placement_apply_report (placement, &report, MS));
  CU_ASSERT_TRUE (dp_placement_has_active (placement, service));
  CU_ASSERT_EQUAL (dp_placement_view (placement, service)->n_members, 3);
  report.deregistered = TRUE;
  for (guint i = 0; i < 2; i++)
    {
      g_autoptr (GArray) gone = NULL;

      CU_ASSERT_EQUAL (dp_placement_apply_report (placement, &report, 2 * MS), i == 0);
      CU_ASSERT_EQUAL (dp_placement_view (placement, service)->n_members, 2);
      gone = dp_placement_gone_ids (placement, service, 2 * MS);
      CU_ASSERT_EQUAL_FATAL (gone->len, 1);
      CU_ASSERT_EQUAL (g_array_index (gone, guint32, 0), dp_member_id ("a-2"));
    }
  /* Another server starts on the same host. */
  report = make_report ("a-2", "riga-a", 2, 0);
  CU_ASSERT_TRUE (dp_placement_apply_report (placement, &report, 3 * MS));
  CU_ASSERT_EQUAL (dp_placement_view (placement, service)->n_members, 3);
  {
    g_autoptr (GArray) gone = dp_placement_gone_ids (placement, service, 3 * MS);

    CU_ASSERT_EQUAL (gone->len, 0);
  }
}

/* Guards against inc-9b59: a balancer that knew only one member, which was leaving,
 * reported that it was ready and rejected all flows. */
static void
test_leaving_only (void)
{
  g_autoptr (DpPlacement) placement = dp_placement_new ("riga-a");
  const guint64 service = dp_service_id (SERVICE);
  DpReport report = make_report ("a-1", "riga-a", 1, 0);

  CU_ASSERT_FALSE (dp_placement_has_active (placement, service));
  report.state = DP_MEMBER_LEAVING;
  dp_placement_apply_report (placement, &report, 0);
  CU_ASSERT_FALSE (dp_placement_has_active (placement, service));
  report.state = DP_MEMBER_ACTIVE;
  dp_placement_apply_report (placement, &report, MS);
  CU_ASSERT_TRUE (dp_placement_has_active (placement, service));
}

/* No new flow may reach a server of an evacuated zone, not even if no other is left, and
 * other members must not forward flows there. */
static void
test_evacuated_zone (void)
{
  g_autoptr (DpEvacuations) evacuations = dp_evacuations_new ();
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 9);
  const guint64 service = dp_service_id (SERVICE);
  const guint64 hash = dp_placement_list_hash (placement, service);
  const DpEvacuationEntry near = { "riga-a", 5, TRUE, 0 };
  const DpEvacuationEntry far = { "riga-b", 6, TRUE, 0 };
  const DpEvacuationEntry near_ended = { "riga-a", 7, FALSE, 0 };
  DpReport late = make_report ("b-2", "riga-b", 4, 0);
  DpHandle member = dp_placement_choose (placement, service, DP_TRAFFIC_INTERACTIVE, 7,
                                         MS);

  dp_placement_flow_opened (placement, member);
  dp_evacuations_apply (evacuations, &near, DP_EVACUATION_FROM_LIST, MS);
  dp_placement_set_evacuations (placement, evacuations, MS);
  CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_BULK, MS), 3);
  CU_ASSERT_FALSE (dp_placement_is_live (placement, member, MS));
  CU_ASSERT_TRUE (dp_placement_is_reporting (placement, member, MS));
  CU_ASSERT_FALSE (dp_placement_is_evacuated (placement, service));
  CU_ASSERT_NOT_EQUAL (dp_placement_list_hash (placement, service), hash);
  for (guint i = 0; i < 3; i++)
    {
      const DpMember *m = &dp_placement_view (placement, service)->members[i];

      CU_ASSERT_EQUAL (m->state, g_str_equal (m->zone, "riga-a") ? DP_MEMBER_LEAVING
                                                                 : DP_MEMBER_ACTIVE);
    }
  dp_evacuations_apply (evacuations, &far, DP_EVACUATION_FROM_PEER, MS);
  dp_placement_set_evacuations (placement, evacuations, MS);
  dp_placement_apply_report (placement, &late, MS);
  CU_ASSERT_EQUAL (
      dp_placement_choose (placement, service, DP_TRAFFIC_INTERACTIVE, 7, 2 * MS),
      DP_HANDLE_NONE);
  CU_ASSERT_TRUE (dp_placement_is_evacuated (placement, service));
  CU_ASSERT_FALSE (dp_placement_has_active (placement, service));
  CU_ASSERT_FALSE (dp_placement_is_evacuated (placement, service + 1));
  dp_evacuations_apply (evacuations, &near_ended, DP_EVACUATION_FROM_WATCH, MS);
  dp_placement_set_evacuations (placement, evacuations, MS);
  CU_ASSERT (choose (placement, DP_TRAFFIC_INTERACTIVE, 2 * MS) < 3);
}

/* Reports a service time of each member, in ms, at now. */
static void
report_times (DpPlacement *placement,
              const guint times_ms[3],
              guint in_flight,
              gint64 now)
{
  static const char *const names[] = { "a-1", "a-2", "b-1" };

  for (guint i = 0; i < 3; i++)
    {
      DpReport report = make_report (names[i], i < 2 ? "riga-a" : "riga-b", i + 1,
                                     in_flight);

      report.limit = 2;
      report.service_times[DP_TRAFFIC_INTERACTIVE] = times_ms[i] * MS;
      dp_placement_apply_report (placement, &report, now);
    }
}

static void
place (DpPlacement *placement, guint n_flows, guint n[4], gint64 now)
{
  for (guint i = 0; i < n_flows; i++)
    {
      const DpHandle member = dp_placement_choose (placement, dp_service_id (SERVICE),
                                                   DP_TRAFFIC_INTERACTIVE, i, now);
      DpAddress address = { 0 };

      dp_placement_address (placement, member, &address);
      dp_placement_flow_opened (placement, member);
      n[address.ip]++;
    }
}

/* A member four times as slow as the others must not get as many flows, one that reports
 * absurd times must still get some, and reports of older builds count as the median. */
static void
test_speeds (void)
{
  static const struct
  {
    guint times_ms[3];
    guint min;
    guint max; /* flows of a-2 among 40 */
  } cases[] = {
    { { 20, 80, 20 }, 3, 8 }, /* 40 * 0.25 / 2.25 by its speed */
    { { 20, 4000000, 20 }, 1, 5 },
    { { 20, 23, 20 }, 10, 20 },
    { { 20, 0, 20 }, 10, 20 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
      guint n[4] = { 0 };

      dp_placement_set_learned (placement, TRUE);
      report_times (placement, cases[i].times_ms, 1, 200 * MS);
      report_times (placement, cases[i].times_ms, 1, 400 * MS);
      place (placement, 40, n, 400 * MS);
      if (n[2] < cases[i].min || n[2] > cases[i].max)
        printf ("case %u: %u %u %u\n", i, n[1], n[2], n[3]);
      CU_ASSERT (n[2] >= cases[i].min && n[2] <= cases[i].max);
    }
}

/* A member that reports a limit far beyond its slots must not get all flows. Its share is
 * that of twice its slots, the most that a companion learns. */
static void
test_wrong_limit (void)
{
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  DpReport report = make_report ("a-2", "riga-a", 2, 0);
  guint n[4] = { 0 };

  dp_placement_set_learned (placement, TRUE);
  report.limit = G_MAXUINT16;
  dp_placement_apply_report (placement, &report, 200 * MS);
  place (placement, 40, n, 200 * MS);
  CU_ASSERT_TRUE (n[2] >= 18 && n[2] <= 26);
}

/* A slow server that gets no flow can't show that it has recovered. */
static void
test_idle_slow_member (void)
{
  const guint times_ms[] = { 20, 2000, 20 };
  g_autoptr (DpPlacement) placement = make_placement (0, 0, 0);
  guint n[4] = { 0 };

  dp_placement_set_learned (placement, TRUE);
  report_times (placement, times_ms, 1, 200 * MS);
  report_times (placement, times_ms, 1, 400 * MS);
  report_times (placement, times_ms, 0, 500 * MS);
  place (placement, 6, n, 500 * MS);
  CU_ASSERT_EQUAL (n[2], 0);
  report_times (placement, times_ms, 0, 1500 * MS);
  place (placement, 1, n, 1500 * MS);
  place (placement, 2, n, 1500 * MS);
  CU_ASSERT_EQUAL (n[2], 1);
}

/* Without --concurrency learned, limits and times that others report change nothing. */
static void
test_fixed_ignores_learned_values (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  g_autoptr (DpPlacement) plain = make_placement (0, 0, 0);
  g_autoptr (DpPlacement) learned = make_placement (0, 0, 0);

  for (guint i = 0; i < 300; i++)
    {
      const guint32 ip = (guint32) g_rand_int_range (rand, 1, 4);
      DpReport report = make_report (ip == 1   ? "a-1"
                                     : ip == 2 ? "a-2"
                                               : "b-1",
                                     ip < 3 ? "riga-a" : "riga-b", ip,
                                     (guint32) g_rand_int_range (rand, 0, 9));
      const gint64 now = (i + 1) * 10 * MS;

      dp_placement_apply_report (plain, &report, now);
      report.limit = (guint32) g_rand_int_range (rand, 1, 9);
      report.service_times[0] = (guint32) g_rand_int (rand);
      dp_placement_apply_report (learned, &report, now);
      for (guint class = 0; class < DP_N_TRAFFIC_CLASSES; class ++)
        CU_ASSERT_EQUAL (choose (plain, (DpTrafficClass) class, now),
                         choose (learned, (DpTrafficClass) class, now));
    }
}

/* Decodes the only part of the list of the service's members. */
static guint
n_listed (DpPlacement *placement, const char *name)
{
  g_autoptr (GPtrArray) parts = dp_member_list_encode_parts (
      dp_placement_view (placement, dp_service_id (SERVICE)), NULL);
  DpReportMessage message;
  const guint8 *data;
  guint n = 0;
  gsize length;

  CU_ASSERT_EQUAL_FATAL (parts->len, 1);
  data = g_bytes_get_data (g_ptr_array_index (parts, 0), &length);
  CU_ASSERT_TRUE (dp_report_decode (&message, data, length));
  for (guint i = 0; i < message.list.members->len; i++)
    n += g_str_equal (g_array_index (message.list.members, DpMember, i).name, name) ? 1
                                                                                    : 0;
  CU_ASSERT_EQUAL (
      dp_member_list_hash ((const DpMember *) (void *) message.list.members->data,
                           message.list.members->len),
      dp_placement_list_hash (placement, dp_service_id (SERVICE)));
  dp_report_message_clear (&message);
  return n;
}

/* Guards against the abort of all balancers by a member whose id is that of another one,
 * and against a member that stays left out once the other one is gone. */
static void
test_same_id (void)
{
  const guint64 service = dp_service_id (SERVICE);
  const guint32 id = dp_member_id (SAME_ID_FIRST);

  for (guint deregistered = 0; deregistered < 2; deregistered++)
    {
      g_autoptr (DpPlacement) placement = dp_placement_new ("riga-a");
      DpReport first = make_report (SAME_ID_FIRST, "riga-a", 1, 3);
      const DpReport second = make_report (SAME_ID_SECOND, "riga-a", 2, 0);
      g_autoptr (GArray) gone = NULL;

      CU_ASSERT_TRUE (dp_placement_apply_report (placement, &first, 0));
      CU_ASSERT_TRUE (dp_placement_apply_report (placement, &second, MS));
      CU_ASSERT_FALSE (dp_placement_apply_report (placement, &first, 2 * MS));
      CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 2 * MS), 1);
      CU_ASSERT_EQUAL (dp_placement_view (placement, service)->n_members, 1);
      CU_ASSERT_EQUAL (dp_placement_n_left_out (placement), 1);
      CU_ASSERT_EQUAL (n_listed (placement, SAME_ID_SECOND), 1);
      CU_ASSERT_EQUAL (n_listed (placement, SAME_ID_FIRST), 1);
      /* The one that stays goes; packets may be sent to the other one from then on. */
      first.deregistered = TRUE;
      if (deregistered != 0)
        dp_placement_apply_report (placement, &first, 16000 * MS);
      dp_placement_apply_report (placement, &second, 16000 * MS);
      dp_placement_expire (placement, 16000 * MS);
      CU_ASSERT_EQUAL (choose (placement, DP_TRAFFIC_INTERACTIVE, 16000 * MS), 2);
      CU_ASSERT_EQUAL (dp_placement_n_left_out (placement), 0);
      CU_ASSERT_EQUAL (n_listed (placement, SAME_ID_FIRST), 0);
      gone = dp_placement_gone_ids (placement, service, 16000 * MS);
      CU_ASSERT_EQUAL_FATAL (gone->len, 1);
      CU_ASSERT_EQUAL (g_array_index (gone, guint32, 0), id);
    }
}

static const DpTestCase cases_[] = {
  { "members of evacuated zones take no new flows", test_evacuated_zone },
  { "of members with the same id the first one stays", test_same_id },
  { "a failing server is chosen last", test_failing },
  { "a server that has deregistered is gone", test_deregistered },
  { "leaving members don't make a balancer ready", test_leaving_only },
  { "the least loaded member is chosen, preferably in the same zone", test_choice },
  { "flows placed since the report count", test_own_flows },
  { "a report corrects the count of flows", test_report_corrects },
  { "a silent member takes no new flows", test_silent_member },
  { "a search starts at a member that reports",
    test_search_starts_at_a_reporting_member },
  { "a search starts at the successor", test_search_starts_at_the_successor },
  { "a search starts at any member that reports if no other does",
    test_search_starts_at_any_reporting_member },
  { "a silent member is listed as leaving", test_silent_member_listed },
  { "a member with a long report interval is not silent", test_rare_reports },
  { "a leaving member takes no new flows and stays listed", test_leaving_member },
  { "another service reuses an address", test_address_used_again },
  { "a cold member takes fewer flows", test_cold_member },
  { "a service without members", test_unknown_service },
  { "speeds", test_speeds },
  { "a limit beyond twice the slots", test_wrong_limit },
  { "idle slow member", test_idle_slow_member },
  { "fixed ignores learned values", test_fixed_ignores_learned_values },
};

DP_TEST_MAIN ("placement", cases_)
