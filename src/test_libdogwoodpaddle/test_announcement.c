/* Guards against delayed heartbeats that make a server appear alive after it has ended.
 */
#include "protected/announcement.h"
#include "runner.h"

typedef struct
{
  const char *id;
  guint64 incarnation;
  guint64 sequence;
  DpAnnouncementResult expected;
} Beat;

static void
check (const Beat *beats, guint n)
{
  DpAnnouncementTracker announced = { 0 };

  for (guint i = 0; i < n; i++)
    {
      const DpAnnouncement beat = { .id = beats[i].id,
                                    .incarnation = beats[i].incarnation,
                                    .sequence = beats[i].sequence };

      if (beats[i].expected == DP_N_ANNOUNCEMENT_RESULTS)
        dp_announcement_tracker_deregister (&announced, beats[i].id);
      else
        CU_ASSERT_EQUAL (dp_announcement_tracker_update (&announced, &beat),
                         beats[i].expected);
    }
  dp_announcement_tracker_clear (&announced);
}

static void
test_order (void)
{
  static const Beat beats[] = {
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

  check (beats, G_N_ELEMENTS (beats));
}

static void
test_restarted_companion (void)
{
  static const Beat beats[] = {
    /* Not the server's first heartbeat, so the server may hold earlier flows. */
    { "i-1", 100, 7, DP_ANNOUNCEMENT_ACCEPTED },
    { "i-1", 100, 8, DP_ANNOUNCEMENT_ACCEPTED },
  };

  check (beats, G_N_ELEMENTS (beats));
}

static void
test_sign_off (void)
{
  static const Beat beats[] = {
    { "i-1", 100, 1, DP_ANNOUNCEMENT_STARTED },
    { "i-0", 0, 0, DP_N_ANNOUNCEMENT_RESULTS }, /* sign-off of another server */
    { "i-1", 100, 2, DP_ANNOUNCEMENT_ACCEPTED },
    { "i-1", 0, 0, DP_N_ANNOUNCEMENT_RESULTS },
    { "i-1", 100, 3, DP_ANNOUNCEMENT_STALE },
    { "i-1", 150, 1, DP_ANNOUNCEMENT_STARTED },
  };

  check (beats, G_N_ELEMENTS (beats));
}

static const DpTestCase cases_[] = {
  { "late and repeated heartbeats are stale", test_order },
  { "a companion that starts after its server", test_restarted_companion },
  { "heartbeats after the sign-off are stale", test_sign_off },
};

DP_TEST_MAIN ("announcement", cases_)
