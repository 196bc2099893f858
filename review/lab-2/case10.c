/* A request that crashes each server that begins to run it comes again and
   again.  See review/10/claim.txt.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define CONTACT_S 3.0
#define SERVER_BACK_S 3.0
#define POISON_EVERY_S 2.5
#define POISON_COUNT 12
#define SERVERS 4
#define BOOTS_MAX 200

static struct lab_machine c1 = { "core-z1-1", "127.30.10.1", "z1", LAB_CORE };
static struct lab_machine c2 = { "core-z2-1", "127.30.10.2", "z2", LAB_CORE };
static struct lab_machine c3 = { "core-z3-1", "127.30.10.3", "z3", LAB_CORE };
/* Two machines of service "web", where the clients are, and four of "app".  */
static struct lab_machine sides[2 + SERVERS]
    = { { "sidecar-z1-1", "127.30.10.4", "z1", LAB_SIDE, "web" },
        { "sidecar-z2-1", "127.30.10.5", "z2", LAB_SIDE, "web" },
        { "sidecar-z1-2", "127.30.10.6", "z1", LAB_SIDE, "app" },
        { "sidecar-z2-2", "127.30.10.7", "z2", LAB_SIDE, "app" },
        { "sidecar-z3-1", "127.30.10.8", "z3", LAB_SIDE, "app" },
        { "sidecar-z3-2", "127.30.10.9", "z3", LAB_SIDE, "app" } };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *calls;
static volatile bool clients_stop;
static volatile int calls_open;

/* Boots of the servers; a crashed one is followed by the next boot.  */
struct boot
{
  struct lab_server server;
  double crashed_at; /* 0 while it runs */
  bool by_late_retry;
};
static struct boot boots[BOOTS_MAX];
static int boot_count;
static struct boot *current[2 + SERVERS];

static char poison_seen[BOOTS_MAX][32]; /* ids that have reached a server */
static int poison_seen_count;
static int crashes;
static double third_crash_at;
static int late_retries;
static int orders_cut;
static int orders_cut_by_late;

static void
on_begun (struct lab_server *server, const char *id, const char *path)
{
  struct boot *boot = (struct boot *)server;
  bool repeated = false;
  double now = lab_now ();
  bool late;

  pthread_mutex_lock (&lock);
  if (strstr (path, "/poison") != NULL)
    {
      for (int i = 0; i < poison_seen_count; i++)
        repeated |= strcmp (poison_seen[i], id) == 0;
      if (!repeated && poison_seen_count < BOOTS_MAX)
        snprintf (poison_seen[poison_seen_count++], 32, "%s", id);
      late = repeated && third_crash_at > 0
             && now > third_crash_at + CONTACT_S;
      late_retries += late;
      if (boot->crashed_at <= 0)
        {
          boot->crashed_at = now;
          boot->by_late_retry = late;
          server->stopped = true;
          if (++crashes == 3)
            third_crash_at = now;
        }
      fprintf (calls, "%8.3f run %s %s at %s: crash %d%s%s\n", now, id, path,
               server->id, crashes, repeated ? ", sent once more" : "",
               late ? " LATE" : "");
    }
  else
    fprintf (calls, "%8.3f run %s %s at %s\n", now, id, path, server->id);
  pthread_mutex_unlock (&lock);
}

static void
on_ended (struct lab_server *server, const char *id, int status)
{
  struct boot *boot = (struct boot *)server;

  pthread_mutex_lock (&lock);
  fprintf (calls, "%8.3f ended %s at %s: %d\n", lab_now (), id, server->id,
           status);
  if (status == 0 && id[0] == 'o')
    {
      orders_cut++;
      orders_cut_by_late += boot->by_late_retry;
    }
  pthread_mutex_unlock (&lock);
}

static void
start_server (int side)
{
  struct boot *boot = &boots[boot_count];

  if (boot_count == BOOTS_MAX)
    return;
  boot->server.machine = &sides[side];
  boot->server.work_s = 0.25;
  boot->server.heartbeat_s = 1.5;
  boot->server.begun = on_begun;
  boot->server.ended = on_ended;
  snprintf (boot->server.id, sizeof boot->server.id, "i-%s-%d",
            sides[side].ip + strlen ("127.30.10."), boot_count++);
  current[side] = boot;
  lab_server_start (&boot->server);
}

/* Starts crashed servers again after some seconds.  */
static void *
servers_main (void *arg)
{
  (void)arg;
  while (!clients_stop)
    {
      for (int i = 0; i < 2 + SERVERS; i++)
        if (current[i]->crashed_at > 0
            && lab_now () > current[i]->crashed_at + SERVER_BACK_S)
          start_server (i);
      lab_sleep (0.05);
    }
  return NULL;
}

struct call
{
  char id[32];
  char path[64];
  const char *method;
  const struct lab_machine *machine;
};

static void *
client_call (void *arg)
{
  struct call *call = arg;
  bool order = strcmp (call->method, "POST") == 0;
  double started = lab_now ();
  char fields[256];
  int status;

  snprintf (fields, sizeof fields,
            "Host: shop.example\r\nX-Sycamorerudder-Request-Id: %s\r\n"
            "X-Sycamorerudder-Deadline-Ms: 3000\r\n",
            call->id);
  status = lab_status (call->machine->ip, lab_port_outbound (), call->method,
                       call->path, fields, order ? "one" : "", order ? 3 : 0,
                       3.0);
  pthread_mutex_lock (&lock);
  fprintf (calls, "%8.3f client %s sent at %.3f to %s: %d\n", lab_now (),
           call->id, started, call->machine->name, status);
  calls_open--;
  pthread_mutex_unlock (&lock);
  free (call);
  return NULL;
}

static void
send_call (char kind, int number, const char *method, const char *path,
           const struct lab_machine *machine)
{
  struct call *call = calloc (1, sizeof *call);
  pthread_attr_t attr;
  pthread_t thread;

  snprintf (call->id, sizeof call->id, "%c%06d", kind, number);
  snprintf (call->path, sizeof call->path, "%s", path);
  call->method = method;
  call->machine = machine;
  pthread_mutex_lock (&lock);
  calls_open++;
  pthread_mutex_unlock (&lock);
  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  pthread_create (&thread, &attr, client_call, call);
  pthread_attr_destroy (&attr);
}

static void *
clients_main (void *arg)
{
  (void)arg;
  for (int i = 0; !clients_stop; i++)
    {
      char path[64];

      snprintf (path, sizeof path, "/%s/%d", i % 2 == 0 ? "order" : "look", i);
      send_call (i % 2 == 0 ? 'o' : 'l', i, i % 2 == 0 ? "POST" : "GET", path,
                 &sides[i % 3 == 0]);
      lab_sleep (0.02);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  const struct lab_machine *const seeds[] = { &c1, &c2, &c3 };
  struct lab_machine *const cores[] = { &c1, &c2, &c3 };
  pthread_t clients;
  pthread_t servers;
  size_t len;
  char *document;
  int status = 0;

  if (argc != 2)
    return 2;
  lab_begin (argv[1]);
  calls = lab_record_file ();
  lab_seeds (seeds, 3);
  for (int i = 0; i < 3; i++)
    lab_start (cores[i], true);
  for (int i = 0; i < 2 + SERVERS; i++)
    {
      lab_start (&sides[i], true);
      start_server (i);
    }
  document = lab_document (2, 0, &len);
  for (int i = 0; i < 60 && status != 200; i++)
    {
      status = lab_replace (cores[i % 3], 0, document, len);
      if (status != 200)
        lab_sleep (0.2);
    }
  free (document);
  if (status != 200)
    lab_cannot_run ("no configuration was acknowledged");
  lab_sleep (4);
  pthread_create (&clients, NULL, clients_main, NULL);
  pthread_create (&servers, NULL, servers_main, NULL);
  lab_sleep (3);
  for (int i = 0; i < POISON_COUNT; i++)
    {
      lab_record ("client: request p%06d, number %d of its kind; crashes so "
                  "far %d",
                  i, i + 1, crashes);
      send_call ('p', i, "GET",
                 lab_trouble () ? "/look/poison" : "/look/plain",
                 &sides[i % 2]);
      lab_sleep (POISON_EVERY_S);
    }
  clients_stop = true;
  pthread_join (clients, NULL);
  pthread_join (servers, NULL);
  for (int i = 0; i < 40 && calls_open > 0; i++)
    lab_sleep (0.1);
  lab_record ("servers crashed %d times; the third at %.3f; arrivals of a "
              "request that the node had sent before, later than %.0f s after "
              "that: %d; orders lost in crashes: %d, of them in crashes by "
              "these: %d",
              crashes, third_crash_at, CONTACT_S, late_retries, orders_cut,
              orders_cut_by_late);
  lab_record (late_retries > 3 ? "BUDGET broken" : "BUDGET held");
  lab_end (late_retries > 3 ? 1 : 0);
}
