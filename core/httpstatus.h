#ifndef CORE_HTTPSTATUS_H
#define CORE_HTTPSTATUS_H

/**
 * DOC: httpstatus - status codes of HTTP answers
 */

#include <stdbool.h>
#include <stddef.h>

/* Whether STATUS, received as DIGITS digits, is a status code: three digits,
   100 to 599 (RFC 9110, 15).  */
static inline bool
httpstatus_valid (int status, size_t digits)
{
  return digits == 3 && status >= 100 && status <= 599;
}

/* Whether answers with STATUS end with their head, whatever their fields
   declare (RFC 9112, 6.3).  */
static inline bool
httpstatus_has_no_body (int status)
{
  return status / 100 == 1 || status == 204 || status == 304;
}

#endif
