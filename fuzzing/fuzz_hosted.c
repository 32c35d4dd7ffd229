/* Fuzzes the parsers of the platform's own formats: packets, responses of the store, and
 * heartbeats. The first byte of the input chooses one of them. */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "announcements.h"
#include "packet.h"
#include "protected/fleet.h"
#include "protected/json.h"
#include "protected/passthrough.h"
#include "store.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
fuzz_packets (const guint8 *data, gsize size)
{
  g_autoptr (DpPassthrough) passthrough = dp_passthrough_new ("darbnica", "a", 0);
  gint64 now = 0;

  dp_passthrough_set_serving (passthrough, TRUE);
  /* Each 36 bytes are a packet without data. A packet that is marked as returned comes
   * back from the server, others come from a peer or the server, depending on their
   * position. The time between packets is 50 ms. */
  for (gsize offset = 0; offset + 36 <= size; offset += 36, now += 50000)
    {
      guint8 packet[36];
      DpSegment segment;
      gboolean returned;
      DpReleasedSyn released;
      DpHop hop;

      memcpy (packet, data + offset, sizeof packet);
      if (!platform_packet_format.parse (packet, sizeof packet, &segment, &returned))
        continue;
      platform_packet_format.read_hop (packet, &hop);
      if (returned)
        dp_passthrough_returned (passthrough, &segment, &hop, now);
      else if (offset % 72 == 0)
        {
          hop.service_tag = dp_service_tag (dp_service_id ("darbnica"));
          dp_passthrough_from_peer (passthrough, &segment, &hop, now);
        }
      else
        dp_passthrough_from_server (passthrough, &segment, now);
      while (dp_passthrough_next_released (passthrough, &released, now))
        g_clear_pointer (&released.packet, g_bytes_unref);
      dp_passthrough_tick (passthrough, now);
    }
}

static void
fuzz_response (const guint8 *data, gsize size, guint collection, gboolean list)
{
  g_autoptr (GBytes) body = g_bytes_new (data, size);
  g_autoptr (GPtrArray)
      records = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  g_autoptr (DpReplica) replica = dp_replica_new ();
  g_autofree char *after = NULL;
  guint64 revision = 0;

  if (list)
    store_dialect.read_list (body, collection, records, &revision, &after, NULL);
  else
    store_dialect.read_events (body, collection, records, &revision, NULL);
  for (guint i = 0; i < records->len; i++)
    {
      DpRecord *record = g_ptr_array_index (records, i);

      dp_replica_apply (replica, record);
      if (record->kind == DP_KIND_SERVICE)
        g_array_unref (dp_fleet_addresses (replica, record->name, NULL));
    }
}

static void
fuzz_heartbeat (const guint8 *data, gsize size)
{
  g_autoptr (JsonNode) node = dp_json_parse ((const char *) data, size, NULL);
  const DpAddress server = { 0x0a000009, 8080 };
  DpAnnouncement announcement = { .id = "i-1" };

  if (node != NULL)
    announcements_parse (node, "darbnica", &server, &announcement, NULL);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 1)
    return 0;
  switch (data[0] % 6)
    {
    case 0:
      fuzz_packets (data + 1, size - 1);
      break;
    case 5:
      fuzz_heartbeat (data + 1, size - 1);
      break;
    default:
      fuzz_response (data + 1, size - 1, data[0] >= 128 ? STORE_EVACUATIONS : data[0] % 2,
                     data[0] % 6 < 3);
      break;
    }
  return 0;
}
