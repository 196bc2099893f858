#include "controllers/waitq.h"

#include <string.h>

#include "core/err.h"

#define WAITQ_WORD_BITS 64

void
waitq_init (struct waitq *wtq)
{
  memset (wtq, 0, sizeof *wtq);
  for (unsigned cost = 0; cost < WAITQ_COSTS; cost++)
    for (unsigned level = 0; level < WAITQ_LEVELS; level++)
      list_init (&wtq->lists[cost][level]);
}

static struct list *
ticket_list (struct waitq *wtq, const struct slots_ticket *ticket)
{
  INVARIANT (ticket->importance <= MODEL_IMPORTANCE_MAX);
  return &wtq->lists[ticket->cost][ticket->importance];
}

static uint64_t *
ticket_word (struct waitq *wtq, const struct slots_ticket *ticket)
{
  return &wtq->used[ticket->cost][ticket->importance / WAITQ_WORD_BITS];
}

static uint64_t
ticket_bit (const struct slots_ticket *ticket)
{
  return 1ull << (ticket->importance % WAITQ_WORD_BITS);
}

void
waitq_push (struct waitq *wtq, struct slots_ticket *ticket)
{
  INVARIANT (!list_linked (&ticket->node));
  list_push_tail (ticket_list (wtq, ticket), &ticket->node);
  *ticket_word (wtq, ticket) |= ticket_bit (ticket);
  wtq->counts[ticket->cost]++;
  wtq->count++;
}

void
waitq_remove (struct waitq *wtq, struct slots_ticket *ticket)
{
  INVARIANT (list_linked (&ticket->node));
  INVARIANT (wtq->counts[ticket->cost] > 0);
  list_remove (&ticket->node);
  if (list_empty (ticket_list (wtq, ticket)))
    *ticket_word (wtq, ticket) &= ~ticket_bit (ticket);
  wtq->counts[ticket->cost]--;
  wtq->count--;
}

int
waitq_highest (const struct waitq *wtq, enum model_cost cost)
{
  for (int word = WAITQ_WORDS - 1; word >= 0; word--)
    if (wtq->used[cost][word] != 0)
      return word * WAITQ_WORD_BITS + WAITQ_WORD_BITS - 1
             - __builtin_clzll (wtq->used[cost][word]);
  return WAITQ_NONE;
}

int
waitq_lowest (const struct waitq *wtq, enum model_cost cost)
{
  for (int word = 0; word < (int)WAITQ_WORDS; word++)
    if (wtq->used[cost][word] != 0)
      return word * WAITQ_WORD_BITS + __builtin_ctzll (wtq->used[cost][word]);
  return WAITQ_NONE;
}

struct slots_ticket *
waitq_oldest (const struct waitq *wtq, enum model_cost cost, int level)
{
  return list_entry (list_first (&wtq->lists[cost][level]),
                     struct slots_ticket, node);
}

struct slots_ticket *
waitq_newest (const struct waitq *wtq, enum model_cost cost, int level)
{
  return list_entry (list_last (&wtq->lists[cost][level]), struct slots_ticket,
                     node);
}
