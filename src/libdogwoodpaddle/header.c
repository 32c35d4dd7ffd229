#include "protected/header.h"

#include <string.h>

#include <msgpack.h>

#include "private/msgpackposition.h"
#include "protected/error.h"

#define N_FIELDS 10
#define N_POSITION_FIELDS 2 /* era, revision */
/* Type bytes of the MessagePack format. */
#define FIXARRAY 0x90
#define FIXARRAY_MAX 15
#define ARRAY16 0xdc
#define FIXINT_MAX 0x7f
#define UINT8 0xcc
#define UINT64 0xcf

typedef struct
{
  guint8 *data;
  gsize size;
  gsize length;
} Buffer;

typedef struct
{
  const guint8 *data;
  gsize length;
  gsize offset;
} Reader;

static int write_ (void *data, const char *bytes, size_t length);
static gboolean read_array_ (Reader *reader, guint *n);
static gboolean read_uint_ (Reader *reader, guint64 max, guint64 *value);
static gboolean read_position_ (Reader *reader, DpPosition *position);
static gboolean read_visited_ (Reader *reader, DpHeader *header);
static gboolean invalid_ (GError **error, const char *text);

/* Writes the header into buffer and returns its length in bytes; 0 if it doesn't fit. */
gsize
dp_header_encode (const DpHeader *header, guint8 *buffer, gsize size)
{
  Buffer out = { .data = buffer, .size = size };
  msgpack_packer packer;
  gboolean failed;

  g_assert (header->n_visited <= DP_VISITED_MAX);
  msgpack_packer_init (&packer, &out, write_);
  failed = msgpack_pack_array (&packer, N_FIELDS) != 0
           || msgpack_pack_uint8 (&packer, DP_HEADER_VERSION) != 0
           || msgpack_pack_uint64 (&packer, header->service_id) != 0
           || dp_msgpack_pack_position (&packer, header->revision) != 0
           || msgpack_pack_uint32 (&packer, header->reply_to.ip) != 0
           || msgpack_pack_uint16 (&packer, header->reply_to.port) != 0
           || msgpack_pack_uint64 (&packer, header->trace_id) != 0
           || msgpack_pack_uint32 (&packer, header->flags) != 0
           || msgpack_pack_array (&packer, header->n_visited) != 0;
  for (guint i = 0; !failed && i < header->n_visited; i++)
    failed = msgpack_pack_uint32 (&packer, header->visited[i]) != 0;
  failed = failed || msgpack_pack_uint32 (&packer, header->best_member) != 0
           || msgpack_pack_uint32 (&packer, header->best_wait_ms) != 0;
  return failed ? 0 : out.length;
}

/* Reads the header at the start of a datagram and writes its length in bytes to
 * header_length. Fails with DP_ERROR_INVALID for another version, a value out of range,
 * more than DP_VISITED_MAX visited members, or a member that is listed twice. */
gboolean
dp_header_decode (DpHeader *header,
                  const guint8 *data,
                  gsize length,
                  gsize *header_length,
                  GError **error)
{
  Reader in = { .data = data, .length = MIN (length, DP_HEADER_MAX) };
  guint n_fields;
  guint64 version;
  guint64 ip;
  guint64 port;
  guint64 flags;
  guint64 best_member;
  guint64 best_wait_ms;

  if (!read_array_ (&in, &n_fields) || n_fields != N_FIELDS
      || !read_uint_ (&in, G_MAXUINT8, &version))
    return invalid_ (error, "not an array of 10 fields");
  if (version != DP_HEADER_VERSION)
    return invalid_ (error, "unknown version");
  if (!read_uint_ (&in, G_MAXUINT64, &header->service_id)
      || !read_position_ (&in, &header->revision) || !read_uint_ (&in, G_MAXUINT32, &ip)
      || !read_uint_ (&in, G_MAXUINT16, &port)
      || !read_uint_ (&in, G_MAXUINT64, &header->trace_id)
      || !read_uint_ (&in, G_MAXUINT32, &flags))
    return invalid_ (error, "a field is missing or out of range");
  if (!read_visited_ (&in, header))
    return invalid_ (error, "the list of visited members is invalid");
  if (!read_uint_ (&in, G_MAXUINT32, &best_member)
      || !read_uint_ (&in, G_MAXUINT32, &best_wait_ms))
    return invalid_ (error, "a field is missing or out of range");
  header->reply_to.ip = (guint32) ip;
  header->reply_to.port = (guint16) port;
  header->flags = (guint32) flags;
  header->best_member = (guint32) best_member;
  header->best_wait_ms = (guint32) best_wait_ms;
  *header_length = in.offset;
  return TRUE;
}

static int
write_ (void *data, const char *bytes, size_t length)
{
  Buffer *buffer = data;

  if (length > buffer->size - buffer->length)
    return -1;
  memcpy (buffer->data + buffer->length, bytes, length);
  buffer->length += length;
  return 0;
}

/* Reads the head of an array without msgpack-c, which allocates memory for the announced
 * number of elements before it looks for them: a few bytes could claim gigabytes. */
static gboolean
read_array_ (Reader *reader, guint *n)
{
  const guint8 *at = reader->data + reader->offset;
  gsize left = reader->length - reader->offset;

  if (left >= 1 && (at[0] & 0xf0) == FIXARRAY)
    {
      *n = at[0] & FIXARRAY_MAX;
      reader->offset += 1;
      return TRUE;
    }
  if (left >= 3 && at[0] == ARRAY16)
    {
      *n = (guint) at[1] << 8 | at[2];
      reader->offset += 3;
      return TRUE;
    }
  return FALSE;
}

/* Reads an unsigned integer up to max. Other types are rejected before msgpack-c sees
 * them, as it may allocate memory for them. */
static gboolean
read_uint_ (Reader *reader, guint64 max, guint64 *value)
{
  msgpack_object object;
  msgpack_unpack_return status;
  guint8 head;

  if (reader->offset == reader->length)
    return FALSE;
  head = reader->data[reader->offset];
  if (head > FIXINT_MAX && (head < UINT8 || head > UINT64))
    return FALSE;
  status = msgpack_unpack ((const char *) reader->data, reader->length, &reader->offset,
                           NULL, &object);
  if ((status != MSGPACK_UNPACK_SUCCESS && status != MSGPACK_UNPACK_EXTRA_BYTES)
      || object.type != MSGPACK_OBJECT_POSITIVE_INTEGER || object.via.u64 > max)
    return FALSE;
  *value = object.via.u64;
  return TRUE;
}

/* Reads a position that dp_msgpack_pack_position () has written. */
static gboolean
read_position_ (Reader *reader, DpPosition *position)
{
  guint64 number;
  guint64 revision;
  guint n;

  if (read_uint_ (reader, G_MAXINT64, &number))
    {
      *position = dp_position_unpack (number);
      return TRUE;
    }
  return read_array_ (reader, &n) && n == N_POSITION_FIELDS
         && read_uint_ (reader, DP_ERA_MAX, &number)
         && read_uint_ (reader, DP_REVISION_MAX, &revision)
         && dp_position_make (number, revision, position);
}

static gboolean
read_visited_ (Reader *reader, DpHeader *header)
{
  guint n;

  if (!read_array_ (reader, &n) || n > DP_VISITED_MAX)
    return FALSE;
  header->n_visited = n;
  for (guint i = 0; i < n; i++)
    {
      guint64 id;

      if (!read_uint_ (reader, G_MAXUINT32, &id))
        return FALSE;
      header->visited[i] = (guint32) id;
      for (guint j = 0; j < i; j++)
        {
          if (header->visited[j] == id)
            return FALSE;
        }
    }
  return TRUE;
}

static gboolean
invalid_ (GError **error, const char *text)
{
  dp_error_set (error, DP_ERROR_INVALID, "data header", NULL, "%s", text);
  return FALSE;
}
