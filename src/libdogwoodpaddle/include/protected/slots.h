/* Schedules the slots of a backend server, that is, the requests that it works on at the
 * same time: decides which flow gets a slot next, by traffic class and then by arrival.
 *
 * Designed for short overloads, such as the second or two after an outage in which all
 * clients reconnect. Flows that can still be served within their objective ("in time") go
 * first. Late flows use the slots that remain free, so that a backlog neither makes every
 * new flow late nor is discarded. */
#pragma once

#include <glib.h>

#include "protected/handle.h"

typedef enum
{
  DP_TRAFFIC_URGENT,      /* for example fault reports */
  DP_TRAFFIC_INTERACTIVE, /* status requests, job sheets */
  DP_TRAFFIC_BULK,        /* downloads of manuals */
  DP_N_TRAFFIC_CLASSES
} DpTrafficClass;

const char *dp_traffic_class_string (DpTrafficClass class);
gboolean dp_traffic_class_parse (const char *text, DpTrafficClass *class);

typedef struct _DpSlots DpSlots;

DpSlots *dp_slots_new (guint max_waiting);
void dp_slots_free (DpSlots *slots);
void dp_slots_set_capacity (DpSlots *slots, guint capacity, gboolean mixed);
void dp_slots_set_late_capacity (DpSlots *slots, guint capacity);

void dp_slots_set_unscheduled (DpSlots *slots, guint n);
gboolean dp_slots_acquire (DpSlots *slots, DpTrafficClass class);
gboolean dp_slots_can_acquire (const DpSlots *slots, DpTrafficClass class);
void dp_slots_release (DpSlots *slots, DpTrafficClass class);
void dp_slots_request_started (DpSlots *slots, DpTrafficClass class, gint64 now);
void dp_slots_request_ended (DpSlots *slots,
                             DpTrafficClass class,
                             gint64 started_at,
                             gint64 end);
void dp_slots_request_abandoned (DpSlots *slots, DpTrafficClass class, gint64 started_at);

DpHandle dp_slots_enqueue (DpSlots *slots, DpHandle flow, DpTrafficClass class);
DpHandle dp_slots_enqueue_late (DpSlots *slots, DpHandle flow, DpTrafficClass class);
void dp_slots_cancel (DpSlots *slots, DpHandle ticket);
DpHandle dp_slots_acquire_next (DpSlots *slots, gint64 now);

gint64 dp_slots_expected_wait (const DpSlots *slots, DpTrafficClass class, gint64 now);
gint64
dp_slots_expected_late_wait (const DpSlots *slots, DpTrafficClass class, gint64 now);
void dp_slots_note_demand (DpSlots *slots, DpTrafficClass class, gint64 now);
gint64 dp_slots_saturated_time (const DpSlots *slots, DpTrafficClass class, gint64 now);
gboolean dp_slots_has_waiting (const DpSlots *slots, DpTrafficClass class);
guint dp_slots_busy (const DpSlots *slots);
guint dp_slots_waiting_in_time (const DpSlots *slots);
/* Returns the number of waiting flows that go before a new in-time flow of the class. */
guint dp_slots_ahead (const DpSlots *slots, DpTrafficClass class);
guint dp_slots_waiting (const DpSlots *slots, DpTrafficClass class);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (DpSlots, dp_slots_free)
