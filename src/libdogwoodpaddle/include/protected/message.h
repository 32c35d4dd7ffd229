/* Control messages between balancers and companions, as msgpack arrays. */
#pragma once

#include <glib.h>

#include "protected/replica.h"

#define DP_MESSAGE_VERSION 2
#define DP_MESSAGE_MAX (1280 * 1024) /* encoded bytes: a 1 MiB value with its fields */
#define DP_MESSAGE_STRING_MAX 255    /* bytes, for names */
#define DP_MESSAGE_RECORDS_MAX 4096  /* records in one message */

typedef enum
{
  DP_ROLE_BALANCER,
  DP_ROLE_COMPANION,
  DP_N_ROLES
} DpRole;

/* The values are part of the wire format. */
typedef enum
{
  DP_MESSAGE_NONE,
  DP_MESSAGE_HELLO,
  DP_MESSAGE_SUBSCRIBE,
  DP_MESSAGE_RECORDS,
  DP_MESSAGE_HEARTBEAT,
  DP_MESSAGE_SUSPECT,
  DP_MESSAGE_PING,
  DP_N_MESSAGES
} DpMessageType;

typedef struct
{
  guint32 version;
  DpRole role;
  const char *name;
  const char *zone;
  DpPosition position;
} DpHello;

typedef struct
{
  DpPosition since;
  const char *service; /* "": everything */
} DpSubscribe;

typedef struct
{
  DpPosition
      complete_through; /* all records up to this position are sent; 0: more follow */
  GPtrArray *items;     /* DpRecord */
  gboolean has_age;     /* age_ms is set; older versions don't send it */
  guint32 age_ms;       /* since the platform was known to have nothing newer */
} DpRecords;

/* A companion's or a balancer's heartbeat to its watchers; a balancer's service is "". */
typedef struct
{
  const char *service;
  const char *member;
  guint64 incarnation;
  DpPosition position; /* up to which the sender has applied all records */
  guint32 busy_slots;  /* slots in use */
  guint32 connections;
} DpHeartbeat;

/* A watcher's report that it suspects a member to have failed. */
typedef struct
{
  const char *service;
  const char *member;
  guint64 incarnation;
  const char *watcher;
  const char *zone; /* of the watcher */
} DpSuspicion;

typedef struct
{
  DpMessageType type;
  union
  {
    DpHello hello;
    DpSubscribe subscribe;
    DpRecords records;
    DpHeartbeat heartbeat;
    DpSuspicion suspicion;
  };
  GStringChunk *strings; /* owns a decoded message's strings; NULL otherwise */
} DpMessage;

const char *dp_message_type_string (DpMessageType type);
const char *dp_role_string (DpRole role);
GBytes *dp_message_encode (const DpMessage *message);
gboolean
dp_message_decode (DpMessage *message, const guint8 *data, gsize length, GError **error);
/* Frees what a decoded message owns. */
void dp_message_clear (DpMessage *message);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (DpMessage, dp_message_clear)
