#include "protected/replica.h"

#include <string.h>

#include "protected/error.h"
#include "protected/json.h"

typedef struct
{
  guint id;
  DpReplicaFunc changed;
  gpointer user_data;
} Listener;

struct _DpReplica
{
  GHashTable *by_name[DP_N_KINDS]; /* name to GSequenceIter */
  GSequence *by_position;          /* DpRecord, tombstones included */
  DpPosition position;
  GArray *listeners; /* Listener */
  guint last_listener_id;
  gboolean any_position; /* fault injection for tests */
};

static const char *const kind_strings_[] = {
  "fleet", "service", "exception", "members", "balancer", "evacuation",
};

G_STATIC_ASSERT (G_N_ELEMENTS (kind_strings_) == DP_N_KINDS);

static void unref_record_ (gpointer data);
static gint compare_positions_ (gconstpointer a, gconstpointer b, gpointer user_data);
static gint compare_names_ (gconstpointer a, gconstpointer b);
static const DpRecord *lookup_ (const DpReplica *replica, DpKind kind, const char *name);
static void notify_ (DpReplica *replica, const DpRecord *record);
static void
delete_absent_ (DpReplica *replica, guint kinds, GPtrArray *records, DpPosition position);
static DpRecord *filter_record_ (DpRecord *record, const char *service);

/* Returns the kind's name in the platform's keys. */
const char *
dp_kind_string (DpKind kind)
{
  g_assert (kind < DP_N_KINDS);
  return kind_strings_[kind];
}

/* Parses a kind's name; FALSE if there is no such kind. */
gboolean
dp_kind_parse (const char *text, DpKind *kind)
{
  for (guint i = 0; i < DP_N_KINDS; i++)
    {
      if (g_strcmp0 (text, kind_strings_[i]) == 0)
        {
          *kind = (DpKind) i;
          return TRUE;
        }
    }
  return FALSE;
}

/* Returns whether an object may have the name. */
gboolean
dp_record_name_is_valid (const char *name)
{
  gsize length = strlen (name);

  if (length == 0 || length > DP_RECORD_NAME_MAX || !g_utf8_validate (name, -1, NULL))
    return FALSE;
  for (gsize i = 0; i < length; i++)
    {
      if (g_ascii_iscntrl (name[i]) || name[i] == '/')
        return FALSE;
    }
  return TRUE;
}

/* Creates a record from a value's JSON text, which is ignored for a deleted object.
 * DP_ERROR_INVALID if name or value are malformed or too long. */
DpRecord *
dp_record_new (DpKind kind,
               const char *name,
               DpPosition position,
               gboolean deleted,
               const char *json,
               GError **error)
{
  g_autoptr (JsonNode) value = NULL;
  DpRecord *record;
  gsize length;

  g_assert (kind < DP_N_KINDS);
  if (!dp_record_name_is_valid (name))
    {
      dp_error_set (error, DP_ERROR_INVALID, "record", kind_strings_[kind],
                    "the object's name is malformed");
      return NULL;
    }
  if (!deleted)
    {
      length = strlen (json);
      if (length > DP_RECORD_VALUE_MAX)
        {
          dp_error_set (error, DP_ERROR_INVALID, "record", name,
                        "the value is longer than %d bytes", DP_RECORD_VALUE_MAX);
          return NULL;
        }
      value = dp_json_parse (json, length, error);
      if (value == NULL)
        return NULL;
    }
  record = dp_record_new_unchecked (kind, name, position, g_strdup (deleted ? "" : json));
  record->deleted = deleted;
  return record;
}

/* Creates a record without parsing its value. The name has to be valid, and json has to
 * be valid JSON. Takes ownership of json. */
DpRecord *
dp_record_new_unchecked (DpKind kind, const char *name, DpPosition position, char *json)
{
  DpRecord *record = g_new0 (DpRecord, 1);

  g_assert (kind < DP_N_KINDS && dp_record_name_is_valid (name));
  g_ref_count_init (&record->refs);
  record->kind = kind;
  record->name = g_strdup (name);
  record->position = position;
  record->json = json;
  return record;
}

/* Adds a reference. */
DpRecord *
dp_record_ref (DpRecord *record)
{
  g_ref_count_inc (&record->refs);
  return record;
}

/* Drops a reference; the last one frees the record. */
void
dp_record_unref (DpRecord *record)
{
  if (record == NULL || !g_ref_count_dec (&record->refs))
    return;
  g_free (record->name);
  g_free (record->json);
  g_free (record);
}

/* Returns the parsed value, owned by the caller; NULL if the record is deleted. A record
 * holds the text only: the parsed values of all records of a large replica would take
 * more than ten times the memory. */
JsonNode *
dp_record_value (const DpRecord *record)
{
  JsonNode *value;

  if (record->deleted)
    return NULL;
  value = dp_json_parse (record->json, strlen (record->json), NULL);
  g_assert (value != NULL); /* dp_record_new () rejects malformed text */
  return value;
}

/* Creates an empty replica at position 0. */
DpReplica *
dp_replica_new (void)
{
  DpReplica *replica = g_new0 (DpReplica, 1);

  for (guint i = 0; i < DP_N_KINDS; i++)
    replica->by_name[i] = g_hash_table_new (g_str_hash, g_str_equal);
  replica->by_position = g_sequence_new (unref_record_);
  replica->listeners = g_array_new (FALSE, FALSE, sizeof (Listener));
  return replica;
}

/* Frees the replica and releases its records. */
void
dp_replica_free (DpReplica *replica)
{
  if (replica == NULL)
    return;
  for (guint i = 0; i < DP_N_KINDS; i++)
    g_hash_table_unref (replica->by_name[i]);
  g_sequence_free (replica->by_position);
  g_array_unref (replica->listeners);
  g_free (replica);
}

/* Makes the replica call changed for each record that it applies from now on. Returns an
 * id for dp_replica_remove_listener (). */
guint
dp_replica_add_listener (DpReplica *replica, DpReplicaFunc changed, gpointer user_data)
{
  Listener listener = { ++replica->last_listener_id, changed, user_data };

  g_array_append_val (replica->listeners, listener);
  return listener.id;
}

/* Removes the listener with the id; an unknown id is ignored. */
void
dp_replica_remove_listener (DpReplica *replica, guint id)
{
  for (guint i = 0; i < replica->listeners->len; i++)
    {
      if (g_array_index (replica->listeners, Listener, i).id == id)
        {
          g_array_remove_index (replica->listeners, i);
          return;
        }
    }
}

/* Applies the record if it is newer than the replica's record of the same object; returns
 * whether it was applied. The replica's position stays, as records with lower positions
 * than the new one may still be missing. */
gboolean
dp_replica_apply (DpReplica *replica, DpRecord *record)
{
  GHashTable *names = replica->by_name[record->kind];
  GSequenceIter *old = g_hash_table_lookup (names, record->name);
  GSequenceIter *iter;

  if (old != NULL && !replica->any_position
      && dp_position_compare (((const DpRecord *) g_sequence_get (old))->position,
                              record->position)
             >= 0)
    return FALSE;
  if (old != NULL)
    {
      g_hash_table_remove (names, record->name);
      g_sequence_remove (old);
    }
  iter = g_sequence_insert_sorted (replica->by_position, dp_record_ref (record),
                                   compare_positions_, NULL);
  g_hash_table_insert (names, record->name, iter);
  notify_ (replica, record);
  return TRUE;
}

/* Applies a complete list of the objects of some kinds at a position. An object that the
 * replica has at a lower position and the list lacks was deleted meanwhile; its record is
 * replaced by a tombstone at the list's position; so is one that was lost when the store
 * was restored, since the list of the later era has a higher position. A list that is
 * older than the replica's own position deletes nothing. */
void
dp_replica_apply_list (DpReplica *replica,
                       guint kinds,
                       GPtrArray *records,
                       DpPosition position)
{
  for (guint i = 0; i < records->len; i++)
    dp_replica_apply (replica, g_ptr_array_index (records, i));
  if (dp_position_compare (position, replica->position) >= 0)
    delete_absent_ (replica, kinds, records, position);
  dp_replica_set_position (replica, position);
}

/* Sets the position up to which all records have been applied, unless it is lower than
 * the present one. */
void
dp_replica_set_position (DpReplica *replica, DpPosition position)
{
  replica->position = dp_position_max (replica->position, position);
}

/* Returns the position up to which the replica is complete. */
DpPosition
dp_replica_position (const DpReplica *replica)
{
  return replica->position;
}

/* Returns the object's record, NULL if it does not exist or was deleted. Valid until the
 * next change of the replica. */
const DpRecord *
dp_replica_get (const DpReplica *replica, DpKind kind, const char *name)
{
  const DpRecord *record = lookup_ (replica, kind, name);

  return record == NULL || record->deleted ? NULL : record;
}

/* Returns the objects of the kind that exist, in order of name; array of DpRecord. */
GPtrArray *
dp_replica_list (const DpReplica *replica, DpKind kind)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (unref_record_);
  GHashTableIter iter;
  gpointer place;

  g_hash_table_iter_init (&iter, replica->by_name[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &place))
    {
      DpRecord *record = g_sequence_get (place);

      if (!record->deleted)
        g_ptr_array_add (records, dp_record_ref (record));
    }
  g_ptr_array_sort (records, compare_names_);
  return records;
}

/* Returns the records above the position that a subscriber for the service gets ("": all
 * of them), in order of position; array of DpRecord. An exception for another service is
 * returned as a tombstone, since the subscriber may have received the exception when it
 * was for the subscriber's own service. */
GPtrArray *
dp_replica_since (const DpReplica *replica, DpPosition since, const char *service)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (unref_record_);
  GSequenceIter *iter = g_sequence_get_end_iter (replica->by_position);

  while (!g_sequence_iter_is_begin (iter))
    {
      GSequenceIter *previous = g_sequence_iter_prev (iter);

      if (dp_position_compare (((const DpRecord *) g_sequence_get (previous))->position,
                               since)
          <= 0)
        break;
      iter = previous;
    }
  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      DpRecord *record = filter_record_ (g_sequence_get (iter), service);

      if (record != NULL)
        g_ptr_array_add (records, record);
    }
  return records;
}

/* Returns whether a subscriber for the service gets the record as it is; always TRUE for
 * the service "". */
gboolean
dp_record_matches_service (const DpRecord *record, const char *service)
{
  g_autoptr (JsonNode) value = NULL;
  const char *scope;

  if (service[0] == '\0')
    return TRUE;
  switch (record->kind)
    {
    case DP_KIND_SERVICE:
    case DP_KIND_MEMBERS:
      return g_str_equal (record->name, service);
    case DP_KIND_EXCEPTION:
      if (record->deleted)
        return TRUE;
      value = dp_record_value (record);
      scope = dp_json_get_string (dp_json_get_object (value), "service");
      return g_strcmp0 (scope, service) == 0;
    case DP_KIND_FLEET:
    case DP_KIND_BALANCER:
    case DP_N_KINDS:
    default:
      return TRUE;
    }
}

/* Makes the replica apply records regardless of their position. Only for tests, which
 * show with it that they detect this fault. */
void
dp_replica_set_test_any_position (DpReplica *replica, gboolean any_position)
{
  replica->any_position = any_position;
}

static void
unref_record_ (gpointer data)
{
  dp_record_unref (data);
}

static gint
compare_positions_ (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const DpRecord *x = a;
  const DpRecord *y = b;

  return dp_position_compare (x->position, y->position);
}

static gint
compare_names_ (gconstpointer a, gconstpointer b)
{
  const DpRecord *x = *(const DpRecord *const *) a;
  const DpRecord *y = *(const DpRecord *const *) b;

  return strcmp (x->name, y->name);
}

static const DpRecord *
lookup_ (const DpReplica *replica, DpKind kind, const char *name)
{
  GSequenceIter *iter = g_hash_table_lookup (replica->by_name[kind], name);

  return iter == NULL ? NULL : g_sequence_get (iter);
}

static void
notify_ (DpReplica *replica, const DpRecord *record)
{
  g_autoptr (GArray) listeners = g_array_copy (replica->listeners);

  for (guint i = 0; i < listeners->len; i++)
    {
      const Listener *listener = &g_array_index (listeners, Listener, i);

      listener->changed (record, listener->user_data);
    }
}

static void
delete_absent_ (DpReplica *replica, guint kinds, GPtrArray *records, DpPosition position)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) absent = g_ptr_array_new_with_free_func (unref_record_);

  for (guint kind = 0; kind < DP_N_KINDS; kind++)
    {
      g_autoptr (GPtrArray) present = NULL;

      if ((kinds & 1u << kind) == 0)
        continue;
      present = dp_replica_list (replica, (DpKind) kind);

      g_hash_table_remove_all (listed);
      for (guint i = 0; i < records->len; i++)
        {
          const DpRecord *record = g_ptr_array_index (records, i);

          if (record->kind == (DpKind) kind)
            g_hash_table_add (listed, record->name);
        }
      for (guint i = 0; i < present->len; i++)
        {
          DpRecord *record = g_ptr_array_index (present, i);

          if (dp_position_compare (record->position, position) < 0
              && !g_hash_table_contains (listed, record->name))
            g_ptr_array_add (absent, dp_record_ref (record));
        }
    }
  for (guint i = 0; i < absent->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (absent, i);
      DpRecord *tombstone = dp_record_new (record->kind, record->name, position, TRUE, "",
                                           NULL);

      dp_replica_apply (replica, tombstone);
      dp_record_unref (tombstone);
    }
}

static DpRecord *
filter_record_ (DpRecord *record, const char *service)
{
  if (dp_record_matches_service (record, service))
    return dp_record_ref (record);
  if (record->kind != DP_KIND_EXCEPTION)
    return NULL;
  return dp_record_new (record->kind, record->name, record->position, TRUE, "", NULL);
}
