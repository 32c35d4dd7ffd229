/* The balancer daemon as an object, to be run on the default main context. */
#pragma once

#include <glib.h>

#include "dogwoodpaddle/settings.h"

typedef struct _DpBalancer DpBalancer;

DpBalancer *dp_balancer_new (DpSettings *settings);
gboolean dp_balancer_start (DpBalancer *balancer, GError **error);
/* Begins a graceful shutdown; calling it again ends it at once. */
void dp_balancer_stop (DpBalancer *balancer);
/* Runs until the shutdown has ended. */
void dp_balancer_run (DpBalancer *balancer);
void dp_balancer_free (DpBalancer *balancer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpBalancer, dp_balancer_free)
