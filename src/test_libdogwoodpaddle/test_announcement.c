/* Guards against delayed heartbeats that make a server appear alive after it has ended.
 */
#include "protected/announcement.h"
#include "runner.h"

typedef struct
{
  const char *id;
  guint64 incarnation;
  guint64 sequence;
  DpAnnouncementResult expected; /* DP_N_ANNOUNCEMENT_RESULTS: a deregistration */
} HeartbeatCase;

static void
check_heartbeats_since (guint64 since, const HeartbeatCase *heartbeats, guint n)
{
  DpAnnouncementTracker tracker = { .since = since };

  for (guint i = 0; i < n; i++)
    {
      const DpAnnouncement announcement = { .id = heartbeats[i].id,
                                            .incarnation = heartbeats[i].incarnation,
                                            .sequence = heartbeats[i].sequence };

      if (heartbeats[i].expected == DP_N_ANNOUNCEMENT_RESULTS)
        dp_announcement_tracker_deregister (&tracker, heartbeats[i].id);
      else
        CU_ASSERT_EQUAL (dp_announcement_tracker_update (&tracker, &announcement),
                         heartbeats[i].expected);
    }
  dp_announcement_tracker_clear (&tracker);
}

static void
check_heartbeats (const HeartbeatCase *heartbeats, guint n)
{
  check_heartbeats_since (0, heartbeats, n);
}

static void
test_late_heartbeats (void)
{
  static const HeartbeatCase heartbeats[] = {
    { "i-1", 100, 1, DP_ANNOUNCEMENT_STARTED },
    { "i-1", 100, 2, DP_ANNOUNCEMENT_ACCEPTED },
    { "i-1", 100, 4, DP_ANNOUNCEMENT_ACCEPTED },
    { "i-1", 100, 3, DP_ANNOUNCEMENT_STALE },
    { "i-1", 100, 4, DP_ANNOUNCEMENT_STALE },
    /* The same id may start again, and its sequence numbers start anew. */
    { "i-1", 200, 1, DP_ANNOUNCEMENT_STARTED },
    { "i-1", 100, 5, DP_ANNOUNCEMENT_STALE },
    { "i-2", 300, 1, DP_ANNOUNCEMENT_STARTED },
    { "i-1", 200, 9, DP_ANNOUNCEMENT_STALE },
  };

  check_heartbeats (heartbeats, G_N_ELEMENTS (heartbeats));
}

static void
test_restarted_companion (void)
{
  static const HeartbeatCase heartbeats[] = {
    /* Not the server's first heartbeat, so the server may hold earlier flows. */
    { "i-1", 100, 7, DP_ANNOUNCEMENT_ACCEPTED },
    { "i-1", 100, 8, DP_ANNOUNCEMENT_ACCEPTED },
  };

  check_heartbeats (heartbeats, G_N_ELEMENTS (heartbeats));
}

/* A late heartbeat made the companion believe that the living server had just started. */
static void
test_late_heartbeat_at_a_restarted_companion (void)
{
  static const HeartbeatCase heartbeats[] = {
    { "i-1", 100, 9, DP_ANNOUNCEMENT_ACCEPTED }, /* of the former incarnation */
    { "i-1", 200, 40, DP_ANNOUNCEMENT_REPLACED },
    { "i-1", 200, 41, DP_ANNOUNCEMENT_ACCEPTED },
    { "i-1", 100, 10, DP_ANNOUNCEMENT_STALE },
    { "i-1", 300, 1, DP_ANNOUNCEMENT_STARTED },
    { "i-2", 300, 7, DP_ANNOUNCEMENT_REPLACED },
  };

  check_heartbeats (heartbeats, G_N_ELEMENTS (heartbeats));
}

/* A companion that was killed between the calls 0 and 1 of its new server took its empty
 * table of flows for complete, and all open flows were lost. */
static void
test_server_older_than_the_companion (void)
{
  static const struct
  {
    const char *what;
    guint64 since;
    HeartbeatCase heartbeats[3];
  } cases[] = {
    { "started before the companion, counts from 0",
      750,
      { { "i-1", 100, 1, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 100, 2, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 800, 0, DP_ANNOUNCEMENT_STARTED } } },
    { "its first heartbeat is late",
      750,
      { { "i-1", 100, 0, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 100, 1, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 100, 1, DP_ANNOUNCEMENT_STALE } } },
    { "restarted while the companion was down",
      750,
      { { "i-1", 100, 9, DP_ANNOUNCEMENT_ACCEPTED }, /* late, of the one before */
        { "i-1", 700, 1, DP_ANNOUNCEMENT_REPLACED },
        { "i-2", 900, 1, DP_ANNOUNCEMENT_STARTED } } },
    { "in the same millisecond",
      750,
      { { "i-1", 750, 1, DP_ANNOUNCEMENT_STARTED },
        { "i-1", 750, 2, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 749, 1, DP_ANNOUNCEMENT_STALE } } },
    { "the host's clock was set back",
      750,
      { { "i-1", 500, 1, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 500, 2, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 800, 1, DP_ANNOUNCEMENT_STARTED } } },
    { "a start that is not known",
      750,
      { { "i-1", 0, 1, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-1", 0, 2, DP_ANNOUNCEMENT_ACCEPTED },
        { "i-2", 0, 1, DP_ANNOUNCEMENT_REPLACED } } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    check_heartbeats_since (cases[i].since, cases[i].heartbeats,
                            G_N_ELEMENTS (cases[i].heartbeats));
}

static void
test_deregistration (void)
{
  static const HeartbeatCase heartbeats[] = {
    { "i-1", 100, 1, DP_ANNOUNCEMENT_STARTED },
    { "i-0", 0, 0, DP_N_ANNOUNCEMENT_RESULTS }, /* deregistration of another server */
    { "i-1", 100, 2, DP_ANNOUNCEMENT_ACCEPTED },
    { "i-1", 0, 0, DP_N_ANNOUNCEMENT_RESULTS },
    { "i-1", 100, 3, DP_ANNOUNCEMENT_STALE },
    { "i-1", 150, 1, DP_ANNOUNCEMENT_STARTED },
  };

  check_heartbeats (heartbeats, G_N_ELEMENTS (heartbeats));
}

static const DpTestCase cases_[] = {
  { "late and repeated heartbeats are stale", test_late_heartbeats },
  { "a companion that starts after its server", test_restarted_companion },
  { "a late heartbeat at a companion that has restarted",
    test_late_heartbeat_at_a_restarted_companion },
  { "a server that is older than its companion", test_server_older_than_the_companion },
  { "heartbeats after the deregistration are stale", test_deregistration },
};

DP_TEST_MAIN ("announcement", cases_)
