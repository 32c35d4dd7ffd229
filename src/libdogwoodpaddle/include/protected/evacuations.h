/* Evacuations of availability zones as far as this process knows them: no new flow may
 * reach a server of an evacuated zone. Performs no I/O: the caller passes in what it
 * hears and the time.
 *
 * There is one entry for each zone, that of the newest change known. Processes exchange
 * entries in any order, and the entry with the higher position in the store's history
 * wins. The entry of a withdrawn evacuation is kept, so that an older entry of another
 * process doesn't bring the evacuation back.
 *
 * Load pattern: planned work on a zone while the store, balancers and companions fail,
 * and a store that is restored from a backup without the latest evacuations. */
#pragma once

#include <glib.h>

#include "protected/position.h"

#define DP_EVACUATIONS_MAX 64      /* entries */
#define DP_EVACUATION_ZONE_MAX 255 /* bytes of a zone's name */

typedef struct _DpEvacuations DpEvacuations;

typedef struct
{
  const char *zone;
  DpPosition position; /* of the change in the store's history */
  gboolean evacuated;
  guint32 age_ms; /* since the first process known to have heard of the change */
} DpEvacuationEntry;

typedef enum
{
  DP_EVACUATION_FROM_LIST,  /* a list of the store */
  DP_EVACUATION_FROM_WATCH, /* a watch of the store */
  DP_EVACUATION_FROM_PEER,  /* another process */
  DP_N_EVACUATION_SOURCES
} DpEvacuationSource;

/* Called when the set of evacuated zones has changed. */
typedef void (*DpEvacuationsFunc) (gpointer user_data);

DpEvacuations *dp_evacuations_new (void);
void dp_evacuations_free (DpEvacuations *evacuations);
void dp_evacuations_set_listener (DpEvacuations *evacuations,
                                  DpEvacuationsFunc changed,
                                  gpointer user_data);
/* Applies one change. now: in us, as everywhere below. */
void dp_evacuations_apply (DpEvacuations *evacuations,
                           const DpEvacuationEntry *entry,
                           DpEvacuationSource source,
                           gint64 now);
/* Records that all changes of the store up to the position have been applied. */
void dp_evacuations_set_complete (DpEvacuations *evacuations,
                                  DpPosition position,
                                  DpEvacuationSource source,
                                  gint64 now);
/* Returns whether the store's evacuations have been read completely at least once. */
gboolean dp_evacuations_is_complete (const DpEvacuations *evacuations);
/* Ends evacuations that a restored store no longer has. To be called several times a
 * second. */
void dp_evacuations_tick (DpEvacuations *evacuations, gint64 now);

gboolean dp_evacuations_contains (const DpEvacuations *evacuations, const char *zone);
/* Returns the time since the zone's evacuation became known, in us; 0 if the zone is not
 * evacuated. */
gint64
dp_evacuations_age (const DpEvacuations *evacuations, const char *zone, gint64 now);
guint dp_evacuations_n_evacuated (const DpEvacuations *evacuations);
/* Returns a hash of all entries, never 0. */
guint64 dp_evacuations_digest (const DpEvacuations *evacuations);
/* Returns the entries as DpEvacuationEntry, evacuated zones first; the zones' names are
 * valid until the next change. */
GArray *dp_evacuations_entries (const DpEvacuations *evacuations, gint64 now);

/* How much a process knows about evacuations. */
typedef enum
{
  DP_KNOWLEDGE_NONE,    /* it has just started and has not heard of any */
  DP_KNOWLEDGE_OLD,     /* it has heard of them, but is not in touch with the store */
  DP_KNOWLEDGE_CURRENT, /* it is in touch with the store, itself or by its parent */
  DP_N_KNOWLEDGE
} DpKnowledge;

/* Decides whether a companion that has started, or was paused for long, has heard enough
 * to take new flows. */
typedef struct
{
  gint64 bound;    /* us, in which an evacuation has to be in force */
  gint64 heard_at; /* us, when a balancer first answered, 0: not yet */
  DpKnowledge best;
} DpEvacuationTrust;

void dp_evacuation_trust_init (DpEvacuationTrust *trust, gint64 bound);
/* Records an answer of a process with this knowledge. */
void
dp_evacuation_trust_note (DpEvacuationTrust *trust, DpKnowledge knowledge, gint64 now);
gboolean dp_evacuation_trust_suffices (const DpEvacuationTrust *trust, gint64 now);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpEvacuations, dp_evacuations_free)
