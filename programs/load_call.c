#include "programs/load_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Trace context; the same for all attempts of a call.  */
static void
load_call_set_trace (struct load_call *call)
{
  uint8_t id[RNG_ID_BYTES + 8];
  char *at = call->trace;

  rng_os_bytes (id, sizeof id);
  at += sprintf (at, "00-");
  for (size_t i = 0; i < sizeof id; i++)
    at += sprintf (at, i == RNG_ID_BYTES ? "-%02x" : "%02x", id[i]);
  sprintf (at, "-01");
}

static void
load_call_set_body (struct load_call *call, uint64_t serial)
{
  size_t len = call->kind->bytes;

  tool_answer_fill (tool_buf_grow (&call->body, len), len, serial);
  call->facts.body_hash = tool_answer_hash (call->body.data, len);
}

struct load_call *
load_call_new (struct load *load, clk_us due)
{
  struct load_call *call = calloc (1, sizeof *call);
  uint64_t serial = load->serial++;

  INVARIANT (call != NULL);
  call->load = load;
  call->kind = load_mix_draw (&load->mix, &load->rng);
  call->due = due;
  call->started_ms = clk_wall_ms ();
  call->leg = LOAD_LEG_VIA;
  load_mix_path (call->kind, serial, call->facts.path);
  snprintf (call->facts.caller, TOOL_ANSWER_FIELD_BYTES, "caller-%" PRIu64,
            serial % load->options.callers);
  if (call->kind->key)
    snprintf (call->facts.key, TOOL_ANSWER_FIELD_BYTES, "%s-%" PRIu64,
              load->run_id, serial);
  load_call_set_trace (call);
  load_call_set_body (call, serial);
  list_push_tail (&load->calls, &call->node);
  load->open++;
  return call;
}

static void
load_call_add_header (struct tool_client_request *request, const char *name,
                      const char *value)
{
  request->headers[request->header_count].name = name;
  request->headers[request->header_count].value = value;
  request->header_count++;
}

void
load_call_request (struct load_call *call, struct tool_client_request *request)
{
  const struct load_options *options = &call->load->options;

  memset (request, 0, sizeof *request);
  request->method = call->kind->method;
  request->path = call->facts.path;
  request->host = options->host;
  request->body = call->body.data;
  request->body_len = call->body.len;
  request->chunked = options->chunked && call->body.len > 0;
  request->timeout_ms = options->timeout_ms;
  load_call_add_header (request, "x-caller-id:", call->facts.caller);
  load_call_add_header (request, "traceparent:", call->trace);
  if (call->facts.key[0] != '\0')
    load_call_add_header (request, "idempotency-key:", call->facts.key);
  if (options->id_field != NULL)
    {
      snprintf (call->id, sizeof call->id, "%.32s-%" PRIu32,
                call->trace + LOAD_TRACE_ID_AT, call->resends);
      load_call_add_header (request, options->id_name, call->id);
    }
}

void
load_call_free (struct load_call *call)
{
  call->load->open--;
  list_remove (&call->node);
  tool_buf_free (&call->body);
  free (call);
}
