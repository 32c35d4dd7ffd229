/* The fields of DpSettings, which is opaque in the public header. The balancer and the
 * companion read them directly. */
#pragma once

#include "dogwoodpaddle/settings.h"
#include "protected/address.h"

struct _DpSettings
{
  DpSettingsKind kind;
  char *name;
  char *zone;
  char *region;
  DpAddress data;
  DpAddress control; /* balancer only */
  DpAddress http;
  char *platform_url;
  GArray *peers;            /* DpAddress */
  GArray *trusted_networks; /* DpNetwork */
  char *log_level;
  char *service;     /* companion only */
  guint32 server_ip; /* companion only */
};

/* path: the name of the text in errors. */
DpSettings *dp_settings_parse (const char *text,
                               gsize length,
                               DpSettingsKind kind,
                               const char *path,
                               GError **error);
