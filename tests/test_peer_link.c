#include "tasks/peer_link.h"
#include "tests/suite.h"

/* Guards against a connection that went silent being kept while requests
   wait on it, and against blaming one that is idle.  */
static void
test_silence (void)
{
  struct peer_link link;

  peer_link_init (&link, PEER_LINK_LOST_US, 0);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60)), PEER_LINK_IDLE);
  peer_link_add_stream (&link, 1, clk_s (60));
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60) + PEER_LINK_PING_US),
                   PEER_LINK_PING);
  link.last_ping = clk_s (60) + PEER_LINK_PING_US;
  CU_ASSERT_EQUAL (peer_link_check (&link, link.last_ping + 1),
                   PEER_LINK_IDLE);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60) + PEER_LINK_LOST_US),
                   PEER_LINK_LOST);
  link.last_received = clk_s (60) + PEER_LINK_LOST_US;
  CU_ASSERT_NOT_EQUAL (peer_link_check (&link, clk_s (60) + PEER_LINK_LOST_US),
                       PEER_LINK_LOST);
  peer_link_remove_stream (&link, 1);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (90)), PEER_LINK_IDLE);
  peer_link_clear (&link);
}

/* Guards against the other side taking this one for lost, because this one
   hears a lot and has nothing to send.  */
static void
test_keepalive (void)
{
  struct peer_link link;

  peer_link_init (&link, PEER_LINK_LOST_US, 0);
  peer_link_add_stream (&link, 1, 0);
  link.last_received = PEER_LINK_KEEPALIVE_US;
  CU_ASSERT_EQUAL (peer_link_check (&link, PEER_LINK_KEEPALIVE_US),
                   PEER_LINK_PING);
  peer_link_clear (&link);
}

int
main (void)
{
  static const struct suite_test tests[] = { { "silence", test_silence },
                                             { "keepalive", test_keepalive },
                                             { NULL, NULL } };

  return suite_run ("peer_link", tests);
}
