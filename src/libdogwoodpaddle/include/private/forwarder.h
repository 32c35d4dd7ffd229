/* A balancer's data path: from datagrams of the network to members' companions. */
#pragma once

#include "protected/address.h"
#include "protected/clock.h"
#include "protected/metrics.h"
#include "protected/packetport.h"
#include "protected/replica.h"
#include "protected/memberview.h"

typedef struct _DpForwarder DpForwarder;

DpForwarder *dp_forwarder_new (const char *process,
                               DpReplica *replica,
                               const GArray *trusted_networks,
                               DpClock *clock,
                               DpMetrics *metrics);
void dp_forwarder_free (DpForwarder *forwarder);
gboolean
dp_forwarder_open (DpForwarder *forwarder, const DpAddress *address, GError **error);
/* Whether every record that the replica holds has been taken over. */
gboolean dp_forwarder_is_current (const DpForwarder *forwarder);
/* Table from service name to DpMemberView, of the services whose members are known. */
GHashTable *dp_forwarder_views (DpForwarder *forwarder);
gsize dp_forwarder_bytes (const DpForwarder *forwarder);
/* A DpPacketFunc; user_data is the forwarder. */
void dp_forwarder_datagram (const DpAddress *source,
                            guint8 *data,
                            gsize length,
                            gpointer user_data);
