/* HTTP server of a daemon with /metrics, /status and /ready. Daemons can add paths. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "protected/address.h"
#include "protected/metrics.h"

typedef struct _DpHttpd DpHttpd;

/* Returns the document for /status. The caller owns it. */
typedef JsonNode *(*DpHttpdStatusFunc) (gpointer user_data);
/* Returns whether /ready answers 200 rather than 503. */
typedef gboolean (*DpHttpdReadyFunc) (gpointer user_data);

DpHttpd *dp_httpd_new (const DpAddress *address, DpMetrics *metrics, GError **error);
void dp_httpd_free (DpHttpd *httpd);
void dp_httpd_set_status (DpHttpd *httpd, DpHttpdStatusFunc status, gpointer user_data);
void dp_httpd_set_ready (DpHttpd *httpd, DpHttpdReadyFunc ready, gpointer user_data);
/* Rejects requests from outside these networks (elements: DpNetwork) with 403. */
void dp_httpd_set_trusted (DpHttpd *httpd, GArray *networks);
/* Returns libsoup's server, owned by httpd, to add handlers for further paths. */
SoupServer *dp_httpd_server (DpHttpd *httpd);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpHttpd, dp_httpd_free)
