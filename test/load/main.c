/* Load generator: sends HTTP requests to the service addresses at random times that do
 * not depend on the responses (open loop), then prints the results as a line of JSON. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "client.h"
#include "tally.h"

#define TICK_MS 2
#define PROGRESS_MS 2000

typedef struct
{
  const char *name;
  guint mix[N_KINDS]; /* share of each Kind of request, percent */
} Profile;

static const Profile profiles_[] = {
  { "association", { 64, 30, 5, 1 } },
  { "vrtina", { 59, 20, 20, 1 } },
};

typedef struct
{
  /* Options. */
  char **target_options;
  char *fabric;
  char *verify;
  char *profile_name;
  char *surge_option;
  double rate; /* requests per second */
  double seconds;
  int concurrency;
  int manual_bytes;
  int seed;
  int reuse_percent;
  int timeout_s;

  const Profile *profile;
  double surge_factor;
  double surge_start; /* s */
  double surge_end;   /* s */
  Target targets[N_KINDS];
  GRand *rand;
  Client *client;
  Tally tally;
  GQueue queued;       /* due Requests that exceed the concurrency */
  guint n_in_progress; /* requests in progress */
  guint64 next_id;
  gint64 started_at; /* us */
  gint64 next_due;   /* us, time of the next arrival */
  gboolean arrivals_over;
  GMainLoop *loop;
} Load;

static gboolean parse_options_ (Load *load, int argc, char **argv);
static gboolean parse_target_ (Load *load, const char *text);
static gboolean usage_error_ (const char *text);
static gboolean start_due_ (gpointer user_data);
static gint64 next_interval_ (Load *load);
static void queue_request_ (Load *load);
static void start_queued_ (Load *load);
static void request_done_ (Request *request, gpointer user_data);
static gboolean print_progress_ (gpointer user_data);

int
main (int argc, char **argv)
{
  Load load = { .profile_name = "association",
                .rate = 100,
                .seconds = 10,
                .concurrency = 500,
                .manual_bytes = 1000000,
                .seed = 1,
                .reuse_percent = 50,
                .timeout_s = 30 };
  g_autofree char *run_id = NULL;
  g_autofree char *json = NULL;
  g_autoptr (GError) error = NULL;
  double seconds;
  gboolean passed;

  if (!parse_options_ (&load, argc, argv))
    return 2;
  /* Runs against the same servers need different report ids, as servers count reports by
   * id. */
  run_id = g_strdup_printf ("%d-%x", load.seed, g_random_int ());
  load.rand = g_rand_new_with_seed ((guint32) load.seed);
  load.client = client_new (run_id, load.fabric, (guint) load.timeout_s);
  tally_init (&load.tally);
  g_queue_init (&load.queued);
  load.loop = g_main_loop_new (NULL, FALSE);
  load.started_at = g_get_monotonic_time ();
  load.next_due = load.started_at + next_interval_ (&load);
  g_timeout_add (TICK_MS, start_due_, &load);
  g_timeout_add (PROGRESS_MS, print_progress_, &load);
  g_main_loop_run (load.loop);

  seconds = (double) (g_get_monotonic_time () - load.started_at) / 1e6;
  for (guint i = 0; i < N_KINDS; i++)
    load.tally.idle_resets += client_close_idle (load.client, &load.targets[i]);
  if (load.verify != NULL && !tally_verify (&load.tally, run_id, load.verify, &error))
    g_printerr ("standin-load: %s\n", error->message);
  json = tally_format (&load.tally, seconds);
  g_print ("%s\n", json);
  passed = error == NULL && tally_passed (&load.tally);
  tally_finish (&load.tally);
  client_free (load.client);
  g_rand_free (load.rand);
  g_main_loop_unref (load.loop);
  return passed ? 0 : 1;
}

static gboolean
parse_options_ (Load *load, int argc, char **argv)
{
  GOptionEntry entries[] = {
    { "target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load->target_options,
      "KIND:SERVICE=IP:PORT, for each kind jobs, reports, manuals", NULL },
    { "fabric", 0, 0, G_OPTION_ARG_STRING, &load->fabric,
      "IP:PORT of the fabric's HTTP endpoint", NULL },
    { "verify", 0, 0, G_OPTION_ARG_STRING, &load->verify,
      "IP:PORT,... of all servers, to compare the reports that they processed", NULL },
    { "profile", 0, 0, G_OPTION_ARG_STRING, &load->profile_name, "association or vrtina",
      NULL },
    { "surge", 0, 0, G_OPTION_ARG_STRING, &load->surge_option,
      "FACTOR@START-END: multiplies the rate from START to END, in s", NULL },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &load->rate, "requests per second", NULL },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &load->seconds,
      "time during which requests arrive", NULL },
    { "concurrency", 0, 0, G_OPTION_ARG_INT, &load->concurrency,
      "maximum of requests in progress; further ones wait", NULL },
    { "manual-bytes", 0, 0, G_OPTION_ARG_INT, &load->manual_bytes,
      "mean size of a manual", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &load->seed, "seed of the random numbers", NULL },
    { "reuse", 0, 0, G_OPTION_ARG_INT, &load->reuse_percent,
      "percent of the requests of kind jobs that use pooled connections", NULL },
    { "timeout-s", 0, 0, G_OPTION_ARG_INT, &load->timeout_s,
      "time without progress after which a request counts as broken", NULL },
    { NULL }
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- HTTP load");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    return usage_error_ (error->message);
  for (guint i = 0; load->target_options != NULL && load->target_options[i] != NULL; i++)
    if (!parse_target_ (load, load->target_options[i]))
      return usage_error_ ("--target must be KIND:SERVICE=IP:PORT");
  for (guint i = 0; i < G_N_ELEMENTS (profiles_); i++)
    if (strcmp (profiles_[i].name, load->profile_name) == 0)
      load->profile = &profiles_[i];
  if (load->profile == NULL)
    return usage_error_ ("--profile must be association or vrtina");
  for (Kind i = 0; i <= KIND_MANUALS; i++)
    if (load->targets[i].address == NULL)
      return usage_error_ ("--target is missing for jobs, reports or manuals");
  load->targets[KIND_STRAGGLERS] = load->targets[KIND_JOBS];
  if (load->surge_option != NULL
      && sscanf (load->surge_option, "%lf@%lf-%lf", &load->surge_factor,
                 &load->surge_start, &load->surge_end)
             != 3)
    return usage_error_ ("--surge must be FACTOR@START-END");
  if (load->rate <= 0 || load->concurrency <= 0 || load->manual_bytes <= 0)
    return usage_error_ ("--rate, --concurrency and --manual-bytes must be positive");
  return TRUE;
}

static gboolean
parse_target_ (Load *load, const char *text)
{
  g_auto (GStrv) parts = g_strsplit_set (text, ":=", 3);

  if (g_strv_length (parts) != 3)
    return FALSE;
  for (Kind i = 0; i <= KIND_MANUALS; i++)
    if (strcmp (kind_string (i), parts[0]) == 0)
      {
        load->targets[i].service = g_strdup (parts[1]);
        load->targets[i].address = g_strdup (parts[2]);
        g_queue_init (&load->targets[i].idle_connections);
        return TRUE;
      }
  return FALSE;
}

static gboolean
usage_error_ (const char *text)
{
  g_printerr ("standin-load: %s\n", text);
  return FALSE;
}

/* Starts all requests that are due, up to the concurrency limit; ends the main loop after
 * the last response. */
static gboolean
start_due_ (gpointer user_data)
{
  Load *load = user_data;
  gint64 now = g_get_monotonic_time ();
  gint64 end = load->started_at + (gint64) (load->seconds * 1e6);

  while (load->next_due <= MIN (now, end))
    {
      queue_request_ (load);
      load->next_due += next_interval_ (load);
    }
  start_queued_ (load);
  load->arrivals_over = now > end;
  if (load->arrivals_over && load->n_in_progress == 0)
    {
      g_main_loop_quit (load->loop);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

/* Returns the random time between two arrivals of a Poisson process, in us. */
static gint64
next_interval_ (Load *load)
{
  double elapsed_s = (double) (load->next_due - load->started_at) / 1e6;
  double rate = load->rate;

  if (elapsed_s >= load->surge_start && elapsed_s < load->surge_end)
    rate *= load->surge_factor;
  return (gint64) (-log (1.0 - g_rand_double (load->rand)) / rate * 1e6);
}

static void
queue_request_ (Load *load)
{
  Request *request = g_new0 (Request, 1);
  guint draw = (guint) g_rand_int_range (load->rand, 0, 100);
  guint reuse = (guint) g_rand_int_range (load->rand, 0, 100);
  double size = g_rand_double_range (load->rand, 0.5, 1.5) * load->manual_bytes;

  while (request->kind < N_KINDS - 1 && draw >= load->profile->mix[request->kind])
    draw -= load->profile->mix[request->kind++];
  request->target = &load->targets[request->kind];
  request->id = ++load->next_id;
  request->size = (guint64) size;
  request->seed = request->id;
  request->pooled = request->kind == KIND_JOBS && reuse < (guint) load->reuse_percent;
  request->due = load->next_due;
  g_queue_push_tail (&load->queued, request);
}

static void
start_queued_ (Load *load)
{
  while (load->n_in_progress < (guint) load->concurrency
         && !g_queue_is_empty (&load->queued))
    {
      load->n_in_progress++;
      client_send (load->client, g_queue_pop_head (&load->queued), request_done_, load);
    }
}

static void
request_done_ (Request *request, gpointer user_data)
{
  Load *load = user_data;

  load->n_in_progress--;
  tally_add (&load->tally, request);
  request_free (request);
}

static gboolean
print_progress_ (gpointer user_data)
{
  Load *load = user_data;
  const guint64 *n = load->tally.outcomes;

  g_printerr (
      "%.0f s: %" G_GUINT64_FORMAT " requests, %" G_GUINT64_FORMAT
      " ok, %" G_GUINT64_FORMAT " refused, %" G_GUINT64_FORMAT " broken, %u open\n",
      (double) (g_get_monotonic_time () - load->started_at) / 1e6, load->tally.requests,
      n[OUTCOME_OK], n[OUTCOME_REFUSED], n[OUTCOME_BROKEN], load->n_in_progress);
  return G_SOURCE_CONTINUE;
}
