/* A TCP connection that is being opened. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _DpConnectAttempt DpConnectAttempt;

/* fd: the open, non-blocking socket, which then belongs to the callee; -1 with the reason
 * if there is none. The DpConnectAttempt is freed after the call. */
typedef void (*DpConnectAttemptFunc) (int fd, int error_number, gpointer user_data);

DpConnectAttempt *dp_connect_attempt_new (const DpAddress *address,
                                          guint timeout_ms,
                                          DpConnectAttemptFunc done,
                                          gpointer user_data);
void dp_connect_attempt_cancel (DpConnectAttempt *connecting);
void dp_close_with_reset (int fd);
