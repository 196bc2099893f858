#ifndef TESTS_HCONN_FIXTURE_H
#define TESTS_HCONN_FIXTURE_H

/**
 * DOC: hconn_fixture - connections of tasks/hconn in a test
 */

#include <unistd.h>

#include "sycamorerudder.h"
#include "tasks/hconn.h"
#include "tests/net.h"

static const struct httpmsg_names hconn_fixture_names
    = { .name = { [HTTPMSG_HOST] = "Host" } };

/* Callbacks that do nothing.  */
static inline int
hconn_fixture_handle_head (void *arg, struct httpmsg_head *head)
{
  (void)arg;
  (void)head;
  return SR_OK;
}

static inline int
hconn_fixture_handle_end (void *arg)
{
  (void)arg;
  return SR_OK;
}

static inline void
hconn_fixture_handle_nothing (struct hconn *conn)
{
  (void)conn;
}

/* Opens a listener on a free port, and writes its address as IP:PORT.  */
static inline int
hconn_fixture_listen (char address[NET_ADDRESS_BYTES])
{
  int listener;

  close (net_bind (address));
  listener = hconn_listen (address);
  CU_ASSERT_FATAL (listener >= 0);
  return listener;
}

#endif
