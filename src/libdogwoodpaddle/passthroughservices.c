#include "private/passthroughservices.h"

#include <math.h>

#include "private/balancerregistration.h"
#include "private/evacuationwatch.h"
#include "private/feed.h"
#include "private/freshness.h"
#include "private/upstream.h"
#include "private/watch.h"
#include "protected/fleet.h"

/* Maximum wait of a watch of the registered balancers: half the time for which the
 * platform keeps its history of changes. */
#define BALANCERS_WATCH_WAIT_MS 10000
/* After the platform has been unreachable for this time, the services are requested from
 * any other balancer. A read from the platform takes 4 ms, or 240 ms when it is slow. */
#define PLATFORM_TIMEOUT_US (400 * DP_US_PER_MS)
/* Interval between two watches of the registered balancers, so that one answer covers a
 * burst of registrations. */
#define BALANCERS_SPACING_MS 1000
/* Time until the members have learned of a registration: the interval between two watches
 * of a member, and two intervals between reports to balancers of its own availability
 * zone. */
#define ANNOUNCEMENT_DELAY_US (1200 * DP_US_PER_MS)
/* A parent that sends no confirmation for this many times the maximum age is replaced by
 * the next parent; for once that age if the platform doesn't answer either. */
#define PARENT_TIMEOUT_FACTOR 4
/* Warm-up rates are passed on in these parts of a request per second. */
#define RATE_UNITS 1000.0
/* Maximum number of other balancers that a root asks for a newer configuration than the
 * platform's: with three availability zones, there are five other roots. */
#define MAX_CONSULTED 5
/* Time after which they are disconnected, even if they have not answered. */
#define CONSULTATION_US (5 * DP_US_PER_S)
/* Time after the start for which a balancer waits for a newer configuration from others
 * than that of a store that may have been restored. The lists and the answers of others
 * take 0.5 s if the store is slow. */
#define CATCH_UP_US (2 * DP_US_PER_S)

/* What an applied record says of a service's cold servers. */
typedef struct
{
  guint64 version; /* of the configuration */
  guint64 rate;    /* thousandths of a request per second, 0: no limit */
} Warmup;

/* Another balancer that is asked for a newer configuration. */
typedef struct
{
  DpPassthroughServices *services;
  DpAddress address;
  DpUpstream *upstream;
  gint64 ends_at; /* us */
} Consultation;

struct _DpPassthroughServices
{
  char *name; /* of this balancer */
  char *zone;
  char *region;
  DpAddress report_address; /* of this balancer */
  GArray *peers; /* DpAddress, report addresses of other balancers in the settings */
  DpClock *clock;
  DpMetrics *metrics;
  DpRouter *router;
  DpReplica *services_replica;
  DpReplica *balancers_replica;
  DpPlatform *platform;
  DpTopology *topology; /* of the registered balancers; NULL after they have changed */
  guint balancers_listener;
  DpWatch *services_watch;
  DpWatch *balancers_watch;
  DpEvacuationWatch *evacuation_watch; /* NULL: the deployment has no evacuations */
  DpBalancerRegistration *registration;
  gboolean registering; /* registration has been requested */
  gint64 registered_at; /* us, 0: not yet */
  DpFeed *feed;         /* sends the services to other balancers */
  DpUpstream *upstream; /* connection to the balancer that the services come from */
  DpFreshness freshness;
  DpConfigTiming timing;
  gint64
      parent_heard_at; /* us, when the parent last sent a confirmation or was replaced */
  DpChannelMetrics channel_metrics;
  DpMetric *relayed;
  DpMetric *version;
  DpMetric *consulted;
  DpMetric *age;
  gint64 unreachable_since; /* us, 0: the platform is reachable */
  gboolean is_root;         /* of the relay tree */
  gboolean consult;         /* other balancers may have a newer configuration */
  gboolean caught_up; /* those of them that matter have been asked since the start */
  gint64 started_at;  /* us */
  GPtrArray *consultations; /* Consultation */
  gboolean known;           /* the services have been read */
  GHashTable *names;        /* of the configuration's services, NULL: not known */
  GHashTable *pending;      /* names of services whose records are to be applied */
  GHashTable *applied;      /* service name to the JSON text of its applied record */
  GHashTable *warmups;      /* service id to Warmup */
  guint update_source;      /* source id */
  guint services_listener;
};

static void create_registration_ (DpPassthroughServices *services,
                                  const DpPassthroughBalancerOptions *options);
static gboolean start_feed_ (DpPassthroughServices *services, GError **error);
static void choose_source_ (DpPassthroughServices *services, gint64 now);
static void set_watching_ (DpPassthroughServices *services, gboolean watching);
static void choose_parents_ (DpPassthroughServices *services, gint64 now);
static void add_other_peers_ (DpPassthroughServices *services,
                              const DpTopology *topology,
                              GArray *peers);
static const DpTopology *get_topology_ (DpPassthroughServices *services);
static void balancer_changed_ (const DpRecord *record, gpointer user_data);
static void
add_peer_ (DpPassthroughServices *services, GArray *peers, const DpAddress *peer);
static void era_changed_ (gpointer user_data);
static void newer_peer_ (const char *name, gpointer user_data);
static void consult_others_ (DpPassthroughServices *services, gint64 now);
static void
consult_ (DpPassthroughServices *services, const DpAddress *address, gint64 now);
static void update_caught_up_ (DpPassthroughServices *services, gint64 now);
static void consultation_free_ (gpointer data);
static void consultation_changed_ (DpUpstream *upstream, gpointer user_data);
static void consultation_progressed_ (DpUpstream *upstream, gpointer user_data);
static void upstream_changed_ (DpUpstream *upstream, gpointer user_data);
static void upstream_progressed_ (DpUpstream *upstream, gpointer user_data);
static void
upstream_confirmed_ (DpUpstream *upstream, guint32 age_ms, gpointer user_data);
static void send_freshness_ (DpPassthroughServices *services, gint64 now);
static void ignore_heartbeat_ (const DpHeartbeat *heartbeat, gpointer user_data);
static void ignore_suspicion_ (const DpSuspicion *suspicion, gpointer user_data);
static void balancers_reachable_ (gboolean reachable, gpointer user_data);
static void balancers_progressed_ (gpointer user_data);
static void services_reachable_ (gboolean reachable, gpointer user_data);
static void services_progressed_ (gpointer user_data);
static void apply_progress_ (DpPassthroughServices *services);
static void registration_finished_ (gpointer user_data);
static void service_changed_ (const DpRecord *record, gpointer user_data);
static void names_changed_ (DpPassthroughServices *services);
static void add_pending_ (DpPassthroughServices *services, const char *name);
static gboolean is_in_configuration_ (const DpPassthroughServices *services,
                                      const char *name);
static gboolean apply_next_ (gpointer user_data);
static void apply_service_ (DpPassthroughServices *services, const char *name);
static void
apply_warmup_ (DpPassthroughServices *services, const DpRecord *record, gboolean changed);

/* Creates the services without sending any request to the platform. */
DpPassthroughServices *
dp_passthrough_services_new (const DpPassthroughBalancerOptions *options,
                             DpRouter *router,
                             DpEvacuations *evacuations)
{
  static const DpWatchListener listener = { services_reachable_, services_progressed_ };
  static const DpWatchListener balancers_listener = { balancers_reachable_,
                                                      balancers_progressed_ };
  DpPassthroughServices *services = g_new0 (DpPassthroughServices, 1);

  services->name = g_strdup (options->name);
  services->zone = g_strdup (options->zone);
  services->region = g_strdup (options->region);
  services->report_address = options->report_address;
  services->peers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  g_array_append_vals (services->peers, options->peers, options->n_peers);
  services->clock = options->clock;
  services->timing = options->timing;
  dp_freshness_init (&services->freshness,
                     services->timing.relay_max_age_ms * DP_US_PER_MS);
  services->metrics = options->metrics;
  services->router = router;
  services->unreachable_since = dp_clock_now (options->clock);
  services->pending = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  services->applied = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  services->warmups = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  services->services_replica = dp_replica_new ();
  services->balancers_replica = dp_replica_new ();
  services->balancers_listener = dp_replica_add_listener (services->balancers_replica,
                                                          balancer_changed_, services);
  services->services_listener = dp_replica_add_listener (services->services_replica,
                                                         service_changed_, services);
  services->services_watch = dp_watch_new (
      options->platform, options->services_collection, services->timing.watch_wait_ms,
      services->services_replica, options->metrics, &listener, services);
  services->balancers_watch = dp_watch_new (
      options->platform, options->balancers_collection, BALANCERS_WATCH_WAIT_MS,
      services->balancers_replica, options->metrics, &balancers_listener, services);
  dp_watch_set_limits (services->services_watch, services->timing.answer_ms,
                       services->timing.retry_max_ms);
  dp_watch_set_spacing (services->balancers_watch, BALANCERS_SPACING_MS);
  if (evacuations != NULL)
    services->evacuation_watch = dp_evacuation_watch_new (options, evacuations);
  services->relayed = dp_metrics_add (
      options->metrics, DP_METRIC_GAUGE, "dogwoodpaddle_services_relayed", "",
      "1 while the services come from another balancer, without calls to the platform");
  services->version = dp_metrics_add (options->metrics, DP_METRIC_GAUGE,
                                      "dogwoodpaddle_services_version", "",
                                      "Version of the configuration that is known");
  services->consulted = dp_metrics_add (
      options->metrics, DP_METRIC_COUNTER, "dogwoodpaddle_services_consultations_total",
      "", "Other balancers asked for a newer configuration than the platform's");
  services->age = dp_metrics_add (
      options->metrics, DP_METRIC_GAUGE, "dogwoodpaddle_services_age_ms", "",
      "Time since the services were last known to be the newest, in milliseconds");
  services->consultations = g_ptr_array_new_with_free_func (consultation_free_);
  services->consult = TRUE;
  services->started_at = dp_clock_now (options->clock);
  services->platform = options->platform;
  dp_platform_add_era_listener (services->platform, era_changed_, services);
  create_registration_ (services, options);
  return services;
}

/* Closes all connections and frees the services. */
void
dp_passthrough_services_free (DpPassthroughServices *services)
{
  g_clear_handle_id (&services->update_source, g_source_remove);
  dp_replica_remove_listener (services->services_replica, services->services_listener);
  dp_replica_remove_listener (services->balancers_replica, services->balancers_listener);
  dp_topology_free (services->topology);
  dp_balancer_registration_free (services->registration);
  dp_watch_free (services->services_watch);
  dp_watch_free (services->balancers_watch);
  dp_evacuation_watch_free (services->evacuation_watch);
  dp_platform_remove_era_listener (services->platform, services);
  g_ptr_array_unref (services->consultations);
  dp_upstream_free (services->upstream);
  dp_feed_free (services->feed);
  dp_replica_free (services->services_replica);
  dp_replica_free (services->balancers_replica);
  g_clear_pointer (&services->names, g_hash_table_unref);
  g_hash_table_unref (services->pending);
  g_hash_table_unref (services->applied);
  g_hash_table_unref (services->warmups);
  g_array_unref (services->peers);
  g_free (services->name);
  g_free (services->zone);
  g_free (services->region);
  g_free (services);
}

/* Starts to read the services, to serve them to other balancers, and to register this
 * one.
 */
gboolean
dp_passthrough_services_start (DpPassthroughServices *services, GError **error)
{
  if (!start_feed_ (services, error))
    return FALSE;
  set_watching_ (services, TRUE);
  dp_watch_set_active (services->balancers_watch, TRUE);
  return TRUE;
}

/* Chooses whether the services come from the platform or from another balancer. */
void
dp_passthrough_services_tick (DpPassthroughServices *services)
{
  const gint64 now = dp_clock_now (services->clock);

  choose_parents_ (services, now);
  choose_source_ (services, now);
  consult_others_ (services, now);
  update_caught_up_ (services, now);
  services->version->value = dp_passthrough_services_version (services);
  services->age->value = (guint64) (dp_freshness_age (&services->freshness, now)
                                    / DP_US_PER_MS);
}

/* Returns whether the services have been read from any source, and other balancers had
 * time to send a newer configuration. */
gboolean
dp_passthrough_services_are_known (const DpPassthroughServices *services)
{
  return services->known && services->caught_up;
}

/* Returns whether the services are known, and either the platform answered the last
 * request of this process or the parent's confirmations are recent enough. */
gboolean
dp_passthrough_services_are_current (const DpPassthroughServices *services)
{
  return services->known && services->caught_up
         && (dp_watch_reachable (services->services_watch)
             || dp_freshness_parent_is_current (&services->freshness,
                                                dp_clock_now (services->clock)));
}

/* Returns whether this balancer watches the evacuations and the platform answered its
 * last call, or relies on a parent whose confirmations are recent enough. */
gboolean
dp_passthrough_services_evacuations_are_current (const DpPassthroughServices *services)
{
  if (services->evacuation_watch == NULL)
    return FALSE;
  if (dp_watch_active (services->services_watch))
    return dp_evacuation_watch_reachable (services->evacuation_watch);
  return dp_freshness_parent_is_current (&services->freshness,
                                         dp_clock_now (services->clock));
}

/* Returns the service's warm-up rate and the version that it comes from. */
guint64
dp_passthrough_services_warmup_rate (const DpPassthroughServices *services,
                                     guint64 service_id,
                                     guint64 *version)
{
  const Warmup *warmup = g_hash_table_lookup (services->warmups, &service_id);

  *version = warmup == NULL ? 0 : warmup->version;
  return warmup == NULL ? 0 : warmup->rate;
}

/* Returns whether func returns TRUE for all services. */
gboolean
dp_passthrough_services_all (const DpPassthroughServices *services,
                             DpPassthroughServiceFunc func,
                             gpointer user_data)
{
  g_autoptr (GPtrArray)
      records = dp_replica_list (services->services_replica, DP_KIND_SERVICE);

  for (guint i = 0; i < records->len; i++)
    {
      const DpRecord *record = g_ptr_array_index (records, i);

      if (is_in_configuration_ (services, record->name)
          && !func (dp_service_id (record->name), user_data))
        return FALSE;
    }
  return TRUE;
}

/* Returns whether the members have had time to learn of this balancer. They watch the
 * registrations, and learn of changes in a burst with a delay of BALANCERS_SPACING_MS. A
 * registration that was kept from an earlier process is already known to them. */
gboolean
dp_passthrough_services_balancer_is_announced (const DpPassthroughServices *services)
{
  const gint64 now = dp_clock_now (services->clock);

  return dp_passthrough_services_balancer_is_registered (services)
         && (dp_balancer_registration_reused (services->registration)
             || now - services->registered_at > ANNOUNCEMENT_DELAY_US);
}

/* Returns whether the platform holds this balancer's registration. */
gboolean
dp_passthrough_services_balancer_is_registered (const DpPassthroughServices *services)
{
  return services->registered_at != 0;
}

/* Returns the version of the configuration that is known. */
guint64
dp_passthrough_services_version (const DpPassthroughServices *services)
{
  return dp_position_to_version (dp_replica_position (services->services_replica));
}

static void
create_registration_ (DpPassthroughServices *services,
                      const DpPassthroughBalancerOptions *options)
{
  const DpTopologyBalancer self = {
    .name = services->name,
    .zone = services->zone,
    .region = services->region,
    .data_address = options->data_address,
    .control_address = options->report_address,
    .http_address = options->report_address,
    /* Higher than that of an earlier process unless the host's clock has been set back;
     * in that case the registration corrects it. */
    .incarnation = (guint64) g_get_real_time (),
  };

  services->registration = dp_balancer_registration_new (
      &self, DP_BALANCER_REGISTRATION_OF_HOST, services->balancers_replica,
      options->platform, registration_finished_, services);
}

/* Opens the feed that serves the services to other balancers, and the upstream that gets
 * them from one. */
static gboolean
start_feed_ (DpPassthroughServices *services, GError **error)
{
  static const DpFeedListener feed_listener = { ignore_heartbeat_, ignore_suspicion_,
                                                newer_peer_ };
  static const DpUpstreamListener upstream_listener = { upstream_changed_,
                                                        upstream_progressed_,
                                                        upstream_confirmed_ };
  /* The platform's network allows only its own hosts to reach this port. */
  static const DpNetwork everyone = { 0, 0 };
  const DpFeedOptions feed = {
    .name = services->name,
    .zone = services->zone,
    .address = &services->report_address,
    .trusted = &everyone,
    .n_trusted = 1,
    .replica = services->services_replica,
    .metrics = &services->channel_metrics,
  };
  const DpUpstreamOptions upstream = {
    .role = DP_ROLE_BALANCER,
    .name = services->name,
    .zone = services->zone,
    .service = "",
    .subscribe = TRUE,
    .replica = services->services_replica,
    .metrics = &services->channel_metrics,
  };

  dp_channel_metrics_init (&services->channel_metrics, services->metrics);
  services->feed = dp_feed_new (&feed, &feed_listener, services, error);
  if (services->feed == NULL)
    return FALSE;
  services->upstream = dp_upstream_new (&upstream, &upstream_listener, services);
  return TRUE;
}

/* Watches the platform unless the parent in the relay tree can be relied on. A root has
 * no parent: what it gets from another balancer while the platform doesn't answer is no
 * reason to stop asking the platform, the less so as that balancer may have it from this
 * one. A watch that is resumed starts with a full list: the platform may no longer have
 * the changes since the last watch, and doesn't report that to a waiting watch. */
static void
choose_source_ (DpPassthroughServices *services, gint64 now)
{
  const gboolean relayed = !services->is_root
                           && dp_freshness_parent_is_current (&services->freshness, now);

  dp_watch_set_wait (services->services_watch, dp_feed_subscribers (services->feed) > 0
                                                   ? services->timing.relay_watch_wait_ms
                                                   : services->timing.watch_wait_ms);
  if (relayed != dp_watch_active (services->services_watch))
    return;
  services->relayed->value = relayed ? 1 : 0;
  g_message ("services: %s, version=%" G_GUINT64_FORMAT,
             relayed ? "from another balancer" : "from the platform",
             dp_passthrough_services_version (services));
  if (!relayed)
    dp_watch_relist (services->services_watch);
  set_watching_ (services, !relayed);
  services->unreachable_since = 0;
}

/* Starts or stops the watches of the configuration and of the evacuations. */
static void
set_watching_ (DpPassthroughServices *services, gboolean watching)
{
  dp_watch_set_active (services->services_watch, watching);
  if (services->evacuation_watch != NULL)
    dp_evacuation_watch_set_active (services->evacuation_watch, watching);
}

/* Connects to the parents in the relay tree. While the platform doesn't answer, any other
 * balancer is a candidate as well; a root of the tree, which has no parents, connects to
 * other balancers only while the platform doesn't answer. */
static void
choose_parents_ (DpPassthroughServices *services, gint64 now)
{
  g_autoptr (GArray) peers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  const DpTopology *topology = get_topology_ (services);
  const gboolean platform_unreachable = services->unreachable_since != 0
                                        && now - services->unreachable_since
                                               >= PLATFORM_TIMEOUT_US;

  services->is_root = dp_topology_rank (topology, services->name, services->zone)
                      < DP_TOPOLOGY_ROOTS;
  if (!services->is_root)
    {
      g_autoptr (GPtrArray)
          parents = dp_topology_upstreams (topology, services->name, services->zone);

      for (guint i = 0; i < parents->len; i++)
        add_peer_ (services, peers,
                   &((const DpTopologyBalancer *) g_ptr_array_index (parents, i))
                        ->control_address);
    }
  if (platform_unreachable)
    add_other_peers_ (services, topology, peers);
  dp_upstream_set_peers (services->upstream, (const DpAddress *) (void *) peers->data,
                         peers->len);
  if (peers->len == 0 || !dp_upstream_connected (services->upstream))
    services->parent_heard_at = now;
  else if (now - services->parent_heard_at
           > services->freshness.max_age
                 * (platform_unreachable ? 1 : PARENT_TIMEOUT_FACTOR))
    {
      services->parent_heard_at = now;
      dp_upstream_skip (services->upstream);
    }
}

/* Returns the topology of the registered balancers. It is cached because reading some
 * hundred registrations takes milliseconds, a large part of a small host's time between
 * two ticks. */
static const DpTopology *
get_topology_ (DpPassthroughServices *services)
{
  if (services->topology == NULL)
    services->topology = dp_topology_new (services->balancers_replica);
  return services->topology;
}

static void
balancer_changed_ (const DpRecord *record, gpointer user_data)
{
  DpPassthroughServices *services = user_data;

  g_clear_pointer (&services->topology, dp_topology_free);
}

/* Adds to peers all other registered balancers, and those in the settings. */
static void
add_other_peers_ (DpPassthroughServices *services,
                  const DpTopology *topology,
                  GArray *peers)
{
  for (guint i = 0; i < dp_topology_size (topology); i++)
    add_peer_ (services, peers, &dp_topology_at (topology, i)->control_address);
  for (guint i = 0; i < services->peers->len; i++)
    add_peer_ (services, peers, &g_array_index (services->peers, DpAddress, i));
}

/* Adds a peer unless it is this balancer itself or is in peers already. */
static void
add_peer_ (DpPassthroughServices *services, GArray *peers, const DpAddress *peer)
{
  if (dp_address_equal (peer, &services->report_address))
    return;
  for (guint i = 0; i < peers->len; i++)
    if (dp_address_equal (peer, &g_array_index (peers, DpAddress, i)))
      return;
  g_array_append_val (peers, *peer);
}

static void
era_changed_ (gpointer user_data)
{
  DpPassthroughServices *services = user_data;

  services->consult = TRUE;
}

/* Asks a subscriber for its configuration, which is newer, as after this balancer has
 * started while the platform was restored from a backup. */
static void
newer_peer_ (const char *name, gpointer user_data)
{
  DpPassthroughServices *services = user_data;
  const DpTopologyBalancer *peer = dp_topology_find (get_topology_ (services), name);

  if (peer != NULL)
    consult_ (services, &peer->control_address, dp_clock_now (services->clock));
}

/* Ends the consultations that are complete or overdue. A root, which has its
 * configuration from the platform, consults the other roots after its start, when the
 * platform stops answering and when it was restored: each may have a version that the
 * platform has lost and this root never had. The other balancers have it from the roots.
 */
static void
consult_others_ (DpPassthroughServices *services, gint64 now)
{
  const DpTopology *topology = get_topology_ (services);

  for (guint i = services->consultations->len; i > 0; i--)
    {
      const Consultation *consultation = g_ptr_array_index (services->consultations,
                                                            i - 1);

      if (now >= consultation->ends_at || dp_upstream_synced (consultation->upstream))
        g_ptr_array_remove_index (services->consultations, i - 1);
    }
  if (!services->consult || !services->registering)
    return;
  services->consult = FALSE;
  if (services->is_root)
    {
      g_autoptr (GPtrArray)
          roots = dp_topology_upstreams (topology, services->name, services->zone);

      for (guint i = 0; i < roots->len; i++)
        consult_ (
            services,
            &((const DpTopologyBalancer *) g_ptr_array_index (roots, i))->control_address,
            now);
      for (guint i = 0; i < services->peers->len; i++)
        consult_ (services, &g_array_index (services->peers, DpAddress, i), now);
    }
}

/* Connects to another balancer until it has sent a configuration that is newer than this
 * balancer's, or that it has none. */
static void
consult_ (DpPassthroughServices *services, const DpAddress *address, gint64 now)
{
  static const DpUpstreamListener listener = { consultation_changed_,
                                               consultation_progressed_, NULL };
  const DpUpstreamOptions options = {
    .role = DP_ROLE_BALANCER,
    .name = services->name,
    .zone = services->zone,
    .service = "",
    .subscribe = TRUE,
    .replica = services->services_replica,
    .metrics = &services->channel_metrics,
  };
  Consultation *consultation;

  if (services->consultations->len >= MAX_CONSULTED
      || dp_address_equal (address, &services->report_address))
    return;
  for (guint i = 0; i < services->consultations->len; i++)
    if (dp_address_equal (
            &((const Consultation *) g_ptr_array_index (services->consultations, i))
                 ->address,
            address))
      return;
  consultation = g_new0 (Consultation, 1);
  consultation->services = services;
  consultation->address = *address;
  consultation->ends_at = now + CONSULTATION_US;
  consultation->upstream = dp_upstream_new (&options, &listener, consultation);
  dp_upstream_set_peers (consultation->upstream, address, 1);
  g_ptr_array_add (services->consultations, consultation);
  dp_metric_increment (services->consulted);
}

/* After its start, a balancer is not ready before it has asked others: what the store has
 * may be older than what is in force everywhere else. A store without eras is never
 * restored. */
static void
update_caught_up_ (DpPassthroughServices *services, gint64 now)
{
  gboolean asked = services->registering && !services->consult;

  if (services->caught_up)
    return;
  for (guint i = 0; i < services->consultations->len; i++)
    asked = asked
            && dp_upstream_synced (
                ((const Consultation *) g_ptr_array_index (services->consultations, i))
                    ->upstream);
  if (!services->is_root)
    asked = asked && dp_upstream_synced (services->upstream);
  services->caught_up = asked
                        || (services->known && dp_platform_era (services->platform) == 0)
                        || now - services->started_at > CATCH_UP_US;
}

static void
consultation_free_ (gpointer data)
{
  Consultation *consultation = data;

  dp_upstream_free (consultation->upstream);
  g_free (consultation);
}

/* Complete consultations end at the next tick, as a connection can't be freed in its own
 * callback. */
static void
consultation_changed_ (DpUpstream *upstream, gpointer user_data)
{
}

static void
consultation_progressed_ (DpUpstream *upstream, gpointer user_data)
{
  const Consultation *consultation = user_data;

  if (!dp_upstream_synced (upstream))
    return;
  apply_progress_ (consultation->services);
  update_caught_up_ (consultation->services,
                     dp_clock_now (consultation->services->clock));
}

static void
upstream_changed_ (DpUpstream *upstream, gpointer user_data)
{
  DpPassthroughServices *services = user_data;

  if (!dp_upstream_synced (upstream))
    {
      dp_freshness_parent_lost (&services->freshness);
      choose_source_ (services, dp_clock_now (services->clock));
    }
  g_message ("services from another balancer: %s, version=%" G_GUINT64_FORMAT,
             dp_upstream_synced (upstream) ? "complete" : "connection lost",
             dp_passthrough_services_version (services));
}

static void
upstream_progressed_ (DpUpstream *upstream, gpointer user_data)
{
  DpPassthroughServices *services = user_data;

  if (!dp_upstream_synced (upstream))
    return;
  apply_progress_ (services);
  update_caught_up_ (services, dp_clock_now (services->clock));
}

/* Records the parent's confirmation that there is no newer configuration, and sends it on
 * to this balancer's own subscribers unless this balancer watches the platform itself. */
static void
upstream_confirmed_ (DpUpstream *upstream, guint32 age_ms, gpointer user_data)
{
  DpPassthroughServices *services = user_data;
  const gint64 now = dp_clock_now (services->clock);

  services->parent_heard_at = now;
  dp_freshness_parent_confirmed (&services->freshness, age_ms * DP_US_PER_MS, now);
  if (!dp_watch_active (services->services_watch))
    send_freshness_ (services, now);
}

static void
send_freshness_ (DpPassthroughServices *services, gint64 now)
{
  const gint64 age = dp_freshness_age (&services->freshness, now);

  dp_feed_send_freshness (services->feed,
                          (guint32) MIN (age / DP_US_PER_MS, G_MAXUINT32));
}

/* In passthrough mode members report by datagrams, and no process sends heartbeats here.
 */
static void
ignore_heartbeat_ (const DpHeartbeat *heartbeat, gpointer user_data)
{
  g_debug ("heartbeat of %s ignored", heartbeat->member);
}

static void
ignore_suspicion_ (const DpSuspicion *suspicion, gpointer user_data)
{
  g_debug ("suspicion of %s ignored", suspicion->member);
}

static void
balancers_reachable_ (gboolean reachable, gpointer user_data)
{
  g_debug ("registered balancers: %s", reachable ? "reachable" : "not reachable");
}

static void
balancers_progressed_ (gpointer user_data)
{
  DpPassthroughServices *services = user_data;
  const gint64 now = dp_clock_now (services->clock);

  /* Only the list of registered balancers shows whether this balancer has to write its
   * registration. */
  if (!services->registering)
    {
      dp_balancer_registration_set_wanted (services->registration, TRUE);
      services->registering = TRUE;
      choose_parents_ (services, now);
      consult_others_ (services, now);
      update_caught_up_ (services, now);
    }
  g_debug ("the list of registered balancers is at position=" DP_POSITION_FORMAT,
           DP_POSITION_ARGS (dp_replica_position (services->balancers_replica)));
}

static void
services_reachable_ (gboolean reachable, gpointer user_data)
{
  DpPassthroughServices *services = user_data;

  services->unreachable_since = reachable ? 0 : dp_clock_now (services->clock);
  /* The platform may have acknowledged a version right before that this root lacks. */
  services->consult = services->consult || !reachable;
  g_message ("platform: %s", reachable ? "reachable" : "not reachable");
}

/* Handles an answer of the platform to this process. */
static void
services_progressed_ (gpointer user_data)
{
  DpPassthroughServices *services = user_data;
  const gint64 now = dp_clock_now (services->clock);

  apply_progress_ (services);
  update_caught_up_ (services, now);
  dp_freshness_platform_answered (&services->freshness, now);
  send_freshness_ (services, now);
}

/* Applies the first services at once, since the balancer must not be ready before its
 * services are in force. */
static void
apply_progress_ (DpPassthroughServices *services)
{
  g_autoptr (GPtrArray) records = NULL;

  if (!services->known)
    {
      g_clear_handle_id (&services->update_source, g_source_remove);
      while (g_hash_table_size (services->pending) > 0)
        apply_next_ (services);
    }
  dp_feed_flush (services->feed);
  if (services->known)
    return;
  records = dp_replica_list (services->services_replica, DP_KIND_SERVICE);
  services->known = services->names != NULL || records->len > 0;
}

static void
registration_finished_ (gpointer user_data)
{
  DpPassthroughServices *services = user_data;

  if (services->registered_at == 0)
    services->registered_at = dp_clock_now (services->clock);
  g_message ("balancer %s is registered%s", services->name,
             dp_balancer_registration_reused (services->registration) ? ", as before"
                                                                      : "");
}

static void
service_changed_ (const DpRecord *record, gpointer user_data)
{
  DpPassthroughServices *services = user_data;

  if (record->kind == DP_KIND_FLEET && g_str_equal (record->name, DP_FLEET_SERVICES))
    names_changed_ (services);
  else if (record->kind == DP_KIND_SERVICE)
    add_pending_ (services, record->name);
}

/* Applies the services that come or go with the new names. A balancer that has started
 * since a service was removed has no record that says so, but its names do. */
static void
names_changed_ (DpPassthroughServices *services)
{
  GHashTableIter iter;
  gpointer name;

  g_clear_pointer (&services->names, g_hash_table_unref);
  services->names = dp_fleet_service_names (services->services_replica);
  if (services->names == NULL)
    return;
  g_hash_table_iter_init (&iter, services->names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (services->applied, name))
      add_pending_ (services, name);
  g_hash_table_iter_init (&iter, services->applied);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (services->names, name))
      add_pending_ (services, name);
}

static void
add_pending_ (DpPassthroughServices *services, const char *name)
{
  g_hash_table_add (services->pending, g_strdup (name));
  if (services->update_source == 0)
    services->update_source = g_idle_add_full (G_PRIORITY_DEFAULT, apply_next_, services,
                                               NULL);
}

/* Returns whether the configuration has the service; the record of one that it no longer
 * has may still be there. */
static gboolean
is_in_configuration_ (const DpPassthroughServices *services, const char *name)
{
  return services->names == NULL || g_hash_table_contains (services->names, name);
}

static gboolean
apply_next_ (gpointer user_data)
{
  DpPassthroughServices *services = user_data;
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, services->pending);
  if (g_hash_table_iter_next (&iter, &name, NULL))
    {
      apply_service_ (services, name);
      g_hash_table_iter_remove (&iter);
    }
  if (g_hash_table_size (services->pending) > 0)
    return G_SOURCE_CONTINUE;
  g_message ("services of version=%" G_GUINT64_FORMAT " are in force, from %s",
             dp_passthrough_services_version (services),
             dp_watch_active (services->services_watch) ? "the platform"
                                                        : "another balancer");
  services->update_source = 0;
  return G_SOURCE_REMOVE;
}

/* Applies a service's addresses to the router if its record has changed. Each
 * configuration repeats all addresses, and reading some hundred takes milliseconds. */
static void
apply_service_ (DpPassthroughServices *services, const char *name)
{
  const DpRecord *record = dp_replica_get (services->services_replica, DP_KIND_SERVICE,
                                           name);
  const char *applied = g_hash_table_lookup (services->applied, name);
  g_autoptr (GArray) addresses = NULL;

  if (record == NULL || !is_in_configuration_ (services, name))
    {
      const guint64 id = dp_service_id (name);

      dp_router_remove_service (services->router, name);
      g_hash_table_remove (services->applied, name);
      g_hash_table_remove (services->warmups, &id);
      return;
    }
  apply_warmup_ (services, record, g_strcmp0 (applied, record->json) != 0);
  if (g_strcmp0 (applied, record->json) == 0)
    return;
  addresses = dp_fleet_addresses (services->services_replica, name, NULL);
  dp_router_set_addresses (services->router, name,
                           (const DpServiceAddress *) (void *) addresses->data,
                           addresses->len);
  g_hash_table_replace (services->applied, g_strdup (name), g_strdup (record->json));
}

/* Applies a service's warm-up rate. Its version increases with each configuration, also
 * if the record has not changed otherwise. */
static void
apply_warmup_ (DpPassthroughServices *services, const DpRecord *record, gboolean changed)
{
  const guint64 id = dp_service_id (record->name);
  Warmup *warmup = g_hash_table_lookup (services->warmups, &id);

  if (warmup == NULL)
    {
      warmup = g_new0 (Warmup, 1);
      g_hash_table_insert (services->warmups, g_memdup2 (&id, sizeof id), warmup);
    }
  if (changed)
    warmup->rate = (guint64) ceil (dp_fleet_warmup_rate (record) * RATE_UNITS);
  warmup->version = dp_position_to_version (record->position);
}
