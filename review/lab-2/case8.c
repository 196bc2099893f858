/* An operator sends hundreds of changes of a large configuration.  The
   platform kills a process that uses more than memory_mb.  See
   review/8/claim.txt.  */

#include <pthread.h>
#include <stdlib.h>

#include "lab.h"

#define MEMORY_MB 256
#define ROUTES 2800
#define CHANGES 700
#define CHANGES_CALM 40
#define RESTART_DELAY_S 0.5
#define SEND_S 60
#define READ_BACK_S 20
/* Ends for memory that are recorded one by one.  */
#define KILLS_RECORDED 6

static struct lab_machine c1 = { "core-z1-1", "127.30.8.1", "z1", LAB_CORE };
static struct lab_machine c2 = { "core-z2-1", "127.30.8.2", "z2", LAB_CORE };
static struct lab_machine c3 = { "core-z3-1", "127.30.8.3", "z3", LAB_CORE };
static struct lab_machine *const all[] = { &c1, &c2, &c3 };

static volatile bool platform_stops;
static volatile int platform_kills;
static double platform_memory_max;

/* The platform: kills a process over the limit, and starts each process that
   has ended again after a short delay.  */
static void *
platform_main (void *arg)
{
  double start_at[3] = { 0 };

  (void)arg;
  while (!platform_stops)
    {
      for (int i = 0; i < 3; i++)
        {
          double memory = lab_memory_mib (all[i]);

          if (memory > platform_memory_max)
            platform_memory_max = memory;
          if (memory > MEMORY_MB)
            {
              if (++platform_kills <= KILLS_RECORDED)
                lab_record ("platform: %s uses %.0f MiB of %d: killed",
                            all[i]->name, memory, MEMORY_MB);
              lab_quiet (platform_kills > KILLS_RECORDED);
              lab_kill (all[i]);
            }
          if (start_at[i] > 0 && lab_now () >= start_at[i])
            {
              start_at[i] = 0;
              lab_start (all[i], false);
            }
          else if (start_at[i] <= 0 && !lab_runs (all[i]))
            start_at[i] = lab_now () + RESTART_DELAY_S;
        }
      lab_sleep (0.05);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  const struct lab_machine *const seeds[] = { &c1, &c2, &c3 };
  int changes = lab_trouble () ? CHANGES : CHANGES_CALM;
  unsigned acked = 0;
  int acked_count = 0;
  int machine = 0;
  int kills_at_read;
  double until;
  bool read = false;
  pthread_t platform;

  if (argc != 2)
    return 2;
  lab_begin (argv[1]);
  lab_seeds (seeds, 3);
  for (int i = 0; i < 3; i++)
    lab_start (all[i], true);
  pthread_create (&platform, NULL, platform_main, NULL);

  until = lab_now () + SEND_S;
  for (int i = 1; i <= changes && lab_now () < until; i++)
    {
      size_t len;
      unsigned version = (unsigned)i * 2;
      char *document = lab_document (version, ROUTES, &len);
      int status = 0;

      while (lab_now () < until && status != 200)
        {
          status = lab_replace (all[machine], acked, document, len);
          if (status == 200)
            break;
          machine = (machine + 1) % 3;
          lab_sleep (0.1);
        }
      if (status == 200)
        {
          acked = version;
          acked_count++;
        }
      if (status == 200 && (acked_count == 1 || acked_count % 50 == 0))
        lab_record ("operator: %d changes of %zu bytes acknowledged, newest "
                    "r%u; memory %.0f %.0f %.0f MiB",
                    acked_count, len, acked, lab_memory_mib (&c1),
                    lab_memory_mib (&c2), lab_memory_mib (&c3));
      free (document);
    }
  lab_record ("operator: %d changes acknowledged, newest r%u; kills %d, "
              "most memory %.0f MiB",
              acked_count, acked, platform_kills, platform_memory_max);
  if (acked_count == 0)
    lab_cannot_run ("no change was acknowledged");

  kills_at_read = platform_kills;
  until = lab_now () + READ_BACK_S;
  while (lab_now () < until && !read)
    for (int i = 0; i < 3 && !read; i++)
      {
        long version = lab_get (all[i]);

        lab_record ("operator: read from %s: %ld", all[i]->name, version);
        read = version >= (long)acked;
        lab_sleep (0.3);
      }
  platform_stops = true;
  pthread_join (platform, NULL);
  lab_record ("the newest acknowledged change was read back: %s; kills for "
              "memory %d, %d of them while nothing was sent",
              read ? "yes" : "no", platform_kills,
              platform_kills - kills_at_read);
  lab_record (read && platform_kills == 0
                  ? "CONFIG held, no process was ended"
                  : "broken: %s",
              read ? "processes end by themselves"
                   : "CONFIG, read back, the configuration does not come");
  lab_end (read && platform_kills == 0 ? 0 : 1);
}
