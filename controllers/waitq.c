#include "controllers/waitq.h"

#include <string.h>

#include "core/err.h"

#define WAITQ_WORD_BITS 64

void
waitq_init (struct waitq *waitq)
{
  memset (waitq, 0, sizeof *waitq);
  for (unsigned cost = 0; cost < WAITQ_COSTS; cost++)
    for (unsigned level = 0; level < WAITQ_LEVELS; level++)
      list_init (&waitq->lists[cost][level]);
}

static struct list *
ticket_list (struct waitq *waitq, const struct slots_ticket *ticket)
{
  INVARIANT (ticket->importance <= MODEL_IMPORTANCE_MAX);
  return &waitq->lists[ticket->cost][ticket->importance];
}

static uint64_t *
ticket_word (struct waitq *waitq, const struct slots_ticket *ticket)
{
  return &waitq->used[ticket->cost][ticket->importance / WAITQ_WORD_BITS];
}

static uint64_t
ticket_bit (const struct slots_ticket *ticket)
{
  return 1ull << (ticket->importance % WAITQ_WORD_BITS);
}

void
waitq_push (struct waitq *waitq, struct slots_ticket *ticket)
{
  INVARIANT (!list_is_linked (&ticket->node));
  list_push_tail (ticket_list (waitq, ticket), &ticket->node);
  *ticket_word (waitq, ticket) |= ticket_bit (ticket);
  waitq->counts[ticket->cost]++;
  waitq->count++;
}

void
waitq_remove (struct waitq *waitq, struct slots_ticket *ticket)
{
  INVARIANT (list_is_linked (&ticket->node));
  INVARIANT (waitq->counts[ticket->cost] > 0);
  list_remove (&ticket->node);
  if (list_empty (ticket_list (waitq, ticket)))
    *ticket_word (waitq, ticket) &= ~ticket_bit (ticket);
  waitq->counts[ticket->cost]--;
  waitq->count--;
}

int
waitq_highest (const struct waitq *waitq, enum model_cost cost)
{
  for (int word = WAITQ_WORDS - 1; word >= 0; word--)
    if (waitq->used[cost][word] != 0)
      return word * WAITQ_WORD_BITS + WAITQ_WORD_BITS - 1
             - __builtin_clzll (waitq->used[cost][word]);
  return WAITQ_NONE;
}

int
waitq_lowest (const struct waitq *waitq, enum model_cost cost)
{
  for (int word = 0; word < (int)WAITQ_WORDS; word++)
    if (waitq->used[cost][word] != 0)
      return word * WAITQ_WORD_BITS
             + __builtin_ctzll (waitq->used[cost][word]);
  return WAITQ_NONE;
}

struct slots_ticket *
waitq_oldest (const struct waitq *waitq, enum model_cost cost, int level)
{
  return list_entry (list_first (&waitq->lists[cost][level]),
                     struct slots_ticket, node);
}

struct slots_ticket *
waitq_newest (const struct waitq *waitq, enum model_cost cost, int level)
{
  return list_entry (list_last (&waitq->lists[cost][level]),
                     struct slots_ticket, node);
}
