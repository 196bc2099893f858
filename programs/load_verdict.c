#include "programs/load_verdict.h"

#include <stdio.h>
#include <string.h>

#define LOAD_VERDICT_FIRST_ERROR 400
#define LOAD_VERDICT_TOO_MANY_REQUESTS 429
#define LOAD_VERDICT_FIRST_SERVER_ERROR 500

/* Reads the reason and the run state from details="REASON; RUN" of a
   Proxy-Status field that a node wrote.  Returns false when it has none.  */
static bool
load_verdict_read_details (struct load_verdict *verdict,
                           const char *proxy_status)
{
  const char *at = strstr (proxy_status, "details=\"");
  size_t len;

  if (strstr (proxy_status, "sycamorerudder") == NULL || at == NULL)
    return false;
  at += strlen ("details=\"");
  len = strcspn (at, ";\"");
  if (len >= LOAD_REASON_BYTES)
    return false;
  memcpy (verdict->u.reason, at, len);
  verdict->u.reason[len] = '\0';
  verdict->run_state = strncmp (at + len, "; not-run\"", 10) == 0
                           ? LOAD_NOT_RUN
                           : LOAD_RUN_UNKNOWN;
  return true;
}

/* Classifies an answer that arrived completely, by its status and body.  */
static void
load_verdict_classify_answer (struct load_verdict *verdict,
                              const struct load_call *call,
                              const struct tool_client_result *result)
{
  const struct tool_buf *body = result->answer.body;

  if (verdict->status >= LOAD_VERDICT_FIRST_ERROR)
    {
      verdict->outcome = LOAD_REFUSED;
      if (load_verdict_read_details (verdict, result->answer.proxy_status))
        return;
      verdict->outcome = LOAD_ERROR;
      snprintf (verdict->u.reason, LOAD_REASON_BYTES, "status-%d",
                verdict->status);
      return;
    }
  verdict->u.fault = tool_answer_check (&call->echo, body->data, body->len);
  verdict->outcome = verdict->u.fault == NULL ? LOAD_WHOLE : LOAD_WRONG;
  verdict->run_state = LOAD_RAN;
}

struct load_verdict
load_verdict_classify (const struct load_call *call,
                       const struct tool_client_result *result)
{
  struct load_verdict verdict = { .run_state = LOAD_RUN_UNKNOWN };

  verdict.status = result->answer.status;
  switch (result->outcome)
    {
    case TOOL_CLIENT_COMPLETE:
      load_verdict_classify_answer (&verdict, call, result);
      break;
    case TOOL_CLIENT_TRUNCATED:
      verdict.outcome = LOAD_TRUNCATED;
      break;
    case TOOL_CLIENT_CLOSED:
      verdict.outcome = LOAD_CLOSED;
      break;
    case TOOL_CLIENT_UNREACHABLE:
      verdict.outcome = LOAD_UNREACHABLE;
      verdict.run_state = LOAD_NOT_RUN;
      break;
    case TOOL_CLIENT_TIMED_OUT:
      verdict.outcome = LOAD_TIMED_OUT;
      break;
    }
  return verdict;
}

bool
load_verdict_may_resend (const struct load_call *call,
                         const struct load_verdict *verdict)
{
  bool safe = call->mix_entry->has_key || verdict->run_state == LOAD_NOT_RUN
              || strcmp (call->mix_entry->method, "GET") == 0;

  switch (verdict->outcome)
    {
    case LOAD_WHOLE:
    case LOAD_WRONG:
      return false;
    case LOAD_REFUSED:
    case LOAD_ERROR:
      return safe
             && (verdict->status >= LOAD_VERDICT_FIRST_SERVER_ERROR
                 || verdict->status == LOAD_VERDICT_TOO_MANY_REQUESTS);
    default:
      return safe;
    }
}
