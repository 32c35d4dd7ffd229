#include "protected/liveness.h"

#include <string.h>

typedef struct
{
  char *service;
  char *member;
  guint64 incarnation;
  gint64 suspect_after; /* us */
  gboolean can_be_confirmed;
  gboolean listed;            /* in the set of members that was begun last */
  DpChartInstance state;      /* of the chart "watched" */
  gint64 heard_at;            /* us; last heartbeat or start of the observation */
  gint64 last_action_at;      /* us; last action for this member, or -1 */
  gint64 confirmed_at;        /* us; last suspicion by a watcher in another zone, or -1 */
  gint64 remote_suspicion_at; /* us; last suspicion by any other watcher, or -1 */
  gboolean reported_unconfirmable; /* for the current suspicion */
  gboolean clear_pending;          /* DP_LIVENESS_CLEAR is due at the next tick */
} Watched;

typedef struct
{
  guint size;
  guint suspected; /* members, counted at each tick */
  guint overdue;   /* members overdue or suspected by others, counted at each tick */
  gboolean mass_loss;
} Service;

struct _DpLiveness
{
  char *zone;
  DpChart *chart;
  GHashTable *members;    /* "SERVICE/MEMBER" to Watched */
  GHashTable *services;   /* name to Service */
  gint64 ticked_at;       /* us */
  gboolean ignore_pauses; /* injected fault, see dp_liveness_set_test_ignore_pauses () */
};

static const char *const action_strings_[] = {
  "suspect", "remove", "clear", "mass_loss", "alone", "was_paused",
};

G_STATIC_ASSERT (G_N_ELEMENTS (action_strings_) == DP_N_LIVENESS_ACTIONS);

static void watched_free_ (gpointer data);
static Watched *
find_member_ (DpLiveness *liveness, const char *service, const char *member);
static Service *obtain_service_ (DpLiveness *liveness, const char *name);
static void restart_observation_ (Watched *watched, gint64 now);
static gboolean is_suspected_ (const Watched *watched);
static gboolean is_recent_suspicion_ (gint64 at, gint64 now);
static gboolean is_overdue_ (const Watched *watched, gint64 now);
static gboolean is_mass_loss_ (const Service *service);
static gboolean was_paused_ (const DpLiveness *liveness, gint64 now);
static void suspect_if_silent_ (DpLiveness *liveness, Watched *watched, gint64 now);
static void count_suspected_ (DpLiveness *liveness, gint64 now);
static void report_mass_loss_ (DpLiveness *liveness, GArray *actions);
static void
decide_member_ (DpLiveness *liveness, Watched *watched, gint64 now, GArray *actions);
static void
add_action_ (GArray *actions, DpLivenessActionType type, const Watched *watched);

/* Returns the name of the type. */
const char *
dp_liveness_action_string (DpLivenessActionType type)
{
  g_assert (type < DP_N_LIVENESS_ACTIONS);
  return action_strings_[type];
}

/* Creates a watcher in the availability zone that watches no members yet; now is
 * in us. */
DpLiveness *
dp_liveness_new (const char *zone, gint64 now)
{
  DpLiveness *liveness = g_new0 (DpLiveness, 1);
  g_autoptr (GError) error = NULL;

  liveness->zone = g_strdup (zone);
  liveness->chart = dp_chart_load ("watched", &error);
  if (liveness->chart == NULL)
    g_error ("compiled-in chart: %s", error->message);
  liveness->members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             watched_free_);
  liveness->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  liveness->ticked_at = now;
  return liveness;
}

/* Frees the watcher. */
void
dp_liveness_free (DpLiveness *liveness)
{
  if (liveness == NULL)
    return;
  g_hash_table_unref (liveness->members);
  g_hash_table_unref (liveness->services);
  dp_chart_free (liveness->chart);
  g_free (liveness->zone);
  g_free (liveness);
}

/* Begins a new set of members to watch. */
void
dp_liveness_begin_members (DpLiveness *liveness)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, liveness->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Watched *) value)->listed = FALSE;
}

/* Watches the member. The observation of a new member, or of a later incarnation
 * than before, starts at now, in us. An earlier incarnation does not replace the
 * current one. */
void
dp_liveness_set_member (DpLiveness *liveness, const DpLivenessMember *member, gint64 now)
{
  Watched *watched = find_member_ (liveness, member->service, member->member);

  if (watched == NULL)
    {
      watched = g_new0 (Watched, 1);
      watched->service = g_strdup (member->service);
      watched->member = g_strdup (member->member);
      watched->incarnation = member->incarnation;
      dp_chart_start (&watched->state, liveness->chart);
      restart_observation_ (watched, now);
      g_hash_table_insert (liveness->members,
                           g_strdup_printf ("%s/%s", member->service, member->member),
                           watched);
    }
  else if (member->incarnation > watched->incarnation)
    {
      watched->incarnation = member->incarnation;
      dp_chart_step (&watched->state, DP_WATCHED_EVENT_PAUSED);
      restart_observation_ (watched, now);
    }
  watched->suspect_after = member->suspect_after;
  watched->can_be_confirmed = member->can_be_confirmed;
  watched->listed = TRUE;
}

/* Forgets the members that were not set since dp_liveness_begin_members (). */
void
dp_liveness_end_members (DpLiveness *liveness)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, liveness->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Watched *watched = value;

      if (watched->listed)
        continue;
      dp_chart_step (&watched->state, DP_WATCHED_EVENT_GONE);
      g_hash_table_iter_remove (&iter);
    }
}

/* Sets the number of members of the service, which the guard against mass loss uses. */
void
dp_liveness_set_service_size (DpLiveness *liveness, const char *service, guint size)
{
  obtain_service_ (liveness, service)->size = size;
}

/* Handles a heartbeat, which cancels the suspicion of its incarnation or an
 * earlier one. */
void
dp_liveness_handle_heartbeat (DpLiveness *liveness,
                              const char *service,
                              const char *member,
                              guint64 incarnation,
                              gint64 now)
{
  Watched *watched = find_member_ (liveness, service, member);

  if (watched == NULL || incarnation < watched->incarnation)
    return;
  watched->incarnation = incarnation;
  watched->heard_at = now;
  if (dp_chart_step (&watched->state, DP_WATCHED_EVENT_HEARTBEAT)
      == DP_WATCHED_ACTION_CLEAR)
    {
      watched->clear_pending = TRUE;
      watched->reported_unconfirmable = FALSE;
    }
}

/* Handles another watcher's suspicion. It is ignored if its incarnation is not the one
 * that is watched here. */
void
dp_liveness_handle_suspicion (DpLiveness *liveness,
                              const char *service,
                              const char *member,
                              guint64 incarnation,
                              const char *zone,
                              gint64 now)
{
  Watched *watched = find_member_ (liveness, service, member);

  if (watched == NULL || incarnation != watched->incarnation)
    return;
  watched->remote_suspicion_at = now;
  if (!g_str_equal (zone, liveness->zone))
    watched->confirmed_at = now;
}

/* Restarts the observation of all members at now, in us, without any suspicion. */
void
dp_liveness_restart (DpLiveness *liveness, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, liveness->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      dp_chart_step (&((Watched *) value)->state, DP_WATCHED_EVENT_PAUSED);
      restart_observation_ (value, now);
    }
}

/* Decides about all members at now, in us. To be called every
 * DP_LIVENESS_TICK_INTERVAL_US. A call that is more than DP_LIVENESS_MAX_TICK_DELAY_US
 * late shows that this watcher was paused and may have missed heartbeats; it then
 * restarts all observations. */
void
dp_liveness_tick (DpLiveness *liveness, gint64 now, GArray *actions)
{
  gboolean paused = was_paused_ (liveness, now);
  GHashTableIter iter;
  gpointer value;

  liveness->ticked_at = now;
  if (paused)
    {
      dp_liveness_restart (liveness, now);
      add_action_ (actions, DP_LIVENESS_WAS_PAUSED, NULL);
      return;
    }
  g_hash_table_iter_init (&iter, liveness->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    suspect_if_silent_ (liveness, value, now);
  count_suspected_ (liveness, now);
  report_mass_loss_ (liveness, actions);
  g_hash_table_iter_init (&iter, liveness->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    decide_member_ (liveness, value, now, actions);
}

/* Returns whether this watcher's own suspicion of the incarnation and its confirmation
 * from another zone are still valid at now, in us. A watcher that was paused between its
 * decision and the write must not act on the decision. */
gboolean
dp_liveness_may_remove (DpLiveness *liveness,
                        const char *service,
                        const char *member,
                        guint64 incarnation,
                        gint64 now)
{
  Watched *watched = find_member_ (liveness, service, member);

  if (liveness->ignore_pauses)
    return TRUE;
  return watched != NULL && watched->state.state == DP_WATCHED_REMOVING
         && watched->incarnation == incarnation && !was_paused_ (liveness, now)
         && now - watched->heard_at > watched->suspect_after
         && is_recent_suspicion_ (watched->confirmed_at, now)
         && !is_mass_loss_ (obtain_service_ (liveness, service));
}

/* Gets the member's state as this watcher sees it. */
gboolean
dp_liveness_state (DpLiveness *liveness,
                   const char *service,
                   const char *member,
                   DpWatchedState *state)
{
  const Watched *watched = find_member_ (liveness, service, member);

  if (watched == NULL)
    return FALSE;
  *state = (DpWatchedState) watched->state.state;
  return TRUE;
}

/* Returns the name of the state in the state chart. */
const char *
dp_liveness_state_string (const DpLiveness *liveness, DpWatchedState state)
{
  return dp_chart_state_name (liveness->chart, state);
}

/* Injects a fault, so that tests can verify that they would detect it: the watcher
 * ignores that it was paused and removes members without checking its suspicion again. */
void
dp_liveness_set_test_ignore_pauses (DpLiveness *liveness, gboolean ignore_pauses)
{
  liveness->ignore_pauses = ignore_pauses;
}

static void
watched_free_ (gpointer data)
{
  Watched *watched = data;

  g_free (watched->service);
  g_free (watched->member);
  g_free (watched);
}

static Watched *
find_member_ (DpLiveness *liveness, const char *service, const char *member)
{
  g_autofree char *key = g_strdup_printf ("%s/%s", service, member);

  return g_hash_table_lookup (liveness->members, key);
}

static Service *
obtain_service_ (DpLiveness *liveness, const char *name)
{
  Service *service = g_hash_table_lookup (liveness->services, name);

  if (service == NULL)
    {
      service = g_new0 (Service, 1);
      g_hash_table_insert (liveness->services, g_strdup (name), service);
    }
  return service;
}

static void
restart_observation_ (Watched *watched, gint64 now)
{
  watched->heard_at = now;
  watched->confirmed_at = -1;
  watched->remote_suspicion_at = -1;
  watched->last_action_at = -1;
  watched->reported_unconfirmable = FALSE;
}

static gboolean
is_suspected_ (const Watched *watched)
{
  return watched->state.state == DP_WATCHED_SUSPECTED
         || watched->state.state == DP_WATCHED_REMOVING;
}

static gboolean
is_recent_suspicion_ (gint64 at, gint64 now)
{
  return at >= 0 && now - at <= DP_LIVENESS_SUSPICION_VALIDITY_US;
}

/* Returns whether the member has been without a heartbeat for half of suspect_after, so
 * that it may have failed together with a member that is suspected already. */
static gboolean
is_overdue_ (const Watched *watched, gint64 now)
{
  return now - watched->heard_at > watched->suspect_after / 2;
}

/* Members that fail together become suspected up to a heartbeat interval apart. Overdue
 * members are therefore counted, so that the first member to be suspected is not removed
 * before the others are suspected. */
static gboolean
is_mass_loss_ (const Service *service)
{
  return service->mass_loss || service->overdue * 2 > service->size;
}

static gboolean
was_paused_ (const DpLiveness *liveness, gint64 now)
{
  return !liveness->ignore_pauses
         && now - liveness->ticked_at
                > DP_LIVENESS_TICK_INTERVAL_US + DP_LIVENESS_MAX_TICK_DELAY_US;
}

/* Suspects the member if it has been without a heartbeat for more than suspect_after. */
static void
suspect_if_silent_ (DpLiveness *liveness, Watched *watched, gint64 now)
{
  if (is_suspected_ (watched) || now - watched->heard_at <= watched->suspect_after)
    return;
  dp_chart_step (&watched->state, DP_WATCHED_EVENT_SILENT);
  watched->last_action_at = -1;
}

static void
count_suspected_ (DpLiveness *liveness, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, liveness->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *service = value;

      service->suspected = 0;
      service->overdue = 0;
    }
  g_hash_table_iter_init (&iter, liveness->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Watched *watched = value;
      Service *service = obtain_service_ (liveness, watched->service);

      if (is_suspected_ (watched)
          || is_recent_suspicion_ (watched->remote_suspicion_at, now))
        service->suspected++;
      if (is_overdue_ (watched, now)
          || is_recent_suspicion_ (watched->remote_suspicion_at, now))
        service->overdue++;
    }
}

/* A loss of more than half of a service is more likely a fault of the network or of the
 * watchers, and removing that many members would leave too few. */
static void
report_mass_loss_ (DpLiveness *liveness, GArray *actions)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, liveness->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      Service *service = value;
      gboolean mass_loss = service->suspected * 2 > service->size;
      const DpLivenessAction action = { DP_LIVENESS_MASS_LOSS, name, "", 0 };

      if (mass_loss && !service->mass_loss)
        g_array_append_val (actions, action);
      service->mass_loss = mass_loss;
    }
}

static void
decide_member_ (DpLiveness *liveness, Watched *watched, gint64 now, GArray *actions)
{
  gboolean due = watched->last_action_at < 0
                 || now - watched->last_action_at >= DP_LIVENESS_REPEAT_INTERVAL_US;
  gboolean confirmed = is_recent_suspicion_ (watched->confirmed_at, now);

  if (watched->clear_pending)
    add_action_ (actions, DP_LIVENESS_CLEAR, watched);
  watched->clear_pending = FALSE;
  if (!is_suspected_ (watched) || !due)
    return;
  watched->last_action_at = now;
  add_action_ (actions, DP_LIVENESS_SUSPECT, watched);
  if (!watched->can_be_confirmed && !watched->reported_unconfirmable)
    {
      add_action_ (actions, DP_LIVENESS_UNCONFIRMABLE, watched);
      watched->reported_unconfirmable = TRUE;
    }
  if (!confirmed || is_mass_loss_ (obtain_service_ (liveness, watched->service)))
    return;
  dp_chart_step (&watched->state, DP_WATCHED_EVENT_AGREED);
  add_action_ (actions, DP_LIVENESS_REMOVE, watched);
}

static void
add_action_ (GArray *actions, DpLivenessActionType type, const Watched *watched)
{
  const DpLivenessAction action = {
    .type = type,
    .service = watched == NULL ? "" : watched->service,
    .member = watched == NULL ? "" : watched->member,
    .incarnation = watched == NULL ? 0 : watched->incarnation,
  };

  g_array_append_val (actions, action);
}
