#include "private/enlistment.h"

#include "protected/backoff.h"
#include "protected/json.h"

#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 5000

struct _DpEnlistment
{
  DpTopologyBalancer self; /* owns its texts */
  DpReplica *replica;
  DpPlatform *platform;
  DpEnlistmentFunc settled;
  gpointer user_data;
  guint replica_listener;
  gboolean wanted;     /* to be present */
  gboolean present;    /* as last known to be in the platform */
  gboolean attempted;  /* a write with our incarnation was sent */
  gboolean superseded; /* another process has registered this name */
  gboolean busy;
  gboolean again;  /* something changed meanwhile */
  gboolean adding; /* the write in progress adds the registration */
  DpBackoff backoff;
  guint timer; /* source id */
};

static void replica_changed_ (const DpRecord *record, gpointer user_data);
static void start_ (DpEnlistment *enlistment);
static gboolean start_now_ (gpointer user_data);
static void start_later_ (DpEnlistment *enlistment);
static void
was_read_ (GPtrArray *records, guint64 version, const GError *error, gpointer user_data);
static gboolean
take_record_ (DpEnlistment *enlistment, const DpRecord *record, gboolean *present);
static void was_written_ (DpWriteResult result,
                          DpRecord *record,
                          const GError *error,
                          gpointer user_data);
static void settle_ (DpEnlistment *enlistment, gboolean present);
static guint64 incarnation_of_ (const DpRecord *record);
static JsonNode *make_value_ (const DpTopologyBalancer *self);

/* Creates a registration that is to be absent and writes nothing. Copies self. */
DpEnlistment *
dp_enlistment_new (const DpTopologyBalancer *self,
                   DpReplica *replica,
                   DpPlatform *platform,
                   DpEnlistmentFunc settled,
                   gpointer user_data)
{
  DpEnlistment *enlistment = g_new0 (DpEnlistment, 1);

  enlistment->self = *self;
  enlistment->self.name = g_strdup (self->name);
  enlistment->self.zone = g_strdup (self->zone);
  enlistment->replica = replica;
  enlistment->platform = platform;
  enlistment->settled = settled;
  enlistment->user_data = user_data;
  dp_backoff_init (&enlistment->backoff, RETRY_FIRST_MS, RETRY_MAX_MS);
  enlistment->replica_listener = dp_replica_add_listener (replica, replica_changed_,
                                                          enlistment);
  return enlistment;
}

/* Frees it; what is registered stays so. */
void
dp_enlistment_free (DpEnlistment *enlistment)
{
  if (enlistment == NULL)
    return;
  dp_replica_remove_listener (enlistment->replica, enlistment->replica_listener);
  dp_platform_cancel (enlistment->platform, enlistment);
  g_clear_handle_id (&enlistment->timer, g_source_remove);
  g_free (enlistment->self.name);
  g_free (enlistment->self.zone);
  g_free (enlistment);
}

/* Registers or removes as soon as the platform allows. */
void
dp_enlistment_want (DpEnlistment *enlistment, gboolean present)
{
  enlistment->wanted = present;
  start_ (enlistment);
}

/* Returns whether the platform is known to hold the registration. */
gboolean
dp_enlistment_present (const DpEnlistment *enlistment)
{
  return enlistment->present;
}

/* Returns the registration's incarnation. */
guint64
dp_enlistment_incarnation (const DpEnlistment *enlistment)
{
  return enlistment->self.incarnation;
}

/* Notices a removal or a change that was not made here. */
static void
replica_changed_ (const DpRecord *record, gpointer user_data)
{
  DpEnlistment *enlistment = user_data;

  if (record->kind != DP_KIND_BALANCER
      || !g_str_equal (record->name, enlistment->self.name) || !enlistment->attempted)
    return;
  if (record->deleted == enlistment->wanted
      || (!record->deleted && incarnation_of_ (record) != enlistment->self.incarnation))
    start_ (enlistment);
}

static void
start_ (DpEnlistment *enlistment)
{
  if (enlistment->superseded)
    return;
  if (enlistment->busy)
    {
      enlistment->again = TRUE;
      return;
    }
  g_clear_handle_id (&enlistment->timer, g_source_remove);
  enlistment->busy = TRUE;
  enlistment->again = FALSE;
  dp_platform_get (enlistment->platform, DP_KIND_BALANCER, enlistment->self.name,
                   was_read_, enlistment);
}

static gboolean
start_now_ (gpointer user_data)
{
  DpEnlistment *enlistment = user_data;

  enlistment->timer = 0;
  start_ (enlistment);
  return G_SOURCE_REMOVE;
}

static void
start_later_ (DpEnlistment *enlistment)
{
  enlistment->busy = FALSE;
  if (enlistment->timer == 0)
    enlistment->timer = g_timeout_add (dp_backoff_next (&enlistment->backoff), start_now_,
                                       enlistment);
}

static void
was_read_ (GPtrArray *records, guint64 version, const GError *error, gpointer user_data)
{
  DpEnlistment *enlistment = user_data;
  const DpRecord *record = records->len == 0 ? NULL : g_ptr_array_index (records, 0);
  g_autoptr (JsonNode) value = NULL;
  gboolean present;

  if (error != NULL)
    {
      if (enlistment->backoff.attempts == 0)
        g_warning ("registration: %s", error->message);
      start_later_ (enlistment);
      return;
    }
  if (!take_record_ (enlistment, record, &present))
    {
      settle_ (enlistment, FALSE);
      return;
    }
  if (present == enlistment->wanted || (!enlistment->wanted && record == NULL))
    {
      settle_ (enlistment, present);
      return;
    }
  enlistment->adding = enlistment->wanted;
  enlistment->attempted = TRUE;
  value = enlistment->wanted ? make_value_ (&enlistment->self) : NULL;
  dp_platform_write (enlistment->platform, DP_KIND_BALANCER, enlistment->self.name,
                     version, value, was_written_, enlistment);
}

/* present: whether the record is this process's registration. FALSE if another process
 * has registered the name since. */
static gboolean
take_record_ (DpEnlistment *enlistment, const DpRecord *record, gboolean *present)
{
  guint64 incarnation = record == NULL ? 0 : incarnation_of_ (record);
  DpTopologyBalancer *self = &enlistment->self;

  *present = record != NULL && enlistment->attempted && incarnation == self->incarnation;
  if (record == NULL && enlistment->present && enlistment->wanted)
    {
      self->incarnation++;
      g_warning ("registration: balancer %s was removed by another process, registering "
                 "again with incarnation %" G_GUINT64_FORMAT,
                 self->name, self->incarnation);
    }
  if (record == NULL || incarnation < self->incarnation || *present)
    return TRUE;
  if (!enlistment->attempted)
    {
      self->incarnation = incarnation + 1; /* left by an earlier process */
      return TRUE;
    }
  enlistment->superseded = TRUE;
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
  DpEnlistment *enlistment = user_data;

  if (result != DP_WRITE_DONE)
    {
      if (result != DP_WRITE_CONFLICT && enlistment->backoff.attempts == 0)
        g_warning ("registration: %s", error->message);
      start_later_ (enlistment);
      return;
    }
  if (record != NULL)
    dp_replica_apply (enlistment->replica, record);
  settle_ (enlistment, enlistment->adding);
}

static void
settle_ (DpEnlistment *enlistment, gboolean present)
{
  enlistment->busy = FALSE;
  enlistment->present = present;
  dp_backoff_reset (&enlistment->backoff);
  if (enlistment->again || (present != enlistment->wanted && !enlistment->superseded))
    start_ (enlistment);
  else
    enlistment->settled (enlistment->user_data);
}

static guint64
incarnation_of_ (const DpRecord *record)
{
  g_autoptr (JsonNode) value = dp_record_value (record);
  guint64 incarnation = 0;

  dp_json_get_uint (dp_json_get_object (value), "incarnation", &incarnation);
  return incarnation;
}

static JsonNode *
make_value_ (const DpTopologyBalancer *self)
{
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  guint32 ip = self->control.ip;
  g_autofree char *text = g_strdup_printf ("%u.%u.%u.%u", ip >> 24, (ip >> 16) & 0xff,
                                           (ip >> 8) & 0xff, ip & 0xff);

  json_object_set_string_member (object, "zone", self->zone);
  json_object_set_string_member (object, "ip", text);
  json_object_set_int_member (object, "data_port", self->data.port);
  json_object_set_int_member (object, "control_port", self->control.port);
  json_object_set_int_member (object, "http_port", self->http.port);
  json_object_set_int_member (object, "incarnation", (gint64) self->incarnation);
  json_node_take_object (node, object);
  return node;
}
