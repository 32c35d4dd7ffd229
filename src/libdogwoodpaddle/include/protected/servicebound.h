/* Computes an upper bound on the number of requests that any scheduler could have served
 * in time, with full knowledge of arrivals, slots, work times and outages. Measured
 * results are compared with it. No I/O.
 *
 * This is a fluid model: all slots of a service form one pool, and a request may be
 * divided at will. The bound is therefore above what is possible with whole requests on
 * separate servers. The number of late requests is that of the computed schedule; another
 * schedule with as many requests in time may serve more late ones. */
#pragma once

#include <glib.h>

typedef struct
{
  char *name;
  double per_s;        /* mean arrival rate of requests */
  double work_ms;      /* mean time for which a request occupies a slot */
  double overhead_ms;  /* part of a request's time that is spent on the network */
  double objective_ms; /* from the client's first packet to the end of the response */
  double deadline_ms;  /* measured as objective_ms is */
  double credit;       /* credit of a response within the objective */
  double late_credit;  /* credit of one between objective and deadline */
} DpBoundClass;

/* A period in which load, capacity or work time differ from the usual. The factors of
 * overlapping phases multiply. */
typedef struct
{
  double from_s;
  double to_s;
  double load_factor; /* factor of the arrival rate */
  double slots_share; /* share of the slots that are available, 0 in an outage */
  double slowdown;    /* factor of the time that the same work takes */
} DpBoundPhase;

typedef struct
{
  double length_s;
  double window_s; /* length of the windows of the result */
  double slots;    /* total of all servers of the service */
  GArray *classes; /* DpBoundClass */
  GArray *phases;  /* DpBoundPhase */
} DpBoundScenario;

/* The requests of all classes that arrived within a window. */
typedef struct
{
  double from_s;
  double arrived;
  double in_time;
  double late;
  double max_credit; /* credit if all were served in time */
  double credit;     /* credit of the requests that were served */
} DpBoundWindow;

/* Reads a scenario. The error names the JSON member that is missing or out of range,
 * with its path. */
DpBoundScenario *dp_bound_scenario_parse (const char *text, gsize length, GError **error);
void dp_bound_scenario_free (DpBoundScenario *scenario);

/* Returns the windows, DpBoundWindow, in order of time; the last one may be shorter. */
GArray *dp_bound_compute (const DpBoundScenario *scenario);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpBoundScenario, dp_bound_scenario_free)
