#include <string.h>

#include "core/err.h"
#include "log/boot.h"
#include "tests/suite.h"

static const char *const addresses[]
    = { "10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70" };

/* Replica OWN of the three, with id 100 + OWN.  */
static struct boot *
make (uint32_t own)
{
  struct boot_opts opts = { .id = 100 + own, .join_count = 3 };

  strcpy (opts.address, addresses[own]);
  for (uint32_t i = 0; i < 3; i++)
    strcpy (opts.join[i], addresses[2 - i]);
  return boot_new (&opts);
}

static void
reply (struct boot *boot, uint32_t peer, bool belongs, uint64_t digest,
       clk_us now)
{
  struct raft_msg *msg = raft_msg_new (RAFT_HELLO_REPLY);

  msg->from = 100 + peer;
  msg->term = 4;
  msg->u.hello_reply.in_group = belongs;
  msg->u.hello_reply.peers_digest = digest;
  boot_handle_reply (boot, addresses[peer], msg, now);
  raft_msg_free (msg);
}

/* Takes all steps at NOW; returns the number of hellos, and the creation in
   CREATE when there is one.  */
static uint32_t
run (struct boot *boot, bool empty, clk_us now, struct boot_create *create)
{
  struct boot_step step;
  uint32_t hellos = 0;

  create->members.count = 0;
  for (;;)
    {
      boot_next_step (boot, empty, now, &step);
      if (step.kind == BOOT_WAIT)
        return hellos;
      if (step.kind == BOOT_CREATE)
        *create = step.u.create;
      if (step.kind == BOOT_HELLO)
        hellos++;
    }
}

/* Guards against a group without all listed replicas, and against a term that
   a peer has already used.  */
static void
test_lowest_creates (void)
{
  struct boot *boot = make (0);
  struct boot_create create;

  CU_ASSERT_EQUAL (run (boot, true, 0, &create), 2);
  reply (boot, 1, false, boot_peers_digest (boot), 10);
  run (boot, true, 10, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  reply (boot, 2, false, boot_peers_digest (boot), 20);
  run (boot, true, 20, &create);
  CU_ASSERT_EQUAL_FATAL (create.members.count, 3);
  CU_ASSERT_EQUAL (create.term, 5);
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (create.members.list[i].id, 100 + i);
      CU_ASSERT_STRING_EQUAL (create.members.list[i].address, addresses[i]);
      CU_ASSERT_FALSE (create.members.list[i].learner);
    }
  run (boot, true, 30, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  boot_free (boot);
}

/* Guards against two groups: one by each of two replicas, one beside an
   existing group, one by a replica that has a log, one where the replicas do
   not list each other, and one from answers that are out of date.  */
static void
test_no_second_group (void)
{
  struct boot_create create;
  struct boot *boot = make (1);

  reply (boot, 0, false, boot_peers_digest (boot), 0);
  reply (boot, 2, false, boot_peers_digest (boot), 0);
  run (boot, true, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  boot_free (boot);

  boot = make (0);
  reply (boot, 1, true, boot_peers_digest (boot), 0);
  reply (boot, 2, false, boot_peers_digest (boot), 0);
  run (boot, true, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  reply (boot, 1, false, boot_peers_digest (boot), 0);
  run (boot, false, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  reply (boot, 2, false, boot_peers_digest (boot) + 1, 0);
  run (boot, true, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  reply (boot, 2, false, boot_peers_digest (boot), 0);
  run (boot, true, clk_ms (BOOT_REPLY_AGE_MAX_MS) + 1, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  boot_free (boot);
}

/* Guards against replicas that list the same addresses in another order, or
   without their own, and do not agree on the set.  */
static void
test_digest (void)
{
  struct boot *first = make (0);
  struct boot *second = make (1);
  struct boot_opts opts = { .id = 9, .join_count = 2 };
  struct boot *third;

  strcpy (opts.address, addresses[2]);
  strcpy (opts.join[0], addresses[1]);
  strcpy (opts.join[1], addresses[0]);
  third = boot_new (&opts);
  CU_ASSERT_EQUAL (boot_peers_digest (first), boot_peers_digest (second));
  CU_ASSERT_EQUAL (boot_peers_digest (first), boot_peers_digest (third));
  boot_free (third);
  opts.join_count = 1;
  third = boot_new (&opts);
  CU_ASSERT_NOT_EQUAL (boot_peers_digest (first), boot_peers_digest (third));
  boot_free (first);
  boot_free (second);
  boot_free (third);
}

/* Guards against a flood of hellos, and against a leader that is not listed
   in --join and is never asked.  */
static void
test_hello (void)
{
  struct boot *boot = make (0);
  struct raft_msg *msg = raft_msg_new (RAFT_HELLO_REPLY);
  struct boot_create create;

  CU_ASSERT_EQUAL (run (boot, true, 0, &create), 2);
  CU_ASSERT_EQUAL (
      run (boot, true, clk_ms (BOOT_HELLO_INTERVAL_MS) - 1, &create), 0);
  CU_ASSERT_EQUAL (run (boot, true, clk_ms (BOOT_HELLO_INTERVAL_MS), &create),
                   2);
  msg->u.hello_reply.in_group = true;
  strcpy (msg->u.hello_reply.leader_address, "10.0.0.9:70");
  boot_handle_reply (boot, addresses[1], msg, 0);
  raft_msg_free (msg);
  CU_ASSERT_EQUAL (run (boot, true, clk_s (1), &create), 3);
  boot_free (boot);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "lowest creates", test_lowest_creates },
          { "no second group", test_no_second_group },
          { "digest", test_digest },
          { "hello", test_hello },
          { NULL, NULL } };

  return suite_run ("boot", tests);
}
