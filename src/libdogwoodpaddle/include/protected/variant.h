/* Deliberately wrong behaviour, by which tests show that their oracle detects a fault. */
#pragma once

#include <glib.h>

#include "protected/acceptance.h"

typedef enum
{
  DP_VARIANT_NONE,
  DP_VARIANT_NO_WALK,          /* never looks beyond the first candidate */
  DP_VARIANT_FORGET_DECISIONS, /* decides anew for each SYN that is sent again */
  DP_VARIANT_RESET_UNSETTLED,  /* resets an unknown flow though views may differ */
  DP_VARIANT_ANY_ACK,          /* takes an ACK of another companion's SYN-ACK */
  DP_VARIANT_FOREIGN_SERVICE,  /* takes packets of other services */
  DP_VARIANT_ACCEPT_LEAVING,   /* accepts new flows while leaving */
  DP_VARIANT_ACCEPT_UNKNOWN,   /* accepts new flows before every process knows it */
  DP_VARIANT_REFUSE_DELIVERED, /* reports a flow as refused that its server has read */
  DP_N_VARIANTS
} DpVariant;

const char *dp_variant_string (DpVariant variant);
gboolean dp_variant_parse (const char *text, DpVariant *variant);
void dp_acceptance_set_variant (DpAcceptance *acceptance, DpVariant variant);
