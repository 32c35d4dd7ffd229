/* The backend server beside a companion: its registration over HTTP and its health. */
#pragma once

#include <glib.h>
#include <libsoup/soup.h>

#include "protected/address.h"

typedef struct _DpServer DpServer;

/* What the server said of itself, and whether it accepts connections. */
typedef struct
{
  gboolean registered;
  gboolean leaving; /* it said so; holds until it registers again */
  gboolean ready;   /* the state that it gave, not "starting" */
  gboolean up;      /* ready, and the last health checks succeeded */
  guint32 port;
  guint32 slots;
  guint32 connections;
} DpServerState;

/* Called after each change of the state. */
typedef void (*DpServerFunc) (const DpServerState *state, gpointer user_data);

/* Adds PUT and DELETE /v1/server to the HTTP server; ip is where connections go. */
DpServer *
dp_server_new (SoupServer *http, guint32 ip, DpServerFunc changed, gpointer user_data);
void dp_server_free (DpServer *server);
const DpServerState *dp_server_state (const DpServer *server);
gboolean dp_server_parse_registration (const char *text,
                                       gsize length,
                                       DpServerState *state,
                                       GPtrArray *faults);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpServer, dp_server_free)
