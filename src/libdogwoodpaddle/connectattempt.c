#include "private/connectattempt.h"

#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

struct _DpConnectAttempt
{
  int fd;
  int error_number;
  guint source; /* source id */
  guint timer;  /* source id */
  DpConnectAttemptFunc done;
  gpointer user_data;
};

static int start_connect_ (DpConnectAttempt *attempt, const DpAddress *address);
static gboolean writable_ (gint fd, GIOCondition condition, gpointer user_data);
static gboolean report_failure_ (gpointer user_data);
static gboolean timed_out_ (gpointer user_data);
static void finish_ (DpConnectAttempt *attempt);

/* Starts to open a connection. Calls done once, later, from the main loop, unless
 * dp_connect_attempt_cancel () is called before. */
DpConnectAttempt *
dp_connect_attempt_new (const DpAddress *address,
                        guint timeout_ms,
                        DpConnectAttemptFunc done,
                        gpointer user_data)
{
  DpConnectAttempt *attempt = g_new0 (DpConnectAttempt, 1);

  attempt->done = done;
  attempt->user_data = user_data;
  attempt->error_number = start_connect_ (attempt, address);
  if (attempt->error_number == 0)
    {
      attempt->source = g_unix_fd_add (attempt->fd, G_IO_OUT | G_IO_ERR, writable_,
                                       attempt);
      attempt->timer = g_timeout_add (timeout_ms, timed_out_, attempt);
    }
  else
    attempt->source = g_idle_add_full (G_PRIORITY_DEFAULT, report_failure_, attempt,
                                       NULL);
  return attempt;
}

/* Abandons the attempt and frees it; done is not called. */
void
dp_connect_attempt_cancel (DpConnectAttempt *attempt)
{
  if (attempt == NULL)
    return;
  g_clear_handle_id (&attempt->source, g_source_remove);
  g_clear_handle_id (&attempt->timer, g_source_remove);
  if (attempt->fd >= 0)
    close (attempt->fd);
  g_free (attempt);
}

/* Closes a TCP socket with a reset (RST) to its peer. */
void
dp_close_with_reset (int fd)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Returns 0 or an errno value. After an error, attempt->fd may be open or -1. */
static int
start_connect_ (DpConnectAttempt *attempt, const DpAddress *address)
{
  const int one = 1;
  struct sockaddr_in name = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (address->ip),
    .sin_port = htons (address->port),
  };

  attempt->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (attempt->fd < 0)
    return errno;
  setsockopt (attempt->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (attempt->fd, (struct sockaddr *) &name, sizeof name) < 0
      && errno != EINPROGRESS)
    return errno;
  return 0;
}

static gboolean
writable_ (gint fd, GIOCondition condition, gpointer user_data)
{
  DpConnectAttempt *attempt = user_data;
  socklen_t length = sizeof attempt->error_number;

  attempt->source = 0;
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &attempt->error_number, &length) < 0)
    attempt->error_number = errno;
  finish_ (attempt);
  return G_SOURCE_REMOVE;
}

static gboolean
report_failure_ (gpointer user_data)
{
  DpConnectAttempt *attempt = user_data;

  attempt->source = 0;
  finish_ (attempt);
  return G_SOURCE_REMOVE;
}

static gboolean
timed_out_ (gpointer user_data)
{
  DpConnectAttempt *attempt = user_data;

  attempt->timer = 0;
  attempt->error_number = ETIMEDOUT;
  finish_ (attempt);
  return G_SOURCE_REMOVE;
}

static void
finish_ (DpConnectAttempt *attempt)
{
  int fd = attempt->fd;

  if (attempt->error_number == 0)
    attempt->fd = -1;
  else
    fd = -1;
  attempt->done (fd, attempt->error_number, attempt->user_data);
  dp_connect_attempt_cancel (attempt);
}
