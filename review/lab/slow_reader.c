/* A planned stop of the machine that took the request, while clients read
   their answers slowly.  */
#include "lab.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define SHEET_BYTES (6 * 1024 * 1024)
#define CLIENTS 24
#define DEADLINE_MS 10000

static struct lab_node *entry;
static char sheet[SHEET_BYTES];
static volatile int answered;
static struct
{
  double rate;
  struct lab_answer answer;
  double ended_at;
  bool done;
} clients[CLIENTS];

static bool
serve_sheet (struct lab_server *server, int fd, struct lab_request *request)
{
  bool written;

  lab_record ("server %s runs %s", server->id, request->id);
  written = lab_answer_server (fd, request, 200, sheet, sizeof sheet);
  lab_record ("server %s has written its answer to %s: %s", server->id,
              request->id, written ? "whole" : "connection ended");
  return written;
}

static void *
read_sheet (void *arg)
{
  int index = (int)(intptr_t)arg;
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port
                                 = htons ((uint16_t)lab_port_outbound) };
  char head[512];
  char id[32];
  int segment = 1460; /* as on Ethernet */
  int window = 16 * 1024;
  int len;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  inet_pton (AF_INET, entry->ip, &address.sin_addr);
  snprintf (id, sizeof id, "sheet-%d", index);
  len = lab_format_request (head, sizeof head, "GET", "lab.example",
                            "/sheets/a", id, DEADLINE_MS, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      && lab_write (fd, head, (size_t)len))
    {
      lab_record ("client sends %s, reads %.0f bytes/s", id,
                  clients[index].rate);
      lab_read_answer (fd, &clients[index].answer, clients[index].rate,
                       DEADLINE_MS / 1000.0);
    }
  clients[index].ended_at = lab_now ();
  clients[index].done = true;
  lab_record ("client %s: status %d, %zu of %ld bytes, %s, after %.2f s", id,
              clients[index].answer.status, clients[index].answer.body_len,
              clients[index].answer.declared_len,
              clients[index].answer.complete ? "complete"
              : clients[index].answer.reset  ? "connection reset"
                                             : "connection closed",
              clients[index].answer.seconds);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct lab_server desk, sheets;
  struct lab_node *other;
  double stopped_at;
  int lost = 0;

  (void)argc;
  lab_open (argv[1], 60);
  memset (sheet, 's', sizeof sheet);
  lab_start_core ();
  entry = lab_add_node ("desk", "za");
  other = lab_add_node ("sheets", "zb");
  lab_start (entry);
  lab_start (other);
  lab_start_server (&desk, entry, "i-desk", serve_sheet, NULL);
  lab_start_server (&sheets, other, "i-sheets", serve_sheet, NULL);
  if (!lab_configure (0, 1,
                      "[\"sheet\",\"lab.example\",\"/sheets/\","
                      "\"idempotent\",10,2,1,null,2,\"sheets\"]",
                      "desk,sheets", 15)
      || !lab_wait_ready (entry, 10) || !lab_wait_ready (other, 10))
    lab_end (2);
  lab_sleep (4);
  for (int i = 0; i < CLIENTS; i++)
    {
      /* 3.2 to 4.4 s for the answer.  */
      clients[i].rate = SHEET_BYTES / (3.2 + 0.08 * i);
      lab_thread (read_sheet, (void *)(intptr_t)i);
    }
  lab_sleep (0.2);
  stopped_at = lab_now ();
  if (lab_trouble)
    lab_signal (entry, SIGTERM);
  if (lab_trouble && !lab_reap (entry, 6.0, NULL))
    {
      lab_record ("%s runs at the end of grace_s", entry->name);
      lab_signal (entry, SIGKILL);
      lab_reap (entry, 1, NULL);
    }
  for (int i = 0; i < CLIENTS; i++)
    while (!clients[i].done)
      lab_sleep (0.01);
  for (int i = 0; i < CLIENTS; i++)
    if (!clients[i].answer.complete)
      {
        lost++;
        lab_record ("LOST: sheet-%d ended %.2f s after the SIGTERM without "
                    "%ld bytes of its answer",
                    i, clients[i].ended_at - stopped_at,
                    clients[i].answer.declared_len
                        - (long)clients[i].answer.body_len);
      }
  lab_record ("%d of %d answers were cut off", lost, CLIENTS);
  lab_record_log (entry, "graceful", 5);
  lab_record_log (entry, "connections closed", 5);
  lab_end (lost > 0 ? 1 : 0);
}
