#include "core/member.h"

#include <stdlib.h>
#include <string.h>

#include "core/err.h"

int
member_compare (const struct member_record *a, const struct member_record *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation < b->incarnation ? -1 : 1;
  if (a->sequence != b->sequence)
    return a->sequence < b->sequence ? -1 : 1;
  return 0;
}

int
member_add_item (struct list *items, const struct member_record *record)
{
  struct member_item *item = calloc (1, sizeof *item);

  if (item == NULL)
    return SR_ENOMEM;
  item->record = *record;
  list_push_tail (items, &item->node);
  return SR_OK;
}

void
member_free_items (struct list *items)
{
  struct list_node *node;

  while ((node = list_pop_head (items)) != NULL)
    free (list_entry (node, struct member_item, node));
}
