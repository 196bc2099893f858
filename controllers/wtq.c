#include "controllers/wtq.h"

#include <string.h>

#include "core/err.h"

#define WTQ_WORD_BITS 64

void
wtq_init (struct wtq *wtq)
{
  memset (wtq, 0, sizeof *wtq);
  for (unsigned cost = 0; cost < WTQ_COSTS; cost++)
    for (unsigned level = 0; level < WTQ_LEVELS; level++)
      lst_init (&wtq->lists[cost][level]);
}

static struct lst *
ticket_list (struct wtq *wtq, const struct adm_ticket *ticket)
{
  INVARIANT (ticket->importance <= MDL_IMPORTANCE_MAX);
  return &wtq->lists[ticket->cost][ticket->importance];
}

static uint64_t *
ticket_word (struct wtq *wtq, const struct adm_ticket *ticket)
{
  return &wtq->used[ticket->cost][ticket->importance / WTQ_WORD_BITS];
}

static uint64_t
ticket_bit (const struct adm_ticket *ticket)
{
  return 1ull << (ticket->importance % WTQ_WORD_BITS);
}

void
wtq_push (struct wtq *wtq, struct adm_ticket *ticket)
{
  INVARIANT (!lst_linked (&ticket->node));
  lst_push_tail (ticket_list (wtq, ticket), &ticket->node);
  *ticket_word (wtq, ticket) |= ticket_bit (ticket);
  wtq->counts[ticket->cost]++;
  wtq->count++;
}

void
wtq_remove (struct wtq *wtq, struct adm_ticket *ticket)
{
  INVARIANT (lst_linked (&ticket->node));
  INVARIANT (wtq->counts[ticket->cost] > 0);
  lst_remove (&ticket->node);
  if (lst_empty (ticket_list (wtq, ticket)))
    *ticket_word (wtq, ticket) &= ~ticket_bit (ticket);
  wtq->counts[ticket->cost]--;
  wtq->count--;
}

int
wtq_highest (const struct wtq *wtq, enum mdl_cost cost)
{
  for (int word = WTQ_WORDS - 1; word >= 0; word--)
    if (wtq->used[cost][word] != 0)
      return word * WTQ_WORD_BITS + WTQ_WORD_BITS - 1
             - __builtin_clzll (wtq->used[cost][word]);
  return WTQ_NONE;
}

int
wtq_lowest (const struct wtq *wtq, enum mdl_cost cost)
{
  for (int word = 0; word < (int)WTQ_WORDS; word++)
    if (wtq->used[cost][word] != 0)
      return word * WTQ_WORD_BITS + __builtin_ctzll (wtq->used[cost][word]);
  return WTQ_NONE;
}

struct adm_ticket *
wtq_oldest (const struct wtq *wtq, enum mdl_cost cost, int level)
{
  return lst_entry (lst_first (&wtq->lists[cost][level]), struct adm_ticket,
                    node);
}

struct adm_ticket *
wtq_newest (const struct wtq *wtq, enum mdl_cost cost, int level)
{
  return lst_entry (lst_last (&wtq->lists[cost][level]), struct adm_ticket,
                    node);
}
