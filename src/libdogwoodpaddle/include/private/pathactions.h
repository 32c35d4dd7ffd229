/* Internal state of DpDataPath, and the functions that its two parts share: datapath
 * passes datagrams to the flow engine, pathactions carries out the engine's actions. */
#pragma once

#include "private/pathcounters.h"
#include "private/pathflow.h"
#include "private/timewait.h"
#include "protected/datapath.h"

/* The packet that is being handled. */
typedef struct
{
  const DpHeader *header;
  const DpSegment *segment;
  guint8 *data;
  gsize length;
} DpPathPacket;

struct _DpDataPath
{
  char *process;
  DpFlowEngine *engine;
  GArray *trusted_networks;
  DpClock *clock;
  DpPacketPort *port;
  DpStack *stack;
  DpSpliceSet *splices;
  GSource *timer;
  GHashTable *flows;     /* DpHandle to DpPathFlow, which it owns */
  GHashTable *by_key;    /* DpFlowKey to DpPathFlow, which owns the key */
  DpTimeWait *time_wait; /* flows that lwIP keeps in TIME_WAIT */
  GArray *ports;         /* guint16: ports on which the stack listens */
  DpAddress server_address;
  DpActions actions;
  gboolean carrying_out;      /* actions are being carried out; new ones are appended */
  const DpPathPacket *packet; /* NULL outside dp_data_path_datagram () */
  DpPathCounters counters;
};

/* Implemented in pathactions.c. */
extern const DpStackListener dp_path_stack_listener;
gboolean dp_path_answer_late_packet (DpDataPath *path);
void dp_path_act_on_packet (DpDataPath *path, const DpAction *action);
void dp_path_act_on_flow (DpDataPath *path, const DpAction *action, DpPathFlow *flow);
void dp_path_forget (DpDataPath *path, DpPathFlow *flow);

/* Implemented in datapath.c. */
void dp_path_carry_out (DpDataPath *path);
void dp_path_fault (DpDataPath *path,
                    DpFaultKind fault,
                    const DpAddress *peer,
                    const char *text);
