/* Stand-in for the platform's object API: versioned objects with conditional writes and
 * long polling for changes. Faults can be set at run time, here or at /v1/faults. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _StandinPlatform StandinPlatform;

typedef struct
{
  gboolean down;        /* the connection of every call is closed without a response */
  guint delay_ms;       /* before each call is processed */
  guint lose_answers;   /* number of next writes that take effect but get no response */
  guint reject_rate;    /* percent of calls that get 429 (Too Many Requests) */
  gboolean cut_watches; /* the connection of every watch is closed */
} StandinFaults;

/* Numbers of calls. */
typedef struct
{
  guint64 reads;
  guint64 writes;
  guint64 watches;
} StandinCalls;

/* Port 0 in address selects a free port. */
StandinPlatform *
standin_platform_new (const DpAddress *address, guint32 seed, GError **error);
void standin_platform_free (StandinPlatform *standin);
const char *standin_platform_url (const StandinPlatform *standin);
void standin_platform_set_faults (StandinPlatform *standin, const StandinFaults *faults);
StandinCalls standin_platform_calls (const StandinPlatform *standin);
guint64 standin_platform_revision (const StandinPlatform *standin);
/* Limits the number of tombstones (deleted objects). A watch that starts before the
 * newest dropped tombstone gets 410 (Gone). */
void standin_platform_set_max_tombstones (StandinPlatform *standin, guint max_tombstones);
/* Drops all objects without leaving tombstones and sets the revision, as after a restore
 * from a backup. */
void standin_platform_restore (StandinPlatform *standin, guint64 revision);
/* With an era from 1 on, every response has the header Store-Era, and a watch from a
 * revision that the store does not have gets 410 (Gone). */
void standin_platform_set_era (StandinPlatform *standin, guint64 era);
/* Sends text instead of the era. */
void standin_platform_set_era_header (StandinPlatform *standin, const char *text);
void standin_platform_back_up (StandinPlatform *standin);
/* Goes back to the last backup; the era increases by one. */
void standin_platform_restore_backup (StandinPlatform *standin);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (StandinPlatform, standin_platform_free)
