/* A balancer's routing table: determines the first member that a packet visits. */
#pragma once

#include <glib.h>

#include "protected/flowengine.h"
#include "protected/header.h"
#include "protected/memberview.h"
#include "protected/segment.h"

typedef struct _DpRouter DpRouter;

typedef enum
{
  DP_ROUTE_FORWARD,         /* send to the route's member */
  DP_ROUTE_UNKNOWN_ADDRESS, /* no service has the destination address */
  DP_ROUTE_NO_MEMBER,       /* the service has no suitable member for the packet */
  DP_N_ROUTE_RESULTS
} DpRouteResult;

typedef struct
{
  DpAddress member_address;
  DpHeader header; /* complete except for reply_to */
} DpRoute;

DpRouter *dp_router_new (void);
void dp_router_free (DpRouter *router);
void dp_router_set_addresses (DpRouter *router,
                              const char *service,
                              const DpServiceAddress *addresses,
                              guint n_addresses);
void dp_router_set_view (DpRouter *router, DpMemberView *view);
void dp_router_remove_service (DpRouter *router, const char *service);
void dp_router_set_trace_sample (DpRouter *router, guint one_in);
DpRouteResult
dp_router_route (DpRouter *router, const DpSegment *segment, DpRoute *route);
const DpServiceAddress *
dp_router_find (DpRouter *router, const DpAddress *address, guint64 *service_id);
const char *dp_route_result_string (DpRouteResult result);
gsize dp_router_bytes (const DpRouter *router);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpRouter, dp_router_free)
