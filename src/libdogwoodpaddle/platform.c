#include "protected/platform.h"

#include <libsoup/soup.h>
#include <string.h>

#include "private/storeera.h"
#include "protected/backoff.h"
#include "protected/error.h"
#include "protected/json.h"

#define DEFAULT_TIMEOUT_MS 5000
#define MAX_ATTEMPTS 4 /* of one read or write */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 2000
#define MAX_CONNECTIONS 8
#define READ_STEP "platform read"
#define WRITE_STEP "platform write"
#define STATUS_TOO_MANY_REQUESTS 429
/* Minimum time between two log lines on era headers that are missing, malformed or lower
 * than before, as a faulty proxy may add them to every response. */
#define ERA_LOG_INTERVAL_US (10 * G_USEC_PER_SEC)
/* A write on a position is sent only if a response has shown the position's era at most
 * this long ago; else the object is read first. The store takes longer to be restored. */
#define ERA_FRESH_US (100 * 1000)

typedef enum
{
  REQUEST_LIST,
  REQUEST_GET,
  REQUEST_WATCH,
  REQUEST_WRITE,
  N_REQUEST_TYPES
} RequestType;

struct _DpPlatform
{
  const DpPlatformDialect *dialect;
  char *base_url;
  SoupSession *session;
  GPtrArray *requests; /* Request, in progress */
  guint timeout_ms;
  guint64 calls;
  DpStoreEra store;
  gint64 era_seen_at;     /* us, of the last response of the present era */
  gint64 era_logged_at;   /* us, of an era header that is wrong; 0: never */
  GArray *era_listeners;  /* EraListener */
  guint era_notification; /* source id */
  gboolean blind_repeat;  /* fault injection for tests */
};

typedef struct
{
  DpPlatformEraFunc changed;
  gpointer user_data;
} EraListener;

typedef struct
{
  DpPlatform *platform; /* NULL once the request is finished or abandoned */
  RequestType type;
  guint collection; /* of a list or watch */
  DpKind kind;
  char *name;
  char *url;
  GPtrArray *records;        /* of the list's earlier pages */
  gboolean has_first_page;   /* the list's first page has been read */
  GHashTable *pages;         /* names that the list's pages so far have followed */
  DpPosition first_position; /* of the list's first page */
  DpPosition position;       /* write: of the object before the write; watch: since */
  JsonNode *value;           /* write: NULL to delete */
  gboolean reading_back;     /* write: the current call reads the object back */
  gboolean checking;         /* write: and does so before the write is sent */
  DpPlatformGuardFunc guard; /* write: may be NULL */
  gboolean withdrawn;        /* write: stopped by the guard */
  gboolean outdated;         /* write: stopped since the position's era has ended */
  gboolean unanswered; /* write: an attempt got no response, so it may take effect */
  guint attempts;
  guint wait_ms;   /* for which the platform may hold the call open */
  guint answer_ms; /* watch: time for the answer besides the wait */
  DpBackoff backoff;
  DpPlatformReadFunc read_done;
  DpPlatformWriteFunc write_done;
  gpointer user_data;
  /* Current call. */
  SoupSession *session;
  SoupMessage *message;
  GCancellable *cancellable;
  guint timer;        /* timeout of the call, or delay before the next attempt */
  gboolean sent;      /* a call is in progress */
  gboolean timed_out; /* the call was cancelled for lack of an answer */
  guint64 sent_era;   /* the store's era as known when the call was sent */
  guint64 era;        /* of the response */
} Request;

/* Timeout of each attempt of a read; the last one has the client's whole timeout. A
 * platform answers in milliseconds, or in 250 ms when it is slow. The first attempts end
 * soon after that, for two reasons: after a power failure the first packet of a
 * connection may be lost, which TCP retransmits only after 1 s; and a call that was made
 * while the platform was unreachable is not answered when the platform is
 * reachable again. */
static const guint read_timeouts_ms_[MAX_ATTEMPTS] = {
  DP_PLATFORM_READ_TIMEOUT_MS,
  DP_PLATFORM_READ_TIMEOUT_MS,
  2 * DP_PLATFORM_READ_TIMEOUT_MS,
  G_MAXUINT,
};

static const char *const request_type_strings_[] = { "list", "get", "watch", "write" };

G_STATIC_ASSERT (G_N_ELEMENTS (request_type_strings_) == N_REQUEST_TYPES);

static const char *const write_result_strings_[] = {
  "done",
  "conflict",
  "unknown",
  "refused",
};

G_STATIC_ASSERT (G_N_ELEMENTS (write_result_strings_) == DP_N_WRITE_RESULTS);

static SoupSession *new_session_ (void);
static void forget_connections_ (DpPlatform *platform);
static Request *request_new_ (DpPlatform *platform, RequestType type);
static void request_free_ (Request *request);
static void request_detach_ (Request *request);
static char *make_url_ (const DpPlatform *platform, char *path);
static void send_ (Request *request);
static guint timeout_ms_ (const Request *request);
static SoupMessage *make_message_ (Request *request);
static gboolean is_outdated_ (const Request *request);
static gboolean has_to_be_checked_ (const Request *request);
static void check_write_ (SoupMessage *message, gpointer user_data);
static gboolean timed_out_ (gpointer user_data);
static gboolean retry_now_ (gpointer user_data);
static gboolean schedule_retry_ (Request *request);
static void call_done_ (GObject *source, GAsyncResult *result, gpointer user_data);
static gboolean read_era_ (Request *request, GError **error);
static void log_era_ (DpPlatform *platform, DpStoreEraResult result, const char *text);
static gboolean notify_era_ (gpointer user_data);
static gboolean
set_positions_ (const Request *request, GPtrArray *records, guint first, GError **error);
static gboolean set_position_ (const Request *request,
                               guint64 revision,
                               DpPosition *position,
                               GError **error);
static DpRecord *read_object_ (const Request *request, GBytes *body, GError **error);
static void handle_read_ (Request *request, guint status, GBytes *body, GError *cause);
static GError *
make_read_error_ (const Request *request, guint status, const GError *cause);
static gboolean read_page_ (Request *request,
                            GBytes *body,
                            GPtrArray *records,
                            DpPosition *position,
                            GError **error);
static gboolean is_next_page_ (const Request *request, const char *after, GError **error);
static gboolean restart_list_ (Request *request);
static gboolean finish_unsent_ (gpointer user_data);
static void finish_outdated_ (Request *request);
static void handle_write_ (Request *request, guint status, GBytes *body);
static void handle_read_back_ (Request *request, guint status, GBytes *body);
static void read_back_ (Request *request);
static void repeat_blindly_ (Request *request, DpPosition position);
static gboolean is_written_value_ (const Request *request, const DpRecord *record);
static void finish_read_ (Request *request,
                          GPtrArray *records,
                          DpPosition position,
                          const GError *error);
static void finish_write_ (Request *request,
                           DpWriteResult result,
                           DpRecord *record,
                           const char *reason);

/* Creates a client for the project's own object API at a base URL such as
 * http://127.0.0.1:7100. */
DpPlatform *
dp_platform_new (const char *base_url)
{
  return dp_platform_new_with_dialect (base_url, &dp_platform_native_dialect);
}

/* Creates a client that uses the dialect, which must outlive it. */
DpPlatform *
dp_platform_new_with_dialect (const char *base_url, const DpPlatformDialect *dialect)
{
  DpPlatform *platform = g_new0 (DpPlatform, 1);

  platform->dialect = dialect;
  platform->base_url = g_strdup (base_url);
  platform->session = new_session_ ();
  platform->requests = g_ptr_array_new ();
  platform->era_listeners = g_array_new (FALSE, FALSE, sizeof (EraListener));
  platform->timeout_ms = DEFAULT_TIMEOUT_MS;
  return platform;
}

/* Frees the client. Requests in progress are abandoned and their callbacks not called; a
 * write among them may still take effect. */
void
dp_platform_free (DpPlatform *platform)
{
  if (platform == NULL)
    return;
  while (platform->requests->len > 0)
    request_detach_ (g_ptr_array_index (platform->requests, 0));
  g_ptr_array_unref (platform->requests);
  g_clear_handle_id (&platform->era_notification, g_source_remove);
  g_array_unref (platform->era_listeners);
  soup_session_abort (platform->session);
  g_object_unref (platform->session);
  g_free (platform->base_url);
  g_free (platform);
}

/* Returns the dialect's description of a collection. */
const DpPlatformCollection *
dp_platform_collection (const DpPlatform *platform, guint collection)
{
  g_assert (collection < platform->dialect->n_collections);
  return &platform->dialect->collections[collection];
}

/* Sets the time after which a call counts as unanswered. For a watch, the time for which
 * the platform may hold the call open is added. */
void
dp_platform_set_timeout (DpPlatform *platform, guint timeout_ms)
{
  g_assert (timeout_ms > 0);
  platform->timeout_ms = timeout_ms;
}

/* Returns the time, in ms, after which an attempt of a read counts as unanswered.
 * attempt: from 1 on. */
guint
dp_platform_read_timeout (const DpPlatform *platform, guint attempt)
{
  g_assert (attempt > 0);
  return MIN (platform->timeout_ms, read_timeouts_ms_[MIN (attempt, MAX_ATTEMPTS) - 1]);
}

/* Returns a short name of the result. */
const char *
dp_write_result_string (DpWriteResult result)
{
  g_assert (result < DP_N_WRITE_RESULTS);
  return write_result_strings_[result];
}

/* Reads all objects of a collection, page by page. Each page is tried MAX_ATTEMPTS times
 * before an error is given. */
void
dp_platform_list (DpPlatform *platform,
                  guint collection,
                  DpPlatformReadFunc done,
                  gpointer user_data)
{
  Request *request = request_new_ (platform, REQUEST_LIST);

  request->collection = collection;
  request->records = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  request->pages = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  request->url = make_url_ (platform, platform->dialect->list_path (collection, NULL));
  request->read_done = done;
  request->user_data = user_data;
  send_ (request);
}

/* Reads one object; gives no record if it does not exist. Tried MAX_ATTEMPTS times before
 * an error is given. */
void
dp_platform_get (DpPlatform *platform,
                 DpKind kind,
                 const char *name,
                 DpPlatformReadFunc done,
                 gpointer user_data)
{
  Request *request = request_new_ (platform, REQUEST_GET);

  request->kind = kind;
  request->url = make_url_ (platform, platform->dialect->object_path (kind, name));
  request->read_done = done;
  request->user_data = user_data;
  send_ (request);
}

/* Makes the client call changed, from the main loop, after the store's era has
 * increased. */
void
dp_platform_add_era_listener (DpPlatform *platform,
                              DpPlatformEraFunc changed,
                              gpointer user_data)
{
  const EraListener listener = { changed, user_data };

  g_array_append_val (platform->era_listeners, listener);
}

/* Removes the listeners with this user data. */
void
dp_platform_remove_era_listener (DpPlatform *platform, gpointer user_data)
{
  for (guint i = platform->era_listeners->len; i > 0; i--)
    if (g_array_index (platform->era_listeners, EraListener, i - 1).user_data
        == user_data)
      g_array_remove_index (platform->era_listeners, i - 1);
}

/* Returns the highest era of the store that a response has shown, 0 for none. */
guint64
dp_platform_era (const DpPlatform *platform)
{
  return platform->store.era;
}

/* Waits for records above a position; ends without any after wait_ms, and fails without
 * an answer after a further answer_ms, or the client's timeout if that is less. Not
 * retried on failure. */
void
dp_platform_watch (DpPlatform *platform,
                   guint collection,
                   DpPosition since,
                   guint wait_ms,
                   guint answer_ms,
                   DpPlatformReadFunc done,
                   gpointer user_data)
{
  Request *request = request_new_ (platform, REQUEST_WATCH);

  request->collection = collection;
  request->url = make_url_ (
      platform,
      platform->dialect->watch_path (collection, dp_position_revision (since), wait_ms));
  request->position = since;
  request->wait_ms = wait_ms;
  request->answer_ms = answer_ms;
  request->read_done = done;
  request->user_data = user_data;
  send_ (request);
}

/* Writes the value, or deletes the object if it is NULL, on condition that the object is
 * still at the position (0: does not exist). A write that hits the platform's rate limit
 * is retried a bounded number of times; a write whose response was lost is repeated if
 * the object is unchanged. */
void
dp_platform_write (DpPlatform *platform,
                   DpKind kind,
                   const char *name,
                   DpPosition position,
                   JsonNode *value,
                   DpPlatformWriteFunc done,
                   gpointer user_data)
{
  dp_platform_write_guarded (platform, kind, name, position, value, NULL, done,
                             user_data);
}

/* Writes like dp_platform_write (), but asks the guard right before each attempt is sent,
 * since opening the connection may take a while and an attempt may be repeated seconds
 * later. */
void
dp_platform_write_guarded (DpPlatform *platform,
                           DpKind kind,
                           const char *name,
                           DpPosition position,
                           JsonNode *value,
                           DpPlatformGuardFunc guard,
                           DpPlatformWriteFunc done,
                           gpointer user_data)
{
  Request *request = request_new_ (platform, REQUEST_WRITE);

  request->kind = kind;
  request->name = g_strdup (name);
  request->url = make_url_ (platform, platform->dialect->object_path (kind, name));
  request->position = position;
  request->value = value == NULL ? NULL : json_node_copy (value);
  request->guard = guard;
  request->write_done = done;
  request->user_data = user_data;
  send_ (request);
}

/* Abandons all requests with this user data, without calling their callbacks. A write
 * among them may still take effect. */
void
dp_platform_cancel (DpPlatform *platform, gpointer user_data)
{
  for (guint i = platform->requests->len; i > 0; i--)
    {
      Request *request = g_ptr_array_index (platform->requests, i - 1);

      if (request->user_data == user_data)
        request_detach_ (request);
    }
}

/* Returns the number of HTTP calls that this client has made. */
guint64
dp_platform_calls (const DpPlatform *platform)
{
  return platform->calls;
}

/* Makes the client repeat a write whose response was lost on the object's current
 * version, even if another process has changed the object. Only for tests, which show
 * with it that they detect this fault. */
void
dp_platform_set_test_blind_repeat (DpPlatform *platform, gboolean blind)
{
  platform->blind_repeat = blind;
}

static SoupSession *
new_session_ (void)
{
  SoupSession *session = soup_session_new_with_options (
      "max-conns", MAX_CONNECTIONS, "max-conns-per-host", MAX_CONNECTIONS, "user-agent",
      "dogwoodpaddle/" DP_VERSION, NULL);

  soup_session_set_proxy_resolver (session, NULL);
  return session;
}

/* Makes later calls open new connections. What silences one kept-alive connection may
 * have silenced the others, too, and a call on one of them would be lost. Calls in
 * progress go on. */
static void
forget_connections_ (DpPlatform *platform)
{
  g_object_unref (platform->session);
  platform->session = new_session_ ();
}

static Request *
request_new_ (DpPlatform *platform, RequestType type)
{
  Request *request = g_new0 (Request, 1);

  request->platform = platform;
  request->type = type;
  dp_backoff_init (&request->backoff, RETRY_FIRST_MS, RETRY_MAX_MS);
  g_ptr_array_add (platform->requests, request);
  return request;
}

static void
request_free_ (Request *request)
{
  g_clear_object (&request->session);
  g_clear_object (&request->message);
  g_clear_object (&request->cancellable);
  g_clear_pointer (&request->value, json_node_unref);
  g_clear_pointer (&request->records, g_ptr_array_unref);
  g_free (request->name);
  g_clear_pointer (&request->pages, g_hash_table_unref);
  g_free (request->url);
  g_free (request);
}

/* Removes the request from its client and frees it. If a call is in progress, it is
 * cancelled, and the request is freed when it returns. */
static void
request_detach_ (Request *request)
{
  g_assert (request->platform != NULL);
  g_ptr_array_remove_fast (request->platform->requests, request);
  request->platform = NULL;
  g_clear_handle_id (&request->timer, g_source_remove);
  if (request->sent)
    g_cancellable_cancel (request->cancellable);
  else
    request_free_ (request);
}

/* Returns the URL of a path. Frees the path. */
static char *
make_url_ (const DpPlatform *platform, char *path)
{
  char *url = g_strconcat (platform->base_url, path, NULL);

  g_free (path);
  return url;
}

static void
send_ (Request *request)
{
  if (is_outdated_ (request))
    {
      /* Like any other result, from the main loop. */
      request->timer = g_timeout_add (0, finish_unsent_, request);
      return;
    }
  if (has_to_be_checked_ (request))
    request->checking = request->reading_back = TRUE;
  request->attempts++;
  request->platform->calls++;
  request->sent_era = request->platform->store.era;
  g_set_object (&request->session, request->platform->session);
  g_clear_object (&request->message);
  g_clear_object (&request->cancellable);
  request->message = make_message_ (request);
  if (request->message == NULL)
    {
      /* The code that reads the settings checks the URL. A program that has not checked
       * it gets the error from the main loop, like any other error. */
      request->timer = g_timeout_add (0, timed_out_, request);
      return;
    }
  request->cancellable = g_cancellable_new ();
  request->sent = TRUE;
  request->timed_out = FALSE;
  request->timer = g_timeout_add (timeout_ms_ (request), timed_out_, request);
  soup_session_send_and_read_async (request->session, request->message,
                                    G_PRIORITY_DEFAULT, request->cancellable, call_done_,
                                    request);
}

/* Reads can be repeated, so their first attempts get short timeouts. */
static guint
timeout_ms_ (const Request *request)
{
  if (request->type == REQUEST_WATCH)
    return request->wait_ms + MIN (request->answer_ms, request->platform->timeout_ms);
  if (request->type == REQUEST_WRITE && !request->reading_back)
    return request->platform->timeout_ms;
  return dp_platform_read_timeout (request->platform, request->attempts);
}

static SoupMessage *
make_message_ (Request *request)
{
  const DpPlatformDialect *dialect = request->platform->dialect;
  gboolean writes = request->type == REQUEST_WRITE && !request->reading_back;
  SoupMessage *message;

  if (writes)
    message = dialect->write_message (
        request->platform->base_url, request->kind, request->name,
        dp_position_revision (request->position), request->value);
  else
    message = soup_message_new (SOUP_METHOD_GET, request->url);
  if (message == NULL)
    return NULL;
  /* libsoup itself repeats a request if its kept-alive connection was closed. A write
   * must not be repeated without the client's knowledge, so it gets a new connection. */
  if (writes)
    soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION
                                         | SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE);
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  if (writes)
    g_signal_connect (message, "starting", G_CALLBACK (check_write_), request);
  return message;
}

/* Returns whether the request is a write to be sent on a position of an era that has
 * ended. A position of 0 belongs to every era. */
static gboolean
is_outdated_ (const Request *request)
{
  return request->type == REQUEST_WRITE && !request->reading_back
         && request->position != 0
         && dp_position_era (request->position) < request->platform->store.era;
}

/* Returns whether the request is a write on a position whose era may have ended without
 * the client's knowledge, so that another object may have the revision by now. A position
 * from a peer may be of an era that this client has not seen yet. */
static gboolean
has_to_be_checked_ (const Request *request)
{
  return request->type == REQUEST_WRITE && !request->reading_back
         && !request->platform->blind_repeat && request->position != 0
         && (dp_position_era (request->position) != 0
             || request->platform->store.era != 0)
         && (dp_position_era (request->position) > request->platform->store.era
             || g_get_monotonic_time () - request->platform->era_seen_at > ERA_FRESH_US);
}

/* Checks the era and asks the guard when the connection is open and the write is about to
 * be sent. */
static void
check_write_ (SoupMessage *message, gpointer user_data)
{
  Request *request = user_data;

  if (request->platform == NULL)
    return;
  request->outdated = is_outdated_ (request);
  request->withdrawn = !request->outdated && request->guard != NULL
                       && !request->guard (request->user_data);
  if (request->outdated || request->withdrawn)
    g_cancellable_cancel (request->cancellable);
}

static gboolean
timed_out_ (gpointer user_data)
{
  Request *request = user_data;

  request->timer = 0;
  if (request->sent)
    {
      request->timed_out = TRUE;
      if (request->session == request->platform->session)
        forget_connections_ (request->platform);
      g_cancellable_cancel (request->cancellable);
      return G_SOURCE_REMOVE;
    }
  if (request->type == REQUEST_WRITE)
    {
      finish_write_ (request, DP_WRITE_REFUSED, NULL, "the URL is malformed");
      return G_SOURCE_REMOVE;
    }
  handle_read_ (request, 0, NULL, NULL);
  return G_SOURCE_REMOVE;
}

static gboolean
retry_now_ (gpointer user_data)
{
  Request *request = user_data;

  request->timer = 0;
  send_ (request);
  return G_SOURCE_REMOVE;
}

/* Schedules another attempt after an increasing delay; returns FALSE if there were
 * MAX_ATTEMPTS already. */
static gboolean
schedule_retry_ (Request *request)
{
  if (request->attempts >= MAX_ATTEMPTS)
    return FALSE;
  request->timer = g_timeout_add (dp_backoff_next (&request->backoff), retry_now_,
                                  request);
  return TRUE;
}

static void
call_done_ (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Request *request = user_data;
  g_autoptr (GError) cause = NULL;
  g_autoptr (GBytes)
      body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &cause);
  guint status = body == NULL ? 0 : soup_message_get_status (request->message);

  request->sent = FALSE;
  if (request->platform == NULL)
    {
      request_free_ (request);
      return;
    }
  g_clear_handle_id (&request->timer, g_source_remove);
  if (status != 0 && !read_era_ (request, &cause))
    status = 0; /* as if there were no answer */
  if (request->type != REQUEST_WRITE)
    handle_read_ (request, status, body, cause);
  else if (request->reading_back)
    handle_read_back_ (request, status, body);
  else
    handle_write_ (request, status, body);
}

/* Reads the store's era from the response, whatever its status. Returns FALSE and sets
 * error if the era has ended. */
static gboolean
read_era_ (Request *request, GError **error)
{
  DpPlatform *platform = request->platform;
  const char *header = platform->dialect->era_header;
  const char *text =
      header == NULL ? NULL
                     : soup_message_headers_get_list (
                         soup_message_get_response_headers (request->message), header);
  const guint64 before = platform->store.era;
  const DpStoreEraResult result = dp_store_era_observe (&platform->store, text);

  request->era = platform->store.era;
  if (result != DP_STORE_ERA_ENDED)
    platform->era_seen_at = g_get_monotonic_time ();
  switch (result)
    {
    case DP_STORE_ERA_RAISED:
      g_warning ("platform: era %" G_GUINT64_FORMAT " after era %" G_GUINT64_FORMAT
                 ": the store was restored; everything is listed again",
                 platform->store.era, before);
      if (platform->era_notification == 0)
        platform->era_notification = g_idle_add_full (G_PRIORITY_DEFAULT, notify_era_,
                                                      platform, NULL);
      return TRUE;
    case DP_STORE_ERA_ENDED:
      log_era_ (platform, result, text);
      dp_error_set (error, DP_ERROR_UNAVAILABLE, READ_STEP, platform->base_url,
                    "the answer is of era %s, which has ended", text);
      return FALSE;
    case DP_STORE_ERA_MISSING:
    case DP_STORE_ERA_MALFORMED:
      log_era_ (platform, result, text);
      return TRUE;
    case DP_STORE_ERA_SAME:
    case DP_STORE_ERA_FIRST:
    case DP_N_STORE_ERA_RESULTS:
    default:
      return TRUE;
    }
}

/* Logs a header that is wrong, at most once in ERA_LOG_INTERVAL_US. */
static void
log_era_ (DpPlatform *platform, DpStoreEraResult result, const char *text)
{
  const DpStoreEra *store = &platform->store;
  const gint64 now = g_get_monotonic_time ();

  if (platform->era_logged_at != 0 && now - platform->era_logged_at < ERA_LOG_INTERVAL_US)
    return;
  platform->era_logged_at = now;
  g_warning ("platform: %s %s (%.40s), era %" G_GUINT64_FORMAT
             " stays; so far %" G_GUINT64_FORMAT " missing, %" G_GUINT64_FORMAT
             " malformed, %" G_GUINT64_FORMAT " ended",
             platform->dialect->era_header, dp_store_era_result_string (result),
             text == NULL ? "" : text, store->era, store->missing, store->malformed,
             store->ended);
}

static gboolean
notify_era_ (gpointer user_data)
{
  DpPlatform *platform = user_data;
  g_autoptr (GArray) listeners = g_array_copy (platform->era_listeners);

  platform->era_notification = 0;
  for (guint i = 0; i < listeners->len; i++)
    {
      const EraListener *listener = &g_array_index (listeners, EraListener, i);

      listener->changed (listener->user_data);
    }
  return G_SOURCE_REMOVE;
}

/* Sets the response's era in the positions of the records from first on. The positions of
 * a snapshot's records are versions, which have no era. */
static gboolean
set_positions_ (const Request *request, GPtrArray *records, guint first, GError **error)
{
  const DpPlatformDialect *dialect = request->platform->dialect;

  if (request->type != REQUEST_GET && request->type != REQUEST_WRITE
      && dialect->collections[request->collection].snapshot)
    return TRUE;
  for (guint i = first; i < records->len; i++)
    {
      DpRecord *record = g_ptr_array_index (records, i);

      if (!set_position_ (request, dp_position_revision (record->position),
                          &record->position, error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
set_position_ (const Request *request,
               guint64 revision,
               DpPosition *position,
               GError **error)
{
  if (dp_position_make (request->era, revision, position))
    return TRUE;
  dp_error_set (error, DP_ERROR_INVALID, READ_STEP, request->platform->base_url,
                "revision %" G_GUINT64_FORMAT " is too large", revision);
  return FALSE;
}

/* Reads the object in a response. Returns NULL without setting error if it does not
 * exist. */
static DpRecord *
read_object_ (const Request *request, GBytes *body, GError **error)
{
  g_autoptr (DpRecord)
      record = request->platform->dialect->read_object (body, request->kind, error);

  if (record == NULL
      || !set_position_ (request, dp_position_revision (record->position),
                         &record->position, error))
    return NULL;
  return g_steal_pointer (&record);
}

static void
handle_read_ (Request *request, guint status, GBytes *body, GError *cause)
{
  g_autoptr (GPtrArray)
      records = g_ptr_array_new_with_free_func ((GDestroyNotify) dp_record_unref);
  g_autoptr (GError) error = NULL;
  DpPosition position = 0;

  if (request->type == REQUEST_GET && status == SOUP_STATUS_OK)
    {
      DpRecord *record = read_object_ (request, body, &error);

      if (record != NULL)
        {
          position = record->position;
          g_ptr_array_add (records, record);
        }
    }
  else if (request->type == REQUEST_WATCH && status != 0
           && request->era != dp_position_era (request->position))
    /* The revisions that the watch waits for were assigned again. */
    dp_error_set (&error, DP_ERROR_LIMIT, READ_STEP, request->platform->base_url,
                  "position=" DP_POSITION_FORMAT " is of an era that has ended",
                  DP_POSITION_ARGS (request->position));
  else if (status == SOUP_STATUS_OK)
    {
      if (read_page_ (request, body, records, &position, &error))
        return;
    }
  else if (request->type == REQUEST_WATCH && status == SOUP_STATUS_GONE)
    dp_error_set (&error, DP_ERROR_LIMIT, READ_STEP, request->platform->base_url,
                  "the history since position=" DP_POSITION_FORMAT " is gone",
                  DP_POSITION_ARGS (request->position));
  else if (request->type != REQUEST_GET || status != SOUP_STATUS_NOT_FOUND)
    {
      if (request->type != REQUEST_WATCH && schedule_retry_ (request))
        return;
      error = make_read_error_ (request, status, cause);
    }
  finish_read_ (request, records, position, error);
}

/* Returns the error of a read that the platform has not answered, or with an unexpected
 * status. */
static GError *
make_read_error_ (const Request *request, guint status, const GError *cause)
{
  const char *peer = request->platform->base_url;
  const char *type = request_type_strings_[request->type];
  GError *error = NULL;

  if (status != 0)
    dp_error_set (&error, DP_ERROR_UNAVAILABLE, READ_STEP, peer, "%s: HTTP status %u",
                  type, status);
  else if (request->timed_out)
    dp_error_set (&error, DP_ERROR_UNAVAILABLE, READ_STEP, peer,
                  "%s: no answer within %u ms, attempt %u", type, timeout_ms_ (request),
                  request->attempts);
  else
    dp_error_set (&error, DP_ERROR_UNAVAILABLE, READ_STEP, peer, "%s: %s", type,
                  cause == NULL ? "no answer" : cause->message);
  return error;
}

/* Reads one page of a list or the events of a watch. Returns TRUE if it has requested a
 * further page. A list that doesn't proceed ends with an error: its pages would be
 * requested without a pause and fill the memory. */
static gboolean
read_page_ (Request *request,
            GBytes *body,
            GPtrArray *records,
            DpPosition *position,
            GError **error)
{
  const DpPlatformDialect *dialect = request->platform->dialect;
  const guint n_earlier = request->type == REQUEST_LIST ? request->records->len : 0;
  g_autofree char *after = NULL;
  guint64 revision = 0;

  if (request->type == REQUEST_WATCH)
    {
      if (dialect->read_events (body, request->collection, records, &revision, error)
          && set_positions_ (request, records, 0, error))
        set_position_ (request, revision, position, error);
      return FALSE;
    }
  if (request->has_first_page && request->era != dp_position_era (request->first_position)
      && restart_list_ (request))
    return TRUE;
  if (!dialect->read_list (body, request->collection, request->records, &revision, &after,
                           error)
      || !set_positions_ (request, request->records, n_earlier, error)
      || !set_position_ (request, revision, position, error))
    return FALSE;
  /* The list's position is that of its first page: a watch from there reports the changes
   * made while the other pages were read. */
  if (!request->has_first_page)
    request->first_position = *position;
  request->has_first_page = TRUE;
  *position = request->first_position;
  if (after != NULL && !is_next_page_ (request, after, error))
    return FALSE;
  if (after != NULL)
    {
      g_free (request->url);
      request->url = make_url_ (request->platform,
                                dialect->list_path (request->collection, after));
      g_hash_table_add (request->pages, g_steal_pointer (&after));
      request->attempts = 0;
      send_ (request);
      return TRUE;
    }
  g_ptr_array_extend_and_steal (records, g_steal_pointer (&request->records));
  return FALSE;
}

/* Returns whether a list may go on with the page after the name; sets error if it has
 * been there, or has had too many pages. */
static gboolean
is_next_page_ (const Request *request, const char *after, GError **error)
{
  if (g_hash_table_contains (request->pages, after))
    dp_error_set (error, DP_ERROR_INVALID, READ_STEP, request->platform->base_url,
                  "a list comes back to the page after %s", after);
  else if (g_hash_table_size (request->pages) + 1 >= DP_PLATFORM_LIST_PAGES_MAX)
    dp_error_set (error, DP_ERROR_INVALID, READ_STEP, request->platform->base_url,
                  "a list has more than %d pages", DP_PLATFORM_LIST_PAGES_MAX);
  else
    return TRUE;
  return FALSE;
}

/* Starts a list again whose pages come from two eras. */
static gboolean
restart_list_ (Request *request)
{
  const DpPlatformDialect *dialect = request->platform->dialect;

  g_ptr_array_set_size (request->records, 0);
  request->has_first_page = FALSE;
  g_hash_table_remove_all (request->pages);
  g_free (request->url);
  request->url = make_url_ (request->platform,
                            dialect->list_path (request->collection, NULL));
  request->attempts = 0;
  return schedule_retry_ (request);
}

static gboolean
finish_unsent_ (gpointer user_data)
{
  Request *request = user_data;

  request->timer = 0;
  finish_outdated_ (request);
  return G_SOURCE_REMOVE;
}

/* Ends a write whose position is of an era that has ended, or finds out whether an
 * earlier attempt took effect. */
static void
finish_outdated_ (Request *request)
{
  if (request->unanswered)
    read_back_ (request);
  else
    finish_write_ (request, DP_WRITE_CONFLICT, NULL,
                   "the store was restored since the object was read");
}

static void
handle_write_ (Request *request, guint status, GBytes *body)
{
  const DpPlatformDialect *dialect = request->platform->dialect;
  g_autoptr (DpRecord) record = NULL;
  g_autofree char *text = NULL;
  guint64 revision;
  DpPosition position;

  if (request->outdated)
    {
      request->outdated = FALSE;
      finish_outdated_ (request);
      return;
    }
  if (request->withdrawn)
    {
      finish_write_ (request, request->unanswered ? DP_WRITE_UNKNOWN : DP_WRITE_REFUSED,
                     NULL, "withdrawn");
      return;
    }
  if (status == dialect->conflict_status)
    {
      record = read_object_ (request, body, NULL);
      /* The write that caused the conflict may be an earlier attempt of this request
       * whose response was lost. */
      if (request->unanswered && is_written_value_ (request, record))
        finish_write_ (request, DP_WRITE_DONE, record, NULL);
      else
        finish_write_ (request, DP_WRITE_CONFLICT, record,
                       "the object is at another version");
      return;
    }
  switch (status)
    {
    case SOUP_STATUS_OK:
    case SOUP_STATUS_CREATED:
      if (!dialect->read_written_revision (body, &revision)
          || !set_position_ (request, revision, &position, NULL))
        break;
      /* The write may have met an object of the new era that has the expected revision by
       * chance. */
      if (request->era != request->sent_era && request->position != 0)
        break;
      text = request->value == NULL ? g_strdup ("") : dp_json_format (request->value);
      record = dp_record_new (request->kind, request->name, position,
                              request->value == NULL, text, NULL);
      finish_write_ (request, DP_WRITE_DONE, record, NULL);
      return;
    case STATUS_TOO_MANY_REQUESTS:
      if (!schedule_retry_ (request))
        finish_write_ (request, request->unanswered ? DP_WRITE_UNKNOWN : DP_WRITE_REFUSED,
                       NULL, "the platform's rate limit was reached");
      return;
    default:
      break;
    }
  if (status >= 400 && status < 500)
    {
      finish_write_ (request, DP_WRITE_REFUSED, NULL, soup_status_get_phrase (status));
      return;
    }
  request->unanswered = TRUE;
  read_back_ (request);
}

static void
handle_read_back_ (Request *request, guint status, GBytes *body)
{
  g_autoptr (DpRecord) record = NULL;
  g_autoptr (GError) error = NULL;
  DpPosition position;

  if (status != SOUP_STATUS_OK && status != SOUP_STATUS_NOT_FOUND)
    {
      if (!schedule_retry_ (request))
        finish_write_ (request,
                       request->checking && !request->unanswered ? DP_WRITE_REFUSED
                                                                 : DP_WRITE_UNKNOWN,
                       NULL, "no answer");
      return;
    }
  if (status == SOUP_STATUS_OK)
    {
      record = read_object_ (request, body, &error);
      if (error != NULL)
        {
          finish_write_ (request, DP_WRITE_UNKNOWN, NULL, error->message);
          return;
        }
    }
  position = record == NULL ? 0 : record->position;
  request->reading_back = FALSE;
  if (request->platform->blind_repeat)
    repeat_blindly_ (request, position);
  else if (dp_position_compare (position, request->position) == 0 && request->checking)
    {
      request->checking = FALSE;
      request->attempts--; /* the check doesn't count */
      send_ (request);
    }
  else if (dp_position_compare (position, request->position) == 0)
    {
      if (!schedule_retry_ (request))
        finish_write_ (request, DP_WRITE_UNKNOWN, record, "no answer");
    }
  else if (is_written_value_ (request, record) && request->unanswered)
    finish_write_ (request, DP_WRITE_DONE, record, NULL);
  else
    finish_write_ (request, DP_WRITE_CONFLICT, record,
                   "the object is at another version");
}

/* Reads the object to find out whether the write took effect. */
static void
read_back_ (Request *request)
{
  request->reading_back = TRUE;
  request->checking = FALSE;
  request->attempts = 0;
  if (!schedule_retry_ (request))
    g_assert_not_reached ();
}

static void
repeat_blindly_ (Request *request, DpPosition position)
{
  request->position = position;
  send_ (request);
}

/* Returns whether the platform's object is as it should be after the write. */
static gboolean
is_written_value_ (const Request *request, const DpRecord *record)
{
  g_autoptr (JsonNode) value = record == NULL ? NULL : dp_record_value (record);

  if (record == NULL)
    return request->value == NULL;
  return request->value != NULL && value != NULL
         && json_node_equal (request->value, value);
}

static void
finish_read_ (Request *request,
              GPtrArray *records,
              DpPosition position,
              const GError *error)
{
  DpPlatformReadFunc done = request->read_done;
  gpointer user_data = request->user_data;

  request_detach_ (request);
  done (records, position, error, user_data);
}

static void
finish_write_ (Request *request,
               DpWriteResult result,
               DpRecord *record,
               const char *reason)
{
  static const DpErrorCode codes[] = {
    DP_ERROR_INVALID,
    DP_ERROR_CONFLICT,
    DP_ERROR_OUTCOME_UNKNOWN,
    DP_ERROR_UNAVAILABLE,
  };
  DpPlatformWriteFunc done = request->write_done;
  gpointer user_data = request->user_data;
  g_autoptr (GError) error = NULL;

  G_STATIC_ASSERT (G_N_ELEMENTS (codes) == DP_N_WRITE_RESULTS);
  if (result != DP_WRITE_DONE)
    dp_error_set (&error, codes[result], WRITE_STEP, request->platform->base_url,
                  "%s/%s: %s", dp_kind_string (request->kind), request->name, reason);
  request_detach_ (request);
  done (result, record, error, user_data);
}
