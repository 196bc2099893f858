#include "tasks/peer_link.h"
#include "tests/suite.h"

#define ANSWER_TIMEOUT_US clk_ms (700)

static const struct peer_link_opts opts
    = { .lost_after = PEER_LINK_LOST_US,
        .answer_timeout = ANSWER_TIMEOUT_US,
        .answer_timeout_max = 2 * ANSWER_TIMEOUT_US,
        .slow_timeout_max = 16 * ANSWER_TIMEOUT_US };

/* Guards against a silent connection that is kept while streams wait for it,
   and against an idle connection that is reported as lost.  */
static void
test_silent_connection_is_lost (void)
{
  struct peer_link link;

  peer_link_init (&link, &opts, 0);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60)), PEER_LINK_IDLE);
  peer_link_add_stream (&link, 1, clk_s (60));
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60) + PEER_LINK_PING_US),
                   PEER_LINK_PING);
  link.last_ping = clk_s (60) + PEER_LINK_PING_US;
  CU_ASSERT_EQUAL (peer_link_check (&link, link.last_ping + 1),
                   PEER_LINK_IDLE);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60) + PEER_LINK_LOST_US),
                   PEER_LINK_LOST);
  peer_link_receive (&link, true, clk_s (60) + PEER_LINK_LOST_US);
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

  peer_link_init (&link, &opts, 0);
  peer_link_add_stream (&link, 1, 0);
  peer_link_receive (&link, true, PEER_LINK_KEEPALIVE_US);
  CU_ASSERT_EQUAL (peer_link_check (&link, PEER_LINK_KEEPALIVE_US),
                   PEER_LINK_PING);
  peer_link_clear (&link);
}

/* Guards against a connection without streams that is silent for good and is
   kept although the node owes an answer, and against one that is given up
   although the node answers.  */
static void
test_missing_answer_is_lost (void)
{
  struct peer_link link;

  peer_link_init (&link, &opts, 0);
  peer_link_expect_answer (&link, clk_s (5));
  peer_link_expect_answer (&link, clk_s (5) + PEER_LINK_PING_US - 1);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (5) + PEER_LINK_PING_US - 1),
                   PEER_LINK_IDLE);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (5) + PEER_LINK_PING_US),
                   PEER_LINK_PING);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (5) + ANSWER_TIMEOUT_US),
                   PEER_LINK_LOST);
  CU_ASSERT_EQUAL (peer_link_silence (&link, clk_s (5) + ANSWER_TIMEOUT_US),
                   ANSWER_TIMEOUT_US);
  peer_link_receive (&link, false, clk_s (5) + ANSWER_TIMEOUT_US);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (5) + ANSWER_TIMEOUT_US),
                   PEER_LINK_LOST);
  peer_link_receive (&link, true, clk_s (5) + ANSWER_TIMEOUT_US);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60)), PEER_LINK_IDLE);
  CU_ASSERT_EQUAL (peer_link_silence (&link, clk_s (60)), 0);
}

/* Guards against a node that is suspended and is flooded with connections, and
   against one that is not tried again soon after it has answered.  */
static void
test_losses_extend_the_timeout (void)
{
  struct peer_link link;
  clk_us now = clk_s (5);

  peer_link_init (&link, &opts, 0);
  for (uint32_t loss = 0; loss < 40; loss++)
    {
      clk_us timeout = loss == 0 ? ANSWER_TIMEOUT_US : opts.answer_timeout_max;

      peer_link_expect_answer (&link, now);
      CU_ASSERT_NOT_EQUAL (peer_link_check (&link, now + timeout - 1),
                           PEER_LINK_LOST);
      now += timeout;
      CU_ASSERT_EQUAL (peer_link_check (&link, now), PEER_LINK_LOST);
      peer_link_lose (&link, now);
      CU_ASSERT_EQUAL (peer_link_check (&link, now + clk_s (60)),
                       PEER_LINK_IDLE);
    }
  peer_link_receive (&link, true, now);
  peer_link_expect_answer (&link, now);
  CU_ASSERT_EQUAL (peer_link_check (&link, now + ANSWER_TIMEOUT_US),
                   PEER_LINK_LOST);
}

/* Guards against a long message on a slow link that is begun again for good,
   because its connection is replaced before it has arrived.  */
static void
test_slow_link_gets_time (void)
{
  struct peer_link link;
  clk_us now = clk_s (5);

  peer_link_init (&link, &opts, 0);
  for (clk_us timeout = ANSWER_TIMEOUT_US; timeout < opts.slow_timeout_max;
       timeout *= 2)
    {
      link.connected = true;
      peer_link_expect_answer (&link, now);
      CU_ASSERT_NOT_EQUAL (peer_link_check (&link, now + timeout - 1),
                           PEER_LINK_LOST);
      now += timeout;
      CU_ASSERT_EQUAL (peer_link_check (&link, now), PEER_LINK_LOST);
      peer_link_lose (&link, now);
    }
  /* A node that cannot be reached is tried as often as before.  */
  peer_link_expect_answer (&link, now);
  CU_ASSERT_EQUAL (peer_link_check (&link, now + opts.answer_timeout_max),
                   PEER_LINK_LOST);
  peer_link_lose (&link, now);
  link.connected = true;
  peer_link_expect_answer (&link, now);
  CU_ASSERT_EQUAL (peer_link_check (&link, now + 2 * ANSWER_TIMEOUT_US),
                   PEER_LINK_LOST);
}

/* Guards against connections that are replaced because this process was
   suspended, before it has read the answers that came meanwhile.  */
static void
test_resume_restarts_the_wait (void)
{
  struct peer_link link;

  peer_link_init (&link, &opts, 0);
  peer_link_resume (&link, clk_s (4));
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (60)), PEER_LINK_IDLE);
  peer_link_expect_answer (&link, clk_s (5));
  peer_link_resume (&link, clk_s (9));
  /* A process that is always slow still notices a loss.  */
  peer_link_resume (&link, clk_s (9) + 1);
  CU_ASSERT_NOT_EQUAL (
      peer_link_check (&link, clk_s (9) + ANSWER_TIMEOUT_US - 1),
      PEER_LINK_LOST);
  CU_ASSERT_EQUAL (peer_link_check (&link, clk_s (9) + ANSWER_TIMEOUT_US),
                   PEER_LINK_LOST);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "silent connection is lost", test_silent_connection_is_lost },
          { "keepalive while only receiving", test_keepalive_while_receiving },
          { "missing answer is lost", test_missing_answer_is_lost },
          { "losses extend the timeout", test_losses_extend_the_timeout },
          { "slow link gets time", test_slow_link_gets_time },
          { "resume restarts the wait", test_resume_restarts_the_wait },
          { NULL, NULL } };

  return suite_run ("peer_link", tests);
}
