#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

/**
 * DOC: rte - routing table of a configuration
 *
 * A route is selected by host and by the longest prefix of the path.  It names
 * one service, or several with weights.  Built by a decoder and never changed
 * afterwards.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/hash.h"
#include "core/list.h"

#define RTE_NAME_BYTES 64
#define RTE_HOST_BYTES 256
#define RTE_PREFIX_BYTES 512

/* Bounds on what a caller may send.  */
struct rte_limits
{
  uint32_t header_bytes;
  uint64_t body_bytes;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
};

struct rte_service
{
  struct lst_node node;
  char name[RTE_NAME_BYTES];
  char health_path[RTE_PREFIX_BYTES];
  uint32_t connections; /* that one backend server accepts */
};

/* A service that a route leads to.  */
struct rte_target
{
  struct lst_node node;
  struct rte_service *service;
  uint32_t weight;
};

struct rte_route
{
  struct hsh_node hash_node;
  struct lst_node node;
  char name[RTE_NAME_BYTES];
  char host[RTE_HOST_BYTES]; /* lower case */
  char prefix[RTE_PREFIX_BYTES];
  bool idempotent;
  uint32_t timeout_ms;
  uint32_t target_latency_ms;
  uint32_t priority;     /* 0 is the most important */
  uint32_t attempts_max; /* servers that one request may reach */
  struct lst targets;    /* struct rte_target */
  uint32_t weight_sum;
};

struct rte_table
{
  struct hsh by_host;  /* struct rte_route by hash of @host */
  struct lst routes;   /* struct rte_route */
  struct lst services; /* struct rte_service */
  struct rte_limits limits;
};

/* Returns NULL without memory.  */
struct rte_table *rte_new (void);
void rte_free (struct rte_table *table);

/* Adds a service with NAME; NULL without memory.  */
struct rte_service *rte_add_service (struct rte_table *table,
                                     const char *name);
struct rte_service *rte_find_service (const struct rte_table *table,
                                      const char *name);

/* Adds a route that the caller has filled in; takes it over.  */
void rte_add_route (struct rte_table *table, struct rte_route *route);

/* Appends a target; SR_OK or SR_ENOMEM.  */
int rte_add_target (struct rte_route *route, struct rte_service *service,
                    uint32_t weight);

/**
 * rte_find() - select the route of a request
 * @table: routing table
 * @host: value of the Host field, with or without a port
 * @path: path, with or without a query
 *
 * Return: the route of that host with the longest prefix of @path, or NULL.
 */
struct rte_route *rte_find (struct rte_table *table, const char *host,
                            const char *path);

#endif
