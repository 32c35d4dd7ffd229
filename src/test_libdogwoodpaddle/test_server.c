/* Guards against accepting invalid registrations and against using a server that does not
 * accept connections. */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protected/server.h"
#include "runner.h"

#define LOOPBACK 0x7f000001u
#define WAIT_MAX (10 * G_USEC_PER_SEC) /* us; time for several health checks */

typedef struct
{
  SoupServer *http;
  SoupSession *session;
  char *url;
  DpServer *server;
  guint changes;
} Fixture;

typedef struct
{
  const char *name;
  const char *body;
  const char *reason;
} InvalidBody;

static void
changed (const DpServerState *state, gpointer user_data)
{
  ((Fixture *) user_data)->changes++;
}

static void
fixture_init (Fixture *fixture)
{
  GSList *uris;

  memset (fixture, 0, sizeof *fixture);
  fixture->http = soup_server_new (NULL, NULL);
  CU_ASSERT_TRUE_FATAL (
      soup_server_listen_local (fixture->http, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (fixture->http);
  fixture->url = g_strdup_printf ("http://127.0.0.1:%d/v1/server",
                                  g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify) g_uri_unref);
  fixture->session = soup_session_new ();
  fixture->server = dp_server_new (fixture->http, LOOPBACK, changed, fixture);
}

static void
fixture_finish (Fixture *fixture)
{
  dp_server_free (fixture->server);
  soup_session_abort (fixture->session);
  g_object_unref (fixture->session);
  soup_server_disconnect (fixture->http);
  g_object_unref (fixture->http);
  g_free (fixture->url);
}

static void
answered (GObject *source, GAsyncResult *result, gpointer user_data)
{
  *(GBytes **) user_data = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                              result, NULL);
}

/* Sends a request and returns the status. If text is not NULL, it is set to the response
 * body, which the caller frees. */
static guint
send_request (Fixture *fixture, const char *method, const char *body, char **text)
{
  g_autoptr (SoupMessage) message = soup_message_new (method, fixture->url);
  g_autoptr (GBytes) request = g_bytes_new (body, strlen (body));
  GBytes *answer = NULL;

  soup_message_set_request_body_from_bytes (message, "application/json", request);
  soup_session_send_and_read_async (fixture->session, message, G_PRIORITY_DEFAULT, NULL,
                                    answered, &answer);
  while (answer == NULL)
    g_main_context_iteration (NULL, TRUE);
  if (text != NULL)
    *text = g_strndup (g_bytes_get_data (answer, NULL), g_bytes_get_size (answer));
  g_bytes_unref (answer);
  return soup_message_get_status (message);
}

/* Listens on *port and returns the socket. If *port is 0, it is set to a free port. */
static int
listen_on (guint16 *port)
{
  const int one = 1;
  struct sockaddr_in name = {
    .sin_family = AF_INET,
    .sin_port = htons (*port),
    .sin_addr.s_addr = htonl (LOOPBACK),
  };
  socklen_t length = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *) &name, sizeof name), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 16), 0);
  getsockname (fd, (struct sockaddr *) &name, &length);
  *port = ntohs (name.sin_port);
  return fd;
}

/* Runs the main loop until the server has the expected state. */
static void
await_up (Fixture *fixture, gboolean up)
{
  gint64 end = g_get_monotonic_time () + WAIT_MAX;

  while (dp_server_state (fixture->server)->up != up && g_get_monotonic_time () < end)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  CU_ASSERT_EQUAL (dp_server_state (fixture->server)->up, up);
}

static guint
register_server (Fixture *fixture, guint16 port, const char *state)
{
  g_autofree char *body = g_strdup_printf (
      "{\"port\":%u,\"slots\":4,\"connections\":2000,\"state\":\"%s\"}", port, state);

  return send_request (fixture, "PUT", body, NULL);
}

static void
test_invalid_bodies (void)
{
  static const InvalidBody cases[] = {
    { "empty", "", "" },
    { "not JSON", "{", "" },
    { "no object", "[]", "$" },
    { "unknown key",
      "{\"port\":80,\"slots\":4,\"connections\":9,\"state\":\"ready\",\"x\":1}", "x" },
    { "port missing", "{\"slots\":4,\"connections\":9,\"state\":\"ready\"}", "$.port" },
    { "port 0", "{\"port\":0,\"slots\":4,\"connections\":9,\"state\":\"ready\"}",
      "$.port" },
    { "port over", "{\"port\":65536,\"slots\":4,\"connections\":9,\"state\":\"ready\"}",
      "$.port" },
    { "slots text", "{\"port\":80,\"slots\":\"4\",\"connections\":9,\"state\":\"ready\"}",
      "$.slots" },
    { "slots over", "{\"port\":80,\"slots\":1025,\"connections\":9,\"state\":\"ready\"}",
      "$.slots" },
    { "connections negative",
      "{\"port\":80,\"slots\":4,\"connections\":-1,\"state\":\"ready\"}",
      "$.connections" },
    { "state missing", "{\"port\":80,\"slots\":4,\"connections\":9}", "$.state" },
    { "state unknown", "{\"port\":80,\"slots\":4,\"connections\":9,\"state\":\"up\"}",
      "$.state" },
  };
  Fixture fixture;

  fixture_init (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = NULL;

      CU_ASSERT_EQUAL (send_request (&fixture, "PUT", cases[i].body, &text),
                       SOUP_STATUS_BAD_REQUEST);
      CU_ASSERT_PTR_NOT_NULL (strstr (text, cases[i].reason));
    }
  CU_ASSERT_EQUAL (fixture.changes, 0);
  CU_ASSERT_EQUAL (send_request (&fixture, "DELETE", "", NULL), SOUP_STATUS_NOT_FOUND);
  CU_ASSERT_EQUAL (send_request (&fixture, "POST", "", NULL),
                   SOUP_STATUS_METHOD_NOT_ALLOWED);
  fixture_finish (&fixture);
}

static void
test_lifecycle (void)
{
  const DpServerState *state;
  Fixture fixture;
  guint16 port = 0;
  int fd = listen_on (&port);

  fixture_init (&fixture);
  state = dp_server_state (fixture.server);
  CU_ASSERT_EQUAL (register_server (&fixture, port, "starting"), SOUP_STATUS_OK);
  CU_ASSERT_TRUE (state->registered && !state->ready && !state->up);
  CU_ASSERT_EQUAL (register_server (&fixture, port, "ready"), SOUP_STATUS_OK);
  await_up (&fixture, TRUE);
  CU_ASSERT_EQUAL (state->slots, 4);
  CU_ASSERT_EQUAL (state->connections, 2000);

  close (fd);
  await_up (&fixture, FALSE);
  fd = listen_on (&port);
  await_up (&fixture, TRUE);

  CU_ASSERT_EQUAL (send_request (&fixture, "DELETE", "", NULL), SOUP_STATUS_OK);
  CU_ASSERT_TRUE (state->registered && state->leaving);
  CU_ASSERT_EQUAL (register_server (&fixture, port, "ready"), SOUP_STATUS_OK);
  CU_ASSERT_FALSE (state->leaving);
  close (fd);
  fixture_finish (&fixture);
}

static const DpTestCase cases_[] = {
  { "invalid registrations get 400 with the reason", test_invalid_bodies },
  { "a server is up only while it accepts connections", test_lifecycle },
};

DP_TEST_MAIN ("server", cases_)
