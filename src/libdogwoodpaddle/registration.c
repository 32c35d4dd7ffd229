#include "protected/registration.h"

#include "protected/backoff.h"
#include "protected/chart.h"
#include "protected/error.h"
#include "protected/membership.h"

#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 5000

struct _DpRegistration
{
  char *service;
  DpMember self; /* owns its strings; state is set for each write */
  DpReplica *replica;
  DpPlatform *platform;
  guint replica_listener;
  DpRegistrationFunc changed;
  gpointer user_data;
  DpChart *chart;
  DpChartInstance target; /* the state that the entry is to have */
  DpRegistrationState wanted;
  DpRegistrationState written; /* as last known to be on the platform */
  DpPosition position;         /* of the object at this process's last write or read */
  gboolean attempted;          /* a write with self.incarnation was sent */
  gboolean joined;             /* the entry was written with self.incarnation */
  gboolean held;               /* drained by an operator, as last read */
  gboolean superseded;
  gboolean busy;               /* a read or write is in progress */
  gboolean recheck;            /* something changed while busy: update once more */
  DpRegistrationState writing; /* the state that the write in progress sets */
  DpBackoff backoff;
  guint timer; /* source id */
};

static const char *const state_strings_[] = { "absent", "joining", "active", "leaving" };

G_STATIC_ASSERT (G_N_ELEMENTS (state_strings_) == DP_N_REGISTRATION_STATES);
G_STATIC_ASSERT (DP_N_REGISTRATION_STATES == (guint) DP_N_MEMBER_CHART_STATES);

/* The next event on the way from a chart state (row) to a wanted state (column). */
static const DpMemberEvent events_[DP_N_MEMBER_CHART_STATES][DP_N_REGISTRATION_STATES] = {
  { DP_N_MEMBER_EVENTS, DP_MEMBER_EVENT_ANNOUNCED, DP_MEMBER_EVENT_ANNOUNCED,
    DP_MEMBER_EVENT_ANNOUNCED },
  { DP_MEMBER_EVENT_STOP, DP_N_MEMBER_EVENTS, DP_MEMBER_EVENT_SERVER_UP,
    DP_MEMBER_EVENT_STOP },
  { DP_MEMBER_EVENT_STOP, DP_MEMBER_EVENT_SERVER_DOWN, DP_N_MEMBER_EVENTS,
    DP_MEMBER_EVENT_STOP },
  { DP_MEMBER_EVENT_LAST_FLOW_ENDED, DP_MEMBER_EVENT_UNDRAIN, DP_MEMBER_EVENT_UNDRAIN,
    DP_N_MEMBER_EVENTS },
};

static void step_to_wanted_ (DpRegistration *registration);
static void replica_changed_ (const DpRecord *record, gpointer user_data);
static gboolean is_as_wanted_ (DpRegistration *registration, JsonNode *value);
static void start_update_ (DpRegistration *registration);
static gboolean retry_now_ (gpointer user_data);
static void retry_later_ (DpRegistration *registration);
static void read_done_ (GPtrArray *records,
                        DpPosition position,
                        const GError *error,
                        gpointer user_data);
static void
update_entry_ (DpRegistration *registration, JsonNode *value, DpPosition position);
static gboolean check_entry_ (DpRegistration *registration,
                              const DpMembershipEntry *entry);
static JsonNode *make_value_ (DpRegistration *registration, JsonNode *value);
static void write_done_ (DpWriteResult result,
                         DpRecord *record,
                         const GError *error,
                         gpointer user_data);
static void settle_ (DpRegistration *registration, DpRegistrationState written);
static void set_held_ (DpRegistration *registration, gboolean held);

/* Creates a registration whose wanted state is ABSENT; writes nothing. Copies self, whose
 * incarnation has to be higher than all earlier ones of the same member. */
DpRegistration *
dp_registration_new (const char *service,
                     const DpMember *self,
                     DpReplica *replica,
                     DpPlatform *platform,
                     DpClock *clock)
{
  DpRegistration *registration = g_new0 (DpRegistration, 1);
  g_autoptr (GError) error = NULL;

  registration->service = g_strdup (service);
  registration->self = *self;
  registration->self.name = g_strdup (self->name);
  registration->self.zone = g_strdup (self->zone);
  registration->replica = replica;
  registration->platform = platform;
  registration->chart = dp_chart_load ("member", &error);
  if (registration->chart == NULL)
    g_error ("compiled-in chart: %s", error->message);
  dp_chart_start (&registration->target, registration->chart);
  dp_backoff_init (&registration->backoff, RETRY_FIRST_MS, RETRY_MAX_MS);
  registration->replica_listener = dp_replica_add_listener (replica, replica_changed_,
                                                            registration);
  return registration;
}

/* Frees the registration, which has to be done before its platform client and replica are
 * freed. The entry stays as it is. */
void
dp_registration_free (DpRegistration *registration)
{
  if (registration == NULL)
    return;
  dp_replica_remove_listener (registration->replica, registration->replica_listener);
  dp_platform_cancel (registration->platform, registration);
  g_clear_handle_id (&registration->timer, g_source_remove);
  dp_chart_free (registration->chart);
  g_free (registration->service);
  g_free (registration->self.name);
  g_free (registration->self.zone);
  g_free (registration);
}

/* Sets the function to call on changes; changed may be NULL. */
void
dp_registration_set_listener (DpRegistration *registration,
                              DpRegistrationFunc changed,
                              gpointer user_data)
{
  registration->changed = changed;
  registration->user_data = user_data;
}

/* Sets the limits that the entry announces, and writes them unless the wanted state is
 * ABSENT. */
void
dp_registration_set_capacity (DpRegistration *registration,
                              guint32 slots,
                              guint32 connections)
{
  if (registration->self.slots == slots && registration->self.connections == connections)
    return;
  registration->self.slots = slots;
  registration->self.connections = connections;
  if (registration->wanted != DP_REGISTRATION_ABSENT)
    start_update_ (registration);
}

/* Sets the state that the entry is to have, and starts to write it. Failed calls are
 * retried; nothing is written once another process has taken over the member's name. */
void
dp_registration_set_wanted (DpRegistration *registration, DpRegistrationState state)
{
  g_assert (state < DP_N_REGISTRATION_STATES);
  if (registration->wanted == state)
    return;
  registration->wanted = state;
  step_to_wanted_ (registration);
  start_update_ (registration);
}

/* Returns the state last set with dp_registration_set_wanted (). */
DpRegistrationState
dp_registration_wanted (const DpRegistration *registration)
{
  return registration->wanted;
}

/* Returns the state that was last written, or that the platform had already. */
DpRegistrationState
dp_registration_written (const DpRegistration *registration)
{
  return registration->written;
}

/* Returns the incarnation of the entry. */
guint64
dp_registration_incarnation (const DpRegistration *registration)
{
  return registration->self.incarnation;
}

/* Returns whether another process has taken over the member's name. */
gboolean
dp_registration_superseded (const DpRegistration *registration)
{
  return registration->superseded;
}

/* Returns whether an operator keeps the member drained. */
gboolean
dp_registration_held (const DpRegistration *registration)
{
  return registration->held;
}

/* Returns a short name of the state. */
const char *
dp_registration_state_string (DpRegistrationState state)
{
  g_assert (state < DP_N_REGISTRATION_STATES);
  return state_strings_[state];
}

/* Steps the state chart through the events that lead to the wanted state. */
static void
step_to_wanted_ (DpRegistration *registration)
{
  while (registration->target.state != registration->wanted)
    {
      DpMemberEvent event = events_[registration->target.state][registration->wanted];
      guint before = registration->target.state;

      dp_chart_step (&registration->target, event);
      g_assert (registration->target.state != before);
    }
}

static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpRegistration *registration = user_data;
  g_autoptr (JsonNode) value = NULL;

  if (record->kind != DP_KIND_MEMBERS
      || !g_str_equal (record->name, registration->service)
      || dp_position_compare (record->position, registration->position) <= 0
      || registration->superseded
      || (registration->wanted == DP_REGISTRATION_ABSENT && !registration->joined))
    return;
  value = dp_record_value (record);
  if (!is_as_wanted_ (registration, value))
    start_update_ (registration);
}

/* Returns whether the entry in the value is as wanted. */
static gboolean
is_as_wanted_ (DpRegistration *registration, JsonNode *value)
{
  DpMembershipEntry entry;

  if (!dp_membership_find (value, registration->self.name, &entry)
      || entry.held != registration->held)
    return FALSE;
  if (registration->wanted == DP_REGISTRATION_ABSENT)
    return !entry.present;
  return entry.present && entry.incarnation == registration->self.incarnation
         && (entry.held || entry.state + 1 == (DpMemberState) registration->target.state);
}

/* Starts to read the object's newest value from the platform. The value is written back
 * with a changed entry if the entry is not as wanted. */
static void
start_update_ (DpRegistration *registration)
{
  if (registration->superseded)
    return;
  if (registration->busy)
    {
      registration->recheck = TRUE;
      return;
    }
  g_clear_handle_id (&registration->timer, g_source_remove);
  registration->busy = TRUE;
  registration->recheck = FALSE;
  dp_platform_get (registration->platform, DP_KIND_MEMBERS, registration->service,
                   read_done_, registration);
}

static gboolean
retry_now_ (gpointer user_data)
{
  DpRegistration *registration = user_data;

  registration->timer = 0;
  start_update_ (registration);
  return G_SOURCE_REMOVE;
}

static void
retry_later_ (DpRegistration *registration)
{
  registration->busy = FALSE;
  if (registration->timer == 0)
    registration->timer = g_timeout_add (dp_backoff_next (&registration->backoff),
                                         retry_now_, registration);
}

static void
read_done_ (GPtrArray *records,
            DpPosition position,
            const GError *error,
            gpointer user_data)
{
  DpRegistration *registration = user_data;
  const DpRecord *record = records->len == 0 ? NULL : g_ptr_array_index (records, 0);
  g_autoptr (JsonNode) value = record == NULL ? NULL : dp_record_value (record);

  if (error != NULL)
    {
      if (registration->backoff.attempts == 0)
        g_warning ("registration: %s", error->message);
      retry_later_ (registration);
      return;
    }
  update_entry_ (registration, value, position);
}

/* Writes the value with the wanted entry, unless the value has that entry already. */
static void
update_entry_ (DpRegistration *registration, JsonNode *value, DpPosition position)
{
  g_autoptr (JsonNode) changed = NULL;
  DpMembershipEntry entry;

  if (!dp_membership_find (value, registration->self.name, &entry))
    {
      g_warning ("registration: members/%s is malformed", registration->service);
      retry_later_ (registration);
      return;
    }
  registration->position = dp_position_max (registration->position, position);
  if (!check_entry_ (registration, &entry))
    {
      registration->busy = FALSE;
      settle_ (registration, registration->written);
      return;
    }
  registration->writing = (DpRegistrationState) registration->target.state;
  changed = make_value_ (registration, value);
  if (changed == NULL || (value != NULL && json_node_equal (changed, value)))
    {
      registration->joined = entry.present;
      settle_ (registration, registration->writing);
      return;
    }
  registration->attempted = TRUE;
  dp_platform_write (registration->platform, DP_KIND_MEMBERS, registration->service,
                     position, changed, write_done_, registration);
}

/* Updates the registration from the platform's entry. Returns FALSE if the entry is that
 * of another process that has taken over the name. */
static gboolean
check_entry_ (DpRegistration *registration, const DpMembershipEntry *entry)
{
  DpMember *self = &registration->self;

  set_held_ (registration, entry->held);
  if (registration->attempted && entry->present && entry->incarnation > self->incarnation)
    {
      g_critical ("registration: another process has taken over the name %s of service "
                  "%s with incarnation %" G_GUINT64_FORMAT,
                  self->name, registration->service, entry->incarnation);
      registration->superseded = TRUE;
      return FALSE;
    }
  if (!registration->attempted && entry->present
      && entry->incarnation >= self->incarnation)
    self->incarnation = entry->incarnation + 1; /* left by an earlier process */
  /* An entry with this incarnation shows that a write that counted as failed took effect:
   * the response was lost, and others wrote the object before it was read back. */
  if (registration->attempted && entry->present
      && entry->incarnation == self->incarnation)
    registration->joined = TRUE;
  if (registration->joined && !entry->present
      && registration->writing != DP_REGISTRATION_ABSENT
      && registration->wanted != DP_REGISTRATION_ABSENT)
    {
      self->incarnation++;
      registration->joined = FALSE;
      g_warning ("registration: %s was removed from service %s by another process, "
                 "joining again with incarnation %" G_GUINT64_FORMAT,
                 self->name, registration->service, self->incarnation);
      dp_chart_step (&registration->target, DP_MEMBER_EVENT_REMOVED_BY_WATCHER);
      step_to_wanted_ (registration);
    }
  return TRUE;
}

static JsonNode *
make_value_ (DpRegistration *registration, JsonNode *value)
{
  static const DpMemberState states[DP_N_REGISTRATION_STATES] = {
    DP_MEMBER_JOINING,
    DP_MEMBER_JOINING,
    DP_MEMBER_ACTIVE,
    DP_MEMBER_LEAVING,
  };

  if (registration->writing == DP_REGISTRATION_ABSENT)
    return dp_membership_remove (value, registration->self.name,
                                 registration->self.incarnation);
  registration->self.state = states[registration->writing];
  return dp_membership_put (value, &registration->self);
}

static void
write_done_ (DpWriteResult result,
             DpRecord *record,
             const GError *error,
             gpointer user_data)
{
  DpRegistration *registration = user_data;

  if (result == DP_WRITE_DONE)
    {
      registration->joined = registration->writing != DP_REGISTRATION_ABSENT;
      registration->position = record->position;
      dp_replica_apply (registration->replica, record);
      settle_ (registration, registration->writing);
      return;
    }
  if (result != DP_WRITE_CONFLICT && registration->backoff.attempts == 0)
    g_warning ("registration: %s", error->message);
  retry_later_ (registration);
}

/* Sets the state that the platform is known to have; starts another update if a different
 * state is wanted by now. */
static void
settle_ (DpRegistration *registration, DpRegistrationState written)
{
  gboolean recheck = registration->recheck
                     || (guint) written != registration->target.state;

  registration->busy = FALSE;
  registration->written = written;
  dp_backoff_reset (&registration->backoff);
  if (recheck)
    start_update_ (registration);
  if (registration->changed != NULL)
    registration->changed (registration, registration->user_data);
}

static void
set_held_ (DpRegistration *registration, gboolean held)
{
  if (registration->held == held)
    return;
  registration->held = held;
  g_message ("registration: %s of service %s is %s", registration->self.name,
             registration->service,
             held ? "drained by an operator" : "no longer drained");
}
