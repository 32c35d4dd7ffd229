/* Positions in messages between processes: an integer, which is the packed form, if the
 * position has one, and an array of era and revision otherwise. */
#pragma once

#include <msgpack.h>

#include "protected/position.h"

/* Returns 0, or the result of the packer's write function if that fails. */
int dp_msgpack_pack_position (msgpack_packer *packer, DpPosition position);
/* Returns FALSE if the object is no position, or out of range. */
gboolean dp_msgpack_read_position (const msgpack_object *object, DpPosition *position);
