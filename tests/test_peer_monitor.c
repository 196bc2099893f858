#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <zmq.h>

#include "core/rng.h"
#include "tasks/peer_monitor.h"
#include "tests/suite.h"

#define SEED 1
#define CLOSES 2000
/* Time in which the handshake on loopback ends.  */
#define HANDSHAKE_MAX_US 600
#define CHECK_INTERVAL 100
#define ANSWER_TIMEOUT_MS 3000

/* Returns the messages of a ROUTER socket to their senders.  */
struct echo
{
  void *context;
  void *router;
  char endpoint[64];
  pthread_t thread;
};

static void *
echo_main (void *arg)
{
  struct echo *echo = arg;
  char identity[64];
  char text[16];
  int identity_len;
  int len;

  while ((identity_len = zmq_recv (echo->router, identity, sizeof identity, 0))
         >= 0)
    {
      len = zmq_recv (echo->router, text, sizeof text, 0);
      if (len < 0)
        break;
      zmq_send (echo->router, identity, (size_t)identity_len, ZMQ_SNDMORE);
      zmq_send (echo->router, text, (size_t)len, 0);
    }
  zmq_close (echo->router);
  return NULL;
}

static void
start_echo (struct echo *echo)
{
  size_t size = sizeof echo->endpoint;
  int linger = 0;

  echo->context = zmq_ctx_new ();
  echo->router = zmq_socket (echo->context, ZMQ_ROUTER);
  zmq_setsockopt (echo->router, ZMQ_LINGER, &linger, sizeof linger);
  CU_ASSERT_EQUAL_FATAL (zmq_bind (echo->router, "tcp://127.0.0.1:*"), 0);
  zmq_getsockopt (echo->router, ZMQ_LAST_ENDPOINT, echo->endpoint, &size);
  CU_ASSERT_EQUAL_FATAL (pthread_create (&echo->thread, NULL, echo_main, echo),
                         0);
}

static void
stop_echo (struct echo *echo)
{
  zmq_ctx_shutdown (echo->context);
  pthread_join (echo->thread, NULL);
  zmq_ctx_term (echo->context);
}

static void *
open_socket (void *context)
{
  void *socket = zmq_socket (context, ZMQ_DEALER);
  int linger = 0;
  int timeout_ms = ANSWER_TIMEOUT_MS;

  CU_ASSERT_PTR_NOT_NULL_FATAL (socket);
  zmq_setsockopt (socket, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (socket, ZMQ_RCVTIMEO, &timeout_ms, sizeof timeout_ms);
  return socket;
}

/* Whether a new socket of CONTEXT gets an answer.  */
static bool
is_answered (void *context, const char *endpoint)
{
  void *socket = open_socket (context);
  char text[16];
  bool answered;

  zmq_connect (socket, endpoint);
  zmq_send (socket, "check", 5, 0);
  answered = zmq_recv (socket, text, sizeof text, 0) == 5;
  zmq_close (socket);
  return answered;
}

static void
sleep_us (uint32_t us)
{
  struct timespec duration = { 0, (long)us * 1000 };

  nanosleep (&duration, NULL);
}

/* Guards against a process whose connections all stop for good, because one is
   closed while it is being established and nobody reads the event of that.  */
static void
test_close_during_handshake (void)
{
  struct echo echo;
  void *context = zmq_ctx_new ();
  struct rng rng;
  bool answered = true;

  rng_seed (&rng, SEED);
  start_echo (&echo);
  for (int i = 0; i < CLOSES && answered; i++)
    {
      void *socket = open_socket (context);
      void *monitor = peer_monitor_open (context, socket);

      CU_ASSERT_PTR_NOT_NULL_FATAL (monitor);
      zmq_connect (socket, echo.endpoint);
      sleep_us (rng_below (&rng, HANDSHAKE_MAX_US));
      peer_monitor_close (monitor, socket);
      zmq_close (socket);
      if (i % CHECK_INTERVAL == 0)
        answered = is_answered (context, echo.endpoint);
    }
  CU_ASSERT_TRUE (answered);
  stop_echo (&echo);
  /* A blocked context cannot be ended.  */
  if (answered)
    zmq_ctx_term (context);
}

/* Guards against a connection that is logged in the wrong state.  */
static void
test_events (void)
{
  struct echo echo;
  void *context = zmq_ctx_new ();
  void *socket = open_socket (context);
  void *monitor = peer_monitor_open (context, socket);
  zmq_pollitem_t item = { .socket = monitor, .events = ZMQ_POLLIN };

  CU_ASSERT_PTR_NOT_NULL_FATAL (monitor);
  CU_ASSERT_EQUAL (peer_monitor_next (monitor), PEER_MONITOR_NONE);
  start_echo (&echo);
  zmq_connect (socket, echo.endpoint);
  CU_ASSERT_EQUAL (zmq_poll (&item, 1, ANSWER_TIMEOUT_MS), 1);
  CU_ASSERT_EQUAL (peer_monitor_next (monitor), PEER_MONITOR_ESTABLISHED);
  CU_ASSERT_EQUAL (peer_monitor_next (monitor), PEER_MONITOR_NONE);
  stop_echo (&echo);
  CU_ASSERT_EQUAL (zmq_poll (&item, 1, ANSWER_TIMEOUT_MS), 1);
  CU_ASSERT_EQUAL (peer_monitor_next (monitor), PEER_MONITOR_ENDED);
  peer_monitor_close (monitor, socket);
  zmq_close (socket);
  zmq_ctx_term (context);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "events", test_events },
          { "close during the handshake", test_close_during_handshake },
          { NULL, NULL } };

  return suite_run ("peer_monitor", tests);
}
