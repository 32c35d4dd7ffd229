/* The compiled charts; see scripts/charts. */
#pragma once

#include <gio/gio.h>

GResource *dp_charts_get_resource (void);
