/* Structured logging: JSON lines on standard error or another file descriptor. */
#pragma once

#include <glib.h>

/* Installs the writer for GLib's structured logging. level: error, warning, info or
 * debug. */
gboolean dp_logging_init (const char *process, const char *level, GError **error);
/* Sets the file descriptor for all further lines. */
void dp_logging_set_descriptor (int descriptor);
/* Returns the number of lines dropped so far because the descriptor was not writable. */
guint64 dp_logging_lost_lines (void);
gboolean dp_logging_set_level (const char *level, GError **error);
