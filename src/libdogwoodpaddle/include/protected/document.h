/* Strict parsing of JSON files that people write. All faults of a file are collected,
 * each with its JSON path. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>

/* One fault of a file. */
typedef struct
{
  char *path; /* JSON path, such as $.exceptions.slow-host.reason */
  char *message;
} DpFault;

void dp_fault_free (DpFault *fault);
GPtrArray *dp_faults_new (void);
void dp_faults_add (GPtrArray *faults, const char *path, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
char *dp_faults_join (const GPtrArray *faults);
char *dp_document_member_path (const char *path, const char *key);

JsonNode *dp_document_parse (const char *text, gsize length, GPtrArray *faults);
JsonNode *dp_document_load (const char *file, GPtrArray *faults);

JsonObject *dp_document_object (JsonNode *node, const char *path, GPtrArray *faults);
JsonArray *dp_document_array (JsonNode *node, const char *path, GPtrArray *faults);
const char *dp_document_string (JsonNode *node, const char *path, GPtrArray *faults);
gboolean dp_document_integer (JsonNode *node,
                              const char *path,
                              gint64 min,
                              gint64 max,
                              gint64 *value,
                              GPtrArray *faults);
/* Checks the name of a process, service or host: 1 to 63 letters, digits, ".", "_" and
 * "-", not starting with ".". */
gboolean dp_document_check_name (const char *name, const char *path, GPtrArray *faults);
/* keys: NULL-terminated. */
void dp_document_check_keys (JsonObject *object,
                             const char *const *keys,
                             const char *path,
                             GPtrArray *faults);
