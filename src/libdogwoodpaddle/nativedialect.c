/* The dialect of the project's own object API (docs/design.md, section 5.3). */
#include <string.h>

#include "private/platformresponse.h"
#include "protected/json.h"
#include "protected/platform.h"

static char *list_path_ (guint collection, const char *after);
static char *watch_path_ (guint collection, guint64 since, guint wait_ms);
static char *object_path_ (DpKind kind, const char *name);
static SoupMessage *write_message_ (const char *base_url,
                                    DpKind kind,
                                    const char *name,
                                    guint64 revision,
                                    JsonNode *value);
static gboolean read_list_ (GBytes *body,
                            guint collection,
                            GPtrArray *records,
                            guint64 *revision,
                            char **after,
                            GError **error);
static gboolean read_events_ (GBytes *body,
                              guint collection,
                              GPtrArray *records,
                              guint64 *revision,
                              GError **error);
static DpRecord *read_object_ (GBytes *body, DpKind kind, GError **error);
static gboolean read_written_ (GBytes *body, guint64 *revision);

/* All kinds are listed and watched together. */
static const DpPlatformCollection collections_[] = { { (1u << DP_N_KINDS) - 1, FALSE } };

const DpPlatformDialect dp_platform_native_dialect = {
  .collections = collections_,
  .n_collections = G_N_ELEMENTS (collections_),
  .conflict_status = SOUP_STATUS_PRECONDITION_FAILED,
  .era_header = "Store-Era",
  .list_path = list_path_,
  .watch_path = watch_path_,
  .object_path = object_path_,
  .write_message = write_message_,
  .read_list = read_list_,
  .read_events = read_events_,
  .read_object = read_object_,
  .read_written_revision = read_written_,
};

static char *
list_path_ (guint collection, const char *after)
{
  return g_strdup ("/v1/objects");
}

static char *
watch_path_ (guint collection, guint64 since, guint wait_ms)
{
  return g_strdup_printf ("/v1/watch?since=%" G_GUINT64_FORMAT "&timeout_ms=%u", since,
                          wait_ms);
}

static char *
object_path_ (DpKind kind, const char *name)
{
  g_autofree char *escaped = g_uri_escape_string (name, NULL, FALSE);

  return g_strdup_printf ("/v1/objects/%s/%s", dp_kind_string (kind), escaped);
}

static SoupMessage *
write_message_ (const char *base_url,
                DpKind kind,
                const char *name,
                guint64 revision,
                JsonNode *value)
{
  g_autofree char *path = object_path_ (kind, name);
  g_autofree char *url = g_strconcat (base_url, path, NULL);
  SoupMessage *message;
  char condition[32];

  message = soup_message_new (value == NULL ? SOUP_METHOD_DELETE : SOUP_METHOD_PUT, url);
  if (message == NULL)
    return NULL;
  g_snprintf (condition, sizeof condition, "\"%" G_GUINT64_FORMAT "\"", revision);
  soup_message_headers_replace (soup_message_get_request_headers (message), "If-Match",
                                condition);
  if (value != NULL)
    {
      char *text = dp_json_format (value);
      g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

      soup_message_set_request_body_from_bytes (message, "application/json", body);
    }
  return message;
}

static gboolean
read_list_ (GBytes *body,
            guint collection,
            GPtrArray *records,
            guint64 *revision,
            char **after,
            GError **error)
{
  return dp_platform_response_items (body, records, revision, error);
}

static gboolean
read_events_ (GBytes *body,
              guint collection,
              GPtrArray *records,
              guint64 *revision,
              GError **error)
{
  return dp_platform_response_items (body, records, revision, error);
}

static DpRecord *
read_object_ (GBytes *body, DpKind kind, GError **error)
{
  return dp_platform_response_object (body, error);
}

static gboolean
read_written_ (GBytes *body, guint64 *revision)
{
  g_autoptr (JsonNode) response = dp_platform_response_parse (body, NULL);

  return dp_json_get_uint (dp_json_get_object (response), "version", revision);
}
