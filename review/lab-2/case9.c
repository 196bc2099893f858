/* The process beside a server is killed and is back at once; the server then
   leaves, and says so.  See review/9/claim.txt.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define DRAIN_S 2.0
#define CONTACT_S 3.0
#define HEARTBEAT_S 1.5
/* How long the server serves on after the ack.  */
#define SERVE_ON_S 5.0
#define RESTART_DELAY_S 0.3
#define CALLS_MAX 4000

static struct lab_machine c1 = { "core-z1-1", "127.30.9.1", "z1", LAB_CORE };
static struct lab_machine c2 = { "core-z2-1", "127.30.9.2", "z2", LAB_CORE };
static struct lab_machine c3 = { "core-z3-1", "127.30.9.3", "z3", LAB_CORE };
static struct lab_machine n1
    = { "sidecar-z1-1", "127.30.9.4", "z1", LAB_SIDE, "web" };
static struct lab_machine n2
    = { "sidecar-z1-2", "127.30.9.5", "z1", LAB_SIDE, "app" };
static struct lab_machine n3
    = { "sidecar-z2-1", "127.30.9.6", "z2", LAB_SIDE, "app" };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *calls;
static volatile bool clients_stop;
static volatile int calls_open;
static volatile double acked_at; /* 0 before the ack */
static volatile double in_touch_at;
static int reached_late;  /* requests that reached the server against DRAIN */
static int orders_cut;    /* of these, orders that it did not finish */

static void
on_begun (struct lab_server *server, const char *id, const char *path)
{
  double now = lab_now ();
  bool late = strcmp (server->id, "i-leaving") == 0 && acked_at > 0
              && now > acked_at + DRAIN_S && now > in_touch_at;

  pthread_mutex_lock (&lock);
  fprintf (calls, "%8.3f run %s %s at %s%s\n", now, id, path, server->id,
           late ? " LATE" : "");
  reached_late += late;
  pthread_mutex_unlock (&lock);
}

static void
on_ended (struct lab_server *server, const char *id, int status)
{
  pthread_mutex_lock (&lock);
  fprintf (calls, "%8.3f ended %s at %s: %d\n", lab_now (), id, server->id,
           status);
  orders_cut += status == 0 && id[0] == 'o';
  pthread_mutex_unlock (&lock);
}

static struct lab_server web = { .machine = &n1,
                                 .id = "i-web",
                                 .work_s = 0.1,
                                 .heartbeat_s = HEARTBEAT_S,
                                 .begun = on_begun,
                                 .ended = on_ended };
static struct lab_server leaving = { .machine = &n2,
                                     .id = "i-leaving",
                                     .work_s = 0.3,
                                     .heartbeat_s = HEARTBEAT_S,
                                     .begun = on_begun,
                                     .ended = on_ended };
static struct lab_server staying = { .machine = &n3,
                                     .id = "i-staying",
                                     .work_s = 0.3,
                                     .heartbeat_s = HEARTBEAT_S,
                                     .begun = on_begun,
                                     .ended = on_ended };

/* One request of a client at n1.  */
static void *
client_call (void *arg)
{
  int number = (int)(long)arg;
  bool order = number % 2 == 0;
  char fields[256];
  char path[64];
  char id[32];
  double started = lab_now ();
  int status;

  snprintf (id, sizeof id, "%s%06d", order ? "o" : "l", number);
  snprintf (path, sizeof path, "/%s/%d", order ? "order" : "look", number);
  snprintf (fields, sizeof fields,
            "Host: shop.example\r\nX-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 3000\r\n",
            id);
  status = lab_status (n1.ip, lab_port_outbound (), order ? "POST" : "GET",
                       path, fields, order ? "one" : "", order ? 3 : 0, 3.0);
  pthread_mutex_lock (&lock);
  fprintf (calls, "%8.3f client %s sent at %.3f: %d\n", lab_now (), id,
           started, status);
  calls_open--;
  pthread_mutex_unlock (&lock);
  return NULL;
}

static void *
clients_main (void *arg)
{
  (void)arg;
  for (int i = 0; i < CALLS_MAX && !clients_stop; i++)
    {
      pthread_attr_t attr;
      pthread_t thread;

      pthread_mutex_lock (&lock);
      calls_open++;
      pthread_mutex_unlock (&lock);
      pthread_attr_init (&attr);
      pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
      pthread_attr_setstacksize (&attr, 256 * 1024);
      pthread_create (&thread, &attr, client_call, (void *)(long)i);
      pthread_attr_destroy (&attr);
      lab_sleep (0.04);
    }
  return NULL;
}

static bool
is_ready (const struct lab_machine *machine)
{
  return lab_status (machine->ip, lab_port_ready (), "GET", "/-/readiness",
                     "Host: node\r\n", "", 0, 1.0)
         == 200;
}

int
main (int argc, char **argv)
{
  const struct lab_machine *const seeds[] = { &c1, &c2, &c3 };
  struct lab_machine *const all[] = { &c1, &c2, &c3, &n1, &n2, &n3 };
  pthread_t clients;
  size_t len;
  char *document;
  int status = 0;
  double beat;

  if (argc != 2)
    return 2;
  lab_begin (argv[1]);
  calls = lab_record_file ();
  lab_seeds (seeds, 3);
  for (int i = 0; i < 6; i++)
    lab_start (all[i], true);
  lab_server_start (&web);
  lab_server_start (&leaving);
  lab_server_start (&staying);
  document = lab_document (2, 0, &len);
  for (int i = 0; i < 60 && status != 200; i++)
    {
      status = lab_replace (all[i % 3], 0, document, len);
      if (status != 200)
        lab_sleep (0.2);
    }
  free (document);
  for (int i = 0; i < 50 && !(is_ready (&n1) && is_ready (&n2)); i++)
    lab_sleep (0.1);
  lab_sleep (3);
  if (status != 200 || !is_ready (&n1) || !is_ready (&n2))
    lab_cannot_run ("the nodes are not ready");
  pthread_create (&clients, NULL, clients_main, NULL);
  lab_sleep (4);

  /* Right after an acknowledged heartbeat, so that the next one is due in
     1.5 s.  */
  beat = leaving.beat_at;
  while (leaving.beat_at <= beat)
    lab_sleep (0.005);
  lab_record ("server i-leaving: heartbeat acknowledged");
  if (lab_trouble ())
    {
      lab_kill (&n2);
      lab_sleep (RESTART_DELAY_S);
      lab_start (&n2, false);
      in_touch_at = lab_now () + CONTACT_S;
      while (!is_ready (&n2) && lab_now () < in_touch_at)
        lab_sleep (0.02);
      lab_record ("%s is ready again", n2.name);
    }
  lab_sleep (0.3);
  if (lab_now () > leaving.beat_at + HEARTBEAT_S - 0.1)
    lab_cannot_run ("the node was not back before the next heartbeat");
  status = lab_server_deregister (&leaving);
  if (status / 100 == 2)
    acked_at = lab_now ();
  lab_record ("server i-leaving: deregistration answered %d", status);
  lab_sleep (SERVE_ON_S);
  lab_server_stop (&leaving);
  lab_record ("server i-leaving: ended");
  lab_sleep (1);
  clients_stop = true;
  pthread_join (clients, NULL);
  for (int i = 0; i < 40 && calls_open > 0; i++)
    lab_sleep (0.1);
  lab_record ("requests that reached the server later than %.0f s after the "
              "ack, with both nodes in touch: %d; orders that it began and "
              "did not finish: %d",
              DRAIN_S, reached_late, orders_cut);
  if (acked_at <= 0)
    lab_cannot_run ("the deregistration was not acknowledged");
  lab_record (reached_late > 0 ? "DRAIN broken" : "DRAIN held");
  lab_end (reached_late > 0 ? 1 : 0);
}
