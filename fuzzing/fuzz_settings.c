/* Fuzzes the parser of settings files, for each kind of process. */
#include <stddef.h>
#include <stdint.h>

#include "protected/settings_fields.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  for (DpSettingsKind kind = 0; kind < DP_N_SETTINGS_KINDS; kind++)
    {
      g_autoptr (GError) error = NULL;
      g_autoptr (DpSettings)
          settings = dp_settings_parse ((const char *) data, size, kind, "input", &error);

      if ((settings == NULL) != (error != NULL))
        g_error ("dp_settings_parse set both or neither of settings and error");
    }
  return 0;
}
