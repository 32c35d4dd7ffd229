#include "protected/error.h"

static const char *const code_strings_[] = {
  "invalid", "conflict", "unavailable", "unknown", "limit", "closed",
};

G_STATIC_ASSERT (G_N_ELEMENTS (code_strings_) == DP_N_ERRORS);

G_DEFINE_QUARK (dp - error - quark, dp_error)

/* Returns a short name for the code. */
const char *
dp_error_code_string (DpErrorCode code)
{
  g_assert (code < DP_N_ERRORS);
  return code_strings_[code];
}

/* Sets an error whose message is "STEP: PEER: TEXT"; peer may be NULL. */
void
dp_error_set (GError **error,
              DpErrorCode code,
              const char *step,
              const char *peer,
              const char *format,
              ...)
{
  va_list args;
  g_autofree char *text = NULL;

  if (error == NULL)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  if (peer != NULL)
    g_set_error (error, DP_ERROR, code, "%s: %s: %s", step, peer, text);
  else
    g_set_error (error, DP_ERROR, code, "%s: %s", step, text);
}
