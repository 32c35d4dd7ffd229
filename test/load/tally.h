/* Counts of a run's outcomes, wait times by kind, and what the servers did. */
#pragma once

#include "client.h"

typedef struct
{
  guint64 requests;
  guint64 outcomes[N_OUTCOMES];
  guint64 kinds[N_KINDS];
  guint64 resubmitted;
  guint64 idle_resets;
  GArray *waits[N_KINDS]; /* guint32, us from due to the first byte of the answer */
  GHashTable *servers;    /* name -> number of answers */
  GHashTable *reports;    /* id of a report -> its Outcome + 1 */
  /* From the servers. */
  gboolean verified;
  guint64 doubled;         /* reports that were acted on more than once */
  guint64 lost;            /* reports answered as done but not acted on */
  guint64 refused_but_run; /* reports refused and yet acted on */
} Tally;

void tally_init (Tally *tally);
void tally_finish (Tally *tally);
void tally_add (Tally *tally, const Request *request);
/* Reads /admin/reports of every server of the comma separated list IP:PORT,... */
gboolean
tally_verify (Tally *tally, const char *run, const char *servers, GError **error);
char *tally_format (Tally *tally, double seconds);
gboolean tally_good (const Tally *tally);
