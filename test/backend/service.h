/* Request handling of the stand-in backend server: paths, slots, counts of reports. */
#pragma once

#include <libsoup/soup.h>

/* Serves these paths:
 *   GET /jobs/ID             a small JSON object
 *   GET /slow/MS             an empty JSON object, MS ms later than on the other paths
 *   GET /manuals/SIZE?seed=N SIZE bytes that manual_fill makes from the seed
 *   POST /reports            counts the report with the "id" of the JSON body
 *   GET /health              the health check
 *   /admin/behaviour         sets the behaviour from a JSON object
 *   /admin/reports           the number of times that each report was processed
 *   /admin/stats             counters */
typedef struct _Service Service;

Service *service_new (const char *service_name,
                      const char *server_name,
                      guint slots,
                      guint service_ms);
void service_free (Service *service);
/* A SoupServerCallback; user_data is the Service. */
void service_handle (SoupServer *server,
                     SoupServerMessage *message,
                     const char *path,
                     GHashTable *query,
                     gpointer user_data);
void service_set_leaving (Service *service);
void service_track_connection (Service *service, GObject *connection);
gboolean service_is_idle (const Service *service);
guint service_n_connections (const Service *service);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Service, service_free)
