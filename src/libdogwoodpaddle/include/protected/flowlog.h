/* Log lines about decisions on single flows: bounded in number, failures before the rest.
 */
#pragma once

#include <glib.h>

#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/segment.h"

typedef struct _DpFlowLog DpFlowLog;

typedef enum
{
  DP_FLOW_LOG_FAILURE, /* a flow was rejected, reset, or its packet dropped */
  DP_FLOW_LOG_NORMAL,  /* written for a sample of the flows only */
  DP_N_FLOW_LOG_KINDS
} DpFlowLogKind;

#define DP_FLOW_ID_STRLEN 17 /* 16 hexadecimal digits and the terminator */

DpFlowLog *dp_flow_log_new (DpClock *clock, DpMetrics *metrics);
void dp_flow_log_free (DpFlowLog *log);
/* Whether a line would be written now; counts the line if so. */
gboolean
dp_flow_log_admits (DpFlowLog *log, DpFlowLogKind kind, const DpSegment *segment);
/* Writes the line: what was decided, why, and the inputs that decided it. */
void dp_flow_log_write (const DpSegment *segment,
                        const char *action,
                        const char *reason,
                        const char *inputs,
                        ...) G_GNUC_PRINTF (4, 5);
const char *dp_flow_id_format (const DpFlowKey *key, char buffer[DP_FLOW_ID_STRLEN]);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpFlowLog, dp_flow_log_free)
