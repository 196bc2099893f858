#ifndef TESTS_NET_H
#define TESTS_NET_H

/**
 * DOC: net - loopback sockets for tests
 */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

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

/* A listener and what serves each of its connections.  */
struct net_server
{
  int listener;
  /* Serves one connection and closes it; the argument is its descriptor.  */
  void *(*serve) (void *fd);
};

static inline void *
net_accept_loop (void *arg)
{
  struct net_server server = *(struct net_server *)arg;

  free (arg);
  for (;;)
    {
      int fd = accept (server.listener, NULL, NULL);
      pthread_t thread;

      if (fd < 0)
        return NULL;
      pthread_create (&thread, NULL, server.serve, (void *)(intptr_t)fd);
      pthread_detach (thread);
    }
}

/* Listens on the bound socket LISTENER and calls SERVE in a thread for each
   connection, until the socket is shut down.  */
static inline void
net_serve (int listener, void *(*serve) (void *fd))
{
  struct net_server *server = malloc (sizeof *server);
  pthread_t thread;

  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  server->listener = listener;
  server->serve = serve;
  CU_ASSERT_EQUAL_FATAL (listen (listener, 64), 0);
  pthread_create (&thread, NULL, net_accept_loop, server);
  pthread_detach (thread);
}

/* Connects the socket FD to ADDRESS, IP:PORT; returns FD, or -1 after closing
   it when there is no listener.  Reads fail after 4 s.  */
static inline int
net_connect_socket (int fd, const char *address)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  struct timeval timeout = { .tv_sec = 4 };

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  addr.sin_port = htons ((uint16_t)atoi (strchr (address, ':') + 1));
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

/* The same with a new socket.  */
static inline int
net_try_connect (const char *address)
{
  return net_connect_socket (socket (AF_INET, SOCK_STREAM, 0), address);
}

/* The same; there must be a listener.  */
static inline int
net_connect (const char *address)
{
  int fd = net_try_connect (address);

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  return fd;
}

/* Sends TEXT; a failure shows in the next read.  */
static inline void
net_send_text (int fd, const char *text)
{
  (void)!write (fd, text, strlen (text));
}

/* Status of the answer whose beginning is read next; 0 without one.  */
static inline int
net_read_status (int fd)
{
  char text[4096];
  ssize_t len = read (fd, text, sizeof text - 1);
  int status = 0;

  text[len > 0 ? len : 0] = '\0';
  sscanf (text, "HTTP/1.1 %d", &status);
  return status;
}

/* Reads into OUT until the connection ends, and closes it.  */
static inline void
net_read_to_end (int fd, char *out, size_t size)
{
  size_t len = 0;
  ssize_t received;

  while ((received = read (fd, out + len, size - 1 - len)) > 0)
    len += (size_t)received;
  out[len] = '\0';
  close (fd);
}

#endif
