#include "private/effectiveconfig.h"

#include "protected/clock.h"
#include "protected/document.h"

/* Placeholder for the service that an exception names, which dp_fleet_check () looks up
 * in the same file. */
#define PLACEHOLDER_SERVICE                                                              \
  "{\"addresses\":[{\"ip\":\"10.0.0.1\",\"port\":80,\"class\":\"bulk\"}]}"

struct _DpEffectiveConfig
{
  DpReplica *replica;
  DpReplica *valid_records; /* last valid record of each object that operators write */
  guint listener;
  char *service;
  char *host;
  DpEffectiveConfigFunc changed;
  gpointer user_data;
  DpMemberView *view;
  DpFleetSettings settings;
  GArray *addresses;
};

static void record_changed_ (const DpRecord *record, gpointer user_data);
static gboolean apply_members_ (DpEffectiveConfig *config, const DpRecord *record);
static gboolean apply_settings_ (DpEffectiveConfig *config, const DpRecord *record);
static GPtrArray *check_record_ (const DpRecord *record);
static JsonNode *make_file_ (const DpRecord *record);
static void update_settings_ (DpEffectiveConfig *config);

DpEffectiveConfig *
dp_effective_config_new (DpReplica *replica,
                         const char *service,
                         const char *host,
                         DpEffectiveConfigFunc changed,
                         gpointer user_data)
{
  DpEffectiveConfig *config = g_new0 (DpEffectiveConfig, 1);

  config->replica = replica;
  config->valid_records = dp_replica_new ();
  config->service = g_strdup (service);
  config->host = g_strdup (host);
  config->changed = changed;
  config->user_data = user_data;
  for (guint kind = 0; kind < DP_N_KINDS; kind++)
    {
      g_autoptr (GPtrArray) records = dp_replica_list (replica, kind);

      for (guint i = 0; i < records->len; i++)
        {
          const DpRecord *record = g_ptr_array_index (records, i);

          if (!apply_members_ (config, record))
            apply_settings_ (config, record);
        }
    }
  update_settings_ (config);
  config->listener = dp_replica_add_listener (replica, record_changed_, config);
  return config;
}

/* Frees the configuration, but not its replica. */
void
dp_effective_config_free (DpEffectiveConfig *config)
{
  if (config == NULL)
    return;
  dp_replica_remove_listener (config->replica, config->listener);
  dp_replica_free (config->valid_records);
  g_clear_pointer (&config->view, dp_member_view_unref);
  g_array_unref (config->addresses);
  g_free (config->service);
  g_free (config->host);
  g_free (config);
}

/* Returns the service's member view, owned by config. */
DpMemberView *
dp_effective_config_view (const DpEffectiveConfig *config)
{
  return config->view;
}

/* Returns the settings of this host. */
const DpFleetSettings *
dp_effective_config_settings (const DpEffectiveConfig *config)
{
  return &config->settings;
}

/* Returns the service's addresses, valid until the next change. */
const GArray *
dp_effective_config_addresses (const DpEffectiveConfig *config)
{
  return config->addresses;
}

static void
record_changed_ (const DpRecord *record, gpointer user_data)
{
  DpEffectiveConfig *config = user_data;

  if (apply_members_ (config, record))
    config->changed (DP_EFFECTIVE_CONFIG_MEMBERS, config->user_data);
  else if (apply_settings_ (config, record))
    {
      update_settings_ (config);
      config->changed (DP_EFFECTIVE_CONFIG_SETTINGS, config->user_data);
    }
}

/* Replaces the view if the record is a valid list of the service's members. Returns
 * whether the view was replaced. */
static gboolean
apply_members_ (DpEffectiveConfig *config, const DpRecord *record)
{
  DpMemberView *view;
  g_autoptr (JsonNode) value = NULL;
  g_autoptr (GError) error = NULL;

  if (record->kind != DP_KIND_MEMBERS || !g_str_equal (record->name, config->service))
    return FALSE;
  value = dp_record_value (record);
  if (record->deleted)
    view = dp_member_view_new (config->service, record->position, NULL, 0);
  else
    view = dp_member_view_new_from_json (config->service, record->position, value,
                                         &error);
  if (error != NULL)
    {
      g_warning ("members/%s at position=" DP_POSITION_FORMAT " is ignored: %s",
                 record->name, DP_POSITION_ARGS (record->position), error->message);
      return FALSE;
    }
  g_clear_pointer (&config->view, dp_member_view_unref);
  config->view = view;
  return TRUE;
}

/* Keeps the record as the last valid one of its object, if operators write this object
 * and the record is valid. Returns whether the record was kept. */
static gboolean
apply_settings_ (DpEffectiveConfig *config, const DpRecord *record)
{
  if (dp_fleet_section_key (record->kind) == NULL)
    return FALSE;
  if (!record->deleted)
    {
      g_autoptr (GPtrArray) faults = check_record_ (record);

      if (faults->len > 0)
        {
          g_autofree char *text = dp_faults_join (faults);

          g_warning ("%s/%s at position=" DP_POSITION_FORMAT " is ignored: %s",
                     dp_kind_string (record->kind), record->name,
                     DP_POSITION_ARGS (record->position), text);
          return FALSE;
        }
    }
  /* A record is immutable, so both replicas can refer to it. */
  return dp_replica_apply (config->valid_records, (DpRecord *) record);
}

/* Checks one object as a fleet file that holds nothing else; returns an array of
 * DpFault. */
static GPtrArray *
check_record_ (const DpRecord *record)
{
  g_autoptr (JsonNode) file = make_file_ (record);

  return dp_fleet_check (file);
}

static JsonNode *
make_file_ (const DpRecord *record)
{
  JsonNode *file = json_node_new (JSON_NODE_OBJECT);
  JsonObject *root = json_object_new ();
  const char *section = dp_fleet_section_key (record->kind);
  g_autoptr (JsonNode) value = dp_record_value (record);

  json_node_take_object (file, root);
  if (record->kind == DP_KIND_FLEET)
    {
      json_object_set_member (root, section, json_node_copy (value));
      return file;
    }
  json_object_set_object_member (root, section, json_object_new ());
  json_object_set_member (json_object_get_object_member (root, section), record->name,
                          json_node_copy (value));
  if (record->kind == DP_KIND_EXCEPTION && JSON_NODE_HOLDS_OBJECT (value))
    {
      const char *service = json_object_get_string_member_with_default (
          json_node_get_object (value), "service", "");
      JsonObject *services = json_object_new ();

      json_object_set_member (services, service,
                              json_from_string (PLACEHOLDER_SERVICE, NULL));
      json_object_set_object_member (root, dp_fleet_section_key (DP_KIND_SERVICE),
                                     services);
    }
  return file;
}

static void
update_settings_ (DpEffectiveConfig *config)
{
  g_clear_pointer (&config->addresses, g_array_unref);
  config->addresses = dp_fleet_addresses (config->valid_records, config->service,
                                          config->host);
  dp_fleet_effective_settings (config->valid_records, config->service, config->host,
                               &config->settings);
}
