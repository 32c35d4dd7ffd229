#include "protected/memberview.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "protected/clock.h"
#include "protected/error.h"

#define NAME_MAX_BYTES 63
#define SLOTS_MAX 1024
#define CONNECTIONS_MAX 100000
#define PORT_MAX 65535
/* Interval between log lines about members that are left out, and the most lines at a
 * time. The condition lasts until an operator renames a member. */
#define LEFT_OUT_LOG_INTERVAL_US (60 * DP_US_PER_S)
#define LEFT_OUT_LINES_MAX 8

static const char *const state_strings_[] = { "joining", "active", "leaving" };

G_STATIC_ASSERT (G_N_ELEMENTS (state_strings_) == DP_N_MEMBER_STATES);

static void separate_left_out_ (DpMemberView *view, const DpMember *members, guint n);
static const DpMember *find_first_ (const DpMember *members, guint n, guint32 id);
static int compare_members_ (gconstpointer a, gconstpointer b);
static int compare_id_ (gconstpointer key, gconstpointer member);
static void clear_member_ (gpointer data);
static GArray *new_members_ (void);
static const char *get_string_ (JsonObject *object, const char *key);
static gboolean
get_integer_ (JsonObject *object, const char *key, gint64 min, gint64 max, gint64 *value);
static const char *parse_member_ (JsonNode *node, DpMember *member);

/* Returns the id of a member: the low 32 bits of XXH64 of its name. */
guint32
dp_member_id (const char *name)
{
  return (guint32) XXH64 (name, strlen (name), 0);
}

/* Returns the id of a service: XXH64 of its name. */
guint64
dp_service_id (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

/* Returns the name of the state, as in the value of members/SERVICE. */
const char *
dp_member_state_string (DpMemberState state)
{
  g_assert (state < DP_N_MEMBER_STATES);
  return state_strings_[state];
}

/* Creates a view with copies of the members. Their ids are set from their names. Two
 * names with the same id are rare, but names come from outside: of members with the same
 * id, the first one stays and the others are left out. */
DpMemberView *
dp_member_view_new (const char *service,
                    DpPosition revision,
                    const DpMember *members,
                    guint n_members)
{
  DpMemberView *view = g_new0 (DpMemberView, 1);

  g_ref_count_init (&view->refs);
  view->service = g_strdup (service);
  view->service_id = dp_service_id (service);
  view->revision = revision;
  view->members = g_new0 (DpMember, n_members + 1);
  for (guint i = 0; i < n_members; i++)
    {
      DpMember *m = &view->members[i];

      *m = members[i];
      m->id = dp_member_id (members[i].name);
      m->name = g_strdup (members[i].name);
      m->zone = g_strdup (members[i].zone != NULL ? members[i].zone : "");
    }
  qsort (view->members, n_members, sizeof (DpMember), compare_members_);
  separate_left_out_ (view, members, n_members);
  return view;
}

/* Creates a view from the value of members/SERVICE. Fails with DP_ERROR_INVALID if that
 * is no list, or with DP_ERROR_LIMIT if there are too many members. Members that are
 * malformed, out of range or listed before (two names with the same id count as one) are
 * left out with a warning, so that one odd entry doesn't hide changes of the others.
 * Unknown keys are ignored, so that a later version of the software can add some. */
DpMemberView *
dp_member_view_new_from_json (const char *service,
                              DpPosition revision,
                              JsonNode *value,
                              GError **error)
{
  g_autoptr (GArray) members = new_members_ ();
  g_autoptr (GHashTable) ids = g_hash_table_new (NULL, NULL);
  JsonNode *list = NULL;
  JsonArray *array;

  if (value != NULL && JSON_NODE_HOLDS_OBJECT (value))
    list = json_object_get_member (json_node_get_object (value), "members");
  if (list == NULL || !JSON_NODE_HOLDS_ARRAY (list))
    {
      dp_error_set (error, DP_ERROR_INVALID, "member list", service,
                    "\"members\" is not an array");
      return NULL;
    }
  array = json_node_get_array (list);
  if (json_array_get_length (array) > DP_MEMBER_VIEW_MAX_MEMBERS)
    {
      dp_error_set (error, DP_ERROR_LIMIT, "member list", service,
                    "$.members has more than %d members", DP_MEMBER_VIEW_MAX_MEMBERS);
      return NULL;
    }
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      DpMember member = { 0 };
      const char *fault = parse_member_ (json_array_get_element (array, i), &member);

      if (fault == NULL
          && !g_hash_table_add (ids, GUINT_TO_POINTER (dp_member_id (member.name))))
        fault = "another member has the same id";
      if (fault != NULL)
        {
          g_warning ("member list of service %s: $.members[%u] is left out: %s", service,
                     i, fault);
          continue;
        }
      member.name = g_strdup (member.name);
      member.zone = g_strdup (member.zone);
      g_array_append_val (members, member);
    }
  return dp_member_view_new (service, revision, (const DpMember *) (void *) members->data,
                             members->len);
}

/* Returns the view as the value of members/SERVICE. */
JsonNode *
dp_member_view_to_json (const DpMemberView *view)
{
  JsonObject *object = json_object_new ();
  JsonArray *array = json_array_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);

  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];
      JsonObject *item = json_object_new ();
      DpAddress address = m->address;
      char text[DP_ADDRESS_STRLEN];

      dp_address_format (&address, text);
      *strchr (text, ':') = '\0';
      json_object_set_string_member (item, "name", m->name);
      json_object_set_string_member (item, "zone", m->zone);
      json_object_set_string_member (item, "ip", text);
      json_object_set_int_member (item, "port", m->address.port);
      json_object_set_int_member (item, "slots", m->slots);
      json_object_set_int_member (item, "connections", m->connections);
      json_object_set_string_member (item, "state", dp_member_state_string (m->state));
      if (m->held)
        json_object_set_boolean_member (item, "held", TRUE);
      json_object_set_int_member (item, "incarnation", (gint64) m->incarnation);
      json_array_add_object_element (array, item);
    }
  json_object_set_array_member (object, "members", array);
  json_node_take_object (node, object);
  return node;
}

const char *
dp_member_entry_fault (JsonNode *node)
{
  DpMember member = { 0 };

  return parse_member_ (node, &member);
}

/* Adds a reference. */
DpMemberView *
dp_member_view_ref (DpMemberView *view)
{
  g_ref_count_inc (&view->refs);
  return view;
}

/* Drops a reference; the last one frees the view. */
void
dp_member_view_unref (DpMemberView *view)
{
  if (view == NULL || !g_ref_count_dec (&view->refs))
    return;
  for (guint i = 0; i < view->n_members + view->n_left_out; i++)
    clear_member_ (&view->members[i]);
  g_free (view->members);
  g_free (view->service);
  g_free (view);
}

/* Returns the member with the id, or NULL. */
const DpMember *
dp_member_view_find (const DpMemberView *view, guint32 id)
{
  return bsearch (&id, view->members, view->n_members, sizeof (DpMember), compare_id_);
}

/* Logs the members that are left out, at most LEFT_OUT_LINES_MAX of them once in
 * LEFT_OUT_LOG_INTERVAL_US. */
void
dp_member_view_log_left_out (const DpMemberView *view, gint64 *logged_at, gint64 now)
{
  if (view->n_left_out == 0
      || (*logged_at != 0 && now - *logged_at < LEFT_OUT_LOG_INTERVAL_US))
    return;
  *logged_at = now;
  for (guint i = 0; i < MIN (view->n_left_out, LEFT_OUT_LINES_MAX); i++)
    {
      const DpMember *m = &view->left_out[i];

      g_critical ("member %s of service %s is left out: its id %08x is that of member "
                  "%s; start one of them under another name or address (%u left out)",
                  m->name, view->service, m->id, dp_member_view_find (view, m->id)->name,
                  view->n_left_out);
    }
}

/* Moves members with the id of another one behind those that stay. members: the n members
 * as given by the caller. */
static void
separate_left_out_ (DpMemberView *view, const DpMember *members, guint n)
{
  g_autoptr (GArray) left_out = g_array_new (FALSE, FALSE, sizeof (DpMember));

  for (guint i = 0; i < n; i++)
    {
      const DpMember m = view->members[i];
      const gboolean taken = view->n_members > 0
                             && view->members[view->n_members - 1].id == m.id;
      const gboolean shared = i + 1 < n && view->members[i + 1].id == m.id;

      if (!taken
          && (!shared || g_str_equal (find_first_ (members, n, m.id)->name, m.name)))
        {
          view->members[view->n_members++] = m;
          continue;
        }
      g_array_append_val (left_out, m);
    }
  view->left_out = &view->members[view->n_members];
  view->n_left_out = left_out->len;
  if (left_out->len > 0)
    memcpy (view->left_out, left_out->data, left_out->len * sizeof (DpMember));
}

/* Returns the first of n members with the id. */
static const DpMember *
find_first_ (const DpMember *members, guint n, guint32 id)
{
  for (guint i = 0; i < n; i++)
    if (dp_member_id (members[i].name) == id)
      return &members[i];
  return NULL;
}

static int
compare_members_ (gconstpointer a, gconstpointer b)
{
  guint32 x = ((const DpMember *) a)->id;
  guint32 y = ((const DpMember *) b)->id;

  return (x > y) - (x < y);
}

static int
compare_id_ (gconstpointer key, gconstpointer member)
{
  guint32 x = *(const guint32 *) key;
  guint32 y = ((const DpMember *) member)->id;

  return (x > y) - (x < y);
}

static void
clear_member_ (gpointer data)
{
  DpMember *member = data;

  g_free (member->name);
  g_free (member->zone);
}

static GArray *
new_members_ (void)
{
  GArray *members = g_array_new (FALSE, TRUE, sizeof (DpMember));

  g_array_set_clear_func (members, clear_member_);
  return members;
}

/* Returns the string under the key, or NULL if it is missing, empty, too long or not a
 * string. */
static const char *
get_string_ (JsonObject *object, const char *key)
{
  JsonNode *node = json_object_get_member (object, key);
  const char *text;

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  text = json_node_get_string (node);
  return *text == '\0' || strlen (text) > NAME_MAX_BYTES ? NULL : text;
}

static gboolean
get_integer_ (JsonObject *object, const char *key, gint64 min, gint64 max, gint64 *value)
{
  JsonNode *node = json_object_get_member (object, key);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64)
    return FALSE;
  *value = json_node_get_int (node);
  return *value >= min && *value <= max;
}

/* Fills in the member; its strings stay owned by the node. Returns a description of what
 * is wrong, or NULL. */
static const char *
parse_member_ (JsonNode *node, DpMember *member)
{
  JsonObject *object;
  const char *text;
  gint64 number;
  guint state;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return "not an object";
  object = json_node_get_object (node);
  member->name = (char *) get_string_ (object, "name");
  if (member->name == NULL)
    return "\"name\" is not a string of 1 to 63 bytes";
  member->zone = (char *) get_string_ (object, "zone");
  if (member->zone == NULL)
    return "\"zone\" is not a string of 1 to 63 bytes";
  text = get_string_ (object, "ip");
  if (text == NULL || !dp_ip_parse (text, &member->address.ip, NULL))
    return "\"ip\" is not an IPv4 address";
  if (!get_integer_ (object, "port", 1, PORT_MAX, &number))
    return "\"port\" is not in 1..65535";
  member->address.port = (guint16) number;
  if (!get_integer_ (object, "slots", 1, SLOTS_MAX, &number))
    return "\"slots\" is not in 1..1024";
  member->slots = (guint32) number;
  if (!get_integer_ (object, "connections", 1, CONNECTIONS_MAX, &number))
    return "\"connections\" is not in 1..100000";
  member->connections = (guint32) number;
  if (!get_integer_ (object, "incarnation", 0, G_MAXINT64, &number))
    return "\"incarnation\" is not a number of at least 0";
  member->incarnation = (guint64) number;
  text = get_string_ (object, "state");
  for (state = 0; text != NULL && state < DP_N_MEMBER_STATES; state++)
    {
      if (strcmp (text, state_strings_[state]) == 0)
        break;
    }
  if (text == NULL || state == DP_N_MEMBER_STATES)
    return "\"state\" is not joining, active or leaving";
  member->state = (DpMemberState) state;
  node = json_object_get_member (object, "held");
  if (node != NULL && json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return "\"held\" is not true or false";
  member->held = node != NULL && json_node_get_boolean (node);
  return NULL;
}
