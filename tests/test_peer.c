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

int
main (void)
{
  static const struct suite_test tests[]
      = { { "reconnect with the same identity",
            test_reconnect_with_same_identity },
          { NULL, NULL } };

  return suite_run ("peer", tests);
}
