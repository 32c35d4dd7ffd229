/* A TCP connection that is being opened. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _DpConnecting DpConnecting;

/* fd: the open, non-blocking socket, which then belongs to the callee; -1 with the reason
 * if there is none. The DpConnecting is freed after the call. */
typedef void (*DpConnectingFunc) (int fd, int error_number, gpointer user_data);

DpConnecting *dp_connecting_new (const DpAddress *address,
                                 guint timeout_ms,
                                 DpConnectingFunc done,
                                 gpointer user_data);
void dp_connecting_cancel (DpConnecting *connecting);
void dp_close_with_reset (int fd);
