#include "protected/packetport.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protected/error.h"

#define BATCH_SIZE 64          /* datagrams per system call */
#define BATCHES_PER_DISPATCH 4 /* then other sources of the main loop run */
#define SOCKET_BUFFER 4194304  /* bytes; the kernel caps it at its own limit */

/* Buffers for the datagrams of one recvmmsg () or sendmmsg () call. */
typedef struct
{
  struct mmsghdr messages[BATCH_SIZE];
  struct iovec vectors[BATCH_SIZE];
  struct sockaddr_in addresses[BATCH_SIZE];
  guint8 data[BATCH_SIZE][DP_DATAGRAM_MAX];
} Batch;

typedef struct
{
  DpPacketPort base;
  int fd;
  GSource *source;
  gpointer fd_tag; /* of the socket within source */
  DpPacketFunc received;
  gpointer user_data;
  guint n_pending; /* datagrams queued in out */
  DpPacketPortStats stats;
  Batch in;
  Batch out;
} UdpPort;

typedef struct
{
  GSource base;
  UdpPort *port;
} UdpSource;

static gboolean udp_send_ (DpPacketPort *base,
                           const DpAddress *destination,
                           const guint8 *data,
                           gsize length);
static void udp_flush_ (DpPacketPort *base);
static void udp_free_ (DpPacketPort *base);
static gboolean prepare_ (GSource *source, gint *timeout_ms);
static gboolean check_ (GSource *source);
static gboolean dispatch_ (GSource *source, GSourceFunc callback, gpointer data);
static int open_socket_ (const DpAddress *address, GError **error);
static void init_batch_ (Batch *batch);
static guint receive_batch_ (UdpPort *port);

static const DpPacketPortVtable udp_vtable_ = {
  .send = udp_send_,
  .flush = udp_flush_,
  .free = udp_free_,
};

static GSourceFuncs source_funcs_ = {
  .prepare = prepare_,
  .check = check_,
  .dispatch = dispatch_,
};

/* Binds a UDP socket to address and calls received for each datagram on the default main
 * context. Returns NULL with DP_ERROR_UNAVAILABLE if the socket can't be bound; the
 * message names the address and the system's reason. */
DpPacketPort *
dp_udp_port_new (const DpAddress *address,
                 DpPacketFunc received,
                 gpointer user_data,
                 GError **error)
{
  int fd = open_socket_ (address, error);
  UdpPort *port;

  if (fd < 0)
    return NULL;
  port = g_new0 (UdpPort, 1);
  port->base.vtable = &udp_vtable_;
  port->fd = fd;
  port->received = received;
  port->user_data = user_data;
  init_batch_ (&port->in);
  init_batch_ (&port->out);
  port->source = g_source_new (&source_funcs_, sizeof (UdpSource));
  ((UdpSource *) port->source)->port = port;
  port->fd_tag = g_source_add_unix_fd (port->source, fd, G_IO_IN);
  g_source_set_name (port->source, "packet port");
  g_source_attach (port->source, NULL);
  return &port->base;
}

void
dp_udp_port_set_priority (DpPacketPort *base, int priority)
{
  g_source_set_priority (((UdpPort *) base)->source, priority);
}

/* Returns the address that a UDP port is bound to. */
DpAddress
dp_udp_port_address (DpPacketPort *base)
{
  UdpPort *port = (UdpPort *) base;
  struct sockaddr_in name = { 0 };
  socklen_t length = sizeof name;
  DpAddress address = { 0 };

  if (getsockname (port->fd, (struct sockaddr *) &name, &length) == 0)
    {
      address.ip = ntohl (name.sin_addr.s_addr);
      address.port = ntohs (name.sin_port);
    }
  return address;
}

/* Returns the counters of a UDP port, which are valid as long as the port. */
const DpPacketPortStats *
dp_udp_port_stats (DpPacketPort *base)
{
  return &((UdpPort *) base)->stats;
}

/* Queues a copy of the datagram. It is sent before the main loop next waits, at the
 * latest. Returns FALSE if it is longer than DP_DATAGRAM_MAX. */
gboolean
dp_packet_port_send (DpPacketPort *port,
                     const DpAddress *destination,
                     const guint8 *data,
                     gsize length)
{
  return port->vtable->send (port, destination, data, length);
}

/* Sends all queued datagrams. */
void
dp_packet_port_flush (DpPacketPort *port)
{
  port->vtable->flush (port);
}

/* Sends all queued datagrams and frees the port. */
void
dp_packet_port_free (DpPacketPort *port)
{
  if (port != NULL)
    port->vtable->free (port);
}

static gboolean
udp_send_ (DpPacketPort *base,
           const DpAddress *destination,
           const guint8 *data,
           gsize length)
{
  UdpPort *port = (UdpPort *) base;
  guint i;

  if (length > DP_DATAGRAM_MAX)
    return FALSE;
  if (port->n_pending == BATCH_SIZE)
    udp_flush_ (base);
  i = port->n_pending++;
  memcpy (port->out.data[i], data, length);
  port->out.vectors[i].iov_len = length;
  port->out.addresses[i].sin_addr.s_addr = htonl (destination->ip);
  port->out.addresses[i].sin_port = htons (destination->port);
  return TRUE;
}

/* Sends all queued datagrams. Drops those that the socket refuses, just as a network may
 * drop datagrams; TCP retransmits their content. */
static void
udp_flush_ (DpPacketPort *base)
{
  UdpPort *port = (UdpPort *) base;
  guint n_done = 0;

  while (n_done < port->n_pending)
    {
      int n = sendmmsg (port->fd, port->out.messages + n_done, port->n_pending - n_done,
                        MSG_DONTWAIT | MSG_NOSIGNAL);

      if (n > 0)
        {
          n_done += (guint) n;
          port->stats.sent += (guint) n;
          continue;
        }
      if (errno == EINTR)
        continue;
      /* The error belongs to the first datagram of the call; skip only that one. */
      n_done++;
      port->stats.unsent++;
    }
  port->n_pending = 0;
}

static void
udp_free_ (DpPacketPort *base)
{
  UdpPort *port = (UdpPort *) base;

  udp_flush_ (base);
  g_source_destroy (port->source);
  g_source_unref (port->source);
  close (port->fd);
  g_free (port);
}

/* Runs before the main loop waits, to send what the other sources have queued. */
static gboolean
prepare_ (GSource *source, gint *timeout_ms)
{
  UdpPort *port = ((UdpSource *) source)->port;

  if (port->n_pending > 0)
    udp_flush_ (&port->base);
  *timeout_ms = -1;
  return FALSE;
}

static gboolean
check_ (GSource *source)
{
  UdpPort *port = ((UdpSource *) source)->port;

  return g_source_query_unix_fd (source, port->fd_tag) != 0;
}

static gboolean
dispatch_ (GSource *source, GSourceFunc callback, gpointer data)
{
  UdpPort *port = ((UdpSource *) source)->port;

  for (guint i = 0; i < BATCHES_PER_DISPATCH; i++)
    {
      if (receive_batch_ (port) < BATCH_SIZE)
        break;
    }
  return G_SOURCE_CONTINUE;
}

static int
open_socket_ (const DpAddress *address, GError **error)
{
  const int buffer = SOCKET_BUFFER;
  struct sockaddr_in name = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (address->ip),
    .sin_port = htons (address->port),
  };
  char text[DP_ADDRESS_STRLEN];
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd >= 0 && bind (fd, (struct sockaddr *) &name, sizeof name) == 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
      setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
      return fd;
    }
  dp_error_set (error, DP_ERROR_UNAVAILABLE, "packet port",
                dp_address_format (address, text), "%s", g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

static void
init_batch_ (Batch *batch)
{
  for (guint i = 0; i < BATCH_SIZE; i++)
    {
      struct msghdr *header = &batch->messages[i].msg_hdr;

      batch->vectors[i].iov_base = batch->data[i];
      batch->vectors[i].iov_len = DP_DATAGRAM_MAX;
      batch->addresses[i].sin_family = AF_INET;
      header->msg_iov = &batch->vectors[i];
      header->msg_iovlen = 1;
      header->msg_name = &batch->addresses[i];
      header->msg_namelen = sizeof batch->addresses[i];
    }
}

/* Passes on pending datagrams and returns their number, at most BATCH_SIZE. */
static guint
receive_batch_ (UdpPort *port)
{
  int n = recvmmsg (port->fd, port->in.messages, BATCH_SIZE, MSG_DONTWAIT, NULL);

  for (int i = 0; i < n; i++)
    {
      const struct mmsghdr *message = &port->in.messages[i];
      DpAddress source = {
        .ip = ntohl (port->in.addresses[i].sin_addr.s_addr),
        .port = ntohs (port->in.addresses[i].sin_port),
      };

      if ((message->msg_hdr.msg_flags & MSG_TRUNC) != 0)
        {
          port->stats.too_long++;
          continue;
        }
      port->stats.received++;
      port->received (&source, port->in.data[i], message->msg_len, port->user_data);
    }
  return n > 0 ? (guint) n : 0;
}
