#include "private/msgpackcheck.h"

static gsize header_length_ (const guint8 *data,
                             gsize length,
                             guint64 *n_elements,
                             gsize *body_length);
static gsize
sized_header_length_ (const guint8 *data, gsize length, guint width, guint64 *count);

/* Returns whether the data is long enough for the element count that each container
 * declares. The msgpack library allocates a container before it reads the elements, so a
 * message of a few bytes could otherwise request gigabytes. */
gboolean
dp_msgpack_counts_fit (const guint8 *data, gsize length)
{
  guint64 expected = 1;
  gsize offset = 0;

  while (expected > 0)
    {
      guint64 n_elements = 0;
      gsize body_length = 0;
      gsize size = header_length_ (data + offset, length - offset, &n_elements,
                                   &body_length);

      if (size == 0)
        return FALSE;
      offset += size;
      if (body_length > length - offset)
        return FALSE;
      offset += body_length;
      expected = expected - 1 + n_elements;
      if (expected > length - offset)
        return FALSE;
    }
  return TRUE;
}

/* Returns the length in bytes of an item's header (see "Formats" in the msgpack
 * specification), or 0 if it is truncated or its format is not used by control messages.
 * For an array, sets contained to the number of elements that follow; for an item with a
 * body, sets skipped to the body's length in bytes. */
static gsize
header_length_ (const guint8 *data, gsize length, guint64 *n_elements, gsize *body_length)
{
  guint64 count = 0;
  gsize size;
  guint8 tag;

  if (length == 0)
    return 0;
  tag = data[0];
  if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3)
    return 1;
  if (tag >= 0x90 && tag <= 0x9f)
    {
      *n_elements = tag & 0x0f;
      return 1;
    }
  if (tag >= 0xa0 && tag <= 0xbf)
    {
      *body_length = tag & 0x1f;
      return 1;
    }
  switch (tag)
    {
    case 0xcc: /* uint 8 to 64 */
    case 0xcd:
    case 0xce:
    case 0xcf:
      *body_length = (gsize) 1 << (tag - 0xcc);
      return 1;
    case 0xd9: /* str 8 to 32 */
    case 0xda:
    case 0xdb:
      size = sized_header_length_ (data, length, 1u << (tag - 0xd9), &count);
      *body_length = count;
      return size;
    case 0xdc: /* array 16 and 32 */
    case 0xdd:
      size = sized_header_length_ (data, length, 2u << (tag - 0xdc), &count);
      *n_elements = count;
      return size;
    default:
      return 0;
    }
}

static gsize
sized_header_length_ (const guint8 *data, gsize length, guint width, guint64 *count)
{
  if (length < 1 + (gsize) width)
    return 0;
  *count = 0;
  for (guint i = 1; i <= width; i++)
    *count = *count << 8 | data[i];
  return 1 + (gsize) width;
}
