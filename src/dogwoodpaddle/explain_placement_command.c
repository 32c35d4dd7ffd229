/* The command explain-placement: asks a process in passthrough mode where a new flow
 * would go now, and why. */
#include <libsoup/soup.h>

#include "cli.h"
#include "protected/address.h"
#include "protected/json.h"

#define HTTP_TIMEOUT_S 5
#define NO_VALUE "-"

static gboolean check_address_ (Cli *cli, const char *option, const char *text);
static JsonNode *ask_ (Cli *cli);
static JsonNode *read_answer_ (Cli *cli, guint status, GBytes *body);
static void print_fields_ (Cli *cli, JsonObject *object, const char *prefix);
static void print_members_ (Cli *cli, JsonArray *members);
static char *member_text_ (JsonObject *object, const char *key);
static char *member_marks_ (JsonObject *member);

/* Fails if no service has the address; a service that has no member for the flow is an
 * answer like any other. */
CliStatus
command_explain_placement (Cli *cli)
{
  g_autoptr (JsonNode) node = NULL;
  JsonObject *object;

  if (!check_address_ (cli, "--at", cli->at)
      || !check_address_ (cli, "--service", cli->service)
      || !check_address_ (cli, "--client", cli->client))
    return CLI_USAGE;
  node = ask_ (cli);
  if (node == NULL)
    return CLI_FAILED;
  object = dp_json_get_object (node);
  json_object_set_member (cli->report, "explanation", json_node_copy (node));
  print_fields_ (cli, object, "");
  print_members_ (cli, dp_json_get_array (object, "members"));
  if (g_strcmp0 (dp_json_get_string (object, "reason"), "no_route") != 0)
    return CLI_DONE;
  cli_error (cli, "no service has the address %s, as far as %s knows", cli->service,
             cli->at);
  return CLI_FAILED;
}

static gboolean
check_address_ (Cli *cli, const char *option, const char *text)
{
  g_autoptr (GError) error = NULL;
  DpAddress address;

  if (text == NULL)
    cli_error (cli, "%s is missing", option);
  else if (!dp_address_parse (text, &address, &error))
    cli_error (cli, "%s: %s", option, error->message);
  else
    return TRUE;
  return FALSE;
}

/* Returns the answer, an object, or NULL after an error. */
static JsonNode *
ask_ (Cli *cli)
{
  g_autofree char *route = cli->route == NULL
                               ? NULL
                               : g_uri_escape_string (cli->route, ",", FALSE);
  g_autofree char *url = g_strdup_printf (
      "http://%s/explain?service=%s&client=%s%s%s", cli->at, cli->service, cli->client,
      route == NULL ? "" : "&route=", route == NULL ? "" : route);
  g_autoptr (SoupSession)
      session = soup_session_new_with_options ("timeout", HTTP_TIMEOUT_S, NULL);
  g_autoptr (SoupMessage) message = soup_message_new (SOUP_METHOD_GET, url);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body = NULL;

  soup_session_set_proxy_resolver (session, NULL);
  body = soup_session_send_and_read (session, message, NULL, &error);
  if (body != NULL)
    return read_answer_ (cli, soup_message_get_status (message), body);
  cli_error (cli, "%s does not answer: %s", cli->at, error->message);
  return NULL;
}

static JsonNode *
read_answer_ (Cli *cli, guint status, GBytes *body)
{
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  g_autofree char *line = g_strndup (text == NULL ? "" : text, length);
  g_autoptr (GError) error = NULL;
  JsonNode *node;

  if (status != SOUP_STATUS_OK)
    {
      g_autofree char *valid = g_utf8_make_valid (g_strstrip (line), -1);

      cli_error (cli, "%s answered with HTTP status %u%s%s", cli->at, status,
                 valid[0] == '\0' ? "" : ": ", valid);
      return NULL;
    }
  node = dp_json_parse (line, length, &error);
  if (dp_json_get_object (node) != NULL)
    return node;
  cli_error (cli, "%s answered with something else than a JSON object", cli->at);
  g_clear_pointer (&node, json_node_unref);
  return NULL;
}

/* Prints the members of the object one a line, those of objects in it with a prefix. */
static void
print_fields_ (Cli *cli, JsonObject *object, const char *prefix)
{
  g_autoptr (GList) keys = json_object_get_members (object);

  for (const GList *k = keys; k != NULL; k = k->next)
    {
      JsonNode *value = json_object_get_member (object, k->data);
      g_autofree char *name = g_strdup_printf ("%s%s", prefix, (const char *) k->data);

      if (JSON_NODE_HOLDS_OBJECT (value))
        {
          g_autofree char *inner = g_strdup_printf ("%s.", name);

          print_fields_ (cli, json_node_get_object (value), inner);
        }
      else if (!JSON_NODE_HOLDS_ARRAY (value))
        {
          g_autofree char *text = member_text_ (object, k->data);

          cli_print (cli, "%-22s %s", name, text);
        }
    }
}

static void
print_members_ (Cli *cli, JsonArray *members)
{
  static const char *const columns[] = { "name",      "zone",        "state", "slots",
                                         "own_flows", "other_flows", "limit", "speed",
                                         "cost",      "report_ms" };
  const guint n = members == NULL ? 0 : json_array_get_length (members);

  for (guint i = 0; i <= n && n > 0; i++)
    {
      JsonObject *member =
          i == 0 ? NULL : dp_json_get_object (json_array_get_element (members, i - 1));
      g_autoptr (GString) line = g_string_new (NULL);
      g_autofree char *marks = NULL;

      if (i > 0 && member == NULL)
        continue;
      for (guint c = 0; c < G_N_ELEMENTS (columns); c++)
        {
          g_autofree char *text = member == NULL ? g_strdup (columns[c])
                                                 : member_text_ (member, columns[c]);

          g_string_append_printf (line, c == 0 ? "%-22s " : "%-11s ", text);
        }
      marks = member == NULL ? g_strdup ("marks") : member_marks_ (member);
      cli_print (cli, "%s%s", line->str, marks);
    }
}

/* Returns the value as text, NO_VALUE if there is none. */
static char *
member_text_ (JsonObject *object, const char *key)
{
  JsonNode *value = json_object_get_member (object, key);

  if (value == NULL || JSON_NODE_HOLDS_NULL (value))
    return g_strdup (NO_VALUE);
  if (JSON_NODE_HOLDS_VALUE (value) && json_node_get_value_type (value) == G_TYPE_STRING)
    return json_node_dup_string (value);
  if (JSON_NODE_HOLDS_VALUE (value) && json_node_get_value_type (value) == G_TYPE_DOUBLE)
    return g_strdup_printf ("%.3f", json_node_get_double (value));
  return json_to_string (value, FALSE);
}

/* Returns what sets the member apart in the choice. */
static char *
member_marks_ (JsonObject *member)
{
  static const char *const marks[] = { "silent", "failing", "evacuated", "left_out" };
  g_autoptr (GPtrArray) found = g_ptr_array_new ();

  for (guint i = 0; i < G_N_ELEMENTS (marks); i++)
    if (dp_json_get_boolean (member, marks[i], FALSE))
      g_ptr_array_add (found, (gpointer) marks[i]);
  if (found->len == 0)
    return g_strdup (NO_VALUE);
  g_ptr_array_add (found, NULL);
  return g_strjoinv (",", (char **) found->pdata);
}
