#ifndef CORE_LIST_H
#define CORE_LIST_H

/**
 * DOC: lst - intrusive doubly linked list
 *
 * The link is a member of the listed struct.  A node that is not on a list
 * has a NULL @next, so membership can be tested and removal is idempotent.
 */

#include <stdbool.h>
#include <stddef.h>

struct lst_node
{
  struct lst_node *next;
  struct lst_node *prev;
};

/* Head of a list; points to itself when empty.  */
struct lst
{
  struct lst_node head;
};

/* The struct that contains the node at PTR as MEMBER.  */
#define lst_entry(ptr, type, member)                                          \
  ((type *)((char *)(ptr)-offsetof (type, member)))

/* Visits each node; VAR may be removed from the list in the body.  */
#define lst_each(var, list)                                                   \
  for (struct lst_node *var = (list)->head.next, *var##_next = var->next;     \
       var != &(list)->head; var = var##_next, var##_next = var->next)

static inline void
lst_init (struct lst *list)
{
  list->head.next = &list->head;
  list->head.prev = &list->head;
}

static inline bool
lst_empty (const struct lst *list)
{
  return list->head.next == &list->head;
}

static inline bool
lst_linked (const struct lst_node *node)
{
  return node->next != NULL;
}

/* Inserts NODE before POS.  */
static inline void
lst_insert_before (struct lst_node *pos, struct lst_node *node)
{
  node->prev = pos->prev;
  node->next = pos;
  pos->prev->next = node;
  pos->prev = node;
}

static inline void
lst_push_tail (struct lst *list, struct lst_node *node)
{
  lst_insert_before (&list->head, node);
}

static inline void
lst_push_head (struct lst *list, struct lst_node *node)
{
  lst_insert_before (list->head.next, node);
}

static inline void
lst_remove (struct lst_node *node)
{
  if (node->next == NULL)
    return;
  node->prev->next = node->next;
  node->next->prev = node->prev;
  node->next = NULL;
  node->prev = NULL;
}

/* First node, or NULL when LIST is empty.  */
static inline struct lst_node *
lst_first (const struct lst *list)
{
  return lst_empty (list) ? NULL : list->head.next;
}

static inline struct lst_node *
lst_last (const struct lst *list)
{
  return lst_empty (list) ? NULL : list->head.prev;
}

/* Links through LIST and not through the node, so that the static analyzer of
   clang sees that the node is off the list when its owner frees it.  */
static inline struct lst_node *
lst_pop_head (struct lst *list)
{
  struct lst_node *node = lst_first (list);

  if (node == NULL)
    return NULL;
  list->head.next = node->next;
  node->next->prev = &list->head;
  node->next = NULL;
  node->prev = NULL;
  return node;
}

/* Moves all nodes of FROM to the tail of TO.  */
static inline void
lst_splice_tail (struct lst *to, struct lst *from)
{
  struct lst_node *node;

  while ((node = lst_pop_head (from)) != NULL)
    lst_push_tail (to, node);
}

#endif
