/* Sends the reports of a companion in passthrough mode: chooses the balancers that they
 * go to, and how often. */
#pragma once

#include "protected/metrics.h"
#include "protected/packetport.h"
#include "protected/platform.h"
#include "protected/report.h"

/* Interval of the reports to balancers of the own availability zone, which choose the
 * members for new flows by these reports. A server of two slots gets about six flows in
 * this time. */
#define DP_REPORT_SAME_ZONE_INTERVAL_MS 100

typedef struct _DpPassthroughReporter DpPassthroughReporter;

/* Everything is copied except the platform, which has to outlive the reporter. */
typedef struct
{
  const char *zone;
  const DpAddress *seed_balancers; /* report ports of the balancers in the settings */
  guint n_seed_balancers;
  DpPlatform *platform;
  guint balancers_collection; /* the platform's collection of balancers */
} DpPassthroughReporterOptions;

DpPassthroughReporter *
dp_passthrough_reporter_new (const DpPassthroughReporterOptions *options,
                             DpMetrics *metrics);
void dp_passthrough_reporter_free (DpPassthroughReporter *reporter);
/* port: the port to send reports from; has to outlive the reporter. */
void dp_passthrough_reporter_start (DpPassthroughReporter *reporter, DpPacketPort *port);
/* To be called every DP_REPORT_SAME_ZONE_INTERVAL_MS, and at once when the server's state
 * changes. */
void dp_passthrough_reporter_send (DpPassthroughReporter *reporter,
                                   const DpReport *report);
