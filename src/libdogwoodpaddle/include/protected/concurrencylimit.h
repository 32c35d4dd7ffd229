/* Learns how many requests a backend server works on at once without losing throughput,
 * and how long its requests take. No I/O.
 *
 * Load pattern: servers that slow down from some number of requests on, below their
 * declared slots, or that become several times slower for some seconds, with service
 * times of a long tail and classes of different work. A fixed number of slots then holds
 * more requests than the server handles well. */
#pragma once

#include <glib.h>

#include "protected/slots.h"

/* The limit is at most this many times the declared slots. */
#define DP_CONCURRENCY_LIMIT_FACTOR_MAX 2

typedef struct _DpConcurrencyLimit DpConcurrencyLimit;

/* Work on one request, as it was when the request began. */
typedef struct
{
  gint64 began_at;     /* us; 0: none */
  gint64 request_time; /* us, total of the requests in work until then */
} DpRequestWork;

/* now: in us, as everywhere below. */
DpConcurrencyLimit *dp_concurrency_limit_new (gint64 now);
void dp_concurrency_limit_free (DpConcurrencyLimit *limit);
/* Sets the declared slots, with which learning starts. */
void dp_concurrency_limit_set_declared (DpConcurrencyLimit *limit, guint slots);
/* Requests that began before warm_at don't show the server's usual times. */
void dp_concurrency_limit_set_warm_at (DpConcurrencyLimit *limit, gint64 warm_at);
/* Forgets what was learnt, as for another incarnation of the server. */
void dp_concurrency_limit_reset (DpConcurrencyLimit *limit);

/* Records that the server begins to work on a request. */
void
dp_concurrency_limit_begin (DpConcurrencyLimit *limit, DpRequestWork *work, gint64 now);
/* Records that the server has answered the request. */
void dp_concurrency_limit_end (DpConcurrencyLimit *limit,
                               DpRequestWork *work,
                               DpTrafficClass class,
                               gint64 now);
/* Records that the request has ended without an answer. */
void dp_concurrency_limit_abandon (DpConcurrencyLimit *limit, DpRequestWork *work);
/* Records that the server has refused a flow beside in_flight others. */
void
dp_concurrency_limit_refused (DpConcurrencyLimit *limit, guint in_flight, gint64 now);
/* Evaluates what was observed. handshake_time: us, from a SYN to its client's request.
 * Returns whether the limit has changed. To be called about every 100 ms. */
gboolean dp_concurrency_limit_update (DpConcurrencyLimit *limit,
                                      gint64 handshake_time,
                                      gint64 now);

/* Returns the requests that the server handles well at once. */
guint dp_concurrency_limit_slots (const DpConcurrencyLimit *limit);
/* Returns the flows that may be offered to the server at once, those whose handshake is
 * not complete included. */
guint dp_concurrency_limit_capacity (const DpConcurrencyLimit *limit);
guint dp_concurrency_limit_in_work (const DpConcurrencyLimit *limit);
/* Returns the usual service time of the class, in us; 0: not known. */
guint32 dp_concurrency_limit_service_time (const DpConcurrencyLimit *limit,
                                           DpTrafficClass class);
/* Returns the present service times relative to those below the limit. */
double dp_concurrency_limit_slowdown (const DpConcurrencyLimit *limit);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpConcurrencyLimit, dp_concurrency_limit_free)
