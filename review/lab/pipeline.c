/* Clients send further idempotent requests before the first one has been
   answered; the answers are longer than 64 KiB.  */
#include "lab.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS 6
#define PIPELINED 4
#define ANSWER_BYTES (200 * 1024)
#define DEADLINE_MS 8000

static struct lab_node *entry;
static char sheet[ANSWER_BYTES];
static int complete[CONNECTIONS];
static int cut[CONNECTIONS];
static int unanswered[CONNECTIONS];
static volatile int ended;

/* The first search of a connection takes longer than the ones after it.  */
static bool
serve_search (struct lab_server *server, int fd, struct lab_request *request)
{
  bool first = strstr (request->path, "/first") != NULL;
  bool written;

  lab_record ("server %s runs %s", server->id, request->id);
  lab_sleep (first ? 0.4 : 0.05);
  written = lab_answer_server (fd, request, 200, sheet, sizeof sheet);
  lab_record ("server %s has answered %s: %s", server->id, request->id,
              written ? "200, whole" : "its connection ended");
  return written;
}

static int
send_search (int fd, int connection, int index, char *id, size_t size)
{
  char head[512];
  int len;

  snprintf (id, size, "search-%d-%d", connection, index);
  len = lab_format_request (head, sizeof head, "GET", "lab.example",
                            index == 0 ? "/search/first" : "/search/next", id,
                            DEADLINE_MS, 0);
  lab_record ("client sends %s", id);
  return lab_write (fd, head, (size_t)len);
}

static void
read_search (int fd, int connection, int index)
{
  struct lab_answer answer;
  char id[64];

  lab_read_answer (fd, &answer, 0, DEADLINE_MS / 1000.0);
  lab_field (answer.head, "X-Sycamorerudder-Request-Id", id, sizeof id);
  lab_record ("client has for search-%d-%d: status %d, id %s, %zu of %ld "
              "bytes, %s, after %.2f s",
              connection, index, answer.status, id, answer.body_len,
              answer.declared_len,
              answer.complete ? "complete"
              : answer.reset  ? "connection reset"
                              : "connection closed or silent",
              answer.seconds);
  if (answer.complete && answer.status == 200)
    complete[connection]++;
  else if (answer.status != 0)
    cut[connection]++;
  else
    unanswered[connection]++;
  lab_answer_free (&answer);
}

static void *
run_connection (void *arg)
{
  int connection = (int)(intptr_t)arg;
  int fd = lab_connect (entry->ip, lab_port_outbound, 1.0);
  char id[64];

  for (int i = 0; i < PIPELINED; i++)
    {
      send_search (fd, connection, i, id, sizeof id);
      if (!lab_trouble)
        read_search (fd, connection, i);
    }
  for (int i = 0; i < PIPELINED && lab_trouble; i++)
    read_search (fd, connection, i);
  close (fd);
  __sync_fetch_and_add (&ended, 1);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct lab_server desk, catalog[2];
  struct lab_node *others[2];
  int total = 0;
  int total_cut = 0;

  (void)argc;
  lab_open (argv[1], 60);
  memset (sheet, 's', sizeof sheet);
  lab_start_core ();
  entry = lab_add_node ("desk", "za");
  others[0] = lab_add_node ("catalog", "zb");
  others[1] = lab_add_node ("catalog", "zc");
  lab_start (entry);
  lab_start (others[0]);
  lab_start (others[1]);
  lab_start_server (&desk, entry, "i-desk", serve_search, NULL);
  lab_start_server (&catalog[0], others[0], "i-catalog-1", serve_search, NULL);
  lab_start_server (&catalog[1], others[1], "i-catalog-2", serve_search, NULL);
  if (!lab_configure (0, 1,
                      "[\"search\",\"lab.example\",\"/search/\","
                      "\"idempotent\",4,2,1,null,2,\"catalog\"]",
                      "desk,catalog", 15)
      || !lab_wait_ready (entry, 10) || !lab_wait_ready (others[0], 10)
      || !lab_wait_ready (others[1], 10))
    lab_end (2);
  lab_sleep (4);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      lab_thread (run_connection, (void *)(intptr_t)i);
      lab_sleep (0.3);
    }
  while (ended < CONNECTIONS)
    lab_sleep (0.05);
  for (int i = 0; i < CONNECTIONS; i++)
    {
      total += unanswered[i];
      total_cut += cut[i];
    }
  lab_record ("of %d requests that servers ran, %d got no byte of an answer "
              "before their connection was closed, the rule allows 3; %d more "
              "got a part of one",
              CONNECTIONS * PIPELINED, total, total_cut);
  lab_record_log (entry, "answer aborted", 10);
  lab_end (total > 3 ? 1 : 0);
}
