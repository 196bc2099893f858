#include "wire/tracestate.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define TRACESTATE_PREFIX TRACESTATE_KEY "="

static bool
tracestate_is_own (const char *member)
{
  return strncmp (member, TRACESTATE_PREFIX, strlen (TRACESTATE_PREFIX)) == 0;
}

/* Sets *STATE to the rest after the next member.  Returns the member, of *LEN
   bytes, or NULL at the end.  */
static const char *
tracestate_next (const char **state, size_t *len)
{
  const char *member = *state + strspn (*state, " \t,");

  *len = strcspn (member, ",");
  *state = member + *len;
  return *len > 0 ? member : NULL;
}

const char *
tracestate_find (const char *state)
{
  const char *member;
  size_t len;

  while ((member = tracestate_next (&state, &len)) != NULL)
    if (tracestate_is_own (member))
      return member + strlen (TRACESTATE_PREFIX);
  return NULL;
}

void
tracestate_append_others (const char *state, char *out, size_t size)
{
  size_t used = strlen (out);
  const char *member;
  size_t len;

  while ((member = tracestate_next (&state, &len)) != NULL)
    {
      if (tracestate_is_own (member))
        continue;
      if (used + len + 2 >= size)
        return;
      used += (size_t)snprintf (out + used, size - used, ",%.*s", (int)len,
                                member);
    }
}
