#include "protected/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "protected/error.h"

#define IPV4_BITS 32

static gboolean parse_number_ (const char *text, guint64 max, guint *number);

/* Parses a dotted-decimal IPv4 address. Fails with DP_ERROR_INVALID. */
gboolean
dp_ip_parse (const char *text, guint32 *ip, GError **error)
{
  struct in_addr address;

  if (inet_pton (AF_INET, text, &address) != 1)
    {
      dp_error_set (error, DP_ERROR_INVALID, "address", NULL,
                    "\"%s\" is not an IPv4 address", text);
      return FALSE;
    }
  *ip = ntohl (address.s_addr);
  return TRUE;
}

/* Parses "IP:PORT" with a port from 1 to 65535. Fails with DP_ERROR_INVALID. */
gboolean
dp_address_parse (const char *text, DpAddress *address, GError **error)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *ip = NULL;
  guint port;

  if (colon == NULL)
    {
      dp_error_set (error, DP_ERROR_INVALID, "address", NULL, "\"%s\" is not IP:PORT",
                    text);
      return FALSE;
    }
  if (!parse_number_ (colon + 1, G_MAXUINT16, &port) || port == 0)
    {
      dp_error_set (error, DP_ERROR_INVALID, "address", NULL,
                    "the port of \"%s\" is not from 1 to 65535", text);
      return FALSE;
    }
  ip = g_strndup (text, (gsize) (colon - text));
  if (!dp_ip_parse (ip, &address->ip, error))
    return FALSE;
  address->port = (guint16) port;
  return TRUE;
}

/* Writes "IP:PORT" to buffer and returns buffer. */
const char *
dp_address_format (const DpAddress *address, char buffer[DP_ADDRESS_STRLEN])
{
  g_snprintf (buffer, DP_ADDRESS_STRLEN, "%u.%u.%u.%u:%u", address->ip >> 24,
              (address->ip >> 16) & 0xff, (address->ip >> 8) & 0xff, address->ip & 0xff,
              address->port);
  return buffer;
}

/* Returns whether both the IP address and the port are equal. */
gboolean
dp_address_equal (const DpAddress *a, const DpAddress *b)
{
  return a->ip == b->ip && a->port == b->port;
}

/* Parses "IP/BITS". Fails with DP_ERROR_INVALID if the text is malformed or the address
 * has bits set beyond the prefix. */
gboolean
dp_network_parse (const char *text, DpNetwork *network, GError **error)
{
  const char *slash = strchr (text, '/');
  g_autofree char *ip = NULL;
  guint bits;

  if (slash == NULL || !parse_number_ (slash + 1, IPV4_BITS, &bits))
    {
      dp_error_set (error, DP_ERROR_INVALID, "network", NULL,
                    "\"%s\" is not IP/BITS with 0 to 32 bits", text);
      return FALSE;
    }
  ip = g_strndup (text, (gsize) (slash - text));
  if (!dp_ip_parse (ip, &network->ip, error))
    return FALSE;
  network->mask = bits == 0 ? 0 : G_MAXUINT32 << (IPV4_BITS - bits);
  if ((network->ip & ~network->mask) != 0)
    {
      dp_error_set (error, DP_ERROR_INVALID, "network", NULL,
                    "\"%s\" has address bits beyond its prefix", text);
      return FALSE;
    }
  return TRUE;
}

/* Returns whether the network contains the address. */
gboolean
dp_network_contains (const DpNetwork *network, guint32 ip)
{
  return (ip & network->mask) == network->ip;
}

static gboolean
parse_number_ (const char *text, guint64 max, guint *number)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (text, 10, 0, max, &value, NULL))
    return FALSE;
  *number = (guint) value;
  return TRUE;
}
