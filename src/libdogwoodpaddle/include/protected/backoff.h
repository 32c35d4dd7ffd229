/* Exponential retry delays with jitter and an upper bound. */
#pragma once

#include <glib.h>

typedef struct
{
  guint first_ms;
  guint max_ms;
  guint attempts; /* failures since the last success */
} DpBackoff;

void dp_backoff_init (DpBackoff *backoff, guint first_ms, guint max_ms);
void dp_backoff_reset (DpBackoff *backoff);
guint dp_backoff_next (DpBackoff *backoff);
