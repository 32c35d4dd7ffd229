/* Rate-limited log lines about decisions on single flows. Each kind has a limit of its
 * own, so that failures aren't displaced by lines about searches or normal decisions. */
#pragma once

#include <glib.h>

#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/segment.h"

typedef struct _DpFlowLog DpFlowLog;

typedef enum
{
  DP_FLOW_LOG_FAILURE, /* a flow was rejected or reset, or its packet dropped */
  DP_FLOW_LOG_SEARCH,  /* a packet whose owner is not known for certain */
  DP_FLOW_LOG_NORMAL,  /* logged for a sample of the flows only */
  DP_N_FLOW_LOG_KINDS
} DpFlowLogKind;

#define DP_FLOW_ID_STRLEN 17 /* 16 hexadecimal digits and the terminator */

DpFlowLog *dp_flow_log_new (DpClock *clock, DpMetrics *metrics);
void dp_flow_log_free (DpFlowLog *log);
/* Returns whether a line about the segment may be written now, and counts it against the
 * rate if so. The caller then calls dp_flow_log_write (). */
gboolean
dp_flow_log_admits (DpFlowLog *log, DpFlowLogKind kind, const DpSegment *segment);
/* Writes a log line with the decision's action, its reason and the inputs that led to it.
 * inputs: a printf format. */
void dp_flow_log_write (const DpSegment *segment,
                        const char *action,
                        const char *reason,
                        const char *inputs,
                        ...) G_GNUC_PRINTF (4, 5);
const char *dp_flow_id_format (const DpFlowKey *key, char buffer[DP_FLOW_ID_STRLEN]);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpFlowLog, dp_flow_log_free)
