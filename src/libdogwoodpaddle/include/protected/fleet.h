/* The operators' settings of the fleet: defaults, services and exceptions. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/flowengine.h"
#include "protected/document.h"
#include "protected/replica.h"

#define DP_FLEET_DEFAULTS "defaults" /* name of the only object of DP_KIND_FLEET */

/* Effective settings of one host. */
typedef struct
{
  guint32 wait_limit_ms;
  guint32 visits;
  guint32 slots;
  guint32 connections;
  guint32 idle_timeout_s;
  guint32 progress_timeout_s;
  guint32 drain_deadline_s; /* 0: none */
  guint32 trace_sample;     /* one flow in so many, 0: none */
  guint32 heartbeat_ms;
  guint32 suspect_ms;
  guint32 settle_ms; /* after which a change is in force everywhere */
} DpFleetSettings;

void dp_fleet_settings_init (DpFleetSettings *settings);
/* service and host may be NULL. Records that are missing or invalid count as absent. */
void dp_fleet_effective (const DpReplica *replica,
                         const char *service,
                         const char *host,
                         DpFleetSettings *settings);
/* The addresses of a service with class and wait limit; array of DpServiceAddress. */
GArray *
dp_fleet_addresses (const DpReplica *replica, const char *service, const char *host);
/* Checks a whole fleet file; array of DpFault, empty if it is right. */
GPtrArray *dp_fleet_check (JsonNode *file);
/* The member of a fleet file that holds the objects of a kind, NULL for the kinds that
 * operators don't write. */
const char *dp_fleet_section (DpKind kind);
