#ifndef CONTROLLERS_RETRY_H
#define CONTROLLERS_RETRY_H

/**
 * DOC: retry - retry allowance of a call chain, retry budget as a token
 * bucket, and resend table
 *
 * Allowance: number of retries for a whole call chain, issued once at its
 * entry.  It is split among child calls and returned unused, never copied, so
 * that the attempts of a chain exceed its calls by at most the allowance.
 *
 * Budget: token bucket that limits retries and hedges to a percentage of the
 * first attempts at a service.  filters/dispatch uses controllers/budget.h
 * instead.
 *
 * Resend table: lets the resends of a caller's request share one allowance.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

struct retry_allowance
{
  uint32_t remaining; /* retries that can still be spent or granted */
  uint32_t granted;   /* retries granted to running child attempts */
};

/* Takes one retry; false when none is left.  */
bool retry_allowance_take (struct retry_allowance *allowance);

/* Grants half of the remaining retries, rounded up, to a child attempt.
   Returns their number.  */
uint32_t retry_allowance_grant (struct retry_allowance *allowance);

/* Ends a child attempt that was granted GRANT retries and returns UNUSED of
   them, at most GRANT; the others count as spent.  */
void retry_allowance_return (struct retry_allowance *allowance, uint32_t grant,
                             uint32_t unused);

struct retry_budget
{
  uint32_t percent; /* of first attempts */
  double tokens;
  double capacity; /* maximum of the tokens, limits a burst of retries */
  double earned;   /* tokens from first attempts since window_start */
  clk_us refilled_at;
  clk_us window_start;
};

/* PERCENT is the share of first attempts that may be retried or hedged.  */
void retry_budget_init (struct retry_budget *budget, uint32_t percent,
                        clk_us now);

/* Adds the tokens of a first attempt.  */
void retry_budget_earn (struct retry_budget *budget, clk_us now);

/* Takes one token for a retry or a hedge; false when there is none.  */
bool retry_budget_take (struct retry_budget *budget, clk_us now);

/* Returns the token of a retry that was not started.  */
void retry_budget_refund (struct retry_budget *budget);

struct retry_table;

struct retry_table_opts
{
  uint32_t chains_max; /* maximum number of records */
  clk_us retention;    /* time that a record is kept after its last use */
};

/* A call chain at its entry node; shared by resends of the caller.  */
struct retry_chain
{
  struct list_node node; /* retry_table.idle, while it has no references */
  struct list_node hash_node;
  uint64_t key;
  uint32_t refs; /* calls that hold it */
  clk_us used_at;
  struct retry_allowance allowance;
};

/* Returns NULL without memory.  */
struct retry_table *retry_table_new (const struct retry_table_opts *opts);
void retry_table_free (struct retry_table *table);

/**
 * retry_chain_get() - find or add the record of a caller's request
 * @table: table
 * @key: hash of caller and idempotency key, or trace id when it has none
 * @allowance: retries of a new record
 * @now: current time
 *
 * A full table does not drop a record before its retention time has passed; a
 * new record then is not stored and gets no allowance.
 *
 * Return: record, to be released with retry_chain_put(); NULL without memory.
 */
struct retry_chain *retry_chain_get (struct retry_table *table, uint64_t key,
                                     uint32_t allowance, clk_us now);
void retry_chain_put (struct retry_table *table, struct retry_chain *chain,
                      clk_us now);

/* Number of records in the table.  */
uint32_t retry_table_count (const struct retry_table *table);

#endif
