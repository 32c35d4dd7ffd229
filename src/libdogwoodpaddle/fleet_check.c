/* Validation of a complete fleet file; part of the fleet module. */
#include <string.h>

#include "private/fleet_keys.h"

#define MAX_REASON_CHARS 1000
/* Keeps a service's addresses far below the platform's limit of 1 MB per value. */
#define MAX_ADDRESSES 1000
/* With less than two heartbeat intervals, a single late heartbeat would make a healthy
 * member suspected. */
#define MIN_SUSPECT_HEARTBEATS 2

typedef struct
{
  GPtrArray *faults;
  JsonObject *defaults;   /* NULL: none */
  JsonObject *services;   /* NULL: none */
  JsonObject *exceptions; /* NULL: none */
  GHashTable *addresses;  /* "IP:PORT" to the JSON path that uses it */
  GHashTable *scopes;     /* "SERVICE HOST KEY" to the name of the exception */
} Check;

typedef void (*CheckEntry) (Check *check,
                            const char *name,
                            JsonNode *node,
                            const char *path);

static void check_root_ (Check *check, JsonObject *root);
static JsonObject *get_section_ (Check *check, JsonObject *root, const char *key);
static void check_versions_ (Check *check, JsonObject *versions);
static gboolean is_object_key_ (const char *key);
static void check_entries_ (Check *check,
                            JsonObject *section,
                            const char *path,
                            CheckEntry check_entry);
static void
check_service_ (Check *check, const char *name, JsonNode *node, const char *path);
static void check_address_ (Check *check, JsonNode *node, const char *path);
static void
check_exception_ (Check *check, const char *name, JsonNode *node, const char *path);
static void
check_scope_ (Check *check, const char *name, JsonObject *exception, const char *path);
static void check_reason_ (Check *check, JsonObject *exception, const char *path);
static void check_set_ (Check *check, JsonObject *set, const char *path);
static void check_scope_keys_ (Check *check,
                               const char *name,
                               const char *service,
                               const char *host,
                               JsonObject *set,
                               const char *path);
static void
check_liveness_ (Check *check, const char *service, const char *host, const char *path);
static void merge_scope_ (Check *check,
                          const char *service,
                          const char *host,
                          DpFleetSettings *settings);
static void merge_exceptions_ (JsonObject *exceptions,
                               const char *service,
                               const char *host,
                               DpFleetSettings *settings);
static const char *get_string_ (JsonObject *object, const char *key);

/* Checks a complete fleet file. Returns every fault (DpFault) with its JSON path; the
 * array is empty if the file is valid. */
GPtrArray *
dp_fleet_check (JsonNode *file)
{
  Check check = { .faults = dp_faults_new () };
  JsonObject *root = dp_document_object (file, "$", check.faults);

  if (root == NULL)
    return check.faults;
  check.addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  check.scopes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  check_root_ (&check, root);
  g_hash_table_unref (check.addresses);
  g_hash_table_unref (check.scopes);
  return check.faults;
}

static void
check_root_ (Check *check, JsonObject *root)
{
  static const char *const keys[] = { "versions", "defaults", "services", "exceptions",
                                      NULL };
  JsonObject *versions;

  dp_document_check_keys (root, keys, "$", check->faults);
  versions = get_section_ (check, root, "versions");
  check->defaults = get_section_ (check, root, "defaults");
  check->services = get_section_ (check, root, "services");
  check->exceptions = get_section_ (check, root, "exceptions");
  if (!json_object_has_member (root, "defaults")
      && !json_object_has_member (root, "services")
      && !json_object_has_member (root, "exceptions"))
    dp_faults_add (check->faults, "$",
                   "declares neither defaults nor services nor exceptions");
  if (versions != NULL)
    check_versions_ (check, versions);
  if (check->defaults != NULL)
    {
      check_set_ (check, check->defaults, "$.defaults");
      check_liveness_ (check, NULL, NULL, "$.defaults");
    }
  if (check->services != NULL)
    check_entries_ (check, check->services, "$.services", check_service_);
  if (check->exceptions != NULL)
    check_entries_ (check, check->exceptions, "$.exceptions", check_exception_);
}

static JsonObject *
get_section_ (Check *check, JsonObject *root, const char *key)
{
  JsonNode *node = json_object_get_member (root, key);
  g_autofree char *path = dp_document_member_path ("$", key);

  return node == NULL ? NULL : dp_document_object (node, path, check->faults);
}

static void
check_versions_ (Check *check, JsonObject *versions)
{
  JsonObjectIter iter;
  const char *key;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, versions);
  while (json_object_iter_next_ordered (&iter, &key, &node))
    {
      g_autofree char *path = dp_document_member_path ("$.versions", key);
      DpPosition version = 0;

      if (!is_object_key_ (key))
        dp_faults_add (check->faults, path,
                       "is neither fleet/defaults nor service/NAME nor exception/NAME");
      if (!dp_position_from_json (node, &version) || version == 0)
        dp_faults_add (
            check->faults, path,
            "must be a version as \"show\" prints it: a whole number from 1 to "
            "%" G_GUINT64_FORMAT ", or a larger one as \"[ERA/]REVISION\"",
            DP_POSITION_JSON_INT_MAX);
    }
}

static gboolean
is_object_key_ (const char *key)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  const char *slash = strchr (key, '/');
  g_autofree char *kind_text = NULL;
  DpKind kind;

  if (slash == NULL)
    return FALSE;
  kind_text = g_strndup (key, (gsize) (slash - key));
  if (!dp_kind_parse (kind_text, &kind) || dp_fleet_section_key (kind) == NULL)
    return FALSE;
  if (kind == DP_KIND_FLEET)
    return g_str_equal (slash + 1, DP_FLEET_DEFAULTS);
  return dp_document_check_name (slash + 1, "$", faults);
}

static void
check_entries_ (Check *check,
                JsonObject *section,
                const char *path,
                CheckEntry check_entry)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, section);
  while (json_object_iter_next_ordered (&iter, &name, &node))
    {
      g_autofree char *key_path = dp_document_member_path (path, name);

      dp_document_check_name (name, key_path, check->faults);
      check_entry (check, name, node, key_path);
    }
}

static void
check_service_ (Check *check, const char *name, JsonNode *node, const char *path)
{
  static const char *const keys[] = { "addresses", NULL };
  JsonObject *service = dp_document_object (node, path, check->faults);
  g_autofree char *key_path = dp_document_member_path (path, "addresses");
  JsonNode *list;
  JsonArray *addresses;
  guint n;

  if (service == NULL)
    return;
  dp_document_check_keys (service, keys, path, check->faults);
  list = json_object_get_member (service, "addresses");
  if (list == NULL)
    {
      dp_faults_add (check->faults, key_path, "is missing");
      return;
    }
  addresses = dp_document_array (list, key_path, check->faults);
  if (addresses == NULL)
    return;
  n = json_array_get_length (addresses);
  if (n == 0 || n > MAX_ADDRESSES)
    {
      dp_faults_add (check->faults, key_path, "must have 1 to %d addresses",
                     MAX_ADDRESSES);
      return;
    }
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *element_path = g_strdup_printf ("%s[%u]", key_path, i);

      check_address_ (check, json_array_get_element (addresses, i), element_path);
    }
}

static void
check_address_ (Check *check, JsonNode *node, const char *path)
{
  DpServiceAddress address = { 0 };
  char text[DP_ADDRESS_STRLEN];
  const char *other;

  if (!dp_fleet_address_parse_ (node, path, &address, check->faults))
    return;
  dp_address_format (&address.address, text);
  other = g_hash_table_lookup (check->addresses, text);
  if (other != NULL)
    dp_faults_add (check->faults, path, "%s is already the address of %s", text, other);
  else
    g_hash_table_insert (check->addresses, g_strdup (text), g_strdup (path));
}

static void
check_exception_ (Check *check, const char *name, JsonNode *node, const char *path)
{
  static const char *const keys[] = { "service", "host", "set", "reason", NULL };
  JsonObject *exception = dp_document_object (node, path, check->faults);
  g_autofree char *key_path = dp_document_member_path (path, "set");
  JsonNode *set_node;
  JsonObject *set;

  if (exception == NULL)
    return;
  dp_document_check_keys (exception, keys, path, check->faults);
  check_scope_ (check, name, exception, path);
  check_reason_ (check, exception, path);
  set_node = json_object_get_member (exception, "set");
  if (set_node == NULL)
    {
      dp_faults_add (check->faults, key_path, "is missing");
      return;
    }
  set = dp_document_object (set_node, key_path, check->faults);
  if (set == NULL)
    return;
  if (json_object_get_size (set) == 0)
    dp_faults_add (check->faults, key_path, "sets nothing");
  check_set_ (check, set, key_path);
  check_scope_keys_ (check, name, get_string_ (exception, "service"),
                     get_string_ (exception, "host"), set, key_path);
}

static void
check_scope_ (Check *check, const char *name, JsonObject *exception, const char *path)
{
  JsonNode *service_node = json_object_get_member (exception, "service");
  JsonNode *host_node = json_object_get_member (exception, "host");
  g_autofree char *service_path = dp_document_member_path (path, "service");
  g_autofree char *host_path = dp_document_member_path (path, "host");
  const char *text;

  if (service_node == NULL)
    dp_faults_add (check->faults, service_path, "is missing");
  else
    {
      text = dp_document_string (service_node, service_path, check->faults);
      if (text != NULL
          && (check->services == NULL || !json_object_has_member (check->services, text)))
        dp_faults_add (check->faults, service_path, "there is no service \"%s\"", text);
    }
  if (host_node == NULL)
    return;
  text = dp_document_string (host_node, host_path, check->faults);
  if (text != NULL && text[0] != '\0')
    dp_document_check_name (text, host_path, check->faults);
}

static void
check_reason_ (Check *check, JsonObject *exception, const char *path)
{
  JsonNode *node = json_object_get_member (exception, "reason");
  g_autofree char *key_path = dp_document_member_path (path, "reason");
  g_autofree char *stripped = NULL;
  const char *text;

  if (node == NULL)
    {
      dp_faults_add (check->faults, key_path, "is missing");
      return;
    }
  text = dp_document_string (node, key_path, check->faults);
  if (text == NULL)
    return;
  stripped = g_strstrip (g_strdup (text));
  if (stripped[0] == '\0')
    dp_faults_add (check->faults, key_path, "is empty");
  else if (g_utf8_strlen (text, -1) > MAX_REASON_CHARS)
    dp_faults_add (check->faults, key_path, "is longer than %d characters",
                   MAX_REASON_CHARS);
}

/* Checks keys and ranges of the defaults or of an exception's "set". */
static void
check_set_ (Check *check, JsonObject *set, const char *path)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, set);
  while (json_object_iter_next_ordered (&iter, &name, &node))
    {
      const DpFleetKey *key = dp_fleet_key_find_ (name);
      g_autofree char *key_path = dp_document_member_path (path, name);
      gint64 value;

      if (key == NULL)
        dp_faults_add (check->faults, key_path, "unknown key");
      else
        dp_document_integer (node, key_path, key->min, key->max, &value, check->faults);
    }
}

/* Adds a fault for each key that another exception sets for the same service and host. */
static void
check_scope_keys_ (Check *check,
                   const char *name,
                   const char *service,
                   const char *host,
                   JsonObject *set,
                   const char *path)
{
  JsonObjectIter iter;
  const char *key;
  JsonNode *node;
  gboolean sets_liveness = FALSE;

  if (service == NULL)
    return;
  host = host == NULL ? "" : host;
  json_object_iter_init_ordered (&iter, set);
  while (json_object_iter_next_ordered (&iter, &key, &node))
    {
      char *scope = g_strdup_printf ("%s %s %s", service, host, key);
      g_autofree char *key_path = dp_document_member_path (path, key);
      const char *other = g_hash_table_lookup (check->scopes, scope);

      sets_liveness |= g_str_equal (key, "heartbeat_ms");
      sets_liveness |= g_str_equal (key, "suspect_ms");
      if (other == NULL)
        {
          g_hash_table_insert (check->scopes, scope, g_strdup (name));
          continue;
        }
      dp_faults_add (check->faults, key_path,
                     "the exception \"%s\" sets it for the same service and host", other);
      g_free (scope);
    }
  if (sets_liveness)
    check_liveness_ (check, service, host, path);
}

/* Adds a fault if the effective suspect_ms of a scope is too short for heartbeat_ms. */
static void
check_liveness_ (Check *check, const char *service, const char *host, const char *path)
{
  g_autofree char *key_path = dp_document_member_path (path, "suspect_ms");
  DpFleetSettings settings;

  dp_fleet_settings_init (&settings);
  merge_scope_ (check, service, host, &settings);
  if (settings.suspect_ms < MIN_SUSPECT_HEARTBEATS * settings.heartbeat_ms)
    dp_faults_add (check->faults, key_path,
                   "%u ms is less than %d times heartbeat_ms (%u ms), so that healthy "
                   "members would be suspected",
                   settings.suspect_ms, MIN_SUSPECT_HEARTBEATS, settings.heartbeat_ms);
}

static void
merge_scope_ (Check *check,
              const char *service,
              const char *host,
              DpFleetSettings *settings)
{
  if (check->defaults != NULL)
    {
      g_autoptr (JsonNode)
          node = json_node_init_object (json_node_alloc (), check->defaults);

      dp_fleet_settings_merge_ (settings, node);
    }
  if (service == NULL || check->exceptions == NULL)
    return;
  merge_exceptions_ (check->exceptions, service, "", settings);
  if (host[0] != '\0')
    merge_exceptions_ (check->exceptions, service, host, settings);
}

static void
merge_exceptions_ (JsonObject *exceptions,
                   const char *service,
                   const char *host,
                   DpFleetSettings *settings)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, exceptions);
  while (json_object_iter_next_ordered (&iter, &name, &node))
    {
      JsonObject *exception;
      const char *exception_host;

      if (!JSON_NODE_HOLDS_OBJECT (node))
        continue;
      exception = json_node_get_object (node);
      exception_host = get_string_ (exception, "host");
      if (g_strcmp0 (get_string_ (exception, "service"), service) == 0
          && g_str_equal (exception_host == NULL ? "" : exception_host, host)
          && json_object_has_member (exception, "set"))
        dp_fleet_settings_merge_ (settings, json_object_get_member (exception, "set"));
    }
}

/* Returns a string member, or NULL if it is missing or not a string. */
static const char *
get_string_ (JsonObject *object, const char *key)
{
  JsonNode *node = json_object_get_member (object, key);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}
