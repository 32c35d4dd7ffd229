/* The paths of packets between clients, balancers and companions: each packet in one UDP
 * datagram, to a balancer chosen for it alone, with faults by seed. */
#pragma once

#include <json-glib/json-glib.h>

#include "protected/address.h"

#define LINKS_BALANCERS_MAX 64

typedef struct
{
  double loss;      /* share of the packets in either direction */
  double duplicate; /* share */
  double reorder;   /* share that is held back by REORDER_US */
  guint delay_ms;
  guint jitter_ms;
  guint seed;
  guint trace_sample; /* one flow in so many is traced, 0: none */
} LinkFaults;

typedef struct _Links Links;

/* A packet from a companion arrives. */
typedef void (*LinksFunc) (const guint8 *packet, gsize length, gpointer user_data);

Links *links_new (const DpAddress *udp,
                  const LinkFaults *faults,
                  LinksFunc received,
                  gpointer user_data,
                  GError **error);
void links_free (Links *links);
gboolean links_add_balancer (Links *links, const char *text);
/* Returns the number of the balancer, negative if the packet was lost. */
int links_send (Links *links, const guint8 *packet, gsize length);
void links_format (Links *links, JsonBuilder *builder);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Links, links_free)
