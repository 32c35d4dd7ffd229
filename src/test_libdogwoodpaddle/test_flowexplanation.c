/* Guards against explanations that differ from the choice that is made, and against
 * explaining that changes later choices. */
#include <string.h>

#include "protected/clock.h"
#include "protected/flowexplanation.h"
#include "protected/packetformat.h"
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
                     .interval_ms = 100 };
}

/* Returns the chosen member and its explanation as JSON. */
static char *
explain (DpPlacement *placement,
         DpTrafficClass class,
         guint64 hash,
         gint64 now,
         DpHandle *chosen)
{
  const guint64 service = dp_service_id (SERVICE);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();

  *chosen = dp_placement_choose (placement, service, class, hash, now);
  dp_explanation_add_members (object, placement, service, class, hash, *chosen, now);
  json_node_take_object (node, object);
  return json_to_string (node, FALSE);
}

/* Checks that the text has the part, and returns the text from there on. */
static const char *
find (const char *text, const char *part)
{
  const char *found = strstr (text, part);

  CU_ASSERT_PTR_NOT_NULL (found);
  return found == NULL ? "" : found;
}

static void
test_json (void)
{
  const DpServiceAddress address = {
    { 0xc6120001, 443 }, DP_TRAFFIC_INTERACTIVE, 75 * MS, 2500 * MS
  };
  const DpFlowKey key = { { 0x64400006, 1025 }, address.address };
  g_autoptr (DpPlacement) placement = dp_placement_new ("riga-a");
  DpReport report = make_report ("a-1", "riga-a", 0x0a010001, 1);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();
  g_autofree char *members = NULL;
  g_autofree char *flow = NULL;
  g_autofree char *route = NULL;
  DpHandle chosen;

  dp_placement_set_learned (placement, TRUE);
  dp_placement_apply_report (placement, &report, 0);
  report = make_report ("b-1", "riga-b", 0x0a020001, 0);
  report.limit = 4;
  report.failing = TRUE;
  dp_placement_apply_report (placement, &report, 10 * MS);
  members = explain (placement, DP_TRAFFIC_INTERACTIVE, 7, 20 * MS, &chosen);
  dp_placement_flow_opened (placement, chosen);
  CU_ASSERT_STRING_EQUAL (
      members,
      "{\"chosen\":\"a-1\",\"n_members\":2,\"members\":["
      "{\"name\":\"a-1\",\"zone\":\"riga-a\",\"address\":\"10.1.0.1:7000\","
      "\"state\":\"active\",\"eligible\":true,\"silent\":false,\"failing\":false,"
      "\"evacuated\":false,\"left_out\":false,\"slots\":2,\"own_flows\":0,"
      "\"other_flows\":1,\"report_ms\":20,\"speed\":1.0,\"cost\":1.0},"
      "{\"name\":\"b-1\",\"zone\":\"riga-b\",\"address\":\"10.2.0.1:7000\","
      "\"state\":\"active\",\"eligible\":true,\"silent\":false,\"failing\":true,"
      "\"evacuated\":false,\"left_out\":false,\"slots\":2,\"own_flows\":0,"
      "\"other_flows\":0,\"report_ms\":10,\"limit\":4,\"speed\":1.0,\"cost\":17.25}]}");
  g_free (members);
  members = explain (placement, DP_TRAFFIC_INTERACTIVE, 7, 20 * MS, &chosen);
  find (members, "\"own_flows\":1,\"other_flows\":1");

  dp_explanation_add_flow (object, &key);
  dp_explanation_add_route (object, placement, dp_service_id (SERVICE), &address);
  json_node_take_object (node, object);
  flow = json_to_string (node, FALSE);
  route = g_strdup_printf ("{\"service_address\":\"198.18.0.1:443\","
                           "\"client\":\"100.64.0.6:1025\",\"route\":{"
                           "\"service\":\"darbnica\",\"service_tag\":%u,"
                           "\"class\":\"interactive\",\"wait_limit_ms\":75,"
                           "\"deadline_ms\":2500}}",
                           dp_service_tag (dp_service_id (SERVICE)));
  CU_ASSERT_STRING_EQUAL (flow, route);
}

/* Members that are never chosen, and a silent one, must say why, behind the others. */
static void
test_members_not_chosen (void)
{
  g_autoptr (DpEvacuations) evacuations = dp_evacuations_new ();
  const DpEvacuationEntry entry = { "riga-b", 5, TRUE, 0 };
  g_autoptr (DpPlacement) placement = dp_placement_new ("riga-a");
  const DpReport reports[] = {
    make_report ("b-1", "riga-b", 1, 0),
    make_report (SAME_ID_FIRST, "riga-a", 2, 9),
    make_report (SAME_ID_SECOND, "riga-a", 3, 0),
  };
  DpReport leaving = make_report ("a-1", "riga-a", 4, 0);
  DpReport silent = make_report ("a-2", "riga-a", 5, 0);
  g_autofree char *text = NULL;
  const char *place;
  DpHandle chosen;

  text = explain (placement, DP_TRAFFIC_BULK, 1, 0, &chosen);
  CU_ASSERT_STRING_EQUAL (text, "{\"chosen\":null,\"n_members\":0,\"members\":[]}");
  g_free (text);
  leaving.state = DP_MEMBER_LEAVING;
  dp_placement_apply_report (placement, &silent, 0);
  for (guint i = 0; i < G_N_ELEMENTS (reports); i++)
    dp_placement_apply_report (placement, &reports[i], 900 * MS);
  dp_placement_apply_report (placement, &leaving, 900 * MS);
  dp_evacuations_apply (evacuations, &entry, DP_EVACUATION_FROM_PEER, 900 * MS);
  dp_placement_set_evacuations (placement, evacuations, 900 * MS);
  text = explain (placement, DP_TRAFFIC_INTERACTIVE, 1, 1000 * MS, &chosen);
  find (text, "{\"chosen\":\"" SAME_ID_FIRST "\",");
  place = find (text, "\"members\":[{\"name\":\"" SAME_ID_FIRST "\"");
  place = find (place, "{\"name\":\"a-2\"");
  place = find (place, "\"eligible\":true,\"silent\":true");
  find (place, "\"evacuated\":true,\"left_out\":false");
  find (place, "\"evacuated\":false,\"left_out\":true");
  find (place, "\"state\":\"leaving\",\"eligible\":false");
}

/* Two placements get the same reports and flows; one of them is also explained. Their
 * choices must be the same, and the explanation must name the choice and list it first.
 */
static void
test_explaining_changes_nothing (void)
{
  const guint64 service = dp_service_id (SERVICE);
  g_autoptr (GRand) rand = g_rand_new_with_seed (11);
  g_autoptr (DpPlacement) plain = dp_placement_new ("riga-a");
  g_autoptr (DpPlacement) explained = dp_placement_new ("riga-a");
  DpPlacement *const placements[] = { plain, explained };

  dp_placement_set_learned (plain, TRUE);
  dp_placement_set_learned (explained, TRUE);
  for (guint i = 0; i < 2000; i++)
    {
      const gint64 now = (i + 1) * 17 * MS;
      const guint64 hash = g_rand_int (rand);
      const DpTrafficClass class = (DpTrafficClass) (hash % DP_N_TRAFFIC_CLASSES);
      const guint32 ip = (guint32) g_rand_int_range (rand, 1, 9);
      g_autofree char *name = g_strdup_printf ("m-%u", ip);
      DpReport report = make_report (name, ip < 5 ? "riga-a" : "riga-b", ip,
                                     (guint32) g_rand_int_range (rand, 0, 6));
      g_autofree char *first = NULL;
      DpHandle chosen[2];

      report.limit = (guint32) g_rand_int_range (rand, 0, 5);
      report.service_times[0] = (guint32) g_rand_int_range (rand, 1, 100000);
      report.failing = g_rand_int_range (rand, 0, 8) == 0;
      report.state = g_rand_int_range (rand, 0, 8) == 0 ? DP_MEMBER_LEAVING
                                                        : DP_MEMBER_ACTIVE;
      for (guint p = 0; p < G_N_ELEMENTS (placements); p++)
        {
          dp_placement_apply_report (placements[p], &report, now);
          dp_placement_expire (placements[p], now);
        }
      for (guint k = 0; k < 3; k++)
        {
          g_autofree char *text = explain (explained, class, hash + k, now, &chosen[1]);

          if (k == 0)
            first = g_steal_pointer (&text);
        }
      for (guint p = 0; p < G_N_ELEMENTS (placements); p++)
        {
          chosen[p] = dp_placement_choose (placements[p], service, class, hash, now);
          dp_placement_flow_opened (placements[p], chosen[p]);
        }
      CU_ASSERT_EQUAL_FATAL (chosen[0], chosen[1]);
      if (chosen[1] != DP_HANDLE_NONE)
        {
          g_autoptr (JsonNode) node = json_from_string (first, NULL);
          JsonObject *object = json_node_get_object (node);
          JsonObject *member = json_array_get_object_element (
              json_object_get_array_member (object, "members"), 0);

          CU_ASSERT_STRING_EQUAL (json_object_get_string_member (object, "chosen"),
                                  json_object_get_string_member (member, "name"));
        }
    }
}

/* A long list would hold up the packets of a balancer. */
static void
test_list_is_bounded (void)
{
  g_autoptr (DpPlacement) placement = dp_placement_new ("riga-a");
  g_autoptr (JsonNode) node = NULL;
  g_autofree char *text = NULL;
  JsonObject *object;
  DpHandle chosen;

  for (guint i = 1; i <= DP_EXPLANATION_MEMBERS_MAX + 5; i++)
    {
      g_autofree char *name = g_strdup_printf ("m-%u", i);
      const DpReport report = make_report (name, "riga-a", i, 0);

      dp_placement_apply_report (placement, &report, 0);
    }
  text = explain (placement, DP_TRAFFIC_URGENT, 3, MS, &chosen);
  node = json_from_string (text, NULL);
  object = json_node_get_object (node);
  CU_ASSERT_EQUAL (json_object_get_int_member (object, "n_members"),
                   DP_EXPLANATION_MEMBERS_MAX + 5);
  CU_ASSERT_EQUAL (
      json_array_get_length (json_object_get_array_member (object, "members")),
      DP_EXPLANATION_MEMBERS_MAX);
}

static const DpTestCase cases_[] = {
  { "a placement as JSON", test_json },
  { "members that are not chosen say why", test_members_not_chosen },
  { "explaining changes no choice", test_explaining_changes_nothing },
  { "the list of members is bounded", test_list_is_bounded },
};

DP_TEST_MAIN ("flowexplanation", cases_)
