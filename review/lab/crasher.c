/* A request crashes each server that begins to run it, and comes again.  */
#include "lab.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SERVERS 6
#define BACK_S 4.0
#define CONTACT_S 3.0
#define FDS_MAX 4096

static struct lab_node *entry;
static struct lab_server servers[SERVERS];
static struct lab_node *nodes[SERVERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Server that reads from a descriptor, plus 1.  */
static int owner[FDS_MAX];
static volatile int boots[SERVERS];
static volatile int down[SERVERS];
static volatile int crashes;
static volatile double third_crash_at;
static volatile int late_retries;
static volatile int innocent_lost, innocent_sent;
static volatile int stopped;

static void *restart (void *arg);

/* Ends a server like a crash: all its connections are reset.  */
static void
crash (struct lab_server *server, const char *id)
{
  int index = (int)(server - servers);
  struct linger reset = { 1, 0 };

  pthread_mutex_lock (&lock);
  if (down[index])
    {
      pthread_mutex_unlock (&lock);
      return;
    }
  down[index] = 1;
  server->beats = false;
  shutdown (server->listen_fd, SHUT_RDWR);
  for (int fd = 0; fd < FDS_MAX; fd++)
    if (owner[fd] == index + 1)
      {
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown (fd, SHUT_RDWR);
        owner[fd] = 0;
      }
  pthread_mutex_unlock (&lock);
  close (server->listen_fd);
  if (__sync_add_and_fetch (&crashes, 1) == 3)
    third_crash_at = lab_now ();
  lab_record ("server %s crashes, it had begun to run %s (crash %d)",
              server->id, id, crashes);
  lab_thread (restart, server);
}

static bool
serve_search (struct lab_server *server, int fd, struct lab_request *request)
{
  bool alive;

  pthread_mutex_lock (&lock);
  alive = !down[server - servers];
  owner[fd] = (int)(server - servers) + 1;
  pthread_mutex_unlock (&lock);
  if (!alive)
    return false;
  if (strcmp (request->path, "/search/crash") == 0)
    {
      lab_record ("server %s runs %s of caller %s", server->id, request->id,
                  request->caller);
      if (third_crash_at > 0 && lab_now () > third_crash_at + CONTACT_S)
        {
          __sync_fetch_and_add (&late_retries, 1);
          lab_record ("BUDGET: %s reaches a server %.2f s after the third "
                      "crash",
                      request->id, lab_now () - third_crash_at);
        }
      if (lab_trouble)
        {
          crash (server, request->id);
          return false;
        }
    }
  lab_sleep (0.15);
  pthread_mutex_lock (&lock);
  alive = owner[fd] == (int)(server - servers) + 1;
  owner[fd] = 0;
  pthread_mutex_unlock (&lock);
  return alive && lab_answer_server (fd, request, 200, "ok", 2);
}

static void *
restart (void *arg)
{
  struct lab_server *server = arg;
  int index = (int)(server - servers);
  char id[64];

  lab_sleep (BACK_S);
  snprintf (id, sizeof id, "i-catalog-%d-%d", index + 1, ++boots[index]);
  lab_start_server (server, nodes[index], id, serve_search, NULL);
  down[index] = 0;
  lab_record ("server %s is back", id);
  return NULL;
}

static void *
send_search (void *arg)
{
  int index = (int)(intptr_t)arg;
  bool crasher = index < 0;
  struct lab_answer answer;
  char id[32];

  snprintf (id, sizeof id, "%s-%d", crasher ? "crash" : "search",
            crasher ? -index : index);
  lab_request (entry, "GET", "lab.example",
               crasher ? "/search/crash" : "/search/title", id, 5000, "", 0,
               &answer);
  if (crasher)
    lab_record ("client has for %s: status %d", id, answer.status);
  else
    {
      __sync_fetch_and_add (&innocent_sent, 1);
      if (answer.status != 200)
        __sync_fetch_and_add (&innocent_lost, 1);
    }
  lab_answer_free (&answer);
  return NULL;
}

static void *
send_searches (void *arg)
{
  (void)arg;
  for (int i = 1; !stopped; i++)
    {
      lab_thread (send_search, (void *)(intptr_t)i);
      lab_sleep (0.02);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const zones[] = { "za", "zb", "zc" };
  static struct lab_server desk;

  (void)argc;
  lab_open (argv[1], 90);
  lab_start_core ();
  entry = lab_add_node ("desk", "za");
  lab_start (entry);
  lab_start_server (&desk, entry, "i-desk", serve_search, NULL);
  for (int i = 0; i < SERVERS; i++)
    {
      char id[32];

      nodes[i] = lab_add_node ("catalog", zones[i % 3]);
      lab_start (nodes[i]);
      snprintf (id, sizeof id, "i-catalog-%d-0", i + 1);
      lab_start_server (&servers[i], nodes[i], id, serve_search, NULL);
    }
  if (!lab_configure (0, 1,
                      "[\"search\",\"lab.example\",\"/search/\","
                      "\"idempotent\",3,2,1,null,2,\"catalog\"]",
                      "desk,catalog", 15)
      || !lab_wait_ready (entry, 10))
    lab_end (2);
  for (int i = 0; i < SERVERS; i++)
    if (!lab_wait_ready (nodes[i], 10))
      lab_end (2);
  lab_sleep (4);
  lab_thread (send_searches, NULL);
  lab_sleep (1);
  /* Its client asks again each second.  */
  for (int i = 1; i <= 20; i++)
    {
      lab_thread (send_search, (void *)(intptr_t)-i);
      lab_sleep (1);
    }
  stopped = 1;
  lab_sleep (5);
  lab_record ("%d crashes; %d times the request reached a server later than "
              "contact_s after the third crash, the rule allows 3; %d of %d "
              "other requests were not served",
              crashes, late_retries, innocent_lost, innocent_sent);
  lab_end (crashes >= 3 && late_retries > 3 ? 1 : 0);
}
