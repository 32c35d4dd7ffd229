/* The timers of a companion's flows, and the turn of the waiting ones. */
#pragma once

#include "private/admission.h"

void dp_expiry_end (DpAcceptance *acceptance,
                    DpHandle handle,
                    DpReason reason,
                    gint64 now,
                    DpActions *actions);
void dp_expiry_bound_half_open (DpAcceptance *acceptance, gint64 now, DpActions *actions);
void dp_expiry_dispatch (DpAcceptance *acceptance, gint64 now, DpActions *actions);
