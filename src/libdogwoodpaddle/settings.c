#include "protected/settings_fields.h"

#include <string.h>

#include "protected/document.h"
#include "protected/error.h"

#define URL_PREFIX "http://"
#define DEFAULT_LOG_LEVEL "info"
#define MAX_PEERS 64
#define MAX_NETWORKS 64
/* Multicast and reserved addresses start at 224.0.0.0; no process can use one. */
#define FIRST_MULTICAST_IP 0xe0000000u

typedef struct
{
  JsonObject *object;
  GPtrArray *faults;
} Reader;

static const char *const balancer_keys_[] = {
  "name",     "zone",  "region",           "data",      "control", "http",
  "platform", "peers", "trusted_networks", "log_level", NULL,
};
/* "control" is accepted so that one template serves both kinds of process; a companion
 * doesn't listen on it. */
static const char *const companion_keys_[] = {
  "name",     "zone",  "region",           "data",      "control", "http",
  "platform", "peers", "trusted_networks", "log_level", "service", "server_ip",
  NULL,
};
static const char *const *const known_keys_[] = { balancer_keys_, companion_keys_ };

G_STATIC_ASSERT (G_N_ELEMENTS (known_keys_) == DP_N_SETTINGS_KINDS);

static const char *const log_levels_[] = { "error", "warning", "info", "debug", NULL };

static DpSettings *read_root_ (JsonNode *root,
                               DpSettingsKind kind,
                               const char *path,
                               GPtrArray *faults,
                               GError **error);
static void read_common_ (DpSettings *settings, Reader *reader);
static void read_addresses_ (DpSettings *settings, Reader *reader);
static void read_companion_ (DpSettings *settings, Reader *reader);
static JsonNode *get_member_ (Reader *reader, const char *key, gboolean required);
static char *read_string_ (Reader *reader, const char *key, gboolean required);
static char *read_name_ (Reader *reader, const char *key);
static void
read_address_ (Reader *reader, const char *key, gboolean required, DpAddress *address);
static gboolean parse_host_address_ (const char *text,
                                     const char *path,
                                     DpAddress *address,
                                     GPtrArray *faults);
static void read_peers_ (DpSettings *settings, Reader *reader);
static void read_networks_ (DpSettings *settings, Reader *reader);
static JsonArray *read_array_ (Reader *reader, const char *key, guint max);
static void read_platform_ (DpSettings *settings, Reader *reader);
static void read_log_level_ (DpSettings *settings, Reader *reader);
static const char *error_reason_ (const GError *error);

/* Loads the settings of a process from a file. Returns NULL and sets DP_ERROR_INVALID,
 * which names the file and the key and reason of every fault. */
DpSettings *
dp_settings_load (const char *path, DpSettingsKind kind, GError **error)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) root = dp_document_load (path, faults);

  return read_root_ (root, kind, path, faults, error);
}

/* Parses the settings from JSON text; path is the name of the text in errors. */
DpSettings *
dp_settings_parse (const char *text,
                   gsize length,
                   DpSettingsKind kind,
                   const char *path,
                   GError **error)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) root = dp_document_parse (text, length, faults);

  return read_root_ (root, kind, path, faults, error);
}

void
dp_settings_free (DpSettings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->name);
  g_free (settings->zone);
  g_free (settings->region);
  g_free (settings->platform_url);
  g_clear_pointer (&settings->peers, g_array_unref);
  g_clear_pointer (&settings->trusted_networks, g_array_unref);
  g_free (settings->log_level);
  g_free (settings->service);
  g_free (settings);
}

const char *
dp_settings_name (const DpSettings *settings)
{
  return settings->name;
}

/* Returns the process's log level: "error", "warning", "info" or "debug". */
const char *
dp_settings_log_level (const DpSettings *settings)
{
  return settings->log_level;
}

/* root: NULL if the text could not be parsed; faults then holds the reason. */
static DpSettings *
read_root_ (JsonNode *root,
            DpSettingsKind kind,
            const char *path,
            GPtrArray *faults,
            GError **error)
{
  DpSettings *settings = g_new0 (DpSettings, 1);
  g_autofree char *text = NULL;
  Reader reader = { .faults = faults };

  g_assert (kind < DP_N_SETTINGS_KINDS);
  settings->kind = kind;
  settings->peers = g_array_new (FALSE, TRUE, sizeof (DpAddress));
  settings->trusted_networks = g_array_new (FALSE, TRUE, sizeof (DpNetwork));
  if (root != NULL)
    reader.object = dp_document_object (root, "$", faults);
  if (reader.object != NULL)
    {
      dp_document_check_keys (reader.object, known_keys_[kind], "$", faults);
      read_common_ (settings, &reader);
      read_addresses_ (settings, &reader);
      if (kind == DP_SETTINGS_COMPANION)
        read_companion_ (settings, &reader);
    }
  if (faults->len == 0)
    return settings;
  text = dp_faults_join (faults);
  dp_error_set (error, DP_ERROR_INVALID, "settings", path, "%s", text);
  dp_settings_free (settings);
  return NULL;
}

static void
read_common_ (DpSettings *settings, Reader *reader)
{
  settings->name = read_name_ (reader, "name");
  settings->zone = read_name_ (reader, "zone");
  settings->region = read_name_ (reader, "region");
  read_platform_ (settings, reader);
  read_peers_ (settings, reader);
  read_networks_ (settings, reader);
  read_log_level_ (settings, reader);
}

static void
read_addresses_ (DpSettings *settings, Reader *reader)
{
  gboolean is_balancer = settings->kind == DP_SETTINGS_BALANCER;

  read_address_ (reader, "data", TRUE, &settings->data);
  read_address_ (reader, "control", is_balancer, &settings->control);
  read_address_ (reader, "http", TRUE, &settings->http);
  /* "control" and "http" both listen on TCP. "data" is UDP and may use the same port as
   * either of them. */
  if (settings->control.port != 0
      && dp_address_equal (&settings->control, &settings->http))
    dp_faults_add (reader->faults, "$.http", "is the same address as \"control\"");
}

static void
read_companion_ (DpSettings *settings, Reader *reader)
{
  g_autofree char *ip = read_string_ (reader, "server_ip", FALSE);
  g_autoptr (GError) error = NULL;

  settings->service = read_name_ (reader, "service");
  settings->server_ip = settings->data.ip;
  if (ip == NULL)
    return;
  if (!dp_ip_parse (ip, &settings->server_ip, &error))
    dp_faults_add (reader->faults, "$.server_ip", "%s", error_reason_ (error));
  else if (settings->server_ip == 0 || settings->server_ip >= FIRST_MULTICAST_IP)
    dp_faults_add (reader->faults, "$.server_ip", "\"%s\" is not the address of a host",
                   ip);
}

static JsonNode *
get_member_ (Reader *reader, const char *key, gboolean required)
{
  JsonNode *node = json_object_get_member (reader->object, key);
  g_autofree char *path = dp_document_member_path ("$", key);

  if (node == NULL && required)
    dp_faults_add (reader->faults, path, "is missing");
  return node;
}

static char *
read_string_ (Reader *reader, const char *key, gboolean required)
{
  JsonNode *node = get_member_ (reader, key, required);
  g_autofree char *path = dp_document_member_path ("$", key);

  if (node == NULL)
    return NULL;
  return g_strdup (dp_document_string (node, path, reader->faults));
}

static char *
read_name_ (Reader *reader, const char *key)
{
  char *name = read_string_ (reader, key, TRUE);
  g_autofree char *path = dp_document_member_path ("$", key);

  if (name != NULL)
    dp_document_check_name (name, path, reader->faults);
  return name;
}

static void
read_address_ (Reader *reader, const char *key, gboolean required, DpAddress *address)
{
  g_autofree char *text = read_string_ (reader, key, required);
  g_autofree char *path = dp_document_member_path ("$", key);

  if (text != NULL)
    parse_host_address_ (text, path, address, reader->faults);
}

/* Parses an address that is given to other processes. A wildcard address is rejected,
 * since it would be of no use to them. Adds a fault and returns FALSE if the address is
 * invalid. */
static gboolean
parse_host_address_ (const char *text,
                     const char *path,
                     DpAddress *address,
                     GPtrArray *faults)
{
  g_autoptr (GError) error = NULL;

  if (!dp_address_parse (text, address, &error))
    {
      dp_faults_add (faults, path, "%s", error_reason_ (error));
      return FALSE;
    }
  if (address->ip == 0 || address->ip >= FIRST_MULTICAST_IP)
    {
      dp_faults_add (faults, path, "\"%s\" is not the address of a host", text);
      return FALSE;
    }
  return TRUE;
}

static void
read_peers_ (DpSettings *settings, Reader *reader)
{
  JsonArray *array = read_array_ (reader, "peers", MAX_PEERS);

  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    {
      g_autofree char *path = g_strdup_printf ("$.peers[%u]", i);
      const char *text = dp_document_string (json_array_get_element (array, i), path,
                                             reader->faults);
      DpAddress address;

      if (text != NULL && parse_host_address_ (text, path, &address, reader->faults))
        g_array_append_val (settings->peers, address);
    }
}

static void
read_networks_ (DpSettings *settings, Reader *reader)
{
  static const DpNetwork loopback = { .ip = 0x7f000000, .mask = 0xff000000 };
  JsonArray *array = read_array_ (reader, "trusted_networks", MAX_NETWORKS);

  if (!json_object_has_member (reader->object, "trusted_networks"))
    g_array_append_val (settings->trusted_networks, loopback);
  if (array != NULL && json_array_get_length (array) == 0)
    dp_faults_add (reader->faults, "$.trusted_networks",
                   "is empty: nothing would be accepted");
  for (guint i = 0; array != NULL && i < json_array_get_length (array); i++)
    {
      g_autofree char *path = g_strdup_printf ("$.trusted_networks[%u]", i);
      const char *text = dp_document_string (json_array_get_element (array, i), path,
                                             reader->faults);
      g_autoptr (GError) error = NULL;
      DpNetwork network;

      if (text == NULL)
        continue;
      if (dp_network_parse (text, &network, &error))
        g_array_append_val (settings->trusted_networks, network);
      else
        dp_faults_add (reader->faults, path, "%s", error_reason_ (error));
    }
}

static JsonArray *
read_array_ (Reader *reader, const char *key, guint max)
{
  JsonNode *node = get_member_ (reader, key, FALSE);
  g_autofree char *path = dp_document_member_path ("$", key);
  JsonArray *array;

  if (node == NULL)
    return NULL;
  array = dp_document_array (node, path, reader->faults);
  if (array != NULL && json_array_get_length (array) > max)
    {
      dp_faults_add (reader->faults, path, "has more than %u entries", max);
      return NULL;
    }
  return array;
}

static void
read_platform_ (DpSettings *settings, Reader *reader)
{
  g_autofree char *text = read_string_ (reader, "platform", TRUE);
  DpAddress address;

  if (text == NULL)
    return;
  if (!g_str_has_prefix (text, URL_PREFIX))
    dp_faults_add (reader->faults, "$.platform", "\"%s\" is not http://IP:PORT", text);
  else if (parse_host_address_ (text + strlen (URL_PREFIX), "$.platform", &address,
                                reader->faults))
    settings->platform_url = g_steal_pointer (&text);
}

static void
read_log_level_ (DpSettings *settings, Reader *reader)
{
  settings->log_level = read_string_ (reader, "log_level", FALSE);
  if (settings->log_level == NULL)
    settings->log_level = g_strdup (DEFAULT_LOG_LEVEL);
  else if (!g_strv_contains (log_levels_, settings->log_level))
    dp_faults_add (reader->faults, "$.log_level",
                   "must be error, warning, info or debug, not \"%s\"",
                   settings->log_level);
}

/* Returns the error's message without its leading step: a fault names the JSON path
 * instead. */
static const char *
error_reason_ (const GError *error)
{
  const char *colon = strstr (error->message, ": ");

  return colon == NULL ? error->message : colon + 2;
}
