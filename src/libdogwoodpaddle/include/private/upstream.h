/* Maintains one outgoing control connection, to the first of several peers that works. */
#pragma once

#include "protected/address.h"
#include "protected/channel.h"
#include "protected/replica.h"

typedef struct _DpUpstream DpUpstream;

typedef struct
{
  DpRole role;
  const char *name;
  const char *zone;
  const char *service;
  gboolean subscribe; /* FALSE: only to send heartbeats and suspicions */
  DpReplica *replica;
  const DpChannelMetrics *metrics;
} DpUpstreamOptions;

typedef struct
{
  /* The peer has sent all its records, or the connection was lost after that. */
  void (*sync_changed) (DpUpstream *upstream, gpointer user_data);
  /* A message from the peer was applied to the replica: records, the position up to
   * which all records have been sent, or both. */
  void (*progressed) (DpUpstream *upstream, gpointer user_data);
  /* The replica has everything that the platform had age_ms ago. The function may be
   * NULL. */
  void (*freshness) (DpUpstream *upstream, guint32 age_ms, gpointer user_data);
} DpUpstreamListener;

DpUpstream *dp_upstream_new (const DpUpstreamOptions *options,
                             const DpUpstreamListener *listener,
                             gpointer user_data);
void dp_upstream_free (DpUpstream *upstream);
/* peers: in order of preference. An open connection to the first of them is kept. */
void dp_upstream_set_peers (DpUpstream *upstream, const DpAddress *peers, guint n_peers);
/* Disconnects from the current peer and connects to the next one. */
void dp_upstream_skip (DpUpstream *upstream);
gboolean dp_upstream_connected (const DpUpstream *upstream);
gboolean dp_upstream_synced (const DpUpstream *upstream);
void dp_upstream_send (DpUpstream *upstream, const DpMessage *message);
