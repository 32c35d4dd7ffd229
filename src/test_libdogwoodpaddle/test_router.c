/* Guards against packets that are sent to a member of another service, and new flows that
 * are sent to a member that is joining or leaving. */
#include "protected/router.h"
#include "runner.h"

#define N_PER_SERVICE 4

static const DpAddress first_address_ = { 0x0a4d0001, 80 };
static const DpAddress second_address_ = { 0x0a4d0001, 8080 };
static const DpAddress other_address_ = { 0x0a4d0002, 80 };

static DpMemberView *
make_view (const char *service, guint64 revision, guint32 ip, DpMemberState first_state)
{
  DpMember members[N_PER_SERVICE] = { 0 };
  char names[N_PER_SERVICE][32];

  for (guint i = 0; i < N_PER_SERVICE; i++)
    {
      g_snprintf (names[i], sizeof names[i], "%s-%u", service, i);
      members[i].name = names[i];
      members[i].address = (DpAddress){ ip + i, 7000 };
      members[i].slots = 4;
      members[i].state = i == 0 ? first_state : DP_MEMBER_ACTIVE;
    }
  return dp_member_view_new (service, revision, members, N_PER_SERVICE);
}

static void
set_address (DpRouter *router, const char *service, const DpAddress *address)
{
  const DpServiceAddress declared = { *address, DP_TRAFFIC_INTERACTIVE, 0 };

  dp_router_set_addresses (router, service, &declared, 1);
}

static DpRouter *
make_router (void)
{
  DpRouter *router = dp_router_new ();
  g_autoptr (DpMemberView) a = make_view ("darbnica", 5, 0x7f010100, DP_MEMBER_LEAVING);
  g_autoptr (DpMemberView)
      b = make_view ("rokasgramata", 6, 0x7f020100, DP_MEMBER_ACTIVE);

  set_address (router, "darbnica", &first_address_);
  set_address (router, "rokasgramata", &second_address_);
  dp_router_set_view (router, a);
  dp_router_set_view (router, b);
  return router;
}

static DpSegment
make_segment (guint i, const DpAddress *service, guint8 flags)
{
  DpSegment s = { .key = { { 0x0a000000 + i, 40000 }, *service }, .flags = flags };

  s.hash = dp_flow_key_hash (&s.key);
  return s;
}

static void
test_service (void)
{
  g_autoptr (DpRouter) router = make_router ();
  guint leaving = 0;

  for (guint i = 0; i < 1000; i++)
    {
      DpSegment ack = make_segment (i, &first_address_, DP_TCP_ACK);
      DpSegment syn = make_segment (i, &first_address_, DP_TCP_SYN);
      DpSegment manual = make_segment (i, &second_address_, DP_TCP_ACK);
      DpRoute route;

      CU_ASSERT_EQUAL_FATAL (dp_router_route (router, &ack, &route), DP_ROUTE_FORWARD);
      CU_ASSERT_EQUAL (route.member_address.ip & 0xffffff00, 0x7f010100);
      CU_ASSERT_EQUAL (route.header.service_id, dp_service_id ("darbnica"));
      CU_ASSERT_EQUAL (route.header.revision, 5);
      CU_ASSERT_EQUAL (route.header.n_visited, 1);
      leaving += route.member_address.ip == 0x7f010100;
      CU_ASSERT_EQUAL_FATAL (dp_router_route (router, &syn, &route), DP_ROUTE_FORWARD);
      CU_ASSERT_NOT_EQUAL (route.member_address.ip, 0x7f010100);
      CU_ASSERT_EQUAL_FATAL (dp_router_route (router, &manual, &route), DP_ROUTE_FORWARD);
      CU_ASSERT_EQUAL (route.member_address.ip & 0xffffff00, 0x7f020100);
      CU_ASSERT_EQUAL (route.header.service_id, dp_service_id ("rokasgramata"));
    }
  CU_ASSERT_TRUE (leaving > 0);
}

static void
test_unknown (void)
{
  g_autoptr (DpRouter) router = make_router ();
  g_autoptr (DpMemberView) empty = dp_member_view_new ("tuksa", 7, NULL, 0);
  DpSegment segment = make_segment (1, &other_address_, DP_TCP_SYN);
  DpSegment report = make_segment (1, &first_address_, DP_TCP_SYN);
  DpRoute route;

  CU_ASSERT_EQUAL (dp_router_route (router, &segment, &route), DP_ROUTE_UNKNOWN_ADDRESS);
  set_address (router, "tuksa", &other_address_);
  CU_ASSERT_EQUAL (dp_router_route (router, &segment, &route), DP_ROUTE_NO_MEMBER);
  dp_router_set_view (router, empty);
  CU_ASSERT_EQUAL (dp_router_route (router, &segment, &route), DP_ROUTE_NO_MEMBER);
  dp_router_remove_service (router, "darbnica");
  CU_ASSERT_EQUAL (dp_router_route (router, &report, &route), DP_ROUTE_UNKNOWN_ADDRESS);
}

static void
test_older_view (void)
{
  g_autoptr (DpRouter) router = make_router ();
  g_autoptr (DpMemberView)
      older = make_view ("darbnica", 4, 0x7f030100, DP_MEMBER_ACTIVE);
  g_autoptr (DpMemberView)
      newer = make_view ("darbnica", 8, 0x7f040100, DP_MEMBER_ACTIVE);
  DpSegment segment = make_segment (1, &first_address_, DP_TCP_ACK);
  DpRoute route;

  dp_router_set_view (router, older);
  CU_ASSERT_EQUAL (dp_router_route (router, &segment, &route), DP_ROUTE_FORWARD);
  CU_ASSERT_EQUAL (route.header.revision, 5);
  dp_router_set_view (router, newer);
  CU_ASSERT_EQUAL (dp_router_route (router, &segment, &route), DP_ROUTE_FORWARD);
  CU_ASSERT_EQUAL (route.header.revision, 8);
  CU_ASSERT_EQUAL (route.member_address.ip & 0xffffff00, 0x7f040100);
}

/* If two services have the same address, the order in which they are added does not
 * decide which of them gets its packets. */
static void
test_claimed_twice (void)
{
  for (guint order = 0; order < 2; order++)
    {
      g_autoptr (DpRouter) router = make_router ();
      DpSegment segment = make_segment (1, &other_address_, DP_TCP_ACK);
      DpRoute route;

      set_address (router, order == 0 ? "darbnica" : "rokasgramata", &other_address_);
      set_address (router, order == 0 ? "rokasgramata" : "darbnica", &other_address_);
      CU_ASSERT_EQUAL (dp_router_route (router, &segment, &route), DP_ROUTE_FORWARD);
      CU_ASSERT_EQUAL (route.header.service_id, dp_service_id ("darbnica"));
    }
}

static void
test_many_addresses (void)
{
  g_autoptr (DpRouter) router = make_router ();
  DpServiceAddress addresses[3100];
  DpRoute route;

  for (guint i = 0; i < G_N_ELEMENTS (addresses); i++)
    addresses[i] = (DpServiceAddress){ { 0x0a500000 + i / 2, (guint16) (80 + i % 2) },
                                       (DpTrafficClass) (i % DP_N_TRAFFIC_CLASSES),
                                       0 };
  dp_router_set_addresses (router, "darbnica", addresses, G_N_ELEMENTS (addresses));
  for (guint i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      DpSegment segment = make_segment (i, &addresses[i].address, DP_TCP_ACK);
      guint64 service_id = 0;
      const DpServiceAddress *declared;

      CU_ASSERT_EQUAL (dp_router_route (router, &segment, &route), DP_ROUTE_FORWARD);
      declared = dp_router_find (router, &addresses[i].address, &service_id);
      CU_ASSERT_EQUAL (service_id, dp_service_id ("darbnica"));
      CU_ASSERT_EQUAL (declared->class, addresses[i].class);
    }
}

static void
test_trace_sample (void)
{
  g_autoptr (DpRouter) router = make_router ();
  guint traced = 0;

  dp_router_set_trace_sample (router, 10);
  for (guint i = 0; i < 10000; i++)
    {
      DpSegment syn = make_segment (i, &second_address_, DP_TCP_SYN);
      DpSegment ack = make_segment (i, &second_address_, DP_TCP_ACK);
      guint64 trace_id;
      DpRoute route;

      CU_ASSERT_EQUAL_FATAL (dp_router_route (router, &syn, &route), DP_ROUTE_FORWARD);
      trace_id = route.header.trace_id;
      CU_ASSERT_EQUAL_FATAL (dp_router_route (router, &ack, &route), DP_ROUTE_FORWARD);
      CU_ASSERT_EQUAL (route.header.trace_id, trace_id);
      traced += trace_id != 0;
    }
  CU_ASSERT_TRUE (traced > 800 && traced < 1200);
}

/* Guards against an abort when the configuration names more services than fit. */
static void
test_number_of_services (void)
{
  g_autoptr (DpRouter) router = dp_router_new ();
  const DpServiceAddress address = { .address = { 7, 80 } };
  guint64 id;

  for (guint i = 0; i < 65540; i++)
    {
      g_autofree char *name = g_strdup_printf ("s%u", i);

      dp_router_set_addresses (router, name, &address, i == 0 ? 1 : 0);
    }
  CU_ASSERT_PTR_NOT_NULL (dp_router_find (router, &address.address, &id));
  CU_ASSERT_EQUAL (id, dp_service_id ("s0"));
}

static const DpTestCase cases_[] = {
  { "the number of services is bounded", test_number_of_services },
  { "packets go to members of their own service", test_service },
  { "unknown addresses and empty services have no route", test_unknown },
  { "an older view is ignored", test_older_view },
  { "an address of two services goes to one of them", test_claimed_twice },
  { "each of many addresses is found", test_many_addresses },
  { "a sample of the flows is traced, each with all its packets", test_trace_sample },
};

DP_TEST_MAIN ("router", cases_)
