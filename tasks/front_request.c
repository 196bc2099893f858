#include <stdio.h>
#include <string.h>

#include "tasks/front_state.h"
#include "wire/tracestate.h"

/* Copies the service name from the Host field: the part before the first "."
   or ":".  */
static void
front_request_read_service (struct lws *wsi, char *out, size_t size)
{
  char host[256];

  front_http_copy_token (wsi, WSI_TOKEN_HOST, host, sizeof host);
  host[strcspn (host, ".:")] = '\0';
  snprintf (out, size, "%.*s", (int)size - 1, host);
}

/* Returns the value of a lower-case hexadecimal digit, or -1.  */
static int
front_request_hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

/* Reads the hop id from the tracestate member of this system.  */
static void
front_request_read_hop (struct front_call *call)
{
  const char *state = msg_field_get (&call->fields, "tracestate");
  const char *member = state != NULL ? tracestate_find (state) : NULL;

  if (member == NULL)
    return;
  for (int i = 0; i < RNG_ID_BYTES; i++)
    {
      int high = front_request_hex_digit (member[2 * i]);
      int low = high < 0 ? -1 : front_request_hex_digit (member[2 * i + 1]);

      if (low < 0)
        return;
      call->req.hop_id[i] = (uint8_t)(high << 4 | low);
    }
  call->req.has_hop = true;
}

/* Copies the trace id of a traceparent field "00-<32 digits>-...".  */
static void
front_request_read_trace (struct front_call *call)
{
  const char *parent = msg_field_get (&call->fields, "traceparent");

  if (parent == NULL || strlen (parent) < 35)
    return;
  snprintf (call->trace_id, sizeof call->trace_id, "%.32s", parent + 3);
}

static void
front_request_read_caller (struct front_call *call, struct lws *wsi)
{
  const struct model *model = call->front->state.model;
  const char *name = NULL;

  if (model != NULL && model->caller_header[0] != '\0')
    name = msg_field_get (&call->fields, model->caller_header);
  if (name != NULL)
    snprintf (call->caller, sizeof call->caller, "%.*s", MSG_CALLER_BYTES - 1,
              name);
  else
    lws_get_peer_simple (wsi, call->caller, sizeof call->caller);
}

/* Copies the idempotency key.  A key that is too long is replaced by its hash,
   so that two long keys stay different.  */
static void
front_request_read_key (struct front_call *call)
{
  const char *key = msg_field_get (&call->fields, "idempotency-key");

  if (key == NULL)
    return;
  if (strlen (key) < sizeof call->idempotency_key)
    {
      snprintf (call->idempotency_key, sizeof call->idempotency_key, "%s",
                key);
      return;
    }
  struct digest_part part = { key, strlen (key) };
  uint8_t digest[DIGEST_BYTES];

  digest_128 (&part, 1, digest);
  digest_hex (digest, sizeof digest, call->idempotency_key);
}

/* Reads the fields that identify the request: service, hop, trace, caller and
   idempotency key.  */
void
front_request_read_identity (struct front_call *call, struct lws *wsi)
{
  front_request_read_service (wsi, call->req.service_name,
                              sizeof call->req.service_name);
  front_request_read_hop (call);
  front_request_read_trace (call);
  front_request_read_caller (call, wsi);
  front_request_read_key (call);
}
