#include "filters/chain.h"

#include <string.h>

#include "core/digest.h"
#include "core/err.h"

const enum flt_id flt_call_chain[]
    = { FLT_READY, FLT_IDENTIFY,   FLT_PARENT,    FLT_DEADLINE,
        FLT_KEY,   FLT_QUARANTINE, FLT_ALLOWANCE, FLT_END };

const enum flt_id flt_attempt_chain[]
    = { FLT_DEADLINE, FLT_QUARANTINE, FLT_CHOOSE, FLT_END };

const enum flt_id flt_serve_chain[]
    = { FLT_READY,     FLT_IDENTIFY,   FLT_DRAINING, FLT_BACKEND,
        FLT_DEADLINE,  FLT_QUARANTINE, FLT_SUSPECT,  FLT_CALLER,
        FLT_ADMISSION, FLT_CLAIM,      FLT_END };

uint64_t
flt_caller_hash (const struct flt_request *request)
{
  return dig_bytes (request->caller, strlen (request->caller));
}

struct flt_result
flt_continue (void)
{
  return (struct flt_result){ .kind = FLT_CONTINUE };
}

struct flt_result
flt_refuse (enum rsn_refusal reason, enum rsn_run run)
{
  return (struct flt_result){ .kind = FLT_REFUSE,
                              .u.refuse = { .reason = reason, .run = run } };
}

/* Continues when OK, refuses as not run otherwise.  */
static struct flt_result
flt_require (bool ok, enum rsn_refusal reason)
{
  return ok ? flt_continue () : flt_refuse (reason, RSN_NOT_RUN);
}

/* Whether the own server is up and of the request's service.  */
static bool
flt_backend_serves (const struct flt_state *state,
                    const struct flt_request *request)
{
  return state->backend_up
         && strcmp (state->backend_service, request->service_name) == 0;
}

/* Runs one filter.  */
static struct flt_result
flt_step (enum flt_id id, struct flt_state *state, struct flt_request *request,
          clk_us now)
{
  switch (id)
    {
    case FLT_READY:
      return flt_require (state->model != NULL, RSN_NOT_READY);
    case FLT_IDENTIFY:
      return flt_identify (state, request);
    case FLT_PARENT:
      return flt_parent (state, request, now);
    case FLT_DEADLINE:
      return flt_require (now < request->deadline, RSN_DEADLINE_QUEUED);
    case FLT_KEY:
      return flt_key (request);
    case FLT_QUARANTINE:
      return flt_quarantine (state, request, now);
    case FLT_ALLOWANCE:
      return flt_allowance (state, request, now);
    case FLT_CHOOSE:
      return flt_choose (state, request, now);
    case FLT_SUSPECT:
      return flt_suspect (state, request, now);
    case FLT_CALLER:
      return flt_caller (state, request);
    case FLT_DRAINING:
      return flt_require (!state->draining, RSN_DRAINING);
    case FLT_BACKEND:
      return flt_require (flt_backend_serves (state, request), RSN_NO_BACKEND);
    case FLT_ADMISSION:
      return flt_admission (state, request, now);
    case FLT_CLAIM:
      return flt_claim (request);
    case FLT_END:
      break;
    }
  INVARIANT (!"filter id is in the table");
  return flt_continue ();
}

void
flt_start (struct flt_request *request, const enum flt_id *chain)
{
  request->chain = chain;
  request->position = 0;
}

struct flt_result
flt_run (struct flt_state *state, struct flt_request *request, clk_us now)
{
  while (request->chain[request->position] != FLT_END)
    {
      enum flt_id id = request->chain[request->position];
      struct flt_result result = flt_step (id, state, request, now);

      if (result.kind != FLT_CONTINUE)
        return result;
      request->position++;
    }
  return flt_continue ();
}

/* Ends what FLT_SUSPECT and FLT_CALLER count.  */
static void
flt_release_counts (struct flt_state *state, struct flt_request *request)
{
  if (request->isolated)
    state->suspects_running--;
  request->isolated = false;
  if (request->counted)
    shr_put (state->callers, flt_caller_hash (request));
  request->counted = false;
}

void
flt_release (struct flt_state *state, struct flt_request *request, clk_us now)
{
  if (request->parent != NULL)
    hop_release (request->parent);
  request->parent = NULL;
  if (request->chain_record != NULL)
    rty_chain_put (state->chains, request->chain_record, now);
  request->chain_record = NULL;
  request->allowance = NULL;
  if (request->ticket.state != ADM_IDLE)
    adm_withdraw (state->admission, &request->ticket, now);
  flt_release_counts (state, request);
  mdl_unref (request->model);
  request->model = NULL;
}

struct flt_service *
flt_find_service (struct flt_state *state, const char *name)
{
  lst_each (node, &state->services)
    {
      struct flt_service *service = lst_entry (node, struct flt_service, node);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}
