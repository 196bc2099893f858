#ifndef CORE_LIST_H
#define CORE_LIST_H

/**
 * DOC: list - intrusive doubly linked list
 *
 * The link is a member of the listed struct.  A node that is not on a list
 * has a NULL @next, so membership can be tested and removal is idempotent.
 */

#include <stdbool.h>
#include <stddef.h>

struct list_node
{
  struct list_node *next;
  struct list_node *prev;
};

/* Head of a list; points to itself when empty.  */
struct list
{
  struct list_node head;
};

/* Returns the struct of type TYPE whose member MEMBER is the node at PTR.  */
#define list_entry(ptr, type, member)                                         \
  ((type *)((char *)(ptr)-offsetof (type, member)))

/* Visits each node; the body may remove VAR from the list.  */
#define list_each(var, list)                                                  \
  for (struct list_node *var = (list)->head.next, *var##_next = var->next;    \
       var != &(list)->head; var = var##_next, var##_next = var->next)

static inline void
list_init (struct list *list)
{
  list->head.next = &list->head;
  list->head.prev = &list->head;
}

static inline bool
list_empty (const struct list *list)
{
  return list->head.next == &list->head;
}

static inline bool
list_is_linked (const struct list_node *node)
{
  return node->next != NULL;
}

/* Inserts NODE before POS.  */
static inline void
list_insert_before (struct list_node *pos, struct list_node *node)
{
  node->prev = pos->prev;
  node->next = pos;
  pos->prev->next = node;
  pos->prev = node;
}

static inline void
list_push_tail (struct list *list, struct list_node *node)
{
  list_insert_before (&list->head, node);
}

static inline void
list_push_head (struct list *list, struct list_node *node)
{
  list_insert_before (list->head.next, node);
}

static inline void
list_remove (struct list_node *node)
{
  if (node->next == NULL)
    return;
  node->prev->next = node->next;
  node->next->prev = node->prev;
  node->next = NULL;
  node->prev = NULL;
}

/* Returns the first node, or NULL when LIST is empty.  */
static inline struct list_node *
list_first (const struct list *list)
{
  return list_empty (list) ? NULL : list->head.next;
}

/* Returns the last node, or NULL when LIST is empty.  */
static inline struct list_node *
list_last (const struct list *list)
{
  return list_empty (list) ? NULL : list->head.prev;
}

/* Removes and returns the first node, or returns NULL.  Written without
   list_remove(), so that the static analyzer of clang sees that no list refers
   to the node when its owner frees it.  */
static inline struct list_node *
list_pop_head (struct list *list)
{
  struct list_node *node = list_first (list);

  if (node == NULL)
    return NULL;
  list->head.next = node->next;
  node->next->prev = &list->head;
  node->next = NULL;
  node->prev = NULL;
  return node;
}

/* Moves all nodes of FROM to the tail of TO in their order.  */
static inline void
list_splice_tail (struct list *to, struct list *from)
{
  struct list_node *node;

  while ((node = list_pop_head (from)) != NULL)
    list_push_tail (to, node);
}

#endif
