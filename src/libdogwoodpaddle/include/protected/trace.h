/* Trace spans: one JSON line per hop of a sampled flow's packet. */
#pragma once

#include <glib.h>

#include "protected/segment.h"

/* Logs a span with the fields trace_id, hop, process, flow, detail and the packet's
 * flags. */
void dp_trace_span (guint64 trace_id,
                    const char *hop,
                    const char *process,
                    const DpSegment *segment,
                    const char *detail);
