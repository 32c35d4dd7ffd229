/* Test bench: both ends of connections in one stack, joined by a wire that can lose and
 * delay packets; on each end a splice to a real TCP socket on loopback. */
#pragma once

#include "protected/splice.h"

typedef struct
{
  DpTestClock clock;
  DpStack *stack;
  DpSpliceSet *splices;
  GQueue wire;        /* packets under way */
  gint64 delay;       /* us of each packet */
  guint lose_each;    /* every so many packets one is lost; 0: none */
  guint n_packets;    /* that were sent */
  guint n_resets;     /* of them */
  guint32 syn_answer; /* sequence number of the last SYN-ACK */
  DpConn *accepted;   /* the last one */
  DpSplice *near;     /* joins near_fd with the active connection */
  DpSplice *far;      /* joins far_fd with the accepted connection */
  int near_fd;
  int far_fd;
  gboolean near_ended;
  gboolean far_ended;
  DpSpliceEnd near_end;
  DpSpliceEnd far_end;
  gboolean refuse_requests;
  gsize responses; /* bytes reported by the far splice */
  gsize progress;
} DpStackFixture;

void dp_stack_fixture_init (DpStackFixture *wire);
void dp_stack_fixture_finish (DpStackFixture *wire);
/* Carries packets and runs the main loop until nothing is left to do now. */
void dp_stack_fixture_run_until_idle (DpStackFixture *wire);
/* Advances the paused clock in steps and settles after each. */
void dp_stack_fixture_advance (DpStackFixture *wire, gint64 us);
/* Opens a connection and both splices. */
void dp_stack_fixture_connect (DpStackFixture *wire);
/* Makes a pair of connected TCP sockets. */
void dp_stack_fixture_socket_pair (int fds[2]);
