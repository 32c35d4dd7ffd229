/* Parses and validates the bodies of the platform's HTTP responses. */
#pragma once

#include "protected/replica.h"

JsonNode *dp_platform_response_parse (GBytes *body, GError **error);
/* Returns NULL without setting error if the object does not exist. */
DpRecord *dp_platform_response_object (GBytes *body, GError **error);
/* Appends a DpRecord for each item to records. */
gboolean dp_platform_response_items (GBytes *body,
                                     GPtrArray *records,
                                     guint64 *revision,
                                     GError **error);
