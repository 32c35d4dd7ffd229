/* Who gets configuration from whom, and who watches whom: computed alike everywhere from
 * the registered balancers. */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/replica.h"

#define DP_TOPOLOGY_ROOTS 2    /* of an availability zone; they watch the platform */
#define DP_TOPOLOGY_FAN_OUT 8  /* subscribers of one balancer */
#define DP_TOPOLOGY_WATCHERS 3 /* of one member */

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

/* From the replica's balancers; a malformed registration counts as absent. */
DpTopology *dp_topology_new (const DpReplica *replica);
void dp_topology_free (DpTopology *topology);
guint dp_topology_size (const DpTopology *topology);
const DpTopologyBalancer *dp_topology_at (const DpTopology *topology, guint i);
const DpTopologyBalancer *dp_topology_find (const DpTopology *topology, const char *name);

/* Rank of a balancer in its zone, whether it is registered yet or not. */
guint dp_topology_rank (const DpTopology *topology, const char *name, const char *zone);
/* Upstreams of a balancer, the parent first; pointers into the topology. */
GPtrArray *
dp_topology_upstreams (const DpTopology *topology, const char *name, const char *zone);
/* Watchers of a member in the zone, or with service "" of a balancer; returns their
 * number. */
guint dp_topology_watchers (const DpTopology *topology,
                            const char *service,
                            const char *member,
                            const char *zone,
                            const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS]);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpTopology, dp_topology_free)
