/* The library's error domain. Every error names the step that failed and the peer. */
#pragma once

#include <glib.h>

typedef enum
{
  DP_ERROR_INVALID,         /* input from outside is malformed or out of range */
  DP_ERROR_CONFLICT,        /* a conditional update lost against another writer */
  DP_ERROR_UNAVAILABLE,     /* the peer did not answer */
  DP_ERROR_OUTCOME_UNKNOWN, /* the outcome of a request is not known */
  DP_ERROR_LIMIT,           /* a bound was reached */
  DP_ERROR_CLOSED,          /* the peer ended the connection */
  DP_N_ERRORS
} DpErrorCode;

#define DP_ERROR (dp_error_quark ())

GQuark dp_error_quark (void);
const char *dp_error_code_string (DpErrorCode code);

void dp_error_set (GError **error,
                   DpErrorCode code,
                   const char *step,
                   const char *peer,
                   const char *format,
                   ...) G_GNUC_PRINTF (5, 6);
