/* Guards against unintended changes of decisions: the trace of each session is compared
 * with a golden file, hop by hop. scripts/golden rewrites the files and shows the
 * differences. */
#include <stdio.h>
#include <stdlib.h>

#include "driver.h"
#include "runner.h"

#define SECOND ((gint64) G_USEC_PER_SEC)
#define MS (SECOND / 1000)

typedef struct
{
  const char *name;
  guint64 seed;
  const char *service;
  guint hosts;
  guint slots;
  void (*play) (Driver *driver);
} Session;

static void
record_line (const char *line, gpointer user_data)
{
  g_string_append_printf (user_data, "%s\n", line);
}

static guint
request (Driver *driver, DpTrafficClass class)
{
  guint flow = driver_open (driver, class);

  driver_run (driver);
  driver_send (driver, flow, 200);
  driver_run (driver);
  return flow;
}

static void
answer_and_close (Driver *driver, guint flow)
{
  driver_respond (driver, flow, 1000);
  driver_advance (driver, 200 * MS);
  driver_close (driver, flow);
  driver_run (driver);
}

/* An interactive and an urgent request, during a long bulk download that continues while
 * its host leaves, another one joins and a balancer is replaced. */
static void
play_planned_changes (Driver *driver)
{
  guint interactive = request (driver, DP_TRAFFIC_INTERACTIVE);
  guint bulk = request (driver, DP_TRAFFIC_BULK);
  guint urgent;

  answer_and_close (driver, interactive);
  driver_respond (driver, bulk, 60000);
  driver_leave (driver, driver_flow (driver, bulk)->host);
  driver_publish (driver);
  driver_update_balancer (driver, 0);
  driver_send (driver, bulk, 10);
  driver_run (driver);
  driver_add_host (driver, 4, DP_MEMBER_ACTIVE);
  driver_update_all (driver);
  driver_replace_balancer (driver, 1);
  driver_advance (driver, 10 * SECOND);
  urgent = request (driver, DP_TRAFFIC_URGENT);
  answer_and_close (driver, urgent);
  for (guint i = 0; i < 3; i++)
    {
      driver_send (driver, bulk, 10);
      driver_run (driver);
      driver_respond (driver, bulk, 60000);
    }
  driver_advance (driver, SECOND);
  answer_and_close (driver, bulk);
}

/* Bulk downloads fill the slots open to them, and interactive requests the others; then
 * urgent requests arrive. Finally one host fails and its flow is reset. */
static void
play_burst (Driver *driver)
{
  guint bulk[3];
  guint interactive[4];
  guint urgent[2];

  for (guint i = 0; i < G_N_ELEMENTS (bulk); i++)
    bulk[i] = request (driver, DP_TRAFFIC_BULK);
  for (guint i = 0; i < G_N_ELEMENTS (interactive); i++)
    interactive[i] = request (driver, DP_TRAFFIC_INTERACTIVE);
  for (guint i = 0; i < G_N_ELEMENTS (urgent); i++)
    urgent[i] = request (driver, DP_TRAFFIC_URGENT);
  for (guint i = 0; i < G_N_ELEMENTS (interactive); i++)
    {
      driver_advance (driver, 20 * MS);
      answer_and_close (driver, interactive[i]);
    }
  for (guint i = 0; i < G_N_ELEMENTS (urgent); i++)
    {
      if (driver_flow (driver, urgent[i])->started_at == 0)
        driver_send (driver, urgent[i], 200);
      driver_run (driver);
      answer_and_close (driver, urgent[i]);
    }
  driver_kill (driver, driver_flow (driver, bulk[0])->host);
  driver_update_all (driver);
  driver_advance (driver, 10 * SECOND);
  driver_send (driver, bulk[0], 10);
  driver_run (driver);
}

static const Session sessions_[] = {
  { "association-morning", 1, "darbnica", 4, 4, play_planned_changes },
  { "vrtina-dispatch-burst", 2, "dispatch", 2, 2, play_burst },
};

static char *
play (const Session *session)
{
  Driver *driver = driver_new (session->seed, session->service);
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < session->hosts; i++)
    driver_add_host (driver, session->slots, DP_MEMBER_ACTIVE);
  for (guint i = 0; i < 3; i++)
    driver_add_balancer (driver);
  driver_update_all (driver);
  driver_advance (driver, 30 * SECOND);
  driver->trace = record_line;
  driver->user_data = text;
  session->play (driver);
  CU_ASSERT_EQUAL (driver->violation->len, 0);
  driver_free (driver);
  return g_string_free (text, FALSE);
}

static void
test_sessions (void)
{
  const char *source = g_getenv ("DP_SOURCE_DIR");

  CU_ASSERT_PTR_NOT_NULL_FATAL (source);
  for (guint i = 0; i < G_N_ELEMENTS (sessions_); i++)
    {
      g_autofree char *file = g_strdup_printf ("%s.txt", sessions_[i].name);
      g_autofree char *path = g_build_filename (source, "test", "golden", file, NULL);
      g_autofree char *text = play (&sessions_[i]);
      g_autofree char *golden = NULL;

      if (g_getenv ("DP_GOLDEN_WRITE") != NULL)
        CU_ASSERT_TRUE (g_file_set_contents (path, text, -1, NULL));
      CU_ASSERT_TRUE (g_file_get_contents (path, &golden, NULL, NULL));
      CU_ASSERT_EQUAL (g_strcmp0 (text, golden), 0);
      if (g_strcmp0 (text, golden) != 0)
        printf ("%s differs; now:\n%s", path, text);
    }
}

static const DpTestCase cases_[] = {
  { "sessions match their golden files", test_sessions },
};

DP_TEST_MAIN ("sessions", cases_)
