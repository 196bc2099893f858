#include "core/counter.h"

#include <stdatomic.h>
#include <stddef.h>

static _Atomic uint64_t counter_values[COUNTER_COUNT];
static _Atomic uint64_t counter_refusals[REASON_COUNT];
static _Atomic uint64_t counter_retries[REASON_RETRY_COUNT];

struct counter_row
{
  const char *name;
  const char *help;
};

static const struct counter_row counter_rows[COUNTER_COUNT] = {
#define COUNTER_X(symbol, name, help) [COUNTER_##symbol] = { name, help },
  COUNTER_TABLE (COUNTER_X)
#undef COUNTER_X
};

void
counter_add (enum counter_id id, uint64_t amount)
{
  atomic_fetch_add_explicit (&counter_values[id], amount,
                             memory_order_relaxed);
}

uint64_t
counter_get (enum counter_id id)
{
  return atomic_load_explicit (&counter_values[id], memory_order_relaxed);
}

void
counter_add_refusal (enum reason_refusal reason)
{
  atomic_fetch_add_explicit (&counter_refusals[reason], 1,
                             memory_order_relaxed);
}

void
counter_add_retry (enum reason_retry reason)
{
  atomic_fetch_add_explicit (&counter_retries[reason], 1,
                             memory_order_relaxed);
}

void
counter_each (void (*visit) (void *arg, const char *name, const char *help,
                             const char *label, uint64_t value),
              void *arg)
{
  int i;

  for (i = 0; i < COUNTER_COUNT; i++)
    visit (arg, counter_rows[i].name, counter_rows[i].help, NULL,
           counter_values[i]);
  for (i = REASON_NONE + 1; i < REASON_COUNT; i++)
    visit (arg, "rudder_refused_total", "Requests refused, by reason",
           reason_name ((enum reason_refusal)i), counter_refusals[i]);
  for (i = REASON_RETRY_NONE + 1; i < REASON_RETRY_COUNT; i++)
    visit (arg, "rudder_retries_total", "Attempts after the first, by reason",
           reason_retry_name ((enum reason_retry)i), counter_retries[i]);
}
