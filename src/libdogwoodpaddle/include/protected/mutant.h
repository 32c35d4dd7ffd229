/* Deliberately wrong behaviour, by which tests show that their oracle detects a fault. */
#pragma once

#include <glib.h>

#include "protected/flowengine.h"

typedef enum
{
  DP_MUTANT_NONE,
  DP_MUTANT_NO_WALK,          /* never looks beyond the first candidate */
  DP_MUTANT_FORGET_DECISIONS, /* decides anew for each SYN that is sent again */
  DP_MUTANT_RESET_UNSETTLED,  /* resets an unknown flow though views may differ */
  DP_MUTANT_ANY_ACK,          /* takes an ACK of another companion's SYN-ACK */
  DP_MUTANT_FOREIGN_SERVICE,  /* takes packets of other services */
  DP_MUTANT_ACCEPT_LEAVING,   /* accepts new flows while leaving */
  DP_MUTANT_ACCEPT_UNKNOWN,   /* accepts new flows before every process knows it */
  DP_MUTANT_REFUSE_DELIVERED, /* reports a flow as refused that its server has read */
  DP_N_MUTANTS
} DpMutant;

const char *dp_mutant_string (DpMutant variant);
gboolean dp_mutant_parse (const char *text, DpMutant *variant);
void dp_flow_engine_set_mutant (DpFlowEngine *acceptance, DpMutant variant);
