/* A circuit breaker for one backend server. It is driven by what the companion sees of
 * the server's flows, not by what the server says about itself.
 *
 * Load pattern: a server that fails some or all of its requests while its health check
 * passes. A server that fails requests at once is never busy, so placement by load would
 * send it more flows than any other. Failed requests are recognized without reading them:
 * no answer in time, a reset instead of an answer, or an answer that comes much sooner
 * and is much shorter than is usual for the address. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _DpServerHealth DpServerHealth;

/* States of the chart "breaker", in the order of charts/breaker.json. */
typedef enum
{
  DP_BREAKER_CLOSED,    /* the server takes new flows */
  DP_BREAKER_OPEN,      /* the server takes only flows that no other member can take */
  DP_BREAKER_HALF_OPEN, /* the server takes one new flow at a time until enough have
                           succeeded */
  DP_N_BREAKER_STATES
} DpBreakerState;

DpServerHealth *dp_server_health_new (void);
void dp_server_health_free (DpServerHealth *health);

/* Records an answer. address: service address to which the request was sent; time: in us,
 * from the request to the first byte of the answer; bytes: length of the answer; now: in
 * us, as everywhere below. */
void dp_server_health_record_answer (DpServerHealth *health,
                                     const DpAddress *address,
                                     gint64 time,
                                     guint32 bytes,
                                     gint64 now);
/* Returns the time in us after which a request to the address without an answer counts as
 * failed. */
gint64 dp_server_health_answer_timeout (const DpServerHealth *health,
                                        const DpAddress *address);
/* Records a request that got a reset instead of an answer, or no answer within
 * dp_server_health_answer_timeout (). */
void dp_server_health_record_failure (DpServerHealth *health, gint64 now);
/* To be called about every 100 ms. */
void dp_server_health_tick (DpServerHealth *health, gint64 now);
void dp_server_health_reset (DpServerHealth *health);

/* Returns whether the server should get a new flow in addition to those in flight. */
gboolean dp_server_health_admits (const DpServerHealth *health, guint in_flight);
DpBreakerState dp_server_health_state (const DpServerHealth *health);
const char *dp_breaker_state_string (DpBreakerState state);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpServerHealth, dp_server_health_free)
