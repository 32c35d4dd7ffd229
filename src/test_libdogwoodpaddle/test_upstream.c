/* Guards against a process that relies on a peer which doesn't have what it has itself.
 */
#include "private/upstream.h"

#include "private/feed.h"
#include "protected/clock.h"
#include "runner.h"

#define LOCALHOST 0x7f000001
#define WAIT_MS 300
#define AGE_MS 70

typedef struct
{
  DpMetrics *metrics;
  DpChannelMetrics channel_metrics;
  DpReplica *peer_replica;
  DpReplica *replica;
  DpFeed *feed;
  DpUpstream *upstream;
  guint n_confirmations;
  guint32 age_ms;
} Fixture;

static void
heartbeat_received (const DpHeartbeat *heartbeat, gpointer user_data)
{
}

static void
suspicion_received (const DpSuspicion *suspicion, gpointer user_data)
{
}

static void
upstream_changed (DpUpstream *upstream, gpointer user_data)
{
}

static void
confirmed (DpUpstream *upstream, guint32 age_ms, gpointer user_data)
{
  Fixture *f = user_data;

  f->n_confirmations++;
  f->age_ms = age_ms;
}

static gboolean
wake (gpointer user_data)
{
  return G_SOURCE_CONTINUE;
}

static void
run_for (guint ms)
{
  gint64 end = g_get_monotonic_time () + ms * DP_US_PER_MS;
  guint timer = g_timeout_add (10, wake, NULL);

  while (g_get_monotonic_time () < end)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (timer);
}

static void
set_up (Fixture *f, guint64 peer_revision, guint64 own_revision)
{
  static const DpFeedListener feed_listener = { heartbeat_received, suspicion_received };
  static const DpUpstreamListener listener = { upstream_changed, upstream_changed,
                                               confirmed };
  const DpAddress any = { LOCALHOST, 0 };
  DpAddress address;
  DpFeedOptions feed = { .name = "peer", .zone = "riga-a", .address = &any };
  DpUpstreamOptions options = { .role = DP_ROLE_BALANCER,
                                .name = "self",
                                .zone = "riga-a",
                                .service = "",
                                .subscribe = TRUE };

  *f = (Fixture){ 0 };
  f->metrics = dp_metrics_new ();
  dp_channel_metrics_init (&f->channel_metrics, f->metrics);
  f->peer_replica = dp_replica_new ();
  f->replica = dp_replica_new ();
  dp_replica_set_revision (f->peer_replica, peer_revision);
  dp_replica_set_revision (f->replica, own_revision);
  feed.replica = f->peer_replica;
  feed.metrics = options.metrics = &f->channel_metrics;
  options.replica = f->replica;
  f->feed = dp_feed_new (&feed, &feed_listener, f, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->feed);
  address = dp_feed_address (f->feed);
  f->upstream = dp_upstream_new (&options, &listener, f);
  dp_upstream_set_peers (f->upstream, &address, 1);
  run_for (WAIT_MS);
  CU_ASSERT_TRUE_FATAL (dp_upstream_synced (f->upstream));
}

static void
tear_down (Fixture *f)
{
  dp_upstream_free (f->upstream);
  dp_feed_free (f->feed);
  dp_replica_free (f->replica);
  dp_replica_free (f->peer_replica);
  dp_metrics_free (f->metrics);
}

static void
test_confirmation_by_a_peer_that_is_behind (void)
{
  static const struct
  {
    guint64 peer_revision;
    guint64 own_revision;
    gboolean counts;
  } cases[] = { { 9, 5, TRUE }, { 9, 9, TRUE }, { 5, 9, FALSE } };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture f;

      set_up (&f, cases[i].peer_revision, cases[i].own_revision);
      dp_feed_send_freshness (f.feed, AGE_MS);
      run_for (WAIT_MS);
      CU_ASSERT_EQUAL (f.n_confirmations, cases[i].counts ? 1 : 0);
      CU_ASSERT_EQUAL (f.age_ms, cases[i].counts ? AGE_MS : 0);
      tear_down (&f);
    }
}

static const DpTestCase cases_[] = {
  { "a peer that is behind confirms nothing",
    test_confirmation_by_a_peer_that_is_behind },
};

DP_TEST_MAIN ("upstream", cases_)
