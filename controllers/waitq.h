#ifndef CONTROLLERS_WAITQ_H
#define CONTROLLERS_WAITQ_H

/**
 * DOC: waitq - priority queue of tickets by cost, importance and age
 *
 * One intrusive list for each cost and importance, and a bitmap of the lists
 * in use, so that the time of an operation does not depend on the number of
 * tickets.
 */

#include <stdint.h>

#include "controllers/slots.h"

#define WAITQ_COSTS 2u
/* A level is an importance, 0 to MODEL_IMPORTANCE_MAX.  */
#define WAITQ_LEVELS (MODEL_IMPORTANCE_MAX + 1u)
#define WAITQ_WORDS 2u /* of a bitmap of the levels */

/* Result when no level has tickets.  */
#define WAITQ_NONE (-1)

struct waitq
{
  uint32_t count;
  uint32_t counts[WAITQ_COSTS];
  uint64_t used[WAITQ_COSTS][WAITQ_WORDS]; /* bitmap of lists with tickets */
  struct list lists[WAITQ_COSTS][WAITQ_LEVELS]; /* oldest first */
};

void waitq_init (struct waitq *waitq);

/* Adds a ticket as the newest one of its cost and importance.  */
void waitq_push (struct waitq *waitq, struct slots_ticket *ticket);

/* Removes a ticket, which must be in the queue.  */
void waitq_remove (struct waitq *waitq, struct slots_ticket *ticket);

/* Highest and lowest importance level with tickets of COST, or WAITQ_NONE.  */
int waitq_highest (const struct waitq *waitq, enum model_cost cost);
int waitq_lowest (const struct waitq *waitq, enum model_cost cost);

/* Oldest and newest ticket of a level that has tickets.  */
struct slots_ticket *waitq_oldest (const struct waitq *waitq,
                                   enum model_cost cost, int level);
struct slots_ticket *waitq_newest (const struct waitq *waitq,
                                   enum model_cost cost, int level);

#endif
