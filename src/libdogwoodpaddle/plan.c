#include "protected/plan.h"

#include <string.h>

#include "protected/document.h"
#include "protected/fleet.h"

static const char *const type_strings_[] = { "none", "create", "update", "delete",
                                             "conflict" };

G_STATIC_ASSERT (G_N_ELEMENTS (type_strings_) == DP_N_CHANGES);

static void add_file_objects_ (GHashTable *by_key, JsonObject *root);
static void add_file_versions_ (GHashTable *by_key, JsonObject *root);
static void add_platform_objects_ (GHashTable *by_key, GPtrArray *records);
static DpChange *find_or_add_ (GHashTable *by_key, DpKind kind, const char *name);
static void change_free_ (gpointer data);
static DpChangeType classify_ (const DpChange *change);
static gint compare_changes_ (gconstpointer a, gconstpointer b);
static guint write_order_ (const DpChange *change);
static gboolean adds_address_ (const DpChange *change);
static JsonArray *get_addresses_ (JsonNode *service);
static gint compare_records_ (gconstpointer a, gconstpointer b);
static void
add_object_ (JsonObject *root, DpKind kind, const char *name, JsonNode *value);
static JsonObject *find_or_add_section_ (JsonObject *root, const char *section);

/* Compares a fleet file with the platform's objects. The file changes an object only if
 * it names the object's current version, deletes one only if it names the current version
 * and leaves out the content, and creates an object that does not exist only if it names
 * no version of it. An object that already has the wanted content is not a conflict, so
 * that applying a file twice changes nothing. */
DpPlan *
dp_plan_new (JsonNode *file, GPtrArray *records)
{
  g_autoptr (GHashTable)
      by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  JsonObject *root = json_node_get_object (file);
  DpPlan *plan = g_new0 (DpPlan, 1);
  GHashTableIter iter;
  gpointer value;

  add_file_objects_ (by_key, root);
  add_file_versions_ (by_key, root);
  add_platform_objects_ (by_key, records);
  plan->changes = g_ptr_array_new_with_free_func (change_free_);
  g_hash_table_iter_init (&iter, by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DpChange *change = value;

      change->type = classify_ (change);
      plan->counts[change->type]++;
      g_ptr_array_add (plan->changes, change);
    }
  g_ptr_array_sort (plan->changes, compare_changes_);
  return plan;
}

/* Frees a plan. */
void
dp_plan_free (DpPlan *plan)
{
  if (plan == NULL)
    return;
  g_ptr_array_unref (plan->changes);
  g_free (plan);
}

/* Returns the fleet file that describes the platform after the plan has been carried out.
 * It includes the objects that the file does not mention, so that a check of the result
 * finds contradictions between them and the file. */
JsonNode *
dp_plan_result (const DpPlan *plan)
{
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *root = json_object_new ();

  for (guint i = 0; i < plan->changes->len; i++)
    {
      const DpChange *change = g_ptr_array_index (plan->changes, i);
      gboolean written = change->type == DP_CHANGE_CREATE
                         || change->type == DP_CHANGE_UPDATE;
      JsonNode *value = written ? change->wanted : change->current;

      if (value != NULL && change->type != DP_CHANGE_DELETE)
        add_object_ (root, change->kind, change->name, value);
    }
  find_or_add_section_ (root, dp_fleet_section_key (DP_KIND_SERVICE));
  find_or_add_section_ (root, dp_fleet_section_key (DP_KIND_EXCEPTION));
  json_node_take_object (node, root);
  return node;
}

/* Returns the fleet file that describes the platform's objects. If there is no
 * object fleet/defaults, the file has no "defaults", since empty ones would create
 * the object. */
JsonNode *
dp_plan_file_from_records (GPtrArray *records)
{
  g_autoptr (GPtrArray) sorted = g_ptr_array_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *root = json_object_new ();
  JsonObject *versions = find_or_add_section_ (root, "versions");

  for (guint i = 0; i < records->len; i++)
    g_ptr_array_add (sorted, g_ptr_array_index (records, i));
  g_ptr_array_sort (sorted, compare_records_);
  for (guint i = 0; i < sorted->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (sorted, i);
      g_autofree char *key = g_strdup_printf ("%s/%s", dp_kind_string (record->kind),
                                              record->name);
      g_autoptr (JsonNode) value = dp_record_value (record);

      if (record->deleted || dp_fleet_section_key (record->kind) == NULL)
        continue;
      json_object_set_member (versions, key, dp_position_to_json (record->position));
      add_object_ (root, record->kind, record->name, value);
    }
  find_or_add_section_ (root, dp_fleet_section_key (DP_KIND_SERVICE));
  find_or_add_section_ (root, dp_fleet_section_key (DP_KIND_EXCEPTION));
  json_node_take_object (node, root);
  return node;
}

/* Returns the name of the type. */
const char *
dp_change_type_string (DpChangeType type)
{
  g_assert (type < DP_N_CHANGES);
  return type_strings_[type];
}

static void
add_file_objects_ (GHashTable *by_key, JsonObject *root)
{
  for (guint kind = 0; kind < DP_N_KINDS; kind++)
    {
      const char *section = dp_fleet_section_key ((DpKind) kind);
      JsonNode *node = section == NULL ? NULL : json_object_get_member (root, section);
      JsonObjectIter iter;
      const char *name;
      JsonNode *value;

      if (node == NULL)
        continue;
      if (kind == DP_KIND_FLEET)
        {
          find_or_add_ (by_key, DP_KIND_FLEET, DP_FLEET_DEFAULTS)->wanted =
              json_node_ref (node);
          continue;
        }
      json_object_iter_init (&iter, json_node_get_object (node));
      while (json_object_iter_next (&iter, &name, &value))
        find_or_add_ (by_key, (DpKind) kind, name)->wanted = json_node_ref (value);
    }
}

static void
add_file_versions_ (GHashTable *by_key, JsonObject *root)
{
  JsonNode *node = json_object_get_member (root, "versions");
  JsonObjectIter iter;
  const char *key;
  JsonNode *value;

  if (node == NULL)
    return;
  json_object_iter_init (&iter, json_node_get_object (node));
  while (json_object_iter_next (&iter, &key, &value))
    {
      const char *slash = strchr (key, '/');
      g_autofree char *text = g_strndup (key, slash == NULL ? 0 : (gsize) (slash - key));
      DpPosition version;
      DpKind kind;

      if (slash != NULL && dp_kind_parse (text, &kind)
          && dp_position_from_json (value, &version))
        find_or_add_ (by_key, kind, slash + 1)->file_version = version;
    }
}

static void
add_platform_objects_ (GHashTable *by_key, GPtrArray *records)
{
  for (guint i = 0; i < records->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (records, i);
      DpChange *change;

      if (record->deleted || dp_fleet_section_key (record->kind) == NULL)
        continue;
      change = find_or_add_ (by_key, record->kind, record->name);
      change->platform_version = record->position;
      change->current = dp_record_value (record);
    }
}

static DpChange *
find_or_add_ (GHashTable *by_key, DpKind kind, const char *name)
{
  char *key = g_strdup_printf ("%u/%s", (guint) kind, name);
  DpChange *change = g_hash_table_lookup (by_key, key);

  if (change != NULL)
    {
      g_free (key);
      return change;
    }
  change = g_new0 (DpChange, 1);
  change->kind = kind;
  change->name = g_strdup (name);
  g_hash_table_insert (by_key, key, change);
  return change;
}

static void
change_free_ (gpointer data)
{
  DpChange *change = data;

  g_free (change->name);
  g_clear_pointer (&change->wanted, json_node_unref);
  g_clear_pointer (&change->current, json_node_unref);
  g_free (change);
}

static DpChangeType
classify_ (const DpChange *change)
{
  gboolean has_file_version = change->file_version != 0;

  if (change->wanted == NULL)
    {
      if (!has_file_version || change->current == NULL)
        return DP_CHANGE_NONE;
      return change->file_version == change->platform_version ? DP_CHANGE_DELETE
                                                              : DP_CHANGE_CONFLICT;
    }
  if (change->current == NULL)
    return has_file_version ? DP_CHANGE_CONFLICT : DP_CHANGE_CREATE;
  if (json_node_equal (change->wanted, change->current))
    return DP_CHANGE_NONE;
  return change->file_version == change->platform_version ? DP_CHANGE_UPDATE
                                                          : DP_CHANGE_CONFLICT;
}

static gint
compare_changes_ (gconstpointer a, gconstpointer b)
{
  const DpChange *x = *(const DpChange *const *) a;
  const DpChange *y = *(const DpChange *const *) b;
  guint order_x = write_order_ (x);
  guint order_y = write_order_ (y);

  if (order_x != order_y)
    return order_x < order_y ? -1 : 1;
  return g_strcmp0 (x->name, y->name);
}

/* Returns the position of the change in the order of writing. The objects are written one
 * after the other, so the configuration has to be valid after each step: an address is
 * removed from its old service before it is added to the new one, a new exception is
 * written before the defaults from which it differs, and an ended one is deleted after
 * them. */
static guint
write_order_ (const DpChange *change)
{
  gboolean is_delete = change->type == DP_CHANGE_DELETE;

  switch (change->kind)
    {
    case DP_KIND_SERVICE:
      if (is_delete)
        return 0;
      return adds_address_ (change) ? 2 : 1;
    case DP_KIND_EXCEPTION:
      return is_delete ? 5 : 3;
    default:
      return 4;
    }
}

static gboolean
adds_address_ (const DpChange *change)
{
  JsonArray *wanted = get_addresses_ (change->wanted);
  JsonArray *current = get_addresses_ (change->current);
  guint n_current = current == NULL ? 0 : json_array_get_length (current);

  for (guint i = 0; wanted != NULL && i < json_array_get_length (wanted); i++)
    {
      JsonNode *node = json_array_get_element (wanted, i);
      guint k = 0;

      while (k < n_current
             && !json_node_equal (node, json_array_get_element (current, k)))
        k++;
      if (k == n_current)
        return TRUE;
    }
  return FALSE;
}

static JsonArray *
get_addresses_ (JsonNode *service)
{
  JsonNode *node;

  if (service == NULL || !JSON_NODE_HOLDS_OBJECT (service))
    return NULL;
  node = json_object_get_member (json_node_get_object (service), "addresses");
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

static gint
compare_records_ (gconstpointer a, gconstpointer b)
{
  const DpRecord *x = *(const DpRecord *const *) a;
  const DpRecord *y = *(const DpRecord *const *) b;

  if (x->kind != y->kind)
    return x->kind < y->kind ? -1 : 1;
  return g_strcmp0 (x->name, y->name);
}

static void
add_object_ (JsonObject *root, DpKind kind, const char *name, JsonNode *value)
{
  const char *section = dp_fleet_section_key (kind);

  if (kind == DP_KIND_FLEET)
    json_object_set_member (root, section, json_node_copy (value));
  else
    json_object_set_member (find_or_add_section_ (root, section), name,
                            json_node_copy (value));
}

static JsonObject *
find_or_add_section_ (JsonObject *root, const char *section)
{
  if (!json_object_has_member (root, section))
    json_object_set_object_member (root, section, json_object_new ());
  return json_object_get_object_member (root, section);
}
