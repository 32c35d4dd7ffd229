#include "protected/flowexplanation.h"

#include "protected/clock.h"
#include "protected/packetformat.h"

static JsonObject *describe_member_ (const DpWeighedMember *member);
static void set_address_ (JsonObject *object, const char *key, const DpAddress *address);

void
dp_explanation_add_flow (JsonObject *object, const DpFlowKey *key)
{
  set_address_ (object, "service_address", &key->service);
  set_address_ (object, "client", &key->client);
}

/* The name of the service is only known from its members. */
void
dp_explanation_add_route (JsonObject *object,
                          DpPlacement *placement,
                          guint64 service_id,
                          const DpServiceAddress *address)
{
  const char *service = dp_placement_service_name (placement, service_id);
  JsonObject *route = json_object_new ();

  if (service != NULL)
    json_object_set_string_member (route, "service", service);
  json_object_set_int_member (route, "service_tag", dp_service_tag (service_id));
  json_object_set_string_member (route, "class",
                                 dp_traffic_class_string (address->class));
  json_object_set_int_member (route, "wait_limit_ms", address->wait_limit / DP_US_PER_MS);
  json_object_set_int_member (route, "deadline_ms", address->deadline / DP_US_PER_MS);
  json_object_set_object_member (object, "route", route);
}

/* The list is bounded, since the caller's thread also forwards packets. */
void
dp_explanation_add_members (JsonObject *object,
                            DpPlacement *placement,
                            guint64 service_id,
                            DpTrafficClass class,
                            guint64 flow_hash,
                            DpHandle chosen,
                            gint64 now)
{
  g_autoptr (GArray)
      weighed = dp_placement_weigh (placement, service_id, class, flow_hash, now);
  JsonArray *members = json_array_new ();

  json_object_set_null_member (object, "chosen");
  for (guint i = 0; i < weighed->len; i++)
    {
      const DpWeighedMember *member = &g_array_index (weighed, DpWeighedMember, i);

      if (member->member == chosen)
        json_object_set_string_member (object, "chosen", member->name);
      if (i < DP_EXPLANATION_MEMBERS_MAX)
        json_array_add_object_element (members, describe_member_ (member));
    }
  json_object_set_int_member (object, "n_members", weighed->len);
  json_object_set_array_member (object, "members", members);
}

void
dp_explanation_add_preview (JsonObject *object, const DpPassthroughPreview *preview)
{
  json_object_set_string_member (object, "action",
                                 dp_passthrough_action_string (preview->action));
  json_object_set_string_member (object, "reason",
                                 dp_passthrough_reason_string (preview->reason));
  if (preview->action == DP_PASSTHROUGH_TO_MEMBER)
    set_address_ (object, "member", &preview->member);
  json_object_set_int_member (object, "slots", preview->slots);
  json_object_set_int_member (object, "in_flight", preview->in_flight);
  json_object_set_int_member (object, "waiting", preview->n_waiting);
  json_object_set_int_member (object, "expected_wait_ms",
                              preview->expected_wait / DP_US_PER_MS);
  json_object_set_boolean_member (object, "serving", preview->serving);
  json_object_set_boolean_member (object, "silent", preview->silent);
}

static JsonObject *
describe_member_ (const DpWeighedMember *member)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "name", member->name);
  json_object_set_string_member (object, "zone", member->zone);
  set_address_ (object, "address", &member->address);
  json_object_set_string_member (object, "state", dp_member_state_string (member->state));
  json_object_set_boolean_member (object, "eligible", member->eligible);
  json_object_set_boolean_member (object, "silent", member->silent);
  json_object_set_boolean_member (object, "failing", member->failing);
  json_object_set_boolean_member (object, "evacuated", member->evacuated);
  json_object_set_boolean_member (object, "left_out", member->left_out);
  json_object_set_int_member (object, "slots", member->slots);
  json_object_set_int_member (object, "own_flows", member->own_flows);
  json_object_set_int_member (object, "other_flows", member->other_flows);
  json_object_set_int_member (object, "report_ms", member->report_age / DP_US_PER_MS);
  if (member->limit > 0)
    json_object_set_int_member (object, "limit", member->limit);
  if (member->speed > 0.0)
    json_object_set_double_member (object, "speed", member->speed);
  json_object_set_double_member (object, "cost", member->cost);
  return object;
}

static void
set_address_ (JsonObject *object, const char *key, const DpAddress *address)
{
  char text[DP_ADDRESS_STRLEN];

  json_object_set_string_member (object, key, dp_address_format (address, text));
}
