#include "programs/load_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"

/* Generates the traceparent, which is the same for all attempts of a call.  */
static void
load_call_set_traceparent (struct load_call *call)
{
  uint8_t id[RNG_ID_BYTES + 8];
  char *at = call->traceparent;

  rng_os_bytes (id, sizeof id);
  at += sprintf (at, "00-");
  for (size_t i = 0; i < sizeof id; i++)
    at += sprintf (at, i == RNG_ID_BYTES ? "-%02x" : "%02x", id[i]);
  sprintf (at, "-01");
}

static void
load_call_set_body (struct load_call *call, uint64_t serial)
{
  size_t len = call->mix_entry->body_bytes;

  tool_answer_fill (tool_buf_grow (&call->body, len), len, serial);
  call->echo.body_hash = tool_answer_hash (call->body.data, len);
}

struct load_call *
load_call_new (struct load_state *load, clk_us due)
{
  struct load_call *call = calloc (1, sizeof *call);
  uint64_t serial = load->next_serial++;

  INVARIANT (call != NULL);
  call->load = load;
  call->mix_entry = load_mix_draw (&load->mix, &load->rng);
  call->due = due;
  call->start_wall_ms = clk_wall_ms ();
  call->route = LOAD_ROUTE_VIA_NODES;
  load_mix_format_path (call->mix_entry, serial, call->echo.path);
  snprintf (call->echo.caller, TOOL_ANSWER_FIELD_BYTES, "caller-%" PRIu64,
            serial % load->options.callers);
  if (call->mix_entry->has_key)
    snprintf (call->echo.key, TOOL_ANSWER_FIELD_BYTES, "%s-%" PRIu64,
              load->run_id, serial);
  load_call_set_traceparent (call);
  load_call_set_body (call, serial);
  list_push_tail (&load->calls, &call->node);
  load->open_calls++;
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
load_call_build_request (struct load_call *call,
                         struct tool_client_request *request)
{
  const struct load_options *options = &call->load->options;

  memset (request, 0, sizeof *request);
  request->method = call->mix_entry->method;
  request->path = call->echo.path;
  request->host = options->host;
  request->body = call->body.data;
  request->body_len = call->body.len;
  request->chunked = options->chunked && call->body.len > 0;
  request->timeout_ms = options->timeout_ms;
  load_call_add_header (request, "x-caller-id:", call->echo.caller);
  load_call_add_header (request, "traceparent:", call->traceparent);
  if (call->echo.key[0] != '\0')
    load_call_add_header (request, "idempotency-key:", call->echo.key);
  if (options->id_field != NULL)
    {
      snprintf (call->attempt_id, sizeof call->attempt_id, "%.32s-%" PRIu32,
                call->traceparent + LOAD_TRACE_ID_OFFSET, call->resends);
      load_call_add_header (request, options->id_field_name, call->attempt_id);
    }
}

void
load_call_free (struct load_call *call)
{
  call->load->open_calls--;
  list_remove (&call->node);
  tool_buf_free (&call->body);
  free (call);
}
