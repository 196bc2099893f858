#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controllers/registry.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

#define LEASE clk_s (3)
#define KEEP_GONE clk_s (30)

static struct registry *
new_mbr (uint32_t most)
{
  return registry_new (&(struct registry_opts){ .lease = LEASE,
                                                .keep_tombstones = KEEP_GONE,
                                                .epoch = 7,
                                                .members_max = most });
}

/* A renewal of node number N, which wants the service "stock".  */
static struct member_renew
renewal (uint32_t n, const char *service, uint64_t sequence)
{
  static char wanted[][MODEL_NAME_BYTES] = { "stock" };
  struct member_renew renew = { .services = wanted, .service_count = 1 };
  struct member_record *record = &renew.record;

  snprintf (record->instance, sizeof record->instance, "node%u", n);
  snprintf (record->address, sizeof record->address, "127.0.0.1:%u", n);
  snprintf (record->service, sizeof record->service, "%s", service);
  record->incarnation = 1;
  record->sequence = sequence;
  record->state = MEMBER_SERVING;
  return renew;
}

struct answer
{
  int error;
  struct member_renew_reply reply;
  uint32_t items;
  uint32_t gone;
};

/* Sends RENEW from a node that is at CHANGE; the items are only counted.  */
static struct answer
renew_at (struct registry *registry, struct member_renew renew,
          uint64_t change, clk_us now)
{
  struct answer answer = { 0 };

  renew.position.epoch = change > 0 ? 7 : 0;
  renew.position.change = change;
  answer.error = registry_renew (registry, &renew, &answer.reply, now);
  list_each (node, &answer.reply.items)
    {
      answer.items++;
      answer.gone += list_entry (node, struct member_item, node)->record.state
                     == MEMBER_TOMBSTONE;
    }
  member_free_items (&answer.reply.items);
  return answer;
}

static uint32_t
live (const struct registry *registry)
{
  struct list items;
  uint32_t count;

  list_init (&items);
  count = registry_list (registry, &items);
  member_free_items (&items);
  return count;
}

/* Guards against leases that end early or never, and against delayed
   renewals that bring an old record or a node that left back.  */
static void
test_leases (void)
{
  struct registry *registry = new_mbr (10);
  struct member_renew renew = renewal (1, "stock", 2);
  struct answer answer;

  CU_ASSERT_EQUAL (renew_at (registry, renew, 0, 0).error, SR_OK);
  CU_ASSERT_EQUAL (registry_expire (registry, LEASE - 1), 0);
  renew_at (registry, renewal (1, "stock", 1), 0, LEASE - 1);
  CU_ASSERT_EQUAL (registry_expire (registry, LEASE), 1);
  CU_ASSERT_EQUAL (live (registry), 0);
  renew_at (registry, renewal (1, "stock", 1), 0, LEASE);
  CU_ASSERT_EQUAL (live (registry), 0);
  renew_at (registry, renew, 0, LEASE);
  CU_ASSERT_EQUAL (live (registry), 1);
  renew.record.state = MEMBER_TOMBSTONE;
  answer = renew_at (registry, renew, 2, LEASE);
  CU_ASSERT (answer.items == 1 && answer.gone == 1);
  renew.record.state = MEMBER_SERVING;
  renew_at (registry, renew, 0, LEASE);
  CU_ASSERT_EQUAL (live (registry), 0);
  CU_ASSERT_EQUAL (registry_leave (registry, &renew.record, LEASE), SR_ENOENT);
  renew.record.incarnation = 2;
  renew.record.sequence = 0;
  renew_at (registry, renew, 0, LEASE);
  CU_ASSERT_EQUAL (live (registry), 1);
  registry_free (registry);
}

/* Guards against a second node under a name in use, and a name that stays
   blocked after its lease.  */
static void
test_name_taken (void)
{
  struct registry *registry = new_mbr (1);
  struct member_renew other = renewal (1, "stock", 9);
  struct answer answer;

  snprintf (other.record.address, sizeof other.record.address, "[::1]:2");
  renew_at (registry, renewal (1, "stock", 1), 0, 0);
  answer = renew_at (registry, other, 0, 1);
  CU_ASSERT_EQUAL (answer.error, SR_EEXIST);
  CU_ASSERT_EQUAL (answer.reply.status, MEMBER_NAME_TAKEN);
  CU_ASSERT_EQUAL (registry_leave (registry, &other.record, 1), SR_ENOENT);
  CU_ASSERT_EQUAL (renew_at (registry, renewal (2, "stock", 1), 0, 1).error,
                   SR_EFULL);
  CU_ASSERT_EQUAL (renew_at (registry, other, 0, LEASE).error, SR_OK);
  registry_free (registry);
}

/* Guards against nodes that miss a change: of a wanted service, of a control
   replica, of a server that left the wanted service, or because the tombstone
   was dropped; and against sending all of them everything.  */
static void
test_changes (void)
{
  struct registry *registry = new_mbr (10);
  struct member_renew asks = renewal (1, "", 1);
  struct member_renew control = renewal (2, "", 1);
  struct answer answer;
  uint64_t at;

  control.record.control_replica = true;
  renew_at (registry, renewal (3, "stock", 1), 0, 0);
  renew_at (registry, renewal (4, "orders", 1), 0, 0);
  renew_at (registry, control, 0, 0);
  answer = renew_at (registry, asks, 0, 0);
  CU_ASSERT (answer.reply.full && answer.items == 2);
  at = answer.reply.position.change;
  answer = renew_at (registry, asks, at, 0);
  CU_ASSERT (!answer.reply.full && answer.items == 0);
  CU_ASSERT_EQUAL (answer.reply.since.change, at);

  /* Node 3 moves twice, node 4 once, node 2 is no replica any more.  */
  renew_at (registry, renewal (3, "", 2), 0, 1);
  renew_at (registry, renewal (4, "reservations", 2), 0, 1);
  CU_ASSERT_EQUAL (renew_at (registry, asks, at, 1).items, 1);
  renew_at (registry, renewal (3, "orders", 3), 0, 1);
  renew_at (registry, renewal (2, "", 2), 0, 1);
  answer = renew_at (registry, asks, at, 1);
  CU_ASSERT_EQUAL (answer.items, 2);
  at = answer.reply.position.change;
  CU_ASSERT_EQUAL (renew_at (registry, asks, at, 1).items, 0);

  renew_at (registry, renewal (5, "stock", 1), 0, 2);
  at = renew_at (registry, asks, at, 2).reply.position.change;
  answer = renew_at (registry, asks, at, LEASE + 2);
  CU_ASSERT (answer.items == 1 && answer.gone == 1);
  answer = renew_at (registry, asks, at, LEASE + KEEP_GONE + 2);
  CU_ASSERT_TRUE (answer.reply.full);
  asks.position.epoch = 8;
  CU_ASSERT_EQUAL (registry_renew (registry, &asks, &answer.reply, clk_s (60)),
                   SR_OK);
  CU_ASSERT_TRUE (answer.reply.full);
  member_free_items (&answer.reply.items);
  registry_free (registry);
}

/* Guards against a replica that was suspended and ends the leases of all
   members before it reads their renewals.  */
static void
test_resume (void)
{
  struct registry *registry = new_mbr (10);

  renew_at (registry, renewal (1, "stock", 1), 0, 0);
  registry_resume (registry, 2 * LEASE);
  CU_ASSERT_EQUAL (registry_expire (registry, 3 * LEASE - 1), 0);
  CU_ASSERT_EQUAL (registry_expire (registry, 3 * LEASE), 1);
  registry_free (registry);
}

/* Checks how many members are behind NUMBER, and the first of them.  */
static void
check_behind (const struct registry *registry, uint64_t number, uint32_t count,
              const char *first)
{
  struct list items;

  list_init (&items);
  CU_ASSERT_EQUAL (registry_list_behind (registry, number, &items), count);
  CU_ASSERT_EQUAL (list_empty (&items), first == NULL);
  if (first != NULL)
    CU_ASSERT_STRING_EQUAL (
        list_entry (list_first (&items), struct member_item, node)
            ->record.instance,
        first);
  member_free_items (&items);
}

/* Guards against "apply --wait" that returns before all live members have the
   version, or names others than those that are behind.  */
static void
test_behind (void)
{
  struct registry *registry = new_mbr (10);
  struct member_renew renew = renewal (1, "stock", 1);

  renew_at (registry, renewal (2, "stock", 1), 0, 0);
  renew.config_version.number = 5;
  renew_at (registry, renew, 0, 1);
  check_behind (registry, 5, 1, "node2");
  check_behind (registry, 6, 2, "node2");
  registry_expire (registry, LEASE);
  check_behind (registry, 5, 0, NULL);
  registry_free (registry);
}

/* Each of COUNT members renews once from its own position in AT; returns the
   mean time in nanoseconds.  Members are in services of ten.  */
static double
measure_round (struct registry *registry, uint32_t count, uint64_t sequence,
               uint64_t *at, clk_us now)
{
  clk_us start = clk_now ();

  for (uint32_t n = 0; n < count; n++)
    {
      struct member_renew renew = renewal (n, n < 10 ? "stock" : "", sequence);

      if (n >= 10)
        snprintf (renew.record.service, MODEL_NAME_BYTES, "service%u", n / 10);
      at[n] = renew_at (registry, renew, at[n], now).reply.position.change;
    }
  return 1000.0 * (double)(clk_now () - start) / count;
}

/* Prints time and memory: renewals without a change, then with a change of
   every record within the second, then the first renewal after a restart of
   the replica.  */
static void
measure (uint32_t count)
{
  uint64_t *at = calloc (count, sizeof *at);
  size_t before = mallinfo2 ().uordblks;
  struct registry *registry = new_mbr (count);
  double still = 0;

  measure_round (registry, count, 1, at, 0);
  printf ("members=%u bytes_per_member=%zu", count,
          (mallinfo2 ().uordblks - before) / count);
  measure_round (registry, count, 1, at, 1);
  for (int i = 0; i < 10; i++)
    still += measure_round (registry, count, 1, at, 2) / 10;
  printf (" renewal_ns=%.0f all_changed_ns=%.0f", still,
          measure_round (registry, count, 2, at, 3));
  memset (at, 0, count * sizeof *at);
  printf (" whole_ns=%.0f\n", measure_round (registry, count, 2, at, 4));
  registry_free (registry);
  free (at);
}

int
main (int argc, char **argv)
{
  static const struct suite_test tests[]
      = { { "leases", test_leases },   { "name taken", test_name_taken },
          { "changes", test_changes }, { "resume", test_resume },
          { "behind", test_behind },   { NULL, NULL } };
  static const uint32_t sizes[] = { 100, 300, 1100, 3300 };

  if (argc > 1 && strcmp (argv[1], "measure") == 0)
    {
      for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
        measure (sizes[i]);
      return 0;
    }
  return suite_run ("mbr", tests);
}
