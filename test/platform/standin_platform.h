/* Stand-in for the platform's object API, with faults that tests switch at run time. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _StandinPlatform StandinPlatform;

typedef struct
{
  gboolean down;      /* every call's connection is closed without an answer */
  guint delay_ms;     /* before each call is carried out */
  guint lose_answers; /* so many writes take effect without an answer */
  guint reject_rate;  /* percent of calls answered with 429 */
  gboolean cut_watches;
} StandinFaults;

typedef struct
{
  guint64 reads;
  guint64 writes;
  guint64 watches;
} StandinCalls;

/* port 0: any free one. */
StandinPlatform *
standin_platform_new (const DpAddress *address, guint32 seed, GError **error);
void standin_platform_free (StandinPlatform *standin);
const char *standin_platform_url (const StandinPlatform *standin);
void standin_platform_set_faults (StandinPlatform *standin, const StandinFaults *faults);
StandinCalls standin_platform_calls (const StandinPlatform *standin);
guint64 standin_platform_revision (const StandinPlatform *standin);
/* Tombstones kept at most; a watch from before the oldest dropped one gets 410. */
void standin_platform_set_history (StandinPlatform *standin, guint max_tombstones);
/* Forgets all objects and starts at the revision, as after a restore from a backup. */
void standin_platform_restore (StandinPlatform *standin, guint64 revision);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (StandinPlatform, standin_platform_free)
