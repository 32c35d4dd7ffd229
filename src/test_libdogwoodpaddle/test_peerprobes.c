/* Guards against packets that are handed to members that don't answer, again and again,
 * and against members that are avoided although they are back. */
#include "private/peerprobes.h"
#include "private/searchqueue.h"
#include "protected/clock.h"
#include "runner.h"

#define MS DP_US_PER_MS
#define EVENTS_MAX 5

static const DpAddress member_ = { 0x7f010101, 7000 };
static const DpAddress other_ = { 0x7f010102, 7000 };

typedef enum
{
  NOTHING,
  REQUEST, /* packets are handed to the member */
  ANSWER,
  RESET,
} EventKind;

typedef struct
{
  EventKind kind;
  guint at_ms;
} Event;

typedef struct
{
  const char *what;
  Event events[EVENTS_MAX];
  guint checked_ms;
  guint n_probes;
  gboolean responsive;
} ProbeCase;

static const ProbeCase probe_cases_[] = {
  { "never probed", { { NOTHING } }, 0, 0, TRUE },
  { "an answer may still come", { { REQUEST, 0 } }, 99, 1, TRUE },
  { "no answer in time", { { REQUEST, 0 } }, 100, 1, FALSE },
  { "answered", { { REQUEST, 0 }, { ANSWER, 90 } }, 100, 1, TRUE },
  { "answered late", { { REQUEST, 0 }, { ANSWER, 150 } }, 150, 1, TRUE },
  { "the time runs from the first one",
    { { REQUEST, 0 }, { REQUEST, 60 } },
    100,
    2,
    FALSE },
  { "one probe for many packets", { { REQUEST, 0 }, { REQUEST, 49 } }, 50, 1, TRUE },
  { "fewer probes once it is unresponsive",
    { { REQUEST, 0 }, { REQUEST, 100 }, { REQUEST, 499 }, { REQUEST, 500 } },
    500,
    2,
    FALSE },
  { "probed again after an answer",
    { { REQUEST, 0 }, { ANSWER, 1 }, { REQUEST, 10 } },
    110,
    2,
    FALSE },
  { "it may be back after a while", { { REQUEST, 0 } }, 2000, 1, TRUE },
  { "the time begins again after a while",
    { { REQUEST, 0 }, { REQUEST, 2000 } },
    2099,
    2,
    TRUE },
  { "answers may not have been read", { { REQUEST, 0 }, { RESET, 200 } }, 200, 1, TRUE },
};

static void
test_probes (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (probe_cases_); i++)
    {
      const ProbeCase *c = &probe_cases_[i];
      g_autoptr (DpPeerProbes) probes = dp_peer_probes_new ();
      const gint64 checked_at = c->checked_ms * MS;
      guint n_probes = 0;
      DpAddress probed;

      for (guint j = 0; j < EVENTS_MAX; j++)
        {
          const Event *event = &c->events[j];

          if (event->kind == REQUEST)
            dp_peer_probes_request (probes, &member_, event->at_ms * MS);
          else if (event->kind == ANSWER)
            dp_peer_probes_note_answer (probes, &member_);
          else if (event->kind == RESET)
            dp_peer_probes_reset (probes);
          while (dp_peer_probes_next (probes, &probed))
            n_probes += dp_address_equal (&probed, &member_) ? 1 : 0;
        }
      if (n_probes != c->n_probes
          || dp_peer_probes_is_responsive (probes, &member_, checked_at) != c->responsive)
        CU_FAIL (c->what);
      CU_ASSERT_TRUE (dp_peer_probes_is_responsive (probes, &other_, checked_at));
    }
}

/* A member that is no longer listed takes no memory. */
static void
test_members_that_left (void)
{
  g_autoptr (DpPeerProbes) probes = dp_peer_probes_new ();
  DpMember listed = { .name = (char *) "a-2", .zone = (char *) "a", .address = other_ };
  g_autoptr (DpMemberView) view = dp_member_view_new ("darbnica", 1, &listed, 1);

  dp_peer_probes_request (probes, &member_, 0);
  dp_peer_probes_request (probes, &other_, 0);
  CU_ASSERT_FALSE (dp_peer_probes_is_responsive (probes, &member_, 100 * MS));
  CU_ASSERT_FALSE (dp_peer_probes_is_responsive (probes, &other_, 100 * MS));
  dp_peer_probes_set_view (probes, view);
  CU_ASSERT_TRUE (dp_peer_probes_is_responsive (probes, &member_, 100 * MS));
  CU_ASSERT_FALSE (dp_peer_probes_is_responsive (probes, &other_, 100 * MS));
}

typedef struct
{
  const char *what;
  guint first_sent_ms;
  guint sent_ms;
  gboolean answered;
  guint taken_ms;
  gboolean taken;
  guint length; /* afterwards */
} QueueCase;

static const QueueCase queue_cases_[] = {
  { "an answer may still come", 0, 0, FALSE, 99, FALSE, 1 },
  { "no answer", 0, 0, FALSE, 100, TRUE, 0 },
  { "answered", 0, 0, TRUE, 100, FALSE, 0 },
  { "no answer at the last member in time", 0, 1499, FALSE, 1599, TRUE, 0 },
  { "too old", 0, 1500, FALSE, 1600, FALSE, 0 },
};

static void
test_queue (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (queue_cases_); i++)
    {
      const QueueCase *c = &queue_cases_[i];
      g_autoptr (DpPeerProbes) probes = dp_peer_probes_new ();
      g_autoptr (DpSearchQueue) queue = dp_search_queue_new ();
      g_autoptr (GBytes) packet = g_bytes_new_static ("packet", 6);
      DpSearchedPacket searched = { .member = member_,
                                    .packet = packet,
                                    .sent_at = c->sent_ms * MS,
                                    .first_sent_at = c->first_sent_ms * MS };
      gboolean taken;

      dp_search_queue_push (queue, &searched);
      dp_peer_probes_request (probes, &member_, c->sent_ms * MS);
      if (c->answered)
        dp_peer_probes_note_answer (probes, &member_);
      taken = dp_search_queue_next_unanswered (queue, probes, &searched,
                                               c->taken_ms * MS);
      if (taken != c->taken || dp_search_queue_length (queue) != c->length)
        CU_FAIL (c->what);
      if (taken)
        g_bytes_unref (searched.packet);
    }
}

/* Searches must not use up the host's memory. */
static void
test_queue_is_bounded (void)
{
  g_autoptr (DpSearchQueue) queue = dp_search_queue_new ();
  g_autoptr (GBytes) packet = g_bytes_new_static ("packet", 6);
  const DpSearchedPacket searched = { .member = member_, .packet = packet };

  for (guint i = 0; i < 10000; i++)
    dp_search_queue_push (queue, &searched);
  CU_ASSERT_TRUE (dp_search_queue_length (queue) < 2000);
}

static const DpTestCase tests_[] = {
  { "which member counts as responsive", test_probes },
  { "members that are no longer listed are forgotten", test_members_that_left },
  { "which packets are decided again", test_queue },
  { "the queue is bounded", test_queue_is_bounded },
};

DP_TEST_MAIN ("peerprobes", tests_)
