#include "private/ownerqueries.h"

/* Bound the queries in a second, each of which goes to every member, and the memory to
 * about 2 MB. */
#define SEARCHES_MAX 256
#define PACKETS_MAX 1536

/* The search of one flow's owner. */
typedef struct
{
  DpFlowKey key;
  GHashTable *not_heard; /* set of DpAddress, members that have not answered the query;
                            NULL once the time for answers is over */
  GArray *candidates;    /* DpAddress, members that may have the flow */
  guint n_asked;         /* of the candidates: those that have been sent a copy */
  gboolean waits;        /* for the answer of the last one of these */
  gint64 due_at;         /* us, end of the time for answers */
  GQueue packets;        /* DpQueriedPacket, never empty between two calls */
} Search;

struct _DpOwnerQueries
{
  GHashTable *searches; /* set of Search, compared by key */
  GArray *pending;      /* DpOwnerQuery, to be sent */
  guint n_packets;
};

static guint hash_search_ (gconstpointer search);
static gboolean equal_searches_ (gconstpointer a, gconstpointer b);
static guint hash_address_ (gconstpointer address);
static gboolean equal_addresses_ (gconstpointer a, gconstpointer b);
static Search *find_ (const DpOwnerQueries *queries, const DpFlowKey *key);
static Search *begin_ (DpOwnerQueries *queries,
                       const DpMemberView *view,
                       guint32 self_id,
                       const DpSegment *segment,
                       gint64 now);
static const DpAddress *last_candidate_ (const Search *search);
static gboolean has_step_ (const Search *search, gint64 now);
static void
set_step_ (DpOwnerQueries *queries, Search *search, DpOwnerSearchStep *step, gint64 now);
static const DpQueriedPacket *packet_to_copy_ (Search *search);
static DpQueriedPacket
take_packet_ (DpOwnerQueries *queries, Search *search, GList *link);
static void remove_ (DpOwnerQueries *queries, Search *search);
static void packet_free_ (gpointer data);
static void search_free_ (gpointer data);

/* Creates an empty set of searches. */
DpOwnerQueries *
dp_owner_queries_new (void)
{
  DpOwnerQueries *queries = g_new0 (DpOwnerQueries, 1);

  queries->searches = g_hash_table_new_full (hash_search_, equal_searches_, NULL,
                                             search_free_);
  queries->pending = g_array_new (FALSE, FALSE, sizeof (DpOwnerQuery));
  return queries;
}

void
dp_owner_queries_free (DpOwnerQueries *queries)
{
  if (queries == NULL)
    return;
  g_hash_table_unref (queries->searches);
  g_array_unref (queries->pending);
  g_free (queries);
}

gboolean
dp_owner_queries_add (DpOwnerQueries *queries,
                      const DpMemberView *view,
                      guint32 self_id,
                      const DpQueriedPacket *queried,
                      gint64 now)
{
  Search *search = find_ (queries, &queried->segment.key);

  if (queries->n_packets >= PACKETS_MAX
      || (search == NULL && g_hash_table_size (queries->searches) >= SEARCHES_MAX))
    return FALSE;
  if (search == NULL)
    search = begin_ (queries, view, self_id, &queried->segment, now);
  g_bytes_ref (queried->packet);
  g_queue_push_tail (&search->packets, g_memdup2 (queried, sizeof *queried));
  queries->n_packets++;
  return TRUE;
}

gboolean
dp_owner_queries_next (DpOwnerQueries *queries, DpOwnerQuery *query)
{
  if (queries->pending->len == 0)
    return FALSE;
  *query = g_array_index (queries->pending, DpOwnerQuery, queries->pending->len - 1);
  g_array_set_size (queries->pending, queries->pending->len - 1);
  return TRUE;
}

gboolean
dp_owner_queries_note_answer (DpOwnerQueries *queries, const DpOwnerAnswer *answer)
{
  Search *search = find_ (queries, &answer->key);

  if (search == NULL)
    return FALSE;
  if (search->not_heard == NULL)
    {
      const gboolean returned = search->waits && !answer->may_have_flow
                                && dp_address_equal (&answer->sender,
                                                     last_candidate_ (search));

      search->waits = search->waits && !returned;
      return returned;
    }
  if (!g_hash_table_remove (search->not_heard, &answer->sender))
    return FALSE;
  if (answer->may_have_flow)
    g_array_append_val (search->candidates, answer->sender);
  return g_hash_table_size (search->not_heard) == 0;
}

gboolean
dp_owner_queries_take (DpOwnerQueries *queries,
                       const DpFlowKey *key,
                       DpQueriedPacket *queried)
{
  Search *search = find_ (queries, key);
  GList *l = search == NULL ? NULL : search->packets.head;

  while (l != NULL
         && ((const DpQueriedPacket *) l->data)->hop.n_owners_tried
                >= DP_OWNERS_TRIED_MAX)
    l = l->next;
  if (l == NULL)
    return FALSE;
  *queried = take_packet_ (queries, search, l);
  if (g_queue_is_empty (&search->packets))
    remove_ (queries, search);
  return TRUE;
}

gboolean
dp_owner_queries_next_step (DpOwnerQueries *queries, DpOwnerSearchStep *step, gint64 now)
{
  g_autoptr (GList) searches = g_hash_table_get_keys (queries->searches);

  for (GList *l = searches; l != NULL; l = l->next)
    {
      Search *search = l->data;

      if (has_step_ (search, now))
        {
          set_step_ (queries, search, step, now);
          return TRUE;
        }
      if (search->not_heard == NULL && now >= search->due_at)
        remove_ (queries, search);
    }
  return FALSE;
}

void
dp_owner_queries_clear (DpOwnerQueries *queries)
{
  g_hash_table_remove_all (queries->searches);
  g_array_set_size (queries->pending, 0);
  queries->n_packets = 0;
}

guint
dp_owner_queries_n_searches (const DpOwnerQueries *queries)
{
  return g_hash_table_size (queries->searches);
}

static guint
hash_search_ (gconstpointer search)
{
  return (guint) dp_flow_key_hash (&((const Search *) search)->key);
}

static gboolean
equal_searches_ (gconstpointer a, gconstpointer b)
{
  return dp_flow_key_equal (&((const Search *) a)->key, &((const Search *) b)->key);
}

static guint
hash_address_ (gconstpointer address)
{
  const DpAddress *a = address;

  return a->ip * 31 + a->port;
}

static gboolean
equal_addresses_ (gconstpointer a, gconstpointer b)
{
  return dp_address_equal (a, b);
}

static Search *
find_ (const DpOwnerQueries *queries, const DpFlowKey *key)
{
  const Search wanted = { .key = *key };

  return g_hash_table_lookup (queries->searches, &wanted);
}

static Search *
begin_ (DpOwnerQueries *queries,
        const DpMemberView *view,
        guint32 self_id,
        const DpSegment *segment,
        gint64 now)
{
  const DpOwnerQuery query = { .key = segment->key, .ack = segment->ack };
  Search *search = g_new0 (Search, 1);

  search->key = segment->key;
  search->due_at = now + DP_PEER_ANSWER_TIMEOUT_US;
  search->candidates = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  search->not_heard = g_hash_table_new_full (hash_address_, equal_addresses_, g_free,
                                             NULL);
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];

      if (m->id != self_id)
        g_hash_table_add (search->not_heard, g_memdup2 (&m->address, sizeof m->address));
    }
  g_queue_init (&search->packets);
  g_hash_table_add (queries->searches, search);
  g_array_append_val (queries->pending, query);
  return search;
}

/* Returns the candidate that was sent a copy last. */
static const DpAddress *
last_candidate_ (const Search *search)
{
  return &g_array_index (search->candidates, DpAddress, search->n_asked - 1);
}

/* Returns whether the answers that are waited for have come, or those to the query are
 * overdue. A member that was sent a copy is waited for. */
static gboolean
has_step_ (const Search *search, gint64 now)
{
  return !search->waits
         && (search->not_heard == NULL || g_hash_table_size (search->not_heard) == 0
             || now >= search->due_at);
}

/* Sets the step to the next candidate or, if all have been asked, to the next packet. */
static void
set_step_ (DpOwnerQueries *queries, Search *search, DpOwnerSearchStep *step, gint64 now)
{
  *step = (DpOwnerSearchStep){ 0 };
  g_clear_pointer (&search->not_heard, g_hash_table_unref);
  search->due_at = now + DP_PEER_ANSWER_TIMEOUT_US;
  if (search->n_asked < search->candidates->len)
    {
      search->n_asked++;
      search->waits = TRUE;
      step->has_candidate = TRUE;
      step->candidate = *last_candidate_ (search);
      step->queried = *packet_to_copy_ (search);
      g_bytes_ref (step->queried.packet);
      return;
    }
  step->queried = take_packet_ (queries, search, search->packets.head);
  if (g_queue_is_empty (&search->packets))
    remove_ (queries, search);
}

/* Returns the first packet with data, or else the first one: a server answers data, which
 * shows that it has the flow. */
static const DpQueriedPacket *
packet_to_copy_ (Search *search)
{
  for (GList *l = search->packets.head; l != NULL; l = l->next)
    if (((const DpQueriedPacket *) l->data)->segment.payload_length > 0)
      return l->data;
  return g_queue_peek_head (&search->packets);
}

/* Returns the packet, whose bytes the caller owns. */
static DpQueriedPacket
take_packet_ (DpOwnerQueries *queries, Search *search, GList *link)
{
  g_autofree DpQueriedPacket *packet = link->data;

  g_queue_delete_link (&search->packets, link);
  queries->n_packets--;
  return *packet;
}

/* Ends the search and drops its packets. */
static void
remove_ (DpOwnerQueries *queries, Search *search)
{
  queries->n_packets -= g_queue_get_length (&search->packets);
  g_hash_table_remove (queries->searches, search);
}

static void
packet_free_ (gpointer data)
{
  DpQueriedPacket *packet = data;

  g_bytes_unref (packet->packet);
  g_free (packet);
}

static void
search_free_ (gpointer data)
{
  Search *search = data;

  g_queue_clear_full (&search->packets, packet_free_);
  g_clear_pointer (&search->not_heard, g_hash_table_unref);
  g_array_unref (search->candidates);
  g_free (search);
}
