/* Client of the platform's object API over HTTP and JSON. The calls' spelling is a
 * dialect; retries, timeouts and the handling of lost answers are the same for all
 * dialects. */
#pragma once

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "protected/replica.h"

typedef struct _DpPlatform DpPlatform;

/* Objects that are listed and watched together. */
typedef struct
{
  guint kinds;       /* bits 1 << DpKind of the records that its answers may hold */
  gboolean snapshot; /* an event carries all records of the kinds, not only new ones */
} DpPlatformCollection;

/* One way to spell the calls. Paths begin with a slash and are newly allocated. */
typedef struct
{
  const DpPlatformCollection *collections;
  guint n_collections;
  guint conflict_status; /* HTTP status of a write on another version */

  /* after: name to continue behind, NULL on the first page. */
  char *(*list_path) (guint collection, const char *after);
  char *(*watch_path) (guint collection, guint64 since, guint wait_ms);
  char *(*object_path) (DpKind kind, const char *name);
  /* version 0: the object must not exist; value NULL: delete. */
  SoupMessage *(*write_message) (const char *base_url,
                                 DpKind kind,
                                 const char *name,
                                 guint64 version,
                                 JsonNode *value);
  /* Appends to records. after: set to a name if there is a further page. */
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
  /* NULL without an error: the object does not exist. */
  DpRecord *(*read_object) (GBytes *body, DpKind kind, GError **error);
  /* The object's version after a write that was answered; FALSE if it says none. */
  gboolean (*read_written_version) (GBytes *body, guint64 *version);
} DpPlatformDialect;

/* The project's own object API (docs/design.md, section 5.3). */
extern const DpPlatformDialect dp_platform_native_dialect;

typedef enum
{
  DP_WRITE_DONE,     /* the write took effect */
  DP_WRITE_CONFLICT, /* another writer was first; the present record is given */
  DP_WRITE_UNKNOWN,  /* no answer: it may have taken effect or may yet do so */
  DP_WRITE_REFUSED,  /* the platform answered with an error; it did not take effect */
  DP_N_WRITE_RESULTS
} DpWriteResult;

/* record: the object as the platform now holds it, NULL if it does not exist or is
 * unknown; after an answered delete the tombstone. Valid during the call. */
typedef void (*DpPlatformWriteFunc) (DpWriteResult result,
                                     DpRecord *record,
                                     const GError *error,
                                     gpointer user_data);
/* records: DpRecord, valid during the call; revision: everything up to it is contained
 * (for one object: its version). error: set on failure; DP_ERROR_LIMIT from a watch: the
 * history since then is gone and the objects are to be listed again. */
typedef void (*DpPlatformReadFunc) (GPtrArray *records,
                                    guint64 revision,
                                    const GError *error,
                                    gpointer user_data);

DpPlatform *dp_platform_new (const char *base_url);
DpPlatform *dp_platform_new_with_dialect (const char *base_url,
                                          const DpPlatformDialect *dialect);
const DpPlatformCollection *dp_platform_collection (const DpPlatform *platform,
                                                    guint collection);
void dp_platform_free (DpPlatform *platform);
void dp_platform_set_timeout (DpPlatform *platform, guint timeout_ms);
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
/* Held open until something is newer than since or timeout_ms passed. */
void dp_platform_watch (DpPlatform *platform,
                        guint collection,
                        guint64 since,
                        guint timeout_ms,
                        DpPlatformReadFunc done,
                        gpointer user_data);
/* Conditional on the object's version; 0: must not exist. value NULL: delete. A lost
 * answer is read back; the write is repeated on the same version only if the object is
 * unchanged. DP_WRITE_UNKNOWN only if reading back fails too. */
void dp_platform_write (DpPlatform *platform,
                        DpKind kind,
                        const char *name,
                        guint64 version,
                        JsonNode *value,
                        DpPlatformWriteFunc done,
                        gpointer user_data);
/* Whether the write is still to be made; asked right before each time that it is sent. */
typedef gboolean (*DpPlatformGuardFunc) (gpointer user_data);
/* A write that its guard withdraws ends as DP_WRITE_REFUSED, or as DP_WRITE_UNKNOWN if an
 * earlier attempt was not answered. */
void dp_platform_write_guarded (DpPlatform *platform,
                                DpKind kind,
                                const char *name,
                                guint64 version,
                                JsonNode *value,
                                DpPlatformGuardFunc guard,
                                DpPlatformWriteFunc done,
                                gpointer user_data);
/* Abandons all requests with this user data: their callbacks are not called. A write
 * among them may still take effect. */
void dp_platform_cancel (DpPlatform *platform, gpointer user_data);
guint64 dp_platform_calls (const DpPlatform *platform);

/* Only for tests that must fail: repeats a write without an answer on whatever version
 * the object has by then. */
void dp_platform_set_test_blind_repeat (DpPlatform *platform, gboolean blind);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpPlatform, dp_platform_free)
