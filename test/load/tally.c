#include "tally.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define FAILURES_PRINTED_MAX 20 /* of each outcome */
#define VERIFY_TIMEOUT_S 10

static void add_report_counts_ (GHashTable *counts, JsonObject *object);
static void compare_reports_ (Tally *tally, const char *run_id, GHashTable *counts);
static gint compare_u32_ (gconstpointer a, gconstpointer b);
static guint32 percentile_ (const GArray *sorted, double share);
static void add_waits_ (JsonBuilder *builder, Tally *tally);
static void add_int_ (JsonBuilder *builder, const char *name, guint64 value);

void
tally_init (Tally *tally)
{
  for (guint i = 0; i < N_KINDS; i++)
    tally->waits[i] = g_array_new (FALSE, FALSE, sizeof (guint32));
  tally->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  tally->reports = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
tally_finish (Tally *tally)
{
  for (guint i = 0; i < N_KINDS; i++)
    g_array_unref (tally->waits[i]);
  g_hash_table_unref (tally->servers);
  g_hash_table_unref (tally->reports);
}

/* Counts a finished request. The first FAILURES_PRINTED_MAX of each failed outcome are
 * printed. */
void
tally_add (Tally *tally, const Request *request)
{
  tally->requests++;
  tally->outcomes[request->outcome]++;
  tally->requests_by_kind[request->kind]++;
  tally->resubmitted += request->resubmitted ? 1 : 0;
  if (request->first_byte_at != 0)
    {
      guint32 wait = (guint32) MAX (request->first_byte_at - request->due, 0);

      g_array_append_val (tally->waits[request->kind], wait);
    }
  if (request->server != NULL)
    {
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (tally->servers, request->server));

      g_hash_table_replace (tally->servers, g_strdup (request->server),
                            GUINT_TO_POINTER (n + 1));
    }
  if (request->kind == KIND_REPORTS)
    g_hash_table_replace (tally->reports, g_memdup2 (&request->id, sizeof request->id),
                          GUINT_TO_POINTER (request->outcome + 1));
  if (request->outcome >= OUTCOME_BROKEN
      && tally->outcomes[request->outcome] <= FAILURES_PRINTED_MAX)
    g_printerr ("%s: %s of %s at %s: %s\n", outcome_string (request->outcome),
                kind_string (request->kind), request->target->service,
                request->server != NULL ? request->server : "unknown server",
                request->failure);
}

/* Sets doubled, lost and refused_but_run. Returns FALSE if a server can't be asked. */
gboolean
tally_verify (Tally *tally, const char *run_id, const char *servers, GError **error)
{
  g_auto (GStrv) list = g_strsplit (servers, ",", -1);
  g_autoptr (SoupSession)
      session = soup_session_new_with_options ("timeout", VERIFY_TIMEOUT_S, NULL);
  g_autoptr (GHashTable)
      counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; list[i] != NULL; i++)
    {
      g_autofree char *url = g_strdup_printf ("http://%s/admin/reports", list[i]);
      g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
      g_autoptr (GBytes)
          body = soup_session_send_and_read (session, message, NULL, error);
      g_autoptr (JsonParser) parser = json_parser_new ();
      gsize size;
      const char *data;

      if (body == NULL)
        {
          g_prefix_error (error, "reports of %s: ", list[i]);
          return FALSE;
        }
      data = g_bytes_get_data (body, &size);
      if (!json_parser_load_from_data (parser, data, (gssize) size, error))
        return FALSE;
      add_report_counts_ (counts, json_node_get_object (json_parser_get_root (parser)));
    }
  compare_reports_ (tally, run_id, counts);
  tally->verified = TRUE;
  return TRUE;
}

/* Returns the results as one line of JSON; the caller frees it. */
char *
tally_format (Tally *tally, double seconds)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  GHashTableIter iter;
  gpointer name;
  gpointer count;

  json_builder_begin_object (builder);
  add_int_ (builder, "requests", tally->requests);
  for (guint i = 0; i < N_OUTCOMES; i++)
    add_int_ (builder, outcome_string (i), tally->outcomes[i]);
  if (tally->verified)
    {
      add_int_ (builder, "doubled", tally->doubled);
      add_int_ (builder, "lost", tally->lost);
      add_int_ (builder, "refused_but_run", tally->refused_but_run);
    }
  add_int_ (builder, "resubmitted", tally->resubmitted);
  add_int_ (builder, "idle_resets", tally->idle_resets);
  add_int_ (builder, "seconds", (guint64) (seconds + 0.5));
  add_waits_ (builder, tally);
  json_builder_set_member_name (builder, "servers");
  json_builder_begin_object (builder);
  g_hash_table_iter_init (&iter, tally->servers);
  while (g_hash_table_iter_next (&iter, &name, &count))
    add_int_ (builder, name, GPOINTER_TO_UINT (count));
  json_builder_end_object (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

/* Returns whether the load balancer kept what it guarantees: no request broken or
 * misdelivered, no report doubled, lost or refused although it was processed, and no idle
 * connection reset. */
gboolean
tally_passed (const Tally *tally)
{
  return tally->outcomes[OUTCOME_BROKEN] == 0
         && tally->outcomes[OUTCOME_MISDELIVERED] == 0 && tally->doubled == 0
         && tally->lost == 0 && tally->refused_but_run == 0 && tally->idle_resets == 0;
}

static void
add_report_counts_ (GHashTable *counts, JsonObject *object)
{
  g_autoptr (GList) members = json_object_get_members (object);

  for (GList *l = members; l != NULL; l = l->next)
    {
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, l->data));

      n += (guint) json_object_get_int_member (object, l->data);
      g_hash_table_replace (counts, g_strdup (l->data), GUINT_TO_POINTER (n));
    }
}

static void
compare_reports_ (Tally *tally, const char *run_id, GHashTable *counts)
{
  GHashTableIter iter;
  gpointer id;
  gpointer outcome;

  g_hash_table_iter_init (&iter, tally->reports);
  while (g_hash_table_iter_next (&iter, &id, &outcome))
    {
      g_autofree char *name = g_strdup_printf ("%s-%" G_GUINT64_FORMAT, run_id,
                                               *(guint64 *) id);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, name));
      guint result = GPOINTER_TO_UINT (outcome) - 1;

      tally->doubled += n > 1 ? 1 : 0;
      tally->lost += n == 0 && result == OUTCOME_OK ? 1 : 0;
      tally->refused_but_run += n > 0 && result == OUTCOME_REFUSED ? 1 : 0;
    }
}

static gint
compare_u32_ (gconstpointer a, gconstpointer b)
{
  guint32 x = *(const guint32 *) a;
  guint32 y = *(const guint32 *) b;

  return (x > y) - (x < y);
}

static guint32
percentile_ (const GArray *sorted, double share)
{
  guint index = (guint) (share * (sorted->len - 1) + 0.5);

  return g_array_index (sorted, guint32, index);
}

static void
add_waits_ (JsonBuilder *builder, Tally *tally)
{
  static const struct
  {
    const char *name;
    double share;
  } percentiles[] = { { "p50", 0.5 }, { "p99", 0.99 }, { "max", 1.0 } };

  json_builder_set_member_name (builder, "wait_us");
  json_builder_begin_object (builder);
  for (guint kind = 0; kind < N_KINDS; kind++)
    {
      GArray *waits = tally->waits[kind];

      if (waits->len == 0)
        continue;
      g_array_sort (waits, compare_u32_);
      json_builder_set_member_name (builder, kind_string (kind));
      json_builder_begin_object (builder);
      add_int_ (builder, "n", tally->requests_by_kind[kind]);
      for (guint i = 0; i < G_N_ELEMENTS (percentiles); i++)
        {
          guint32 wait = percentile_ (waits, percentiles[i].share);

          add_int_ (builder, percentiles[i].name, wait);
        }
      json_builder_end_object (builder);
    }
  json_builder_end_object (builder);
}

static void
add_int_ (JsonBuilder *builder, const char *name, guint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64) value);
}
