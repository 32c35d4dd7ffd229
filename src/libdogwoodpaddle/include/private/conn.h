/* Connection internals that the stack needs. */
#pragma once

#include <lwip/tcp.h>

#include "protected/stack.h"

struct _DpConn
{
  DpStack *stack;
  struct tcp_pcb *pcb; /* NULL once lwIP has freed it or moved it to TIME_WAIT */
  DpConnState state;
  DpAddress local;
  DpAddress remote;
  DpConnFunc notify;
  gpointer user_data;
  gboolean accepted;     /* has been handed to its owner */
  gboolean queued;       /* in stack->changed */
  gboolean closing;      /* in stack->closing */
  gboolean in_time_wait; /* lwIP keeps the pcb in TIME_WAIT to answer late packets */
  gboolean read_ended;
  gboolean shut_down;
  guint8 *buffer; /* unread data is at [start, end); NULL if there is none */
  gsize capacity;
  gsize start;
  gsize end;
  guint64 written;
  guint64 acknowledged;
};

DpConn *dp_conn_new (DpStack *stack, struct tcp_pcb *pcb, DpConnState state);
void dp_conn_detach (DpConn *conn);

/* Maintenance of the lists of the stack. */
void dp_stack_add_changed (DpStack *stack, DpConn *conn);
void dp_stack_add_closing (DpStack *stack, DpConn *conn);
void dp_stack_remove_conn (DpStack *stack, DpConn *conn);
