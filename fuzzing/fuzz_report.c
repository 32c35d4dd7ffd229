/* Fuzzes the decoder for the load reports, policies and member lists of passthrough mode,
 * which may come from any sender. Decoded reports are applied to a balancer's placement
 * and must encode again; decoded lists are applied to a companion's members. */
#include <stddef.h>
#include <stdint.h>

#include "protected/passthroughmembers.h"
#include "protected/placement.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  guint8 buffer[DP_REPORT_MAX];
  DpReportMessage message;

  if (dp_report_decode (&message, data, size) && message.type == DP_REPORT_LOAD)
    {
      g_autoptr (DpPlacement) placement = dp_placement_new ("riga-a");

      dp_placement_apply_report (placement, &message.report, 0);
      dp_placement_expire (placement, 2 * G_USEC_PER_SEC);
      dp_placement_apply_report (placement, &message.report, 3 * G_USEC_PER_SEC);
      dp_placement_choose (placement, dp_service_id (message.report.service),
                           DP_TRAFFIC_URGENT, 7, 3 * G_USEC_PER_SEC);
      if (dp_report_encode (&message.report, buffer) == 0)
        g_error ("a decoded report can't be encoded");
    }
  else if (message.type == DP_REPORT_OWNER_QUERY)
    {
      if (dp_owner_query_encode (&message.query, message.service, buffer) == 0)
        g_error ("a decoded query can't be encoded");
    }
  else if (message.type == DP_REPORT_OWNER_ANSWER)
    {
      if (dp_owner_answer_encode (&message.answer, message.service, buffer) == 0)
        g_error ("a decoded answer can't be encoded");
    }
  else if (message.type == DP_REPORT_POLICY)
    {
      g_autoptr (DpEvacuations) evacuations = dp_evacuations_new ();

      for (guint i = 0; i < message.policy.entries->len; i++)
        dp_evacuations_apply (
            evacuations, &g_array_index (message.policy.entries, DpEvacuationEntry, i),
            DP_EVACUATION_FROM_PEER, 0);
      dp_evacuations_set_complete (evacuations, 100, DP_EVACUATION_FROM_LIST, 0);
      dp_evacuations_tick (evacuations, 20 * G_USEC_PER_SEC);
      if (dp_policy_encode (&message.policy, buffer) == 0)
        g_error ("a decoded policy can't be encoded");
    }
  else if (message.type == DP_REPORT_MEMBERS)
    {
      g_autoptr (DpPassthroughMembers) members = dp_passthrough_members_new ("darbnica");
      g_autoptr (DpMemberView)
          view = dp_passthrough_members_update (members, &message.list, 0);
      g_autoptr (DpCandidates) candidates = view == NULL ? NULL
                                                         : dp_candidates_new (view);

      if (candidates != NULL && view->n_members > 0)
        dp_candidates_after (candidates, 7, DP_CANDIDATES_ALL, view->members[0].id);
    }
  dp_report_message_clear (&message);
  return 0;
}
