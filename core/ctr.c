#include "core/ctr.h"

#include <stdatomic.h>
#include <stddef.h>

static _Atomic uint64_t ctr_values[CTR_COUNT];
static _Atomic uint64_t ctr_refusals[RSN_COUNT];
static _Atomic uint64_t ctr_retries[RSN_RETRY_COUNT];

struct ctr_row
{
  const char *name;
  const char *help;
};

static const struct ctr_row ctr_rows[CTR_COUNT] = {
#define CTR_X(symbol, name, help) [CTR_##symbol] = { name, help },
  CTR_TABLE (CTR_X)
#undef CTR_X
};

void
ctr_add (enum ctr_id id, uint64_t amount)
{
  atomic_fetch_add_explicit (&ctr_values[id], amount, memory_order_relaxed);
}

uint64_t
ctr_get (enum ctr_id id)
{
  return atomic_load_explicit (&ctr_values[id], memory_order_relaxed);
}

void
ctr_refused (enum rsn_refusal reason)
{
  atomic_fetch_add_explicit (&ctr_refusals[reason], 1, memory_order_relaxed);
}

void
ctr_retried (enum rsn_retry reason)
{
  atomic_fetch_add_explicit (&ctr_retries[reason], 1, memory_order_relaxed);
}

void
ctr_each (void (*visit) (void *arg, const char *name, const char *help,
                         const char *label, uint64_t value),
          void *arg)
{
  int i;

  for (i = 0; i < CTR_COUNT; i++)
    visit (arg, ctr_rows[i].name, ctr_rows[i].help, NULL, ctr_values[i]);
  for (i = RSN_NONE + 1; i < RSN_COUNT; i++)
    visit (arg, "rudder_refused_total", "Requests refused, by reason",
           rsn_name ((enum rsn_refusal)i), ctr_refusals[i]);
  for (i = RSN_RETRY_NONE + 1; i < RSN_RETRY_COUNT; i++)
    visit (arg, "rudder_retries_total", "Attempts after the first, by reason",
           rsn_retry_name ((enum rsn_retry)i), ctr_retries[i]);
}
