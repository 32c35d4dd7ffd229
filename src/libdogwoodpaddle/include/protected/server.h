/* Registration and health checks of a companion's backend server. */
#pragma once

#include <glib.h>
#include <libsoup/soup.h>

#include "protected/address.h"

typedef struct _DpServer DpServer;

/* What the server has registered, and whether it accepts connections. */
typedef struct
{
  gboolean registered;
  gboolean leaving; /* it has deregistered; FALSE again once it registers anew */
  gboolean ready;   /* it registered with the state "ready", not "starting" */
  gboolean up;      /* ready, and health checks succeed */
  guint32 port;
  guint32 slots;
  guint32 connections;
} DpServerState;

/* Called after each change of state. */
typedef void (*DpServerFunc) (const DpServerState *state, gpointer user_data);

/* Adds the path /v1/server to the HTTP server: PUT registers the backend server, DELETE
 * deregisters it. ip is the backend server's address. */
DpServer *
dp_server_new (SoupServer *http, guint32 ip, DpServerFunc changed, gpointer user_data);
void dp_server_free (DpServer *server);
const DpServerState *dp_server_state (const DpServer *server);
gboolean dp_server_parse_registration (const char *text,
                                       gsize length,
                                       DpServerState *state,
                                       GPtrArray *faults);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpServer, dp_server_free)
