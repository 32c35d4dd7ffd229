/* Open-loop HTTP load on the service addresses; prints one JSON line. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "client.h"
#include "tally.h"

#define TICK_MS 2
#define PROGRESS_MS 2000

/* Share of each kind in percent, in the order of Kind. */
typedef struct
{
  const char *name;
  guint mix[N_KINDS];
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
  char *surge_text;
  double rate; /* requests a second */
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
  GQueue waiting; /* Request over the concurrency */
  guint open;
  guint64 next_id;
  gint64 began; /* us */
  gint64 due;   /* us, of the next arrival */
  gboolean ended;
  GMainLoop *loop;
} Load;

static gboolean parse_options_ (Load *load, int argc, char **argv);
static gboolean parse_target_ (Load *load, const char *text);
static gboolean fail_ (const char *text);
static gboolean tick_ (gpointer user_data);
static gint64 interval_ (Load *load);
static void arrive_ (Load *load);
static void start_waiting_ (Load *load);
static void done_ (Request *request, gpointer user_data);
static gboolean progress_ (gpointer user_data);

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
  g_autofree char *run = NULL;
  g_autofree char *json = NULL;
  g_autoptr (GError) error = NULL;
  double seconds;
  gboolean good;

  if (!parse_options_ (&load, argc, argv))
    return 2;
  /* Report ids must differ between runs against the same servers. */
  run = g_strdup_printf ("%d-%x", load.seed, g_random_int ());
  load.rand = g_rand_new_with_seed ((guint32) load.seed);
  load.client = client_new (run, load.fabric, (guint) load.timeout_s);
  tally_init (&load.tally);
  g_queue_init (&load.waiting);
  load.loop = g_main_loop_new (NULL, FALSE);
  load.began = g_get_monotonic_time ();
  load.due = load.began + interval_ (&load);
  g_timeout_add (TICK_MS, tick_, &load);
  g_timeout_add (PROGRESS_MS, progress_, &load);
  g_main_loop_run (load.loop);

  seconds = (double) (g_get_monotonic_time () - load.began) / 1e6;
  for (guint i = 0; i < N_KINDS; i++)
    load.tally.idle_resets += client_close_idle (load.client, &load.targets[i]);
  if (load.verify != NULL && !tally_verify (&load.tally, run, load.verify, &error))
    g_printerr ("standin-load: %s\n", error->message);
  json = tally_format (&load.tally, seconds);
  g_print ("%s\n", json);
  good = error == NULL && tally_good (&load.tally);
  tally_finish (&load.tally);
  client_free (load.client);
  g_rand_free (load.rand);
  g_main_loop_unref (load.loop);
  return good ? 0 : 1;
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
      "IP:PORT,... of all servers, to count what they did", NULL },
    { "profile", 0, 0, G_OPTION_ARG_STRING, &load->profile_name, "association or vrtina",
      NULL },
    { "surge", 0, 0, G_OPTION_ARG_STRING, &load->surge_text,
      "FACTOR@START-END in seconds", NULL },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &load->rate, "requests a second", NULL },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &load->seconds, "of arrivals", NULL },
    { "concurrency", 0, 0, G_OPTION_ARG_INT, &load->concurrency,
      "requests at once; further ones wait", NULL },
    { "manual-bytes", 0, 0, G_OPTION_ARG_INT, &load->manual_bytes, "mean size", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &load->seed, "of all choices", NULL },
    { "reuse", 0, 0, G_OPTION_ARG_INT, &load->reuse_percent,
      "percent of the job sheets that use pooled connections", NULL },
    { "timeout-s", 0, 0, G_OPTION_ARG_INT, &load->timeout_s,
      "without progress until a connection counts as broken", NULL },
    { NULL }
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- HTTP load");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    return fail_ (error->message);
  for (guint i = 0; load->target_options != NULL && load->target_options[i] != NULL; i++)
    if (!parse_target_ (load, load->target_options[i]))
      return fail_ ("--target is not KIND:SERVICE=IP:PORT");
  for (guint i = 0; i < G_N_ELEMENTS (profiles_); i++)
    if (strcmp (profiles_[i].name, load->profile_name) == 0)
      load->profile = &profiles_[i];
  if (load->profile == NULL)
    return fail_ ("--profile is neither association nor vrtina");
  for (Kind i = 0; i <= KIND_MANUALS; i++)
    if (load->targets[i].address == NULL)
      return fail_ ("each of the kinds jobs, reports and manuals needs a --target");
  load->targets[KIND_STRAGGLERS] = load->targets[KIND_JOBS];
  if (load->surge_text != NULL
      && sscanf (load->surge_text, "%lf@%lf-%lf", &load->surge_factor, &load->surge_start,
                 &load->surge_end)
             != 3)
    return fail_ ("--surge is not FACTOR@START-END");
  if (load->rate <= 0 || load->concurrency <= 0 || load->manual_bytes <= 0)
    return fail_ ("--rate, --concurrency and --manual-bytes must be positive");
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
        g_queue_init (&load->targets[i].idle);
        return TRUE;
      }
  return FALSE;
}

static gboolean
fail_ (const char *text)
{
  g_printerr ("standin-load: %s\n", text);
  return FALSE;
}

/* Starts all requests that are due, whether or not earlier ones are answered. */
static gboolean
tick_ (gpointer user_data)
{
  Load *load = user_data;
  gint64 now = g_get_monotonic_time ();
  gint64 end = load->began + (gint64) (load->seconds * 1e6);

  while (load->due <= MIN (now, end))
    {
      arrive_ (load);
      load->due += interval_ (load);
    }
  start_waiting_ (load);
  load->ended = now > end;
  if (load->ended && load->open == 0)
    {
      g_main_loop_quit (load->loop);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

/* Returns the time until the next arrival of a Poisson process, in us. */
static gint64
interval_ (Load *load)
{
  double at = (double) (load->due - load->began) / 1e6;
  double rate = load->rate;

  if (at >= load->surge_start && at < load->surge_end)
    rate *= load->surge_factor;
  return (gint64) (-log (1.0 - g_rand_double (load->rand)) / rate * 1e6);
}

static void
arrive_ (Load *load)
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
  request->due = load->due;
  g_queue_push_tail (&load->waiting, request);
}

static void
start_waiting_ (Load *load)
{
  while (load->open < (guint) load->concurrency && !g_queue_is_empty (&load->waiting))
    {
      load->open++;
      client_send (load->client, g_queue_pop_head (&load->waiting), done_, load);
    }
}

static void
done_ (Request *request, gpointer user_data)
{
  Load *load = user_data;

  load->open--;
  tally_add (&load->tally, request);
  request_free (request);
}

static gboolean
progress_ (gpointer user_data)
{
  Load *load = user_data;
  const guint64 *n = load->tally.outcomes;

  g_printerr (
      "%.0f s: %" G_GUINT64_FORMAT " requests, %" G_GUINT64_FORMAT
      " ok, %" G_GUINT64_FORMAT " refused, %" G_GUINT64_FORMAT " broken, %u open\n",
      (double) (g_get_monotonic_time () - load->began) / 1e6, load->tally.requests,
      n[OUTCOME_OK], n[OUTCOME_REFUSED], n[OUTCOME_BROKEN], load->open);
  return G_SOURCE_CONTINUE;
}
