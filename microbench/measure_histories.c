/* Counts broken flows over seeded random histories of planned changes: joins, leaves,
 * replaced balancers, views that lag by up to 5 s, and flows that last for hours. The
 * same histories are evaluated for two simpler designs: hashing over the newest member
 * list only, and additionally over the previous list as the second choice. Prints one
 * JSON line. */
#include <stdio.h>
#include <stdlib.h>

#include "driver.h"

#define FIRST_HOSTS 7
#define HOSTS_IN_HISTORY 32
#define BALANCERS 3
#define FLOWS 20
#define CHANGES 24
#define PACKETS_PER_CHANGE 30
#define LAG_MAX_MS 5000
#define PAUSE_MAX_MS 600000 /* between bursts of changes */

/* A flow's outcome under the two simpler designs. */
typedef struct
{
  guint32 owner;
  gboolean broken_newest;
  gboolean broken_previous;
} Baseline;

typedef struct
{
  Driver *driver;
  DpCandidates *previous[BALANCERS];
  DpCandidates *current[BALANCERS];
  Baseline baselines[FLOWS];
} History;

typedef struct
{
  guint64 flows;
  guint64 broken;
  guint64 refused;
  guint64 broken_newest;
  guint64 broken_previous;
  guint64 hops_max;
  guint64 packets;
  guint64 visits;
} Result;

static void
update_balancer (History *history, guint balancer)
{
  Driver *driver = history->driver;

  driver_update_balancer (driver, balancer);
  if (history->current[balancer] != NULL
      && dp_candidates_view (history->current[balancer]) == driver->view)
    return;
  dp_candidates_free (history->previous[balancer]);
  history->previous[balancer] = history->current[balancer];
  history->current[balancer] = dp_candidates_new (driver->view);
}

static void
update_all (History *history)
{
  driver_update_all (history->driver);
  for (guint i = 0; i < BALANCERS; i++)
    update_balancer (history, i);
}

static guint32
first_choice (const DpCandidates *candidates, guint64 hash)
{
  const DpMember *member = candidates == NULL ? NULL
                                              : dp_candidates_first (
                                                  candidates, hash, DP_CANDIDATES_ACTIVE);

  return member == NULL ? 0 : member->id;
}

static void
evaluate_baselines (History *history, guint flow)
{
  Driver *driver = history->driver;
  guint balancer = (guint) g_rand_int_range (driver->random, 0, BALANCERS);
  guint64 hash = driver_flow (driver, flow)->hash;
  Baseline *baseline = &history->baselines[flow];

  if (first_choice (history->current[balancer], hash) == baseline->owner)
    return;
  baseline->broken_newest = TRUE;
  if (first_choice (history->previous[balancer], hash) != baseline->owner)
    baseline->broken_previous = TRUE;
}

static void
make_random_change (History *history)
{
  Driver *driver = history->driver;
  guint host = (guint) g_rand_int_range (driver->random, 0, (gint32) driver->n_hosts);
  guint active = 0;

  for (guint i = 0; i < driver->n_hosts; i++)
    active += driver->hosts[i].alive && driver->hosts[i].member.state == DP_MEMBER_ACTIVE;
  switch (g_rand_int_range (driver->random, 0, 4))
    {
    case 0:
      if (driver->n_hosts < HOSTS_IN_HISTORY)
        driver_add_host (driver, 4, DP_MEMBER_ACTIVE);
      break;
    case 1:
    case 2:
      if (driver->hosts[host].member.state == DP_MEMBER_ACTIVE && active > 3)
        driver_leave (driver, host);
      break;
    default:
      driver_replace_balancer (driver, (guint) host % BALANCERS);
      break;
    }
  for (guint i = 0; i < driver->n_hosts; i++)
    {
      Host *h = &driver->hosts[i];

      if (h->alive && h->member.state == DP_MEMBER_LEAVING
          && dp_flow_engine_load (h->engine).flows == 0)
        driver_remove (driver, i);
    }
  driver_publish (driver);
}

/* Sends packets of random flows while the processes adopt the new view one after the
 * other. */
static void
send_on_flows (History *history)
{
  Driver *driver = history->driver;

  for (guint i = 0; i < PACKETS_PER_CHANGE; i++)
    {
      guint flow = (guint) g_rand_int_range (driver->random, 0, FLOWS);
      guint host = (guint) g_rand_int_range (driver->random, 0, (gint32) driver->n_hosts);

      driver_send (driver, flow, 100);
      driver_run (driver);
      if (driver_flow (driver, flow)->state == FLOW_ESTABLISHED)
        driver_respond (driver, flow, 100);
      evaluate_baselines (history, flow);
      driver_update_host (driver, host);
      if (i % 8 == 0)
        update_balancer (history, i / 8 % BALANCERS);
      driver_advance (driver,
                      (LAG_MAX_MS / PACKETS_PER_CHANGE) * G_GINT64_CONSTANT (1000));
    }
}

static void
run_history (guint64 seed, Result *result)
{
  History history = { .driver = driver_new (seed, "darbnica") };
  Driver *driver = history.driver;

  driver->limits.idle_timeout = 24 * 3600 * (gint64) G_USEC_PER_SEC;
  for (guint i = 0; i < FIRST_HOSTS; i++)
    driver_add_host (driver, 4, DP_MEMBER_ACTIVE);
  for (guint i = 0; i < BALANCERS; i++)
    driver_add_balancer (driver);
  update_all (&history);
  driver_advance (driver, 30 * (gint64) G_USEC_PER_SEC);
  for (guint i = 0; i < FLOWS; i++)
    {
      guint flow = driver_open (driver, DP_TRAFFIC_BULK);

      driver_run (driver);
      history.baselines[flow].owner = first_choice (history.current[0],
                                                    driver_flow (driver, flow)->hash);
    }
  for (guint i = 0; i < CHANGES; i++)
    {
      for (gint n = g_rand_int_range (driver->random, 1, 4); n > 0; n--)
        make_random_change (&history);
      send_on_flows (&history);
      update_all (&history);
      driver_advance (driver, g_rand_int_range (driver->random, 0, PAUSE_MAX_MS)
                                  * G_GINT64_CONSTANT (1000));
    }
  for (guint i = 0; i < FLOWS; i++)
    {
      FlowState state = driver_flow (driver, i)->state;

      result->flows++;
      result->refused += state == FLOW_REFUSED;
      result->broken += state != FLOW_ESTABLISHED && state != FLOW_REFUSED;
      result->broken_newest += history.baselines[i].broken_newest;
      result->broken_previous += history.baselines[i].broken_previous;
    }
  if (driver->violation->len != 0)
    fprintf (stderr, "seed %" G_GUINT64_FORMAT ": %s\n", seed, driver->violation->str);
  result->hops_max = MAX (result->hops_max, driver->members_visited_max);
  result->packets += driver->delivered - driver->hops;
  result->visits += driver->delivered;
  for (guint i = 0; i < BALANCERS; i++)
    {
      dp_candidates_free (history.previous[i]);
      dp_candidates_free (history.current[i]);
    }
  driver_free (driver);
}

int
main (int argc, char **argv)
{
  guint64 histories = argc > 1 ? strtoull (argv[1], NULL, 10) : 10000;
  guint64 seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  Result result = { 0 };

  for (guint64 i = 0; i < histories; i++)
    run_history (seed + i, &result);
  printf ("{\"figure\":\"broken_flows\",\"histories\":%" G_GUINT64_FORMAT
          ",\"seed\":%" G_GUINT64_FORMAT ",\"flows\":%" G_GUINT64_FORMAT
          ",\"broken\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT
          ",\"broken_newest_list_only\":%" G_GUINT64_FORMAT
          ",\"broken_with_one_earlier_list\":%" G_GUINT64_FORMAT
          ",\"packets\":%" G_GUINT64_FORMAT
          ",\"members_visited_mean\":%.3f,\"members_visited_max\":%" G_GUINT64_FORMAT
          ",\"bound\":0,\"reached\":%s}\n",
          histories, seed, result.flows, result.broken, result.refused,
          result.broken_newest, result.broken_previous, result.packets,
          (double) result.visits / (double) MAX (result.packets, 1), result.hops_max,
          result.broken == 0 ? "true" : "false");
  return 0;
}
