/* Numbers in network byte order. */
#pragma once

#include <glib.h>

static inline guint16
dp_get16 (const guint8 *data)
{
  return (guint16) (data[0] << 8 | data[1]);
}

static inline guint32
dp_get32 (const guint8 *data)
{
  return (guint32) dp_get16 (data) << 16 | dp_get16 (data + 2);
}

static inline void
dp_put16 (guint8 *data, guint16 value)
{
  data[0] = (guint8) (value >> 8);
  data[1] = (guint8) value;
}

static inline void
dp_put32 (guint8 *data, guint32 value)
{
  dp_put16 (data, (guint16) (value >> 16));
  dp_put16 (data + 2, (guint16) value);
}
