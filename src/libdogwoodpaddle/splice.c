#include "protected/splice.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/connectattempt.h"

#define READ_SIZE (16 * 1024)   /* bytes per read from the socket */
#define MAX_EVENTS 64           /* socket events per system call */
#define SPLICES_PER_DISPATCH 32 /* then the main loop receives packets */

struct _DpSpliceSet
{
  GSource *source;
  gpointer epoll_tag; /* of epoll_fd in the source */
  int epoll_fd; /* so that the main loop polls one descriptor instead of every socket */
  GQueue ready[DP_SPLICE_PRIORITIES];     /* DpSplice.link of splices with work to do */
  guint round_left[DP_SPLICE_PRIORITIES]; /* splices still to serve in this round */
};

struct _DpSplice
{
  DpSpliceSet *set;
  DpConn *conn;
  int fd;
  guint priority;
  const DpSpliceListener *listener;
  gpointer user_data;
  GList link; /* in set->ready */
  gboolean queued;
  gboolean socket_readable;
  gboolean socket_writable;
  gboolean socket_ended;  /* no more bytes will come from the socket */
  gboolean socket_reset;  /* the socket failed or its peer has reset it */
  gboolean socket_shut;   /* no more bytes will be written to the socket */
  gboolean waiting;       /* request () returned FALSE; waiting for dp_splice_grant () */
  gboolean client_socket; /* the peer of the socket is the client, not the server */
  gboolean in_time_wait;  /* see dp_splice_in_time_wait () */
  guint64 acknowledged;   /* bytes already reported to progress () */
};

typedef struct
{
  GSource base;
  DpSpliceSet *set;
} SpliceSource;

static gboolean prepare_ (GSource *source, gint *timeout_ms);
static gboolean check_ (GSource *source);
static gboolean dispatch_ (GSource *source, GSourceFunc callback, gpointer data);
static gboolean has_work_ (const DpSpliceSet *set);
static void read_events_ (DpSpliceSet *set);
static DpSplice *next_splice_ (DpSpliceSet *set);
static void on_conn_changed_ (DpConn *conn, gpointer user_data);
static void queue_ (DpSplice *splice);
static void unlink_ (DpSplice *splice);
static void run_ (DpSplice *splice);
static gsize copy_to_socket_ (DpSplice *splice, gsize budget);
static gsize copy_to_conn_ (DpSplice *splice, gsize budget);
static void handle_write_error_ (DpSplice *splice);
static void report_progress_ (DpSplice *splice);
static gboolean end_if_finished_ (DpSplice *splice);
static void finish_ (DpSplice *splice, DpSpliceEnd end);
static void close_socket_ (DpSplice *splice, gboolean reset);
static void free_ (DpSplice *splice);

static const char *const end_strings_[] = {
  "closed",
  "reset by the client",
  "client stopped answering",
  "reset by the server",
};

G_STATIC_ASSERT (G_N_ELEMENTS (end_strings_) == DP_N_SPLICE_ENDS);

static GSourceFuncs source_funcs_ = {
  .prepare = prepare_,
  .check = check_,
  .dispatch = dispatch_,
};

/* Creates a set whose splices run on the default main context. */
DpSpliceSet *
dp_splice_set_new (void)
{
  DpSpliceSet *set = g_new0 (DpSpliceSet, 1);

  set->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (set->epoll_fd < 0)
    g_error ("epoll_create1: %s", g_strerror (errno));
  for (guint i = 0; i < DP_SPLICE_PRIORITIES; i++)
    g_queue_init (&set->ready[i]);
  set->source = g_source_new (&source_funcs_, sizeof (SpliceSource));
  ((SpliceSource *) set->source)->set = set;
  set->epoll_tag = g_source_add_unix_fd (set->source, set->epoll_fd, G_IO_IN);
  g_source_set_name (set->source, "splices");
  g_source_attach (set->source, NULL);
  return set;
}

/* Frees the set. All its splices must have ended. */
void
dp_splice_set_free (DpSpliceSet *set)
{
  if (set == NULL)
    return;
  g_source_destroy (set->source);
  g_source_unref (set->source);
  close (set->epoll_fd);
  g_free (set);
}

/* Creates a splice between an open connection and a connected, non-blocking socket and
 * takes ownership of both. Priority 0 is served first. listener and user_data must
 * outlive the splice. */
DpSplice *
dp_splice_new (DpSpliceSet *set,
               DpConn *conn,
               int fd,
               guint priority,
               const DpSpliceListener *listener,
               gpointer user_data)
{
  struct epoll_event event = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET };
  DpSplice *splice = g_new0 (DpSplice, 1);

  g_assert (priority < DP_SPLICE_PRIORITIES);
  splice->set = set;
  splice->conn = conn;
  splice->fd = fd;
  splice->priority = priority;
  splice->listener = listener;
  splice->user_data = user_data;
  splice->link.data = splice;
  splice->socket_readable = TRUE;
  splice->socket_writable = TRUE;
  splice->acknowledged = dp_conn_acknowledged (conn);
  event.data.ptr = splice;
  if (epoll_ctl (set->epoll_fd, EPOLL_CTL_ADD, fd, &event) < 0)
    g_error ("epoll_ctl: %s", g_strerror (errno));
  dp_conn_set_listener (conn, on_conn_changed_, splice);
  queue_ (splice);
  return splice;
}

/* Declares that the peer of the socket is the client; by default it is the server. A
 * reset by the client is passed on at once, a reset by the server only after the bytes
 * that the server sent before it. */
void
dp_splice_set_client_socket (DpSplice *splice)
{
  splice->client_socket = TRUE;
}

/* Lets the connection's bytes pass to the socket, after request () returned FALSE. */
void
dp_splice_grant (DpSplice *splice)
{
  splice->waiting = FALSE;
  queue_ (splice);
}

/* Resets both sides and frees the splice without calling ended (). */
void
dp_splice_abort (DpSplice *splice)
{
  close_socket_ (splice, TRUE);
  dp_conn_abort (splice->conn);
  free_ (splice);
}

/* Resets the socket, drops the connection without sending anything to its peer and frees
 * the splice without calling ended (). */
void
dp_splice_discard (DpSplice *splice)
{
  close_socket_ (splice, TRUE);
  dp_conn_discard (splice->conn);
  free_ (splice);
}

/* Returns whether the connection was closed normally and by this side first, so that the
 * stack keeps it in TIME_WAIT and still answers the peer. For use in ended () only. */
gboolean
dp_splice_in_time_wait (const DpSplice *splice)
{
  return splice->in_time_wait;
}

/* Returns a short description of how a splice ended. */
const char *
dp_splice_end_string (DpSpliceEnd end)
{
  g_assert (end < DP_N_SPLICE_ENDS);
  return end_strings_[end];
}

static gboolean
prepare_ (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  return has_work_ (((SpliceSource *) source)->set);
}

static gboolean
check_ (GSource *source)
{
  DpSpliceSet *set = ((SpliceSource *) source)->set;

  return g_source_query_unix_fd (source, set->epoll_tag) != 0 || has_work_ (set);
}

static gboolean
dispatch_ (GSource *source, GSourceFunc callback, gpointer data)
{
  DpSpliceSet *set = ((SpliceSource *) source)->set;

  read_events_ (set);
  for (guint i = 0; i < SPLICES_PER_DISPATCH; i++)
    {
      DpSplice *splice = next_splice_ (set);

      if (splice == NULL)
        break;
      run_ (splice);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
has_work_ (const DpSpliceSet *set)
{
  for (guint i = 0; i < DP_SPLICE_PRIORITIES; i++)
    {
      if (set->ready[i].length > 0)
        return TRUE;
    }
  return FALSE;
}

static void
read_events_ (DpSpliceSet *set)
{
  struct epoll_event events[MAX_EVENTS];
  int n = epoll_wait (set->epoll_fd, events, MAX_EVENTS, 0);

  for (int i = 0; i < n; i++)
    {
      const guint32 ended = EPOLLHUP | EPOLLERR | EPOLLRDHUP;
      DpSplice *splice = events[i].data.ptr;

      if ((events[i].events & (EPOLLIN | ended)) != 0)
        splice->socket_readable = TRUE;
      if ((events[i].events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0)
        splice->socket_writable = TRUE;
      queue_ (splice);
    }
}

/* Returns the next splice of the round, by priority. A round serves each splice that was
 * ready at its start once. A lower priority therefore waits until each splice of the
 * higher ones had its turn, not until they have nothing left to copy. */
static DpSplice *
next_splice_ (DpSpliceSet *set)
{
  for (guint pass = 0; pass < 2; pass++)
    {
      for (guint i = 0; i < DP_SPLICE_PRIORITIES; i++)
        {
          GList *link;

          if (set->round_left[i] == 0 || set->ready[i].length == 0)
            {
              set->round_left[i] = 0;
              continue;
            }
          set->round_left[i]--;
          link = g_queue_pop_head_link (&set->ready[i]);
          ((DpSplice *) link->data)->queued = FALSE;
          return link->data;
        }
      for (guint i = 0; i < DP_SPLICE_PRIORITIES; i++)
        set->round_left[i] = set->ready[i].length;
    }
  return NULL;
}

static void
on_conn_changed_ (DpConn *conn, gpointer user_data)
{
  queue_ (user_data);
}

static void
queue_ (DpSplice *splice)
{
  if (splice->queued)
    return;
  splice->queued = TRUE;
  g_queue_push_tail_link (&splice->set->ready[splice->priority], &splice->link);
}

static void
unlink_ (DpSplice *splice)
{
  if (!splice->queued)
    return;
  splice->queued = FALSE;
  g_queue_unlink (&splice->set->ready[splice->priority], &splice->link);
}

/* Copies at most DP_SPLICE_ROUND_BYTES bytes in both directions together, then ends the
 * splice if it is finished. */
static void
run_ (DpSplice *splice)
{
  gsize budget = DP_SPLICE_ROUND_BYTES;

  if (dp_conn_state (splice->conn) == DP_CONN_OPENING)
    return;
  budget -= copy_to_socket_ (splice, budget);
  budget -= copy_to_conn_ (splice, budget);
  report_progress_ (splice);
  if (end_if_finished_ (splice))
    return;
  if (budget == 0)
    queue_ (splice);
}

/* Copies bytes from the connection to the socket, and then shuts the socket down for
 * writing if the connection's peer has closed its direction. Returns the number of bytes
 * copied. */
static gsize
copy_to_socket_ (DpSplice *splice, gsize budget)
{
  const gsize before = budget;
  const guint8 *data;
  gsize length;

  while (budget > 0 && (length = dp_conn_readable (splice->conn, &data)) > 0)
    {
      ssize_t n;

      if (splice->socket_shut)
        {
          dp_conn_consume (splice->conn, length);
          continue;
        }
      length = MIN (length, budget);
      if (splice->waiting || !splice->socket_writable)
        break;
      if (splice->listener->request != NULL
          && !splice->listener->request (splice, length, splice->user_data))
        {
          splice->waiting = TRUE;
          break;
        }
      n = send (splice->fd, data, length, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n >= 0)
        {
          dp_conn_consume (splice->conn, (gsize) n);
          budget -= (gsize) n;
        }
      else if (errno == EAGAIN)
        splice->socket_writable = FALSE;
      else if (errno != EINTR)
        handle_write_error_ (splice);
    }
  if (dp_conn_read_ended (splice->conn) && dp_conn_readable (splice->conn, NULL) == 0
      && !splice->socket_shut)
    {
      splice->socket_shut = TRUE;
      shutdown (splice->fd, SHUT_WR);
    }
  return before - budget;
}

/* Copies bytes from the socket to the connection, and then shuts the connection down if
 * the socket's peer has closed its direction. end_if_finished_ () passes a reset on.
 * Returns the number of bytes copied. */
static gsize
copy_to_conn_ (DpSplice *splice, gsize budget)
{
  const gsize before = budget;
  guint8 chunk[READ_SIZE];
  gsize space;

  while (budget > 0 && splice->socket_readable && !splice->socket_ended
         && (space = dp_conn_space (splice->conn)) > 0)
    {
      ssize_t n = recv (splice->fd, chunk, MIN (MIN (space, budget), sizeof chunk),
                        MSG_DONTWAIT);

      if (n > 0)
        {
          if (!dp_conn_write (splice->conn, chunk, (gsize) n))
            {
              splice->socket_ended = TRUE;
              splice->socket_reset = TRUE;
              break;
            }
          budget -= (gsize) n;
          if (splice->listener->response != NULL)
            splice->listener->response (splice, (gsize) n,
                                        dp_conn_unacknowledged (splice->conn),
                                        splice->user_data);
        }
      else if (n < 0 && errno == EAGAIN)
        splice->socket_readable = FALSE;
      else if (n == 0 || errno != EINTR)
        {
          splice->socket_ended = TRUE;
          splice->socket_reset = splice->socket_reset || n < 0;
        }
    }
  if (splice->socket_ended && !splice->socket_reset)
    dp_conn_shutdown (splice->conn);
  return before - budget;
}

/* Handles a write error: the peer of the socket accepts no more bytes. Bytes that it sent
 * may still be readable, but the write has consumed the socket error that a read would
 * report after them, so the reset is recorded here. If the peer had closed its direction
 * before, the connection is closed normally too, and further bytes for the socket are
 * dropped. */
static void
handle_write_error_ (DpSplice *splice)
{
  splice->socket_shut = TRUE;
  splice->socket_readable = TRUE;
  if (!splice->socket_ended)
    splice->socket_reset = TRUE;
}

static void
report_progress_ (DpSplice *splice)
{
  guint64 acknowledged = dp_conn_acknowledged (splice->conn);
  guint64 bytes = acknowledged - splice->acknowledged;

  splice->acknowledged = acknowledged;
  if (bytes > 0 && splice->listener->progress != NULL)
    splice->listener->progress (splice, (gsize) bytes,
                                dp_conn_unacknowledged (splice->conn), splice->user_data);
}

/* Ends the splice if it is finished. Returns whether it was. */
static gboolean
end_if_finished_ (DpSplice *splice)
{
  gboolean unwritten = splice->client_socket && !splice->socket_shut
                       && dp_conn_readable (splice->conn, NULL) > 0;

  switch (dp_conn_state (splice->conn))
    {
    case DP_CONN_CLOSED:
      /* The last bytes of the connection may not have been written to the socket yet. */
      if (!splice->socket_shut)
        return FALSE;
      finish_ (splice, DP_SPLICE_CLOSED);
      return TRUE;
    case DP_CONN_RESET:
      if (unwritten)
        return FALSE;
      finish_ (splice, DP_SPLICE_CONN_RESET);
      return TRUE;
    case DP_CONN_TIMED_OUT:
      if (unwritten)
        return FALSE;
      finish_ (splice, DP_SPLICE_CONN_TIMEOUT);
      return TRUE;
    case DP_CONN_OPENING:
    case DP_CONN_OPEN:
    case DP_N_CONN_STATES:
      break;
    }
  if (!splice->socket_reset || !splice->socket_ended)
    return FALSE;
  if (!splice->client_socket && dp_conn_unacknowledged (splice->conn) > 0)
    return FALSE;
  finish_ (splice, DP_SPLICE_SOCKET_RESET);
  return TRUE;
}

static void
finish_ (DpSplice *splice, DpSpliceEnd end)
{
  close_socket_ (splice, end != DP_SPLICE_CLOSED);
  splice->in_time_wait = dp_conn_in_time_wait (splice->conn);
  if (end == DP_SPLICE_SOCKET_RESET)
    dp_conn_abort (splice->conn);
  else
    dp_conn_free (splice->conn);
  splice->conn = NULL;
  if (splice->listener->ended != NULL)
    splice->listener->ended (splice, end, splice->user_data);
  free_ (splice);
}

/* If reset is set, the socket is closed with a TCP reset, so that its peer can tell that
 * the connection was not closed normally. */
static void
close_socket_ (DpSplice *splice, gboolean reset)
{
  if (reset)
    dp_close_with_reset (splice->fd);
  else
    close (splice->fd);
}

static void
free_ (DpSplice *splice)
{
  unlink_ (splice);
  g_free (splice);
}
