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

static int begin_ (DpConnectAttempt *connecting, const DpAddress *address);
static gboolean writable_ (gint fd, GIOCondition condition, gpointer user_data);
static gboolean failed_ (gpointer user_data);
static gboolean timed_out_ (gpointer user_data);
static void finish_ (DpConnectAttempt *connecting);

/* Starts to open a connection. Calls done once, later, from the main loop, unless
 * dp_connect_attempt_cancel () is called before. */
DpConnectAttempt *
dp_connect_attempt_new (const DpAddress *address,
                        guint timeout_ms,
                        DpConnectAttemptFunc done,
                        gpointer user_data)
{
  DpConnectAttempt *connecting = g_new0 (DpConnectAttempt, 1);

  connecting->done = done;
  connecting->user_data = user_data;
  connecting->error_number = begin_ (connecting, address);
  if (connecting->error_number == 0)
    {
      connecting->source = g_unix_fd_add (connecting->fd, G_IO_OUT | G_IO_ERR, writable_,
                                          connecting);
      connecting->timer = g_timeout_add (timeout_ms, timed_out_, connecting);
    }
  else
    connecting->source = g_idle_add_full (G_PRIORITY_DEFAULT, failed_, connecting, NULL);
  return connecting;
}

/* Abandons the attempt and frees it; done is not called. */
void
dp_connect_attempt_cancel (DpConnectAttempt *connecting)
{
  if (connecting == NULL)
    return;
  g_clear_handle_id (&connecting->source, g_source_remove);
  g_clear_handle_id (&connecting->timer, g_source_remove);
  if (connecting->fd >= 0)
    close (connecting->fd);
  g_free (connecting);
}

/* Closes a TCP socket with a reset (RST) to its peer. */
void
dp_close_with_reset (int fd)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Returns 0 or an errno value. After an error, connecting->fd may be open or -1. */
static int
begin_ (DpConnectAttempt *connecting, const DpAddress *address)
{
  const int one = 1;
  struct sockaddr_in name = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (address->ip),
    .sin_port = htons (address->port),
  };

  connecting->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connecting->fd < 0)
    return errno;
  setsockopt (connecting->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (connecting->fd, (struct sockaddr *) &name, sizeof name) < 0
      && errno != EINPROGRESS)
    return errno;
  return 0;
}

static gboolean
writable_ (gint fd, GIOCondition condition, gpointer user_data)
{
  DpConnectAttempt *connecting = user_data;
  socklen_t length = sizeof connecting->error_number;

  connecting->source = 0;
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &connecting->error_number, &length) < 0)
    connecting->error_number = errno;
  finish_ (connecting);
  return G_SOURCE_REMOVE;
}

static gboolean
failed_ (gpointer user_data)
{
  DpConnectAttempt *connecting = user_data;

  connecting->source = 0;
  finish_ (connecting);
  return G_SOURCE_REMOVE;
}

static gboolean
timed_out_ (gpointer user_data)
{
  DpConnectAttempt *connecting = user_data;

  connecting->timer = 0;
  connecting->error_number = ETIMEDOUT;
  finish_ (connecting);
  return G_SOURCE_REMOVE;
}

static void
finish_ (DpConnectAttempt *connecting)
{
  int fd = connecting->fd;

  if (connecting->error_number == 0)
    connecting->fd = -1;
  else
    fd = -1;
  connecting->done (fd, connecting->error_number, connecting->user_data);
  dp_connect_attempt_cancel (connecting);
}
