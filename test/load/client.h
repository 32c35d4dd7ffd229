/* HTTP/1.1 client of the load generator, with new and pooled connections. A report is
 * never retried. Only a request of kind KIND_JOBS may be sent again, if the server closed
 * the pooled connection before any response. */
#pragma once

#include <gio/gio.h>

typedef enum
{
  KIND_JOBS,       /* short idempotent reads */
  KIND_REPORTS,    /* writes that must not be processed twice */
  KIND_MANUALS,    /* downloads with checked content */
  KIND_STRAGGLERS, /* reads that take much longer than KIND_JOBS */
  N_KINDS
} Kind;

typedef enum
{
  OUTCOME_OK,
  OUTCOME_REFUSED,      /* not processed: refused, SYN answered with RST, or 503 */
  OUTCOME_BROKEN,       /* reset, closed too early, wrong content or timeout */
  OUTCOME_MISDELIVERED, /* response from a server of another service */
  N_OUTCOMES
} Outcome;

/* A service address and the pool of connections to it. */
typedef struct
{
  char *service;
  char *address;           /* IP:PORT */
  GQueue idle_connections; /* Connection, oldest first */
} Target;

typedef struct _Request Request;
typedef void (*RequestFunc) (Request *request, gpointer user_data);

struct _Request
{
  Kind kind;
  Target *target;
  guint64 id;      /* of the report or the job; unique in the run */
  guint64 size;    /* bytes of the manual */
  guint64 seed;    /* of the manual */
  gboolean pooled; /* may use an idle connection of the target, and may leave its own
                      connection idle for other requests */
  gint64 due;      /* us, scheduled time of arrival */
  /* The result, set when the RequestFunc is called. */
  Outcome outcome;
  gint64 first_byte_at; /* us, arrival of the first byte of the response; 0: none */
  char *server;         /* name of the server that responded, or NULL */
  char *failure;        /* reason if the outcome is not OUTCOME_OK */
  gboolean resubmitted; /* sent again after the pooled connection was closed */
};

typedef struct _Client Client;

const char *kind_string (Kind kind);
const char *outcome_string (Outcome outcome);
/* fabric: IP:PORT of the fabric's HTTP endpoint, which tells whether a connection was
 * refused in response to its SYN; NULL if the load does not pass through the fabric. */
Client *client_new (const char *run_id, const char *fabric, guint timeout_s);
void client_free (Client *client);
void client_send (Client *client, Request *request, RequestFunc done, gpointer user_data);
/* Closes the target's idle connections; returns how many of them had been reset. */
guint client_close_idle (Client *client, Target *target);
void request_free (Request *request);
