/* The changes to the platform's objects that applying a fleet file would make. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/replica.h"

typedef enum
{
  DP_CHANGE_NONE, /* equal already, or not covered by the file */
  DP_CHANGE_CREATE,
  DP_CHANGE_UPDATE,
  DP_CHANGE_DELETE,
  DP_CHANGE_CONFLICT, /* someone else changed the object since the file was made */
  DP_N_CHANGES
} DpChangeType;

/* One object that occurs in the file, in its list of versions or on the platform. */
typedef struct
{
  DpChangeType type;
  DpKind kind;
  char *name;
  DpPosition file_version;     /* 0 if the file names none */
  DpPosition platform_version; /* on the platform; 0 if it does not exist there */
  JsonNode *wanted;            /* content in the file; NULL if not in the file */
  JsonNode *current; /* content on the platform; NULL if it does not exist there */
} DpChange;

typedef struct
{
  GPtrArray *changes; /* DpChange, in the order in which they have to be written */
  guint counts[DP_N_CHANGES];
} DpPlan;

/* The file must have passed dp_fleet_check (). records holds a DpRecord for each object
 * of the platform. */
DpPlan *dp_plan_new (JsonNode *file, GPtrArray *records);
void dp_plan_free (DpPlan *plan);
/* Returns the fleet file that describes the platform after the plan has been carried out,
 * without versions. */
JsonNode *dp_plan_result (const DpPlan *plan);
/* Returns the fleet file that describes the platform's objects, with versions. */
JsonNode *dp_plan_file_from_records (GPtrArray *records);
const char *dp_change_type_string (DpChangeType type);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPlan, dp_plan_free)
