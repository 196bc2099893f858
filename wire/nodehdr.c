#include "wire/nodehdr.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/err.h"

#define NODEHDR_REQUEST_PARTS 9
#define NODEHDR_ANSWER_PARTS 9

void
nodehdr_put_request (const struct nodehdr_request *request,
                     char out[NODEHDR_TEXT_BYTES])
{
  snprintf (out, NODEHDR_TEXT_BYTES, "%s %u %u %u %u %" PRIx64 " %d %d %d",
            request->service, request->importance, request->timeout_ms,
            request->target_ms, request->haste, request->route,
            (int)request->idempotent, (int)request->repeat,
            (int)request->inner);
}

int
nodehdr_get_request (const char *text, struct nodehdr_request *request)
{
  unsigned idempotent;
  unsigned repeat;
  unsigned inner;

  if (sscanf (text,
              "%63s %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNx64
              " %u %u %u",
              request->service, &request->importance, &request->timeout_ms,
              &request->target_ms, &request->haste, &request->route,
              &idempotent, &repeat, &inner)
      != NODEHDR_REQUEST_PARTS)
    return SR_EMALFORMED;
  request->idempotent = idempotent != 0;
  request->repeat = repeat != 0;
  request->inner = inner != 0;
  return SR_OK;
}

void
nodehdr_put_answer (const struct nodehdr_answer *answer,
                    char out[NODEHDR_TEXT_BYTES])
{
  snprintf (out, NODEHDR_TEXT_BYTES, "%d %d %u %u %u %u %u %u %d",
            (int)answer->end, (int)answer->reason, answer->retry_after_ms,
            answer->wait_us, answer->pressure_us, answer->waited_us,
            answer->fake_announce_out, answer->load, (int)answer->inner);
}

int
nodehdr_get_answer (const char *text, struct nodehdr_answer *answer)
{
  unsigned end;
  unsigned reason;
  unsigned inner;

  if (sscanf (text,
              "%u %u %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
              " %" SCNu32 " %u",
              &end, &reason, &answer->retry_after_ms, &answer->wait_us,
              &answer->pressure_us, &answer->waited_us,
              &answer->fake_announce_out, &answer->load, &inner)
          != NODEHDR_ANSWER_PARTS
      || end > NODEHDR_UNKNOWN || reason >= REASON_COUNT)
    return SR_EMALFORMED;
  answer->end = (enum nodehdr_end)end;
  answer->reason = (enum reason_refusal)reason;
  answer->inner = inner != 0;
  return SR_OK;
}
