/* Simulated network between clients, balancers and companions. Each IP packet travels in
 * one UDP datagram. Each packet of a client goes to a ready balancer chosen at random,
 * whichever balancers earlier packets of its flow went to. Loss, duplication, reordering
 * and delay come from a seeded random number generator. */
#pragma once

#include <json-glib/json-glib.h>

#include "protected/address.h"

#define LINKS_BALANCERS_MAX 64

typedef struct
{
  double loss;      /* share of the packets in either direction, 0 to 1 */
  double duplicate; /* share of the packets, 0 to 1 */
  double reorder;   /* share of the packets that get REORDER_US of extra delay, 0 to 1 */
  guint delay_ms;   /* one way */
  guint jitter_ms;  /* random delay below this is added to delay_ms */
  guint seed;
  guint trace_sample; /* one flow in this many is traced; 0: none */
} LinkFaults;

typedef struct _Links Links;

/* Called for each packet that arrives from a companion. */
typedef void (*LinksPacketFunc) (const guint8 *packet, gsize length, gpointer user_data);

Links *links_new (const DpAddress *udp,
                  const LinkFaults *faults,
                  LinksPacketFunc received,
                  gpointer user_data,
                  GError **error);
void links_free (Links *links);
gboolean links_add_balancer (Links *links, const char *spec);
/* Returns the index of the chosen balancer, or -1 if the packet was lost. */
int links_send (Links *links, const guint8 *packet, gsize length);
void links_format (Links *links, JsonBuilder *builder);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Links, links_free)
