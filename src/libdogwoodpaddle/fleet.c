#include "protected/fleet.h"

#include "private/fleet_keys.h"
#include "protected/clock.h"
#include "protected/json.h"

/* Multicast and reserved addresses start at 224.0.0.0; no client connects to them. */
#define FIRST_MULTICAST_IP 0xe0000000u

/* Upper limit for the times of an address, as for wait_limit_ms in the fleet settings. */
#define MAX_ADDRESS_TIME_MS 60000

#define SERVICE_NAMES_KEY "names"

#define KEY(name, min, max, default_value)                                               \
  {                                                                                      \
#name, min, max, default_value, G_STRUCT_OFFSET(DpFleetSettings, name)               \
  }

const DpFleetKey dp_fleet_keys_[] = {
  KEY (wait_limit_ms, 0, 60000, 2000),
  KEY (visits, 1, 8, 4),
  KEY (slots, 1, 1024, 4),
  KEY (connections, 1, 100000, 2000),
  KEY (idle_timeout_s, 10, 86400, 7200),
  KEY (progress_timeout_s, 5, 3600, 60),
  KEY (drain_deadline_s, 0, 86400, 3600),
  KEY (trace_sample, 0, 1000000, 1000),
  KEY (heartbeat_ms, 100, 10000, 1000),
  KEY (suspect_ms, 500, 60000, 4000),
  KEY (settle_ms, 1000, 60000, 5000),
};
const guint dp_n_fleet_keys_ = G_N_ELEMENTS (dp_fleet_keys_);

G_STATIC_ASSERT (G_N_ELEMENTS (dp_fleet_keys_)
                 == sizeof (DpFleetSettings) / sizeof (guint32));

/* NULL for the kinds that this system's own processes write. */
static const char *const section_keys_[] = { "defaults", "services", "exceptions",
                                             NULL,       NULL,       NULL };

G_STATIC_ASSERT (G_N_ELEMENTS (section_keys_) == DP_N_KINDS);

static gboolean
exception_applies_ (JsonNode *value, const char *service, const char *host);
static void merge_exceptions_ (GPtrArray *exceptions,
                               const char *service,
                               const char *host,
                               DpFleetSettings *settings);
static JsonNode *get_member_ (JsonNode *node, const char *key);
static const char *
read_string_ (JsonObject *object, const char *key, const char *path, GPtrArray *faults);
static void read_number_ (JsonObject *object,
                          const char *key,
                          gboolean required,
                          gint64 max,
                          const char *path,
                          gint64 *value,
                          GPtrArray *faults);
static const char *get_string_ (JsonNode *node, const char *key);

/* Sets all settings to their default values. */
void
dp_fleet_settings_init (DpFleetSettings *settings)
{
  for (guint i = 0; i < dp_n_fleet_keys_; i++)
    *dp_fleet_key_field_ (&dp_fleet_keys_[i], settings) = dp_fleet_keys_[i].default_value;
}

/* Computes the settings of a host: the defaults, then the exceptions of its service, then
 * those of its service and host. With service NULL only the defaults apply, with host
 * NULL no exceptions of single hosts. dp_fleet_check () rejects two exceptions that set
 * the same key for the same service and host; if they exist nevertheless, the one whose
 * name sorts last wins, so that all processes agree. */
void
dp_fleet_effective_settings (const DpReplica *replica,
                             const char *service,
                             const char *host,
                             DpFleetSettings *settings)
{
  const DpRecord *defaults = dp_replica_get (replica, DP_KIND_FLEET, DP_FLEET_DEFAULTS);
  g_autoptr (GPtrArray) exceptions = NULL;

  dp_fleet_settings_init (settings);
  if (defaults != NULL && !defaults->deleted)
    {
      g_autoptr (JsonNode) value = dp_record_value (defaults);

      dp_fleet_settings_merge_ (settings, value);
    }
  if (service == NULL)
    return;
  exceptions = dp_replica_list (replica, DP_KIND_EXCEPTION);
  merge_exceptions_ (exceptions, service, "", settings);
  if (host != NULL && host[0] != '\0')
    merge_exceptions_ (exceptions, service, host, settings);
}

/* Returns the valid addresses of a service with the settings of a host, or with host NULL
 * those of hosts without an exception of their own. An address without a wait limit gets
 * the one of the effective settings. Free with g_array_unref (). */
GArray *
dp_fleet_addresses (const DpReplica *replica, const char *service, const char *host)
{
  GArray *addresses = g_array_new (FALSE, TRUE, sizeof (DpServiceAddress));
  const DpRecord *record = dp_replica_get (replica, DP_KIND_SERVICE, service);
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) value = NULL;
  DpFleetSettings settings;
  JsonNode *list;

  if (record == NULL || record->deleted)
    return addresses;
  value = dp_record_value (record);
  list = get_member_ (value, "addresses");
  if (list == NULL || !JSON_NODE_HOLDS_ARRAY (list))
    return addresses;
  dp_fleet_effective_settings (replica, service, host, &settings);
  for (guint i = 0; i < json_array_get_length (json_node_get_array (list)); i++)
    {
      JsonNode *node = json_array_get_element (json_node_get_array (list), i);
      DpServiceAddress address = { 0 };

      if (!dp_fleet_address_parse_ (node, "$", &address, faults))
        continue;
      if (address.wait_limit == 0)
        address.wait_limit = settings.wait_limit_ms * DP_US_PER_MS;
      g_array_append_val (addresses, address);
    }
  return addresses;
}

/* Reads the warm-up rate of a service's record. Its other members are not parsed. */
double
dp_fleet_warmup_rate (const DpRecord *service)
{
  g_autofree char *warmup = NULL;
  g_autofree char *rest = dp_json_extract_member (service->json, "warmup", &warmup);
  double rate = 0;

  return warmup != NULL && dp_json_scan_double (warmup, "requests_per_s", &rate)
                 && rate > 0
             ? rate
             : 0;
}

/* Returns the JSON text of the record DP_FLEET_SERVICES. services: a hash table with the
 * names as keys. The caller frees the text. */
char *
dp_fleet_format_service_names (GHashTable *services)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *object = json_object_new ();
  JsonArray *names = json_array_new ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, services);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    json_array_add_string_element (names, name);
  json_object_set_array_member (object, SERVICE_NAMES_KEY, names);
  json_node_take_object (node, object);
  return dp_json_format (node);
}

/* Returns the names of all services of the configuration, as keys of a hash table; NULL
 * if the replica has no record of them. Free with g_hash_table_unref (). */
GHashTable *
dp_fleet_service_names (const DpReplica *replica)
{
  const DpRecord *record = dp_replica_get (replica, DP_KIND_FLEET, DP_FLEET_SERVICES);
  g_autoptr (JsonNode) value = record == NULL ? NULL : dp_record_value (record);
  JsonArray *names = dp_json_get_array (dp_json_get_object (value), SERVICE_NAMES_KEY);
  GHashTable *services;

  if (names == NULL)
    return NULL;
  services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < json_array_get_length (names); i++)
    {
      JsonNode *node = json_array_get_element (names, i);
      const char *name = JSON_NODE_HOLDS_VALUE (node) ? json_node_get_string (node)
                                                      : NULL;

      if (name != NULL)
        g_hash_table_add (services, g_strdup (name));
    }
  return services;
}

/* Returns the key of a fleet file that holds the objects of a kind, or NULL for the kinds
 * that this system's own processes write. */
const char *
dp_fleet_section_key (DpKind kind)
{
  g_assert (kind < DP_N_KINDS);
  return section_keys_[kind];
}

/* Returns the entry of a key, or NULL if there is no such setting. */
const DpFleetKey *
dp_fleet_key_find_ (const char *key)
{
  for (guint i = 0; i < dp_n_fleet_keys_; i++)
    if (g_str_equal (dp_fleet_keys_[i].key, key))
      return &dp_fleet_keys_[i];
  return NULL;
}

/* Returns a pointer to the key's field in settings. */
guint32 *
dp_fleet_key_field_ (const DpFleetKey *key, DpFleetSettings *settings)
{
  return (guint32 *) G_STRUCT_MEMBER_P (settings, key->offset);
}

/* Sets the fields for which the JSON object has valid values; others are unchanged. */
void
dp_fleet_settings_merge_ (DpFleetSettings *settings, JsonNode *set)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();

  for (guint i = 0; i < dp_n_fleet_keys_; i++)
    {
      const DpFleetKey *key = &dp_fleet_keys_[i];
      JsonNode *node = get_member_ (set, key->key);
      gint64 value;

      if (node != NULL
          && dp_document_integer (node, "$", key->min, key->max, &value, faults))
        *dp_fleet_key_field_ (key, settings) = (guint32) value;
    }
}

/* Parses one entry of a service's addresses. Adds a fault for every error in it and
 * returns whether there was none. */
gboolean
dp_fleet_address_parse_ (JsonNode *node,
                         const char *path,
                         DpServiceAddress *address,
                         GPtrArray *faults)
{
  static const char *const keys[] = { "ip",          "port",          "class",
                                      "deadline_ms", "wait_limit_ms", NULL };
  guint n_faults = faults->len;
  JsonObject *object = dp_document_object (node, path, faults);
  const char *ip;
  const char *class;
  gint64 port = 0;
  gint64 wait_limit_ms = 0;
  gint64 deadline_ms = 0;

  if (object == NULL)
    return FALSE;
  dp_document_check_keys (object, keys, path, faults);
  ip = read_string_ (object, "ip", path, faults);
  class = read_string_ (object, "class", path, faults);
  read_number_ (object, "port", TRUE, G_MAXUINT16, path, &port, faults);
  read_number_ (object, "wait_limit_ms", FALSE, MAX_ADDRESS_TIME_MS, path, &wait_limit_ms,
                faults);
  read_number_ (object, "deadline_ms", FALSE, MAX_ADDRESS_TIME_MS, path, &deadline_ms,
                faults);
  address->wait_limit = wait_limit_ms * DP_US_PER_MS;
  address->deadline = deadline_ms * DP_US_PER_MS;
  address->address.port = (guint16) port;
  if (ip != NULL
      && (!dp_ip_parse (ip, &address->address.ip, NULL) || address->address.ip == 0
          || address->address.ip >= FIRST_MULTICAST_IP))
    {
      g_autofree char *key_path = dp_document_member_path (path, "ip");

      dp_faults_add (faults, key_path, "\"%s\" is not the IPv4 address of a service", ip);
    }
  if (class != NULL && !dp_traffic_class_parse (class, &address->class))
    {
      g_autofree char *key_path = dp_document_member_path (path, "class");

      dp_faults_add (faults, key_path, "must be urgent, interactive or bulk, not \"%s\"",
                     class);
    }
  return faults->len == n_faults;
}

static void
merge_exceptions_ (GPtrArray *exceptions,
                   const char *service,
                   const char *host,
                   DpFleetSettings *settings)
{
  for (guint i = 0; i < exceptions->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (exceptions, i);
      g_autoptr (JsonNode) value = dp_record_value (record);
      JsonNode *set;

      if (!exception_applies_ (value, service, host))
        continue;
      set = get_member_ (value, "set");
      if (set != NULL)
        dp_fleet_settings_merge_ (settings, set);
    }
}

static gboolean
exception_applies_ (JsonNode *value, const char *service, const char *host)
{
  const char *exception_host;

  if (value == NULL || g_strcmp0 (get_string_ (value, "service"), service) != 0)
    return FALSE;
  exception_host = get_string_ (value, "host");
  return g_str_equal (exception_host == NULL ? "" : exception_host, host);
}

static JsonNode *
get_member_ (JsonNode *node, const char *key)
{
  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  return json_object_get_member (json_node_get_object (node), key);
}

static const char *
get_string_ (JsonNode *node, const char *key)
{
  JsonNode *member = get_member_ (node, key);

  if (member == NULL || !JSON_NODE_HOLDS_VALUE (member)
      || json_node_get_value_type (member) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (member);
}

static const char *
read_string_ (JsonObject *object, const char *key, const char *path, GPtrArray *faults)
{
  JsonNode *node = json_object_get_member (object, key);
  g_autofree char *key_path = NULL;

  if (node != NULL && JSON_NODE_HOLDS_VALUE (node)
      && json_node_get_value_type (node) == G_TYPE_STRING)
    return json_node_get_string (node);
  key_path = dp_document_member_path (path, key);
  if (node != NULL)
    return dp_document_string (node, key_path, faults);
  dp_faults_add (faults, key_path, "is missing");
  return NULL;
}

/* Reads a number from 1 to max. *value is unchanged if an optional number is missing. */
static void
read_number_ (JsonObject *object,
              const char *key,
              gboolean required,
              gint64 max,
              const char *path,
              gint64 *value,
              GPtrArray *faults)
{
  JsonNode *node = json_object_get_member (object, key);
  g_autofree char *key_path = NULL;

  if (node == NULL && !required)
    return;
  if (node != NULL && JSON_NODE_HOLDS_VALUE (node)
      && json_node_get_value_type (node) == G_TYPE_INT64 && json_node_get_int (node) >= 1
      && json_node_get_int (node) <= max)
    {
      *value = json_node_get_int (node);
      return;
    }
  key_path = dp_document_member_path (path, key);
  if (node != NULL)
    dp_document_integer (node, key_path, 1, max, value, faults);
  else
    dp_faults_add (faults, key_path, "is missing");
}
