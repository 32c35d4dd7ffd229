/* The fleet settings that operators write: defaults, services, and exceptions for single
 * services and hosts. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/flowengine.h"
#include "protected/document.h"
#include "protected/replica.h"

/* Names of the objects of DP_KIND_FLEET. */
#define DP_FLEET_DEFAULTS "defaults"
/* Names all services of a configuration that is one object of the platform. */
#define DP_FLEET_SERVICES "services"

/* Effective settings of one host. */
typedef struct
{
  guint32 wait_limit_ms; /* longest wait of a flow, for addresses that set no limit */
  guint32 visits; /* members that a flow tries for a slot; urgent flows: twice as many */
  guint32 slots;  /* flows with work at a backend server at a time */
  guint32 connections; /* flows that a member holds at a time */
  guint32 idle_timeout_s;
  guint32 progress_timeout_s;
  guint32 drain_deadline_s; /* no deadline if 0 */
  guint32 trace_sample;     /* one of this many flows is traced, 0: none */
  guint32 heartbeat_ms;
  guint32 suspect_ms;
  guint32 settle_ms; /* time after which a change is in force everywhere */
} DpFleetSettings;

/* Sets all settings to their default values. */
void dp_fleet_settings_init (DpFleetSettings *settings);
/* Computes the effective settings of a host; service and host may be NULL. Missing and
 * invalid records are ignored. */
void dp_fleet_effective_settings (const DpReplica *replica,
                                  const char *service,
                                  const char *host,
                                  DpFleetSettings *settings);
/* Returns the addresses of a service as an array of DpServiceAddress. */
GArray *
dp_fleet_addresses (const DpReplica *replica, const char *service, const char *host);
/* Returns the requests per second that the service's servers can handle while they are
 * cold; 0: no limit is declared. */
double dp_fleet_warmup_rate (const DpRecord *service);
char *dp_fleet_format_service_names (GHashTable *services);
GHashTable *dp_fleet_service_names (const DpReplica *replica);
/* Checks a complete fleet file. Returns an array of DpFault, empty if it is valid. */
GPtrArray *dp_fleet_check (JsonNode *file);
/* Returns the key of a fleet file that holds the objects of a kind, NULL for the kinds
 * that operators don't write. */
const char *dp_fleet_section_key (DpKind kind);
