/* Guards against a status server that answers clients outside the trusted networks, reads
 * unbounded request bodies or accepts writing methods on read-only paths. */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protected/httpd.h"
#include "runner.h"

#define FIRST_PORT 20000
#define N_PORTS 200
#define LARGE_BODY_BYTES (1024 * 1024)

typedef struct
{
  guint status;
  char *body;
  gboolean done;
} Reply;

static JsonNode *
make_status (gpointer user_data)
{
  return json_from_string ("{\"name\":\"balancer-1\"}", NULL);
}

static gboolean
is_ready (gpointer user_data)
{
  return *(gboolean *) user_data;
}

/* Returns a server on a free loopback port, or NULL if none was found. */
static DpHttpd *
start_httpd (DpMetrics *metrics, DpAddress *address)
{
  address->ip = 0x7f000001;
  for (guint i = 0; i < N_PORTS; i++)
    {
      DpHttpd *httpd;

      address->port = (guint16) (FIRST_PORT + g_random_int_range (0, 10000));
      httpd = dp_httpd_new (address, metrics, NULL);
      if (httpd != NULL)
        return httpd;
    }
  return NULL;
}

static void
on_reply (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Reply *reply = user_data;
  g_autoptr (GBytes)
      bytes = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  if (bytes != NULL)
    reply->body = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  reply->done = TRUE;
}

static Reply
request (const DpAddress *address, const char *method, const char *path, gsize body_bytes)
{
  g_autoptr (SoupSession) session = soup_session_new_with_options ("timeout", 10, NULL);
  char text[DP_ADDRESS_STRLEN];
  g_autofree char *url = g_strdup_printf ("http://%s%s",
                                          dp_address_format (address, text), path);
  g_autoptr (SoupMessage) message = soup_message_new (method, url);
  Reply reply = { 0 };

  if (body_bytes > 0)
    {
      g_autoptr (GBytes) body = g_bytes_new_take (g_malloc0 (body_bytes), body_bytes);

      soup_message_set_request_body_from_bytes (message, "text/plain", body);
    }
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, on_reply,
                                    &reply);
  while (!reply.done)
    g_main_context_iteration (NULL, TRUE);
  reply.status = soup_message_get_status (message);
  return reply;
}

static void
test_paths (void)
{
  g_autoptr (DpMetrics) metrics = dp_metrics_new ();
  gboolean ready = FALSE;
  DpAddress address;
  g_autoptr (DpHttpd) httpd = start_httpd (metrics, &address);
  Reply reply;

  CU_ASSERT_PTR_NOT_NULL_FATAL (httpd);
  dp_metric_increment (
      dp_metrics_add (metrics, DP_METRIC_COUNTER, "dp_packets_total", "", "Packets."));
  reply = request (&address, "GET", "/status", 0);
  CU_ASSERT_EQUAL (reply.status, 404);
  g_free (reply.body);

  dp_httpd_set_status (httpd, make_status, NULL);
  dp_httpd_set_ready (httpd, is_ready, &ready);
  reply = request (&address, "GET", "/status", 0);
  CU_ASSERT_EQUAL (reply.status, 200);
  CU_ASSERT_STRING_EQUAL (reply.body, "{\"name\":\"balancer-1\"}");
  g_free (reply.body);
  reply = request (&address, "GET", "/metrics", 0);
  CU_ASSERT_EQUAL (reply.status, 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (reply.body, "dp_packets_total 1\n"));
  g_free (reply.body);
  reply = request (&address, "GET", "/ready", 0);
  CU_ASSERT_EQUAL (reply.status, 503);
  g_free (reply.body);
  ready = TRUE;
  reply = request (&address, "GET", "/ready", 0);
  CU_ASSERT_EQUAL (reply.status, 200);
  g_free (reply.body);
  reply = request (&address, "POST", "/status", 0);
  CU_ASSERT_EQUAL (reply.status, 405);
  g_free (reply.body);
}

static void
test_large_body (void)
{
  g_autoptr (DpMetrics) metrics = dp_metrics_new ();
  DpAddress address;
  g_autoptr (DpHttpd) httpd = start_httpd (metrics, &address);
  Reply reply;

  CU_ASSERT_PTR_NOT_NULL_FATAL (httpd);
  reply = request (&address, "PUT", "/v1/server", LARGE_BODY_BYTES);
  CU_ASSERT_EQUAL (reply.status, 413);
  g_free (reply.body);
}

static void
test_untrusted_client (void)
{
  g_autoptr (DpMetrics) metrics = dp_metrics_new ();
  g_autoptr (GArray) networks = g_array_new (FALSE, FALSE, sizeof (DpNetwork));
  DpNetwork network;
  DpAddress address;
  g_autoptr (DpHttpd) httpd = start_httpd (metrics, &address);
  Reply reply;

  CU_ASSERT_PTR_NOT_NULL_FATAL (httpd);
  CU_ASSERT_TRUE (dp_network_parse ("10.0.0.0/8", &network, NULL));
  g_array_append_val (networks, network);
  dp_httpd_set_trusted (httpd, networks);
  reply = request (&address, "GET", "/metrics", 0);
  CU_ASSERT_EQUAL (reply.status, 403);
  g_free (reply.body);
}

static void
test_address_in_use (void)
{
  g_autoptr (DpMetrics) metrics = dp_metrics_new ();
  g_autoptr (GError) error = NULL;
  DpAddress address;
  char text[DP_ADDRESS_STRLEN];
  g_autoptr (DpHttpd) httpd = start_httpd (metrics, &address);

  CU_ASSERT_PTR_NOT_NULL_FATAL (httpd);
  CU_ASSERT_PTR_NULL (dp_httpd_new (&address, metrics, &error));
  CU_ASSERT_TRUE (error != NULL
                  && strstr (error->message, dp_address_format (&address, text)) != NULL);
}

static int
open_idle_connection (const DpAddress *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (address->port),
                            .sin_addr.s_addr = htonl (address->ip) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *) &to, sizeof to), 0);
  return fd;
}

/* Runs the main loop until nothing has happened for 20 ms, so that the server accepts
 * pending connections even when the test is not scheduled for a while. */
static void
run_main_loop (void)
{
  gint64 end = g_get_monotonic_time () + 20 * G_TIME_SPAN_MILLISECOND;
  gboolean dispatched;

  do
    {
      dispatched = g_main_context_iteration (NULL, FALSE);
      if (dispatched)
        end = g_get_monotonic_time () + 20 * G_TIME_SPAN_MILLISECOND;
    }
  while (dispatched || g_get_monotonic_time () < end);
}

/* The server used to keep any number of idle connections, until the process ran out of
 * file descriptors. */
static void
test_idle_connections (void)
{
  DpMetrics *metrics = dp_metrics_new ();
  DpAddress address;
  DpHttpd *httpd = start_httpd (metrics, &address);
  g_autofree char *text = NULL;
  int fds[200];
  guint n_closed = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (httpd);
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = open_idle_connection (&address);
      if (i % 50 == 49)
        run_main_loop ();
    }
  for (guint i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      char byte;

      n_closed += recv (fds[i], &byte, 1, MSG_DONTWAIT) == 0;
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (n_closed, 200 - 128);
  text = dp_metrics_format (metrics);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "dogwoodpaddle_http_refused_total 72\n"));
  /* Once connections are closed, new ones are accepted again. */
  run_main_loop ();
  fds[0] = open_idle_connection (&address);
  run_main_loop ();
  CU_ASSERT_EQUAL (recv (fds[0], fds, 1, MSG_DONTWAIT), -1);
  close (fds[0]);
  run_main_loop ();
  dp_httpd_free (httpd);
  dp_metrics_free (metrics);
}

static const DpTestCase cases_[] = {
  { "status, metrics and readiness", test_paths },
  { "a large body is rejected without being read", test_large_body },
  { "requests from outside the trusted networks are rejected", test_untrusted_client },
  { "the number of idle connections is limited", test_idle_connections },
  { "the error for an address in use names the address", test_address_in_use },
};

DP_TEST_MAIN ("httpd", cases_)
