/* A hash ring. Each member has points at pseudo-random positions, in proportion to its
 * slots. A flow's hash is a position as well, and its candidates are the members in the
 * order of their first point at or after that position. A member's first point depends on
 * only this member and the flow, so members that join or leave never reorder the others.
 *
 * A table that ranks the members for each of n buckets of flows would have this property
 * only while n stays the same. If n grew with the number of members, the view that
 * doubles n would reorder the members of all flows at once. */
#include "protected/candidates.h"

#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#include "protected/header.h"

/* More points give the members more even shares of first visits, but a larger index. With
 * 8, the share of a server of 4 slots has a standard deviation of 18% of the mean; SYNs
 * that find no free slot there visit the next members. With 16, the index for 7,100
 * members no longer fits into a second-level cache of 2 MB. */
#define POINTS_PER_SLOT 8
/* Limits the table to about 26 MiB. Above 262,144 slots in one service, every member has
 * half as many points or fewer, and the order of members changes. */
#define MAX_POINTS (1u << 21)
/* Points in one line of the index. */
#define POINTS_PER_LINE 16
#define CACHE_LINE 64 /* bytes */
/* Average number of points in a bucket, few enough that the first point after a flow is
 * almost always among the POINTS_PER_LINE of the bucket's line. */
#define POINTS_PER_BUCKET 10
#define POSITION_BITS 32
#define OFFSET_BITS 16 /* of a position within its bucket */
#define OFFSET_MAX G_MAXUINT16
#define MEMBER_NONE G_MAXUINT32
#define HUGE_PAGE (2u << 20) /* bytes */

/* The first points at or after the start of a bucket of positions, in one cache line: in
 * large services the table exceeds the caches, and a lookup then reads only one line. */
typedef struct
{
  guint16 offsets[POINTS_PER_LINE]; /* in the bucket, rounded down, at most OFFSET_MAX */
  guint16 members[POINTS_PER_LINE]; /* indices */
} IndexLine;

G_STATIC_ASSERT (sizeof (IndexLine) == CACHE_LINE);

/* The points in ascending order of position; those at equal positions by member id. */
typedef struct
{
  guint32 *positions;
  guint16 *members; /* indices */
  guint n;
} Ring;

struct _DpCandidates
{
  IndexLine *lines; /* one for each bucket */
  guint n_buckets;
  guint n_eligible[DP_N_CANDIDATE_SETS];
  guint *starts; /* index in the ring of each bucket's first point, and of the end */
  Ring ring;
  DpMemberView *view;
  DpTarget targets[]; /* by member index */
};

/* A point while the ring is being sorted: the position in the high 32 bits, the member's
 * index in the low ones. */
typedef guint64 Point;

static guint64 mix_ (guint64 value);
static guint points_of_ (const DpMember *member, guint shift);
static guint point_shift_ (const DpMemberView *view);
static void make_targets_ (DpCandidates *candidates);
static Point *make_points_ (DpCandidates *candidates, guint shift);
static void make_ring_ (DpCandidates *candidates, guint shift);
static void sort_points_ (Point *points, guint n);
static void make_lines_ (DpCandidates *candidates);
static guint64 bucket_and_offset_ (const DpCandidates *candidates, guint32 position);
static guint first_point_ (const DpCandidates *candidates, guint64 flow_hash);
static gboolean
eligible_ (const DpCandidates *candidates, guint member, DpCandidateSet set);
static guint
find_visited_ (const DpCandidates *candidates, guint32 id, DpCandidateSet set);
static guint
first_member_ (const DpCandidates *candidates, guint64 flow_hash, DpCandidateSet set);

/* Creates the table for a view of at most DP_MEMBER_VIEW_MAX_MEMBERS members, and takes a
 * reference to the view. Takes time in proportion to the view's slots. */
DpCandidates *
dp_candidates_new (DpMemberView *view)
{
  gsize size = sizeof (DpCandidates) + view->n_members * sizeof (DpTarget);
  DpCandidates *candidates = g_malloc0 (size);
  guint shift = point_shift_ (view);

  g_assert (view->n_members <= DP_MEMBER_VIEW_MAX_MEMBERS);
  candidates->view = dp_member_view_ref (view);
  make_targets_ (candidates);
  for (guint i = 0; i < view->n_members; i++)
    candidates->ring.n += points_of_ (&view->members[i], shift);
  candidates->n_buckets = candidates->ring.n / POINTS_PER_BUCKET + 1;
  make_ring_ (candidates, shift);
  make_lines_ (candidates);
  return candidates;
}

/* Frees the table and drops its reference to the view. */
void
dp_candidates_free (DpCandidates *candidates)
{
  if (candidates == NULL)
    return;
  dp_member_view_unref (candidates->view);
  g_free (candidates->ring.positions);
  g_free (candidates->ring.members);
  g_free (candidates->starts);
  free (candidates->lines);
  g_free (candidates);
}

/* Returns the view that the table was made from. */
DpMemberView *
dp_candidates_view (const DpCandidates *candidates)
{
  return candidates->view;
}

/* Returns the first member in the flow's order, or NULL if there is none in the set. */
const DpMember *
dp_candidates_first (const DpCandidates *candidates,
                     guint64 flow_hash,
                     DpCandidateSet set)
{
  guint member = first_member_ (candidates, flow_hash, set);

  return member == MEMBER_NONE ? NULL : &candidates->view->members[member];
}

/* Returns the target data of the first member in the flow's order, or NULL if there is
 * none in the set. Reads less memory than dp_candidates_first (). */
const DpTarget *
dp_candidates_first_target (const DpCandidates *candidates,
                            guint64 flow_hash,
                            DpCandidateSet set)
{
  guint member = first_member_ (candidates, flow_hash, set);

  return member == MEMBER_NONE ? NULL : &candidates->targets[member];
}

/* Returns the first member in the flow's order that is not among the visited member ids,
 * or NULL if there is none in the set. Ids that the view doesn't have are ignored. */
const DpMember *
dp_candidates_next (const DpCandidates *candidates,
                    guint64 flow_hash,
                    DpCandidateSet set,
                    const guint32 *visited,
                    guint n_visited)
{
  const Ring *ring = &candidates->ring;
  guint32 skip[DP_VISITED_MAX];
  guint n_skip = 0;

  g_assert (n_visited <= DP_VISITED_MAX);
  for (guint i = 0; i < n_visited; i++)
    {
      guint32 member = find_visited_ (candidates, visited[i], set);
      gboolean ignored = member == MEMBER_NONE;

      for (guint j = 0; j < n_skip; j++)
        ignored = ignored || skip[j] == member;
      if (!ignored)
        skip[n_skip++] = member;
    }
  if (n_skip >= candidates->n_eligible[set])
    return NULL;
  for (guint i = first_point_ (candidates, flow_hash);; i = i + 1 == ring->n ? 0 : i + 1)
    {
      guint member = ring->members[i];
      gboolean found = eligible_ (candidates, member, set);

      for (guint j = 0; found && j < n_skip; j++)
        found = skip[j] != member;
      if (found)
        return &candidates->view->members[member];
    }
}

/* Returns the member that follows the given one in the flow's order; the order is cyclic,
 * so repeated calls visit all members from any start. Returns the first member if the
 * view doesn't have the given one, and NULL if there is no other member in the set. */
const DpMember *
dp_candidates_after (const DpCandidates *candidates,
                     guint64 flow_hash,
                     DpCandidateSet set,
                     guint32 id)
{
  const Ring *ring = &candidates->ring;
  const DpMemberView *view = candidates->view;
  const DpMember *self = dp_member_view_find (view, id);
  const DpMember *first = NULL;
  guint64 seen[DP_MEMBER_VIEW_MAX_MEMBERS / 64 + 1]; /* bits by member */
  gboolean self_reached = self == NULL;
  guint start;

  if (ring->n == 0)
    return NULL;
  memset (seen, 0, (view->n_members / 64 + 1) * sizeof seen[0]);
  start = first_point_ (candidates, flow_hash);
  for (guint k = 0; k < ring->n; k++)
    {
      guint member = ring->members[(start + k) % ring->n];
      const DpMember *m = &view->members[member];

      if ((seen[member / 64] >> (member % 64) & 1) != 0)
        continue;
      seen[member / 64] |= G_GUINT64_CONSTANT (1) << (member % 64);
      if (m == self)
        self_reached = TRUE;
      else if (eligible_ (candidates, member, set))
        {
          if (self_reached)
            return m;
          if (first == NULL)
            first = m;
        }
    }
  return first;
}

/* Returns the memory of the table in bytes, without that of the view. */
gsize
dp_candidates_bytes (const DpCandidates *candidates)
{
  return sizeof *candidates
         + candidates->n_buckets * (sizeof (IndexLine) + sizeof (guint))
         + candidates->ring.n * (sizeof (guint32) + sizeof (guint16))
         + candidates->view->n_members * sizeof (DpTarget);
}

/* The finalizer of SplitMix64: each output bit depends on every input bit. */
static guint64
mix_ (guint64 value)
{
  value += G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  value = (value ^ (value >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  value = (value ^ (value >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return value ^ (value >> 31);
}

/* Returns the member's number of points. A member without slots has one point, as it may
 * have flows and must be in the order. */
static guint
points_of_ (const DpMember *member, guint shift)
{
  return MAX (member->slots * POINTS_PER_SLOT >> shift, 1);
}

static guint
point_shift_ (const DpMemberView *view)
{
  for (guint shift = 0;; shift++)
    {
      guint64 n = 0;

      for (guint i = 0; i < view->n_members; i++)
        n += points_of_ (&view->members[i], shift);
      if (n <= MAX_POINTS)
        return shift;
    }
}

static void
make_targets_ (DpCandidates *candidates)
{
  const DpMemberView *view = candidates->view;

  for (guint i = 0; i < view->n_members; i++)
    {
      const DpMember *m = &view->members[i];

      candidates->targets[i] = (DpTarget){ m->id, m->address.ip, m->address.port,
                                           (guint16) m->state };
      candidates->n_eligible[DP_CANDIDATES_ALL]++;
      if (m->state == DP_MEMBER_ACTIVE)
        candidates->n_eligible[DP_CANDIDATES_ACTIVE]++;
    }
}

/* Returns all points in the order of members, and counts those in bucket b in
 * starts[b + 1]. */
static Point *
make_points_ (DpCandidates *candidates, guint shift)
{
  Point *points = g_new0 (Point, candidates->ring.n + 1);
  guint k = 0;

  for (guint i = 0; i < candidates->view->n_members; i++)
    {
      const DpMember *m = &candidates->view->members[i];
      guint n = points_of_ (m, shift);

      for (guint j = 0; j < n; j++)
        {
          guint32 position = (guint32) (mix_ ((guint64) m->id << 32 | j) >> 32);

          points[k++] = (Point) position << POSITION_BITS | i;
          candidates
              ->starts[(bucket_and_offset_ (candidates, position) >> OFFSET_BITS) + 1]++;
        }
    }
  return points;
}

/* Fills the ring: a counting sort by bucket, followed by a sort within each bucket. */
static void
make_ring_ (DpCandidates *candidates, guint shift)
{
  Ring *ring = &candidates->ring;
  guint n_buckets = candidates->n_buckets;
  Point *points = g_new0 (Point, ring->n + 1);
  guint *next = g_new (guint, n_buckets + 1);
  guint *starts = g_new0 (guint, n_buckets + 1);
  Point *unsorted;

  candidates->starts = starts;
  unsorted = make_points_ (candidates, shift);
  for (guint b = 0; b < n_buckets; b++)
    starts[b + 1] += starts[b];
  memcpy (next, starts, (n_buckets + 1) * sizeof (guint));
  for (guint i = 0; i < ring->n; i++)
    {
      guint32 position = (guint32) (unsorted[i] >> POSITION_BITS);

      points[next[bucket_and_offset_ (candidates, position) >> OFFSET_BITS]++] =
          unsorted[i];
    }
  for (guint b = 0; b < n_buckets; b++)
    sort_points_ (points + starts[b], starts[b + 1] - starts[b]);
  ring->positions = g_new (guint32, ring->n + 1);
  ring->members = g_new (guint16, ring->n + 1);
  for (guint i = 0; i < ring->n; i++)
    {
      ring->positions[i] = (guint32) (points[i] >> POSITION_BITS);
      ring->members[i] = (guint16) points[i];
    }
  g_free (points);
  g_free (next);
  g_free (unsorted);
}

/* Insertion sort, as a bucket has only POINTS_PER_BUCKET points on average. */
static void
sort_points_ (Point *points, guint n)
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

/* Fills the index. A large one uses huge pages where the system has them: otherwise
 * random lookups would miss the TLB as well as the caches. */
static void
make_lines_ (DpCandidates *candidates)
{
  const Ring *ring = &candidates->ring;
  gsize size = candidates->n_buckets * sizeof (IndexLine);
  gboolean huge = size > HUGE_PAGE / 2;
  gpointer memory = NULL;

  if (huge)
    size = (size + HUGE_PAGE - 1) / HUGE_PAGE * HUGE_PAGE;
  if (posix_memalign (&memory, huge ? HUGE_PAGE : CACHE_LINE, size) != 0)
    g_error ("candidates: out of memory for an index of %zu bytes", size);
  if (huge)
    (void) madvise (memory, size, MADV_HUGEPAGE);
  candidates->lines = memory;
  for (guint b = 0; b < candidates->n_buckets; b++)
    {
      IndexLine *line = &candidates->lines[b];

      memset (line, 0, sizeof *line);
      for (guint i = 0; i < POINTS_PER_LINE && ring->n > 0; i++)
        {
          guint64 point = (guint64) candidates->starts[b] + i;
          guint64 offset = OFFSET_MAX;

          if (point < candidates->starts[b + 1])
            offset = bucket_and_offset_ (candidates, ring->positions[point]) & OFFSET_MAX;
          line->offsets[i] = (guint16) offset;
          line->members[i] = ring->members[point % ring->n];
        }
    }
}

/* Returns a position's bucket and, in the low OFFSET_BITS, its offset in the bucket. */
static guint64
bucket_and_offset_ (const DpCandidates *candidates, guint32 position)
{
  return (guint64) position * candidates->n_buckets >> (POSITION_BITS - OFFSET_BITS);
}

/* Returns the index of the first point at or after the flow's position. */
static guint
first_point_ (const DpCandidates *candidates, guint64 flow_hash)
{
  const Ring *ring = &candidates->ring;
  guint32 position = (guint32) (flow_hash >> POSITION_BITS);
  guint bucket = (guint) (bucket_and_offset_ (candidates, position) >> OFFSET_BITS);
  guint i = candidates->starts[bucket];

  while (i < candidates->starts[bucket + 1] && ring->positions[i] < position)
    i++;
  return i == ring->n ? 0 : i;
}

static gboolean
eligible_ (const DpCandidates *candidates, guint member, DpCandidateSet set)
{
  return set == DP_CANDIDATES_ALL
         || candidates->targets[member].state == DP_MEMBER_ACTIVE;
}

static guint
find_visited_ (const DpCandidates *candidates, guint32 id, DpCandidateSet set)
{
  const DpMember *m = dp_member_view_find (candidates->view, id);
  guint index;

  if (m == NULL)
    return MEMBER_NONE;
  index = (guint) (m - candidates->view->members);
  return eligible_ (candidates, index, set) ? index : MEMBER_NONE;
}

/* Returns the index of the first member in the flow's order, or MEMBER_NONE. */
static guint
first_member_ (const DpCandidates *candidates, guint64 flow_hash, DpCandidateSet set)
{
  const Ring *ring = &candidates->ring;
  guint64 scaled = bucket_and_offset_ (candidates,
                                       (guint32) (flow_hash >> POSITION_BITS));
  const IndexLine *line = &candidates->lines[scaled >> OFFSET_BITS];
  guint16 offset = (guint16) scaled;
  guint n_before = 0;
  guint i;

  if (G_UNLIKELY (candidates->n_eligible[set] == 0))
    return MEMBER_NONE;
  /* Branch-free, as the branches would be unpredictable for random flows. */
  for (guint j = 0; j < POINTS_PER_LINE; j++)
    n_before += line->offsets[j] < offset ? 1 : 0;
  /* With an equal offset, the point may be on either side of the flow's position. */
  if (G_LIKELY (n_before < POINTS_PER_LINE && line->offsets[n_before] != offset
                && eligible_ (candidates, line->members[n_before], set)))
    return line->members[n_before];
  for (i = first_point_ (candidates, flow_hash);
       !eligible_ (candidates, ring->members[i], set);)
    i = i + 1 == ring->n ? 0 : i + 1;
  return ring->members[i];
}
