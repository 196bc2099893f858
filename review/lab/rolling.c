/* Two machines are stopped in turn; a request of the second one runs at the
   first one's server.  */
#include "lab.h"

#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 8
#define RUN_S 4.6
#define GAP_S 2.0
#define GRACE_S 6.0
#define DEADLINE_MS 10000

static struct lab_node *entry;
static volatile double stopped_at;
static volatile int done, broken_off, cut;

static bool
serve_mark (struct lab_server *server, int fd, struct lab_request *request)
{
  bool written;

  lab_record ("server %s begins to run %s", server->id, request->id);
  lab_sleep (RUN_S);
  written = lab_answer_server (fd, request, 200, "mark", 4);
  lab_record ("server %s has run %s", server->id, request->id);
  return written;
}

static void *
send_mark (void *arg)
{
  struct lab_answer answer;
  char id[32];
  double after;

  snprintf (id, sizeof id, "mark-%d", (int)(intptr_t)arg);
  lab_record ("client sends %s", id);
  lab_request (entry, "GET", "lab.example", "/marks/a", id, DEADLINE_MS, "", 0,
               &answer);
  after = lab_now () - stopped_at;
  lab_record ("client has for %s: status %d, after %.2f s%s", id,
              answer.status, answer.seconds,
              answer.complete ? "" : ", connection closed");
  if (stopped_at > 0 && after > 0 && after < GRACE_S * 5 / 6)
    {
      if (!answer.complete)
        cut++;
      else if (answer.status == 502 || answer.status == 504)
        {
          broken_off++;
          lab_record ("LOST: %s is broken off and answered %d, %.2f s after "
                      "the SIGTERM of %s, while a server is at work on it",
                      id, answer.status, after, entry->name);
        }
    }
  lab_answer_free (&answer);
  __sync_fetch_and_add (&done, 1);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct lab_server desk, first, second;
  struct lab_node *machines[2];

  (void)argc;
  lab_open (argv[1], 60);
  lab_start_core ();
  entry = lab_add_node ("desk", "za");
  machines[0] = lab_add_node ("cotes", "za");
  machines[1] = lab_add_node ("cotes", "zb");
  lab_start (entry);
  lab_start (machines[0]);
  lab_start (machines[1]);
  lab_start_server (&desk, entry, "i-desk", serve_mark, NULL);
  lab_start_server (&first, machines[0], "i-cotes-1", serve_mark, NULL);
  lab_start_server (&second, machines[1], "i-cotes-2", serve_mark, NULL);
  if (!lab_configure (0, 1,
                      "[\"mark\",\"lab.example\",\"/marks/\",\"idempotent\","
                      "8,2.5,2,null,2,\"cotes\"]",
                      "desk,cotes", 15)
      || !lab_wait_ready (entry, 10) || !lab_wait_ready (machines[0], 10)
      || !lab_wait_ready (machines[1], 10))
    lab_end (2);
  lab_sleep (4);
  if (lab_trouble)
    lab_signal (machines[0], SIGTERM);
  lab_sleep (1.0);
  for (int i = 0; i < REQUESTS; i++)
    lab_thread (send_mark, (void *)(intptr_t)i);
  lab_sleep (GAP_S - 1.0);
  stopped_at = lab_now ();
  lab_signal (entry, SIGTERM);
  if (lab_trouble)
    lab_reap (machines[0], 6, NULL);
  lab_reap (entry, 6, NULL);
  while (done < REQUESTS)
    lab_sleep (0.01);
  lab_record ("%d of %d requests broken off, %d cut off", broken_off, REQUESTS,
              cut);
  lab_record_log (entry, "refused", 10);
  lab_end (broken_off + cut > 0 ? 1 : 0);
}
