#include "core/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "sycamorerudder.h"

int
address_parse (const char *text, struct address *address)
{
  const char *colon = strrchr (text, ':');
  struct address parsed = { .port = 0 };
  struct in_addr ip;
  char *end;
  unsigned long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof parsed.ip)
    return SR_EINVAL;
  memcpy (parsed.ip, text, (size_t)(colon - text));
  if (inet_pton (AF_INET, parsed.ip, &ip) != 1)
    return SR_EINVAL;
  /* strtoul() accepts signs and leading spaces.  */
  if (colon[1] < '0' || colon[1] > '9')
    return SR_EINVAL;
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port == 0 || port > UINT16_MAX)
    return SR_EINVAL;
  parsed.ip_network = ip.s_addr;
  parsed.port = (uint16_t)port;
  *address = parsed;
  return SR_OK;
}
