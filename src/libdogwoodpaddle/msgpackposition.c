#include "private/msgpackposition.h"

#define N_FIELDS 2 /* of an array: era, revision */

static gboolean is_uint_ (const msgpack_object *object);

/* Writes the position. */
int
dp_msgpack_pack_position (msgpack_packer *packer, DpPosition position)
{
  guint64 packed;
  int result;

  if (dp_position_pack (position, &packed))
    return msgpack_pack_uint64 (packer, packed);
  result = msgpack_pack_array (packer, N_FIELDS);
  if (result == 0)
    result = msgpack_pack_uint64 (packer, dp_position_era (position));
  if (result == 0)
    result = msgpack_pack_uint64 (packer, dp_position_revision (position));
  return result;
}

/* Reads a position that dp_msgpack_pack_position () has written. */
gboolean
dp_msgpack_read_position (const msgpack_object *object, DpPosition *position)
{
  const msgpack_object *fields = object->via.array.ptr;

  if (is_uint_ (object) && object->via.u64 <= G_MAXINT64)
    {
      *position = dp_position_unpack (object->via.u64);
      return TRUE;
    }
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == N_FIELDS
         && is_uint_ (&fields[0]) && is_uint_ (&fields[1])
         && dp_position_make (fields[0].via.u64, fields[1].via.u64, position);
}

static gboolean
is_uint_ (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}
