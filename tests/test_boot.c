#include <string.h>

#include "core/err.h"
#include "log/boot.h"
#include "tests/suite.h"

static const char *const addresses[]
    = { "10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70" };

/* Returns the boot state of replica REPLICA of three; its id is 100 +
   REPLICA.  */
static struct boot *
new_boot (uint32_t replica)
{
  struct boot_opts opts = { .id = 100 + replica, .join_count = 3 };

  strcpy (opts.address, addresses[replica]);
  for (uint32_t i = 0; i < 3; i++)
    strcpy (opts.join[i], addresses[2 - i]);
  return boot_new (&opts);
}

static void
handle_hello_reply (struct boot *boot, uint32_t peer, bool in_group,
                    uint64_t peers_digest, clk_us now)
{
  struct raft_msg *msg = raft_msg_new (RAFT_HELLO_REPLY);

  msg->from = 100 + peer;
  msg->term = 4;
  msg->u.hello_reply.in_group = in_group;
  msg->u.hello_reply.peers_digest = peers_digest;
  boot_handle_reply (boot, addresses[peer], msg, now);
  raft_msg_free (msg);
}

/* Runs all steps that are due at NOW and returns the number of hellos.
   CREATE gets the group to create, without members if there is none.  */
static uint32_t
run_steps (struct boot *boot, bool empty, clk_us now,
           struct boot_create *create)
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

/* Guards against a group that lacks listed replicas because it is created
   before all of them have replied, and against a first term that a peer has
   already used.  */
static void
test_lowest_address_creates_group (void)
{
  struct boot *boot = new_boot (0);
  struct boot_create create;

  CU_ASSERT_EQUAL (run_steps (boot, true, 0, &create), 2);
  handle_hello_reply (boot, 1, false, boot_peers_digest (boot), 10);
  run_steps (boot, true, 10, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  handle_hello_reply (boot, 2, false, boot_peers_digest (boot), 20);
  run_steps (boot, true, 20, &create);
  CU_ASSERT_EQUAL_FATAL (create.members.count, 3);
  CU_ASSERT_EQUAL (create.term, 5);
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (create.members.list[i].id, 100 + i);
      CU_ASSERT_STRING_EQUAL (create.members.list[i].address, addresses[i]);
      CU_ASSERT_FALSE (create.members.list[i].learner);
    }
  run_steps (boot, true, 30, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  boot_free (boot);
}

/* Guards against a second group.  It comes about when a replica creates one
   although its address is not the lowest, a peer is in a group, its own log
   has entries, a peer lists other addresses, or a reply is out of date.  */
static void
test_no_second_group (void)
{
  struct boot_create create;
  struct boot *boot = new_boot (1);

  handle_hello_reply (boot, 0, false, boot_peers_digest (boot), 0);
  handle_hello_reply (boot, 2, false, boot_peers_digest (boot), 0);
  run_steps (boot, true, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  boot_free (boot);

  boot = new_boot (0);
  handle_hello_reply (boot, 1, true, boot_peers_digest (boot), 0);
  handle_hello_reply (boot, 2, false, boot_peers_digest (boot), 0);
  run_steps (boot, true, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  handle_hello_reply (boot, 1, false, boot_peers_digest (boot), 0);
  run_steps (boot, false, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  handle_hello_reply (boot, 2, false, boot_peers_digest (boot) + 1, 0);
  run_steps (boot, true, 0, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  handle_hello_reply (boot, 2, false, boot_peers_digest (boot), 0);
  run_steps (boot, true, clk_ms (BOOT_REPLY_AGE_MAX_MS) + 1, &create);
  CU_ASSERT_EQUAL (create.members.count, 0);
  boot_free (boot);
}

/* Guards against a group that is never created, because replicas that list the
   same addresses in another order, or without their own, compute different
   digests.  */
static void
test_peers_digest (void)
{
  struct boot *first = new_boot (0);
  struct boot *second = new_boot (1);
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

/* Guards against hellos that are sent more often than the interval, and
   against a leader that gets none because only a reply names its address and
   --join does not.  */
static void
test_hello_interval (void)
{
  struct boot *boot = new_boot (0);
  struct raft_msg *msg = raft_msg_new (RAFT_HELLO_REPLY);
  struct boot_create create;

  CU_ASSERT_EQUAL (run_steps (boot, true, 0, &create), 2);
  CU_ASSERT_EQUAL (
      run_steps (boot, true, clk_ms (BOOT_HELLO_INTERVAL_MS) - 1, &create), 0);
  CU_ASSERT_EQUAL (
      run_steps (boot, true, clk_ms (BOOT_HELLO_INTERVAL_MS), &create), 2);
  msg->u.hello_reply.in_group = true;
  strcpy (msg->u.hello_reply.leader_address, "10.0.0.9:70");
  boot_handle_reply (boot, addresses[1], msg, 0);
  raft_msg_free (msg);
  CU_ASSERT_EQUAL (run_steps (boot, true, clk_s (1), &create), 3);
  boot_free (boot);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "lowest address creates the group",
            test_lowest_address_creates_group },
          { "no second group", test_no_second_group },
          { "digest of the same peers is equal", test_peers_digest },
          { "hello interval and unlisted leader", test_hello_interval },
          { NULL, NULL } };

  return suite_run ("boot", tests);
}
