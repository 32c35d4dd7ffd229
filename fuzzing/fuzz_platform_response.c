/* Fuzzes the parsers for the platform's responses: single objects, lists and watches. */
#include <stddef.h>
#include <stdint.h>

#include "private/platformresponse.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static GLogWriterOutput
discard_log (GLogLevelFlags level,
             const GLogField *fields,
             gsize n_fields,
             gpointer user_data)
{
  return G_LOG_WRITER_HANDLED;
}

/* Applies the parsed records to a replica, as the processes do. */
static void
check_items (GBytes *body)
{
  g_autoptr (GPtrArray)
      records = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  g_autoptr (DpReplica) replica = dp_replica_new ();
  guint64 revision = 0;

  if (!dp_platform_response_items (body, records, &revision, NULL))
    return;
  for (guint i = 0; i < records->len; i++)
    dp_replica_apply (replica, g_ptr_array_index (records, i));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static gboolean log_discarded;
  g_autoptr (GBytes) body = g_bytes_new (data, size);
  DpRecord *record;

  /* A log line for each skipped object would slow the run down. */
  if (!log_discarded)
    g_log_set_writer_func (discard_log, NULL, NULL);
  log_discarded = TRUE;
  record = dp_platform_response_object (body, NULL);
  g_clear_pointer (&record, dp_record_unref);
  check_items (body);
  return 0;
}
