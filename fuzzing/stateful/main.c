/* Runs random sequences of commands (histories) against the rules of the test model until
 * the time limit. The first history that breaks a rule is shortened and printed; --replay
 * runs it again. */
#include <stdio.h>

#include "stateful.h"

#define DEFAULT_SECONDS 60
#define DEFAULT_COMMANDS 1500

static gint seconds_ = DEFAULT_SECONDS;
static gint64 seed_ = 1;
static gint commands_ = DEFAULT_COMMANDS;
static char *replay_;

static const GOptionEntry options_[] = {
  { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds_, "Seconds to run", "N" },
  { "seed", 0, 0, G_OPTION_ARG_INT64, &seed_, "Seed of the first history", "N" },
  { "commands", 0, 0, G_OPTION_ARG_INT, &commands_, "Number of commands in a history",
    "N" },
  { "replay", 0, 0, G_OPTION_ARG_FILENAME, &replay_,
    "Run a printed history and show each decision", "FILE" },
  { NULL },
};

static int
replay_history (const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  g_autofree char *violation = NULL;
  g_autoptr (GString) trace = g_string_new (NULL);
  GArray *commands = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error)
      || (commands = stateful_parse (text, &error)) == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  violation = stateful_run (commands, (guint64) seed_, DP_MUTANT_NONE, NULL, trace);
  g_array_unref (commands);
  printf ("%s%s\n", trace->str, violation != NULL ? violation : "no rule is broken");
  return violation != NULL;
}

static void
report_violation (const GArray *commands, guint64 seed, const char *violation)
{
  GArray *shortened = stateful_shrink (commands, seed, DP_MUTANT_NONE);
  g_autofree char *text = stateful_format (shortened);

  printf ("seed %" G_GUINT64_FORMAT ": %s\n# replay with --seed %" G_GUINT64_FORMAT
          " --replay FILE\n%s",
          seed, violation, seed, text);
  g_array_unref (shortened);
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  StatefulCount count = { 0 };
  gint64 end;
  guint64 seed;

  g_option_context_add_main_entries (context, options_, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return 2;
    }
  if (replay_ != NULL)
    return replay_history (replay_);
  end = g_get_monotonic_time () + seconds_ * (gint64) G_USEC_PER_SEC;
  for (seed = (guint64) seed_; g_get_monotonic_time () < end; seed++)
    {
      GArray *commands = stateful_generate (seed, (guint) commands_);
      g_autofree char *violation = stateful_run (commands, seed, DP_MUTANT_NONE, &count,
                                                 NULL);

      if (violation != NULL)
        report_violation (commands, seed, violation);
      g_array_unref (commands);
      if (violation != NULL)
        return 1;
    }
  printf ("{\"seeds\":%" G_GUINT64_FORMAT ",\"first_seed\":%" G_GINT64_FORMAT
          ",\"commands\":%" G_GUINT64_FORMAT ",\"flows\":%" G_GUINT64_FORMAT
          ",\"requests\":%" G_GUINT64_FORMAT ",\"members_visited_max\":%" G_GUINT64_FORMAT
          ",\"violations\":0}\n",
          seed - (guint64) seed_, seed_, count.commands, count.flows, count.requests,
          count.members_visited_max);
  return 0;
}
