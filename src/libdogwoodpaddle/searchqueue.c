#include "private/searchqueue.h"

/* Bounds the memory to about 2 MB. */
#define PACKETS_MAX 1536
/* A packet that has found no member to answer for this time is left to the client's
 * retransmission, which comes after 1.6 s at the latest. */
#define AGE_MAX_US (1600 * DP_US_PER_MS)

struct _DpSearchQueue
{
  GQueue packets; /* DpSearchedPacket, by sent_at */
};

static void packet_free_ (gpointer data);

DpSearchQueue *
dp_search_queue_new (void)
{
  DpSearchQueue *queue = g_new0 (DpSearchQueue, 1);

  g_queue_init (&queue->packets);
  return queue;
}

void
dp_search_queue_free (DpSearchQueue *queue)
{
  if (queue == NULL)
    return;
  dp_search_queue_clear (queue);
  g_free (queue);
}

void
dp_search_queue_push (DpSearchQueue *queue, const DpSearchedPacket *searched)
{
  DpSearchedPacket *packet;

  if (g_queue_get_length (&queue->packets) >= PACKETS_MAX)
    return;
  packet = g_memdup2 (searched, sizeof *searched);
  g_bytes_ref (packet->packet);
  g_queue_push_tail (&queue->packets, packet);
}

gboolean
dp_search_queue_next_unanswered (DpSearchQueue *queue,
                                 const DpPeerProbes *probes,
                                 DpSearchedPacket *searched,
                                 gint64 now)
{
  DpSearchedPacket *packet;

  while ((packet = g_queue_peek_head (&queue->packets)) != NULL
         && now - packet->sent_at >= DP_PEER_ANSWER_TIMEOUT_US)
    {
      g_queue_pop_head (&queue->packets);
      if (now - packet->first_sent_at < AGE_MAX_US
          && !dp_peer_probes_is_responsive (probes, &packet->member, now))
        {
          *searched = *packet;
          g_free (packet);
          return TRUE;
        }
      packet_free_ (packet);
    }
  return FALSE;
}

/* Drops all packets. */
void
dp_search_queue_clear (DpSearchQueue *queue)
{
  g_queue_clear_full (&queue->packets, packet_free_);
}

/* Returns the number of packets. */
guint
dp_search_queue_length (const DpSearchQueue *queue)
{
  return queue->packets.length;
}

static void
packet_free_ (gpointer data)
{
  DpSearchedPacket *packet = data;

  g_bytes_unref (packet->packet);
  g_free (packet);
}
