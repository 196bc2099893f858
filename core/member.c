#include "core/member.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

int
mem_compare (const struct mem_record *a, const struct mem_record *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation < b->incarnation ? -1 : 1;
  if (a->sequence != b->sequence)
    return a->sequence < b->sequence ? -1 : 1;
  return 0;
}

int
mem_add_item (struct lst *items, const struct mem_record *record)
{
  struct mem_item *item = calloc (1, sizeof *item);

  if (item == NULL)
    return SR_ENOMEM;
  item->record = *record;
  lst_push_tail (items, &item->node);
  return SR_OK;
}

void
mem_free_items (struct lst *items)
{
  struct lst_node *node;

  while ((node = lst_pop_head (items)) != NULL)
    free (lst_entry (node, struct mem_item, node));
}
