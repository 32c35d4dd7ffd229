/* What every process of the system says about itself, from the balancers' /status. */
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
  char *peer;          /* balancer: "IP:PORT" of its HTTP server */
  gboolean answers;    /* it, or a watcher for it, said its revision */
  char *problem;       /* why not */
  guint64 revision;    /* in force */
  guint64 incarnation; /* companion: as on the platform, 0: unknown */
  char *state;
  gboolean held;
  guint64 busy;
  guint64 connections;
} Process;

typedef struct
{
  GPtrArray *processes; /* Process, in order of kind, service and name */
  GPtrArray *records;   /* DpRecord, NULL: the platform did not answer */
  guint64 revision;     /* of the platform; without it the highest that was seen */
  GError *platform_error;
} Processes;

const char *process_kind_string (ProcessKind kind);

/* Reads the platform's list of balancers and members and asks every balancer, those of
 * --balancer included. Without a platform only the latter and what they watch. */
Processes *processes_collect (Cli *cli);
void processes_free (Processes *processes);
const Process *
processes_find (const Processes *processes, const char *service, const char *name);
/* Number of processes in which the revision is in force. */
guint processes_count (const Processes *processes, guint64 revision);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Processes, processes_free)
