#include "private/answerend.h"

/* Weight that the earlier packets keep with each new one: the counts cover about the last
 * 64 partial packets. */
#define DECAY (1.0 - 1.0 / 64)
/* Share of the partial packets after which answers may go on. A server above it writes
 * its answers in pieces, and only silence shows their end. */
#define CONTINUED_SHARE_MAX 0.1
/* Answers that may go on before the share counts, so that a single one doesn't decide. */
#define CONTINUED_MIN 2.0

gboolean
dp_answer_end_note_partial (DpAnswerEnd *end)
{
  end->n_partial = end->n_partial * DECAY + 1;
  end->n_continued *= DECAY;
  return end->n_continued < CONTINUED_MIN
         || end->n_continued <= CONTINUED_SHARE_MAX * end->n_partial;
}

void
dp_answer_end_note_continued (DpAnswerEnd *end)
{
  end->n_continued += 1;
}
