/* State of every process of the system, as reported by the balancers' /status. */
#pragma once

#include "cli.h"

typedef enum
{
  PROCESS_BALANCER,
  PROCESS_COMPANION,
  N_PROCESS_KINDS
} ProcessKind;

typedef struct
{
  ProcessKind kind;
  char *service; /* companion: its service; balancer: "" */
  char *name;
  char *zone;
  char *http_address;      /* balancer: "IP:PORT" of its HTTP server */
  gboolean position_known; /* the process or a watcher of it has reported its revision */
  char *problem;           /* why the revision is not known; else NULL */
  DpPosition position;     /* revision in force in the process */
  guint64 incarnation;     /* companion: as in the member list, 0: not known */
  char *state;
  gboolean held;
  guint64 busy;
  guint64 connections;
  guint suspected; /* companion: number of balancers that suspect it */
} Process;

typedef struct
{
  GPtrArray *processes; /* Process, in order of kind, service and name */
  GPtrArray *records;   /* DpRecord, NULL: the platform did not answer */
  DpPosition position;  /* the platform's; if unknown, the highest of all processes */
  GError *platform_error;
} Processes;

const char *process_kind_string (ProcessKind kind);

/* Reads the platform's lists of balancers and members and queries all balancers,
 * including those of --balancer. Without a platform, queries only the latter and returns
 * them and the companions that they watch. Free with processes_free (). */
Processes *processes_collect (Cli *cli);
void processes_free (Processes *processes);
/* Returns a companion, or NULL if there is none. */
const Process *
processes_find (const Processes *processes, const char *service, const char *name);
/* Returns the number of processes in which the revision is in force. */
guint processes_count (const Processes *processes, DpPosition position);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Processes, processes_free)
