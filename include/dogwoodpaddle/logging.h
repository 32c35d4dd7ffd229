/* Structured logs as JSON lines on standard error. */
#pragma once

#include <glib.h>

/* level: error, warning, info or debug. Installs the writer for GLib's structured
 * logging. */
gboolean dp_logging_init (const char *process, const char *level, GError **error);
gboolean dp_logging_set_level (const char *level, GError **error);
