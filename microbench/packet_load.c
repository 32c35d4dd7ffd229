/* Sends IP packets of random flows over UDP as fast as it can and counts how many arrive
 * at another address. A balancer or a relay in between is the bottleneck.
 *
 * usage: packet_load TARGET_IP:PORT SINK_IP:PORT SERVICE_IP:PORT PACKET_BYTES
 * MILLISECONDS
 *
 * Prints a JSON line with the number of packets that were sent in total and of those that
 * arrived in the given time, which starts after a warm-up of a tenth of it. */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "protected/address.h"

#define BATCH 64
#define SENDERS 2
#define DATAGRAM_MAX_BYTES 2048
#define SOCKET_BUFFER_BYTES 4194304
#define RECEIVE_TIMEOUT_US 20000

typedef struct
{
  struct sockaddr_in target;
  DpAddress service;
  guint packet_bytes;
  guint64 seed;
  guint64 sent;
} Sender;

static int stopped;
static int sink_fd;
static guint64 arrived;

static struct sockaddr_in
socket_address (const DpAddress *address)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_addr.s_addr = htonl (address->ip),
                               .sin_port = htons (address->port) };
}

/* Writes only the fields of the IPv4 and TCP headers that routing reads. */
static void
write_headers (guint8 *packet, const Sender *sender, guint64 flow)
{
  const guint32 ips[2] = { (guint32) flow, GUINT32_TO_BE (sender->service.ip) };
  const guint16 ports[2] = { (guint16) (flow >> 32),
                             GUINT16_TO_BE (sender->service.port) };

  packet[0] = 0x45;
  packet[2] = (guint8) (sender->packet_bytes >> 8);
  packet[3] = (guint8) sender->packet_bytes;
  packet[9] = 6;
  memcpy (packet + 12, ips, sizeof ips);
  memcpy (packet + 20, ports, sizeof ports);
  packet[32] = 0x50;
  packet[33] = 0x10;
}

static gpointer
send_packets (gpointer user_data)
{
  Sender *sender = user_data;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  guint8 (*data)[DATAGRAM_MAX_BYTES] = g_malloc0 ((gsize) BATCH * DATAGRAM_MAX_BYTES);
  struct mmsghdr messages[BATCH] = { 0 };
  struct iovec vectors[BATCH];

  for (guint i = 0; i < BATCH; i++)
    {
      vectors[i] = (struct iovec){ data[i], sender->packet_bytes };
      messages[i].msg_hdr.msg_iov = &vectors[i];
      messages[i].msg_hdr.msg_iovlen = 1;
      messages[i].msg_hdr.msg_name = &sender->target;
      messages[i].msg_hdr.msg_namelen = sizeof sender->target;
    }
  while (!g_atomic_int_get (&stopped))
    {
      int n;

      for (guint i = 0; i < BATCH; i++)
        {
          /* xorshift64 */
          sender->seed ^= sender->seed << 13;
          sender->seed ^= sender->seed >> 7;
          sender->seed ^= sender->seed << 17;
          write_headers (data[i], sender, sender->seed);
        }
      n = sendmmsg (fd, messages, BATCH, 0);
      sender->sent += n > 0 ? (guint64) n : 0;
    }
  close (fd);
  g_free (data);
  return NULL;
}

static gpointer
receive_packets (gpointer user_data)
{
  guint8 (*data)[DATAGRAM_MAX_BYTES] = g_malloc0 ((gsize) BATCH * DATAGRAM_MAX_BYTES);
  struct mmsghdr messages[BATCH] = { 0 };
  struct iovec vectors[BATCH];

  for (guint i = 0; i < BATCH; i++)
    {
      vectors[i] = (struct iovec){ data[i], DATAGRAM_MAX_BYTES };
      messages[i].msg_hdr.msg_iov = &vectors[i];
      messages[i].msg_hdr.msg_iovlen = 1;
    }
  while (!g_atomic_int_get (&stopped))
    {
      int n = recvmmsg (sink_fd, messages, BATCH, MSG_WAITFORONE, NULL);

      if (n > 0)
        __atomic_add_fetch (&arrived, (guint64) n, __ATOMIC_RELAXED);
    }
  g_free (data);
  return NULL;
}

static gboolean
open_sink (const DpAddress *address)
{
  const int buffer = SOCKET_BUFFER_BYTES;
  const struct timeval timeout = { .tv_usec = RECEIVE_TIMEOUT_US };
  struct sockaddr_in name = socket_address (address);

  sink_fd = socket (AF_INET, SOCK_DGRAM, 0);
  setsockopt (sink_fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (sink_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return bind (sink_fd, (struct sockaddr *) &name, sizeof name) == 0;
}

int
main (int argc, char **argv)
{
  Sender senders[SENDERS] = { 0 };
  GThread *threads[SENDERS + 1];
  DpAddress target;
  DpAddress sink;
  DpAddress service;
  gulong us;
  guint64 before;
  guint64 after;
  gint64 started_at;
  double seconds;
  guint64 total_sent = 0;

  if (argc != 6 || !dp_address_parse (argv[1], &target, NULL)
      || !dp_address_parse (argv[2], &sink, NULL)
      || !dp_address_parse (argv[3], &service, NULL))
    return 2;
  us = strtoul (argv[5], NULL, 10) * 1000;
  if (!open_sink (&sink))
    {
      perror (argv[2]);
      return 1;
    }
  for (guint i = 0; i < SENDERS; i++)
    {
      senders[i] = (Sender){ .target = socket_address (&target),
                             .service = service,
                             .packet_bytes = (guint) strtoul (argv[4], NULL, 10),
                             .seed = i + 1 };
      threads[i] = g_thread_new ("send", send_packets, &senders[i]);
    }
  threads[SENDERS] = g_thread_new ("receive", receive_packets, NULL);
  g_usleep (us / 10);
  before = __atomic_load_n (&arrived, __ATOMIC_RELAXED);
  started_at = g_get_monotonic_time ();
  g_usleep (us);
  after = __atomic_load_n (&arrived, __ATOMIC_RELAXED);
  seconds = (double) (g_get_monotonic_time () - started_at) / 1e6;
  g_atomic_int_set (&stopped, 1);
  for (guint i = 0; i <= SENDERS; i++)
    g_thread_join (threads[i]);
  for (guint i = 0; i < SENDERS; i++)
    total_sent += senders[i].sent;
  printf ("{\"sent\":%" G_GUINT64_FORMAT ",\"arrived\":%" G_GUINT64_FORMAT
          ",\"seconds\":%.3f,\"packets_per_s\":%.0f}\n",
          total_sent, after - before, seconds, (double) (after - before) / seconds);
  return 0;
}
