/* Fuzzes the parser for the request body with which a backend server registers at its
 * companion. */
#include <stddef.h>
#include <stdint.h>

#include "protected/document.h"
#include "protected/server.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  DpServerState state = { 0 };

  if (!dp_server_parse_registration ((const char *) data, size, &state, faults))
    return 0;
  if (state.port < 1 || state.port > G_MAXUINT16 || state.slots < 1
      || state.connections < 1)
    g_error ("a registration with a value out of range was accepted");
  return 0;
}
