/* A process's copy of the platform's objects, which never goes back to a lower
 * position. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

#include "protected/position.h"

#define DP_RECORD_NAME_MAX 255            /* bytes */
#define DP_RECORD_VALUE_MAX (1024 * 1024) /* bytes of JSON text */

typedef enum
{
  DP_KIND_FLEET,      /* fleet/defaults */
  DP_KIND_SERVICE,    /* service/NAME */
  DP_KIND_EXCEPTION,  /* exception/NAME */
  DP_KIND_MEMBERS,    /* members/SERVICE */
  DP_KIND_BALANCER,   /* balancer/NAME */
  DP_KIND_EVACUATION, /* evacuation/ZONE */
  DP_N_KINDS
} DpKind;

const char *dp_kind_string (DpKind kind);
gboolean dp_kind_parse (const char *text, DpKind *kind);

/* One object at one position. Immutable. */
typedef struct
{
  grefcount refs;
  DpKind kind;
  char *name;
  DpPosition position;
  gboolean deleted;
  char *json; /* the value's text, valid JSON; "" if deleted */
} DpRecord;

gboolean dp_record_name_is_valid (const char *name);
DpRecord *dp_record_new (DpKind kind,
                         const char *name,
                         DpPosition position,
                         gboolean deleted,
                         const char *json,
                         GError **error);
/* Creates a record without parsing its value. For text from this process that is known to
 * be valid JSON; takes ownership of it. */
DpRecord *
dp_record_new_unchecked (DpKind kind, const char *name, DpPosition position, char *json);
DpRecord *dp_record_ref (DpRecord *record);
void dp_record_unref (DpRecord *record);
JsonNode *dp_record_value (const DpRecord *record);

typedef struct _DpReplica DpReplica;

/* Called for each record after the replica has applied it. */
typedef void (*DpReplicaFunc) (const DpRecord *record, gpointer user_data);

DpReplica *dp_replica_new (void);
void dp_replica_free (DpReplica *replica);
guint
dp_replica_add_listener (DpReplica *replica, DpReplicaFunc changed, gpointer user_data);
void dp_replica_remove_listener (DpReplica *replica, guint id);

/* Applies the record and returns TRUE if it is newer than the replica's record of the
 * same object. */
gboolean dp_replica_apply (DpReplica *replica, DpRecord *record);
/* Applies a complete list of the objects of some kinds (bit mask, 1 << DpKind) at a
 * position. Objects of these kinds that the list lacks were deleted at or before that
 * position. */
void dp_replica_apply_list (DpReplica *replica,
                            guint kinds,
                            GPtrArray *records,
                            DpPosition position);
/* To be called when all records up to the position have been applied. Never lowers
 * the replica's position. */
void dp_replica_set_position (DpReplica *replica, DpPosition position);
DpPosition dp_replica_position (const DpReplica *replica);

/* NULL if the object does not exist or was deleted. */
const DpRecord *dp_replica_get (const DpReplica *replica, DpKind kind, const char *name);
/* The objects of a kind that exist, in order of name; array of DpRecord. */
GPtrArray *dp_replica_list (const DpReplica *replica, DpKind kind);
/* The records with a position above since that a subscriber for the service gets ("":
 * all), in order of position; array of DpRecord. */
GPtrArray *
dp_replica_since (const DpReplica *replica, DpPosition since, const char *service);
gboolean dp_record_matches_service (const DpRecord *record, const char *service);

/* Fault injection, with which tests show that they detect this fault: records are applied
 * regardless of their position. */
void dp_replica_set_test_any_position (DpReplica *replica, gboolean any_position);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpRecord, dp_record_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpReplica, dp_replica_free)
