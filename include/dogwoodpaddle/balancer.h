/* The balancer daemon. It runs on the default main context. */
#pragma once

#include <glib.h>

#include "dogwoodpaddle/settings.h"

typedef struct _DpBalancer DpBalancer;

DpBalancer *dp_balancer_new (DpSettings *settings);
gboolean dp_balancer_start (DpBalancer *balancer, GError **error);
/* Starts a graceful shutdown; a second call stops immediately. */
void dp_balancer_stop (DpBalancer *balancer);
/* Runs the main loop until the shutdown is complete. */
void dp_balancer_run (DpBalancer *balancer);
void dp_balancer_free (DpBalancer *balancer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpBalancer, dp_balancer_free)
