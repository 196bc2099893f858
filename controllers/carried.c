#include "controllers/carried.h"

#include <stdlib.h>

#include "core/err.h"

/* A request id on one connection.  */
struct carried_id
{
  struct htable_node id_node; /* carried.by_id */
  struct list_node age_node;  /* carried.by_age */
  struct list_node conn_node; /* carried_conn.ids */
  struct carried_conn *conn;
  clk_us expires_at;
};

int
carried_init (struct carried *carried, const struct carried_opts *opts)
{
  carried->opts = *opts;
  list_init (&carried->by_age);
  return htable_init (&carried->by_id);
}

static void
carried_remove (struct carried *carried, struct carried_id *id)
{
  htable_remove (&carried->by_id, &id->id_node);
  list_remove (&id->age_node);
  list_remove (&id->conn_node);
  free (id);
}

/* The oldest id, or NULL.  */
static struct carried_id *
carried_oldest (const struct carried *carried)
{
  struct list_node *node = list_first (&carried->by_age);

  return node != NULL ? list_entry (node, struct carried_id, age_node) : NULL;
}

void
carried_fini (struct carried *carried)
{
  struct carried_id *id;

  while ((id = carried_oldest (carried)) != NULL)
    carried_remove (carried, id);
  htable_fini (&carried->by_id);
}

void
carried_extend_retention (struct carried *carried, clk_us retention)
{
  if (retention > carried->opts.retention)
    carried->opts.retention = retention;
}

void
carried_conn_init (struct carried_conn *conn)
{
  list_init (&conn->ids);
  conn->incomplete = false;
}

void
carried_conn_fini (struct carried *carried, struct carried_conn *conn)
{
  struct list_node *node;

  while ((node = list_first (&conn->ids)) != NULL)
    carried_remove (carried, list_entry (node, struct carried_id, conn_node));
}

/* Removes the ids of requests that are not sent again.  One that expires late
   keeps the younger ones behind it.  */
static void
carried_expire (struct carried *carried, clk_us now)
{
  struct carried_id *id;

  while ((id = carried_oldest (carried)) != NULL && now >= id->expires_at)
    carried_remove (carried, id);
}

void
carried_add (struct carried *carried, struct carried_conn *conn, uint64_t id,
             clk_us deadline, clk_us now)
{
  struct carried_id *added;

  carried_expire (carried, now);
  if (carried->by_id.item_count >= carried->opts.ids_max)
    {
      struct carried_id *oldest = carried_oldest (carried);

      oldest->conn->incomplete = true;
      carried_remove (carried, oldest);
    }
  added = calloc (1, sizeof *added);
  if (added == NULL)
    {
      conn->incomplete = true;
      return;
    }
  added->conn = conn;
  added->expires_at = now + carried->opts.retention;
  if (added->expires_at < deadline)
    added->expires_at = deadline;
  htable_add (&carried->by_id, &added->id_node, id);
  list_push_tail (&carried->by_age, &added->age_node);
  list_push_tail (&conn->ids, &added->conn_node);
}

bool
carried_has (struct carried *carried, const struct carried_conn *conn,
             uint64_t id, clk_us now)
{
  if (conn->incomplete)
    return true;
  carried_expire (carried, now);
  list_each (node, htable_bucket (&carried->by_id, id))
    {
      const struct carried_id *entry
          = list_entry (list_entry (node, struct htable_node, node),
                        struct carried_id, id_node);

      if (entry->id_node.hash == id && entry->conn == conn)
        return true;
    }
  return false;
}
