#include "tasks/peer_link.h"
#include "tests/suite.h"

/* Guards against a silent connection that is kept while streams wait for it,
   and against an idle connection that is reported as lost.  */
static void
test_silent_connection_is_lost (void)
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

/* Guards against the other node reporting this one as lost, because this one
   only receives and sends nothing, not even a ping.  */
static void
test_keepalive_while_receiving (void)
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
  static const struct suite_test tests[]
      = { { "silent connection is lost", test_silent_connection_is_lost },
          { "keepalive while only receiving", test_keepalive_while_receiving },
          { NULL, NULL } };

  return suite_run ("peer_link", tests);
}
