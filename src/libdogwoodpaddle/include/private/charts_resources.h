/* State charts compiled into a GResource by scripts/charts. */
#pragma once

#include <gio/gio.h>

GResource *dp_charts_get_resource (void);
