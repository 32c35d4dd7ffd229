/* Structured logs as JSON lines on standard error, or on another descriptor. */
#pragma once

#include <glib.h>

/* level: error, warning, info or debug. Installs the writer for GLib's structured
 * logging. */
gboolean dp_logging_init (const char *process, const char *level, GError **error);
/* Where lines go from now on. */
void dp_logging_set_descriptor (int descriptor);
/* Lines that were lost so far, since the descriptor took no more. */
guint64 dp_logging_lost_lines (void);
gboolean dp_logging_set_level (const char *level, GError **error);
