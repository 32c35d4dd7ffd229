/* Fuzzes the decoder of control messages: a message that it accepts must still decode
 * after it was encoded again. */
#include <stddef.h>
#include <stdint.h>

#include "protected/message.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_auto (DpMessage) message = { 0 };
  g_auto (DpMessage) decoded_again = { 0 };
  g_autoptr (GBytes) bytes = NULL;

  if (!dp_message_decode (&message, data, size, NULL))
    return 0;
  bytes = dp_message_encode (&message);
  if (!dp_message_decode (&decoded_again, g_bytes_get_data (bytes, NULL),
                          g_bytes_get_size (bytes), NULL))
    g_error ("an encoded message can't be decoded");
  return 0;
}
