/* Client of the platform's object API over HTTP and JSON. A dialect defines the paths and
 * bodies of the calls; retries, timeouts and the handling of lost responses are the same
 * for all dialects. */
#pragma once

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "protected/replica.h"

/* Timeouts of the first attempts of a read and of its last one; the latter is the
 * client's whole timeout on the users' platform. */
#define DP_PLATFORM_READ_TIMEOUT_MS 300
#define DP_PLATFORM_LAST_READ_TIMEOUT_MS 1000

/* Longest list; a page has 500 objects or one large one. */
#define DP_PLATFORM_LIST_PAGES_MAX 1000

typedef struct _DpPlatform DpPlatform;

/* Objects that are listed and watched together. */
typedef struct
{
  guint kinds;       /* bit mask, 1 << DpKind, of the records in its responses */
  gboolean snapshot; /* an event carries all records of the kinds, one at least, not only
                        new ones; the position of the records is the version that their
                        writer gave them, not their place in the store's history */
} DpPlatformCollection;

/* Paths, requests and responses of one object API. Paths begin with a slash and are newly
 * allocated. Revisions are those of the response; the records that a dialect reads have
 * positions of era 0, and the client sets the era. */
typedef struct
{
  const DpPlatformCollection *collections;
  guint n_collections;
  guint conflict_status;  /* HTTP status if the object is at another version */
  const char *era_header; /* response header with the store's era, NULL: there is none */

  /* after: last name of the previous page, NULL for the first page. */
  char *(*list_path) (guint collection, const char *after);
  char *(*watch_path) (guint collection, guint64 since, guint wait_ms);
  char *(*object_path) (DpKind kind, const char *name);
  /* revision 0: the object must not exist; value NULL: delete. */
  SoupMessage *(*write_message) (const char *base_url,
                                 DpKind kind,
                                 const char *name,
                                 guint64 revision,
                                 JsonNode *value);
  /* Appends to records. Sets after to the name to continue from if there is a further
   * page. */
  gboolean (*read_list) (GBytes *body,
                         guint collection,
                         GPtrArray *records,
                         guint64 *revision,
                         char **after,
                         GError **error);
  gboolean (*read_events) (GBytes *body,
                           guint collection,
                           GPtrArray *records,
                           guint64 *revision,
                           GError **error);
  /* Returns NULL without setting error if the object does not exist. */
  DpRecord *(*read_object) (GBytes *body, DpKind kind, GError **error);
  /* Reads the object's new revision from the response to a write; FALSE if the response
   * has none. */
  gboolean (*read_written_revision) (GBytes *body, guint64 *revision);
} DpPlatformDialect;

/* The project's own object API (docs/design.md, section 5.3). */
extern const DpPlatformDialect dp_platform_native_dialect;

typedef enum
{
  DP_WRITE_DONE,     /* the write took effect */
  DP_WRITE_CONFLICT, /* another writer was first, and record is the object's present one;
                        or the store was restored, and record is NULL */
  DP_WRITE_UNKNOWN,  /* no response: the write may have taken effect or may yet do so */
  DP_WRITE_REFUSED,  /* the write did not take effect: error response, or withdrawn */
  DP_N_WRITE_RESULTS
} DpWriteResult;

/* record: the object as the platform now holds it, NULL if it does not exist or is
 * unknown; a tombstone after a delete that the platform confirmed. Valid during the
 * call. */
typedef void (*DpPlatformWriteFunc) (DpWriteResult result,
                                     DpRecord *record,
                                     const GError *error,
                                     gpointer user_data);
/* records: DpRecord, valid during the call. position: the one up to which the records
 * include all changes; for one object, the object's position. error: set on failure.
 * DP_ERROR_LIMIT from a watch means that the platform no longer has the history since the
 * watched position, and that the objects have to be listed again. */
typedef void (*DpPlatformReadFunc) (GPtrArray *records,
                                    DpPosition position,
                                    const GError *error,
                                    gpointer user_data);

DpPlatform *dp_platform_new (const char *base_url);
DpPlatform *dp_platform_new_with_dialect (const char *base_url,
                                          const DpPlatformDialect *dialect);
const DpPlatformCollection *dp_platform_collection (const DpPlatform *platform,
                                                    guint collection);
void dp_platform_free (DpPlatform *platform);
void dp_platform_set_timeout (DpPlatform *platform, guint timeout_ms);
guint dp_platform_read_timeout (const DpPlatform *platform, guint attempt);
const char *dp_write_result_string (DpWriteResult result);

void dp_platform_list (DpPlatform *platform,
                       guint collection,
                       DpPlatformReadFunc done,
                       gpointer user_data);
void dp_platform_get (DpPlatform *platform,
                      DpKind kind,
                      const char *name,
                      DpPlatformReadFunc done,
                      gpointer user_data);
/* Called after a response has shown a higher era of the store than earlier responses: all
 * that was read before may have been lost, and has to be listed again. */
typedef void (*DpPlatformEraFunc) (gpointer user_data);
void dp_platform_add_era_listener (DpPlatform *platform,
                                   DpPlatformEraFunc changed,
                                   gpointer user_data);
void dp_platform_remove_era_listener (DpPlatform *platform, gpointer user_data);
/* Returns the highest era of the store that a response has shown, 0 for none. */
guint64 dp_platform_era (const DpPlatform *platform);
/* The platform holds the call open until a record is newer than since, which has to be of
 * the present era, or for wait_ms. It counts as unanswered after a further answer_ms, at
 * most the client's timeout. */
void dp_platform_watch (DpPlatform *platform,
                        guint collection,
                        DpPosition since,
                        guint wait_ms,
                        guint answer_ms,
                        DpPlatformReadFunc done,
                        gpointer user_data);
/* Writes on condition that the object is at the position; 0: that it does not exist.
 * value NULL: deletes the object. If the response is lost, the object is read back, and
 * the write is repeated on the same position only if the object is unchanged. The result
 * is DP_WRITE_UNKNOWN if reading back fails too, or if a rate limit ends the repeats. A
 * write on a position of an era that has ended is not sent, since the store may have
 * assigned the revision again; it ends with DP_WRITE_CONFLICT. A write whose response
 * shows a new era is read back. */
void dp_platform_write (DpPlatform *platform,
                        DpKind kind,
                        const char *name,
                        DpPosition position,
                        JsonNode *value,
                        DpPlatformWriteFunc done,
                        gpointer user_data);
/* Returns whether the write is still to be made. Called right before each attempt is
 * sent. */
typedef gboolean (*DpPlatformGuardFunc) (gpointer user_data);
/* A write that its guard withdraws ends with DP_WRITE_REFUSED, or with DP_WRITE_UNKNOWN
 * if an earlier attempt got no response. */
void dp_platform_write_guarded (DpPlatform *platform,
                                DpKind kind,
                                const char *name,
                                DpPosition position,
                                JsonNode *value,
                                DpPlatformGuardFunc guard,
                                DpPlatformWriteFunc done,
                                gpointer user_data);
/* Abandons all requests with this user data, without calling their callbacks. A write
 * among them may still take effect. */
void dp_platform_cancel (DpPlatform *platform, gpointer user_data);
guint64 dp_platform_calls (const DpPlatform *platform);

/* Fault injection, with which tests show that they detect this fault: a write whose
 * response was lost is repeated on the object's current version, even if another process
 * has changed the object. */
void dp_platform_set_test_blind_repeat (DpPlatform *platform, gboolean blind);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPlatform, dp_platform_free)
