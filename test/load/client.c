#include "client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "../share/manual.h"

#define READ_BYTES (64 * 1024)
#define HEADER_MAX (16 * 1024) /* bytes */
#define SMALL_BODY_MAX 4096    /* bytes of an answer other than a manual */
#define USES_MAX 20            /* requests on a pooled connection */
#define STRAGGLER_MS 1000

struct _Client
{
  char *run; /* prefix of the report ids */
  char *fabric;
  guint timeout_s;
  GSocketClient *sockets;
  SoupSession *session;
};

typedef struct
{
  GSocketConnection *stream;
  guint uses;
} Connection;

/* A request in progress. */
typedef struct
{
  Client *client;
  Request *request;
  RequestFunc done;
  gpointer user_data;
  Connection *connection;
  char *text;      /* of the request */
  GString *header; /* of the answer */
  gboolean in_body;
  gboolean close;   /* the server ends the connection after the answer */
  guint64 length;   /* bytes of the body */
  guint64 received; /* bytes of the body */
  guint8 buffer[READ_BYTES];
} Exchange;

static void connection_free_ (Connection *connection);
static Connection *take_idle_ (Exchange *x);
static void connected_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void write_ (Exchange *x);
static char *format_ (Exchange *x);
static void written_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void read_ (Exchange *x);
static void read_done_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void take_bytes_ (Exchange *x, const guint8 *data, gsize length);
static gboolean parse_header_ (Exchange *x);
static void fail_ (Exchange *x, const GError *error, const char *step);
static void ask_fabric_ (Exchange *x);
static void fabric_answered_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void finish_ (Exchange *x, Outcome outcome, const char *fault);

static const char *const kind_strings_[] = { "jobs", "reports", "manuals", "stragglers" };
static const char *const outcome_strings_[] = { "ok", "refused", "broken",
                                                "misdelivered" };

G_STATIC_ASSERT (G_N_ELEMENTS (kind_strings_) == N_KINDS);
G_STATIC_ASSERT (G_N_ELEMENTS (outcome_strings_) == N_OUTCOMES);

/* Returns the kind's name. */
const char *
kind_string (Kind kind)
{
  return kind_strings_[kind];
}

/* Returns the outcome's name. */
const char *
outcome_string (Outcome outcome)
{
  return outcome_strings_[outcome];
}

/* Makes a client whose report ids begin with run. A connection that makes no progress for
 * timeout_s counts as broken. */
Client *
client_new (const char *run, const char *fabric, guint timeout_s)
{
  Client *client = g_new0 (Client, 1);

  client->run = g_strdup (run);
  client->fabric = g_strdup (fabric);
  client->timeout_s = timeout_s;
  client->sockets = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client->sockets, FALSE);
  g_socket_client_set_timeout (client->sockets, timeout_s);
  client->session = soup_session_new_with_options ("timeout", timeout_s, NULL);
  return client;
}

/* To be called when no request is in progress. */
void
client_free (Client *client)
{
  g_object_unref (client->session);
  g_object_unref (client->sockets);
  g_free (client->fabric);
  g_free (client->run);
  g_free (client);
}

/* Sends the request; done is called exactly once with the result. */
void
client_send (Client *client, Request *request, RequestFunc done, gpointer user_data)
{
  Exchange *x = g_new0 (Exchange, 1);

  x->client = client;
  x->request = request;
  x->done = done;
  x->user_data = user_data;
  x->header = g_string_new (NULL);
  x->text = format_ (x);
  if (request->pooled && !request->resubmit)
    x->connection = take_idle_ (x);
  if (x->connection != NULL)
    write_ (x);
  else
    g_socket_client_connect_to_host_async (client->sockets, request->target->address, 80,
                                           NULL, connected_, x);
}

guint
client_close_idle (Client *client, Target *target)
{
  guint n_reset = 0;

  while (!g_queue_is_empty (&target->idle))
    {
      Connection *connection = g_queue_pop_head (&target->idle);
      GSocket *socket = g_socket_connection_get_socket (connection->stream);

      if ((g_socket_condition_check (socket, G_IO_ERR) & G_IO_ERR) != 0)
        n_reset++;
      connection_free_ (connection);
    }
  return n_reset;
}

void
request_free (Request *request)
{
  g_free (request->server);
  g_free (request->fault);
  g_free (request);
}

static void
connection_free_ (Connection *connection)
{
  g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
  g_object_unref (connection->stream);
  g_free (connection);
}

/* Returns an idle connection that is still open. One that was reset while idle is handed
 * out as well, so that the reset is counted. */
static Connection *
take_idle_ (Exchange *x)
{
  Connection *connection;

  while ((connection = g_queue_pop_head (&x->request->target->idle)) != NULL)
    {
      GSocket *socket = g_socket_connection_get_socket (connection->stream);
      GIOCondition ready = g_socket_condition_check (socket, G_IO_IN | G_IO_ERR);

      if ((ready & G_IO_IN) == 0 || (ready & G_IO_ERR) != 0)
        return connection;
      connection_free_ (connection);
    }
  return NULL;
}

static void
connected_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Exchange *x = user_data;
  g_autoptr (GError) error = NULL;
  GSocketConnection *stream = g_socket_client_connect_to_host_finish (x->client->sockets,
                                                                      result, &error);

  if (stream == NULL)
    {
      gboolean refused = g_error_matches (error, G_IO_ERROR,
                                          G_IO_ERROR_CONNECTION_REFUSED);

      finish_ (x, refused ? OUTCOME_REFUSED : OUTCOME_BROKEN, error->message);
      return;
    }
  x->connection = g_new0 (Connection, 1);
  x->connection->stream = stream;
  write_ (x);
}

static void
write_ (Exchange *x)
{
  GOutputStream *out = g_io_stream_get_output_stream (
      G_IO_STREAM (x->connection->stream));

  x->connection->uses++;
  g_output_stream_write_all_async (out, x->text, strlen (x->text), G_PRIORITY_DEFAULT,
                                   NULL, written_, x);
}

/* Returns the request's text. */
static char *
format_ (Exchange *x)
{
  const Request *r = x->request;
  g_autofree char *line = NULL;
  g_autofree char *body = g_strdup ("");

  switch (r->kind)
    {
    case KIND_REPORTS:
      line = g_strdup ("POST /reports");
      g_free (body);
      body = g_strdup_printf ("{\"id\":\"%s-%" G_GUINT64_FORMAT "\"}", x->client->run,
                              r->id);
      break;
    case KIND_MANUALS:
      line = g_strdup_printf (
          "GET /manuals/%" G_GUINT64_FORMAT "?seed=%" G_GUINT64_FORMAT, r->size, r->seed);
      break;
    case KIND_STRAGGLERS:
      line = g_strdup_printf ("GET /slow/%d", STRAGGLER_MS);
      break;
    default:
      line = g_strdup_printf ("GET /jobs/%" G_GUINT64_FORMAT, r->id);
      break;
    }
  return g_strdup_printf ("%s HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          line, r->target->address, r->pooled ? "keep-alive" : "close",
                          strlen (body), body);
}

static void
written_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Exchange *x = user_data;
  g_autoptr (GError) error = NULL;

  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, &error))
    fail_ (x, error, "write");
  else
    read_ (x);
}

static void
read_ (Exchange *x)
{
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (x->connection->stream));

  g_input_stream_read_async (in, x->buffer, sizeof x->buffer, G_PRIORITY_DEFAULT, NULL,
                             read_done_, x);
}

static void
read_done_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Exchange *x = user_data;
  g_autoptr (GError) error = NULL;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, &error);

  if (n <= 0)
    fail_ (x, error, "read");
  else
    take_bytes_ (x, x->buffer, (gsize) n);
}

/* Takes received bytes: the header first, then the body. */
static void
take_bytes_ (Exchange *x, const guint8 *data, gsize length)
{
  Request *r = x->request;

  if (r->answered == 0)
    r->answered = g_get_monotonic_time ();
  if (!x->in_body)
    {
      const char *end;
      gsize before = x->header->len;
      gsize used;

      g_string_append_len (x->header, (const char *) data, (gssize) length);
      end = strstr (x->header->str, "\r\n\r\n");
      if (end == NULL && x->header->len <= HEADER_MAX)
        {
          read_ (x);
          return;
        }
      if (end == NULL)
        {
          finish_ (x, OUTCOME_BROKEN, "the answer's header is too long");
          return;
        }
      used = (gsize) (end - x->header->str) + 4 - before;
      g_string_truncate (x->header, (gsize) (end - x->header->str) + 2);
      data += used;
      length -= used;
      if (!parse_header_ (x))
        return;
    }
  if (r->kind == KIND_MANUALS && length > 0)
    {
      guint8 expected[READ_BYTES];

      manual_fill (r->seed, x->received, expected, length);
      if (memcmp (expected, data, length) != 0)
        {
          finish_ (x, OUTCOME_BROKEN, "wrong content");
          return;
        }
    }
  x->received += length;
  if (x->received > x->length)
    finish_ (x, OUTCOME_BROKEN, "more bytes than announced");
  else if (x->received == x->length)
    finish_ (x, OUTCOME_OK, NULL);
  else
    read_ (x);
}

/* Returns FALSE if the answer's header already decided the outcome. */
static gboolean
parse_header_ (Exchange *x)
{
  Request *r = x->request;
  SoupMessageHeaders *headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  const char *service;
  const char *connection;
  guint status = 0;
  Outcome outcome = OUTCOME_OK;
  const char *fault = NULL;

  x->in_body = TRUE;
  if (!soup_headers_parse_response (x->header->str, (int) x->header->len, headers, NULL,
                                    &status, NULL))
    status = 0;
  service = soup_message_headers_get_one (headers, "X-Service");
  connection = soup_message_headers_get_one (headers, "Connection");
  x->length = (guint64) soup_message_headers_get_content_length (headers);
  x->close = connection != NULL && strcmp (connection, "close") == 0;
  r->server = g_strdup (soup_message_headers_get_one (headers, "X-Server"));
  if (service != NULL && strcmp (service, r->target->service) != 0)
    outcome = OUTCOME_MISDELIVERED, fault = "answered by another service";
  else if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    outcome = OUTCOME_REFUSED, fault = "shed by the server";
  else if (status != SOUP_STATUS_OK || service == NULL)
    outcome = OUTCOME_BROKEN, fault = "not a proper answer";
  else if (x->length > (r->kind == KIND_MANUALS ? r->size : SMALL_BODY_MAX)
           || (r->kind == KIND_MANUALS && x->length != r->size))
    outcome = OUTCOME_BROKEN, fault = "wrong length";
  soup_message_headers_unref (headers);
  if (outcome == OUTCOME_OK)
    return TRUE;
  x->close = TRUE;
  finish_ (x, outcome, fault);
  return FALSE;
}

/* The connection ended or failed in the given step. error NULL: the peer closed it. */
static void
fail_ (Exchange *x, const GError *error, const char *step)
{
  Request *r = x->request;
  gboolean no_answer = r->answered == 0;
  gboolean first = x->connection->uses == 1;
  g_autofree char *fault = g_strdup_printf (
      "%s: %s after %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " bytes, request %u",
      step, error != NULL ? error->message : "early end", x->received, x->length,
      x->connection->uses);

  x->close = TRUE;
  g_free (r->fault);
  r->fault = g_strdup (fault);
  /* The server may close an idle connection at the moment at which it is used again
   * (RFC 9112, section 9.3.1). Only idempotent requests use pooled connections. */
  if (no_answer && !first && error == NULL && r->kind == KIND_JOBS)
    {
      r->resubmit = TRUE;
      client_send (x->client, r, x->done, x->user_data);
      x->done = NULL;
      finish_ (x, OUTCOME_BROKEN, NULL);
    }
  else if (no_answer && first && x->client->fabric != NULL
           && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
    ask_fabric_ (x);
  else
    finish_ (x, OUTCOME_BROKEN, fault);
}

/* The kernel accepts connections to the fabric at once, so only the fabric knows whether
 * the reset was the answer to the SYN on the other side. */
static void
ask_fabric_ (Exchange *x)
{
  g_autoptr (GSocketAddress)
      local = g_socket_connection_get_local_address (x->connection->stream, NULL);
  g_autoptr (SoupMessage) message = NULL;
  g_autofree char *url = NULL;

  if (local == NULL)
    {
      finish_ (x, OUTCOME_BROKEN, x->request->fault);
      return;
    }
  url = g_strdup_printf ("http://%s/refused?port=%u", x->client->fabric,
                         g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
  message = soup_message_new ("GET", url);
  soup_session_send_and_read_async (x->client->session, message, G_PRIORITY_DEFAULT, NULL,
                                    fabric_answered_, x);
}

static void
fabric_answered_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Exchange *x = user_data;
  g_autoptr (GBytes)
      body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source),
                                                                result);
  gboolean refused = body != NULL && soup_message_get_status (message) == SOUP_STATUS_OK;
  g_autofree char *fault = g_strdup (x->request->fault);

  finish_ (x, refused ? OUTCOME_REFUSED : OUTCOME_BROKEN, fault);
}

/* Ends the exchange; the connection becomes idle if it can be used again. */
static void
finish_ (Exchange *x, Outcome outcome, const char *fault)
{
  Request *r = x->request;
  Connection *connection = x->connection;

  if (connection != NULL)
    {
      if (outcome == OUTCOME_OK && r->pooled && !x->close && connection->uses < USES_MAX)
        g_queue_push_tail (&r->target->idle, connection);
      else
        connection_free_ (connection);
    }
  if (x->done != NULL)
    {
      char *copy = g_strdup (fault);

      g_free (r->fault);
      r->fault = copy;
      r->outcome = outcome;
      x->done (r, x->user_data);
    }
  g_string_free (x->header, TRUE);
  g_free (x->text);
  g_free (x);
}
