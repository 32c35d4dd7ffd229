#include "protected/router.h"

#include <string.h>

#include "protected/candidates.h"

#define INITIAL_ROWS 64 /* rows of the address table, a power of two */
#define INDEX_BITS 16   /* bits of a row for the service's index + 1 */
#define SERVICES_MAX ((1u << INDEX_BITS) - 1)
#define ROW_FREE 0

/* One service that has addresses, members or both. */
typedef struct
{
  DpCandidates *candidates; /* NULL: no member list yet */
  guint64 id;
  DpPosition revision; /* of the member list */
  char *name;
  GArray *addresses; /* DpServiceAddress */
} Service;

/* A row of the address table: ip, port and the service's index + 1 in 32, 16 and 16 bits.
 * Linear probing, at most half full. */
typedef guint64 Row;

struct _DpRouter
{
  Row *rows;
  guint n_rows; /* a power of two */
  guint trace_sample;
  gboolean needs_rebuild; /* the address table must be rebuilt */
  Service *services;      /* at most SERVICES_MAX; an unused one has no name */
  gboolean is_full;       /* a service was refused, which was logged */
  guint n_services;
  GHashTable *indices; /* name to index + 1 */
};

static Service *get_service_ (DpRouter *router, const char *name);
static void clear_service_ (Service *service);
static void rebuild_ (DpRouter *router);
static void insert_ (DpRouter *router, const DpServiceAddress *address, guint service);
static guint64 key_ (const DpAddress *address);
static guint first_row_ (const DpRouter *router, guint64 key);
static const Service *find_service_ (const DpRouter *router, const DpAddress *address);

static const char *const result_strings_[] = { "forward", "unknown_address",
                                               "no_member" };

G_STATIC_ASSERT (G_N_ELEMENTS (result_strings_) == DP_ROUTE_NO_MEMBER + 1);

/* Creates a router without services. */
DpRouter *
dp_router_new (void)
{
  DpRouter *router = g_new0 (DpRouter, 1);

  router->indices = g_hash_table_new (g_str_hash, g_str_equal);
  rebuild_ (router);
  return router;
}

/* Frees the router. */
void
dp_router_free (DpRouter *router)
{
  if (router == NULL)
    return;
  g_hash_table_unref (router->indices);
  for (guint i = 0; i < router->n_services; i++)
    clear_service_ (&router->services[i]);
  g_free (router->services);
  g_free (router->rows);
  g_free (router);
}

/* Replaces the addresses of a service. If two services have the same address, the one
 * whose name sorts first gets its packets, so that all balancers agree. */
void
dp_router_set_addresses (DpRouter *router,
                         const char *service,
                         const DpServiceAddress *addresses,
                         guint n_addresses)
{
  Service *s = get_service_ (router, service);

  if (s == NULL)
    return;
  g_array_set_size (s->addresses, 0);
  g_array_append_vals (s->addresses, addresses, n_addresses);
  router->needs_rebuild = TRUE;
}

/* Replaces the member list of the view's service. A view older than the present one is
 * ignored. */
void
dp_router_set_view (DpRouter *router, DpMemberView *view)
{
  Service *s = get_service_ (router, view->service);

  if (s == NULL)
    return;
  if (s->candidates != NULL && s->revision > view->revision)
    return;
  dp_candidates_free (s->candidates);
  s->candidates = dp_candidates_new (view);
  s->revision = view->revision;
}

/* Removes a service with its addresses and members. */
void
dp_router_remove_service (DpRouter *router, const char *service)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (router->indices, service));

  if (index == 0)
    return;
  g_hash_table_remove (router->indices, service);
  clear_service_ (&router->services[index - 1]);
  rebuild_ (router);
}

/* Makes the router trace one in one_in flows; 0 traces none. */
void
dp_router_set_trace_sample (DpRouter *router, guint one_in)
{
  router->trace_sample = one_in;
}

/* Chooses the first member that the packet visits. The route is set only for
 * DP_ROUTE_FORWARD; the caller must set the header's reply_to. */
DpRouteResult
dp_router_route (DpRouter *router, const DpSegment *segment, DpRoute *route)
{
  const DpTarget *target;
  const Service *service;
  DpCandidateSet set;

  if (G_UNLIKELY (router->needs_rebuild))
    rebuild_ (router);
  service = find_service_ (router, &segment->key.service);
  if (service == NULL)
    return DP_ROUTE_UNKNOWN_ADDRESS;
  set = dp_segment_opens_flow (segment) ? DP_CANDIDATES_ACTIVE : DP_CANDIDATES_ALL;
  if (service->candidates == NULL)
    return DP_ROUTE_NO_MEMBER;
  target = dp_candidates_first_target (service->candidates, segment->hash, set);
  if (target == NULL)
    return DP_ROUTE_NO_MEMBER;
  route->member_address = (DpAddress){ target->ip, target->port };
  route->header.service_id = service->id;
  route->header.revision = service->revision;
  route->header.trace_id = 0;
  if (router->trace_sample != 0 && (guint32) segment->hash % router->trace_sample == 0)
    route->header.trace_id = segment->hash;
  route->header.flags = 0;
  route->header.n_visited = 1;
  route->header.visited[0] = target->id;
  route->header.best_member = 0;
  route->header.best_wait_ms = 0;
  return DP_ROUTE_FORWARD;
}

/* Returns the declaration of an address and writes the id of its service to service_id;
 * NULL if no service has it. The pointer is valid until the next change of the service.
 * Takes time in proportion to the number of the service's addresses. */
const DpServiceAddress *
dp_router_find (DpRouter *router, const DpAddress *address, guint64 *service_id)
{
  const Service *service;

  if (G_UNLIKELY (router->needs_rebuild))
    rebuild_ (router);
  service = find_service_ (router, address);
  for (guint i = 0; service != NULL && i < service->addresses->len; i++)
    {
      const DpServiceAddress *declared = &g_array_index (service->addresses,
                                                         DpServiceAddress, i);

      if (!dp_address_equal (&declared->address, address))
        continue;
      *service_id = service->id;
      return declared;
    }
  return NULL;
}

/* Returns the result's name. */
const char *
dp_route_result_string (DpRouteResult result)
{
  g_assert ((guint) result < G_N_ELEMENTS (result_strings_));
  return result_strings_[result];
}

/* Returns the memory used for routing in bytes, including the member lists. */
gsize
dp_router_bytes (const DpRouter *router)
{
  gsize bytes = sizeof *router + router->n_rows * sizeof (Row)
                + router->n_services * sizeof (Service);

  for (guint i = 0; i < router->n_services; i++)
    {
      const Service *s = &router->services[i];
      const DpMemberView *view;

      if (s->name != NULL)
        bytes += s->addresses->len * sizeof (DpServiceAddress);
      if (s->candidates == NULL)
        continue;
      view = dp_candidates_view (s->candidates);
      bytes += dp_candidates_bytes (s->candidates);
      bytes += sizeof *view + view->n_members * sizeof (DpMember);
    }
  return bytes;
}

/* Returns the service with the name, adding it if there is none. Returns NULL if there
 * are too many: their number comes from the store. */
static Service *
get_service_ (DpRouter *router, const char *name)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (router->indices, name));
  Service *s;

  if (index != 0)
    return &router->services[index - 1];
  if (g_hash_table_size (router->indices) == router->n_services)
    index = router->n_services;
  while (index < router->n_services && router->services[index].name != NULL)
    index++;
  if (index == router->n_services)
    {
      if (index == SERVICES_MAX)
        {
          if (!router->is_full)
            g_critical ("service %s and others get no route: there are %u services", name,
                        SERVICES_MAX);
          router->is_full = TRUE;
          return NULL;
        }
      router->n_services++;
      router->services = g_renew (Service, router->services, router->n_services);
    }
  s = &router->services[index];
  *s = (Service){ .name = g_strdup (name),
                  .id = dp_service_id (name),
                  .addresses = g_array_new (FALSE, FALSE, sizeof (DpServiceAddress)) };
  g_hash_table_insert (router->indices, s->name, GUINT_TO_POINTER (index + 1));
  return s;
}

static void
clear_service_ (Service *service)
{
  if (service->name == NULL)
    return;
  dp_candidates_free (service->candidates);
  g_array_unref (service->addresses);
  g_free (service->name);
  *service = (Service){ 0 };
}

/* Rebuilds the address table. This is done once for all changes since the last packet, as
 * thousands of services are added at start. */
static void
rebuild_ (DpRouter *router)
{
  guint n = 0;

  router->needs_rebuild = FALSE;
  for (guint i = 0; i < router->n_services; i++)
    n += router->services[i].name != NULL ? router->services[i].addresses->len : 0;
  router->n_rows = INITIAL_ROWS;
  while (router->n_rows < 2 * n)
    router->n_rows *= 2;
  g_free (router->rows);
  router->rows = g_new0 (Row, router->n_rows);
  for (guint i = 0; i < router->n_services; i++)
    {
      const GArray *addresses = router->services[i].addresses;

      for (guint j = 0; router->services[i].name != NULL && j < addresses->len; j++)
        insert_ (router, &g_array_index (addresses, DpServiceAddress, j), i);
    }
}

static void
insert_ (DpRouter *router, const DpServiceAddress *address, guint service)
{
  guint64 key = key_ (&address->address);
  guint i = first_row_ (router, key);

  while (router->rows[i] != ROW_FREE && router->rows[i] >> INDEX_BITS != key)
    i = (i + 1) & (router->n_rows - 1);
  if (router->rows[i] != ROW_FREE)
    {
      guint other = (router->rows[i] & SERVICES_MAX) - 1;

      if (strcmp (router->services[other].name, router->services[service].name) < 0)
        return;
    }
  router->rows[i] = key << INDEX_BITS | (service + 1);
}

static guint64
key_ (const DpAddress *address)
{
  return (guint64) address->ip << 16 | address->port;
}

/* Returns the row at which the search for a key begins. Multiplicative hashing: the high
 * bits of the product depend on all bits of the key. */
static guint
first_row_ (const DpRouter *router, guint64 key)
{
  return (guint) ((key * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)) >> 32)
         & (router->n_rows - 1);
}

static const Service *
find_service_ (const DpRouter *router, const DpAddress *address)
{
  guint64 key = key_ (address);
  guint i = first_row_ (router, key);

  while (router->rows[i] >> INDEX_BITS != key || router->rows[i] == ROW_FREE)
    {
      if (router->rows[i] == ROW_FREE)
        return NULL;
      i = (i + 1) & (router->n_rows - 1);
    }
  return &router->services[(router->rows[i] & SERVICES_MAX) - 1];
}
