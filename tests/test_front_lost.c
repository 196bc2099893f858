#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/inbox.h"
#include "core/msg.h"
#include "sycamorerudder.h"
#include "tasks/front.h"
#include "tests/net.h"
#include "tests/suite.h"
#include "wire/doc.h"

#define TEXT_BYTES 4096
#define ROUNDS 5
/* Time that requests of the other node have, and a longer one for which the
   thread of the front task is suspended.  */
#define WAIT_US clk_ms (30)
#define SUSPENSION_US clk_ms (80)

static const char document[]
    = "{\"format\": 1, \"services\": [{\"name\": \"a\", \"slots\": 1,"
      " \"connections\": 1, \"kinds\": [{\"name\": \"read\","
      " \"method\": \"GET\", \"path\": \"/\", \"importance\": 50,"
      " \"idempotent\": true, \"timeout_ms\": 8000, \"retries\": 0}]}]}";

static struct front *front;
static pthread_t front_thread;
/* Messages to other nodes.  */
static struct inbox *peer;
static char admin_address[NET_ADDRESS_BYTES];
static char server_address[NET_ADDRESS_BYTES];
static atomic_bool suspended;
static uint64_t next_stream = 1;

/* Answers requests but those for /silent.  */
static void *
serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[TEXT_BYTES];
  ssize_t len;

  while ((len = read (fd, text, sizeof text - 1)) > 0)
    {
      text[len] = '\0';
      if (strstr (text, "/silent") == NULL)
        net_send_text (fd,
                       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    }
  close (fd);
  return NULL;
}

static void *
run_front (void *arg)
{
  (void)arg;
  front_run (front);
  return NULL;
}

/* Suspends the thread that the signal was sent to.  */
static void
handle_suspension (int number)
{
  (void)number;
  suspended = true;
  usleep (SUSPENSION_US);
}

/* Creates a message from the node whose connection has IDENTITY.  */
static struct msg *
new_message (enum msg_kind kind, char identity, uint64_t stream)
{
  struct msg *msg = msg_new (kind);

  msg->endpoint.kind = MSG_ENDPOINT_REPLY;
  msg->endpoint.u.identity.len = 1;
  msg->endpoint.u.identity.bytes[0] = (uint8_t)identity;
  msg->stream = stream;
  return msg;
}

/* Sends a request without a body from the node with IDENTITY; returns its
   stream.  */
static uint64_t
send_request (char identity, const char *path, clk_us remaining)
{
  uint64_t stream = next_stream++;
  struct msg *open = new_message (MSG_OPEN, identity, stream);
  struct msg *body = new_message (MSG_BODY, identity, stream);

  snprintf (open->u.open.service, sizeof open->u.open.service, "a");
  snprintf (open->u.open.method, sizeof open->u.open.method, "GET");
  open->u.open.path = strdup (path);
  open->u.open.importance = 50;
  open->u.open.remaining_us = remaining;
  inbox_put (front_inbox (front), open);
  body->u.body.end = true;
  inbox_put (front_inbox (front), body);
  return stream;
}

/* Waits for the first message of the stream; returns its kind, or MSG_STOP
   when none has come for 2 s.  Writes the reason of a refusal.  */
static enum msg_kind
await_answer (uint64_t stream, enum reason_refusal *reason)
{
  clk_us deadline = clk_now () + clk_s (2);
  enum msg_kind kind = MSG_STOP;

  while (kind == MSG_STOP && clk_now () < deadline)
    {
      struct list messages;
      struct list_node *node;

      list_init (&messages);
      inbox_drain_until (peer, deadline, &messages);
      while ((node = list_pop_head (&messages)) != NULL)
        {
          struct msg *msg = list_entry (node, struct msg, node);

          if (msg->stream == stream && kind == MSG_STOP)
            {
              kind = msg->kind;
              *reason = msg->kind == MSG_REFUSE ? msg->u.refuse.reason
                                                : REASON_NONE;
            }
          msg_free (msg);
        }
    }
  return kind;
}

static void
announce_server (void)
{
  char body[256];
  char text[TEXT_BYTES];
  int fd = net_connect (admin_address);

  snprintf (body, sizeof body,
            "{\"service\":\"a\",\"address\":\"%s\",\"slots\":1,"
            "\"connections\":4}",
            server_address);
  snprintf (text, sizeof text,
            "PUT /v1/backend HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  net_send_text (fd, text);
  net_read_to_end (fd, text, sizeof text);
  CU_ASSERT_EQUAL_FATAL (strncmp (text, "HTTP/1.1 2", 10), 0);
}

static void
start_front (void)
{
  static char listen_address[NET_ADDRESS_BYTES];
  struct front_opts opts = { .listen_address = listen_address,
                             .admin_address = admin_address,
                             .peer_address = "127.0.0.1:1",
                             .instance = "n-1",
                             .failure_domain = "d" };
  struct inbox_opts inbox_opts = { .wake = INBOX_WAKE_CONDITION };
  struct sigaction action = { .sa_handler = handle_suspension };
  struct msg *model = msg_new (MSG_MODEL);
  int listener = net_bind (server_address);

  close (net_bind (listen_address));
  close (net_bind (admin_address));
  sigaction (SIGUSR1, &action, NULL);
  front = front_new (&opts);
  CU_ASSERT_PTR_NOT_NULL_FATAL (front);
  peer = inbox_new (&inbox_opts);
  front_attach (front, peer, inbox_new (&inbox_opts));
  CU_ASSERT_EQUAL_FATAL (doc_parse (document, strlen (document), NULL, NULL,
                                    &model->u.model.model),
                         SR_OK);
  model->u.model.confirmed = true;
  inbox_put (front_inbox (front), model);
  net_serve (listener, serve_connection);
  pthread_create (&front_thread, NULL, run_front, NULL);
  usleep (100000);
  announce_server ();
}

/* The node was suspended while one request ran and the next waited for its
   slot.  When it resumes, the node that sent the first is lost; the slot that
   it frees makes admission refuse the second, whose time is over.  */
static void
lost_while_suspended (void)
{
  enum reason_refusal reason = REASON_NONE;
  uint64_t waiting;
  uint64_t after;

  (void)send_request ('a', "/silent", clk_s (8));
  waiting = send_request ('b', "/", WAIT_US);
  usleep (WAIT_US / 3);
  suspended = false;
  pthread_kill (front_thread, SIGUSR1);
  while (!suspended)
    usleep (100);
  inbox_put (front_inbox (front), new_message (MSG_PEER_LOST, 'a', 0));
  CU_ASSERT_EQUAL (await_answer (waiting, &reason), MSG_REFUSE);
  CU_ASSERT_EQUAL (reason, REASON_DEADLINE_QUEUED);
  after = send_request ('c', "/", clk_s (2));
  CU_ASSERT_EQUAL (await_answer (after, &reason), MSG_HEAD);
}

/* Guards against a node that crashes when it ends the requests of a lost node
   and the slots that they free end further requests.  */
static void
test_lost_while_suspended (void)
{
  start_front ();
  for (int round = 0; round < ROUNDS; round++)
    lost_while_suspended ();
  front_shut_down (front);
  front_shut_down (front);
  pthread_join (front_thread, NULL);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "a node is lost while this one is suspended",
            test_lost_while_suspended },
          { NULL, NULL } };

  return suite_run ("front_lost", tests);
}
