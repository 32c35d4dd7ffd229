#include "private/forwarder.h"

#include <malloc.h>
#include <string.h>

#include "protected/error.h"
#include "protected/fleet.h"
#include "protected/header.h"
#include "protected/router.h"
#include "protected/segment.h"
#include "protected/trace.h"

#define LOG_INTERVAL_US DP_US_PER_S /* between lines about the same kind of drop */
#define LABELS_MAX 64
#define TRIM_MIN_LISTS 256 /* an update with this many member lists trims the heap */

typedef enum
{
  DROP_UNTRUSTED,
  DROP_MALFORMED,
  DROP_UNSENT,
  N_DROPS
} DropKind;

struct _DpForwarder
{
  char *process;
  DpReplica *replica;
  guint replica_listener;
  GArray *trusted_networks; /* DpNetwork */
  DpClock *clock;
  DpRouter *router;
  DpPacketPort *port;
  GHashTable *views;           /* service to DpMemberView */
  GHashTable *stale_addresses; /* names of services whose declaration has changed */
  GHashTable *stale_members;   /* names of services whose member list has changed */
  gboolean defaults_are_stale;
  guint update_source; /* id of the idle source that applies changes, 0: none pending */
  DpMetric *result_counters[DP_N_ROUTE_RESULTS];
  DpMetric *drop_counters[N_DROPS];
  gint64 logged_at[N_DROPS]; /* us, 0: never */
  DpMetric *bytes_gauge;
};

static const char *const drop_strings_[] = {
  "untrusted source",
  "malformed packet",
  "not sent",
};

G_STATIC_ASSERT (G_N_ELEMENTS (drop_strings_) == N_DROPS);

static void add_metrics_ (DpForwarder *forwarder, DpMetrics *metrics);
static gboolean is_trusted_ (const DpForwarder *forwarder, guint32 ip);
static void count_drop_ (DpForwarder *forwarder,
                         DropKind kind,
                         const DpAddress *source,
                         const char *text);
static gboolean
send_ (DpForwarder *forwarder, const DpRoute *route, const guint8 *packet, gsize length);
static void trace_ (DpForwarder *forwarder,
                    const DpRoute *route,
                    const DpSegment *segment,
                    DpRouteResult result);
static void replica_changed_ (const DpRecord *record, gpointer user_data);
static gboolean apply_updates_ (gpointer user_data);
static void update_addresses_ (DpForwarder *forwarder, const char *service);
static void update_view_ (DpForwarder *forwarder, const char *service);
static gboolean is_declared_ (const DpForwarder *forwarder, const char *service);

/* Creates a forwarder that follows the replica and has no port yet. */
DpForwarder *
dp_forwarder_new (const char *process,
                  DpReplica *replica,
                  const GArray *trusted_networks,
                  DpClock *clock,
                  DpMetrics *metrics)
{
  DpForwarder *forwarder = g_new0 (DpForwarder, 1);

  forwarder->process = g_strdup (process);
  forwarder->replica = replica;
  forwarder->trusted_networks = g_array_new (FALSE, FALSE, sizeof (DpNetwork));
  g_array_append_vals (forwarder->trusted_networks, trusted_networks->data,
                       trusted_networks->len);
  forwarder->clock = clock;
  forwarder->router = dp_router_new ();
  forwarder->views = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify) dp_member_view_unref);
  forwarder->stale_addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                      NULL);
  forwarder->stale_members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                    NULL);
  forwarder->replica_listener = dp_replica_add_listener (replica, replica_changed_,
                                                         forwarder);
  add_metrics_ (forwarder, metrics);
  return forwarder;
}

/* Closes the port and frees the forwarder. Must be called before its replica is freed. */
void
dp_forwarder_free (DpForwarder *forwarder)
{
  if (forwarder == NULL)
    return;
  if (forwarder->port != NULL)
    dp_packet_port_free (forwarder->port);
  dp_replica_remove_listener (forwarder->replica, forwarder->replica_listener);
  g_clear_handle_id (&forwarder->update_source, g_source_remove);
  dp_router_free (forwarder->router);
  g_hash_table_unref (forwarder->views);
  g_hash_table_unref (forwarder->stale_addresses);
  g_hash_table_unref (forwarder->stale_members);
  g_array_unref (forwarder->trusted_networks);
  g_free (forwarder->process);
  g_free (forwarder);
}

/* Opens the UDP port at the address and begins to receive packets. */
gboolean
dp_forwarder_open (DpForwarder *forwarder, const DpAddress *address, GError **error)
{
  forwarder->port = dp_udp_port_new (address, dp_forwarder_datagram, forwarder, error);
  return forwarder->port != NULL;
}

/* Returns whether all changes of the replica's records have been applied. */
gboolean
dp_forwarder_is_current (const DpForwarder *forwarder)
{
  return forwarder->update_source == 0;
}

/* Returns the member lists in use. The forwarder owns the table. */
GHashTable *
dp_forwarder_views (DpForwarder *forwarder)
{
  return forwarder->views;
}

/* Returns the size of the routing tables in bytes. */
gsize
dp_forwarder_bytes (const DpForwarder *forwarder)
{
  return dp_router_bytes (forwarder->router);
}

/* Routes one IP packet and forwards it to the first member that it visits. */
void
dp_forwarder_datagram (const DpAddress *source,
                       guint8 *data,
                       gsize length,
                       gpointer user_data)
{
  DpForwarder *forwarder = user_data;
  g_autoptr (GError) error = NULL;
  DpSegment segment;
  DpRoute route;
  DpRouteResult result;

  if (!is_trusted_ (forwarder, source->ip))
    {
      count_drop_ (forwarder, DROP_UNTRUSTED, source, "not in trusted_networks");
      return;
    }
  if (!dp_segment_parse (data, length, &segment, &error))
    {
      count_drop_ (forwarder, DROP_MALFORMED, source, error->message);
      return;
    }
  result = dp_router_route (forwarder->router, &segment, &route);
  dp_metric_increment (forwarder->result_counters[result]);
  trace_ (forwarder, &route, &segment, result);
  if (result != DP_ROUTE_FORWARD)
    return;
  route.header.reply_to = *source;
  if (!send_ (forwarder, &route, data, length))
    count_drop_ (forwarder, DROP_UNSENT, &route.member_address,
                 "the socket accepted no more data");
}

static void
add_metrics_ (DpForwarder *forwarder, DpMetrics *metrics)
{
  char labels[LABELS_MAX];

  for (guint i = 0; i < DP_N_ROUTE_RESULTS; i++)
    {
      g_snprintf (labels, sizeof labels, "result=\"%s\"",
                  dp_route_result_string ((DpRouteResult) i));
      forwarder->result_counters[i] = dp_metrics_add (
          metrics, DP_METRIC_COUNTER, "dogwoodpaddle_routes_total", labels,
          "Packets by the result of their routing");
    }
  for (guint i = 0; i < N_DROPS; i++)
    {
      g_snprintf (labels, sizeof labels, "kind=\"%s\"", drop_strings_[i]);
      forwarder->drop_counters[i] = dp_metrics_add (
          metrics, DP_METRIC_COUNTER, "dogwoodpaddle_faults_total", labels,
          "Packets dropped before or after routing");
    }
  forwarder->bytes_gauge = dp_metrics_add (metrics, DP_METRIC_GAUGE,
                                           "dogwoodpaddle_router_bytes", "",
                                           "Memory of the routing tables");
}

static gboolean
is_trusted_ (const DpForwarder *forwarder, guint32 ip)
{
  for (guint i = 0; i < forwarder->trusted_networks->len; i++)
    {
      if (dp_network_contains (&g_array_index (forwarder->trusted_networks, DpNetwork, i),
                               ip))
        return TRUE;
    }
  return FALSE;
}

/* Counts a dropped packet and logs it, at most one line a second for each kind. */
static void
count_drop_ (DpForwarder *forwarder,
             DropKind kind,
             const DpAddress *source,
             const char *text)
{
  gint64 now = dp_clock_now (forwarder->clock);
  char address[DP_ADDRESS_STRLEN];

  dp_metric_increment (forwarder->drop_counters[kind]);
  if (forwarder->logged_at[kind] != 0
      && now - forwarder->logged_at[kind] < LOG_INTERVAL_US)
    return;
  forwarder->logged_at[kind] = now;
  g_warning ("dropped a packet: %s: %s: %s", drop_strings_[kind],
             dp_address_format (source, address), text);
}

static gboolean
send_ (DpForwarder *forwarder, const DpRoute *route, const guint8 *packet, gsize length)
{
  guint8 datagram[DP_HEADER_MAX + DP_PACKET_MAX];
  gsize header = dp_header_encode (&route->header, datagram, DP_HEADER_MAX);

  memcpy (datagram + header, packet, length);
  return dp_packet_port_send (forwarder->port, &route->member_address, datagram,
                              header + length);
}

static void
trace_ (DpForwarder *forwarder,
        const DpRoute *route,
        const DpSegment *segment,
        DpRouteResult result)
{
  char address[DP_ADDRESS_STRLEN];
  g_autofree char *detail = NULL;

  if (result != DP_ROUTE_FORWARD || route->header.trace_id == 0)
    return;
  detail = g_strdup_printf ("%s to %s", dp_route_result_string (result),
                            dp_address_format (&route->member_address, address));
  dp_trace_span (route->header.trace_id, "balancer", forwarder->process, segment, detail);
}

static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpForwarder *forwarder = user_data;

  if (record->kind == DP_KIND_SERVICE)
    g_hash_table_add (forwarder->stale_addresses, g_strdup (record->name));
  else if (record->kind == DP_KIND_MEMBERS)
    g_hash_table_add (forwarder->stale_members, g_strdup (record->name));
  else if (record->kind == DP_KIND_FLEET)
    forwarder->defaults_are_stale = TRUE;
  else
    return;
  if (forwarder->update_source == 0)
    forwarder->update_source = g_idle_add_full (G_PRIORITY_DEFAULT, apply_updates_,
                                                forwarder, NULL);
}

/* Applies all pending changes in one go, as many records arrive together at start. */
static gboolean
apply_updates_ (gpointer user_data)
{
  DpForwarder *forwarder = user_data;
  const gboolean many = g_hash_table_size (forwarder->stale_members) >= TRIM_MIN_LISTS;
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, forwarder->stale_members);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    update_view_ (forwarder, service);
  g_hash_table_iter_init (&iter, forwarder->stale_addresses);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    update_addresses_ (forwarder, service);
  g_hash_table_remove_all (forwarder->stale_members);
  g_hash_table_remove_all (forwarder->stale_addresses);
  if (forwarder->defaults_are_stale)
    {
      DpFleetSettings settings;

      dp_fleet_effective_settings (forwarder->replica, NULL, NULL, &settings);
      dp_router_set_trace_sample (forwarder->router, settings.trace_sample);
    }
  forwarder->defaults_are_stale = FALSE;
  forwarder->update_source = 0;
  forwarder->bytes_gauge->value = dp_router_bytes (forwarder->router);
  /* The whole platform's member lists were parsed at once. Without this call, the C
   * library would keep the memory that parsing needed. */
  if (many)
    malloc_trim (0);
  return G_SOURCE_REMOVE;
}

/* Sets the service's addresses in the router. A service that is no longer declared is
 * removed from the router, but its view is kept in case it is declared again. */
static void
update_addresses_ (DpForwarder *forwarder, const char *service)
{
  g_autoptr (GArray) declared = NULL;
  DpMemberView *view = g_hash_table_lookup (forwarder->views, service);

  if (!is_declared_ (forwarder, service))
    {
      dp_router_remove_service (forwarder->router, service);
      return;
    }
  declared = dp_fleet_addresses (forwarder->replica, service, NULL);
  dp_router_set_addresses (forwarder->router, service,
                           (const DpServiceAddress *) (void *) declared->data,
                           declared->len);
  if (view != NULL)
    dp_router_set_view (forwarder->router, view);
}

/* Replaces the service's member list. A malformed one is logged, and the last valid list
 * stays in force. */
static void
update_view_ (DpForwarder *forwarder, const char *service)
{
  const DpRecord *record = dp_replica_get (forwarder->replica, DP_KIND_MEMBERS, service);
  const DpMemberView *present = g_hash_table_lookup (forwarder->views, service);
  g_autoptr (JsonNode) value = record == NULL ? NULL : dp_record_value (record);
  g_autoptr (GError) error = NULL;
  DpMemberView *view;

  if (record == NULL && present == NULL)
    return;
  if (record == NULL)
    view = dp_member_view_new (service, present->revision, NULL, 0);
  else
    view = dp_member_view_new_from_json (service, record->position, value, &error);
  if (view == NULL)
    {
      g_warning ("%s; the last valid member list of the service stays in force",
                 error == NULL ? service : error->message);
      return;
    }
  g_hash_table_replace (forwarder->views, g_strdup (service), view);
  if (is_declared_ (forwarder, service))
    dp_router_set_view (forwarder->router, view);
}

static gboolean
is_declared_ (const DpForwarder *forwarder, const char *service)
{
  return dp_replica_get (forwarder->replica, DP_KIND_SERVICE, service) != NULL;
}
