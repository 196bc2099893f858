#include <string.h>

#include "core/digest.h"
#include "filters/filter.h"

/* Key under which the resends of a caller's request share an allowance; 0 when
   the request has neither idempotency key nor trace id.  */
static uint64_t
filter_resend_key (const struct filter_request *request)
{
  const char *id = request->key[0] != '\0' ? request->key : request->trace;
  struct digest_part parts[] = {
    { request->caller, strlen (request->caller) },
    { id, strlen (id) },
  };

  if (id[0] == '\0')
    return 0;
  return digest_64 (parts, sizeof parts / sizeof parts[0]);
}

/* Sets the retry allowance of the request: that of the parent for a child
   call, otherwise one that is shared with resends of the caller.  */
struct filter_result
filter_allowance (struct filter_state *state, struct filter_request *request,
                  clk_us now)
{
  uint32_t issued = state->model->chain_allowance;
  uint64_t key = 0;

  request->allowance = &request->own_allowance;
  if (request->parent != NULL)
    {
      request->allowance = &request->parent->allowance;
      return filter_continue ();
    }
  /* A hop id that is not in the table was issued by a former process of this
     node or is forged.  The call chain may already have its allowance.  */
  if (request->has_hop)
    return filter_continue ();
  key = filter_resend_key (request);
  if (key == 0)
    {
      request->own_allowance.remaining = issued;
      return filter_continue ();
    }
  request->chain_record
      = retry_chain_get (state->call_chains, key, issued, now);
  if (request->chain_record != NULL)
    request->allowance = &request->chain_record->allowance;
  return filter_continue ();
}
