#include "private/balancerregistration.h"

#include "protected/backoff.h"
#include "protected/json.h"
#include "protected/memberview.h"

#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 5000
/* Maximum delay, which is random, before a registration is written again that the store
 * has lost in a restore, as other balancers have lost theirs as well. */
#define LOST_DELAY_MS 1000

struct _DpBalancerRegistration
{
  DpTopologyBalancer self; /* owns its strings */
  DpBalancerRegistrationOwner owner;
  DpReplica *replica;
  DpPlatform *platform;
  DpBalancerRegistrationFunc settled;
  gpointer user_data;
  guint replica_listener;
  gboolean wanted;       /* whether the registration is to be present */
  gboolean present;      /* whether it was when last read or written */
  gboolean attempted;    /* a write with self.incarnation was sent, or reused is TRUE */
  gboolean superseded;   /* another process has registered this name */
  gboolean replica_used; /* the replica's record has been used for an update */
  gboolean reused;       /* the registration of an earlier process was reused */
  gboolean busy;         /* a read or write is in progress */
  gboolean recheck;      /* something changed while busy: update once more */
  gboolean adding;       /* the write in progress adds the registration */
  DpPosition position;   /* at which the registration was last known to be present */
  DpBackoff backoff;
  guint timer; /* source id */
};

static void replica_changed_ (const DpRecord *record, gpointer user_data);
static void write_lost_later_ (DpBalancerRegistration *registration);
static void start_update_ (DpBalancerRegistration *registration);
static gboolean update_from_replica_ (DpBalancerRegistration *registration);
static void compare_ (DpBalancerRegistration *registration,
                      const DpRecord *record,
                      DpPosition position);
static gboolean retry_now_ (gpointer user_data);
static void retry_later_ (DpBalancerRegistration *registration);
static void read_done_ (GPtrArray *records,
                        DpPosition position,
                        const GError *error,
                        gpointer user_data);
static gboolean check_record_ (DpBalancerRegistration *registration,
                               const DpRecord *record,
                               gboolean *present);
static void write_done_ (DpWriteResult result,
                         DpRecord *record,
                         const GError *error,
                         gpointer user_data);
static void settle_ (DpBalancerRegistration *registration, gboolean present);
static guint64 incarnation_of_ (const DpRecord *record);
static guint64 next_incarnation_ (guint64 incarnation);
static gboolean matches_ (const DpTopologyBalancer *self, const DpRecord *record);
static JsonNode *make_value_ (const DpTopologyBalancer *self);

/* Creates a registration whose wanted state is absent; writes nothing. Copies self. */
DpBalancerRegistration *
dp_balancer_registration_new (const DpTopologyBalancer *self,
                              DpBalancerRegistrationOwner owner,
                              DpReplica *replica,
                              DpPlatform *platform,
                              DpBalancerRegistrationFunc settled,
                              gpointer user_data)
{
  DpBalancerRegistration *registration = g_new0 (DpBalancerRegistration, 1);

  registration->self = *self;
  registration->self.name = g_strdup (self->name);
  registration->self.zone = g_strdup (self->zone);
  registration->self.region = g_strdup (self->region);
  registration->owner = owner;
  registration->replica = replica;
  registration->platform = platform;
  registration->settled = settled;
  registration->user_data = user_data;
  dp_backoff_init (&registration->backoff, RETRY_FIRST_MS, RETRY_MAX_MS);
  registration->replica_listener = dp_replica_add_listener (replica, replica_changed_,
                                                            registration);
  return registration;
}

/* Frees the object. The platform keeps the registration. */
void
dp_balancer_registration_free (DpBalancerRegistration *registration)
{
  if (registration == NULL)
    return;
  dp_replica_remove_listener (registration->replica, registration->replica_listener);
  dp_platform_cancel (registration->platform, registration);
  g_clear_handle_id (&registration->timer, g_source_remove);
  g_free (registration->self.name);
  g_free (registration->self.zone);
  g_free (registration->self.region);
  g_free (registration);
}

/* Sets whether the registration is to be present, and starts to add or remove it. Failed
 * calls are retried; nothing is written once another process has registered the name. */
void
dp_balancer_registration_set_wanted (DpBalancerRegistration *registration,
                                     gboolean present)
{
  registration->wanted = present;
  start_update_ (registration);
}

/* Returns whether the platform is known to hold the registration. */
gboolean
dp_balancer_registration_present (const DpBalancerRegistration *registration)
{
  return registration->present;
}

/* Returns whether the registration of an earlier process was reused. */
gboolean
dp_balancer_registration_reused (const DpBalancerRegistration *registration)
{
  return registration->reused;
}

/* Returns the registration's incarnation, which may differ from the one given to
 * dp_balancer_registration_new (). */
guint64
dp_balancer_registration_incarnation (const DpBalancerRegistration *registration)
{
  return registration->self.incarnation;
}

/* Starts an update when the replica shows that the registration was removed, added or
 * replaced against the wanted state, as another process may do. */
static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpBalancerRegistration *registration = user_data;

  if (record->kind != DP_KIND_BALANCER
      || !g_str_equal (record->name, registration->self.name) || !registration->attempted)
    return;
  if (record->deleted && registration->wanted
      && dp_position_era (record->position) > dp_position_era (registration->position))
    {
      write_lost_later_ (registration);
      return;
    }
  if (record->deleted == registration->wanted
      || (!record->deleted
          && (incarnation_of_ (record) != registration->self.incarnation
              || !matches_ (&registration->self, record))))
    start_update_ (registration);
}

/* Schedules the update of a registration that is absent from the first list of a new era.
 */
static void
write_lost_later_ (DpBalancerRegistration *registration)
{
  if (registration->busy)
    {
      registration->recheck = TRUE;
      return;
    }
  g_message (
      "registration: balancer %s was lost when the store was restored, registering "
      "again",
      registration->self.name);
  if (registration->timer == 0)
    registration->timer = g_timeout_add (
        (guint) g_random_int_range (0, LOST_DELAY_MS + 1), retry_now_, registration);
}

/* Uses the replica's record for the first update of a registration that belongs to the
 * host, which saves reading the object: a record that matches is reused, whoever wrote
 * it, and a missing one is created on condition that the object does not exist. Returns
 * FALSE if the platform has to be read. */
static gboolean
update_from_replica_ (DpBalancerRegistration *registration)
{
  const DpRecord *record = dp_replica_get (registration->replica, DP_KIND_BALANCER,
                                           registration->self.name);

  if (registration->owner != DP_BALANCER_REGISTRATION_OF_HOST
      || registration->replica_used || !registration->wanted
      || dp_replica_position (registration->replica) == 0)
    return FALSE;
  registration->replica_used = TRUE;
  if (record != NULL && !record->deleted && !matches_ (&registration->self, record))
    return FALSE;
  registration->busy = TRUE;
  registration->recheck = FALSE;
  compare_ (registration, record != NULL && !record->deleted ? record : NULL, 0);
  return TRUE;
}

static void
start_update_ (DpBalancerRegistration *registration)
{
  if (registration->superseded)
    return;
  if (registration->busy)
    {
      registration->recheck = TRUE;
      return;
    }
  g_clear_handle_id (&registration->timer, g_source_remove);
  if (update_from_replica_ (registration))
    return;
  registration->busy = TRUE;
  registration->recheck = FALSE;
  dp_platform_get (registration->platform, DP_KIND_BALANCER, registration->self.name,
                   read_done_, registration);
}

static gboolean
retry_now_ (gpointer user_data)
{
  DpBalancerRegistration *registration = user_data;

  registration->timer = 0;
  start_update_ (registration);
  return G_SOURCE_REMOVE;
}

static void
retry_later_ (DpBalancerRegistration *registration)
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
  DpBalancerRegistration *registration = user_data;

  if (error != NULL)
    {
      if (registration->backoff.attempts == 0)
        g_warning ("registration: %s", error->message);
      retry_later_ (registration);
      return;
    }
  compare_ (registration, records->len == 0 ? NULL : g_ptr_array_index (records, 0),
            position);
}

/* Adds or removes the registration if the record, NULL for none, is not as wanted. */
static void
compare_ (DpBalancerRegistration *registration,
          const DpRecord *record,
          DpPosition position)
{
  g_autoptr (JsonNode) value = NULL;
  gboolean present;

  if (!check_record_ (registration, record, &present))
    {
      settle_ (registration, FALSE);
      return;
    }
  if (present == registration->wanted || (!registration->wanted && record == NULL))
    {
      settle_ (registration, present);
      return;
    }
  registration->adding = registration->wanted;
  registration->attempted = TRUE;
  value = registration->wanted ? make_value_ (&registration->self) : NULL;
  dp_platform_write (registration->platform, DP_KIND_BALANCER, registration->self.name,
                     position, value, write_done_, registration);
}

/* Sets present to whether the record is this process's registration, and raises the
 * incarnation above that of an earlier process, of a registration that another process
 * removed, or of one with other values than this process wrote. Returns FALSE if another
 * process has registered the name since; a host's name is its own, whoever wrote there.
 */
static gboolean
check_record_ (DpBalancerRegistration *registration,
               const DpRecord *record,
               gboolean *present)
{
  guint64 incarnation = record == NULL ? 0 : incarnation_of_ (record);
  DpTopologyBalancer *self = &registration->self;
  const gboolean of_host = registration->owner == DP_BALANCER_REGISTRATION_OF_HOST;
  const gboolean matches = record != NULL && matches_ (self, record);

  if (of_host && registration->wanted && matches)
    {
      self->incarnation = incarnation;
      registration->reused = registration->reused || !registration->attempted;
      registration->attempted = TRUE;
    }
  *present = registration->attempted && matches && incarnation == self->incarnation;
  if (*present)
    registration->position = dp_position_max (registration->position, record->position);
  if (record == NULL && registration->present && registration->wanted)
    {
      self->incarnation = next_incarnation_ (self->incarnation);
      g_warning ("registration: balancer %s is not on the platform any more, registering "
                 "again with incarnation %" G_GUINT64_FORMAT,
                 self->name, self->incarnation);
    }
  if (record == NULL || incarnation < self->incarnation || *present)
    return TRUE;
  if (!registration->attempted || of_host || incarnation == self->incarnation)
    {
      self->incarnation = next_incarnation_ (incarnation);
      return TRUE;
    }
  registration->superseded = TRUE;
  g_critical ("registration: another process has registered balancer %s with incarnation "
              "%" G_GUINT64_FORMAT,
              self->name, incarnation);
  return FALSE;
}

static void
write_done_ (DpWriteResult result,
             DpRecord *record,
             const GError *error,
             gpointer user_data)
{
  DpBalancerRegistration *registration = user_data;

  if (result != DP_WRITE_DONE)
    {
      if (result != DP_WRITE_CONFLICT && registration->backoff.attempts == 0)
        g_warning ("registration: %s", error->message);
      retry_later_ (registration);
      return;
    }
  if (record != NULL)
    {
      registration->position = dp_position_max (registration->position, record->position);
      dp_replica_apply (registration->replica, record);
    }
  settle_ (registration, registration->adding);
}

static void
settle_ (DpBalancerRegistration *registration, gboolean present)
{
  registration->busy = FALSE;
  registration->present = present;
  dp_backoff_reset (&registration->backoff);
  if (registration->recheck
      || (present != registration->wanted && !registration->superseded))
    start_update_ (registration);
  else
    registration->settled (registration->user_data);
}

static guint64
incarnation_of_ (const DpRecord *record)
{
  g_autoptr (JsonNode) value = dp_record_value (record);
  guint64 incarnation = 0;

  dp_json_get_uint (dp_json_get_object (value), "incarnation", &incarnation);
  return MIN (incarnation, DP_INCARNATION_MAX);
}

/* Returns the incarnation that replaces this one. A registration above the maximum would
 * never match the one that was written, and would be written again without end. */
static guint64
next_incarnation_ (guint64 incarnation)
{
  return MIN (incarnation + 1, DP_INCARNATION_MAX);
}

/* Returns whether the record has the balancer's present values, apart from the
 * incarnation. A change of the incarnation alone is not written, since it would wake
 * every process that watches the balancers at each restart. */
static gboolean
matches_ (const DpTopologyBalancer *self, const DpRecord *record)
{
  DpTopologyBalancer same = *self;
  g_autoptr (JsonNode) expected = NULL;
  g_autoptr (JsonNode) value = dp_record_value (record);

  if (value == NULL)
    return FALSE;
  same.incarnation = incarnation_of_ (record);
  expected = make_value_ (&same);
  return json_node_equal (expected, value);
}

static JsonNode *
make_value_ (const DpTopologyBalancer *self)
{
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  guint32 ip = self->control_address.ip;
  g_autofree char *text = g_strdup_printf ("%u.%u.%u.%u", ip >> 24, (ip >> 16) & 0xff,
                                           (ip >> 8) & 0xff, ip & 0xff);

  json_object_set_string_member (object, "zone", self->zone);
  json_object_set_string_member (object, "region", self->region);
  json_object_set_string_member (object, "ip", text);
  json_object_set_int_member (object, "data_port", self->data_address.port);
  json_object_set_int_member (object, "control_port", self->control_address.port);
  json_object_set_int_member (object, "http_port", self->http_address.port);
  json_object_set_int_member (object, "incarnation", (gint64) self->incarnation);
  json_node_take_object (node, object);
  return node;
}
