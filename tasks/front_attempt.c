#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/counter.h"
#include "core/err.h"
#include "tasks/front_state.h"

/* Returns the hash bucket of a stream.  */
static struct list *
front_attempt_bucket (struct front *front, uint64_t stream)
{
  return &front->attempt_buckets[stream % FRONT_HASH_BUCKETS];
}

struct front_attempt *
front_attempt_find (struct front *front, uint64_t stream)
{
  list_each (node, front_attempt_bucket (front, stream))
    {
      struct front_attempt *attempt
          = list_entry (node, struct front_attempt, hash_node);

      if (attempt->stream == stream)
        return attempt;
    }
  return NULL;
}

/* Creates a message for the stream of the attempt.  */
static struct msg *
front_attempt_new_msg (const struct front_attempt *attempt, enum msg_kind kind)
{
  struct msg *msg = msg_new (kind);

  msg->endpoint = attempt->endpoint;
  msg->stream = attempt->stream;
  return msg;
}

static void
front_attempt_send_open (struct front_attempt *attempt, clk_us now)
{
  struct front_call *call = attempt->call;
  struct msg *msg = front_attempt_new_msg (attempt, MSG_OPEN);
  struct msg_open *open = &msg->u.open;

  snprintf (open->service, sizeof open->service, "%s", call->req.service_name);
  snprintf (open->method, sizeof open->method, "%s", call->method);
  open->path = strdup (call->path);
  INVARIANT (open->path != NULL);
  list_each (node, &call->fields)
    {
      const struct msg_field *field
          = list_entry (node, struct msg_field, node);

      msg_field_add (&open->fields, field->name, field->value);
    }
  snprintf (open->caller, sizeof open->caller, "%s", call->caller);
  snprintf (open->idempotency_key, sizeof open->idempotency_key, "%s",
            call->req.claim_key);
  snprintf (open->chain_key, sizeof open->chain_key, "%s",
            call->req.chain_key);
  rng_os_bytes (open->attempt_id, sizeof open->attempt_id);
  open->importance = call->req.importance;
  open->depth = call->req.depth;
  open->retry_allowance = attempt->retry_allowance;
  open->remaining_us = call->req.deadline > now ? call->req.deadline - now : 0;
  open->suspect = quarantine_is_suspect (call->front->state.suspects.marks,
                                         call->req.fingerprint, now);
  open->body_len = call->body_len;
  front_send (call->front, msg);
}

void
front_attempt_start (struct front_call *call, struct lb_server *server,
                     struct filter_service *service)
{
  struct front *front = call->front;
  struct front_attempt *attempt = calloc (1, sizeof *attempt);
  clk_us now = clk_now ();

  INVARIANT (attempt != NULL);
  attempt->call = call;
  attempt->service = service;
  attempt->server = server;
  attempt->stream = front->next_stream++;
  attempt->started_at = now;
  attempt->retry_allowance = retry_allowance_grant (call->req.allowance);
  attempt->body_credit = MSG_WINDOW_BYTES;
  attempt->endpoint.kind
      = server->local ? MSG_ENDPOINT_LOCAL : MSG_ENDPOINT_DIAL;
  if (server->local)
    attempt->endpoint.u.to_serve = true;
  else
    snprintf (attempt->endpoint.u.address, sizeof attempt->endpoint.u.address,
              "%s", server->address);
  list_push_tail (&call->attempts, &attempt->node);
  list_push_tail (front_attempt_bucket (front, attempt->stream),
                  &attempt->hash_node);
  lb_attempt_start (service->servers, server, now);
  lb_watch_start (server, &attempt->watch, call->req.kind->cost, now);
  counter_add (COUNTER_ATTEMPTS, 1);
  front_attempt_send_open (attempt, now);
  front_attempt_send_body (attempt);
}

void
front_attempt_send_body (struct front_attempt *attempt)
{
  struct front_call *call = attempt->call;

  while (!attempt->body_done)
    {
      size_t len;
      const uint8_t *data;
      struct msg *msg;

      if (attempt->body_sent_bytes < call->body.base)
        return;
      data = buf_data_from (&call->body, attempt->body_sent_bytes, &len);
      if (len > MSG_BODY_BYTES_MAX)
        len = MSG_BODY_BYTES_MAX;
      if (len > attempt->body_credit - attempt->body_sent_bytes)
        len = (size_t)(attempt->body_credit - attempt->body_sent_bytes);
      attempt->body_done
          = attempt->body_sent_bytes + len == (uint64_t)call->body_len;
      if (len == 0 && !attempt->body_done)
        return;
      msg = front_attempt_new_msg (attempt, MSG_BODY);
      msg->u.body.sequence = attempt->body_sequence++;
      msg->u.body.end = attempt->body_done;
      msg->u.body.total = (uint64_t)call->body_len;
      if (len > 0)
        {
          msg->u.body.data = malloc (len);
          INVARIANT (msg->u.body.data != NULL);
          memcpy (msg->u.body.data, data, len);
          msg->u.body.len = len;
        }
      attempt->body_sent_bytes += len;
      front_send (call->front, msg);
    }
}

void
front_attempt_send_credit (struct front_attempt *attempt, uint64_t written)
{
  uint64_t credit = written - attempt->answer_credited;
  struct msg *msg;

  if (credit < MSG_WINDOW_BYTES / 4)
    return;
  attempt->answer_credited = written;
  msg = front_attempt_new_msg (attempt, MSG_CREDIT);
  msg->u.credit = (uint32_t)credit;
  front_send (attempt->call->front, msg);
}

/* Removes the attempt; reports its result and load to the load balancer and
   returns the unused retry allowance.  */
void
front_attempt_end (struct front_attempt *attempt, enum lb_result result,
                   const struct msg_trailer *trailer)
{
  struct front_call *call = attempt->call;
  struct slots_level level = { 0 };
  clk_us now = clk_now ();
  clk_us head_at = attempt->head_received ? attempt->head_received_at : now;
  uint32_t unused = trailer != NULL ? trailer->unused_retry_allowance : 0;

  if (trailer != NULL)
    level = (struct slots_level){ .importance_min = trailer->level_importance,
                                  .wait_us = trailer->level_wait_us };
  if (unused < attempt->retry_allowance)
    counter_add (COUNTER_ALLOWANCE_LOST, attempt->retry_allowance - unused);
  lb_watch_end (&attempt->watch, now);
  retry_allowance_return (call->req.allowance, attempt->retry_allowance,
                          unused);
  lb_attempt_end (attempt->service->servers, attempt->server, result,
                  call->req.kind->cost, head_at - attempt->started_at,
                  trailer != NULL ? &level : NULL, now);
  if (call->winner == attempt)
    call->winner = NULL;
  list_remove (&attempt->node);
  list_remove (&attempt->hash_node);
  free (attempt);
}

void
front_attempt_cancel (struct front_attempt *attempt)
{
  front_send (attempt->call->front,
              front_attempt_new_msg (attempt, MSG_CANCEL));
  front_attempt_end (attempt, LB_IGNORED, NULL);
}

/* Maps a refusal to the result for the load balancer.  */
static enum lb_result
front_attempt_lb_result (const struct msg_refuse *refuse)
{
  switch (refuse->reason)
    {
    case REASON_PEER_LOST:
    case REASON_CONNECTION_SILENT:
    case REASON_CANCELLED:
      return LB_IGNORED;
    default:
      return refuse->run == REASON_NOT_RUN ? LB_REFUSED : LB_FAILED;
    }
}

/* Ends the attempt after a refusal; the call decides whether to retry.  */
static void
front_attempt_handle_refusal (struct front_attempt *attempt,
                              const struct msg_refuse *refuse)
{
  struct front_call *call = attempt->call;
  struct msg_refuse copy = *refuse;
  bool winner = call->winner == attempt;

  /* The serving node reports the crash mark as well, but this node must have
     it before it sends a retry elsewhere.  */
  if (refuse->reason == REASON_BACKEND_CRASHED)
    quarantine_add_mark (call->front->state.suspects.marks,
                         call->req.fingerprint, attempt->server->instance,
                         clk_now ());
  front_attempt_end (attempt, front_attempt_lb_result (&copy), &copy.trailer);
  front_call_handle_attempt_failure (call, winner, &copy);
}

/* Fails an attempt whose stream was lost or violated the protocol.  */
static void
front_attempt_fail (struct front_attempt *attempt, enum reason_refusal reason)
{
  struct msg_refuse refuse = { .reason = reason, .run = REASON_RUN_UNKNOWN };

  if (reason == REASON_ANSWER_INCOMPLETE)
    front_send (attempt->call->front,
                front_attempt_new_msg (attempt, MSG_CANCEL));
  front_attempt_handle_refusal (attempt, &refuse);
}

static void
front_attempt_handle_head (struct front_attempt *attempt, struct msg *msg)
{
  if (attempt->head_received)
    return;
  attempt->head_received = true;
  attempt->head_received_at = clk_now ();
  lb_watch_end (&attempt->watch, attempt->head_received_at);
  front_call_handle_head (attempt->call, attempt, msg);
}

static void
front_attempt_handle_body (struct front_attempt *attempt, struct msg *msg)
{
  const struct msg_body *body = &msg->u.body;

  attempt->answer_bytes += body->len;
  if (!attempt->head_received || body->sequence != attempt->answer_sequence
      || (body->end && body->total != attempt->answer_bytes))
    {
      front_attempt_fail (attempt, REASON_ANSWER_INCOMPLETE);
      return;
    }
  attempt->answer_sequence++;
  front_call_handle_body (attempt->call, attempt, msg);
}

void
front_attempt_handle_message (struct front *front, struct msg *msg)
{
  struct front_attempt *attempt = front_attempt_find (front, msg->stream);

  /* Ignore late messages of ended attempts; stream numbers are never
     reused.  */
  if (attempt == NULL)
    return;
  switch (msg->kind)
    {
    case MSG_HEAD:
      front_attempt_handle_head (attempt, msg);
      break;
    case MSG_BODY:
      front_attempt_handle_body (attempt, msg);
      break;
    case MSG_CREDIT:
      attempt->body_credit += msg->u.credit;
      front_attempt_send_body (attempt);
      front_call_trim_body (attempt->call);
      break;
    case MSG_REFUSE:
      front_attempt_handle_refusal (attempt, &msg->u.refuse);
      break;
    default:
      break;
    }
}

/* Returns the first attempt at ENDPOINT with a stream number below
   STREAM_LIMIT, or NULL.  */
static struct front_attempt *
front_attempt_find_by_endpoint (struct front *front,
                                const struct msg_endpoint *endpoint,
                                uint64_t stream_limit)
{
  for (int i = 0; i < FRONT_HASH_BUCKETS; i++)
    list_each (node, &front->attempt_buckets[i])
      {
        struct front_attempt *attempt
            = list_entry (node, struct front_attempt, hash_node);

        if (attempt->endpoint.kind == MSG_ENDPOINT_DIAL
            && attempt->stream < stream_limit
            && strcmp (attempt->endpoint.u.address, endpoint->u.address) == 0)
          return attempt;
      }
  return NULL;
}

void
front_attempt_handle_peer_lost (struct front *front,
                                const struct msg_endpoint *endpoint)
{
  /* Retries started in this loop use a new connection and have higher
     numbers.  */
  uint64_t stream_limit = front->next_stream;
  struct front_attempt *attempt;

  while ((attempt
          = front_attempt_find_by_endpoint (front, endpoint, stream_limit))
         != NULL)
    front_attempt_fail (attempt, REASON_PEER_LOST);
}
