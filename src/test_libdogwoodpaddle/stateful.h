/* Random histories of commands against the model of driver.h, with an oracle that is the
 * driver's list of rules, and a search for a shorter history that breaks the same rule.
 */
#pragma once

#include "driver.h"

typedef enum
{
  OP_OPEN,
  OP_SEND,
  OP_RESPOND,
  OP_CLOSE,
  OP_RESEND_SYN,
  OP_STALE_ACK, /* an acknowledgement that fits no answer to the flow's SYN */
  OP_FOREIGN,   /* a packet of another service sent to a host */
  OP_JOIN,
  OP_ACTIVATE,
  OP_LEAVE,
  OP_END, /* of a leaving host without flows */
  OP_KILL,
  OP_PAUSE,
  OP_RESUME,
  OP_SERVER_RESET, /* of a flow's connection to the server */
  OP_SERVER_DOWN,
  OP_SERVER_UP,
  OP_UPDATE_HOST,
  OP_UPDATE_BALANCER,
  OP_UPDATE_ALL,
  OP_REPLACE_BALANCER,
  OP_DISCONNECT, /* a host from its peers: it gets no views */
  OP_RECONNECT,
  OP_ADVANCE,
  OP_ADVANCE_LONG,
  OP_NETWORK, /* other shares of loss, duplicates and reordering */
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
  guint64 hops_max;
} StatefulCount;

const char *stateful_op_string (Op op);
GArray *stateful_generate (guint64 seed, guint n_commands);
/* Returns the broken rule, or NULL; free with g_free (). count and trace may be NULL;
 * trace gets each command and decision. */
char *stateful_run (const GArray *commands,
                    guint64 seed,
                    DpMutant variant,
                    StatefulCount *count,
                    GString *trace);
/* Removes commands as long as some rule is still broken. */
GArray *stateful_shrink (const GArray *commands, guint64 seed, DpMutant variant);
char *stateful_format (const GArray *commands);
GArray *stateful_parse (const char *text, GError **error);
