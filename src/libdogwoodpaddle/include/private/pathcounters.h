/* Metrics of the data path, and its log lines about dropped packets. */
#pragma once

#include <glib.h>

#include "protected/flowengine.h"
#include "protected/metrics.h"

/* Why a datagram or packet is dropped before it gets to the flow engine, and why a reply
 * can't be sent. */
typedef enum
{
  DP_FAULT_UNTRUSTED,
  DP_FAULT_HEADER,
  DP_FAULT_PACKET,
  DP_FAULT_WRONG_SERVICE, /* decided by the flow engine; also counted as a reason */
  DP_FAULT_NO_REPLY_ADDRESS,
  DP_N_FAULTS
} DpFaultKind;

typedef struct
{
  DpMetric *n_faults[DP_N_FAULTS];
  gint64 logged_at[DP_N_FAULTS]; /* us, 0: never */
  DpMetric *n_actions[DP_N_ACTIONS];
  DpMetric *n_reasons[DP_N_REASONS];
  DpMetric *n_late;
  DpMetric *n_replies;
} DpPathCounters;

void dp_path_counters_init (DpPathCounters *counters, DpMetrics *metrics);
void dp_path_counters_action (DpPathCounters *counters, const DpAction *action);
void dp_path_counters_fault (DpPathCounters *counters,
                             DpFaultKind fault,
                             const DpAddress *peer,
                             const char *text,
                             gint64 now);
