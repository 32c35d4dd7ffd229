/* Edits single entries in the value of the platform's object members/SERVICE and leaves
 * everything else in it as it is. */
#pragma once

#include <json-glib/json-glib.h>

#include "protected/memberview.h"

/* A member's entry, if any. A member is held while an operator keeps it drained; the hold
 * outlives the entry and lasts until it is released. */
typedef struct
{
  gboolean present;
  gboolean held; /* can also be set without an entry */
  DpMemberState state;
  guint64 incarnation;
} DpMembershipEntry;

/* value is that of members/SERVICE, or NULL if the object does not exist. Returns FALSE
 * if it is malformed. */
gboolean dp_membership_find (JsonNode *value, const char *name, DpMembershipEntry *entry);
/* Returns a copy of the value with the member's entry added or replaced; the entry of a
 * held member is written as leaving. Returns NULL if the value is malformed. */
JsonNode *dp_membership_put (JsonNode *value, const DpMember *member);
/* Ends the hold of a member that has no entry; modifies value in place. Returns FALSE if
 * there is no such hold. */
gboolean dp_membership_release_hold (JsonNode *value, const char *name);
/* Returns a copy of the value without the member's entry. Returns NULL if there is no
 * entry, the entry is of a later incarnation, or the value is malformed. The name of a
 * held member is added to the list "held". */
JsonNode *dp_membership_remove (JsonNode *value, const char *name, guint64 incarnation);
