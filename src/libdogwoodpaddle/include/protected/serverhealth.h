/* A circuit breaker for one backend server, fed by what its companion sees of the flows
 * and not by what the server says of itself.
 *
 * Load pattern answered: a server that fails part or all of its requests while its health
 * check is good. One that fails at once is never busy, so that placement by load sends it
 * more flows than any other. Which requests fail is judged without reading them: no
 * answer in time, a reset instead of an answer, or an answer that comes much sooner and
 * is much shorter than the address's usual ones. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _DpServerHealth DpServerHealth;

/* The chart "breaker". Order as in charts/breaker.json. */
typedef enum
{
  DP_BREAKER_CLOSED,    /* the server takes new flows */
  DP_BREAKER_OPEN,      /* it takes none that another member can take */
  DP_BREAKER_HALF_OPEN, /* it takes one at a time until it has proven itself */
  DP_N_BREAKER_STATES
} DpBreakerState;

DpServerHealth *dp_server_health_new (void);
void dp_server_health_free (DpServerHealth *health);

/* address: of the service, to which the request was sent; time: us from the request to
 * the first byte of its answer; bytes: of the answer. */
void dp_server_health_answered (DpServerHealth *health,
                                const DpAddress *address,
                                gint64 time,
                                guint32 bytes,
                                gint64 now);
gint64 dp_server_health_patience (const DpServerHealth *health, const DpAddress *address);
/* A request got a reset instead of an answer, or none within the patience. */
void dp_server_health_failed (DpServerHealth *health, gint64 now);
/* To be called every 100 ms or so. */
void dp_server_health_tick (DpServerHealth *health, gint64 now);
void dp_server_health_restarted (DpServerHealth *health);

/* Whether the server should get a new flow beside those in flight. */
gboolean dp_server_health_admits (const DpServerHealth *health, guint in_flight);
DpBreakerState dp_server_health_state (const DpServerHealth *health);
const char *dp_breaker_state_string (DpBreakerState state);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpServerHealth, dp_server_health_free)
