#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <zmq.h>

#include "core/inbox.h"
#include "core/msg.h"
#include "sycamorerudder.h"
#include "tasks/peer.h"
#include "tests/net.h"
#include "tests/suite.h"

/* Two heartbeat intervals of the nodes' sockets and a margin; the first
   heartbeat finds the connection broken.  */
#define HEARTBEAT_WAIT_MS 5000
#define CONNECT_MS 300

static void
sleep_ms (long ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}

/* Address of the peer task, with a free port.  */
static char address[NET_ADDRESS_BYTES];

static void
choose_address (void)
{
  close (net_bind (address));
}

/* Connects a socket with routing id IDENTITY to the peer task and sends a
   byte.  */
static void *
connect_dealer (void *context, const char *identity)
{
  char endpoint[sizeof address + 8];
  void *socket = zmq_socket (context, ZMQ_DEALER);

  CU_ASSERT_PTR_NOT_NULL_FATAL (socket);
  zmq_setsockopt (socket, ZMQ_ROUTING_ID, identity, strlen (identity));
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  CU_ASSERT_EQUAL_FATAL (zmq_connect (socket, endpoint), 0);
  zmq_send (socket, "x", 1, 0);
  sleep_ms (CONNECT_MS);
  return socket;
}

/* Guards against a node that terminates when a peer reconnects with the same
   identity while its former connection still delivers, and a heartbeat then
   finds the former connection broken.  */
static void
test_reconnect_with_same_identity (void)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_FD };
  struct inbox *front = inbox_new (&inbox);
  struct inbox *control = inbox_new (&inbox);
  struct peer_opts opts
      = { .address = address, .front = front, .control = control };
  struct peer *peer;
  void *context = zmq_ctx_new ();
  void *old_socket;
  void *new_socket;

  choose_address ();
  peer = peer_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (peer);
  CU_ASSERT_EQUAL_FATAL (peer_start (peer), SR_OK);
  old_socket = connect_dealer (context, "same");
  new_socket = connect_dealer (context, "same");
  zmq_send (old_socket, "late", 4, 0);
  sleep_ms (CONNECT_MS);
  zmq_close (old_socket);
  sleep_ms (HEARTBEAT_WAIT_MS);
  zmq_close (new_socket);
  zmq_ctx_term (context);
  inbox_put (peer_inbox (peer), msg_new (MSG_STOP));
  peer_join (peer);
  inbox_free (front);
  inbox_free (control);
}

/* Long messages that are queued before a short one.  */
#define LONG_COUNT 60
#define LONG_BYTES (512 * 1024)
#define ARRIVAL_MAX_US clk_s (10)

/* Returns a message to the peer task at ADDRESS, with LEN bytes.  */
static struct msg *
new_result (const char *to, size_t len)
{
  struct msg *msg = msg_new (MSG_RESULT);

  snprintf (msg->endpoint.u.address, sizeof msg->endpoint.u.address, "%s", to);
  msg->u.result.data = calloc (1, len);
  msg->u.result.len = len;
  return msg;
}

/* Guards against a leader that loses its lease while it sends a large
   configuration to all nodes, because the heartbeats of the log are queued
   behind it.  */
static void
test_short_before_long (void)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };
  char addresses[2][NET_ADDRESS_BYTES];
  struct inbox *fronts[2];
  struct inbox *controls[2];
  struct peer *peers[2];
  clk_us end = clk_now () + ARRIVAL_MAX_US;
  int before_count = -1;
  int long_count = 0;

  for (int i = 0; i < 2; i++)
    {
      struct peer_opts opts = { .address = addresses[i] };

      close (net_bind (addresses[i]));
      opts.front = fronts[i] = inbox_new (&inbox);
      opts.control = controls[i] = inbox_new (&inbox);
      peers[i] = peer_new (&opts);
      CU_ASSERT_PTR_NOT_NULL_FATAL (peers[i]);
    }
  for (int i = 0; i < LONG_COUNT; i++)
    inbox_put (peer_inbox (peers[0]), new_result (addresses[1], LONG_BYTES));
  inbox_put (peer_inbox (peers[0]), new_result (addresses[1], 1));
  for (int i = 0; i < 2; i++)
    CU_ASSERT_EQUAL_FATAL (peer_start (peers[i]), SR_OK);
  while (long_count < LONG_COUNT && clk_now () < end)
    {
      struct list messages;
      struct list_node *node;

      list_init (&messages);
      inbox_drain_until (controls[1], end, &messages);
      while ((node = list_pop_head (&messages)) != NULL)
        {
          struct msg *msg = list_entry (node, struct msg, node);

          if (msg->kind == MSG_RESULT && msg->u.result.len == LONG_BYTES)
            long_count++;
          else if (msg->kind == MSG_RESULT)
            before_count = long_count;
          msg_free (msg);
        }
    }
  CU_ASSERT_EQUAL (long_count, LONG_COUNT);
  CU_ASSERT_TRUE (before_count >= 0 && before_count < LONG_COUNT / 2);
  for (int i = 0; i < 2; i++)
    {
      inbox_put (peer_inbox (peers[i]), msg_new (MSG_STOP));
      peer_join (peers[i]);
      inbox_free (fronts[i]);
      inbox_free (controls[i]);
    }
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "reconnect with the same identity",
            test_reconnect_with_same_identity },
          { "short messages before long ones", test_short_before_long },
          { NULL, NULL } };

  return suite_run ("peer", tests);
}
