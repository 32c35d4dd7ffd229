/* Which balancer gets its configuration from which, and which balancers watch a process.
 * Every process computes the same result from the registered balancers. */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/replica.h"

#define DP_TOPOLOGY_ROOTS 2    /* per availability zone; they watch the platform */
#define DP_TOPOLOGY_FAN_OUT 8  /* subscribers per balancer */
#define DP_TOPOLOGY_WATCHERS 3 /* per member or balancer */

typedef struct
{
  char *name;
  char *zone;
  char *region; /* "" if it is not registered */
  DpAddress data_address;
  DpAddress control_address;
  DpAddress http_address;
  guint64 incarnation;
} DpTopologyBalancer;

typedef struct _DpTopology DpTopology;

/* Reads the replica's balancers; a malformed registration counts as absent. */
DpTopology *dp_topology_new (const DpReplica *replica);
void dp_topology_free (DpTopology *topology);
guint dp_topology_size (const DpTopology *topology);
const DpTopologyBalancer *dp_topology_at (const DpTopology *topology, guint i);
const DpTopologyBalancer *dp_topology_find (const DpTopology *topology, const char *name);

/* Returns the rank of a balancer in its zone, whether it is registered yet or not. */
guint dp_topology_rank (const DpTopology *topology, const char *name, const char *zone);
/* Returns the upstreams of a balancer, the parent first; pointers into the topology. */
GPtrArray *
dp_topology_upstreams (const DpTopology *topology, const char *name, const char *zone);
/* Gets the watchers of a member, or of a balancer if service is ""; zone is that of the
 * watched process. Returns the number of watchers. */
guint dp_topology_watchers (const DpTopology *topology,
                            const char *service,
                            const char *member,
                            const char *zone,
                            const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS]);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpTopology, dp_topology_free)
