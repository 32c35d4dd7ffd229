/* Validates the element counts of untrusted msgpack before the library unpacks it. */
#pragma once

#include <glib.h>

gboolean dp_msgpack_counts_fit (const guint8 *data, gsize length);
