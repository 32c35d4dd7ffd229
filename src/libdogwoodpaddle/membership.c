#include "protected/membership.h"

#include <string.h>

#include "protected/json.h"

#define MEMBERS_KEY "members"
/* In the object: a list of held names that have no entry. In an entry: TRUE if held. */
#define HELD_KEY "held"

static JsonNode *copy_value_ (JsonNode *value);
static JsonObject *entry_at_ (JsonArray *members, guint i);
static gboolean is_named_ (JsonObject *entry, const char *name);
static JsonNode *make_entry_ (const DpMember *member, gboolean held);
static gboolean in_held_list_ (JsonObject *object, const char *name);
static void set_in_held_list_ (JsonObject *object, const char *name, gboolean held);
static gboolean parse_state_ (const char *text, DpMemberState *state);

/* Finds the member's entry. Without one, returns TRUE and entry->present is FALSE. An
 * entry that is malformed, which only another writer leaves, counts as one of incarnation
 * 0: its member then replaces it. */
gboolean
dp_membership_find (JsonNode *value, const char *name, DpMembershipEntry *entry)
{
  JsonObject *object = dp_json_get_object (value);
  JsonArray *members = dp_json_get_array (object, MEMBERS_KEY);

  memset (entry, 0, sizeof *entry);
  if (value == NULL)
    return TRUE;
  if (members == NULL)
    return FALSE;
  entry->held = in_held_list_ (object, name);
  for (guint i = 0; i < json_array_get_length (members); i++)
    {
      JsonObject *found = entry_at_ (members, i);

      if (!is_named_ (found, name))
        continue;
      entry->present = TRUE;
      if (dp_member_entry_fault (json_array_get_element (members, i)) == NULL)
        {
          parse_state_ (dp_json_get_string (found, "state"), &entry->state);
          dp_json_get_uint (found, "incarnation", &entry->incarnation);
          entry->incarnation = MIN (entry->incarnation, DP_INCARNATION_MAX);
        }
      entry->held = entry->held || dp_json_get_boolean (found, HELD_KEY, FALSE);
      return TRUE;
    }
  return TRUE;
}

/* Adds or replaces the member's entry. */
JsonNode *
dp_membership_put (JsonNode *value, const DpMember *member)
{
  JsonNode *copy;
  JsonObject *object;
  JsonArray *members;
  JsonArray *changed_list;
  DpMembershipEntry entry;
  gboolean replaced = FALSE;

  if (!dp_membership_find (value, member->name, &entry))
    return NULL;
  copy = copy_value_ (value);
  object = json_node_get_object (copy);
  members = dp_json_get_array (object, MEMBERS_KEY);
  changed_list = json_array_new ();
  for (guint i = 0; i < json_array_get_length (members); i++)
    {
      if (!is_named_ (entry_at_ (members, i), member->name))
        json_array_add_element (changed_list, json_array_dup_element (members, i));
      else if (!replaced)
        {
          json_array_add_element (changed_list, make_entry_ (member, entry.held));
          replaced = TRUE;
        }
    }
  if (!replaced)
    json_array_add_element (changed_list, make_entry_ (member, entry.held));
  json_object_set_array_member (object, MEMBERS_KEY, changed_list);
  set_in_held_list_ (object, member->name, FALSE);
  return copy;
}

/* Removes the member's entry unless it is of a later incarnation. */
JsonNode *
dp_membership_remove (JsonNode *value, const char *name, guint64 incarnation)
{
  JsonNode *copy;
  JsonObject *object;
  JsonArray *members;
  JsonArray *changed_list;
  DpMembershipEntry entry;

  if (!dp_membership_find (value, name, &entry) || !entry.present
      || entry.incarnation > incarnation)
    return NULL;
  copy = copy_value_ (value);
  object = json_node_get_object (copy);
  members = dp_json_get_array (object, MEMBERS_KEY);
  changed_list = json_array_new ();
  for (guint i = 0; i < json_array_get_length (members); i++)
    {
      if (!is_named_ (entry_at_ (members, i), name))
        json_array_add_element (changed_list, json_array_dup_element (members, i));
    }
  json_object_set_array_member (object, MEMBERS_KEY, changed_list);
  set_in_held_list_ (object, name, entry.held);
  return copy;
}

/* Ends the hold of a member that has no entry. */
gboolean
dp_membership_release_hold (JsonNode *value, const char *name)
{
  JsonObject *object = dp_json_get_object (value);

  if (object == NULL || !in_held_list_ (object, name))
    return FALSE;
  set_in_held_list_ (object, name, FALSE);
  return TRUE;
}

static JsonNode *
copy_value_ (JsonNode *value)
{
  JsonObject *object = json_object_new ();
  JsonNode *copy = json_node_new (JSON_NODE_OBJECT);

  if (value == NULL)
    json_object_set_array_member (object, MEMBERS_KEY, json_array_new ());
  else
    {
      JsonObjectIter iter;
      const char *key;
      JsonNode *member;

      json_object_iter_init (&iter, json_node_get_object (value));
      while (json_object_iter_next (&iter, &key, &member))
        json_object_set_member (object, key, json_node_copy (member));
    }
  json_node_take_object (copy, object);
  return copy;
}

static JsonObject *
entry_at_ (JsonArray *members, guint i)
{
  return dp_json_get_object (json_array_get_element (members, i));
}

static gboolean
is_named_ (JsonObject *entry, const char *name)
{
  return g_strcmp0 (dp_json_get_string (entry, "name"), name) == 0;
}

static JsonNode *
make_entry_ (const DpMember *member, gboolean held)
{
  DpMemberState state = held ? DP_MEMBER_LEAVING : member->state;
  guint32 ip = member->address.ip;
  g_autofree char *ip_text = g_strdup_printf ("%u.%u.%u.%u", ip >> 24, (ip >> 16) & 0xff,
                                              (ip >> 8) & 0xff, ip & 0xff);
  JsonObject *entry = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);

  json_object_set_string_member (entry, "name", member->name);
  json_object_set_string_member (entry, "zone", member->zone);
  json_object_set_string_member (entry, "ip", ip_text);
  json_object_set_int_member (entry, "port", member->address.port);
  json_object_set_int_member (entry, "slots", member->slots);
  json_object_set_int_member (entry, "connections", member->connections);
  json_object_set_string_member (entry, "state", dp_member_state_string (state));
  if (held)
    json_object_set_boolean_member (entry, HELD_KEY, TRUE);
  json_object_set_int_member (entry, "incarnation", (gint64) member->incarnation);
  json_node_take_object (node, entry);
  return node;
}

static gboolean
in_held_list_ (JsonObject *object, const char *name)
{
  JsonArray *names = dp_json_get_array (object, HELD_KEY);

  for (guint i = 0; names != NULL && i < json_array_get_length (names); i++)
    {
      JsonNode *node = json_array_get_element (names, i);

      if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_STRING
          && g_str_equal (json_node_get_string (node), name))
        return TRUE;
    }
  return FALSE;
}

static void
set_in_held_list_ (JsonObject *object, const char *name, gboolean held)
{
  JsonArray *names = dp_json_get_array (object, HELD_KEY);
  JsonArray *changed_list;

  if (in_held_list_ (object, name) == held)
    return;
  changed_list = json_array_new ();
  for (guint i = 0; names != NULL && i < json_array_get_length (names); i++)
    {
      JsonNode *node = json_array_get_element (names, i);

      if (g_strcmp0 (json_node_get_string (node), name) != 0)
        json_array_add_element (changed_list, json_node_copy (node));
    }
  if (held)
    json_array_add_string_element (changed_list, name);
  if (json_array_get_length (changed_list) > 0)
    {
      json_object_set_array_member (object, HELD_KEY, changed_list);
      return;
    }
  json_array_unref (changed_list);
  json_object_remove_member (object, HELD_KEY);
}

static gboolean
parse_state_ (const char *text, DpMemberState *state)
{
  for (guint i = 0; i < DP_N_MEMBER_STATES; i++)
    {
      if (g_strcmp0 (text, dp_member_state_string ((DpMemberState) i)) == 0)
        {
          *state = (DpMemberState) i;
          return TRUE;
        }
    }
  return FALSE;
}
