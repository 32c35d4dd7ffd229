#include "private/ownerqueries.h"

/* Bound the queries in a second, each of which goes to every member, and the memory to
 * about 2 MB. */
#define SEARCHES_MAX 256
#define PACKETS_MAX 1536
/* Time for which a search without packets is remembered. Clients send a packet again
 * after 1.6 s at most. */
#define SUSPENDED_TTL_US (2 * DP_US_PER_S)

/* The search of one flow's owner. */
typedef struct
{
  DpFlowKey key;
  GHashTable *not_heard; /* set of DpAddress, members that have not answered the query;
                            NULL once the time for answers is over */
  GArray *candidates;    /* DpAddress, members that may have the flow */
  GArray *unawaited;     /* DpAddress, those of them that are asked last: silent ones, and
                            members whose servers are silent */
  guint n_awaited;       /* of the candidates: those whose answers to a copy are waited
                            for; the unawaited ones follow them after the query */
  guint n_asked;         /* of the candidates: those that have been sent a copy */
  gboolean waits;        /* for the answer of the last one of these */
  gboolean stalled;      /* one of them has not answered */
  GArray *silent;        /* DpAddress, members that have not answered after a copy */
  gint64 due_at;         /* us, end of the time for answers or, if suspended, of the
                            search */
  GQueue packets;        /* DpQueriedPacket; empty if the search is suspended */
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
static Search *begin_ (DpOwnerQueries *queries, const DpFlowKey *key);
static void start_round_ (DpOwnerQueries *queries,
                          Search *search,
                          const DpMemberView *view,
                          guint32 self_id,
                          const DpSegment *segment,
                          gint64 now);
static const DpAddress *last_candidate_ (const Search *search);
static gboolean is_silent_ (const Search *search, const DpAddress *member);
static void note_timeouts_ (Search *search, gint64 now);
static gboolean has_step_ (const Search *search);
static void
set_step_ (DpOwnerQueries *queries, Search *search, DpOwnerSearchStep *step, gint64 now);
static const DpQueriedPacket *packet_to_copy_ (Search *search);
static DpQueriedPacket
take_packet_ (DpOwnerQueries *queries, Search *search, GList *link);
static gboolean is_suspended_ (const Search *search);
static gboolean remove_oldest_suspended_ (DpOwnerQueries *queries);
static void end_round_ (DpOwnerQueries *queries, Search *search, gint64 now);
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
      || (search == NULL && g_hash_table_size (queries->searches) >= SEARCHES_MAX
          && !remove_oldest_suspended_ (queries)))
    return FALSE;
  if (search == NULL)
    search = begin_ (queries, &queried->segment.key);
  if (is_suspended_ (search))
    start_round_ (queries, search, view, self_id, &queried->segment, now);
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
  if (answer->may_have_flow
      && (answer->server_silent || is_silent_ (search, &answer->sender)))
    g_array_append_val (search->unawaited, answer->sender);
  else if (answer->may_have_flow)
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
  if (is_suspended_ (search))
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

      if (is_suspended_ (search))
        {
          if (now >= search->due_at)
            remove_ (queries, search);
          continue;
        }
      note_timeouts_ (search, now);
      if (has_step_ (search))
        {
          set_step_ (queries, search, step, now);
          return TRUE;
        }
      if (search->stalled)
        end_round_ (queries, search, now);
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
  GHashTableIter iter;
  gpointer search;
  guint n = 0;

  g_hash_table_iter_init (&iter, queries->searches);
  while (g_hash_table_iter_next (&iter, &search, NULL))
    n += is_suspended_ (search) ? 0 : 1;
  return n;
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

/* Adds a suspended search. */
static Search *
begin_ (DpOwnerQueries *queries, const DpFlowKey *key)
{
  Search *search = g_new0 (Search, 1);

  search->key = *key;
  search->candidates = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  search->unawaited = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  search->silent = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  g_queue_init (&search->packets);
  g_hash_table_add (queries->searches, search);
  return search;
}

/* Asks all members of the view for the flow's owner. */
static void
start_round_ (DpOwnerQueries *queries,
              Search *search,
              const DpMemberView *view,
              guint32 self_id,
              const DpSegment *segment,
              gint64 now)
{
  const DpOwnerQuery query = { .key = segment->key, .ack = segment->ack };

  search->not_heard = g_hash_table_new_full (hash_address_, equal_addresses_, g_free,
                                             NULL);
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];

      if (m->id != self_id)
        g_hash_table_add (search->not_heard, g_memdup2 (&m->address, sizeof m->address));
    }
  if (now >= search->due_at)
    g_array_set_size (search->silent, 0);
  g_array_set_size (search->candidates, 0);
  g_array_set_size (search->unawaited, 0);
  search->n_awaited = 0;
  search->n_asked = 0;
  search->waits = FALSE;
  search->stalled = FALSE;
  search->due_at = now + DP_PEER_ANSWER_TIMEOUT_US;
  g_array_append_val (queries->pending, query);
}

/* Returns the candidate that was sent a copy last. */
static const DpAddress *
last_candidate_ (const Search *search)
{
  return &g_array_index (search->candidates, DpAddress, search->n_asked - 1);
}

/* Returns whether the member has not answered after a copy. It may have the flow, or its
 * server is gone. It must not keep the packet from the others, and gets it after them,
 * since a packet that other servers get later than its own counts as strayed. */
static gboolean
is_silent_ (const Search *search, const DpAddress *member)
{
  for (guint i = 0; i < search->silent->len; i++)
    if (dp_address_equal (&g_array_index (search->silent, DpAddress, i), member))
      return TRUE;
  return FALSE;
}

/* Ends the time for the answers to the query, or for the answer of the last candidate.
 * As that may have the flow, no other server is to get this packet. */
static void
note_timeouts_ (Search *search, gint64 now)
{
  if (search->not_heard != NULL
      && (g_hash_table_size (search->not_heard) == 0 || now >= search->due_at))
    {
      g_clear_pointer (&search->not_heard, g_hash_table_unref);
      search->n_awaited = search->candidates->len;
      g_array_append_vals (search->candidates, search->unawaited->data,
                           search->unawaited->len);
    }
  else if (search->waits && now >= search->due_at)
    {
      search->waits = FALSE;
      search->stalled = TRUE;
      g_array_append_val (search->silent, *last_candidate_ (search));
      search->n_asked = search->n_awaited;
    }
}

/* Returns whether a candidate is to get a copy, or all of them have returned theirs. */
static gboolean
has_step_ (const Search *search)
{
  return search->not_heard == NULL && !search->waits
         && (search->n_asked < search->candidates->len || !search->stalled);
}

/* Sets the step to the next candidate or, if all have been asked, to the next packet. */
static void
set_step_ (DpOwnerQueries *queries, Search *search, DpOwnerSearchStep *step, gint64 now)
{
  *step = (DpOwnerSearchStep){ 0 };
  search->due_at = now + DP_PEER_ANSWER_TIMEOUT_US;
  if (search->n_asked < search->candidates->len)
    {
      search->n_asked++;
      search->waits = search->n_asked <= search->n_awaited;
      step->has_candidate = TRUE;
      step->candidate = *last_candidate_ (search);
      step->queried = *packet_to_copy_ (search);
      g_bytes_ref (step->queried.packet);
      return;
    }
  step->queried = take_packet_ (queries, search, search->packets.head);
  if (is_suspended_ (search))
    end_round_ (queries, search, now);
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

/* Returns whether the search waits for the client to send a packet again. */
static gboolean
is_suspended_ (const Search *search)
{
  return search->packets.length == 0;
}

/* Makes room for another search; returns FALSE if none is suspended. */
static gboolean
remove_oldest_suspended_ (DpOwnerQueries *queries)
{
  Search *oldest = NULL;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, queries->searches);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Search *search = key;

      if (is_suspended_ (search) && (oldest == NULL || search->due_at < oldest->due_at))
        oldest = search;
    }
  if (oldest != NULL)
    remove_ (queries, oldest);
  return oldest != NULL;
}

/* Drops the packets. The search is suspended if it has learnt which members are silent,
 * and ends otherwise. */
static void
end_round_ (DpOwnerQueries *queries, Search *search, gint64 now)
{
  if (search->silent->len == 0)
    {
      remove_ (queries, search);
      return;
    }
  queries->n_packets -= g_queue_get_length (&search->packets);
  g_queue_clear_full (&search->packets, packet_free_);
  search->due_at = now + SUSPENDED_TTL_US;
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
  g_array_unref (search->unawaited);
  g_array_unref (search->silent);
  g_free (search);
}
