/* Hundreds of changes of a configuration that has grown by many routes.  The
   stand-in of the platform kills a process that uses more than memory_mb and
   starts it again after a short delay.  */
#include "lab.h"

#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define MEMORY_MB 256
#define STEP_ROUTES 400 /* at most 489 in a day of rmedl-fes */
#define ROUTES 4800
#define ROUTES_CALM 40
#define CHANGES 700
#define BACK_S 0.5
#define WATCH_S 12.0

static int over_limit[LAB_CORES];
static volatile bool watching = true;
static volatile int version;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char rows[1 << 20];

static long
memory_kb (pid_t pid)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmRSS: %ld kB", &kb) == 1)
      break;
  if (file != NULL)
    fclose (file);
  return kb;
}

/* The platform's watch over one core machine.  */
static void *
watch (void *arg)
{
  int index = (int)(intptr_t)arg;
  struct lab_node *node = &lab_nodes[index];

  while (watching)
    {
      long kb = memory_kb (node->pid);
      bool ended = waitpid (node->pid, NULL, WNOHANG) == node->pid;

      if (kb > MEMORY_MB * 1024L || ended)
        {
          over_limit[index]++;
          lab_record ("%s %s (%ld MB in use, limit %d MB), after version "
                      "r%d; end %d of this process",
                      node->name,
                      ended ? "ended by itself" : "is killed by the platform",
                      kb / 1024, MEMORY_MB, version, over_limit[index]);
          if (!ended)
            {
              kill (node->pid, SIGKILL);
              waitpid (node->pid, NULL, 0);
            }
          node->pid = 0;
          node->first_start = false;
          lab_sleep (BACK_S);
          pthread_mutex_lock (&lock);
          if (watching)
            lab_start (node);
          pthread_mutex_unlock (&lock);
        }
      lab_sleep (0.01);
    }
  return NULL;
}

static bool
change (int routes)
{
  size_t used = 0;

  for (int i = 0; i < routes; i++)
    used += (size_t)sprintf (
        rows + used,
        "%s[\"r-x%06d\",\"lab%03d.example\",\"/p%06d/\",\"idempotent\",%d,2,"
        "1,null,2,\"catalog\"]",
        i > 0 ? "," : "", i, i % 100, i, 2 + (version + i) % 3);
  if (!lab_configure (version, version + 1, rows, "catalog", 8))
    return false;
  version++;
  if (version % 50 == 0)
    lab_record ("version r%d: %d routes, %zu bytes; memory of the core: %ld, "
                "%ld, %ld MB",
                version, routes, used, memory_kb (lab_nodes[0].pid) / 1024,
                memory_kb (lab_nodes[1].pid) / 1024,
                memory_kb (lab_nodes[2].pid) / 1024);
  return true;
}

/* Core machines whose process ended by itself.  */
static int
cores_ended (void)
{
  int count = 0;

  for (int i = 0; i < LAB_CORES; i++)
    count += over_limit[i] > 0;
  return count;
}

int
main (int argc, char **argv)
{
  int routes = STEP_ROUTES;
  int routes_max;
  int broken = 0;
  double end;
  int read = 0;

  (void)argc;
  lab_open (argv[1], 115);
  routes_max = lab_trouble ? ROUTES : ROUTES_CALM;
  lab_start_core ();
  lab_sleep (1);
  for (intptr_t i = 0; i < LAB_CORES; i++)
    lab_thread (watch, (void *)i);
  while (version < CHANGES && cores_ended () < 2)
    {
      if (!change (routes < routes_max ? routes : routes_max))
        break;
      routes += STEP_ROUTES;
    }
  lab_record ("version r%d is the last one acknowledged", version);
  end = lab_now () + WATCH_S;
  while (lab_now () < end)
    {
      int status = lab_read_configuration (&lab_nodes[read++ % LAB_CORES]);

      if (read % 10 == 1)
        lab_record ("the operator reads the configuration: status %d",
                    status);
      lab_sleep (0.2);
    }
  watching = false;
  pthread_mutex_lock (&lock);
  for (int i = 0; i < LAB_CORES; i++)
    {
      lab_record ("%s: %d ends by itself", lab_nodes[i].name, over_limit[i]);
      broken += over_limit[i] >= 3;
    }
  lab_end (broken >= 2 ? 1 : 0);
}
