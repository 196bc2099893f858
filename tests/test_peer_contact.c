#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#include "core/counter.h"
#include "core/inbox.h"
#include "core/msg.h"
#include "programs/relay_pump.h"
#include "sycamorerudder.h"
#include "tasks/control.h"
#include "tasks/peer.h"
#include "tests/net.h"
#include "tests/suite.h"

/* The bound "contact_s" of the platform: after a silence or an outage of its
   connections a node is in touch with the replicas again within this time.  */
#define CONTACT_MAX_US clk_s (3)
/* Time to establish a connection on a machine that is not busy.  */
#define START_MAX_US clk_s (5)
/* With 1, 2, 3, 4, 7 and 11 s, or 1, 3, 7 and 15 s, between the first SYN and
   its repetitions, the kernel sends none for longer than CONTACT_MAX_US after
   this time.  */
#define OUTAGE_MS 7300
#define POLL_MS 10
#define SUSPENSION_MS 9000
#define NOTICE_INTERVAL_MS 100
/* Two thirds of the bound: the interval between connections to a replica that
   does not answer.  */
#define RECONNECT_MIN_MS 2000

static void
sleep_ms (long ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}

/* A peer task with the inboxes of its node's other tasks.  */
struct node
{
  char address[NET_ADDRESS_BYTES];
  struct inbox *front;
  struct inbox *control; /* of the fake replica only */
  struct peer *peer;
};

static void
start_peer (struct node *node, struct inbox *control)
{
  struct peer_opts opts
      = { .address = node->address, .front = node->front, .control = control };

  node->peer = peer_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->peer);
  CU_ASSERT_EQUAL_FATAL (peer_start (node->peer), SR_OK);
}

static void
stop_peer (struct node *node)
{
  inbox_put (peer_inbox (node->peer), msg_new (MSG_STOP));
  peer_join (node->peer);
}

/* Starts a stand-in for a control replica at its address.  */
static void
start_replica (struct node *replica)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_FD };

  replica->front = inbox_new (&inbox);
  replica->control = inbox_new (&inbox);
  start_peer (replica, replica->control);
}

static void
stop_replica (struct node *replica)
{
  stop_peer (replica);
  inbox_free (replica->front);
  inbox_free (replica->control);
}

/* Answers the renewals that the replica has received and copies the endpoint
   of the last one to SENDER unless that is NULL; returns their number.  */
static uint32_t
answer_renewals (struct node *replica, struct msg_endpoint *sender)
{
  struct list messages;
  struct list_node *item;
  uint32_t count = 0;

  list_init (&messages);
  inbox_drain (replica->control, &messages);
  while ((item = list_pop_head (&messages)) != NULL)
    {
      struct msg *msg = list_entry (item, struct msg, node);

      if (msg->kind == MSG_RENEW)
        {
          struct msg *reply = msg_new (MSG_RENEW_REPLY);

          if (sender != NULL)
            *sender = msg->endpoint;
          reply->endpoint = msg->endpoint;
          reply->u.renew_reply.position.epoch = 1;
          reply->u.renew_reply.full = true;
          inbox_put (peer_inbox (replica->peer), reply);
          count++;
        }
      msg_free (msg);
    }
  return count;
}

/* Returns the time until the replica receives a renewal, at most MAX.  */
static clk_us
wait_for_renewal (struct node *replica, clk_us max)
{
  clk_us start = clk_now ();

  while (answer_renewals (replica, NULL) == 0 && clk_now () - start < max)
    sleep_ms (POLL_MS);
  return clk_now () - start;
}

/* A node without a replica, whose settings name the one at JOIN.  */
struct plain
{
  struct node node;
  struct control *control;
};

static void
start_plain (struct plain *plain, const char *join)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_FD };
  struct control_opts opts
      = { .instance = "n-1", .failure_domain = "a", .join = join };

  close (net_bind (plain->node.address));
  plain->node.front = inbox_new (&inbox);
  opts.address = plain->node.address;
  opts.front = plain->node.front;
  plain->control = control_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (plain->control);
  start_peer (&plain->node, control_inbox (plain->control));
  control_attach (plain->control, peer_inbox (plain->node.peer), NULL);
  CU_ASSERT_EQUAL_FATAL (control_start (plain->control), SR_OK);
}

static void
stop_plain (struct plain *plain)
{
  inbox_put (control_inbox (plain->control), msg_new (MSG_STOP));
  control_join (plain->control);
  stop_peer (&plain->node);
  control_free (plain->control);
  inbox_free (plain->node.front);
}

/* A relay with a thread that can make the open connections silent.  */
struct silencer
{
  char address[NET_ADDRESS_BYTES];
  struct relay relay;
  atomic_bool stop;
  atomic_int mode; /* new mode of the open connections, or -1 */
  pthread_t thread;
};

static void
set_address (struct tool_opt_address *out, const char *address)
{
  const char *port = strchr (address, ':');

  snprintf (out->ip, sizeof out->ip, "%.*s", (int)(port - address), address);
  out->port = (uint16_t)atoi (port + 1);
}

static void *
silencer_main (void *arg)
{
  struct silencer *silencer = arg;

  while (!silencer->stop)
    {
      int mode;

      relay_poll (&silencer->relay);
      mode = silencer->mode;
      if (mode >= 0)
        relay_set_open (&silencer->relay, (enum relay_mode)mode);
      silencer->mode = -1;
    }
  return NULL;
}

static void
start_silencer (struct silencer *silencer, const char *target)
{
  silencer->mode = -1;
  close (net_bind (silencer->address));
  set_address (&silencer->relay.listen, silencer->address);
  set_address (&silencer->relay.target, target);
  CU_ASSERT_EQUAL_FATAL (relay_open (&silencer->relay), SR_OK);
  CU_ASSERT_EQUAL_FATAL (
      pthread_create (&silencer->thread, NULL, silencer_main, silencer), 0);
}

/* Changes what passes on the open connections; returns the time.  */
static clk_us
silence (struct silencer *silencer, enum relay_mode mode)
{
  silencer->mode = (int)mode;
  while (silencer->mode >= 0)
    sleep_ms (POLL_MS);
  return clk_now ();
}

static void
stop_silencer (struct silencer *silencer)
{
  silencer->stop = true;
  pthread_join (silencer->thread, NULL);
  relay_close (&silencer->relay);
}

/* Guards against a node that misses changes because its open connections to
   the control replicas are silent for good while new ones work.  */
static void
test_silent_connection (void)
{
  struct node replica = { 0 };
  struct silencer silencer = { 0 };
  struct plain plain = { 0 };

  close (net_bind (replica.address));
  start_replica (&replica);
  start_silencer (&silencer, replica.address);
  start_plain (&plain, silencer.address);
  CU_ASSERT_TRUE (wait_for_renewal (&replica, START_MAX_US) < START_MAX_US);
  for (int round = 0; round < 2; round++)
    {
      clk_us silent_since;

      CU_ASSERT_TRUE (wait_for_renewal (&replica, START_MAX_US)
                      < START_MAX_US);
      silent_since = silence (&silencer, RELAY_PASS_NONE);
      answer_renewals (&replica, NULL);
      wait_for_renewal (&replica, 4 * CONTACT_MAX_US);
      CU_ASSERT_TRUE (clk_now () - silent_since < CONTACT_MAX_US);
    }
  stop_plain (&plain);
  stop_silencer (&silencer);
  stop_replica (&replica);
}

/* Guards against a node whose messages to a replica get lost while those of
   the replica, which nobody asked for, arrive: its lease would end.  */
static void
test_one_way_silence (void)
{
  struct node replica = { 0 };
  struct silencer silencer = { 0 };
  struct plain plain = { 0 };
  struct msg_endpoint sender = { 0 };
  clk_us start;

  close (net_bind (replica.address));
  start_replica (&replica);
  start_silencer (&silencer, replica.address);
  start_plain (&plain, silencer.address);
  start = clk_now ();
  while (answer_renewals (&replica, &sender) == 0
         && clk_now () - start < START_MAX_US)
    sleep_ms (POLL_MS);
  start = silence (&silencer, RELAY_PASS_ANSWERS);
  answer_renewals (&replica, NULL);
  while (answer_renewals (&replica, NULL) == 0
         && clk_now () - start < 4 * CONTACT_MAX_US)
    {
      struct msg *notice = msg_new (MSG_CRASH_MARKS);

      notice->endpoint = sender;
      inbox_put (peer_inbox (replica.peer), notice);
      sleep_ms (NOTICE_INTERVAL_MS);
    }
  CU_ASSERT_TRUE (clk_now () - start < CONTACT_MAX_US);
  stop_plain (&plain);
  stop_silencer (&silencer);
  stop_replica (&replica);
}

/* Listens at a free address but drops each SYN, as a machine without power
   does: the queue of connections is full and none is accepted.  */
static void
drop_connects (char address[NET_ADDRESS_BYTES], int fds[2])
{
  fds[0] = net_bind (address);
  CU_ASSERT_EQUAL_FATAL (listen (fds[0], 0), 0);
  fds[1] = net_connect (address);
}

/* Guards against a node that, after the control replicas were unreachable,
   stays out of touch until the kernel repeats its SYN.  */
static void
test_unreachable_replica (void)
{
  struct node replica = { 0 };
  struct plain plain = { 0 };
  int dark[2];

  drop_connects (replica.address, dark);
  start_plain (&plain, replica.address);
  sleep_ms (OUTAGE_MS);
  close (dark[1]);
  close (dark[0]);
  start_replica (&replica);
  CU_ASSERT_TRUE (wait_for_renewal (&replica, 4 * CONTACT_MAX_US)
                  < CONTACT_MAX_US);
  stop_plain (&plain);
  stop_replica (&replica);
}

/* Guards against a suspended replica that finds a connection for each moment
   of its suspension: the kernel accepts them, and nobody answers.  */
static void
test_suspended_replica (void)
{
  char address[NET_ADDRESS_BYTES];
  struct plain plain = { 0 };
  int listener = net_bind (address);
  int fd;
  int count = 0;

  CU_ASSERT_EQUAL_FATAL (listen (listener, 128), 0);
  fcntl (listener, F_SETFL, O_NONBLOCK);
  start_plain (&plain, address);
  sleep_ms (SUSPENSION_MS);
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      close (fd);
      count++;
    }
  CU_ASSERT_TRUE (count >= 2);
  CU_ASSERT_TRUE (count <= 2 + SUSPENSION_MS / RECONNECT_MIN_MS);
  stop_plain (&plain);
  close (listener);
}

/* Guards against a working connection that is replaced because its node is no
   control replica, or its control task is busy, and answers no renewal.  */
static void
test_node_without_answers (void)
{
  struct node replica = { 0 };
  struct plain plain = { 0 };
  uint64_t lost = counter_get (COUNTER_PEER_SILENT);

  close (net_bind (replica.address));
  start_replica (&replica);
  start_plain (&plain, replica.address);
  sleep_ms (2 * CONTACT_MAX_US / CLK_US_PER_MS);
  CU_ASSERT_EQUAL (counter_get (COUNTER_PEER_SILENT), lost);
  CU_ASSERT_TRUE (answer_renewals (&replica, NULL) > 1);
  stop_plain (&plain);
  stop_replica (&replica);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "silent connection to a control replica", test_silent_connection },
          { "replica that only hears nothing", test_one_way_silence },
          { "control replica that was unreachable", test_unreachable_replica },
          { "suspended control replica", test_suspended_replica },
          { "node that answers no renewal", test_node_without_answers },
          { NULL, NULL } };

  return suite_run ("peer contact", tests);
}
