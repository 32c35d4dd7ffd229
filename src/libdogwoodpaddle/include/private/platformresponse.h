/* Reads the platform's answers; everything in them is checked. */
#pragma once

#include "protected/replica.h"

JsonNode *dp_platform_response_parse (GBytes *body, GError **error);
/* NULL without an error: the object does not exist. */
DpRecord *dp_platform_response_object (GBytes *body, GError **error);
/* records: DpRecord, appended to. */
gboolean dp_platform_response_items (GBytes *body,
                                     GPtrArray *records,
                                     guint64 *revision,
                                     GError **error);
