/* Fuzzes the JSON parsers for input from outside: fleet files, member lists and the
 * platform's records. */
#include <stddef.h>
#include <stdint.h>

#include "protected/document.h"
#include "protected/fleet.h"
#include "protected/json.h"
#include "protected/memberview.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_fleet (const char *text, gsize length)
{
  g_autoptr (GPtrArray) faults = dp_faults_new ();
  g_autoptr (JsonNode) file = dp_document_parse (text, length, faults);

  if (file != NULL)
    g_ptr_array_unref (dp_fleet_check (file));
}

static void
check_view (const char *text, gsize length)
{
  g_autoptr (JsonNode) value = dp_json_parse (text, length, NULL);
  DpMemberView *view;

  if (value == NULL)
    return;
  view = dp_member_view_new_from_json ("s", 1, value, NULL);
  g_clear_pointer (&view, dp_member_view_unref);
}

static void
check_records (const char *text)
{
  g_autoptr (DpReplica) replica = dp_replica_new ();
  DpFleetSettings settings;

  for (DpKind kind = 0; kind < DP_N_KINDS; kind++)
    {
      g_autoptr (DpRecord)
          record = dp_record_new (kind, "defaults", kind + 1, FALSE, text, NULL);

      if (record != NULL)
        dp_replica_apply (replica, record);
    }
  dp_fleet_effective_settings (replica, "defaults", "host", &settings);
  g_array_unref (dp_fleet_addresses (replica, "defaults", NULL));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  g_autofree char *text = g_strndup ((const char *) data, size);

  check_fleet ((const char *) data, size);
  check_view ((const char *) data, size);
  check_records (text);
  return 0;
}
