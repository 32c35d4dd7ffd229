/* The library's error domain. Each message names the failed step and, if there is one,
 * the peer. */
#pragma once

#include <glib.h>

typedef enum
{
  DP_ERROR_INVALID,     /* external input is malformed or out of range */
  DP_ERROR_CONFLICT,    /* a conditional update failed because another writer was first */
  DP_ERROR_UNAVAILABLE, /* the peer did not respond */
  DP_ERROR_OUTCOME_UNKNOWN, /* the request may or may not have been carried out */
  DP_ERROR_LIMIT,           /* a limit was reached */
  DP_ERROR_CLOSED,          /* the peer closed the connection */
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
