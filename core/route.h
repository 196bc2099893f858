#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

/**
 * DOC: route - routing table by host and longest path prefix
 *
 * A route leads to one service, or to several with weights.  The table is
 * built by a decoder of configurations and immutable afterwards.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/htable.h"
#include "core/list.h"

#define ROUTE_NAME_BYTES 64
#define ROUTE_HOST_BYTES 256
#define ROUTE_PREFIX_BYTES 512

/* Limits on requests of callers.  */
struct route_limits
{
  uint32_t header_bytes;
  uint64_t body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
};

struct route_service
{
  struct list_node node;
  char name[ROUTE_NAME_BYTES];
  char health_path[ROUTE_PREFIX_BYTES];
  uint32_t connections_max; /* that one backend server accepts */
};

/* A service of a route, with its weight in the traffic split.  */
struct route_target
{
  struct list_node node;
  struct route_service *service;
  uint32_t weight;
};

struct route_entry
{
  struct htable_node hash_node;
  struct list_node node;
  char name[ROUTE_NAME_BYTES];
  char host[ROUTE_HOST_BYTES]; /* lower case */
  char prefix[ROUTE_PREFIX_BYTES];
  bool idempotent;
  uint32_t timeout_ms;
  uint32_t target_latency_ms; /* 0 for none */
  uint32_t priority;          /* 0 is the highest */
  uint32_t attempts_max; /* of one request, the first one included; attempts
                            that have not run do not count */
  struct list targets;   /* struct route_target */
  uint32_t weight_sum;
};

struct route_table
{
  struct htable by_host; /* struct route_entry by hash of @host */
  struct list routes;    /* struct route_entry */
  struct list services;  /* struct route_service */
  struct route_limits limits;
};

/* Returns an empty table, or NULL when memory is short.  */
struct route_table *route_table_new (void);

/* Frees a table with its routes and services; NULL is allowed.  */
void route_table_free (struct route_table *table);

/* Adds a service called NAME; returns it, or NULL when memory is short.  */
struct route_service *route_add_service (struct route_table *table,
                                         const char *name);

/* Returns the service called NAME, or NULL.  */
struct route_service *route_find_service (const struct route_table *table,
                                          const char *name);

/* Adds a route that the caller has filled in; the table owns it then.  */
void route_add_entry (struct route_table *table, struct route_entry *route);

/* Adds SERVICE as a target of ROUTE.  Returns SR_OK or SR_ENOMEM.  */
int route_add_target (struct route_entry *route, struct route_service *service,
                      uint32_t weight);

/* Longest timeout of a route, 0 without routes.  */
uint32_t route_timeout_max_ms (const struct route_table *table);

/**
 * route_find() - select the route of a request
 * @table: routing table
 * @host: value of the Host field, with or without a port
 * @path: path, with or without a query
 *
 * Return: the route of that host whose prefix is the longest one that matches
 * @path, or NULL.
 */
struct route_entry *route_find (struct route_table *table, const char *host,
                                const char *path);

#endif
