#include "private/conn.h"

#include <string.h>

#include <lwip/priv/tcp_priv.h>

#define READ_BUFFER_INITIAL_SIZE 2048 /* bytes */
/* An idle peer that answers none of the probes is detected after 3 minutes. */
#define KEEPALIVE_IDLE_MS 120000
#define KEEPALIVE_INTERVAL_MS 15000
#define KEEPALIVE_PROBES 4

static err_t on_received_ (void *arg, struct tcp_pcb *pcb, struct pbuf *p, err_t err);
static err_t on_sent_ (void *arg, struct tcp_pcb *pcb, u16_t length);
static void on_error_ (void *arg, err_t err);
static void append_ (DpConn *conn, const struct pbuf *p);

static const char *const state_strings_[] = {
  "opening", "open", "closed", "reset", "timed out",
};

G_STATIC_ASSERT (G_N_ELEMENTS (state_strings_) == DP_N_CONN_STATES);

/* Creates the connection for a pcb and installs the callbacks of the pcb. */
DpConn *
dp_conn_new (DpStack *stack, struct tcp_pcb *pcb, DpConnState state)
{
  DpConn *conn = g_new0 (DpConn, 1);

  conn->stack = stack;
  conn->pcb = pcb;
  conn->state = state;
  tcp_arg (pcb, conn);
  tcp_recv (pcb, on_received_);
  tcp_sent (pcb, on_sent_);
  tcp_err (pcb, on_error_);
  /* The splice writes what the other side sent together in one piece, so Nagle's
   * algorithm would only add delay. */
  tcp_nagle_disable (pcb);
  ip_set_option (pcb, SOF_KEEPALIVE);
  pcb->keep_idle = KEEPALIVE_IDLE_MS;
  pcb->keep_intvl = KEEPALIVE_INTERVAL_MS;
  pcb->keep_cnt = KEEPALIVE_PROBES;
  return conn;
}

/* Sets the function to call after each change, or NULL. */
void
dp_conn_set_listener (DpConn *conn, DpConnFunc changed, gpointer user_data)
{
  conn->notify = changed;
  conn->user_data = user_data;
}

/* Returns the state. Bytes received before the connection ended stay readable. */
DpConnState
dp_conn_state (const DpConn *conn)
{
  return conn->state;
}

/* Returns whether the connection is closed and in TIME_WAIT, in which lwIP answers late
 * packets. */
gboolean
dp_conn_in_time_wait (const DpConn *conn)
{
  return conn->in_time_wait;
}

/* Returns a short name of the state. */
const char *
dp_conn_state_string (DpConnState state)
{
  g_assert (state < DP_N_CONN_STATES);
  return state_strings_[state];
}

/* Returns the local address. For an accepted connection it is the address that the client
 * connected to. */
DpAddress
dp_conn_local (const DpConn *conn)
{
  return conn->local;
}

/* Returns the address of the peer. */
DpAddress
dp_conn_remote (const DpConn *conn)
{
  return conn->remote;
}

/* Returns the number of received bytes that were not consumed yet. If data is not NULL,
 * it is set to these bytes, or to NULL if there are none. They are valid until the next
 * call into the stack. */
gsize
dp_conn_readable (const DpConn *conn, const guint8 **data)
{
  if (data != NULL)
    *data = conn->buffer == NULL ? NULL : conn->buffer + conn->start;
  return conn->end - conn->start;
}

/* Returns whether the peer has closed its sending direction, so that nothing follows the
 * readable bytes. */
gboolean
dp_conn_read_ended (const DpConn *conn)
{
  return conn->read_ended;
}

/* Removes readable bytes and opens the receive window by length. */
void
dp_conn_consume (DpConn *conn, gsize length)
{
  g_assert (length <= conn->end - conn->start);
  conn->start += length;
  if (conn->start == conn->end)
    {
      g_clear_pointer (&conn->buffer, g_free);
      conn->capacity = 0;
      conn->start = 0;
      conn->end = 0;
    }
  if (conn->pcb == NULL)
    return;
  tcp_recved (conn->pcb, (u16_t) length);
}

/* Returns how many bytes dp_conn_write () accepts now. */
gsize
dp_conn_space (const DpConn *conn)
{
  gsize n_buffers;

  if (conn->pcb == NULL || conn->state != DP_CONN_OPEN || conn->shut_down)
    return 0;
  if (tcp_sndqueuelen (conn->pcb) + 2 >= TCP_SND_QUEUELEN)
    return 0;
  /* A write needs at most one buffer per full segment and one for a partial segment. */
  n_buffers = TCP_SND_QUEUELEN - tcp_sndqueuelen (conn->pcb) - 2;
  return MIN (tcp_sndbuf (conn->pcb), n_buffers * tcp_mss (conn->pcb));
}

/* Sends a copy of at most dp_conn_space () bytes. Returns FALSE if out of memory. */
gboolean
dp_conn_write (DpConn *conn, const guint8 *data, gsize length)
{
  err_t err;

  g_assert (length <= dp_conn_space (conn));
  err = tcp_write (conn->pcb, data, (u16_t) length, TCP_WRITE_FLAG_COPY);
  if (err != ERR_OK)
    return FALSE;
  conn->written += length;
  tcp_output (conn->pcb);
  return TRUE;
}

/* Returns how many of the written bytes the peer has not acknowledged yet. */
gsize
dp_conn_unacknowledged (const DpConn *conn)
{
  return conn->written - conn->acknowledged;
}

/* Returns the total number of bytes that the peer has acknowledged. */
guint64
dp_conn_acknowledged (const DpConn *conn)
{
  return conn->acknowledged;
}

/* Closes the sending direction after the bytes already written. */
void
dp_conn_shutdown (DpConn *conn)
{
  if (conn->shut_down || conn->pcb == NULL)
    return;
  g_assert (conn->state == DP_CONN_OPEN);
  conn->shut_down = TRUE;
  tcp_shutdown (conn->pcb, 0, 1);
}

/* Resets the connection if it is still open, and frees it. */
void
dp_conn_abort (DpConn *conn)
{
  struct tcp_pcb *pcb = conn->pcb;

  dp_conn_detach (conn);
  if (pcb != NULL)
    tcp_abort (pcb);
  dp_conn_free (conn);
}

/* Frees the connection without sending anything to the peer. */
void
dp_conn_discard (DpConn *conn)
{
  struct tcp_pcb *pcb = conn->pcb;

  dp_conn_detach (conn);
  if (pcb != NULL)
    tcp_abandon (pcb, 0);
  dp_conn_free (conn);
}

/* Frees the connection. If it is still open, lwIP closes it normally, or resets it if
 * received bytes were not consumed. */
void
dp_conn_free (DpConn *conn)
{
  struct tcp_pcb *pcb;

  if (conn == NULL)
    return;
  pcb = conn->pcb;
  dp_conn_detach (conn);
  if (pcb != NULL)
    tcp_close (pcb);
  dp_stack_remove_conn (conn->stack, conn);
  g_free (conn->buffer);
  g_free (conn);
}

/* Removes the callbacks from the pcb and clears conn->pcb, but frees neither the
 * connection nor the pcb. The caller closes or aborts the pcb, unless the pcb is in
 * TIME_WAIT, where lwIP frees it. */
void
dp_conn_detach (DpConn *conn)
{
  if (conn->pcb == NULL)
    return;
  tcp_arg (conn->pcb, NULL);
  tcp_recv (conn->pcb, NULL);
  tcp_sent (conn->pcb, NULL);
  tcp_err (conn->pcb, NULL);
  conn->pcb = NULL;
}

static err_t
on_received_ (void *arg, struct tcp_pcb *pcb, struct pbuf *p, err_t err)
{
  DpConn *conn = arg;

  if (p != NULL)
    {
      append_ (conn, p);
      pbuf_free (p);
    }
  else
    {
      conn->read_ended = TRUE;
      dp_stack_add_closing (conn->stack, conn);
    }
  dp_stack_add_changed (conn->stack, conn);
  return ERR_OK;
}

static err_t
on_sent_ (void *arg, struct tcp_pcb *pcb, u16_t length)
{
  DpConn *conn = arg;

  conn->acknowledged += length;
  dp_stack_add_changed (conn->stack, conn);
  return ERR_OK;
}

/* Called by lwIP after it has freed the pcb. */
static void
on_error_ (void *arg, err_t err)
{
  DpConn *conn = arg;

  conn->pcb = NULL;
  if (err == ERR_CLSD)
    {
      conn->state = DP_CONN_CLOSED;
      conn->acknowledged = conn->written;
    }
  else
    conn->state = err == ERR_RST ? DP_CONN_RESET : DP_CONN_TIMED_OUT;
  dp_stack_add_changed (conn->stack, conn);
}

/* Copies received bytes into a single buffer. Keeping the pbufs would cost a buffer of
 * several hundred bytes for each small segment. */
static void
append_ (DpConn *conn, const struct pbuf *p)
{
  gsize used = conn->end - conn->start;

  if (conn->end + p->tot_len > conn->capacity && conn->start > 0)
    {
      memmove (conn->buffer, conn->buffer + conn->start, used);
      conn->start = 0;
      conn->end = used;
    }
  if (conn->end + p->tot_len > conn->capacity)
    {
      conn->capacity = MAX (conn->capacity * 2, READ_BUFFER_INITIAL_SIZE);
      conn->capacity = MAX (conn->capacity, conn->end + p->tot_len);
      conn->buffer = g_realloc (conn->buffer, conn->capacity);
    }
  pbuf_copy_partial (p, conn->buffer + conn->end, p->tot_len, 0);
  conn->end += p->tot_len;
}
