/* Replaces libFuzzer in scripts/check: runs the seed corpus, then inputs that are mutated
 * from it with a fixed seed. Detects crashes and failed assertions that bytes from
 * outside could cause. Usage: NAME RUNS SEED FOLDER */
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define INPUT_MAX 4096 /* bytes, as scripts/fuzz sets for libFuzzer */
#define MUTATIONS_MAX 8

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
add_file (GPtrArray *corpus, const char *path)
{
  g_autoptr (GError) error = NULL;
  char *text;
  gsize length;

  if (!g_file_get_contents (path, &text, &length, &error))
    g_error ("%s", error->message);
  g_ptr_array_add (corpus, g_bytes_new_take (text, length));
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

/* Reads the files in the order of their names, so that a seed gives the same run on every
 * machine. */
static GPtrArray *
load_corpus (const char *folder)
{
  GPtrArray *corpus = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GError) error = NULL;
  g_autoptr (GDir) dir = g_dir_open (folder, 0, &error);
  const char *name;

  if (dir == NULL)
    g_error ("%s", error->message);
  while ((name = g_dir_read_name (dir)) != NULL)
    g_ptr_array_add (names, g_strdup (name));
  g_ptr_array_sort (names, compare_names);
  for (guint i = 0; i < names->len; i++)
    {
      g_autofree char *path = g_build_filename (folder, g_ptr_array_index (names, i),
                                                NULL);

      add_file (corpus, path);
    }
  return corpus;
}

static guint
random_below (GRand *rand, guint limit)
{
  return limit == 0 ? 0 : g_rand_int (rand) % limit;
}

static void
insert_bytes (GByteArray *input, guint at, const guint8 *data, guint length)
{
  guint old = input->len;

  if (length == 0 || old + length > INPUT_MAX)
    return;
  g_byte_array_set_size (input, old + length);
  memmove (input->data + at + length, input->data + at, old - at);
  memcpy (input->data + at, data, length);
}

/* Inserts part of a random corpus file at a random position. */
static void
insert_from_corpus (GByteArray *input, GPtrArray *corpus, GRand *rand)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (
      g_ptr_array_index (corpus, random_below (rand, corpus->len)), &length);
  guint start = random_below (rand, (guint) length);
  guint n = random_below (rand, (guint) length - start + 1);

  insert_bytes (input, random_below (rand, input->len + 1), data + start, n);
}

static void
mutate (GByteArray *input, GPtrArray *corpus, GRand *rand)
{
  static const guint8 boundary_values[] = { 0x00, 0x01, 0x7f, 0x80, 0xff, '"',
                                            '{',  '}',  '[',  ']',  '-',  '9' };
  guint at = random_below (rand, input->len);
  guint8 random = (guint8) g_rand_int (rand);
  guint kind = random_below (rand, 7);

  if (kind == 5)
    insert_from_corpus (input, corpus, rand);
  else if (kind == 4)
    insert_bytes (input, at, &random, 1);
  else if (input->len == 0)
    return;
  else if (kind == 0)
    input->data[at] ^= (guint8) (1u << (random % 8));
  else if (kind == 1)
    input->data[at] = random;
  else if (kind == 2)
    input->data[at] = boundary_values[random % G_N_ELEMENTS (boundary_values)];
  else if (kind == 3)
    g_byte_array_set_size (input, at);
  else
    g_byte_array_remove_range (input, at, MIN (input->len - at, 1 + random % 16u));
}

/* Passes a copy of exactly this size, so that a memory checker detects reads beyond its
 * end. The pointer is not NULL for an empty input, as with libFuzzer. */
static void
run_input (const guint8 *data, gsize length)
{
  guint8 *copy = g_malloc (MAX (length, 1));

  if (length > 0)
    memcpy (copy, data, length);
  LLVMFuzzerTestOneInput (copy, length);
  g_free (copy);
}

int
main (int argc, char **argv)
{
  g_autoptr (GPtrArray) corpus = NULL;
  g_autoptr (GRand) rand = NULL;
  guint64 runs;

  if (argc != 4)
    {
      fprintf (stderr, "usage: %s RUNS SEED FOLDER\n", argv[0]);
      return 2;
    }
  runs = g_ascii_strtoull (argv[1], NULL, 10);
  rand = g_rand_new_with_seed ((guint32) g_ascii_strtoull (argv[2], NULL, 10));
  corpus = load_corpus (argv[3]);
  if (corpus->len == 0)
    {
      fprintf (stderr, "%s: %s is empty\n", argv[0], argv[3]);
      return 1;
    }
  for (guint i = 0; i < corpus->len; i++)
    {
      gsize length;
      const guint8 *data = g_bytes_get_data (g_ptr_array_index (corpus, i), &length);

      run_input (data, length);
    }
  for (guint64 i = 0; i < runs; i++)
    {
      g_autoptr (GByteArray) input = g_byte_array_new ();
      guint n = 1 + random_below (rand, MUTATIONS_MAX);
      gsize length;
      const guint8 *data = g_bytes_get_data (
          g_ptr_array_index (corpus, random_below (rand, corpus->len)), &length);

      g_byte_array_append (input, data, (guint) MIN (length, INPUT_MAX));
      while (n-- > 0)
        mutate (input, corpus, rand);
      run_input (input->data, input->len);
    }
  printf ("%u corpus files, %" G_GUINT64_FORMAT " mutated inputs\n", corpus->len, runs);
  return 0;
}
