/* Control messages from peers: what is decoded is encoded again and must decode. */
#include <stddef.h>
#include <stdint.h>

#include "protected/message.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_auto (DpMessage) message = { 0 };
  g_auto (DpMessage) again = { 0 };
  g_autoptr (GBytes) bytes = NULL;

  if (!dp_message_decode (&message, data, size, NULL))
    return 0;
  bytes = dp_message_encode (&message);
  if (!dp_message_decode (&again, g_bytes_get_data (bytes, NULL),
                          g_bytes_get_size (bytes), NULL))
    g_error ("an encoded message can't be decoded");
  return 0;
}
