/* A companion's data path: passes received datagrams to the flow engine and carries out
 * its actions with the TCP stack, splices and connections to the backend server. */
#pragma once

#include <glib.h>

#include "protected/clock.h"
#include "protected/flowengine.h"
#include "protected/metrics.h"
#include "protected/packetport.h"

typedef struct _DpDataPath DpDataPath;

typedef struct
{
  const char *process;      /* the companion's name, for trace spans */
  DpFlowEngine *engine;     /* not owned; must outlive the data path */
  GArray *trusted_networks; /* DpNetwork; datagrams from other sources are dropped */
  DpClock *clock;
  DpMetrics *metrics;
} DpDataPathOptions;

DpDataPath *dp_data_path_new (const DpDataPathOptions *options);
void dp_data_path_free (DpDataPath *path);
/* The data path takes ownership of the port. */
void dp_data_path_set_port (DpDataPath *path, DpPacketPort *port);
/* A DpPacketFunc; user_data is the data path. */
void dp_data_path_datagram (const DpAddress *source,
                            guint8 *data,
                            gsize length,
                            gpointer user_data);
void dp_data_path_set_server (DpDataPath *path, const DpAddress *server);
void dp_data_path_set_addresses (DpDataPath *path,
                                 const DpServiceAddress *addresses,
                                 guint n_addresses);
void dp_data_path_update (DpDataPath *path);
guint dp_data_path_abort_all (DpDataPath *path, DpReason reason);
guint dp_data_path_n_flows (const DpDataPath *path);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpDataPath, dp_data_path_free)
