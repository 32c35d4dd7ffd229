/* Serves a replica's records to subscribers, and receives their heartbeats and
 * suspicions. */
#pragma once

#include "protected/address.h"
#include "protected/channel.h"
#include "protected/replica.h"

#define DP_FEED_MAX_CONNECTIONS 1024

typedef struct _DpFeed DpFeed;

typedef struct
{
  const char *name;
  const char *zone;
  const DpAddress *address;
  const DpNetwork *trusted;
  guint n_trusted;
  DpReplica *replica;
  const DpChannelMetrics *metrics;
} DpFeedOptions;

typedef struct
{
  void (*heartbeat) (const DpHeartbeat *heartbeat, gpointer user_data);
  void (*suspicion) (const DpSuspicion *suspicion, gpointer user_data);
  /* A peer has connected whose replica is at a higher position than this one. The
   * function may be NULL. */
  void (*newer_peer) (const char *name, gpointer user_data);
} DpFeedListener;

DpFeed *dp_feed_new (const DpFeedOptions *options,
                     const DpFeedListener *listener,
                     gpointer user_data,
                     GError **error);
void dp_feed_free (DpFeed *feed);
DpAddress dp_feed_address (const DpFeed *feed);
guint dp_feed_subscribers (const DpFeed *feed);
/* Schedules sending of new records and the replica's position. */
void dp_feed_flush (DpFeed *feed);
/* Tells each subscriber that has all records how long ago, in ms, the platform was known
 * to have nothing newer. */
void dp_feed_send_freshness (DpFeed *feed, guint32 age_ms);
