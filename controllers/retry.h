#ifndef CONTROLLERS_RETRY_H
#define CONTROLLERS_RETRY_H

/**
 * DOC: retry - retry allowance of a chain, retry budget of a service, resends
 *
 * An allowance is issued once at the entry of a chain.  It is split among
 * child calls and returned unused, never copied, so that the attempts of one
 * chain exceed its calls by at most the allowance.  The budget is a token
 * bucket that bounds retries and hedges to a share of first attempts.  The
 * resend table lets resends of one caller's request share one allowance.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

struct retry_allowance
{
  uint32_t remaining; /* retries that may still be spent or granted */
  uint32_t granted;   /* retries out with child attempts */
};

/* Takes one retry; false when none is left.  */
bool retry_take (struct retry_allowance *allowance);

/* Share for a child attempt: half of what remains, rounded up.  */
uint32_t retry_grant (struct retry_allowance *allowance);

/* Ends a child attempt that was granted GRANT and brings back UNUSED, which
   is capped at GRANT; what is missing is lost.  */
void retry_return (struct retry_allowance *allowance, uint32_t grant,
                   uint32_t unused);

struct retry_budget
{
  uint32_t percent; /* of first attempts */
  double tokens;
  double capacity; /* bounds the tokens saved up for a burst of failures */
  double earned;   /* from first attempts since WINDOW */
  clk_us refilled_at;
  clk_us window_start;
};

void retry_budget_init (struct retry_budget *budget, uint32_t percent,
                        clk_us now);
void retry_budget_earn (struct retry_budget *budget, clk_us now);

/* Takes one token for a retry or a hedge; false when the budget is spent. */
bool retry_budget_take (struct retry_budget *budget, clk_us now);

/* Puts the token of a retry back that was not started.  */
void retry_budget_refund (struct retry_budget *budget);

struct retry_table;

struct retry_table_opts
{
  uint32_t chains_max; /* entries kept */
  clk_us keep;         /* after the last use */
};

/* One chain at its entry node; shared by the caller's resends.  */
struct retry_chain
{
  struct list_node node; /* by age, while it has no users */
  struct list_node hash_node;
  uint64_t key;
  uint32_t refs; /* calls that hold it now */
  clk_us used_at;
  struct retry_allowance allowance;
};

struct retry_table *retry_table_new (const struct retry_table_opts *opts);
void retry_table_free (struct retry_table *table);

/**
 * retry_chain_get() - the chain record of a caller's request
 * @table: table
 * @key: hash of caller and idempotency key or trace id
 * @allowance: issued when the key is new
 * @now: time
 *
 * A full table never forgets a chain that is younger than the keep time; it
 * then gives a record without allowance instead.
 *
 * Return: a record, released with retry_chain_put(), or NULL without memory.
 */
struct retry_chain *retry_chain_get (struct retry_table *table, uint64_t key,
                                     uint32_t allowance, clk_us now);
void retry_chain_put (struct retry_table *table, struct retry_chain *chain,
                      clk_us now);

/* Chains that the table knows.  */
uint32_t retry_table_count (const struct retry_table *table);

#endif
