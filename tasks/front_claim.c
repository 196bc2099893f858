#include <stdlib.h>
#include <string.h>

#include "controllers/claim.h"
#include "core/counter.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"
#include "wire/record.h"

/* Bytes reserved for status and header fields of a recorded answer, in
   addition to the body.  */
#define FRONT_CLAIM_RECORD_OVERHEAD_BYTES 4096
/* Delay before a claim that another attempt holds is requested again.  */
#define FRONT_CLAIM_POLL_INTERVAL_US clk_ms (50)
/* Maximum time that a request waits for the claims group.  */
#define FRONT_CLAIM_TIMEOUT_MS 3000
/* Time for which the proposal of a release or an outcome is repeated until it
   is applied.  */
#define FRONT_CLAIM_SETTLE_TIMEOUT_MS 60000
/* Time after the deadline until a claim without an outcome counts as unknown;
   the backend server may still be running the request.  */
#define FRONT_CLAIM_GRACE_MS 1000

/* Computes the key of the claim, scoped to caller, service and kind.  */
static void
front_claim_key (const struct front_serve *serve, uint8_t out[CLAIM_KEY_BYTES])
{
  struct digest_part key_parts[] = {
    { serve->caller, strlen (serve->caller) },
    { serve->req.service_name, strlen (serve->req.service_name) },
    { serve->req.kind->name, strlen (serve->req.kind->name) },
    { serve->idempotency_key, strlen (serve->idempotency_key) },
  };

  digest_128 (key_parts, sizeof key_parts / sizeof key_parts[0], out);
}

/* Proposes a command to the claims group; returns the request number.  */
static uint64_t
front_claim_propose (struct front_serve *serve, struct claim_command *command,
                     uint32_t timeout_ms)
{
  struct front *front = serve->front;
  struct msg *msg = msg_new (MSG_CLAIM);
  uint64_t request_id = front->next_request_id++;

  front_claim_key (serve, command->key);
  memcpy (command->attempt, serve->attempt_id, sizeof command->attempt);
  msg->u.propose.kind = MSG_PROPOSE_COMMAND;
  msg->u.propose.group = MSG_GROUP_CLAIMS;
  msg->u.propose.request_id = request_id;
  msg->u.propose.timeout_ms = timeout_ms;
  INVARIANT (
      claim_command_encode (command, &msg->u.propose.data, &msg->u.propose.len)
      == SR_OK);
  inbox_put (front->control, msg);
  return request_id;
}

/* Returns the time to the deadline in milliseconds.  */
static uint32_t
front_claim_remaining_ms (const struct front_serve *serve)
{
  clk_us now = clk_now ();

  if (now >= serve->req.deadline)
    return 0;
  return (uint32_t)((serve->req.deadline - now) / CLK_US_PER_MS);
}

void
front_claim_request (struct front_serve *serve)
{
  struct claim_command command = { .op = CLAIM_CLAIM };
  uint32_t remaining = front_claim_remaining_ms (serve);

  if (serve->claim_request_id != 0)
    return;
  command.body_hash = serve->req.body_hash;
  command.run_ms = remaining + FRONT_CLAIM_GRACE_MS;
  command.retention_hours = serve->front->state.model->claim_retention_hours;
  command.keys_max = serve->front->state.model->claim_keys_max;
  command.answer_reserve_bytes
      = serve->front->state.model->claim_answer_bytes_max
        + FRONT_CLAIM_RECORD_OVERHEAD_BYTES;
  serve->req.claim_state = FILTER_CLAIM_PENDING;
  serve->claim_request_id = front_claim_propose (
      serve, &command,
      remaining < FRONT_CLAIM_TIMEOUT_MS ? remaining : FRONT_CLAIM_TIMEOUT_MS);
}

/* Releases a claim that was requested and not used.  */
void
front_claim_release (struct front_serve *serve)
{
  struct claim_command command = { .op = CLAIM_RELEASE };

  INVARIANT (!serve->sent_to_backend);
  if (serve->req.claim_state != FILTER_CLAIM_PENDING
      && serve->req.claim_state != FILTER_CLAIM_GRANTED
      && serve->req.claim_state != FILTER_CLAIM_UNAVAILABLE)
    return;
  front_claim_propose (serve, &command, FRONT_CLAIM_SETTLE_TIMEOUT_MS);
  serve->req.claim_state = FILTER_CLAIM_NONE;
}

/* Proposes the outcome with the answer, so that a resend gets the same
   one.  */
void
front_claim_record_answer (struct front_serve *serve)
{
  struct claim_command command = { .op = CLAIM_OUTCOME };
  struct record_answer answer = { .status = serve->record_status };
  uint32_t max_bytes = serve->front->state.model->claim_answer_bytes_max;
  uint8_t *encoded = NULL;

  list_init (&answer.fields);
  list_splice_tail (&answer.fields, &serve->record_fields);
  answer.body = serve->record_body;
  answer.body_recorded = serve->record_body.len <= max_bytes;
  INVARIANT (record_encode (&answer, &encoded, &command.answer_len) == SR_OK);
  command.answer = encoded;
  serve->claim_request_id
      = front_claim_propose (serve, &command, FRONT_CLAIM_SETTLE_TIMEOUT_MS);
  list_splice_tail (&serve->record_fields, &answer.fields);
  free (encoded);
}

/* Timer: requests the claim again, without holding a slot.  */
static void
front_claim_handle_poll_timer (lws_sorted_usec_list_t *timer)
{
  struct front_serve *serve
      = lws_container_of (timer, struct front_serve, retry_timer);
  struct front *front = serve->front;

  front_claim_request (serve);
  front_serve_run_admission (front);
}

/* Schedules another request for a claim that another attempt holds, and gives
   up the slot.  */
static void
front_claim_poll (struct front_serve *serve)
{
  struct front *front = serve->front;

  if (serve->req.ticket.state != SLOTS_IDLE)
    slots_withdraw (front->state.slots, &serve->req.ticket, clk_now ());
  lws_sul_schedule (front->context, 0, &serve->retry_timer,
                    front_claim_handle_poll_timer,
                    (lws_usec_t)FRONT_CLAIM_POLL_INTERVAL_US);
}

/* Loads the recorded answer into the request.  */
static enum filter_claim_state
front_claim_load_record (struct front_serve *serve,
                         const struct claim_result *result)
{
  struct record_answer answer;

  if (result->without_answer)
    return FILTER_CLAIM_NOT_KEPT;
  if (record_decode (result->answer, result->answer_len, &answer) != SR_OK)
    return FILTER_CLAIM_UNKNOWN;
  if (!answer.body_recorded)
    {
      record_free (&answer);
      return FILTER_CLAIM_NOT_KEPT;
    }
  serve->record_status = answer.status;
  list_splice_tail (&serve->record_fields, &answer.fields);
  serve->record_body = answer.body;
  counter_add (COUNTER_CLAIMS_REPLAYED, 1);
  return FILTER_CLAIM_DONE;
}

static enum filter_claim_state
front_claim_state (struct front_serve *serve,
                   const struct claim_result *result)
{
  switch (result->kind)
    {
    case CLAIM_GRANTED:
      counter_add (COUNTER_CLAIMS_GRANTED, 1);
      return FILTER_CLAIM_GRANTED;
    case CLAIM_DONE:
      return front_claim_load_record (serve, result);
    case CLAIM_MISMATCH:
      return FILTER_CLAIM_MISMATCH;
    case CLAIM_FULL:
      return FILTER_CLAIM_FULL;
    case CLAIM_IN_PROGRESS:
      return FILTER_CLAIM_PENDING;
    default:
      return FILTER_CLAIM_UNKNOWN;
    }
}

/* Handles the result of a claim, or its failure.  */
static void
front_claim_apply_result (struct front_serve *serve,
                          const struct msg_result *reply)
{
  struct front *front = serve->front;
  struct claim_result result;

  if (reply->status != SR_OK
      || claim_result_decode (reply->data, reply->len, &result) != SR_OK)
    {
      /* The claim may have been granted although its result is unknown.  */
      serve->req.claim_state = FILTER_CLAIM_UNAVAILABLE;
      front_serve_refuse (serve, REASON_CLAIM_UNAVAILABLE, REASON_NOT_RUN);
      return;
    }
  if (result.kind == CLAIM_IN_PROGRESS)
    {
      front_claim_poll (serve);
      return;
    }
  serve->req.claim_state = front_claim_state (serve, &result);
  if (serve->req.claim_state != FILTER_CLAIM_GRANTED)
    {
      /* The claim filter decides without a slot.  */
      struct filter_result chain_result = filter_claim (&serve->req);

      front_serve_handle_filter_result (serve, &chain_result);
    }
  else
    {
      /* The slot was given up while another attempt held the claim.  */
      if (serve->req.ticket.state == SLOTS_IDLE)
        filter_start_chain (&serve->req, filter_serve_chain);
      front_serve_run_chain (serve);
    }
  front_serve_run_admission (front);
}

static struct front_serve *
front_claim_find_serve (struct front *front, uint64_t request_id)
{
  list_each (node, &front->serves)
    {
      struct front_serve *serve = list_entry (node, struct front_serve, node);

      if (serve->claim_request_id == request_id)
        return serve;
    }
  return NULL;
}

void
front_claim_handle_result (struct front *front, struct msg *msg)
{
  struct front_serve *serve
      = front_claim_find_serve (front, msg->u.result.request_id);

  if (serve == NULL)
    return;
  serve->claim_request_id = 0;
  if (!serve->answer_complete)
    {
      front_claim_apply_result (serve, &msg->u.result);
      return;
    }
  if (msg->u.result.status != SR_OK)
    slog (SLOG_WARNING, "response not recorded service=%s error=\"%s\"",
          serve->req.service_name, sr_strerror (msg->u.result.status));
  serve->awaiting_record = false;
  front_answer_send (serve);
}
