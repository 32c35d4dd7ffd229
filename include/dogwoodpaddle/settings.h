/* Settings of one process, read from a JSON file at startup. */
#pragma once

#include <glib.h>

typedef struct _DpSettings DpSettings;

typedef enum
{
  DP_SETTINGS_BALANCER,
  DP_SETTINGS_COMPANION,
  DP_N_SETTINGS_KINDS
} DpSettingsKind;

/* Returns NULL with DP_ERROR_INVALID, which names the file, the key and the reason. */
DpSettings *dp_settings_load (const char *path, DpSettingsKind kind, GError **error);
void dp_settings_free (DpSettings *settings);
const char *dp_settings_name (const DpSettings *settings);
const char *dp_settings_log_level (const DpSettings *settings);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpSettings, dp_settings_free)
