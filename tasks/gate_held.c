#include <string.h>

#include "tasks/gate_state.h"

/* What the inbound connections hold: the requests that were received on them,
   the answers that were not sent yet, and what of both the connections to
   servers and other nodes hold.  Buffers count with their capacity.  */

/* Part of the process memory that the kernel may use for wide receive
   buffers.  */
#define GATE_HELD_WIDE_PERCENT 10u
/* Bytes of a body that are buffered while memory is short, if a server may be
   running the request.  */
#define GATE_HELD_BODY_BYTES (64u * 1024)
/* Interval at which all bodies are trimmed while memory is short.  */
#define GATE_HELD_TRIM_INTERVAL_US clk_ms (10)

static uint32_t
gate_held_wide_max (const struct gate *gate)
{
  return (uint32_t)(held_memory_bytes (gate->opts.memory_bytes) / 100
                    * GATE_HELD_WIDE_PERCENT / (2 * HCONN_WIDE_BYTES));
}

void
gate_held_reload (struct gate *gate)
{
  gate->held.opts
      = held_opts_for (held_memory_bytes (gate->opts.memory_bytes));
  gate->windows.wide_max = gate_held_wide_max (gate);
}

void
gate_held_init (struct gate *gate)
{
  struct held_opts opts
      = held_opts_for (held_memory_bytes (gate->opts.memory_bytes));

  held_init (&gate->held, &opts);
  gate->windows.wide_max = gate_held_wide_max (gate);
}

static uint64_t
gate_held_head_bytes (const struct httpmsg_head *head)
{
  return head->field_lines.capacity
         + (head->target != NULL ? strlen (head->target) : 0);
}

static uint64_t
gate_held_outbound_bytes (const struct gate_out *outbound)
{
  return outbound != NULL ? sizeof *outbound + outbound->conn.send_buf.capacity
                          : 0;
}

static uint64_t
gate_held_call_bytes (const struct gate_call *call)
{
  uint64_t bytes = sizeof *call;

  list_each (node, &call->attempts)
    {
      const struct gate_attempt *attempt
          = list_entry (node, struct gate_attempt, node);

      bytes += sizeof *attempt + gate_held_head_bytes (&attempt->head)
               + attempt->answer_body.capacity
               + gate_held_outbound_bytes (attempt->outbound);
    }
  return bytes;
}

static uint64_t
gate_held_request_bytes (const struct gate_request *request)
{
  uint64_t bytes = sizeof *request + gate_held_head_bytes (&request->head)
                   + request->body.capacity + request->answer.capacity;

  switch (request->kind)
    {
    case GATE_KIND_CALL:
      return bytes + gate_held_call_bytes (request->u.call);
    case GATE_KIND_SERVE:
      return bytes + sizeof *request->u.serve
             + gate_held_outbound_bytes (request->u.serve->outbound);
    case GATE_KIND_API:
    case GATE_KIND_PENDING:
    case GATE_KIND_NONE:
      break;
    }
  return bytes;
}

/* Whether a server may be running the request or is to get it next.  */
static bool
gate_held_is_at_work (const struct gate_request *request)
{
  switch (request->kind)
    {
    case GATE_KIND_CALL:
      return request->u.call->started;
    case GATE_KIND_SERVE:
      return request->u.serve->admitted;
    case GATE_KIND_API:
      return request->body_complete;
    case GATE_KIND_PENDING:
    case GATE_KIND_NONE:
      break;
    }
  return false;
}

bool
gate_held_body_is_full (const struct gate_request *request)
{
  /* That of an API request is needed as a whole.  */
  if (request->kind == GATE_KIND_API)
    return false;
  if (held_is_short (&request->gate->held) && gate_held_is_at_work (request))
    return request->body.len >= GATE_HELD_BODY_BYTES;
  return request->body.len >= GATE_REPLAY_BODY_BYTES_MAX;
}

/* Drops the bytes that are kept only to send a request again.  */
static void
gate_held_trim (struct gate *gate)
{
  clk_us now = loop_now (gate->loop);

  if (now < gate->held_trimmed_at + GATE_HELD_TRIM_INTERVAL_US)
    return;
  gate->held_trimmed_at = now;
  list_each (node, &gate->calls)
    gate_call_trim_body (list_entry (node, struct gate_call, node));
  list_each (node, &gate->serves)
    gate_serve_trim_body (list_entry (node, struct gate_serve, node));
}

void
gate_held_make_room (struct gate_in *inbound)
{
  struct gate *gate = inbound->gate;
  struct held_item *victim;

  if (!held_is_short (&gate->held))
    return;
  gate_held_trim (gate);
  do
    {
      victim = held_find_victim (&gate->held, &inbound->held,
                                 loop_now (gate->loop));
      if (victim != NULL)
        gate_in_give_way (list_entry (victim, struct gate_in, held));
    }
  while (victim != NULL && victim != &inbound->held);
  if (victim == NULL && gate->held.bytes > gate->held.opts.bytes_max)
    gate_in_drop_pending (inbound);
}

void
gate_held_tick (struct gate *gate)
{
  struct held_item *stopped;

  if (held_is_short (&gate->held))
    gate_held_trim (gate);
  while (gate->held.bytes > gate->held.opts.bytes_max
         && (stopped = held_find_stopped (&gate->held, loop_now (gate->loop)))
                != NULL)
    gate_in_give_way (list_entry (stopped, struct gate_in, held));
}

void
gate_held_update (struct gate_in *inbound)
{
  const struct httpmsg_parser *parser = &inbound->conn.parser;
  enum held_state state = HELD_WAITING;
  uint64_t bytes;

  if (!list_is_linked (&inbound->held.node))
    return;
  bytes = sizeof *inbound + inbound->conn.send_buf.capacity
          + gate_held_head_bytes (&parser->head) + parser->target.capacity
          + parser->field_name.capacity + parser->field_value.capacity
          + parser->connection_options.capacity;
  /* Another node may be sending a request on an idle connection.  */
  if (inbound->port == GATE_PORT_NODES && list_empty (&inbound->requests))
    state = HELD_AT_WORK;
  list_each (node, &inbound->requests)
    {
      const struct gate_request *request
          = list_entry (node, struct gate_request, node);

      bytes += gate_held_request_bytes (request);
      if (gate_held_is_at_work (request))
        state = HELD_AT_WORK;
    }
  held_set (&inbound->gate->held, &inbound->held, bytes, state,
            loop_now (inbound->gate->loop));
}
