/* Datagrams from outside: data header, then IP packet, then the companion's decision. */
#include <stddef.h>
#include <stdint.h>

#include "protected/acceptance.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static DpAcceptance *
make_acceptance (void)
{
  static DpAcceptance *acceptance;
  const DpServiceAddress address = { { 0x0a4d0001, 80 },
                                     DP_CLASS_INTERACTIVE,
                                     2 * G_USEC_PER_SEC };
  const DpAcceptanceLimits limits = { .slots = 4,
                                      .connections = 100,
                                      .visits = 4,
                                      .idle_timeout = 10 * G_USEC_PER_SEC,
                                      .progress_timeout = 5 * G_USEC_PER_SEC,
                                      .settle_time = 5 * G_USEC_PER_SEC };
  DpMember members[3] = { { 0 } };
  DpView *view;

  if (acceptance != NULL)
    return acceptance;
  for (guint i = 0; i < G_N_ELEMENTS (members); i++)
    {
      members[i].name = (char *[]){ "a", "b", "c" }[i];
      members[i].zone = (char *[]){ "x", "y", "z" }[i];
      members[i].id = dp_member_id (members[i].name);
      members[i].address = (DpAddress){ 0x7f010101 + i, 7000 };
      members[i].slots = 4;
      members[i].connections = 100;
      members[i].state = DP_MEMBER_ACTIVE;
    }
  view = dp_view_new ("s", 1, members, G_N_ELEMENTS (members));
  acceptance = dp_acceptance_new ("s", members[0].id);
  dp_acceptance_set_limits (acceptance, &limits);
  dp_acceptance_set_addresses (acceptance, &address, 1);
  dp_acceptance_set_view (acceptance, view, 0);
  dp_acceptance_set_connected (acceptance, TRUE, 0);
  dp_acceptance_set_server_up (acceptance, TRUE, 0);
  dp_view_unref (view);
  return acceptance;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static gint64 now;
  DpAcceptance *acceptance = make_acceptance ();
  DpActions actions;
  DpHeader header;
  DpSegment segment;
  gsize length;

  now += 10000;
  if (dp_segment_parse (data, size, &segment, NULL))
    {
      guint8 reset[DP_PACKET_MAX];

      dp_segment_make_reset (&segment, reset);
    }
  if (!dp_header_decode (&header, data, size, &length, NULL)
      || !dp_segment_parse (data + length, size - length, &segment, NULL))
    return 0;
  /* Half of the packets are for the companion's own service, to get past that check. */
  if (size % 2 == 0)
    {
      header.service_id = dp_service_id ("s");
      segment.key.service = (DpAddress){ 0x0a4d0001, 80 };
      segment.hash = dp_flow_key_hash (&segment.key);
    }
  dp_actions_init (&actions);
  dp_acceptance_packet (acceptance, &header, &segment, now, &actions);
  dp_acceptance_tick (acceptance, now, &actions);
  dp_actions_finish (&actions);
  return 0;
}
