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
} DpWire;

void dp_wire_init (DpWire *wire);
void dp_wire_finish (DpWire *wire);
/* Carries packets and runs the main loop until nothing is left to do now. */
void dp_wire_settle (DpWire *wire);
/* Advances the paused clock in steps and settles after each. */
void dp_wire_advance (DpWire *wire, gint64 us);
/* Opens a connection and both splices. */
void dp_wire_open (DpWire *wire);
/* Makes a pair of connected TCP sockets. */
void dp_wire_socket_pair (int fds[2]);
