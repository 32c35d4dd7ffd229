/* What a companion decided for SYNs that it didn't accept, for their retransmissions. */
#pragma once

#include <glib.h>

#include "protected/segment.h"

#define DP_DECISIONS_MAX 16384

typedef enum
{
  DP_DECISION_NONE,
  DP_DECISION_FORWARD,
  DP_DECISION_REFUSE,
  DP_N_DECISIONS
} DpDecisionType;

typedef struct
{
  DpDecisionType type;
  guint32 member; /* FORWARD: id of the member */
  guint reason;   /* REFUSE: DpReason */
} DpDecision;

typedef struct _DpDecisions DpDecisions;

DpDecisions *dp_decisions_new (void);
void dp_decisions_free (DpDecisions *decisions);
void dp_decisions_set (DpDecisions *decisions,
                       const DpSegment *syn,
                       const DpDecision *decision,
                       gint64 now);
DpDecision
dp_decisions_get (const DpDecisions *decisions, const DpSegment *syn, gint64 now);
