#include "client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "../share/manual.h"

#define READ_BYTES (64 * 1024)
#define HEADER_MAX (16 * 1024) /* bytes */
#define SMALL_BODY_MAX 4096    /* bytes of a response other than a manual */
#define REQUESTS_PER_CONNECTION_MAX 20
#define STRAGGLER_MS 1000 /* time that the server is asked to take */

struct _Client
{
  char *run_id; /* prefix of the ids of reports */
  char *fabric;
  guint timeout_s;
  GSocketClient *sockets;
  SoupSession *session;
};

typedef struct
{
  GSocketConnection *stream;
  guint n_requests;
} Connection;

/* A request in progress. */
typedef struct
{
  Client *client;
  Request *request;
  RequestFunc done;
  gpointer user_data;
  Connection *connection;
  char *request_text;
  GString *response_header;
  gboolean in_body;   /* the response header is complete */
  gboolean closing;   /* the connection can't be used for another request */
  guint64 length;     /* Content-Length of the response, bytes */
  guint64 n_received; /* bytes of the body */
  guint8 buffer[READ_BYTES];
} Exchange;

static void connection_free_ (Connection *connection);
static Connection *pop_idle_connection_ (Exchange *exchange);
static void connected_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void send_request_ (Exchange *exchange);
static char *format_request_ (Exchange *exchange);
static void request_sent_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void read_response_ (Exchange *exchange);
static void response_read_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void process_bytes_ (Exchange *exchange, const guint8 *data, gsize length);
static gboolean parse_header_ (Exchange *exchange);
static void
connection_failed_ (Exchange *exchange, const GError *error, const char *step);
static void query_fabric_ (Exchange *exchange);
static void fabric_replied_ (GObject *source, GAsyncResult *result, gpointer user_data);
static void finish_ (Exchange *exchange, Outcome outcome, const char *failure);

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

/* Creates a client whose report ids begin with run_id. A request whose connection makes
 * no progress for timeout_s ends with OUTCOME_BROKEN. */
Client *
client_new (const char *run_id, const char *fabric, guint timeout_s)
{
  Client *client = g_new0 (Client, 1);

  client->run_id = g_strdup (run_id);
  client->fabric = g_strdup (fabric);
  client->timeout_s = timeout_s;
  client->sockets = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client->sockets, FALSE);
  g_socket_client_set_timeout (client->sockets, timeout_s);
  client->session = soup_session_new_with_options ("timeout", timeout_s, NULL);
  return client;
}

/* Must not be called while a request is in progress. */
void
client_free (Client *client)
{
  g_object_unref (client->session);
  g_object_unref (client->sockets);
  g_free (client->fabric);
  g_free (client->run_id);
  g_free (client);
}

/* Sends the request. done is called exactly once, when the result is known, and may free
 * the request. */
void
client_send (Client *client, Request *request, RequestFunc done, gpointer user_data)
{
  Exchange *exchange = g_new0 (Exchange, 1);

  exchange->client = client;
  exchange->request = request;
  exchange->done = done;
  exchange->user_data = user_data;
  exchange->response_header = g_string_new (NULL);
  exchange->request_text = format_request_ (exchange);
  if (request->pooled && !request->resubmitted)
    exchange->connection = pop_idle_connection_ (exchange);
  if (exchange->connection != NULL)
    send_request_ (exchange);
  else
    g_socket_client_connect_to_host_async (client->sockets, request->target->address, 80,
                                           NULL, connected_, exchange);
}

guint
client_close_idle (Client *client, Target *target)
{
  guint n_reset = 0;

  while (!g_queue_is_empty (&target->idle_connections))
    {
      Connection *connection = g_queue_pop_head (&target->idle_connections);
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
  g_free (request->failure);
  g_free (request);
}

static void
connection_free_ (Connection *connection)
{
  g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
  g_object_unref (connection->stream);
  g_free (connection);
}

/* Returns an idle connection, or NULL. Connections that the server has closed are
 * dropped. One that was reset while idle is still returned: the request then fails, and
 * the reset is counted. */
static Connection *
pop_idle_connection_ (Exchange *exchange)
{
  Connection *connection;

  while ((connection = g_queue_pop_head (&exchange->request->target->idle_connections))
         != NULL)
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
  Exchange *exchange = user_data;
  g_autoptr (GError) error = NULL;
  GSocketConnection *stream = g_socket_client_connect_to_host_finish (
      exchange->client->sockets, result, &error);

  if (stream == NULL)
    {
      gboolean refused = g_error_matches (error, G_IO_ERROR,
                                          G_IO_ERROR_CONNECTION_REFUSED);

      finish_ (exchange, refused ? OUTCOME_REFUSED : OUTCOME_BROKEN, error->message);
      return;
    }
  exchange->connection = g_new0 (Connection, 1);
  exchange->connection->stream = stream;
  send_request_ (exchange);
}

static void
send_request_ (Exchange *exchange)
{
  GOutputStream *out = g_io_stream_get_output_stream (
      G_IO_STREAM (exchange->connection->stream));

  exchange->connection->n_requests++;
  g_output_stream_write_all_async (out, exchange->request_text,
                                   strlen (exchange->request_text), G_PRIORITY_DEFAULT,
                                   NULL, request_sent_, exchange);
}

/* Returns the HTTP request as text. */
static char *
format_request_ (Exchange *exchange)
{
  const Request *r = exchange->request;
  g_autofree char *line = NULL;
  g_autofree char *body = g_strdup ("");

  switch (r->kind)
    {
    case KIND_REPORTS:
      line = g_strdup ("POST /reports");
      g_free (body);
      body = g_strdup_printf ("{\"id\":\"%s-%" G_GUINT64_FORMAT "\"}",
                              exchange->client->run_id, r->id);
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
request_sent_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Exchange *exchange = user_data;
  g_autoptr (GError) error = NULL;

  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, &error))
    connection_failed_ (exchange, error, "write");
  else
    read_response_ (exchange);
}

static void
read_response_ (Exchange *exchange)
{
  GInputStream *in = g_io_stream_get_input_stream (
      G_IO_STREAM (exchange->connection->stream));

  g_input_stream_read_async (in, exchange->buffer, sizeof exchange->buffer,
                             G_PRIORITY_DEFAULT, NULL, response_read_, exchange);
}

static void
response_read_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Exchange *exchange = user_data;
  g_autoptr (GError) error = NULL;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, &error);

  if (n <= 0)
    connection_failed_ (exchange, error, "read");
  else
    process_bytes_ (exchange, exchange->buffer, (gsize) n);
}

/* Parses received bytes: first the header, then the body. */
static void
process_bytes_ (Exchange *exchange, const guint8 *data, gsize length)
{
  Request *r = exchange->request;

  if (r->first_byte_at == 0)
    r->first_byte_at = g_get_monotonic_time ();
  if (!exchange->in_body)
    {
      const char *end;
      gsize before = exchange->response_header->len;
      gsize used;

      g_string_append_len (exchange->response_header, (const char *) data,
                           (gssize) length);
      end = strstr (exchange->response_header->str, "\r\n\r\n");
      if (end == NULL && exchange->response_header->len <= HEADER_MAX)
        {
          read_response_ (exchange);
          return;
        }
      if (end == NULL)
        {
          finish_ (exchange, OUTCOME_BROKEN, "the response header is too long");
          return;
        }
      used = (gsize) (end - exchange->response_header->str) + 4 - before;
      g_string_truncate (exchange->response_header,
                         (gsize) (end - exchange->response_header->str) + 2);
      data += used;
      length -= used;
      if (!parse_header_ (exchange))
        return;
    }
  if (r->kind == KIND_MANUALS && length > 0)
    {
      guint8 expected[READ_BYTES];

      manual_fill (r->seed, exchange->n_received, expected, length);
      if (memcmp (expected, data, length) != 0)
        {
          finish_ (exchange, OUTCOME_BROKEN, "wrong content");
          return;
        }
    }
  exchange->n_received += length;
  if (exchange->n_received > exchange->length)
    finish_ (exchange, OUTCOME_BROKEN, "the body is longer than Content-Length");
  else if (exchange->n_received == exchange->length)
    finish_ (exchange, OUTCOME_OK, NULL);
  else
    read_response_ (exchange);
}

/* Parses the response header; returns FALSE if it has already decided the outcome and the
 * exchange has ended. */
static gboolean
parse_header_ (Exchange *exchange)
{
  Request *r = exchange->request;
  SoupMessageHeaders *headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  const char *service;
  const char *connection;
  guint status = 0;
  Outcome outcome = OUTCOME_OK;
  const char *failure = NULL;

  exchange->in_body = TRUE;
  if (!soup_headers_parse_response (exchange->response_header->str,
                                    (int) exchange->response_header->len, headers, NULL,
                                    &status, NULL))
    status = 0;
  service = soup_message_headers_get_one (headers, "X-Service");
  connection = soup_message_headers_get_one (headers, "Connection");
  exchange->length = (guint64) soup_message_headers_get_content_length (headers);
  exchange->closing = connection != NULL && strcmp (connection, "close") == 0;
  r->server = g_strdup (soup_message_headers_get_one (headers, "X-Server"));
  if (service != NULL && strcmp (service, r->target->service) != 0)
    outcome = OUTCOME_MISDELIVERED, failure = "response from another service";
  else if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    outcome = OUTCOME_REFUSED, failure = "rejected by the server (503)";
  else if (status != SOUP_STATUS_OK || service == NULL)
    outcome = OUTCOME_BROKEN, failure = "neither 200 nor 503, or X-Service is missing";
  else if (exchange->length > (r->kind == KIND_MANUALS ? r->size : SMALL_BODY_MAX)
           || (r->kind == KIND_MANUALS && exchange->length != r->size))
    outcome = OUTCOME_BROKEN, failure = "unexpected Content-Length";
  soup_message_headers_unref (headers);
  if (outcome == OUTCOME_OK)
    return TRUE;
  exchange->closing = TRUE;
  finish_ (exchange, outcome, failure);
  return FALSE;
}

/* Handles a failure of the connection in the given step; error is NULL if the server
 * closed it. */
static void
connection_failed_ (Exchange *exchange, const GError *error, const char *step)
{
  Request *r = exchange->request;
  gboolean no_response = r->first_byte_at == 0;
  gboolean first_request = exchange->connection->n_requests == 1;
  g_autofree char *failure = g_strdup_printf (
      "%s: %s after %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " bytes, request %u",
      step, error != NULL ? error->message : "closed by the server", exchange->n_received,
      exchange->length, exchange->connection->n_requests);

  exchange->closing = TRUE;
  g_free (r->failure);
  r->failure = g_strdup (failure);
  /* The server may close an idle connection just as the client reuses it (RFC 9112,
   * section 9.3.1). A retry is safe: only idempotent requests use the pool. */
  if (no_response && !first_request && error == NULL && r->kind == KIND_JOBS)
    {
      r->resubmitted = TRUE;
      client_send (exchange->client, r, exchange->done, exchange->user_data);
      exchange->done = NULL;
      finish_ (exchange, OUTCOME_BROKEN, NULL);
    }
  else if (no_response && first_request && exchange->client->fabric != NULL
           && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
    query_fabric_ (exchange);
  else
    finish_ (exchange, OUTCOME_BROKEN, failure);
}

/* Asks the fabric whether the connection was refused in response to its SYN. The client
 * can't tell: the kernel accepts its connection before the fabric has sent the SYN to the
 * service address. */
static void
query_fabric_ (Exchange *exchange)
{
  g_autoptr (GSocketAddress)
      local = g_socket_connection_get_local_address (exchange->connection->stream, NULL);
  g_autoptr (SoupMessage) message = NULL;
  g_autofree char *url = NULL;

  if (local == NULL)
    {
      finish_ (exchange, OUTCOME_BROKEN, exchange->request->failure);
      return;
    }
  url = g_strdup_printf ("http://%s/refused?port=%u", exchange->client->fabric,
                         g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
  message = soup_message_new ("GET", url);
  soup_session_send_and_read_async (exchange->client->session, message,
                                    G_PRIORITY_DEFAULT, NULL, fabric_replied_, exchange);
}

static void
fabric_replied_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Exchange *exchange = user_data;
  g_autoptr (GBytes)
      body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source),
                                                                result);
  gboolean refused = body != NULL && soup_message_get_status (message) == SOUP_STATUS_OK;
  g_autofree char *failure = g_strdup (exchange->request->failure);

  finish_ (exchange, refused ? OUTCOME_REFUSED : OUTCOME_BROKEN, failure);
}

/* Ends the exchange; the connection returns to the pool if it can be used again. */
static void
finish_ (Exchange *exchange, Outcome outcome, const char *failure)
{
  Request *r = exchange->request;
  Connection *connection = exchange->connection;

  if (connection != NULL)
    {
      if (outcome == OUTCOME_OK && r->pooled && !exchange->closing
          && connection->n_requests < REQUESTS_PER_CONNECTION_MAX)
        g_queue_push_tail (&r->target->idle_connections, connection);
      else
        connection_free_ (connection);
    }
  if (exchange->done != NULL)
    {
      char *copy = g_strdup (failure);

      g_free (r->failure);
      r->failure = copy;
      r->outcome = outcome;
      exchange->done (r, exchange->user_data);
    }
  g_string_free (exchange->response_header, TRUE);
  g_free (exchange->request_text);
  g_free (exchange);
}
