#include "core/decimal.h"

#include <stddef.h>
#include <string.h>

#include "sycamorerudder.h"

int
decimal_parse (const char *text, uint64_t max, uint64_t *number)
{
  uint64_t value = 0;

  if (text == NULL || *text == '\0'
      || text[strspn (text, "0123456789")] != '\0')
    return SR_EMALFORMED;
  for (; *text != '\0'; text++)
    {
      uint64_t digit = (uint64_t)(*text - '0');

      if (value > (max - digit) / 10 || digit > max)
        return SR_EINVAL;
      value = value * 10 + digit;
    }
  *number = value;
  return SR_OK;
}
