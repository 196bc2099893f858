/* A busy server falls silent for good; its address goes to a server of
   another service.  */
#include "lab.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDR_REUSE_S 2.0
#define RUN_S 0.75
#define DEADLINE_MS 10000

static struct lab_node *entry;
static struct lab_server marks, searches;
static volatile int stopped, dark;
static volatile int wrong, wrong_answers, sent, served;
static volatile double interval = 1.0 / 12;

/* The server of the service "cotes" (shelf marks).  */
static bool
serve_mark (struct lab_server *server, int fd, struct lab_request *request)
{
  (void)server;
  lab_sleep (RUN_S);
  /* Silent for good: no byte, and no end of the connection.  */
  while (dark)
    lab_sleep (0.5);
  return lab_answer_server (fd, request, 200, "mark", 4);
}

/* The server of the service "katalog", at the same address later.  */
static bool
serve_search (struct lab_server *server, int fd, struct lab_request *request)
{
  if (strncmp (request->path, "/marks/", 7) == 0)
    {
      __sync_fetch_and_add (&wrong, 1);
      lab_record ("ROUTE: server %s of service katalog runs %s %s (%s), sent "
                  "to it as instance %s",
                  server->id, request->method, request->path, request->id,
                  request->expected_id);
    }
  return lab_answer_server (fd, request, 200, "found", 5);
}

static void *
send_mark (void *arg)
{
  int index = (int)(intptr_t)arg;
  struct lab_answer answer;
  char id[32];

  snprintf (id, sizeof id, "mark-%d", index);
  lab_request (entry, "GET", "lab.example", "/marks/a", id, DEADLINE_MS, "", 0,
               &answer);
  if (answer.status == 200)
    __sync_fetch_and_add (&served, 1);
  if (answer.status == 200 && answer.complete && answer.body_len == 5)
    {
      __sync_fetch_and_add (&wrong_answers, 1);
      lab_record ("client has for %s: 200 and the answer of the other service",
                  id);
    }
  lab_answer_free (&answer);
  return NULL;
}

static void *
send_marks (void *arg)
{
  (void)arg;
  while (!stopped)
    {
      lab_thread (send_mark, (void *)(intptr_t)++sent);
      lab_sleep (interval);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct lab_server desk;
  struct lab_node *machine;

  (void)argc;
  lab_open (argv[1], 60);
  lab_start_core ();
  entry = lab_add_node ("desk", "za");
  machine = lab_add_node ("cotes", "zb");
  lab_start (entry);
  lab_start (machine);
  lab_start_server (&desk, entry, "i-desk", serve_search, NULL);
  lab_start_server (&marks, machine, "i-cotes", serve_mark, NULL);
  marks.slots = 18;
  if (!lab_configure (0, 1,
                      "[\"mark\",\"lab.example\",\"/marks/\",\"idempotent\","
                      "5,2.5,2,null,2,\"cotes\"],[\"search\",\"lab.example\","
                      "\"/search/\",\"idempotent\",2,2,2,null,2,\"katalog\"]",
                      "desk,cotes,katalog", 15)
      || !lab_wait_ready (entry, 10) || !lab_wait_ready (machine, 10))
    lab_end (2);
  lab_sleep (4);
  lab_thread (send_marks, NULL);
  lab_sleep (4);
  lab_record ("many clients come at once");
  interval = 1.0 / 40;
  lab_sleep (1.2);
  if (lab_trouble)
    {
      lab_record ("server %s falls silent for good", marks.id);
      dark = 1;
      marks.beats = false;
      shutdown (marks.listen_fd, SHUT_RDWR);
      close (marks.listen_fd);
    }
  lab_sleep (1.0);
  interval = 1.0 / 12;
  lab_sleep (ADDR_REUSE_S - 1.0 + 0.1);
  if (lab_trouble)
    {
      snprintf (machine->service, sizeof machine->service, "katalog");
      lab_start_server (&searches, machine, "i-katalog", serve_search, NULL);
      lab_record ("server %s of service katalog starts at the same address, "
                  "%.1f s later",
                  searches.id, ADDR_REUSE_S + 0.1);
    }
  lab_sleep (8);
  stopped = 1;
  lab_sleep (6);
  lab_record ("%d requests for cotes, %d answered 200; %d were run by katalog, "
              "%d clients have its answer",
              sent, served, wrong, wrong_answers);
  lab_record_log (machine, "backend server", 10);
  lab_end (wrong > 0 ? 1 : 0);
}
