/* A balancer's data path: receives clients' IP packets as UDP datagrams from the network
 * and forwards them to the members' companions. */
#pragma once

#include "protected/address.h"
#include "protected/clock.h"
#include "protected/memberview.h"
#include "protected/metrics.h"
#include "protected/packetport.h"
#include "protected/replica.h"

typedef struct _DpForwarder DpForwarder;

DpForwarder *dp_forwarder_new (const char *process,
                               DpReplica *replica,
                               const GArray *trusted_networks,
                               DpClock *clock,
                               DpMetrics *metrics);
void dp_forwarder_free (DpForwarder *forwarder);
gboolean
dp_forwarder_open (DpForwarder *forwarder, const DpAddress *address, GError **error);
/* Returns whether the forwarder has applied all changes of the replica's records. */
gboolean dp_forwarder_is_current (const DpForwarder *forwarder);
/* Returns a table from service name to DpMemberView, with the services whose members are
 * known. */
GHashTable *dp_forwarder_views (DpForwarder *forwarder);
gsize dp_forwarder_bytes (const DpForwarder *forwarder);
/* A DpPacketFunc; user_data is the forwarder. */
void dp_forwarder_datagram (const DpAddress *source,
                            guint8 *data,
                            gsize length,
                            gpointer user_data);
