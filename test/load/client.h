/* HTTP/1.1 requests over new and pooled connections. A request is sent once: a report is
 * never retried. */
#pragma once

#include <gio/gio.h>

typedef enum
{
  KIND_JOBS,
  KIND_REPORTS,
  KIND_MANUALS,
  KIND_STRAGGLERS, /* job sheets that take much longer than the others */
  N_KINDS
} Kind;

typedef enum
{
  OUTCOME_OK,
  OUTCOME_REFUSED,      /* nothing was run: refused, reset at the SYN, or 503 */
  OUTCOME_BROKEN,       /* reset, early end, wrong content or timeout */
  OUTCOME_MISDELIVERED, /* answered by a server of another service */
  N_OUTCOMES
} Outcome;

typedef struct
{
  char *service;
  char *address; /* IP:PORT */
  GQueue idle;   /* Connection */
} Target;

typedef struct _Request Request;
typedef void (*RequestFunc) (Request *request, gpointer user_data);

struct _Request
{
  Kind kind;
  Target *target;
  guint64 id;   /* of the report or the job */
  guint64 size; /* bytes of the manual */
  guint64 seed; /* of the manual */
  gboolean pooled;
  gint64 due; /* us */
  /* The result. */
  Outcome outcome;
  gint64 answered;   /* us, first byte of the answer */
  char *server;      /* that answered, NULL if none did */
  char *fault;       /* why it is not OK */
  gboolean resubmit; /* sent again, since an idle connection ended before any answer */
};

typedef struct _Client Client;

const char *kind_string (Kind kind);
const char *outcome_string (Outcome outcome);
/* fabric: IP:PORT of the HTTP endpoint that knows which connections were refused at the
 * SYN; NULL if the load does not pass through the fabric. */
Client *client_new (const char *run, const char *fabric, guint timeout_s);
void client_free (Client *client);
void client_send (Client *client, Request *request, RequestFunc done, gpointer user_data);
/* Closes the idle connections; returns how many of them had been reset. */
guint client_close_idle (Client *client, Target *target);
void request_free (Request *request);
