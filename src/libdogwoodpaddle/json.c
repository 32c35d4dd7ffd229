#include "protected/json.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#include "protected/error.h"

/* Integers of at most so many digits fit into 64 bits with a sign. */
#define SHORT_INTEGER_DIGITS 18

#define UNICODE_ESCAPE_LENGTH 6 /* of \uXXXX */
#define REPLACEMENT_CHARACTER "\\ufffd"

/* Digits of the largest integer that fits into 64 bits with a sign, and room for the sign
 * and a NUL. */
#define INTEGER_DIGITS 19
#define INTEGER_SIZE (1 + INTEGER_DIGITS + 1)
#define EXPONENT_MAX 1000000 /* larger ones count as this one */

/* A part of a text, a number or an escape, that is replaced before it is parsed. */
typedef struct
{
  gsize offset;
  gsize length;
} Span;

static const char *check_text_ (const char *text, gsize length, GArray *parts);
static gsize number_length_ (const char *text, gsize length);
static gboolean is_number_ (const char *text, gsize length);
static gsize n_digits_ (const char *text, gsize length);
static gboolean is_integer_ (const char *text, gsize length);
static gboolean number_fits_ (const char *text, gsize length);
static gboolean
write_whole_number_ (const char *number, gsize length, char text[INTEGER_SIZE]);
static gint read_exponent_ (const char *text, gsize length);
static gsize check_escape_ (const char *text, gsize length, gboolean *readable);
static gboolean read_code_unit_ (const char *text, gsize length, guint *unit);
static GString *replace_parts_ (const char *text, gsize length, const GArray *parts);
static void remove_misplaced_fractions_ (char *text);
static gboolean read_uint_ (JsonNode *node, guint64 *value);
static JsonNode *get_member_ (JsonObject *object, const char *key);
static const char *find_member_ (const char *text, const char *key);
static char *read_string_ (const char *begin);
static gboolean is_key_ (const char *name, gsize length, const char *key);
static const char *skip_space_ (const char *at);
static const char *skip_string_ (const char *at);
static const char *skip_value_ (const char *at);

/* Parses one JSON value. Fails with DP_ERROR_INVALID if the text is malformed, nested
 * deeper than DP_JSON_DEPTH_MAX, or holds a comment. The depth is limited because
 * JSON-GLib's parser recurses once per level. */
JsonNode *
dp_json_parse (const char *text, gsize length, GError **error)
{
  g_autoptr (JsonParser) parser = NULL;
  g_autoptr (GArray) parts = g_array_new (FALSE, FALSE, sizeof (Span));
  g_autoptr (GString) replaced = NULL;
  g_autoptr (GError) cause = NULL;
  const char *fault = NULL;
  JsonNode *root;

  if (!g_utf8_validate_len (text, length, NULL))
    {
      dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "the text is not UTF-8");
      return NULL;
    }
  fault = check_text_ (text, length, parts);
  if (fault != NULL)
    {
      dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "%s", fault);
      return NULL;
    }
  if (parts->len > 0)
    {
      replaced = replace_parts_ (text, length, parts);
      text = replaced->str;
      length = replaced->len;
    }
  parser = json_parser_new_immutable ();
  if (!json_parser_load_from_data (parser, text, (gssize) length, &cause))
    {
      dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "%s", cause->message);
      return NULL;
    }
  root = json_parser_steal_root (parser);
  if (root == NULL)
    dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "the text is empty");
  return root;
}

/* Returns the value as text without whitespace. */
char *
dp_json_format (JsonNode *node)
{
  char *text = json_to_string (node, FALSE);

  remove_misplaced_fractions_ (text);
  return text;
}

/* Splits an array member off the outermost object: appends the text of each element to
 * elements, which owns it, and returns the remaining text with an empty array as the
 * member's value. Validates nothing; a caller that parses the remaining text and every
 * element detects all errors. If there is no such array or it is not terminated, returns
 * a copy of the whole text and leaves elements unchanged. */
char *
dp_json_extract_elements (const char *text, const char *key, GPtrArray *elements)
{
  const guint n_before = elements->len;
  const char *begin = find_member_ (text, key);
  const char *at;
  g_autofree char *head = NULL;

  if (begin == NULL || *begin != '[')
    return g_strdup (text);
  begin++;
  at = skip_space_ (begin);
  while (*at != ']' || elements->len > n_before)
    {
      const char *end = skip_value_ (at);

      g_ptr_array_add (elements, g_strndup (at, (gsize) (end - at)));
      at = end;
      if (*at != ',')
        break;
      at++;
    }
  if (*at != ']')
    {
      g_ptr_array_set_size (elements, (gint) n_before);
      return g_strdup (text);
    }
  head = g_strndup (text, (gsize) (begin - text));
  return g_strconcat (head, at, NULL);
}

/* Parses the text of one array element. JSON-GLib accepts several consecutive values as a
 * document, but not as an array element, so the text is parsed within brackets. */
JsonNode *
dp_json_parse_element (const char *text, GError **error)
{
  g_autofree char *array = g_strconcat ("[", text, "]", NULL);
  g_autoptr (JsonNode) node = dp_json_parse (array, strlen (array), error);

  if (node == NULL)
    return NULL;
  if (json_array_get_length (json_node_get_array (node)) != 1)
    {
      dp_error_set (error, DP_ERROR_INVALID, "json", NULL, "an element is missing");
      return NULL;
    }
  return json_array_dup_element (json_node_get_array (node), 0);
}

/* Sets value to the text of a member's value, or to NULL if there is none, and returns
 * the text with null as the value of the member, if it exists. The caller owns both. Like
 * dp_json_extract_elements (), it validates nothing. */
char *
dp_json_extract_member (const char *text, const char *key, char **value)
{
  const char *begin = find_member_ (text, key);
  const char *end = begin == NULL ? NULL : skip_value_ (begin);
  g_autofree char *head = NULL;

  *value = NULL;
  if (begin == NULL)
    return g_strdup (text);
  *value = g_strndup (begin, (gsize) (end - begin));
  head = g_strndup (text, (gsize) (begin - text));
  return g_strconcat (head, "null", end, NULL);
}

/* Returns a copy of a string member without parsing the whole text. Parsing a list of
 * several hundred objects takes milliseconds, during which the process forwards no
 * packets. */
char *
dp_json_scan_string (const char *text, const char *key)
{
  const char *begin = find_member_ (text, key);

  return begin == NULL || *begin != '"' ? NULL : read_string_ (begin);
}

/* Reads a member that is a whole number of at least 0. */
gboolean
dp_json_scan_uint (const char *text, const char *key, guint64 *value)
{
  const char *begin = find_member_ (text, key);
  const char *end = begin == NULL ? NULL : skip_value_ (begin);
  g_autofree char *number = NULL;
  char digits[INTEGER_SIZE];
  gsize length;

  if (begin == NULL || end == begin)
    return FALSE;
  number = g_strchomp (g_strndup (begin, (gsize) (end - begin)));
  length = strlen (number);
  return is_number_ (number, length) && write_whole_number_ (number, length, digits)
         && g_ascii_string_to_unsigned (digits, 10, 0, G_MAXINT64, value, NULL);
}

/* Reads a member that is a finite number. */
gboolean
dp_json_scan_double (const char *text, const char *key, double *value)
{
  const char *begin = find_member_ (text, key);
  const char *end = begin == NULL ? NULL : skip_value_ (begin);
  g_autofree char *number = NULL;
  char *rest;

  if (begin == NULL || (*begin != '-' && !g_ascii_isdigit (*begin)))
    return FALSE;
  number = g_strchomp (g_strndup (begin, (gsize) (end - begin)));
  *value = g_ascii_strtod (number, &rest);
  return *rest == '\0' && isfinite (*value);
}

/* Returns the string member named key, or NULL. */
const char *
dp_json_get_string (JsonObject *object, const char *key)
{
  JsonNode *node = get_member_ (object, key);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

/* Sets value to the member named key if that is a non-negative integer. */
gboolean
dp_json_get_uint (JsonObject *object, const char *key, guint64 *value)
{
  return read_uint_ (get_member_ (object, key), value);
}

/* Sets value to the element of the array if that is a non-negative integer. */
gboolean
dp_json_get_uint_element (JsonArray *array, guint index, guint64 *value)
{
  return index < json_array_get_length (array)
         && read_uint_ (json_array_get_element (array, index), value);
}

/* Returns the boolean member named key, or fallback. */
gboolean
dp_json_get_boolean (JsonObject *object, const char *key, gboolean fallback)
{
  JsonNode *node = get_member_ (object, key);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
    return fallback;
  return json_node_get_boolean (node);
}

/* Returns the array member named key, or NULL. */
JsonArray *
dp_json_get_array (JsonObject *object, const char *key)
{
  JsonNode *node = get_member_ (object, key);

  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

/* Returns the node's object, or NULL if the node has another type. */
JsonObject *
dp_json_get_object (JsonNode *node)
{
  return node != NULL && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node)
                                                       : NULL;
}

/* Returns what is wrong with the text's nesting or numbers, or NULL, and appends to parts
 * the numbers that don't fit, whole numbers that are not written as integers, and escapes
 * without a character. Everything else is left to the parser, but for what it accepts
 * beyond JSON: comments and strings in single quotes could hide brackets from the count.
 */
static const char *
check_text_ (const char *text, gsize length, GArray *parts)
{
  gboolean in_string = FALSE;
  char integer[INTEGER_SIZE];
  guint depth = 0;

  for (gsize i = 0; i < length; i++)
    {
      const char c = text[i];

      if (in_string && c == '\\')
        {
          gboolean readable;
          const Span escape = { i, check_escape_ (text + i, length - i, &readable) };

          if (!readable)
            g_array_append_val (parts, escape);
          i += escape.length - 1;
        }
      else if (c == '"')
        in_string = !in_string;
      else if (in_string)
        continue;
      else if (c == '{' || c == '[')
        depth++;
      else if ((c == '}' || c == ']') && depth > 0)
        depth--;
      else if (!g_ascii_isalnum (c) && strchr ("+-.,:]} \t\r\n", c) == NULL)
        return "the text holds a comment or another character that is not JSON";
      else if (g_ascii_isdigit (c) || c == '-')
        {
          const Span number = { i, number_length_ (text + i, length - i) };

          if (!is_number_ (text + i, number.length))
            return "the text holds a malformed number";
          if (!number_fits_ (text + i, number.length)
              || (!is_integer_ (text + i, number.length)
                  && write_whole_number_ (text + i, number.length, integer)))
            g_array_append_val (parts, number);
          i += number.length - 1;
        }
      if (depth > DP_JSON_DEPTH_MAX)
        return "the text nests deeper than " G_STRINGIFY (DP_JSON_DEPTH_MAX) " levels";
    }
  return NULL;
}

/* Returns the length of the number at the beginning of the text, with all that follows
 * it up to a character that can't belong to a number. */
static gsize
number_length_ (const char *text, gsize length)
{
  gsize end = 1;

  while (end < length && text[end] != '\0'
         && (g_ascii_isalnum (text[end]) || strchr ("+-.", text[end]) != NULL))
    end++;
  return end;
}

/* Returns whether the text is a number by RFC 8259, section 6. */
static gboolean
is_number_ (const char *text, gsize length)
{
  const char *at = text;
  const char *end = text + length;
  gsize n;

  if (at < end && *at == '-')
    at++;
  n = n_digits_ (at, (gsize) (end - at));
  if (n == 0 || (n > 1 && *at == '0'))
    return FALSE;
  at += n;
  if (at < end && *at == '.')
    {
      n = n_digits_ (at + 1, (gsize) (end - at - 1));
      if (n == 0)
        return FALSE;
      at += 1 + n;
    }
  if (at < end && (*at == 'e' || *at == 'E'))
    {
      at++;
      if (at < end && (*at == '+' || *at == '-'))
        at++;
      n = n_digits_ (at, (gsize) (end - at));
      if (n == 0)
        return FALSE;
      at += n;
    }
  return at == end;
}

/* Returns the number of digits at the beginning of the text. */
static gsize
n_digits_ (const char *text, gsize length)
{
  gsize n = 0;

  while (n < length && g_ascii_isdigit (text[n]))
    n++;
  return n;
}

/* Returns whether a number has neither a fraction nor an exponent. */
static gboolean
is_integer_ (const char *text, gsize length)
{
  const gsize sign = *text == '-' ? 1 : 0;

  return n_digits_ (text + sign, length - sign) == length - sign;
}

/* Returns whether an integer fits into 64 bits with a sign, or another number into a
 * double. */
static gboolean
number_fits_ (const char *text, gsize length)
{
  const gsize sign = *text == '-' ? 1 : 0;
  g_autofree char *number = NULL;

  if (is_integer_ (text, length) && length - sign <= SHORT_INTEGER_DIGITS)
    return TRUE;
  number = g_strndup (text, length);
  if (!is_integer_ (text, length))
    return isfinite (g_ascii_strtod (number, NULL));
  errno = 0;
  g_ascii_strtoll (number, NULL, 10);
  return errno != ERANGE;
}

/* Writes a number as an integer, digit by digit, as a double could round it. Returns
 * FALSE if the number is not whole or doesn't fit into 64 bits with a sign. */
static gboolean
write_whole_number_ (const char *number, gsize length, char text[INTEGER_SIZE])
{
  gboolean fraction = FALSE;
  gsize sign = *number == '-' ? 1 : 0;
  gsize n = sign;     /* characters written: sign and digits up to the last one not 0 */
  gsize zeros = 0;    /* read after these */
  gint64 n_whole = 0; /* digits of the whole number without leading zeros */
  gsize i;

  text[0] = '-';
  for (i = sign; i < length && (g_ascii_isdigit (number[i]) || number[i] == '.'); i++)
    {
      if (number[i] == '.')
        {
          fraction = TRUE;
          continue;
        }
      if (number[i] == '0' && n == sign)
        n_whole -= fraction ? 1 : 0;
      else
        n_whole += fraction ? 0 : 1;
      if (number[i] == '0')
        {
          zeros += n == sign ? 0 : 1;
          continue;
        }
      if (n - sign + zeros >= INTEGER_DIGITS)
        return FALSE;
      memset (text + n, '0', zeros);
      n += zeros;
      zeros = 0;
      text[n++] = number[i];
    }
  if (n == sign)
    return g_strlcpy (text, "0", INTEGER_SIZE) == 1;
  n_whole += read_exponent_ (number + i, length - i);
  if (n_whole < (gint64) (n - sign) || n_whole > INTEGER_DIGITS)
    return FALSE;
  memset (text + n, '0', sign + (gsize) n_whole - n);
  text[sign + (gsize) n_whole] = '\0';
  return number_fits_ (text, strlen (text));
}

/* Returns the value of an exponent with its letter and sign; 0 if there is none. */
static gint
read_exponent_ (const char *text, gsize length)
{
  gboolean negative = FALSE;
  gint value = 0;

  for (gsize i = 1; i < length; i++)
    {
      if (g_ascii_isdigit (text[i]))
        value = MIN (value * 10 + g_ascii_digit_value (text[i]), EXPONENT_MAX);
      else
        negative = text[i] == '-';
    }
  return negative ? -value : value;
}

/* Returns the length of the escape at the beginning of the text. readable: whether it
 * names a character that a string can hold, which a zero and half of a surrogate pair do
 * not. */
static gsize
check_escape_ (const char *text, gsize length, gboolean *readable)
{
  guint unit;
  guint low;

  *readable = TRUE;
  if (!read_code_unit_ (text, length, &unit))
    return 2;
  if (unit >= 0xd800 && unit < 0xdc00
      && read_code_unit_ (text + UNICODE_ESCAPE_LENGTH, length - UNICODE_ESCAPE_LENGTH,
                          &low)
      && low >= 0xdc00 && low < 0xe000)
    return 2 * (gsize) UNICODE_ESCAPE_LENGTH;
  *readable = unit != 0 && (unit < 0xd800 || unit >= 0xe000);
  return UNICODE_ESCAPE_LENGTH;
}

/* Reads the UTF-16 code unit of an escape; returns FALSE if there is none. */
static gboolean
read_code_unit_ (const char *text, gsize length, guint *unit)
{
  *unit = 0;
  if (length < UNICODE_ESCAPE_LENGTH || text[0] != '\\' || text[1] != 'u')
    return FALSE;
  for (guint i = 2; i < UNICODE_ESCAPE_LENGTH; i++)
    {
      if (!g_ascii_isxdigit (text[i]))
        return FALSE;
      *unit = *unit << 4 | (guint) g_ascii_xdigit_value (text[i]);
    }
  return TRUE;
}

/* Returns the text with each of the parts, which are in the order of the text, replaced:
 * an escape by the replacement character, a whole number by its digits, and another
 * number by the finite double next to it. JSON-GLib refuses a text with half of a
 * surrogate pair, ends a string at a zero, reads large integers modulo 2^64, some
 * negative ones as positive, and whole numbers with a fraction or an exponent as doubles,
 * and prints an infinite double as a word. */
static GString *
replace_parts_ (const char *text, gsize length, const GArray *parts)
{
  GString *replaced = g_string_sized_new (length);
  gsize copied = 0;

  for (guint i = 0; i < parts->len; i++)
    {
      const Span *span = &g_array_index (parts, Span, i);
      g_autofree char *part = g_strndup (text + span->offset, span->length);
      char integer[INTEGER_SIZE];
      const double value = g_ascii_strtod (part, NULL);
      char printed[G_ASCII_DTOSTR_BUF_SIZE];

      g_string_append_len (replaced, text + copied, (gssize) (span->offset - copied));
      if (*part == '\\')
        g_string_append (replaced, REPLACEMENT_CHARACTER);
      else if (write_whole_number_ (part, span->length, integer))
        g_string_append (replaced, integer);
      else
        g_string_append (replaced,
                         g_ascii_dtostr (printed, sizeof printed,
                                         CLAMP (value, -G_MAXDOUBLE, G_MAXDOUBLE)));
      copied = span->offset + span->length;
    }
  return g_string_append_len (replaced, text + copied, (gssize) (length - copied));
}

/* JSON-GLib writes the double 1e22 as 1e+22.0, which is no number: it appends a fraction
 * where it finds none. */
static void
remove_misplaced_fractions_ (char *text)
{
  const char *from = text;
  char *to = text;

  while (*from != '\0')
    {
      gsize length = 1;
      gsize kept;

      if (*from == '"')
        length = (gsize) (skip_string_ (from) - from);
      else if (g_ascii_isdigit (*from) || *from == '-')
        length = number_length_ (from, G_MAXSIZE);
      kept = length;
      if (*from != '"' && length > 2 && !is_number_ (from, length)
          && strncmp (from + length - 2, ".0", 2) == 0)
        kept -= 2;
      memmove (to, from, kept);
      to += kept;
      from += length;
    }
  *to = '\0';
}

/* Sets value to that of the node, which may be NULL, if it is a non-negative integer. */
static gboolean
read_uint_ (JsonNode *node, guint64 *value)
{
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_INT64 || json_node_get_int (node) < 0)
    return FALSE;
  *value = (guint64) json_node_get_int (node);
  return TRUE;
}

static JsonNode *
get_member_ (JsonObject *object, const char *key)
{
  return object == NULL ? NULL : json_object_get_member (object, key);
}

/* Returns the position of a member's value in an object's text, or NULL. */
static const char *
find_member_ (const char *text, const char *key)
{
  const char *at = skip_space_ (text);

  if (*at != '{')
    return NULL;
  do
    {
      const char *name = skip_space_ (at + 1);
      gboolean matches;

      if (*name != '"')
        return NULL;
      at = skip_string_ (name);
      matches = is_key_ (name, (gsize) (at - name), key);
      at = skip_space_ (at);
      if (*at != ':')
        return NULL;
      at = skip_space_ (at + 1);
      if (matches)
        return at;
      at = skip_value_ (at);
    }
  while (*at == ',');
  return NULL;
}

/* Returns a copy of the string that begins at the quote; NULL if it is malformed. The
 * parser is called for strings with an escape only. */
static char *
read_string_ (const char *begin)
{
  const gsize length = strcspn (begin + 1, "\"\\");
  g_autofree char *text = NULL;
  g_autoptr (JsonNode) node = NULL;

  if (begin[1 + length] == '"')
    return g_utf8_validate_len (begin + 1, length, NULL) ? g_strndup (begin + 1, length)
                                                         : NULL;
  text = g_strndup (begin, (gsize) (skip_string_ (begin) - begin));
  node = dp_json_parse_element (text, NULL);
  return node != NULL && JSON_NODE_HOLDS_VALUE (node) ? json_node_dup_string (node)
                                                      : NULL;
}

/* Returns whether the name, with its quotes, is the key in one of its spellings. */
static gboolean
is_key_ (const char *name, gsize length, const char *key)
{
  g_autofree char *decoded = NULL;

  if (memchr (name, '\\', length) == NULL)
    return length == strlen (key) + 2 && strncmp (name + 1, key, length - 2) == 0;
  decoded = read_string_ (name);
  return g_strcmp0 (decoded, key) == 0;
}

static const char *
skip_space_ (const char *at)
{
  while (*at == ' ' || *at == '\t' || *at == '\n' || *at == '\r')
    at++;
  return at;
}

/* Skips from the opening quote to after the closing one, or to the end of the text. */
static const char *
skip_string_ (const char *at)
{
  for (at++; *at != '\0' && *at != '"'; at++)
    {
      if (*at == '\\' && at[1] != '\0')
        at++;
    }
  return *at == '"' ? at + 1 : at;
}

/* Skips to the comma or bracket that ends the value, or to the end of the text. */
static const char *
skip_value_ (const char *at)
{
  guint depth = 0;

  while (*at != '\0')
    {
      if (*at == '"')
        {
          at = skip_string_ (at);
          continue;
        }
      if (depth == 0 && (*at == ',' || *at == ']' || *at == '}'))
        return at;
      if (*at == '{' || *at == '[')
        depth++;
      else if (*at == '}' || *at == ']')
        depth--;
      at++;
    }
  return at;
}
