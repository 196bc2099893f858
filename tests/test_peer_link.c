#include "tasks/peer_link.h"
#include "tests/suite.h"

/* Guards against a connection that went silent being kept while requests
   wait on it, and against blaming one that is idle.  */
static void
test_silence (void)
{
  struct plk link;

  plk_init (&link, PLK_LOST_US, 0);
  CU_ASSERT_EQUAL (plk_check (&link, clk_s (60)), PLK_IDLE);
  plk_open (&link, 1, clk_s (60));
  CU_ASSERT_EQUAL (plk_check (&link, clk_s (60) + PLK_PING_US), PLK_PING);
  link.pinged = clk_s (60) + PLK_PING_US;
  CU_ASSERT_EQUAL (plk_check (&link, link.pinged + 1), PLK_IDLE);
  CU_ASSERT_EQUAL (plk_check (&link, clk_s (60) + PLK_LOST_US), PLK_LOST);
  link.heard = clk_s (60) + PLK_LOST_US;
  CU_ASSERT_NOT_EQUAL (plk_check (&link, clk_s (60) + PLK_LOST_US), PLK_LOST);
  plk_close (&link, 1);
  CU_ASSERT_EQUAL (plk_check (&link, clk_s (90)), PLK_IDLE);
  plk_clear (&link);
}

/* Guards against the other side taking this one for lost, because this one
   hears a lot and has nothing to send.  */
static void
test_keepalive (void)
{
  struct plk link;

  plk_init (&link, PLK_LOST_US, 0);
  plk_open (&link, 1, 0);
  link.heard = PLK_KEEPALIVE_US;
  CU_ASSERT_EQUAL (plk_check (&link, PLK_KEEPALIVE_US), PLK_PING);
  plk_clear (&link);
}

int
main (void)
{
  static const struct suite_test tests[] = { { "silence", test_silence },
                                             { "keepalive", test_keepalive },
                                             { NULL, NULL } };

  return suite_run ("peer_link", tests);
}
