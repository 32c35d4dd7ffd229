/* Copies bytes both ways between connections of the stack and kernel TCP sockets. */
#pragma once

#include <glib.h>

#include "protected/stack.h"

#define DP_SPLICE_PRIORITIES 3            /* 0 is served first in each round */
#define DP_SPLICE_ROUND_BYTES (64 * 1024) /* bytes copied for one splice per round */

/* All splices of a process, served round-robin on the default main context. */
typedef struct _DpSpliceSet DpSpliceSet;
typedef struct _DpSplice DpSplice;

typedef enum
{
  DP_SPLICE_CLOSED,       /* both directions were closed normally */
  DP_SPLICE_CONN_RESET,   /* the peer of the stack connection reset it */
  DP_SPLICE_CONN_TIMEOUT, /* the peer of the stack connection stopped responding */
  DP_SPLICE_SOCKET_RESET, /* the peer of the socket reset it */
  DP_N_SPLICE_ENDS
} DpSpliceEnd;

/* Each function may be NULL. Only ended () may free splices, but not the one it is called
 * for. */
typedef struct
{
  /* The connection has bytes for the socket. Return FALSE to leave them in the receive
   * buffer until dp_splice_grant (). */
  gboolean (*request) (DpSplice *splice, gsize bytes, gpointer user_data);
  /* Bytes were copied from the socket to the connection. unacknowledged counts all bytes
   * that the peer of the stack connection has not acknowledged yet. */
  void (*response) (DpSplice *splice,
                    gsize bytes,
                    gsize unacknowledged,
                    gpointer user_data);
  /* The peer of the stack connection acknowledged bytes. unacknowledged counts those that
   * are left. */
  void (*progress) (DpSplice *splice,
                    gsize bytes,
                    gsize unacknowledged,
                    gpointer user_data);
  /* The splice has ended: both sides were closed, or one was reset or timed out. It is
   * freed after the call. */
  void (*ended) (DpSplice *splice, DpSpliceEnd end, gpointer user_data);
} DpSpliceListener;

DpSpliceSet *dp_splice_set_new (void);
void dp_splice_set_free (DpSpliceSet *set);

DpSplice *dp_splice_new (DpSpliceSet *set,
                         DpConn *conn,
                         int fd,
                         guint priority,
                         const DpSpliceListener *listener,
                         gpointer user_data);
void dp_splice_set_client_socket (DpSplice *splice);
void dp_splice_grant (DpSplice *splice);
void dp_splice_abort (DpSplice *splice);
void dp_splice_discard (DpSplice *splice);
/* Returns whether the stack keeps the connection in TIME_WAIT. To be called from ended ()
 * only. */
gboolean dp_splice_in_time_wait (const DpSplice *splice);
const char *dp_splice_end_string (DpSpliceEnd end);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpSpliceSet, dp_splice_set_free)
