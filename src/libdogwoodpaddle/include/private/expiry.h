/* Expires the timers of a companion's flows, and gives free slots to waiting flows. */
#pragma once

#include "private/admission.h"

void dp_expiry_end (DpFlowEngine *acceptance,
                    DpHandle handle,
                    DpReason reason,
                    gint64 now,
                    DpActions *actions);
void dp_expiry_bound_half_open (DpFlowEngine *acceptance, gint64 now, DpActions *actions);
void dp_expiry_dispatch (DpFlowEngine *acceptance, gint64 now, DpActions *actions);
