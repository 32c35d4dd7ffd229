/* An asynchronous attempt to open a TCP connection. */
#pragma once

#include <glib.h>

#include "protected/address.h"

typedef struct _DpConnectAttempt DpConnectAttempt;

/* fd: the connected, non-blocking socket, which the callee then owns; -1 on failure, with
 * an errno value in error_number. The DpConnectAttempt is freed after the call. */
typedef void (*DpConnectAttemptFunc) (int fd, int error_number, gpointer user_data);

DpConnectAttempt *dp_connect_attempt_new (const DpAddress *address,
                                          guint timeout_ms,
                                          DpConnectAttemptFunc done,
                                          gpointer user_data);
void dp_connect_attempt_cancel (DpConnectAttempt *attempt);
void dp_close_with_reset (int fd);
