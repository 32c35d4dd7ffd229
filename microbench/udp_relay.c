/* A plain UDP relay as the baseline for the balancer's packet rate. It receives and sends
 * in the same batches as the packet port, but does not read the packets. Runs until it is
 * killed.
 *
 * usage: udp_relay LISTEN_IP:PORT DESTINATION_IP:PORT */
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>

#include "protected/address.h"

#define BATCH 64 /* as in packetport.c */
#define DATAGRAM_MAX_BYTES 2048
#define SOCKET_BUFFER_BYTES 4194304

typedef struct
{
  struct mmsghdr messages[BATCH];
  struct iovec vectors[BATCH];
  struct sockaddr_in sources[BATCH];
  guint8 data[BATCH][DATAGRAM_MAX_BYTES];
} Batch;

static struct sockaddr_in
socket_address (const char *text)
{
  DpAddress address = { 0 };

  if (!dp_address_parse (text, &address, NULL))
    g_error ("not an address: %s", text);
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_addr.s_addr = htonl (address.ip),
                               .sin_port = htons (address.port) };
}

static void
relay_batch (int fd, Batch *batch, struct sockaddr_in *destination)
{
  int n;

  for (int i = 0; i < BATCH; i++)
    {
      batch->vectors[i] = (struct iovec){ batch->data[i], DATAGRAM_MAX_BYTES };
      batch->messages[i].msg_hdr =
          (struct msghdr){ .msg_name = &batch->sources[i],
                           .msg_namelen = sizeof batch->sources[i],
                           .msg_iov = &batch->vectors[i],
                           .msg_iovlen = 1 };
    }
  n = recvmmsg (fd, batch->messages, BATCH, MSG_DONTWAIT, NULL);
  for (int i = 0; i < n; i++)
    {
      batch->vectors[i].iov_len = batch->messages[i].msg_len;
      batch->messages[i].msg_hdr.msg_name = destination;
    }
  if (n > 0)
    sendmmsg (fd, batch->messages, (guint) n, MSG_DONTWAIT | MSG_NOSIGNAL);
}

int
main (int argc, char **argv)
{
  static Batch batch;
  const int buffer = SOCKET_BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  struct pollfd ready = { .fd = fd, .events = POLLIN };
  struct sockaddr_in listen;
  struct sockaddr_in destination;

  if (argc != 3)
    return 2;
  listen = socket_address (argv[1]);
  destination = socket_address (argv[2]);
  if (bind (fd, (struct sockaddr *) &listen, sizeof listen) != 0)
    {
      perror (argv[1]);
      return 1;
    }
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
  while (poll (&ready, 1, -1) >= 0)
    relay_batch (fd, &batch, &destination);
  return 1;
}
