#include "protected/relay.h"

#include "private/feed.h"
#include "private/upstream.h"
#include "private/watch.h"
#include "protected/topology.h"

#define TICK_MS 500
/* Maximum number of peers from the settings that a balancer asks for their records at
 * start, or that a companion without a working watcher connects to. */
#define MAX_START_PEERS 3
/* Time for start peers to answer, before the platform or an upstream is used. */
#define START_GRACE_US (2 * DP_US_PER_S)
/* Time after which start peers are disconnected, even if they have not answered. */
#define START_LIMIT_US (10 * DP_US_PER_S)
/* Time without a source of records, after which a balancer watches the platform and a
 * companion connects to the peers from its settings. */
#define FALLBACK_DELAY_US (5 * DP_US_PER_S)
/* Time for which an upstream may be behind a heartbeat's position, before the next one is
 * tried. */
#define LAG_LIMIT_US (10 * DP_US_PER_S)
/* Time since the last suspicion sent, after which a connection that was opened to send
 * suspicions is closed. */
#define SUSPICION_IDLE_US (30 * DP_US_PER_S)

/* A connection to one balancer. A failed connection is opened again. */
typedef struct
{
  DpRelay *relay;
  DpAddress address;
  DpUpstream *upstream;
  gint64 used_at;  /* us; last suspicion sent, or creation */
  gboolean wanted; /* set while the links to watchers are updated */
} Link;

struct _DpRelay
{
  DpRole role;
  char *name;
  char *zone;
  char *service;
  gboolean listens;
  DpAddress control;
  GArray *peers;   /* DpAddress */
  GArray *trusted; /* DpNetwork */
  DpReplica *replica;
  DpPlatform *platform;
  DpClock *clock;
  DpChannelMetrics metrics;
  DpRelayListener listener;
  gpointer user_data;
  DpTopology *topology;
  gboolean topology_stale;
  guint replica_listener;
  DpFeed *feed;           /* balancer only */
  DpWatch *watch;         /* balancer only */
  DpUpstream *upstream;   /* balancer only; its source of records besides the platform */
  GPtrArray *start_links; /* Link to start peers, until they have sent their records */
  GPtrArray *watcher_links;   /* Link to watchers; a companion subscribes to them */
  GPtrArray *suspicion_links; /* Link to balancers that suspicions were sent to */
  gint64 started_at;          /* us */
  gint64 no_source_since;     /* us; since when there is no source, -1: there is one */
  gint64 lagging_since; /* us; since when heartbeats show a later position, -1: none */
  gboolean connected;   /* as last reported to the listener */
  guint tick;           /* source id */
  guint update;         /* source id */
};

static DpUpstream *make_upstream_ (DpRelay *relay,
                                   gboolean subscribe,
                                   gpointer owner,
                                   const DpUpstreamListener *listener);
static Link *add_link_ (DpRelay *relay,
                        GPtrArray *links,
                        const DpAddress *address,
                        gboolean subscribe);
static Link *find_link_ (GPtrArray *links, const DpAddress *address);
static void link_free_ (gpointer data);
static void link_changed_ (DpUpstream *upstream, gpointer user_data);
static void link_progressed_ (DpUpstream *upstream, gpointer user_data);
static void upstream_changed_ (DpUpstream *upstream, gpointer user_data);
static void upstream_progressed_ (DpUpstream *upstream, gpointer user_data);
static void watch_reachable_ (gboolean reachable, gpointer user_data);
static void watch_progressed_ (gpointer user_data);
static void heartbeat_received_ (const DpHeartbeat *heartbeat, gpointer user_data);
static void suspicion_received_ (const DpSuspicion *suspicion, gpointer user_data);
static void replica_changed_ (const DpRecord *record, gpointer user_data);
static gboolean tick_ (gpointer user_data);
static void update_soon_ (DpRelay *relay);
static gboolean update_now_ (gpointer user_data);
static void update_ (DpRelay *relay);
static void update_start_links_ (DpRelay *relay, gint64 now);
static void update_upstream_ (DpRelay *relay, gint64 now);
static void update_watcher_links_ (DpRelay *relay, gint64 now);
static void require_watcher_link_ (DpRelay *relay, const DpAddress *address);
static void update_suspicion_links_ (DpRelay *relay, gint64 now);
static void update_connected_ (DpRelay *relay, gint64 now);
static gboolean has_source_ (const DpRelay *relay);
static gboolean is_own_address_ (const DpRelay *relay, const DpAddress *address);

/* Creates a relay that is not started. Copies the options. platform may be NULL for a
 * companion, which gets its records from balancers only. */
DpRelay *
dp_relay_new (const DpRelayOptions *options,
              DpReplica *replica,
              DpPlatform *platform,
              DpClock *clock,
              DpMetrics *metrics)
{
  DpRelay *relay = g_new0 (DpRelay, 1);

  g_assert (options->role == DP_ROLE_COMPANION || platform != NULL);
  relay->role = options->role;
  relay->name = g_strdup (options->name);
  relay->zone = g_strdup (options->zone);
  relay->service = g_strdup (options->service);
  relay->listens = options->control != NULL;
  if (relay->listens)
    relay->control = *options->control;
  relay->peers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  g_array_append_vals (relay->peers, options->peers, options->n_peers);
  relay->trusted = g_array_new (FALSE, FALSE, sizeof (DpNetwork));
  g_array_append_vals (relay->trusted, options->trusted, options->n_trusted);
  relay->replica = replica;
  relay->platform = platform;
  relay->clock = clock;
  dp_channel_metrics_init (&relay->metrics, metrics);
  relay->start_links = g_ptr_array_new_with_free_func (link_free_);
  relay->watcher_links = g_ptr_array_new_with_free_func (link_free_);
  relay->suspicion_links = g_ptr_array_new_with_free_func (link_free_);
  relay->topology = dp_topology_new (replica);
  relay->replica_listener = dp_replica_add_listener (replica, replica_changed_, relay);
  relay->lagging_since = -1;
  if (relay->role == DP_ROLE_BALANCER)
    {
      static const DpWatchListener listener = { watch_reachable_, watch_progressed_ };

      relay->watch = dp_watch_new (platform, 0, DP_WATCH_MAX_WAIT_MS, replica, metrics,
                                   &listener, relay);
    }
  return relay;
}

/* Sets the functions to call, each of which may be NULL. */
void
dp_relay_set_listener (DpRelay *relay,
                       const DpRelayListener *listener,
                       gpointer user_data)
{
  relay->listener = *listener;
  relay->user_data = user_data;
}

/* Starts to listen and to connect. DP_ERROR_UNAVAILABLE if the address can't be used. */
gboolean
dp_relay_start (DpRelay *relay, GError **error)
{
  static const DpUpstreamListener listener = { upstream_changed_, upstream_progressed_ };

  if (relay->listens)
    {
      static const DpFeedListener feed_listener = { heartbeat_received_,
                                                    suspicion_received_ };
      const DpFeedOptions options = {
        .name = relay->name,
        .zone = relay->zone,
        .address = &relay->control,
        .trusted = (const DpNetwork *) relay->trusted->data,
        .n_trusted = relay->trusted->len,
        .replica = relay->replica,
        .metrics = &relay->metrics,
      };

      relay->feed = dp_feed_new (&options, &feed_listener, relay, error);
      if (relay->feed == NULL)
        return FALSE;
    }
  relay->started_at = dp_clock_now (relay->clock);
  relay->no_source_since = relay->started_at;
  if (relay->role == DP_ROLE_BALANCER)
    {
      relay->upstream = make_upstream_ (relay, TRUE, relay, &listener);
      for (guint i = 0;
           i < relay->peers->len && relay->start_links->len < MAX_START_PEERS; i++)
        {
          const DpAddress *peer = &g_array_index (relay->peers, DpAddress, i);

          if (!is_own_address_ (relay, peer))
            add_link_ (relay, relay->start_links, peer, TRUE);
        }
    }
  relay->tick = g_timeout_add (TICK_MS, tick_, relay);
  update_soon_ (relay);
  return TRUE;
}

/* Closes all connections and frees the relay, which has to be done before its platform
 * client and replica are freed. */
void
dp_relay_free (DpRelay *relay)
{
  if (relay == NULL)
    return;
  g_clear_handle_id (&relay->tick, g_source_remove);
  g_clear_handle_id (&relay->update, g_source_remove);
  dp_replica_remove_listener (relay->replica, relay->replica_listener);
  dp_watch_free (relay->watch);
  dp_feed_free (relay->feed);
  dp_upstream_free (relay->upstream);
  g_ptr_array_unref (relay->start_links);
  g_ptr_array_unref (relay->watcher_links);
  g_ptr_array_unref (relay->suspicion_links);
  dp_topology_free (relay->topology);
  g_array_unref (relay->peers);
  g_array_unref (relay->trusted);
  g_free (relay->name);
  g_free (relay->zone);
  g_free (relay->service);
  g_free (relay);
}

/* Returns whether the replica has a source of records: the platform, or a connected peer
 * that has sent all its records. */
gboolean
dp_relay_connected (const DpRelay *relay)
{
  return has_source_ (relay);
}

/* Returns whether the balancer has a working watch on the platform. */
gboolean
dp_relay_watches_platform (const DpRelay *relay)
{
  return relay->watch != NULL && dp_watch_reachable (relay->watch);
}

/* Returns whether the platform has answered with a lower position than the replica's. */
gboolean
dp_relay_platform_is_behind (const DpRelay *relay)
{
  return relay->watch != NULL && dp_watch_platform_is_behind (relay->watch);
}

/* Returns the number of peers that get records from this process. */
guint
dp_relay_subscribers (const DpRelay *relay)
{
  return relay->feed == NULL ? 0 : dp_feed_subscribers (relay->feed);
}

/* Returns the address that a started balancer listens on. */
DpAddress
dp_relay_address (const DpRelay *relay)
{
  return dp_feed_address (relay->feed);
}

/* Sends the heartbeat to all watchers that are connected. */
void
dp_relay_send_heartbeat (DpRelay *relay, const DpHeartbeat *heartbeat)
{
  const DpMessage message = { .type = DP_MESSAGE_HEARTBEAT, .heartbeat = *heartbeat };

  for (guint i = 0; i < relay->watcher_links->len; i++)
    {
      const Link *link = g_ptr_array_index (relay->watcher_links, i);

      dp_upstream_send (link->upstream, &message);
    }
}

/* Sends the suspicion to one balancer. If no connection is open, the message is lost, and
 * a connection is opened for the next message. */
void
dp_relay_send_suspicion (DpRelay *relay,
                         const char *balancer,
                         const DpSuspicion *suspicion)
{
  const DpMessage message = { .type = DP_MESSAGE_SUSPECT, .suspicion = *suspicion };
  const DpTopologyBalancer *target = dp_topology_find (relay->topology, balancer);
  Link *link;

  if (target == NULL || g_str_equal (balancer, relay->name))
    return;
  link = find_link_ (relay->watcher_links, &target->control_address);
  if (link == NULL)
    link = find_link_ (relay->suspicion_links, &target->control_address);
  if (link == NULL)
    link = add_link_ (relay, relay->suspicion_links, &target->control_address, FALSE);
  link->used_at = dp_clock_now (relay->clock);
  dp_upstream_send (link->upstream, &message);
}

static DpUpstream *
make_upstream_ (DpRelay *relay,
                gboolean subscribe,
                gpointer owner,
                const DpUpstreamListener *listener)
{
  const DpUpstreamOptions options = {
    .role = relay->role,
    .name = relay->name,
    .zone = relay->zone,
    .service = relay->service,
    .subscribe = subscribe,
    .replica = relay->replica,
    .metrics = &relay->metrics,
  };

  return dp_upstream_new (&options, listener, owner);
}

static Link *
add_link_ (DpRelay *relay, GPtrArray *links, const DpAddress *address, gboolean subscribe)
{
  static const DpUpstreamListener listener = { link_changed_, link_progressed_ };
  Link *link = g_new0 (Link, 1);

  link->relay = relay;
  link->address = *address;
  link->used_at = dp_clock_now (relay->clock);
  link->upstream = make_upstream_ (relay, subscribe, link, &listener);
  dp_upstream_set_peers (link->upstream, address, 1);
  g_ptr_array_add (links, link);
  return link;
}

static Link *
find_link_ (GPtrArray *links, const DpAddress *address)
{
  for (guint i = 0; i < links->len; i++)
    {
      Link *link = g_ptr_array_index (links, i);

      if (dp_address_equal (&link->address, address))
        return link;
    }
  return NULL;
}

static void
link_free_ (gpointer data)
{
  Link *link = data;

  dp_upstream_free (link->upstream);
  g_free (link);
}

static void
link_changed_ (DpUpstream *upstream, gpointer user_data)
{
  Link *link = user_data;

  update_soon_ (link->relay);
}

static void
link_progressed_ (DpUpstream *upstream, gpointer user_data)
{
  Link *link = user_data;

  if (link->relay->feed != NULL)
    dp_feed_flush (link->relay->feed);
}

static void
upstream_changed_ (DpUpstream *upstream, gpointer user_data)
{
  update_soon_ (user_data);
}

static void
upstream_progressed_ (DpUpstream *upstream, gpointer user_data)
{
  DpRelay *relay = user_data;

  if (relay->feed != NULL)
    dp_feed_flush (relay->feed);
}

static void
watch_reachable_ (gboolean reachable, gpointer user_data)
{
  DpRelay *relay = user_data;

  if (relay->listener.platform_reachable != NULL)
    relay->listener.platform_reachable (reachable, relay->user_data);
  update_soon_ (relay);
}

static void
watch_progressed_ (gpointer user_data)
{
  DpRelay *relay = user_data;

  if (relay->feed != NULL)
    dp_feed_flush (relay->feed);
}

static void
heartbeat_received_ (const DpHeartbeat *heartbeat, gpointer user_data)
{
  DpRelay *relay = user_data;

  if (dp_position_compare (heartbeat->position, dp_replica_position (relay->replica))
      <= 0)
    relay->lagging_since = -1;
  else if (relay->lagging_since < 0)
    relay->lagging_since = dp_clock_now (relay->clock);
  if (relay->listener.heartbeat != NULL)
    relay->listener.heartbeat (heartbeat, relay->user_data);
}

static void
suspicion_received_ (const DpSuspicion *suspicion, gpointer user_data)
{
  DpRelay *relay = user_data;

  if (relay->listener.suspicion != NULL)
    relay->listener.suspicion (suspicion, relay->user_data);
}

static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpRelay *relay = user_data;

  if (record->kind != DP_KIND_BALANCER)
    return;
  relay->topology_stale = TRUE;
  update_soon_ (relay);
}

static gboolean
tick_ (gpointer user_data)
{
  update_ (user_data);
  return G_SOURCE_CONTINUE;
}

/* Schedules an update for the main loop's next iteration, so that several changes at once
 * need one update and no connection is freed in its own callback. */
static void
update_soon_ (DpRelay *relay)
{
  if (relay->update == 0 && relay->tick != 0)
    relay->update = g_idle_add_full (G_PRIORITY_DEFAULT, update_now_, relay, NULL);
}

static gboolean
update_now_ (gpointer user_data)
{
  DpRelay *relay = user_data;

  relay->update = 0;
  update_ (relay);
  return G_SOURCE_REMOVE;
}

static void
update_ (DpRelay *relay)
{
  gint64 now = dp_clock_now (relay->clock);

  if (relay->topology_stale)
    {
      dp_topology_free (relay->topology);
      relay->topology = dp_topology_new (relay->replica);
      relay->topology_stale = FALSE;
    }
  if (relay->role == DP_ROLE_BALANCER)
    {
      update_start_links_ (relay, now);
      update_upstream_ (relay, now);
    }
  update_watcher_links_ (relay, now);
  update_suspicion_links_ (relay, now);
  update_connected_ (relay, now);
}

/* Closes the connections to start peers that have sent all their records, and all that
 * are left after START_LIMIT_US. */
static void
update_start_links_ (DpRelay *relay, gint64 now)
{
  gboolean expired = now - relay->started_at > START_LIMIT_US;

  for (guint i = relay->start_links->len; i > 0; i--)
    {
      const Link *link = g_ptr_array_index (relay->start_links, i - 1);

      if (expired || dp_upstream_synced (link->upstream))
        g_ptr_array_remove_index (relay->start_links, i - 1);
    }
}

/* A root of the relay tree watches the platform, and needs an upstream only while the
 * platform fails. The other balancers subscribe to an upstream, and watch the platform
 * only while no upstream works. */
static void
update_upstream_ (DpRelay *relay, gint64 now)
{
  gboolean root = dp_topology_rank (relay->topology, relay->name, relay->zone)
                  < DP_TOPOLOGY_ROOTS;
  gboolean starting = relay->start_links->len > 0
                      && dp_replica_position (relay->replica) == 0
                      && now - relay->started_at < START_GRACE_US;
  gboolean fallback = relay->no_source_since >= 0
                      && now - relay->no_source_since > FALLBACK_DELAY_US;
  gboolean subscribe = !root || dp_watch_failed (relay->watch);
  g_autoptr (GArray) addresses = g_array_new (FALSE, FALSE, sizeof (DpAddress));

  if (starting)
    return;
  if (root || fallback)
    dp_watch_set_active (relay->watch, TRUE);
  else if (dp_upstream_synced (relay->upstream))
    dp_watch_set_active (relay->watch, FALSE);
  if (subscribe)
    {
      g_autoptr (GPtrArray)
          upstreams = dp_topology_upstreams (relay->topology, relay->name, relay->zone);

      for (guint i = 0; i < upstreams->len; i++)
        {
          const DpTopologyBalancer *balancer = g_ptr_array_index (upstreams, i);

          g_array_append_val (addresses, balancer->control_address);
        }
      for (guint i = 0; i < relay->peers->len; i++)
        {
          const DpAddress *peer = &g_array_index (relay->peers, DpAddress, i);

          if (!is_own_address_ (relay, peer))
            g_array_append_val (addresses, *peer);
        }
    }
  dp_upstream_set_peers (relay->upstream, (const DpAddress *) addresses->data,
                         addresses->len);
  if (subscribe && relay->lagging_since >= 0 && now - relay->lagging_since > LAG_LIMIT_US)
    {
      g_message ("relay: upstream is behind a heartbeat's position, trying the next one");
      relay->lagging_since = now;
      dp_upstream_skip (relay->upstream);
    }
}

/* Connects to the watchers. A companion without a working watcher also connects to peers
 * from its settings. */
static void
update_watcher_links_ (DpRelay *relay, gint64 now)
{
  const DpTopologyBalancer *watchers[DP_TOPOLOGY_WATCHERS];
  guint n = dp_topology_watchers (relay->topology, relay->service, relay->name,
                                  relay->zone, watchers);
  gboolean fallback = relay->no_source_since >= 0
                      && now - relay->no_source_since > FALLBACK_DELAY_US;

  for (guint i = 0; i < relay->watcher_links->len; i++)
    ((Link *) g_ptr_array_index (relay->watcher_links, i))->wanted = FALSE;
  for (guint i = 0; i < n; i++)
    require_watcher_link_ (relay, &watchers[i]->control_address);
  if (relay->role == DP_ROLE_COMPANION && (n == 0 || fallback))
    {
      for (guint i = 0; i < relay->peers->len && i < MAX_START_PEERS; i++)
        require_watcher_link_ (relay, &g_array_index (relay->peers, DpAddress, i));
    }
  for (guint i = relay->watcher_links->len; i > 0; i--)
    {
      const Link *link = g_ptr_array_index (relay->watcher_links, i - 1);

      if (!link->wanted)
        g_ptr_array_remove_index (relay->watcher_links, i - 1);
    }
}

static void
require_watcher_link_ (DpRelay *relay, const DpAddress *address)
{
  Link *link = find_link_ (relay->watcher_links, address);

  if (link == NULL)
    link = add_link_ (relay, relay->watcher_links, address,
                      relay->role == DP_ROLE_COMPANION);
  link->wanted = TRUE;
}

static void
update_suspicion_links_ (DpRelay *relay, gint64 now)
{
  for (guint i = relay->suspicion_links->len; i > 0; i--)
    {
      const Link *link = g_ptr_array_index (relay->suspicion_links, i - 1);

      if (now - link->used_at > SUSPICION_IDLE_US)
        g_ptr_array_remove_index (relay->suspicion_links, i - 1);
    }
}

static void
update_connected_ (DpRelay *relay, gint64 now)
{
  gboolean connected = has_source_ (relay);

  if (connected)
    relay->no_source_since = -1;
  else if (relay->no_source_since < 0)
    relay->no_source_since = now;
  if (connected == relay->connected)
    return;
  relay->connected = connected;
  if (relay->listener.connected != NULL)
    relay->listener.connected (connected, relay->user_data);
}

static gboolean
has_source_ (const DpRelay *relay)
{
  if (relay->role == DP_ROLE_BALANCER)
    return dp_watch_reachable (relay->watch) || dp_upstream_synced (relay->upstream);
  for (guint i = 0; i < relay->watcher_links->len; i++)
    {
      const Link *link = g_ptr_array_index (relay->watcher_links, i);

      if (dp_upstream_synced (link->upstream))
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_own_address_ (const DpRelay *relay, const DpAddress *address)
{
  return relay->listens && dp_address_equal (address, &relay->control);
}
