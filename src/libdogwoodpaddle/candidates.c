/* Each member has points at pseudo-random positions of a ring, their number proportional
 * to its slots. A flow's hash is a position as well; its candidates are the members in
 * the order of their first point at or after that position. A member's first point
 * depends on this member and the flow alone, so members that join or leave never reorder
 * the others.
 *
 * Ranking members for each of n buckets of flows has this property only while n stays the
 * same: with a number of buckets that follows the number of members, the list that
 * doubles n would reorder all flows at once. */
#include "protected/candidates.h"

#include <string.h>

#include "protected/header.h"

/* 64 points for the smallest servers (2 slots): a member's share of the flows then has a
 * standard deviation of 1/8 of its mean. */
#define POINTS_PER_SLOT 32
/* Bounds the table at about 28 MiB. Above 65,536 slots in one service, every member has
 * fewer points per slot. */
#define MAX_POINTS (1u << 21)
#define POINTS_PER_BUCKET 1
#define MIN_BUCKET_BITS 4
#define POSITION_BITS 32
#define MEMBER_NONE G_MAXUINT32

/* Position in the high 32 bits, index of the member in the low 32 bits; positions that
 * are equal are thus ordered by member id. */
typedef guint64 Point;

struct _DpCandidates
{
  Point *points; /* ascending */
  /* Index of the first point at or after the bucket's first position. */
  guint32 *buckets;
  guint8 *states; /* DpMemberState by member index */
  const DpMember *members;
  guint n_points;
  guint bucket_shift; /* position >> bucket_shift is the bucket */
  guint n_buckets;
  guint n_members;
  guint n_eligible[DP_N_CANDIDATE_KINDS];
  DpView *view;
};

static guint64 mix_ (guint64 value);
static guint points_per_slot_ (const DpView *view);
static void fill_ (DpCandidates *candidates, guint per_slot);
static void sort_bucket_ (Point *points, guint n);
static guint start_ (const DpCandidates *candidates, guint64 flow_hash);
static gboolean
eligible_ (const DpCandidates *candidates, guint member, DpCandidateKind kind);
static guint
find_visited_ (const DpCandidates *candidates, guint32 id, DpCandidateKind kind);

/* Creates the table for a view, of which it keeps a reference. Takes time in proportion
 * to the view's slots: 20 ms for 30,000 of them. */
DpCandidates *
dp_candidates_new (DpView *view)
{
  DpCandidates *candidates = g_new0 (DpCandidates, 1);
  guint per_slot = points_per_slot_ (view);
  guint bits = MIN_BUCKET_BITS;

  candidates->view = dp_view_ref (view);
  candidates->members = view->members;
  candidates->n_members = view->n_members;
  candidates->states = g_new (guint8, view->n_members + 1);
  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];

      candidates->states[i] = (guint8) m->state;
      candidates->n_points += m->slots * per_slot;
      candidates->n_eligible[DP_CANDIDATES_ANY_FLOW]++;
      if (m->state == DP_MEMBER_ACTIVE)
        candidates->n_eligible[DP_CANDIDATES_NEW_FLOW]++;
    }
  while ((guint64) POINTS_PER_BUCKET << bits < candidates->n_points)
    bits++;
  candidates->n_buckets = 1u << bits;
  candidates->bucket_shift = POSITION_BITS - bits;
  fill_ (candidates, per_slot);
  return candidates;
}

/* Frees the table and drops its reference to the view. */
void
dp_candidates_free (DpCandidates *candidates)
{
  if (candidates == NULL)
    return;
  dp_view_unref (candidates->view);
  g_free (candidates->points);
  g_free (candidates->buckets);
  g_free (candidates->states);
  g_free (candidates);
}

/* Returns the view that the table was made of. */
DpView *
dp_candidates_view (const DpCandidates *candidates)
{
  return candidates->view;
}

/* Returns the best-ranked member for a flow, or NULL if there is none of the kind. */
const DpMember *
dp_candidates_first (const DpCandidates *candidates,
                     guint64 flow_hash,
                     DpCandidateKind kind)
{
  guint i;
  guint member;

  if (G_UNLIKELY (candidates->n_eligible[kind] == 0))
    return NULL;
  i = start_ (candidates, flow_hash);
  member = (guint32) candidates->points[i];
  while (G_UNLIKELY (!eligible_ (candidates, member, kind)))
    {
      i = i + 1 == candidates->n_points ? 0 : i + 1;
      member = (guint32) candidates->points[i];
    }
  return &candidates->members[member];
}

/* Returns the best-ranked member for a flow that is not among the visited member ids, or
 * NULL if there is none. Ids that the view doesn't have are ignored. */
const DpMember *
dp_candidates_next (const DpCandidates *candidates,
                    guint64 flow_hash,
                    DpCandidateKind kind,
                    const guint32 *visited,
                    guint n_visited)
{
  guint32 skip[DP_VISITED_MAX];
  guint n_skip = 0;

  g_assert (n_visited <= DP_VISITED_MAX);
  for (guint i = 0; i < n_visited; i++)
    {
      guint32 member = find_visited_ (candidates, visited[i], kind);
      gboolean known = member == MEMBER_NONE;

      for (guint j = 0; j < n_skip; j++)
        known = known || skip[j] == member;
      if (!known)
        skip[n_skip++] = member;
    }
  if (n_skip >= candidates->n_eligible[kind])
    return NULL;
  for (guint i = start_ (candidates, flow_hash);;
       i = i + 1 == candidates->n_points ? 0 : i + 1)
    {
      guint32 member = (guint32) candidates->points[i];
      gboolean found = eligible_ (candidates, member, kind);

      for (guint j = 0; found && j < n_skip; j++)
        found = skip[j] != member;
      if (found)
        return &candidates->members[member];
    }
}

/* Returns the table's memory in bytes, without the view. */
gsize
dp_candidates_bytes (const DpCandidates *candidates)
{
  return sizeof *candidates + candidates->n_points * sizeof (Point)
         + (candidates->n_buckets + 1) * sizeof (guint32) + candidates->n_members + 1;
}

/* The finaliser of SplitMix64: each output bit depends on every input bit. */
static guint64
mix_ (guint64 value)
{
  value += G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  value = (value ^ (value >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  value = (value ^ (value >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return value ^ (value >> 31);
}

static guint
points_per_slot_ (const DpView *view)
{
  guint64 slots = 0;
  guint per_slot = POINTS_PER_SLOT;

  for (guint i = 0; i < view->n_members; i++)
    slots += view->members[i].slots;
  while (per_slot > 1 && slots * per_slot > MAX_POINTS)
    per_slot /= 2;
  return per_slot;
}

/* Places all points in the order of their buckets, then sorts within each bucket. */
static void
fill_ (DpCandidates *candidates, guint per_slot)
{
  guint n = candidates->n_points;
  guint shift = POSITION_BITS + candidates->bucket_shift;
  g_autofree Point *unsorted = g_new (Point, n + 1);
  g_autofree guint32 *next = g_new (guint32, candidates->n_buckets + 1);
  guint k = 0;

  candidates->points = g_new (Point, n + 1);
  candidates->buckets = g_new0 (guint32, candidates->n_buckets + 1);
  for (guint i = 0; i < candidates->n_members; i++)
    {
      const DpMember *m = &candidates->members[i];

      for (guint j = 0; j < m->slots * per_slot; j++)
        {
          guint64 position = mix_ ((guint64) m->id << 32 | j) >> POSITION_BITS;

          unsorted[k] = position << POSITION_BITS | i;
          candidates->buckets[(unsorted[k] >> shift) + 1]++;
          k++;
        }
    }
  for (guint b = 0; b < candidates->n_buckets; b++)
    candidates->buckets[b + 1] += candidates->buckets[b];
  memcpy (next, candidates->buckets, (candidates->n_buckets + 1) * sizeof (guint32));
  for (guint i = 0; i < n; i++)
    candidates->points[next[unsorted[i] >> shift]++] = unsorted[i];
  for (guint b = 0; b < candidates->n_buckets; b++)
    {
      guint first = candidates->buckets[b];

      sort_bucket_ (candidates->points + first, candidates->buckets[b + 1] - first);
    }
}

/* Insertion sort: a bucket has one point on average. */
static void
sort_bucket_ (Point *points, guint n)
{
  for (guint i = 1; i < n; i++)
    {
      Point point = points[i];
      guint j = i;

      for (; j > 0 && points[j - 1] > point; j--)
        points[j] = points[j - 1];
      points[j] = point;
    }
}

/* Returns the index of the first point at or after the flow's position. */
static guint
start_ (const DpCandidates *candidates, guint64 flow_hash)
{
  Point position = flow_hash & ~(Point) G_MAXUINT32;
  guint i = candidates->buckets[position >> (POSITION_BITS + candidates->bucket_shift)];

  while (i < candidates->n_points && candidates->points[i] < position)
    i++;
  return i == candidates->n_points ? 0 : i;
}

static gboolean
eligible_ (const DpCandidates *candidates, guint member, DpCandidateKind kind)
{
  return kind == DP_CANDIDATES_ANY_FLOW || candidates->states[member] == DP_MEMBER_ACTIVE;
}

static guint
find_visited_ (const DpCandidates *candidates, guint32 id, DpCandidateKind kind)
{
  const DpMember *m = dp_view_find (candidates->view, id);
  guint index;

  if (m == NULL)
    return MEMBER_NONE;
  index = (guint) (m - candidates->members);
  return eligible_ (candidates, index, kind) ? index : MEMBER_NONE;
}
