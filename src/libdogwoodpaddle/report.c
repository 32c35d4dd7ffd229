#include "protected/report.h"

#include <msgpack.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "private/msgpackcheck.h"
#include "private/msgpackposition.h"

#define VERSION 1
#define STRING_MAX 255 /* bytes of a name */
/* Maximum numbers in one list. Members with the shortest names fill a datagram at this
 * number; ids of further removed members follow when the first are no longer listed. */
#define MEMBERS_MAX 160
#define BALANCERS_MAX 32
#define REMOVED_MAX 64
#define WARMUP_RATE_MAX 1e9    /* requests per second */
#define STRING_CHUNK_BYTES 512 /* first block of the string chunk */

/* Positions of the fields in a report, in a list and in a member of a list. */
enum
{
  REPORT_TYPE,
  REPORT_VERSION,
  REPORT_SERVICE,
  REPORT_NAME,
  REPORT_ZONE,
  REPORT_IP,
  REPORT_PORT,
  REPORT_SLOTS,
  REPORT_STATE,
  REPORT_IN_FLIGHT,
  REPORT_WARMUP_LEFT,
  REPORT_LIST_HASH,
  REPORT_INTERVAL,
  N_REQUIRED_REPORT_FIELDS,
  REPORT_FAILING = N_REQUIRED_REPORT_FIELDS, /* not sent by earlier versions */
  REPORT_DEREGISTERED,                       /* not sent by earlier versions */
  REPORT_POLICY_DIGEST, /* not sent by earlier versions; nil without evacuations */
  /* An array of the learnt limit and the service times of the classes. Not sent by
   * earlier versions, nor by a companion that doesn't learn. */
  REPORT_CONCURRENCY,
  N_REPORT_FIELDS
};

enum
{
  LIST_TYPE,
  LIST_VERSION,
  LIST_SERVICE,
  LIST_MEMBERS,
  LIST_BALANCERS,
  N_REQUIRED_LIST_FIELDS,
  LIST_PART = N_REQUIRED_LIST_FIELDS, /* not sent by earlier versions */
  LIST_PARTS,                         /* not sent by earlier versions */
  LIST_REMOVED,                       /* not sent by earlier versions */
  N_LIST_FIELDS
};

typedef enum
{
  OWNER_HAS_SYN,
  OWNER_HAS_OPEN_FLOW,
  OWNER_IS_WITHDRAWN,
  N_OWNER_STATES
} OwnerState;

enum
{
  OWNER_TYPE,
  OWNER_VERSION,
  OWNER_SERVICE,
  OWNER_CLIENT_IP,
  OWNER_CLIENT_PORT,
  OWNER_SERVICE_IP,
  OWNER_SERVICE_PORT,
  OWNER_SYN_SEQ,
  OWNER_SYN_AGE,
  OWNER_STATE, /* OwnerState */
  OWNER_MEMBER_IP,
  OWNER_MEMBER_PORT,
  N_OWNER_FIELDS
};

/* Fields of a query for a flow's owner and of its answer. */
enum
{
  QUERY_TYPE,
  QUERY_VERSION,
  QUERY_SERVICE,
  QUERY_CLIENT_IP,
  QUERY_CLIENT_PORT,
  QUERY_SERVICE_IP,
  QUERY_SERVICE_PORT,
  QUERY_SENDER_IP,
  QUERY_SENDER_PORT,
  QUERY_VALUE, /* of a query: the packet's acknowledgement; of an answer: whether the
                  sender may have the flow */
  N_QUERY_FIELDS
};

/* Of messages that say nothing but who sends them. */
enum
{
  PEER_TYPE,
  PEER_VERSION,
  PEER_SERVICE,
  PEER_IP,
  PEER_PORT,
  N_PEER_FIELDS
};

enum
{
  POLICY_TYPE,
  POLICY_VERSION,
  POLICY_SERVICE,
  POLICY_KNOWLEDGE,
  POLICY_DIGEST,
  POLICY_CONFIG_VERSION,
  POLICY_WARMUP_RATE,
  POLICY_ENTRIES, /* the fields of all entries, one after the other */
  N_POLICY_FIELDS
};

enum
{
  ENTRY_ZONE,
  ENTRY_POSITION,
  ENTRY_EVACUATED,
  ENTRY_AGE,
  N_ENTRY_FIELDS
};

enum
{
  MEMBER_NAME,
  MEMBER_ZONE,
  MEMBER_IP,
  MEMBER_PORT,
  MEMBER_SLOTS,
  MEMBER_STATE,
  N_MEMBER_FIELDS
};

static GBytes *
encode_part_ (const DpMemberView *view, const GArray *removed, guint part, guint n_parts);
static gboolean decode_removed_ (DpMemberList *list, const msgpack_object *object);
static void pack_string_ (msgpack_packer *packer, const char *string);
static gsize finish_ (msgpack_sbuffer *buffer, guint8 *data);
static gboolean
decode_report_ (DpReportMessage *message, const msgpack_object *fields, guint n_fields);
static gboolean decode_concurrency_ (DpReport *report, const msgpack_object *object);
static gboolean
decode_list_ (DpReportMessage *message, const msgpack_object *fields, guint n_fields);
static gboolean decode_owner_ (DpReportMessage *message, const msgpack_object *fields);
static gsize encode_query_ (DpReportType type,
                            const DpFlowKey *key,
                            const DpAddress *sender,
                            guint32 value,
                            const char *service,
                            guint8 buffer[DP_REPORT_MAX]);
static gboolean
decode_query_ (DpReportMessage *message, DpReportType type, const msgpack_object *fields);
static gboolean is_peer_message_ (guint64 type);
static gboolean decode_peer_message_ (DpReportMessage *message,
                                      const msgpack_object *fields);
static gsize
encode_policy_ (const DpPolicy *policy, guint n_entries, guint8 buffer[DP_REPORT_MAX]);
static gboolean decode_policy_ (DpReportMessage *message, const msgpack_object *fields);
static gboolean decode_entry_ (DpReportMessage *message,
                               const msgpack_object *fields,
                               DpEvacuationEntry *entry);
static gboolean
decode_member_ (DpReportMessage *message, const msgpack_object *object, DpMember *member);
static gboolean get_uint_ (const msgpack_object *object, guint64 max, guint64 *value);
static gboolean
get_string_ (DpReportMessage *message, const msgpack_object *object, const char **string);
static gboolean
get_address_ (const msgpack_object *ip, const msgpack_object *port, DpAddress *address);

/* Encodes a report. Returns its length in bytes, 0 if it does not fit. */
gsize
dp_report_encode (const DpReport *report, guint8 buffer[DP_REPORT_MAX])
{
  msgpack_sbuffer out;
  msgpack_packer packer;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&packer, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, report->limit > 0           ? N_REPORT_FIELDS
                               : report->has_policy_digest ? REPORT_CONCURRENCY
                                                           : REPORT_POLICY_DIGEST);
  msgpack_pack_uint8 (&packer, DP_REPORT_LOAD);
  msgpack_pack_uint8 (&packer, VERSION);
  pack_string_ (&packer, report->service);
  pack_string_ (&packer, report->name);
  pack_string_ (&packer, report->zone);
  msgpack_pack_uint32 (&packer, report->address.ip);
  msgpack_pack_uint16 (&packer, report->address.port);
  msgpack_pack_uint32 (&packer, report->slots);
  msgpack_pack_uint8 (&packer, (guint8) report->state);
  msgpack_pack_uint32 (&packer, report->in_flight);
  msgpack_pack_uint32 (&packer, report->warmup_remaining_ms);
  msgpack_pack_uint64 (&packer, report->list_hash);
  msgpack_pack_uint32 (&packer, report->interval_ms);
  msgpack_pack_uint8 (&packer, report->failing ? 1 : 0);
  msgpack_pack_uint8 (&packer, report->deregistered ? 1 : 0);
  if (report->has_policy_digest)
    msgpack_pack_uint64 (&packer, report->policy_digest);
  else if (report->limit > 0)
    msgpack_pack_nil (&packer);
  if (report->limit > 0)
    {
      msgpack_pack_array (&packer, 1 + DP_N_TRAFFIC_CLASSES);
      msgpack_pack_uint32 (&packer, report->limit);
      for (guint i = 0; i < DP_N_TRAFFIC_CLASSES; i++)
        msgpack_pack_uint32 (&packer, report->service_times[i]);
    }
  return finish_ (&out, buffer);
}

/* Encodes a list of at most MEMBERS_MAX members. Returns its length in bytes, 0 if it
 * does not fit; a longer list has to be sent in parts. */
gsize
dp_member_list_encode (const DpMemberList *list, guint8 buffer[DP_REPORT_MAX])
{
  guint n_members = list->members->len;
  guint n_balancers = MIN (list->balancers->len, BALANCERS_MAX);
  msgpack_sbuffer out;
  msgpack_packer packer;

  if (n_members > MEMBERS_MAX)
    return 0;
  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&packer, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, list->removed != NULL ? N_LIST_FIELDS : LIST_REMOVED);
  msgpack_pack_uint8 (&packer, DP_REPORT_MEMBERS);
  msgpack_pack_uint8 (&packer, VERSION);
  pack_string_ (&packer, list->service);
  msgpack_pack_array (&packer, n_members);
  for (guint i = 0; i < n_members; i++)
    {
      const DpMember *m = &g_array_index (list->members, DpMember, i);

      msgpack_pack_array (&packer, N_MEMBER_FIELDS);
      pack_string_ (&packer, m->name);
      pack_string_ (&packer, m->zone);
      msgpack_pack_uint32 (&packer, m->address.ip);
      msgpack_pack_uint16 (&packer, m->address.port);
      msgpack_pack_uint32 (&packer, m->slots);
      msgpack_pack_uint8 (&packer, (guint8) m->state);
    }
  msgpack_pack_array (&packer, 2 * (size_t) n_balancers);
  for (guint i = 0; i < n_balancers; i++)
    {
      const DpAddress *address = &g_array_index (list->balancers, DpAddress, i);

      msgpack_pack_uint32 (&packer, address->ip);
      msgpack_pack_uint16 (&packer, address->port);
    }
  msgpack_pack_uint32 (&packer, list->part);
  msgpack_pack_uint32 (&packer, MAX (list->n_parts, 1));
  if (list->removed != NULL)
    {
      const guint n_removed = MIN (list->removed->len, REMOVED_MAX);

      msgpack_pack_array (&packer, n_removed);
      for (guint i = 0; i < n_removed; i++)
        msgpack_pack_uint32 (&packer, g_array_index (list->removed, guint32, i));
    }
  return finish_ (&out, buffer);
}

/* Encodes the members in the lowest number of parts, a power of two, with which each part
 * fits into a datagram. */
GPtrArray *
dp_member_list_encode_parts (const DpMemberView *view, const GArray *removed)
{
  GPtrArray *parts = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);

  for (guint n_parts = 1; n_parts <= DP_LIST_PARTS_MAX; n_parts *= 2)
    {
      GBytes *bytes = NULL;

      for (guint part = 0; part < n_parts; part++)
        {
          bytes = encode_part_ (view, removed, part, n_parts);
          if (bytes == NULL)
            break;
          g_ptr_array_add (parts, bytes);
        }
      if (bytes != NULL)
        break;
      g_ptr_array_set_size (parts, 0);
    }
  return parts;
}

/* Encodes the owner of a flow. Returns its length in bytes. */
gsize
dp_flow_owner_encode (const DpFlowOwner *owner,
                      const char *service,
                      guint8 buffer[DP_REPORT_MAX])
{
  msgpack_sbuffer out;
  msgpack_packer packer;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&packer, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, N_OWNER_FIELDS);
  msgpack_pack_uint8 (&packer, DP_REPORT_OWNER);
  msgpack_pack_uint8 (&packer, VERSION);
  pack_string_ (&packer, service);
  msgpack_pack_uint32 (&packer, owner->key.client.ip);
  msgpack_pack_uint16 (&packer, owner->key.client.port);
  msgpack_pack_uint32 (&packer, owner->key.service.ip);
  msgpack_pack_uint16 (&packer, owner->key.service.port);
  msgpack_pack_uint32 (&packer, owner->syn_seq);
  msgpack_pack_uint16 (&packer, owner->syn_age_ms);
  msgpack_pack_uint8 (&packer, owner->withdrawn ? OWNER_IS_WITHDRAWN
                               : owner->open    ? OWNER_HAS_OPEN_FLOW
                                                : OWNER_HAS_SYN);
  msgpack_pack_uint32 (&packer, owner->member.ip);
  msgpack_pack_uint16 (&packer, owner->member.port);
  return finish_ (&out, buffer);
}

/* Encodes a query for a flow's owner. Returns its length in bytes. */
gsize
dp_owner_query_encode (const DpOwnerQuery *query,
                       const char *service,
                       guint8 buffer[DP_REPORT_MAX])
{
  return encode_query_ (DP_REPORT_OWNER_QUERY, &query->key, &query->sender, query->ack,
                        service, buffer);
}

/* Encodes the answer to a query. Returns its length in bytes. */
gsize
dp_owner_answer_encode (const DpOwnerAnswer *answer,
                        const char *service,
                        guint8 buffer[DP_REPORT_MAX])
{
  return encode_query_ (DP_REPORT_OWNER_ANSWER, &answer->key, &answer->sender,
                        answer->may_have_flow + answer->server_silent, service, buffer);
}

/* Encodes a message that says nothing but who sends it. Returns its length in bytes. */
gsize
dp_peer_message_encode (DpReportType type,
                        const DpAddress *sender,
                        const char *service,
                        guint8 buffer[DP_REPORT_MAX])
{
  msgpack_sbuffer out;
  msgpack_packer packer;

  g_assert (is_peer_message_ (type));
  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&packer, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, N_PEER_FIELDS);
  msgpack_pack_uint8 (&packer, (guint8) type);
  msgpack_pack_uint8 (&packer, VERSION);
  pack_string_ (&packer, service);
  msgpack_pack_uint32 (&packer, sender->ip);
  msgpack_pack_uint16 (&packer, sender->port);
  return finish_ (&out, buffer);
}

/* Encodes a policy. Entries that don't fit are left out. Returns its length in bytes. */
gsize
dp_policy_encode (const DpPolicy *policy, guint8 buffer[DP_REPORT_MAX])
{
  guint n = MIN (policy->entries->len, DP_EVACUATIONS_MAX);
  gsize length = encode_policy_ (policy, n, buffer);

  for (; length == 0 && n > 0; length = encode_policy_ (policy, n, buffer))
    n--;
  return length;
}

/* Returns the digest of evacuations and a warm-up rate. */
guint64
dp_policy_digest (guint64 evacuations_digest, guint64 warmup_rate)
{
  const guint64 digest = warmup_rate > 0
                             ? evacuations_digest
                                   + XXH3_64bits (&warmup_rate, sizeof warmup_rate)
                             : evacuations_digest;

  return digest == 0 ? 1 : digest;
}

/* Decodes a datagram. Returns FALSE if it is malformed; the message is to be cleared
 * either way. */
gboolean
dp_report_decode (DpReportMessage *message, const guint8 *data, gsize length)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  guint64 type = 0;
  guint64 version = 0;
  gboolean valid = FALSE;

  memset (message, 0, sizeof *message);
  msgpack_unpacked_init (&unpacked);
  if (dp_msgpack_counts_fit (data, length)
      && msgpack_unpack_next (&unpacked, (const char *) data, length, &offset)
             == MSGPACK_UNPACK_SUCCESS
      && offset == length && unpacked.data.type == MSGPACK_OBJECT_ARRAY
      && unpacked.data.via.array.size > REPORT_VERSION)
    {
      const msgpack_object *fields = unpacked.data.via.array.ptr;
      guint n = unpacked.data.via.array.size;

      message->strings = g_string_chunk_new (STRING_CHUNK_BYTES);
      valid = get_uint_ (&fields[REPORT_TYPE], DP_N_REPORT_TYPES - 1, &type)
              && get_uint_ (&fields[REPORT_VERSION], VERSION, &version)
              && version == VERSION;
      /* During a rolling update, other versions may send fewer or more fields. */
      if (valid && type == DP_REPORT_LOAD && n >= N_REQUIRED_REPORT_FIELDS)
        valid = decode_report_ (message, fields, n);
      else if (valid && type == DP_REPORT_MEMBERS && n >= N_REQUIRED_LIST_FIELDS)
        valid = decode_list_ (message, fields, n);
      else if (valid && type == DP_REPORT_OWNER && n >= N_OWNER_FIELDS)
        valid = decode_owner_ (message, fields);
      else if (valid && is_peer_message_ (type) && n >= N_PEER_FIELDS)
        valid = decode_peer_message_ (message, fields);
      else if (valid && type == DP_REPORT_POLICY && n >= N_POLICY_FIELDS)
        valid = decode_policy_ (message, fields);
      else if (valid && (type == DP_REPORT_OWNER_QUERY || type == DP_REPORT_OWNER_ANSWER)
               && n >= N_QUERY_FIELDS)
        valid = decode_query_ (message, (DpReportType) type, fields);
      else
        valid = FALSE;
    }
  msgpack_unpacked_destroy (&unpacked);
  message->type = valid ? (DpReportType) type : DP_REPORT_NONE;
  return valid;
}

/* Frees what a decoded message points to. */
void
dp_report_message_clear (DpReportMessage *message)
{
  g_clear_pointer (&message->list.members, g_array_unref);
  g_clear_pointer (&message->list.balancers, g_array_unref);
  g_clear_pointer (&message->list.removed, g_array_unref);
  g_clear_pointer (&message->policy.entries, g_array_unref);
  g_clear_pointer (&message->strings, g_string_chunk_free);
}

/* Returns a hash of the members' names and states. It doesn't depend on their order. */
guint64
dp_member_list_hash (const DpMember *members, guint n_members)
{
  guint64 hash = n_members;

  for (guint i = 0; i < n_members; i++)
    hash += XXH3_64bits_withSeed (members[i].name, strlen (members[i].name),
                                  members[i].state);
  return hash;
}

/* Returns NULL if the part doesn't fit into a datagram. */
static GBytes *
encode_part_ (const DpMemberView *view, const GArray *removed, guint part, guint n_parts)
{
  g_autoptr (GArray) members = g_array_new (FALSE, FALSE, sizeof (DpMember));
  g_autoptr (GArray) balancers = g_array_new (FALSE, FALSE, sizeof (DpAddress));
  g_autoptr (GArray) part_removed = g_array_new (FALSE, FALSE, sizeof (guint32));
  const DpMemberList list = { view->service, members, balancers,
                              part,          n_parts, part_removed };
  guint8 buffer[DP_REPORT_MAX];
  gsize length;

  for (guint i = 0; i < view->n_members; i++)
    if (view->members[i].id % n_parts == part)
      g_array_append_val (members, view->members[i]);
  /* The receivers have to know the same members as the sender, or their hashes differ for
   * good. They go last, so that a receiver that knows none leaves out the same ones. */
  for (guint i = 0; i < view->n_left_out; i++)
    if (view->left_out[i].id % n_parts == part)
      g_array_append_val (members, view->left_out[i]);
  for (guint i = 0; removed != NULL && i < removed->len; i++)
    if (g_array_index (removed, guint32, i) % n_parts == part)
      g_array_append_val (part_removed, g_array_index (removed, guint32, i));
  length = dp_member_list_encode (&list, buffer);
  return length == 0 ? NULL : g_bytes_new (buffer, length);
}

static void
pack_string_ (msgpack_packer *packer, const char *string)
{
  gsize length = strlen (string);

  msgpack_pack_str (packer, length);
  msgpack_pack_str_body (packer, string, length);
}

static gsize
finish_ (msgpack_sbuffer *buffer, guint8 *data)
{
  gsize length = buffer->size <= DP_REPORT_MAX ? buffer->size : 0;

  if (length > 0)
    memcpy (data, buffer->data, length);
  msgpack_sbuffer_destroy (buffer);
  return length;
}

static gboolean
decode_report_ (DpReportMessage *message, const msgpack_object *fields, guint n_fields)
{
  DpReport *report = &message->report;
  guint64 slots;
  guint64 state;
  guint64 in_flight;
  guint64 warmup_left;
  guint64 interval;
  guint64 failing = 0;
  guint64 deregistered = 0;

  report->has_policy_digest = n_fields > REPORT_POLICY_DIGEST
                              && fields[REPORT_POLICY_DIGEST].type != MSGPACK_OBJECT_NIL;
  if (!get_string_ (message, &fields[REPORT_SERVICE], &report->service)
      || !get_string_ (message, &fields[REPORT_NAME], &report->name)
      || !get_string_ (message, &fields[REPORT_ZONE], &report->zone)
      || !get_address_ (&fields[REPORT_IP], &fields[REPORT_PORT], &report->address)
      || !get_uint_ (&fields[REPORT_SLOTS], G_MAXUINT16, &slots)
      || !get_uint_ (&fields[REPORT_STATE], DP_N_MEMBER_STATES - 1, &state)
      || !get_uint_ (&fields[REPORT_IN_FLIGHT], G_MAXUINT32, &in_flight)
      || !get_uint_ (&fields[REPORT_WARMUP_LEFT], G_MAXUINT32, &warmup_left)
      || !get_uint_ (&fields[REPORT_LIST_HASH], G_MAXUINT64, &report->list_hash)
      || !get_uint_ (&fields[REPORT_INTERVAL], DP_REPORT_INTERVAL_MAX_MS, &interval)
      || interval == 0
      || (n_fields > REPORT_FAILING && !get_uint_ (&fields[REPORT_FAILING], 1, &failing))
      || (n_fields > REPORT_DEREGISTERED
          && !get_uint_ (&fields[REPORT_DEREGISTERED], 1, &deregistered))
      || (report->has_policy_digest
          && !get_uint_ (&fields[REPORT_POLICY_DIGEST], G_MAXUINT64,
                         &report->policy_digest))
      || (n_fields > REPORT_CONCURRENCY
          && !decode_concurrency_ (report, &fields[REPORT_CONCURRENCY])))
    return FALSE;
  report->slots = (guint32) slots;
  report->state = (DpMemberState) state;
  report->in_flight = (guint32) in_flight;
  report->warmup_remaining_ms = (guint32) warmup_left;
  report->interval_ms = (guint32) interval;
  report->failing = failing != 0;
  report->deregistered = deregistered != 0;
  return TRUE;
}

/* A later version may send the times of more classes, or another type of field. The
 * latter is ignored, so that the field's number can be used otherwise. */
static gboolean
decode_concurrency_ (DpReport *report, const msgpack_object *object)
{
  const msgpack_object_array *values = &object->via.array;
  guint64 limit;
  guint64 time;

  if (object->type != MSGPACK_OBJECT_ARRAY || values->size == 0)
    return TRUE;
  if (!get_uint_ (&values->ptr[0], G_MAXUINT16, &limit))
    return FALSE;
  report->limit = (guint32) limit;
  for (guint i = 0; i < DP_N_TRAFFIC_CLASSES && i + 1 < values->size; i++)
    {
      if (!get_uint_ (&values->ptr[i + 1], G_MAXUINT32, &time))
        return FALSE;
      report->service_times[i] = (guint32) time;
    }
  return TRUE;
}

static gboolean
decode_list_ (DpReportMessage *message, const msgpack_object *fields, guint n_fields)
{
  DpMemberList *list = &message->list;
  const msgpack_object_array *members = &fields[LIST_MEMBERS].via.array;
  const msgpack_object_array *balancers = &fields[LIST_BALANCERS].via.array;
  guint64 part = 0;
  guint64 n_parts = 1;

  if (fields[LIST_MEMBERS].type != MSGPACK_OBJECT_ARRAY
      || fields[LIST_BALANCERS].type != MSGPACK_OBJECT_ARRAY
      || members->size > MEMBERS_MAX || balancers->size > 2 * BALANCERS_MAX
      || balancers->size % 2 != 0
      || !get_string_ (message, &fields[LIST_SERVICE], &list->service)
      || (n_fields > LIST_PARTS
          && (!get_uint_ (&fields[LIST_PART], DP_LIST_PARTS_MAX - 1, &part)
              || !get_uint_ (&fields[LIST_PARTS], DP_LIST_PARTS_MAX, &n_parts)))
      || part >= n_parts)
    return FALSE;
  list->part = (guint) part;
  list->n_parts = (guint) n_parts;
  list->members = g_array_sized_new (FALSE, TRUE, sizeof (DpMember), members->size);
  list->balancers = g_array_new (FALSE, TRUE, sizeof (DpAddress));
  for (guint i = 0; i < members->size; i++)
    {
      DpMember member = { 0 };

      if (!decode_member_ (message, &members->ptr[i], &member))
        return FALSE;
      g_array_append_val (list->members, member);
    }
  for (guint i = 0; i < balancers->size; i += 2)
    {
      DpAddress address;

      if (!get_address_ (&balancers->ptr[i], &balancers->ptr[i + 1], &address))
        return FALSE;
      g_array_append_val (list->balancers, address);
    }
  return n_fields <= LIST_REMOVED || decode_removed_ (list, &fields[LIST_REMOVED]);
}

static gboolean
decode_removed_ (DpMemberList *list, const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > REMOVED_MAX)
    return FALSE;
  list->removed = g_array_new (FALSE, FALSE, sizeof (guint32));
  for (guint i = 0; i < object->via.array.size; i++)
    {
      guint64 value;
      guint32 id;

      if (!get_uint_ (&object->via.array.ptr[i], G_MAXUINT32, &value))
        return FALSE;
      id = (guint32) value;
      g_array_append_val (list->removed, id);
    }
  return TRUE;
}

static gboolean
decode_owner_ (DpReportMessage *message, const msgpack_object *fields)
{
  DpFlowOwner *owner = &message->owner;
  guint64 syn_seq;
  guint64 syn_age_ms;
  guint64 state;

  if (!get_string_ (message, &fields[OWNER_SERVICE], &message->service)
      || !get_address_ (&fields[OWNER_CLIENT_IP], &fields[OWNER_CLIENT_PORT],
                        &owner->key.client)
      || !get_address_ (&fields[OWNER_SERVICE_IP], &fields[OWNER_SERVICE_PORT],
                        &owner->key.service)
      || !get_uint_ (&fields[OWNER_SYN_SEQ], G_MAXUINT32, &syn_seq)
      || !get_uint_ (&fields[OWNER_SYN_AGE], G_MAXUINT16, &syn_age_ms)
      || !get_uint_ (&fields[OWNER_STATE], N_OWNER_STATES - 1, &state)
      || !get_address_ (&fields[OWNER_MEMBER_IP], &fields[OWNER_MEMBER_PORT],
                        &owner->member))
    return FALSE;
  owner->syn_seq = (guint32) syn_seq;
  owner->syn_age_ms = (guint16) syn_age_ms;
  owner->open = state == OWNER_HAS_OPEN_FLOW;
  owner->withdrawn = state == OWNER_IS_WITHDRAWN;
  return TRUE;
}

static gsize
encode_query_ (DpReportType type,
               const DpFlowKey *key,
               const DpAddress *sender,
               guint32 value,
               const char *service,
               guint8 buffer[DP_REPORT_MAX])
{
  msgpack_sbuffer out;
  msgpack_packer packer;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&packer, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, N_QUERY_FIELDS);
  msgpack_pack_uint8 (&packer, (guint8) type);
  msgpack_pack_uint8 (&packer, VERSION);
  pack_string_ (&packer, service);
  msgpack_pack_uint32 (&packer, key->client.ip);
  msgpack_pack_uint16 (&packer, key->client.port);
  msgpack_pack_uint32 (&packer, key->service.ip);
  msgpack_pack_uint16 (&packer, key->service.port);
  msgpack_pack_uint32 (&packer, sender->ip);
  msgpack_pack_uint16 (&packer, sender->port);
  msgpack_pack_uint32 (&packer, value);
  return finish_ (&out, buffer);
}

/* Decodes a query or an answer. */
static gboolean
decode_query_ (DpReportMessage *message, DpReportType type, const msgpack_object *fields)
{
  const gboolean is_answer = type == DP_REPORT_OWNER_ANSWER;
  DpAddress sender;
  DpFlowKey key;
  guint64 value;

  if (!get_string_ (message, &fields[QUERY_SERVICE], &message->service)
      || !get_address_ (&fields[QUERY_CLIENT_IP], &fields[QUERY_CLIENT_PORT], &key.client)
      || !get_address_ (&fields[QUERY_SERVICE_IP], &fields[QUERY_SERVICE_PORT],
                        &key.service)
      || !get_address_ (&fields[QUERY_SENDER_IP], &fields[QUERY_SENDER_PORT], &sender)
      || !get_uint_ (&fields[QUERY_VALUE], is_answer ? 2 : G_MAXUINT32, &value))
    return FALSE;
  message->query = (DpOwnerQuery){ key, (guint32) value, sender };
  message->answer = (DpOwnerAnswer){ key, value > 0, value > 1, sender };
  return TRUE;
}

static gboolean
is_peer_message_ (guint64 type)
{
  return type == DP_REPORT_OWNERS_WANTED || type == DP_REPORT_PROBE
         || type == DP_REPORT_PROBE_ANSWER;
}

static gboolean
decode_peer_message_ (DpReportMessage *message, const msgpack_object *fields)
{
  return get_string_ (message, &fields[PEER_SERVICE], &message->service)
         && get_address_ (&fields[PEER_IP], &fields[PEER_PORT], &message->sender);
}

/* Returns 0 if the policy with its first n_entries entries doesn't fit. */
static gsize
encode_policy_ (const DpPolicy *policy, guint n_entries, guint8 buffer[DP_REPORT_MAX])
{
  msgpack_sbuffer out;
  msgpack_packer packer;

  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&packer, &out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, N_POLICY_FIELDS);
  msgpack_pack_uint8 (&packer, DP_REPORT_POLICY);
  msgpack_pack_uint8 (&packer, VERSION);
  pack_string_ (&packer, policy->service);
  msgpack_pack_uint8 (&packer, (guint8) policy->knowledge);
  msgpack_pack_uint64 (&packer, policy->digest);
  msgpack_pack_uint64 (&packer, policy->config_version);
  msgpack_pack_uint64 (&packer, policy->warmup_rate);
  msgpack_pack_array (&packer, (size_t) N_ENTRY_FIELDS * n_entries);
  for (guint i = 0; i < n_entries; i++)
    {
      const DpEvacuationEntry *entry = &g_array_index (policy->entries, DpEvacuationEntry,
                                                       i);

      pack_string_ (&packer, entry->zone);
      dp_msgpack_pack_position (&packer, entry->position);
      msgpack_pack_uint8 (&packer, entry->evacuated ? 1 : 0);
      msgpack_pack_uint32 (&packer, entry->age_ms);
    }
  return finish_ (&out, buffer);
}

static gboolean
decode_policy_ (DpReportMessage *message, const msgpack_object *fields)
{
  DpPolicy *policy = &message->policy;
  const msgpack_object_array *entries = &fields[POLICY_ENTRIES].via.array;
  guint64 knowledge;

  if (fields[POLICY_ENTRIES].type != MSGPACK_OBJECT_ARRAY
      || entries->size % N_ENTRY_FIELDS != 0
      || entries->size > N_ENTRY_FIELDS * DP_EVACUATIONS_MAX
      || !get_string_ (message, &fields[POLICY_SERVICE], &policy->service)
      || !get_uint_ (&fields[POLICY_KNOWLEDGE], DP_N_KNOWLEDGE - 1, &knowledge)
      || !get_uint_ (&fields[POLICY_DIGEST], G_MAXUINT64, &policy->digest)
      || !get_uint_ (&fields[POLICY_CONFIG_VERSION], G_MAXINT64, &policy->config_version)
      || !get_uint_ (&fields[POLICY_WARMUP_RATE], WARMUP_RATE_MAX, &policy->warmup_rate))
    return FALSE;
  policy->knowledge = (DpKnowledge) knowledge;
  policy->entries = g_array_new (FALSE, TRUE, sizeof (DpEvacuationEntry));
  for (guint i = 0; i < entries->size; i += N_ENTRY_FIELDS)
    {
      DpEvacuationEntry entry = { 0 };

      if (!decode_entry_ (message, &entries->ptr[i], &entry))
        return FALSE;
      g_array_append_val (policy->entries, entry);
    }
  message->service = policy->service;
  return TRUE;
}

/* A position is above 0. */
static gboolean
decode_entry_ (DpReportMessage *message,
               const msgpack_object *fields,
               DpEvacuationEntry *entry)
{
  guint64 evacuated;
  guint64 age_ms;

  if (!get_string_ (message, &fields[ENTRY_ZONE], &entry->zone)
      || !dp_msgpack_read_position (&fields[ENTRY_POSITION], &entry->position)
      || entry->position == 0 || !get_uint_ (&fields[ENTRY_EVACUATED], 1, &evacuated)
      || !get_uint_ (&fields[ENTRY_AGE], G_MAXUINT32, &age_ms))
    return FALSE;
  entry->evacuated = evacuated != 0;
  entry->age_ms = (guint32) age_ms;
  return TRUE;
}

static gboolean
decode_member_ (DpReportMessage *message, const msgpack_object *object, DpMember *member)
{
  const msgpack_object *fields = object->via.array.ptr;
  const char *name;
  const char *zone;
  guint64 slots;
  guint64 state;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != N_MEMBER_FIELDS
      || !get_string_ (message, &fields[MEMBER_NAME], &name)
      || !get_string_ (message, &fields[MEMBER_ZONE], &zone)
      || !get_address_ (&fields[MEMBER_IP], &fields[MEMBER_PORT], &member->address)
      || !get_uint_ (&fields[MEMBER_SLOTS], G_MAXUINT16, &slots)
      || !get_uint_ (&fields[MEMBER_STATE], DP_N_MEMBER_STATES - 1, &state))
    return FALSE;
  member->name = (char *) name;
  member->zone = (char *) zone;
  member->id = dp_member_id (name);
  member->slots = (guint32) slots;
  member->state = (DpMemberState) state;
  return TRUE;
}

static gboolean
get_uint_ (const msgpack_object *object, guint64 max, guint64 *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return FALSE;
  *value = object->via.u64;
  return TRUE;
}

/* Reads a string of 1 to STRING_MAX bytes without a NUL. */
static gboolean
get_string_ (DpReportMessage *message, const msgpack_object *object, const char **string)
{
  const msgpack_object_str *str = &object->via.str;

  if (object->type != MSGPACK_OBJECT_STR || str->size == 0 || str->size > STRING_MAX
      || memchr (str->ptr, '\0', str->size) != NULL)
    return FALSE;
  *string = g_string_chunk_insert_len (message->strings, str->ptr, str->size);
  return TRUE;
}

static gboolean
get_address_ (const msgpack_object *ip, const msgpack_object *port, DpAddress *address)
{
  guint64 ip_value;
  guint64 port_value;

  if (!get_uint_ (ip, G_MAXUINT32, &ip_value) || ip_value == 0
      || !get_uint_ (port, G_MAXUINT16, &port_value) || port_value == 0)
    return FALSE;
  *address = (DpAddress){ (guint32) ip_value, (guint16) port_value };
  return TRUE;
}
