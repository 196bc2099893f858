#ifndef CONTROLLERS_CARRIED_H
#define CONTROLLERS_CARRIED_H

/**
 * DOC: carried - which requests a connection to a backend server has carried
 *
 * A backend server may send an answer a second time, later.  The id in it is
 * that of the request, so it does not tell two sendings of the same request on
 * one connection apart.
 *
 * An id is remembered for as long as the request may be sent again: until the
 * deadline that the node of arrival gave it, and for carried_opts.retention,
 * because a server may make the call again while its own request runs.  At
 * carried_opts.ids_max ids the oldest one is dropped, and the connection that
 * has carried it counts as having carried every request.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/htable.h"
#include "core/list.h"

struct carried_opts
{
  clk_us retention; /* longest time of a request that makes calls */
  size_t ids_max;   /* of all connections together */
};

struct carried
{
  struct carried_opts opts;
  struct htable by_id; /* struct carried_id */
  struct list by_age;  /* the same, oldest first */
};

/* The part of a connection.  */
struct carried_conn
{
  struct list ids; /* struct carried_id */
  bool incomplete; /* an id was dropped before its time */
};

/* Initializes an empty memory; OPTS is copied.  SR_OK or SR_ENOMEM.  */
int carried_init (struct carried *carried, const struct carried_opts *opts);

/* Frees the memory; no connection may be used after it.  */
void carried_fini (struct carried *carried);

/* Sets the retention to RETENTION if that is longer.  It never becomes
   shorter, because requests of a former configuration may still be sent
   again.  */
void carried_extend_retention (struct carried *carried, clk_us retention);

void carried_conn_init (struct carried_conn *conn);

/* Forgets the ids of CONN, because it has been closed.  */
void carried_conn_fini (struct carried *carried, struct carried_conn *conn);

/* Records that CONN carries a request whose id has the digest ID, and which
   its node of arrival gives up at DEADLINE.  */
void carried_add (struct carried *carried, struct carried_conn *conn,
                  uint64_t id, clk_us deadline, clk_us now);

/* Whether CONN has carried, or may have carried, a request whose id has the
   digest ID.  */
bool carried_has (struct carried *carried, const struct carried_conn *conn,
                  uint64_t id, clk_us now);

#endif
