/* Decides which flows may have work at the backend server, by class and arrival. */
#pragma once

#include <glib.h>

#include "protected/handle.h"

typedef enum
{
  DP_CLASS_URGENT,      /* fault reports */
  DP_CLASS_INTERACTIVE, /* status, job sheets */
  DP_CLASS_BULK,        /* manuals */
  DP_N_CLASSES
} DpClass;

const char *dp_class_string (DpClass class);
gboolean dp_class_parse (const char *text, DpClass *class);
