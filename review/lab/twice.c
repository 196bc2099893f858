/* Servers are full at times, and now and then send an answer a second time,
   late.  */
#include "lab.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Each machine has the server of one service; its clients send orders to the
   service of the next machine, one at a time.  */
#define MACHINES 4
#define SECONDS 75.0
/* Part of the requests that meet a full server, and of the answers that are
   sent twice: at most 0.55 and 0.03 in the site files.  */
#define FULL 0.25
#define EXTRA 0.03
#define ORDERS_MAX 100000
#define FDS_MAX 4096

static struct lab_node *nodes[MACHINES];
static volatile int runs[ORDERS_MAX];
static volatile int shed[ORDERS_MAX];
static volatile int next_order;
/* An answer that is sent again where the next one is due, by connection.  */
static char *late[FDS_MAX];
static char late_id[FDS_MAX][32];
static volatile int stopped, twice, refused, orders_ok, orders_refused;

static bool
draw (double share)
{
  static __thread unsigned seed;

  if (seed == 0)
    seed = (unsigned)(uintptr_t)&seed ^ (unsigned)(lab_now () * 1e6);
  return (double)rand_r (&seed) / RAND_MAX < share;
}

static bool
serve_order (struct lab_server *server, int fd, struct lab_request *request)
{
  int order = atoi (request->id + strlen ("order-"));
  bool full = draw (FULL);
  char answer[512];
  bool written;
  int count;
  int len;

  if (order < 0 || order >= ORDERS_MAX || fd >= FDS_MAX)
    lab_end (2);
  if (!full)
    {
      count = __sync_add_and_fetch (&runs[order], 1);
      if (count > 1)
        {
          __sync_fetch_and_add (&twice, 1);
          lab_record ("TWICE: server %s begins to run %s, run %d of it",
                      server->id, request->id, count);
        }
    }
  if (late[fd] != NULL)
    {
      if (strcmp (late_id[fd], request->id) == 0)
        lab_record ("server %s sends its answer to %s (it was full) once "
                    "more, where the answer to %s is due; it %s",
                    server->id, late_id[fd], request->id,
                    full ? "is full again" : "runs the request");
      written = lab_write (fd, late[fd], strlen (late[fd]));
      free (late[fd]);
      late[fd] = NULL;
      if (!written)
        return false;
    }
  if (full)
    {
      __sync_fetch_and_add (&shed[order], 1);
      len = snprintf (answer, sizeof answer,
                      "HTTP/1.1 503 Service Unavailable\r\n"
                      "X-Sycamorerudder-Request-Id: %s\r\n"
                      "X-Sycamorerudder-Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n",
                      request->id);
    }
  else
    {
      lab_sleep (0.01);
      len = snprintf (answer, sizeof answer,
                      "HTTP/1.1 200 OK\r\n"
                      "X-Sycamorerudder-Request-Id: %s\r\n"
                      "X-Sycamorerudder-Response-Seal: seal.%s\r\n"
                      "Content-Length: 2\r\n\r\nok",
                      request->id, request->id);
    }
  if (lab_trouble && draw (EXTRA))
    {
      late[fd] = strdup (answer);
      snprintf (late_id[fd], sizeof late_id[fd], "%.31s", request->id);
    }
  return lab_write (fd, answer, (size_t)len);
}

static void *
send_orders (void *arg)
{
  int machine = (int)(intptr_t)arg;
  char path[32];

  snprintf (path, sizeof path, "/orders-%d/a", (machine + 1) % MACHINES);
  while (!stopped)
    {
      int order = __sync_fetch_and_add (&next_order, 1);
      struct lab_answer answer;
      char id[32];

      snprintf (id, sizeof id, "order-%d", order);
      lab_request (nodes[machine], "POST", "lab.example", path, id, 5000, "x",
                   1, &answer);
      if (answer.status == 200)
        __sync_fetch_and_add (&orders_ok, 1);
      else
        __sync_fetch_and_add (&orders_refused, 1);
      lab_sleep (0.03);
      lab_record ("%s %s: %d, refused %d, run %d", nodes[machine]->name, id,
                  answer.status, shed[order], runs[order]);
      if (answer.status == 503 && runs[order] > 0)
        {
          __sync_fetch_and_add (&refused, 1);
          lab_record ("REFUSED: client has 503 for %s, which has run", id);
        }
      lab_answer_free (&answer);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "za", "zb", "zc" };
  static struct lab_server servers[MACHINES];
  static char rows[2048];
  int used = 0;

  (void)argc;
  lab_open (argv[1], 115);
  lab_start_core ();
  for (int i = 0; i < MACHINES; i++)
    {
      char name[64];

      snprintf (name, sizeof name, "orders-%d", i);
      nodes[i] = lab_add_node (name, zones[i % 3]);
      lab_start (nodes[i]);
      snprintf (name, sizeof name, "i-orders-%d", i);
      lab_start_server (&servers[i], nodes[i], name, serve_order, NULL);
      used += snprintf (rows + used, sizeof rows - (size_t)used,
                        "%s[\"order-%d\",\"lab.example\",\"/orders-%d/\","
                        "\"non_idempotent\",3,2,0,null,2,\"orders-%d\"]",
                        i > 0 ? "," : "", i, i, i);
    }
  if (!lab_configure (0, 1, rows, "orders-0,orders-1,orders-2,orders-3", 15))
    lab_end (2);
  for (int i = 0; i < MACHINES; i++)
    if (!lab_wait_ready (nodes[i], 10))
      lab_end (2);
  lab_sleep (4);
  lab_record ("below, for each order: where it was sent, the status that its "
              "client has, how often a server refused it and ran it");
  for (int i = 0; i < MACHINES; i++)
    lab_thread (send_orders, (void *)(intptr_t)i);
  lab_sleep (SECONDS);
  stopped = 1;
  lab_sleep (4);
  lab_record ("%d orders: %d answered 200, %d refused or failed; %d ran more "
              "than once, %d were answered 503 and had run",
              next_order, orders_ok, orders_refused, twice, refused);
  lab_end (twice + refused > 0 ? 1 : 0);
}
