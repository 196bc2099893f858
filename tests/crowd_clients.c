/* Clients of a crowd for test scripts: opens connections, sends on each of
   them a request that does not end, and keeps the connections open.  Prints
   one line once nothing moves any more, and ends by a signal.

   crowd_clients IP:PORT CLIENTS FRAMING METHOD TARGET BYTES

   FRAMING says what is sent on each connection:
   head     header fields of BYTES bytes, without the end of the header
   length   a body one byte longer than BYTES is announced
   chunked  BYTES bytes in chunks, without the last chunk
   endless  a body of 1 GiB is announced
   whole    a whole body of BYTES bytes, not followed by another request  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define CLIENTS_MAX 8192
#define ENDLESS_BYTES (1ull << 30)
#define CHUNK_BYTES 4096u
/* Nothing moves any more after a time without progress.  */
#define SETTLED_MS 1500

/* What all clients send: TEXT, then the BLOCK again and again.  */
struct script
{
  char text[1024];
  size_t text_len;
  char block[CHUNK_BYTES + 16];
  size_t block_len;
  uint64_t total; /* bytes to send, with TEXT */
};

static struct script script;
static struct pollfd polls[CLIENTS_MAX];
static uint64_t sent[CLIENTS_MAX];

static void
fail (const char *text)
{
  fprintf (stderr, "crowd_clients: %s\n", text);
  exit (2);
}

static void
write_script (const char *framing, const char *method, const char *target,
              uint64_t bytes)
{
  int len = snprintf (script.text, sizeof script.text,
                      "%s %s HTTP/1.1\r\nHost: orders\r\n"
                      "X-Caller-Id: crowd\r\n",
                      method, target);
  char *end = script.text + len;
  size_t size = sizeof script.text - (size_t)len;

  memset (script.block, 'x', sizeof script.block);
  script.block_len = CHUNK_BYTES;
  if (strcmp (framing, "head") == 0)
    len += snprintf (end, size, "Cookie: ");
  else if (strcmp (framing, "length") == 0)
    len += snprintf (end, size, "Content-Length: %llu\r\n\r\n",
                     (unsigned long long)bytes + 1);
  else if (strcmp (framing, "endless") == 0)
    len += snprintf (end, size, "Content-Length: %llu\r\n\r\n", ENDLESS_BYTES);
  else if (strcmp (framing, "whole") == 0)
    len += snprintf (end, size, "Content-Length: %llu\r\n\r\n",
                     (unsigned long long)bytes);
  else if (strcmp (framing, "chunked") == 0)
    {
      int digits = snprintf (script.block, sizeof script.block, "%x\r\n",
                             CHUNK_BYTES);

      script.block[digits] = 'x';
      memcpy (script.block + digits + CHUNK_BYTES, "\r\n", 2);
      script.block_len = (size_t)digits + CHUNK_BYTES + 2;
      len += snprintf (end, size, "Transfer-Encoding: chunked\r\n\r\n");
    }
  else
    fail ("unknown framing");
  script.text_len = (size_t)len;
  script.total = script.text_len + bytes;
}

static void
open_client (struct pollfd *client, const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  if (fd < 0)
    fail ("no more descriptors");
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      fd = -1;
    }
  client->fd = fd;
  client->events = POLLIN | POLLOUT;
}

static void
close_client (struct pollfd *client)
{
  close (client->fd);
  client->fd = -1;
}

/* Sends the next bytes; returns whether there was progress.  */
static bool
send_next (struct pollfd *client, uint64_t *offset)
{
  const char *data = script.text + *offset;
  uint64_t len = script.text_len - *offset;
  ssize_t written;

  if (*offset >= script.text_len)
    {
      uint64_t at = (*offset - script.text_len) % script.block_len;

      data = script.block + at;
      len = script.block_len - at;
    }
  if (len > script.total - *offset)
    len = script.total - *offset;
  if (len == 0)
    {
      client->events = POLLIN;
      return false;
    }
  written = send (client->fd, data, len, MSG_NOSIGNAL);
  if (written > 0)
    *offset += (uint64_t)written;
  else if (errno != EAGAIN)
    close_client (client);
  return written > 0;
}

/* Discards what the node sends; returns whether there was progress.  */
static bool
read_next (struct pollfd *client)
{
  char text[4096];
  ssize_t received = recv (client->fd, text, sizeof text, 0);

  if (received == 0 || (received < 0 && errno != EAGAIN))
    close_client (client);
  return received >= 0;
}

/* Serves the clients until none of them has made progress for SETTLED_MS, or
   for good.  */
static void
run_clients (nfds_t count, bool forever)
{
  for (;;)
    {
      bool progress = false;
      int ready = poll (polls, count, forever ? -1 : SETTLED_MS);

      if (ready == 0)
        return;
      for (nfds_t i = 0; i < count; i++)
        {
          if (polls[i].fd >= 0 && polls[i].revents & ~POLLOUT)
            progress |= read_next (&polls[i]);
          if (polls[i].fd >= 0 && polls[i].revents & POLLOUT)
            progress |= send_next (&polls[i], &sent[i]);
        }
      if (!progress && ready < 0)
        fail ("poll");
    }
}

int
main (int argc, char **argv)
{
  struct rlimit limit;
  struct sockaddr_in address = { .sin_family = AF_INET };
  unsigned long long total = 0;
  unsigned open = 0;
  nfds_t count;

  if (argc != 7 || strchr (argv[1], ':') == NULL)
    fail ("arguments: IP:PORT CLIENTS FRAMING METHOD TARGET BYTES");
  count = strtoul (argv[2], NULL, 10);
  if (count == 0 || count > CLIENTS_MAX)
    fail ("too many clients");
  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
  address.sin_port = htons ((uint16_t)atoi (strchr (argv[1], ':') + 1));
  *strchr (argv[1], ':') = '\0';
  if (inet_pton (AF_INET, argv[1], &address.sin_addr) != 1)
    fail ("not an address");
  write_script (argv[3], argv[4], argv[5], strtoull (argv[6], NULL, 10));
  for (nfds_t i = 0; i < count; i++)
    open_client (&polls[i], &address);
  run_clients (count, false);
  for (nfds_t i = 0; i < count; i++)
    {
      open += polls[i].fd >= 0;
      total += sent[i];
    }
  printf ("settled clients=%lu open=%u sent_kb=%llu\n", (unsigned long)count,
          open, total / 1024);
  fflush (stdout);
  run_clients (count, true);
  return 0;
}
