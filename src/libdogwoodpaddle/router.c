#include "protected/router.h"

#include "protected/candidates.h"

#define FIRST_SIZE 64 /* rows of the address table, a power of two */
#define KEY_NONE G_MAXUINT64

/* One service that has addresses, members or both. */
typedef struct
{
  char *name;
  guint64 id;
  DpCandidates *candidates; /* NULL: no member list yet */
  GArray *addresses;        /* DpAddress */
} Service;

/* A row of the address table: linear probing, at most half full. */
typedef struct
{
  guint64 key; /* ip << 16 | port, KEY_NONE: free */
  Service *service;
} Row;

struct _DpRouter
{
  Row *rows;
  guint size; /* a power of two */
  guint trace_sample;
  GHashTable *services; /* name to Service */
};

static Service *get_service_ (DpRouter *router, const char *name);
static void free_service_ (gpointer data);
static void rebuild_ (DpRouter *router);
static void insert_ (DpRouter *router, const DpAddress *address, Service *service);
static guint64 key_ (const DpAddress *address);
static guint row_index_ (const DpRouter *router, guint64 key);
static Service *find_ (const DpRouter *router, const DpAddress *address);

static const char *const result_strings_[] = { "forward", "unknown_address",
                                               "no_member" };

G_STATIC_ASSERT (G_N_ELEMENTS (result_strings_) == DP_ROUTE_NO_MEMBER + 1);

/* Creates a router without services. */
DpRouter *
dp_router_new (void)
{
  DpRouter *router = g_new0 (DpRouter, 1);

  router->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service_);
  rebuild_ (router);
  return router;
}

/* Frees the router. */
void
dp_router_free (DpRouter *router)
{
  if (router == NULL)
    return;
  g_hash_table_unref (router->services);
  g_free (router->rows);
  g_free (router);
}

/* Replaces the addresses of a service. An address that two services claim stays with the
 * one whose name is first, so that all balancers agree. */
void
dp_router_set_addresses (DpRouter *router,
                         const char *service,
                         const DpAddress *addresses,
                         guint n_addresses)
{
  Service *s = get_service_ (router, service);

  g_array_set_size (s->addresses, 0);
  g_array_append_vals (s->addresses, addresses, n_addresses);
  rebuild_ (router);
}

/* Replaces the member list of the view's service; a view that is older than the present
 * one is ignored. */
void
dp_router_set_view (DpRouter *router, DpView *view)
{
  Service *s = get_service_ (router, view->service);

  if (s->candidates != NULL
      && dp_candidates_view (s->candidates)->revision > view->revision)
    return;
  dp_candidates_free (s->candidates);
  s->candidates = dp_candidates_new (view);
}

/* Forgets a service with its addresses and members. */
void
dp_router_remove_service (DpRouter *router, const char *service)
{
  if (g_hash_table_remove (router->services, service))
    rebuild_ (router);
}

/* Sets that one flow in so many is traced; 0: none. */
void
dp_router_set_trace_sample (DpRouter *router, guint one_in)
{
  router->trace_sample = one_in;
}

/* Chooses the first member that the packet visits. The route is set only for
 * DP_ROUTE_FORWARD; the caller sets the header's reply_to. */
DpRouteResult
dp_router_route (DpRouter *router, const DpSegment *segment, DpRoute *route)
{
  const DpMember *member;
  const Service *service = find_ (router, &segment->key.service);
  DpCandidateKind kind;

  if (service == NULL)
    return DP_ROUTE_UNKNOWN_ADDRESS;
  kind = dp_segment_opens_flow (segment) ? DP_CANDIDATES_NEW_FLOW
                                         : DP_CANDIDATES_ANY_FLOW;
  if (service->candidates == NULL)
    return DP_ROUTE_NO_MEMBER;
  member = dp_candidates_first (service->candidates, segment->hash, kind);
  if (member == NULL)
    return DP_ROUTE_NO_MEMBER;
  route->member_address = member->address;
  route->header.service_id = service->id;
  route->header.revision = dp_candidates_view (service->candidates)->revision;
  route->header.trace_id = 0;
  if (router->trace_sample != 0 && (guint32) segment->hash % router->trace_sample == 0)
    route->header.trace_id = segment->hash;
  route->header.flags = 0;
  route->header.n_visited = 1;
  route->header.visited[0] = member->id;
  route->header.best_member = 0;
  route->header.best_wait_ms = 0;
  return DP_ROUTE_FORWARD;
}

/* Returns the result's name. */
const char *
dp_route_result_string (DpRouteResult result)
{
  g_assert ((guint) result < G_N_ELEMENTS (result_strings_));
  return result_strings_[result];
}

/* Returns the memory that routing needs in bytes, with the member lists. */
gsize
dp_router_bytes (const DpRouter *router)
{
  gsize bytes = sizeof *router + router->size * sizeof (Row);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Service *s = value;
      const DpView *view;

      bytes += sizeof *s + s->addresses->len * sizeof (DpAddress);
      if (s->candidates == NULL)
        continue;
      view = dp_candidates_view (s->candidates);
      bytes += dp_candidates_bytes (s->candidates);
      bytes += sizeof *view + view->n_members * sizeof (DpMember);
    }
  return bytes;
}

static Service *
get_service_ (DpRouter *router, const char *name)
{
  Service *s = g_hash_table_lookup (router->services, name);

  if (s != NULL)
    return s;
  s = g_new0 (Service, 1);
  s->name = g_strdup (name);
  s->id = dp_service_id (name);
  s->addresses = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  g_hash_table_insert (router->services, s->name, s);
  return s;
}

static void
free_service_ (gpointer data)
{
  Service *s = data;

  dp_candidates_free (s->candidates);
  g_array_unref (s->addresses);
  g_free (s->name);
  g_free (s);
}

/* Fills the address table anew; addresses change rarely. */
static void
rebuild_ (DpRouter *router)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, router->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((Service *) value)->addresses->len;
  router->size = FIRST_SIZE;
  while (router->size < 2 * n)
    router->size *= 2;
  g_free (router->rows);
  router->rows = g_new (Row, router->size);
  for (guint i = 0; i < router->size; i++)
    router->rows[i].key = KEY_NONE;
  g_hash_table_iter_init (&iter, router->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *s = value;

      for (guint i = 0; i < s->addresses->len; i++)
        insert_ (router, &g_array_index (s->addresses, DpAddress, i), s);
    }
}

static void
insert_ (DpRouter *router, const DpAddress *address, Service *service)
{
  guint64 key = key_ (address);
  guint i = row_index_ (router, key);

  while (router->rows[i].key != KEY_NONE && router->rows[i].key != key)
    i = (i + 1) & (router->size - 1);
  if (router->rows[i].key == key
      && g_strcmp0 (router->rows[i].service->name, service->name) < 0)
    return;
  router->rows[i].key = key;
  router->rows[i].service = service;
}

static guint64
key_ (const DpAddress *address)
{
  return (guint64) address->ip << 16 | address->port;
}

/* Multiplicative hashing: the product's high bits depend on all bits of the key. */
static guint
row_index_ (const DpRouter *router, guint64 key)
{
  return (guint) ((key * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)) >> 32)
         & (router->size - 1);
}

static Service *
find_ (const DpRouter *router, const DpAddress *address)
{
  guint64 key = key_ (address);
  guint i = row_index_ (router, key);

  while (router->rows[i].key != key)
    {
      if (router->rows[i].key == KEY_NONE)
        return NULL;
      i = (i + 1) & (router->size - 1);
    }
  return router->rows[i].service;
}
