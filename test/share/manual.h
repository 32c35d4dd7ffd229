/* Content of the manuals, the downloads that the backend server offers. It follows from a
 * seed, so that the load generator can check every byte. */
#pragma once

#include <glib.h>

/* Returns the word of 8 bytes at the index (from 0), from the SplitMix64 generator. */
static inline guint64
manual_word (guint64 seed, guint64 index)
{
  guint64 z = seed + (index + 1) * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);

  z = (z ^ z >> 30) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  z = (z ^ z >> 27) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return z ^ z >> 31;
}

/* Writes length bytes of the manual to data, starting at the byte offset; words are
 * little endian. */
static inline void
manual_fill (guint64 seed, guint64 offset, guint8 *data, gsize length)
{
  guint64 word = manual_word (seed, offset / 8);

  for (gsize i = 0; i < length; i++)
    {
      guint64 position = offset + i;

      if (i > 0 && position % 8 == 0)
        word = manual_word (seed, position / 8);
      data[i] = (guint8) (word >> 8 * (position % 8));
    }
}
