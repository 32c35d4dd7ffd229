/* A companion's decisions for SYNs that it didn't accept. A retransmitted SYN gets the
 * same decision again. */
#pragma once

#include <glib.h>

#include "protected/segment.h"

#define DP_SYN_DECISIONS_MAX 16384

typedef enum
{
  DP_SYN_DECISION_NONE,
  DP_SYN_DECISION_FORWARD,
  DP_SYN_DECISION_REFUSE,
  DP_N_SYN_DECISIONS
} DpSynDecisionType;

typedef struct
{
  DpSynDecisionType type;
  guint32 member; /* FORWARD: id of the member that the SYN was sent to */
  guint reason;   /* REFUSE: DpReason */
} DpSynDecision;

typedef struct _DpSynDecisions DpSynDecisions;

DpSynDecisions *dp_syn_decisions_new (void);
void dp_syn_decisions_free (DpSynDecisions *decisions);
void dp_syn_decisions_set (DpSynDecisions *decisions,
                           const DpSegment *syn,
                           const DpSynDecision *decision,
                           gint64 now);
DpSynDecision
dp_syn_decisions_get (const DpSynDecisions *decisions, const DpSegment *syn, gint64 now);
