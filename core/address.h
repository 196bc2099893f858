#ifndef CORE_ADDRESS_H
#define CORE_ADDRESS_H

/**
 * DOC: address - "IP:PORT" texts
 */

#include <stdint.h>

/* Bytes of an IPv4 address as text, with the terminating NUL.  */
#define ADDRESS_IP_BYTES 16

struct address
{
  char ip[ADDRESS_IP_BYTES]; /* IPv4, in dotted decimal form */
  uint32_t ip_network;       /* the same in network byte order */
  uint16_t port;             /* 1 to 65535 */
};

/**
 * address_parse() - parse "IP:PORT"
 * @text: text without spaces
 * @address: set on success, unchanged otherwise
 *
 * Return: SR_OK, or SR_EINVAL if @text is not an IPv4 address and a port that
 * can be connected to.
 */
int address_parse (const char *text, struct address *address);

#endif
