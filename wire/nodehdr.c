#include "wire/nodehdr.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/err.h"

#define NH_REQUEST_PARTS 9
#define NH_ANSWER_PARTS 9

void
nh_put_request (const struct nh_request *request, char out[NH_TEXT_BYTES])
{
  snprintf (out, NH_TEXT_BYTES, "%s %u %u %u %u %" PRIx64 " %d %d %d",
            request->service, request->importance, request->timeout_ms,
            request->target_ms, request->haste, request->route,
            (int)request->idempotent, (int)request->repeat,
            (int)request->inner);
}

int
nh_get_request (const char *text, struct nh_request *request)
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
      != NH_REQUEST_PARTS)
    return SR_EMALFORMED;
  request->idempotent = idempotent != 0;
  request->repeat = repeat != 0;
  request->inner = inner != 0;
  return SR_OK;
}

void
nh_put_answer (const struct nh_answer *answer, char out[NH_TEXT_BYTES])
{
  snprintf (out, NH_TEXT_BYTES, "%d %d %u %u %u %u %u %u %d", (int)answer->end,
            (int)answer->reason, answer->retry_after_ms, answer->wait_us,
            answer->pressure_us, answer->waited_us, answer->fan_out,
            answer->load, (int)answer->inner);
}

int
nh_get_answer (const char *text, struct nh_answer *answer)
{
  unsigned end;
  unsigned reason;
  unsigned inner;

  if (sscanf (text,
              "%u %u %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
              " %" SCNu32 " %u",
              &end, &reason, &answer->retry_after_ms, &answer->wait_us,
              &answer->pressure_us, &answer->waited_us, &answer->fan_out,
              &answer->load, &inner)
          != NH_ANSWER_PARTS
      || end > NH_UNKNOWN || reason >= RSN_COUNT)
    return SR_EMALFORMED;
  answer->end = (enum nh_end)end;
  answer->reason = (enum rsn_refusal)reason;
  answer->inner = inner != 0;
  return SR_OK;
}
