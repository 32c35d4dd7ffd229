/* A companion's reports in passthrough mode: to which balancers they go, and how often.
 */
#pragma once

#include "protected/metrics.h"
#include "protected/packetport.h"
#include "protected/platform.h"
#include "protected/report.h"

/* Between two reports to balancers of the own availability zone, whose choices depend on
 * them. Half a dozen flows are placed on a server of two slots in this time. */
#define DP_REPORT_NEAR_MS 100

typedef struct _DpPassthroughReporter DpPassthroughReporter;

/* Everything but the platform is copied. */
typedef struct
{
  const char *zone;
  const DpAddress *first_balancers; /* report ports, of the settings */
  guint n_first_balancers;
  DpPlatform *platform;
  guint balancers; /* the platform's collection with the balancers */
} DpPassthroughReporterOptions;

DpPassthroughReporter *
dp_passthrough_reporter_new (const DpPassthroughReporterOptions *options,
                             DpMetrics *metrics);
void dp_passthrough_reporter_free (DpPassthroughReporter *reporter);
/* port: reports leave from it; has to outlive the reporter. */
void dp_passthrough_reporter_start (DpPassthroughReporter *reporter, DpPacketPort *port);
/* To be called every DP_REPORT_NEAR_MS, and when the report says something new. */
void dp_passthrough_reporter_send (DpPassthroughReporter *reporter,
                                   const DpReport *report);
