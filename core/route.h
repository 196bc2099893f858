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

#include "core/htable.h"
#include "core/list.h"

#define ROUTE_NAME_BYTES 64
#define ROUTE_HOST_BYTES 256
#define ROUTE_PREFIX_BYTES 512

/* Bounds on what a caller may send.  */
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

/* A service that a route leads to.  */
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
  uint32_t target_latency_ms;
  uint32_t priority;     /* 0 is the most important */
  uint32_t attempts_max; /* servers that one request may reach */
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

/* Returns NULL without memory.  */
struct route_table *route_table_new (void);
void route_table_free (struct route_table *table);

/* Adds a service with NAME; NULL without memory.  */
struct route_service *route_add_service (struct route_table *table,
                                         const char *name);
struct route_service *route_find_service (const struct route_table *table,
                                          const char *name);

/* Adds a route that the caller has filled in; takes it over.  */
void route_add_entry (struct route_table *table, struct route_entry *route);

/* Appends a target; SR_OK or SR_ENOMEM.  */
int route_add_target (struct route_entry *route, struct route_service *service,
                      uint32_t weight);

/**
 * route_find() - select the route of a request
 * @table: routing table
 * @host: value of the Host field, with or without a port
 * @path: path, with or without a query
 *
 * Return: the route of that host with the longest prefix of @path, or NULL.
 */
struct route_entry *route_find (struct route_table *table, const char *host,
                                const char *path);

#endif
