#ifndef TESTS_NET_H
#define TESTS_NET_H

/**
 * DOC: net - loopback sockets for tests
 */

#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>

#include <CUnit/Basic.h>

#define NET_ADDRESS_BYTES 32

/* Returns a TCP socket bound to a free port of 127.0.0.1, and writes its
   address as IP:PORT.  */
static inline int
net_bind (char address[NET_ADDRESS_BYTES])
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t addr_len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&addr, addr_len), 0);
  getsockname (fd, (struct sockaddr *)&addr, &addr_len);
  snprintf (address, NET_ADDRESS_BYTES, "127.0.0.1:%u", ntohs (addr.sin_port));
  return fd;
}

#endif
