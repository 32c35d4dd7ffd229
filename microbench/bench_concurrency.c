/* Measures what --concurrency learned costs, against fixed in the same run. Prints one
 * JSON line for each of: the decisions about the packets of a flow at a companion, the
 * choice of a member, and a report of a member at a balancer. Times are the lowest of the
 * rounds, which alternate; the ratio is the median of the ratios of the rounds. Also
 * prints the bytes of a flow. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "private/passthroughflows.h"
#include "protected/clock.h"
#include "protected/passthrough.h"
#include "protected/placement.h"

#define SERVICE "dispatch"
#define ROUNDS 41
#define FLOWS 20000   /* in a round */
#define CHOICES 20000 /* in a round */
#define CHOICES_PER_REPORT 30
#define N_MEMBERS 42
#define FLOW_INTERVAL (10 * DP_US_PER_MS)
#define TICK_INTERVAL (100 * DP_US_PER_MS)

static double
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double) t.tv_sec * 1e9 + (double) t.tv_nsec;
}

/* Passes a flow's SYN, request and answer. */
static void
pass_flow (DpPassthrough *p, guint number, gint64 now)
{
  const DpHop hop = { .service_tag = dp_service_tag (dp_service_id (SERVICE)),
                      .class = DP_TRAFFIC_INTERACTIVE,
                      .wait_limit_ms = 100 };
  DpSegment s = { .key = { { number + 1, 1000 }, { 0xc6120001, 443 } },
                  .flags = DP_TCP_SYN,
                  .seq = 1 };
  DpReleasedSyn released;

  s.hash = dp_flow_key_hash (&s.key);
  dp_passthrough_from_peer (p, &s, &hop, now);
  s.flags = DP_TCP_SYN | DP_TCP_ACK;
  s.seq = 500;
  s.ack = 2;
  dp_passthrough_from_server (p, &s, now);
  s.flags = DP_TCP_ACK;
  s.seq = 2;
  s.ack = 501;
  s.payload_length = 200;
  dp_passthrough_from_peer (p, &s, &hop, now + 2 * DP_US_PER_MS);
  s.flags = DP_TCP_ACK | DP_TCP_FIN;
  s.seq = 501;
  s.payload_length = 1200;
  dp_passthrough_from_server (p, &s, now + 5 * DP_US_PER_MS);
  while (dp_passthrough_next_released (p, &released, now + 5 * DP_US_PER_MS))
    if (released.packet != NULL)
      g_bytes_unref (released.packet);
}

/* Returns the time per flow, in ns, with a tick every 100 ms as in the companion. */
static double
measure_flows (gboolean learned)
{
  const DpPassthroughLimits limits = { 4, 60 * DP_US_PER_S };
  g_autoptr (DpPassthrough) p = dp_passthrough_new (SERVICE, "a", 0);
  gint64 now = DP_US_PER_S;
  double start;

  dp_passthrough_set_limits (p, &limits);
  if (learned)
    dp_passthrough_learn_limit (p, now);
  dp_passthrough_set_serving (p, TRUE);
  dp_passthrough_server_replaced (p, TRUE);
  start = now_ns ();
  for (guint i = 0; i < FLOWS; i++)
    {
      pass_flow (p, i, now);
      now += FLOW_INTERVAL;
      if (now % TICK_INTERVAL < FLOW_INTERVAL)
        dp_passthrough_tick (p, now);
    }
  return (now_ns () - start) / FLOWS;
}

static void
report_members (DpPlacement *placement, gboolean learned, guint round, gint64 now)
{
  for (guint i = 0; i < N_MEMBERS; i++)
    {
      char name[16];
      DpReport report = { .service = SERVICE,
                          .name = name,
                          .zone = i % 3 == 0 ? "z-0" : "z-1",
                          .address = { i + 1, 7000 },
                          .slots = 4,
                          .state = DP_MEMBER_ACTIVE,
                          .in_flight = (i * 7 + round) % 5,
                          .interval_ms = 100,
                          .limit = learned ? 3 + i % 3 : 0 };

      g_snprintf (name, sizeof name, "m-%u", i);
      if (learned)
        report.service_times[DP_TRAFFIC_INTERACTIVE] = 20000 + i * 1000;
      dp_placement_apply_report (placement, &report, now);
    }
}

/* Returns the time per choice or, if reports, per report, in ns. Reports come every 100
 * ms, and 300 flows a second, as at one of many balancers. */
static double
measure_placement (gboolean learned, gboolean reports)
{
  g_autoptr (DpPlacement) placement = dp_placement_new ("z-0");
  const guint64 service = dp_service_id (SERVICE);
  gint64 now = DP_US_PER_S;
  guint64 sum = 0;
  double choices_ns = 0.0;
  double reports_ns = 0.0;

  dp_placement_set_learned (placement, learned);
  for (guint i = 0; i < CHOICES; i += CHOICES_PER_REPORT)
    {
      double start = now_ns ();

      report_members (placement, learned, i, now);
      reports_ns += now_ns () - start;
      start = now_ns ();
      for (guint k = 0; k < CHOICES_PER_REPORT; k++)
        {
          sum += dp_placement_choose (placement, service, DP_TRAFFIC_INTERACTIVE,
                                      (i + k) * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15),
                                      now);
          now += 3333;
        }
      choices_ns += now_ns () - start;
    }
  if (sum == 0)
    return 0.0;
  return reports ? reports_ns * CHOICES_PER_REPORT / CHOICES / N_MEMBERS
                 : choices_ns / CHOICES;
}

static double
measure_choices (gboolean learned)
{
  return measure_placement (learned, FALSE);
}

static double
measure_reports (gboolean learned)
{
  return measure_placement (learned, TRUE);
}

static int
compare (gconstpointer a, gconstpointer b)
{
  const double x = *(const double *) a;
  const double y = *(const double *) b;

  return x < y ? -1 : x > y ? 1 : 0;
}

static void
compare_costs (const char *name, double (*measure) (gboolean learned))
{
  double ratios[ROUNDS];
  double fixed = G_MAXDOUBLE;
  double learned = G_MAXDOUBLE;

  for (guint i = 0; i < ROUNDS; i++)
    {
      double first = measure (i % 2 == 0);
      double second = measure (i % 2 != 0);
      double l = i % 2 == 0 ? first : second;
      double f = i % 2 == 0 ? second : first;

      ratios[i] = l / f;
      fixed = MIN (fixed, f);
      learned = MIN (learned, l);
    }
  qsort (ratios, ROUNDS, sizeof ratios[0], compare);
  printf ("{\"cost\":\"%s\",\"fixed_ns\":%.0f,\"learned_ns\":%.0f,\"ratio\":%.3f}\n",
          name, fixed, learned, ratios[ROUNDS / 2]);
}

static GLogWriterOutput
ignore_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer user_data)
{
  return G_LOG_WRITER_HANDLED;
}

int
main (void)
{
  g_log_set_writer_func (ignore_log, NULL, NULL);
  compare_costs ("packets of a flow", measure_flows);
  compare_costs ("choice of a member", measure_choices);
  compare_costs ("report of a member", measure_reports);
  printf ("{\"flow_bytes\":%zu,\"of_learning\":%zu}\n", sizeof (DpPassthroughFlow),
          sizeof (DpHandle) + sizeof (guint32));
  return EXIT_SUCCESS;
}
