/* A node is stopped and started again on its own; soon after, the server
   beside it says that it leaves, with a single deregistration.  */
#include "lab.h"

#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DRAIN_S 2.0
#define CONTACT_S 3.0
/* How long the server goes on after the end of drain_s: "a little longer (at
   times many seconds)".  */
#define LONGER_S 3.5

static struct lab_node *entry;
static struct lab_node *first;
static struct lab_server servers[2];
static volatile double acked_at, gone_at, started_at;
static volatile int late, runs_at_end, stopped;
static volatile int failed;

static bool
serve_order (struct lab_server *server, int fd, struct lab_request *request)
{
  double now = lab_now ();
  bool is_late = server == &servers[0] && acked_at > 0
                 && now > acked_at + DRAIN_S && now > started_at + CONTACT_S;

  if (is_late)
    {
      __sync_fetch_and_add (&late, 1);
      lab_record ("DRAIN: %s reaches server %s %.2f s after the ack, %.2f s "
                  "after the start of its node",
                  request->id, server->id, now - acked_at, now - started_at);
    }
  lab_sleep (0.2);
  if (server == &servers[0] && gone_at > 0)
    {
      lab_record ("server %s has ended while it ran %s", server->id,
                  request->id);
      return false;
    }
  return lab_answer_server (fd, request, 200, "ok", 2);
}

static void *
send_order (void *arg)
{
  int index = (int)(intptr_t)arg;
  struct lab_answer answer;
  char id[32];

  snprintf (id, sizeof id, "order-%d", index);
  lab_request (entry, "POST", "lab.example", "/orders/a", id, 5000, "x", 1,
               &answer);
  if (answer.status != 200)
    {
      __sync_fetch_and_add (&failed, 1);
      lab_record ("client has for %s: status %d", id, answer.status);
    }
  lab_answer_free (&answer);
  return NULL;
}

static void *
send_orders (void *arg)
{
  (void)arg;
  for (int i = 0; !stopped; i++)
    {
      lab_thread (send_order, (void *)(intptr_t)i);
      lab_sleep (0.05);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct lab_server desk;
  struct lab_node *second;
  int status;

  (void)argc;
  lab_open (argv[1], 60);
  lab_start_core ();
  entry = lab_add_node ("desk", "za");
  first = lab_add_node ("orders", "za");
  second = lab_add_node ("orders", "zc");
  lab_start (entry);
  lab_start (first);
  lab_start (second);
  lab_start_server (&desk, entry, "i-desk", serve_order, NULL);
  lab_start_server (&servers[0], first, "i-orders-1", serve_order, NULL);
  lab_start_server (&servers[1], second, "i-orders-2", serve_order, NULL);
  if (!lab_configure (0, 1,
                      "[\"order\",\"lab.example\",\"/orders/\","
                      "\"non_idempotent\",3,2,0,null,2,\"orders\"]",
                      "desk,orders", 15)
      || !lab_wait_ready (entry, 10) || !lab_wait_ready (first, 10)
      || !lab_wait_ready (second, 10))
    lab_end (2);
  lab_sleep (4);
  lab_thread (send_orders, NULL);
  lab_sleep (2);
  /* Right after a heartbeat, as the next one is 1.5 s away.  */
  servers[0].beats = false;
  lab_sleep (1.5);
  lab_heartbeat (&servers[0], "ready");
  if (lab_trouble)
    {
      lab_signal (first, SIGTERM);
      if (!lab_reap (first, 6, NULL))
        lab_end (2);
      lab_start (first);
      started_at = lab_now ();
      if (!lab_wait_ready (first, 5))
        lab_end (2);
      lab_sleep (0.6);
    }
  status = lab_deregister (&servers[0]);
  servers[0].leaving = true;
  acked_at = lab_now ();
  lab_record ("server %s says that it leaves (Instances.Deregister): status "
              "%d",
              servers[0].id, status);
  if (status / 100 != 2)
    lab_end (2);
  lab_sleep (DRAIN_S + LONGER_S);
  gone_at = lab_now ();
  shutdown (servers[0].listen_fd, SHUT_RDWR);
  close (servers[0].listen_fd);
  lab_record ("server %s exits", servers[0].id);
  lab_sleep (2);
  stopped = 1;
  lab_sleep (3);
  lab_record ("%d requests reached the server later than drain_s after the "
              "ack; %d requests of clients failed",
              late, failed);
  lab_record_log (first, "backend server", 10);
  lab_end (late > 0 ? 1 : 0);
}
