#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include "core/inbox.h"
#include "core/rng.h"
#include "core/slog.h"
#include "programs/node_tasks.h"
#include "sycamorerudder.h"
#include "tests/net.h"
#include "tests/suite.h"

#define NODES 8
#define ROUNDS 20
/* Longer than the election of a group with one replica.  */
#define LIFE_MAX_MS 1200
/* Ends a program whose tasks do not end.  */
#define PROGRAM_MAX_S 300
/* Limit of a stop: the time for the last renewal and for the transfer of
   leadership, see CONTROL_STOP_DELAY_US and CONTROL_STOP_LIMIT_US.  */
#define STOP_MAX_US clk_s (4)

/* A control replica that is a group of its own.  */
struct node
{
  struct node_tasks tasks;
  struct inbox *front;
  char address[NET_ADDRESS_BYTES];
  char data_dir[64];
};

static void
sleep_ms (uint32_t ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000l };

  nanosleep (&duration, NULL);
}

static void
start_node (struct node *node)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_FD };
  struct control_opts control = { .instance = "n-1", .failure_domain = "a" };
  struct peer_opts peer = { 0 };

  memset (&node->tasks, 0, sizeof node->tasks);
  close (net_bind (node->address));
  strcpy (node->data_dir, "/tmp/test_node_tasks.XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (node->data_dir));
  node->front = inbox_new (&inbox);
  control.address = node->address;
  control.join = node->address;
  peer.address = node->address;
  CU_ASSERT_EQUAL_FATAL (
      node_tasks_open (&node->tasks, node->front, &control, &peer), SR_OK);
  CU_ASSERT_EQUAL_FATAL (
      node_tasks_open_store (&node->tasks, "data_dir", node->data_dir), SR_OK);
  CU_ASSERT_EQUAL_FATAL (node_tasks_start (&node->tasks), SR_OK);
}

static void
remove_node (struct node *node)
{
  char command[128];

  store_free (node->tasks.store);
  inbox_free (node->front);
  snprintf (command, sizeof command, "rm -r '%s'", node->data_dir);
  CU_ASSERT_EQUAL (system (command), 0);
}

/* Sends an operator's change, which the store has to write.  */
static void
send_change (struct node *node, uint64_t number)
{
  struct msg *msg = msg_new (MSG_ADMIN);

  msg->u.admin.op = MSG_ADMIN_APPLY;
  msg->u.admin.request_id = number;
  snprintf (msg->u.admin.change_id, sizeof msg->u.admin.change_id, "c%llu",
            (unsigned long long)number);
  msg->u.admin.text = strdup ("{}");
  msg->u.admin.len = 2;
  inbox_put (control_inbox (node->tasks.control), msg);
}

/* Another node, which sends to all nodes until it is stopped.  */
struct stranger
{
  struct node *nodes;
  struct peer *peer;
  struct inbox *front;
  struct inbox *control;
  char address[NET_ADDRESS_BYTES];
  atomic_bool stop;
  pthread_t thread;
};

static void *
stranger_main (void *arg)
{
  struct stranger *stranger = arg;

  for (uint32_t i = 0; !stranger->stop; i++)
    {
      struct msg *msg = msg_new (i % 2 == 0 ? MSG_RENEW : MSG_PROPOSE);

      msg->endpoint.kind = MSG_ENDPOINT_DIAL;
      strcpy (msg->endpoint.u.address, stranger->nodes[i % NODES].address);
      if (msg->kind == MSG_RENEW)
        {
          snprintf (msg->u.renew.record.instance, MEMBER_INSTANCE_BYTES,
                    "s-%u", i % 10);
          strcpy (msg->u.renew.record.address, stranger->address);
          msg->u.renew.record.incarnation = i + 1;
        }
      else
        {
          msg->u.propose.kind = MSG_PROPOSE_READ;
          msg->u.propose.request_id = i + 1;
        }
      inbox_put (peer_inbox (stranger->peer), msg);
      sleep_ms (1);
    }
  return NULL;
}

static void
start_stranger (struct stranger *stranger, struct node *nodes)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_FD };
  struct peer_opts opts = { .address = stranger->address };

  stranger->nodes = nodes;
  stranger->stop = false;
  close (net_bind (stranger->address));
  stranger->front = opts.front = inbox_new (&inbox);
  stranger->control = opts.control = inbox_new (&inbox);
  stranger->peer = peer_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stranger->peer);
  CU_ASSERT_EQUAL_FATAL (peer_start (stranger->peer), SR_OK);
  CU_ASSERT_EQUAL_FATAL (
      pthread_create (&stranger->thread, NULL, stranger_main, stranger), 0);
}

static void
stop_stranger (struct stranger *stranger)
{
  stranger->stop = true;
  pthread_join (stranger->thread, NULL);
  inbox_put (peer_inbox (stranger->peer), msg_new (MSG_STOP));
  peer_join (stranger->peer);
  inbox_free (stranger->front);
  inbox_free (stranger->control);
}

static void
set_file_size_limit (rlim_t limit)
{
  struct rlimit limits;

  getrlimit (RLIMIT_FSIZE, &limits);
  limits.rlim_cur = limit;
  setrlimit (RLIMIT_FSIZE, &limits);
}

/* Stops all nodes after a time of up to LIFE_MAX_MS, in some rounds after
   their disks have become full.  Each must end within STOP_MAX_US.  Returns
   the number of nodes whose control task has failed.  */
static uint32_t
run_round (uint64_t seed)
{
  struct node nodes[NODES];
  struct stranger stranger;
  struct rng rng;
  bool disk_full;
  uint32_t failed = 0;

  rng_seed (&rng, seed);
  disk_full = seed % 2 == 0;
  for (int i = 0; i < NODES; i++)
    start_node (&nodes[i]);
  start_stranger (&stranger, nodes);
  sleep_ms ((uint32_t)rng_below (&rng, LIFE_MAX_MS));
  if (disk_full)
    set_file_size_limit (0);
  for (int i = 0; i < NODES; i++)
    {
      send_change (&nodes[i], 1);
      sleep_ms ((uint32_t)rng_below (&rng, 4));
      send_change (&nodes[i], 2);
      inbox_put (control_inbox (nodes[i].tasks.control), msg_new (MSG_STOP));
    }
  for (int i = 0; i < NODES; i++)
    {
      clk_us start = clk_now ();

      failed += node_tasks_end (&nodes[i].tasks) != 0;
      SUITE_SEEDED (clk_now () - start < STOP_MAX_US, seed);
    }
  set_file_size_limit (RLIM_INFINITY);
  stop_stranger (&stranger);
  for (int i = 0; i < NODES; i++)
    remove_node (&nodes[i]);
  return failed;
}

/* Guards against a process that hangs or crashes at its end, because a task is
   freed while others still send to it: on SIGTERM, and when the store has
   failed.  */
static void
test_stop_under_messages (void)
{
  uint32_t failed = 0;

  slog_set_severity_max (SLOG_CRIT);
  signal (SIGXFSZ, SIG_IGN);
  alarm (PROGRAM_MAX_S);
  for (uint64_t seed = 1; seed <= ROUNDS; seed++)
    failed += run_round (seed);
  CU_ASSERT_TRUE (failed > 0);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "stop under messages", test_stop_under_messages },
          { NULL, NULL } };

  return suite_run ("node_tasks", tests);
}
