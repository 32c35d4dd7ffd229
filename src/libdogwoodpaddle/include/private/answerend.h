/* Tells the end of a server's answer on a flow that stays open, without reading what the
 * flow carries.
 *
 * Load pattern: many requests with pauses on one long-lived flow. Without the end of the
 * answer, a flow occupies its slot until it has been silent for some time, which is
 * several times the work of a short request. */
#pragma once

#include <glib.h>

/* Starts as all zero. */
typedef struct
{
  double n_partial;   /* partial packets, each weighing less than the one after it */
  double n_continued; /* those of them after which the answer went on, likewise */
} DpAnswerEnd;

/* Records a packet with the newest data of an answer that is shorter than a packet can
 * be. Returns whether it counts as the end of the answer. */
gboolean dp_answer_end_note_partial (DpAnswerEnd *end);
/* Records that an answer went on after a partial packet. */
void dp_answer_end_note_continued (DpAnswerEnd *end);
