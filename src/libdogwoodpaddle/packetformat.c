#include "protected/packetformat.h"

/* Returns the short form of a service's id that fits into a packet. It is never 0, as
 * clients and servers write 0 in its place. */
guint32
dp_service_tag (guint64 service_id)
{
  guint32 tag = (guint32) service_id & ((1u << DP_SERVICE_TAG_BITS) - 1);

  return tag == 0 ? 1 : tag;
}
