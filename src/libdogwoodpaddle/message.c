#include "protected/message.h"

#include <msgpack.h>
#include <string.h>

#include "private/msgpackcheck.h"
#include "private/msgpackposition.h"
#include "protected/error.h"

#define STEP "control message"

/* Reads the elements of a message's array in order; ok becomes FALSE at the first element
 * that is missing or invalid. */
typedef struct
{
  const msgpack_object *next;
  guint left;
  GStringChunk *strings;
  gboolean ok;
} Reader;

static const char *const type_strings_[] = {
  "none", "hello", "subscribe", "records", "heartbeat", "suspect", "ping",
};

G_STATIC_ASSERT (G_N_ELEMENTS (type_strings_) == DP_N_MESSAGES);

static const char *const role_strings_[] = { "balancer", "companion" };

G_STATIC_ASSERT (G_N_ELEMENTS (role_strings_) == DP_N_ROLES);

/* Minimum number of elements in a message of each type, including the type itself. */
static const guint element_counts_[] = { 0, 6, 3, 3, 7, 6, 1 };

G_STATIC_ASSERT (G_N_ELEMENTS (element_counts_) == DP_N_MESSAGES);

static void pack_string_ (msgpack_packer *packer, const char *text);
static void pack_records_ (msgpack_packer *packer, const DpRecords *records);
static gboolean decode_fields_ (DpMessage *message, Reader *reader, GError **error);
static guint64 read_uint_ (Reader *reader, guint64 max);
static DpPosition read_position_ (Reader *reader);
static const char *read_string_ (Reader *reader);
static gboolean read_records_ (Reader *reader, DpRecords *records, GError **error);
static DpRecord *read_record_ (const msgpack_object *object, GError **error);

/* Returns a short name of the type. */
const char *
dp_message_type_string (DpMessageType type)
{
  g_assert (type < DP_N_MESSAGES);
  return type_strings_[type];
}

/* Returns a short name of the role. */
const char *
dp_role_string (DpRole role)
{
  g_assert (role < DP_N_ROLES);
  return role_strings_[role];
}

/* Encodes the message as msgpack. */
GBytes *
dp_message_encode (const DpMessage *message)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  GBytes *bytes;

  g_assert (message->type > DP_MESSAGE_NONE && message->type < DP_N_MESSAGES);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (
      &packer,
      element_counts_[message->type]
          + (message->type == DP_MESSAGE_RECORDS && message->records.has_age ? 1 : 0));
  msgpack_pack_uint32 (&packer, message->type);
  switch (message->type)
    {
    case DP_MESSAGE_HELLO:
      msgpack_pack_uint32 (&packer, message->hello.version);
      msgpack_pack_uint32 (&packer, message->hello.role);
      pack_string_ (&packer, message->hello.name);
      pack_string_ (&packer, message->hello.zone);
      dp_msgpack_pack_position (&packer, message->hello.position);
      break;
    case DP_MESSAGE_SUBSCRIBE:
      dp_msgpack_pack_position (&packer, message->subscribe.since);
      pack_string_ (&packer, message->subscribe.service);
      break;
    case DP_MESSAGE_RECORDS:
      pack_records_ (&packer, &message->records);
      break;
    case DP_MESSAGE_HEARTBEAT:
      pack_string_ (&packer, message->heartbeat.service);
      pack_string_ (&packer, message->heartbeat.member);
      msgpack_pack_uint64 (&packer, message->heartbeat.incarnation);
      dp_msgpack_pack_position (&packer, message->heartbeat.position);
      msgpack_pack_uint32 (&packer, message->heartbeat.busy_slots);
      msgpack_pack_uint32 (&packer, message->heartbeat.connections);
      break;
    case DP_MESSAGE_SUSPECT:
      pack_string_ (&packer, message->suspicion.service);
      pack_string_ (&packer, message->suspicion.member);
      msgpack_pack_uint64 (&packer, message->suspicion.incarnation);
      pack_string_ (&packer, message->suspicion.watcher);
      pack_string_ (&packer, message->suspicion.zone);
      break;
    case DP_MESSAGE_PING:
    case DP_MESSAGE_NONE:
    case DP_N_MESSAGES:
    default:
      break;
    }
  bytes = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

/* Decodes one message, which the caller has to clear. DP_ERROR_INVALID if it is
 * malformed, of an unknown type or exceeds a limit; there is nothing to clear then. */
gboolean
dp_message_decode (DpMessage *message, const guint8 *data, gsize length, GError **error)
{
  msgpack_unpacked unpacked;
  Reader reader = { 0 };
  gsize offset = 0;
  guint64 type;
  gboolean ok = FALSE;

  memset (message, 0, sizeof *message);
  msgpack_unpacked_init (&unpacked);
  if (length > DP_MESSAGE_MAX || !dp_msgpack_counts_fit (data, length)
      || msgpack_unpack_next (&unpacked, (const char *) data, length, &offset)
             != MSGPACK_UNPACK_SUCCESS
      || unpacked.data.type != MSGPACK_OBJECT_ARRAY || unpacked.data.via.array.size == 0)
    {
      dp_error_set (error, DP_ERROR_INVALID, STEP, NULL, "not a msgpack array");
      goto out;
    }
  message->strings = g_string_chunk_new (DP_MESSAGE_STRING_MAX);
  reader.next = unpacked.data.via.array.ptr;
  reader.left = unpacked.data.via.array.size;
  reader.strings = message->strings;
  reader.ok = TRUE;
  type = read_uint_ (&reader, DP_N_MESSAGES - 1);
  if (!reader.ok || type == DP_MESSAGE_NONE
      || unpacked.data.via.array.size < element_counts_[type])
    {
      dp_error_set (error, DP_ERROR_INVALID, STEP, NULL,
                    "unknown type or too few elements");
      goto out;
    }
  message->type = (DpMessageType) type;
  ok = decode_fields_ (message, &reader, error);

out:
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    dp_message_clear (message);
  return ok;
}

/* Frees what a decoded message owns. */
void
dp_message_clear (DpMessage *message)
{
  if (message->type == DP_MESSAGE_RECORDS && message->strings != NULL)
    g_clear_pointer (&message->records.items, g_ptr_array_unref);
  g_clear_pointer (&message->strings, g_string_chunk_free);
  message->type = DP_MESSAGE_NONE;
}

static void
pack_string_ (msgpack_packer *packer, const char *text)
{
  gsize length = strlen (text);

  msgpack_pack_str (packer, length);
  msgpack_pack_str_body (packer, text, length);
}

static void
pack_records_ (msgpack_packer *packer, const DpRecords *records)
{
  guint n = records->items->len;

  g_assert (n <= DP_MESSAGE_RECORDS_MAX);
  dp_msgpack_pack_position (packer, records->complete_through);
  msgpack_pack_array (packer, n);
  for (guint i = 0; i < n; i++)
    {
      const DpRecord *record = g_ptr_array_index (records->items, i);

      msgpack_pack_array (packer, 5);
      pack_string_ (packer, dp_kind_string (record->kind));
      pack_string_ (packer, record->name);
      dp_msgpack_pack_position (packer, record->position);
      if (record->deleted)
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      pack_string_ (packer, record->json);
    }
  if (records->has_age)
    msgpack_pack_uint32 (packer, records->age_ms);
}

static gboolean
decode_fields_ (DpMessage *message, Reader *reader, GError **error)
{
  switch (message->type)
    {
    case DP_MESSAGE_HELLO:
      message->hello.version = (guint32) read_uint_ (reader, G_MAXUINT32);
      message->hello.role = (DpRole) read_uint_ (reader, DP_N_ROLES - 1);
      message->hello.name = read_string_ (reader);
      message->hello.zone = read_string_ (reader);
      message->hello.position = read_position_ (reader);
      break;
    case DP_MESSAGE_SUBSCRIBE:
      message->subscribe.since = read_position_ (reader);
      message->subscribe.service = read_string_ (reader);
      break;
    case DP_MESSAGE_RECORDS:
      return read_records_ (reader, &message->records, error);
    case DP_MESSAGE_HEARTBEAT:
      message->heartbeat.service = read_string_ (reader);
      message->heartbeat.member = read_string_ (reader);
      message->heartbeat.incarnation = read_uint_ (reader, G_MAXINT64);
      message->heartbeat.position = read_position_ (reader);
      message->heartbeat.busy_slots = (guint32) read_uint_ (reader, G_MAXUINT32);
      message->heartbeat.connections = (guint32) read_uint_ (reader, G_MAXUINT32);
      break;
    case DP_MESSAGE_SUSPECT:
      message->suspicion.service = read_string_ (reader);
      message->suspicion.member = read_string_ (reader);
      message->suspicion.incarnation = read_uint_ (reader, G_MAXINT64);
      message->suspicion.watcher = read_string_ (reader);
      message->suspicion.zone = read_string_ (reader);
      break;
    case DP_MESSAGE_PING:
    case DP_MESSAGE_NONE:
    case DP_N_MESSAGES:
    default:
      break;
    }
  if (!reader->ok)
    dp_error_set (error, DP_ERROR_INVALID, STEP, type_strings_[message->type],
                  "an element is malformed or out of range");
  return reader->ok;
}

static guint64
read_uint_ (Reader *reader, guint64 max)
{
  const msgpack_object *object = reader->next;

  if (!reader->ok || reader->left == 0 || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || object->via.u64 > max)
    {
      reader->ok = FALSE;
      return 0;
    }
  reader->next++;
  reader->left--;
  return object->via.u64;
}

static DpPosition
read_position_ (Reader *reader)
{
  DpPosition position;

  if (!reader->ok || reader->left == 0
      || !dp_msgpack_read_position (reader->next, &position))
    {
      reader->ok = FALSE;
      return 0;
    }
  reader->next++;
  reader->left--;
  return position;
}

static const char *
read_string_ (Reader *reader)
{
  const msgpack_object *object = reader->next;

  if (!reader->ok || reader->left == 0 || object->type != MSGPACK_OBJECT_STR
      || object->via.str.size > DP_MESSAGE_STRING_MAX
      || !g_utf8_validate_len (object->via.str.ptr, object->via.str.size, NULL))
    {
      reader->ok = FALSE;
      return "";
    }
  reader->next++;
  reader->left--;
  return g_string_chunk_insert_len (reader->strings, object->via.str.ptr,
                                    (gssize) object->via.str.size);
}

static gboolean
read_records_ (Reader *reader, DpRecords *records, GError **error)
{
  const msgpack_object *list;

  records->items = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  records->complete_through = read_position_ (reader);
  list = reader->next;
  if (!reader->ok || reader->left == 0 || list->type != MSGPACK_OBJECT_ARRAY
      || list->via.array.size > DP_MESSAGE_RECORDS_MAX)
    {
      dp_error_set (error, DP_ERROR_INVALID, STEP, "records",
                    "the list is malformed or too long");
      return FALSE;
    }
  for (guint i = 0; i < list->via.array.size; i++)
    {
      DpRecord *record = read_record_ (&list->via.array.ptr[i], error);

      if (record == NULL)
        return FALSE;
      g_ptr_array_add (records->items, record);
    }
  reader->next++;
  reader->left--;
  if (reader->left == 0)
    return TRUE;
  records->has_age = TRUE;
  records->age_ms = (guint32) read_uint_ (reader, G_MAXUINT32);
  if (!reader->ok)
    dp_error_set (error, DP_ERROR_INVALID, STEP, "records", "the age is malformed");
  return reader->ok;
}

static DpRecord *
read_record_ (const msgpack_object *object, GError **error)
{
  const msgpack_object *fields = object->via.array.ptr;
  g_autofree char *kind_name = NULL;
  g_autofree char *name = NULL;
  g_autofree char *json = NULL;
  DpPosition position;
  DpKind kind;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 5
      || fields[0].type != MSGPACK_OBJECT_STR || fields[1].type != MSGPACK_OBJECT_STR
      || !dp_msgpack_read_position (&fields[2], &position)
      || fields[3].type != MSGPACK_OBJECT_BOOLEAN || fields[4].type != MSGPACK_OBJECT_STR)
    {
      dp_error_set (error, DP_ERROR_INVALID, STEP, "records", "a record is malformed");
      return NULL;
    }
  kind_name = g_strndup (fields[0].via.str.ptr, fields[0].via.str.size);
  name = g_strndup (fields[1].via.str.ptr, fields[1].via.str.size);
  json = g_strndup (fields[4].via.str.ptr, fields[4].via.str.size);
  if (!dp_kind_parse (kind_name, &kind))
    {
      dp_error_set (error, DP_ERROR_INVALID, STEP, "records", "unknown kind");
      return NULL;
    }
  return dp_record_new (kind, name, position, fields[3].via.boolean, json, error);
}
