/* Uploads of some hundred KB over new connections; with TROUBLE=0 over kept
   ones.  */
#include "lab.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 2

static struct lab_node *entry;
static char sheet[1024 * 1024];

static bool
serve_order (struct lab_server *server, int fd, struct lab_request *request)
{
  lab_record ("server %s runs %s, %zu bytes", server->id, request->id,
              request->body_len);
  lab_sleep (0.05);
  return lab_answer_server (fd, request, 200, "ok", 2);
}

int
main (int argc, char **argv)
{
  static const size_t sizes[]
      = { 60000, 200000, 280000, 300000, 320000, 340000, 360000, 400000 };
  static struct lab_server desk, orders;
  struct lab_node *other;
  int count = 0;
  int failed = 0;

  (void)argc;
  lab_open (argv[1], 115);
  memset (sheet, 's', sizeof sheet);
  lab_start_core ();
  entry = lab_add_node ("desk", "za");
  other = lab_add_node ("impression", "zb");
  lab_start (entry);
  lab_start (other);
  lab_start_server (&desk, entry, "i-desk", serve_order, NULL);
  lab_start_server (&orders, other, "i-impression", serve_order, NULL);
  if (!lab_configure (0, 1,
                      "[\"sheet\",\"lab.example\",\"/sheets/\",\"upload\",2,"
                      "0.8,1,null,2,\"impression\"]",
                      "desk,impression", 15)
      || !lab_wait_ready (entry, 10) || !lab_wait_ready (other, 10))
    lab_end (2);
  lab_sleep (3);
  for (int round = 0; round < ROUNDS; round++)
    for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
      {
        struct lab_answer answer;
        char id[64];

        snprintf (id, sizeof id, "sheet-%d-%zu", round, sizes[i]);
        lab_request (entry, "POST", "lab.example", "/sheets/a", id, 3000,
                     sheet, sizes[i], &answer);
        lab_record ("client has for %s: status %d after %.2f s", id,
                    answer.status, answer.seconds);
        count++;
        failed += answer.status != 200;
        lab_answer_free (&answer);
        /* Connections between nodes are closed when idle for 1.5 s, those to
           a server when idle for 5 s.  */
        lab_sleep (lab_trouble ? 5.2 : 0.02);
      }
  lab_record ("%d of %d uploads were not served", failed, count);
  lab_end (failed > 0 ? 1 : 0);
}
