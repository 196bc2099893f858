#include "wire/nodehdr.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/err.h"

#define NODEHDR_REQUEST_VALUES 9
/* Earlier versions do not send downstream_queue_wait_age_ms.  */
#define NODEHDR_ANSWER_VALUES_MIN 9

void
nodehdr_encode_request (const struct nodehdr_request *request,
                        char out[NODEHDR_TEXT_BYTES])
{
  snprintf (out, NODEHDR_TEXT_BYTES, "%s %u %u %u %u %" PRIx64 " %d %d %d",
            request->service, request->importance, request->timeout_ms,
            request->target_ms, request->timeout_used_fraction,
            request->route_id, (int)request->idempotent,
            (int)request->may_have_run, (int)request->internal);
}

int
nodehdr_decode_request (const char *text, struct nodehdr_request *request)
{
  unsigned idempotent;
  unsigned may_have_run;
  unsigned internal;

  if (sscanf (text,
              "%63s %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNx64
              " %u %u %u",
              request->service, &request->importance, &request->timeout_ms,
              &request->target_ms, &request->timeout_used_fraction,
              &request->route_id, &idempotent, &may_have_run, &internal)
      != NODEHDR_REQUEST_VALUES)
    return SR_EMALFORMED;
  request->idempotent = idempotent != 0;
  request->may_have_run = may_have_run != 0;
  request->internal = internal != 0;
  return SR_OK;
}

void
nodehdr_encode_answer (const struct nodehdr_answer *answer,
                       char out[NODEHDR_TEXT_BYTES])
{
  snprintf (out, NODEHDR_TEXT_BYTES, "%d %d %u %u %u %u %u %u %d %u",
            (int)answer->outcome, (int)answer->reason, answer->retry_after_ms,
            answer->internal_queue_wait_us, answer->downstream_queue_wait_us,
            answer->queue_wait_us, answer->fan_out, answer->load,
            (int)answer->internal, answer->downstream_queue_wait_age_ms);
}

int
nodehdr_decode_answer (const char *text, struct nodehdr_answer *answer)
{
  unsigned outcome;
  unsigned reason;
  unsigned internal;

  answer->downstream_queue_wait_age_ms = 0;
  if (sscanf (text,
              "%u %u %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
              " %" SCNu32 " %u %" SCNu32,
              &outcome, &reason, &answer->retry_after_ms,
              &answer->internal_queue_wait_us,
              &answer->downstream_queue_wait_us, &answer->queue_wait_us,
              &answer->fan_out, &answer->load, &internal,
              &answer->downstream_queue_wait_age_ms)
          < NODEHDR_ANSWER_VALUES_MIN
      || outcome > NODEHDR_UNKNOWN || reason >= REASON_COUNT)
    return SR_EMALFORMED;
  answer->outcome = (enum nodehdr_outcome)outcome;
  answer->reason = (enum reason_refusal)reason;
  answer->internal = internal != 0;
  return SR_OK;
}
