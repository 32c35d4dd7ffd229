/* What applying a fleet file would change, compared with the platform's objects. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/replica.h"

typedef enum
{
  DP_CHANGE_NONE, /* equal already, or not the file's business */
  DP_CHANGE_CREATE,
  DP_CHANGE_UPDATE,
  DP_CHANGE_DELETE,
  DP_CHANGE_CONFLICT, /* someone else changed the object since the file was made */
  DP_N_CHANGES
} DpChangeType;

/* One object of the file, of its versions or of the platform. */
typedef struct
{
  DpChangeType type;
  DpKind kind;
  char *name;
  guint64 file_version;     /* 0: the file names none */
  guint64 platform_version; /* on the platform, 0: does not exist */
  JsonNode *wanted;         /* content in the file, NULL: not in the file */
  JsonNode *current;        /* content on the platform, NULL: does not exist */
} DpChange;

typedef struct
{
  GPtrArray *changes; /* DpChange, in the order in which they are to be written */
  guint counts[DP_N_CHANGES];
} DpPlan;

/* file: checked without faults; records: DpRecord, all objects of the platform. */
DpPlan *dp_plan_new (JsonNode *file, GPtrArray *records);
void dp_plan_free (DpPlan *plan);
/* The fleet file that describes the platform once the plan is carried out; without
 * versions. */
JsonNode *dp_plan_result (const DpPlan *plan);
/* The fleet file that describes the platform's objects, with versions. */
JsonNode *dp_plan_file_from_records (GPtrArray *records);
const char *dp_change_type_string (DpChangeType type);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPlan, dp_plan_free)
