/* Stateful testing: runs random sequences of commands (histories) on the simulation of
 * driver.h, which checks them against its rules, and shrinks a history that violates a
 * rule. */
#pragma once

#include "driver.h"

typedef enum
{
  OP_OPEN,
  OP_SEND,
  OP_RESPOND,
  OP_CLOSE,
  OP_RESEND_SYN,
  OP_STALE_ACK, /* an ACK that fits no SYN-ACK of the flow */
  OP_FOREIGN,   /* sends a packet of another service to a host */
  OP_JOIN,
  OP_ACTIVATE,
  OP_LEAVE,
  OP_END, /* ends a leaving host without flows */
  OP_KILL,
  OP_PAUSE,
  OP_RESUME,
  OP_SERVER_RESET, /* makes a flow's connection to the server fail */
  OP_SERVER_DOWN,
  OP_SERVER_UP,
  OP_UPDATE_HOST,
  OP_UPDATE_BALANCER,
  OP_UPDATE_ALL,
  OP_REPLACE_BALANCER,
  OP_DISCONNECT, /* cuts a host off from its peers: it gets no views */
  OP_RECONNECT,
  OP_ADVANCE,
  OP_ADVANCE_LONG,
  OP_NETWORK, /* changes the rates of loss and duplication, and reordering */
  N_OPS
} Op;

typedef struct
{
  guint8 op;
  guint16 argument;
} Command;

typedef struct
{
  guint64 commands;
  guint64 flows;
  guint64 requests;
  guint64 members_visited_max;
} StatefulCount;

const char *stateful_op_string (Op op);
GArray *stateful_generate (guint64 seed, guint n_commands);
/* Runs the commands; the seed determines the simulation's own random choices. Returns the
 * violated rule, to be freed with g_free (), or NULL. count and trace may be NULL; trace
 * gets a line for each command and decision. */
char *stateful_run (const GArray *commands,
                    guint64 seed,
                    DpMutant mutant,
                    StatefulCount *count,
                    GString *trace);
/* Removes commands as long as some rule is still violated. Returns a new array. */
GArray *stateful_shrink (const GArray *commands, guint64 seed, DpMutant mutant);
char *stateful_format (const GArray *commands);
GArray *stateful_parse (const char *text, GError **error);
