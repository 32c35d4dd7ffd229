/* Results of a run: outcomes, waiting times by kind of request, and the differences
 * between the outcomes of reports and what the servers processed. */
#pragma once

#include "client.h"

typedef struct
{
  guint64 requests;
  guint64 outcomes[N_OUTCOMES];
  guint64 requests_by_kind[N_KINDS];
  guint64 resubmitted;    /* requests with Request.resubmitted */
  guint64 idle_resets;    /* idle connections found reset at the end of the run */
  GArray *waits[N_KINDS]; /* guint32, us from Request.due to the first byte */
  GHashTable *servers;    /* name -> number of responses */
  GHashTable *reports;    /* id of a report -> its Outcome + 1 */
  /* Set by tally_verify. */
  gboolean verified;
  guint64 doubled;         /* reports that were processed more than once */
  guint64 lost;            /* reports with OUTCOME_OK that were not processed */
  guint64 refused_but_run; /* reports with OUTCOME_REFUSED that were processed */
} Tally;

void tally_init (Tally *tally);
void tally_finish (Tally *tally);
void tally_add (Tally *tally, const Request *request);
/* Reads /admin/reports of each server and compares it with the outcomes of the reports.
 * servers is a comma separated list of IP:PORT; run_id is the prefix of the report ids.
 */
gboolean
tally_verify (Tally *tally, const char *run_id, const char *servers, GError **error);
char *tally_format (Tally *tally, double seconds);
gboolean tally_passed (const Tally *tally);
