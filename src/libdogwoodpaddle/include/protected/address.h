/* IPv4 addresses, endpoints and networks, in host byte order. */
#pragma once

#include <glib.h>

typedef struct
{
  guint32 ip;
  guint16 port;
} DpAddress;

typedef struct
{
  guint32 ip;
  guint32 mask;
} DpNetwork;

#define DP_ADDRESS_STRLEN 22 /* "255.255.255.255:65535" and a NUL */

gboolean dp_ip_parse (const char *text, guint32 *ip, GError **error);
gboolean dp_address_parse (const char *text, DpAddress *address, GError **error);
const char *dp_address_format (const DpAddress *address, char buffer[DP_ADDRESS_STRLEN]);
gboolean dp_address_equal (const DpAddress *a, const DpAddress *b);
gboolean dp_network_parse (const char *text, DpNetwork *network, GError **error);
gboolean dp_network_contains (const DpNetwork *network, guint32 ip);
