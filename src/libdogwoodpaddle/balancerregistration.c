#include "private/balancerregistration.h"

#include "protected/backoff.h"
#include "protected/json.h"

#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 5000

struct _DpBalancerRegistration
{
  DpTopologyBalancer self; /* owns its strings */
  DpBalancerRegistrationOwner owner;
  DpReplica *replica;
  DpPlatform *platform;
  DpBalancerRegistrationFunc settled;
  gpointer user_data;
  guint replica_listener;
  gboolean wanted;     /* whether the registration is to be present */
  gboolean present;    /* whether it was when last read or written */
  gboolean attempted;  /* a write with our incarnation was sent, or kept is set */
  gboolean superseded; /* another process has registered this name */
  gboolean tried;      /* the replica's record has been used for an update */
  gboolean kept;       /* the registration of an earlier process was kept */
  gboolean busy;       /* a read or write is in progress */
  gboolean again;      /* something changed meanwhile: update once more */
  gboolean adding;     /* the write in progress adds the registration */
  DpBackoff backoff;
  guint timer; /* source id */
};

static void replica_changed_ (const DpRecord *record, gpointer user_data);
static void start_ (DpBalancerRegistration *entry);
static gboolean start_from_replica_ (DpBalancerRegistration *entry);
static void
use_record_ (DpBalancerRegistration *entry, const DpRecord *record, guint64 version);
static gboolean start_now_ (gpointer user_data);
static void start_later_ (DpBalancerRegistration *entry);
static void
was_read_ (GPtrArray *records, guint64 version, const GError *error, gpointer user_data);
static gboolean
take_record_ (DpBalancerRegistration *entry, const DpRecord *record, gboolean *present);
static void was_written_ (DpWriteResult result,
                          DpRecord *record,
                          const GError *error,
                          gpointer user_data);
static void settle_ (DpBalancerRegistration *entry, gboolean present);
static guint64 incarnation_of_ (const DpRecord *record);
static gboolean fits_ (const DpTopologyBalancer *self, const DpRecord *record);
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
  DpBalancerRegistration *entry = g_new0 (DpBalancerRegistration, 1);

  entry->self = *self;
  entry->self.name = g_strdup (self->name);
  entry->self.zone = g_strdup (self->zone);
  entry->self.region = g_strdup (self->region);
  entry->owner = owner;
  entry->replica = replica;
  entry->platform = platform;
  entry->settled = settled;
  entry->user_data = user_data;
  dp_backoff_init (&entry->backoff, RETRY_FIRST_MS, RETRY_MAX_MS);
  entry->replica_listener = dp_replica_add_listener (replica, replica_changed_, entry);
  return entry;
}

/* Frees the object. The platform keeps the registration. */
void
dp_balancer_registration_free (DpBalancerRegistration *entry)
{
  if (entry == NULL)
    return;
  dp_replica_remove_listener (entry->replica, entry->replica_listener);
  dp_platform_cancel (entry->platform, entry);
  g_clear_handle_id (&entry->timer, g_source_remove);
  g_free (entry->self.name);
  g_free (entry->self.zone);
  g_free (entry->self.region);
  g_free (entry);
}

/* Sets whether the registration is to be present, and starts to add or remove it. Failed
 * calls are retried; nothing is written once another process has registered the name. */
void
dp_balancer_registration_set_wanted (DpBalancerRegistration *entry, gboolean present)
{
  entry->wanted = present;
  start_ (entry);
}

/* Returns whether the platform is known to hold the registration. */
gboolean
dp_balancer_registration_present (const DpBalancerRegistration *entry)
{
  return entry->present;
}

/* Returns whether the registration of an earlier process was kept. */
gboolean
dp_balancer_registration_reused (const DpBalancerRegistration *entry)
{
  return entry->kept;
}

/* Returns the registration's incarnation, which may differ from the one given to
 * dp_balancer_registration_new (). */
guint64
dp_balancer_registration_incarnation (const DpBalancerRegistration *entry)
{
  return entry->self.incarnation;
}

/* Starts an update when the replica shows that the registration was removed, added or
 * replaced against the wanted state, as another process may do. */
static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpBalancerRegistration *entry = user_data;

  if (record->kind != DP_KIND_BALANCER || !g_str_equal (record->name, entry->self.name)
      || !entry->attempted)
    return;
  if (record->deleted == entry->wanted
      || (!record->deleted && incarnation_of_ (record) != entry->self.incarnation))
    start_ (entry);
}

/* Uses the replica's record for the first update of a registration that belongs to the
 * host, which saves reading the object: a record that matches is kept, whoever wrote it,
 * and a missing one is created on condition that the object does not exist. Returns FALSE
 * if the platform has to be read. */
static gboolean
start_from_replica_ (DpBalancerRegistration *entry)
{
  const DpRecord *record = dp_replica_get (entry->replica, DP_KIND_BALANCER,
                                           entry->self.name);

  if (entry->owner != DP_BALANCER_REGISTRATION_OF_HOST || entry->tried || !entry->wanted
      || dp_replica_revision (entry->replica) == 0)
    return FALSE;
  entry->tried = TRUE;
  if (record != NULL && !record->deleted && !fits_ (&entry->self, record))
    return FALSE;
  entry->busy = TRUE;
  entry->again = FALSE;
  use_record_ (entry, record != NULL && !record->deleted ? record : NULL, 0);
  return TRUE;
}

static void
start_ (DpBalancerRegistration *entry)
{
  if (entry->superseded)
    return;
  if (entry->busy)
    {
      entry->again = TRUE;
      return;
    }
  g_clear_handle_id (&entry->timer, g_source_remove);
  if (start_from_replica_ (entry))
    return;
  entry->busy = TRUE;
  entry->again = FALSE;
  dp_platform_get (entry->platform, DP_KIND_BALANCER, entry->self.name, was_read_, entry);
}

static gboolean
start_now_ (gpointer user_data)
{
  DpBalancerRegistration *entry = user_data;

  entry->timer = 0;
  start_ (entry);
  return G_SOURCE_REMOVE;
}

static void
start_later_ (DpBalancerRegistration *entry)
{
  entry->busy = FALSE;
  if (entry->timer == 0)
    entry->timer = g_timeout_add (dp_backoff_next (&entry->backoff), start_now_, entry);
}

static void
was_read_ (GPtrArray *records, guint64 version, const GError *error, gpointer user_data)
{
  DpBalancerRegistration *entry = user_data;

  if (error != NULL)
    {
      if (entry->backoff.attempts == 0)
        g_warning ("registration: %s", error->message);
      start_later_ (entry);
      return;
    }
  use_record_ (entry, records->len == 0 ? NULL : g_ptr_array_index (records, 0), version);
}

/* Adds or removes the registration if the record, NULL for none, is not as wanted. */
static void
use_record_ (DpBalancerRegistration *entry, const DpRecord *record, guint64 version)
{
  g_autoptr (JsonNode) value = NULL;
  gboolean present;

  if (!take_record_ (entry, record, &present))
    {
      settle_ (entry, FALSE);
      return;
    }
  if (present == entry->wanted || (!entry->wanted && record == NULL))
    {
      settle_ (entry, present);
      return;
    }
  entry->adding = entry->wanted;
  entry->attempted = TRUE;
  value = entry->wanted ? make_value_ (&entry->self) : NULL;
  dp_platform_write (entry->platform, DP_KIND_BALANCER, entry->self.name, version, value,
                     was_written_, entry);
}

/* Sets present to whether the record is this process's registration, and raises the
 * incarnation above that of an earlier process or of a registration that another process
 * removed. Returns FALSE if another process has registered the name since. */
static gboolean
take_record_ (DpBalancerRegistration *entry, const DpRecord *record, gboolean *present)
{
  guint64 incarnation = record == NULL ? 0 : incarnation_of_ (record);
  DpTopologyBalancer *self = &entry->self;

  if (record != NULL && entry->owner == DP_BALANCER_REGISTRATION_OF_HOST
      && !entry->attempted && entry->wanted && fits_ (self, record))
    {
      self->incarnation = incarnation;
      entry->attempted = TRUE;
      entry->kept = TRUE;
    }
  *present = record != NULL && entry->attempted && incarnation == self->incarnation;
  if (record == NULL && entry->present && entry->wanted)
    {
      self->incarnation++;
      g_warning ("registration: balancer %s was removed by another process, registering "
                 "again with incarnation %" G_GUINT64_FORMAT,
                 self->name, self->incarnation);
    }
  if (record == NULL || incarnation < self->incarnation || *present)
    return TRUE;
  if (!entry->attempted)
    {
      self->incarnation = incarnation + 1; /* left by an earlier process */
      return TRUE;
    }
  entry->superseded = TRUE;
  g_critical ("registration: another process has registered balancer %s with incarnation "
              "%" G_GUINT64_FORMAT,
              self->name, incarnation);
  return FALSE;
}

static void
was_written_ (DpWriteResult result,
              DpRecord *record,
              const GError *error,
              gpointer user_data)
{
  DpBalancerRegistration *entry = user_data;

  if (result != DP_WRITE_DONE)
    {
      if (result != DP_WRITE_CONFLICT && entry->backoff.attempts == 0)
        g_warning ("registration: %s", error->message);
      start_later_ (entry);
      return;
    }
  if (record != NULL)
    dp_replica_apply (entry->replica, record);
  settle_ (entry, entry->adding);
}

static void
settle_ (DpBalancerRegistration *entry, gboolean present)
{
  entry->busy = FALSE;
  entry->present = present;
  dp_backoff_reset (&entry->backoff);
  if (entry->again || (present != entry->wanted && !entry->superseded))
    start_ (entry);
  else
    entry->settled (entry->user_data);
}

static guint64
incarnation_of_ (const DpRecord *record)
{
  g_autoptr (JsonNode) value = dp_record_value (record);
  guint64 incarnation = 0;

  dp_json_get_uint (dp_json_get_object (value), "incarnation", &incarnation);
  return incarnation;
}

/* Returns whether the record has the balancer's present values, apart from the
 * incarnation. A change of the incarnation alone is not written, since it would wake
 * every process that watches the balancers at each restart. */
static gboolean
fits_ (const DpTopologyBalancer *self, const DpRecord *record)
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
