/* Connections of the stack, as far as the stack itself needs to know them. */
#pragma once

#include <lwip/tcp.h>

#include "protected/stack.h"

struct _DpConn
{
  DpStack *stack;
  struct tcp_pcb *pcb; /* NULL once lwIP has freed it or keeps it in TIME_WAIT */
  DpConnState state;
  DpAddress local;
  DpAddress remote;
  DpConnFunc notify;
  gpointer user_data;
  gboolean accepted;  /* the owner knows of it */
  gboolean queued;    /* is in stack->changed */
  gboolean closing;   /* is in stack->closing */
  gboolean time_wait; /* lwIP keeps the pcb to answer late packets */
  gboolean read_ended;
  gboolean shut_down;
  guint8 *buffer; /* received bytes from start to end, NULL if there are none */
  gsize capacity;
  gsize start;
  gsize end;
  guint64 written;
  guint64 acknowledged;
};

DpConn *dp_conn_new (DpStack *stack, struct tcp_pcb *pcb, DpConnState state);
void dp_conn_detach (DpConn *conn);

/* Lists of the stack. */
void dp_stack_add_changed (DpStack *stack, DpConn *conn);
void dp_stack_add_closing (DpStack *stack, DpConn *conn);
void dp_stack_remove_conn (DpStack *stack, DpConn *conn);
