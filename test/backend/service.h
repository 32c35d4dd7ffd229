/* The work of the backend server: its paths, its slots and its count of reports. */
#pragma once

#include <libsoup/soup.h>

typedef struct _Service Service;

Service *
service_new (const char *service, const char *server, guint slots, guint service_ms);
void service_free (Service *service);
/* A SoupServerCallback; user_data is the Service. */
void service_handle (SoupServer *server,
                     SoupServerMessage *message,
                     const char *path,
                     GHashTable *query,
                     gpointer user_data);
void service_set_leaving (Service *service);
void service_count_connection (Service *service, GObject *connection);
gboolean service_idle (const Service *service);
guint service_connections (const Service *service);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Service, service_free)
