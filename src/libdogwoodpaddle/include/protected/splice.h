/* Joins connections of the stack with ordinary TCP sockets and copies bytes both ways. */
#pragma once

#include <glib.h>

#include "protected/stack.h"

#define DP_SPLICE_PRIORITIES 3            /* 0 is served first in each round */
#define DP_SPLICE_ROUND_BYTES (64 * 1024) /* bytes of one flow in one round */

/* All splices of a process; serves them in rounds on the default main context. */
typedef struct _DpSpliceSet DpSpliceSet;
typedef struct _DpSplice DpSplice;

typedef enum
{
  DP_SPLICE_CLOSED,       /* both directions ended in order */
  DP_SPLICE_CONN_RESET,   /* the stack's peer reset the connection */
  DP_SPLICE_CONN_TIMEOUT, /* the stack's peer stopped answering */
  DP_SPLICE_SOCKET_RESET, /* the socket's peer reset the connection */
  DP_N_SPLICE_ENDS
} DpSpliceEnd;

/* Each function may be NULL. Only ended () may free a splice, and only another one. */
typedef struct
{
  /* The connection has bytes for the socket. FALSE: they stay in the receive window until
   * dp_splice_grant (). */
  gboolean (*request) (DpSplice *splice, gsize bytes, gpointer user_data);
  /* The socket gave bytes; unsent bytes are not acknowledged by the stack's peer yet. */
  void (*response) (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data);
  /* The stack's peer acknowledged bytes; unsent ones are left. */
  void (*progress) (DpSplice *splice, gsize bytes, gsize unsent, gpointer user_data);
  /* Both sides are closed or reset; the splice is freed after the call. */
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
/* In ended (): whether the stack keeps the connection in TIME_WAIT. */
gboolean dp_splice_in_time_wait (const DpSplice *splice);
const char *dp_splice_end_string (DpSpliceEnd end);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpSpliceSet, dp_splice_set_free)
