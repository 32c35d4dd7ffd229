#include "protected/trace.h"

#include <string.h>

#include "protected/address.h"

#define TRACE_ID_STRLEN 17 /* 16 hexadecimal digits and a NUL */
#define FLAGS_STRLEN 8

typedef struct
{
  guint8 flag;
  char letter;
} FlagLetter;

static const FlagLetter letters_[] = {
  { DP_TCP_SYN, 'S' }, { DP_TCP_FIN, 'F' }, { DP_TCP_RST, 'R' },
  { DP_TCP_PSH, 'P' }, { DP_TCP_ACK, 'A' },
};

static void format_flags_ (guint8 flags, char buffer[FLAGS_STRLEN]);

/* Logs a span at level info. Does nothing for a trace_id of 0, which means that the flow
 * is not sampled. */
void
dp_trace_span (guint64 trace_id,
               const char *hop,
               const char *process,
               const DpSegment *segment,
               const char *detail)
{
  char id[TRACE_ID_STRLEN];
  char flow[2 * DP_ADDRESS_STRLEN + 1];
  char client[DP_ADDRESS_STRLEN];
  char service[DP_ADDRESS_STRLEN];
  char flags[FLAGS_STRLEN];
  const GLogField fields[] = {
    { "MESSAGE", "span", -1 },
    { "PRIORITY", "6", -1 },
    { "GLIB_DOMAIN", G_LOG_DOMAIN, -1 },
    { "TRACE_ID", id, -1 },
    { "HOP", hop, -1 },
    { "PROCESS", process, -1 },
    { "FLOW", flow, -1 },
    { "FLAGS", flags, -1 },
    { "DETAIL", detail == NULL ? "" : detail, -1 },
  };

  if (trace_id == 0)
    return;
  g_snprintf (id, sizeof id, "%016" G_GINT64_MODIFIER "x", trace_id);
  g_snprintf (flow, sizeof flow, "%s>%s",
              dp_address_format (&segment->key.client, client),
              dp_address_format (&segment->key.service, service));
  format_flags_ (segment->flags, flags);
  g_log_structured_array (G_LOG_LEVEL_INFO, fields, G_N_ELEMENTS (fields));
}

static void
format_flags_ (guint8 flags, char buffer[FLAGS_STRLEN])
{
  guint length = 0;

  for (guint i = 0; i < G_N_ELEMENTS (letters_); i++)
    if ((flags & letters_[i].flag) != 0)
      buffer[length++] = letters_[i].letter;
  buffer[length] = '\0';
}
