/* JSON for operators that explains where a new flow would go now, and why. */
#pragma once

#include <json-glib/json-glib.h>

#include "protected/flowengine.h"
#include "protected/passthrough.h"
#include "protected/placement.h"
#include "protected/segment.h"

/* Members that are listed at most. */
#define DP_EXPLANATION_MEMBERS_MAX 256

/* Adds "service_address" and "client". */
void dp_explanation_add_flow (JsonObject *object, const DpFlowKey *key);
/* Adds "route", the service that has the address. */
void dp_explanation_add_route (JsonObject *object,
                               DpPlacement *placement,
                               guint64 service_id,
                               const DpServiceAddress *address);
/* Adds "chosen", the name of the chosen member or null, "n_members", and "members": the
 * members of the service as they are weighed for a flow with the hash, the best first. */
void dp_explanation_add_members (JsonObject *object,
                                 DpPlacement *placement,
                                 guint64 service_id,
                                 DpTrafficClass class,
                                 guint64 flow_hash,
                                 DpHandle chosen,
                                 gint64 now);
/* Adds what a companion would decide about the first SYN of a new flow, and why. */
void dp_explanation_add_preview (JsonObject *object, const DpPassthroughPreview *preview);
