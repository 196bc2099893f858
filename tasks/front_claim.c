#include <stdlib.h>
#include <string.h>

#include "controllers/clm.h"
#include "core/ctr.h"
#include "core/err.h"
#include "core/slog.h"
#include "tasks/front_state.h"
#include "wire/record.h"

/* Room for status and fields beside the body of a recorded answer.  */
#define SRV_RECORD_BYTES 4096
/* Wait before a claim that another attempt holds is asked for again.  */
#define SRV_CLAIM_POLL_US clk_ms (50)
/* Longest time that a request waits for the claims group.  */
#define SRV_CLAIM_WAIT_MS 3000
/* Time for which a release or an outcome is repeated until it is applied.  */
#define SRV_SETTLE_WAIT_MS 60000
/* Time after the deadline until a claim without outcome counts as unknown;
   the backend server may run on for a while.  */
#define SRV_CLAIM_GRACE_MS 1000

/* Key of the claim: scoped to caller, service and kind.  */
static void
srv_claim_key (const struct serve *serve, uint8_t out[CLM_KEY_BYTES])
{
  struct dig_part parts[] = {
    { serve->caller, strlen (serve->caller) },
    { serve->req.service_name, strlen (serve->req.service_name) },
    { serve->req.kind->name, strlen (serve->req.kind->name) },
    { serve->key, strlen (serve->key) },
  };

  dig_128 (parts, sizeof parts / sizeof parts[0], out);
}

/* Sends a command to the claims group; returns its request id.  */
static uint64_t
srv_propose (struct serve *serve, struct clm_command *command,
             uint32_t timeout_ms)
{
  struct front *front = serve->front;
  struct msg *msg = msg_new (MSG_CLAIM);
  uint64_t request = front->next_request++;

  srv_claim_key (serve, command->key);
  memcpy (command->attempt, serve->attempt, sizeof command->attempt);
  msg->u.propose.kind = MSG_PROPOSE_COMMAND;
  msg->u.propose.group = MSG_GROUP_CLAIMS;
  msg->u.propose.request = request;
  msg->u.propose.timeout_ms = timeout_ms;
  INVARIANT (clm_encode (command, &msg->u.propose.data, &msg->u.propose.len)
             == SR_OK);
  inb_put (front->control, msg);
  return request;
}

/* Milliseconds to the deadline.  */
static uint32_t
srv_remaining_ms (const struct serve *serve)
{
  clk_us now = clk_now ();

  if (now >= serve->req.deadline)
    return 0;
  return (uint32_t)((serve->req.deadline - now) / CLK_US_PER_MS);
}

void
srv_claim (struct serve *serve)
{
  struct clm_command command = { .op = CLM_CLAIM };
  uint32_t remaining = srv_remaining_ms (serve);

  if (serve->claim_request != 0)
    return;
  command.body_hash = serve->req.body_hash;
  command.run_ms = remaining + SRV_CLAIM_GRACE_MS;
  command.keep_hours = serve->front->state.model->claim_keep_hours;
  command.keys_max = serve->front->state.model->claim_keys_max;
  command.answer_reserve
      = serve->front->state.model->claim_answer_bytes_max + SRV_RECORD_BYTES;
  serve->req.claim = FLT_CLAIM_ASKED;
  serve->claim_request = srv_propose (
      serve, &command,
      remaining < SRV_CLAIM_WAIT_MS ? remaining : SRV_CLAIM_WAIT_MS);
}

/* Gives a claim back that was asked for and not used.  */
void
srv_release (struct serve *serve)
{
  struct clm_command command = { .op = CLM_RELEASE };

  INVARIANT (!serve->handed_over);
  if (serve->req.claim != FLT_CLAIM_ASKED
      && serve->req.claim != FLT_CLAIM_GRANTED
      && serve->req.claim != FLT_CLAIM_UNAVAILABLE)
    return;
  srv_propose (serve, &command, SRV_SETTLE_WAIT_MS);
  serve->req.claim = FLT_CLAIM_NONE;
}

/* Records the answer, so that a resend gets the same one.  */
void
srv_record (struct serve *serve)
{
  struct clm_command command = { .op = CLM_OUTCOME };
  struct rcd_answer answer = { .status = serve->record_status };
  uint32_t most = serve->front->state.model->claim_answer_bytes_max;
  uint8_t *encoded = NULL;

  lst_init (&answer.fields);
  lst_splice_tail (&answer.fields, &serve->record_fields);
  answer.body = serve->record;
  answer.body_kept = serve->record.len <= most;
  INVARIANT (rcd_encode (&answer, &encoded, &command.answer_len) == SR_OK);
  command.answer = encoded;
  serve->claim_request = srv_propose (serve, &command, SRV_SETTLE_WAIT_MS);
  lst_splice_tail (&serve->record_fields, &answer.fields);
  free (encoded);
}

/* Asks again after a wait, without holding a slot.  */
static void
srv_claim_again (lws_sorted_usec_list_t *timer)
{
  struct serve *serve = lws_container_of (timer, struct serve, retry_timer);
  struct front *front = serve->front;

  srv_claim (serve);
  srv_run_admission (front);
}

/* Another attempt holds the claim.  */
static void
srv_claim_poll (struct serve *serve)
{
  struct front *front = serve->front;

  if (serve->req.ticket.state != ADM_IDLE)
    adm_withdraw (front->state.admission, &serve->req.ticket, clk_now ());
  lws_sul_schedule (front->context, 0, &serve->retry_timer, srv_claim_again,
                    (lws_usec_t)SRV_CLAIM_POLL_US);
}

/* Takes the recorded answer over.  */
static enum flt_claim
srv_claim_done (struct serve *serve, const struct clm_result *result)
{
  struct rcd_answer answer;

  if (result->without_answer)
    return FLT_CLAIM_NOT_KEPT;
  if (rcd_decode (result->answer, result->answer_len, &answer) != SR_OK)
    return FLT_CLAIM_UNKNOWN;
  if (!answer.body_kept)
    {
      rcd_free (&answer);
      return FLT_CLAIM_NOT_KEPT;
    }
  serve->record_status = answer.status;
  lst_splice_tail (&serve->record_fields, &answer.fields);
  serve->record = answer.body;
  ctr_add (CTR_CLAIMS_REPLAYED, 1);
  return FLT_CLAIM_DONE;
}

static enum flt_claim
srv_claim_state (struct serve *serve, const struct clm_result *result)
{
  switch (result->kind)
    {
    case CLM_GRANTED:
      ctr_add (CTR_CLAIMS_GRANTED, 1);
      return FLT_CLAIM_GRANTED;
    case CLM_DONE:
      return srv_claim_done (serve, result);
    case CLM_MISMATCH:
      return FLT_CLAIM_MISMATCH;
    case CLM_FULL:
      return FLT_CLAIM_FULL;
    case CLM_IN_PROGRESS:
      return FLT_CLAIM_ASKED;
    default:
      return FLT_CLAIM_UNKNOWN;
    }
}

/* A claim was decided on, or could not be.  */
static void
srv_claim_decided (struct serve *serve, const struct msg_result *answer)
{
  struct front *front = serve->front;
  struct clm_result result;

  if (answer->status != SR_OK
      || clm_result_decode (answer->data, answer->len, &result) != SR_OK)
    {
      /* The claim may have been granted without our knowing.  */
      serve->req.claim = FLT_CLAIM_UNAVAILABLE;
      srv_refuse (serve, RSN_CLAIM_UNAVAILABLE, RSN_NOT_RUN);
      return;
    }
  if (result.kind == CLM_IN_PROGRESS)
    {
      srv_claim_poll (serve);
      return;
    }
  serve->req.claim = srv_claim_state (serve, &result);
  if (serve->req.claim != FLT_CLAIM_GRANTED)
    {
      /* What was decided does not need a slot.  */
      struct flt_result decided = flt_claim (&serve->req);

      srv_handle (serve, &decided);
    }
  else
    {
      /* A slot was given up while another attempt held the claim.  */
      if (serve->req.ticket.state == ADM_IDLE)
        flt_start (&serve->req, flt_serve_chain);
      srv_advance (serve);
    }
  srv_run_admission (front);
}

static struct serve *
srv_find_request (struct front *front, uint64_t request)
{
  lst_each (node, &front->serves)
    {
      struct serve *serve = lst_entry (node, struct serve, node);

      if (serve->claim_request == request)
        return serve;
    }
  return NULL;
}

void
srv_claim_result (struct front *front, struct msg *msg)
{
  struct serve *serve = srv_find_request (front, msg->u.result.request);

  if (serve == NULL)
    return;
  serve->claim_request = 0;
  if (!serve->answer_whole)
    {
      srv_claim_decided (serve, &msg->u.result);
      return;
    }
  if (msg->u.result.status != SR_OK)
    slog (SLOG_WARNING, "answer is not recorded service=%s error=\"%s\"",
          serve->req.service_name, sr_strerror (msg->u.result.status));
  serve->holding = false;
  srv_send_answer (serve);
}
