/* Expires the timers of a companion's flows, and gives free slots to waiting flows. */
#pragma once

#include "private/admission.h"

void dp_expiry_end (DpFlowEngine *engine,
                    DpHandle handle,
                    DpReason reason,
                    gint64 now,
                    DpActions *actions);
void dp_expiry_limit_half_open (DpFlowEngine *engine, gint64 now, DpActions *actions);
void dp_expiry_dispatch (DpFlowEngine *engine, gint64 now, DpActions *actions);
