/* The settings that fleet defaults and exceptions may contain, shared by fleet.c and
 * fleet_check.c. */
#pragma once

#include "protected/fleet.h"

typedef struct
{
  const char *key;
  guint32 min;
  guint32 max;
  guint32 default_value; /* value if neither defaults nor exceptions set it */
  gsize offset;          /* offset of the field in DpFleetSettings */
} DpFleetKey;

extern const DpFleetKey dp_fleet_keys_[];
extern const guint dp_n_fleet_keys_;

const DpFleetKey *dp_fleet_key_find_ (const char *key);
guint32 *dp_fleet_key_field_ (const DpFleetKey *key, DpFleetSettings *settings);
void dp_fleet_settings_merge_ (DpFleetSettings *settings, JsonNode *set);
gboolean dp_fleet_address_parse_ (JsonNode *node,
                                  const char *path,
                                  DpServiceAddress *address,
                                  GPtrArray *faults);
