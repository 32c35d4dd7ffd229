#include "private/passthroughreporter.h"

#include "private/watch.h"
#include "protected/topology.h"

/* Balancers of other availability zones get at most every fourth report. They choose this
 * member for new flows only when their own zone is full. */
#define OTHER_ZONE_INTERVAL_MIN 4
/* Maximum reports per second to all balancers of other availability zones together, since
 * traffic between zones is expensive. With more than 40 such balancers, each gets fewer
 * reports. */
#define OTHER_ZONE_REPORTS_PER_S 100
/* Maximum wait of a watch: half the time for which the platform keeps its history of
 * changes. */
#define WATCH_WAIT_MS 10000
/* Interval between two watches, so that one answer covers a burst of registrations. */
#define WATCH_SPACING_MS 1000
/* Time for which balancers whose registration the platform has lost in a restore still
 * get reports. They write it again within the bound of docs/design/store-position.md. */
#define LOST_REGISTRATION_S 20

/* A balancer that gets reports. */
typedef struct
{
  DpAddress address; /* of its report port */
  gboolean same_zone;
  gboolean registered; /* or only in the settings */
} Balancer;

struct _DpPassthroughReporter
{
  char *zone;
  GArray *seed_balancers; /* Balancer, from the settings */
  GArray *balancers;      /* Balancer, all that get reports */
  GArray *lost;           /* Balancer, their registrations were lost in a restore */
  guint lost_timer;       /* source id, forgets them */
  guint64 era;            /* of the platform's last list */
  DpReplica *replica;     /* of the platform's collection of balancers */
  guint replica_listener;
  DpWatch *watch;
  DpPacketPort *port; /* not owned */
  guint n_reports;
  guint other_zone_interval; /* one in this many reports goes to other zones */
};

static void platform_reachable_ (gboolean reachable, gpointer user_data);
static void balancers_progressed_ (gpointer user_data);
static void balancer_changed_ (const DpRecord *record, gpointer user_data);
static void update_balancers_ (DpPassthroughReporter *reporter);
static void keep_lost_balancers_ (DpPassthroughReporter *reporter);
static gboolean forget_lost_balancers_ (gpointer user_data);
static void append_unknown_ (DpPassthroughReporter *reporter, const GArray *balancers);
static gboolean knows_balancer_ (const DpPassthroughReporter *reporter,
                                 const DpAddress *address);
static void send_to_zone_ (DpPassthroughReporter *reporter,
                           const DpReport *report,
                           gboolean same_zone,
                           guint interval_ms);

/* Creates a reporter that sends no request to the platform yet. */
DpPassthroughReporter *
dp_passthrough_reporter_new (const DpPassthroughReporterOptions *options,
                             DpMetrics *metrics)
{
  static const DpWatchListener listener = {
    .reachable = platform_reachable_,
    .progressed = balancers_progressed_,
  };
  DpPassthroughReporter *reporter = g_new0 (DpPassthroughReporter, 1);

  reporter->zone = g_strdup (options->zone);
  reporter->seed_balancers = g_array_new (FALSE, FALSE, sizeof (Balancer));
  reporter->balancers = g_array_new (FALSE, FALSE, sizeof (Balancer));
  reporter->lost = g_array_new (FALSE, FALSE, sizeof (Balancer));
  for (guint i = 0; i < options->n_seed_balancers; i++)
    {
      const Balancer balancer = { options->seed_balancers[i], TRUE, FALSE };

      g_array_append_val (reporter->seed_balancers, balancer);
    }
  reporter->replica = dp_replica_new ();
  reporter->replica_listener = dp_replica_add_listener (reporter->replica,
                                                        balancer_changed_, reporter);
  reporter->watch = dp_watch_new (options->platform, options->balancers_collection,
                                  WATCH_WAIT_MS, reporter->replica, metrics, &listener,
                                  reporter);
  dp_watch_set_spacing (reporter->watch, WATCH_SPACING_MS);
  update_balancers_ (reporter);
  return reporter;
}

void
dp_passthrough_reporter_free (DpPassthroughReporter *reporter)
{
  dp_replica_remove_listener (reporter->replica, reporter->replica_listener);
  dp_watch_free (reporter->watch);
  dp_replica_free (reporter->replica);
  g_array_unref (reporter->seed_balancers);
  g_clear_handle_id (&reporter->lost_timer, g_source_remove);
  g_array_unref (reporter->balancers);
  g_array_unref (reporter->lost);
  g_free (reporter->zone);
  g_free (reporter);
}

/* Starts to watch the registered balancers. */
void
dp_passthrough_reporter_start (DpPassthroughReporter *reporter, DpPacketPort *port)
{
  reporter->port = port;
  dp_watch_set_active (reporter->watch, TRUE);
}

/* Sends the report to the balancers of the own availability zone, and one in
 * other_zone_interval reports to those of other zones as well. */
void
dp_passthrough_reporter_send (DpPassthroughReporter *reporter, const DpReport *report)
{
  send_to_zone_ (reporter, report, TRUE, DP_REPORT_SAME_ZONE_INTERVAL_MS);
  if (reporter->n_reports++ % reporter->other_zone_interval == 0)
    send_to_zone_ (reporter, report, FALSE,
                   reporter->other_zone_interval * DP_REPORT_SAME_ZONE_INTERVAL_MS);
}

static void
platform_reachable_ (gboolean reachable, gpointer user_data)
{
  g_message ("platform: %s", reachable ? "reachable" : "not reachable");
}

static void
balancers_progressed_ (gpointer user_data)
{
  DpPassthroughReporter *reporter = user_data;
  const guint64 era = dp_position_era (dp_replica_position (reporter->replica));

  if (era != reporter->era)
    keep_lost_balancers_ (reporter);
  reporter->era = era;
  update_balancers_ (reporter);
}

static void
balancer_changed_ (const DpRecord *record, gpointer user_data)
{
  const DpPassthroughReporter *reporter = user_data;

  g_message ("balancer %s is %s, %u known", record->name,
             record->deleted ? "no longer registered" : "registered",
             reporter->balancers->len);
}

/* Rebuilds the list of balancers from the registered ones and those of the settings,
 * which may not have registered yet. The zone of the balancers in the settings is not
 * known. Once any balancer is registered, those that are only in the settings get reports
 * as rarely as balancers of other zones, since they may no longer exist. */
static void
update_balancers_ (DpPassthroughReporter *reporter)
{
  g_autoptr (DpTopology) topology = dp_topology_new (reporter->replica);
  const gboolean registered = dp_topology_size (topology) > 0;
  guint n_other_zone = 0;

  g_array_set_size (reporter->balancers, 0);
  for (guint i = 0; i < dp_topology_size (topology); i++)
    {
      const DpTopologyBalancer *b = dp_topology_at (topology, i);
      const Balancer balancer = { b->control_address,
                                  g_str_equal (b->zone, reporter->zone), TRUE };

      g_array_append_val (reporter->balancers, balancer);
    }
  append_unknown_ (reporter, reporter->lost);
  for (guint i = 0; i < reporter->seed_balancers->len; i++)
    {
      const Balancer *seed = &g_array_index (reporter->seed_balancers, Balancer, i);
      const Balancer balancer = { seed->address, !registered, FALSE };

      if (!knows_balancer_ (reporter, &seed->address))
        g_array_append_val (reporter->balancers, balancer);
    }
  for (guint i = 0; i < reporter->balancers->len; i++)
    n_other_zone += g_array_index (reporter->balancers, Balancer, i).same_zone ? 0 : 1;
  reporter->other_zone_interval = MAX (n_other_zone * 1000 / OTHER_ZONE_REPORTS_PER_S
                                           / DP_REPORT_SAME_ZONE_INTERVAL_MS,
                                       OTHER_ZONE_INTERVAL_MIN);
  reporter->other_zone_interval = MIN (reporter->other_zone_interval,
                                       DP_REPORT_INTERVAL_MAX_MS
                                           / DP_REPORT_SAME_ZONE_INTERVAL_MS);
}

/* Remembers the registered balancers when the platform's list is of a new era. Those that
 * the list lacks were not removed: the platform has lost their registrations. */
static void
keep_lost_balancers_ (DpPassthroughReporter *reporter)
{
  g_array_set_size (reporter->lost, 0);
  for (guint i = 0; i < reporter->balancers->len; i++)
    {
      const Balancer *balancer = &g_array_index (reporter->balancers, Balancer, i);

      if (balancer->registered)
        g_array_append_val (reporter->lost, *balancer);
    }
  g_clear_handle_id (&reporter->lost_timer, g_source_remove);
  if (reporter->lost->len > 0)
    reporter->lost_timer = g_timeout_add_seconds (LOST_REGISTRATION_S,
                                                  forget_lost_balancers_, reporter);
}

static gboolean
forget_lost_balancers_ (gpointer user_data)
{
  DpPassthroughReporter *reporter = user_data;

  reporter->lost_timer = 0;
  g_array_set_size (reporter->lost, 0);
  update_balancers_ (reporter);
  return G_SOURCE_REMOVE;
}

static void
append_unknown_ (DpPassthroughReporter *reporter, const GArray *balancers)
{
  for (guint i = 0; i < balancers->len; i++)
    {
      const Balancer *balancer = &g_array_index (balancers, Balancer, i);

      if (!knows_balancer_ (reporter, &balancer->address))
        g_array_append_val (reporter->balancers, *balancer);
    }
}

static gboolean
knows_balancer_ (const DpPassthroughReporter *reporter, const DpAddress *address)
{
  for (guint i = 0; i < reporter->balancers->len; i++)
    if (dp_address_equal (&g_array_index (reporter->balancers, Balancer, i).address,
                          address))
      return TRUE;
  return FALSE;
}

/* Sends the report to the balancers of the own availability zone if same_zone is set,
 * else to all others. */
static void
send_to_zone_ (DpPassthroughReporter *reporter,
               const DpReport *report,
               gboolean same_zone,
               guint interval_ms)
{
  guint8 buffer[DP_REPORT_MAX];
  DpReport message = *report;
  gsize length;

  message.interval_ms = interval_ms;
  length = dp_report_encode (&message, buffer);
  for (guint i = 0; i < reporter->balancers->len; i++)
    {
      const Balancer *balancer = &g_array_index (reporter->balancers, Balancer, i);

      if (balancer->same_zone == same_zone)
        dp_packet_port_send (reporter->port, &balancer->address, buffer, length);
    }
}
