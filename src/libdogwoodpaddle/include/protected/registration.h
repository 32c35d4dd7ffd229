/* Maintains a companion's entry in the object members/SERVICE by conditional writes. */
#pragma once

#include <glib.h>

#include "protected/clock.h"
#include "protected/platform.h"
#include "protected/memberview.h"

typedef struct _DpRegistration DpRegistration;

typedef enum
{
  DP_REGISTRATION_ABSENT,
  DP_REGISTRATION_JOINING,
  DP_REGISTRATION_ACTIVE,
  DP_REGISTRATION_LEAVING,
  DP_N_REGISTRATION_STATES
} DpRegistrationState;

/* Called when the wanted state has been written, and when an operator drains the member
 * or ends the drain. While the member is held (drained by an operator), the callee has to
 * set the wanted state LEAVING. The wanted state ABSENT, set before the process ends,
 * removes the entry but not the operator's drain. */
typedef void (*DpRegistrationFunc) (DpRegistration *registration, gpointer user_data);

DpRegistration *dp_registration_new (const char *service,
                                     const DpMember *self,
                                     DpReplica *replica,
                                     DpPlatform *platform,
                                     DpClock *clock);
void dp_registration_free (DpRegistration *registration);
void dp_registration_set_listener (DpRegistration *registration,
                                   DpRegistrationFunc changed,
                                   gpointer user_data);
void dp_registration_set_capacity (DpRegistration *registration,
                                   guint32 slots,
                                   guint32 connections);
void dp_registration_set_wanted (DpRegistration *registration, DpRegistrationState state);
DpRegistrationState dp_registration_wanted (const DpRegistration *registration);
DpRegistrationState dp_registration_written (const DpRegistration *registration);
/* Changes whenever the member joins again after another process has removed it. */
guint64 dp_registration_incarnation (const DpRegistration *registration);
/* Returns whether another process has taken over the member's name; if so, this process
 * no longer writes. */
gboolean dp_registration_superseded (const DpRegistration *registration);
gboolean dp_registration_held (const DpRegistration *registration);
const char *dp_registration_state_string (DpRegistrationState state);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpRegistration, dp_registration_free)
