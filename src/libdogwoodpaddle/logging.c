#include "dogwoodpaddle/logging.h"

#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "protected/error.h"

/* Longer values are truncated, so that a line with one long value fits into PIPE_BUF
 * bytes, which a writable pipe accepts without blocking. */
#define MAX_VALUE_BYTES 3000

typedef struct
{
  const char *name;
  GLogLevelFlags mask;
} Level;

static const Level levels_[] = {
  { "error", G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL },
  { "warning", G_LOG_LEVEL_WARNING },
  { "info", G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO },
  { "debug", G_LOG_LEVEL_DEBUG },
};

/* GLib's fields that are written under another name or are of no use to an operator. */
static const char *const omitted_fields_[] = {
  "MESSAGE",   "PRIORITY",  "GLIB_DOMAIN", "GLIB_OLD_LOG_API",
  "CODE_FILE", "CODE_LINE", "CODE_FUNC",   NULL,
};

/* GLib allows one log writer per process, hence the global state. */
static char *process_;
static gint threshold_ = 2;
static int descriptor_ = STDERR_FILENO;
static guint64 lost_;          /* lines */
static guint64 lost_reported_; /* lines already reported as lost by a later line */

static GLogWriterOutput write_log_ (GLogLevelFlags flags,
                                    const GLogField *fields,
                                    gsize n_fields,
                                    gpointer user_data);
static guint level_index_ (GLogLevelFlags flags);
static const GLogField *
find_field_ (const GLogField *fields, gsize n_fields, const char *key);
static void append_field_ (GString *line, const GLogField *field);
static void
append_pair_ (GString *line, const char *key, const char *value, gssize length);
static void append_text_ (GString *line, const char *text, gssize length);
static void write_line_ (const GString *line);
static gboolean write_nonblocking_ (const char *text, gsize length);

/* Writes all log messages of the process as JSON lines to standard error. process is the
 * process name given in each line; level is as in dp_logging_set_level (). May be called
 * more than once. */
gboolean
dp_logging_init (const char *process, const char *level, GError **error)
{
  static gsize installed = 0;

  if (!dp_logging_set_level (level, error))
    return FALSE;
  g_free (process_);
  process_ = g_strdup (process);
  if (g_once_init_enter (&installed))
    {
      g_log_set_writer_func (write_log_, NULL, NULL);
      g_once_init_leave (&installed, 1);
    }
  return TRUE;
}

/* Sets the file descriptor that lines are written to. */
void
dp_logging_set_descriptor (int descriptor)
{
  descriptor_ = descriptor;
}

/* Returns the number of lines that were lost since the process started. */
guint64
dp_logging_lost_lines (void)
{
  return lost_;
}

/* Sets the lowest severity that is written: error, warning, info or debug. Fails with
 * DP_ERROR_INVALID for any other text. */
gboolean
dp_logging_set_level (const char *level, GError **error)
{
  for (guint i = 0; i < G_N_ELEMENTS (levels_); i++)
    if (g_str_equal (level, levels_[i].name))
      {
        g_atomic_int_set (&threshold_, (gint) i);
        return TRUE;
      }
  dp_error_set (error, DP_ERROR_INVALID, "log level", NULL,
                "must be error, warning, info or debug, not \"%s\"", level);
  return FALSE;
}

static GLogWriterOutput
write_log_ (GLogLevelFlags flags,
            const GLogField *fields,
            gsize n_fields,
            gpointer user_data)
{
  guint level = level_index_ (flags);
  g_autoptr (GDateTime) now = NULL;
  g_autoptr (GString) line = NULL;
  g_autofree char *time = NULL;
  const GLogField *message;

  if (level > (guint) g_atomic_int_get (&threshold_))
    return G_LOG_WRITER_HANDLED;
  now = g_date_time_new_now_utc ();
  time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  line = g_string_new ("{");
  append_pair_ (line, "time", time, -1);
  append_pair_ (line, "level", levels_[level].name, -1);
  if (process_ != NULL && find_field_ (fields, n_fields, "PROCESS") == NULL)
    append_pair_ (line, "process", process_, -1);
  message = find_field_ (fields, n_fields, "MESSAGE");
  if (message != NULL)
    append_pair_ (line, "message", message->value, message->length);
  for (gsize i = 0; i < n_fields; i++)
    if (!g_strv_contains (omitted_fields_, fields[i].key))
      append_field_ (line, &fields[i]);
  g_string_append (line, "}\n");
  write_line_ (line);
  return G_LOG_WRITER_HANDLED;
}

static guint
level_index_ (GLogLevelFlags flags)
{
  for (guint i = 0; i < G_N_ELEMENTS (levels_); i++)
    if ((flags & levels_[i].mask) != 0)
      return i;
  return G_N_ELEMENTS (levels_) - 1;
}

static const GLogField *
find_field_ (const GLogField *fields, gsize n_fields, const char *key)
{
  for (gsize i = 0; i < n_fields; i++)
    if (g_str_equal (fields[i].key, key))
      return &fields[i];
  return NULL;
}

static void
append_field_ (GString *line, const GLogField *field)
{
  g_autofree char *key = g_ascii_strdown (field->key, -1);

  append_pair_ (line, key, field->value, field->length);
}

static void
append_pair_ (GString *line, const char *key, const char *value, gssize length)
{
  if (line->len > 1)
    g_string_append_c (line, ',');
  append_text_ (line, key, -1);
  g_string_append_c (line, ':');
  append_text_ (line, value, length);
}

/* Appends a JSON string. Bytes that are not UTF-8 are replaced. */
static void
append_text_ (GString *line, const char *text, gssize length)
{
  gsize bytes = length < 0 ? strlen (text) : (gsize) length;
  g_autofree char *valid = g_utf8_make_valid (text,
                                              (gssize) MIN (bytes, MAX_VALUE_BYTES));

  g_string_append_c (line, '"');
  for (const char *c = valid; *c != '\0'; c++)
    {
      if (*c == '"' || *c == '\\')
        g_string_append_printf (line, "\\%c", *c);
      else if ((guchar) *c < 0x20 || *c == 0x7f)
        g_string_append_printf (line, "\\u%04x", (guint) *c);
      else
        g_string_append_c (line, *c);
    }
  g_string_append_c (line, '"');
}

/* Writes each line with a single call, so that lines of several threads don't mix. A line
 * that can't be written without blocking is lost, so that a slow reader of the log never
 * delays packets. A warning with the number of lost lines precedes the next line that can
 * be written. */
static void
write_line_ (const GString *line)
{
  char notice[128];

  if (lost_ > lost_reported_)
    {
      guint64 lost = lost_;
      int length = g_snprintf (
          notice, sizeof notice,
          "{\"level\":\"warning\",\"process\":\"%.60s\","
          "\"message\":\"log lines lost\",\"lost\":\"%" G_GUINT64_FORMAT "\"}\n",
          process_ == NULL ? "" : process_, lost);

      if (!write_nonblocking_ (notice, MIN ((gsize) length, sizeof notice - 1)))
        {
          lost_++;
          return;
        }
      lost_reported_ = lost;
    }
  if (!write_nonblocking_ (line->str, line->len))
    lost_++;
}

/* Writes text unless that could block, and returns whether it was written. A pipe that
 * polls as writable accepts up to PIPE_BUF bytes without blocking. */
static gboolean
write_nonblocking_ (const char *text, gsize length)
{
  struct pollfd ready = { .fd = descriptor_, .events = POLLOUT };

  if (length > PIPE_BUF || poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    return FALSE;
  return write (descriptor_, text, length) == (gssize) length;
}
