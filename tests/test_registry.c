#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controllers/registry.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

#define LEASE clk_s (3)
#define TOMBSTONE_RETENTION clk_s (30)

static struct registry *
new_registry (uint32_t members_max)
{
  return registry_new (
      &(struct registry_opts){ .lease = LEASE,
                               .tombstone_retention = TOMBSTONE_RETENTION,
                               .epoch = 7,
                               .members_max = members_max });
}

/* Makes a renewal of node number N, which wants the service "stock".  */
static struct member_renew
make_renewal (uint32_t n, const char *service, uint64_t sequence)
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

struct renew_result
{
  int error;
  struct member_renew_reply reply;
  uint32_t item_count;
  uint32_t tombstone_count;
};

/* Applies RENEW of a node that has the changes up to CHANGE; counts the items
   of the reply.  */
static struct renew_result
send_renewal (struct registry *registry, struct member_renew renew,
              uint64_t change, clk_us now)
{
  struct renew_result result = { 0 };

  renew.position.epoch = change > 0 ? 7 : 0;
  renew.position.change = change;
  result.error = registry_renew (registry, &renew, &result.reply, now);
  list_each (node, &result.reply.items)
    {
      result.item_count++;
      result.tombstone_count
          += list_entry (node, struct member_item, node)->record.state
             == MEMBER_TOMBSTONE;
    }
  member_free_items (&result.reply.items);
  return result;
}

static uint32_t
live_count (const struct registry *registry)
{
  struct list items;
  uint32_t count;

  list_init (&items);
  count = registry_list (registry, &items);
  member_free_items (&items);
  return count;
}

/* A lease must end after its time and not before.  A delayed renewal must
   neither replace a newer record nor register a node again that has left
   since.  */
static void
test_leases (void)
{
  struct registry *registry = new_registry (10);
  struct member_renew renew = make_renewal (1, "stock", 2);
  struct renew_result result;

  CU_ASSERT_EQUAL (send_renewal (registry, renew, 0, 0).error, SR_OK);
  CU_ASSERT_EQUAL (registry_expire (registry, LEASE - 1), 0);
  send_renewal (registry, make_renewal (1, "stock", 1), 0, LEASE - 1);
  CU_ASSERT_EQUAL (registry_expire (registry, LEASE), 1);
  CU_ASSERT_EQUAL (live_count (registry), 0);
  send_renewal (registry, make_renewal (1, "stock", 1), 0, LEASE);
  CU_ASSERT_EQUAL (live_count (registry), 0);
  send_renewal (registry, renew, 0, LEASE);
  CU_ASSERT_EQUAL (live_count (registry), 1);
  renew.record.state = MEMBER_TOMBSTONE;
  result = send_renewal (registry, renew, 2, LEASE);
  CU_ASSERT (result.item_count == 1 && result.tombstone_count == 1);
  renew.record.state = MEMBER_SERVING;
  send_renewal (registry, renew, 0, LEASE);
  CU_ASSERT_EQUAL (live_count (registry), 0);
  CU_ASSERT_EQUAL (registry_leave (registry, &renew.record, LEASE), SR_ENOENT);
  renew.record.incarnation = 2;
  renew.record.sequence = 0;
  send_renewal (registry, renew, 0, LEASE);
  CU_ASSERT_EQUAL (live_count (registry), 1);
  registry_free (registry);
}

/* A second node must not register under a name in use.  The name must be free
   again after the lease has ended.  */
static void
test_name_in_use (void)
{
  struct registry *registry = new_registry (1);
  struct member_renew other = make_renewal (1, "stock", 9);
  struct renew_result result;

  snprintf (other.record.address, sizeof other.record.address, "[::1]:2");
  send_renewal (registry, make_renewal (1, "stock", 1), 0, 0);
  result = send_renewal (registry, other, 0, 1);
  CU_ASSERT_EQUAL (result.error, SR_EEXIST);
  CU_ASSERT_EQUAL (result.reply.status, MEMBER_NAME_TAKEN);
  CU_ASSERT_EQUAL (registry_leave (registry, &other.record, 1), SR_ENOENT);
  CU_ASSERT_EQUAL (
      send_renewal (registry, make_renewal (2, "stock", 1), 0, 1).error,
      SR_EFULL);
  CU_ASSERT_EQUAL (send_renewal (registry, other, 0, LEASE).error, SR_OK);
  registry_free (registry);
}

/* A node must receive every change that concerns it: of members of a wanted
   service, of control replicas, and of members that leave the wanted service;
   when tombstones since its last renewal were dropped, the full table.  It
   must not receive the other changes.  */
static void
test_changes (void)
{
  struct registry *registry = new_registry (10);
  struct member_renew observer = make_renewal (1, "", 1);
  struct member_renew control = make_renewal (2, "", 1);
  struct renew_result result;
  uint64_t change;

  control.record.control_replica = true;
  send_renewal (registry, make_renewal (3, "stock", 1), 0, 0);
  send_renewal (registry, make_renewal (4, "orders", 1), 0, 0);
  send_renewal (registry, control, 0, 0);
  result = send_renewal (registry, observer, 0, 0);
  CU_ASSERT (result.reply.full && result.item_count == 2);
  change = result.reply.position.change;
  result = send_renewal (registry, observer, change, 0);
  CU_ASSERT (!result.reply.full && result.item_count == 0);
  CU_ASSERT_EQUAL (result.reply.since.change, change);

  /* Node 3 changes its service twice, node 4 once; node 2 is no longer a
     control replica.  */
  send_renewal (registry, make_renewal (3, "", 2), 0, 1);
  send_renewal (registry, make_renewal (4, "reservations", 2), 0, 1);
  CU_ASSERT_EQUAL (send_renewal (registry, observer, change, 1).item_count, 1);
  send_renewal (registry, make_renewal (3, "orders", 3), 0, 1);
  send_renewal (registry, make_renewal (2, "", 2), 0, 1);
  result = send_renewal (registry, observer, change, 1);
  CU_ASSERT_EQUAL (result.item_count, 2);
  change = result.reply.position.change;
  CU_ASSERT_EQUAL (send_renewal (registry, observer, change, 1).item_count, 0);

  send_renewal (registry, make_renewal (5, "stock", 1), 0, 2);
  change = send_renewal (registry, observer, change, 2).reply.position.change;
  result = send_renewal (registry, observer, change, LEASE + 2);
  CU_ASSERT (result.item_count == 1 && result.tombstone_count == 1);
  result = send_renewal (registry, observer, change,
                         LEASE + TOMBSTONE_RETENTION + 2);
  CU_ASSERT_TRUE (result.reply.full);
  observer.position.epoch = 8;
  CU_ASSERT_EQUAL (
      registry_renew (registry, &observer, &result.reply, clk_s (60)), SR_OK);
  CU_ASSERT_TRUE (result.reply.full);
  member_free_items (&result.reply.items);
  registry_free (registry);
}

/* After a replica was suspended, renewals wait unread in its sockets.  It must
   not end the leases before it has read them.  */
static void
test_resume (void)
{
  struct registry *registry = new_registry (10);

  send_renewal (registry, make_renewal (1, "stock", 1), 0, 0);
  registry_resume (registry, 2 * LEASE);
  CU_ASSERT_EQUAL (registry_expire (registry, 3 * LEASE - 1), 0);
  CU_ASSERT_EQUAL (registry_expire (registry, 3 * LEASE), 1);
  registry_free (registry);
}

/* Checks the number of members with a configuration version below NUMBER, and
   the first of them.  */
static void
check_lagging (const struct registry *registry, uint64_t number,
               uint32_t count, const char *first_instance)
{
  struct list items;

  list_init (&items);
  CU_ASSERT_EQUAL (registry_list_lagging (registry, number, &items), count);
  CU_ASSERT_EQUAL (list_empty (&items), first_instance == NULL);
  if (first_instance != NULL)
    CU_ASSERT_STRING_EQUAL (
        list_entry (list_first (&items), struct member_item, node)
            ->record.instance,
        first_instance);
  member_free_items (&items);
}

/* "rudderctl apply --wait" must not return before all live members have the
   version, and must name exactly those that do not have it.  */
static void
test_list_lagging (void)
{
  struct registry *registry = new_registry (10);
  struct member_renew renew = make_renewal (1, "stock", 1);

  send_renewal (registry, make_renewal (2, "stock", 1), 0, 0);
  renew.config_version.number = 5;
  send_renewal (registry, renew, 0, 1);
  check_lagging (registry, 5, 1, "node2");
  check_lagging (registry, 6, 2, "node2");
  registry_expire (registry, LEASE);
  check_lagging (registry, 5, 0, NULL);
  registry_free (registry);
}

/* Each of COUNT members, ten to a service, renews once from its own position
   in POSITIONS.  Returns the mean time in nanoseconds.  */
static double
measure_round (struct registry *registry, uint32_t count, uint64_t sequence,
               uint64_t *positions, clk_us now)
{
  clk_us start = clk_now ();

  for (uint32_t n = 0; n < count; n++)
    {
      struct member_renew renew
          = make_renewal (n, n < 10 ? "stock" : "", sequence);

      if (n >= 10)
        snprintf (renew.record.service, MODEL_NAME_BYTES, "service%u", n / 10);
      positions[n] = send_renewal (registry, renew, positions[n], now)
                         .reply.position.change;
    }
  return 1000.0 * (double)(clk_now () - start) / count;
}

/* Prints memory and times: of renewals without a change, of renewals that each
   change a record, and of renewals that get the full table, as after a restart
   of the replica.  */
static void
measure (uint32_t count)
{
  uint64_t *positions = calloc (count, sizeof *positions);
  size_t allocated_before = mallinfo2 ().uordblks;
  struct registry *registry = new_registry (count);
  double unchanged_ns = 0;

  measure_round (registry, count, 1, positions, 0);
  printf ("members=%u bytes_per_member=%zu", count,
          (mallinfo2 ().uordblks - allocated_before) / count);
  measure_round (registry, count, 1, positions, 1);
  for (int i = 0; i < 10; i++)
    unchanged_ns += measure_round (registry, count, 1, positions, 2) / 10;
  printf (" renewal_ns=%.0f all_changed_ns=%.0f", unchanged_ns,
          measure_round (registry, count, 2, positions, 3));
  memset (positions, 0, count * sizeof *positions);
  printf (" whole_ns=%.0f\n",
          measure_round (registry, count, 2, positions, 4));
  registry_free (registry);
  free (positions);
}

int
main (int argc, char **argv)
{
  static const struct suite_test tests[]
      = { { "leases and delayed renewals", test_leases },
          { "name in use", test_name_in_use },
          { "changes that concern a node", test_changes },
          { "leases after a suspension", test_resume },
          { "members with an older configuration", test_list_lagging },
          { NULL, NULL } };
  static const uint32_t member_counts[] = { 100, 300, 1100, 3300 };

  if (argc > 1 && strcmp (argv[1], "measure") == 0)
    {
      for (size_t i = 0; i < sizeof member_counts / sizeof member_counts[0];
           i++)
        measure (member_counts[i]);
      return 0;
    }
  return suite_run ("registry", tests);
}
