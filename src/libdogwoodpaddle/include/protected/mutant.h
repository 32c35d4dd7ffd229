/* Mutants: deliberate faults in the flow engine, with which tests show that their checks
 * detect a fault. */
#pragma once

#include <glib.h>

#include "protected/flowengine.h"

typedef enum
{
  DP_MUTANT_NONE,
  DP_MUTANT_NO_WALK,          /* never forwards to a further candidate */
  DP_MUTANT_FORGET_DECISIONS, /* makes a new decision for each retransmitted SYN */
  DP_MUTANT_RESET_UNSETTLED,  /* resets an unknown flow although views may differ */
  DP_MUTANT_ANY_ACK,          /* accepts an ACK of another companion's SYN-ACK */
  DP_MUTANT_FOREIGN_SERVICE,  /* accepts packets of other services */
  DP_MUTANT_ACCEPT_LEAVING,   /* accepts new flows while leaving */
  DP_MUTANT_ACCEPT_UNKNOWN,   /* accepts new flows before all processes know the member */
  DP_MUTANT_REFUSE_DELIVERED, /* refuses a flow whose server has got request bytes */
  DP_N_MUTANTS
} DpMutant;

const char *dp_mutant_string (DpMutant mutant);
gboolean dp_mutant_parse (const char *text, DpMutant *mutant);
void dp_flow_engine_set_mutant (DpFlowEngine *engine, DpMutant mutant);
