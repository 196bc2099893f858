#include <stdio.h>

#include "bench/measure.h"
#include "controllers/quarantine.h"
#include "core/err.h"

/* Servers, and requests in flight at each, in the quarantine scenario.  */
#define VARIANT_SERVERS 8u
#define VARIANT_IN_FLIGHT 30u

/* Prints the results of one admission policy at several loads.  */
static void
variants_admission_row (const char *name, const struct world_opts *base)
{
  static const double loads[] = { 1, 2, 4 };
  struct world_opts opts = *base;

  printf ("%-34s", name);
  for (int i = 0; i < 3; i++)
    {
      struct measure_overload figures;

      opts.load = loads[i];
      figures = measure_overload_run (&opts);
      printf (" %6.1f %6.1f", figures.goodput,
              figures.most_important_answered);
    }
  printf (" %8.2f %8.1f\n", measure_recovery_run (base),
          measure_swing_run (base));
  fflush (stdout);
}

static void
variants_admission (uint64_t seed)
{
  struct world_opts opts = measure_orders_opts (WORLD_ADAPTIVE, seed);

  printf ("\nadmission, orders: goodput %% and most important %% at 1, 2, 4 x;"
          " recovery s; goodput after ramp %%\n");
  variants_admission_row ("as chosen", &opts);
  opts.admission.limit_mode = LIMITER_FIXED;
  variants_admission_row ("limit fixed at the slots", &opts);
  opts.admission.limit_mode = LIMITER_ADAPTIVE;
  opts.admission.order = SLOTS_ORDER_FIFO;
  variants_admission_row ("oldest first", &opts);
  opts.admission.order = SLOTS_ORDER_LIFO;
  variants_admission_row ("newest first", &opts);
  opts.admission.order = SLOTS_ORDER_ADAPTIVE;
  opts.admission.evict = SLOTS_EVICT_NEWEST;
  variants_admission_row ("evict newest", &opts);
  opts.admission.evict = SLOTS_EVICT_OLDEST;
  variants_admission_row ("evict oldest", &opts);
  opts.admission.evict = SLOTS_EVICT_LAST;
  opts.admission.queue_max *= 8;
  variants_admission_row ("long queue, as chosen", &opts);
  opts.admission.order = SLOTS_ORDER_FIFO;
  variants_admission_row ("long queue, oldest first", &opts);
  opts.admission.order = SLOTS_ORDER_LIFO;
  variants_admission_row ("long queue, newest first", &opts);
}

static void
variants_choice (uint64_t seed)
{
  static const char *const names[]
      = { "two choices, latency, ejection", "random", "least in flight of all",
          "two choices on in flight" };

  printf ("\nchoice: p99 ms without, with a slow server, ratio (search);"
          " goodput %%, most important %% at 4 x (orders)\n");
  for (int choice = 0; choice < 4; choice++)
    for (int hedge = 1; hedge >= 0; hedge--)
      {
        struct world_opts search = measure_search_opts (WORLD_ADAPTIVE, seed);
        struct world_opts orders = measure_orders_opts (WORLD_ADAPTIVE, seed);
        struct measure_straggler straggler;
        struct measure_overload overload;

        search.choice = orders.choice = (enum world_choice)choice;
        search.hedge = orders.hedge = hedge != 0;
        orders.load = 4;
        straggler = measure_straggler_run (&search);
        overload = measure_overload_run (&orders);
        printf ("%-34s %-9s %7.1f %7.1f %6.2f %7.1f %7.1f\n", names[choice],
                hedge ? "hedges" : "no hedges", straggler.healthy_ms,
                straggler.straggler_ms,
                straggler.straggler_ms / straggler.healthy_ms,
                overload.goodput, overload.most_important_answered);
      }
}

static void
variants_retry (uint64_t seed)
{
  static const uint32_t depths[] = { 1, 4, 12, 29 };

  printf ("\nallowance: answered %% of chains 1, 4, 12, 29 deep; an attempt "
          "fails with 1 %%\n");
  for (int lost = 0; lost < 2; lost++)
    for (int grant_all = 0; grant_all < 2; grant_all++)
      {
        printf ("%-34s answers lost %d %%",
                grant_all ? "grant all of the allowance" : "grant half", lost);
        for (int i = 0; i < 4; i++)
          printf (" %7.2f",
                  measure_random_chain_run (depths[i], grant_all != 0, 0.01,
                                            lost * 0.01, seed));
        printf ("\n");
      }
}

/* A request that crashes each server on which it runs is retried until it is
   quarantined, after CRASHES_NEEDED crashes; each server has other requests in
   flight, which are suspected as well.  The controller always needs
   QUARANTINE_SERVERS_MIN marks, so each crash adds as many as make up for a
   lower CRASHES_NEEDED.  */
static void
variants_quarantine (uint32_t crashes_needed)
{
  struct quarantine_opts opts
      = { .duration = clk_s (300), .fingerprints_max = 1024 };
  struct quarantine *quarantine = quarantine_new (&opts);
  clk_us now = clk_s (1);
  uint32_t servers_lost = 0;
  uint32_t blocked = 0;

  INVARIANT (quarantine != NULL);
  while (servers_lost < VARIANT_SERVERS
         && !quarantine_is_blocked (quarantine, 0, now))
    {
      char name[QUARANTINE_INSTANCE_BYTES];

      for (uint32_t i = 0; i <= VARIANT_IN_FLIGHT; i++)
        for (uint32_t mark = crashes_needed; mark <= QUARANTINE_SERVERS_MIN;
             mark++)
          {
            snprintf (name, sizeof name, "%u-%u", servers_lost, mark);
            quarantine_add_mark (
                quarantine, i == 0 ? 0 : servers_lost * VARIANT_IN_FLIGHT + i,
                name, now);
          }
      servers_lost++;
    }
  for (uint32_t i = 1; i <= VARIANT_SERVERS * VARIANT_IN_FLIGHT; i++)
    blocked += quarantine_is_blocked (quarantine, i, now);
  printf ("quarantine after %u server(s): %u servers lost, %u harmless "
          "requests refused\n",
          crashes_needed, servers_lost, blocked);
  quarantine_free (quarantine);
}

/* One caller sends ten times the load of all other callers.  */
static void
variants_caller_share (uint64_t seed)
{
  static const uint32_t percents[] = { 0, 75, 50, 25 };

  printf ("\ncap per caller in %% of slots and queue: others answered %%, "
          "goodput %%; one caller sends 10 x the others' load, 4 x in all\n");
  for (int i = 0; i < 4; i++)
    {
      struct world_opts opts = measure_orders_opts (WORLD_ADAPTIVE, seed);
      struct measure_overload figures;

      opts.kinds = 2;
      opts.kind[0] = opts.kind[2];
      opts.kind[1] = opts.kind[2];
      opts.kind[0].share = 1.0 / 11;
      opts.kind[1].share = 10.0 / 11;
      opts.caller_share_percent = percents[i];
      opts.load = 4;
      figures = measure_overload_run (&opts);
      printf ("cap %3u %%: %6.1f %6.1f\n", percents[i],
              figures.most_important_answered, figures.goodput);
    }
}

void
measure_variants (uint64_t seed)
{
  printf ("virtual time, seed %llu\n", (unsigned long long)seed);
  variants_choice (seed);
  variants_retry (seed);
  printf ("\n");
  variants_quarantine (1);
  variants_quarantine (2);
  variants_caller_share (seed);
  variants_admission (seed);
}
