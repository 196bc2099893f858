/* Preloaded into a node by scripts/mesh_relay.sh, so that its connections to
   other nodes pass relays: a node announces the address that it binds, so the
   address of a relay cannot be set.  MESH_REDIRECT holds "FROM=TO" pairs of
   addresses, IP:PORT, separated by commas.  */

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define REDIRECT_ADDRESS_BYTES 32

typedef int redirect_connect_fn (int fd, const struct sockaddr *address,
                                 socklen_t len);

/* Returns the text after "FROM=" in LIST, or NULL when FROM is not in it.  */
static const char *
redirect_find (const char *list, const char *from)
{
  size_t len = strlen (from);

  while (list != NULL && *list != '\0')
    {
      if (strncmp (list, from, len) == 0 && list[len] == '=')
        return list + len + 1;
      list = strchr (list, ',');
      if (list != NULL)
        list++;
    }
  return NULL;
}

/* Replaces ADDRESS by the one that MESH_REDIRECT has for it, if any.  */
static void
redirect_address (struct sockaddr_in *address)
{
  char from[REDIRECT_ADDRESS_BYTES];
  char ip[INET_ADDRSTRLEN];
  const char *to;
  const char *port;

  inet_ntop (AF_INET, &address->sin_addr, ip, sizeof ip);
  snprintf (from, sizeof from, "%s:%u", ip, ntohs (address->sin_port));
  to = redirect_find (getenv ("MESH_REDIRECT"), from);
  port = to != NULL ? strchr (to, ':') : NULL;
  if (port == NULL)
    return;
  snprintf (ip, sizeof ip, "%.*s", (int)(port - to), to);
  inet_pton (AF_INET, ip, &address->sin_addr);
  address->sin_port = htons ((uint16_t)strtoul (port + 1, NULL, 10));
}

int
connect (int fd, const struct sockaddr *address, socklen_t len)
{
  redirect_connect_fn *next
      = (redirect_connect_fn *)dlsym (RTLD_NEXT, "connect");
  struct sockaddr_in redirected;

  if (address->sa_family != AF_INET || len < sizeof redirected)
    return next (fd, address, len);
  memcpy (&redirected, address, sizeof redirected);
  redirect_address (&redirected);
  return next (fd, (struct sockaddr *)&redirected, sizeof redirected);
}
