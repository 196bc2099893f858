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

/* Two heartbeats of the nodes' sockets and a margin: the first finds the
   connection broken.  */
#define HEARTBEATS_MS 5000
#define CONNECT_MS 300

static void
pause_ms (long ms)
{
  struct timespec span = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&span, NULL);
}

/* Address with a free port.  */
static char address[NET_ADDRESS_BYTES];

static void
choose_address (void)
{
  close (net_bind (address));
}

static void *
dial (void *context, const char *identity)
{
  char endpoint[sizeof address + 8];
  void *socket = zmq_socket (context, ZMQ_DEALER);

  CU_ASSERT_PTR_NOT_NULL_FATAL (socket);
  zmq_setsockopt (socket, ZMQ_ROUTING_ID, identity, strlen (identity));
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  CU_ASSERT_EQUAL_FATAL (zmq_connect (socket, endpoint), 0);
  zmq_send (socket, "x", 1, 0);
  pause_ms (CONNECT_MS);
  return socket;
}

/* Pattern: a peer reconnects while its former connection still delivers.
   Guards against the node's end at a heartbeat of a connection that a newer
   one of the same identity took over and that then fails.  */
static void
test_taken_over (void)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_FD };
  struct inbox *front = inbox_new (&inbox);
  struct inbox *control = inbox_new (&inbox);
  struct peer_opts opts
      = { .address = address, .front = front, .control = control };
  struct peer *peer;
  void *context = zmq_ctx_new ();
  void *former;
  void *newer;

  choose_address ();
  peer = peer_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (peer);
  CU_ASSERT_EQUAL_FATAL (peer_start (peer), SR_OK);
  former = dial (context, "same");
  newer = dial (context, "same");
  zmq_send (former, "late", 4, 0);
  pause_ms (CONNECT_MS);
  zmq_close (former);
  pause_ms (HEARTBEATS_MS);
  zmq_close (newer);
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
      = { { "taken_over", test_taken_over }, { NULL, NULL } };

  return suite_run ("peer", tests);
}
