/* The companion daemon as an object, to be run on the default main context. */
#pragma once

#include <glib.h>

#include "dogwoodpaddle/settings.h"

typedef struct _DpCompanion DpCompanion;

DpCompanion *dp_companion_new (DpSettings *settings);
gboolean dp_companion_start (DpCompanion *companion, GError **error);
/* Begins a graceful shutdown; calling it again ends it at once. */
void dp_companion_stop (DpCompanion *companion);
/* Runs until the shutdown has ended. */
void dp_companion_run (DpCompanion *companion);
void dp_companion_free (DpCompanion *companion);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpCompanion, dp_companion_free)
