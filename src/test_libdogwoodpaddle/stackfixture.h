/* Test fixture: a stack with both ends of a connection, joined by a simulated link that
 * can lose and delay packets. A splice connects each end to a TCP socket on loopback. */
#pragma once

#include "protected/splice.h"

typedef struct
{
  DpTestClock clock;
  DpStack *stack;
  DpSpliceSet *splices;
  GQueue in_flight;    /* packets in flight */
  gint64 delay;        /* us; one-way delay of each packet */
  guint loss_interval; /* the link loses every n-th packet; 0: none */
  guint n_packets;     /* sent by the stack, including lost ones */
  guint n_resets;      /* sent by the stack */
  guint32 syn_ack_seq; /* sequence number of the last SYN-ACK */
  DpConn *accepted;    /* the connection accepted last */
  DpSplice *client;    /* between client_fd and the connection opened by the client */
  DpSplice *server;    /* between server_fd and the accepted connection */
  int client_fd;
  int server_fd;
  gboolean client_ended;
  gboolean server_ended;
  DpSpliceEnd client_end;
  DpSpliceEnd server_end;
  gboolean hold_requests;
  gsize responses; /* bytes; reported by the server splice */
  gsize progress;
} DpStackFixture;

void dp_stack_fixture_init (DpStackFixture *fixture);
void dp_stack_fixture_finish (DpStackFixture *fixture);
/* Delivers packets that are due and runs the main loop until there is no more work. */
void dp_stack_fixture_run_until_idle (DpStackFixture *fixture);
/* Advances the paused clock by us microseconds in small steps, with timers, packets and
 * the main loop run after each step. */
void dp_stack_fixture_advance (DpStackFixture *fixture, gint64 us);
/* Opens a connection and creates the client's and the server's splice. */
void dp_stack_fixture_connect (DpStackFixture *fixture);
/* Creates a pair of connected TCP sockets. The second one is non-blocking. */
void dp_stack_fixture_socket_pair (int fds[2]);
