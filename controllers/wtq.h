#ifndef CONTROLLERS_WTQ_H
#define CONTROLLERS_WTQ_H

/**
 * DOC: wtq - waiting tickets by cost, importance and age
 *
 * One intrusive list for each cost and importance, and a bit map of those in
 * use, so that no operation depends on the number of tickets.
 */

#include <stdint.h>

#include "controllers/adm.h"

#define WTQ_COSTS 2u
#define WTQ_LEVELS (MDL_IMPORTANCE_MAX + 1u)
#define WTQ_WORDS 2u

/* No level in use.  */
#define WTQ_NONE (-1)

struct wtq
{
  uint32_t count;
  uint32_t counts[WTQ_COSTS];
  uint64_t used[WTQ_COSTS][WTQ_WORDS];
  struct lst lists[WTQ_COSTS][WTQ_LEVELS]; /* oldest first */
};

void wtq_init (struct wtq *wtq);
void wtq_push (struct wtq *wtq, struct adm_ticket *ticket);
void wtq_remove (struct wtq *wtq, struct adm_ticket *ticket);

/* Most and least important level with tickets of COST, or WTQ_NONE.  */
int wtq_highest (const struct wtq *wtq, enum mdl_cost cost);
int wtq_lowest (const struct wtq *wtq, enum mdl_cost cost);

/* Tickets of a level that is in use.  */
struct adm_ticket *wtq_oldest (const struct wtq *wtq, enum mdl_cost cost,
                               int level);
struct adm_ticket *wtq_newest (const struct wtq *wtq, enum mdl_cost cost,
                               int level);

#endif
