#include "programs/relay_pump.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/err.h"

#define RELAY_CONNECTIONS_MAX 512
#define RELAY_BUFFER_BYTES (64 * 1024)
#define RELAY_BACKLOG 128
#define RELAY_POLL_TIMEOUT_MS 500

/* A client connection and its connection to the target.  */
struct relay_connection
{
  struct list_node node;
  int fds[2]; /* client, target */
  enum relay_mode mode;
};

static struct sockaddr_in
relay_sockaddr (const struct tool_opt_address *from)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  inet_pton (AF_INET, from->ip, &address.sin_addr);
  address.sin_port = htons (from->port);
  return address;
}

/* Fills the queue of the listener with an own connection, which is never
   accepted.  The kernel drops each SYN while the queue is full.  */
static int
relay_fill_queue (struct relay *relay)
{
  struct sockaddr_in address = relay_sockaddr (&relay->listen);

  relay->queued = socket (AF_INET, SOCK_STREAM, 0);
  if (relay->queued < 0
      || connect (relay->queued, (struct sockaddr *)&address, sizeof address)
             != 0)
    return SR_EIO;
  return SR_OK;
}

int
relay_open (struct relay *relay)
{
  struct sockaddr_in address = relay_sockaddr (&relay->listen);
  int on = 1;

  list_init (&relay->connections);
  relay->queued = -1;
  relay->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (relay->listener < 0)
    return SR_EIO;
  setsockopt (relay->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (relay->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (relay->listener, relay->drop_connects ? 0 : RELAY_BACKLOG)
             != 0)
    return SR_EIO;
  return relay->drop_connects ? relay_fill_queue (relay) : SR_OK;
}

static void
relay_close_connection (struct relay_connection *connection)
{
  list_remove (&connection->node);
  close (connection->fds[0]);
  close (connection->fds[1]);
  free (connection);
}

/* Disables the Nagle algorithm, which would hold back a small write until the
   previous one is acknowledged.  */
static void
relay_set_nodelay (int fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/* Accepts a client and connects to the target.  When the target refuses, the
   client is closed.  */
static void
relay_accept (struct relay *relay)
{
  struct sockaddr_in target = relay_sockaddr (&relay->target);
  struct relay_connection *connection;
  int client = accept (relay->listener, NULL, NULL);
  int server;

  if (client < 0)
    return;
  server = socket (AF_INET, SOCK_STREAM, 0);
  if (server < 0
      || connect (server, (struct sockaddr *)&target, sizeof target) != 0)
    {
      close (client);
      if (server >= 0)
        close (server);
      return;
    }
  relay_set_nodelay (client);
  relay_set_nodelay (server);
  connection = calloc (1, sizeof *connection);
  INVARIANT (connection != NULL);
  connection->fds[0] = client;
  connection->fds[1] = server;
  connection->mode = relay->blackhole_new ? RELAY_PASS_NONE : RELAY_PASS_ALL;
  list_push_tail (&relay->connections, &connection->node);
}

/* Forwards what can be read from one end to the other.  Returns false when the
   connection has ended.  */
static bool
relay_forward (struct relay_connection *connection, int end)
{
  char bytes[RELAY_BUFFER_BYTES];
  ssize_t len = read (connection->fds[end], bytes, sizeof bytes);
  ssize_t forwarded = 0;

  if (len <= 0)
    return false;
  while (forwarded < len)
    {
      ssize_t written = write (connection->fds[1 - end], bytes + forwarded,
                               (size_t)(len - forwarded));

      if (written <= 0)
        return false;
      forwarded += written;
    }
  return true;
}

void
relay_poll (struct relay *relay)
{
  struct pollfd fds[1 + 2 * RELAY_CONNECTIONS_MAX];
  struct relay_connection *owners[1 + 2 * RELAY_CONNECTIONS_MAX];
  struct relay_connection *closed = NULL;
  nfds_t count = 1;

  /* poll() skips a negative descriptor.  */
  fds[0] = (struct pollfd){ .fd = relay->drop_connects ? -1 : relay->listener,
                            .events = POLLIN };
  list_each (node, &relay->connections)
    {
      struct relay_connection *connection
          = list_entry (node, struct relay_connection, node);

      if (connection->mode == RELAY_PASS_NONE
          || count + 2 > 1 + 2 * RELAY_CONNECTIONS_MAX)
        continue;
      for (int end = 0; end < 2; end++)
        {
          bool passes = connection->mode == RELAY_PASS_ALL || end == 1;

          owners[count] = connection;
          /* poll() ignores a negative descriptor.  */
          fds[count++]
              = (struct pollfd){ .fd = passes ? connection->fds[end] : -1,
                                 .events = POLLIN };
        }
    }
  if (poll (fds, count, RELAY_POLL_TIMEOUT_MS) <= 0)
    return;
  /* From index 1 on, descriptors of clients and targets alternate.  */
  for (nfds_t i = 1; i < count; i++)
    {
      if (fds[i].revents == 0 || owners[i] == closed)
        continue;
      if (relay_forward (owners[i], (int)((i - 1) % 2)))
        continue;
      closed = owners[i];
      relay_close_connection (closed);
    }
  if (fds[0].revents != 0)
    relay_accept (relay);
}

void
relay_set_open (struct relay *relay, enum relay_mode mode)
{
  list_each (node, &relay->connections)
    list_entry (node, struct relay_connection, node)->mode = mode;
}

void
relay_close (struct relay *relay)
{
  struct list_node *node;

  while ((node = list_first (&relay->connections)) != NULL)
    relay_close_connection (list_entry (node, struct relay_connection, node));
  if (relay->queued >= 0)
    close (relay->queued);
  close (relay->listener);
}
