#include "protected/placement.h"

#include <math.h>
#include <string.h>

#include "protected/clock.h"
#include "protected/concurrencylimit.h"
#include "protected/flowdirectory.h"

/* After this many report intervals without a report, plus the margin, a member gets no
 * new flows while others are live: three of its reports are missing, plus some
 * milliseconds for their transit. */
#define SILENT_INTERVALS 3.25
#define SILENT_MARGIN_US (25 * DP_US_PER_MS)
/* A member that has not reported for this time is listed as leaving, so that other
 * members no longer forward new flows to it. */
#define LIST_AS_LEAVING_US (1300 * DP_US_PER_MS)
/* A member that has not reported for this time is removed. If it is only cut off from the
 * balancer, its flows may still be alive, so this is longer than the usual network
 * disturbance of a few seconds. */
#define REMOVE_US (15 * DP_US_PER_S)
/* How long a removed member is listed as gone: until all companions, which get a member
 * list of several parts every few seconds, have received it. */
#define GONE_LISTED_US (60 * DP_US_PER_S)
#define MEMBERS_MAX 16384
#define NO_MEMBER_ID 0
/* Added to the flows in flight per slot of members outside the balancer's availability
 * zone when members are compared, by class: bytes between availability zones cost more
 * than a short wait, and downloads cause most of them. */
static const double other_zone_penalty_[DP_N_TRAFFIC_CLASSES] = { 1.0, 1.0, 4.0 };
/* Added to the flows in flight per slot of a member whose server fails its requests, when
 * members are compared. The member stays eligible, since a failing server is better than
 * none. */
#define FAILING_PENALTY 16.0
/* Share of its slots that a server can use efficiently while it is still cold. */
#define COLD_CAPACITY_SHARE 0.6
/* Bounds of a member's speed relative to the median, so that a wrong report has a limited
 * effect. */
#define SPEED_MAX 8.0
#define SPEED_MIN (1.0 / SPEED_MAX)
/* Members that report service times of a class before their speeds are compared. */
#define SPEED_MEMBERS_MIN 2
/* Differences up to this logarithm, 20%, are noise of the service times, and larger ones
 * count less by it. */
#define SPEED_NOISE_LOG 0.18
/* Interval between two comparisons of a service's members, in which each of the zone has
 * reported twice. It grows with the members, so that the cost per time does not. */
#define SPEED_INTERVAL_US (200 * DP_US_PER_MS)
#define SPEED_INTERVAL_PER_MEMBER_US (DP_US_PER_MS / 10)
/* A member that has had no flow for this time counts as no slower than the median, so
 * that a server that has recovered gets flows which show it. */
#define SPEED_IDLE_US DP_US_PER_S

typedef struct
{
  char *name;
  char *zone;
  char *service;
  guint64 service_id;
  DpAddress address;
  guint32 slots;
  DpMemberState state;
  gboolean same_zone;
  gboolean silent;        /* stopped reporting; listed as leaving */
  gboolean left_out;      /* has the id of another member; gets no flows */
  gboolean failing;       /* its server fails too many requests */
  gboolean evacuated;     /* its zone is */
  gint64 report_interval; /* us between its reports */
  gint64 reported_at;     /* us */
  gint64 warmed_up_at;    /* us; end of the server's warm-up */
  gint64 used_at;         /* us; last time at which it had a flow in flight */
  guint32 limit;          /* learnt limit; 0: not reported */
  guint32 service_times[DP_N_TRAFFIC_CLASSES]; /* us; 0: not known */
  float log_times[DP_N_TRAFFIC_CLASSES];       /* their logarithms */
  double speed;                                /* relative to the median of the service */
  double weighted_slots;                       /* see update_weighted_slots_ () */
  guint own_flows;   /* flows in flight that this balancer placed */
  guint other_flows; /* flows in flight that other balancers placed */
} Member;

/* A removed member that is still listed as gone. */
typedef struct
{
  char *name;
  gint64 expires_at; /* us */
} GoneMember;

typedef struct
{
  char *name;
  GArray *members; /* DpHandle */
  GArray *gone;    /* GoneMember */
  DpCandidates *candidates;
  guint64 list_hash;
  guint64 revision; /* of the view, counted by this balancer */
  gboolean view_outdated;
  gint64 compared_at;        /* us, last comparison of the members' speeds */
  gint64 left_out_logged_at; /* us, last log lines about members left out, 0: none */
} Service;

struct _DpPlacement
{
  char *zone;
  DpHandleTable *members;
  GHashTable *by_name;              /* name to DpHandle */
  GHashTable *services;             /* &id to Service */
  const DpEvacuations *evacuations; /* not owned; NULL: none */
  gboolean learned;                 /* members are compared by learnt limits and speeds */
};

G_STATIC_ASSERT (G_N_ELEMENTS (other_zone_penalty_) == DP_N_TRAFFIC_CLASSES);

static void service_free_ (gpointer data);
static Service *find_service_ (DpPlacement *placement, guint64 id);
static DpHandle add_member_ (DpPlacement *placement, const DpReport *report);
static void remove_member_ (DpPlacement *placement, DpHandle handle, gint64 now);
static void add_gone_ (DpPlacement *placement, const Member *member, gint64 now);
static void remove_gone_ (Service *service, const char *name);
static void clear_gone_ (gpointer data);
static void clear_member_ (Member *member);
static void rebuild_outdated_views_ (DpPlacement *placement, gint64 now);
static gboolean is_in_evacuated_zone_ (const DpPlacement *placement,
                                       const Member *member);
static void rebuild_view_ (DpPlacement *placement, Service *service, gint64 now);
static guint n_left_out_ (const Service *service);
static void log_left_out_ (DpPlacement *placement, gint64 now);
static gboolean has_reported_recently_ (const Member *member, gint64 now);
static gint64 silence_limit_ (const Member *member);
static void set_service_times_ (Member *member, const DpReport *report);
static void compare_speeds_ (DpPlacement *placement, Service *service, gint64 now);
static double median_log_time_ (DpPlacement *placement,
                                const Service *service,
                                guint class,
                                GArray *logs);
static float select_middle_ (GArray *values);
static void update_weighted_slots_ (const DpPlacement *placement, Member *member);
static gboolean is_eligible_ (const Member *member);
static gint compare_weighed_ (gconstpointer a, gconstpointer b);
static double load_cost_ (const DpPlacement *placement,
                          const Member *member,
                          DpTrafficClass class,
                          gint64 now);

/* Creates a placement that has no members yet, for a balancer in the availability
 * zone. */
DpPlacement *
dp_placement_new (const char *zone)
{
  DpPlacement *placement = g_new0 (DpPlacement, 1);

  placement->zone = g_strdup (zone);
  placement->members = dp_handle_table_new (sizeof (Member), MEMBERS_MAX);
  placement->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  placement->services = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                               service_free_);
  return placement;
}

/* Frees the placement. */
void
dp_placement_free (DpPlacement *placement)
{
  if (placement == NULL)
    return;
  for (DpHandle h = dp_handle_table_next (placement->members, DP_HANDLE_NONE);
       h != DP_HANDLE_NONE; h = dp_handle_table_next (placement->members, h))
    clear_member_ (dp_handle_table_get (placement->members, h));
  g_hash_table_unref (placement->services);
  g_hash_table_unref (placement->by_name);
  dp_handle_table_free (placement->members);
  g_free (placement->zone);
  g_free (placement);
}

void
dp_placement_set_learned (DpPlacement *placement, gboolean learned)
{
  placement->learned = learned;
}

/* Applies a member's report at now, in us. A member that reports another service or
 * address than before is removed from its former service. A member whose server has
 * deregistered has no flows. It is removed at once, since packets that are forwarded to
 * it in search of their flow's owner would be lost once its host is shut down. */
gboolean
dp_placement_apply_report (DpPlacement *placement, const DpReport *report, gint64 now)
{
  DpHandle handle = GPOINTER_TO_UINT (
      g_hash_table_lookup (placement->by_name, report->name));
  Member *member = dp_handle_table_get (placement->members, handle);
  gboolean changed = FALSE;

  if (member != NULL
      && (!g_str_equal (member->service, report->service)
          || !dp_address_equal (&member->address, &report->address)))
    {
      remove_member_ (placement, handle, now);
      member = NULL;
    }
  if (report->deregistered)
    {
      if (member == NULL)
        return FALSE;
      add_gone_ (placement, member, now);
      remove_member_ (placement, handle, now);
      return TRUE;
    }
  if (member == NULL)
    {
      handle = add_member_ (placement, report);
      member = dp_handle_table_get (placement->members, handle);
      if (member == NULL)
        return FALSE;
      changed = TRUE;
    }
  changed = changed || member->silent || member->state != report->state
            || member->slots != report->slots;
  member->silent = FALSE;
  member->state = report->state;
  member->slots = report->slots;
  member->report_interval = report->interval_ms * DP_US_PER_MS;
  member->reported_at = now;
  member->warmed_up_at = now + report->warmup_remaining_ms * DP_US_PER_MS;
  member->failing = report->failing;
  member->limit = report->limit;
  if (placement->learned)
    set_service_times_ (member, report);
  if (report->in_flight > 0)
    member->used_at = now;
  update_weighted_slots_ (placement, member);
  if (placement->learned)
    compare_speeds_ (placement, find_service_ (placement, member->service_id), now);
  /* Stops counting flows whose end this balancer did not see. One flow more than reported
   * is allowed, as one that was placed within the last millisecond may be missing in the
   * report. */
  member->own_flows = MIN (member->own_flows, report->in_flight + 1);
  member->other_flows = report->in_flight - MIN (member->own_flows, report->in_flight);
  if (changed)
    rebuild_view_ (placement, find_service_ (placement, member->service_id), now);
  return changed;
}

/* Sets the listed state of members whose reports have stopped to leaving. Removes those
 * that have not reported for REMOVE_US or, with a long report interval, for longer. */
gboolean
dp_placement_expire (DpPlacement *placement, gint64 now)
{
  gboolean removed = FALSE;
  DpHandle next;

  for (DpHandle h = dp_handle_table_next (placement->members, DP_HANDLE_NONE);
       h != DP_HANDLE_NONE; h = next)
    {
      Member *member = dp_handle_table_get (placement->members, h);

      next = dp_handle_table_next (placement->members, h);
      if (now - member->reported_at > MAX (LIST_AS_LEAVING_US, silence_limit_ (member))
          && !member->silent)
        {
          member->silent = TRUE;
          rebuild_view_ (placement, find_service_ (placement, member->service_id), now);
        }
      if (now - member->reported_at <= MAX (REMOVE_US, 2 * silence_limit_ (member)))
        continue;
      add_gone_ (placement, member, now);
      remove_member_ (placement, h, now);
      removed = TRUE;
    }
  log_left_out_ (placement, now);
  return removed;
}

/* Chooses the active member with the fewest flows in flight per slot and prefers the
 * balancer's own availability zone at about the same load. Members of evacuated zones are
 * never chosen. Members that have stopped reporting are chosen only if no other is left,
 * since it may be only their reports that are lost. */
DpHandle
dp_placement_choose (DpPlacement *placement,
                     guint64 service_id,
                     DpTrafficClass class,
                     guint64 flow_hash,
                     gint64 now)
{
  const Service *service = find_service_ (placement, service_id);
  DpHandle best = DP_HANDLE_NONE;
  gboolean best_is_recent = FALSE;
  double best_cost = 0;
  guint n = service == NULL ? 0 : service->members->len;

  for (guint i = 0; i < n; i++)
    {
      /* Starting at the flow's hash spreads flows over members of equal cost. */
      guint index = (guint) ((flow_hash + i) % n);
      DpHandle handle = g_array_index (service->members, DpHandle, index);
      const Member *member = dp_handle_table_get (placement->members, handle);
      gboolean is_recent = has_reported_recently_ (member, now);
      double cost;

      if (!is_eligible_ (member) || (best_is_recent && !is_recent))
        continue;
      cost = load_cost_ (placement, member, class, now);
      if (best != DP_HANDLE_NONE && best_is_recent == is_recent && cost >= best_cost)
        continue;
      best = handle;
      best_is_recent = is_recent;
      best_cost = cost;
    }
  return best;
}

/* Returns the members in the order in which dp_placement_choose () prefers them, followed
 * by those that it never chooses. */
GArray *
dp_placement_weigh (DpPlacement *placement,
                    guint64 service_id,
                    DpTrafficClass class,
                    guint64 flow_hash,
                    gint64 now)
{
  const Service *service = find_service_ (placement, service_id);
  const guint n = service == NULL ? 0 : service->members->len;
  GArray *weighed = g_array_sized_new (FALSE, FALSE, sizeof (DpWeighedMember), n);

  for (guint i = 0; i < n; i++)
    {
      const DpHandle handle = g_array_index (service->members, DpHandle,
                                             (guint) ((flow_hash + i) % n));
      const Member *member = dp_handle_table_get (placement->members, handle);
      const DpWeighedMember entry = {
        .member = handle,
        .name = member->name,
        .zone = member->zone,
        .address = member->address,
        .state = member->state,
        .eligible = is_eligible_ (member),
        .silent = !has_reported_recently_ (member, now),
        .failing = member->failing,
        .evacuated = member->evacuated,
        .left_out = member->left_out,
        .slots = member->slots,
        .own_flows = member->own_flows,
        .other_flows = member->other_flows,
        .report_age = now - member->reported_at,
        .limit = placement->learned ? member->limit : 0,
        .speed = placement->learned ? member->speed : 0.0,
        .cost = load_cost_ (placement, member, class, now),
      };

      g_array_append_val (weighed, entry);
    }
  /* The sort is stable, so that members of equal cost stay in the flow's order. */
  g_array_sort (weighed, compare_weighed_);
  return weighed;
}

const char *
dp_placement_service_name (DpPlacement *placement, guint64 service_id)
{
  const Service *service = find_service_ (placement, service_id);

  return service == NULL ? NULL : service->name;
}

/* Returns the first member in the flow's rendezvous order, whatever its state. If that
 * one has stopped reporting, returns the next one that also keeps the flow's directory
 * entry and still reports, or else the member that takes over the entry when these stop.
 * If none of them reports, returns any member that does, as the search for the flow's
 * owner can begin at each. Returns DP_HANDLE_NONE if the service has no members. */
DpHandle
dp_placement_first_candidate (DpPlacement *placement,
                              guint64 service_id,
                              guint64 flow_hash,
                              gint64 now)
{
  const Service *service = find_service_ (placement, service_id);
  const DpMember *members[DP_FLOW_DIRECTORY_MEMBERS + 1];
  const DpMember *successor;
  DpHandle first = DP_HANDLE_NONE;
  guint n;

  if (service == NULL || service->candidates == NULL)
    return DP_HANDLE_NONE;
  n = dp_flow_directory_members (service->candidates, flow_hash, members);
  successor = dp_flow_directory_successor (service->candidates, flow_hash, NO_MEMBER_ID);
  if (successor != NULL)
    members[n++] = successor;
  for (guint i = 0; i < n; i++)
    {
      const DpHandle handle = GPOINTER_TO_UINT (
          g_hash_table_lookup (placement->by_name, members[i]->name));
      const Member *member = dp_handle_table_get (placement->members, handle);

      if (first == DP_HANDLE_NONE)
        first = handle;
      if (member != NULL && has_reported_recently_ (member, now))
        return handle;
    }
  for (guint i = 0; i < service->members->len; i++)
    {
      const DpHandle handle = g_array_index (service->members, DpHandle,
                                             (flow_hash + i) % service->members->len);
      const Member *member = dp_handle_table_get (placement->members, handle);

      if (!member->left_out && has_reported_recently_ (member, now))
        return handle;
    }
  return first;
}

/* Returns whether the member is active and has reported recently at now, in us. */
gboolean
dp_placement_is_live (DpPlacement *placement, DpHandle handle, gint64 now)
{
  const Member *member = dp_handle_table_get (placement->members, handle);

  return member != NULL && member->state == DP_MEMBER_ACTIVE && !member->evacuated
         && has_reported_recently_ (member, now);
}

/* Returns whether the member has reported recently at now, in us. */
gboolean
dp_placement_is_reporting (DpPlacement *placement, DpHandle handle, gint64 now)
{
  const Member *member = dp_handle_table_get (placement->members, handle);

  return member != NULL && has_reported_recently_ (member, now);
}

/* Returns the time since the member's last report, in us; 0 if the member is gone. */
gint64
dp_placement_report_age (DpPlacement *placement, DpHandle handle, gint64 now)
{
  const Member *member = dp_handle_table_get (placement->members, handle);

  return member == NULL ? 0 : now - member->reported_at;
}

/* Gives the member's address; FALSE if it is gone. */
gboolean
dp_placement_address (DpPlacement *placement, DpHandle handle, DpAddress *address)
{
  const Member *member = dp_handle_table_get (placement->members, handle);

  if (member == NULL)
    return FALSE;
  *address = member->address;
  return TRUE;
}

/* Counts a flow that was placed on the member. */
void
dp_placement_flow_opened (DpPlacement *placement, DpHandle handle)
{
  Member *member = dp_handle_table_get (placement->members, handle);

  if (member != NULL)
    member->own_flows++;
}

/* Counts the end of a flow that was placed on the member. */
void
dp_placement_flow_closed (DpPlacement *placement, DpHandle handle)
{
  Member *member = dp_handle_table_get (placement->members, handle);

  if (member != NULL && member->own_flows > 0)
    member->own_flows--;
}

/* Returns the service's members, or NULL if it has none. The view is owned by the
 * placement and valid until the next change. */
DpMemberView *
dp_placement_view (DpPlacement *placement, guint64 service_id)
{
  const Service *service = find_service_ (placement, service_id);

  return service == NULL || service->candidates == NULL
             ? NULL
             : dp_candidates_view (service->candidates);
}

/* Applies changes of the evacuated zones to all members. */
void
dp_placement_set_evacuations (DpPlacement *placement,
                              const DpEvacuations *evacuations,
                              gint64 now)
{
  placement->evacuations = evacuations;
  for (DpHandle h = dp_handle_table_next (placement->members, DP_HANDLE_NONE);
       h != DP_HANDLE_NONE; h = dp_handle_table_next (placement->members, h))
    {
      Member *member = dp_handle_table_get (placement->members, h);
      Service *service = find_service_ (placement, member->service_id);
      const gboolean evacuated = is_in_evacuated_zone_ (placement, member);

      service->view_outdated = service->view_outdated || evacuated != member->evacuated;
      member->evacuated = evacuated;
    }
  rebuild_outdated_views_ (placement, now);
}

/* Returns whether new flows of the service are rejected because of evacuations alone. */
gboolean
dp_placement_is_evacuated (DpPlacement *placement, guint64 service_id)
{
  const Service *service = find_service_ (placement, service_id);

  for (guint i = 0; service != NULL && i < service->members->len; i++)
    {
      const Member *member = dp_handle_table_get (
          placement->members, g_array_index (service->members, DpHandle, i));

      if (!member->evacuated)
        return FALSE;
    }
  return service != NULL && service->members->len > 0;
}

/* Returns whether any member of the service takes new flows. */
gboolean
dp_placement_has_active (DpPlacement *placement, guint64 service_id)
{
  const DpMemberView *view = dp_placement_view (placement, service_id);

  for (guint i = 0; view != NULL && i < view->n_members; i++)
    if (view->members[i].state == DP_MEMBER_ACTIVE)
      return TRUE;
  return FALSE;
}

/* Returns the ids, guint32, of the service's removed members that are still listed as
 * gone at now, in us; the caller frees the array. */
GArray *
dp_placement_gone_ids (DpPlacement *placement, guint64 service_id, gint64 now)
{
  const Service *service = find_service_ (placement, service_id);
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (guint32));

  for (guint i = 0; service != NULL && i < service->gone->len; i++)
    {
      const GoneMember *gone = &g_array_index (service->gone, GoneMember, i);

      const guint32 id = dp_member_id (gone->name);

      if (now < gone->expires_at)
        g_array_append_val (ids, id);
    }
  return ids;
}

/* Returns dp_member_list_hash () of the service's members; 0 if it has none. */
guint64
dp_placement_list_hash (DpPlacement *placement, guint64 service_id)
{
  const Service *service = find_service_ (placement, service_id);

  return service == NULL ? 0 : service->list_hash;
}

/* Returns the number of members of all services that share the id of another one of their
 * service and get no flows. */
guint
dp_placement_n_left_out (const DpPlacement *placement)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, placement->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += n_left_out_ (value);
  return n;
}

/* Returns the number of members of all services. */
guint
dp_placement_n_members (const DpPlacement *placement)
{
  return dp_handle_table_count (placement->members);
}

double
dp_placement_speed (DpPlacement *placement, DpHandle handle)
{
  const Member *member = dp_handle_table_get (placement->members, handle);

  return member == NULL ? 1.0 : member->speed;
}

/* Gives 1 for both if there are no members. */
void
dp_placement_speed_range (DpPlacement *placement, double *min, double *max)
{
  *min = G_MAXDOUBLE;
  *max = 0.0;
  for (DpHandle h = dp_handle_table_next (placement->members, DP_HANDLE_NONE);
       h != DP_HANDLE_NONE; h = dp_handle_table_next (placement->members, h))
    {
      const Member *member = dp_handle_table_get (placement->members, h);

      *min = MIN (*min, member->speed);
      *max = MAX (*max, member->speed);
    }
  if (*max == 0.0)
    *min = *max = 1.0;
}

static void
service_free_ (gpointer data)
{
  Service *service = data;

  g_array_unref (service->members);
  g_array_unref (service->gone);
  dp_candidates_free (service->candidates);
  g_free (service->name);
  g_free (service);
}

static Service *
find_service_ (DpPlacement *placement, guint64 id)
{
  return g_hash_table_lookup (placement->services, &id);
}

/* Returns DP_HANDLE_NONE if the table is full. */
static DpHandle
add_member_ (DpPlacement *placement, const DpReport *report)
{
  DpHandle handle = dp_handle_table_add (placement->members);
  Member *member = dp_handle_table_get (placement->members, handle);
  guint64 id = dp_service_id (report->service);
  Service *service = find_service_ (placement, id);

  if (member == NULL)
    {
      g_warning ("member %s refused: there are %u members", report->name, MEMBERS_MAX);
      return DP_HANDLE_NONE;
    }
  if (service == NULL)
    {
      service = g_new0 (Service, 1);
      service->name = g_strdup (report->service);
      service->members = g_array_new (FALSE, FALSE, sizeof (DpHandle));
      service->gone = g_array_new (FALSE, FALSE, sizeof (GoneMember));
      g_array_set_clear_func (service->gone, clear_gone_);
      g_hash_table_insert (placement->services, g_memdup2 (&id, sizeof id), service);
    }
  member->name = g_strdup (report->name);
  member->zone = g_strdup (report->zone);
  member->service = g_strdup (report->service);
  member->service_id = id;
  member->address = report->address;
  member->silent = FALSE;
  member->left_out = FALSE;
  member->same_zone = g_str_equal (report->zone, placement->zone);
  member->evacuated = is_in_evacuated_zone_ (placement, member);
  member->own_flows = 0;
  member->other_flows = 0;
  member->used_at = 0;
  member->speed = 1.0;
  remove_gone_ (service, report->name);
  g_array_append_val (service->members, handle);
  g_hash_table_replace (placement->by_name, g_strdup (report->name),
                        GUINT_TO_POINTER (handle));
  g_message ("member %s of service %s joined, availability zone %s, %s, %u slots",
             report->name, report->service, report->zone,
             dp_member_state_string (report->state), report->slots);
  return handle;
}

static void
remove_member_ (DpPlacement *placement, DpHandle handle, gint64 now)
{
  Member *member = dp_handle_table_get (placement->members, handle);
  guint64 id = member->service_id;
  Service *service = find_service_ (placement, id);

  for (guint i = 0; i < service->members->len; i++)
    {
      if (g_array_index (service->members, DpHandle, i) != handle)
        continue;
      g_array_remove_index (service->members, i);
      break;
    }
  g_message ("member %s of service %s is gone", member->name, member->service);
  g_hash_table_remove (placement->by_name, member->name);
  clear_member_ (member);
  dp_handle_table_remove (placement->members, handle);
  if (service->members->len == 0)
    g_hash_table_remove (placement->services, &id);
  else
    rebuild_view_ (placement, service, now);
}

/* Adds the member to the service's list of gone members and drops expired entries. */
static void
add_gone_ (DpPlacement *placement, const Member *member, gint64 now)
{
  Service *service = find_service_ (placement, member->service_id);
  const GoneMember gone = { g_strdup (member->name), now + GONE_LISTED_US };

  for (guint i = service->gone->len; i-- > 0;)
    if (now >= g_array_index (service->gone, GoneMember, i).expires_at)
      g_array_remove_index_fast (service->gone, i);
  g_array_append_val (service->gone, gone);
}

/* Removes a member that reports again from the list of gone members. Another one with the
 * same id stays in it. */
static void
remove_gone_ (Service *service, const char *name)
{
  for (guint i = service->gone->len; i-- > 0;)
    if (g_str_equal (g_array_index (service->gone, GoneMember, i).name, name))
      g_array_remove_index_fast (service->gone, i);
}

static void
clear_gone_ (gpointer data)
{
  g_free (((GoneMember *) data)->name);
}

static void
clear_member_ (Member *member)
{
  g_free (member->name);
  g_free (member->zone);
  g_free (member->service);
}

static void
rebuild_outdated_views_ (DpPlacement *placement, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *service = value;

      if (service->view_outdated)
        rebuild_view_ (placement, service, now);
    }
}

/* Rebuilds the service's view. Members of evacuated zones are listed as leaving, so that
 * other members don't forward new flows to them. Of members with the same id, the one
 * that has joined first stays, and the others get no flows. */
static void
rebuild_view_ (DpPlacement *placement, Service *service, gint64 now)
{
  g_autoptr (GArray) list = g_array_new (FALSE, TRUE, sizeof (DpMember));
  g_autoptr (DpMemberView) view = NULL;

  for (guint i = 0; i < service->members->len; i++)
    {
      const Member *m = dp_handle_table_get (
          placement->members, g_array_index (service->members, DpHandle, i));
      DpMember entry = {
        .id = dp_member_id (m->name),
        .name = m->name,
        .zone = m->zone,
        .address = m->address,
        .slots = m->slots,
        .state = (m->silent || m->evacuated) && m->state == DP_MEMBER_ACTIVE
                     ? DP_MEMBER_LEAVING
                     : m->state,
      };

      g_array_append_val (list, entry);
    }
  service->view_outdated = FALSE;
  service->revision++;
  service->list_hash = dp_member_list_hash ((const DpMember *) (void *) list->data,
                                            list->len);
  view = dp_member_view_new (service->name, service->revision,
                             (const DpMember *) (void *) list->data, list->len);
  dp_candidates_free (service->candidates);
  service->candidates = dp_candidates_new (view);
  for (guint i = 0; i < service->members->len; i++)
    {
      Member *m = dp_handle_table_get (placement->members,
                                       g_array_index (service->members, DpHandle, i));

      m->left_out = view->n_left_out > 0
                    && !g_str_equal (
                        dp_member_view_find (view, dp_member_id (m->name))->name,
                        m->name);
    }
  dp_member_view_log_left_out (view, &service->left_out_logged_at, now);
}

static guint
n_left_out_ (const Service *service)
{
  return service->candidates == NULL
             ? 0
             : dp_candidates_view (service->candidates)->n_left_out;
}

/* Logs the members that are left out again as long as there are any. */
static void
log_left_out_ (DpPlacement *placement, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *service = value;

      if (n_left_out_ (service) > 0)
        dp_member_view_log_left_out (dp_candidates_view (service->candidates),
                                     &service->left_out_logged_at, now);
    }
}

static gboolean
is_in_evacuated_zone_ (const DpPlacement *placement, const Member *member)
{
  return placement->evacuations != NULL
         && dp_evacuations_contains (placement->evacuations, member->zone);
}

static gboolean
has_reported_recently_ (const Member *member, gint64 now)
{
  return now - member->reported_at <= silence_limit_ (member);
}

/* Returns the time without a report, in us, after which the member is probably down or
 * cut off. */
static gint64
silence_limit_ (const Member *member)
{
  return (gint64) (SILENT_INTERVALS * (double) member->report_interval)
         + SILENT_MARGIN_US;
}

static void
set_service_times_ (Member *member, const DpReport *report)
{
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
    {
      if (member->service_times[i] == report->service_times[i])
        continue;
      member->service_times[i] = report->service_times[i];
      member->log_times[i] = logf ((float) MAX (report->service_times[i], 1));
    }
}

/* Sets the speed of each member of the service to the mean, over the classes, of the
 * median service time divided by its own. */
static void
compare_speeds_ (DpPlacement *placement, Service *service, gint64 now)
{
  const guint n = service->members->len;
  g_autoptr (GArray) logs = NULL;
  double medians[DP_N_TRAFFIC_CLASSES];

  if (now - service->compared_at
      < MAX (SPEED_INTERVAL_US, n * SPEED_INTERVAL_PER_MEMBER_US))
    return;
  service->compared_at = now;
  logs = g_array_sized_new (FALSE, FALSE, sizeof (float), n);
  for (guint c = 0; c < DP_N_TRAFFIC_CLASSES; c++)
    medians[c] = median_log_time_ (placement, service, c, logs);
  for (guint i = 0; i < n; i++)
    {
      Member *member = dp_handle_table_get (
          placement->members, g_array_index (service->members, DpHandle, i));
      double sum = 0.0;
      guint n_classes = 0;

      for (guint c = 0; c < DP_N_TRAFFIC_CLASSES; c++)
        {
          if (member->service_times[c] == 0 || medians[c] < 0.0)
            continue;
          sum += medians[c] - member->log_times[c];
          n_classes++;
        }
      sum = n_classes == 0 ? 0.0 : sum / n_classes;
      if (fabs (sum) <= SPEED_NOISE_LOG)
        member->speed = 1.0;
      else
        member->speed = CLAMP (exp (sum - copysign (SPEED_NOISE_LOG, sum)), SPEED_MIN,
                               SPEED_MAX);
      update_weighted_slots_ (placement, member);
    }
}

/* Returns the median logarithm of the members' service times of the class, in us; -1 if
 * too few of them are known. */
static double
median_log_time_ (DpPlacement *placement,
                  const Service *service,
                  guint class,
                  GArray *logs)
{
  g_array_set_size (logs, 0);
  for (guint i = 0; i < service->members->len; i++)
    {
      const Member *member = dp_handle_table_get (
          placement->members, g_array_index (service->members, DpHandle, i));

      if (member->service_times[class] != 0)
        g_array_append_val (logs, member->log_times[class]);
    }
  return logs->len < SPEED_MEMBERS_MIN ? -1.0 : select_middle_ (logs);
}

/* Returns the middle value, the lower one of two, and reorders the array. Partitions only
 * the part that has the middle, as sorting would take several times as long. */
static float
select_middle_ (GArray *values)
{
  float *v = (float *) (void *) values->data;
  const guint middle = (values->len - 1) / 2;
  guint from = 0;
  guint to = values->len - 1;

  while (from < to)
    {
      const float pivot = v[(from + to) / 2];
      guint i = from;
      guint j = to;

      for (;;)
        {
          float swap;

          while (v[i] < pivot)
            i++;
          while (v[j] > pivot)
            j--;
          if (i >= j)
            break;
          swap = v[i];
          v[i++] = v[j];
          v[j--] = swap;
        }
      if (middle <= j)
        to = j;
      else
        from = j + 1;
    }
  return v[middle];
}

/* Sets the slots that count in the choice of a member: the declared ones, or the learnt
 * limit times the speed. A limit beyond what a companion can learn is a wrong report and
 * must not attract all flows. */
static void
update_weighted_slots_ (const DpPlacement *placement, Member *member)
{
  const guint slots = MAX (member->slots, 1);
  const guint limit = member->limit > 0 ? member->limit : slots;

  member->weighted_slots = slots;
  if (placement->learned)
    member->weighted_slots = MIN (limit, slots * DP_CONCURRENCY_LIMIT_FACTOR_MAX)
                             * member->speed;
}

/* Returns whether the member takes new flows. */
static gboolean
is_eligible_ (const Member *member)
{
  return member->state == DP_MEMBER_ACTIVE && !member->evacuated && !member->left_out;
}

static gint
compare_weighed_ (gconstpointer a, gconstpointer b)
{
  const DpWeighedMember *x = a;
  const DpWeighedMember *y = b;

  if (x->eligible != y->eligible)
    return x->eligible ? -1 : 1;
  if (x->silent != y->silent)
    return x->silent ? 1 : -1;
  return x->cost == y->cost ? 0 : x->cost < y->cost ? -1 : 1;
}

/* Returns the flows in flight per slot, the new one included, plus penalties for a
 * failing server and for another availability zone. */
static double
load_cost_ (const DpPlacement *placement,
            const Member *member,
            DpTrafficClass class,
            gint64 now)
{
  const guint flows = member->own_flows + member->other_flows;
  double slots = member->weighted_slots;
  double cost;

  if (flows == 0 && member->speed < 1.0 && now - member->used_at >= SPEED_IDLE_US)
    slots /= member->speed;
  if (now < member->warmed_up_at)
    slots *= COLD_CAPACITY_SHARE;
  cost = (flows + 1) / slots;
  cost += member->failing ? FAILING_PENALTY : 0.0;
  return member->same_zone ? cost : cost + other_zone_penalty_[class];
}
