/* Changes to the value of members/SERVICE that leave everything else in it as it is. */
#pragma once

#include <json-glib/json-glib.h>

#include "protected/memberview.h"

/* A member's entry as it stands. */
typedef struct
{
  gboolean present;
  gboolean held; /* by an operator's drain; also without an entry */
  DpMemberState state;
  guint64 incarnation;
} DpMembershipEntry;

/* value: of members/SERVICE, NULL if the object does not exist. FALSE if malformed. */
gboolean dp_membership_find (JsonNode *value, const char *name, DpMembershipEntry *entry);
/* Returns the value with the member's entry; a held one is written as leaving. NULL if
 * the value is malformed. */
JsonNode *dp_membership_put (JsonNode *value, const DpMember *member);
/* Ends the hold of a name without an entry, in the value itself; FALSE if there is none.
 */
gboolean dp_membership_release_hold (JsonNode *value, const char *name);
/* Returns the value without the member's entry; NULL if there is no entry, or one of a
 * later incarnation, or the value is malformed. A hold is kept in the list "held". */
JsonNode *dp_membership_remove (JsonNode *value, const char *name, guint64 incarnation);
