/* Two of the three control machines are replaced, one after the other, each by
   a new one that was started first.  See review/6/claim.txt.  */

#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define CATCH_UP_S 4.0
/* Time after the last removal within which the configuration has to be
   readable: recovery_s and contact_s, twice.  */
#define READ_BACK_S 36.0

static struct lab_machine c1 = { "core-z1-1", "127.30.6.1", "z1", LAB_CORE };
static struct lab_machine c2 = { "core-z2-1", "127.30.6.2", "z2", LAB_CORE };
static struct lab_machine c3 = { "core-z3-1", "127.30.6.3", "z3", LAB_CORE };
static struct lab_machine e1 = { "core-z1-2", "127.30.6.4", "z1", LAB_CORE };
static struct lab_machine e2 = { "core-z2-2", "127.30.6.5", "z2", LAB_CORE };

/* Sends a change until it is acknowledged or TIMEOUT_S has passed.  */
static bool
apply (struct lab_machine *const *machines, int count, unsigned base,
       unsigned version, double timeout_s)
{
  double until = lab_now () + timeout_s;
  size_t len;
  char *document = lab_document (version, 0, &len);
  int status = 0;
  int last = -1;

  for (int i = 0; lab_now () < until && status != 200; i++)
    {
      const struct lab_machine *machine = machines[i % count];

      status = lab_replace (machine, base, document, len);
      if (status != last)
        lab_record ("operator: change r%u on r%u to %s: status %d", version,
                    base, machine->name, status);
      last = status;
      if (status != 200)
        lab_sleep (0.2);
    }
  free (document);
  return status == 200;
}

int
main (int argc, char **argv)
{
  const struct lab_machine *const seeds[] = { &c1, &c2, &c3 };
  struct lab_machine *const old[] = { &c1, &c2, &c3 };
  struct lab_machine *now[] = { &e1, &e2, &c3 };
  const char *variant = getenv ("VARIANT");
  bool disk = variant != NULL && strcmp (variant, "disk") == 0;
  double until;
  bool read = false;
  bool changed;
  int reads = 0;

  if (argc != 2)
    return 2;
  lab_begin (argv[1]);
  lab_seeds (seeds, 3);
  for (int i = 0; i < 3; i++)
    lab_start (old[i], true);
  if (!apply (old, 3, 0, 2, 15) || !apply (old, 3, 2, 5, 8))
    lab_cannot_run ("no configuration was acknowledged");
  lab_sleep (2);

  /* Both new machines start first.  */
  lab_start (&e1, false);
  if (!disk)
    lab_start (&e2, false);
  lab_sleep (CATCH_UP_S + 0.5);
  if (!apply (old, 3, 5, 7, 8))
    lab_cannot_run ("no change was acknowledged with the new machines");
  if (lab_trouble ())
    {
      lab_record ("%s is removed; its successor %s has run for over %.1f s",
                  c1.name, e1.name, CATCH_UP_S);
      lab_terminate (&c1);
      lab_sleep (CATCH_UP_S + 0.1);
      if (disk)
        {
          lab_record ("%s loses its disk", c2.name);
          lab_kill (&c2);
          lab_lose_disk (&c2);
          lab_sleep (1);
          lab_start (&c2, false);
          now[1] = &c2;
        }
      else
        {
          lab_record ("%s is removed; its successor %s has run for over "
                      "%.1f s",
                      c2.name, e2.name, 2 * CATCH_UP_S);
          lab_terminate (&c2);
        }
    }
  else if (disk)
    now[1] = &c2;

  until = lab_now () + READ_BACK_S;
  while (lab_now () < until && !read)
    {
      for (int i = 0; i < 3; i++)
        {
          long version = lab_get (now[i]);

          if (++reads <= 9 || version > 0)
            lab_record ("operator: read from %s: %s%ld", now[i]->name,
                        version > 0 ? "version r" : "none, ", version);
          read |= version >= 7;
        }
      lab_sleep (0.5);
    }
  changed = apply (now, 3, 7, 9, 8);
  lab_record ("reads %d, the acknowledged r7 was read back: %s; a further "
              "change was acknowledged: %s",
              reads, read ? "yes" : "no", changed ? "yes" : "no");
  lab_record (read ? "CONFIG held"
                   : "CONFIG broken: read back, the configuration does not "
                     "come");
  lab_end (read ? 0 : 1);
}
