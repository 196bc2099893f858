#include "filters/filter.h"

#include <string.h>

#include "core/digest.h"
#include "core/err.h"

const enum filter_id filter_call_chain[]
    = { FILTER_READY, FILTER_IDENTIFY,   FILTER_PARENT,    FILTER_DEADLINE,
        FILTER_KEY,   FILTER_QUARANTINE, FILTER_ALLOWANCE, FILTER_END };

const enum filter_id filter_attempt_chain[]
    = { FILTER_DEADLINE, FILTER_QUARANTINE, FILTER_CHOOSE, FILTER_END };

const enum filter_id filter_serve_chain[]
    = { FILTER_READY,     FILTER_IDENTIFY,   FILTER_DRAINING, FILTER_BACKEND,
        FILTER_DEADLINE,  FILTER_QUARANTINE, FILTER_SUSPECT,  FILTER_CALLER,
        FILTER_ADMISSION, FILTER_CLAIM,      FILTER_END };

uint64_t
filter_caller_hash (const struct filter_request *request)
{
  return digest_buffer_64 (request->caller, strlen (request->caller));
}

struct filter_result
filter_continue (void)
{
  return (struct filter_result){ .kind = FILTER_CONTINUE };
}

struct filter_result
filter_refuse (enum reason_refusal reason, enum reason_run run)
{
  return (struct filter_result){ .kind = FILTER_REFUSE,
                                 .u.refuse
                                 = { .reason = reason, .run = run } };
}

/* Continues when CONDITION holds, otherwise refuses as not run.  */
static struct filter_result
filter_require (bool condition, enum reason_refusal reason)
{
  return condition ? filter_continue ()
                   : filter_refuse (reason, REASON_NOT_RUN);
}

/* Whether the local server is up and belongs to the request's service.  */
static bool
filter_backend_serves (const struct filter_state *state,
                       const struct filter_request *request)
{
  return state->backend_up
         && strcmp (state->backend_service, request->service_name) == 0;
}

static struct filter_result
filter_step (enum filter_id id, struct filter_state *state,
             struct filter_request *request, clk_us now)
{
  switch (id)
    {
    case FILTER_READY:
      return filter_require (state->model != NULL, REASON_NOT_READY);
    case FILTER_IDENTIFY:
      return filter_identify (state, request);
    case FILTER_PARENT:
      return filter_parent (state, request, now);
    case FILTER_DEADLINE:
      return filter_require (now < request->deadline, REASON_DEADLINE_QUEUED);
    case FILTER_KEY:
      return filter_key (request);
    case FILTER_QUARANTINE:
      return filter_quarantine (state, request, now);
    case FILTER_ALLOWANCE:
      return filter_allowance (state, request, now);
    case FILTER_CHOOSE:
      return filter_choose (state, request, now);
    case FILTER_SUSPECT:
      return filter_suspect (state, request, now);
    case FILTER_CALLER:
      return filter_caller_share (state, request);
    case FILTER_DRAINING:
      return filter_require (!state->draining, REASON_DRAINING);
    case FILTER_BACKEND:
      return filter_require (filter_backend_serves (state, request),
                             REASON_NO_BACKEND);
    case FILTER_ADMISSION:
      return filter_admission (state, request, now);
    case FILTER_CLAIM:
      return filter_claim (request);
    case FILTER_END:
      break;
    }
  INVARIANT (!"filter id is in the table");
  return filter_continue ();
}

void
filter_start_chain (struct filter_request *request,
                    const enum filter_id *chain)
{
  request->filter_chain = chain;
  request->filter_position = 0;
}

struct filter_result
filter_run_chain (struct filter_state *state, struct filter_request *request,
                  clk_us now)
{
  while (request->filter_chain[request->filter_position] != FILTER_END)
    {
      enum filter_id id = request->filter_chain[request->filter_position];
      struct filter_result result = filter_step (id, state, request, now);

      if (result.kind != FILTER_CONTINUE)
        return result;
      request->filter_position++;
    }
  return filter_continue ();
}

/* Reverts the counts of FILTER_SUSPECT and FILTER_CALLER.  */
static void
filter_release_counts (struct filter_state *state,
                       struct filter_request *request)
{
  suspects_leave (&state->suspects, &request->suspect_counted);
  if (request->caller_counted)
    share_release (state->caller_shares, filter_caller_hash (request));
  request->caller_counted = false;
}

void
filter_release (struct filter_state *state, struct filter_request *request,
                clk_us now)
{
  if (request->parent != NULL)
    hop_unref (request->parent);
  request->parent = NULL;
  if (request->chain_record != NULL)
    retry_chain_put (state->call_chains, request->chain_record, now);
  request->chain_record = NULL;
  request->allowance = NULL;
  if (request->ticket.state != SLOTS_IDLE)
    slots_withdraw (state->slots, &request->ticket, now);
  filter_release_counts (state, request);
  model_unref (request->model);
  request->model = NULL;
}

struct filter_service *
filter_find_service (struct filter_state *state, const char *name)
{
  list_each (node, &state->services)
    {
      struct filter_service *service
          = list_entry (node, struct filter_service, node);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}
