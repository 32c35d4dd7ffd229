/* Small HTTP server of a daemon: /metrics, /status, /ready and the daemon's own paths. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "protected/address.h"
#include "protected/metrics.h"

typedef struct _DpHttpd DpHttpd;

/* Returns the status document; the caller owns it. */
typedef JsonNode *(*DpHttpdStatusFunc) (gpointer user_data);
typedef gboolean (*DpHttpdReadyFunc) (gpointer user_data);

DpHttpd *dp_httpd_new (const DpAddress *address, DpMetrics *metrics, GError **error);
void dp_httpd_free (DpHttpd *httpd);
void dp_httpd_set_status (DpHttpd *httpd, DpHttpdStatusFunc status, gpointer user_data);
void dp_httpd_set_ready (DpHttpd *httpd, DpHttpdReadyFunc ready, gpointer user_data);
/* networks: DpNetwork; requests from elsewhere are answered with 403. */
void dp_httpd_set_trusted (DpHttpd *httpd, GArray *networks);
/* For further paths, with libsoup's own handlers. */
SoupServer *dp_httpd_server (DpHttpd *httpd);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpHttpd, dp_httpd_free)
