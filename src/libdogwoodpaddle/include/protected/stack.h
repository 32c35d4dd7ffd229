/* User-space TCP: lwIP on the GLib main loop, in one thread. One stack per process.
 *
 * To accept connections, call dp_stack_listen () and pass the packets of clients to
 * dp_stack_input (). The listener's accepted () receives each connection after its
 * handshake. To open connections, call dp_stack_connect () with any source address and
 * port. Neither end of a connection may have an address in 127.0.0.0/8. */
#pragma once

#include <glib.h>

#include "protected/address.h"
#include "protected/clock.h"
#include "protected/segment.h"

typedef struct _DpStack DpStack;
typedef struct _DpConn DpConn;

typedef enum
{
  DP_CONN_OPENING,   /* the handshake is in progress */
  DP_CONN_OPEN,      /* at least one direction is open or has unacknowledged bytes */
  DP_CONN_CLOSED,    /* both directions were closed and acknowledged */
  DP_CONN_RESET,     /* reset by the peer */
  DP_CONN_TIMED_OUT, /* the peer didn't answer retransmissions or keepalive probes */
  DP_N_CONN_STATES
} DpConnState;

typedef struct
{
  /* Sends an IPv4 packet. packet and segment are valid during the call only, and the
   * segment's key has the packet's source as client. Must not call into the stack. */
  void (*output) (const guint8 *packet,
                  gsize length,
                  const DpSegment *segment,
                  gpointer user_data);
  /* A connection to a listening address is open. The callee becomes its owner. */
  void (*accepted) (DpConn *conn, gpointer user_data);
} DpStackListener;

/* Called when bytes arrived, send space became available, bytes were acknowledged or the
 * state changed; the callee must check which. It may free the connection. */
typedef void (*DpConnFunc) (DpConn *conn, gpointer user_data);

DpStack *
dp_stack_new (DpClock *clock, const DpStackListener *listener, gpointer user_data);
void dp_stack_free (DpStack *stack);
gboolean dp_stack_listen (DpStack *stack, const DpAddress *address, GError **error);
void dp_stack_unlisten (DpStack *stack, const DpAddress *address);
void dp_stack_input (DpStack *stack,
                     const guint8 *packet,
                     gsize length,
                     const DpSegment *segment);
void dp_stack_run_timers (DpStack *stack);
gboolean
dp_stack_discard (DpStack *stack, const DpAddress *local, const DpAddress *remote);
gboolean dp_stack_abort (DpStack *stack, const DpAddress *local, const DpAddress *remote);

DpConn *dp_stack_connect (DpStack *stack,
                          const DpAddress *local,
                          const DpAddress *remote,
                          GError **error);
void dp_conn_set_listener (DpConn *conn, DpConnFunc changed, gpointer user_data);
DpConnState dp_conn_state (const DpConn *conn);
gboolean dp_conn_in_time_wait (const DpConn *conn);
const char *dp_conn_state_string (DpConnState state);
DpAddress dp_conn_local (const DpConn *conn);
DpAddress dp_conn_remote (const DpConn *conn);
gsize dp_conn_readable (const DpConn *conn, const guint8 **data);
gboolean dp_conn_read_ended (const DpConn *conn);
void dp_conn_consume (DpConn *conn, gsize length);
gsize dp_conn_space (const DpConn *conn);
gboolean dp_conn_write (DpConn *conn, const guint8 *data, gsize length);
gsize dp_conn_unacknowledged (const DpConn *conn);
guint64 dp_conn_acknowledged (const DpConn *conn);
void dp_conn_shutdown (DpConn *conn);
void dp_conn_abort (DpConn *conn);
void dp_conn_discard (DpConn *conn);
void dp_conn_free (DpConn *conn);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpStack, dp_stack_free)
