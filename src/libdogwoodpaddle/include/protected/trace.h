/* Trace spans: one log line for each hop of a packet of a sampled flow. */
#pragma once

#include <glib.h>

#include "protected/segment.h"

/* Logs a span with the fields trace_id, hop, process, flow, flags (of the packet) and
 * detail. */
void dp_trace_span (guint64 trace_id,
                    const char *hop,
                    const char *process,
                    const DpSegment *segment,
                    const char *detail);
