#ifndef TESTS_NET_H
#define TESTS_NET_H

/**
 * DOC: net - addresses on loopback for tests
 */

#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>

#include <CUnit/Basic.h>

#define NET_ADDRESS_BYTES 32

/* A socket bound to a free port, whose IP:PORT goes to ADDRESS.  */
static inline int
net_bind (char address[NET_ADDRESS_BYTES])
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t len = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&name, len), 0);
  getsockname (fd, (struct sockaddr *)&name, &len);
  snprintf (address, NET_ADDRESS_BYTES, "127.0.0.1:%u", ntohs (name.sin_port));
  return fd;
}

#endif
