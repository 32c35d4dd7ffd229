/* The companion daemon. It runs on the default main context. */
#pragma once

#include <glib.h>

#include "dogwoodpaddle/settings.h"

typedef struct _DpCompanion DpCompanion;

DpCompanion *dp_companion_new (DpSettings *settings);
gboolean dp_companion_start (DpCompanion *companion, GError **error);
/* Starts a graceful shutdown. A second call resets the remaining flows; a third one stops
 * immediately. */
void dp_companion_stop (DpCompanion *companion);
/* Runs the main loop until the shutdown is complete. */
void dp_companion_run (DpCompanion *companion);
void dp_companion_free (DpCompanion *companion);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpCompanion, dp_companion_free)
