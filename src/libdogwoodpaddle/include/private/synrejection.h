/* Rejection of SYNs in passthrough mode. A member that can't take a SYN doesn't know
 * whether another member has taken another copy of it. It passes the SYN, marked as
 * rejected, to the members that keep the flow's directory entry, one after the other.
 * Each passes the SYN on to the flow's owner if it knows one; else the last one answers
 * it with a reset. */
#pragma once

#include "protected/flowdirectory.h"
#include "protected/passthrough.h"

/* The member that decides. candidates may be NULL: no other member is known yet. */
typedef struct
{
  guint32 id;
  DpAddress address; /* packet port */
  gint64 created_at; /* us */
  const DpCandidates *candidates;
  DpFlowDirectory *directory;
} DpSynRejecter;

/* Rejects a SYN that this member can't take. */
DpPassthroughDecision dp_syn_rejection_start (const DpSynRejecter *rejecter,
                                              const DpSegment *syn,
                                              const DpHop *hop,
                                              DpPassthroughReason reason,
                                              gint64 now);
/* Decides about a SYN that another member has rejected and whose flow is not known here.
 */
DpPassthroughDecision dp_syn_rejection_confirm (const DpSynRejecter *rejecter,
                                                const DpSegment *syn,
                                                const DpHop *hop,
                                                gint64 now);
